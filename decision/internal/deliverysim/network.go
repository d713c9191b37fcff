// Package deliverysim simulates the delivery of calls in virtual time, with random failures. It searches for calls that
// run twice and for callers that are wrongly told "not run".
package deliverysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
	"github.com/bamboodeal/bamboodeal/decision/internal/virtualtime"
)

// scaledConfig scales all times down: its retention time of 3 s stands for 15 minutes.
var scaledConfig = delivery.Config{
	Retention: 3 * time.Second, MaxDeadline: 300 * time.Millisecond, AdoptionBound: 200 * time.Millisecond,
	PauseThreshold: 50 * time.Millisecond,
}

const (
	runLength   = 8 * time.Second
	dataCentres = 3
)

// network is the simulated network. Each node is an entry node and the controller of one upstream. Messages are lost,
// duplicated, delayed and reordered; nodes freeze between any two steps, crash and restart with empty ledgers.
type network struct {
	rng                   *rand.Rand
	cfg                   delivery.Config
	time                  virtualtime.Queue
	nodes                 []*simNode
	set                   *config.Set
	version               int
	partitionedUntil      time.Duration
	partitionedDataCentre int

	runCounts map[string]int
	ranCalls  map[string]bool
	// runSentTimes holds, by identity, the times at which the caller sent the calls that ran.
	runSentTimes  map[string][]time.Duration
	notRunReports []notRunReport
	outcomes      map[wire.Outcome]int
}

// notRunReport is a response with the outcome "not run" to a caller.
type notRunReport struct {
	call, identity string
	kind           wire.ErrorKind
	at             time.Duration
}

// isFalse reports whether a "not run" is wrong because the call ran. A refusal as a duplicate is also wrong if any
// attempt of the identity that was sent before the refusal ran, even if it ran after the refusal.
func (n *network) isFalse(r notRunReport) bool {
	onTheWay := func(sent time.Duration) bool { return sent <= r.at }
	return n.ranCalls[r.call] || r.kind == wire.KindDuplicateRequest && slices.ContainsFunc(n.runSentTimes[r.identity], onTheWay)
}

// simNode is a simulated node.
type simNode struct {
	name        string
	dataCentre  int
	ledger      *delivery.Ledger
	history     *delivery.CandidateHistory
	set         *config.Set
	version     int
	incarnation int
	downUntil   time.Duration
	frozenUntil time.Duration
	// pauseUnnoticed is true after a freeze that is long enough to be detected, until the node detects it.
	pauseUnnoticed bool
	// resumedAt is the time at which the node last resumed from a pause that it detected.
	resumedAt time.Duration
}

// newNetwork returns a network with running nodes and without the given safeguards.
func newNetwork(seed uint64, without safeguard.Set) *network {
	cfg := scaledConfig
	cfg.Disabled = without
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, runCounts: map[string]int{}, ranCalls: map[string]bool{},
		runSentTimes: map[string][]time.Duration{},
		outcomes:     map[wire.Outcome]int{},
	}
	n.set = n.newSet(0, -1)
	for i := range 2 * dataCentres {
		node := &simNode{name: fmt.Sprintf("u%d", i), dataCentre: i % dataCentres}
		n.startProcess(node, -10*time.Second)
		n.nodes = append(n.nodes, node)
	}
	return n
}

// newSet returns a set that lacks the upstream with the index missing, and in which the data centre with the index out
// is out of service. An index that does not exist changes nothing.
func (n *network) newSet(missing, out int) *config.Set {
	o := config.Objects{Services: []config.Service{{Name: "s"}}}
	for i := range dataCentres {
		state := config.DataCentreIn
		if i == out {
			state = config.DataCentreOut
		}
		o.DataCentres = append(o.DataCentres, config.DataCentre{Name: fmt.Sprint(i), State: state})
	}
	for i := range 2 * dataCentres {
		if i != missing {
			u := config.Upstream{Name: fmt.Sprintf("u%d", i), Service: "s", DataCentre: fmt.Sprint(i % dataCentres)}
			o.Upstreams = append(o.Upstreams, u)
		}
	}
	return config.NewSet(o)
}

// startProcess starts a new process of the node with an empty ledger.
func (n *network) startProcess(node *simNode, at time.Duration) {
	node.incarnation++
	node.ledger = delivery.NewLedger(n.cfg, at, fmt.Sprintf("%s-%d", node.name, node.incarnation))
	node.history = delivery.NewCandidateHistory(n.cfg)
	node.set = n.set
	node.resumedAt = -time.Second
	node.version = n.version
	node.history.Adopt(at, n.set)
}

func (n *network) randomBool(p float64) bool { return n.rng.Float64() < p }

func (n *network) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(n.rng.Int64N(int64(high-low)+1))
}

// runLater schedules a step of the node's current process after d.
func (n *network) runLater(node *simNode, d time.Duration, fn func()) {
	n.schedule(d, node, node.incarnation, fn)
}

// schedule schedules a step of the node's process with the given incarnation after d; -1 stands for the process that
// runs then. A frozen process runs the step when it resumes.
func (n *network) schedule(d time.Duration, node *simNode, incarnation int, fn func()) {
	var step func()
	step = func() {
		now := n.time.Now()
		if now < node.downUntil || incarnation >= 0 && incarnation != node.incarnation {
			return
		}
		n.maybeFreeze(node)
		if now < node.frozenUntil {
			n.time.At(node.frozenUntil, step)
			return
		}
		if node.pauseUnnoticed {
			// A node that detects a pause gets the newest version from other nodes before it takes calls.
			node.pauseUnnoticed = false
			node.resumedAt = now
			n.adopt(node, n.set, n.version)
		}
		fn()
	}
	n.time.After(d, step)
}

// maybeFreeze freezes a node at random, for between 0 and 4 s.
func (n *network) maybeFreeze(node *simNode) {
	now := n.time.Now()
	if now < node.frozenUntil || now > runLength || !n.randomBool(0.01) {
		return
	}
	node.frozenUntil = now + n.randomDuration(0, time.Millisecond<<n.rng.IntN(13))
	node.pauseUnnoticed = node.pauseUnnoticed || node.frozenUntil-now > n.cfg.PauseThreshold
}

func (n *network) adopt(node *simNode, set *config.Set, version int) {
	if version <= node.version {
		return
	}
	if version != node.version+1 {
		node.history.RecordSkippedSet(n.time.Now())
	}
	node.set, node.version = set, version
	node.history.Adopt(n.time.Now(), set)
}

// send sends a message to the node's process with the given incarnation, or to any process if it is -1. It may lose,
// duplicate or delay the message.
func (n *network) send(from, to *simNode, incarnation int, fn func()) {
	copies := 1
	if n.randomBool(0.05) {
		copies = 2
	}
	for range copies {
		delay := n.randomDuration(time.Millisecond, 10*time.Millisecond)
		if n.randomBool(0.03) {
			delay = n.randomDuration(0, 2*time.Second)
		}
		severed := n.time.Now() < n.partitionedUntil && (from.dataCentre == n.partitionedDataCentre) != (to.dataCentre == n.partitionedDataCentre)
		if !n.randomBool(0.03) && !severed {
			n.schedule(delay, to, incarnation, fn)
		}
	}
}

// scheduleFailures schedules crashes, new versions and a partition.
func (n *network) scheduleFailures() {
	interval := n.randomDuration(4*time.Second, 30*time.Second)
	for _, node := range n.nodes {
		for at := n.randomDuration(0, interval); at < runLength; at += n.randomDuration(0, interval) {
			n.time.After(at, func() { n.crash(node) })
		}
	}
	for at := n.randomDuration(0, time.Second); at < runLength; at += n.randomDuration(50*time.Millisecond, 2*time.Second) {
		n.time.After(at, n.publish)
	}
	n.time.After(n.randomDuration(0, runLength), func() {
		n.partitionedUntil = n.time.Now() + n.randomDuration(0, time.Second)
		n.partitionedDataCentre = n.rng.IntN(dataCentres)
	})
}

func (n *network) crash(node *simNode) {
	if n.time.Now() < node.downUntil {
		return
	}
	node.downUntil = n.time.Now()
	if n.randomBool(0.5) {
		node.downUntil += n.randomDuration(0, time.Second)
	}
	node.frozenUntil, node.pauseUnnoticed = 0, false
	at := node.downUntil
	node.incarnation++
	n.time.After(at-n.time.Now(), func() { n.startProcess(node, n.time.Now()) })
}

// publish makes each node adopt a new set within half of the adoption bound. Freezes of up to a quarter of the bound
// are not detected and add to that.
func (n *network) publish() {
	out := n.rng.IntN(2*dataCentres) - dataCentres
	set := n.newSet(n.rng.IntN(4*dataCentres), out)
	n.set = set
	n.version++
	version := n.version
	for _, node := range n.nodes {
		n.schedule(n.randomDuration(0, n.cfg.AdoptionBound/2), node, node.incarnation, func() {
			n.adopt(node, set, version)
		})
	}
}

func (n *network) nodeByName(name string) *simNode {
	for _, node := range n.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}
