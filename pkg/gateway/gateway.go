// Package gateway accepts calls at a node and forwards each to an upstream. Public calls arrive at the caller port,
// calls of the VM's own upstream at the local port.
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
	// Admit returns an error if the call is above the team's rate. It may wait until ctx ends.
	Admit(ctx context.Context, team string) error
}

// UnlimitedAdmitter is an Admitter that admits every call.
type UnlimitedAdmitter struct{}

// Admit returns nil.
func (UnlimitedAdmitter) Admit(context.Context, string) error { return nil }

// MetricsRecorder receives the result of each call.
type MetricsRecorder interface {
	// RecordCall records a call that has ended. port is "caller" or "local". service and team are empty if the call
	// ended before they were known. kind is empty if the upstream's response was delivered.
	RecordCall(port, service, team string, status int, outcome wire.Outcome, kind wire.ErrorKind, elapsed time.Duration)
}

// Options configure a Gateway.
type Options struct {
	// Upstream is the name of the node's own upstream.
	Upstream   string
	Clock      clock.Clock
	View       peer.ConfigView
	CallRecord *peer.CallRecord
	// Controller runs calls at the node's own upstream.
	Controller *peer.Controller
	// PeerPool holds the connections to other nodes.
	PeerPool *peer.Pool
	Router   *Router
	// Admitter limits the public calls; nil admits all of them.
	Admitter Admitter
	// LastPauseEnd returns when the process last resumed from a pause, on the process's clock, or a negative time if it
	// was never paused. nil means never.
	LastPauseEnd func() time.Duration
	// MetricsRecorder may be nil.
	MetricsRecorder MetricsRecorder
	// MaxDeadline bounds the time of each call; 0 means 5 s.
	MaxDeadline time.Duration
	// ObserveVersion is called when the response of another node names a configuration version that is newer than the
	// call's. upstream is that node's upstream. ObserveVersion may be nil.
	ObserveVersion func(version wire.VersionID, upstream string)
}

// defaultMaxDeadline bounds the time of each call if Options give no bound.
const defaultMaxDeadline = 5 * time.Second

// Gateway forwards calls to upstreams. Its two ports are separate Servers.
type Gateway struct {
	o               Options
	leaving         atomic.Bool
	callsInProgress atomic.Int64
}

// New returns a gateway without servers.
func New(o Options) *Gateway {
	if o.Admitter == nil {
		o.Admitter = UnlimitedAdmitter{}
	}
	if o.MetricsRecorder == nil {
		o.MetricsRecorder = discardMetrics{}
	}
	if o.MaxDeadline == 0 {
		o.MaxDeadline = defaultMaxDeadline
	}
	if o.ObserveVersion == nil {
		o.ObserveVersion = func(wire.VersionID, string) {}
	}
	return &Gateway{o: o}
}

// SetLeaving makes the gateway close each caller's connection after its next response. The gateway still forwards calls
// until the listeners close, because other nodes run them.
func (g *Gateway) SetLeaving() { g.leaving.Store(true) }

// CallsInProgress returns the number of calls in progress.
func (g *Gateway) CallsInProgress() int64 { return g.callsInProgress.Load() }

// discardMetrics is a MetricsRecorder that records nothing.
type discardMetrics struct{}

func (discardMetrics) RecordCall(string, string, string, int, wire.Outcome, wire.ErrorKind, time.Duration) {
}
