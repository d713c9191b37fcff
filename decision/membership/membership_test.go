package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

// A dead address must be left alone for longer and longer, but never for so long that its return goes unnoticed for
// half of the 8 s.
func TestBackoffGrowsAndIsBounded(t *testing.T) {
	g := NewWithT(t)
	e := membership.NewFailureDetector(rand.New(rand.NewPCG(1, 1)))
	last := time.Duration(0)
	for i := range 20 {
		now := time.Duration(i) * time.Minute
		e.RecordFailure(now, "a")
		length := time.Duration(0)
		for e.InBackoff(now+length, "a") {
			length += 10 * time.Millisecond
		}
		g.Expect(length).To(BeNumerically("<=", 4*time.Second))
		g.Expect(length).To(BeNumerically(">=", last/2))
		last = length
	}
	g.Expect(last).To(BeNumerically(">=", 2*time.Second))
	g.Expect(e.IsFailing("a")).To(BeTrue())
	e.RecordAnswer("a")
	g.Expect(e.IsFailing("a")).To(BeFalse())
}

// Each dead address is probed in its turn, and those that left the list are forgotten.
func TestDueAddressesTakeTurns(t *testing.T) {
	g := NewWithT(t)
	e := membership.NewFailureDetector(rand.New(rand.NewPCG(1, 1)))
	e.RecordFailure(0, "a")
	e.RecordFailure(time.Second, "b")
	_, ok := e.NextProbe(0)
	g.Expect(ok).To(BeFalse())
	for _, expected := range []string{"a", "b"} {
		address, ok := e.NextProbe(10 * time.Second)
		g.Expect(ok).To(BeTrue())
		g.Expect(address).To(Equal(expected))
	}
	_, ok = e.NextProbe(10 * time.Second)
	g.Expect(ok).To(BeFalse())
	e.RetainOnly(func(address string) bool { return address == "b" })
	g.Expect(e.IsFailing("a")).To(BeFalse())
	g.Expect(e.FailureCount("b")).To(Equal(1))
}

// A pause must be noticed whether or not the monotonic clock ran on, and ordinary delays must not count as one.
func TestPauseByEitherClock(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	p := membership.PauseDetector{}
	g.Expect(p.Check(time.Hour, start)).To(BeFalse(), "the first check has nothing to compare with")
	g.Expect(p.Check(time.Hour+time.Second, start.Add(time.Second))).To(BeFalse())
	g.Expect(p.Check(time.Hour+3*time.Second, start.Add(3*time.Second))).To(BeTrue())
	g.Expect(p.Check(time.Hour+3*time.Second, start.Add(time.Minute))).To(BeTrue(), "suspended")
	g.Expect(p.Check(time.Hour+4*time.Second, start)).To(BeFalse(), "the wall clock was set back")
}

// The list decides which of two VMs serves an upstream, and a leaving one gives way.
func TestLocatePrefersLiveThenLater(t *testing.T) {
	g := NewWithT(t)
	list := &platform.MemberList{Members: []platform.Member{
		{VM: "a", Upstream: "u", State: platform.MemberLive},
		{VM: "b", Upstream: "u", State: platform.MemberLive},
		{VM: "c", Upstream: "u", State: platform.MemberLeaving},
		{VM: "d", Upstream: "w", State: platform.MemberLeaving},
	}}
	located := membership.MembersByUpstream(list)
	g.Expect(located["u"].VM).To(Equal("b"))
	g.Expect(located["w"].VM).To(Equal("d"))
	g.Expect(membership.IsLeaving(list, "c")).To(BeTrue())
	g.Expect(membership.IsLeaving(list, "a")).To(BeFalse())
	g.Expect(membership.IsLeaving(nil, "a")).To(BeFalse())
}
