package distribution_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

// While the source is down for an hour, nodes that restart empty must get the version from other nodes, nobody may
// fail closed, and the first version after the outage must be in force within 8 s.
func TestTheSourceIsDownForAnHour(t *testing.T) {
	g := NewWithT(t)
	c := newChaos(3, nil)
	c.Network.LossProbability, c.Network.CorruptionProbability = 0, 0
	before := c.Sources[0].Version()
	for _, s := range c.Sources {
		s.Down = true
	}
	for minute := range 60 {
		n := c.Nodes[minute%len(c.Nodes)]
		n.Stop()
		n.Start()
		for range 60 {
			c.RunFor(time.Second)
			for _, n := range c.Nodes {
				if c.Now()-n.RunningSince > 4*time.Second {
					g.Expect(membership.IsFresh(c.Now(), n.StateMachine.ViewConfirmedAt())).To(BeTrue(), "%s at %v", n.VM, c.Now())
				}
			}
		}
		g.Expect(n.Version).To(Equal(before), n.VM)
	}
	for _, s := range c.Sources {
		s.Down = false
	}
	after := c.next()
	c.publish(after)
	c.RunFor(limit)
	for _, n := range c.Nodes {
		g.Expect(n.Version).To(Equal(after), n.VM)
	}
	g.Expect(c.Violations).To(BeEmpty())
}

// A node that hears nobody must notice it within 4 s, and must be fresh again soon after the partition ends.
func TestAnIsolatedDataCentreFailsClosed(t *testing.T) {
	g := NewWithT(t)
	sizes := map[string]int{"braga-a": 1, "braga-b": 5}
	w := distributiontest.New(5, sizes, []string{"braga-a", "braga-b"}, 1)
	w.PublishMembers()
	w.Sources[0].Publish(version(1, "1"))
	for _, n := range w.Nodes {
		n.Start()
	}
	w.RunFor(limit)
	alone := w.Nodes[0]
	g.Expect(membership.IsFresh(w.Now(), alone.StateMachine.ViewConfirmedAt())).To(BeTrue())
	w.Network.Partitioned = func(a, b string) bool { return (a == "braga-a") != (b == "braga-a") }
	w.RunFor(membership.FreshnessLimit + 100*time.Millisecond)
	g.Expect(membership.IsFresh(w.Now(), alone.StateMachine.ViewConfirmedAt())).To(BeFalse())
	for _, n := range w.Nodes[1:] {
		g.Expect(membership.IsFresh(w.Now(), n.StateMachine.ViewConfirmedAt())).To(BeTrue(), n.VM)
	}
	w.RunFor(time.Hour)
	w.Network.Partitioned = nil
	w.RunFor(4 * time.Second)
	g.Expect(membership.IsFresh(w.Now(), alone.StateMachine.ViewConfirmedAt())).To(BeTrue())
}

// A node that resumes in a partition must not take the answers that waited in its sockets for fresh ones; without the
// detection of pauses it does.
func TestAnswersFromBeforeAPauseAreNotFresh(t *testing.T) {
	for _, detection := range []bool{true, false} {
		g := NewWithT(t)
		c := newChaos(9, nil)
		c.Network.LossProbability, c.Network.DelayProbability = 0, 0
		c.NoPauseDetection = !detection
		n := c.Nodes[0]
		n.Freeze()
		c.RunFor(3 * time.Second)
		c.Network.Partitioned = func(string, string) bool { return true }
		c.RunFor(time.Hour)
		n.Resume()
		g.Expect(membership.IsFresh(c.Now(), n.StateMachine.ViewConfirmedAt())).To(Equal(!detection))
	}
}

// All nodes of the fleet start at once: the reads of the source must stay under its allowance of 2,000 a second,
// and the start must not depend on every node reading the contents from it.
func TestAWholeFleetStartsAtOnce(t *testing.T) {
	g := NewWithT(t)
	sizes := map[string]int{}
	for _, dc := range dataCentres {
		sizes[dc] = 118
	}
	w := distributiontest.New(7, sizes, dataCentres, 1)
	values := 0
	w.Hooks.OnRead = func(_ *distributiontest.Node, kind string, _ bool) {
		if kind == "values" {
			values++
		}
	}
	w.PublishMembers()
	w.Sources[0].Publish(version(1, "1"))
	for _, n := range w.Nodes {
		n.Start()
	}
	most, last := 0, 0
	for range 80 {
		w.RunFor(100 * time.Millisecond)
		most, last = max(most, w.Sources[0].ReadCount-last), w.Sources[0].ReadCount
	}
	for _, n := range w.Nodes {
		g.Expect(n.StateMachine.Versions().Ready()).To(BeTrue(), n.VM)
	}
	t.Logf("%d reads in the busiest 100 ms, %d in 8 s, of which %d of values", most, last, values)
	g.Expect(most).To(BeNumerically("<", 2000/4))
	g.Expect(values).To(BeNumerically("<=", 16))
}

// A node for which the platform has no list must read the contents from the source after a while: nobody else can
// deliver them.
func TestANodeWithoutAListReadsTheSource(t *testing.T) {
	g := NewWithT(t)
	w := distributiontest.New(3, map[string]int{"braga-a": 1}, []string{"braga-a"}, 1)
	w.Sources[0].Publish(version(1, "1"))
	w.Nodes[0].Start()
	w.RunFor(limit)
	g.Expect(w.Nodes[0].Version).To(Equal(version(1, "1")))
}
