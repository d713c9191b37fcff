package sources

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func newSelector(vm, dataCentre string) *Selector {
	return NewSelector(vm, dataCentre, NewBudget(DefaultChangeBound))
}

func newMembers(perDataCentre int) []Member {
	dataCentres := []string{"north", "south", "west"}
	members := make([]Member, 0, len(dataCentres)*perDataCentre)
	for _, dataCentre := range dataCentres {
		for i := range perDataCentre {
			members = append(members, Member{VM: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre, WideLink: true})
		}
	}
	return members
}

// sourceAfterRendezvous returns the source that a node selects after its first read, which is from the rendezvous VM.
func sourceAfterRendezvous(vm, dataCentre string, members []Member) string {
	s := newSelector(vm, dataCentre)
	s.Next(0, members, 0)
	return s.Next(0, members, 0)
}

// Nodes that each know only their own wide link would all read the store. They first read from one VM of their data
// centre, which tells them of the others.
func TestNodesFirstReadFromRendezvousVM(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(6)
	sources := map[string]int{}
	for _, m := range members[:6] {
		sources[newSelector(m.VM, m.DataCentre).Next(0, members, 0)]++
	}
	g.Expect(sources).To(HaveLen(2))
	g.Expect(sources).NotTo(HaveKey(Store))
}

// The number of readers must grow much more slowly than the number of nodes.
func TestFewNodesAreReaders(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Readers(newMembers(4), "north")).To(HaveLen(3))
	g.Expect(Readers(newMembers(24), "north")).To(HaveLen(3))
	g.Expect(Readers(newMembers(30), "north")).To(HaveLen(6))
	g.Expect(Readers(newMembers(100), "north")).To(HaveLen(15))
}

// Bytes between data centres are billed, so a node follows a reader of its own data centre.
func TestFollowerPrefersOwnDataCentre(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(4)
	readers := Readers(members, "south")
	g.Expect(readers[0].DataCentre).To(Equal("south"))
	for _, m := range members {
		source := sourceAfterRendezvous(m.VM, m.DataCentre, members)
		if source != Store {
			g.Expect(source).To(HavePrefix(m.DataCentre))
		}
	}
}

// A reader whose read of the store failed reads from a reader of another data centre until the backoff ends.
func TestFailureLeadsToAnotherSource(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(4)
	reader := Readers(members, "west")[0].VM
	s := newSelector(reader, "west")
	s.Next(0, members, 0)
	g.Expect(s.Next(0, members, 0)).To(Equal(Store))
	s.RecordFailure(0, Store)
	other := s.Next(0, members, 0)
	g.Expect(other).To(SatisfyAny(HavePrefix("north"), HavePrefix("south")))
	g.Expect(s.Next(failureBackoff, members, 0)).To(Equal(Store))
}

// A node that knows no other node reads the store, even if the store has just failed.
func TestNodeWithoutMembersReadsStore(t *testing.T) {
	g := NewWithT(t)
	s := newSelector("a", "north")
	s.RecordFailure(0, Store)
	g.Expect(s.Next(time.Millisecond, nil, 0)).To(Equal(Store))
}

// Whole values from the store fill links of 10 Mbit/s, so the followers of readers with such links fell behind. When
// most links were narrow, readers with narrow links followed each other and no node read the store.
func TestReadersWithNarrowLinksFollowOneWithWideLink(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(30)
	for i := range members {
		members[i].WideLink = members[i].VM == "north-7"
	}
	g.Expect(sourceAfterRendezvous("north-7", "north", members)).To(Equal(Store))
	for _, m := range members {
		source := m.VM
		for steps := 0; source != Store; steps++ {
			g.Expect(steps).To(BeNumerically("<=", 2))
			dataCentre := members[0].DataCentre
			for _, other := range members {
				if other.VM == source {
					dataCentre = other.DataCentre
				}
			}
			next := sourceAfterRendezvous(source, dataCentre, members)
			if next == Store && source != "north-7" {
				// Other readers in the data centre of the wide link have no other reader to follow and read the store.
				g.Expect(dataCentre).To(Equal("north"))
			}
			source = next
		}
	}
}

// Readers that have lost the store answer immediately, so a node fails with many of them in a short time. It must reach
// the store before it tries the first of them again.
func TestManyStaleReadersDoNotHideStore(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(30)
	s := newSelector("north-1", "north")
	asked := map[string]bool{}
	for now := time.Duration(0); now < failureBackoff; now += failureBackoff / 8 {
		source := s.Next(now, members, 0)
		asked[source] = true
		s.RecordFailure(now, source)
	}
	g.Expect(asked).To(HaveKey(Store))
}

// When a whole data centre lost the store while no link was known to be wide, its nodes tried no readers of other data
// centres, and kept serving with an old view until the store was reachable again.
func TestRemoteReadersWithNarrowLinksAreTried(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(4)
	for i := range members {
		members[i].WideLink = false
	}
	for _, m := range members[:4] {
		s := newSelector(m.VM, m.DataCentre)
		s.Next(0, members, 0)
		for range 3 {
			source := s.Next(0, members, 0)
			if !strings.HasPrefix(source, "north") && source != Store {
				break
			}
			s.RecordFailure(0, source)
		}
		g.Expect(s.Next(0, members, 0)).To(SatisfyAny(HavePrefix("south"), HavePrefix("west")), m.VM)
	}
}

// A node tried only the same two remote readers for 5 s, while both had lost the store like the node itself.
func TestAllRemoteReadersAreTriedSoon(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(60)
	working := Readers(members, "south")[1].VM
	s := newSelector("south-40", "south")
	s.Next(0, members, 0)
	const step = 100 * time.Millisecond
	now := time.Duration(0)
	for source := ""; source != working; now += step {
		g.Expect(now).To(BeNumerically("<", 2*time.Second))
		if source = s.Next(now, members, 0); source != working {
			s.RecordFailure(now, source)
		}
	}
}

// When each reader of a data centre read the store, the calls to the store grew with the number of nodes. Only the
// first reader has to read the store; the others share the followers and replace the first one if it fails.
func TestOneReaderOfEachDataCentreReadsStore(t *testing.T) {
	for _, perDataCentre := range []int{4, 30, 100} {
		g := NewWithT(t)
		members := newMembers(perDataCentre)
		sources := map[string]int{}
		for _, m := range members {
			sources[sourceAfterRendezvous(m.VM, m.DataCentre, members)]++
		}
		g.Expect(sources[Store]).To(Equal(3), "%d VMs in each data centre", perDataCentre)
		for name, followers := range sources {
			if name != Store {
				g.Expect(followers).To(BeNumerically("<=", 2*membersPerReader))
			}
		}
	}
}

// If the first reader of a data centre fails, the next one reads the store and the followers stay in the data centre.
func TestNextReaderReplacesFailedOne(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(30)
	readers := Readers(members, "north")[:2]
	next := newSelector(readers[1].VM, "north")
	next.Next(0, members, 0)
	g.Expect(next.Next(0, members, 0)).To(Equal(readers[0].VM))
	next.RecordFailure(0, readers[0].VM)
	g.Expect(next.Next(time.Millisecond, members, 0)).To(Equal(Store))
	follower := newSelector("north-20", "north")
	follower.Next(0, members, 0)
	follower.RecordFailure(0, readers[0].VM)
	g.Expect(follower.Next(time.Millisecond, members, 0)).To(Equal(readers[1].VM))
}
