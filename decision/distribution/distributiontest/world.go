// Package distributiontest simulates the distribution state machines of many nodes in virtual time, with injected
// failures of the network, the nodes and the sources. Runs with the same seed are identical.
package distributiontest

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
)

// TickInterval is the interval at which each node gets a Tick event.
const TickInterval = 100 * time.Millisecond

// maxExtraDelay bounds the additional latency of a delayed message. It is far above the usual 0.5 to 3 ms.
const maxExtraDelay = 400 * time.Millisecond

// Network describes how messages are delivered.
type Network struct {
	// LossProbability, DuplicateProbability and DelayProbability are the probabilities that a message is lost, is
	// delivered twice, or is delayed by up to maxExtraDelay.
	LossProbability, DuplicateProbability, DelayProbability float64
	// CorruptionProbability is the probability that a set from another node contains a value with a wrong digest.
	CorruptionProbability float64
	// Partitioned reports whether messages between two locations are lost. A location is a data centre or
	// SourceLocation.
	Partitioned func(a, b string) bool
}

// Hooks are called when messages are sent. Any of them may be nil.
type Hooks struct {
	// OnPoll is called for each poll that a node sends to another one.
	OnPoll func(from, to *Node, p distribution.Poll)
	// OnAnswer is called for each answer to a poll; contents is true when it carries a set, list when it carries a
	// member list.
	OnAnswer func(from, to *Node, p distribution.Poll, contents, list bool)
	// OnRead is called for each answered read of a source. The kind is "manifest", "members" or "values"; changed is
	// true when the answer carries a document.
	OnRead func(by *Node, kind string, changed bool)
}

// Simulation simulates nodes, the network between them and the sources.
type Simulation struct {
	Random  *rand.Rand
	Network Network
	Hooks   Hooks
	Sources []*Source
	Nodes   []*Node
	// InvalidVersions are versions that fail validation on every node.
	InvalidVersions map[wire.VersionID]bool
	// AdjustOptions, if set, changes the options of each state machine before it starts.
	AdjustOptions func(*distribution.Options)
	// ReuseConnections makes polls that ask for a new connection reuse the open one.
	ReuseConnections bool
	// NoPauseDetection prevents nodes that resume from detecting that they were frozen.
	NoPauseDetection bool
	// Violations describe the invariants that nodes violated, with the virtual time.
	Violations []string

	now          time.Duration
	queue        runQueue
	lastSequence uint64
}

// New returns a simulation in which all nodes are stopped. The map sizes gives the number of nodes in each data centre,
// order the order in which the nodes of the data centres are created, and sources the number of sources.
func New(seed uint64, sizes map[string]int, order []string, sources int) *Simulation {
	sim := &Simulation{Random: rand.New(rand.NewPCG(seed, 1)), InvalidVersions: map[wire.VersionID]bool{}, now: time.Second}
	for range sources {
		sim.Sources = append(sim.Sources, &Source{simulation: sim, list: &platform.MemberList{}})
	}
	for _, dc := range order {
		for i := range sizes[dc] {
			n := &Node{
				simulation: sim, VM: fmt.Sprintf("vm-%s-%03d", dc, i), DataCentre: dc, index: len(sim.Nodes),
			}
			n.Address = n.VM + ":7003"
			sim.Nodes = append(sim.Nodes, n)
		}
	}
	return sim
}

// Now returns the virtual time.
func (sim *Simulation) Now() time.Duration { return sim.now }

// RunFor advances the virtual time by d and runs the functions that become due.
func (sim *Simulation) RunFor(d time.Duration) {
	end := sim.now + d
	for len(sim.queue) > 0 && sim.queue[0].at <= end {
		item := heap.Pop(&sim.queue).(*scheduledRun)
		sim.now = item.at
		item.run()
	}
	sim.now = end
}

// After schedules run for d from now.
func (sim *Simulation) After(d time.Duration, run func()) {
	sim.lastSequence++
	heap.Push(&sim.queue, &scheduledRun{at: sim.now + d, sequence: sim.lastSequence, run: run})
}

// PublishMembers makes all sources serve a new revision of the member list, with all nodes.
func (sim *Simulation) PublishMembers() {
	list := &platform.MemberList{Revision: sim.Sources[0].list.Revision + 1}
	for _, n := range sim.Nodes {
		list.Members = append(list.Members, platform.Member{
			VM: n.VM, Upstream: "upstream-" + n.VM, DataCentre: n.DataCentre, State: platform.MemberLive,
			ControlAddress: n.Address,
		})
	}
	for _, s := range sim.Sources {
		s.list = list
		s.answerHeldReads()
	}
}

// NodeByAddress returns the node with the given address, or nil.
func (sim *Simulation) NodeByAddress(address string) *Node {
	for _, n := range sim.Nodes {
		if n.Address == address {
			return n
		}
	}
	return nil
}

func (sim *Simulation) isPartitioned(a, b string) bool {
	return sim.Network.Partitioned != nil && sim.Network.Partitioned(a, b)
}

// randomBool returns true with the probability p.
func (sim *Simulation) randomBool(p float64) bool { return p > 0 && sim.Random.Float64() < p }

// send delivers a message between two locations after the usual latency; it may lose, duplicate or delay the message.
func (sim *Simulation) send(from, to string, deliver func()) {
	if sim.isPartitioned(from, to) || sim.randomBool(sim.Network.LossProbability) {
		return
	}
	copies := 1
	if sim.randomBool(sim.Network.DuplicateProbability) {
		copies = 2
	}
	for range copies {
		latency := 500*time.Microsecond + time.Duration(sim.Random.Int64N(int64(time.Millisecond)))
		if from != to {
			latency += 1500 * time.Microsecond
		}
		if sim.randomBool(sim.Network.DelayProbability) {
			latency += time.Duration(sim.Random.Int64N(int64(maxExtraDelay)))
		}
		sim.After(latency, deliver)
	}
}

func (sim *Simulation) reportViolation(format string, args ...any) {
	sim.Violations = append(sim.Violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// scheduledRun is a function that runs at the virtual time at; functions of the same time run in order of their
// sequence.
type scheduledRun struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// runQueue implements heap.Interface.
type runQueue []*scheduledRun

func (q runQueue) Len() int { return len(q) }
func (q runQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q runQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *runQueue) Push(x any)   { *q = append(*q, x.(*scheduledRun)) }
func (q *runQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
