// Package distributiontest runs the distribution machines of many nodes in virtual time, over a network and a source
// that fail as told. Runs with the same seed are identical.
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

// TickInterval is the interval of the nodes' ticks.
const TickInterval = 100 * time.Millisecond

// longestSlowness bounds the extra latency of a late message. It is a choice of the model, far above the usual 0.5 to 3 ms.
const longestSlowness = 400 * time.Millisecond

// Network says how messages travel.
type Network struct {
	// LossProbability, DuplicateProbability and DelayProbability are probabilities of a message being lost, delivered twice, or late by up to longestSlowness.
	LossProbability, DuplicateProbability, DelayProbability float64
	// CorruptionProbability is the probability of a delivery in which a value does not match its digest.
	CorruptionProbability float64
	// Partitioned reports whether two places cannot reach each other; places are data centres and "source".
	Partitioned func(a, b string) bool
}

// Hooks counts what is sent; any function may be nil.
type Hooks struct {
	// OnPoll is called for each poll that reaches the network, with the state that the request carries.
	OnPoll func(from, to *Node, p distribution.Poll)
	// OnAnswer is called for each answer; contents is true when it carries a set, list when a member list.
	OnAnswer func(from, to *Node, p distribution.Poll, contents, list bool)
	// OnRead is called for each answered read of the source; changed is true when the answer carries a document.
	OnRead func(by *Node, kind string, changed bool)
}

// Simulation is a set of nodes, a network and sources.
type Simulation struct {
	Random  *rand.Rand
	Network Network
	Hooks   Hooks
	Sources []*Source
	Nodes   []*Node
	// InvalidVersions are versions that fail validation on every node.
	InvalidVersions map[wire.VersionID]bool
	// AdjustOptions changes the options of each machine before it starts.
	AdjustOptions func(*distribution.Options)
	// ReuseConnections makes polls that ask for a new connection use the old one.
	ReuseConnections bool
	// NoPauseDetection leaves the machines in the belief that they ran on while they were frozen.
	NoPauseDetection bool
	// Violations are the broken invariants that were found.
	Violations []string

	now    time.Duration
	queue  queue
	serial uint64
}

// New returns a world with nodes of the given data centres, all stopped.
func New(seed uint64, sizes map[string]int, order []string, sources int) *Simulation {
	w := &Simulation{Random: rand.New(rand.NewPCG(seed, 1)), InvalidVersions: map[wire.VersionID]bool{}, now: time.Second}
	for range sources {
		w.Sources = append(w.Sources, &Source{world: w, list: &platform.MemberList{}})
	}
	for _, dc := range order {
		for i := range sizes[dc] {
			n := &Node{
				world: w, VM: fmt.Sprintf("vm-%s-%03d", dc, i), DataCentre: dc, index: len(w.Nodes),
			}
			n.Address = n.VM + ":7003"
			w.Nodes = append(w.Nodes, n)
		}
	}
	return w
}

// Now returns the virtual time.
func (w *Simulation) Now() time.Duration { return w.now }

// RunFor lets d pass.
func (w *Simulation) RunFor(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		item := heap.Pop(&w.queue).(*item)
		w.now = item.at
		item.run()
	}
	w.now = end
}

// After calls run after d.
func (w *Simulation) After(d time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, &item{at: w.now + d, serial: w.serial, run: run})
}

// PublishMembers publishes the list of all nodes at all sources.
func (w *Simulation) PublishMembers() {
	list := &platform.MemberList{Revision: w.Sources[0].list.Revision + 1}
	for _, n := range w.Nodes {
		list.Members = append(list.Members, platform.Member{
			VM: n.VM, Upstream: "upstream-" + n.VM, DataCentre: n.DataCentre, State: platform.MemberLive,
			ControlAddress: n.Address,
		})
	}
	for _, s := range w.Sources {
		s.list = list
		s.changed()
	}
}

// NodeByAddress returns the node with that address, or nil.
func (w *Simulation) NodeByAddress(address string) *Node {
	for _, n := range w.Nodes {
		if n.Address == address {
			return n
		}
	}
	return nil
}

func (w *Simulation) cut(a, b string) bool {
	return w.Network.Partitioned != nil && w.Network.Partitioned(a, b)
}

func (w *Simulation) chance(p float64) bool { return p > 0 && w.Random.Float64() < p }

// send delivers a message between two places, or loses, doubles or delays it.
func (w *Simulation) send(from, to string, deliver func()) {
	if w.cut(from, to) || w.chance(w.Network.LossProbability) {
		return
	}
	copies := 1
	if w.chance(w.Network.DuplicateProbability) {
		copies = 2
	}
	for range copies {
		latency := 500*time.Microsecond + time.Duration(w.Random.Int64N(int64(time.Millisecond)))
		if from != to {
			latency += 1500 * time.Microsecond
		}
		if w.chance(w.Network.DelayProbability) {
			latency += time.Duration(w.Random.Int64N(int64(longestSlowness)))
		}
		w.After(latency, deliver)
	}
}

func (w *Simulation) violated(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

type item struct {
	at     time.Duration
	serial uint64
	run    func()
}

type queue []*item

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(*item)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
