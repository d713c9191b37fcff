package sidecar

import (
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// queue lets goroutines wait for the decisions of a slots.Queue.
type queue struct {
	clock   clock.Clock
	mu      sync.Mutex
	slots   *slots.Queue
	nextID  uint64
	waiting map[uint64]chan slots.Action
	timer   *time.Timer
}

func newQueue(c clock.Clock, count int) *queue {
	q := &queue{clock: c, slots: slots.NewQueue(count), waiting: map[uint64]chan slots.Action{}}
	q.timer = time.AfterFunc(time.Hour, q.tick)
	q.timer.Stop()
	return q
}

// enter returns when the request may start; a reason refuses it.
func (q *queue) enter(r slots.Request, caller peer.Caller) (reason slots.RefusalReason, after time.Duration) {
	q.mu.Lock()
	q.nextID++
	r.ID = q.nextID
	decision, actions := q.slots.Submit(q.clock.Now(), r)
	var started chan slots.Action
	if decision.Queued {
		started = make(chan slots.Action, 1)
		q.waiting[r.ID] = started
	}
	q.deliver(actions)
	q.mu.Unlock()
	if started == nil {
		return decision.Reason, decision.RetryAfter
	}
	return q.wait(r, started, caller), 0
}

// wait ends with the decision, the deadline or the caller's disconnection.
func (q *queue) wait(r slots.Request, started chan slots.Action, caller peer.Caller) slots.RefusalReason {
	timer := time.NewTimer(min(watchInterval, r.Deadline-q.clock.Now()))
	defer timer.Stop()
	for {
		select {
		case a := <-started:
			return a.Reason
		case <-timer.C:
		}
		left := r.Deadline - q.clock.Now()
		if left <= 0 || (caller != nil && !caller.Connected()) {
			return q.abandon(r, started)
		}
		timer.Reset(min(watchInterval, left))
	}
}

// abandon takes a waiting request back; when it was started in the meantime, its slot is returned.
func (q *queue) abandon(r slots.Request, started chan slots.Action) slots.RefusalReason {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case a := <-started:
		if a.Reason == "" {
			q.deliver(q.slots.FinishRequest(q.clock.Now(), r.Route, 0))
		}
	default:
		delete(q.waiting, r.ID)
		q.slots.CancelWaiting(r.ID)
	}
	return slots.ReasonTooLate
}

// tryTimeout returns how long the answer to a retriable request is waited for, or 0 when that is not known.
func (q *queue) tryTimeout(route string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots.AttemptTimeout(route)
}

// leave returns the slot of a started request; a latency of 0 is no sample.
func (q *queue) leave(route string, latency time.Duration) {
	q.change(func(now time.Duration) []slots.Action { return q.slots.FinishRequest(now, route, latency) })
}

// change applies f and delivers what follows from it.
func (q *queue) change(f func(now time.Duration) []slots.Action) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(f(q.clock.Now()))
}

func (q *queue) tick() { q.change(q.slots.Tick) }

func (q *queue) load() slots.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots.Load(q.clock.Now())
}

func (q *queue) deliver(actions []slots.Action) {
	for _, a := range actions {
		if started := q.waiting[a.ID]; started != nil {
			delete(q.waiting, a.ID)
			started <- a
		}
	}
	if next := q.slots.UntilNextStart(q.clock.Now()); next > 0 {
		q.timer.Reset(next)
	}
}
