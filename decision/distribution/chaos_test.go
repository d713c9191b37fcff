package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// adoptionLimit is the time within which a published version must be in force on the connected nodes.
const adoptionLimit = 8 * time.Second

var dataCentres = []string{"braga-a", "braga-b", "porto-a", "porto-b"}

// regressionSeeds are seeds whose runs have failed before.
var regressionSeeds = []uint64{17, 1585, 2407}

// seeds returns the regression seeds, followed by 40 seeds or the number that BAMBOODEAL_SEEDS states.
func seeds() []uint64 {
	count := 40
	if text := os.Getenv("BAMBOODEAL_SEEDS"); text != "" {
		count, _ = strconv.Atoi(text)
	}
	all := append([]uint64(nil), regressionSeeds...)
	for i := range count {
		all = append(all, uint64(i+1))
	}
	return all
}

func versionID(number uint64, digest string) wire.VersionID {
	return wire.VersionID{Number: number, Digest: fmt.Sprintf("%064s", digest)}
}

// failureRun is one simulation with random failures.
type failureRun struct {
	*distributiontest.Simulation
	random        *rand.Rand
	lastNumber    uint64         // number of the newest version
	lateNodes     []string       // descriptions of nodes that lacked a version at the end of its limit
	history       []string       // what was done, for the report of a failed run
	checks        int            // number of nodes that were checked after a round
	partitionSide map[string]int // locations on the same side of a partition have the same number
}

// newFailureRun returns a run in which all nodes have been started and version 1 is in force.
func newFailureRun(seed uint64, adjustOptions func(*distribution.Options)) *failureRun {
	r := &failureRun{random: rand.New(rand.NewPCG(seed, 2)), lastNumber: 1}
	sizes := map[string]int{}
	for _, dc := range dataCentres {
		sizes[dc] = 3 + r.random.IntN(7)
	}
	r.Simulation = distributiontest.New(seed, sizes, dataCentres, 1+r.random.IntN(2))
	r.AdjustOptions = adjustOptions
	r.Network = distributiontest.Network{LossProbability: 0.002, DuplicateProbability: 0.02, DelayProbability: 0.02, CorruptionProbability: 0.01}
	r.Network.Partitioned = func(a, b string) bool { return r.partitionSide[a] != r.partitionSide[b] }
	r.PublishMembers()
	r.publish(versionID(1, "1"))
	for _, n := range r.Nodes {
		n.Start()
	}
	r.RunFor(adoptionLimit)
	return r
}

// recordStep adds a line to the history.
func (r *failureRun) recordStep(format string, args ...any) {
	r.history = append(r.history, fmt.Sprintf("%v: ", r.Now())+fmt.Sprintf(format, args...))
}

func (r *failureRun) publish(v wire.VersionID) {
	for _, s := range r.Sources {
		s.Publish(v)
	}
}

func (r *failureRun) nextVersion() wire.VersionID {
	r.lastNumber++
	return versionID(r.lastNumber, strconv.FormatUint(r.random.Uint64(), 16))
}

// someNodes returns up to a third of the nodes, chosen at random.
func (r *failureRun) someNodes() []*distributiontest.Node {
	chosen := make([]*distributiontest.Node, 0, len(r.Nodes)/3)
	for _, i := range r.random.Perm(len(r.Nodes))[:1+r.random.IntN(len(r.Nodes)/3)] {
		chosen = append(chosen, r.Nodes[i])
	}
	return chosen
}

// someNodesOrDataCentre returns some nodes, or all nodes of one data centre.
func (r *failureRun) someNodesOrDataCentre() []*distributiontest.Node {
	if r.random.IntN(2) == 0 {
		return r.someNodes()
	}
	dc := dataCentres[r.random.IntN(len(dataCentres))]
	chosen := make([]*distributiontest.Node, 0, len(r.Nodes))
	for _, n := range r.Nodes {
		if n.DataCentre == dc {
			chosen = append(chosen, n)
		}
	}
	return chosen
}

// failures are the kinds of failure of which a round causes one.
var failures = map[int]struct {
	name  string
	cause func(*failureRun)
}{
	0: {"nodes crash and restart immediately without state", func(r *failureRun) { restart(r.someNodes()) }},
	1: {"nodes freeze and resume later", func(r *failureRun) {
		for _, n := range r.someNodes() {
			n.Freeze()
			r.After(time.Duration(r.random.Int64N(int64(2*adoptionLimit))), n.Resume)
		}
	}},
	2: {"nodes stay stopped until the end of the round", func(r *failureRun) {
		for _, n := range r.someNodes() {
			n.Stop()
		}
	}},
	3: {"the regions are partitioned, and the source is on one side", func(r *failureRun) {
		r.partitionSide = map[string]int{dataCentres[0]: 1, dataCentres[1]: 1}
	}},
	4: {"one data centre cannot reach the source", func(r *failureRun) {
		dc := dataCentres[r.random.IntN(len(dataCentres))]
		r.Network.Partitioned = func(a, b string) bool {
			return a == dc && b == distributiontest.SourceLocation || b == dc && a == distributiontest.SourceLocation
		}
	}},
	5: {"one of two sources serves an old version", func(r *failureRun) {
		if len(r.Sources) > 1 {
			r.Sources[r.random.IntN(2)].Publish(versionID(1, "1"))
		}
	}},
	6: {"the source is down and returns before the publication", func(r *failureRun) {
		r.setSourcesDown(true)
		r.RunFor(time.Duration(r.random.Int64N(int64(time.Minute))))
		r.setSourcesDown(false)
	}},
	7: {"all sources are stale while nodes restart without state", func(r *failureRun) {
		current := r.Sources[0].Version()
		r.publish(versionID(1, "1"))
		restart(r.someNodesOrDataCentre())
		r.RunFor(adoptionLimit)
		r.publish(current)
	}},
	8: {"open connections hang while new ones work", func(r *failureRun) {
		for _, n := range r.Nodes {
			if n.Running() {
				n.HangConnections()
			}
		}
	}},
}

func restart(nodes []*distributiontest.Node) {
	for _, n := range nodes {
		n.Stop()
		n.Start()
	}
}

func (r *failureRun) setSourcesDown(down bool) {
	for _, s := range r.Sources {
		s.Down = down
	}
}

// causeFailure causes one kind of failure.
func (r *failureRun) causeFailure() {
	failure := failures[r.random.IntN(len(failures))]
	r.recordStep("%s", failure.name)
	failure.cause(r)
}

// publishNewVersion publishes a new version in one of several ways, and returns the version that must come into force.
func (r *failureRun) publishNewVersion() wire.VersionID {
	v := r.nextVersion()
	stale := len(r.Sources) > 1 && r.Sources[0].Version() != r.Sources[1].Version()
	switch kind := r.random.IntN(5); {
	case stale:
		for _, s := range r.Sources {
			if s.Version().Number > 1 || r.lastNumber == 2 {
				s.Publish(v)
				break
			}
		}
	case kind == 0: // an invalid version, followed by a valid one
		bad := v
		r.InvalidVersions[bad] = true
		r.publish(bad)
		r.RunFor(time.Duration(r.random.Int64N(int64(adoptionLimit))))
		v = r.nextVersion()
		r.publish(v)
	case kind == 1: // two operators publish versions with the same number
		other := versionID(v.Number, strconv.FormatUint(r.random.Uint64(), 16))
		r.publish(v)
		r.RunFor(time.Duration(r.random.Int64N(int64(time.Second))))
		r.publish(other)
		if v.Less(other) {
			v = other
		} else {
			r.publish(v)
		}
	case kind == 2: // the manifest is published before its values
		r.Sources[0].MissingValues = true
		r.publish(v)
		r.RunFor(time.Duration(r.random.Int64N(int64(adoptionLimit))))
		r.Sources[0].MissingValues = false
	default:
		r.publish(v)
	}
	return v
}

// connectedLocations returns the data centres that can reach the source, directly or through other data centres.
func (r *failureRun) connectedLocations() map[string]bool {
	reached := map[string]bool{distributiontest.SourceLocation: true}
	for range dataCentres {
		for _, a := range dataCentres {
			for b := range reached {
				if !r.Network.Partitioned(a, b) {
					reached[a] = true
					break
				}
			}
		}
	}
	return reached
}

// runRound causes a failure, publishes a version, records the nodes that do not have it in time, and ends the failure.
func (r *failureRun) runRound() {
	r.causeFailure()
	r.RunFor(time.Duration(r.random.Int64N(int64(3 * time.Second))))
	v := r.publishNewVersion()
	published := r.Now()
	reached := r.connectedLocations()
	r.recordStep("version %d is published", v.Number)
	r.RunFor(adoptionLimit)
	for _, n := range r.Nodes {
		if !n.Running() || n.RunningSince > published || !reached[n.DataCentre] {
			continue
		}
		r.checks++
		if n.Version.Less(v) {
			r.lateNodes = append(r.lateNodes, fmt.Sprintf("%s at %v has %d instead of %d", n.VM, r.Now(), n.Version.Number, v.Number))
		}
	}
	r.heal(v)
}

// heal ends all failures and records the nodes that do not have the version after the limit.
func (r *failureRun) heal(v wire.VersionID) {
	r.partitionSide = nil
	r.Network.Partitioned = func(a, b string) bool { return r.partitionSide[a] != r.partitionSide[b] }
	r.publish(v)
	for _, n := range r.Nodes {
		n.Resume()
		if n.StateMachine == nil {
			n.Start()
		}
	}
	healed := r.Now()
	r.RunFor(adoptionLimit)
	for _, n := range r.Nodes {
		if n.RunningSince <= healed && n.Version != v {
			r.lateNodes = append(r.lateNodes, fmt.Sprintf("%s at %v has %d after healing instead of %d",
				n.VM, r.Now(), n.Version.Number, v.Number))
		}
	}
}

func (r *failureRun) regressionCount() int {
	sum := 0
	for _, n := range r.Nodes {
		sum += n.Regressions
	}
	return sum
}

// Guards against a node that moves back to an older version, adopts an incomplete or invalid set, or is running and
// connected but does not adopt a published version within 8 s. Random crashes, freezes, partitions, stale sources,
// damaged sets and conflicting versions are the causes.
func TestNodesAdoptVersionsDespiteFailures(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			r := newFailureRun(seed, nil)
			for range 6 {
				r.runRound()
			}
			g.Expect(r.Violations).To(BeEmpty(), "%v", r.history)
			g.Expect(r.lateNodes).To(BeEmpty(), "%v", r.history)
			g.Expect(r.regressionCount()).To(BeZero())
			g.Expect(r.checks).To(BeNumerically(">", 20))
		})
	}
}

// Guards against a mechanism that is not needed, and against failures that the simulation would not detect: without the
// mechanism, some of the runs above must fail. If BAMBOODEAL_SEEDS is set, all 40 runs are counted.
func TestEachMechanismIsNeeded(t *testing.T) {
	options := map[string]func(*distribution.Options){
		"the order of versions":          func(o *distribution.Options) { o.Version.AdoptInAnyOrder = true },
		"the start phase":                func(o *distribution.Options) { o.Version.SkipStartPhase = true },
		"replacing failing parents":      func(o *distribution.Options) { o.NoFailover = true },
		"the polls between data centres": func(o *distribution.Options) { o.NoRemoteLinks = true },
		"new connections after failures": nil,
	}
	for name, adjustOptions := range options {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			failed := 0
			countAll := os.Getenv("BAMBOODEAL_SEEDS") != ""
			for seed := range uint64(40) {
				if failed > 0 && !countAll {
					break
				}
				r := newFailureRun(seed+1, adjustOptions)
				r.ReuseConnections = adjustOptions == nil
				for range 6 {
					r.runRound()
				}
				if len(r.Violations)+len(r.lateNodes)+r.regressionCount() > 0 {
					failed++
				}
			}
			if countAll {
				t.Logf("without %s %d of 40 runs fail", name, failed)
			}
			g.Expect(failed).To(BeNumerically(">", 0))
		})
	}
}

// Guards against a data centre that stays without a version although one of its nodes learns of it from a call: when
// the readers can reach neither the source nor another data centre, that node must fetch the version and announce it to
// its parents in its polls.
func TestAnnouncedVersionSpreadsThroughDataCentre(t *testing.T) {
	for _, announcements := range []bool{true, false} {
		g := NewWithT(t)
		r := newFailureRun(1, func(o *distribution.Options) { o.NoRemoteLinks, o.NoAnnouncements = true, !announcements })
		cut := dataCentres[0]
		r.Network.Partitioned = func(a, b string) bool {
			return a != b && (a == cut && b == distributiontest.SourceLocation || b == cut && a == distributiontest.SourceLocation)
		}
		v := r.nextVersion()
		r.publish(v)
		r.RunFor(adoptionLimit)
		node, other := r.Nodes[0], r.Nodes[len(r.Nodes)-1]
		g.Expect(node.Version.Less(v)).To(BeTrue())
		g.Expect(other.Version).To(Equal(v))
		node.ReceiveVersion(v, other.Address)
		r.RunFor(adoptionLimit)
		for _, n := range r.Nodes {
			if n.DataCentre == cut {
				g.Expect(n.Version == v).To(Equal(announcements), n.VM)
			}
		}
	}
}
