package sidecar

import (
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/capacity"
	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// refusalLeaving is the reason of requests that waited for a slot when the node began to refuse work because it stops.
const refusalLeaving slots.RefusalReason = "leaving"

// blockingQueue lets goroutines wait until a slots.Queue starts or refuses their requests.
type blockingQueue struct {
	clock  clock.Clock
	mu     sync.Mutex
	slots  *slots.Queue
	nextID uint64
	// waiting has a channel for each waiting request, by ID, which gets the decision on it.
	waiting map[uint64]chan slots.Action
	// timer fires when a cold upstream can bear the next waiting request.
	timer *time.Timer
}

func newBlockingQueue(c clock.Clock, count int) *blockingQueue {
	q := &blockingQueue{clock: c, slots: slots.NewQueue(count), waiting: map[uint64]chan slots.Action{}}
	q.timer = time.AfterFunc(time.Hour, q.tick)
	q.timer.Stop()
	return q
}

// acquireSlot returns when the request may start or is refused. An empty reason means that it may start. after is the
// time after which a slot is expected to be free. onWait is called if the request has to wait; it may be nil.
func (q *blockingQueue) acquireSlot(r slots.Request, caller peer.Caller, onWait func()) (reason slots.RefusalReason, after time.Duration) {
	q.mu.Lock()
	q.nextID++
	r.ID = q.nextID
	decision, actions := q.slots.Submit(q.clock.Now(), r)
	var decided chan slots.Action
	if decision.Queued {
		decided = make(chan slots.Action, 1)
		q.waiting[r.ID] = decided
	}
	q.deliverActions(actions)
	q.mu.Unlock()
	if decided == nil {
		return decision.Reason, decision.RetryAfter
	}
	if onWait != nil {
		onWait()
	}
	return q.awaitSlot(r, decided, caller), 0
}

// awaitSlot waits for the decision on a request, at most until its deadline or until the caller disconnects.
func (q *blockingQueue) awaitSlot(r slots.Request, decided chan slots.Action, caller peer.Caller) slots.RefusalReason {
	timer := time.NewTimer(min(callerCheckInterval, r.Deadline-q.clock.Now()))
	defer timer.Stop()
	for {
		select {
		case a := <-decided:
			return a.Reason
		case <-timer.C:
		}
		left := r.Deadline - q.clock.Now()
		if left <= 0 || (caller != nil && !caller.Connected()) {
			return q.cancelWaiting(r, decided)
		}
		timer.Reset(min(callerCheckInterval, left))
	}
}

// cancelWaiting removes a waiting request from the queue. If the request was started in the meantime, its slot is
// released.
func (q *blockingQueue) cancelWaiting(r slots.Request, decided chan slots.Action) slots.RefusalReason {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case a := <-decided:
		if a.Reason == "" {
			q.deliverActions(q.slots.FinishRequest(q.clock.Now(), r.Route, 0))
		}
	default:
		delete(q.waiting, r.ID)
		q.slots.CancelWaiting(r.ID)
	}
	return slots.ReasonTooLate
}

// hedgeDelay returns the delay after which a request of the route is sent to another upstream as well, or 0 if that is not
// known.
func (q *blockingQueue) hedgeDelay(route string) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots.HedgeDelay(q.clock.Now(), route)
}

// releaseSlot releases the slot of a started request. latency is its service time, or 0 if that must not count as a
// sample.
func (q *blockingQueue) releaseSlot(route string, latency time.Duration) {
	q.update(func(now time.Duration) []slots.Action { return q.slots.FinishRequest(now, route, latency) })
}

// update calls f with the lock held and delivers the actions that it returns.
func (q *blockingQueue) update(f func(now time.Duration) []slots.Action) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliverActions(f(q.clock.Now()))
}

// recordReport records the load that the upstream stated in a response.
func (q *blockingQueue) recordReport(r capacity.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots.RecordReport(q.clock.Now(), r)
}

// state returns the load, the factor by which work takes longer at this moment, and whether the queue is overloaded.
func (q *blockingQueue) state() (load slots.Load, slowness float64, overloaded bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	_, slowness = q.slots.UsualServiceTime(now, "")
	return q.slots.Load(now), slowness, q.slots.Overloaded(now)
}

// adoptConfig puts the policy that a configuration calls for in force, and forgets the routes that it does not have.
func (q *blockingQueue) adoptConfig(c *mesh.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots.SetPolicy(policyFor(c))
	q.slots.RetainRoutes(c.HasRoute)
}

// refuseWaiting refuses all requests that wait for a slot, because the node stops.
func (q *blockingQueue) refuseWaiting() {
	q.update(func(time.Duration) []slots.Action { return q.slots.RefuseWaiting(refusalLeaving) })
}

func (q *blockingQueue) tick() { q.update(q.slots.Tick) }

func (q *blockingQueue) load() slots.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.slots.Load(q.clock.Now())
}

// estimates returns the load, the usual service time of a route, or 0 if it is not known, and the factor by which work takes
// longer at this moment.
func (q *blockingQueue) estimates(route string) (load slots.Load, usual time.Duration, slowness float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	usual, slowness = q.slots.UsualServiceTime(now, route)
	return q.slots.Load(now), usual, slowness
}

// deliverActions gives the actions to the goroutines that wait for them and sets the timer for the next start. The lock
// is held.
func (q *blockingQueue) deliverActions(actions []slots.Action) {
	for _, a := range actions {
		if decided := q.waiting[a.ID]; decided != nil {
			delete(q.waiting, a.ID)
			decided <- a
		}
	}
	if next := q.slots.UntilNextStart(q.clock.Now()); next > 0 {
		q.timer.Reset(next)
	}
}
