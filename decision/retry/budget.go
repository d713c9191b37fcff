// Package retry limits retries. A Budget limits the extra attempts of one node, a ChainBudget those of one chain of
// calls, in which each call causes the next one. An extra attempt is any attempt of a call after its first one.
package retry

import "time"

const (
	// defaultRatio is the number of extra attempts that each first attempt adds to the budget.
	defaultRatio = 0.1
	// defaultCapacity is the largest number of extra attempts that the budget holds, and thus the largest burst of
	// them.
	defaultCapacity = 20
	// floorInterval is the time in which the floor gains one extra attempt, even without any calls.
	floorInterval = 2 * time.Second
	// floorCapacity is the largest number of extra attempts that the floor holds.
	floorCapacity = 2
	// maxDebt is the largest number of extra attempts that a budget owes. It bounds how long a node makes none after many
	// calls of repeated requests.
	maxDebt = 20
)

// Budget limits a node's extra attempts to a ratio of its first attempts. In addition, a floor allows one extra attempt
// in 2 s, so that a node with few calls can retry at all. Budgets of NewProportionalBudget have a refill instead, which
// SetRefill sets. A Budget is not safe for concurrent use.
type Budget struct {
	// tokens is the number of extra attempts that first attempts have earned, at most capacity. It is negative while
	// calls of repeated requests have used more than that.
	tokens   float64
	capacity float64
	ratio    float64
	// floor is the number of extra attempts that the floor holds, as of floorUpdatedAt.
	floor          float64
	withoutFloor   bool
	floorUpdatedAt time.Duration
	// refillPerSecond is the number of extra attempts that the budget gains in a second even without first attempts.
	// refilledAt is the time up to which they are in tokens.
	refillPerSecond float64
	refilledAt      time.Duration
	// earned is the sum of all that the budget was to gain, including what did not fit into it.
	earned float64
}

// NewProportionalBudget returns a budget without a floor. It starts with capacity extra attempts and gains ratio extra
// attempts with each first attempt.
func NewProportionalBudget(now time.Duration, capacity, ratio float64) *Budget {
	return &Budget{tokens: capacity, capacity: capacity, ratio: ratio, withoutFloor: true, refilledAt: now}
}

// SetRefill sets the capacity and what the budget gains in a second from now on even without first attempts. The capacity
// is at least 1, because a budget that holds less never allows an attempt.
func (b *Budget) SetRefill(now time.Duration, capacity, perSecond float64) {
	b.refill(now)
	b.capacity, b.refillPerSecond = max(1, capacity), perSecond
	b.tokens = min(b.capacity, b.tokens)
}

// refill adds what the budget has gained since it was last refilled.
func (b *Budget) refill(now time.Duration) {
	if now > b.refilledAt {
		gained := b.refillPerSecond * (now - b.refilledAt).Seconds()
		b.tokens = min(b.capacity, b.tokens+gained)
		b.earned += gained
		b.refilledAt = now
	}
}

// NewBudget returns a budget of 10% of the first attempts with a floor. It starts with a full floor and nothing else.
func NewBudget(now time.Duration) *Budget {
	return &Budget{capacity: defaultCapacity, ratio: defaultRatio, floor: floorCapacity, floorUpdatedAt: now}
}

// Deposit adds what a first attempt earns.
func (b *Budget) Deposit() {
	b.tokens = min(b.capacity, b.tokens+b.ratio)
	b.earned += b.ratio
}

// DepositCall adds what the first attempt of a call earns that an upstream makes while it runs a request. repeatedShare, from
// 0 to 1, is the probability that this request is itself an extra attempt. The call then is one too, although no node
// chose to make it, and what it uses cannot be used for retries.
func (b *Budget) DepositCall(repeatedShare float64) {
	gained := (1-repeatedShare)*b.ratio - repeatedShare
	b.tokens = max(-maxDebt, min(b.capacity, b.tokens+gained))
	b.earned += gained
}

// Refund puts back an extra attempt that was withdrawn and not made.
func (b *Budget) Refund() { b.tokens = min(b.capacity, b.tokens+1) }

// nearlyOne is the amount that counts as a whole extra attempt. It is slightly below 1 because of the rounding errors
// of ten deposits of 0.1.
const nearlyOne = 1 - 1e-9

// Available reports whether Withdraw would succeed. It does not count what the floor has gained since the last
// Withdraw.
func (b *Budget) Available(now time.Duration) bool {
	b.refill(now)
	return b.tokens >= nearlyOne || b.floor >= nearlyOne
}

// Withdraw takes one extra attempt and reports whether there was one.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.refill(now)
	if now > b.floorUpdatedAt && !b.withoutFloor {
		gained := float64(now-b.floorUpdatedAt) / float64(floorInterval)
		b.floor = min(floorCapacity, b.floor+gained)
		b.earned += gained
		b.floorUpdatedAt = now
	}
	switch {
	case b.tokens >= nearlyOne:
		b.tokens--
	case b.floor >= nearlyOne:
		b.floor--
	default:
		return false
	}
	return true
}
