package allowance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var vms = []string{"a", "b", "c", "d", "e", "f"}

// Some VMs are cut off from the store and from the others, whose list then names another holder: both would grant
// the whole rate.
func TestAHolderThatIsCutOffWithAFewOthersGrantsLess(t *testing.T) {
	g := NewWithT(t)
	s := NewStanding()
	now := time.Minute
	s.Asked(now, "b", false)
	g.Expect(s.Whole(now, LapseTime-1, "a", vms)).To(BeTrue())
	g.Expect(s.Whole(now, LapseTime, "a", vms)).To(BeFalse())
}

// The store turns the holder away and serves the others, who still ask it.
func TestAHolderThatOnlyTheStoreTurnsAwayGrantsAll(t *testing.T) {
	g := NewWithT(t)
	s := NewStanding()
	s.Asked(time.Minute, "b", true)
	g.Expect(s.Whole(time.Minute+standingTime-1, time.Hour, "a", vms)).To(BeTrue())
	g.Expect(s.Whole(time.Minute+standingTime, time.Hour, "a", vms)).To(BeFalse())
}

// The store is away from all VMs for a long time.
func TestHoldersGrantAllWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	s := NewStanding()
	for _, vm := range []string{"b", "c", "d"} {
		s.Asked(time.Minute, vm, false)
	}
	g.Expect(s.Whole(time.Minute, time.Hour, "a", vms)).To(BeTrue())
}

// Nodes that are cut off together vouched for their holder for 7 s, while the list of the rest drops it after 4.5 s.
func TestNodesThatAreCutOffTogetherVouchForAShortTime(t *testing.T) {
	g := NewWithT(t)
	s := NewStanding()
	const cut = time.Minute
	for now := cut; now < cut+5*time.Second; now += 100 * time.Millisecond {
		s.Asked(now, "b", InTouch(now-cut))
		if s.Whole(now, now-cut, "a", vms) {
			g.Expect(now - cut).To(BeNumerically("<", 4500*time.Millisecond))
		}
	}
	g.Expect(s.Whole(cut+4500*time.Millisecond, 4500*time.Millisecond, "a", vms)).To(BeFalse())
}
