package feeding

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func fleet(perPlace int) []Member {
	var members []Member
	for _, place := range []string{"north", "south", "west"} {
		for i := range perPlace {
			members = append(members, Member{VM: fmt.Sprintf("%s-%d", place, i), DataCentre: place})
		}
	}
	return members
}

// The calls to the store must not grow with the fleet as the nodes do.
func TestFewNodesReadTheStore(t *testing.T) {
	g := NewWithT(t)
	g.Expect(Readers(fleet(4), "north")).To(HaveLen(3))
	g.Expect(Readers(fleet(30), "north")).To(HaveLen(6))
	g.Expect(Readers(fleet(100), "north")).To(HaveLen(21))
}

// Bytes between data centres are billed, so a node follows a reader of its own.
func TestAFollowerPrefersItsOwnDataCentre(t *testing.T) {
	g := NewWithT(t)
	members := fleet(4)
	readers := Readers(members, "south")
	g.Expect(readers[0]).To(HavePrefix("south"))
	for _, m := range members {
		source := NewSources(m.VM, m.DataCentre, false).Next(0, members)
		if source != Store {
			g.Expect(source).To(HavePrefix(m.DataCentre))
		}
	}
}

// A reader that the store turns away, and a follower of a reader that fails, learn from another reader.
func TestFailuresLeadToAnotherSource(t *testing.T) {
	g := NewWithT(t)
	members := fleet(4)
	reader := Readers(members, "west")[0]
	s := NewSources(reader, "west", false)
	g.Expect(s.Next(0, members)).To(Equal(Store))
	s.Failed(0, Store)
	other := s.Next(0, members)
	g.Expect(other).To(SatisfyAny(HavePrefix("north"), HavePrefix("south")))
	g.Expect(s.Next(suspension, members)).To(Equal(Store))
}

// A node that knows no other asks the store itself, also when the store just failed.
func TestANodeWithoutMembersAsksTheStore(t *testing.T) {
	g := NewWithT(t)
	s := NewSources("a", "north", false)
	s.Failed(0, Store)
	g.Expect(s.Next(time.Millisecond, nil)).To(Equal(Store))
}

// Whole values from the store filled a link of 10 Mbit/s, and the followers of that reader fell behind.
func TestANodeWithANarrowLinkFollowsOthers(t *testing.T) {
	g := NewWithT(t)
	members := fleet(4)
	reader := Readers(members, "west")[0]
	g.Expect(NewSources(reader, "west", true).Next(0, members)).NotTo(Equal(Store))
}
