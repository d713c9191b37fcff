package slots

import (
	"math"
	"time"
)

// Policy says which requests wait or are refused when an upstream cannot run all in time.
type Policy int

const (
	// NestedFirst starts nested requests before all others and refuses them only for their deadlines.
	NestedFirst Policy = iota
	// LeastCost delays and refuses the requests whose delay or refusal costs callers least. Nested requests start before
	// those of callers, because the work on their parents is lost with them. Requests that can still meet their objectives
	// start before those that cannot, more urgent ones before less urgent ones, and otherwise the one whose last moment to
	// start in time comes first. While there is too little room, a request that cannot meet its objective any more is
	// refused at once, so that its caller can return.
	LeastCost
)

const (
	// shareTimeConstant is the time constant of the counts that show whether requests of a priority are starved. Users
	// notice seconds without service, and a shorter time would count the bursts of one upstream.
	shareTimeConstant = 10 * time.Second
	// minServedShare is the least share of a priority's requests that start, as a multiple of the share of all requests: no
	// kind of request may be served less than a quarter as often as all.
	minServedShare = 0.25
	// minSlowness is the slowness from which on an upstream is avoided. Below it, a second try costs more than it saves.
	minSlowness = 1.2
	// slowRetryAfter is the least time after which a slow upstream is asked again. Slow periods last some hundred
	// milliseconds.
	slowRetryAfter = 100 * time.Millisecond
	// minCounted is the number of requests of a priority from which on its share is used.
	minCounted = 20
)

// priorityCount holds decayed counts of the requests of one priority.
type priorityCount struct{ arrived, started float64 }

// servedShares counts, by priority, the requests that were sent to an upstream first and those that started there. A
// request that several upstreams refuse arrives at each of them, but is one that is not served.
type servedShares struct {
	counts    map[int]*priorityCount
	updatedAt time.Duration
}

func (s *servedShares) count(now time.Duration, priority int) *priorityCount {
	if s.counts == nil {
		s.counts = map[int]*priorityCount{}
	}
	if passed := now - s.updatedAt; passed > 0 {
		factor := math.Exp(-float64(passed) / float64(shareTimeConstant))
		for _, c := range s.counts {
			c.arrived *= factor
			c.started *= factor
		}
		s.updatedAt = now
	}
	c := s.counts[priority]
	if c == nil {
		c = &priorityCount{}
		s.counts[priority] = c
	}
	return c
}

// starved reports whether so few requests of the priority start that the next one has to be preferred.
func (s *servedShares) starved(priority int) bool {
	c := s.counts[priority]
	if c == nil || c.arrived < minCounted {
		return false
	}
	arrived, started := 0.0, 0.0
	for _, other := range s.counts {
		arrived += other.arrived
		started += other.started
	}
	return c.started/c.arrived < minServedShare*started/arrived
}

// startsBefore reports whether the request a starts before b under the policy LeastCost.
func (q *Queue) startsBefore(now time.Duration, a, b *waitingRequest) bool {
	if starvedA, starvedB := q.shares.starved(a.Priority), q.shares.starved(b.Priority); starvedA != starvedB {
		return starvedA
	}
	if a.Nested != b.Nested {
		return a.Nested
	}
	if meetsA, meetsB := q.canMeetObjective(now, a), q.canMeetObjective(now, b); meetsA != meetsB {
		return meetsA
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	lastStartA := a.Objective - q.expectedServiceTime(&a.Request, now)
	lastStartB := b.Objective - q.expectedServiceTime(&b.Request, now)
	return lastStartA < lastStartB
}

// leastCostDelay estimates the time until a new request starts under the policy LeastCost.
func (q *Queue) leastCostDelay(now time.Duration, r *Request) time.Duration {
	candidate := &waitingRequest{Request: *r, arrived: now}
	ahead, work := 0, time.Duration(0)
	for _, w := range q.waiting {
		if !q.startsBefore(now, candidate, w) {
			ahead++
			work += q.expectedServiceTime(&w.Request, now)
		}
	}
	if q.canStart(now) && ahead == 0 {
		return 0
	}
	wait := time.Duration(0)
	if q.running >= q.slots || ahead > 0 {
		wait = (q.capacity.MeanServiceTime(now) + work) / time.Duration(q.slots)
	}
	if cold := q.coldWait(now); cold > 0 {
		wait = max(wait, cold+time.Duration(ahead)*q.pacer.rate.interval())
	}
	return wait
}

// tooSlow reports whether a request that has to meet its objective is refused, although it could start, because the upstream
// is slow at this moment. Its sender can try another upstream, and sends it here again if there is none.
func (q *Queue) tooSlow(now time.Duration, r *Request, expected time.Duration) bool {
	if q.policy != LeastCost || !r.MustMeetObjective {
		return false
	}
	usual, slowness := q.UsualServiceTime(now, r.Route)
	left := usableTime(r.Objective - now)
	return slowness >= minSlowness && expected > left && usual <= left
}

// coldLimited reports, under the policy LeastCost, whether a cold upstream gets as many requests as it can handle now. Each that
// ends late takes the place of one that could be in time.
func (q *Queue) coldLimited(now time.Duration) bool {
	return q.policy == LeastCost && q.coldWait(now) > 0
}

// untilWarm returns, under the policy LeastCost, how long the upstream stays cold. Its rate is used up until then, so a caller
// that returns earlier is refused again, and most callers return only once.
func (q *Queue) untilWarm(now time.Duration) time.Duration {
	if q.policy != LeastCost || !q.isCold(now) {
		return 0
	}
	return q.coldUntil - now
}

// Overloaded reports whether requests are refused because all slots were taken for most of the last second, or because a cold
// upstream gets as many requests as it can handle.
func (q *Queue) Overloaded(now time.Duration) bool { return q.overloaded() || q.coldLimited(now) }

// hopeless reports whether a waiting request is refused now because it can only be answered late, while the room is needed
// for requests that can be in time.
func (q *Queue) hopeless(now time.Duration, w *waitingRequest) bool {
	return q.policy == LeastCost && !w.Nested && q.Overloaded(now) && !q.canMeetObjective(now, w) && !q.shares.starved(w.Priority)
}
