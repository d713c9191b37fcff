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

// AdmissionQueue lets calls wait for the admission controller.
type AdmissionQueue struct {
	clock   clock.Clock
	next    atomic.Uint64
	mu      sync.Mutex
	cfg     admission.Config
	control *admission.Controller
	waiting map[string]chan admission.Action
}

// NewAdmissionQueue returns a queue before an upstream that may be cold.
func NewAdmissionQueue(c clock.Clock, cfg admission.Config) *AdmissionQueue {
	return &AdmissionQueue{
		clock: c, cfg: cfg, control: admission.NewController(cfg, c.Now()),
		waiting: map[string]chan admission.Action{},
	}
}

// Configure takes the declared size of the upstream.
func (q *AdmissionQueue) Configure(cfg admission.Config) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.cfg != cfg {
		q.cfg = cfg
		q.deliver(q.control.Configure(q.clock.Now(), cfg))
	}
}

// RestartRamp starts a new ramp, because the upstream may be cold again, and takes new calls.
func (q *AdmissionQueue) RestartRamp() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.control.ResetToCold(q.clock.Now())
}

// enter returns when the call may run, with an empty kind, or when it is refused. A call that was let in must
// leave. The ID of the call is set by enter.
func (q *AdmissionQueue) enter(call *admission.Call, caller Caller) wire.ErrorKind {
	call.ID = strconv.FormatUint(q.next.Add(1), 10)
	answer, kind := q.arrive(call)
	if answer == nil {
		return kind
	}
	timer := time.NewTimer(min(watchInterval, call.Deadline-q.clock.Now()))
	defer timer.Stop()
	for {
		select {
		case a := <-answer:
			return verdict(a)
		case <-timer.C:
		}
		left := call.Deadline - q.clock.Now()
		switch {
		case left <= 0:
			kind = wire.KindDeadlineExceeded
		case caller != nil && !caller.Connected():
			// Nobody reads this answer; the call did not run.
			kind = wire.KindDeadlineExceeded
		default:
			timer.Reset(min(watchInterval, left))
			continue
		}
		return q.abandon(call.ID, answer, kind)
	}
}

// arrive returns a channel for a call that has to wait, else its verdict.
func (q *AdmissionQueue) arrive(call *admission.Call) (answer chan admission.Action, kind wire.ErrorKind) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.control.Submit(q.clock.Now(), *call)
	if d.Verdict == admission.Queued {
		answer = make(chan admission.Action, 1)
		q.waiting[call.ID] = answer
	}
	q.deliver(d.Actions)
	return answer, d.Kind
}

// abandon takes a call back; when it was let in or refused in the meantime, that verdict counts.
func (q *AdmissionQueue) abandon(id string, answer chan admission.Action, kind wire.ErrorKind) wire.ErrorKind {
	q.mu.Lock()
	defer q.mu.Unlock()
	select {
	case a := <-answer:
		return verdict(a)
	default:
	}
	delete(q.waiting, id)
	q.control.CancelWaiting(q.clock.Now(), id)
	return kind
}

func verdict(a admission.Action) wire.ErrorKind {
	if a.Start {
		return ""
	}
	return a.Kind
}

// leave ends a call that was let in.
func (q *AdmissionQueue) leave(id string, result admission.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.control.FinishCall(q.clock.Now(), id, result))
}

// Tick lets the controller act on the time; the node calls it several times a second.
func (q *AdmissionQueue) Tick() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.control.Tick(q.clock.Now()))
}

// SetLeaving makes the controller refuse new calls, and the waiting ones, from now on; Restart ends it.
func (q *AdmissionQueue) SetLeaving() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.deliver(q.control.SetLeaving(true))
}

// ApplyHint passes on what the upstream's health or load endpoint claims.
func (q *AdmissionQueue) ApplyHint(h admission.CapacityHint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.control.ApplyHint(q.clock.Now(), h)
}

// Load describes the controller.
func (q *AdmissionQueue) Load() admission.Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.control.Load(q.clock.Now())
}

func (q *AdmissionQueue) deliver(actions []admission.Action) {
	for _, a := range actions {
		if answer := q.waiting[a.ID]; answer != nil {
			delete(q.waiting, a.ID)
			answer <- a
		}
	}
}
