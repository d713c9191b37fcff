// Package retry bounds extra attempts: per node by a Budget, per chain of calls by a Chain.
package retry

import "time"

const (
	// share is the number of extra attempts earned by each first attempt.
	share = 0.1
	// capacity bounds the extra attempts that a node can save up, and so a burst of them.
	capacity = 20
	// floorInterval is the time in which an idle node earns one extra attempt.
	floorInterval = 2 * time.Second
	// floorCapacity bounds what an idle node can save up.
	floorCapacity = 2
)

// Budget limits a node's extra attempts to 10% of its first attempts, with a floor of one attempt in 2 s so
// that a node with few calls can retry at all. It is not safe for concurrent use.
type Budget struct {
	tokens   float64
	capacity float64
	share    float64
	floor    float64
	// floorless budgets earn nothing while idle.
	floorless bool
	updated   time.Duration
}

// NewProportionalBudget returns a budget that starts full, saves up at most saved attempts and earns a share of an attempt by
// each first one and nothing else.
func NewProportionalBudget(saved, share float64) *Budget {
	return &Budget{tokens: saved, capacity: saved, share: share, floorless: true}
}

// NewBudget returns a budget that holds the floor of an idle node.
func NewBudget(now time.Duration) *Budget {
	return &Budget{capacity: capacity, share: share, floor: floorCapacity, updated: now}
}

// Deposit counts a first attempt.
func (b *Budget) Deposit() { b.tokens = min(b.capacity, b.tokens+b.share) }

// Refund returns an attempt that was withdrawn and not made.
func (b *Budget) Refund() { b.tokens = min(b.capacity, b.tokens+1) }

// nearlyOne allows for the rounding errors of ten deposits, which must not cost the attempt they earned.
const nearlyOne = 1 - 1e-9

// Available reports whether Withdraw would succeed without what an idle node earns.
func (b *Budget) Available() bool { return b.tokens >= nearlyOne || b.floor >= nearlyOne }

// Withdraw takes one extra attempt and reports whether there was one.
func (b *Budget) Withdraw(now time.Duration) bool {
	if now > b.updated && !b.floorless {
		b.floor = min(floorCapacity, b.floor+float64(now-b.updated)/float64(floorInterval))
		b.updated = now
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
