package delivery

import (
	"strconv"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// Verdict says what a controller does with an arriving call.
type Verdict int

// Verdicts of Ledger.Accept.
const (
	// VerdictRun means that the call is recorded as running; Finish or Release must follow.
	VerdictRun Verdict = iota
	// VerdictReplay means that the identity ran; Decision.Result is its recorded response.
	VerdictReplay
	// VerdictInProgress means that the identity is running now; the response to this call is outcome_unknown.
	VerdictInProgress
	// VerdictNeedBar means that a BarRound over the other candidates must be clear before Accept is called again
	// with BarredElsewhere set.
	VerdictNeedBar
	// VerdictRefuse means that the call does not run; Decision.Kind and Decision.Outcome say why and what is certain.
	VerdictRefuse
)

// Request is a call at the controller of the upstream it was sent to.
type Request struct {
	// Call is the random identity of the forwarded call (HeaderCall). A call refused here stays refused.
	Call string
	// Identity is the idempotency key scoped by team; it is kept, so it must not alias a reused buffer.
	Identity   string
	BodyDigest uint64
	// Attempt is the caller's attempt number; 0 (no header) counts as a later attempt.
	Attempt int
	// Epoch is the fencing token that the sender got from this controller.
	Epoch           string
	Idempotent      bool
	BarredElsewhere bool
}

// Result is the response of an upstream.
type Result struct {
	// Unknown is true when the call was handed to the upstream and no whole response came.
	Unknown     bool
	Status      int
	ContentType string
	Body        []byte
}

// Decision is the answer of Ledger.Accept.
type Decision struct {
	Verdict Verdict
	Result  Result
	Reason  wire.ErrorKind
	// Outcome is wire.NotRun only when this call did not run and will not.
	Outcome wire.Outcome
}

// Ledger is the in-memory record of one controller process, named by its epoch.
type Ledger struct {
	cfg      Config
	start    time.Duration
	epochID  string
	records  map[string]*record
	order    recordQueue
	refused  refusals
	bytes    int
	epochs   [2]string
	epochGen int64
}

// NewLedger returns an empty ledger. The epoch ID must be random and new for each process.
func NewLedger(cfg Config, start time.Duration, epochID string) *Ledger {
	cfg = cfg.withDefaults()
	return &Ledger{
		cfg:      cfg,
		start:    start,
		epochID:  epochID,
		records:  map[string]*record{},
		refused:  newRefusals(cfg.generation(), cfg.MaxRefusals, start),
		epochGen: -1,
	}
}

// Epoch returns the fencing token that senders must present, or "" while the ledger is too young to accept
// non-idempotent calls (see Config.quarantine).
func (l *Ledger) Epoch(now time.Duration) string {
	if l.quarantined(now) {
		return ""
	}
	return l.currentEpochs(now)[0]
}

// Accept decides on an arriving call. After Run, the caller must call Finish or Release.
func (l *Ledger) Accept(now time.Duration, r Request) Decision {
	if r.Idempotent {
		return Decision{Verdict: VerdictRun}
	}
	l.expire(now)
	if kind, found := l.refused.find(now, r.Call); found {
		return refuse(kind, wire.OutcomeNotRun)
	}
	if rec := l.records[r.Identity]; rec != nil {
		return l.repeat(rec, r)
	}
	if d, refused := l.fence(now, r); refused {
		return d
	}
	if r.Attempt != 1 && !r.BarredElsewhere && !l.off(safeguard.IdentityBarring) {
		if !l.remembers(now) {
			return refuse(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
		}
		return Decision{Verdict: VerdictNeedBar}
	}
	if len(l.records) >= l.cfg.MaxRecords {
		return refuse(wire.KindOverloaded, wire.OutcomeNotRun)
	}
	l.add(now, r.Identity, &record{state: running, digest: r.BodyDigest})
	return Decision{Verdict: VerdictRun}
}

// Finish records the response of a call that Accept let run. An unknown identity is ignored.
func (l *Ledger) Finish(now time.Duration, identity string, res Result) {
	rec := l.records[identity]
	if rec == nil || rec.state != running {
		return
	}
	rec.state = done
	rec.result = res
	rec.result.Body = l.keepBody(rec, res)
	l.expire(now)
}

// Release forgets a call that was accepted and then refused before the upstream saw it. The call itself stays
// refused, so that a late copy of the message cannot run after its sender was told "not run".
func (l *Ledger) Release(now time.Duration, r Request, kind wire.ErrorKind) {
	if r.Idempotent {
		return
	}
	rec := l.records[r.Identity]
	if rec == nil || rec.state != running {
		return
	}
	l.remove(rec)
	l.RefuseCall(now, r.Call, kind)
}

// RefuseCall remembers that a call was refused with "not run" before Accept saw it, for example because the
// node is leaving.
func (l *Ledger) RefuseCall(now time.Duration, call string, kind wire.ErrorKind) {
	if !l.off(safeguard.RefusalRecord) {
		l.refused.add(now, call, kind)
	}
}

// Bar refuses an identity from now on unless it was accepted, and says which. A record that is younger than
// the keep time, or full, cannot tell and answers NotKnown.
func (l *Ledger) Bar(now time.Duration, identity string) wire.BarIdentityResponse {
	l.expire(now)
	rec := l.records[identity]
	switch {
	case rec == nil && (!l.remembers(now) || len(l.records) >= l.cfg.MaxRecords):
		return wire.BarIdentityResponse{Result: wire.IdentityNotKnown}
	case rec == nil:
		l.add(now, identity, &record{state: barred})
		return wire.BarIdentityResponse{Result: wire.IdentityBarred}
	case rec.state == barred:
		return wire.BarIdentityResponse{Result: wire.IdentityBarred}
	case rec.state == done && rec.complete:
		return wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan, Status: rec.result.Status, Body: rec.result.Body}
	}
	return wire.BarIdentityResponse{Result: wire.IdentityAlreadyRan}
}

// Len returns the number of identities held.
func (l *Ledger) Len() int { return len(l.records) }

// repeat decides on an identity that is on record.
func (l *Ledger) repeat(rec *record, r Request) Decision {
	switch {
	case rec.state == barred && r.Attempt != 1 && !r.BarredElsewhere:
		// The round tells the caller what happened elsewhere.
		return Decision{Verdict: VerdictNeedBar}
	case rec.state == barred && r.BarredElsewhere:
		// Every candidate is barred and none ran it, so it never runs under this identity.
		return refuse(wire.KindDuplicateRequest, wire.OutcomeNotRun)
	case rec.state == barred:
		// A later attempt took the identity over and may have run elsewhere.
		return refuse(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
	case rec.digest != r.BodyDigest:
		return refuse(wire.KindIdentityConflict, wire.OutcomeNotRun)
	case rec.state == running:
		return Decision{Verdict: VerdictInProgress, Reason: wire.KindOutcomeUnknown, Outcome: wire.OutcomeUnknown}
	case rec.result.Unknown:
		return refuse(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
	case !rec.complete:
		return refuse(wire.KindDuplicateRequest, wire.OutcomeUnknown)
	}
	return Decision{Verdict: VerdictReplay, Result: rec.result, Outcome: wire.OutcomeRan}
}

// fence refuses a call whose sender may have read its epoch, or checked its deadline, before the previous
// in-memory record was lost.
func (l *Ledger) fence(now time.Duration, r Request) (d Decision, refused bool) {
	if l.off(safeguard.EpochFence) {
		return Decision{}, false
	}
	if l.quarantined(now) {
		return refuse(wire.KindNotReady, wire.OutcomeNotRun), true
	}
	if e := l.currentEpochs(now); r.Epoch == "" || (r.Epoch != e[0] && r.Epoch != e[1]) {
		return refuse(wire.KindWrongEpoch, wire.OutcomeNotRun), true
	}
	return Decision{}, false
}

func (l *Ledger) quarantined(now time.Duration) bool {
	return now-l.start < l.cfg.quarantine() && !l.off(safeguard.StartQuarantine)
}

// remembers reports whether the record covers every identity that a caller may still repeat.
func (l *Ledger) remembers(now time.Duration) bool { return now-l.start >= l.cfg.keep() }

// currentEpochs returns the tokens of the current and the previous generation.
func (l *Ledger) currentEpochs(now time.Duration) [2]string {
	gen := int64((now - l.start) / l.cfg.generation())
	if gen != l.epochGen {
		l.epochGen = gen
		l.epochs = [2]string{l.epoch(gen), l.epoch(gen - 1)}
	}
	return l.epochs
}

func (l *Ledger) epoch(gen int64) string {
	if gen < 0 {
		return ""
	}
	return l.epochID + "." + strconv.FormatInt(gen, 10)
}

func (l *Ledger) off(m safeguard.Set) bool { return l.cfg.Disabled.Has(m) }

func refuse(kind wire.ErrorKind, outcome wire.Outcome) Decision {
	return Decision{Verdict: VerdictRefuse, Reason: kind, Outcome: outcome}
}
