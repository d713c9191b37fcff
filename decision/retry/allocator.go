package retry

import (
	"math"
	"math/rand/v2"
	"time"
)

// Use is what an extra attempt is for. A higher use saves more.
type Use int

// Uses of extra attempts.
const (
	// UseReturnable is an attempt for a caller's request that has not run. Its caller can return at no cost to the budget.
	UseReturnable Use = iota
	// UseHedge is a second attempt while the first one is at work.
	UseHedge
	// UseCaller is an attempt for an idempotent request of a caller whose attempt failed after it may have run.
	UseCaller
	// UseNested is an attempt for a nested call whose parent has spent little so far.
	UseNested
	// UseSunk is an attempt for a nested call whose parent would lose finished work.
	UseSunk

	useCount
)

var useNames = [useCount]string{"returnable", "hedge", "caller", "nested", "sunk"}

// String returns the name of the use in log lines and metrics.
func (u Use) String() string { return useNames[u] }

// demandTime is the time constant of the moving averages of demand and gain, and the time ahead for which the budget is
// allocated. Incidents last about 8 s. A node sees about one failed call of a service in a second then, so a shorter time
// would leave an average over a single call.
const demandTime = 2 * time.Second

// Allocator decides which attempts may draw from a Budget. Over the next demandTime the budget is expected to supply what
// it holds and what it gains, and each use to ask for as much as it did lately. A use gets what the higher uses are
// expected to leave. An Allocator is not safe for concurrent use.
type Allocator struct {
	budget *Budget
	rand   *rand.Rand
	// demand holds, by use, the number of attempts that were asked for, and gain what the budget has gained, both
	// over about the last demandTime before updatedAt. earnedAtUpdate is the budget's earned at updatedAt.
	demand         [useCount]float64
	gain           float64
	earnedAtUpdate float64
	updatedAt      time.Duration
	// draws holds, by use, the random number that the next attempt is decided with. Available and a Withdraw that follows
	// it use the same one.
	draws [useCount]float64
	// nestedShortAt is when a nested use was last denied. It may be read if nestedShort is true.
	nestedShortAt time.Duration
	nestedShort   bool
	// attempts and refused count the attempts and those that upstreams refused, over about the last demandTime before
	// outcomeAt.
	attempts, refused float64
	outcomeAt         time.Duration
}

// NewAllocator returns an allocator of a budget. Calls of the budget's own methods for deposits and refills remain allowed.
func NewAllocator(b *Budget, r *rand.Rand) *Allocator {
	a := &Allocator{budget: b, rand: r, earnedAtUpdate: b.earned, updatedAt: b.refilledAt}
	for use := range a.draws {
		a.draws[use] = r.Float64()
	}
	return a
}

// decay returns the weight that remains of an average after a time.
func decay(elapsed time.Duration) float64 { return math.Exp(-float64(elapsed) / float64(demandTime)) }

// update brings the averages up to now.
func (a *Allocator) update(now time.Duration) {
	a.budget.refill(now)
	elapsed := now - a.updatedAt
	if elapsed <= 0 {
		return
	}
	kept := decay(elapsed)
	for use := range a.demand {
		a.demand[use] *= kept
	}
	gainInDemandTime := (a.budget.earned - a.earnedAtUpdate) * float64(demandTime) / float64(elapsed)
	a.gain = a.gain*kept + gainInDemandTime*(1-kept)
	a.earnedAtUpdate, a.updatedAt = a.budget.earned, now
}

// share returns the probability with which an attempt for the use may draw from the budget.
func (a *Allocator) share(use Use) float64 {
	if a.budget.capacity >= 2 && a.budget.tokens+a.budget.ratio > a.budget.capacity {
		// The budget would lose what the next first attempt earns, and it still has an attempt for a higher use after this.
		return 1
	}
	higher := 0.0
	for _, demand := range a.demand[use+1:] {
		higher += demand
	}
	if higher == 0 {
		return 1
	}
	// The margin is an attempt that a higher use can take at once and the square root of the demand, by which it varies,
	// but no more than the budget can hold.
	margin := min(1+math.Sqrt(higher), a.budget.capacity)
	left := a.budget.tokens + a.budget.floor + max(0, a.gain) - higher - margin
	return max(0, min(1, left/max(1, a.demand[use])))
}

// admits reports whether the use may draw from the budget now, if the budget has an attempt.
func (a *Allocator) admits(now time.Duration, use Use) bool {
	if use == UseReturnable {
		recentlyShort := a.nestedShort && now-a.nestedShortAt < demandTime
		if recentlyShort || (a.demand[UseNested] > 0 && a.share(UseNested) < 1) {
			return false
		}
	}
	return a.draws[use] < a.share(use)
}

// recordDecision counts the attempt as demand for its use.
func (a *Allocator) recordDecision(now time.Duration, use Use, granted bool) {
	a.demand[use]++
	a.draws[use] = a.rand.Float64()
	if !granted && use >= UseNested {
		a.nestedShort, a.nestedShortAt = true, now
	}
}

// Withdraw takes an attempt for the use from the budget and reports whether it may be made.
func (a *Allocator) Withdraw(now time.Duration, use Use) bool {
	a.update(now)
	granted := a.admits(now, use) && a.budget.Withdraw(now)
	a.recordDecision(now, use, granted)
	return granted
}

// Available reports whether a Withdraw for the use would succeed now. If it would not, the attempt counts as denied, so
// that the demand of those who ask first is known as well.
func (a *Allocator) Available(now time.Duration, use Use) bool {
	a.update(now)
	if a.admits(now, use) && a.budget.Available(now) {
		return true
	}
	a.recordDecision(now, use, false)
	return false
}

// Refund puts back an attempt that was withdrawn and not made.
func (a *Allocator) Refund() { a.budget.Refund() }

// RecordOutcome records how an attempt at the service ended. refused is true if the upstream refused it without running it.
func (a *Allocator) RecordOutcome(now time.Duration, refused bool) {
	if elapsed := now - a.outcomeAt; elapsed > 0 {
		kept := decay(elapsed)
		a.attempts, a.refused, a.outcomeAt = a.attempts*kept, a.refused*kept, now
	}
	a.attempts++
	if refused {
		a.refused++
	}
}

// RefusedShare returns which share of attempts the upstreams of the service refuse, from 0 to 1. One more attempt counts as
// accepted, so that a single refusal, or an old one, does not count for all attempts.
func (a *Allocator) RefusedShare(now time.Duration) float64 {
	kept := decay(max(0, now-a.outcomeAt))
	return a.refused * kept / (a.attempts*kept + 1)
}
