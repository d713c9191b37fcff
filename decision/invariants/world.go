// Package invariants runs the real decision state machines of a small mesh in virtual time, with random failures that
// overlap, and checks the invariants of section 1.1 of docs/design.md. Runs with the same seed are identical.
//
// Two invariants need real connections as well: 8 (complete answers) is also checked by the tests of pkg/peer and
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
	// quietPeriod is the length of two periods without failures: one at the start of a run, in which the nodes start, and
	// one at its end, in which all nodes can adopt the last version within adoptionBound.
	quietPeriod = 10 * time.Second
	runDuration = 45 * time.Second
	never       = time.Duration(1) << 62
)

// Options configure a run.
type Options struct {
	Seed uint64
	// CallsPerSecond is the rate of new calls; 0 means 60.
	CallsPerSecond int
	// Disabled names the safeguards to disable, to test that the checker then finds a violation.
	Disabled DisabledSafeguards
}

// DisabledSafeguards names safeguards that are disabled in a run.
type DisabledSafeguards struct {
	// Delivery is the set of disabled safeguards of package delivery.
	Delivery safeguard.Set
	// TuneDistribution changes the options of each node's distribution state machine, if it is not nil.
	TuneDistribution func(*distribution.Options)

	admissionControl, leavingChecks, keyChecks, quota, answerMatching, freshnessChecks, pauseDetection, validation,
	atomicAdoption, referenceChecks bool
}

// SimulatedMesh is a mesh that runs in virtual time, with its callers, operator and checker.
type SimulatedMesh struct {
	*distributiontest.Simulation
	options        Options
	delivery       delivery.Config
	nodes          []*node
	nodeByUpstream map[string]*node
	checker        *checker
	operator       *operator

	sets    map[wire.VersionID]*config.Set
	parents map[wire.VersionID]wire.VersionID
	plans   map[*config.Set]*quota.Plan

	// isolatedDataCentres are the data centres without a link to the others and the source, cutFromSource those without
	// a link to the source.
	isolatedDataCentres, cutFromSource map[string]bool
	// sourceReachableSince holds the time since which a data centre reaches a working source, peersReachableSince since
	// which it reaches a running node of another data centre; the time is never while it reaches none.
	sourceReachableSince, peersReachableSince map[string]time.Duration
	sourceStale                               bool
	lastNumber                                int
	lastAnswer                                string
	// history lists the failures and publications, for the report of a violation.
	history []string
}

// logEvent adds a line to the history.
func (m *SimulatedMesh) logEvent(format string, args ...any) {
	m.history = append(m.history, fmt.Sprintf("%v: ", m.Now())+fmt.Sprintf(format, args...))
}

// Run simulates one seed and returns the first violation, or nil, and the numbers of checked events.
func Run(o Options) (*Violation, Counts) {
	m := newMesh(o)
	m.startAll()
	for m.Now() < runDuration && m.checker.firstViolation == nil {
		m.Simulation.RunFor(100 * time.Millisecond) //nolint:staticcheck // distinguishes the method from Run of this package
		m.updateReachability()
	}
	c := m.checker
	if c.firstViolation != nil {
		c.firstViolation.History = m.history
	}
	return c.firstViolation, Counts{Runs: c.runs, Served: c.served, NotRun: c.notRun, Adopted: c.adopted, Admitted: c.admitted}
}

// Counts holds the numbers of events that a run checked: calls run by upstreams, answers that say that the call ran
// or did not run, adopted versions, and calls admitted by their team's quota.
type Counts struct{ Runs, Served, NotRun, Adopted, Admitted int }

func newMesh(o Options) *SimulatedMesh {
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
	m := &SimulatedMesh{
		Simulation: distributiontest.New(o.Seed, sizes, order, 1), options: o, nodeByUpstream: map[string]*node{},
		// Deadlines and the record retention time are scaled down; the other bounds are the real ones.
		delivery: delivery.Config{Retention: 10 * time.Second, MaxDeadline: time.Second, Disabled: o.Disabled.Delivery},
		sets:     map[wire.VersionID]*config.Set{}, parents: map[wire.VersionID]wire.VersionID{},
		plans:               map[*config.Set]*quota.Plan{},
		isolatedDataCentres: map[string]bool{}, cutFromSource: map[string]bool{},
		sourceReachableSince: map[string]time.Duration{}, peersReachableSince: map[string]time.Duration{},
	}
	m.checker = newChecker(m)
	m.AdjustOptions = o.Disabled.TuneDistribution
	m.NoPauseDetection = o.Disabled.pauseDetection
	m.Network = distributiontest.Network{
		LossProbability: 0.005, DuplicateProbability: 0.02, DelayProbability: 0.02, CorruptionProbability: 0.01,
		Partitioned: m.isPartitioned,
	}
	for _, n := range m.Nodes {
		own := &node{Node: n, mesh: m, isolatedSince: never}
		own.upstream = &upstream{mesh: m, name: "upstream-" + n.VM}
		m.nodes = append(m.nodes, own)
		m.nodeByUpstream[own.upstreamName()] = own
	}
	m.operator = newOperator(m, order)
	return m
}

// startAll starts the nodes and schedules the calls, the operator's changes and the failures.
func (m *SimulatedMesh) startAll() {
	m.PublishMembers()
	m.operator.publish()
	for _, n := range m.nodes {
		n.start()
	}
	gap := time.Second / time.Duration(m.options.CallsPerSecond)
	for at := 3 * time.Second; at < runDuration; at += gap {
		m.After(m.randomDuration(at, at+gap), m.startCaller)
	}
	m.operator.scheduleChanges()
	// After all failures have ended, every node must adopt one more version in time.
	m.After(runDuration-quietPeriod+500*time.Millisecond, m.operator.publish)
	m.scheduleFailures()
}

// startCaller starts a caller with a random team and key, whose call is idempotent in half of the cases.
func (m *SimulatedMesh) startCaller() {
	m.lastNumber++
	c := &caller{mesh: m, id: fmt.Sprintf("c%d", m.lastNumber)}
	if m.randomBool(0.5) {
		c.identity = "i" + c.id
	}
	c.team, c.key = m.operator.randomKey()
	c.sendAttempt()
}

// isPartitioned reports whether two data centres, or a data centre and the source, cannot reach each other.
func (m *SimulatedMesh) isPartitioned(a, b string) bool {
	if a == b {
		return false
	}
	if a == distributiontest.SourceLocation && m.cutFromSource[b] ||
		b == distributiontest.SourceLocation && m.cutFromSource[a] {
		return true
	}
	return m.isolatedDataCentres[a] != m.isolatedDataCentres[b]
}

// updateReachability updates the times since which each data centre and node reaches the source and others.
func (m *SimulatedMesh) updateReachability() {
	up := map[string]int{}
	for _, n := range m.nodes {
		if n.Running() {
			up[n.DataCentre]++
		}
	}
	reachingSource, reachingPeers := m.dataCentresReachingSource(up), m.dataCentresReachingPeers(up)
	for _, dc := range m.operator.dataCentres {
		updateSince(m.sourceReachableSince, dc, reachingSource[dc], m.Now())
		updateSince(m.peersReachableSince, dc, reachingPeers[dc], m.Now())
	}
	for _, n := range m.nodes {
		isolated := m.isPartitioned(n.DataCentre, distributiontest.SourceLocation) || m.Sources[0].Down
		isolated = isolated && !reachingPeers[n.DataCentre] && up[n.DataCentre] <= 1
		if !isolated {
			n.isolatedSince = never
		} else if n.isolatedSince == never {
			n.isolatedSince = m.Now()
		}
	}
}

// dataCentresReachingSource returns the data centres that reach a working source, directly or through running nodes of
// others. up is the number of running nodes of each data centre.
func (m *SimulatedMesh) dataCentresReachingSource(up map[string]int) map[string]bool {
	sourceWorks := !m.Sources[0].Down && !m.sourceStale
	reachingSource := map[string]bool{}
	for range m.operator.dataCentres {
		for _, dc := range m.operator.dataCentres {
			reachingSource[dc] = reachingSource[dc] || sourceWorks && !m.isPartitioned(dc, distributiontest.SourceLocation)
			for _, other := range m.operator.dataCentres {
				reachingSource[dc] = reachingSource[dc] || reachingSource[other] && up[other] > 0 && !m.isPartitioned(dc, other)
			}
		}
	}
	return reachingSource
}

// dataCentresReachingPeers returns the data centres that reach a running node of another one.
func (m *SimulatedMesh) dataCentresReachingPeers(up map[string]int) map[string]bool {
	reachingPeers := map[string]bool{}
	for _, dc := range m.operator.dataCentres {
		for _, other := range m.operator.dataCentres {
			reachingPeers[dc] = reachingPeers[dc] || other != dc && up[other] > 0 && !m.isPartitioned(dc, other)
		}
	}
	return reachingPeers
}

// updateSince sets the time of a name to never if the condition does not hold, and to now if it has begun to hold.
func updateSince(times map[string]time.Duration, name string, holds bool, now time.Duration) {
	if !holds {
		times[name] = never
	} else if at, known := times[name]; !known || at == never {
		times[name] = now
	}
}

// configSet returns the set of a version. Without atomicAdoption it sometimes returns a copy, which the checker must
// notice.
func (m *SimulatedMesh) configSet(v wire.VersionID) *config.Set {
	set := m.sets[v]
	if m.options.Disabled.atomicAdoption && m.randomBool(0.1) {
		copied := *set
		return &copied
	}
	return set
}

// quotaPlan returns the quota plan of a set, which all nodes share.
func (m *SimulatedMesh) quotaPlan(set *config.Set) *quota.Plan {
	if m.plans[set] == nil {
		m.plans[set] = quota.NewPlan(set)
	}
	return m.plans[set]
}

func (m *SimulatedMesh) admissionConfig() admission.Config {
	return admission.Config{Slots: upstreamSlots, InitialConcurrency: initialConcurrency, RampTime: rampTime}
}

// nodeBeside returns the node beside an upstream.
func (m *SimulatedMesh) nodeBeside(upstream string) *node { return m.nodeByUpstream[upstream] }

// randomBool returns true with probability p.
func (m *SimulatedMesh) randomBool(p float64) bool { return m.Random.Float64() < p }

func (m *SimulatedMesh) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.Random.Int64N(int64(high-low)+1))
}

// randomStall returns the time for which the goroutine of a call is not scheduled; mostly 0. The node does not notice
// such a stall.
func (m *SimulatedMesh) randomStall() time.Duration {
	if m.randomBool(0.03) {
		return m.randomDuration(0, time.Millisecond<<m.Random.IntN(12))
	}
	return 0
}

// uniqueID appends a new number to an ID.
func (m *SimulatedMesh) uniqueID(id string) string {
	m.lastNumber++
	return fmt.Sprintf("%s@%d", id, m.lastNumber)
}

func member(n *node, state platform.MemberState) platform.Member {
	return platform.Member{
		VM: n.VM, Upstream: n.upstreamName(), DataCentre: n.DataCentre, State: state, ControlAddress: n.Address,
	}
}
