package quota

import (
	"math"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// bucket is the token bucket of one slot.
//
// Invariant: available + outstanding <= burst of the slice.
type bucket struct {
	slice     SlotLimit
	available float64
	// outstanding is the sum of the tokens in open leases.
	outstanding int
	// updated is the time up to which the refill is counted; it lies ahead while the bucket waits.
	updated time.Duration
	// pending replaces slice at pendingAt, when the previous holders' slices have ended.
	pending   *SlotLimit
	pendingAt time.Duration
}

// change takes over a new worth of the slot. What shrinks does so at once, what grows waits ChangeDelay, because
// other holders may still lease by the previous division.
func (b *bucket) change(now time.Duration, next SlotLimit) {
	current := b.slice
	if b.pending != nil {
		current = *b.pending
	}
	if current == next {
		return
	}
	b.slice.Rate = math.Min(b.slice.Rate, next.Rate)
	b.slice.Burst = min(b.slice.Burst, next.Burst)
	b.pending, b.pendingAt = &next, now+ReassignmentDelay
	b.clamp()
}

// refill adds what the rate gives since the last call, up to what open leases leave of the burst.
func (b *bucket) refill(now time.Duration) {
	if b.pending != nil && now >= b.pendingAt {
		b.refillTo(b.pendingAt)
		b.slice, b.pending = *b.pending, nil
	}
	b.refillTo(now)
}

func (b *bucket) refillTo(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.available += b.slice.Rate * (now - b.updated).Seconds()
	b.updated = now
	b.clamp()
}

func (b *bucket) clamp() {
	b.available = math.Max(0, math.Min(b.available, float64(b.slice.Burst-b.outstanding)))
}

// offer gives the whole want while there is plenty, and at most half of what is left otherwise, so that one
// node's stock for calls to come does not empty the slot for another node's calls that wait now.
func (b *bucket) offer(want int) int {
	half := math.Max(b.available/2, math.Min(b.available, 1))
	return min(want, int(half))
}

// until returns the time until that many tokens are there if nobody else asks.
func (b *bucket) until(now time.Duration, tokens float64) time.Duration {
	if b.slice.Rate <= 0 || b.slice.Burst <= b.outstanding {
		return MaxLeaseDuration
	}
	missing := math.Max(0, tokens-b.available) / b.slice.Rate
	return max(b.updated-now, 0) + time.Duration(missing*float64(time.Second))
}

func lifeOf(w wire.TokenRequest) time.Duration {
	return min(max(time.Duration(w.LifetimeMS)*time.Millisecond, 0), MaxLeaseDuration)
}
