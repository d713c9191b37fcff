package admission

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Controller admits calls to one upstream. Calls above the concurrency limit wait in a queue.
type Controller struct {
	cfg       Config
	limiter   limiter
	queue     queue
	calls     map[string]*trackedCall
	freeCalls []*trackedCall
	running   int
	leaving   bool
	// meanServiceTime is the moving average of the time that a call takes, in nanoseconds; 0 until a call succeeded.
	meanServiceTime float64
}

// NewController returns a controller that starts at the initial concurrency, because the upstream may be cold.
func NewController(cfg Config, now time.Duration) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg:     cfg,
		limiter: newLimiter(cfg, now),
		queue:   newQueue(),
		calls:   map[string]*trackedCall{},
	}
}

// Submit decides whether a new call starts, waits or is refused. A call whose ID already waits or runs is refused.
func (c *Controller) Submit(now time.Duration, call Call) Decision {
	switch {
	case c.leaving:
		return Decision{Verdict: Refused, Kind: wire.KindLeaving}
	case now >= call.Deadline:
		return Decision{Verdict: Refused, Kind: wire.KindDeadlineExceeded}
	case c.calls[call.ID] != nil:
		return Decision{Verdict: Refused, Kind: wire.KindDuplicateRequest}
	}
	tc := c.newTrackedCall(call)
	if c.queue.length == 0 && c.running < c.limiter.currentLimit(now) {
		c.start(now, tc)
		return Decision{Verdict: Admitted}
	}
	if !c.canEndInTime(now, tc) {
		c.release(tc)
		return Decision{Verdict: Refused, Kind: wire.KindOverloaded}
	}
	return c.enqueue(now, tc)
}

// FinishCall takes the result of a started call and returns the waiting calls that now start or are dropped. An unknown
// ID is ignored.
func (c *Controller) FinishCall(now time.Duration, id string, r Result) []Action {
	tc := c.calls[id]
	if tc == nil || !tc.running {
		return nil
	}
	c.running--
	c.recordResult(now, tc, r)
	c.release(tc)
	return c.dispatch(now, nil)
}

// Tick drops calls whose deadline passed while they waited, checks for running calls that hang, and starts waiting
// calls up to the limit. It is to be called about every 10 ms while calls wait or run.
func (c *Controller) Tick(now time.Duration) []Action {
	c.limiter.checkRunningCalls(now, c.calls)
	return c.dispatch(now, nil)
}

// CancelWaiting removes a waiting call whose sender has disconnected, and reports whether the call was still waiting. A
// call that has started is not affected.
func (c *Controller) CancelWaiting(_ time.Duration, id string) bool {
	tc := c.calls[id]
	if tc == nil || tc.running {
		return false
	}
	c.queue.remove(tc)
	c.release(tc)
	return true
}

// ApplyHint takes a report of the upstream's health or load endpoint.
func (c *Controller) ApplyHint(now time.Duration, h CapacityHint) { c.limiter.applyHint(now, h) }

// SetLeaving starts or stops refusing new calls. When leaving is true it also drops the waiting calls, because an
// upstream that is shutting down gets no new work; calls that have started run to their end.
func (c *Controller) SetLeaving(leaving bool) []Action {
	c.leaving = leaving
	if !leaving {
		return nil
	}
	var dropped []Action
	for tc := c.queue.pop(); tc != nil; tc = c.queue.pop() {
		dropped = append(dropped, c.dropCall(tc, wire.KindLeaving))
	}
	return dropped
}

// Configure applies a changed configuration of the upstream and returns the calls that start as a result. The current
// limit stays if the new slots allow it. The limit reaches added slots only through the ramp, because they may belong
// to a new upstream that replaced the old one and is cold.
func (c *Controller) Configure(now time.Duration, cfg Config) []Action {
	c.cfg = cfg.withDefaults()
	c.limiter.configure(now, c.cfg)
	return c.dispatch(now, nil)
}

// ResetToCold treats the upstream as cold and accepts new calls again, for example when its data centre returns to
// service. Running calls still count towards the limit.
func (c *Controller) ResetToCold(now time.Duration) {
	c.leaving = false
	c.limiter.resetToCold(now)
}

// Load returns the state of the controller at the time now.
func (c *Controller) Load(now time.Duration) Load {
	state := wire.StateServing
	switch {
	case c.leaving:
		state = wire.StateLeaving
	case c.limiter.cold:
		state = wire.StateCold
	}
	return Load{InFlight: c.running, Limit: c.limiter.currentLimit(now), Queued: c.queue.length, State: state}
}

// newTrackedCall registers a call. It reuses the records of ended calls, because a busy upstream handles so many calls
// that allocating a record for each is too expensive.
func (c *Controller) newTrackedCall(call Call) *trackedCall {
	var tc *trackedCall
	if n := len(c.freeCalls); n > 0 {
		tc, c.freeCalls = c.freeCalls[n-1], c.freeCalls[:n-1]
	} else {
		tc = &trackedCall{}
	}
	*tc = trackedCall{Call: call, class: classOf(call.Priority), deadlineIndex: -1}
	tc.flow = c.queue.classes[tc.class].flow(call.Team, call.Weight)
	c.calls[call.ID] = tc
	return tc
}

func (c *Controller) release(tc *trackedCall) {
	delete(c.calls, tc.ID)
	*tc = trackedCall{}
	c.freeCalls = append(c.freeCalls, tc)
}

func (c *Controller) start(now time.Duration, tc *trackedCall) {
	tc.running = true
	tc.started = now
	c.running++
}

// canEndInTime reports whether the call is expected to end before its deadline, given the number of calls ahead of it
// and the mean service time. A call that would wait without success is refused immediately, so that its sender has time
// left to try another upstream.
func (c *Controller) canEndInTime(now time.Duration, tc *trackedCall) bool {
	if c.meanServiceTime == 0 {
		return true
	}
	rounds := (c.queue.callsAhead(tc.class, tc.flow) + 1) / float64(c.limiter.currentLimit(now))
	return float64(tc.Deadline-now) > (rounds+1)*c.meanServiceTime
}

func (c *Controller) enqueue(now time.Duration, tc *trackedCall) Decision {
	var actions []Action
	if c.queue.length >= c.cfg.MaxQueueLength {
		victim := c.queue.dropCandidate(tc.class, tc.flow)
		if victim == nil {
			c.release(tc)
			return Decision{Verdict: Refused, Kind: wire.KindOverloaded}
		}
		c.queue.remove(victim)
		actions = append(actions, c.dropCall(victim, wire.KindOverloaded))
	}
	c.queue.push(tc)
	if c.running < c.limiter.currentLimit(now) {
		actions = c.dispatch(now, actions)
	}
	return Decision{Verdict: Queued, Actions: actions}
}

// dispatch drops waiting calls whose deadline has passed and starts waiting calls up to the limit. It appends the
// resulting actions to the given ones.
func (c *Controller) dispatch(now time.Duration, actions []Action) []Action {
	for tc := c.queue.popExpired(now); tc != nil; tc = c.queue.popExpired(now) {
		actions = append(actions, c.dropCall(tc, wire.KindDeadlineExceeded))
	}
	for c.running < c.limiter.currentLimit(now) {
		tc := c.queue.pop()
		if tc == nil {
			break
		}
		c.start(now, tc)
		actions = append(actions, Action{ID: tc.ID, Start: true})
	}
	return actions
}

func (c *Controller) dropCall(tc *trackedCall, kind wire.ErrorKind) Action {
	a := Action{ID: tc.ID, Kind: kind}
	c.release(tc)
	return a
}

// recordResult passes a result to the limiter and updates the mean service time. Only successful calls count for the
// mean, because refused calls take almost no time and would make the upstream look fast.
func (c *Controller) recordResult(now time.Duration, tc *trackedCall, r Result) {
	c.limiter.recordResult(now, tc.Route, tc.started, r)
	if r.Kind != Succeeded {
		return
	}
	if c.meanServiceTime == 0 {
		c.meanServiceTime = float64(r.Latency)
		return
	}
	c.meanServiceTime += (float64(r.Latency) - c.meanServiceTime) / 16
}
