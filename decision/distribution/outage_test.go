package distribution_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

// Guards against an outage of the source that affects the nodes: while it is down for an hour, nodes that restart
// without state must get the version from other nodes and every node must stay fresh. The first version after the
// outage must be in force within 8 s.
func TestSourceOutageOfOneHour(t *testing.T) {
	g := NewWithT(t)
	run := newFailureRun(3, nil)
	run.Network.LossProbability, run.Network.CorruptionProbability = 0, 0
	before := run.Sources[0].Version()
	for _, s := range run.Sources {
		s.Down = true
	}
	for minute := range 60 {
		n := run.Nodes[minute%len(run.Nodes)]
		n.Stop()
		n.Start()
		for range 60 {
			run.RunFor(time.Second)
			for _, n := range run.Nodes {
				if run.Now()-n.RunningSince > 4*time.Second {
					g.Expect(membership.IsFresh(run.Now(), n.StateMachine.ViewConfirmedAt())).To(BeTrue(), "%s at %v", n.VM, run.Now())
				}
			}
		}
		g.Expect(n.Version).To(Equal(before), n.VM)
	}
	for _, s := range run.Sources {
		s.Down = false
	}
	after := run.nextVersion()
	run.publish(after)
	run.RunFor(adoptionLimit)
	for _, n := range run.Nodes {
		g.Expect(n.Version).To(Equal(after), n.VM)
	}
	g.Expect(run.Violations).To(BeEmpty())
}

// Guards against an isolated node that counts as fresh for longer than membership.FreshnessLimit, and against one that
// is still not fresh 4 s after a long partition.
func TestIsolatedNodeIsNotFresh(t *testing.T) {
	g := NewWithT(t)
	sizes := map[string]int{"braga-a": 1, "braga-b": 5}
	sim := distributiontest.New(5, sizes, []string{"braga-a", "braga-b"}, 1)
	sim.PublishMembers()
	sim.Sources[0].Publish(versionID(1, "1"))
	for _, n := range sim.Nodes {
		n.Start()
	}
	sim.RunFor(adoptionLimit)
	isolated := sim.Nodes[0]
	g.Expect(membership.IsFresh(sim.Now(), isolated.StateMachine.ViewConfirmedAt())).To(BeTrue())
	sim.Network.Partitioned = func(a, b string) bool { return (a == "braga-a") != (b == "braga-a") }
	sim.RunFor(membership.FreshnessLimit + 100*time.Millisecond)
	g.Expect(membership.IsFresh(sim.Now(), isolated.StateMachine.ViewConfirmedAt())).To(BeFalse())
	for _, n := range sim.Nodes[1:] {
		g.Expect(membership.IsFresh(sim.Now(), n.StateMachine.ViewConfirmedAt())).To(BeTrue(), n.VM)
	}
	sim.RunFor(time.Hour)
	sim.Network.Partitioned = nil
	sim.RunFor(4 * time.Second)
	g.Expect(membership.IsFresh(sim.Now(), isolated.StateMachine.ViewConfirmedAt())).To(BeTrue())
}

// Guards against a node that resumes in a partition and counts as fresh because of old answers in its sockets. Without
// the detection of pauses, the node counts as fresh, which shows that the test is effective.
func TestAnswersFromBeforePauseAreNotFresh(t *testing.T) {
	for _, detection := range []bool{true, false} {
		g := NewWithT(t)
		run := newFailureRun(9, nil)
		run.Network.LossProbability, run.Network.DelayProbability = 0, 0
		run.NoPauseDetection = !detection
		n := run.Nodes[0]
		n.Freeze()
		run.RunFor(3 * time.Second)
		run.Network.Partitioned = func(string, string) bool { return true }
		run.RunFor(time.Hour)
		n.Resume()
		g.Expect(membership.IsFresh(run.Now(), n.StateMachine.ViewConfirmedAt())).To(Equal(!detection))
	}
}

// Guards against a start of all 472 nodes at once that overloads the source: the reads must stay below its allowance of
// 2,000 per second, and only a few nodes may read the contents from it.
func TestAllNodesStartAtOnce(t *testing.T) {
	g := NewWithT(t)
	sizes := map[string]int{}
	for _, dc := range dataCentres {
		sizes[dc] = 118
	}
	sim := distributiontest.New(7, sizes, dataCentres, 1)
	values := 0
	sim.Hooks.OnRead = func(_ *distributiontest.Node, kind string, _ bool) {
		if kind == "values" {
			values++
		}
	}
	sim.PublishMembers()
	sim.Sources[0].Publish(versionID(1, "1"))
	for _, n := range sim.Nodes {
		n.Start()
	}
	most, last := 0, 0
	for range 80 {
		sim.RunFor(100 * time.Millisecond)
		most, last = max(most, sim.Sources[0].ReadCount-last), sim.Sources[0].ReadCount
	}
	for _, n := range sim.Nodes {
		g.Expect(n.StateMachine.Versions().Ready()).To(BeTrue(), n.VM)
	}
	t.Logf("%d reads in the busiest 100 ms, %d in 8 s, %d of these of values", most, last, values)
	g.Expect(most).To(BeNumerically("<", 2000/4))
	g.Expect(values).To(BeNumerically("<=", 16))
}

// Guards against a node that never gets the configuration because the platform gives it no member list: no other node
// can send the contents, so the node must read them from the source.
func TestNodeWithoutMemberListReadsSource(t *testing.T) {
	g := NewWithT(t)
	sim := distributiontest.New(3, map[string]int{"braga-a": 1}, []string{"braga-a"}, 1)
	sim.Sources[0].Publish(versionID(1, "1"))
	sim.Nodes[0].Start()
	sim.RunFor(adoptionLimit)
	g.Expect(sim.Nodes[0].Version).To(Equal(versionID(1, "1")))
}
