package soak

import (
	"math/rand/v2"
	"sync"
	"time"
)

// source is a seeded source of random numbers that goroutines share.
type source struct {
	mu   sync.Mutex
	rand *rand.Rand
}

func newSource(seed, stream uint64) *source {
	return &source{rand: rand.New(rand.NewPCG(seed, stream))}
}

func (s *source) number(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

func (s *source) duration(from, to time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from + time.Duration(s.rand.Int64N(int64(to-from)))
}

func (s *source) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Float64() < p
}

// some returns between one and most of n numbers.
func (s *source) some(n, most int) []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.Perm(n)[:1+s.rand.IntN(min(n, most))]
}
