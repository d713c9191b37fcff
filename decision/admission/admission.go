// Package admission decides when a call may be sent to an upstream. It limits the number of concurrent calls, raises
// the limit gradually after a cold start, and divides the capacity of a busy upstream fairly among teams. An upstream
// that has just started is cold: it is slower and can handle fewer concurrent calls until calls have warmed it up.
//
// The Controller has no clock, goroutines or sockets: the caller passes the current time, taken from the process's
// monotonic clock, to each method. It is not safe for concurrent use; the caller holds a lock.
package admission

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Config describes one upstream. Optional fields that are zero take their defaults.
type Config struct {
	// Slots is the number of calls that the upstream handles concurrently when it is warm.
	Slots int
	// InitialConcurrency is the number of concurrent calls that the upstream can handle when it is cold.
	InitialConcurrency int
	// RampTime is the shortest time in which the limit rises from InitialConcurrency to Slots.
	RampTime time.Duration
	// MaxQueueLength is the number of calls that may wait. The default is 16 per slot.
	MaxQueueLength int
	// WarmLatency is the upstream's usual latency when warm, if the caller knows it (optional). With it, a node that
	// restarted beside a warm upstream uses all slots again after a few rounds of responses. Without it, the controller
	// has to assume that the upstream is cold and takes the whole RampTime.
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

// Call is a call that is submitted to the controller.
type Call struct {
	// ID is unique among the calls that wait or run. The controller keeps the string, so it must not share memory with
	// a buffer that is reused.
	ID   string
	Team string
	// Route selects the latency baseline, because the routes of one service differ in latency. It may be empty.
	Route string
	// Weight is the team's share relative to other teams with calls of the same priority. Values below 1 count as 1.
	Weight   int
	Priority config.Priority
	// Deadline is the time after which the call must not start.
	Deadline time.Duration
}

// Verdict says what happens to a submitted call.
type Verdict int

// Verdicts of Controller.Submit.
const (
	// Admitted means that the caller sends the call to the upstream now and calls FinishCall when it ends.
	Admitted Verdict = iota
	// Queued means that the call waits. A later Action with its ID starts or refuses it, unless CancelWaiting is called
	// first.
	Queued
	// Refused means that the call must not run; Decision.Kind gives the reason.
	Refused
)

// Decision is the result of Controller.Submit.
type Decision struct {
	Verdict Verdict
	Kind    wire.ErrorKind
	// Actions concern other calls, which were waiting: one of them may be dropped to make room for the submitted call.
	Actions []Action
}

// Action starts or refuses a call that was waiting.
type Action struct {
	ID string
	// Start is true if the caller sends the call to the upstream now. Otherwise the call is refused without having run,
	// and Kind gives the reason.
	Start bool
	Kind  wire.ErrorKind
}

// ResultKind classifies how the upstream answered a call.
type ResultKind int

// Kinds of results.
const (
	// Succeeded means that a complete response arrived that was not a refusal for load.
	Succeeded ResultKind = iota
	// Shed means that the upstream refused the call because of its load (status 503 or 429).
	Shed
	// ConnectionFailed means that the upstream refused or reset the connection.
	ConnectionFailed
	// TimedOut means that no response arrived before the deadline.
	TimedOut
	// Cancelled means that the sender cancelled the call or disconnected, which says nothing about the upstream.
	Cancelled
)

// Result is the outcome of a call that was started.
type Result struct {
	// Latency is the time from sending the call to the upstream until its response.
	Latency time.Duration
	Kind    ResultKind
}

// CapacityHint is what the upstream's health and load endpoints report. A hint can lower the limit for one second; it
// never raises the limit.
type CapacityHint struct {
	// Healthy is the result of the health check. If it is false, the limit is lowered to the initial concurrency.
	Healthy bool
	// Concurrency is the number of concurrent calls that the upstream says it can handle; 0 if it does not say.
	Concurrency int
}

// Load is the state of a controller as it is reported in responses and on the operator port.
type Load struct {
	// InFlight is the number of running calls, Limit the present concurrency limit, Queued the number of waiting calls.
	InFlight int
	Limit    int
	Queued   int
	State    wire.NodeState
}
