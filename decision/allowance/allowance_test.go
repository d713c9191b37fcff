package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Bounds of the deployments: in any window, a team may run at most (rate × window + burst) × (1 + tolerance) + slack
// requests.
const (
	window    = 5 * time.Second
	tolerance = 0.25
	slack     = 20
)

// simulatedFleet simulates the nodes of a mesh in virtual time. The nodes with a number below isolated and the others
// do not reach each other.
type simulatedFleet struct {
	limit    Limit
	nodes    []*Borrower
	holder   int
	isolated int
	buckets  *Buckets
	admitted []time.Duration
}

func newFleet(nodes, holder, isolated int, limit Limit) *simulatedFleet {
	f := &simulatedFleet{limit: limit, holder: holder, isolated: isolated, buckets: NewBuckets()}
	for range nodes {
		f.nodes = append(f.nodes, &Borrower{})
	}
	return f
}

func (f *simulatedFleet) reachesHolder(node int) bool {
	return (node < f.isolated) == (f.holder < f.isolated)
}

// sendRequest sends a request to a node, which refuses it if it gets no token.
func (f *simulatedFleet) sendRequest(now time.Duration, node int) {
	b := f.nodes[node]
	b.CountRequest(now)
	ok := b.TakeToken(now)
	switch {
	case ok:
	case f.reachesHolder(node):
		if want := b.TokensToBorrow(now, 1); want > 0 {
			granted, retry := f.buckets.Lease(now, "team", f.limit, want)
			b.HandleLeaseAnswer(now, granted, retry, false)
			ok = b.TakeToken(now)
		}
	default:
		ok = b.TakeFromLocalShare(now, f.limit, len(f.nodes), node < f.isolated)
	}
	if ok {
		f.admitted = append(f.admitted, now)
	}
}

// sendRequests sends perNode requests per second to each node.
func (f *simulatedFleet) sendRequests(from, until time.Duration, perNode float64) {
	step := time.Duration(float64(time.Second) / perNode)
	for now := from; now < until; now += step {
		for i := range f.nodes {
			f.sendRequest(now, i)
		}
	}
}

// maxAdmittedInWindow returns the largest number of requests admitted within a window.
func (f *simulatedFleet) maxAdmittedInWindow() int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for at-f.admitted[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// maxAllowedInWindow returns the number of requests that may be admitted within a window.
func (f *simulatedFleet) maxAllowedInWindow() float64 {
	return (f.limit.Rate*window.Seconds()+f.limit.Burst)*(1+tolerance) + slack
}

var testLimit = Limit{Rate: 82, Burst: 82}

// Guards against a team that sends many times its rate exceeding its limit during a partition: the admissions of both
// sides together must stay within the limit, whichever side the holder is on.
func TestPartitionStaysWithinLimit(t *testing.T) {
	for name, holder := range map[string]int{"holder with the majority": 11, "holder cut off": 0} {
		for _, isolated := range []int{1, 4, 6} {
			t.Run(fmt.Sprint(name, ", nodes cut off ", isolated), func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(12, holder, isolated, testLimit)
				f.sendRequests(time.Second, 8*time.Second, 5)
				f.sendRequests(8*time.Second, 20*time.Second, 60)
				g.Expect(float64(f.maxAdmittedInWindow())).To(BeNumerically("<=", f.maxAllowedInWindow()))
			})
		}
	}
}

// Guards against refusals of a team that is below its rate.
func TestTeamBelowRateIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, 3, 0, testLimit)
	perNode := 0.6 * testLimit.Rate / 12
	f.sendRequests(time.Second, 31*time.Second, perNode)
	sent := int(30 * perNode * 12)
	g.Expect(len(f.admitted)).To(BeNumerically(">=", sent*98/100))
}

// Guards against a team that is over its rate getting less than its rate.
func TestTeamOverRateGetsItsRate(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, 3, 0, testLimit)
	f.sendRequests(time.Second, 31*time.Second, 60)
	g.Expect(float64(len(f.admitted))).To(BeNumerically(">=", 0.97*testLimit.Rate*30))
	g.Expect(float64(f.maxAdmittedInWindow())).To(BeNumerically("<=", f.maxAllowedInWindow()))
}

// Guards against a second burst when all nodes restart at once several times within a window.
func TestRestartGivesNoSecondBurst(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, 3, 0, testLimit)
	for i := range 4 {
		from := time.Duration(1+2*i) * time.Second
		f.buckets = NewBuckets()
		for n := range f.nodes {
			f.nodes[n] = &Borrower{}
		}
		f.sendRequests(from, from+2*time.Second, 60)
	}
	g.Expect(float64(f.maxAdmittedInWindow())).To(BeNumerically("<=", f.maxAllowedInWindow()))
}

// Guards against a change of the order of holders, except for the VM that leaves.
func TestDepartureOfVMKeepsOrderOfOtherHolders(t *testing.T) {
	g := NewWithT(t)
	vms := []string{"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"}
	for _, team := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		ranked := RankedHolders(team, vms)
		g.Expect(ranked).To(ConsistOf(vms))
		rest := make([]string, 0, len(vms))
		for _, vm := range vms {
			if vm != ranked[0] {
				rest = append(rest, vm)
			}
		}
		g.Expect(RankedHolders(team, rest)).To(Equal(ranked[1:]))
	}
}

// Guards against refusals below the rate in a large fleet: each node then gets so few of a team's requests that tokens
// borrowed in advance would expire unused, and unused tokens count as spent.
func TestTeamSpreadOverManyNodesIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 20, Burst: 20}
	f := newFleet(69, 3, 0, limit)
	f.buckets.SetHeldTeams(0, []string{"team"})
	sent, random := 0, rand.New(rand.NewPCG(1, 2))
	for now := 10 * time.Second; now < 40*time.Second; now += time.Duration(random.ExpFloat64() / 14 * float64(time.Second)) {
		f.sendRequest(now, random.IntN(69))
		sent++
	}
	g.Expect(len(f.admitted)).To(BeNumerically(">=", sent*99/100))
}

// Guards against a bucket that starts to fill only at the first request: the first requests of a team would be refused.
func TestHeldBucketFillsBeforeFirstRequest(t *testing.T) {
	g := NewWithT(t)
	b := NewBuckets()
	b.SetHeldTeams(0, []string{"team"})
	granted, _ := b.Lease(time.Second, "team", testLimit, 6)
	g.Expect(granted).To(Equal(6))
}

// Guards against a second burst when a team moves to a holder that already runs, or moves back.
func TestChangeOfHolderGivesNoSecondBurst(t *testing.T) {
	g := NewWithT(t)
	b := NewBuckets()
	b.SetHeldTeams(0, []string{"other"})
	b.SetHeldTeams(10*time.Second, []string{"team"})
	granted, _ := b.Lease(10*time.Second, "team", testLimit, 6)
	g.Expect(granted).To(BeZero())
	b.SetHeldTeams(20*time.Second, nil)
	b.SetHeldTeams(21*time.Second, []string{"team"})
	granted, _ = b.Lease(21*time.Second, "team", testLimit, 6)
	g.Expect(granted).To(BeZero())
}

// Guards against a substitute that keeps the tokens of an earlier time as a substitute.
func TestSubstituteStartsEmptyEachTime(t *testing.T) {
	g := NewWithT(t)
	b := NewBuckets()
	b.Lease(0, "team", testLimit, 1)
	granted, _ := b.Lease(time.Minute, "team", testLimit, 6)
	g.Expect(granted).To(BeZero())
}

// Guards against requests for tokens without a pause to a holder that grants none and states no retry time, because its
// version of the configuration has no limit for the team.
func TestEmptyGrantWithoutRetryTimeDelaysNextRequest(t *testing.T) {
	g := NewWithT(t)
	const asked = time.Second
	granted, retry := NewBuckets().Lease(asked, "red", Limit{}, 1)
	g.Expect(granted).To(BeZero())
	var b Borrower
	b.HandleLeaseAnswer(asked, granted, retry, false)
	g.Expect(b.TokensToBorrow(asked+minRetryDelay-1, 1)).To(BeZero())
	g.Expect(b.HolderEmptyFor(asked)).To(Equal(minRetryDelay))
	g.Expect(b.TokensToBorrow(asked+minRetryDelay, 1)).To(Equal(1))
}

// Load: a pipelining caller sends 16 requests in the first milliseconds of a holder, whose bucket starts empty, for a team
// that is far within its limit. Guards against refusing them, for up to a second, as those of a team over its limit.
func TestEmptyNewBucketDoesNotMakeTeamLimited(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 1000, Burst: 1000}
	buckets, node := NewBuckets(), &Borrower{}
	start := time.Second
	buckets.SetHeldTeams(start, []string{"red"})
	ask := func(now time.Duration, waiting int) int {
		granted, retry := buckets.Lease(now, "red", limit, node.TokensToBorrow(now, waiting))
		node.HandleLeaseAnswer(now, granted, retry, buckets.Filling(now, "red", limit))
		return granted
	}
	g.Expect(ask(start, 1)).To(BeZero())
	for ahead := range 16 {
		g.Expect(node.Exhausted(start, ahead, 200*time.Millisecond)).To(BeFalse(), "%d ahead", ahead)
	}
	g.Expect(node.RecentlyLimited(start)).To(BeFalse())
	g.Expect(ask(start+node.HolderEmptyFor(start), 16)).To(Equal(16))
	// Once the bucket has had the time to fill, an empty one shows that the team is over its limit.
	later := start + 2*time.Second
	for ask(later, 500) > 0 {
		continue
	}
	g.Expect(node.RecentlyLimited(later)).To(BeTrue())
	g.Expect(node.Exhausted(later, 500, 200*time.Millisecond)).To(BeTrue())
}
