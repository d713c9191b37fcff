package peer

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// queued starts a call that has to wait and returns its verdict when there is one.
func queued(g *WithT, q *AdmissionQueue, deadline time.Duration, caller Caller) chan wire.ErrorKind {
	before := q.Load().Queued
	verdict := make(chan wire.ErrorKind, 1)
	go func() { verdict <- q.enter(&admission.Call{Team: "t1", Deadline: deadline}, caller) }()
	g.Eventually(func() int { return q.Load().Queued }, 5*time.Second).Should(Equal(before + 1))
	return verdict
}

type gone struct{}

func (gone) Connected() bool { return false }

// Guards against a change of the declared size that forgets the calls in progress, so that a cold upstream gets more
// than it bears, and against waiting calls that are lost with the old controller.
func TestConfigureKeepsTheCallsInProgress(t *testing.T) {
	g := NewWithT(t)
	c := clock.System()
	q := NewAdmissionQueue(c, admission.Config{Slots: 1, InitialConcurrency: 1})
	deadline := c.Now() + time.Minute
	first := &admission.Call{Team: "t1", Deadline: deadline}
	g.Expect(q.enter(first, nil)).To(BeEmpty())
	second, third := queued(g, q, deadline, nil), queued(g, q, deadline, nil)
	q.Configure(admission.Config{Slots: 2, InitialConcurrency: 2})
	// Two of the three fit: the first still counts.
	g.Eventually(func() int { return len(second) + len(third) }, 5*time.Second).Should(Equal(1))
	g.Consistently(func() int { return len(second) + len(third) }, 50*time.Millisecond).Should(Equal(1))
	g.Expect(q.Load()).To(Equal(admission.Load{InFlight: 2, Limit: 2, Queued: 1, State: wire.StateServing}))
	q.leave(first.ID, admission.Result{Latency: time.Millisecond})
	g.Expect([]wire.ErrorKind{<-second, <-third}).To(Equal([]wire.ErrorKind{"", ""}))
	q.RestartRamp()
	g.Expect(q.Load().InFlight).To(Equal(2))
}

// Guards against calls that wait at a leaving upstream, past their deadline or for a caller that went away, and
// against a place in the queue that such a call keeps.
func TestWaitingCallsAreRefusedTruly(t *testing.T) {
	g := NewWithT(t)
	c := clock.System()
	q := NewAdmissionQueue(c, admission.Config{Slots: 1, InitialConcurrency: 1})
	g.Expect(q.enter(&admission.Call{Team: "t1", Deadline: c.Now() + time.Minute}, nil)).To(BeEmpty())
	g.Expect(<-queued(g, q, c.Now()+200*time.Millisecond, nil)).To(Equal(wire.KindDeadlineExceeded))
	g.Expect(<-queued(g, q, c.Now()+time.Minute, gone{})).To(Equal(wire.KindDeadlineExceeded))
	g.Expect(q.Load().Queued).To(BeZero())
	waiting := queued(g, q, c.Now()+time.Minute, nil)
	q.SetLeaving()
	g.Expect(<-waiting).To(Equal(wire.KindLeaving))
	g.Expect(q.enter(&admission.Call{Team: "t1", Deadline: c.Now() + time.Minute}, nil)).To(Equal(wire.KindLeaving))
	g.Expect(q.waiting).To(BeEmpty())
	g.Expect(q.Load().InFlight).To(Equal(1))
}
