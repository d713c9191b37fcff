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

// event is something that happens at a time of a simulated day.
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

// client is a caller's request with all its attempts.
type client struct {
	began    time.Duration
	asked    time.Duration
	attempts int
}

// day plays requests against one queue. Callers that are refused come back after the time that they are told.
type day struct {
	queue    *Queue
	events   events
	random   *rand.Rand
	waiting  map[uint64]client
	nextID   uint64
	inTime   int
	late     int
	refused  int
	starts   []time.Duration
	heldLong int
}

// slotCount is the number of slots of the upstream.
const slotCount = 9

func newDay() *day {
	return &day{queue: NewQueue(slotCount), random: rand.New(rand.NewPCG(3, 4)), waiting: map[uint64]client{}}
}

func (d *day) at(when time.Duration, run func(now time.Duration)) {
	heap.Push(&d.events, event{when, run})
}

func (d *day) play() {
	for len(d.events) > 0 {
		e := heap.Pop(&d.events).(event)
		e.run(e.at)
	}
}

// arrivals lets requests come at a rate.
func (d *day) arrivals(from, until time.Duration, perSecond float64) {
	for now := from; now < until; now += time.Duration(d.random.ExpFloat64() / perSecond * float64(time.Second)) {
		d.at(now, func(now time.Duration) { d.arrive(now, client{began: now}) })
	}
}

// arrive asks as an entry node does when there is no other upstream: strictly first, then for any answer.
func (d *day) arrive(now time.Duration, c client) {
	r := Request{Route: "r", Deadline: c.began + deadline, Objective: now + objective, MustMeetObjective: true, Priority: 1}
	c.asked = now
	d.nextID++
	r.ID = d.nextID
	decision, actions := d.queue.Submit(now, r)
	d.apply(now, actions)
	if !decision.Started && !decision.Queued && decision.Reason != ReasonTooLate {
		r.MustMeetObjective = false
		decision, actions = d.queue.Submit(now, r)
		d.apply(now, actions)
	}
	switch {
	case decision.Started:
		d.start(now, c)
	case decision.Queued:
		d.waiting[r.ID] = c
	default:
		d.refuse(now, c, decision.RetryAfter)
	}
}

func (d *day) start(now time.Duration, c client) {
	d.starts = append(d.starts, now)
	took := time.Duration(float64(work) * math.Exp(workSigma*d.random.NormFloat64()-workSigma*workSigma/2))
	d.at(now+took, func(now time.Duration) {
		switch waited := now - c.began; {
		case waited <= objective:
			d.inTime++
		case waited <= deadline:
			d.late++
		}
		d.apply(now, d.queue.FinishRequest(now, "r", took))
	})
}

func (d *day) refuse(now time.Duration, c client, after time.Duration) {
	c.attempts++
	left := c.began + deadline - now
	if c.attempts > 2 || left <= 0 {
		d.refused++
		return
	}
	d.at(now+min(max(after, 100*time.Millisecond), left/3), func(now time.Duration) { d.arrive(now, c) })
}

func (d *day) apply(now time.Duration, actions []Action) {
	for _, a := range actions {
		c, ok := d.waiting[a.ID]
		if !ok {
			continue
		}
		delete(d.waiting, a.ID)
		if a.Reason != "" {
			if now-c.asked > objective {
				d.heldLong++
			}
			d.refuse(now, c, 0)
			continue
		}
		d.start(now, c)
	}
}

// A service that lost most of its upstreams gets twice what it can run for a whole day. Requests that will be late
// must not take the places of those that can still be in time.
func TestALastingOverloadServesWhatCanBeInTime(t *testing.T) {
	g := NewWithT(t)
	d := newDay()
	d.arrivals(0, 60*time.Second, 150)
	d.play()
	capacity := 60 * slotCount / work.Seconds()
	t.Logf("in time %d, late %d, refused %d, held long %d of %.0f", d.inTime, d.late, d.refused, d.heldLong, capacity)
	g.Expect(float64(d.inTime)).To(BeNumerically(">=", 0.75*capacity))
	// A caller that cannot be served learns it at once.
	g.Expect(float64(d.heldLong)).To(BeNumerically("<=", 0.02*float64(d.refused)))
}

// A burst that lasts a few seconds: what cannot be in time is still served before its deadline.
func TestAShortBurstIsServedLate(t *testing.T) {
	g := NewWithT(t)
	d := newDay()
	d.arrivals(0, 10*time.Second, 45)
	d.arrivals(4*time.Second, 5*time.Second, 110)
	d.play()
	t.Logf("in time %d, late %d, refused %d", d.inTime, d.late, d.refused)
	g.Expect(float64(d.refused)).To(BeNumerically("<=", 0.02*float64(d.inTime+d.late)))
}

// calls lets short calls of running requests arrive at an interval. They are refused when no place is free soon.
func (d *day) calls(from time.Duration, count int, interval time.Duration) (refused, served *int) {
	refused, served = new(int), new(int)
	for i := range count {
		d.at(from+time.Duration(i)*interval, func(now time.Duration) {
			d.nextID++
			call := Request{
				ID: d.nextID, Route: "call", Priority: -1, Nested: true, MustMeetObjective: true,
				Deadline: now + 400*time.Millisecond, Objective: now + 120*time.Millisecond,
			}
			decision, actions := d.queue.Submit(now, call)
			d.apply(now, actions)
			if decision.Reason != "" && decision.Reason != ReasonTooLate {
				call.MustMeetObjective = false
				decision, actions = d.queue.Submit(now, call)
				d.apply(now, actions)
			}
			if decision.Reason != "" {
				*refused++
				return
			}
			*served++
			if decision.Started {
				d.starts = append(d.starts, now)
				d.at(now+30*time.Millisecond, func(now time.Duration) {
					d.apply(now, d.queue.FinishRequest(now, "call", 30*time.Millisecond))
				})
				return
			}
			d.waiting[call.ID] = client{began: now, asked: now}
		})
	}
	return refused, served
}

// Calls of running requests are short, and each one that is refused fails its parent, which has taken a slot elsewhere
// for nothing. A service that is overloaded by other requests has to run them all the same.
func TestCallsOfRunningRequestsAreServedInAnOverload(t *testing.T) {
	g := NewWithT(t)
	d := newDay()
	d.arrivals(0, 20*time.Second, 150)
	refused, served := d.calls(2*time.Second, 1200, 15*time.Millisecond)
	d.play()
	g.Expect(*refused).To(BeNumerically("<=", (*refused+*served)/50))
}

// Urgent requests are in time in an overload by others.
func TestUrgentRequestsAreInTimeInAnOverload(t *testing.T) {
	g := NewWithT(t)
	d := newDay()
	d.arrivals(0, 20*time.Second, 150)
	urgent := &day{queue: d.queue, random: d.random, waiting: map[uint64]client{}, nextID: 1 << 32}
	const sent = 360
	for i := range sent {
		d.at(2*time.Second+time.Duration(i)*50*time.Millisecond, func(now time.Duration) {
			urgent.nextID++
			decision, actions := d.queue.Submit(now, Request{
				ID: urgent.nextID, Route: "urgent", Deadline: now + deadline, Objective: now + objective, MustMeetObjective: true,
			})
			d.apply(now, actions)
			if decision.Started || decision.Queued {
				urgent.inTime++
			}
			if decision.Started {
				d.at(now+work, func(now time.Duration) { d.apply(now, d.queue.FinishRequest(now, "urgent", work)) })
			} else if decision.Queued {
				d.waiting[urgent.nextID] = client{began: now, asked: now}
			}
		})
	}
	d.play()
	g.Expect(urgent.inTime).To(BeNumerically(">=", sent*95/100))
}

// coldDay plays arrivals at a rate to an upstream that is cold all the while.
func coldDay(rate ColdRate, length time.Duration, perSecond float64) *day {
	d := newDay()
	d.queue.SetCold(0, length, rate)
	d.arrivals(0, length, perSecond)
	// The goroutines of the node call Tick when Next says so.
	for now := time.Duration(0); now < length; now += 10 * time.Millisecond {
		d.at(now, func(now time.Duration) { d.apply(now, d.queue.Tick(now)) })
	}
	return d
}

// mostInASecond returns the largest number of starts in a second before the end.
func mostInASecond(starts []time.Duration, end time.Duration) int {
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

// An upstream that has just started crashes at a rate well above what it bears.
func TestAColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	g := NewWithT(t)
	const perSecond, length = 13, 5 * time.Second
	d := coldDay(ColdRate{PerSecond: perSecond, Burst: 1}, length, 100)
	d.play()
	g.Expect(mostInASecond(d.starts, length)).To(BeNumerically("<=", perSecond))
}

// A node that starts again within a second knows nothing of what its predecessor sent to the cold upstream.
func TestANodeThatStartsAgainKeepsTheRateOfAColdUpstream(t *testing.T) {
	for _, perSecond := range []float64{2, 5, 11, 13, 40} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			g := NewWithT(t)
			const over, slack, length = 1.5, 5, 4 * time.Second
			rate := NewColdRate(perSecond, over, slack)
			before, after := coldDay(rate, length, 200), coldDay(rate, length, 200)
			before.play()
			after.play()
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
			g.Expect(float64(mostInASecond(starts, 2*length))).To(BeNumerically("<=", perSecond*over+slack))
			g.Expect(float64(len(starts))).To(BeNumerically(">=", perSecond*2*length.Seconds()))
		})
	}
}

// After a loss of power all upstreams are cold, and those that are called by others get several times what they bear.
// Starts that other requests used up at the beginning of a second left nothing for the calls of running requests, which
// fail their parents.
func TestCallsOfRunningRequestsAreServedByAColdUpstream(t *testing.T) {
	g := NewWithT(t)
	const length = 20 * time.Second
	d := coldDay(NewColdRate(13, 1.5, 5), length, 40)
	refused, served := d.calls(time.Second, 60, 150*time.Millisecond)
	d.play()
	g.Expect(*refused).To(BeNumerically("<=", (*refused+*served)/20))
}

// A request that was taken back leaves no trace, and a full queue gives way to a more urgent request.
func TestAFullQueueGivesWayToAnUrgentRequest(t *testing.T) {
	g := NewWithT(t)
	q := NewQueue(1)
	arrive := func(id uint64, priority int) (Decision, []Action) {
		return q.Submit(0, Request{ID: id, Route: "r", Priority: priority, Deadline: time.Hour, Objective: time.Hour})
	}
	d, _ := arrive(1, 2)
	g.Expect(d.Started).To(BeTrue())
	for id := uint64(2); id < 2+maxWaiting; id++ {
		d, _ = arrive(id, 2)
		g.Expect(d.Queued).To(BeTrue())
	}
	d, _ = arrive(90, 2)
	g.Expect(d.Reason).To(Equal(ReasonBusy))
	d, actions := arrive(91, 0)
	g.Expect(d.Queued).To(BeTrue())
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Reason).To(Equal(ReasonDisplaced))
	q.CancelWaiting(91)
	g.Expect(q.Load(0).Waiting).To(Equal(maxWaiting - 1))
}
