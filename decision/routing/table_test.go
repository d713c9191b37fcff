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

// newView returns a view of a service with the given number of upstreams in each of the data centres "0", "1" and so
// on. The last data centre is in another region.
func newView(perDataCentre ...int) *routing.View {
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

func newTable(seed uint64) *routing.Table {
	return routing.NewTable(routing.Config{Node: "n", DataCentre: "0"}, rand.New(rand.NewPCG(seed, 4)))
}

// countPicks returns how often n picks chose each upstream. Each pick is followed by recording the given outcome.
func countPicks(t *routing.Table, now time.Duration, v *routing.View, n int, outcome func(string) routing.AttemptOutcome) map[string]int {
	count := map[string]int{}
	for range n {
		name, ok := t.Pick(now, v, "s", nil)
		if !ok {
			count["none"]++
			continue
		}
		count[name]++
		t.RecordOutcome(now, name, outcome(name))
	}
	return count
}

func responded(string) routing.AttemptOutcome {
	return routing.AttemptOutcome{Kind: routing.Responded, InFlight: 1, Limit: 10}
}

// Pick never returns an upstream of a data centre that is out of service, one whose VM is leaving or one that was tried
// before for the call, and it always returns one as long as another is left.
func TestPickInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		v := newView(rapid.IntRange(0, 6).Draw(t, "a"), rapid.IntRange(0, 6).Draw(t, "b"), rapid.IntRange(0, 6).Draw(t, "c"))
		v.Set.DataCentres[1].State = rapid.SampledFrom([]config.DataCentreState{config.DataCentreIn, config.DataCentreOut}).Draw(t, "state")
		allowed := map[string]bool{}
		for i, u := range v.Set.Upstreams {
			if rapid.IntRange(0, 4).Draw(t, "leaving") == 0 {
				v.Members[u.Name] = platform.Member{State: platform.MemberLeaving}
			}
			allowed[u.Name] = v.Set.InService(&v.Set.Upstreams[i]) && v.Members[u.Name].State != platform.MemberLeaving
		}
		table, used := newTable(rapid.Uint64().Draw(t, "seed")), map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "calls") {
			now := time.Duration(i*rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			var tried []string
			for {
				name, ok := table.Pick(now, v, "s", tried)
				if !ok {
					break
				}
				g.Expect(allowed[name]).To(BeTrue(), name)
				g.Expect(tried).NotTo(ContainElement(name))
				tried, used[name] = append(tried, name), true
				kinds := []routing.OutcomeKind{routing.Responded, routing.Overloaded, routing.ConnectionFailed, routing.Unresponsive, routing.Abandoned}
				table.RecordOutcome(now, name, routing.AttemptOutcome{Kind: rapid.SampledFrom(kinds).Draw(t, "outcome")})
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

// Calls stay in the own data centre while it has free capacity, and leave it when it is full or has failed.
func TestOwnDataCentreIsPreferred(t *testing.T) {
	g := NewWithT(t)
	v, table := newView(3, 3, 3), newTable(1)
	byDataCentre := func(count map[string]int) map[byte]int {
		counts := map[byte]int{}
		for name, n := range count {
			counts[name[0]] += n
		}
		return counts
	}
	g.Expect(byDataCentre(countPicks(table, 0, v, 300, responded))).To(Equal(map[byte]int{'0': 300}))
	full := func(name string) routing.AttemptOutcome {
		e := responded(name)
		if name[0] == '0' {
			e.InFlight = 10
		}
		return e
	}
	g.Expect(byDataCentre(countPicks(table, 0, v, 300, full))['1']).To(BeNumerically(">", 250), "calls go to the own region first")
	failed := func(name string) routing.AttemptOutcome {
		if name[0] == '0' {
			return routing.AttemptOutcome{Kind: routing.ConnectionFailed}
		}
		return responded(name)
	}
	table = newTable(1)
	g.Expect(byDataCentre(countPicks(table, 0, v, 300, failed))['0']).To(Equal(3), "one failed attempt at each of the three upstreams")
}

// Simultaneous failures count as one, the time of an ejection doubles up to its maximum, and at most half of the
// candidates are left out.
func TestEjection(t *testing.T) {
	g := NewWithT(t)
	v, table := newView(4), newTable(1)
	refused := routing.AttemptOutcome{Kind: routing.ConnectionFailed}
	for range 50 {
		table.RecordOutcome(0, "0-0", refused)
	}
	g.Expect(table.Ejected(499*time.Millisecond, "0-0")).To(BeTrue())
	g.Expect(table.Ejected(500*time.Millisecond, "0-0")).To(BeFalse(), "simultaneous failures count once")
	now := 500 * time.Millisecond
	for _, length := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		table.RecordOutcome(now, "0-0", refused)
		now += length * time.Second
		g.Expect(table.Ejected(now-1, "0-0")).To(BeTrue())
		g.Expect(table.Ejected(now, "0-0")).To(BeFalse())
	}
	for i := range 4 {
		table.RecordOutcome(now+time.Duration(i), fmt.Sprintf("0-%d", i), refused)
	}
	count := countPicks(table, now+4, v, 100, responded)
	g.Expect(count).To(And(HaveLen(2), HaveKey("0-1"), HaveKey("0-2")), "the half whose ejection ends first is still used")
}

// An upstream gets fewer calls after an ejection and while it is cold, and outstanding attempts count as load, so that
// calls do not all go to the upstream with the lowest reported load.
func TestReadmittedAndColdUpstreamsGetFewerCalls(t *testing.T) {
	g := NewWithT(t)
	v, table := newView(4), newTable(1)
	table.RecordOutcome(0, "0-0", routing.AttemptOutcome{Kind: routing.ConnectionFailed})
	shares := make([]int, 0, 4)
	for _, after := range []time.Duration{0, 2 * time.Second, 4 * time.Second, 6 * time.Second} {
		shares = append(shares, countPicks(table, 500*time.Millisecond+after, v, 4000, responded)["0-0"])
	}
	g.Expect(shares[0]).To(BeNumerically("<", 200), "at first a tenth of its full share: %v", shares)
	g.Expect(shares[1]).To(And(BeNumerically(">", shares[0]), BeNumerically("<", shares[2])))
	g.Expect(shares[3]).To(BeNumerically("~", 1000, 150))

	cold := func(name string) routing.AttemptOutcome {
		e := responded(name)
		if name == "0-1" {
			e.State = wire.StateCold
		}
		return e
	}
	g.Expect(countPicks(table, time.Minute, v, 4000, cold)["0-1"]).To(BeNumerically("<", 50))

	table = newTable(2)
	count := map[string]int{}
	for range 40 {
		name, _ := table.Pick(0, v, "s", nil)
		count[name]++
	}
	for name, n := range count {
		g.Expect(n).To(BeNumerically("~", 10, 3), "%s: outstanding attempts count as load", name)
	}
}

// Pick and RecordOutcome run for each call and must not allocate, to spare the garbage collector.
func TestAllocationsPerPick(t *testing.T) {
	g := NewWithT(t)
	v, table := newView(20, 20, 20), newTable(1)
	step := func() {
		name, _ := table.Pick(0, v, "s", nil)
		table.RecordOutcome(0, name, responded(name))
	}
	step()
	g.Expect(testing.AllocsPerRun(1000, step)).To(BeZero())
}

func BenchmarkPickAndRecordOutcome(b *testing.B) {
	v, table := newView(20, 20, 20), newTable(1)
	b.ReportAllocs()
	for b.Loop() {
		name, _ := table.Pick(0, v, "s", nil)
		table.RecordOutcome(0, name, responded(name))
	}
}
