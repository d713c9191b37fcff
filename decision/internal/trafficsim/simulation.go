// Package trafficsim is a fake fleet in virtual time that compares routing, admission and retry budgets with a baseline of
// round robin, plain retries and first come first served.
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
	// DefaultUpstreamCount is the number of upstreams; each serves about 300 calls/s.
	DefaultUpstreamCount = 8
	slots                = 6
	entries              = 4
	serviceTime          = 20 * time.Millisecond
	hop                  = time.Millisecond
)

// Simulation is the fake fleet: entry nodes that route and retry, and controllers beside upstreams.
type Simulation struct {
	rng      *rand.Rand
	time     virtualtime.Queue
	count    int
	backends []*backend
	entries  []entry
	view     *routing.View
	baseline bool
	timeout  time.Duration
	size     Size
	objects  config.Objects
	// listed are the backends that the baseline's list of live upstreams names.
	listed []int
	harsh  bool
	// OnCall, if set, gets each call when it begins, and again when it is served in time.
	OnCall func(team string, begun time.Duration, served bool)

	offered, served map[string]int
	// Calls and Attempts count calls and their attempts; StartedLate counts calls that started after their deadline.
	Calls, Attempts, StartedLate int
	// Crashes counts how often an upstream fell over.
	Crashes int
}

// Size is the shape of a fleet: upstreams of one service, dealt out to data centres in turn.
type Size struct {
	Upstreams, Slots, DataCentres, EntryNodes int
}

type backend struct {
	name       string
	dataCentre string
	queue      controller
	running    int
	dead       bool
	// coldUntil is when the upstream bears all its slots again after it started at coldFrom.
	coldFrom, coldUntil time.Duration
	// downUntil is when the upstream accepts connections again after it fell over, falls counts how often it did.
	downUntil time.Duration
	falls     int
	// sheds is the number of calls at once above which the upstream answers 503; 0 for its slots.
	sheds int
	waits map[string]*call
}

// controller is what the mesh needs of an admission controller; fifo is the baseline.
type controller interface {
	Submit(now time.Duration, c admission.Call) admission.Decision
	FinishCall(now time.Duration, id string, r admission.Result) []admission.Action
	Tick(now time.Duration) []admission.Action
	Load(now time.Duration) admission.Load
}

// fifo is the baseline: first come first served, bounded by count, without deadlines or teams.
type fifo struct {
	slots   int
	running int
	waiting []string
}

func (f *fifo) Submit(_ time.Duration, c admission.Call) admission.Decision {
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

func (f *fifo) FinishCall(time.Duration, string, admission.Result) []admission.Action {
	f.running--
	if len(f.waiting) == 0 {
		return nil
	}
	f.running++
	id := f.waiting[0]
	f.waiting = f.waiting[1:]
	return []admission.Action{{ID: id, Start: true}}
}

func (f *fifo) Tick(time.Duration) []admission.Action { return nil }
func (f *fifo) Load(time.Duration) admission.Load     { return admission.Load{} }

type entry struct {
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

// New returns a mesh of eight upstreams in one data centre, without calls; each call will have the timeout.
func New(seed uint64, timeout time.Duration, baseline bool) *Simulation {
	return NewWithSize(seed, timeout, baseline, Size{Upstreams: DefaultUpstreamCount, Slots: slots, DataCentres: 1, EntryNodes: entries})
}

// NewWithSize returns a mesh of that size without calls; each call will have the timeout.
func NewWithSize(seed uint64, timeout time.Duration, baseline bool, size Size) *Simulation {
	m := &Simulation{
		rng: rand.New(rand.NewPCG(seed, 3)), baseline: baseline, timeout: timeout, size: size,
		offered: map[string]int{}, served: map[string]int{},
	}
	m.objects = config.Objects{Services: []config.Service{{Name: "s"}}}
	for i := range size.DataCentres {
		m.objects.DataCentres = append(m.objects.DataCentres, config.DataCentre{Name: fmt.Sprint("d", i), State: config.DataCentreIn})
	}
	for i := range size.Upstreams {
		b := &backend{name: fmt.Sprint("u", i), dataCentre: fmt.Sprint("d", i%size.DataCentres), waits: map[string]*call{}}
		b.queue = m.newController(0, serviceTime)
		m.backends = append(m.backends, b)
		m.listed = append(m.listed, i)
		m.objects.Upstreams = append(m.objects.Upstreams, config.Upstream{Name: b.name, Service: "s", DataCentre: b.dataCentre})
	}
	m.view = &routing.View{Set: config.NewSet(m.objects), Members: map[string]platform.Member{}}
	for i := range size.EntryNodes {
		table := routing.NewTable(routing.Config{
			Node: fmt.Sprint("n", i), DataCentre: fmt.Sprint("d", i%size.DataCentres),
		}, m.rng)
		m.entries = append(m.entries, entry{table: table, budget: retry.NewBudget(0)})
	}
	return m
}

// newController starts a controller now beside an upstream whose warm latency is known, or 0.
func (m *Simulation) newController(now, warmLatency time.Duration) controller {
	if m.baseline {
		return &fifo{slots: m.size.Slots}
	}
	return admission.NewController(admission.Config{
		Slots: m.size.Slots, InitialConcurrency: 2, RampTime: coldRamp, WarmLatency: warmLatency,
	}, now)
}

// Run runs the mesh until the calls are over; upstreams tick until end.
func (m *Simulation) Run(end time.Duration) {
	for t := time.Duration(0); t < end; t += 10 * time.Millisecond {
		m.time.After(t, func() {
			for _, b := range m.backends {
				m.act(b, b.queue.Tick(m.time.Now()))
			}
		})
	}
	for m.time.RunNext(math.MaxInt64) {
	}
}

// Offer sends calls of a team: 60% interactive, 20% normal, 20% background.
func (m *Simulation) Offer(team string, rate float64, end time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for t := time.Duration(0); t < end; t += gap {
		p := []config.Priority{config.PriorityInteractive, config.PriorityInteractive, config.PriorityInteractive, config.PriorityNormal, config.PriorityBackground}[m.rng.IntN(5)]
		m.time.After(t+time.Duration(m.rng.Int64N(int64(gap))), func() { m.begin(team, p) })
	}
}

func (m *Simulation) begin(team string, p config.Priority) {
	now := m.time.Now()
	c := &call{team: team, priority: p, begun: now, deadline: now + m.timeout, entry: m.rng.IntN(m.size.EntryNodes)}
	m.Calls++
	if m.OnCall != nil {
		m.OnCall(team, now, false)
	}
	m.offered[team+"/"+string(p)]++
	m.entries[c.entry].budget.Deposit()
	m.attempt(c)
}

func (m *Simulation) attempt(c *call) {
	if m.time.Now() >= c.deadline {
		return
	}
	e := &m.entries[c.entry]
	name, ok := e.table.Pick(m.time.Now(), m.view, "s", c.tried)
	if m.baseline {
		e.next++
		name, ok = fmt.Sprint("u", m.listed[e.next%len(m.listed)]), true
	}
	if !ok {
		return
	}
	c.tried = append(c.tried, name)
	m.Attempts++
	b := m.backends[slices.IndexFunc(m.backends, func(b *backend) bool { return b.name == name })]
	m.time.After(hop, func() { m.arrive(b, c) })
}

func (m *Simulation) arrive(b *backend, c *call) {
	if m.unreachable(b, c) {
		return
	}
	m.count++
	id := fmt.Sprint(m.count)
	b.waits[id] = c
	d := b.queue.Submit(m.time.Now(), admission.Call{ID: id, Team: c.team, Priority: c.priority, Deadline: c.deadline})
	switch d.Verdict {
	case admission.Admitted:
		m.start(b, id)
	case admission.Refused:
		m.refused(b, id)
	}
	m.act(b, d.Actions)
}

func (m *Simulation) act(b *backend, actions []admission.Action) {
	for _, a := range actions {
		if a.Start {
			m.start(b, a.ID)
			continue
		}
		m.refused(b, a.ID)
	}
}

func (m *Simulation) refused(b *backend, id string) {
	c := b.waits[id]
	delete(b.waits, id)
	m.time.After(hop, func() {
		m.observe(b, c, routing.Overloaded)
		m.again(b, c, true)
	})
}

func (m *Simulation) observe(b *backend, c *call, kind routing.OutcomeKind) {
	load := b.queue.Load(m.time.Now())
	m.entries[c.entry].table.RecordOutcome(m.time.Now(), b.name, routing.AttemptOutcome{
		Kind: kind, InFlight: load.InFlight + load.Queued, Limit: load.Limit, State: load.State,
	})
}

// again retries a call: within the node's budget, or up to three times for the baseline.
func (m *Simulation) again(_ *backend, c *call, counted bool) {
	if m.baseline {
		c.retries++
		if c.retries <= 3 {
			m.attempt(c)
		}
		return
	}
	if !counted || m.entries[c.entry].budget.Withdraw(m.time.Now()) {
		m.attempt(c)
	}
}

// start hands a call to the upstream, which works on it or sheds it.
func (m *Simulation) start(b *backend, id string) {
	c := b.waits[id]
	delete(b.waits, id)
	if m.time.Now() >= c.deadline {
		m.StartedLate++
	}
	b.running++
	limit := b.sheds
	if limit == 0 {
		limit = b.bears(m.time.Now(), m.size.Slots)
	}
	r := admission.Result{Latency: time.Duration(float64(serviceTime) * (0.5 + m.rng.Float64()))}
	if b.running > limit {
		r = admission.Result{Latency: hop, Kind: admission.Shed}
		if m.harsh && m.time.Now() >= b.downUntil {
			m.fall(b)
		}
	}
	falls := b.falls
	m.time.After(r.Latency, func() {
		if b.falls != falls {
			r.Kind = admission.Shed
		}
		m.finish(b, id, c, r)
	})
}

func (m *Simulation) finish(b *backend, id string, c *call, r admission.Result) {
	b.running--
	m.act(b, b.queue.FinishCall(m.time.Now(), id, r))
	if r.Kind == admission.Shed {
		m.time.After(hop, func() {
			m.observe(b, c, routing.Overloaded)
			m.again(b, c, true)
		})
		return
	}
	m.time.After(hop, func() {
		m.observe(b, c, routing.Responded)
		if m.time.Now() <= c.deadline {
			m.served[c.team+"/"+string(c.priority)]++
			if m.OnCall != nil {
				m.OnCall(c.team, c.begun, true)
			}
		}
	})
}

// KillUpstreams makes the first n upstreams refuse connections.
func (m *Simulation) KillUpstreams(n int) {
	for _, b := range m.backends[:n] {
		b.dead = true
	}
}

// SetSheddingThreshold makes the last upstream answer 503 above the given number of calls at once.
func (m *Simulation) SetSheddingThreshold(above int) { m.backends[len(m.backends)-1].sheds = above }

// ServedShare returns the served share of a team's calls of the given priorities.
func (m *Simulation) ServedShare(team string, priorities ...config.Priority) float64 {
	offered, served := 0, 0
	for _, p := range priorities {
		key := team + "/" + string(p)
		offered += m.offered[key]
		served += m.served[key]
	}
	return float64(served) / float64(offered)
}
