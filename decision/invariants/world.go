// Package invariants composes the real decision machines of a small mesh in virtual time, under random failures
// that happen together, and checks the invariants of section 1.1 of the design. Runs with one seed are identical.
//
// Two invariants need real connections as well: 8 (whole answers) is also checked by the tests of pkg/peer and
// pkg/gateway, and 12 (graceful stop) only by those of pkg/node and experiments/load/demo.
package invariants

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
	"github.com/bamboodeal/bamboodeal/decision/quota"
)

const (
	// quiet is the time at the start and at the end of a run without failures: the first for the fleet's start,
	// the second for the bound of the last version.
	quiet     = 10 * time.Second
	runLength = 45 * time.Second
	never     = time.Duration(1) << 62
)

// Options describe a run.
type Options struct {
	Seed uint64
	// CallsPerSecond is the rate of new calls; 0 means 60.
	CallsPerSecond int
	// Disabled switches protections off, to see that the checker notices.
	Disabled DisabledProtections
}

// DisabledProtections are protections that a run goes without.
type DisabledProtections struct {
	// Delivery are the mechanisms of decision/delivery.
	Delivery safeguard.Set
	// TuneDistribution changes the distribution machines.
	TuneDistribution func(*distribution.Options)

	admission, leaving, keys, quota, matching, freshness, pauses, validation, wholeSets, references bool
}

// SimulatedMesh is a mesh in virtual time.
type SimulatedMesh struct {
	*distributiontest.Simulation
	o        Options
	delivery delivery.Config
	nodes    []*node
	byName   map[string]*node
	check    *checker
	operator *operator

	sets    map[wire.VersionID]*config.Set
	parents map[wire.VersionID]wire.VersionID
	plans   map[*config.Set]*quota.Plan

	// cutOff are data centres without any link, cutSource those without a link to the source.
	cutOff, cutSource map[string]bool
	// connectedSince is since when a data centre reaches a source that works, joinedSince since when it reaches
	// another data centre; never while it does not.
	connectedSince, joinedSince map[string]time.Duration
	stale                       bool
	counter                     int
	lastAnswer                  string
	// history holds what was done, for the report of a failed seed.
	history []string
}

func (w *SimulatedMesh) note(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%v: ", w.Now())+fmt.Sprintf(format, args...))
}

// Run plays one seed and returns the first violation, or nil, and how much was checked.
func Run(o Options) (*Violation, Counts) {
	w := newWorld(o)
	w.begin()
	for w.Now() < runLength && w.check.first == nil {
		w.Simulation.RunFor(100 * time.Millisecond) //nolint:staticcheck // Run of the package is another function
		w.observe()
	}
	c := w.check
	if c.first != nil {
		c.first.History = w.history
	}
	return c.first, Counts{Runs: c.runs, Served: c.served, NotRun: c.notRun, Adopted: c.adopted, Admitted: c.admitted}
}

// Counts tells how much a run checked.
type Counts struct{ Runs, Served, NotRun, Adopted, Admitted int }

func newWorld(o Options) *SimulatedMesh {
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = 60
	}
	random := rand.New(rand.NewPCG(o.Seed, 5))
	sizes, order := map[string]int{}, make([]string, 0, 4)
	for i := range 3 + random.IntN(2) {
		dc := fmt.Sprintf("dc%d", i)
		sizes[dc] = 1 + i%2 + random.IntN(3)
		order = append(order, dc)
	}
	w := &SimulatedMesh{
		Simulation: distributiontest.New(o.Seed, sizes, order, 1), o: o, byName: map[string]*node{},
		// Deadlines and the record retention time are scaled down; the other bounds are the real ones.
		delivery: delivery.Config{Retention: 10 * time.Second, MaxDeadline: time.Second, Disabled: o.Disabled.Delivery},
		sets:     map[wire.VersionID]*config.Set{}, parents: map[wire.VersionID]wire.VersionID{},
		plans:  map[*config.Set]*quota.Plan{},
		cutOff: map[string]bool{}, cutSource: map[string]bool{},
		connectedSince: map[string]time.Duration{}, joinedSince: map[string]time.Duration{},
	}
	w.check = newChecker(w)
	w.AdjustOptions = o.Disabled.TuneDistribution
	w.NoPauseDetection = o.Disabled.pauses
	w.Network = distributiontest.Network{LossProbability: 0.005, DuplicateProbability: 0.02, DelayProbability: 0.02, CorruptionProbability: 0.01, Partitioned: w.cut}
	for _, n := range w.Nodes {
		own := &node{Node: n, w: w, aloneSince: never}
		own.up = &upstream{w: w, name: "upstream-" + n.VM}
		w.nodes = append(w.nodes, own)
		w.byName[own.name()] = own
	}
	w.operator = newOperator(w, order)
	return w
}

// begin starts the fleet, the callers and the failures.
func (w *SimulatedMesh) begin() {
	w.PublishMembers()
	w.operator.publish()
	for _, n := range w.nodes {
		n.start()
	}
	gap := time.Second / time.Duration(w.o.CallsPerSecond)
	for at := 3 * time.Second; at < runLength; at += gap {
		w.After(w.between(at, at+gap), w.newCaller)
	}
	w.operator.begin()
	// After all failures have ended, every node must follow one more version in time.
	w.After(runLength-quiet+500*time.Millisecond, w.operator.publish)
	w.disturb()
}

func (w *SimulatedMesh) newCaller() {
	w.counter++
	c := &caller{w: w, id: fmt.Sprintf("c%d", w.counter)}
	if w.chance(0.5) {
		c.identity = "i" + c.id
	}
	c.team, c.key = w.operator.pickKey()
	c.attempt()
}

// cut reports whether two places cannot reach each other.
func (w *SimulatedMesh) cut(a, b string) bool {
	if a == b {
		return false
	}
	if a == distributiontest.SourceLocation && w.cutSource[b] || b == distributiontest.SourceLocation && w.cutSource[a] {
		return true
	}
	return w.cutOff[a] != w.cutOff[b]
}

// observe notes since when each data centre and node reaches others.
func (w *SimulatedMesh) observe() {
	up := map[string]int{}
	for _, n := range w.nodes {
		if n.Running() {
			up[n.DataCentre]++
		}
	}
	reached, joined := w.reached(up), w.joined(up)
	for _, dc := range w.operator.dataCentres {
		since(w.connectedSince, dc, reached[dc], w.Now())
		since(w.joinedSince, dc, joined[dc], w.Now())
	}
	for _, n := range w.nodes {
		alone := w.cut(n.DataCentre, distributiontest.SourceLocation) || w.Sources[0].Down
		alone = alone && !joined[n.DataCentre] && up[n.DataCentre] <= 1
		if !alone {
			n.aloneSince = never
		} else if n.aloneSince == never {
			n.aloneSince = w.Now()
		}
	}
}

// reached are the data centres that reach a source that works, directly or by a running node of another one.
func (w *SimulatedMesh) reached(up map[string]int) map[string]bool {
	working := !w.Sources[0].Down && !w.stale
	reached := map[string]bool{}
	for range w.operator.dataCentres {
		for _, dc := range w.operator.dataCentres {
			reached[dc] = reached[dc] || working && !w.cut(dc, distributiontest.SourceLocation)
			for _, other := range w.operator.dataCentres {
				reached[dc] = reached[dc] || reached[other] && up[other] > 0 && !w.cut(dc, other)
			}
		}
	}
	return reached
}

// joined are the data centres that reach a running node of another one.
func (w *SimulatedMesh) joined(up map[string]int) map[string]bool {
	joined := map[string]bool{}
	for _, dc := range w.operator.dataCentres {
		for _, other := range w.operator.dataCentres {
			joined[dc] = joined[dc] || other != dc && up[other] > 0 && !w.cut(dc, other)
		}
	}
	return joined
}

func since(times map[string]time.Duration, name string, holds bool, now time.Duration) {
	if !holds {
		times[name] = never
	} else if at, known := times[name]; !known || at == never {
		times[name] = now
	}
}

// adopted is the set of a version.
func (w *SimulatedMesh) adopted(v wire.VersionID) *config.Set {
	set := w.sets[v]
	if w.o.Disabled.wholeSets && w.chance(0.1) {
		copied := *set
		return &copied
	}
	return set
}

// plan is the quota plan of a set, shared by the nodes.
func (w *SimulatedMesh) plan(set *config.Set) *quota.Plan {
	if w.plans[set] == nil {
		w.plans[set] = quota.NewPlan(set)
	}
	return w.plans[set]
}

func (w *SimulatedMesh) admission() admission.Config {
	return admission.Config{Slots: slots, InitialConcurrency: initial, RampTime: ramp}
}

// beside returns the node beside an upstream.
func (w *SimulatedMesh) beside(upstream string) *node { return w.byName[upstream] }

func (w *SimulatedMesh) chance(p float64) bool { return w.Random.Float64() < p }

func (w *SimulatedMesh) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.Random.Int64N(int64(high-low)+1))
}

// stall is the time for which one call's goroutine is not scheduled; its node does not notice it.
func (w *SimulatedMesh) stall() time.Duration {
	if w.chance(0.03) {
		return w.between(0, time.Millisecond<<w.Random.IntN(12))
	}
	return 0
}

func (w *SimulatedMesh) unique(id string) string {
	w.counter++
	return fmt.Sprintf("%s@%d", id, w.counter)
}

func member(n *node, state platform.MemberState) platform.Member {
	return platform.Member{
		VM: n.VM, Upstream: n.name(), DataCentre: n.DataCentre, State: state, ControlAddress: n.Address,
	}
}
