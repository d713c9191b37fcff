package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

// The backoff of an address that keeps failing grows, but at most to half of the 8 s within which a version must be in
// force, so that the address is noticed when it works again.
func TestBackoffGrowsAndIsBounded(t *testing.T) {
	g := NewWithT(t)
	detector := membership.NewFailureDetector(rand.New(rand.NewPCG(1, 1)))
	last := time.Duration(0)
	for i := range 20 {
		now := time.Duration(i) * time.Minute
		detector.RecordFailure(now, "a")
		length := time.Duration(0)
		for detector.InBackoff(now+length, "a") {
			length += 10 * time.Millisecond
		}
		g.Expect(length).To(BeNumerically("<=", 4*time.Second))
		g.Expect(length).To(BeNumerically(">=", last/2))
		last = length
	}
	g.Expect(last).To(BeNumerically(">=", 2*time.Second))
	g.Expect(detector.IsFailing("a")).To(BeTrue())
	detector.RecordAnswer("a")
	g.Expect(detector.IsFailing("a")).To(BeFalse())
}

// Failing addresses are probed one after another, and RetainOnly removes those that are no longer known.
func TestFailingAddressesAreProbedInTurn(t *testing.T) {
	g := NewWithT(t)
	detector := membership.NewFailureDetector(rand.New(rand.NewPCG(1, 1)))
	detector.RecordFailure(0, "a")
	detector.RecordFailure(time.Second, "b")
	_, ok := detector.NextProbe(0)
	g.Expect(ok).To(BeFalse())
	for _, expected := range []string{"a", "b"} {
		address, ok := detector.NextProbe(10 * time.Second)
		g.Expect(ok).To(BeTrue())
		g.Expect(address).To(Equal(expected))
	}
	_, ok = detector.NextProbe(10 * time.Second)
	g.Expect(ok).To(BeFalse())
	detector.RetainOnly(func(address string) bool { return address == "b" })
	g.Expect(detector.IsFailing("a")).To(BeFalse())
	g.Expect(detector.FailureCount("b")).To(Equal(1))
}

// A pause is detected whether or not the monotonic clock stopped, and ordinary delays do not count as a pause.
func TestPauseIsDetectedByEitherClock(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	pauses := membership.PauseDetector{}
	g.Expect(pauses.Check(time.Hour, start)).To(BeFalse(), "the first check has no earlier check to compare with")
	g.Expect(pauses.Check(time.Hour+time.Second, start.Add(time.Second))).To(BeFalse())
	g.Expect(pauses.Check(time.Hour+3*time.Second, start.Add(3*time.Second))).To(BeTrue())
	g.Expect(pauses.Check(time.Hour+3*time.Second, start.Add(time.Minute))).To(BeTrue(), "the VM was suspended")
	g.Expect(pauses.Check(time.Hour+4*time.Second, start)).To(BeFalse(), "the wall clock was set back")
}

// Of two VMs that serve one upstream, a live one is preferred to a leaving one, then the later entry to the earlier
// one.
func TestMembersByUpstreamPrefersLiveThenLaterEntry(t *testing.T) {
	g := NewWithT(t)
	list := &platform.MemberList{Members: []platform.Member{
		{VM: "a", Upstream: "u", State: platform.MemberLive},
		{VM: "b", Upstream: "u", State: platform.MemberLive},
		{VM: "c", Upstream: "u", State: platform.MemberLeaving},
		{VM: "d", Upstream: "w", State: platform.MemberLeaving},
	}}
	byUpstream := membership.MembersByUpstream(list)
	g.Expect(byUpstream["u"].VM).To(Equal("b"))
	g.Expect(byUpstream["w"].VM).To(Equal("d"))
	g.Expect(membership.IsLeaving(list, "c")).To(BeTrue())
	g.Expect(membership.IsLeaving(list, "a")).To(BeFalse())
	g.Expect(membership.IsLeaving(nil, "a")).To(BeFalse())
}
