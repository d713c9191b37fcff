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
	return t.Order(now, []Candidate{far, near})[0].ID
}

func busy(over int) Load {
	return Load{Running: 4, Waiting: over, Slots: 4, Mean: 100 * time.Millisecond}
}

// Bytes between data centres are billed, but a queue in the own one must not make requests late.
func TestTheOwnDataCentreIsAskedFirstUntilItIsBusy(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	g.Expect(first(table, 0)).To(Equal("near"))
	table.Reported(0, "near", busy(4))
	g.Expect(first(table, 0)).To(Equal("far"))
	// An old report says nothing.
	g.Expect(first(table, loadAge)).To(Equal("near"))
}

func TestColdAndFailingUpstreamsAreAskedLast(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Reported(0, "near", Load{Slots: 4, Cold: true, Mean: 100 * time.Millisecond})
	g.Expect(first(table, 0)).To(Equal("far"))
	table = newTable()
	for range 20 {
		table.Outcome("near", true)
	}
	g.Expect(first(table, 0)).To(Equal("far"))
}

// A VM without power would cost each request the wait for a connection.
func TestASilentNodeIsAskedLastForLongerEachTime(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Silent(0, "near")
	g.Expect(first(table, firstSuspicion-1)).To(Equal("far"))
	g.Expect(first(table, firstSuspicion)).To(Equal("near"))
	table.Silent(firstSuspicion, "near")
	g.Expect(first(table, 2*firstSuspicion)).To(Equal("far"))
	table.Reported(2*firstSuspicion, "near", Load{Slots: 4, Mean: 100 * time.Millisecond})
	g.Expect(first(table, 2*firstSuspicion)).To(Equal("near"))
}

// Upstreams that left must not stay in memory for the life of the node.
func TestUpstreamsThatAreNotListedAreForgotten(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.Sent("near")
	table.Keep(map[string]bool{"far": true})
	g.Expect(table.seen).To(BeEmpty())
}
