package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/retry"
	"github.com/bamboodeal/bamboodeal/decision/routing"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// Router picks upstreams for calls and limits retries. It makes a node's routing table and retry budget safe for
// concurrent use.
type Router struct {
	clock  clock.Clock
	mu     sync.Mutex
	table  *routing.Table
	budget *retry.Budget
	snap   *snapshot.Snapshot
	view   *routing.View
}

// NewRouter returns a router that knows no outcomes yet. source makes its random choices.
func NewRouter(c clock.Clock, cfg routing.Config, source *rand.Rand) *Router {
	return &Router{clock: c, table: routing.NewTable(cfg, source), budget: retry.NewBudget(c.Now())}
}

// pickUpstream returns an upstream of the service that is not among the tried ones, or false if there is none.
func (r *Router) pickUpstream(snap *snapshot.Snapshot, service string, tried []string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snap != snap {
		r.snap = snap
		r.view = &routing.View{Set: snap.Set, Members: snap.Members}
	}
	return r.table.Pick(r.clock.Now(), r.view, service, tried)
}

func (r *Router) recordOutcome(upstream string, e routing.AttemptOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordOutcome(r.clock.Now(), upstream, e)
}

// IsEjected reports whether the router leaves an upstream out at the moment because of its failures.
func (r *Router) IsEjected(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Ejected(r.clock.Now(), upstream)
}

// countCall adds the share of a retry that each call earns to the retry budget.
func (r *Router) countCall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit()
}

// takeRetry takes a retry from the budget and reports whether there was one.
func (r *Router) takeRetry(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Withdraw(now)
}

// resultOutcome returns what a controller's result says about its upstream.
func resultOutcome(a peer.CallResult) routing.AttemptOutcome {
	e := routing.AttemptOutcome{InFlight: a.Load.InFlight, Limit: a.Load.Limit, State: a.Load.State}
	switch a.Kind {
	case wire.KindOverloaded, wire.KindOutcomeUnknown:
		// An upstream that did not respond in time is used less, but one slow call does not eject it.
		e.Kind = routing.Overloaded
	case wire.KindLeaving, wire.KindStaleConfiguration, wire.KindNotReady:
		// The node refuses all calls for now, as a node that leaves does.
		e.Kind = routing.Leaving
	case wire.KindNoUpstream, wire.KindUpstreamError:
		// The node runs, but its upstream does not run or breaks its connections.
		e.Kind = routing.ConnectionFailed
	}
	return e
}
