// Package gateway accepts calls of the public (caller port) and of the VM's own upstream (local port) and carries
// each to an upstream.
package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// Admitter decides whether a team may make a public call now.
type Admitter interface {
	// Admit returns an error when the call is above the team's rate.
	Admit(ctx context.Context, team string) error
}

// AdmitAll is an Admitter that limits nothing.
type AdmitAll struct{}

// Admit admits the call.
func (AdmitAll) Admit(context.Context, string) error { return nil }

// Recorder is told of each call that ended.
type Recorder interface {
	// Ended takes the port ("caller" or "local"), service and team, empty when unknown, and the kind, empty when
	// the upstream's answer was delivered.
	Ended(port, service, team string, status int, outcome wire.Outcome, kind wire.ErrorKind, took time.Duration)
}

// Options configure a Gateway. Admit and Recorder may be nil.
type Options struct {
	// Upstream is the name of the node's own upstream.
	Upstream   string
	Clock      clock.Clock
	View       peer.ConfigView
	Record     *peer.CallRecord
	Controller *peer.Controller
	Peers      *peer.Pool
	Router     *Router
	Admit      Admitter
	// LastPause returns when the process last resumed from a pause, negative when never; nil means never.
	LastPause func() time.Duration
	Recorder  Recorder
	// MaxDeadline bounds the deadline of each call; 0 means 5 s.
	MaxDeadline time.Duration
	// Observe is told of a version that another node's answer named, and of that node's upstream; it may be nil.
	Observe func(version wire.VersionID, upstream string)
}

// defaultMaxDeadline is the longest deadline when the settings give none.
const defaultMaxDeadline = 5 * time.Second

// Gateway carries calls. Its two ports are separate servers.
type Gateway struct {
	o       Options
	leaving atomic.Bool
	working atomic.Int64
}

// New returns a gateway.
func New(o Options) *Gateway {
	if o.Admit == nil {
		o.Admit = AdmitAll{}
	}
	if o.Recorder == nil {
		o.Recorder = discard{}
	}
	if o.MaxDeadline == 0 {
		o.MaxDeadline = defaultMaxDeadline
	}
	if o.Observe == nil {
		o.Observe = func(wire.VersionID, string) {}
	}
	return &Gateway{o: o}
}

// SetLeaving makes the gateway close each caller's connection with its next answer. Calls are still carried until
// the listeners close, because other nodes run them.
func (g *Gateway) SetLeaving() { g.leaving.Store(true) }

// Working returns the number of calls in progress.
func (g *Gateway) Working() int64 { return g.working.Load() }

type discard struct{}

func (discard) Ended(string, string, string, int, wire.Outcome, wire.ErrorKind, time.Duration) {}
