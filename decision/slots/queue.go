// Package slots decides which requests run at an upstream, which wait for a free slot and which are refused. A slot is
// the capacity to run one request. All requests to an upstream pass through its Queue, so the queue knows the exact
// number of running requests and can keep a cold upstream below its rate. An upstream that has just started is cold: it
// can handle only a low rate of requests for some time.
package slots

import (
	"math"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/capacity"
)

// RefusalReason says why a request is refused. The empty reason means that it is not refused.
type RefusalReason string

// Reasons for which requests are refused.
const (
	// ReasonBusy means that the request would have to wait too long; another upstream may serve it in time.
	ReasonBusy RefusalReason = "busy"
	// ReasonTooLate means that the request is not expected to end before its deadline.
	ReasonTooLate RefusalReason = "too_late"
	// ReasonCold means that the upstream is cold and cannot take another request now.
	ReasonCold RefusalReason = "cold"
	// ReasonDisplaced means that a more urgent request took the place of the request in the queue.
	ReasonDisplaced RefusalReason = "displaced"
)

const (
	// maxWaitingPerSlot bounds the number of waiting requests for each slot. Requests beyond it could not end before
	// their deadlines.
	maxWaitingPerSlot = 12
	// saturationTimeConstant is the time constant of the moving average of saturation, which is the share of time in
	// which all slots are taken. Requests of a burst that is shorter than it are still served, although late.
	saturationTimeConstant = time.Second
	// overloadThreshold is the saturation above which requests that accept a late answer are refused.
	overloadThreshold = 0.8
	// hedgeDelayFactor is the multiple of the mean service time after which a request is sent to a second upstream as
	// well, minHedgeDelay the shortest such delay. The service times of 99 of 100 requests vary by no more than a factor
	// of four.
	hedgeDelayFactor = 5
	minHedgeDelay    = 100 * time.Millisecond
	// hedgeDelaySamples is the number of samples from which on the mean service time of a route sets the delay.
	hedgeDelaySamples = 8
	// usableTimeShare is the share of the time until the deadline within which a request has to be expected to end. The
	// rest allows for the variation of service times.
	usableTimeShare = 0.8
	// maxWaitShare bounds the wait of a request that must meet its objective, as a share of the time that is left until
	// the objective after its service time. Callers that are refused come back with less time, so the queue has to be
	// short.
	maxWaitShare = 0.15
	// costlyMaxWaitShare is the same bound for requests that are costly to move. The upstreams of the own data centre are
	// not asked again after they have refused, so a longer wait there saves the transfer and still meets the objective.
	costlyMaxWaitShare = 0.5
	// nestedMaxWaitShare is the same bound for nested requests. It is larger, because they must not be refused just to
	// keep the queue short.
	nestedMaxWaitShare = 0.6
)

// Request is a request for a slot. Times are on the process's monotonic clock.
type Request struct {
	ID    uint64
	Route string
	// Priority is lower for more urgent requests.
	Priority int
	// Deadline is when the caller gives up. Objective is the time by which the answer should arrive; a later answer has
	// lost most of its value.
	Deadline  time.Duration
	Objective time.Duration
	// Nested marks a call that a running request makes to another service. If it is refused, the work of the running
	// request is lost.
	Nested bool
	// CostlyToMove marks a request that should rather wait here than be sent to another data centre, as long as it meets
	// its objective.
	CostlyToMove bool
	// MustMeetObjective marks a request that is refused if it would miss its objective, because its sender can try
	// another upstream.
	MustMeetObjective bool
	// FirstAsked marks a request that no other upstream was asked to run before.
	FirstAsked bool
}

// Decision is the result of Queue.Submit: the request is started, queued or refused.
type Decision struct {
	Started bool
	Queued  bool
	// Reason says why the request is refused.
	Reason RefusalReason
	// RetryAfter is the time, from now, after which a refused request is expected to find a free slot.
	RetryAfter time.Duration
}

// Action starts a waiting request, or refuses it if it has a reason.
type Action struct {
	ID     uint64
	Reason RefusalReason
}

// Load is the state of a queue as it is reported to the nodes that send requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
	Cold    bool
	// MeanServiceTime is the mean service time over all routes.
	MeanServiceTime time.Duration
}

type waitingRequest struct {
	Request
	arrived time.Duration
}

// Queue assigns the slots of one upstream to requests. It is not safe for concurrent use.
type Queue struct {
	slots   int
	running int
	waiting []*waitingRequest
	// capacity estimates how long requests take at the upstream.
	capacity  *capacity.Estimator
	coldUntil time.Duration
	pacer     pacer
	// saturation is a moving average as of saturationUpdatedAt.
	saturation          float64
	saturationUpdatedAt time.Duration
	policy              Policy
	shares              servedShares
}

// NewQueue returns the queue of an upstream with the given number of slots.
func NewQueue(slots int) *Queue {
	return &Queue{slots: slots, capacity: capacity.NewEstimator()}
}

// SetPolicy changes the policy for the requests that arrive or start from now on.
func (q *Queue) SetPolicy(p Policy) { q.policy = p }

// SetSlots changes the number of slots. Running requests continue, even if there are more of them than new slots.
func (q *Queue) SetSlots(now time.Duration, slots int) []Action {
	q.slots = max(1, slots)
	return q.dispatch(now)
}

// SetCold sets the time until which the upstream is cold, and the rate of requests that it gets until then.
func (q *Queue) SetCold(now, until time.Duration, rate ColdRate) []Action {
	q.coldUntil, q.pacer.rate = until, rate
	return q.dispatch(now)
}

// ExtendCold makes the upstream cold until a time, unless it is cold for longer already.
func (q *Queue) ExtendCold(now, until time.Duration, rate ColdRate) []Action {
	return q.SetCold(now, max(until, q.coldUntil), rate)
}

// Load returns the current load.
func (q *Queue) Load(now time.Duration) Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Slots: q.slots, Cold: q.isCold(now), MeanServiceTime: q.capacity.MeanServiceTime(now)}
}

func (q *Queue) isCold(now time.Duration) bool { return now < q.coldUntil }

// canStart reports whether a request can start now.
func (q *Queue) canStart(now time.Duration) bool {
	return q.running < q.slots && q.coldWait(now) == 0
}

// coldWait returns the time until a cold upstream may get another request, or 0.
func (q *Queue) coldWait(now time.Duration) time.Duration {
	if !q.isCold(now) {
		return 0
	}
	return q.pacer.untilNextStart(now)
}

// expectedServiceTime estimates the service time of a request. For a route without samples, the estimate is at most
// half of the time until the objective; otherwise all requests of the route could be refused and it would never get a
// sample.
func (q *Queue) expectedServiceTime(r *Request, now time.Duration) time.Duration {
	if expected, ok := q.capacity.ServiceTime(now, r.Route); ok {
		return expected
	}
	return max(0, min(q.capacity.MeanServiceTime(now), (r.Objective-now)/2))
}

// UsualServiceTime returns the service time of a route without the slowness of the moment, or 0 if it is not known, and that
// slowness as a factor.
func (q *Queue) UsualServiceTime(now time.Duration, route string) (usual time.Duration, slowness float64) {
	return q.capacity.UsualServiceTime(route), q.capacity.MomentarySlowness(now)
}

// RecordReport records the load that the upstream stated in a response.
func (q *Queue) RecordReport(now time.Duration, r capacity.Report) { q.capacity.RecordReport(now, r) }

// RetainRoutes forgets the service times of routes that are not known any more.
func (q *Queue) RetainRoutes(known func(route string) bool) { q.capacity.RetainOnly(known) }

// HedgeDelay returns how long to wait for the answer to a request before it is sent to another upstream as well: a few
// times the mean service time of the route. Without this, an answer that never arrives would hold the slot of the calling
// request until the deadline. It returns 0 while too few service times of the route are known.
func (q *Queue) HedgeDelay(now time.Duration, route string) time.Duration {
	if q.capacity.Samples(route) < hedgeDelaySamples {
		return 0
	}
	expected, _ := q.capacity.ServiceTime(now, route)
	return max(minHedgeDelay, hedgeDelayFactor*expected)
}

// expectedDelay estimates the time until a new request starts. For a request that must meet its objective, waiting
// requests that can no longer meet theirs do not count, because nextToStart prefers the new one.
func (q *Queue) expectedDelay(now time.Duration, r *Request) time.Duration {
	if q.policy == LeastCost {
		return q.leastCostDelay(now, r)
	}
	ahead := 0
	for _, w := range q.waiting {
		if w.Priority <= r.Priority && (!r.MustMeetObjective || q.canMeetObjective(now, w)) {
			ahead++
		}
	}
	if q.canStart(now) && ahead == 0 {
		return 0
	}
	wait := time.Duration(0)
	if q.running >= q.slots || ahead > 0 {
		wait = q.capacity.MeanServiceTime(now) * time.Duration(ahead+1) / time.Duration(q.slots)
	}
	if cold := q.coldWait(now); cold > 0 {
		wait = max(wait, cold+time.Duration(ahead)*q.pacer.rate.interval())
	}
	return wait
}

// Submit decides whether a request starts, waits or is refused. The actions concern other requests, which were waiting.
// A request that waits is later started or refused by an Action.
func (q *Queue) Submit(now time.Duration, r Request) (Decision, []Action) {
	q.updateSaturation(now)
	var actions []Action
	if q.policy == LeastCost {
		// Requests that cannot be in time are refused here too, because no request may end for a long time.
		actions = q.refuseLate(now)
	}
	decision, displaced := q.decide(now, &r)
	return decision, append(actions, displaced...)
}

// decide starts, queues or refuses a new request. The actions concern a request that gives way to it.
func (q *Queue) decide(now time.Duration, r *Request) (Decision, []Action) {
	delay, service := q.expectedDelay(now, r), q.expectedServiceTime(r, now)
	starved := false
	if q.policy == LeastCost {
		if r.FirstAsked {
			q.shares.count(now, r.Priority).arrived++
		}
		starved = q.shares.starved(r.Priority)
	}
	if q.tooSlow(now, r, service) {
		return Decision{Reason: ReasonBusy, RetryAfter: max(delay, slowRetryAfter)}, nil
	}
	if delay == 0 && now < r.Deadline {
		q.recordStart(now, r)
		return Decision{Started: true}, nil
	}
	if reason := q.refusalReason(now, r, delay, service, starved); reason != "" {
		after := delay
		if !r.MustMeetObjective {
			after = max(after, q.untilWarm(now))
		}
		return Decision{Reason: reason, RetryAfter: after}, nil
	}
	var actions []Action
	if len(q.waiting) >= maxWaitingPerSlot*q.slots {
		victim := q.leastUrgent(now)
		if !q.displaces(now, r, q.waiting[victim]) {
			return Decision{Reason: ReasonBusy, RetryAfter: delay}, nil
		}
		actions = append(actions, Action{ID: q.waiting[victim].ID, Reason: ReasonDisplaced})
		q.removeWaiting(victim)
	}
	q.waiting = append(q.waiting, &waitingRequest{Request: *r, arrived: now})
	return Decision{Queued: true}, actions
}

// refusalReason returns why a request that cannot start yet must not wait, or the empty reason.
func (q *Queue) refusalReason(now time.Duration, r *Request, delay, service time.Duration, starved bool) RefusalReason {
	switch {
	case r.MustMeetObjective && !r.Nested && q.isCold(now) && q.policy != LeastCost:
		return ReasonCold
	case r.MustMeetObjective && float64(delay) > float64(r.Objective-now-service)*q.waitLimitShare(r):
		return ReasonBusy
	case delay+service > usableTime(r.Deadline-now):
		return ReasonTooLate
	case !r.MustMeetObjective && !r.Nested && !starved && (q.overloaded() || q.coldLimited(now) && now+delay+service > r.Objective):
		return ReasonBusy
	}
	return ""
}

func (q *Queue) waitLimitShare(r *Request) float64 {
	if r.Nested {
		return nestedMaxWaitShare
	}
	if r.CostlyToMove {
		return costlyMaxWaitShare
	}
	return maxWaitShare
}

func usableTime(left time.Duration) time.Duration {
	return time.Duration(float64(left) * usableTimeShare)
}

// CancelWaiting removes a waiting request. An unknown ID is ignored.
func (q *Queue) CancelWaiting(id uint64) {
	for i, w := range q.waiting {
		if w.ID == id {
			q.removeWaiting(i)
			return
		}
	}
}

// FinishRequest ends a started request and returns the actions for waiting ones. The latency is a sample of the route's
// service time, unless it is 0.
func (q *Queue) FinishRequest(now time.Duration, route string, latency time.Duration) []Action {
	q.updateSaturation(now)
	q.running--
	q.capacity.RecordServed(now, now-latency, route, latency)
	return q.dispatch(now)
}

// Tick starts waiting requests that may start now and refuses those that can no longer end in time. UntilNextStart
// returns when to call it.
func (q *Queue) Tick(now time.Duration) []Action { return q.dispatch(now) }

// UntilNextStart returns the time until a cold upstream may get the next waiting request. It returns 0 if no request
// waits for that, because none waits at all, all slots are taken or the next one may start now.
func (q *Queue) UntilNextStart(now time.Duration) time.Duration {
	if len(q.waiting) == 0 || q.running >= q.slots {
		return 0
	}
	return q.coldWait(now)
}

// RefuseWaiting refuses all waiting requests, for use when the upstream is shutting down or has failed.
func (q *Queue) RefuseWaiting(reason RefusalReason) []Action {
	actions := make([]Action, 0, len(q.waiting))
	for _, w := range q.waiting {
		actions = append(actions, Action{ID: w.ID, Reason: reason})
	}
	q.waiting = nil
	return actions
}

// refuseLate refuses waiting requests that can no longer end in time, or whose room is needed for others.
func (q *Queue) refuseLate(now time.Duration) []Action {
	var actions []Action
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if now+q.expectedServiceTime(&w.Request, now)/2 >= w.Deadline {
			actions = append(actions, Action{ID: w.ID, Reason: ReasonTooLate})
			continue
		}
		if q.hopeless(now, w) {
			actions = append(actions, Action{ID: w.ID, Reason: ReasonDisplaced})
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return actions
}

// dispatch refuses waiting requests that can no longer end in time and starts others while slots are free.
func (q *Queue) dispatch(now time.Duration) []Action {
	actions := q.refuseLate(now)
	for len(q.waiting) > 0 && q.canStart(now) {
		i := q.nextToStart(now)
		actions = append(actions, Action{ID: q.waiting[i].ID})
		q.recordStart(now, &q.waiting[i].Request)
		q.removeWaiting(i)
	}
	return actions
}

// nextToStart returns the index of the request to start next: the most urgent of those that can still meet their
// objective or are nested, or the most urgent of all if there are none. Without this preference, a queue that is never
// empty would make every request late.
func (q *Queue) nextToStart(now time.Duration) int {
	best, bestMeets := -1, false
	if q.policy == LeastCost {
		best = 0
		for i, w := range q.waiting {
			if q.startsBefore(now, w, q.waiting[best]) {
				best = i
			}
		}
		return best
	}
	for i, w := range q.waiting {
		meets := q.canMeetObjective(now, w)
		meets = meets || w.Nested
		if best < 0 || (meets && !bestMeets) ||
			(meets == bestMeets && w.Priority < q.waiting[best].Priority) {
			best, bestMeets = i, meets
		}
	}
	return best
}

// canMeetObjective reports whether a waiting request can still meet its objective.
func (q *Queue) canMeetObjective(now time.Duration, w *waitingRequest) bool {
	return now+q.expectedServiceTime(&w.Request, now) <= w.Objective
}

// overloaded reports whether all slots were taken for most of the last seconds. Requests that can only be answered late
// then take slots from those that can be in time, and their callers learn too late that they are not served.
func (q *Queue) overloaded() bool { return q.saturation > overloadThreshold }

// updateSaturation adds the time since the last update to the moving average of saturation. With the policy LeastCost, the
// time until a cold upstream may get another request counts like one in which all slots are taken.
func (q *Queue) updateSaturation(now time.Duration) {
	passed := now - q.saturationUpdatedAt
	if passed <= 0 {
		return
	}
	full := time.Duration(0)
	if q.running >= q.slots {
		full = passed
	} else if q.policy == LeastCost {
		full = min(passed, q.coldWait(q.saturationUpdatedAt))
	}
	if full > 0 {
		q.saturation = 1 + (q.saturation-1)*math.Exp(-float64(full)/float64(saturationTimeConstant))
	}
	if free := passed - full; free > 0 {
		q.saturation *= math.Exp(-float64(free) / float64(saturationTimeConstant))
	}
	q.saturationUpdatedAt = now
}

// leastUrgent returns the index of the waiting request that gives way to others first.
func (q *Queue) leastUrgent(now time.Duration) int {
	worst := 0
	for i, w := range q.waiting {
		if q.policy == LeastCost {
			if q.startsBefore(now, q.waiting[worst], w) {
				worst = i
			}
			continue
		}
		if w.Priority >= q.waiting[worst].Priority {
			worst = i
		}
	}
	return worst
}

func (q *Queue) removeWaiting(i int) { q.waiting = append(q.waiting[:i], q.waiting[i+1:]...) }

// displaces reports whether a new request takes the place of a waiting one in a full queue.
func (q *Queue) displaces(now time.Duration, r *Request, w *waitingRequest) bool {
	if q.policy == LeastCost {
		return q.startsBefore(now, &waitingRequest{Request: *r, arrived: now}, w)
	}
	return r.Priority < w.Priority
}

func (q *Queue) recordStart(now time.Duration, r *Request) {
	q.updateSaturation(now)
	if q.policy == LeastCost {
		q.shares.count(now, r.Priority).started++
	}
	q.running++
	q.pacer.recordStart(now, q.isCold(now))
}
