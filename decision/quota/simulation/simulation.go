// Package simulation compares strategies for limiting a team's rate over all nodes. It generates calls and failures
// from a seed, runs them in virtual time without sockets, and counts over-admission, wrongful refusals and messages.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// Strategy names a way to limit a team's rate over all nodes.
type Strategy string

// Strategies.
const (
	// EqualShare gives each node the same share of each team's rate and burst.
	EqualShare Strategy = "equal_share"
	// SingleOwner asks, for each call, the node that owns the team according to the live list.
	SingleOwner Strategy = "single_owner"
	// FixedHolders leases tokens as package quota does.
	FixedHolders Strategy = "fixed_holders"
)

// FaultKind names a failure.
type FaultKind string

// Kinds of faults.
const (
	// RestartNode restarts a node, which loses its state.
	RestartNode FaultKind = "restart"
	// FreezeNode stops a node for the fault's duration; messages to it are delivered when it resumes.
	FreezeNode FaultKind = "freeze"
	// HideNode removes a node from the live lists of every second node.
	HideNode FaultKind = "hide"
	// CutDataCentre drops all messages between the node's data centre and the others.
	CutDataCentre FaultKind = "cut"
	// DataCentreOut takes the node's data centre out of service for the fault's duration.
	DataCentreOut FaultKind = "out"
)

// Fault is a failure of a node. At is the time from the start of the run; Duration has no meaning for RestartNode.
type Fault struct {
	Kind     FaultKind
	Node     int
	At       time.Duration
	Duration time.Duration
}

// TeamLoad is the mean rate of a team's calls, which arrive at the first Nodes nodes (0: all) at random.
type TeamLoad struct {
	CallsPerSecond float64
	Nodes          int
}

// Config configures a run.
type Config struct {
	Strategy    Strategy
	Nodes       int
	DataCentres int
	Teams       []config.Team
	// Set is a declared configuration; if not nil, it replaces Nodes, DataCentres and Teams. Node n runs beside the n-th
	// upstream.
	Set *config.Set
	// TeamLoads has one entry for each team.
	TeamLoads []TeamLoad
	Faults    []Fault
	Duration  time.Duration
	// Warmup is the period at the start in which messages and wrongful refusals are not counted.
	Warmup time.Duration
	// Delay is the shortest one-way delay of a message; the longest is twice as long.
	Delay time.Duration
	// LossRatio is the share of messages that are lost, DuplicateRatio the share that arrive twice.
	LossRatio, DuplicateRatio float64
	Seed                      uint64
}

// Result holds the counts of a run.
type Result struct {
	Calls, Admitted, Refused int
	// WithinLimit counts the calls that were within their team's rate and burst when they were sent.
	WithinLimit int
	// OverAdmitted counts the admitted calls beyond their team's rate and burst.
	OverAdmitted int
	// WrongfulRefusals counts the calls that were within their team's rate and burst when they were sent, and were refused
	// or not admitted in time.
	WrongfulRefusals int
	// Messages and Bytes are totals over all nodes. BusiestNodeBytes is the number of bytes sent and received by the
	// node with the highest number.
	Messages, Bytes, BusiestNodeBytes int
	// WorstTeamServedRatio is the lowest ratio, over all teams, of admitted calls to calls that were within the limit.
	WorstTeamServedRatio float64
	// WrongfulRefusalsByTeam counts WrongfulRefusals by team. WithinLimitByTeam counts the calls of each team that were
	// within its limit and sent after the warmup.
	WrongfulRefusalsByTeam, WithinLimitByTeam map[string]int
}

// messageOverheadBytes is the mean size of the HTTP start line and headers of a request and of a response, as
// TestLeaseMessageSize in pkg/ratelimit measures it. Messages on lease streams have none.
const messageOverheadBytes = 52

// call is a call at its entry node.
type call struct {
	node, team  int
	at          time.Duration
	withinLimit bool
	decided     bool
}

// strategy is the implementation of a Strategy on all nodes.
type strategy interface {
	// handleCall decides on a call, at once or later, with simulator.recordDecision.
	handleCall(c *call)
	restartNode(node int)
	// resumeNode is called when a frozen node runs again.
	resumeNode(node int)
	// adoptConfig puts the current configuration in force at a node.
	adoptConfig(node int)
}

// adoptionSpread is the period within which all nodes adopt a new configuration.
const adoptionSpread = 500 * time.Millisecond

// simulator simulates the nodes of one run. It holds the virtual clock, the scheduled events and the counts of the run.
type simulator struct {
	cfg   Config
	set   *config.Set
	rng   *rand.Rand
	now   time.Duration
	queue eventQueue
	seq   uint64
	calls []*call
	// sentBuckets decide for each team which calls are within the limit when sent, admittedBuckets which admitted
	// calls are.
	sentBuckets     []*tokenBucket
	admittedBuckets []*tokenBucket
	// teamCounts holds for each team the calls admitted in time and all calls, of those within the limit.
	teamCounts [][2]int
	nodeBytes  []int
	result     Result
}

// Run simulates the configuration and returns the counts. Equal configurations give equal results.
func Run(cfg Config) Result {
	set := cfg.Set
	if set == nil {
		set = FleetSet(cfg.Nodes, cfg.DataCentres, cfg.Teams)
	}
	cfg.Nodes, cfg.DataCentres, cfg.Teams = len(set.Upstreams), len(set.DataCentres), set.Teams
	sim := &simulator{cfg: cfg, set: set, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), nodeBytes: make([]int, cfg.Nodes)}
	sim.teamCounts = make([][2]int, len(cfg.Teams))
	for _, t := range cfg.Teams {
		sim.sentBuckets = append(sim.sentBuckets, newTokenBucket(t.RatePerSecond, float64(t.Burst)))
		sim.admittedBuckets = append(sim.admittedBuckets, newTokenBucket(t.RatePerSecond, float64(t.Burst)))
	}
	s := sim.newStrategy()
	for team := range cfg.Teams {
		sim.scheduleCall(s, team)
	}
	for _, f := range cfg.Faults {
		sim.scheduleFault(s, f)
	}
	sim.run()
	return sim.summary()
}

// FleetSet returns a set that declares one service, the teams, and an upstream for each node, with the upstreams
// distributed evenly over the data centres.
func FleetSet(nodes, dataCentres int, teams []config.Team) *config.Set {
	o := config.Objects{Teams: teams, Services: []config.Service{{Name: "service"}}}
	for d := range dataCentres {
		o.DataCentres = append(o.DataCentres, config.DataCentre{Name: fmt.Sprintf("dc%d", d), State: config.DataCentreIn})
	}
	for n := range nodes {
		o.Upstreams = append(o.Upstreams, config.Upstream{
			Name:       fmt.Sprintf("u%d", n),
			Service:    "service",
			DataCentre: fmt.Sprintf("dc%d", n%dataCentres),
		})
	}
	return config.NewSet(o)
}

func (sim *simulator) newStrategy() strategy {
	switch sim.cfg.Strategy {
	case EqualShare:
		return newEqualShare(sim)
	case SingleOwner:
		return newSingleOwner(sim)
	default:
		return newFixedHolders(sim)
	}
}

func (sim *simulator) scheduleCall(s strategy, team int) {
	load := sim.cfg.TeamLoads[team]
	if load.CallsPerSecond <= 0 {
		return
	}
	wait := time.Duration(sim.rng.ExpFloat64() / load.CallsPerSecond * float64(time.Second))
	sim.schedule(wait, func() {
		nodes := load.Nodes
		if nodes == 0 {
			nodes = sim.cfg.Nodes
		}
		c := &call{node: sim.rng.IntN(nodes), team: team, at: sim.now, withinLimit: sim.sentBuckets[team].take(sim.now)}
		sim.result.Calls++
		if c.withinLimit {
			sim.result.WithinLimit++
		}
		if !sim.isFrozen(c.node) {
			sim.calls = append(sim.calls, c)
			s.handleCall(c)
		}
		sim.scheduleCall(s, team)
	})
}

func (sim *simulator) scheduleFault(s strategy, f Fault) {
	switch f.Kind {
	case RestartNode:
		sim.schedule(f.At, func() { s.restartNode(f.Node) })
	case FreezeNode:
		sim.schedule(f.At+f.Duration, func() { s.resumeNode(f.Node) })
	case DataCentreOut:
		sim.schedule(f.At, func() { sim.changeDataCentreState(s, f.Node, config.DataCentreOut) })
		sim.schedule(f.At+f.Duration, func() { sim.changeDataCentreState(s, f.Node, config.DataCentreIn) })
	}
}

// changeDataCentreState publishes a configuration in which the node's data centre has the state. The nodes adopt it at
// different times within adoptionSpread.
func (sim *simulator) changeDataCentreState(s strategy, node int, state config.DataCentreState) {
	o := sim.set.Objects
	o.DataCentres = slices.Clone(o.DataCentres)
	for i := range o.DataCentres {
		if o.DataCentres[i].Name == sim.dataCentre(node) {
			o.DataCentres[i].State = state
		}
	}
	sim.set = config.NewSet(o)
	for n := range sim.cfg.Nodes {
		sim.schedule(time.Duration(sim.rng.Int64N(int64(adoptionSpread))), func() { s.adoptConfig(n) })
	}
}

func (sim *simulator) dataCentre(node int) string { return sim.set.Upstreams[node].DataCentre }

// callTimeout is the time after which a call without a decision counts as refused.
const callTimeout = time.Second

// recordDecision counts the first decision on a call. An admission after callTimeout spends a token, but also counts as
// a wrongful refusal of a call that was within the limit.
func (sim *simulator) recordDecision(c *call, admitted bool) {
	if c.decided {
		return
	}
	c.decided = true
	if admitted {
		sim.result.Admitted++
		if !sim.admittedBuckets[c.team].take(sim.now) {
			sim.result.OverAdmitted++
		}
	} else {
		sim.result.Refused++
	}
	if c.at < sim.cfg.Warmup || !c.withinLimit {
		return
	}
	sim.teamCounts[c.team][1]++
	if admitted && sim.now-c.at <= callTimeout {
		sim.teamCounts[c.team][0]++
	} else {
		sim.result.WrongfulRefusals++
	}
}

// summary refuses the calls that timed out without a decision, and returns the result.
func (sim *simulator) summary() Result {
	for _, c := range sim.calls {
		if sim.cfg.Duration-c.at > callTimeout {
			sim.recordDecision(c, false)
		}
	}
	sim.result.WorstTeamServedRatio = 1
	sim.result.WrongfulRefusalsByTeam, sim.result.WithinLimitByTeam = map[string]int{}, map[string]int{}
	for i, t := range sim.teamCounts {
		name := sim.cfg.Teams[i].Name
		sim.result.WrongfulRefusalsByTeam[name], sim.result.WithinLimitByTeam[name] = t[1]-t[0], t[1]
		if t[1] > 0 {
			sim.result.WorstTeamServedRatio = min(sim.result.WorstTeamServedRatio, float64(t[0])/float64(t[1]))
		}
	}
	for _, b := range sim.nodeBytes {
		sim.result.BusiestNodeBytes = max(sim.result.BusiestNodeBytes, b)
	}
	return sim.result
}

// activeFault returns the fault of that kind that affects the node now, or nil.
func (sim *simulator) activeFault(kind FaultKind, node int) *Fault {
	for i := range sim.cfg.Faults {
		f := &sim.cfg.Faults[i]
		if f.Kind == kind && f.Node == node && sim.now >= f.At && sim.now < f.At+f.Duration {
			return f
		}
	}
	return nil
}

func (sim *simulator) isFrozen(node int) bool { return sim.activeFault(FreezeNode, node) != nil }

// isHiddenFrom reports whether the node is missing from the viewer's live list.
func (sim *simulator) isHiddenFrom(viewer, node int) bool {
	return viewer%2 == 1 && sim.activeFault(HideNode, node) != nil
}

// isCut reports whether messages between the two nodes are dropped.
func (sim *simulator) isCut(from, to int) bool {
	a, b := sim.dataCentre(from), sim.dataCentre(to)
	if a == b {
		return false
	}
	for i := range sim.cfg.Faults {
		f := &sim.cfg.Faults[i]
		if f.Kind != CutDataCentre || sim.now < f.At || sim.now >= f.At+f.Duration {
			continue
		}
		if dc := sim.dataCentre(f.Node); dc == a || dc == b {
			return true
		}
	}
	return false
}

// send counts a message of size bytes, headers included, and delivers it after a delay; the message may be lost or arrive twice.
func (sim *simulator) send(from, to, size int, deliver func()) {
	if sim.now >= sim.cfg.Warmup {
		sim.result.Messages++
		sim.result.Bytes += size
		sim.nodeBytes[from] += size
		sim.nodeBytes[to] += size
	}
	if sim.isCut(from, to) || sim.rng.Float64() < sim.cfg.LossRatio {
		return
	}
	times := 1
	if sim.rng.Float64() < sim.cfg.DuplicateRatio {
		times = 2
	}
	for range times {
		delay := sim.cfg.Delay + time.Duration(sim.rng.Int64N(int64(sim.cfg.Delay)+1))
		if from == to {
			delay = 0
		}
		sim.deliverWhenRunning(to, delay, deliver)
	}
}

// deliverWhenRunning delivers a message after the delay, or when the receiver resumes if it is frozen then.
func (sim *simulator) deliverWhenRunning(to int, delay time.Duration, deliver func()) {
	sim.schedule(delay, func() {
		if f := sim.activeFault(FreezeNode, to); f != nil {
			sim.deliverWhenRunning(to, f.At+f.Duration-sim.now+1, deliver)
			return
		}
		deliver()
	})
}

func (sim *simulator) schedule(delay time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{at: sim.now + delay, seq: sim.seq, run: run})
}

// run executes the scheduled events in order until the end of the run.
func (sim *simulator) run() {
	for len(sim.queue) > 0 {
		e := heap.Pop(&sim.queue).(event)
		if e.at > sim.cfg.Duration {
			return
		}
		sim.now = e.at
		e.run()
	}
}

// event is a function that runs at a time; events at the same time run in the order in which they were scheduled.
type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// eventQueue is a heap of events for package container/heap.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
