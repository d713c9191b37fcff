package placement

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func newTable() *Table { return NewTable(rand.New(rand.NewPCG(1, 2))) }

var local, remote = Candidate{ID: "near", SameDataCentre: true}, Candidate{ID: "far"}

// rankIDs returns the IDs of the candidates in the order of Rank.
func rankIDs(t *Table, now time.Duration, bodyBytes int, candidates ...Candidate) []string {
	ids := make([]string, 0, len(candidates))
	for _, i := range t.Rank(now, candidates, bodyBytes) {
		ids = append(ids, candidates[i].ID)
	}
	return ids
}

func firstRanked(t *Table, now time.Duration) string {
	return rankIDs(t, now, 0, remote, local)[0]
}

func loadWithWaiting(waiting int) Load {
	return Load{Running: 4, Waiting: waiting, Slots: 4, MeanServiceTime: 100 * time.Millisecond}
}

// Bytes between data centres are billed, so the own data centre is preferred until its queues would make requests late.
func TestOwnDataCentreIsPreferredUntilBusy(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	g.Expect(firstRanked(table, 0)).To(Equal("near"))
	table.RecordLoad(0, "near", loadWithWaiting(3))
	g.Expect(firstRanked(table, 0)).To(Equal("near"))
	table.RecordLoad(0, "near", loadWithWaiting(8))
	g.Expect(firstRanked(table, 0)).To(Equal("far"))
	// An old report is not used.
	g.Expect(firstRanked(table, maxLoadAge)).To(Equal("near"))
}

func TestColdAndFailingUpstreamsAreRankedLast(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordLoad(0, "near", Load{Slots: 4, Cold: true, MeanServiceTime: 100 * time.Millisecond})
	g.Expect(firstRanked(table, 0)).To(Equal("far"))
	table = newTable()
	for range 20 {
		table.RecordOutcome("near", true)
	}
	g.Expect(firstRanked(table, 0)).To(Equal("far"))
}

// Each request that is sent to a VM without power waits for a connection until it times out, so such a VM must be tried
// rarely.
func TestBackoffDoublesForNodeThatDoesNotAnswer(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordNoAnswer(0, "near")
	g.Expect(firstRanked(table, initialBackoff-1)).To(Equal("far"))
	g.Expect(firstRanked(table, initialBackoff)).To(Equal("near"))
	table.RecordNoAnswer(initialBackoff, "near")
	g.Expect(firstRanked(table, 2*initialBackoff)).To(Equal("far"))
	table.RecordLoad(2*initialBackoff, "near", Load{Slots: 4, MeanServiceTime: 100 * time.Millisecond})
	g.Expect(firstRanked(table, 2*initialBackoff)).To(Equal("near"))
}

// In a long overload each request was refused by five full upstreams, and these refusals were half of the messages
// between the nodes.
func TestRefusalIsExpectedAfterRefusal(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	refusalExpected := func(now time.Duration, priority int) bool {
		_, expected := table.RefusalExpected(now, "near", priority, false)
		return expected
	}
	g.Expect(refusalExpected(0, 1)).To(BeFalse())
	const after = 100 * time.Millisecond
	table.RecordRefusal(0, "near", 1, after)
	g.Expect(refusalExpected(time.Millisecond, 1)).To(BeTrue())
	g.Expect(refusalExpected(time.Millisecond, 2)).To(BeTrue())
	// A more urgent request may displace a waiting one.
	g.Expect(refusalExpected(time.Millisecond, 0)).To(BeFalse())
	freeIn, _ := table.RefusalExpected(time.Millisecond, "near", 1, false)
	g.Expect(freeIn).To(Equal(after - time.Millisecond))
	g.Expect(refusalExpected(after, 1)).To(BeFalse())
	// An upstream that expects a long wait is still asked again soon.
	table.RecordRefusal(after, "near", 1, time.Minute)
	g.Expect(refusalExpected(after+maxSkip, 1)).To(BeFalse())
	// A refusal of a less urgent request does not replace what is known about urgent ones.
	table.RecordRefusal(time.Minute, "near", 0, after)
	table.RecordRefusal(time.Minute, "near", 2, time.Second)
	g.Expect(refusalExpected(time.Minute, 0)).To(BeTrue())
}

// The state of upstreams that left the mesh must not stay in memory for the lifetime of the node.
func TestRetainOnlyRemovesUnlistedUpstreams(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordSent("near")
	table.RetainOnly(map[string]bool{"far": true})
	g.Expect(table.upstreams).To(BeEmpty())
}

// Load: uploads of 60 KB and small requests for the same service while the upstream of the own data centre is busy.
// Guards against bodies that are moved between data centres, where each byte is billed, while small requests keep the
// slots of the own one, and against a body that makes a full upstream look best for ever.
func TestBodiesStayInOwnDataCentre(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	first := func(bytes int) string { return rankIDs(table, 0, bytes, remote, local)[0] }
	table.RecordLoad(0, "near", loadWithWaiting(8))
	g.Expect(first(0)).To(Equal("far"))
	g.Expect(first(60_000)).To(Equal("near"))
	table.RecordLoad(0, "near", loadWithWaiting(28))
	g.Expect(first(60_000)).To(Equal("far"))
	table.RecordLoad(0, "near", loadWithWaiting(60))
	g.Expect(first(50_000_000)).To(Equal("far"))
}

// Guards against small requests that avoid an upstream because its link was too busy for a body, and against bodies that
// are offered to it again before the link can carry them.
func TestBodyRefusalConcernsBodiesOnly(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	table.RecordBodyRefusal(0, "near", 40*time.Millisecond)
	_, small := table.RefusalExpected(time.Millisecond, "near", 1, false)
	g.Expect(small).To(BeFalse())
	after, large := table.RefusalExpected(time.Millisecond, "near", 1, true)
	g.Expect(large).To(BeTrue())
	g.Expect(after).To(Equal(39 * time.Millisecond))
	_, large = table.RefusalExpected(40*time.Millisecond, "near", 1, true)
	g.Expect(large).To(BeFalse())
}

// Guards against garbage for each request that grows with the number of upstreams beyond the order itself.
func TestRankAllocatesOnlyItsResult(t *testing.T) {
	g := NewWithT(t)
	table := newTable()
	candidates := make([]Candidate, 175)
	for i := range candidates {
		candidates[i] = Candidate{ID: strconv.Itoa(i), SameDataCentre: i%4 == 0}
	}
	table.Rank(0, candidates, 0)
	g.Expect(testing.AllocsPerRun(20, func() { table.Rank(0, candidates, 0) })).To(BeNumerically("<=", 1))
}
