// Package clock provides the process's monotonic time in the form that the decision module takes.
package clock

import "time"

// Clock returns the monotonic time since the process started.
type Clock interface {
	Now() time.Duration
}

// WallClock is implemented by clocks that also return the wall time. A VM suspension may stop the monotonic clock, so
// that only a comparison with the wall time reveals it.
type WallClock interface {
	WallTime() time.Time
}

type system struct{ start time.Time }

// System returns the clock of the running process. It implements WallClock.
func System() Clock { return system{start: time.Now()} }

func (c system) Now() time.Duration { return time.Since(c.start) }

func (c system) WallTime() time.Time { return time.Now() }

// WallTime returns the wall time of c. If c does not implement WallClock, it returns the Unix epoch plus c.Now().
func WallTime(c Clock) time.Time {
	if wallClock, ok := c.(WallClock); ok {
		return wallClock.WallTime()
	}
	return time.Unix(0, 0).Add(c.Now())
}
