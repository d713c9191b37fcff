// Package trafficsim simulates calls to the upstreams of one service in virtual time. It compares routing, admission
// and retry budgets with a baseline of round robin, plain retries and first-in-first-out queues.
package trafficsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/internal/virtualtime"
	"github.com/bamboodeal/bamboodeal/decision/retry"
	"github.com/bamboodeal/bamboodeal/decision/routing"
)

const (
	// DefaultUpstreamCount is the number of upstreams of a simulation from New. Each serves about 300 calls per second.
	DefaultUpstreamCount = 8
	slots                = 6
	entryNodes           = 4
	serviceTime          = 20 * time.Millisecond
	networkDelay         = time.Millisecond
)

// Simulation simulates entry nodes, which route and retry calls, and upstreams with admission controllers.
type Simulation struct {
	rng        *rand.Rand
	time       virtualtime.Queue
	lastCallID int
	backends   []*backend
	entries    []entryNode
	view       *routing.View
	baseline   bool
	timeout    time.Duration
	size       Size
	objects    config.Objects
	// listedBackends are the indexes of the backends in the baseline's list of live upstreams.
	listedBackends []int
	silentFailure  bool
	// OnCall, if set, is called when a call begins, with served false, and again if it is served before its deadline.
	OnCall func(team string, begun time.Duration, served bool)

	offered, served map[string]int
	// Calls counts all calls, Attempts their attempts, and StartedLate the calls that an upstream started after their
	// deadline.
	Calls, Attempts, StartedLate int
	// Crashes counts the crashes of upstreams.
	Crashes int
}

// Size is the size of a simulation. The upstreams, and the entry nodes, are distributed evenly over the data centres.
// Slots is the number of concurrent calls of each upstream.
type Size struct {
	Upstreams, Slots, DataCentres, EntryNodes int
}

// backend is an upstream with its admission controller.
type backend struct {
	name       string
	dataCentre string
	controller admissionController
	running    int
	stopped    bool
	// coldUntil is the time at which the upstream can handle calls in all its slots after its start at startedAt.
	startedAt, coldUntil time.Duration
	// downUntil is the time until which the upstream refuses connections after a crash.
	downUntil time.Duration
	crashes   int
	// sheddingThreshold is the number of concurrent calls above which the upstream answers with status 503; 0 stands
	// for its capacity.
	sheddingThreshold int
	calls             map[string]*call
}

// admissionController is the part of admission.Controller that the simulation uses; fifoController is the baseline.
type admissionController interface {
	Submit(now time.Duration, c admission.Call) admission.Decision
	FinishCall(now time.Duration, id string, r admission.Result) []admission.Action
	Tick(now time.Duration) []admission.Action
	Load(now time.Duration) admission.Load
}

// fifoController is the baseline's admission controller: a first-in-first-out queue of bounded length, without
// deadlines or teams.
type fifoController struct {
	slots   int
	running int
	waiting []string
}

func (f *fifoController) Submit(_ time.Duration, c admission.Call) admission.Decision {
	if f.running < f.slots {
		f.running++
		return admission.Decision{Verdict: admission.Admitted}
	}
	if len(f.waiting) >= 16*f.slots {
		return admission.Decision{Verdict: admission.Refused, Kind: wire.KindOverloaded}
	}
	f.waiting = append(f.waiting, c.ID)
	return admission.Decision{Verdict: admission.Queued}
}

func (f *fifoController) FinishCall(time.Duration, string, admission.Result) []admission.Action {
	f.running--
	if len(f.waiting) == 0 {
		return nil
	}
	f.running++
	id := f.waiting[0]
	f.waiting = f.waiting[1:]
	return []admission.Action{{ID: id, Start: true}}
}

func (f *fifoController) Tick(time.Duration) []admission.Action { return nil }
func (f *fifoController) Load(time.Duration) admission.Load     { return admission.Load{} }

// entryNode routes calls. The baseline uses next as its round-robin counter.
type entryNode struct {
	table  *routing.Table
	budget *retry.Budget
	next   int
}

type call struct {
	team     string
	priority config.Priority
	begun    time.Duration
	deadline time.Duration
	entry    int
	tried    []string
	retries  int
}

// New returns a simulation of eight upstreams in one data centre, without calls. Each call will have the given timeout.
// With baseline, it simulates the baseline.
func New(seed uint64, timeout time.Duration, baseline bool) *Simulation {
	return NewWithSize(seed, timeout, baseline, Size{Upstreams: DefaultUpstreamCount, Slots: slots, DataCentres: 1, EntryNodes: entryNodes})
}

// NewWithSize returns a simulation of the given size, without calls. Each call will have the given timeout. With
// baseline, it simulates the baseline.
func NewWithSize(seed uint64, timeout time.Duration, baseline bool, size Size) *Simulation {
	sim := &Simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), baseline: baseline, timeout: timeout, size: size,
		offered: map[string]int{}, served: map[string]int{},
	}
	sim.objects = config.Objects{Services: []config.Service{{Name: "s"}}}
	for i := range size.DataCentres {
		sim.objects.DataCentres = append(sim.objects.DataCentres, config.DataCentre{Name: fmt.Sprint("d", i), State: config.DataCentreIn})
	}
	for i := range size.Upstreams {
		b := &backend{name: fmt.Sprint("u", i), dataCentre: fmt.Sprint("d", i%size.DataCentres), calls: map[string]*call{}}
		b.controller = sim.newController(0, serviceTime)
		sim.backends = append(sim.backends, b)
		sim.listedBackends = append(sim.listedBackends, i)
		sim.objects.Upstreams = append(sim.objects.Upstreams, config.Upstream{Name: b.name, Service: "s", DataCentre: b.dataCentre})
	}
	sim.view = &routing.View{Set: config.NewSet(sim.objects), Members: map[string]platform.Member{}}
	for i := range size.EntryNodes {
		table := routing.NewTable(routing.Config{
			Node: fmt.Sprint("n", i), DataCentre: fmt.Sprint("d", i%size.DataCentres),
		}, sim.rng)
		sim.entries = append(sim.entries, entryNode{table: table, budget: retry.NewBudget(0)})
	}
	return sim
}

// newController returns an admission controller that starts now; warmLatency is the known latency of the warm upstream,
// or 0.
func (sim *Simulation) newController(now, warmLatency time.Duration) admissionController {
	if sim.baseline {
		return &fifoController{slots: sim.size.Slots}
	}
	return admission.NewController(admission.Config{
		Slots: sim.size.Slots, InitialConcurrency: 2, RampTime: coldStartRamp, WarmLatency: warmLatency,
	}, now)
}

// Run runs the simulation until all calls are over. The admission controllers get ticks until the time end.
func (sim *Simulation) Run(end time.Duration) {
	for t := time.Duration(0); t < end; t += 10 * time.Millisecond {
		sim.time.After(t, func() {
			for _, b := range sim.backends {
				sim.carryOut(b, b.controller.Tick(sim.time.Now()))
			}
		})
	}
	for sim.time.RunNext(math.MaxInt64) {
	}
}

// Offer schedules calls of a team at the given rate per second until the time end: 60% interactive, 20% normal and 20%
// background.
func (sim *Simulation) Offer(team string, rate float64, end time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for t := time.Duration(0); t < end; t += gap {
		p := []config.Priority{config.PriorityInteractive, config.PriorityInteractive, config.PriorityInteractive, config.PriorityNormal, config.PriorityBackground}[sim.rng.IntN(5)]
		sim.time.After(t+time.Duration(sim.rng.Int64N(int64(gap))), func() { sim.beginCall(team, p) })
	}
}

func (sim *Simulation) beginCall(team string, p config.Priority) {
	now := sim.time.Now()
	c := &call{team: team, priority: p, begun: now, deadline: now + sim.timeout, entry: sim.rng.IntN(sim.size.EntryNodes)}
	sim.Calls++
	if sim.OnCall != nil {
		sim.OnCall(team, now, false)
	}
	sim.offered[team+"/"+string(p)]++
	sim.entries[c.entry].budget.Deposit()
	sim.attempt(c)
}

// attempt sends a call to an upstream that it has not tried yet, unless the deadline has passed.
func (sim *Simulation) attempt(c *call) {
	if sim.time.Now() >= c.deadline {
		return
	}
	e := &sim.entries[c.entry]
	name, ok := e.table.Pick(sim.time.Now(), sim.view, "s", c.tried)
	if sim.baseline {
		e.next++
		name, ok = fmt.Sprint("u", sim.listedBackends[e.next%len(sim.listedBackends)]), true
	}
	if !ok {
		return
	}
	c.tried = append(c.tried, name)
	sim.Attempts++
	b := sim.backends[slices.IndexFunc(sim.backends, func(b *backend) bool { return b.name == name })]
	sim.time.After(networkDelay, func() { sim.arrive(b, c) })
}

func (sim *Simulation) arrive(b *backend, c *call) {
	if sim.handleUnreachable(b, c) {
		return
	}
	sim.lastCallID++
	id := fmt.Sprint(sim.lastCallID)
	b.calls[id] = c
	d := b.controller.Submit(sim.time.Now(), admission.Call{ID: id, Team: c.team, Priority: c.priority, Deadline: c.deadline})
	switch d.Verdict {
	case admission.Admitted:
		sim.start(b, id)
	case admission.Refused:
		sim.handleRefusal(b, id)
	}
	sim.carryOut(b, d.Actions)
}

// carryOut carries out the actions of an admission controller.
func (sim *Simulation) carryOut(b *backend, actions []admission.Action) {
	for _, a := range actions {
		if a.Start {
			sim.start(b, a.ID)
			continue
		}
		sim.handleRefusal(b, a.ID)
	}
}

func (sim *Simulation) handleRefusal(b *backend, id string) {
	c := b.calls[id]
	delete(b.calls, id)
	sim.time.After(networkDelay, func() {
		sim.recordOutcome(b, c, routing.Overloaded)
		sim.retryCall(b, c, true)
	})
}

// recordOutcome tells the call's entry node the outcome of an attempt and the load of the upstream.
func (sim *Simulation) recordOutcome(b *backend, c *call, kind routing.OutcomeKind) {
	load := b.controller.Load(sim.time.Now())
	sim.entries[c.entry].table.RecordOutcome(sim.time.Now(), b.name, routing.AttemptOutcome{
		Kind: kind, InFlight: load.InFlight + load.Queued, Limit: load.Limit, State: load.State,
	})
}

// retryCall retries a call: within the retry budget of its entry node if counted is true, without a limit otherwise.
// The baseline retries up to three times.
func (sim *Simulation) retryCall(_ *backend, c *call, counted bool) {
	if sim.baseline {
		c.retries++
		if c.retries <= 3 {
			sim.attempt(c)
		}
		return
	}
	if !counted || sim.entries[c.entry].budget.Withdraw(sim.time.Now()) {
		sim.attempt(c)
	}
}

// start sends a call to the upstream, which processes or sheds it.
func (sim *Simulation) start(b *backend, id string) {
	c := b.calls[id]
	delete(b.calls, id)
	if sim.time.Now() >= c.deadline {
		sim.StartedLate++
	}
	b.running++
	limit := b.sheddingThreshold
	if limit == 0 {
		limit = b.capacity(sim.time.Now(), sim.size.Slots)
	}
	r := admission.Result{Latency: time.Duration(float64(serviceTime) * (0.5 + sim.rng.Float64()))}
	if b.running > limit {
		r = admission.Result{Latency: networkDelay, Kind: admission.Shed}
		if sim.silentFailure && sim.time.Now() >= b.downUntil {
			sim.crash(b)
		}
	}
	crashesBefore := b.crashes
	sim.time.After(r.Latency, func() {
		if b.crashes != crashesBefore {
			r.Kind = admission.Shed
		}
		sim.finish(b, id, c, r)
	})
}

func (sim *Simulation) finish(b *backend, id string, c *call, r admission.Result) {
	b.running--
	sim.carryOut(b, b.controller.FinishCall(sim.time.Now(), id, r))
	if r.Kind == admission.Shed {
		sim.time.After(networkDelay, func() {
			sim.recordOutcome(b, c, routing.Overloaded)
			sim.retryCall(b, c, true)
		})
		return
	}
	sim.time.After(networkDelay, func() {
		sim.recordOutcome(b, c, routing.Responded)
		if sim.time.Now() <= c.deadline {
			sim.served[c.team+"/"+string(c.priority)]++
			if sim.OnCall != nil {
				sim.OnCall(c.team, c.begun, true)
			}
		}
	})
}

// KillUpstreams stops the first n upstreams, so that they refuse connections.
func (sim *Simulation) KillUpstreams(n int) {
	for _, b := range sim.backends[:n] {
		b.stopped = true
	}
}

// SetSheddingThreshold makes the last upstream answer with status 503 above the given number of concurrent calls.
func (sim *Simulation) SetSheddingThreshold(above int) {
	sim.backends[len(sim.backends)-1].sheddingThreshold = above
}

// ServedShare returns the share, between 0 and 1, of a team's calls of the given priorities that were served before
// their deadline.
func (sim *Simulation) ServedShare(team string, priorities ...config.Priority) float64 {
	offered, served := 0, 0
	for _, p := range priorities {
		key := team + "/" + string(p)
		offered += sim.offered[key]
		served += sim.served[key]
	}
	return float64(served) / float64(offered)
}
