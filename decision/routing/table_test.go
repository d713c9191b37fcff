package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/decision/routing"
)

// fleet returns a view of a service with the given upstreams in each of the data centres "0", "1", and so on; the
// last one is in another region.
func fleet(perDataCentre ...int) *routing.View {
	o := config.Objects{Services: []config.Service{{Name: "s"}}}
	for i, n := range perDataCentre {
		region := "r"
		if i == len(perDataCentre)-1 && i > 0 {
			region = "far"
		}
		o.DataCentres = append(o.DataCentres, config.DataCentre{Name: fmt.Sprint(i), Region: region, State: config.DataCentreIn})
		for j := range n {
			name := fmt.Sprintf("%d-%d", i, j)
			o.Upstreams = append(o.Upstreams, config.Upstream{Name: name, Service: "s", DataCentre: fmt.Sprint(i)})
		}
	}
	return &routing.View{Set: config.NewSet(o), Members: map[string]platform.Member{}}
}

func table(seed uint64) *routing.Table {
	return routing.NewTable(routing.Config{Node: "n", DataCentre: "0"}, rand.New(rand.NewPCG(seed, 4)))
}

// picks counts the upstreams of n picks, each followed by the evidence.
func picks(t *routing.Table, now time.Duration, v *routing.View, n int, evidence func(string) routing.AttemptOutcome) map[string]int {
	count := map[string]int{}
	for range n {
		name, ok := t.Pick(now, v, "s", nil)
		if !ok {
			count["none"]++
			continue
		}
		count[name]++
		t.RecordOutcome(now, name, evidence(name))
	}
	return count
}

func responded(string) routing.AttemptOutcome {
	return routing.AttemptOutcome{Kind: routing.Responded, InFlight: 1, Limit: 10}
}

// Guards against new work for data centres that are out, VMs that leave, and names tried before; and against a call
// that is refused although some candidate is left.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		v := fleet(rapid.IntRange(0, 6).Draw(t, "a"), rapid.IntRange(0, 6).Draw(t, "b"), rapid.IntRange(0, 6).Draw(t, "c"))
		v.Set.DataCentres[1].State = rapid.SampledFrom([]config.DataCentreState{config.DataCentreIn, config.DataCentreOut}).Draw(t, "state")
		allowed := map[string]bool{}
		for i, u := range v.Set.Upstreams {
			if rapid.IntRange(0, 4).Draw(t, "leaving") == 0 {
				v.Members[u.Name] = platform.Member{State: platform.MemberLeaving}
			}
			allowed[u.Name] = v.Set.InService(&v.Set.Upstreams[i]) && v.Members[u.Name].State != platform.MemberLeaving
		}
		tab, used := table(rapid.Uint64().Draw(t, "seed")), map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			now := time.Duration(i*rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			var tried []string
			for {
				name, ok := tab.Pick(now, v, "s", tried)
				if !ok {
					break
				}
				g.Expect(allowed[name]).To(BeTrue(), name)
				g.Expect(tried).NotTo(ContainElement(name))
				tried, used[name] = append(tried, name), true
				kinds := []routing.OutcomeKind{routing.Responded, routing.Overloaded, routing.ConnectionFailed, routing.Unresponsive, routing.Abandoned}
				tab.RecordOutcome(now, name, routing.AttemptOutcome{Kind: rapid.SampledFrom(kinds).Draw(t, "evidence")})
			}
			someAllowed := false
			for _, ok := range allowed {
				someAllowed = someAllowed || ok
			}
			g.Expect(len(tried) > 0).To(Equal(someAllowed))
		}
		g.Expect(len(used)).To(BeNumerically("<=", 8))
	})
}

// Guards against calls that leave the data centre without need, and that stay in one that is full or gone.
func TestOwnDataCentreFirst(t *testing.T) {
	g := NewWithT(t)
	v, tab := fleet(3, 3, 3), table(1)
	zone := func(count map[string]int) map[byte]int {
		zones := map[byte]int{}
		for name, n := range count {
			zones[name[0]] += n
		}
		return zones
	}
	g.Expect(zone(picks(tab, 0, v, 300, responded))).To(Equal(map[byte]int{'0': 300}))
	full := func(name string) routing.AttemptOutcome {
		e := responded(name)
		if name[0] == '0' {
			e.InFlight = 10
		}
		return e
	}
	g.Expect(zone(picks(tab, 0, v, 300, full))['1']).To(BeNumerically(">", 250), "spills over within the region first")
	gone := func(name string) routing.AttemptOutcome {
		if name[0] == '0' {
			return routing.AttemptOutcome{Kind: routing.ConnectionFailed}
		}
		return responded(name)
	}
	tab = table(1)
	g.Expect(zone(picks(tab, 0, v, 300, gone))['0']).To(Equal(3), "one failure each")
}

// Guards against ejection that escalates by one failure of many calls, that has no end, or that takes all.
func TestEjection(t *testing.T) {
	g := NewWithT(t)
	v, tab := fleet(4), table(1)
	refused := routing.AttemptOutcome{Kind: routing.ConnectionFailed}
	for range 50 {
		tab.RecordOutcome(0, "0-0", refused)
	}
	g.Expect(tab.Ejected(499*time.Millisecond, "0-0")).To(BeTrue())
	g.Expect(tab.Ejected(500*time.Millisecond, "0-0")).To(BeFalse(), "calls that failed together count once")
	now := 500 * time.Millisecond
	for _, length := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		tab.RecordOutcome(now, "0-0", refused)
		now += length * time.Second
		g.Expect(tab.Ejected(now-1, "0-0")).To(BeTrue())
		g.Expect(tab.Ejected(now, "0-0")).To(BeFalse())
	}
	for i := range 4 {
		tab.RecordOutcome(now+time.Duration(i), fmt.Sprintf("0-%d", i), refused)
	}
	count := picks(tab, now+4, v, 100, responded)
	g.Expect(count).To(And(HaveLen(2), HaveKey("0-1"), HaveKey("0-2")), "the half that is ejected for less time stays in")
}

// Guards against a surge onto an upstream that comes back or is cold, and against a herd that follows one report.
func TestSharesOfReturningColdAndLoaded(t *testing.T) {
	g := NewWithT(t)
	v, tab := fleet(4), table(1)
	tab.RecordOutcome(0, "0-0", routing.AttemptOutcome{Kind: routing.ConnectionFailed})
	shares := make([]int, 0, 4)
	for _, after := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 6 * time.Second} {
		shares = append(shares, picks(tab, 500*time.Millisecond+after, v, 4000, responded)["0-0"])
	}
	g.Expect(shares[0]).To(BeNumerically("<", 200), "a tenth of its share at first: %v", shares)
	g.Expect(shares[1]).To(And(BeNumerically(">", shares[0]), BeNumerically("<", shares[2])))
	g.Expect(shares[3]).To(BeNumerically("~", 1000, 150))

	cold := func(name string) routing.AttemptOutcome {
		e := responded(name)
		if name == "0-1" {
			e.State = wire.StateCold
		}
		return e
	}
	g.Expect(picks(tab, time.Minute, v, 4000, cold)["0-1"]).To(BeNumerically("<", 50))

	tab = table(2)
	count := map[string]int{}
	for range 40 {
		name, _ := tab.Pick(0, v, "s", nil)
		count[name]++
	}
	for name, n := range count {
		g.Expect(n).To(BeNumerically("~", 10, 3), "%s: calls without a response yet count", name)
	}
}

// Guards against garbage on the way of each call.
func TestAllocationsPerPick(t *testing.T) {
	g := NewWithT(t)
	v, tab := fleet(20, 20, 20), table(1)
	step := func() {
		name, _ := tab.Pick(0, v, "s", nil)
		tab.RecordOutcome(0, name, responded(name))
	}
	step()
	g.Expect(testing.AllocsPerRun(1000, step)).To(BeZero())
}

func BenchmarkPickObserve(b *testing.B) {
	v, tab := fleet(20, 20, 20), table(1)
	b.ReportAllocs()
	for b.Loop() {
		name, _ := tab.Pick(0, v, "s", nil)
		tab.RecordOutcome(0, name, responded(name))
	}
}
