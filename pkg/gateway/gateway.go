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

// UnlimitedAdmitter is an Admitter that limits nothing.
type UnlimitedAdmitter struct{}

// Admit admits the call.
func (UnlimitedAdmitter) Admit(context.Context, string) error { return nil }

// MetricsRecorder is told of each call that ended.
type MetricsRecorder interface {
	// RecordCall takes the port ("caller" or "local"), service and team, empty when unknown, and the kind, empty when
	// the upstream's answer was delivered.
	RecordCall(port, service, team string, status int, outcome wire.Outcome, kind wire.ErrorKind, took time.Duration)
}

// Options configure a Gateway. Admit and Recorder may be nil.
type Options struct {
	// Upstream is the name of the node's own upstream.
	Upstream   string
	Clock      clock.Clock
	View       peer.ConfigView
	CallRecord *peer.CallRecord
	Controller *peer.Controller
	PeerPool   *peer.Pool
	Router     *Router
	Admitter   Admitter
	// LastPauseEnd returns when the process last resumed from a pause, negative when never; nil means never.
	LastPauseEnd    func() time.Duration
	MetricsRecorder MetricsRecorder
	// MaxDeadline bounds the deadline of each call; 0 means 5 s.
	MaxDeadline time.Duration
	// ObserveVersion is told of a version that another node's answer named, and of that node's upstream; it may be nil.
	ObserveVersion func(version wire.VersionID, upstream string)
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
	if o.Admitter == nil {
		o.Admitter = UnlimitedAdmitter{}
	}
	if o.MetricsRecorder == nil {
		o.MetricsRecorder = discard{}
	}
	if o.MaxDeadline == 0 {
		o.MaxDeadline = defaultMaxDeadline
	}
	if o.ObserveVersion == nil {
		o.ObserveVersion = func(wire.VersionID, string) {}
	}
	return &Gateway{o: o}
}

// SetLeaving makes the gateway close each caller's connection with its next answer. Calls are still carried until
// the listeners close, because other nodes run them.
func (g *Gateway) SetLeaving() { g.leaving.Store(true) }

// CallsInProgress returns the number of calls in progress.
func (g *Gateway) CallsInProgress() int64 { return g.working.Load() }

type discard struct{}

func (discard) RecordCall(string, string, string, int, wire.Outcome, wire.ErrorKind, time.Duration) {}
