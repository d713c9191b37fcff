// Package coldupstream simulates, in virtual time, an admission controller and an upstream that crashes when it gets
// more concurrent calls than it can handle while it is cold.
package coldupstream

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/internal/virtualtime"
)

// Upstream is a simulated upstream. It can handle InitialConcurrency concurrent calls when cold and Slots calls when
// warm, and warms up while it processes calls. It crashes when it gets more calls than it can handle: it loses its
// running calls, refuses connections for half a second and is cold again.
type Upstream struct {
	Slots, InitialConcurrency int
	// Latency is the mean latency when the upstream is warm.
	Latency time.Duration
	// WarmUp is the time with running calls that the upstream needs to become warm.
	WarmUp time.Duration
	// Slowdown is the factor by which the latency is higher when the upstream is cold.
	Slowdown float64
	// WarmFraction is 0 when the upstream is cold and 1 when it is warm.
	WarmFraction float64
	updatedAt    time.Duration
	running      int
	// ExcessCalls counts the calls above what the upstream could handle. It does not count calls before shedsUntil:
	// until then the controller cannot know that the upstream is cold, and the upstream sheds these calls instead of
	// crashing.
	ExcessCalls int
	shedsUntil  time.Duration
	crashes     int
	downUntil   time.Duration
}

// capacity returns the number of concurrent calls that the upstream can handle now.
func (u *Upstream) capacity() int {
	return u.InitialConcurrency + int(float64(u.Slots-u.InitialConcurrency)*u.WarmFraction)
}

// crash makes the upstream lose its calls, refuse connections for a time and be cold.
func (u *Upstream) crash(now time.Duration) {
	u.crashes++
	u.WarmFraction = 0
	u.downUntil = now + 500*time.Millisecond
}

// advanceWarming increases WarmFraction by the time since the last event, if calls were running.
func (u *Upstream) advanceWarming(now time.Duration) {
	if u.running > 0 {
		u.WarmFraction = min(1, u.WarmFraction+float64(now-u.updatedAt)/float64(u.WarmUp))
	}
	u.updatedAt = now
}

// Simulation sends calls to one admission controller with its upstream, in virtual time.
type Simulation struct {
	rng        *rand.Rand
	Queue      virtualtime.Queue
	Controller *admission.Controller
	Upstream   *Upstream
	calls      int
	// Offered counts all calls, and Served the calls that finished before their deadline, by team and by priority.
	// StartedLate counts the calls that started after their deadline.
	Offered, Served map[string]int
	StartedLate     int
	deadlines       map[string]time.Duration
	// FullLimitAt is the time at which the controller's limit last rose to all slots.
	FullLimitAt time.Duration
	limit       int
}

// New returns a simulation without calls.
func New(seed uint64, cfg admission.Config, upstream *Upstream) *Simulation {
	return &Simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), Controller: admission.NewController(cfg, 0), Upstream: upstream,
		Offered: map[string]int{}, Served: map[string]int{}, deadlines: map[string]time.Duration{},
	}
}

// Run runs the events up to the time end; the controller gets a tick every 10 ms.
func (sim *Simulation) Run(end time.Duration) {
	for t := sim.Queue.Now(); t <= end; t += 10 * time.Millisecond {
		sim.Queue.At(t, func() { sim.carryOut(sim.Controller.Tick(sim.Queue.Now())) })
	}
	for sim.Queue.RunNext(end) {
		if limit := sim.Controller.Load(sim.Queue.Now()).Limit; limit != sim.limit {
			sim.limit = limit
			if limit == sim.Upstream.Slots {
				sim.FullLimitAt = sim.Queue.Now()
			}
		}
	}
}

// Offer schedules calls of a team at the given rate per second between the times from and to, at almost regular
// intervals. Each call has a deadline of one second.
func (sim *Simulation) Offer(team string, priority config.Priority, rate float64, from, to time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for t := from; t < to; t += gap {
		sim.Queue.At(t+time.Duration(sim.rng.Int64N(int64(gap))), func() { sim.Arrive(team, priority) })
	}
}

// Arrive submits one call of a team now.
func (sim *Simulation) Arrive(team string, priority config.Priority) {
	sim.calls++
	id := fmt.Sprintf("%s/%s/%d", team, priority, sim.calls)
	sim.Offered[team]++
	sim.Offered[string(priority)]++
	sim.deadlines[id] = sim.Queue.Now() + time.Second
	d := sim.Controller.Submit(sim.Queue.Now(), admission.Call{ID: id, Team: team, Priority: priority, Deadline: sim.Queue.Now() + time.Second})
	if d.Verdict == admission.Admitted {
		sim.start(id, team, priority)
	}
	sim.carryOut(d.Actions)
}

func (sim *Simulation) carryOut(actions []admission.Action) {
	for _, a := range actions {
		if a.Start {
			parts := strings.Split(a.ID, "/")
			sim.start(a.ID, parts[0], config.Priority(parts[1]))
		}
	}
}

// start sends a call to the upstream.
func (sim *Simulation) start(id, team string, priority config.Priority) {
	u := sim.Upstream
	u.advanceWarming(sim.Queue.Now())
	if sim.Queue.Now() >= sim.deadlines[id] {
		sim.StartedLate++
	}
	u.running++
	failWith := func(kind admission.ResultKind) {
		sim.Queue.After(time.Millisecond, func() { sim.finish(id, admission.Result{Latency: time.Millisecond, Kind: kind}) })
	}
	switch {
	case sim.Queue.Now() < u.downUntil:
		failWith(admission.ConnectionFailed)
		return
	case u.running > u.capacity() && sim.Queue.Now() < u.shedsUntil:
		failWith(admission.Shed)
		return
	case u.running > u.capacity():
		u.ExcessCalls++
		u.crash(sim.Queue.Now())
		failWith(admission.ConnectionFailed)
		return
	}
	crashesBefore := u.crashes
	factor := 1 + (u.Slowdown-1)*(1-u.WarmFraction)
	latency := time.Duration(float64(u.Latency) * factor * (0.8 + 0.4*sim.rng.Float64()))
	sim.Queue.After(latency, func() {
		if crashesBefore != u.crashes {
			sim.finish(id, admission.Result{Latency: latency, Kind: admission.ConnectionFailed})
			return
		}
		if sim.Queue.Now() <= sim.deadlines[id] {
			sim.Served[team]++
			sim.Served[string(priority)]++
		}
		sim.finish(id, admission.Result{Latency: latency})
	})
}

func (sim *Simulation) finish(id string, r admission.Result) {
	sim.Upstream.advanceWarming(sim.Queue.Now())
	sim.Upstream.running--
	sim.carryOut(sim.Controller.FinishCall(sim.Queue.Now(), id, r))
}

// MakeUpstreamCold makes the upstream cold now. It sheds excess calls until its first slow response is due, since
// before that the controller cannot know that the upstream is cold.
func (sim *Simulation) MakeUpstreamCold() {
	sim.Upstream.WarmFraction = 0
	sim.Upstream.shedsUntil = sim.Queue.Now() + time.Duration(sim.Upstream.Slowdown*1.2*float64(sim.Upstream.Latency))
}
