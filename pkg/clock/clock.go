// Package clock gives the process's monotonic time in the form that the decision libraries take.
package clock

import "time"

// Clock returns the monotonic time since the process started.
type Clock interface {
	Now() time.Duration
}

// WallClock is implemented by clocks that give the wall time too. Comparing both shows that a VM was suspended while
// the monotonic clock stood still.
type WallClock interface {
	WallTime() time.Time
}

type system struct{ start time.Time }

// System returns the clock of the running process. It implements Wall.
func System() Clock { return system{start: time.Now()} }

func (s system) Now() time.Duration { return time.Since(s.start) }

func (s system) WallTime() time.Time { return time.Now() }

// WallTime returns the wall time of c, or a time that runs like its monotonic one when c gives none.
func WallTime(c Clock) time.Time {
	if w, ok := c.(WallClock); ok {
		return w.WallTime()
	}
	return time.Unix(0, 0).Add(c.Now())
}
