package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Bounds of the deployments: in any window, a team may run at most (rate x window + burst) x (1 + over) + slack.
const (
	window = 5 * time.Second
	over   = 0.25
	slack  = 20
)

// fleet plays the nodes of a mesh in steps of virtual time. The nodes below cut do not reach the others.
type fleet struct {
	limit    Limit
	nodes    []*Borrower
	holder   int
	cut      int
	buckets  *Buckets
	admitted []time.Duration
}

func newFleet(nodes, holder, cut int, limit Limit) *fleet {
	f := &fleet{limit: limit, holder: holder, cut: cut, buckets: NewBuckets()}
	for range nodes {
		f.nodes = append(f.nodes, &Borrower{})
	}
	return f
}

func (f *fleet) reaches(node int) bool { return (node < f.cut) == (f.holder < f.cut) }

// arrive is a request at a node; a request that gets no token is refused.
func (f *fleet) arrive(now time.Duration, node int) {
	b := f.nodes[node]
	b.CountRequest(now)
	ok := b.TakeToken(now)
	switch {
	case ok:
	case f.reaches(node):
		if want := b.TokensToBorrow(now, 1); want > 0 {
			granted, retry := f.buckets.Lease(now, "team", f.limit, want)
			b.HandleLeaseAnswer(now, granted, retry, false)
			ok = b.TakeToken(now)
		}
	default:
		ok = b.TakeFromLocalShare(now, f.limit, len(f.nodes), node < f.cut)
	}
	if ok {
		f.admitted = append(f.admitted, now)
	}
}

// run lets every node receive perNode requests a second.
func (f *fleet) run(from, until time.Duration, perNode float64) {
	step := time.Duration(float64(time.Second) / perNode)
	for now := from; now < until; now += step {
		for i := range f.nodes {
			f.arrive(now, i)
		}
	}
}

// most returns the largest number of admissions in a window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for at-f.admitted[first] >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *fleet) bound() float64 {
	return (f.limit.Rate*window.Seconds()+f.limit.Burst)*(1+over) + slack
}

var usual = Limit{Rate: 82, Burst: 82}

// A team that sends many times its rate while some VMs are cut off must stay below its limit over both sides
// together, on whichever side the holder is.
func TestBothSidesOfAPartitionStayWithinTheLimit(t *testing.T) {
	for name, holder := range map[string]int{"holder with the majority": 11, "holder cut off": 0} {
		for _, cut := range []int{1, 4, 6} {
			t.Run(fmt.Sprint(name, ", cut off ", cut), func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet(12, holder, cut, usual)
				f.run(time.Second, 8*time.Second, 5)
				f.run(8*time.Second, 20*time.Second, 60)
				g.Expect(float64(f.most())).To(BeNumerically("<=", f.bound()))
			})
		}
	}
}

// A team below its rate is not refused, however its requests are spread.
func TestATeamBelowItsRateIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, 3, 0, usual)
	perNode := 0.6 * usual.Rate / 12
	f.run(time.Second, 31*time.Second, perNode)
	sent := int(30 * perNode * 12)
	g.Expect(len(f.admitted)).To(BeNumerically(">=", sent*98/100))
}

// A team over its rate still gets its rate.
func TestATeamOverItsRateGetsItsRate(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, 3, 0, usual)
	f.run(time.Second, 31*time.Second, 60)
	g.Expect(float64(len(f.admitted))).To(BeNumerically(">=", 0.97*usual.Rate*30))
	g.Expect(float64(f.most())).To(BeNumerically("<=", f.bound()))
}

// All holders restart at once, twice within a window: an empty bucket never gives a second burst.
func TestRestartsGiveNoSecondBurst(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(12, 3, 0, usual)
	for i := range 4 {
		from := time.Duration(1+2*i) * time.Second
		f.buckets = NewBuckets()
		for n := range f.nodes {
			f.nodes[n] = &Borrower{}
		}
		f.run(from, from+2*time.Second, 60)
	}
	g.Expect(float64(f.most())).To(BeNumerically("<=", f.bound()))
}

// The holder of a team stays the same when another VM leaves.
func TestOnlyTheTeamsOfALeavingVMMove(t *testing.T) {
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

// A large fleet spreads a team's requests so thinly that a token borrowed in advance expires unused. It then counts
// against the team, and requests below the rate are refused.
func TestAThinlySpreadTeamIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	limit := Limit{Rate: 20, Burst: 20}
	f := newFleet(69, 3, 0, limit)
	f.buckets.SetHeldTeams(0, []string{"team"})
	sent, random := 0, rand.New(rand.NewPCG(1, 2))
	for now := 10 * time.Second; now < 40*time.Second; now += time.Duration(random.ExpFloat64() / 14 * float64(time.Second)) {
		f.arrive(now, random.IntN(69))
		sent++
	}
	g.Expect(len(f.admitted)).To(BeNumerically(">=", sent*99/100))
}

// A holder fills its buckets from when it takes them over, so that the first requests of a team find tokens.
func TestAHeldBucketFillsBeforeTheFirstRequest(t *testing.T) {
	g := NewWithT(t)
	b := NewBuckets()
	b.SetHeldTeams(0, []string{"team"})
	granted, _ := b.Lease(time.Second, "team", usual, 6)
	g.Expect(granted).To(Equal(6))
}

// Moves of a team between holders that already run must not give a burst each.
func TestMovesGiveNoSecondBurst(t *testing.T) {
	g := NewWithT(t)
	b := NewBuckets()
	b.SetHeldTeams(0, []string{"other"})
	b.SetHeldTeams(10*time.Second, []string{"team"})
	granted, _ := b.Lease(10*time.Second, "team", usual, 6)
	g.Expect(granted).To(BeZero())
	b.SetHeldTeams(20*time.Second, nil)
	b.SetHeldTeams(21*time.Second, []string{"team"})
	granted, _ = b.Lease(21*time.Second, "team", usual, 6)
	g.Expect(granted).To(BeZero())
}

// A substitute keeps no tokens from an earlier time.
func TestASubstituteStartsEmptyEachTime(t *testing.T) {
	g := NewWithT(t)
	b := NewBuckets()
	b.Lease(0, "team", usual, 1)
	granted, _ := b.Lease(time.Minute, "team", usual, 6)
	g.Expect(granted).To(BeZero())
}
