package delivery

import "github.com/bamboodeal/bamboodeal/api/wire"

// BarRoundState is the state of a BarRound.
type BarRoundState int

// States of a BarRound.
const (
	// BarRoundPending means that not all candidates have answered yet.
	BarRoundPending BarRoundState = iota
	// BarRoundClear means that no other candidate ran the identity or will run it; Ledger.Accept may be called with
	// Request.BarredElsewhere set.
	BarRoundClear
	// BarRoundRanElsewhere means that another candidate accepted the identity; Decision returns the answer to the caller.
	BarRoundRanElsewhere
	// BarRoundUndecided means that a candidate does not know whether it ran the identity; the caller is told
	// outcome_unknown and the call does not run.
	BarRoundUndecided
)

// BarRound collects the responses of the other candidates of an identity. A controller starts a round when a later
// attempt of a call arrives, and asks each of them to bar the identity, that is, to refuse it from now on.
type BarRound struct {
	pending    map[string]bool
	hasUnknown bool
	hasRun     bool
	hasResult  bool
	result     Result
}

// NewBarRound starts a round that asks the given upstreams (see CandidateHistory.OtherCandidates).
func NewBarRound(others []string) *BarRound {
	b := &BarRound{pending: make(map[string]bool, len(others))}
	for _, name := range others {
		b.pending[name] = true
	}
	return b
}

// RecordResponse records the response of a candidate. A second response of the same candidate is ignored.
func (b *BarRound) RecordResponse(upstream string, r wire.BarIdentityResponse) {
	if !b.pending[upstream] {
		return
	}
	delete(b.pending, upstream)
	switch r.Result {
	case wire.IdentityBarred:
	case wire.IdentityAlreadyRan:
		b.hasRun = true
		if r.Status != 0 {
			b.hasResult = true
			b.result = Result{Status: r.Status, Body: r.Body}
		}
	default:
		b.hasUnknown = true
	}
}

// RecordNoAnswer records that a candidate could not be asked or did not answer in time.
func (b *BarRound) RecordNoAnswer(upstream string) {
	b.RecordResponse(upstream, wire.BarIdentityResponse{Result: wire.IdentityNotKnown})
}

// Expire ends the round at the call's deadline: all pending candidates count as not having answered.
func (b *BarRound) Expire() {
	for name := range b.pending {
		b.RecordNoAnswer(name)
	}
}

// State returns the state of the round. A single candidate that ran the identity ends the round at once. A candidate
// that does not know does not end it, because another one may still return the result.
func (b *BarRound) State() BarRoundState {
	switch {
	case b.hasRun:
		return BarRoundRanElsewhere
	case len(b.pending) > 0:
		return BarRoundPending
	case b.hasUnknown:
		return BarRoundUndecided
	}
	return BarRoundClear
}

// Decision returns the decision on the call after BarRoundRanElsewhere or BarRoundUndecided.
func (b *BarRound) Decision() Decision {
	if b.hasResult {
		return Decision{Verdict: VerdictReplay, Result: b.result, Outcome: wire.OutcomeRan}
	}
	return newRefusal(wire.KindOutcomeUnknown, wire.OutcomeUnknown)
}
