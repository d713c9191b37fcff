// Package simulation plays a seeded trace of calls and failures over the ways to keep a team's rate, and counts
// over-admission, wrongful refusals and messages. It runs in virtual time, without sockets.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// Strategy names a way to keep a team's rate over all nodes.
type Strategy string

// Strategies.
const (
	EqualShare   Strategy = "equal_share"
	SingleOwner  Strategy = "single_owner"
	FixedHolders Strategy = "fixed_holders"
)

// FaultKind names a failure.
type FaultKind string

// Kinds of faults.
const (
	// RestartNode replaces a node by one that knows nothing.
	RestartNode FaultKind = "restart"
	// FreezeNode stops a node for the fault's duration; its messages wait.
	FreezeNode FaultKind = "freeze"
	// HideNode removes a node from the live list as every second node sees it.
	HideNode FaultKind = "hide"
	// CutDataCentre loses all messages between the node's data centre and the others.
	CutDataCentre FaultKind = "cut"
	// DataCentreOut takes the node's data centre out of service, and back in after the fault's duration.
	DataCentreOut FaultKind = "out"
)

// Fault is a failure of a node at a time.
type Fault struct {
	Kind     FaultKind
	Node     int
	At       time.Duration
	Duration time.Duration
}

// TeamLoad is a team's calls: PerSecond calls in a second, spread over the first Nodes nodes (0: all).
type TeamLoad struct {
	CallsPerSecond float64
	Nodes          int
}

// Config describes a run.
type Config struct {
	Strategy    Strategy
	Nodes       int
	DataCentres int
	Teams       []config.Team
	// Set is a declared configuration; when given, it replaces Nodes, DataCentres and Teams. Node n is beside its
	// upstream n.
	Set *config.Set
	// TeamLoads has one entry for each team.
	TeamLoads []TeamLoad
	Faults    []Fault
	Duration  time.Duration
	// Warmup is left out of all counts but that of over-admission.
	Warmup time.Duration
	// Delay is the one-way delay; each message takes between one and two of it.
	Delay time.Duration
	// LossRatio is the share of messages that are lost, DuplicateRatio the share that arrive twice.
	LossRatio, DuplicateRatio float64
	Seed                      uint64
}

// Result counts what happened.
type Result struct {
	Calls, Admitted, Refused int
	// WithinLimit counts the calls that were within their team's rate and burst as sent.
	WithinLimit int
	// OverAdmitted counts admissions beyond a team's rate and burst.
	OverAdmitted int
	// WrongfulRefusals counts refusals of calls that were within the team's rate and burst as the callers sent them.
	WrongfulRefusals int
	// Messages and Bytes are totals; BusiestNodeBytes is the total sent and received by the busiest node.
	Messages, Bytes, BusiestNodeBytes int
	// WorstTeamServedRatio is the least share of calls within the rate that a team was served.
	WorstTeamServedRatio float64
	// WrongfulRefusalsByTeam splits Wrongful; WithinLimitByTeam counts the calls within the rate that it is a part of.
	WrongfulRefusalsByTeam, WithinLimitByTeam map[string]int
}

// messageOverhead is the mean size in bytes of the HTTP line and headers around the body of a request and of a
// response, as TestLeaseMessageSize in pkg/ratelimit reads it from a connection.
const messageOverhead = 52

type call struct {
	node, team int
	at         time.Duration
	within     bool
	done       bool
}

type strategy interface {
	call(c *call)
	restart(node int)
	wake(node int)
	// adopt brings a node to the world's current configuration.
	adopt(node int)
}

// adoptSpread is the time over which the nodes adopt a configuration.
const adoptSpread = 500 * time.Millisecond

type world struct {
	cfg       Config
	set       *config.Set
	rng       *rand.Rand
	now       time.Duration
	queue     eventQueue
	seq       uint64
	calls     []*call
	sent      []*tokenBucket
	judge     []*tokenBucket
	perTeam   [][2]int
	nodeBytes []int
	result    Result
}

// Run plays the configuration and returns the counts. Equal configurations give equal results.
func Run(cfg Config) Result {
	set := cfg.Set
	if set == nil {
		set = FleetSet(cfg.Nodes, cfg.DataCentres, cfg.Teams)
	}
	cfg.Nodes, cfg.DataCentres, cfg.Teams = len(set.Upstreams), len(set.DataCentres), set.Teams
	w := &world{cfg: cfg, set: set, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), nodeBytes: make([]int, cfg.Nodes)}
	w.perTeam = make([][2]int, len(cfg.Teams))
	for _, t := range cfg.Teams {
		w.sent = append(w.sent, newTokenBucket(t.RatePerSecond, float64(t.Burst)))
		w.judge = append(w.judge, newTokenBucket(t.RatePerSecond, float64(t.Burst)))
	}
	s := w.newStrategy()
	for team := range cfg.Teams {
		w.scheduleCall(s, team)
	}
	for _, f := range cfg.Faults {
		w.scheduleFault(s, f)
	}
	w.run()
	return w.summary()
}

// FleetSet declares a fleet of nodes in data centres, one service, and the teams.
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

func (w *world) newStrategy() strategy {
	switch w.cfg.Strategy {
	case EqualShare:
		return newEqualShare(w)
	case SingleOwner:
		return newSingleOwner(w)
	default:
		return newFixedHolders(w)
	}
}

func (w *world) scheduleCall(s strategy, team int) {
	load := w.cfg.TeamLoads[team]
	if load.CallsPerSecond <= 0 {
		return
	}
	wait := time.Duration(w.rng.ExpFloat64() / load.CallsPerSecond * float64(time.Second))
	w.after(wait, func() {
		nodes := load.Nodes
		if nodes == 0 {
			nodes = w.cfg.Nodes
		}
		c := &call{node: w.rng.IntN(nodes), team: team, at: w.now, within: w.sent[team].take(w.now)}
		w.result.Calls++
		if c.within {
			w.result.WithinLimit++
		}
		if !w.isFrozen(c.node) {
			w.calls = append(w.calls, c)
			s.call(c)
		}
		w.scheduleCall(s, team)
	})
}

func (w *world) scheduleFault(s strategy, f Fault) {
	switch f.Kind {
	case RestartNode:
		w.after(f.At, func() { s.restart(f.Node) })
	case FreezeNode:
		w.after(f.At+f.Duration, func() { s.wake(f.Node) })
	case DataCentreOut:
		w.after(f.At, func() { w.move(s, f.Node, config.DataCentreOut) })
		w.after(f.At+f.Duration, func() { w.move(s, f.Node, config.DataCentreIn) })
	}
}

// move publishes a configuration in which the node's data centre has the state; the nodes adopt it one by one.
func (w *world) move(s strategy, node int, state config.DataCentreState) {
	o := w.set.Objects
	o.DataCentres = slices.Clone(o.DataCentres)
	for i := range o.DataCentres {
		if o.DataCentres[i].Name == w.dataCentre(node) {
			o.DataCentres[i].State = state
		}
	}
	w.set = config.NewSet(o)
	for n := range w.cfg.Nodes {
		w.after(time.Duration(w.rng.Int64N(int64(adoptSpread))), func() { s.adopt(n) })
	}
}

func (w *world) dataCentre(node int) string { return w.set.Upstreams[node].DataCentre }

// patience is the time after which a call without a verdict has failed for its caller.
const patience = time.Second

// finish records the verdict on a call once. A token that comes too late is spent, but counts as a refusal.
func (w *world) finish(c *call, admitted bool) {
	if c.done {
		return
	}
	c.done = true
	if admitted {
		w.result.Admitted++
		if !w.judge[c.team].take(w.now) {
			w.result.OverAdmitted++
		}
	} else {
		w.result.Refused++
	}
	if c.at < w.cfg.Warmup || !c.within {
		return
	}
	w.perTeam[c.team][1]++
	if admitted && w.now-c.at <= patience {
		w.perTeam[c.team][0]++
	} else {
		w.result.WrongfulRefusals++
	}
}

func (w *world) summary() Result {
	for _, c := range w.calls {
		if w.cfg.Duration-c.at > patience {
			w.finish(c, false)
		}
	}
	w.result.WorstTeamServedRatio = 1
	w.result.WrongfulRefusalsByTeam, w.result.WithinLimitByTeam = map[string]int{}, map[string]int{}
	for i, t := range w.perTeam {
		name := w.cfg.Teams[i].Name
		w.result.WrongfulRefusalsByTeam[name], w.result.WithinLimitByTeam[name] = t[1]-t[0], t[1]
		if t[1] > 0 {
			w.result.WorstTeamServedRatio = min(w.result.WorstTeamServedRatio, float64(t[0])/float64(t[1]))
		}
	}
	for _, b := range w.nodeBytes {
		w.result.BusiestNodeBytes = max(w.result.BusiestNodeBytes, b)
	}
	return w.result
}

// active returns the fault of that kind that now affects the node, or nil.
func (w *world) active(kind FaultKind, node int) *Fault {
	for i := range w.cfg.Faults {
		f := &w.cfg.Faults[i]
		if f.Kind == kind && f.Node == node && w.now >= f.At && w.now < f.At+f.Duration {
			return f
		}
	}
	return nil
}

func (w *world) isFrozen(node int) bool { return w.active(FreezeNode, node) != nil }

// isHidden reports whether the node is missing from the list as the viewer sees it.
func (w *world) isHidden(viewer, node int) bool {
	return viewer%2 == 1 && w.active(HideNode, node) != nil
}

func (w *world) isCut(from, to int) bool {
	a, b := w.dataCentre(from), w.dataCentre(to)
	if a == b {
		return false
	}
	for i := range w.cfg.Faults {
		f := &w.cfg.Faults[i]
		if f.Kind != CutDataCentre || w.now < f.At || w.now >= f.At+f.Duration {
			continue
		}
		if dc := w.dataCentre(f.Node); dc == a || dc == b {
			return true
		}
	}
	return false
}

// send delivers a message after a delay, or never, or twice.
func (w *world) send(from, to, size int, deliver func()) {
	if w.now >= w.cfg.Warmup {
		w.result.Messages++
		w.result.Bytes += size + messageOverhead
		w.nodeBytes[from] += size + messageOverhead
		w.nodeBytes[to] += size + messageOverhead
	}
	if w.isCut(from, to) || w.rng.Float64() < w.cfg.LossRatio {
		return
	}
	times := 1
	if w.rng.Float64() < w.cfg.DuplicateRatio {
		times = 2
	}
	for range times {
		delay := w.cfg.Delay + time.Duration(w.rng.Int64N(int64(w.cfg.Delay)+1))
		if from == to {
			delay = 0
		}
		w.arrive(to, delay, deliver)
	}
}

// arrive runs the delivery when the receiver is not frozen.
func (w *world) arrive(to int, delay time.Duration, deliver func()) {
	w.after(delay, func() {
		if f := w.active(FreezeNode, to); f != nil {
			w.arrive(to, f.At+f.Duration-w.now+1, deliver)
			return
		}
		deliver()
	})
}

func (w *world) after(delay time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{at: w.now + delay, seq: w.seq, run: run})
}

func (w *world) run() {
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if e.at > w.cfg.Duration {
			return
		}
		w.now = e.at
		e.run()
	}
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

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
