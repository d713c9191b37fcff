package distribution_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
)

func listOf(count int) []platform.Member {
	list := make([]platform.Member, 0, count)
	for i := range count {
		list = append(list, platform.Member{
			VM: fmt.Sprintf("vm-%03d", i), DataCentre: dataCentres[i%len(dataCentres)],
			ControlAddress: fmt.Sprintf("vm-%03d:7003", i),
		})
	}
	return list
}

func planOf(m platform.Member, list []platform.Member, dead func(string) bool) distribution.PollPlan {
	self := distribution.Node{VM: m.VM, DataCentre: m.DataCentre, Address: m.ControlAddress}
	return distribution.NewRanking(self, list).PollPlan(dead)
}

func nobody(string) bool { return false }

// With one view of the list each node has at most 4 children of either kind, and each data centre two readers.
func TestTheTreeIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := listOf(rapid.IntRange(1, 480).Draw(t, "nodes"))
		primary, secondary, depth, readers := map[string]int{}, map[string]int{}, map[string]int{}, 0
		parent := map[string]string{}
		for _, m := range list {
			p := planOf(m, list, nobody)
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
		g.Expect(readers).To(Equal(min(len(list), 2*len(dataCentres), readersOf(len(list)))))
		for address := range parent {
			steps := 1
			for at := address; parent[at] != ""; at = parent[at] {
				steps++
			}
			g.Expect(steps).To(BeNumerically("<=", 4))
		}
	})
}

func readersOf(count int) int {
	sum := 0
	for i := range dataCentres {
		sum += min(distribution.ReadersPerDataCentre, (count+len(dataCentres)-1-i)/len(dataCentres))
	}
	return sum
}

// Nodes that know different parts of the list, and believe different nodes dead, never form a cycle of parents.
func TestViewsThatDifferFormNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		list := listOf(rapid.IntRange(4, 80).Draw(t, "nodes"))
		parents := map[string][]string{}
		for _, m := range list {
			seen := rapid.Uint64().Draw(t, "seen")
			var view []platform.Member
			for i, other := range list {
				if seen>>(i%64)&1 == 1 {
					view = append(view, other)
				}
			}
			gone := rapid.IntRange(0, len(list)).Draw(t, "dead")
			dead := func(address string) bool { return gone < len(list) && address == list[gone].ControlAddress }
			p := planOf(m, view, dead)
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

// When both readers are known to be dead, the next ranks read the source.
func TestTheNextRanksBecomeReaders(t *testing.T) {
	g := NewWithT(t)
	list := listOf(40)
	var first []string
	for _, m := range list {
		if p := planOf(m, list, nobody); p.IsReader && m.DataCentre == dataCentres[0] {
			first = append(first, m.ControlAddress)
		}
	}
	g.Expect(first).To(HaveLen(2))
	dead := func(address string) bool { return address == first[0] || address == first[1] }
	readers := 0
	for _, m := range list {
		if m.DataCentre == dataCentres[0] && !dead(m.ControlAddress) && planOf(m, list, dead).IsReader {
			readers++
		}
	}
	g.Expect(readers).To(Equal(2))
}
