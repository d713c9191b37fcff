package mesh

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/sources"
)

const heartbeat = 1500 * time.Millisecond

const ownAddress = "10.0.0.1:80"

func newUpstream(id string, startedAt, sequence int64) *Upstream {
	return &Upstream{ID: id, Service: "s", Address: ownAddress, IP: "10.0.0.1", Slots: 4, StartedAtMS: startedAt, Sequence: sequence}
}

// A removal takes effect immediately, because an upstream that leaves without a notice serves only for a short time
// after it.
func TestRemovalTakesEffectImmediatelyWithoutOutage(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.RecordContact(time.Second, false)
	r.Apply(0, Change{Upstream: newUpstream("a", 1, 1)})
	// A read without changes takes its whole wait, which does not count as an outage.
	now := time.Second + 2*sources.ReadWait
	r.RecordContact(now, false)
	r.Apply(now, Change{RemovedUpstream: "a"})
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// Entries that expired during an outage of the store are registered again within about 2 s. Until then their upstreams
// are still used.
func TestExpiredEntriesAreUsedUntilRegisteredAgain(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.RecordContact(1, false)
	r.Apply(0, Change{Upstream: newUpstream("a", 1, 1)})
	now := 5 * time.Second
	r.RecordContact(now, false)
	r.Apply(now, Change{RemovedUpstream: "a"})
	g.Expect(r.View().OwnUpstream).NotTo(BeNil())
	g.Expect(r.ApplyDueRemovals(now + expiredEntryGrace - 1)).To(BeFalse())
	r.Apply(now+time.Second, Change{Upstream: newUpstream("a", 1, 9)})
	g.Expect(r.ApplyDueRemovals(now + expiredEntryGrace)).To(BeFalse())
	g.Expect(r.View().OwnUpstream).NotTo(BeNil())
}

func TestExpiredEntriesThatAreNotRegisteredAgainAreRemoved(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.RecordContact(1, false)
	r.Apply(0, Change{Upstream: newUpstream("a", 1, 1)})
	r.RecordContact(5*time.Second, false)
	r.Apply(5*time.Second, Change{RemovedUpstream: "a"})
	g.Expect(r.ApplyDueRemovals(5*time.Second + expiredEntryGrace)).To(BeTrue())
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// A report from before a restart of an upstream with the same ID can arrive late. It must not replace newer reports.
func TestLateReportsOfEarlierIncarnationAreIgnored(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.Apply(0, Change{Upstream: newUpstream("a", 2, 1)})
	late := newUpstream("a", 1, 50)
	late.Draining = true
	r.Apply(0, Change{Upstream: late})
	g.Expect(r.View().OwnUpstream.Draining).To(BeFalse())
	r.Apply(0, Change{RemovedUpstream: "a"})
	r.Apply(0, Change{Upstream: late})
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// Answers may arrive in a different order; a node must not go back to an older configuration.
func TestOlderConfigIsIgnored(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.Apply(0, Change{Config: &Config{Version: 7}})
	r.Apply(0, Change{Config: &Config{Version: 6}})
	g.Expect(r.View().Config.Version).To(Equal(uint64(7)))
}

// If two upstreams have the same address, it was assigned again and belongs to the one that started last.
func TestAddressBelongsToUpstreamThatStartedLast(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.Apply(0, Change{Upstream: newUpstream("new", 9, 1)})
	r.Apply(0, Change{Upstream: newUpstream("old", 3, 70)})
	g.Expect(r.View().OwnUpstream.ID).To(Equal("new"))
	g.Expect(r.View().UpstreamsByService["s"]).To(HaveLen(1))
}

func TestEvacuationLastsUntilCancelled(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.Apply(0, Change{EvacuatedDataCentre: "north"})
	g.Expect(r.View().EvacuatedDataCentres["north"]).To(BeTrue())
	r.Apply(0, Change{RestoredDataCentre: "north"})
	g.Expect(r.View().EvacuatedDataCentres["north"]).To(BeFalse())
}

// The store removes an entry after three missing heartbeats, and the first of them may be almost due when contact is
// lost. With heartbeats of 0.87 s, entries expire within 1.8 s. Guards against a fixed time of 2 s that counts as an
// outage: all entries were then dropped when the store returned. In a shorter time without contact no entries expire,
// so an upstream that was removed has left. Guards also against using it for another 2.5 s, as seen in the scenario
// DRAIN on the enlarged Mantaleve example (scale-2).
func TestTimeInWhichEntriesExpireCountsAsOutage(t *testing.T) {
	for _, interval := range []time.Duration{870 * time.Millisecond, 1500 * time.Millisecond} {
		for withoutContact, kept := range map[time.Duration]int{interval * 19 / 10: 0, interval * 21 / 10: 1} {
			g := NewWithT(t)
			r := NewRegistry(ownAddress, interval)
			r.RecordContact(time.Second, false)
			r.Apply(time.Second, Change{Upstream: &Upstream{ID: "a", Service: "s", Address: "10.0.0.2:1", IP: "10.0.0.2", StartedAtMS: 1}})
			returnedAt := time.Second + withoutContact
			r.RecordContact(returnedAt, false)
			r.Apply(returnedAt, Change{RemovedUpstream: "a"})
			g.Expect(r.View().VMs).To(HaveLen(kept), "heartbeat %s, without contact for %s", interval, withoutContact)
			r.ApplyDueRemovals(returnedAt + expiredEntryGrace)
			g.Expect(r.View().VMs).To(BeEmpty())
		}
	}
}

// Guards against using removed upstreams for another 2.5 s after a node's reader has failed, although the store is
// reachable and the next reader has seen the removal.
func TestRemovalByUninterruptedSourceTakesEffectImmediately(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	r.RecordContact(time.Second, false)
	r.Apply(time.Second, Change{Upstream: newUpstream("a", 1, 1)})
	r.RecordContact(5*time.Second, true)
	r.Apply(5*time.Second, Change{RemovedUpstream: "a"})
	g.Expect(r.View().OwnUpstream).To(BeNil())
}

// A node that has just started, or had no contact with the store, does not know which entries expired in an outage.
func TestContactIsUninterruptedOnlyAfterGrace(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	g.Expect(r.ContactUninterrupted(time.Second)).To(BeFalse())
	r.RecordContact(time.Second, false)
	g.Expect(r.ContactUninterrupted(time.Second)).To(BeFalse())
	for at := time.Second; at <= time.Second+expiredEntryGrace; at += 500 * time.Millisecond {
		r.RecordContact(at, false)
	}
	g.Expect(r.ContactUninterrupted(time.Second + expiredEntryGrace)).To(BeTrue())
	g.Expect(r.ContactUninterrupted(time.Second + expiredEntryGrace + outageHeartbeats*heartbeat + 1)).To(BeFalse())
	r.RecordContact(10*time.Second, false)
	g.Expect(r.ContactUninterrupted(10 * time.Second)).To(BeFalse())
}

// Guards against nodes that make a new view, and calculate all that follows from it, for a report that changes nothing that
// a view shows.
func TestReportWithoutNewsLeavesViewAsItIs(t *testing.T) {
	g := NewWithT(t)
	r := NewRegistry(ownAddress, heartbeat)
	g.Expect(r.Apply(0, Change{Upstream: newUpstream("a", 1, 1)})).To(BeTrue())
	report := newUpstream("a", 1, 2)
	report.ColdRemaining = time.Second
	g.Expect(r.Apply(0, Change{Upstream: report})).To(BeFalse())
	g.Expect(r.Apply(0, Change{Upstream: newUpstream("a", 1, 1)})).To(BeFalse(), "late")
	draining := newUpstream("a", 1, 3)
	draining.Draining = true
	g.Expect(r.Apply(0, Change{Upstream: draining})).To(BeTrue())
	g.Expect(r.View().OwnUpstream.Draining).To(BeTrue())
	g.Expect(r.Apply(0, Change{Upstream: newUpstream("a", 2, 1)})).To(BeTrue(), "restarted")
	g.Expect(r.Apply(0, Change{RemovedUpstream: "a"})).To(BeTrue())
	g.Expect(r.Apply(0, Change{RemovedUpstream: "a"})).To(BeFalse())
	g.Expect(r.Apply(0, Change{EvacuatedDataCentre: "north"})).To(BeTrue())
	g.Expect(r.Apply(0, Change{EvacuatedDataCentre: "north"})).To(BeFalse())
	g.Expect(r.Apply(0, Change{RestoredDataCentre: "north"})).To(BeTrue())
	g.Expect(r.Apply(0, Change{Config: &Config{Version: 2}})).To(BeTrue())
	g.Expect(r.Apply(0, Change{Config: &Config{Version: 1}})).To(BeFalse())
}
