package delivery

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// Action is what the entry node does next for a call.
type Action int

// Actions of a Step.
const (
	// ActionFetchEpoch means: connect to Step.Upstream, get its epoch by GET /v1/hello and report it with Epoch, or
	// report NotOpened.
	ActionFetchEpoch Action = iota
	// ActionSendCall means: write the call to Step.Upstream with Step.Epoch and report what came of it.
	ActionSendCall
	// ActionRespond means: the call is over; Step.Outcome and Step.Kind say what the caller is told.
	ActionRespond
)

// Step is the next action for a call.
type Step struct {
	Action   Action
	Upstream string
	Epoch    string
	Outcome  wire.Outcome
	// Reason is empty when Outcome is wire.Ran; then the caller gets the response itself.
	Reason wire.ErrorKind
}

// AttemptEventKind says what came of one attempt.
type AttemptEventKind int

// Outcomes of an attempt. Only the first three leave it certain that the upstream did not see the call.
const (
	// AttemptNotConnected means that no connection could be opened.
	AttemptNotConnected AttemptEventKind = iota
	// AttemptNotWritten means that the connection failed before any byte of the call was written.
	AttemptNotWritten
	// AttemptRefused means that the controller answered with a reason; Event.Outcome is its Bamboodeal-Outcome.
	AttemptRefused
	// AttemptUnanswered means that at least one byte was written and no whole response came.
	AttemptUnanswered
	// AttemptAnswered means that a whole response came, from the upstream or from the controller's record.
	AttemptAnswered
)

// AttemptEvent reports the outcome of the attempt that the last Step started.
type AttemptEvent struct {
	Kind    AttemptEventKind
	Outcome wire.Outcome
	Reason  wire.ErrorKind
}

// SenderConfig describes one call at its entry node.
type SenderConfig struct {
	// Deadline is the time on the entry node's monotonic clock after which the call is not sent.
	Deadline   time.Duration
	Idempotent bool
	// NextUpstream returns the next upstream to try; see InOrder. It is called once for each upstream tried.
	NextUpstream func() (upstream string, ok bool)
	// AllowRetry is asked before each extra attempt that follows a refusal or a lost answer; nil allows
	// all. An attempt after a connection that did not open costs the upstreams nothing and is not counted.
	AllowRetry func(now time.Duration) bool
	// Disabled switches mechanisms off, as in Config.
	Disabled safeguard.Set
}

// Sender is the state machine of one call's attempts at its entry node.
type Sender struct {
	cfg      SenderConfig
	upstream string
	epoch    string
	haveTo   Action
	// epochAsked counts epochs asked of the current upstream.
	epochAsked int
	mayHaveRun bool
	reason     wire.ErrorKind
	final      Step
}

// MayHaveWaitedDuringPause reports whether a request may have waited in its socket while this node was paused, because its
// connection was opened before the end of the last noticed pause. The entry node refuses such a non-idempotent call
// with wire.NotReady, "not run", and closes the connection: the caller may have repeated it elsewhere since, and the
// controllers may have restarted or forgotten the identity. A node that was never paused passes a negative time.
func MayHaveWaitedDuringPause(connectionOpened, lastPauseEnd time.Duration) bool {
	return connectionOpened <= lastPauseEnd
}

// NewSender starts a call. The first Step is available from Next.
func NewSender(cfg SenderConfig) *Sender {
	s := &Sender{cfg: cfg, reason: wire.KindNoUpstream}
	s.advance()
	return s
}

// InOrder returns a SenderConfig.Next that goes through the names once.
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

// Next returns the next step. It checks the deadline after the epoch is known: a sender that was frozen in
// between does not send a call that its caller may have repeated elsewhere.
func (s *Sender) Next(now time.Duration) Step {
	if s.haveTo == ActionRespond {
		return s.final
	}
	if now >= s.cfg.Deadline && !s.cfg.Disabled.Has(safeguard.DeadlineCheck) {
		s.tellNotRun(wire.KindDeadlineExceeded)
		return s.final
	}
	return Step{Action: s.haveTo, Upstream: s.upstream, Epoch: s.epoch}
}

// SetEpoch reports the epoch that the upstream's controller answered; "" means that it issues none yet, which
// counts as a refusal.
func (s *Sender) SetEpoch(now time.Duration, epoch string) {
	if s.haveTo != ActionFetchEpoch {
		return
	}
	if epoch == "" {
		s.Report(now, AttemptEvent{Kind: AttemptRefused, Outcome: wire.OutcomeNotRun, Reason: wire.KindNotReady})
		return
	}
	s.epoch = epoch
	s.haveTo = ActionSendCall
}

// Report takes the outcome of the attempt.
func (s *Sender) Report(now time.Duration, e AttemptEvent) {
	if s.haveTo == ActionRespond {
		return
	}
	switch {
	case e.Kind == AttemptAnswered:
		s.tell(wire.OutcomeRan, "")
	case e.Kind == AttemptNotConnected || e.Kind == AttemptNotWritten:
		s.advance()
	case e.Kind == AttemptRefused && e.Outcome == wire.OutcomeNotRun:
		s.refused(now, e.Reason)
	default:
		s.lost(now, e)
	}
}

// refused goes on after a certain "not run".
func (s *Sender) refused(now time.Duration, reason wire.ErrorKind) {
	s.reason = reason
	switch {
	case reason == wire.KindWrongEpoch && s.epochAsked < 2:
		s.askEpoch()
	case isFinal(reason) || !s.mayRetry(now):
		s.tellNotRun(reason)
	default:
		s.advance()
	}
}

// lost goes on after an attempt that may have run: only an idempotent call may be sent again.
func (s *Sender) lost(now time.Duration, e AttemptEvent) {
	s.mayHaveRun = true
	s.reason = wire.KindOutcomeUnknown
	if e.Kind == AttemptRefused && e.Reason != "" {
		s.reason = e.Reason
	}
	if !s.cfg.Idempotent || e.Kind == AttemptRefused || !s.mayRetry(now) {
		s.tell(wire.OutcomeUnknown, s.reason)
		return
	}
	s.advance()
}

// advance turns to the next upstream, or ends the call when there is none.
func (s *Sender) advance() {
	name, ok := s.cfg.NextUpstream()
	if !ok {
		s.tellNotRun(s.reason)
		return
	}
	s.upstream = name
	s.epochAsked = 0
	if s.cfg.Idempotent {
		s.haveTo = ActionSendCall
		return
	}
	s.askEpoch()
}

func (s *Sender) askEpoch() {
	s.epoch = ""
	s.epochAsked++
	s.haveTo = ActionFetchEpoch
}

func (s *Sender) mayRetry(now time.Duration) bool {
	return s.cfg.AllowRetry == nil || s.cfg.AllowRetry(now)
}

// tellNotRun ends the call with "not run", or with "unknown" when an earlier attempt may have run.
func (s *Sender) tellNotRun(kind wire.ErrorKind) {
	if s.mayHaveRun {
		s.tell(wire.OutcomeUnknown, wire.KindOutcomeUnknown)
		return
	}
	s.tell(wire.OutcomeNotRun, kind)
}

func (s *Sender) tell(outcome wire.Outcome, kind wire.ErrorKind) {
	s.haveTo = ActionRespond
	s.final = Step{Action: ActionRespond, Upstream: s.upstream, Outcome: outcome, Reason: kind}
}

// isFinal reports whether a refusal concerns the identity itself, so that another upstream must not be tried.
func isFinal(reason wire.ErrorKind) bool {
	return reason == wire.KindDuplicateRequest || reason == wire.KindIdentityConflict || reason == wire.KindDeadlineExceeded
}
