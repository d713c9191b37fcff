package sidecar

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/origin"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// originTracker is an origin.Classifier that is safe for concurrent use.
type originTracker struct {
	mu         sync.Mutex
	classifier *origin.Classifier
}

func newOriginTracker() *originTracker { return &originTracker{classifier: origin.NewClassifier()} }

func (t *originTracker) started(r origin.Running) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classifier.RecordStarted(r)
}

// ended records that a request no longer runs, and reports whether a nested call of it failed.
func (t *originTracker) ended(id string) (callFailed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	callFailed = t.classifier.CallFailed(id)
	t.classifier.RecordEnded(id)
	return callFailed
}

// callEnded records that a nested call of the running request with the ID has ended.
func (t *originTracker) callEnded(parent string, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classifier.RecordCallEnded(parent, failed)
}

// retainRoutes forgets the routes that are not in the configuration.
func (t *originTracker) retainRoutes(config *mesh.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.classifier.RetainOnly(config.HasRoute)
}

// classify returns the origin of a request that a caller or the upstream sent to the node, with the time until its sender
// gives up.
func (c *controller) classify(id, route string, remaining time.Duration) origin.Origin {
	c.origins.mu.Lock()
	defer c.origins.mu.Unlock()
	return c.origins.classifier.Classify(c.o.Clock.Now(), id, route, remaining)
}

// identifyOrigin finds out, on a mesh without teams, whether the request is a nested call. It then has the priority of the
// request that makes it, because that request fails with it.
func (c *call) identifyOrigin(req *fasthttp.Request) {
	remaining, ok := c.node.callerTime(req)
	if !ok {
		remaining = c.route.Timeout
	}
	from := c.node.controller.classify(c.id, c.route.Name, remaining)
	c.nested, c.parent = from.Nested, from.Parent
	if c.nested {
		c.node.recorder.recordOrigin(c.route.Name, c.parent.ID != "")
	}
	if c.parent.ID != "" {
		c.priority = c.parent.Priority
	}
}

// repeatedShare returns the probability that the request which makes this nested call is an extra attempt.
func (c *call) repeatedShare() float64 {
	switch {
	case c.parent.ID == "":
		return c.node.controller.repeatedShare()
	case c.parent.Repeated:
		return 1
	}
	return 0
}

// rank returns the priority as it counts for refusals: what an upstream refuses to a caller it may accept from a running
// request.
func (c *call) rank() int {
	if c.nested {
		return nestedCallPriority
	}
	return c.priority
}

// byLeastCost reports whether the mesh has no teams, so that its routes alone say what is urgent.
func (c *call) byLeastCost() bool { return len(c.view.Config.Teams) == 0 }

// failedByItsCall reports, on a mesh without teams, whether the last attempt failed because a nested call of it did. Another
// attempt makes its calls again. They count as extra attempts at the service that they call, and would take the budget
// with which a single call can be repeated.
func (c *call) failedByItsCall() bool { return c.byLeastCost() && c.lastResult.callFailed }
