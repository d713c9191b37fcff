package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func newTable() *Table { return NewTable(rand.New(rand.NewPCG(1, 2))) }

var near, far = Candidate{ID: "near", SameDataCentre: true}, Candidate{ID: "far"}

func first(t *Table, now time.Duration) string {
	return t.Rank(now, []Candidate{far, near})[0].ID
}

func busy(over int) Load {
	return Load{Running: 4, Waiting: over, Slots: 4, MeanServiceTime: 100 * time.Millisecond}
}

// Bytes between data centres are billed, but a queue in the own one must not make requests late.
func TestTheOwnDataCentreIsAskedFirstUntilItIsBusy(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	g.Expect(first(table, 0)).To(Equal("near"))
	table.RecordLoad(0, "near", busy(3))
	g.Expect(first(table, 0)).To(Equal("near"))
	table.RecordLoad(0, "near", busy(8))
	g.Expect(first(table, 0)).To(Equal("far"))
	// An old report says nothing.
	g.Expect(first(table, loadAge)).To(Equal("near"))
}

func TestColdAndFailingUpstreamsAreAskedLast(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordLoad(0, "near", Load{Slots: 4, Cold: true, MeanServiceTime: 100 * time.Millisecond})
	g.Expect(first(table, 0)).To(Equal("far"))
	table = newTable()
	for range 20 {
		table.RecordOutcome("near", true)
	}
	g.Expect(first(table, 0)).To(Equal("far"))
}

// A VM without power would cost each request the wait for a connection.
func TestASilentNodeIsAskedLastForLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordNoAnswer(0, "near")
	g.Expect(first(table, firstSuspicion-1)).To(Equal("far"))
	g.Expect(first(table, firstSuspicion)).To(Equal("near"))
	table.RecordNoAnswer(firstSuspicion, "near")
	g.Expect(first(table, 2*firstSuspicion)).To(Equal("far"))
	table.RecordLoad(2*firstSuspicion, "near", Load{Slots: 4, MeanServiceTime: 100 * time.Millisecond})
	g.Expect(first(table, 2*firstSuspicion)).To(Equal("near"))
}

// In a lasting overload each request asked five full upstreams in vain; the refusals made half of the messages between
// the nodes.
func TestAFullUpstreamIsNotAskedAgainAtOnce(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	full := func(now time.Duration, priority int) bool {
		_, full := table.RefusalExpected(now, "near", priority)
		return full
	}
	g.Expect(full(0, 1)).To(BeFalse())
	const after = 100 * time.Millisecond
	table.RecordRefusal(0, "near", 1, after)
	g.Expect(full(time.Millisecond, 1)).To(BeTrue())
	g.Expect(full(time.Millisecond, 2)).To(BeTrue())
	// A more urgent request may displace others.
	g.Expect(full(time.Millisecond, 0)).To(BeFalse())
	expected, _ := table.RefusalExpected(time.Millisecond, "near", 1)
	g.Expect(expected).To(Equal(after - time.Millisecond))
	g.Expect(full(after, 1)).To(BeFalse())
	// An upstream that expects a long wait is asked again soon all the same.
	table.RecordRefusal(after, "near", 1, time.Minute)
	g.Expect(full(after+longestSkip, 1)).To(BeFalse())
	// A refusal of a less urgent request says nothing of urgent ones.
	table.RecordRefusal(time.Minute, "near", 0, after)
	table.RecordRefusal(time.Minute, "near", 2, time.Second)
	g.Expect(full(time.Minute, 0)).To(BeTrue())
}

// Upstreams that left must not stay in memory for the life of the node.
func TestUpstreamsThatAreNotListedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordSent("near")
	table.RetainOnly(map[string]bool{"far": true})
	g.Expect(table.seen).To(BeEmpty())
}
