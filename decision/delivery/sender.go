package delivery

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// Action is what the entry node has to do next for a call.
type Action int

// Actions of a Step.
const (
	// ActionFetchEpoch means: connect to Step.Upstream, get its epoch with GET /v1/hello and pass it to SetEpoch, or
	// report AttemptNotConnected.
	ActionFetchEpoch Action = iota
	// ActionSendCall means: send the call to Step.Upstream with Step.Epoch and report the result with Report.
	ActionSendCall
	// ActionRespond means: the call is over; answer the caller with Step.Outcome and Step.Reason.
	ActionRespond
)

// Step is the next action for a call, with its parameters.
type Step struct {
	Action   Action
	Upstream string
	Epoch    string
	Outcome  wire.Outcome
	// Reason is empty if Outcome is wire.OutcomeRan; the caller then gets the upstream's response.
	Reason wire.ErrorKind
}

// AttemptEventKind is the result of one attempt.
type AttemptEventKind int

// Results of an attempt. After the first two it is certain that the upstream did not get the call; after AttemptRefused
// it is certain if AttemptEvent.Outcome is wire.OutcomeNotRun.
const (
	// AttemptNotConnected means that no connection to the upstream's node could be opened, or that it returned no epoch.
	AttemptNotConnected AttemptEventKind = iota
	// AttemptNotWritten means that the connection failed before any byte of the call was written.
	AttemptNotWritten
	// AttemptRefused means that the controller refused the call; AttemptEvent.Outcome is the value of its header
	// Bamboodeal-Outcome.
	AttemptRefused
	// AttemptUnanswered means that at least one byte of the call was written and no complete response came.
	AttemptUnanswered
	// AttemptAnswered means that a complete response came, from the upstream or from the controller's record.
	AttemptAnswered
)

// AttemptEvent reports the result of the attempt that the last Step started.
type AttemptEvent struct {
	Kind    AttemptEventKind
	Outcome wire.Outcome
	Reason  wire.ErrorKind
}

// SenderConfig configures the Sender of one call.
type SenderConfig struct {
	// Deadline is the time on the entry node's monotonic clock after which the call is not sent.
	Deadline   time.Duration
	Idempotent bool
	// NextUpstream returns the next upstream to try, or false if there is none; see InOrder.
	NextUpstream func() (upstream string, ok bool)
	// AllowRetry reports whether another attempt may follow a refusal or a missing answer; nil allows all. It is not
	// called after AttemptNotConnected and AttemptNotWritten, which cost the upstreams nothing.
	AllowRetry func(now time.Duration) bool
	// Disabled is the set of disabled safeguards, as in Config.
	Disabled safeguard.Set
}

// Sender is the state machine that decides the attempts of one call at its entry node.
type Sender struct {
	cfg        SenderConfig
	upstream   string
	epoch      string
	nextAction Action
	// epochRequests counts the requests for an epoch of the current upstream.
	epochRequests int
	mayHaveRun    bool
	reason        wire.ErrorKind
	finalStep     Step
}

// MayHaveWaitedDuringPause reports whether a request may have waited in its socket while this node was paused, because
// its connection was opened before the end of the last pause that the node noticed. The entry node refuses such a
// non-idempotent call as "not run" with wire.KindNotReady and closes the connection: the caller may have repeated it at
// another node since, and the controllers may have restarted or removed the record of the identity. A node that was
// never paused passes a negative lastPauseEnd.
func MayHaveWaitedDuringPause(connectionOpened, lastPauseEnd time.Duration) bool {
	return connectionOpened <= lastPauseEnd
}

// NewSender returns the Sender of a new call; Next returns its first step.
func NewSender(cfg SenderConfig) *Sender {
	s := &Sender{cfg: cfg, reason: wire.KindNoUpstream}
	s.tryNextUpstream()
	return s
}

// InOrder returns a function for SenderConfig.NextUpstream that returns each of the names once.
func InOrder(names []string) func() (string, bool) {
	return func() (string, bool) {
		if len(names) == 0 {
			return "", false
		}
		name := names[0]
		names = names[1:]
		return name, true
	}
}

// Next returns the next step. It checks the deadline each time, also after the epoch is known, so that a sender that
// was paused in between does not send a call that its caller may have repeated at another node.
func (s *Sender) Next(now time.Duration) Step {
	if s.nextAction == ActionRespond {
		return s.finalStep
	}
	if now >= s.cfg.Deadline && !s.cfg.Disabled.Has(safeguard.DeadlineCheck) {
		s.endNotRun(wire.KindDeadlineExceeded)
		return s.finalStep
	}
	return Step{Action: s.nextAction, Upstream: s.upstream, Epoch: s.epoch}
}

// SetEpoch takes the epoch that the upstream's controller returned. "" means that it issues no epoch yet, which
// counts as a refusal.
func (s *Sender) SetEpoch(now time.Duration, epoch string) {
	if s.nextAction != ActionFetchEpoch {
		return
	}
	if epoch == "" {
		s.Report(now, AttemptEvent{Kind: AttemptRefused, Outcome: wire.OutcomeNotRun, Reason: wire.KindNotReady})
		return
	}
	s.epoch = epoch
	s.nextAction = ActionSendCall
}

// Report takes the result of the attempt that the last step started.
func (s *Sender) Report(now time.Duration, e AttemptEvent) {
	if s.nextAction == ActionRespond {
		return
	}
	switch {
	case e.Kind == AttemptAnswered:
		s.endCall(wire.OutcomeRan, "")
	case e.Kind == AttemptNotConnected || e.Kind == AttemptNotWritten:
		s.tryNextUpstream()
	case e.Kind == AttemptRefused && e.Outcome == wire.OutcomeNotRun:
		s.handleRefusal(now, e.Reason)
	default:
		s.handleUncertainOutcome(now, e)
	}
}

// handleRefusal decides the next step after a refusal with the outcome "not run".
func (s *Sender) handleRefusal(now time.Duration, reason wire.ErrorKind) {
	s.reason = reason
	switch {
	case reason == wire.KindWrongEpoch && s.epochRequests < 2:
		s.requestEpoch()
	case endsCall(reason) || !s.mayRetry(now):
		s.endNotRun(reason)
	default:
		s.tryNextUpstream()
	}
}

// handleUncertainOutcome decides the next step after an attempt that may have run: only an idempotent call may be sent
// again.
func (s *Sender) handleUncertainOutcome(now time.Duration, e AttemptEvent) {
	s.mayHaveRun = true
	s.reason = wire.KindOutcomeUnknown
	if e.Kind == AttemptRefused && e.Reason != "" {
		s.reason = e.Reason
	}
	if !s.cfg.Idempotent || e.Kind == AttemptRefused || !s.mayRetry(now) {
		s.endCall(wire.OutcomeUnknown, s.reason)
		return
	}
	s.tryNextUpstream()
}

// tryNextUpstream starts an attempt at the next upstream, or ends the call if there is none.
func (s *Sender) tryNextUpstream() {
	name, ok := s.cfg.NextUpstream()
	if !ok {
		s.endNotRun(s.reason)
		return
	}
	s.upstream = name
	s.epochRequests = 0
	if s.cfg.Idempotent {
		s.nextAction = ActionSendCall
		return
	}
	s.requestEpoch()
}

func (s *Sender) requestEpoch() {
	s.epoch = ""
	s.epochRequests++
	s.nextAction = ActionFetchEpoch
}

func (s *Sender) mayRetry(now time.Duration) bool {
	return s.cfg.AllowRetry == nil || s.cfg.AllowRetry(now)
}

// endNotRun ends the call with the outcome "not run", or "unknown" if an earlier attempt may have run.
func (s *Sender) endNotRun(kind wire.ErrorKind) {
	if s.mayHaveRun {
		s.endCall(wire.OutcomeUnknown, wire.KindOutcomeUnknown)
		return
	}
	s.endCall(wire.OutcomeNotRun, kind)
}

func (s *Sender) endCall(outcome wire.Outcome, kind wire.ErrorKind) {
	s.nextAction = ActionRespond
	s.finalStep = Step{Action: ActionRespond, Upstream: s.upstream, Outcome: outcome, Reason: kind}
}

// endsCall reports whether a refusal concerns the identity or the deadline, so that no other upstream must be tried.
func endsCall(reason wire.ErrorKind) bool {
	return reason == wire.KindDuplicateRequest || reason == wire.KindIdentityConflict || reason == wire.KindDeadlineExceeded
}
