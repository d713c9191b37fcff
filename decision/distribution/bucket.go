package distribution

import "time"

// TokenBucket is a token bucket that limits the rate of reads of the source by nodes that are not readers.
type TokenBucket struct {
	rate      float64 // tokens per second
	burst     float64
	tokens    float64
	updatedAt time.Duration
}

// NewTokenBucket returns a bucket that holds burst tokens, is full and gains rate tokens per second.
func NewTokenBucket(rate, burst float64) *TokenBucket {
	return &TokenBucket{rate: rate, burst: burst, tokens: burst}
}

// Take removes a token at the time now, and reports whether there was one.
func (b *TokenBucket) Take(now time.Duration) bool {
	if now > b.updatedAt {
		b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
		b.updatedAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
