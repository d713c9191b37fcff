// Package virtualtime schedules functions in virtual time, in a reproducible order. The simulations of the decision
// module use it.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue is a queue of functions ordered by virtual time. The zero value is empty, at time 0.
type Queue struct {
	now    time.Duration
	count  int
	events events
}

// event is a scheduled function; events of the same time run in the order of n.
type event struct {
	at time.Duration
	n  int
	fn func()
}

// Now returns the time of the function that runs or ran last.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules fn for d from now; a negative d counts as 0. Functions of the same time run in the order in which
// they were scheduled.
func (q *Queue) After(d time.Duration, fn func()) { q.At(q.now+max(0, d), fn) }

// At schedules fn for the given time, or for now when that time has passed.
func (q *Queue) At(at time.Duration, fn func()) {
	q.count++
	heap.Push(&q.events, event{at: max(at, q.now), n: q.count, fn: fn})
}

// RunNext runs the next function if its time is at most end, and reports whether it ran one.
func (q *Queue) RunNext(end time.Duration) bool {
	if len(q.events) == 0 || q.events[0].at > end {
		return false
	}
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.fn()
	return true
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].n < e[j].n
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}
