package peer

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// AdmissionQueue makes calls wait until the admission controller starts or refuses them.
type AdmissionQueue struct {
	clock      clock.Clock
	lastID     atomic.Uint64
	mu         sync.Mutex
	cfg        admission.Config
	controller *admission.Controller
	// waiting holds the channels of the waiting calls by call ID. Each receives one action.
	waiting map[string]chan admission.Action
}

// NewAdmissionQueue returns a queue for an upstream that may still be cold, so that its limit ramps up.
func NewAdmissionQueue(c clock.Clock, cfg admission.Config) *AdmissionQueue {
	return &AdmissionQueue{
		clock: c, cfg: cfg, controller: admission.NewController(cfg, c.Now()),
		waiting: map[string]chan admission.Action{},
	}
}

// Configure sets the declared capacity of the upstream.
func (q *AdmissionQueue) Configure(cfg admission.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cfg != cfg {
		q.cfg = cfg
		q.notifyWaiting(q.controller.Configure(q.clock.Now(), cfg))
	}
}

// RestartRamp starts a new ramp of the limit, because the upstream may be cold again, and ends the effect of
// SetLeaving.
func (q *AdmissionQueue) RestartRamp() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.ResetToCold(q.clock.Now())
}

// waitForSlot waits until the call may run and then returns "", or until it is refused and then returns the error kind.
// It sets the ID of the call. A call that may run must be ended with finishCall.
func (q *AdmissionQueue) waitForSlot(call *admission.Call, caller Caller) wire.ErrorKind {
	call.ID = strconv.FormatUint(q.lastID.Add(1), 10)
	decision, kind := q.submit(call)
	if decision == nil {
		return kind
	}
	timer := time.NewTimer(min(callerCheckInterval, call.Deadline-q.clock.Now()))
	defer timer.Stop()
	for {
		select {
		case a := <-decision:
			return errorKind(a)
		case <-timer.C:
		}
		remaining := call.Deadline - q.clock.Now()
		switch {
		case remaining <= 0:
			kind = wire.KindDeadlineExceeded
		case caller != nil && !caller.Connected():
			// The caller has disconnected, so nobody reads this result; the call did not run.
			kind = wire.KindDeadlineExceeded
		default:
			timer.Reset(min(callerCheckInterval, remaining))
			continue
		}
		return q.abandon(call.ID, decision, kind)
	}
}

// submit passes a call to the admission controller. If the call has to wait, it returns the channel that receives the
// controller's decision. Otherwise the channel is nil, and kind is empty if the call may run at once.
func (q *AdmissionQueue) submit(call *admission.Call) (decision chan admission.Action, kind wire.ErrorKind) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.controller.Submit(q.clock.Now(), *call)
	if d.Verdict == admission.Queued {
		decision = make(chan admission.Action, 1)
		q.waiting[call.ID] = decision
	}
	q.notifyWaiting(d.Actions)
	return decision, d.Kind
}

// abandon withdraws a waiting call and returns kind. If the call was started or refused in the meantime, that decision
// applies instead.
func (q *AdmissionQueue) abandon(id string, decision chan admission.Action, kind wire.ErrorKind) wire.ErrorKind {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case a := <-decision:
		return errorKind(a)
	default:
	}
	delete(q.waiting, id)
	q.controller.CancelWaiting(q.clock.Now(), id)
	return kind
}

// errorKind returns "" for a call that is started, or the error kind of its refusal.
func errorKind(a admission.Action) wire.ErrorKind {
	if a.Start {
		return ""
	}
	return a.Kind
}

// finishCall ends a call that was started and passes its result to the admission controller.
func (q *AdmissionQueue) finishCall(id string, result admission.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyWaiting(q.controller.FinishCall(q.clock.Now(), id, result))
}

// Tick makes the admission controller refuse waiting calls whose deadline has passed and start those that the limit
// allows. The node calls it every 10 ms.
func (q *AdmissionQueue) Tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyWaiting(q.controller.Tick(q.clock.Now()))
}

// SetLeaving makes the admission controller refuse the waiting calls and all new ones until RestartRamp.
func (q *AdmissionQueue) SetLeaving() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyWaiting(q.controller.SetLeaving(true))
}

// ApplyHint passes the capacity that the upstream's health or load endpoint reports to the admission controller.
func (q *AdmissionQueue) ApplyHint(h admission.CapacityHint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.controller.ApplyHint(q.clock.Now(), h)
}

// Load returns the load of the admission controller.
func (q *AdmissionQueue) Load() admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.controller.Load(q.clock.Now())
}

// notifyWaiting sends the admission controller's actions to the waiting calls that they concern.
func (q *AdmissionQueue) notifyWaiting(actions []admission.Action) {
	for _, a := range actions {
		if decision := q.waiting[a.ID]; decision != nil {
			delete(q.waiting, a.ID)
			decision <- a
		}
	}
}
