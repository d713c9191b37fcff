// Package slots decides which requests an upstream runs, which wait for it and which are refused. A Queue is the only
// way to its upstream, so it counts the running requests exactly and keeps a cold upstream below its rate.
package slots

import (
	"math"
	"time"
)

// RefusalReason says why a request is refused.
type RefusalReason string

// Reasons of a refusal.
const (
	// ReasonBusy means that another upstream may serve the request in time.
	ReasonBusy RefusalReason = "busy"
	// ReasonTooLate means that the request cannot end before its deadline.
	ReasonTooLate RefusalReason = "too_late"
	// ReasonCold means that the upstream bears no more requests for now.
	ReasonCold RefusalReason = "cold"
	// ReasonDisplaced means that a more urgent request took the place.
	ReasonDisplaced RefusalReason = "displaced"
)

const (
	// maxWaiting bounds the waiting requests for each slot; more of them cannot meet any deadline.
	maxWaiting = 12
	// meanWeight is the weight of a new sample in the moving averages.
	meanWeight = 0.1
	// unknownLatency stands for a route without samples.
	unknownLatency = 100 * time.Millisecond
	// burstTime is the time constant of the share of time in which all slots are taken: shorter bursts are served
	// late.
	burstTime = time.Second
	// overloadShare is the share above which late answers are given up.
	overloadShare = 0.8
	// tryTimeoutFactor is the multiple of the usual service time, and shortestTryTimeout the least time, for which an
	// answer is waited for that can be had elsewhere. Service times vary by a factor of four in 99 of 100 requests.
	tryTimeoutFactor   = 5
	shortestTryTimeout = 100 * time.Millisecond
	// tryTimeoutSamples is the number of samples from which the usual service time of a route is known.
	tryTimeoutSamples = 8
	// tolerance is the part of the time left that the estimate of a request's end may use up; the rest covers the
	// spread of service times.
	tolerance = 0.8
	// waitShare is the part of a request's spare time, which its service does not need, that a strict request may
	// wait. Callers that were refused come back with less time than they had, so the line has to be short.
	waitShare = 0.15
	// essentialWaitShare is the same for essential requests, which are never refused to keep the line short.
	essentialWaitShare = 0.6
)

// Request is a request for a slot. Times are on the process's monotonic clock.
type Request struct {
	ID    uint64
	Route string
	// Priority is 0 for the most urgent.
	Priority int
	// Deadline is when the caller gives up, Objective when the answer loses most of its worth.
	Deadline  time.Duration
	Objective time.Duration
	// Nested requests are calls of requests that run elsewhere; refusing one wastes the work of its parent.
	Nested bool
	// MustMeetObjective requests are refused when they would miss their objective, because another upstream is to be tried.
	MustMeetObjective bool
}

// Decision is the outcome of an arrival.
type Decision struct {
	Started bool
	Queued  bool
	Reason  RefusalReason
	// RetryAfter is when a place is expected to be free, from now.
	RetryAfter time.Duration
}

// Action starts a waiting request or refuses it.
type Action struct {
	ID     uint64
	Reason RefusalReason
}

// Load describes the queue for senders.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Cold    bool
	// MeanServiceTime is the mean service time.
	MeanServiceTime time.Duration
}

type waiter struct {
	Request
	arrived time.Duration
}

// Queue is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []*waiter
	// latency is the mean service time of each route, samples the number of its samples.
	latency   map[string]time.Duration
	samples   map[string]int
	mean      time.Duration
	coldUntil time.Duration
	pace      pace
	// busy is the moving share of time in which all slots were taken, up to observed.
	busy     float64
	observed time.Duration
}

// NewQueue returns the queue of an upstream with a number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, latency: map[string]time.Duration{}, samples: map[string]int{}, mean: unknownLatency}
}

// SetSlots changes the number of slots; running requests above it go on.
func (q *Queue) SetSlots(now time.Duration, slots int) []Action {
	q.slots = max(1, slots)
	return q.advance(now)
}

// SetCold notes until when the upstream is cold and what it then gets.
func (q *Queue) SetCold(now, until time.Duration, rate ColdRate) []Action {
	q.coldUntil, q.pace.rate = until, rate
	return q.advance(now)
}

// Load returns the current load.
func (q *Queue) Load(now time.Duration) Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.slots, Cold: q.cold(now), MeanServiceTime: q.mean}
}

func (q *Queue) cold(now time.Duration) bool { return now < q.coldUntil }

// free reports whether a request can start now.
func (q *Queue) free(now time.Duration) bool {
	return q.running < q.slots && q.coldWait(now) == 0
}

// coldWait returns how long a cold upstream bears no further request.
func (q *Queue) coldWait(now time.Duration) time.Duration {
	if !q.cold(now) {
		return 0
	}
	return q.pace.wait(now)
}

// expected estimates the service time of a request. One of a route without samples is expected to need no more than
// half of its objective, or a route that is refused would never get a sample.
func (q *Queue) expected(r *Request, now time.Duration) time.Duration {
	if l, ok := q.latency[r.Route]; ok {
		return l
	}
	return max(0, min(q.mean, (r.Objective-now)/2))
}

// AttemptTimeout returns how long an answer is waited for that can also be had elsewhere: a few times the usual, so that an
// answer that never comes does not hold the slot of its caller until the deadline.
// It returns 0 while the usual time of the route is not known.
func (q *Queue) AttemptTimeout(route string) time.Duration {
	if q.samples[route] < tryTimeoutSamples {
		return 0
	}
	return max(shortestTryTimeout, tryTimeoutFactor*q.latency[route])
}

// delay estimates when a new request starts, from now. Waiting requests that have missed their objective give way to
// one that can still meet it.
func (q *Queue) delay(now time.Duration, r *Request) time.Duration {
	ahead := 0
	for _, w := range q.waiting {
		if w.Priority <= r.Priority && (!r.MustMeetObjective || q.meets(now, w)) {
			ahead++
		}
	}
	if q.free(now) && ahead == 0 {
		return 0
	}
	wait := time.Duration(0)
	if q.running >= q.slots || ahead > 0 {
		wait = q.mean * time.Duration(ahead+1) / time.Duration(q.slots)
	}
	if cold := q.coldWait(now); cold > 0 {
		wait = max(wait, cold+time.Duration(ahead)*q.pace.rate.interval())
	}
	return wait
}

// Submit decides on a request. The queue drops none of its own later without an Action.
func (q *Queue) Submit(now time.Duration, r Request) (Decision, []Action) {
	q.observe(now)
	delay, service := q.delay(now, &r), q.expected(&r, now)
	end := now + time.Duration(float64(delay+service))
	switch {
	case delay == 0 && now < r.Deadline:
		q.start(now)
		return Decision{Started: true}, nil
	case r.MustMeetObjective && !r.Nested && q.cold(now):
		return Decision{Reason: ReasonCold, RetryAfter: delay}, nil
	case r.MustMeetObjective && float64(delay) > float64(r.Objective-now-service)*r.waitShare():
		return Decision{Reason: ReasonBusy, RetryAfter: delay}, nil
	case end > now+scaled(r.Deadline-now):
		return Decision{Reason: ReasonTooLate, RetryAfter: delay}, nil
	case !r.MustMeetObjective && !r.Nested && q.overloaded():
		return Decision{Reason: ReasonBusy, RetryAfter: delay}, nil
	}
	var actions []Action
	if len(q.waiting) >= maxWaiting*q.slots {
		victim := q.leastUrgent()
		if q.waiting[victim].Priority <= r.Priority {
			return Decision{Reason: ReasonBusy, RetryAfter: delay}, nil
		}
		actions = append(actions, Action{ID: q.waiting[victim].ID, Reason: ReasonDisplaced})
		q.drop(victim)
	}
	q.waiting = append(q.waiting, &waiter{Request: r, arrived: now})
	return Decision{Queued: true}, actions
}

func (r *Request) waitShare() float64 {
	if r.Nested {
		return essentialWaitShare
	}
	return waitShare
}

func scaled(left time.Duration) time.Duration { return time.Duration(float64(left) * tolerance) }

// CancelWaiting takes back a waiting request.
func (q *Queue) CancelWaiting(id uint64) {
	for i, w := range q.waiting {
		if w.ID == id {
			q.drop(i)
			return
		}
	}
}

// FinishRequest ends a started request. A latency of 0 is no sample.
func (q *Queue) FinishRequest(now time.Duration, route string, latency time.Duration) []Action {
	q.observe(now)
	q.running--
	if latency > 0 {
		q.samples[route]++
		q.latency[route] = average(q.latency[route], latency)
		q.mean = average(q.mean, latency)
	}
	return q.advance(now)
}

func average(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(meanWeight*float64(sample-mean))
}

// Tick starts or refuses requests whose time has come; Next tells when.
func (q *Queue) Tick(now time.Duration) []Action { return q.advance(now) }

// UntilNextStart returns when a cold upstream bears the next waiting request, from now, or 0 when nothing waits for that.
func (q *Queue) UntilNextStart(now time.Duration) time.Duration {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return 0
	}
	return q.coldWait(now)
}

// RefuseWaiting refuses all waiting requests, because the upstream leaves or failed.
func (q *Queue) RefuseWaiting(reason RefusalReason) []Action {
	actions := make([]Action, 0, len(q.waiting))
	for _, w := range q.waiting {
		actions = append(actions, Action{ID: w.ID, Reason: reason})
	}
	q.waiting = nil
	return actions
}

// advance starts waiting requests while there is room and refuses those that can no longer end in time.
func (q *Queue) advance(now time.Duration) []Action {
	var actions []Action
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if now+q.expected(&w.Request, now)/2 >= w.Deadline {
			actions = append(actions, Action{ID: w.ID, Reason: ReasonTooLate})
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	for len(q.waiting) > 0 && q.free(now) {
		i := q.pick(now)
		actions = append(actions, Action{ID: q.waiting[i].ID})
		q.drop(i)
		q.start(now)
	}
	return actions
}

// pick returns the request to start next: the most urgent one that can still meet its objective, and the others only
// when there is none. Without the preference a standing queue makes every request late.
func (q *Queue) pick(now time.Duration) int {
	best, bestMeets := -1, false
	for i, w := range q.waiting {
		meets := q.meets(now, w)
		meets = meets || w.Nested
		if best < 0 || (meets && !bestMeets) ||
			(meets == bestMeets && w.Priority < q.waiting[best].Priority) {
			best, bestMeets = i, meets
		}
	}
	return best
}

// meets reports whether a waiting request can still meet its objective.
func (q *Queue) meets(now time.Duration, w *waiter) bool {
	return now+q.expected(&w.Request, now) <= w.Objective
}

// overloaded reports whether all slots have been taken for most of the last seconds. Requests that wait for a late
// answer then only keep slots from those that can be in time, and their callers learn too late that they are not served.
func (q *Queue) overloaded() bool { return q.busy > overloadShare }

// observe brings the share of time in which all slots are taken up to now.
func (q *Queue) observe(now time.Duration) {
	if passed := now - q.observed; passed > 0 {
		full := 0.0
		if q.running >= q.slots {
			full = 1
		}
		q.busy = full + (q.busy-full)*math.Exp(-float64(passed)/float64(burstTime))
		q.observed = now
	}
}

func (q *Queue) leastUrgent() int {
	worst := 0
	for i, w := range q.waiting {
		if w.Priority >= q.waiting[worst].Priority {
			worst = i
		}
	}
	return worst
}

func (q *Queue) drop(i int) { q.waiting = append(q.waiting[:i], q.waiting[i+1:]...) }

func (q *Queue) start(now time.Duration) {
	q.observe(now)
	q.running++
	if q.cold(now) {
		q.pace.started(now)
	}
}
