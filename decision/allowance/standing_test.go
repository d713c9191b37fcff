package allowance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var contact = Contact{Heartbeat: 1500 * time.Millisecond}

// lapse is the age of a contact from which a holder may have been replaced, and standing how long a question counts.
var lapse, standing = contact.beats(lapseBeats), contact.beats(standingBeats)

var vms = []string{"a", "b", "c", "d", "e", "f"}

// Some VMs are cut off from the store and from the others, whose list then names another holder: both would grant
// the whole rate.
func TestAHolderThatIsCutOffWithAFewOthersGrantsLess(t *testing.T) {
	g := NewWithT(t)
	s := NewStanding(contact)
	now := time.Minute
	s.Asked(now, "b", false)
	g.Expect(s.Whole(now, lapse-1, "a", vms)).To(BeTrue())
	g.Expect(s.Whole(now, lapse, "a", vms)).To(BeFalse())
}

// The store turns the holder away and serves the others, who still ask it.
func TestAHolderThatOnlyTheStoreTurnsAwayGrantsAll(t *testing.T) {
	g := NewWithT(t)
	s := NewStanding(contact)
	s.Asked(time.Minute, "b", true)
	g.Expect(s.Whole(time.Minute+standing-1, time.Hour, "a", vms)).To(BeTrue())
	g.Expect(s.Whole(time.Minute+standing, time.Hour, "a", vms)).To(BeFalse())
}

// The store is away from all VMs for a long time.
func TestHoldersGrantAllWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	s := NewStanding(contact)
	for _, vm := range []string{"b", "c", "d"} {
		s.Asked(time.Minute, vm, false)
	}
	g.Expect(s.Whole(time.Minute, time.Hour, "a", vms)).To(BeTrue())
}

// Nodes that are cut off together vouched for their holder for 7 s, while the list of the rest drops it after three
// heartbeats. With heartbeats of 0.87 s fixed times let both holders grant the whole rate for 2 s.
func TestNodesThatAreCutOffTogetherVouchForAShortTime(t *testing.T) {
	for _, beat := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(beat.String(), func(t *testing.T) {
			g := NewWithT(t)
			c := Contact{Heartbeat: beat}
			s := NewStanding(c)
			const cut = time.Minute
			for now := cut; now < cut+5*beat; now += 10 * time.Millisecond {
				s.Asked(now, "b", c.InTouch(now-cut))
				if s.Whole(now, now-cut, "a", vms) {
					g.Expect(now - cut).To(BeNumerically("<", 3*beat))
				}
			}
			g.Expect(s.Whole(cut+3*beat, 3*beat, "a", vms)).To(BeFalse())
		})
	}
}

// The upstream beside a holder leaves the list while its node still answers those whose list is old.
func TestAQuestionFromAnOldListGoesToTheHolder(t *testing.T) {
	g := NewWithT(t)
	ranked := Holders("red", vms)
	q := Asked{Team: "red"}
	g.Expect(contact.Referral(q, ranked[0], vms, 0)).To(BeEmpty())
	g.Expect(contact.Referral(q, ranked[0], ranked[1:], 0)).To(Equal(ranked[1]))
	// A substitute answers for a holder that runs no node.
	g.Expect(contact.Referral(Asked{Team: "red", Refused: ranked[:1]}, ranked[1], vms, 0)).To(BeEmpty())
	// Lists of the same age are not corrected, and neither is one by a node that has lost the store.
	g.Expect(contact.Referral(Asked{Team: "red", InTouch: true}, ranked[0], ranked[1:], 0)).To(BeEmpty())
	g.Expect(contact.Referral(q, ranked[0], ranked[1:], time.Minute)).To(BeEmpty())
}
