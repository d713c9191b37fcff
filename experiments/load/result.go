// Package load replays a trace of calls against the caller ports of nodes, and computes a report from what the callers
// and the stand-in upstreams recorded. It uses nothing that the nodes report about themselves.
package load

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// Kinds of outcomes in addition to the error kinds of package wire.
const (
	// KindServed means an answer with a 2xx status.
	KindServed wire.ErrorKind = "served"
	// KindNotSent means that no connection could be opened.
	KindNotSent wire.ErrorKind = "not_sent"
	// KindNoAnswer means that the request was sent, but no complete answer came.
	KindNoAnswer wire.ErrorKind = "no_answer"
	// KindOtherStatus means an answer whose status is not 2xx and whose body is not the error body of a node.
	KindOtherStatus wire.ErrorKind = "other_status"
)

// Values of Attempt.Ran: whether the call ran, did not run, or may have run.
const (
	RanYes     = "yes"
	RanNo      = "no"
	RanUnknown = "unknown"
)

// AnswerDefect is what is wrong with the answer to a served attempt.
type AnswerDefect string

// Defects of an answer.
const (
	NoDefect AnswerDefect = ""
	// DefectMissing means that the answer has no body.
	DefectMissing AnswerDefect = "missing"
	// DefectTruncated means that the answer is not complete.
	DefectTruncated AnswerDefect = "short"
	// DefectMismatched means that the answer belongs to another request or was changed.
	DefectMismatched AnswerDefect = "crossed"
)

// Attempt is one request of a caller and its outcome.
type Attempt struct {
	// Number is the attempt number, from 1; requests with an identity carry it in wire.HeaderAttempt. Attempts whose
	// connection could not be opened do not raise it.
	Number int `json:"number"`
	// Token is unique to the attempt. The records of the upstreams contain it.
	Token  string         `json:"token"`
	Node   string         `json:"node"`
	Sent   time.Time      `json:"sent"`
	Done   time.Time      `json:"done"`
	Status int            `json:"status"`
	Kind   wire.ErrorKind `json:"kind"`
	// Ran is whether the call ran, as far as the caller knows: RanYes, RanNo or RanUnknown.
	Ran    string       `json:"ran"`
	Defect AnswerDefect `json:"flaw,omitempty"`
	// EchoedToken is the token in the answer.
	EchoedToken string `json:"echoed,omitempty"`
}

// CallResult is a call of the trace with its attempts.
type CallResult struct {
	Call     *trace.Call `json:"call"`
	Attempts []Attempt   `json:"attempts"`
}

// LastAttempt returns the last attempt, which determines the outcome of the call.
func (r *CallResult) LastAttempt() *Attempt { return &r.Attempts[len(r.Attempts)-1] }

// EventResult is an executed event with the times that the nodes took to follow it.
type EventResult struct {
	Event trace.Event `json:"event"`
	// At is the time at which the event took place; for an event that publishes a version, the time of publication.
	At time.Time `json:"at"`
	// Converged holds, by node, the time from At until probe calls showed that the node followed the event.
	Converged map[string]time.Duration `json:"converged,omitempty"`
	// Pending lists the running nodes that did not follow the event before the wait for them ended.
	Pending []string `json:"pending,omitempty"`
}
