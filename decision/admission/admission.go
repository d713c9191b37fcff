// Package admission decides when an admission controller hands a call to its upstream: it limits the calls at
// once, ramps the limit after a cold start, and shares a full upstream fairly among teams.
//
// The Controller has no clock, goroutine or socket; times are on the process's monotonic clock. It is not safe
// for concurrent use; the caller holds a lock.
package admission

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Config describes one upstream. Zero values of optional fields stand for the defaults.
type Config struct {
	// Slots is the number of calls that the warm upstream works on at once.
	Slots int
	// InitialConcurrency is the number of calls at once that the cold upstream bears.
	InitialConcurrency int
	// RampTime is the shortest time from cold to all slots.
	RampTime time.Duration
	// MaxQueueLength is the number of calls that may wait; 16 per slot by default.
	MaxQueueLength int
	// WarmLatency is the upstream's usual latency when warm, if it is known from elsewhere (optional). With it
	// a node that restarted beside a warm upstream is back at all slots within a few rounds; without it the
	// upstream may be cold as well, and the ramp takes its whole time.
	WarmLatency time.Duration
}

func (c Config) withDefaults() Config {
	c.Slots = max(1, c.Slots)
	c.InitialConcurrency = min(max(1, c.InitialConcurrency), c.Slots)
	if c.MaxQueueLength <= 0 {
		c.MaxQueueLength = 16 * c.Slots
	}
	return c
}

// Call is a call that arrives at the controller.
type Call struct {
	// ID is unique among the calls that wait or run; it is kept, so it must not alias a reused buffer.
	ID   string
	Team string
	// Route separates the latency baselines, because routes of one service differ; it may be empty.
	Route string
	// Weight is the team's share relative to other teams of the same priority; below 1 counts as 1.
	Weight   int
	Priority config.Priority
	// Deadline is the time after which the call must not start.
	Deadline time.Duration
}

// Verdict is the answer to an arriving call.
type Verdict int

// Verdicts of Controller.Submit.
const (
	// Admitted means: hand the call to the upstream now; FinishCall must follow.
	Admitted Verdict = iota
	// Queued means: an Action with this call's ID follows, unless Abandon is called first.
	Queued
	// Refused means: the call does not run; Decision.Kind says why.
	Refused
)

// Decision is the answer of Controller.Submit.
type Decision struct {
	Verdict Verdict
	Kind    wire.ErrorKind
	// Actions concern other calls that waited: one may be dropped in favour of this one.
	Actions []Action
}

// Action concerns a call that waited.
type Action struct {
	ID string
	// Start is true when the call is to be handed to the upstream now; else it is refused with Kind, "not run".
	Start bool
	Kind  wire.ErrorKind
}

// ResultKind classifies how the upstream answered a call.
type ResultKind int

// Kinds of results.
const (
	// Succeeded means a whole response other than a refusal.
	Succeeded ResultKind = iota
	// Shed means that the upstream refused for load (503 or 429).
	Shed
	// ConnectionFailed means that the upstream refused or reset the connection.
	ConnectionFailed
	// TimedOut means that no response came before the deadline.
	TimedOut
	// Cancelled means that the sender went away; it says nothing about the upstream.
	Cancelled
)

// Result is the outcome of a started call.
type Result struct {
	// Latency is the time from handing the call on to its response.
	Latency time.Duration
	Kind    ResultKind
}

// CapacityHint is what the upstream's own health and load endpoints claim. A hint may lower the limit for a second and
// never raises it.
type CapacityHint struct {
	Healthy bool
	// Concurrency is the number of calls at once that the upstream says it bears; 0 when it says nothing.
	Concurrency int
}

// Load describes the controller for responses and the operator port.
type Load struct {
	InFlight int
	Limit    int
	Queued   int
	State    wire.NodeState
}
