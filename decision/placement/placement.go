// Package placement decides in which order a node offers a request to the upstreams of a service.
package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// remotePenalty is added to the expected time of upstreams in other data centres, because bytes between data
	// centres are billed. Slower upstreams and short queues in the own data centre still meet most objectives.
	remotePenalty = 150 * time.Millisecond
	// remotePenaltyPerKB is added for each 1000 bytes of the body of a request. A body of 60 KB is worth as much waiting as
	// most objectives allow.
	remotePenaltyPerKB = 6 * time.Millisecond
	maxBodyPenalty     = time.Second
	// coldPenalty is added to the expected time of a cold upstream, so that it gets requests only if others are full.
	coldPenalty = 2 * time.Second
	// maxLoadAge is how long a reported load of an upstream is used.
	maxLoadAge = time.Second
	// defaultServiceTime is the assumed service time of an upstream that has not reported its load.
	defaultServiceTime = 100 * time.Millisecond
	// initialBackoff and maxBackoff bound the time for which an upstream whose node did not answer is ranked last. The
	// time doubles with each consecutive failure.
	initialBackoff = 300 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// unknownHealthBackoff is how long an upstream is ranked last after its node reported that it is checking the
	// upstream. A check takes a few milliseconds.
	unknownHealthBackoff = 100 * time.Millisecond
	// silenceFactor is the multiple of an upstream's mean service time after which a request to it counts as slow if its
	// node gave no sign, minSilence the shortest such time, and unknownSilence that of an upstream whose service time is
	// not known. The node announces a slow upstream after five times the mean service time of the route, and that a
	// request waits for a slot, so this concerns nodes that are dead, cut off or slow themselves.
	silenceFactor  = 6
	minSilence     = 400 * time.Millisecond
	unknownSilence = time.Second
	// skipShare is the share of the expected wait for a free slot during which an upstream that refused a request is
	// not asked again. maxSkip bounds that time, because waiting requests may be cancelled earlier.
	skipShare = 0.7
	maxSkip   = 250 * time.Millisecond
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.15
)

// Load is the load of an upstream as its node reported it.
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
	DataCentre     string
}

// upstreamState is what this node has observed of one upstream.
type upstreamState struct {
	load       Load
	reportedAt time.Duration
	// outstanding is the number of requests that this node sent to the upstream and that have not ended.
	outstanding int
	// failureRate is the moving average of the share of requests that failed.
	failureRate float64
	// unanswered is the number of consecutive requests that the upstream's node did not answer. The upstream is ranked
	// last until backoffUntil.
	unanswered   int
	backoffUntil time.Duration
	// Until skipUntil the upstream is expected to refuse requests of refusedPriority and less urgent ones. It expects
	// a free slot at expectedFreeAt.
	skipUntil time.Duration
	// Until skipBodiesUntil the link of the upstream's VM is expected to be too busy for large bodies.
	skipBodiesUntil time.Duration
	expectedFreeAt  time.Duration
	refusedPriority int
	// speed is the lasting factor of the upstream's service times against the mean, or 0 if it is not known. slowness is
	// the factor of the moment, as it was reported at slownessAt.
	speed      float64
	slowness   float64
	slownessAt time.Duration
}

// Table holds what this node has observed of each upstream and ranks upstreams by it. It is not safe for concurrent
// use.
type Table struct {
	upstreams map[string]*upstreamState
	rand      *rand.Rand
	// routeTimes holds the mean service time of each route over all upstreams, in nanoseconds.
	routeTimes  map[string]float64
	acceptances map[acceptanceKey]*acceptance
	// ranked is the memory of the last call of Rank, which the next one uses again.
	ranked []rankedCandidate
}

// rankedCandidate is a candidate, by its index, with what its place depends on.
type rankedCandidate struct {
	index     int
	cost      time.Duration
	inBackoff bool
}

// NewTable returns an empty table.
func NewTable(r *rand.Rand) *Table {
	return &Table{
		upstreams: map[string]*upstreamState{}, rand: r, routeTimes: map[string]float64{}, acceptances: map[acceptanceKey]*acceptance{},
	}
}

func (t *Table) upstream(id string) *upstreamState {
	u := t.upstreams[id]
	if u == nil {
		u = &upstreamState{load: Load{MeanServiceTime: defaultServiceTime}, reportedAt: -maxLoadAge}
		t.upstreams[id] = u
	}
	return u
}

// Rank returns the indexes of the candidates in the order of the time in which they are expected to answer a request with
// a body of bodyBytes bytes. Candidates that recently did not answer, or whose health is unknown, come last.
func (t *Table) Rank(now time.Duration, candidates []Candidate, bodyBytes int) []int {
	list := t.ranked[:0]
	for i, c := range candidates {
		u := t.upstream(c.ID)
		cost := u.expectedTime(now)
		if !c.SameDataCentre {
			cost += remotePenalty + min(maxBodyPenalty, remotePenaltyPerKB*time.Duration(bodyBytes)/1000)
		}
		// A small random part keeps nodes from all choosing the same upstream at the same time.
		cost += time.Duration(t.rand.Float64() * float64(time.Millisecond))
		list = append(list, rankedCandidate{i, cost, now < u.backoffUntil})
	}
	slices.SortFunc(list, func(a, b rankedCandidate) int {
		if a.inBackoff != b.inBackoff {
			if b.inBackoff {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.cost, b.cost)
	})
	t.ranked = list
	order := make([]int, len(list))
	for i, r := range list {
		order[i] = r.index
	}
	return order
}

// expectedTime estimates the time until an answer from the upstream.
func (u *upstreamState) expectedTime(now time.Duration) time.Duration {
	mean := max(u.load.MeanServiceTime, time.Millisecond)
	cost := mean
	if now-u.reportedAt < maxLoadAge && u.load.Slots > 0 {
		if excess := u.load.Running + u.load.Waiting + u.outstanding - u.load.Slots; excess >= 0 {
			cost += mean * time.Duration(excess+1) / time.Duration(u.load.Slots)
		}
		if u.load.Cold {
			cost += coldPenalty
		}
	}
	// A request that fails has to be repeated at another upstream, which takes more time.
	return time.Duration(float64(cost) / max(0.05, 1-u.failureRate))
}

// SilenceDelay returns the time after which a request to the upstream counts as slow if its node has given no sign.
func (t *Table) SilenceDelay(id string) time.Duration {
	u := t.upstream(id)
	if u.load.Slots == 0 {
		return unknownSilence
	}
	return max(minSilence, silenceFactor*u.load.MeanServiceTime)
}

// RecordRefusal records that an upstream refused a request of the given priority because it was full, and that it
// expects a free slot after the given time.
func (t *Table) RecordRefusal(now time.Duration, id string, priority int, after time.Duration) {
	u := t.upstream(id)
	if now < u.skipUntil && priority > u.refusedPriority {
		return
	}
	u.refusedPriority, u.expectedFreeAt = priority, now+after
	u.skipUntil = now + min(maxSkip, time.Duration(skipShare*float64(after)))
}

// RecordBodyRefusal records that the link of an upstream's VM was too busy for a large body, and that it is expected to be
// less busy after the given time. Small requests are not affected.
func (t *Table) RecordBodyRefusal(now time.Duration, id string, after time.Duration) {
	t.upstream(id).skipBodiesUntil = now + min(maxSkip, after)
}

// RefusalExpected reports whether an upstream is expected to refuse a request of the given priority, and the time until
// it is expected to accept one. Not asking such an upstream saves a message to another node, often in another data centre.
func (t *Table) RefusalExpected(now time.Duration, id string, priority int, hasLargeBody bool) (after time.Duration, expected bool) {
	u := t.upstream(id)
	if hasLargeBody && now < u.skipBodiesUntil {
		return u.skipBodiesUntil - now, true
	}
	return u.expectedFreeAt - now, now < u.skipUntil && priority >= u.refusedPriority
}

// RecordSent counts a request that is sent to an upstream.
func (t *Table) RecordSent(id string) { t.upstream(id).outstanding++ }

// RecordEnded records that a request that was sent to an upstream has ended.
func (t *Table) RecordEnded(id string) {
	u := t.upstream(id)
	u.outstanding = max(0, u.outstanding-1)
}

// RecordLoad records the load that an upstream's node reported in an answer.
func (t *Table) RecordLoad(now time.Duration, id string, l Load) {
	u := t.upstream(id)
	u.load, u.reportedAt = l, now
	u.unanswered, u.backoffUntil = 0, 0
}

// RecordOutcome records whether a request that the upstream ran has failed.
func (t *Table) RecordOutcome(id string, failed bool) {
	u := t.upstream(id)
	sample := 0.0
	if failed {
		sample = 1
	}
	u.failureRate += failureWeight * (sample - u.failureRate)
}

// RecordNoAnswer records that the upstream's node did not answer a request.
func (t *Table) RecordNoAnswer(now time.Duration, id string) {
	u := t.upstream(id)
	u.backoffUntil = now + min(maxBackoff, initialBackoff<<min(u.unanswered, 4))
	u.unanswered++
}

// RecordUnknownHealth records that the upstream's node does not currently know whether the upstream is healthy.
func (t *Table) RecordUnknownHealth(now time.Duration, id string) {
	u := t.upstream(id)
	u.backoffUntil = max(u.backoffUntil, now+unknownHealthBackoff)
}

// RetainOnly removes the state of upstreams that are not listed.
func (t *Table) RetainOnly(listed map[string]bool) {
	for id := range t.upstreams {
		if !listed[id] {
			delete(t.upstreams, id)
		}
	}
}
