package slots

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	objective = 400 * time.Millisecond
	deadline  = 2500 * time.Millisecond
	work      = 120 * time.Millisecond
	workSigma = 0.8
)

// event is a function that runs at a simulated time.
type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// clientRequest is a request of a caller with all its attempts.
type clientRequest struct {
	firstSentAt time.Duration
	submittedAt time.Duration
	attempts    int
}

// simulation submits requests to one queue in simulated time. Callers that are refused try again after the time that
// the queue tells them.
type simulation struct {
	queue   *Queue
	events  events
	random  *rand.Rand
	waiting map[uint64]clientRequest
	nextID  uint64
	inTime  int
	late    int
	refused int
	starts  []time.Duration
	// refusedLate counts requests that were refused after they had waited for longer than their objective.
	refusedLate int
}

// slotCount is the number of slots of the upstream.
const slotCount = 9

func newSimulation() *simulation {
	return &simulation{queue: NewQueue(slotCount), random: rand.New(rand.NewPCG(3, 4)), waiting: map[uint64]clientRequest{}}
}

func (s *simulation) schedule(when time.Duration, run func(now time.Duration)) {
	heap.Push(&s.events, event{when, run})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		e.run(e.at)
	}
}

// scheduleRequests lets requests arrive at random times at the given mean rate.
func (s *simulation) scheduleRequests(from, until time.Duration, perSecond float64) {
	for now := from; now < until; now += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)) {
		s.schedule(now, func(now time.Duration) { s.submit(now, clientRequest{firstSentAt: now}) })
	}
}

// submit submits a request as an entry node does when there is no other upstream: first as one that must meet its
// objective, then as one that accepts a late answer.
func (s *simulation) submit(now time.Duration, c clientRequest) {
	r := Request{Route: "r", Deadline: c.firstSentAt + deadline, Objective: now + objective, MustMeetObjective: true, Priority: 1}
	c.submittedAt = now
	s.nextID++
	r.ID = s.nextID
	decision, actions := s.queue.Submit(now, r)
	s.apply(now, actions)
	if !decision.Started && !decision.Queued && decision.Reason != ReasonTooLate {
		r.MustMeetObjective = false
		decision, actions = s.queue.Submit(now, r)
		s.apply(now, actions)
	}
	switch {
	case decision.Started:
		s.start(now, c)
	case decision.Queued:
		s.waiting[r.ID] = c
	default:
		s.refuse(now, c, decision.RetryAfter)
	}
}

func (s *simulation) start(now time.Duration, c clientRequest) {
	s.starts = append(s.starts, now)
	took := time.Duration(float64(work) * math.Exp(workSigma*s.random.NormFloat64()-workSigma*workSigma/2))
	s.schedule(now+took, func(now time.Duration) {
		switch waited := now - c.firstSentAt; {
		case waited <= objective:
			s.inTime++
		case waited <= deadline:
			s.late++
		}
		s.apply(now, s.queue.FinishRequest(now, "r", took))
	})
}

func (s *simulation) refuse(now time.Duration, c clientRequest, after time.Duration) {
	c.attempts++
	left := c.firstSentAt + deadline - now
	if c.attempts > 2 || left <= 0 {
		s.refused++
		return
	}
	s.schedule(now+min(max(after, 100*time.Millisecond), left/3), func(now time.Duration) { s.submit(now, c) })
}

func (s *simulation) apply(now time.Duration, actions []Action) {
	for _, a := range actions {
		c, ok := s.waiting[a.ID]
		if !ok {
			continue
		}
		delete(s.waiting, a.ID)
		if a.Reason != "" {
			if now-c.submittedAt > objective {
				s.refusedLate++
			}
			s.refuse(now, c, 0)
			continue
		}
		s.start(now, c)
	}
}

// A service that lost most of its upstreams gets twice the requests that it can run, for a long time. Requests that
// will be late must not take slots from those that can still be in time.
func TestLongOverloadServesRequestsThatCanBeInTime(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation()
	s.scheduleRequests(0, 60*time.Second, 150)
	s.run()
	capacity := 60 * slotCount / work.Seconds()
	t.Logf("in time %d, late %d, refused %d, refused late %d; capacity %.0f", s.inTime, s.late, s.refused, s.refusedLate, capacity)
	g.Expect(float64(s.inTime)).To(BeNumerically(">=", 0.75*capacity))
	// A caller that cannot be served is refused without a long wait.
	g.Expect(float64(s.refusedLate)).To(BeNumerically("<=", 0.02*float64(s.refused)))
}

// In a burst of one second, requests that cannot be in time are still served before their deadlines.
func TestShortBurstIsServedLate(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation()
	s.scheduleRequests(0, 10*time.Second, 45)
	s.scheduleRequests(4*time.Second, 5*time.Second, 110)
	s.run()
	t.Logf("in time %d, late %d, refused %d", s.inTime, s.late, s.refused)
	g.Expect(float64(s.refused)).To(BeNumerically("<=", 0.02*float64(s.inTime+s.late)))
}

// scheduleNestedCalls lets count short nested calls arrive at a fixed interval and counts how many are refused and
// served.
func (s *simulation) scheduleNestedCalls(from time.Duration, count int, interval time.Duration) (refused, served *int) {
	refused, served = new(int), new(int)
	for i := range count {
		s.schedule(from+time.Duration(i)*interval, func(now time.Duration) {
			s.nextID++
			call := Request{
				ID: s.nextID, Route: "call", Priority: -1, Nested: true, MustMeetObjective: true,
				Deadline: now + 400*time.Millisecond, Objective: now + 120*time.Millisecond,
			}
			decision, actions := s.queue.Submit(now, call)
			s.apply(now, actions)
			if decision.Reason != "" && decision.Reason != ReasonTooLate {
				call.MustMeetObjective = false
				decision, actions = s.queue.Submit(now, call)
				s.apply(now, actions)
			}
			if decision.Reason != "" {
				*refused++
				return
			}
			*served++
			if decision.Started {
				s.starts = append(s.starts, now)
				s.schedule(now+30*time.Millisecond, func(now time.Duration) {
					s.apply(now, s.queue.FinishRequest(now, "call", 30*time.Millisecond))
				})
				return
			}
			s.waiting[call.ID] = clientRequest{firstSentAt: now, submittedAt: now}
		})
	}
	return refused, served
}

// Nested calls are short, and each one that is refused makes its parent fail, which has then used a slot elsewhere
// without a result. A service that is overloaded by other requests still has to run them.
func TestNestedCallsAreServedDuringOverload(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation()
	s.scheduleRequests(0, 20*time.Second, 150)
	refused, served := s.scheduleNestedCalls(2*time.Second, 1200, 15*time.Millisecond)
	s.run()
	g.Expect(*refused).To(BeNumerically("<=", (*refused+*served)/50))
}

// Urgent requests are in time while other requests overload the upstream.
func TestUrgentRequestsAreInTimeDuringOverload(t *testing.T) {
	g := NewWithT(t)
	s := newSimulation()
	s.scheduleRequests(0, 20*time.Second, 150)
	urgent := &simulation{queue: s.queue, random: s.random, waiting: map[uint64]clientRequest{}, nextID: 1 << 32}
	const sent = 360
	for i := range sent {
		s.schedule(2*time.Second+time.Duration(i)*50*time.Millisecond, func(now time.Duration) {
			urgent.nextID++
			decision, actions := s.queue.Submit(now, Request{
				ID: urgent.nextID, Route: "urgent", Deadline: now + deadline, Objective: now + objective, MustMeetObjective: true,
			})
			s.apply(now, actions)
			if decision.Started || decision.Queued {
				urgent.inTime++
			}
			if decision.Started {
				s.schedule(now+work, func(now time.Duration) { s.apply(now, s.queue.FinishRequest(now, "urgent", work)) })
			} else if decision.Queued {
				s.waiting[urgent.nextID] = clientRequest{firstSentAt: now, submittedAt: now}
			}
		})
	}
	s.run()
	g.Expect(urgent.inTime).To(BeNumerically(">=", sent*95/100))
}

// newColdSimulation returns a simulation of requests at a given rate to an upstream that is cold for the whole length.
func newColdSimulation(rate ColdRate, length time.Duration, perSecond float64) *simulation {
	s := newSimulation()
	s.queue.SetCold(0, length, rate)
	s.scheduleRequests(0, length, perSecond)
	// A node calls Tick when UntilNextStart says so; here it is called often enough.
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		s.schedule(now, func(now time.Duration) { s.apply(now, s.queue.Tick(now)) })
	}
	return s
}

// maxStartsPerSecond returns the largest number of starts within any second before the end.
func maxStartsPerSecond(starts []time.Duration, end time.Duration) int {
	most, first := 0, 0
	for i, at := range starts {
		if at >= end {
			break
		}
		for at-starts[first] >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// An upstream that has just started crashes at a rate well above the one that it can handle.
func TestColdUpstreamRateIsLimited(t *testing.T) {
	g := NewWithT(t)
	const perSecond, length = 13, 5 * time.Second
	s := newColdSimulation(ColdRate{PerSecond: perSecond, Burst: 1}, length, 100)
	s.run()
	g.Expect(maxStartsPerSecond(s.starts, length)).To(BeNumerically("<=", perSecond))
}

// Load: an upstream becomes cold under its full load, and its node notices that up to a health check later. Guards against a
// second in which the requests before the notice and those after it together exceed the bound.
func TestColdRateCountsStartsBeforeNotice(t *testing.T) {
	for _, perSecond := range []float64{20, 30, 45, 60} {
		for _, notice := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprint(perSecond, " a second, noticed after ", notice), func(t *testing.T) {
				g := NewWithT(t)
				const cold, over, slack, becameCold, length = 13, 1.5, 5, 2 * time.Second, 5 * time.Second
				s := newSimulation()
				s.scheduleRequests(0, length, perSecond)
				for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
					s.schedule(now, func(now time.Duration) { s.apply(now, s.queue.Tick(now)) })
				}
				s.schedule(becameCold+notice, func(now time.Duration) {
					s.apply(now, s.queue.SetCold(now, length, NewColdRate(cold, over, slack)))
				})
				s.run()
				var starts []time.Duration
				for _, at := range s.starts {
					if at >= becameCold {
						starts = append(starts, at)
					}
				}
				g.Expect(float64(maxStartsPerSecond(starts, length))).To(BeNumerically("<=", cold*over+slack))
				// The upstream is used at the rate that it bears.
				g.Expect(len(starts)).To(BeNumerically(">=", int(0.8*cold*(length-becameCold).Seconds())))
			})
		}
	}
}

// A node that restarts does not know how many requests it sent to the cold upstream before the restart. The rate has to
// stay within its bounds all the same.
func TestRestartedNodeKeepsRateOfColdUpstream(t *testing.T) {
	for _, perSecond := range []float64{2, 5, 11, 13, 40} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			g := NewWithT(t)
			const over, slack, length = 1.5, 5, 4 * time.Second
			rate := NewColdRate(perSecond, over, slack)
			before, after := newColdSimulation(rate, length, 200), newColdSimulation(rate, length, 200)
			before.run()
			after.run()
			starts := before.starts
			for i, at := range starts {
				if at >= length {
					starts = starts[:i]
					break
				}
			}
			for _, at := range after.starts {
				starts = append(starts, length+at)
			}
			g.Expect(float64(maxStartsPerSecond(starts, 2*length))).To(BeNumerically("<=", perSecond*over+slack))
			g.Expect(float64(len(starts))).To(BeNumerically(">=", perSecond*2*length.Seconds()))
		})
	}
}

// After a power failure all upstreams are cold, and those that are called by others get several times the requests that
// they can handle. When other requests used all starts at the beginning of a second, nested calls were refused for the
// rest of it and their parents failed.
func TestNestedCallsAreServedByColdUpstream(t *testing.T) {
	g := NewWithT(t)
	const length = 20 * time.Second
	s := newColdSimulation(NewColdRate(13, 1.5, 5), length, 40)
	refused, served := s.scheduleNestedCalls(time.Second, 60, 150*time.Millisecond)
	s.run()
	g.Expect(*refused).To(BeNumerically("<=", (*refused+*served)/20))
}

// In a full queue a more urgent request displaces a less urgent one. A cancelled request frees its place.
func TestUrgentRequestDisplacesAnotherInFullQueue(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(1)
	submit := func(id uint64, priority int) (Decision, []Action) {
		return q.Submit(0, Request{ID: id, Route: "r", Priority: priority, Deadline: time.Hour, Objective: time.Hour})
	}
	decision, _ := submit(1, 2)
	g.Expect(decision.Started).To(BeTrue())
	for id := uint64(2); id < 2+maxWaitingPerSlot; id++ {
		decision, _ = submit(id, 2)
		g.Expect(decision.Queued).To(BeTrue())
	}
	decision, _ = submit(90, 2)
	g.Expect(decision.Reason).To(Equal(ReasonBusy))
	decision, actions := submit(91, 0)
	g.Expect(decision.Queued).To(BeTrue())
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Reason).To(Equal(ReasonDisplaced))
	q.CancelWaiting(91)
	g.Expect(q.Load(0).Waiting).To(Equal(maxWaitingPerSlot - 1))
}

// Load: uploads and small requests that find all slots taken for a moment. Guards against an upload that is sent to
// another data centre although it would meet its objective here, and against one that waits here past its objective.
func TestCostlyRequestWaitsWithinObjective(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(1)
	submit := func(id uint64, costly bool, objective time.Duration) Decision {
		d, _ := q.Submit(0, Request{
			ID: id, Route: "r", Priority: 1, Deadline: 4 * objective, Objective: objective, MustMeetObjective: true, CostlyToMove: costly,
		})
		return d
	}
	g.Expect(submit(1, false, time.Second).Started).To(BeTrue())
	// The mean service time is 100 ms, so a slot is expected to be free then.
	g.Expect(submit(2, false, 500*time.Millisecond).Reason).To(Equal(ReasonBusy))
	g.Expect(submit(3, true, 500*time.Millisecond).Queued).To(BeTrue())
	g.Expect(submit(4, true, 250*time.Millisecond).Reason).To(Equal(ReasonBusy))
}
