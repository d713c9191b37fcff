package delivery

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// CandidateHistory holds the sets that were in force for as long as identities from that time may be repeated. Entry
// nodes take the candidates of an identity from it, and controllers the upstreams to ask before a later attempt runs.
type CandidateHistory struct {
	cfg     Config
	entries []historyEntry
	// effective is the index of the newest settled entry, whose candidates are used.
	effective int
	// incompleteUntil is the time until which identities may be repeated that ran at a candidate of a skipped set.
	incompleteUntil time.Duration
}

// historyEntry is a set with the time in which it was in force.
type historyEntry struct {
	set       *config.Set
	adoptedAt time.Duration
	// replacedAt is when the next set was adopted, or 0 for the newest set.
	replacedAt time.Duration
	// settled is true if the set's candidates are or were used for calls.
	settled bool
}

// NewCandidateHistory returns an empty history. The configuration must be the one of the controller's Ledger, because
// replaced sets are kept for its record lifetime.
func NewCandidateHistory(cfg Config) *CandidateHistory {
	return &CandidateHistory{cfg: cfg.withDefaults()}
}

// Adopt records that a set is in force from now on. The first set takes effect at once, later ones after the settling
// delay. A set that declares the same upstreams as the newest one replaces that one without a delay.
func (h *CandidateHistory) Adopt(now time.Duration, set *config.Set) {
	h.settleAndPrune(now)
	last := len(h.entries) - 1
	if last >= 0 && sameUpstreams(h.entries[last].set, set) {
		h.entries[last].set = set
		return
	}
	if last >= 0 {
		h.entries[last].replacedAt = now
	}
	h.entries = append(h.entries, historyEntry{set: set, adoptedAt: now, settled: last < 0})
}

// RecordSkippedSet records that the node missed at least one set: the parent in the manifest of the set adopted now
// is not the set that was in force before. Other nodes may have used candidates of the missed set, which this node
// does not know, so it cannot decide on later attempts until those identities can no longer be repeated. It must not
// be called for the first set of a process.
func (h *CandidateHistory) RecordSkippedSet(now time.Duration) {
	h.incompleteUntil = now + h.replacedSetLifetime()
}

// IsComplete reports whether OtherCandidates covers all sets whose identities may be repeated. While it does not, the
// controller answers later attempts with outcome_unknown instead of starting a BarRound.
func (h *CandidateHistory) IsComplete(now time.Duration) bool {
	return now >= h.incompleteUntil || h.cfg.Disabled.Has(safeguard.SkippedVersionCheck)
}

// Candidates returns the candidates of the identity in the newest settled set, or nil before the first Adopt.
func (h *CandidateHistory) Candidates(now time.Duration, service, identity string) []*config.Upstream {
	h.settleAndPrune(now)
	if len(h.entries) == 0 {
		return nil
	}
	return Candidates(h.entries[h.effective].set, service, identity)
}

// OtherCandidates returns the names of the identity's candidates in all sets of the history, settled or not, except
// self.
func (h *CandidateHistory) OtherCandidates(now time.Duration, service, identity, self string) []string {
	h.settleAndPrune(now)
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

// replacedSetLifetime is how long a replaced set is kept: other nodes may use its candidates for AdoptionBound after
// this node replaced it, and the identities that ran there may be repeated for the record lifetime.
func (h *CandidateHistory) replacedSetLifetime() time.Duration {
	return h.cfg.recordLifetime() + h.cfg.AdoptionBound
}

// Eligible reports whether self is a candidate of the identity in any settled set. A controller refuses other
// non-idempotent calls with wire.KindWrongUpstream: their sender uses a set that other controllers may not know yet,
// and these would not ask this controller before they run a later attempt.
func (h *CandidateHistory) Eligible(now time.Duration, service, identity, self string) bool {
	h.settleAndPrune(now)
	for _, e := range h.entries {
		if h.cfg.Disabled.Has(safeguard.EligibilityCheck) || e.settled && slices.ContainsFunc(Candidates(e.set, service, identity), hasName(self)) {
			return true
		}
	}
	return false
}

func hasName(name string) func(*config.Upstream) bool {
	return func(u *config.Upstream) bool { return u.Name == name }
}

// settleAndPrune settles the newest set if its delay has passed, and drops the sets that are no longer needed. A set
// that is replaced before it settles never takes effect, but OtherCandidates covers it.
func (h *CandidateHistory) settleAndPrune(now time.Duration) {
	last := len(h.entries) - 1
	if last >= 0 && now-h.entries[last].adoptedAt >= h.cfg.settleDelay() {
		h.effective = last
		h.entries[last].settled = true
	}
	drop := 0
	for drop < h.effective && now-h.entries[drop].replacedAt > h.replacedSetLifetime() {
		drop++
	}
	h.entries = slices.Delete(h.entries, 0, drop)
	h.effective -= drop
}

// sameUpstreams reports whether two sets declare upstreams with the same names, services and data centres, so that all
// identities have the same candidates in both.
func sameUpstreams(a, b *config.Set) bool {
	return slices.EqualFunc(a.Upstreams, b.Upstreams, func(x, y config.Upstream) bool {
		return x.Name == y.Name && x.Service == y.Service && x.DataCentre == y.DataCentre
	})
}
