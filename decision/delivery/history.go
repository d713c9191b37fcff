package delivery

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// CandidateHistory holds the sets that were in force while identities may still be repeated. Senders take candidates
// from it, and controllers learn from it whom to ask before a later attempt runs.
type CandidateHistory struct {
	cfg     Config
	entries []inForce
	// effective is the index of the newest settled entry.
	effective int
	// incomplete is until when a skipped set may matter.
	incomplete time.Duration
}

type inForce struct {
	set     *config.Set
	adopted time.Duration
	// replaced is when the next set was adopted; 0 while this one is the newest.
	replaced time.Duration
	// settled is true when the set's candidates were or are in use.
	settled bool
}

// NewCandidateHistory returns a history that keeps replaced sets as long as a Ledger with the same configuration keeps
// its records.
func NewCandidateHistory(cfg Config) *CandidateHistory {
	return &CandidateHistory{cfg: cfg.withDefaults()}
}

// Adopt notes that a set is in force from now on. The first set is effective at once. A set that declares the
// same upstreams as the newest one takes its place without a delay.
func (h *CandidateHistory) Adopt(now time.Duration, set *config.Set) {
	h.advance(now)
	last := len(h.entries) - 1
	if last >= 0 && sameUpstreams(h.entries[last].set, set) {
		h.entries[last].set = set
		return
	}
	if last >= 0 {
		h.entries[last].replaced = now
	}
	h.entries = append(h.entries, inForce{set: set, adopted: now, settled: last < 0})
}

// RecordSkippedSet notes that the set adopted now was built from another one than the set in force before: the parent in its
// manifest differs. Other nodes may have used candidates that this node never knew, so it cannot decide on later
// attempts until their identities are forgotten. The first set of a process skips nothing.
func (h *CandidateHistory) RecordSkippedSet(now time.Duration) { h.incomplete = now + h.span() }

// IsComplete reports whether Others covers every set that matters. While it does not, the caller of a later attempt is
// told outcome_unknown instead of starting a BarRound.
func (h *CandidateHistory) IsComplete(now time.Duration) bool {
	return now >= h.incomplete || h.cfg.Disabled.Has(safeguard.SkippedVersionCheck)
}

// Candidates returns the candidates by the newest settled set, or nil before the first Adopt.
func (h *CandidateHistory) Candidates(now time.Duration, service, identity string) []*config.Upstream {
	h.advance(now)
	if len(h.entries) == 0 {
		return nil
	}
	return Candidates(h.entries[h.effective].set, service, identity)
}

// OtherCandidates returns the names of all candidates but self, by every set of the history, settled or not.
func (h *CandidateHistory) OtherCandidates(now time.Duration, service, identity, self string) []string {
	h.advance(now)
	var names []string
	for _, e := range h.entries {
		for _, u := range Candidates(e.set, service, identity) {
			if u.Name != self && !slices.Contains(names, u.Name) {
				names = append(names, u.Name)
			}
		}
	}
	return names
}

// span is how long a replaced set matters: its candidates may be in use for the adoption bound after this node
// replaced it, and the identities that ran there may be repeated.
func (h *CandidateHistory) span() time.Duration { return h.cfg.keep() + h.cfg.AdoptionBound }

// Eligible reports whether self was a candidate of the identity by any settled set. A controller refuses other
// non-idempotent calls with wire.WrongUpstream: their sender knows a set that other controllers may not know yet,
// and those would not ask this one before they run a later attempt.
func (h *CandidateHistory) Eligible(now time.Duration, service, identity, self string) bool {
	h.advance(now)
	for _, e := range h.entries {
		if h.cfg.Disabled.Has(safeguard.EligibilityCheck) || e.settled && slices.ContainsFunc(Candidates(e.set, service, identity), named(self)) {
			return true
		}
	}
	return false
}

func named(name string) func(*config.Upstream) bool {
	return func(u *config.Upstream) bool { return u.Name == name }
}

// advance settles the newest set when its delay has passed and drops sets whose identities are forgotten. A
// set replaced before it settled never becomes effective, but is asked like the others.
func (h *CandidateHistory) advance(now time.Duration) {
	last := len(h.entries) - 1
	if last >= 0 && now-h.entries[last].adopted >= h.cfg.settle() {
		h.effective = last
		h.entries[last].settled = true
	}
	drop := 0
	for drop < h.effective && now-h.entries[drop].replaced > h.span() {
		drop++
	}
	h.entries = slices.Delete(h.entries, 0, drop)
	h.effective -= drop
}

// sameUpstreams reports whether two sets declare the same upstreams by name, service and data centre, so that
// they have the same candidates.
func sameUpstreams(a, b *config.Set) bool {
	return slices.EqualFunc(a.Upstreams, b.Upstreams, func(x, y config.Upstream) bool {
		return x.Name == y.Name && x.Service == y.Service && x.DataCentre == y.DataCentre
	})
}
