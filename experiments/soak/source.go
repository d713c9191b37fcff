package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// randomSource is a seeded source of random numbers that is safe for concurrent use.
type randomSource struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// newRandomSource returns a source that yields the same numbers for the same seed and stream.
func newRandomSource(seed, stream uint64) *randomSource {
	return &randomSource{rand: rand.New(rand.NewPCG(seed, stream))}
}

// intN returns a number from 0 up to, but not including, n.
func (s *randomSource) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// durationBetween returns a duration of at least from and less than to.
func (s *randomSource) durationBetween(from, to time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from + time.Duration(s.rand.Int64N(int64(to-from)))
}

// trueWithProbability returns true with probability p, from 0 to 1.
func (s *randomSource) trueWithProbability(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < p
}

// subset returns distinct numbers below n in random order: at least one, at most the smaller of n and maxCount.
func (s *randomSource) subset(n, maxCount int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Perm(n)[:1+s.rand.IntN(min(n, maxCount))]
}
