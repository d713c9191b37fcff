// Package virtualtime runs the fake networks of the decision libraries' tests: functions scheduled in virtual time,
// in an order that depends on nothing else.
package virtualtime

import (
	"container/heap"
	"time"
)

// Queue holds scheduled functions. The zero value is empty, at time 0.
type Queue struct {
	now    time.Duration
	count  int
	events events
}

type event struct {
	at time.Duration
	n  int
	fn func()
}

// Now returns the time of the function that runs.
func (q *Queue) Now() time.Duration { return q.now }

// After schedules fn at the given time from now; a negative time counts as 0. Functions of the same time run in the
// order in which they were scheduled.
func (q *Queue) After(d time.Duration, fn func()) { q.At(q.now+max(0, d), fn) }

// At schedules fn at the given time, or now when that has passed.
func (q *Queue) At(at time.Duration, fn func()) {
	q.count++
	heap.Push(&q.events, event{at: max(at, q.now), n: q.count, fn: fn})
}

// RunNext runs the next function if its time is at most end, and reports whether it did.
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
