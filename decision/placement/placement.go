// Package placement decides in which order the upstreams of a service are asked to run a request.
package placement

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// remoteCost is the time that a request may lose in its own data centre before another one is used: bytes
	// between data centres are billed. Slower upstreams and short queues nearby still meet most objectives.
	remoteCost = 150 * time.Millisecond
	// coldCost keeps requests away from a cold upstream while others have room.
	coldCost = 2 * time.Second
	// loadAge is how long a report of an upstream's load is used.
	loadAge = time.Second
	// defaultMean is the service time of an upstream that has not reported.
	defaultMean = 100 * time.Millisecond
	// firstSuspicion and longestSuspicion bound how long an upstream that did not answer is asked last; the time
	// doubles with each failure in a row.
	firstSuspicion   = 300 * time.Millisecond
	longestSuspicion = 3 * time.Second
	// unsureTime is how long an upstream is asked last that its node is checking; a check takes a few milliseconds.
	unsureTime = 100 * time.Millisecond
	// skipShare is the part of the wait that an upstream expects after which it is asked again, and longestSkip bounds
	// that time: what the queue holds may be given up before.
	skipShare   = 0.7
	longestSkip = 250 * time.Millisecond
	// failureWeight is the weight of a new outcome in the share of failures.
	failureWeight = 0.15
)

// Load is what an upstream's node last reported.
type Load struct {
	Running         int
	Waiting         int
	Slots           int
	Cold            bool
	MeanServiceTime time.Duration
}

// Candidate is an upstream that may run a request.
type Candidate struct {
	ID string
	// SameDataCentre is true for upstreams in the sender's data centre.
	SameDataCentre bool
}

// upstream is what the sender has seen of one upstream.
type upstream struct {
	load     Load
	reported time.Duration
	// sent are the requests that this node sent since the report and that have not ended.
	sent     int
	failures float64
	silent   int
	until    time.Duration
	// skipUntil is when requests of refusedPriority and less urgent ones ask the upstream again that refused one,
	// freeAt when it expected a place.
	skipUntil       time.Duration
	freeAt          time.Duration
	refusedPriority int
}

// Table remembers what was seen of each upstream. It is not safe for concurrent use.
type Table struct {
	seen map[string]*upstream
	rand *rand.Rand
}

// NewTable returns an empty table.
func NewTable(r *rand.Rand) *Table { return &Table{seen: map[string]*upstream{}, rand: r} }

func (t *Table) get(id string) *upstream {
	u := t.seen[id]
	if u == nil {
		u = &upstream{load: Load{MeanServiceTime: defaultMean}, reported: -loadAge}
		t.seen[id] = u
	}
	return u
}

// Rank sorts the candidates by the time in which they are expected to answer; suspected ones come last.
func (t *Table) Rank(now time.Duration, candidates []Candidate) []Candidate {
	type ranked struct {
		Candidate
		cost    time.Duration
		suspect bool
	}
	list := make([]ranked, 0, len(candidates))
	for _, c := range candidates {
		u := t.get(c.ID)
		cost := u.cost(now)
		if !c.SameDataCentre {
			cost += remoteCost
		}
		// A small random part keeps the senders from choosing the same upstream at the same time.
		cost += time.Duration(t.rand.Float64() * float64(time.Millisecond))
		list = append(list, ranked{c, cost, now < u.until})
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].suspect != list[j].suspect {
			return !list[i].suspect
		}
		return list[i].cost < list[j].cost
	})
	ordered := make([]Candidate, 0, len(list))
	for _, r := range list {
		ordered = append(ordered, r.Candidate)
	}
	return ordered
}

// cost estimates the time to an answer.
func (u *upstream) cost(now time.Duration) time.Duration {
	mean := max(u.load.MeanServiceTime, time.Millisecond)
	cost := mean
	if now-u.reported < loadAge && u.load.Slots > 0 {
		if over := u.load.Running + u.load.Waiting + u.sent - u.load.Slots; over >= 0 {
			cost += mean * time.Duration(over+1) / time.Duration(u.load.Slots)
		}
		if u.load.Cold {
			cost += coldCost
		}
	}
	// A request that fails has to be made again, elsewhere and later.
	return time.Duration(float64(cost) / max(0.05, 1-u.failures))
}

// RecordRefusal notes that an upstream refused a request of a priority for lack of room and expects a place after a time.
func (t *Table) RecordRefusal(now time.Duration, id string, priority int, after time.Duration) {
	u := t.get(id)
	if now < u.skipUntil && priority > u.refusedPriority {
		return
	}
	u.refusedPriority, u.freeAt = priority, now+after
	u.skipUntil = now + min(longestSkip, time.Duration(skipShare*float64(after)))
}

// RefusalExpected reports whether an upstream is known to refuse a request of the priority, and when it expects a place, from now.
// In an overload each refusal costs a way between two nodes, often between data centres.
func (t *Table) RefusalExpected(now time.Duration, id string, priority int) (after time.Duration, full bool) {
	u := t.get(id)
	return u.freeAt - now, now < u.skipUntil && priority >= u.refusedPriority
}

// RecordSent counts a request that goes to an upstream.
func (t *Table) RecordSent(id string) { t.get(id).sent++ }

// RecordEnded notes that a request is no longer with the upstream.
func (t *Table) RecordEnded(id string) {
	u := t.get(id)
	u.sent = max(0, u.sent-1)
}

// RecordLoad takes the load from an answer.
func (t *Table) RecordLoad(now time.Duration, id string, l Load) {
	u := t.get(id)
	u.load, u.reported = l, now
	u.silent, u.until = 0, 0
}

// RecordOutcome notes whether a request that the upstream ran succeeded.
func (t *Table) RecordOutcome(id string, failed bool) {
	u := t.get(id)
	sample := 0.0
	if failed {
		sample = 1
	}
	u.failures += failureWeight * (sample - u.failures)
}

// RecordNoAnswer notes that the upstream's node did not answer.
func (t *Table) RecordNoAnswer(now time.Duration, id string) {
	u := t.get(id)
	u.until = now + min(longestSuspicion, firstSuspicion<<min(u.silent, 4))
	u.silent++
}

// RecordUnknownHealth notes that the upstream's node does not know its upstream for the moment.
func (t *Table) RecordUnknownHealth(now time.Duration, id string) {
	u := t.get(id)
	u.until = max(u.until, now+unsureTime)
}

// RetainOnly forgets the upstreams that are not listed.
func (t *Table) RetainOnly(listed map[string]bool) {
	for id := range t.seen {
		if !listed[id] {
			delete(t.seen, id)
		}
	}
}
