package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var contact = StoreContactPolicy{Heartbeat: 1500 * time.Millisecond}

// lapse is the age of a contact from which a holder may have been replaced, and standing how long a question counts.
var lapse, standing = contact.beats(lapseBeats), contact.beats(standingBeats)

var vms = []string{"a", "b", "c", "d", "e", "f"}

// Some VMs are cut off from the store and from the others, whose list then names another holder: both would grant
// the whole rate.
func TestAHolderThatIsCutOffWithAFewOthersGrantsLess(t *testing.T) {
	g := NewWithT(t)
	s := NewHolderConfirmation(contact)
	now := time.Minute
	s.RecordRequest(now, "b", false)
	g.Expect(s.MayGrantFullRate(now, lapse-1, "a", vms)).To(BeTrue())
	g.Expect(s.MayGrantFullRate(now, lapse, "a", vms)).To(BeFalse())
}

// The store turns the holder away and serves the others, who still ask it.
func TestAHolderThatOnlyTheStoreTurnsAwayGrantsAll(t *testing.T) {
	g := NewWithT(t)
	s := NewHolderConfirmation(contact)
	s.RecordRequest(time.Minute, "b", true)
	g.Expect(s.MayGrantFullRate(time.Minute+standing-1, time.Hour, "a", vms)).To(BeTrue())
	g.Expect(s.MayGrantFullRate(time.Minute+standing, time.Hour, "a", vms)).To(BeFalse())
}

// The store is away from all VMs for a long time.
func TestHoldersGrantAllWhileTheStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	s := NewHolderConfirmation(contact)
	for _, vm := range []string{"b", "c", "d"} {
		s.RecordRequest(time.Minute, vm, false)
	}
	g.Expect(s.MayGrantFullRate(time.Minute, time.Hour, "a", vms)).To(BeTrue())
}

// Nodes that are cut off together confirmed their holder for 7 s, while the list of the rest drops it after three
// heartbeats. With heartbeats of 0.87 s fixed times let both holders grant the whole rate for 2 s.
func TestNodesThatAreCutOffTogetherConfirmTheirHolderForAShortTime(t *testing.T) {
	for _, beat := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(beat.String(), func(t *testing.T) {
			g := NewWithT(t)
			c := StoreContactPolicy{Heartbeat: beat}
			s := NewHolderConfirmation(c)
			const cut = time.Minute
			for now := cut; now < cut+5*beat; now += 10 * time.Millisecond {
				s.RecordRequest(now, "b", c.Connected(now-cut))
				if s.MayGrantFullRate(now, now-cut, "a", vms) {
					g.Expect(now - cut).To(BeNumerically("<", 3*beat))
				}
			}
			g.Expect(s.MayGrantFullRate(cut+3*beat, 3*beat, "a", vms)).To(BeFalse())
		})
	}
}

// The upstream beside a holder leaves the list while its node still answers those whose list is old.
func TestAQuestionFromAnOldListGoesToTheHolder(t *testing.T) {
	g := NewWithT(t)
	ranked := RankedHolders("red", vms)
	q := TokenRequest{Team: "red"}
	g.Expect(contact.Referral(q, ranked[0], vms, 0)).To(BeEmpty())
	g.Expect(contact.Referral(q, ranked[0], ranked[1:], 0)).To(Equal(ranked[1]))
	// A substitute answers for a holder that runs no node.
	g.Expect(contact.Referral(TokenRequest{Team: "red", RefusedBy: ranked[:1]}, ranked[1], vms, 0)).To(BeEmpty())
	// Lists of the same age are not corrected, and neither is one by a node that has lost the store.
	g.Expect(contact.Referral(TokenRequest{Team: "red", Connected: true}, ranked[0], ranked[1:], 0)).To(BeEmpty())
	g.Expect(contact.Referral(q, ranked[0], ranked[1:], time.Minute)).To(BeEmpty())
}

// A holder loses its power. Its teams were refused until the list dropped it, because the own share of one of 69 nodes
// is a fifth of a request a second.
func TestASubstituteServesTheTeamsOfASilentHolder(t *testing.T) {
	g := NewWithT(t)
	b, random := NewBuckets(), rand.New(rand.NewPCG(5, 6))
	nodes := make([]*Borrower, 69)
	for i := range nodes {
		nodes[i] = &Borrower{}
	}
	sent, admitted := 0, 0
	const lost = time.Minute
	for now := lost; now < lost+contact.beats(substituteBeats); now += time.Duration(random.ExpFloat64() / (0.6 * usual.Rate) * float64(time.Second)) {
		node := nodes[random.IntN(len(nodes))]
		sent++
		node.CountRequest(now)
		if want := node.TokensToBorrow(now, 1); want > 0 {
			granted, retry := b.Lease(now, "team", contact.SubstituteLimit(usual, now-lost, node.RecentlyLimited(now)), want)
			node.HandleLeaseAnswer(now, granted, retry, true)
		}
		if node.TakeToken(now) {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically(">=", sent*80/100), "of %d", sent)
}

// The silent holder lives on the other side of a cut and grants the whole limit there until it has been without the
// store for too long. A team that starts to send many times its rate at any moment stays within the tolerance.
func TestHolderAndSubstituteStayWithinTheLimit(t *testing.T) {
	for _, beat := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond} {
		c := StoreContactPolicy{Heartbeat: beat}
		for hot := -2 * time.Second; hot < 3*beat; hot += 250 * time.Millisecond {
			g := NewWithT(t)
			const cut = time.Minute
			f := newFleet(0, 0, 0, usual)
			holder, substitute := NewBuckets(), NewBuckets()
			holder.SetHeldTeams(0, []string{"team"})
			var limited time.Duration
			ask := func(b *Buckets, now time.Duration, l Limit) bool {
				granted, _ := b.Lease(now, "team", l, 1)
				if granted > 0 {
					f.admitted = append(f.admitted, now)
				}
				return granted > 0
			}
			for now := cut + hot; now < cut+hot+10*time.Second; now += 2 * time.Millisecond {
				silence := now - cut
				limit := usual
				if silence > c.beats(lapseBeats) {
					limit = usual.Reduced()
				}
				if !ask(holder, now, limit) && now < cut {
					limited = now
				}
				switch {
				case silence <= 0:
				case silence < 3*beat:
					ask(substitute, now, c.SubstituteLimit(usual, silence, limited > 0 && now-limited < limitedTime))
				default:
					// The list has dropped the holder; the next one begins with an empty bucket.
					substitute.SetHeldTeams(now, []string{"team"})
					ask(substitute, now, usual)
				}
			}
			g.Expect(float64(f.most())).To(BeNumerically("<=", f.bound()), "heartbeat %s, hot %s after the cut", beat, hot)
		}
	}
}
