// Package coldupstream is a fake upstream in virtual time that falls over when it gets more than it bears while cold,
// behind an admission controller.
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

// Upstream is a fake that bears its initial concurrency when cold and all slots when warm. It warms up while it
// works. Above what it bears it falls over: it loses the calls it works on, refuses connections for half a second
// and is cold again.
type Upstream struct {
	Slots, InitialConcurrency int
	// Latency is its mean latency when warm.
	Latency time.Duration
	// WarmUp is the working time from cold to warm.
	WarmUp time.Duration
	// Slowdown is how many times slower it is when cold.
	Slowdown float64
	// WarmFraction is 0 when cold and 1 when warm.
	WarmFraction float64
	worked       time.Duration
	running      int
	// ExcessCalls counts calls above what it bore. Until grace the controller cannot know, and it sheds them instead.
	ExcessCalls int
	grace       time.Duration
	falls       int
	downUntil   time.Duration
}

func (u *Upstream) bears() int {
	return u.InitialConcurrency + int(float64(u.Slots-u.InitialConcurrency)*u.WarmFraction)
}

func (u *Upstream) fall(now time.Duration) {
	u.falls++
	u.WarmFraction = 0
	u.downUntil = now + 500*time.Millisecond
}

// work advances the warmth by the time since the last event, if there was work.
func (u *Upstream) work(now time.Duration) {
	if u.running > 0 {
		u.WarmFraction = min(1, u.WarmFraction+float64(now-u.worked)/float64(u.WarmUp))
	}
	u.worked = now
}

// Simulation drives one controller and its upstream with calls, in virtual time.
type Simulation struct {
	rng        *rand.Rand
	Queue      virtualtime.Queue
	Controller *admission.Controller
	Upstream   *Upstream
	calls      int
	// Offered and Served count calls by team; Late counts calls that started after their deadline.
	Offered, Served map[string]int
	StartedLate     int
	deadlines       map[string]time.Duration
	// FullLimitAt is when the limit last reached all slots.
	FullLimitAt time.Duration
	limit       int
}

// New returns a world without calls.
func New(seed uint64, cfg admission.Config, up *Upstream) *Simulation {
	return &Simulation{
		rng: rand.New(rand.NewPCG(seed, 2)), Controller: admission.NewController(cfg, 0), Upstream: up,
		Offered: map[string]int{}, Served: map[string]int{}, deadlines: map[string]time.Duration{},
	}
}

// Run goes through the events until the end, with a tick each 10 ms.
func (w *Simulation) Run(end time.Duration) {
	for t := w.Queue.Now(); t <= end; t += 10 * time.Millisecond {
		w.Queue.At(t, func() { w.act(w.Controller.Tick(w.Queue.Now())) })
	}
	for w.Queue.RunNext(end) {
		if limit := w.Controller.Load(w.Queue.Now()).Limit; limit != w.limit {
			w.limit = limit
			if limit == w.Upstream.Slots {
				w.FullLimitAt = w.Queue.Now()
			}
		}
	}
}

// Offer sends calls of a team at a rate a second, evenly but for jitter, each with a second to its deadline.
func (w *Simulation) Offer(team string, priority config.Priority, rate float64, from, to time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for t := from; t < to; t += gap {
		w.Queue.At(t+time.Duration(w.rng.Int64N(int64(gap))), func() { w.Arrive(team, priority) })
	}
}

// Arrive lets one call of a team arrive now.
func (w *Simulation) Arrive(team string, priority config.Priority) {
	w.calls++
	id := fmt.Sprintf("%s/%s/%d", team, priority, w.calls)
	w.Offered[team]++
	w.Offered[string(priority)]++
	w.deadlines[id] = w.Queue.Now() + time.Second
	d := w.Controller.Submit(w.Queue.Now(), admission.Call{ID: id, Team: team, Priority: priority, Deadline: w.Queue.Now() + time.Second})
	if d.Verdict == admission.Admitted {
		w.start(id, team, priority)
	}
	w.act(d.Actions)
}

func (w *Simulation) act(actions []admission.Action) {
	for _, a := range actions {
		if a.Start {
			parts := strings.Split(a.ID, "/")
			w.start(a.ID, parts[0], config.Priority(parts[1]))
		}
	}
}

// start hands a call to the upstream.
func (w *Simulation) start(id, team string, priority config.Priority) {
	u := w.Upstream
	u.work(w.Queue.Now())
	if w.Queue.Now() >= w.deadlines[id] {
		w.StartedLate++
	}
	u.running++
	fails := func(kind admission.ResultKind) {
		w.Queue.After(time.Millisecond, func() { w.finish(id, admission.Result{Latency: time.Millisecond, Kind: kind}) })
	}
	switch {
	case w.Queue.Now() < u.downUntil:
		fails(admission.ConnectionFailed)
		return
	case u.running > u.bears() && w.Queue.Now() < u.grace:
		fails(admission.Shed)
		return
	case u.running > u.bears():
		u.ExcessCalls++
		u.fall(w.Queue.Now())
		fails(admission.ConnectionFailed)
		return
	}
	falls := u.falls
	factor := 1 + (u.Slowdown-1)*(1-u.WarmFraction)
	latency := time.Duration(float64(u.Latency) * factor * (0.8 + 0.4*w.rng.Float64()))
	w.Queue.After(latency, func() {
		if falls != u.falls {
			w.finish(id, admission.Result{Latency: latency, Kind: admission.ConnectionFailed})
			return
		}
		if w.Queue.Now() <= w.deadlines[id] {
			w.Served[team]++
			w.Served[string(priority)]++
		}
		w.finish(id, admission.Result{Latency: latency})
	})
}

func (w *Simulation) finish(id string, r admission.Result) {
	w.Upstream.work(w.Queue.Now())
	w.Upstream.running--
	w.act(w.Controller.FinishCall(w.Queue.Now(), id, r))
}

// MakeUpstreamCold makes the upstream cold now. Until its first slow response can be back, nobody can know.
func (w *Simulation) MakeUpstreamCold() {
	w.Upstream.WarmFraction = 0
	w.Upstream.grace = w.Queue.Now() + time.Duration(w.Upstream.Slowdown*1.2*float64(w.Upstream.Latency))
}
