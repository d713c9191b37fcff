package admission

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Controller admits calls to one upstream.
type Controller struct {
	cfg     Config
	limit   limiter
	queue   queue
	calls   map[string]*waiter
	free    []*waiter
	running int
	leaving bool
	// service is the moving average of the time a call takes, in nanoseconds.
	service float64
}

// NewController returns a controller whose upstream may be cold.
func NewController(cfg Config, now time.Duration) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:   cfg,
		limit: newLimiter(cfg, now),
		queue: newQueue(),
		calls: map[string]*waiter{},
	}
}

// Submit decides on a new call. An ID that waits or runs already is refused.
func (c *Controller) Submit(now time.Duration, call Call) Decision {
	switch {
	case c.leaving:
		return Decision{Verdict: Refused, Kind: wire.KindLeaving}
	case now >= call.Deadline:
		return Decision{Verdict: Refused, Kind: wire.KindDeadlineExceeded}
	case c.calls[call.ID] != nil:
		return Decision{Verdict: Refused, Kind: wire.KindDuplicateRequest}
	}
	w := c.admit(call)
	if c.queue.length == 0 && c.running < c.limit.current(now) {
		c.start(now, w)
		return Decision{Verdict: Admitted}
	}
	if !c.fits(now, w) {
		c.forget(w)
		return Decision{Verdict: Refused, Kind: wire.KindOverloaded}
	}
	return c.wait(now, w)
}

// FinishCall takes the result of a started call and returns the calls that start or are dropped in consequence. An
// unknown ID is ignored.
func (c *Controller) FinishCall(now time.Duration, id string, r Result) []Action {
	w := c.calls[id]
	if w == nil || !w.running {
		return nil
	}
	c.running--
	c.observe(now, w, r)
	c.forget(w)
	return c.dispatch(now, nil)
}

// Tick drops calls whose deadline passed while they waited, looks for calls that hang and starts what the limit
// allows. It is to be called about every 10 ms while calls wait or run.
func (c *Controller) Tick(now time.Duration) []Action {
	c.limit.watch(now, c.calls)
	return c.dispatch(now, nil)
}

// CancelWaiting forgets a call that waits, because its sender went away. A call that started is not affected; it
// reports whether the call still waited.
func (c *Controller) CancelWaiting(_ time.Duration, id string) bool {
	w := c.calls[id]
	if w == nil || w.running {
		return false
	}
	c.queue.remove(w)
	c.forget(w)
	return true
}

// ApplyHint takes what the upstream's health or load endpoint claims.
func (c *Controller) ApplyHint(now time.Duration, h CapacityHint) { c.limit.hint(now, h) }

// SetLeaving starts or stops refusing new calls. On leaving, the calls that wait are dropped with "not run",
// because an upstream that leaves gets no new work; those that started are completed.
func (c *Controller) SetLeaving(leaving bool) []Action {
	c.leaving = leaving
	if !leaving {
		return nil
	}
	var dropped []Action
	for w := c.queue.pop(); w != nil; w = c.queue.pop() {
		dropped = append(dropped, c.drop(w, wire.KindLeaving))
	}
	return dropped
}

// Configure takes a changed declaration of the upstream and returns the calls that start in consequence. The limit
// is kept within the new slots; added slots are reached by the ramp, because they may belong to a replaced upstream.
func (c *Controller) Configure(now time.Duration, cfg Config) []Action {
	c.cfg = cfg.withDefaults()
	c.limit.configure(now, c.cfg)
	return c.dispatch(now, nil)
}

// ResetToCold treats the upstream as cold again and takes new calls, for example when its data centre returns. Calls in
// progress stay counted.
func (c *Controller) ResetToCold(now time.Duration) {
	c.leaving = false
	c.limit.fall(now)
}

// Load describes the controller at now.
func (c *Controller) Load(now time.Duration) Load {
	state := wire.StateServing
	switch {
	case c.leaving:
		state = wire.StateLeaving
	case c.limit.cold:
		state = wire.StateCold
	}
	return Load{InFlight: c.running, Limit: c.limit.current(now), Queued: c.queue.length, State: state}
}

// admit takes a record for the call from the free list; the calls of a busy upstream come and go too fast to
// allocate one each.
func (c *Controller) admit(call Call) *waiter {
	var w *waiter
	if n := len(c.free); n > 0 {
		w, c.free = c.free[n-1], c.free[:n-1]
	} else {
		w = &waiter{}
	}
	*w = waiter{Call: call, class: classOf(call.Priority), byDeadline: -1}
	w.flow = c.queue.classes[w.class].flow(call.Team, call.Weight)
	c.calls[call.ID] = w
	return w
}

func (c *Controller) forget(w *waiter) {
	delete(c.calls, w.ID)
	*w = waiter{}
	c.free = append(c.free, w)
}

func (c *Controller) start(now time.Duration, w *waiter) {
	w.running = true
	w.started = now
	c.running++
}

// fits reports whether the call would be served before its deadline, by the calls ahead of it and the usual
// time of a call. A call that would only wait in vain is refused at once, so that its sender has time left to
// go elsewhere.
func (c *Controller) fits(now time.Duration, w *waiter) bool {
	if c.service == 0 {
		return true
	}
	rounds := (c.queue.ahead(w.class, w.flow) + 1) / float64(c.limit.current(now))
	return float64(w.Deadline-now) > (rounds+1)*c.service
}

func (c *Controller) wait(now time.Duration, w *waiter) Decision {
	var actions []Action
	if c.queue.length >= c.cfg.MaxQueueLength {
		victim := c.queue.victim(w.class, w.flow)
		if victim == nil {
			c.forget(w)
			return Decision{Verdict: Refused, Kind: wire.KindOverloaded}
		}
		c.queue.remove(victim)
		actions = append(actions, c.drop(victim, wire.KindOverloaded))
	}
	c.queue.push(w)
	if c.running < c.limit.current(now) {
		actions = c.dispatch(now, actions)
	}
	return Decision{Verdict: Queued, Actions: actions}
}

// dispatch drops what expired and starts what the limit allows.
func (c *Controller) dispatch(now time.Duration, actions []Action) []Action {
	for w := c.queue.expired(now); w != nil; w = c.queue.expired(now) {
		actions = append(actions, c.drop(w, wire.KindDeadlineExceeded))
	}
	for c.running < c.limit.current(now) {
		w := c.queue.pop()
		if w == nil {
			break
		}
		c.start(now, w)
		actions = append(actions, Action{ID: w.ID, Start: true})
	}
	return actions
}

func (c *Controller) drop(w *waiter, kind wire.ErrorKind) Action {
	a := Action{ID: w.ID, Kind: kind}
	c.forget(w)
	return a
}

// observe feeds a result to the limiter and to the average service time. Refused calls take no time and would
// make the upstream look fast.
func (c *Controller) observe(now time.Duration, w *waiter, r Result) {
	c.limit.finished(now, w.Route, w.started, r)
	if r.Kind != Succeeded {
		return
	}
	if c.service == 0 {
		c.service = float64(r.Latency)
		return
	}
	c.service += (float64(r.Latency) - c.service) / 16
}
