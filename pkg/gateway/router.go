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

// Router guards the routing table and the retry budget of a node.
type Router struct {
	clock  clock.Clock
	mu     sync.Mutex
	table  *routing.Table
	budget *retry.Budget
	snap   *snapshot.Snapshot
	view   *routing.View
}

// NewRouter returns a router without evidence.
func NewRouter(c clock.Clock, cfg routing.Config, source *rand.Rand) *Router {
	return &Router{clock: c, table: routing.NewTable(cfg, source), budget: retry.NewBudget(c.Now())}
}

func (r *Router) pick(snap *snapshot.Snapshot, service string, tried []string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snap != snap {
		r.snap = snap
		r.view = &routing.View{Set: snap.Set, Members: snap.Members}
	}
	return r.table.Pick(r.clock.Now(), r.view, service, tried)
}

func (r *Router) observe(upstream string, e routing.AttemptOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordOutcome(r.clock.Now(), upstream, e)
}

// IsEjected reports whether an upstream is left out at the moment.
func (r *Router) IsEjected(upstream string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Ejected(r.clock.Now(), upstream)
}

func (r *Router) firstAttempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Deposit()
}

func (r *Router) extraAttempt(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Withdraw(now)
}

// evidence tells what a controller's answer shows about its upstream.
func evidence(a peer.CallResult) routing.AttemptOutcome {
	e := routing.AttemptOutcome{InFlight: a.Load.InFlight, Limit: a.Load.Limit, State: a.Load.State}
	switch a.Kind {
	case wire.KindOverloaded, wire.KindOutcomeUnknown:
		// An upstream that did not answer in time is used less, but one slow call does not eject it.
		e.Kind = routing.Overloaded
	case wire.KindLeaving, wire.KindStaleConfiguration, wire.KindNotReady:
		// The node refuses everything for now, as one that leaves does.
		e.Kind = routing.Leaving
	case wire.KindNoUpstream, wire.KindUpstreamError:
		// The node runs, but its upstream does not or breaks its connections.
		e.Kind = routing.ConnectionFailed
	}
	return e
}
