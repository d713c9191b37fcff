package delivery

import (
	"strconv"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// Verdict says what a controller has to do with an arriving call.
type Verdict int

// Verdicts of Ledger.Accept.
const (
	// VerdictRun means that the call may run and is recorded as running; Finish or Release must follow.
	VerdictRun Verdict = iota
	// VerdictReplay means that the identity ran; Decision.Result is the recorded response to send.
	VerdictReplay
	// VerdictInProgress means that the identity is running now; this call is answered with outcome_unknown.
	VerdictInProgress
	// VerdictNeedBar means that the controller must run a BarRound with the other candidates, and may call Accept again
	// with BarredElsewhere set only if the round is clear.
	VerdictNeedBar
	// VerdictRefuse means that the call does not run; Decision.Reason says why, Decision.Outcome what is known about the
	// identity.
	VerdictRefuse
)

// Request is a call as it arrives at the controller of the upstream that it was sent to.
type Request struct {
	// Call is the random ID of the forwarded call (wire.HeaderCallID). A call that is refused once stays refused.
	Call string
	// Identity is the idempotency key prefixed with the team. The ledger keeps it, so it must not alias a reused buffer.
	Identity   string
	BodyDigest uint64
	// Attempt is the caller's attempt number; the first is 1. 0, for a call without the header, counts as a later
	// attempt.
	Attempt int
	// Epoch is the epoch that the sender got from this controller.
	Epoch      string
	Idempotent bool
	// BarredElsewhere is true if a BarRound has shown that no other candidate ran the identity or will.
	BarredElsewhere bool
}

// Result is the response of an upstream.
type Result struct {
	// Unknown is true if the call was sent to the upstream and no complete response came.
	Unknown     bool
	Status      int
	ContentType string
	Body        []byte
}

// Decision is a controller's decision on an arriving call.
type Decision struct {
	Verdict Verdict
	Result  Result
	Reason  wire.ErrorKind
	// Outcome is wire.OutcomeNotRun only if this call did not run and will not.
	Outcome wire.Outcome
}

// Ledger is the in-memory record of the identities that one controller process accepted. Its epoch is a fencing
// token: a sender has to get the current epoch before it sends a non-idempotent call, so that calls sent before a
// restart of the controller, which loses the record, are refused.
type Ledger struct {
	cfg           Config
	startedAt     time.Duration
	epochID       string
	records       map[string]*record
	expiryQueue   recordQueue
	refusals      refusalMemory
	recordedBytes int
	// epochs are the epochs of the generations epochGeneration and epochGeneration - 1.
	epochs          [2]string
	epochGeneration int64
}

// NewLedger returns an empty ledger of a process that started at start. The epoch ID must be random and new for each
// process.
func NewLedger(cfg Config, start time.Duration, epochID string) *Ledger {
	cfg = cfg.withDefaults()
	return &Ledger{
		cfg:             cfg,
		startedAt:       start,
		epochID:         epochID,
		records:         map[string]*record{},
		refusals:        newRefusalMemory(cfg.generationTime(), cfg.MaxRefusals, start),
		epochGeneration: -1,
	}
}

// Epoch returns the epoch that senders must present, or "" shortly after the start, when the ledger accepts no
// non-idempotent calls yet (see Config.quarantineTime).
func (l *Ledger) Epoch(now time.Duration) string {
	if l.inQuarantine(now) {
		return ""
	}
	return l.currentEpochs(now)[0]
}

// Accept decides on an arriving call. After VerdictRun the caller must call Finish or Release.
func (l *Ledger) Accept(now time.Duration, r Request) Decision {
	if r.Idempotent {
		return Decision{Verdict: VerdictRun}
	}
	l.expireRecords(now)
	if kind, found := l.refusals.find(now, r.Call); found {
		return newRefusal(kind, wire.OutcomeNotRun)
	}
	if rec := l.records[r.Identity]; rec != nil {
		return l.decideRepeated(rec, r)
	}
	if d, refused := l.checkEpoch(now, r); refused {
		return d
	}
	if r.Attempt != 1 && !r.BarredElsewhere && !l.isDisabled(safeguard.IdentityBarring) {
		if !l.coversRetention(now) {
			return newRefusal(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
		}
		return Decision{Verdict: VerdictNeedBar}
	}
	if len(l.records) >= l.cfg.MaxRecords {
		return newRefusal(wire.KindOverloaded, wire.OutcomeNotRun)
	}
	l.addRecord(now, r.Identity, &record{state: stateRunning, digest: r.BodyDigest})
	return Decision{Verdict: VerdictRun}
}

// Finish records the response to a call that Accept let run. It ignores identities that are not running.
func (l *Ledger) Finish(now time.Duration, identity string, res Result) {
	rec := l.records[identity]
	if rec == nil || rec.state != stateRunning {
		return
	}
	rec.state = stateDone
	rec.result = res
	rec.result.Body = l.copyBodyForReplay(rec, res)
	l.expireRecords(now)
}

// Release removes the record of a call that was accepted and then refused before it was sent to the upstream. The call
// itself is recorded as refused, so that a late copy of its message cannot run after the sender was told "not run".
func (l *Ledger) Release(now time.Duration, r Request, kind wire.ErrorKind) {
	if r.Idempotent {
		return
	}
	rec := l.records[r.Identity]
	if rec == nil || rec.state != stateRunning {
		return
	}
	l.removeRecord(rec)
	l.RefuseCall(now, r.Call, kind)
}

// RefuseCall records that a call was refused with "not run" without a decision of Accept, for example because the node
// is leaving.
func (l *Ledger) RefuseCall(now time.Duration, call string, kind wire.ErrorKind) {
	if !l.isDisabled(safeguard.RefusalRecord) {
		l.refusals.add(now, call, kind)
	}
}

// Bar records that an identity is refused from now on, unless it was accepted before, and returns which of the two is
// the case. If the ledger is younger than the record lifetime, or full, the answer is wire.IdentityNotKnown.
func (l *Ledger) Bar(now time.Duration, identity string) wire.BarIdentityResponse {
	l.expireRecords(now)
	rec := l.records[identity]
	switch {
	case rec == nil && (!l.coversRetention(now) || len(l.records) >= l.cfg.MaxRecords):
		return wire.BarIdentityResponse{Result: wire.IdentityNotKnown}
	case rec == nil:
		l.addRecord(now, identity, &record{state: stateBarred})
		return wire.BarIdentityResponse{Result: wire.IdentityBarred}
	case rec.state == stateBarred:
		return wire.BarIdentityResponse{Result: wire.IdentityBarred}
	case rec.state == stateDone && rec.replayable:
		return wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan, Status: rec.result.Status, Body: rec.result.Body}
	}
	return wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan}
}

// Len returns the number of identities on record.
func (l *Ledger) Len() int { return len(l.records) }

// decideRepeated decides on a call whose identity is on record.
func (l *Ledger) decideRepeated(rec *record, r Request) Decision {
	switch {
	case rec.state == stateBarred && r.Attempt != 1 && !r.BarredElsewhere:
		// The bar round finds out what happened at the other candidates.
		return Decision{Verdict: VerdictNeedBar}
	case rec.state == stateBarred && r.BarredElsewhere:
		// All candidates have barred the identity and none ran it, so it will never run.
		return newRefusal(wire.KindDuplicateRequest, wire.OutcomeNotRun)
	case rec.state == stateBarred:
		// Another candidate asked to bar the identity for a later attempt, which may have run there.
		return newRefusal(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
	case rec.digest != r.BodyDigest:
		return newRefusal(wire.KindIdentityConflict, wire.OutcomeNotRun)
	case rec.state == stateRunning:
		return Decision{Verdict: VerdictInProgress, Reason: wire.KindOutcomeUnknown, Outcome: wire.OutcomeUnknown}
	case rec.result.Unknown:
		return newRefusal(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
	case !rec.replayable:
		return newRefusal(wire.KindDuplicateRequest, wire.OutcomeUnknown)
	}
	return Decision{Verdict: VerdictReplay, Result: rec.result, Outcome: wire.OutcomeRan}
}

// checkEpoch refuses a call whose sender may have got its epoch, or checked its deadline, before the record of the
// previous process was lost.
func (l *Ledger) checkEpoch(now time.Duration, r Request) (d Decision, refused bool) {
	if l.isDisabled(safeguard.EpochFence) {
		return Decision{}, false
	}
	if l.inQuarantine(now) {
		return newRefusal(wire.KindNotReady, wire.OutcomeNotRun), true
	}
	if e := l.currentEpochs(now); r.Epoch == "" || (r.Epoch != e[0] && r.Epoch != e[1]) {
		return newRefusal(wire.KindWrongEpoch, wire.OutcomeNotRun), true
	}
	return Decision{}, false
}

func (l *Ledger) inQuarantine(now time.Duration) bool {
	return now-l.startedAt < l.cfg.quarantineTime() && !l.isDisabled(safeguard.StartQuarantine)
}

// coversRetention reports whether the ledger has a record of all identities accepted here that callers may repeat.
func (l *Ledger) coversRetention(now time.Duration) bool {
	return now-l.startedAt >= l.cfg.recordLifetime()
}

// currentEpochs returns the epochs of the current and the previous generation.
func (l *Ledger) currentEpochs(now time.Duration) [2]string {
	gen := int64((now - l.startedAt) / l.cfg.generationTime())
	if gen != l.epochGeneration {
		l.epochGeneration = gen
		l.epochs = [2]string{l.epochOf(gen), l.epochOf(gen - 1)}
	}
	return l.epochs
}

// epochOf returns the epoch of a generation, or "" for one before the start.
func (l *Ledger) epochOf(gen int64) string {
	if gen < 0 {
		return ""
	}
	return l.epochID + "." + strconv.FormatInt(gen, 10)
}

func (l *Ledger) isDisabled(safeguards safeguard.Set) bool { return l.cfg.Disabled.Has(safeguards) }

func newRefusal(kind wire.ErrorKind, outcome wire.Outcome) Decision {
	return Decision{Verdict: VerdictRefuse, Reason: kind, Outcome: outcome}
}
