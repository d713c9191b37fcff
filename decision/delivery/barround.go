package delivery

import "github.com/bamboodeal/bamboodeal/api/wire"

// BarRoundState is the state of a BarRound.
type BarRoundState int

// States of a BarRound.
const (
	// BarRoundPending means that verdicts are outstanding.
	BarRoundPending BarRoundState = iota
	// BarRoundClear means that no other candidate ran the identity or will; Accept may be called with BarredElsewhere.
	BarRoundClear
	// BarRoundRanElsewhere means that another candidate accepted it; Decision holds what the caller is told.
	BarRoundRanElsewhere
	// BarRoundUndecided means that some candidate cannot tell; the caller is told outcome_unknown and nothing runs.
	BarRoundUndecided
)

// BarRound is run by a controller when a later attempt arrives: it asks every other candidate of the identity
// to bar it and collects the verdicts.
type BarRound struct {
	waiting  map[string]bool
	unsure   bool
	ran      bool
	complete bool
	result   Result
}

// NewBarRound starts a round that asks the given upstreams (see History.Others).
func NewBarRound(others []string) *BarRound {
	b := &BarRound{waiting: make(map[string]bool, len(others))}
	for _, name := range others {
		b.waiting[name] = true
	}
	return b
}

// RecordVerdict takes the verdict of one candidate. A second verdict of the same candidate is ignored.
func (b *BarRound) RecordVerdict(upstream string, r wire.BarIdentityResponse) {
	if !b.waiting[upstream] {
		return
	}
	delete(b.waiting, upstream)
	switch r.Result {
	case wire.IdentityBarred:
	case wire.IdentityAlreadyRan:
		b.ran = true
		if r.Status != 0 {
			b.complete = true
			b.result = Result{Status: r.Status, Body: r.Body}
		}
	default:
		b.unsure = true
	}
}

// RecordNoAnswer notes that a candidate could not be asked or did not answer in time.
func (b *BarRound) RecordNoAnswer(upstream string) {
	b.RecordVerdict(upstream, wire.BarIdentityResponse{Result: wire.IdentityNotKnown})
}

// Expire ends the round at the call's deadline; candidates without a verdict count as not answering.
func (b *BarRound) Expire() {
	for name := range b.waiting {
		b.RecordNoAnswer(name)
	}
}

// State says whether the round is over. One candidate that ran the identity decides it at once; a candidate
// that cannot tell does not, because another may still return the result.
func (b *BarRound) State() BarRoundState {
	switch {
	case b.ran:
		return BarRoundRanElsewhere
	case len(b.waiting) > 0:
		return BarRoundPending
	case b.unsure:
		return BarRoundUndecided
	}
	return BarRoundClear
}

// Decision is what the caller is told after RanElsewhere or Undecided.
func (b *BarRound) Decision() Decision {
	if b.complete {
		return Decision{Verdict: VerdictReplay, Result: b.result, Outcome: wire.OutcomeRan}
	}
	return refuse(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
}
