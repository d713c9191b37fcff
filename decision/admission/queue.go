package admission

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// Priority classes, in the order in which they are served.
const (
	interactive = iota
	normal
	background
	classCount
)

func classOf(p config.Priority) int {
	switch p {
	case config.PriorityInteractive:
		return interactive
	case config.PriorityBackground:
		return background
	}
	return normal
}

// trackedCall is a call that waits or runs.
type trackedCall struct {
	Call
	class   int
	flow    *flow
	started time.Duration
	running bool
	// deadlineIndex is the index in the queue's heap of deadlines, or -1.
	deadlineIndex int
	prev, next    *trackedCall
}

func (tc *trackedCall) heapIndex() *int { return &tc.deadlineIndex }

// flow is the first-in, first-out queue of one team's waiting calls in one class. A flow is kept when it is empty, so
// that a team that sends again keeps its start tag.
type flow struct {
	team   string
	weight float64
	// startTag is the virtual time at which the flow's next call is served.
	startTag    float64
	length      int
	first, last *trackedCall
	tagIndex    int
	lengthIndex int
}

func (f *flow) append(tc *trackedCall) {
	tc.prev, tc.next = f.last, nil
	if f.last == nil {
		f.first = tc
	} else {
		f.last.next = tc
	}
	f.last = tc
	f.length++
}

func (f *flow) remove(tc *trackedCall) {
	if tc.prev == nil {
		f.first = tc.next
	} else {
		tc.prev.next = tc.next
	}
	if tc.next == nil {
		f.last = tc.prev
	} else {
		tc.next.prev = tc.prev
	}
	tc.prev, tc.next = nil, nil
	f.length--
}

// weightedLength returns the number of waiting calls divided by the flow's weight.
func (f *flow) weightedLength() float64 { return float64(f.length) / f.weight }

// flowByTag and flowByLength wrap a flow as an element of the two heaps of a class.
type (
	flowByTag    struct{ *flow }
	flowByLength struct{ *flow }
)

func (t flowByTag) heapIndex() *int    { return &t.tagIndex }
func (l flowByLength) heapIndex() *int { return &l.lengthIndex }

// class is a weighted fair queue of teams (start-time fair queueing). The flow with the lowest start tag is served
// next, and its tag then advances by 1/weight. A flow that was empty continues at the current virtual time: it gets no
// credit for the time in which it was empty, and no penalty.
type class struct {
	flows         map[string]*flow
	flowsByTag    indexedHeap[flowByTag]
	flowsByLength indexedHeap[flowByLength]
	virtualTime   float64
	// activeWeight is the sum of the weights of the flows with waiting calls.
	activeWeight float64
	length       int
}

func newClass() class {
	return class{
		flows:         map[string]*flow{},
		flowsByTag:    indexedHeap[flowByTag]{less: func(a, b flowByTag) bool { return a.startTag < b.startTag }},
		flowsByLength: indexedHeap[flowByLength]{less: func(a, b flowByLength) bool { return a.weightedLength() > b.weightedLength() }},
	}
}

func (c *class) flow(team string, weight int) *flow {
	f := c.flows[team]
	if f == nil {
		f = &flow{team: team, weight: 1, tagIndex: -1, lengthIndex: -1}
		c.flows[team] = f
	}
	if w := float64(max(1, weight)); f.length == 0 {
		f.weight = w
	}
	return f
}

func (c *class) push(tc *trackedCall) {
	f := tc.flow
	f.append(tc)
	c.length++
	if f.length > 1 {
		c.flowsByLength.fix(flowByLength{f})
		return
	}
	f.startTag = max(f.startTag, c.virtualTime)
	c.activeWeight += f.weight
	c.flowsByTag.push(flowByTag{f})
	c.flowsByLength.push(flowByLength{f})
}

// remove removes a waiting call from its flow.
func (c *class) remove(tc *trackedCall) {
	f := tc.flow
	f.remove(tc)
	c.length--
	if f.length > 0 {
		c.flowsByLength.fix(flowByLength{f})
		return
	}
	c.activeWeight -= f.weight
	c.flowsByTag.remove(flowByTag{f})
	c.flowsByLength.remove(flowByLength{f})
}

// peek returns the call to be served next without removing it, or nil.
func (c *class) peek() *trackedCall {
	f, ok := c.flowsByTag.top()
	if !ok {
		return nil
	}
	return f.first
}

// serve removes the call that peek returned and advances the start tag of its flow.
func (c *class) serve(tc *trackedCall) {
	f := tc.flow
	c.virtualTime = f.startTag
	f.startTag += 1 / f.weight
	c.flowsByTag.fix(flowByTag{f})
	c.remove(tc)
}

// callsAhead returns an upper bound of the number of calls of the class that are served before a new call of the flow.
// While one call of this flow is served, activeWeight/weight calls of all flows together are served.
func (c *class) callsAhead(f *flow) float64 {
	weights := c.activeWeight
	if f.length == 0 {
		weights += f.weight
	}
	return min(float64(c.length), float64(f.length+1)*weights/f.weight-1)
}

// queue holds the waiting calls of all classes.
type queue struct {
	classes   [classCount]class
	deadlines indexedHeap[*trackedCall]
	length    int
}

func newQueue() queue {
	q := queue{deadlines: indexedHeap[*trackedCall]{less: func(a, b *trackedCall) bool { return a.Deadline < b.Deadline }}}
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	return q
}

func (q *queue) push(tc *trackedCall) {
	q.classes[tc.class].push(tc)
	q.deadlines.push(tc)
	q.length++
}

func (q *queue) remove(tc *trackedCall) {
	q.classes[tc.class].remove(tc)
	q.deadlines.remove(tc)
	q.length--
}

// pop removes and returns the call to be served next, or returns nil.
func (q *queue) pop() *trackedCall {
	for i := range q.classes {
		if tc := q.classes[i].peek(); tc != nil {
			q.classes[i].serve(tc)
			q.deadlines.remove(tc)
			q.length--
			return tc
		}
	}
	return nil
}

// popExpired removes and returns a call whose deadline has passed, or returns nil.
func (q *queue) popExpired(now time.Duration) *trackedCall {
	tc, ok := q.deadlines.top()
	if !ok || tc.Deadline > now {
		return nil
	}
	q.remove(tc)
	return tc
}

// callsAhead returns an upper bound of the number of waiting calls that are served before a new call of the flow.
func (q *queue) callsAhead(class int, f *flow) float64 {
	n := q.classes[class].callsAhead(f)
	for i := range class {
		n += float64(q.classes[i].length)
	}
	return n
}

// dropCandidate returns the waiting call to drop so that a new call of the flow can wait: in the lowest class with
// waiting calls, the last call of the flow with the greatest weighted length. It returns nil if the new call is to be
// refused instead.
func (q *queue) dropCandidate(class int, f *flow) *trackedCall {
	for i := classCount - 1; i >= class; i-- {
		long, ok := q.classes[i].flowsByLength.top()
		if !ok {
			continue
		}
		if i == class && long.weightedLength() <= float64(f.length+1)/f.weight {
			return nil
		}
		return long.last
	}
	return nil
}
