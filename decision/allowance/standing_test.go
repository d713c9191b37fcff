package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var testPolicy = StoreContactPolicy{HeartbeatInterval: 1500 * time.Millisecond}

// maxContactAge is the age of the contact with the store from which a holder may have been replaced, and
// confirmationTime how long a token request confirms a holder.
var maxContactAge, confirmationTime = testPolicy.heartbeats(maxContactAgeHeartbeats), testPolicy.heartbeats(confirmationHeartbeats)

var testVMs = []string{"a", "b", "c", "d", "e", "f"}

// Guards against two holders that both grant the whole rate: some VMs are cut off from the store and from the others,
// whose list then names another holder.
func TestHolderCutOffWithFewVMsMayNotGrantFullRate(t *testing.T) {
	g := NewWithT(t)
	s := NewHolderConfirmation(testPolicy)
	now := time.Minute
	s.RecordRequest(now, "b", false)
	g.Expect(s.MayGrantFullRate(now, maxContactAge-1, "a", testVMs)).To(BeTrue())
	g.Expect(s.MayGrantFullRate(now, maxContactAge, "a", testVMs)).To(BeFalse())
}

// Guards against a reduced rate of a holder that has lost the store while other nodes, which are connected to the
// store, still request tokens from it.
func TestHolderConfirmedByConnectedVMGrantsFullRate(t *testing.T) {
	g := NewWithT(t)
	s := NewHolderConfirmation(testPolicy)
	s.RecordRequest(time.Minute, "b", true)
	g.Expect(s.MayGrantFullRate(time.Minute+confirmationTime-1, time.Hour, "a", testVMs)).To(BeTrue())
	g.Expect(s.MayGrantFullRate(time.Minute+confirmationTime, time.Hour, "a", testVMs)).To(BeFalse())
}

// Guards against reduced rates while no VM reaches the store for a long time.
func TestHolderGrantsFullRateWhileStoreIsDown(t *testing.T) {
	g := NewWithT(t)
	s := NewHolderConfirmation(testPolicy)
	for _, vm := range []string{"b", "c", "d"} {
		s.RecordRequest(time.Minute, vm, false)
	}
	g.Expect(s.MayGrantFullRate(time.Minute, time.Hour, "a", testVMs)).To(BeTrue())
}

// Guards against nodes that are cut off together and confirm their holder for longer than the three heartbeats after
// which the other nodes' list drops it. With a fixed time of 7 s instead of multiples of the heartbeat, both holders
// granted the whole rate for 2 s at a heartbeat of 0.87 s.
func TestIsolatedVMsStopConfirmingHolderWithinThreeHeartbeats(t *testing.T) {
	for _, heartbeat := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
		t.Run(heartbeat.String(), func(t *testing.T) {
			g := NewWithT(t)
			c := StoreContactPolicy{HeartbeatInterval: heartbeat}
			s := NewHolderConfirmation(c)
			const cut = time.Minute
			for now := cut; now < cut+5*heartbeat; now += 10 * time.Millisecond {
				s.RecordRequest(now, "b", c.Connected(now-cut))
				if s.MayGrantFullRate(now, now-cut, "a", testVMs) {
					g.Expect(now - cut).To(BeNumerically("<", 3*heartbeat))
				}
			}
			g.Expect(s.MayGrantFullRate(cut+3*heartbeat, 3*heartbeat, "a", testVMs)).To(BeFalse())
		})
	}
}

// Guards against a second rate from a former holder: its upstream has left the list, but its node still answers the
// nodes with an old list.
func TestRequestFromOldListIsReferredToHolder(t *testing.T) {
	g := NewWithT(t)
	ranked := RankedHolders("red", testVMs)
	request := TokenRequest{Team: "red"}
	g.Expect(testPolicy.Referral(request, ranked[0], testVMs, 0)).To(BeEmpty())
	g.Expect(testPolicy.Referral(request, ranked[0], ranked[1:], 0)).To(Equal(ranked[1]))
	// A substitute answers the request itself if the holder is not reached.
	g.Expect(testPolicy.Referral(TokenRequest{Team: "red", UnresponsiveHolder: ranked[0]}, ranked[1], testVMs, 0)).To(BeEmpty())
	// A request of a connected node is not referred, and a node that has lost the store refers no request.
	g.Expect(testPolicy.Referral(TokenRequest{Team: "red", Connected: true}, ranked[0], ranked[1:], 0)).To(BeEmpty())
	g.Expect(testPolicy.Referral(request, ranked[0], ranked[1:], time.Minute)).To(BeEmpty())
}

// Guards against refusing the teams of a holder that has lost its power until it is removed from the list: without a
// substitute, each of 69 nodes would admit its own share only, a fifth of a request per second.
func TestSubstituteServesTeamsOfUnresponsiveHolder(t *testing.T) {
	g := NewWithT(t)
	b, random := NewBuckets(), rand.New(rand.NewPCG(5, 6))
	nodes := make([]*Borrower, 69)
	for i := range nodes {
		nodes[i] = &Borrower{}
	}
	sent, admitted := 0, 0
	const lost = time.Minute
	for now := lost; now < lost+testPolicy.heartbeats(substituteHeartbeats); now += time.Duration(random.ExpFloat64() / (0.6 * testLimit.Rate) * float64(time.Second)) {
		node := nodes[random.IntN(len(nodes))]
		sent++
		node.CountRequest(now)
		if want := node.TokensToBorrow(now, 1); want > 0 {
			granted, retry := b.Lease(now, "team", testPolicy.SubstituteLimit(testLimit, HolderSilence{
				Duration: now - lost, TeamLimited: node.RecentlyLimited(now), NeighbourAnswers: true,
			}), want)
			node.HandleLeaseAnswer(now, granted, retry, true)
		}
		if node.TakeToken(now) {
			admitted++
		}
	}
	g.Expect(admitted).To(BeNumerically(">=", sent*80/100), "admitted of %d requests", sent)
}

// Guards against a holder and its substitute that together exceed the limit: the holder is on the other side of a
// partition and grants the whole limit there until it has been without the store for too long. The team starts to send
// many times its rate at different times before and after the partition.
func TestHolderAndSubstituteStayWithinLimit(t *testing.T) {
	for _, heartbeat := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond} {
		c := StoreContactPolicy{HeartbeatInterval: heartbeat}
		for overloadStart := -2 * time.Second; overloadStart < 3*heartbeat; overloadStart += 250 * time.Millisecond {
			g := NewWithT(t)
			const cut = time.Minute
			f := newFleet(0, 0, 0, testLimit)
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
			for now := cut + overloadStart; now < cut+overloadStart+10*time.Second; now += 2 * time.Millisecond {
				silence := now - cut
				limit := testLimit
				if silence > c.heartbeats(maxContactAgeHeartbeats) {
					limit = testLimit.Reduced()
				}
				if !ask(holder, now, limit) && now < cut {
					limited = now
				}
				switch {
				case silence <= 0:
				case silence < 3*heartbeat:
					ask(substitute, now, c.SubstituteLimit(testLimit, HolderSilence{
						Duration: silence, TeamLimited: limited > 0 && now-limited < recentlyLimitedTime, NeighbourAnswers: true,
					}))
				default:
					// The list has dropped the holder; the substitute becomes the holder and begins with an empty bucket.
					substitute.SetHeldTeams(now, []string{"team"})
					ask(substitute, now, testLimit)
				}
			}
			g.Expect(float64(f.maxAdmittedInWindow())).To(BeNumerically("<=", f.maxAllowedInWindow()), "heartbeat %s, overload starts %s after the partition", heartbeat, overloadStart)
		}
	}
}

// Guards against a holder and its substitute that together exceed the limit while data centres are cut off from each other
// but reach the store: the holder grants the whole limit in its data centre for as long as the cut lasts. The team starts to
// send many times its rate at different times before and after the cut.
func TestHolderInCutOffDataCentreAndSubstituteStayWithinLimit(t *testing.T) {
	for overloadStart := -2 * time.Second; overloadStart < 6*time.Second; overloadStart += 250 * time.Millisecond {
		g := NewWithT(t)
		const cut = time.Minute
		f := newFleet(0, 0, 0, testLimit)
		holder, substitute := NewBuckets(), NewBuckets()
		holder.SetHeldTeams(0, []string{"team"})
		ask := func(b *Buckets, now time.Duration, l Limit) {
			if granted, _ := b.Lease(now, "team", l, 1); granted > 0 {
				f.admitted = append(f.admitted, now)
			}
		}
		for now := cut + overloadStart; now < cut+overloadStart+10*time.Second; now += 2 * time.Millisecond {
			ask(holder, now, testLimit)
			if now > cut {
				ask(substitute, now, testPolicy.SubstituteLimit(testLimit, HolderSilence{Duration: now - cut}))
			}
		}
		g.Expect(float64(f.maxAdmittedInWindow())).To(BeNumerically("<=", f.maxAllowedInWindow()), "overload starts %s after the cut", overloadStart)
	}
}
