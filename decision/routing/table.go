// Package routing selects an upstream for each call at an entry node, the node at which a call enters the mesh. It
// ejects upstreams that fail, which means that they get no calls for some time. Calls go to the controller of an
// upstream, the part of the node beside the upstream that limits its calls.
//
// The Table has no clock, goroutines or sockets: the caller passes the current time and a random source. It is not safe
// for concurrent use; the caller holds a lock.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Config describes the entry node. Times that are zero take their defaults.
type Config struct {
	// Node is a name that is unique to this node, for example that of its VM, so that nodes choose different
	// candidates.
	Node string
	// DataCentre is the node's own data centre, whose upstreams are preferred.
	DataCentre string
	// InitialEjection is how long an upstream is ejected the first time. The time doubles with each consecutive
	// ejection up to MaxEjection. The defaults are 500 ms and 30 s.
	InitialEjection, MaxEjection time.Duration
	// ReadmissionRamp is the time after an ejection in which the upstream's share of calls grows back to its full size.
	// The default is 5 s.
	ReadmissionRamp time.Duration
}

// View is an immutable snapshot of the configuration and the list of VMs. Each new snapshot needs a new pointer,
// because the table caches the candidates of the last one and compares the pointers.
type View struct {
	Set *config.Set
	// Members holds the VM of each upstream, by the name of the upstream.
	Members map[string]platform.Member
}

// OutcomeKind classifies how an attempt to send a call to an upstream's controller ended.
type OutcomeKind int

// Kinds of outcomes.
const (
	// Responded means that the controller answered with a response of the upstream.
	Responded OutcomeKind = iota
	// Overloaded means that the controller refused the call because of load. The upstream is not ejected.
	Overloaded
	// Leaving means that the controller answered that its upstream is shutting down.
	Leaving
	// ConnectionFailed means that no connection could be opened or that it was reset.
	ConnectionFailed
	// Unresponsive means that no response arrived in time.
	Unresponsive
	// Abandoned means that the attempt ended without a result that says anything about the upstream, for example
	// because the caller disconnected.
	Abandoned
)

// AttemptOutcome is the outcome of one attempt. Each successful Pick is followed by one RecordOutcome.
type AttemptOutcome struct {
	Kind OutcomeKind
	// InFlight and Limit come from the response header Bamboodeal-Load. A Limit of 0 means that it was not reported.
	InFlight, Limit int
	// State comes from the response header Bamboodeal-State.
	State wire.NodeState
}

// maxCandidates is the maximum number of upstreams of a service to which one entry node sends calls.
const maxCandidates = 8

// Defaults of the times in Config. No requirement determines these values.
const (
	defaultInitialEjection = 500 * time.Millisecond
	defaultMaxEjection     = 30 * time.Second
	defaultReadmissionRamp = 5 * time.Second
)

// Table holds what an entry node knows about its upstreams and selects one for each attempt.
type Table struct {
	cfg            Config
	rand           *rand.Rand
	upstreams      map[string]*upstreamState
	view           *View
	candidateLists map[string][]*upstreamState
}

// NewTable returns a table without any recorded outcomes.
func NewTable(cfg Config, source *rand.Rand) *Table {
	setDefault(&cfg.InitialEjection, defaultInitialEjection)
	setDefault(&cfg.MaxEjection, defaultMaxEjection)
	setDefault(&cfg.ReadmissionRamp, defaultReadmissionRamp)
	return &Table{cfg: cfg, rand: source, upstreams: map[string]*upstreamState{}}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Pick returns the name of the upstream for the next attempt; ok is false if there is none. The upstreams in exclude
// are not returned; the caller passes those that it has tried for this call.
func (t *Table) Pick(now time.Duration, view *View, service string, exclude []string) (name string, ok bool) {
	list := t.candidates(view, service)
	chosen := t.chooseCandidate(now, list, exclude)
	if chosen == nil {
		return "", false
	}
	chosen.outstanding++
	return chosen.name, true
}

// RecordOutcome records the outcome of an attempt at an upstream that Pick returned, or at one that was chosen by the
// identity of a non-idempotent call.
func (t *Table) RecordOutcome(now time.Duration, upstream string, o AttemptOutcome) {
	u := t.upstream(upstream)
	if u.outstanding > 0 {
		u.outstanding--
	}
	switch o.Kind {
	case ConnectionFailed, Unresponsive:
		u.eject(now, t.cfg)
		return
	case Abandoned:
		return
	}
	u.recordResponse(now, o)
}

// Ejected reports whether an upstream is ejected at the time now.
func (t *Table) Ejected(now time.Duration, upstream string) bool {
	u := t.upstreams[upstream]
	return u != nil && now < u.ejectedUntil
}

func (t *Table) upstream(name string) *upstreamState {
	u := t.upstreams[name]
	if u == nil {
		u = &upstreamState{name: name}
		t.upstreams[name] = u
	}
	return u
}
