package distribution_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
)

func memberList(count int) []platform.Member {
	list := make([]platform.Member, 0, count)
	for i := range count {
		list = append(list, platform.Member{
			VM: fmt.Sprintf("vm-%03d", i), DataCentre: dataCentres[i%len(dataCentres)],
			ControlAddress: fmt.Sprintf("vm-%03d:7003", i),
		})
	}
	return list
}

func pollPlanOf(m platform.Member, list []platform.Member, isFailing func(string) bool) distribution.PollPlan {
	self := distribution.Node{VM: m.VM, DataCentre: m.DataCentre, Address: m.ControlAddress}
	return distribution.NewRanking(self, list).PollPlan(isFailing)
}

func noneFailing(string) bool { return false }

// Guards against a tree that is too wide or too deep: if all nodes have the same member list, each node must have at
// most Fanout primary and Fanout secondary children, and each data centre two readers.
func TestTreeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := memberList(rapid.IntRange(1, 480).Draw(t, "nodes"))
		primary, secondary, depth, readers := map[string]int{}, map[string]int{}, map[string]int{}, 0
		parent := map[string]string{}
		for _, m := range list {
			p := pollPlanOf(m, list, noneFailing)
			if p.IsReader {
				readers++
				depth[m.ControlAddress] = 1
				continue
			}
			primary[p.PrimaryParent]++
			secondary[p.SecondaryParent]++
			parent[m.ControlAddress] = p.PrimaryParent
			g.Expect(p.PrimaryParent).NotTo(Equal(p.SecondaryParent))
		}
		for _, count := range primary {
			g.Expect(count).To(BeNumerically("<=", distribution.Fanout))
		}
		for _, count := range secondary {
			g.Expect(count).To(BeNumerically("<=", distribution.Fanout))
		}
		g.Expect(readers).To(Equal(min(len(list), 2*len(dataCentres), expectedReaders(len(list)))))
		for address := range parent {
			steps := 1
			for at := address; parent[at] != ""; at = parent[at] {
				steps++
			}
			g.Expect(steps).To(BeNumerically("<=", 4))
		}
	})
}

func expectedReaders(count int) int {
	sum := 0
	for i := range dataCentres {
		sum += min(distribution.ReadersPerDataCentre, (count+len(dataCentres)-1-i)/len(dataCentres))
	}
	return sum
}

// Guards against a cycle of parents between nodes that know different parts of the member list and regard different
// nodes as failing.
func TestDifferentViewsFormNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := memberList(rapid.IntRange(4, 80).Draw(t, "nodes"))
		parents := map[string][]string{}
		for _, m := range list {
			seen := rapid.Uint64().Draw(t, "seen")
			var view []platform.Member
			for i, other := range list {
				if seen>>(i%64)&1 == 1 {
					view = append(view, other)
				}
			}
			failing := rapid.IntRange(0, len(list)).Draw(t, "failing")
			isFailing := func(address string) bool { return failing < len(list) && address == list[failing].ControlAddress }
			p := pollPlanOf(m, view, isFailing)
			parents[m.ControlAddress] = append(parents[m.ControlAddress], p.PrimaryParent, p.SecondaryParent)
		}
		state := map[string]int{}
		var visit func(string)
		visit = func(a string) {
			g.Expect(state[a]).NotTo(Equal(1), "cycle at %s", a)
			if state[a] == 2 || a == "" {
				return
			}
			state[a] = 1
			for _, parent := range parents[a] {
				visit(parent)
			}
			state[a] = 2
		}
		for _, m := range list {
			visit(m.ControlAddress)
		}
	})
}

// Guards against a data centre without readers: when both readers are failing, the nodes of the next two ranks must
// read the source.
func TestNextRanksReplaceFailingReaders(t *testing.T) {
	g := NewWithT(t)
	list := memberList(40)
	var first []string
	for _, m := range list {
		if p := pollPlanOf(m, list, noneFailing); p.IsReader && m.DataCentre == dataCentres[0] {
			first = append(first, m.ControlAddress)
		}
	}
	g.Expect(first).To(HaveLen(2))
	isFailing := func(address string) bool { return address == first[0] || address == first[1] }
	readers := 0
	for _, m := range list {
		if m.DataCentre == dataCentres[0] && !isFailing(m.ControlAddress) && pollPlanOf(m, list, isFailing).IsReader {
			readers++
		}
	}
	g.Expect(readers).To(Equal(2))
}
