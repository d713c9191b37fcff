package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// startWaiting starts a call that has to wait. The returned channel receives the error kind with which the wait ends.
func startWaiting(g *WithT, q *AdmissionQueue, deadline time.Duration, caller Caller) chan wire.ErrorKind {
	before := q.Load().Queued
	result := make(chan wire.ErrorKind, 1)
	go func() { result <- q.waitForSlot(&admission.Call{Team: "t1", Deadline: deadline}, caller) }()
	g.Eventually(func() int { return q.Load().Queued }, 5*time.Second).Should(Equal(before + 1))
	return result
}

// disconnected is a caller that has closed its connection.
type disconnected struct{}

func (disconnected) Connected() bool { return false }

// A change of the declared capacity must not forget the calls in progress, because a cold upstream would then get more
// calls than it can serve, and must not lose the waiting calls.
func TestConfigureKeepsCallsInProgress(t *testing.T) {
	g := NewWithT(t)
	c := clock.System()
	q := NewAdmissionQueue(c, admission.Config{Slots: 1, InitialConcurrency: 1})
	deadline := c.Now() + time.Minute
	first := &admission.Call{Team: "t1", Deadline: deadline}
	g.Expect(q.waitForSlot(first, nil)).To(BeEmpty())
	second, third := startWaiting(g, q, deadline, nil), startWaiting(g, q, deadline, nil)
	q.Configure(admission.Config{Slots: 2, InitialConcurrency: 2})
	// The new limit of 2 admits one of the two waiting calls, because the first call still counts.
	g.Eventually(func() int { return len(second) + len(third) }, 5*time.Second).Should(Equal(1))
	g.Consistently(func() int { return len(second) + len(third) }, 50*time.Millisecond).Should(Equal(1))
	g.Expect(q.Load()).To(Equal(admission.Load{InFlight: 2, Limit: 2, Queued: 1, State: wire.StateServing}))
	q.finishCall(first.ID, admission.Result{Latency: time.Millisecond})
	g.Expect([]wire.ErrorKind{<-second, <-third}).To(Equal([]wire.ErrorKind{"", ""}))
	q.RestartRamp()
	g.Expect(q.Load().InFlight).To(Equal(2))
}

// A waiting call must be refused when its deadline passes, its caller disconnects or the upstream is leaving, and must
// then not keep its place in the queue.
func TestWaitingCallsAreRefused(t *testing.T) {
	g := NewWithT(t)
	c := clock.System()
	q := NewAdmissionQueue(c, admission.Config{Slots: 1, InitialConcurrency: 1})
	g.Expect(q.waitForSlot(&admission.Call{Team: "t1", Deadline: c.Now() + time.Minute}, nil)).To(BeEmpty())
	g.Expect(<-startWaiting(g, q, c.Now()+200*time.Millisecond, nil)).To(Equal(wire.KindDeadlineExceeded))
	g.Expect(<-startWaiting(g, q, c.Now()+time.Minute, disconnected{})).To(Equal(wire.KindDeadlineExceeded))
	g.Expect(q.Load().Queued).To(BeZero())
	waiting := startWaiting(g, q, c.Now()+time.Minute, nil)
	q.SetLeaving()
	g.Expect(<-waiting).To(Equal(wire.KindLeaving))
	g.Expect(q.waitForSlot(&admission.Call{Team: "t1", Deadline: c.Now() + time.Minute}, nil)).To(Equal(wire.KindLeaving))
	g.Expect(q.waiting).To(BeEmpty())
	g.Expect(q.Load().InFlight).To(Equal(1))
}
