package admission

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// Classes of priority, from the first served to the last.
const (
	interactive = iota
	normal
	background
	classes
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

// waiter is a call that waits or runs.
type waiter struct {
	Call
	class   int
	flow    *flow
	started time.Duration
	running bool
	// byDeadline is the place in the queue's deadline heap.
	byDeadline int
	prev, next *waiter
}

func (w *waiter) place() *int { return &w.byDeadline }

// flow is the line of one team's waiting calls in one class, first in first out. A flow outlives its calls, so
// that a team that goes on sending does not start anew; there is one for each team and class.
type flow struct {
	team   string
	weight float64
	// tag is the virtual time at which the flow is served next.
	tag         float64
	length      int
	first, last *waiter
	byTag       int
	byLength    int
}

func (f *flow) append(w *waiter) {
	w.prev, w.next = f.last, nil
	if f.last == nil {
		f.first = w
	} else {
		f.last.next = w
	}
	f.last = w
	f.length++
}

func (f *flow) unlink(w *waiter) {
	if w.prev == nil {
		f.first = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		f.last = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	f.length--
}

// share is the length of the flow relative to its weight.
func (f *flow) share() float64 { return float64(f.length) / f.weight }

// byTag and byLength are views of a flow for the two heaps of a class.
type (
	tagged  struct{ *flow }
	longest struct{ *flow }
)

func (t tagged) place() *int  { return &t.byTag }
func (l longest) place() *int { return &l.byLength }

// class is a weighted fair queue among teams (start-time fair queueing): the flow with the least tag is served
// next, and its tag then advances by 1/weight. A flow that was idle starts at the current virtual time, so it
// neither catches up nor waits for the time it did not use.
type class struct {
	flows   map[string]*flow
	active  indexedHeap[tagged]
	lengths indexedHeap[longest]
	virtual float64
	// weights is the sum of the weights of active flows.
	weights float64
	length  int
}

func newClass() class {
	return class{
		flows:   map[string]*flow{},
		active:  indexedHeap[tagged]{less: func(a, b tagged) bool { return a.tag < b.tag }},
		lengths: indexedHeap[longest]{less: func(a, b longest) bool { return a.share() > b.share() }},
	}
}

func (c *class) flow(team string, weight int) *flow {
	f := c.flows[team]
	if f == nil {
		f = &flow{team: team, weight: 1, byTag: -1, byLength: -1}
		c.flows[team] = f
	}
	if w := float64(max(1, weight)); f.length == 0 {
		f.weight = w
	}
	return f
}

func (c *class) push(w *waiter) {
	f := w.flow
	f.append(w)
	c.length++
	if f.length > 1 {
		c.lengths.fix(longest{f})
		return
	}
	f.tag = max(f.tag, c.virtual)
	c.weights += f.weight
	c.active.push(tagged{f})
	c.lengths.push(longest{f})
}

// remove takes a waiting call out of its flow.
func (c *class) remove(w *waiter) {
	f := w.flow
	f.unlink(w)
	c.length--
	if f.length > 0 {
		c.lengths.fix(longest{f})
		return
	}
	c.weights -= f.weight
	c.active.remove(tagged{f})
	c.lengths.remove(longest{f})
}

// next returns the call to be served next without taking it out.
func (c *class) next() *waiter {
	f, ok := c.active.top()
	if !ok {
		return nil
	}
	return f.first
}

// serve takes out the call that next returned and charges its team.
func (c *class) serve(w *waiter) {
	f := w.flow
	c.virtual = f.tag
	f.tag += 1 / f.weight
	c.active.fix(tagged{f})
	c.remove(w)
}

// ahead bounds how many calls of the class are served before a new call of the flow: in the time in which the
// flow has its turn once, all active flows together have weights/weight turns.
func (c *class) ahead(f *flow) float64 {
	weights := c.weights
	if f.length == 0 {
		weights += f.weight
	}
	return min(float64(c.length), float64(f.length+1)*weights/f.weight-1)
}

// queue holds the waiting calls of all classes.
type queue struct {
	classes   [classes]class
	deadlines indexedHeap[*waiter]
	length    int
}

func newQueue() queue {
	q := queue{deadlines: indexedHeap[*waiter]{less: func(a, b *waiter) bool { return a.Deadline < b.Deadline }}}
	for i := range q.classes {
		q.classes[i] = newClass()
	}
	return q
}

func (q *queue) push(w *waiter) {
	q.classes[w.class].push(w)
	q.deadlines.push(w)
	q.length++
}

func (q *queue) remove(w *waiter) {
	q.classes[w.class].remove(w)
	q.deadlines.remove(w)
	q.length--
}

// pop takes out the call to be served next, or returns nil.
func (q *queue) pop() *waiter {
	for i := range q.classes {
		if w := q.classes[i].next(); w != nil {
			q.classes[i].serve(w)
			q.deadlines.remove(w)
			q.length--
			return w
		}
	}
	return nil
}

// expired takes out a call whose deadline has passed, or returns nil.
func (q *queue) expired(now time.Duration) *waiter {
	w, ok := q.deadlines.top()
	if !ok || w.Deadline > now {
		return nil
	}
	q.remove(w)
	return w
}

// ahead bounds how many waiting calls are served before a new call of the flow.
func (q *queue) ahead(class int, f *flow) float64 {
	n := q.classes[class].ahead(f)
	for i := range class {
		n += float64(q.classes[i].length)
	}
	return n
}

// victim returns the waiting call to be dropped so that a new call of the flow can wait, or nil when the new one
// is to be refused: the last call of the team with the longest line in the lowest class that waits.
func (q *queue) victim(class int, f *flow) *waiter {
	for i := classes - 1; i >= class; i-- {
		long, ok := q.classes[i].lengths.top()
		if !ok {
			continue
		}
		if i == class && long.share() <= float64(f.length+1)/f.weight {
			return nil
		}
		return long.last
	}
	return nil
}
