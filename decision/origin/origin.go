// Package origin tells the requests of callers from nested calls, which an upstream makes while it runs a request. On a
// mesh without keys both reach the same address of the node, and their headers may say anything. The node is the only
// path to its upstream, so it knows what runs there and when.
package origin

import (
	"math"
	"strings"
	"time"
)

const (
	// deadlineTolerance is how much later than its parent a nested call may end. Deadlines travel as whole milliseconds.
	deadlineTolerance = 5 * time.Millisecond
	// nestedEvidence is the evidence, as the natural logarithm of a likelihood ratio, from which on a route counts as one
	// that only upstreams call. The estimate of chance is rough, because requests that come close together fit alike.
	nestedEvidence = 9
	// misfitEvidence is that of a request that no running one can have made. Few nested calls arrive after their parent
	// has ended, so one such request is enough for the route not to count as nested any more.
	misfitEvidence = -nestedEvidence
	// sampleCount is the number of earlier requests that say how often one with a given remaining time fits by chance.
	sampleCount = 64
)

// Running is a request that runs at the upstream. Times are on the process's monotonic clock.
type Running struct {
	ID string
	// Priority is lower for more urgent requests.
	Priority int
	// Deadline is when the upstream gives the request up, Objective when its answer should reach the caller.
	Deadline  time.Duration
	Objective time.Duration
	StartedAt time.Duration
	// Repeated is true if another upstream has received the request before.
	Repeated bool
	// Calls is the number of nested calls that the request made and that ended well.
	Calls int
}

// Origin says where a request comes from.
type Origin struct {
	// Nested is true for a nested call.
	Nested bool
	// Parent is the request that makes the call. It is the zero value if it is not known.
	Parent Running
}

// Classifier knows the requests that run at one upstream and tells nested calls from requests of callers. It is not safe
// for concurrent use.
type Classifier struct {
	running map[string]*execution
	// evidence holds, by route, how much speaks for a route that only upstreams call.
	evidence map[string]float64
	// longestRemaining is a ring of the longest remaining times of the running requests, as they were when requests arrived
	// that are no nested calls. seen is the number of these requests.
	longestRemaining [sampleCount]time.Duration
	seen             int
}

// NewClassifier returns a classifier of an upstream that runs nothing.
func NewClassifier() *Classifier {
	return &Classifier{running: map[string]*execution{}, evidence: map[string]float64{}}
}

// execution is the last of the running requests with one ID. count is their number: a request may have no ID, and a caller
// may send one again while it still runs.
type execution struct {
	Running
	count      int
	callFailed bool
}

// RecordStarted records that a request runs at the upstream.
func (c *Classifier) RecordStarted(r Running) {
	e := c.running[r.ID]
	if e == nil {
		e = &execution{}
		c.running[r.ID] = e
	}
	e.Running, e.callFailed = r, false
	e.count++
}

// RecordEnded records that one request with the ID no longer runs.
func (c *Classifier) RecordEnded(id string) {
	e := c.running[id]
	if e == nil {
		return
	}
	if e.count--; e.count == 0 {
		delete(c.running, id)
	}
}

// RecordCallEnded records that a nested call of the request with the ID has ended. After one that ended well the request has
// more to lose; one that failed will most likely make it fail.
func (c *Classifier) RecordCallEnded(parent string, failed bool) {
	r := c.running[parent]
	switch {
	case r == nil:
	case failed:
		r.callFailed = true
	default:
		r.Calls++
	}
}

// CallFailed reports whether a nested call of the running request with the ID has failed.
func (c *Classifier) CallFailed(id string) bool {
	r := c.running[id]
	return r != nil && r.callFailed
}

// Classify returns the origin of a request that has arrived with the given time until its caller gives up, and counts it
// for its route. The ID of a nested call may begin with the ID of its parent, which no caller can know while the parent
// runs. A route whose calls have no such IDs is known by when they come: a nested call comes only while its parent runs,
// and ends no later.
func (c *Classifier) Classify(now time.Duration, id, route string, remaining time.Duration) Origin {
	parent := c.parentByID(id)
	if parent != nil {
		return Origin{Nested: true, Parent: *parent}
	}
	longest := c.longestRunning(now)
	fits := remaining <= longest+deadlineTolerance
	step := float64(misfitEvidence)
	if fits {
		step = -math.Log(c.chanceOfFit(remaining))
	}
	c.evidence[route] = max(misfitEvidence, min(nestedEvidence, c.evidence[route]+step))
	if fits && c.evidence[route] >= nestedEvidence {
		return Origin{Nested: true}
	}
	c.longestRemaining[c.seen%sampleCount] = longest
	c.seen++
	return Origin{}
}

// chanceOfFit returns the share of moments, above 0, at which a request with the remaining time fits a running one. It is
// almost 1 while too little is known, which is evidence for nothing.
func (c *Classifier) chanceOfFit(remaining time.Duration) float64 {
	known := min(c.seen, sampleCount)
	fitting := 0
	for _, longest := range c.longestRemaining[:known] {
		if remaining <= longest+deadlineTolerance {
			fitting++
		}
	}
	if known < sampleCount/4 {
		return 1
	}
	return (float64(fitting) + 1) / (float64(known) + 1)
}

// parentByID returns the running request whose ID is followed by a separator and more in the given ID, or nil.
func (c *Classifier) parentByID(id string) *Running {
	for i := len(id) - 1; i > 0; i-- {
		if strings.IndexByte(separators, id[i]) < 0 {
			continue
		}
		if e := c.running[id[:i]]; e != nil {
			return &e.Running
		}
	}
	return nil
}

// separators are the characters that may follow the parent's ID in the ID of a nested call.
const separators = ".-_:|/~"

// longestRunning returns the longest remaining time of the running requests, or a negative time if none runs.
func (c *Classifier) longestRunning(now time.Duration) time.Duration {
	longest := -time.Hour
	for _, r := range c.running {
		longest = max(longest, r.Deadline-now)
	}
	return longest
}

// RetainOnly forgets the routes that are not known any more.
func (c *Classifier) RetainOnly(known func(route string) bool) {
	for route := range c.evidence {
		if !known(route) {
			delete(c.evidence, route)
		}
	}
}
