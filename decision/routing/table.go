// Package routing selects an upstream for each call at an entry node and learns from the responses which
// upstreams to avoid.
//
// The Table has no clock, goroutine or socket, and its random source is passed in. It is not safe for
// concurrent use; the caller holds a lock.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Config describes the entry node. Zero values of optional fields stand for the defaults.
type Config struct {
	// Node is the name that separates this node's candidates from those of other nodes, for example its VM.
	Node string
	// DataCentre is the node's own data centre, whose upstreams are preferred.
	DataCentre string
	// InitialEjection is the first time an upstream is left out; it doubles with each ejection in a row up to
	// MaxEjection. Defaults 500 ms and 30 s.
	InitialEjection, MaxEjection time.Duration
	// ReadmissionRamp is the time over which an ejected upstream gets its full share back. Default 5 s.
	ReadmissionRamp time.Duration
}

// View is an immutable view of configuration and VM list. A new view needs a new pointer, because the table
// keeps the candidates of the last one.
type View struct {
	Set     *config.Set
	Members map[string]platform.Member
}

// OutcomeKind says what an attempt showed about an upstream.
type OutcomeKind int

// Kinds of evidence.
const (
	// Responded means that the controller answered with a response of the upstream.
	Responded OutcomeKind = iota
	// Overloaded means that the controller refused for load; it stays in, with its reported load.
	Overloaded
	// Leaving means that the controller said it is leaving.
	Leaving
	// ConnectionFailed means that no connection could be opened or it was reset.
	ConnectionFailed
	// Unresponsive means that no response came in time.
	Unresponsive
	// Abandoned means that the attempt ended without evidence, for example because the caller went away.
	Abandoned
)

// AttemptOutcome is what one attempt showed. Each Pick is followed by one Observe.
type AttemptOutcome struct {
	Kind OutcomeKind
	// InFlight and Limit are the reported Bamboodeal-Load; Limit 0 means not reported.
	InFlight, Limit int
	// State is the reported Bamboodeal-State.
	State wire.NodeState
}

// maxCandidates is the number of upstreams of a service that one entry node uses.
const maxCandidates = 8

// Defaults of the times in Config, which says what each does. They are choices of this package without a bound behind them.
const (
	defaultEjectFirst = 500 * time.Millisecond
	defaultEjectMax   = 30 * time.Second
	defaultReturn     = 5 * time.Second
)

// Table is the routing state of one entry node.
type Table struct {
	cfg   Config
	rand  *rand.Rand
	peers map[string]*peer
	view  *View
	lists map[string][]*peer
}

// NewTable returns a table without evidence.
func NewTable(cfg Config, source *rand.Rand) *Table {
	setDefault(&cfg.InitialEjection, defaultEjectFirst)
	setDefault(&cfg.MaxEjection, defaultEjectMax)
	setDefault(&cfg.ReadmissionRamp, defaultReturn)
	return &Table{cfg: cfg, rand: source, peers: map[string]*peer{}}
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}

// Pick returns the name of the upstream for the next attempt; ok is false when none is left. The names in
// exclude were tried before for this call.
func (t *Table) Pick(now time.Duration, view *View, service string, exclude []string) (name string, ok bool) {
	list := t.candidates(view, service)
	chosen := t.choose(now, list, exclude)
	if chosen == nil {
		return "", false
	}
	chosen.outstanding++
	return chosen.name, true
}

// RecordOutcome takes the evidence of an attempt that Pick started, or that went to an identity's home.
func (t *Table) RecordOutcome(now time.Duration, upstream string, e AttemptOutcome) {
	p := t.peer(upstream)
	if p.outstanding > 0 {
		p.outstanding--
	}
	switch e.Kind {
	case ConnectionFailed, Unresponsive:
		p.fail(now, t.cfg)
		return
	case Abandoned:
		return
	}
	p.succeed(now, e)
}

// Ejected reports whether an upstream is left out at the moment, for the operator port.
func (t *Table) Ejected(now time.Duration, upstream string) bool {
	p := t.peers[upstream]
	return p != nil && now < p.ejectedUntil
}

func (t *Table) peer(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{name: name}
		t.peers[name] = p
	}
	return p
}
