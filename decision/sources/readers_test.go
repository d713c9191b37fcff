package sources

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func fleet(perPlace int) []Member {
	places := []string{"north", "south", "west"}
	members := make([]Member, 0, len(places)*perPlace)
	for _, place := range places {
		for i := range perPlace {
			members = append(members, Member{VM: fmt.Sprintf("%s-%d", place, i), DataCentre: place, WideLink: true})
		}
	}
	return members
}

// follow returns the source of a node once it has been at the rendezvous node.
func follow(vm, dataCentre string, members []Member) string {
	s := NewSelector(vm, dataCentre)
	s.Next(0, members)
	return s.Next(0, members)
}

// Nodes that each know only their own wide link would all read the store; they meet at one VM of their data centre.
func TestReadersMeet(t *testing.T) {
	g := NewWithT(t)
	members := fleet(6)
	met := map[string]int{}
	for _, m := range members[:6] {
		met[NewSelector(m.VM, m.DataCentre).Next(0, members)]++
	}
	g.Expect(met).To(HaveLen(2))
	g.Expect(met).NotTo(HaveKey(Store))
}

// The calls to the store must not grow with the fleet as the nodes do.
func TestFewNodesReadTheStore(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Readers(fleet(4), "north")).To(HaveLen(3))
	g.Expect(Readers(fleet(24), "north")).To(HaveLen(3))
	g.Expect(Readers(fleet(30), "north")).To(HaveLen(6))
	g.Expect(Readers(fleet(100), "north")).To(HaveLen(15))
}

// Bytes between data centres are billed, so a node follows a reader of its own.
func TestAFollowerPrefersItsOwnDataCentre(t *testing.T) {
	g := NewWithT(t)
	members := fleet(4)
	readers := Readers(members, "south")
	g.Expect(readers[0].DataCentre).To(Equal("south"))
	for _, m := range members {
		source := follow(m.VM, m.DataCentre, members)
		if source != Store {
			g.Expect(source).To(HavePrefix(m.DataCentre))
		}
	}
}

// A reader that the store turns away, and a follower of a reader that fails, learn from another reader.
func TestFailuresLeadToAnotherSource(t *testing.T) {
	g := NewWithT(t)
	members := fleet(4)
	reader := Readers(members, "west")[0].VM
	s := NewSelector(reader, "west")
	s.Next(0, members)
	g.Expect(s.Next(0, members)).To(Equal(Store))
	s.RecordFailure(0, Store)
	other := s.Next(0, members)
	g.Expect(other).To(SatisfyAny(HavePrefix("north"), HavePrefix("south")))
	g.Expect(s.Next(suspension, members)).To(Equal(Store))
}

// A node that knows no other asks the store itself, also when the store just failed.
func TestANodeWithoutMembersAsksTheStore(t *testing.T) {
	g := NewWithT(t)
	s := NewSelector("a", "north")
	s.RecordFailure(0, Store)
	g.Expect(s.Next(time.Millisecond, nil)).To(Equal(Store))
}

// Whole values from the store filled links of 10 Mbit/s, and the followers of those readers fell behind. With most links
// narrow, narrow readers followed each other and nobody read the store.
func TestNarrowReadersPassOnWhatAWideOneReads(t *testing.T) {
	g := NewWithT(t)
	members := fleet(30)
	for i := range members {
		members[i].WideLink = members[i].VM == "north-7"
	}
	g.Expect(follow("north-7", "north", members)).To(Equal(Store))
	for _, m := range members {
		source := m.VM
		for steps := 0; source != Store; steps++ {
			g.Expect(steps).To(BeNumerically("<=", 2))
			place := members[0].DataCentre
			for _, other := range members {
				if other.VM == source {
					place = other.DataCentre
				}
			}
			next := follow(source, place, members)
			if next == Store && source != "north-7" {
				// Readers beside the wide one in its own data centre have no other to follow.
				g.Expect(place).To(Equal("north"))
			}
			source = next
		}
	}
}

// Readers that are out of date answer at once. A node must reach the store before the first of them is tried again.
func TestManyStaleReadersDoNotHideTheStore(t *testing.T) {
	g := NewWithT(t)
	members := fleet(30)
	s := NewSelector("north-1", "north")
	asked := map[string]bool{}
	for now := time.Duration(0); now < suspension; now += suspension / 8 {
		source := s.Next(now, members)
		asked[source] = true
		s.RecordFailure(now, source)
	}
	g.Expect(asked).To(HaveKey(Store))
}

// Whole data centres lost the store together: their nodes knew no reader elsewhere while no link was known to be wide,
// and served on an old view for as long as they were cut off.
func TestReadersElsewhereAreTriedBeforeGivingUp(t *testing.T) {
	g := NewWithT(t)
	members := fleet(4)
	for i := range members {
		members[i].WideLink = false
	}
	for _, m := range members[:4] {
		s := NewSelector(m.VM, m.DataCentre)
		s.Next(0, members)
		for range 3 {
			source := s.Next(0, members)
			if !strings.HasPrefix(source, "north") && source != Store {
				break
			}
			s.RecordFailure(0, source)
		}
		g.Expect(s.Next(0, members)).To(SatisfyAny(HavePrefix("south"), HavePrefix("west")), m.VM)
	}
}

// A node stayed with the same two readers of other data centres for 5 s while both were cut off like itself.
func TestAllReadersElsewhereAreTriedSoon(t *testing.T) {
	g := NewWithT(t)
	members := fleet(60)
	alive := Readers(members, "south")[1].VM
	s := NewSelector("south-40", "south")
	s.Next(0, members)
	const step = 100 * time.Millisecond
	now := time.Duration(0)
	for source := ""; source != alive; now += step {
		g.Expect(now).To(BeNumerically("<", 2*time.Second))
		if source = s.Next(now, members); source != alive {
			s.RecordFailure(now, source)
		}
	}
}

// Each reader of a data centre asked the store, so the calls grew with the fleet; the further ones only have to share the
// followers, and to take over.
func TestOneReaderOfADataCentreReadsTheStore(t *testing.T) {
	for _, perPlace := range []int{4, 30, 100} {
		g := NewWithT(t)
		members := fleet(perPlace)
		sources := map[string]int{}
		for _, m := range members {
			sources[follow(m.VM, m.DataCentre, members)]++
		}
		g.Expect(sources[Store]).To(Equal(3), "%d VMs in each data centre", perPlace)
		for name, followers := range sources {
			if name != Store {
				g.Expect(followers).To(BeNumerically("<=", 2*membersPerReader))
			}
		}
	}
}

// The first reader of a data centre fails: the next one reads the store, and its followers stay in the data centre.
func TestTheNextReaderTakesOver(t *testing.T) {
	g := NewWithT(t)
	members := fleet(30)
	readers := Readers(members, "north")[:2]
	next := NewSelector(readers[1].VM, "north")
	next.Next(0, members)
	g.Expect(next.Next(0, members)).To(Equal(readers[0].VM))
	next.RecordFailure(0, readers[0].VM)
	g.Expect(next.Next(time.Millisecond, members)).To(Equal(Store))
	follower := NewSelector("north-20", "north")
	follower.Next(0, members)
	follower.RecordFailure(0, readers[0].VM)
	g.Expect(follower.Next(time.Millisecond, members)).To(Equal(readers[1].VM))
}
