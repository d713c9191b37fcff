package quota

import (
	"math"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// bucket is the token bucket of one slot.
//
// Invariant: available + outstanding <= limit.Burst.
type bucket struct {
	limit     SlotLimit
	available float64
	// outstanding is the sum of the tokens in open leases.
	outstanding int
	// refilledTo is the time up to which refilled tokens have been added. It is in the future while the bucket must not
	// refill yet.
	refilledTo time.Duration
	// pendingLimit replaces limit at pendingFrom, when the slots of the previous configuration have ended at all nodes.
	pendingLimit *SlotLimit
	pendingFrom  time.Duration
}

// setLimit changes the limit of the slot. A decrease takes effect at once, an increase after ReassignmentDelay, because
// the holders of other slots may still lease by the previous limits.
func (b *bucket) setLimit(now time.Duration, next SlotLimit) {
	current := b.limit
	if b.pendingLimit != nil {
		current = *b.pendingLimit
	}
	if current == next {
		return
	}
	b.limit.Rate = math.Min(b.limit.Rate, next.Rate)
	b.limit.Burst = min(b.limit.Burst, next.Burst)
	b.pendingLimit, b.pendingFrom = &next, now+ReassignmentDelay
	b.clampAvailable()
}

// refill adds the tokens since the last refill, up to the burst less the tokens in open leases.
func (b *bucket) refill(now time.Duration) {
	if b.pendingLimit != nil && now >= b.pendingFrom {
		b.refillTo(b.pendingFrom)
		b.limit, b.pendingLimit = *b.pendingLimit, nil
	}
	b.refillTo(now)
}

func (b *bucket) refillTo(now time.Duration) {
	if now <= b.refilledTo {
		return
	}
	b.available += b.limit.Rate * (now - b.refilledTo).Seconds()
	b.refilledTo = now
	b.clampAvailable()
}

func (b *bucket) clampAvailable() {
	b.available = math.Max(0, math.Min(b.available, float64(b.limit.Burst-b.outstanding)))
}

// tokensToGrant returns the number of tokens to grant: at most half of the available ones (or a single last one), so
// that tokens which one node stocks for expected calls do not empty the slot for calls that wait at another node.
func (b *bucket) tokensToGrant(want int) int {
	half := math.Max(b.available/2, math.Min(b.available, 1))
	return min(want, int(half))
}

// timeUntil returns the time until that many tokens are available if no others are granted, or MaxLeaseDuration if the
// bucket cannot refill now.
func (b *bucket) timeUntil(now time.Duration, tokens float64) time.Duration {
	if b.limit.Rate <= 0 || b.limit.Burst <= b.outstanding {
		return MaxLeaseDuration
	}
	missing := math.Max(0, tokens-b.available) / b.limit.Rate
	return max(b.refilledTo-now, 0) + time.Duration(missing*float64(time.Second))
}

// leaseDuration returns the requested duration of a lease, bounded by MaxLeaseDuration.
func leaseDuration(requested wire.TokenRequest) time.Duration {
	return min(max(time.Duration(requested.LeaseDurationMS)*time.Millisecond, 0), MaxLeaseDuration)
}
