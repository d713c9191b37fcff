package mesh

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const heartbeat = 1500 * time.Millisecond

const own = "10.0.0.1:80"

func upstream(id string, born, sequence int64) *Upstream {
	return &Upstream{ID: id, Service: "s", Address: own, IP: "10.0.0.1", Slots: 4, StartedAtMillis: born, Sequence: sequence}
}

// A removal has to act at once: an upstream that leaves without a notice serves only for a short time after it.
func TestRemovalActsAtOnceAfterAQuietTime(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.RecordContact(time.Second, false)
	r.Apply(0, Change{Upstream: upstream("a", 1, 1)})
	// A read without changes answers after its whole wait, which is no outage.
	now := time.Second + 2*readWait
	r.RecordContact(now, false)
	r.Apply(now, Change{RemovedUpstream: "a"})
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// Entries that lapse while the store is away come back within about 2 s; until then their upstreams are used.
func TestLapsedEntriesAreUsedUntilTheyAreBack(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.RecordContact(1, false)
	r.Apply(0, Change{Upstream: upstream("a", 1, 1)})
	now := 5 * time.Second
	r.RecordContact(now, false)
	r.Apply(now, Change{RemovedUpstream: "a"})
	g.Expect(r.View().OwnUpstream).NotTo(BeNil())
	g.Expect(r.ExpireRemovals(now + lapseGrace - 1)).To(BeFalse())
	r.Apply(now+time.Second, Change{Upstream: upstream("a", 1, 9)})
	g.Expect(r.ExpireRemovals(now + lapseGrace)).To(BeFalse())
	g.Expect(r.View().OwnUpstream).NotTo(BeNil())
}

func TestLapsedEntriesThatStayAwayAreRemoved(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.RecordContact(1, false)
	r.Apply(0, Change{Upstream: upstream("a", 1, 1)})
	r.RecordContact(5*time.Second, false)
	r.Apply(5*time.Second, Change{RemovedUpstream: "a"})
	g.Expect(r.ExpireRemovals(5*time.Second + lapseGrace)).To(BeTrue())
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// A report that was written before a restart under the same ID names an upstream that is gone.
func TestLateReportsOfAnEarlierIncarnationAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.Apply(0, Change{Upstream: upstream("a", 2, 1)})
	late := upstream("a", 1, 50)
	late.Draining = true
	r.Apply(0, Change{Upstream: late})
	g.Expect(r.View().OwnUpstream.Draining).To(BeFalse())
	r.Apply(0, Change{RemovedUpstream: "a"})
	r.Apply(0, Change{Upstream: late})
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// The answers of the store may cross; a node must not go back to an older version.
func TestVersionsNeverGoBack(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.Apply(0, Change{Config: &Config{Version: 7}})
	r.Apply(0, Change{Config: &Config{Version: 6}})
	g.Expect(r.View().Config.Version).To(Equal(uint64(7)))
}

// An address that was assigned again belongs to the upstream that started last.
func TestAnAddressBelongsToTheUpstreamThatStartedLast(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.Apply(0, Change{Upstream: upstream("new", 9, 1)})
	r.Apply(0, Change{Upstream: upstream("old", 3, 70)})
	g.Expect(r.View().OwnUpstream.ID).To(Equal("new"))
	g.Expect(r.View().UpstreamsByService["s"]).To(HaveLen(1))
}

func TestAnEvacuationLastsUntilItIsTakenBack(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.Apply(0, Change{EvacuatedDataCentre: "north"})
	g.Expect(r.View().EvacuatedDataCentres["north"]).To(BeTrue())
	r.Apply(0, Change{RestoredDataCentre: "north"})
	g.Expect(r.View().EvacuatedDataCentres["north"]).To(BeFalse())
}

// The store removes an entry after three heartbeats of silence, the first of which may be nearly over when it goes away.
// With heartbeats of 0.87 s entries lapse within 1.8 s, less than the fixed 2 s that counted as an outage: on the store's
// return all of them were dropped. A shorter absence lets none lapse; what is gone after it has left, and was used for
// 2.5 s more (DRAIN on Mantaleve grown, scale-2).
func TestAnAbsenceInWhichEntriesLapseIsAnOutage(t *testing.T) {
	for _, beat := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond} {
		for absence, kept := range map[time.Duration]int{beat * 19 / 10: 0, beat * 21 / 10: 1} {
			g := NewWithT(t)
			r := NewRegistry(own, beat)
			r.RecordContact(time.Second, false)
			r.Apply(time.Second, Change{Upstream: &Upstream{ID: "a", Service: "s", Address: "10.0.0.2:1", IP: "10.0.0.2", StartedAtMillis: 1}})
			back := time.Second + absence
			r.RecordContact(back, false)
			r.Apply(back, Change{RemovedUpstream: "a"})
			g.Expect(r.View().VMs).To(HaveLen(kept), "heartbeat %s, absence %s", beat, absence)
			r.ExpireRemovals(back + lapseGrace)
			g.Expect(r.View().VMs).To(BeEmpty())
		}
	}
}

// A node whose reader failed kept upstreams that had been removed for 2.5 s, although the store was in service and the
// next reader had seen the removal.
func TestASteadySourceEndsTheGrace(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	r.RecordContact(time.Second, false)
	r.Apply(time.Second, Change{Upstream: upstream("a", 1, 1)})
	r.RecordContact(5*time.Second, true)
	r.Apply(5*time.Second, Change{RemovedUpstream: "a"})
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// A node that has just started or has been out of contact can't tell which entries lapsed in an outage.
func TestOnlyLongContactIsSteady(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(own, heartbeat)
	g.Expect(r.ContactUninterrupted(time.Second)).To(BeFalse())
	r.RecordContact(time.Second, false)
	g.Expect(r.ContactUninterrupted(time.Second)).To(BeFalse())
	for at := time.Second; at <= time.Second+lapseGrace; at += 500 * time.Millisecond {
		r.RecordContact(at, false)
	}
	g.Expect(r.ContactUninterrupted(time.Second + lapseGrace)).To(BeTrue())
	g.Expect(r.ContactUninterrupted(time.Second + lapseGrace + outageBeats*heartbeat + 1)).To(BeFalse())
	r.RecordContact(10*time.Second, false)
	g.Expect(r.ContactUninterrupted(10 * time.Second)).To(BeFalse())
}
