package upstream_test

import (
	"sync"
	"time"
)

// testClock is a clock that changes only when the test advances it.
type testClock struct {
	mu      sync.Mutex
	current time.Time
}

func newTestClock() *testClock { return &testClock{current: time.Unix(1000, 0)} }

func (c *testClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *testClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = c.current.Add(d)
}
