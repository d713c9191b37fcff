package platform

import (
	"sync"
	"time"
)

// readLimiter admits at most a fixed number of reads in any window of time. It stores the times of the last admitted
// reads instead of using a token bucket, because a token bucket that has filled up during a pause admits up to twice
// the limit within one window.
type readLimiter struct {
	mu     sync.Mutex
	window time.Duration
	// admittedAt is a ring buffer with the times of the last admitted reads; next is the index of the oldest one.
	admittedAt []time.Time
	next       int
}

func newReadLimiter(reads int, window time.Duration) *readLimiter {
	return &readLimiter{window: window, admittedAt: make([]time.Time, reads)}
}

// allow reports whether a read at the time now is within the limit, and records the time if so.
func (l *readLimiter) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	oldest := l.admittedAt[l.next]
	if !oldest.IsZero() && now.Sub(oldest) < l.window {
		return false
	}
	l.admittedAt[l.next] = now
	l.next = (l.next + 1) % len(l.admittedAt)
	return true
}
