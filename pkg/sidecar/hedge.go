package sidecar

import (
	"time"

	"github.com/sourcegraph/conc/panics"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/retry"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// hedgeRetryDelay is how long a slow attempt waits for its upstream after a hedge was refused or could not be started,
// before it tries another upstream.
const hedgeRetryDelay = 100 * time.Millisecond

// hedge is a second attempt at an idempotent request. It runs while the first one still waits for its upstream, which
// takes much longer than usual. The first attempt is cancelled only when the hedge has an answer: other upstreams may
// refuse the hedge, and the work of the first one must not be lost then.
type hedge struct {
	upstream mesh.Upstream
	request  fasthttp.Request
	response fasthttp.Response
	watch    peer.Watch
	// result may be read once done is closed.
	result attemptResult
	done   chan struct{}
}

// hasAnswer reports whether the hedge got a response that is worth more than waiting for the first attempt.
func (h *hedge) hasAnswer() bool {
	return h.result.outcome == outcomeRan && h.response.StatusCode() < fasthttp.StatusInternalServerError
}

// canHedge reports whether the request may be sent to another upstream while one is at work on it.
func (c *call) canHedge(running string) bool {
	return c.route.Idempotent && c.attemptsReceived+1 < c.route.MaxAttempts && c.nodesAsked < maxNodesAsked && c.node.hasOtherUpstream(c, running)
}

// hedgeSlowAttempt starts a hedge, unless one is running, for an attempt at the upstream running, whose response is
// late. It returns the time after which to try again, or 0 for never. req is the request as it was sent.
func (c *call) hedgeSlowAttempt(running string, first *peer.Watch, req *fasthttp.Request) time.Duration {
	if c.hedge != nil {
		select {
		case <-c.hedge.done:
			if c.hedge.hasAnswer() {
				// It has cancelled this attempt, and settleHedge takes its answer.
				return 0
			}
			c.absorbHedge()
		default:
			return hedgeRetryDelay
		}
	}
	now := c.node.o.Clock.Now()
	if !c.canHedge(running) || c.deadline-now < 2*responseMargin {
		return 0
	}
	if u := c.hedgeUpstream(running, len(req.Body())); u != nil {
		if c.node.retryBudgets.takeAttempt(c.service, retry.UseHedge, now) {
			c.startHedge(u, now, first, req)
		} else {
			c.noteDenied(retry.UseHedge)
		}
	}
	return hedgeRetryDelay
}

// hedgeUpstream returns the upstream for a hedge, or nil if all others have the request already or refused one like it
// a moment ago.
func (c *call) hedgeUpstream(running string, bodyBytes int) *mesh.Upstream {
	for _, u := range c.candidates(bodyBytes) {
		if u.ID == running || c.reachedUpstreams[u.ID] {
			continue
		}
		if _, refused := c.node.recentlyRefused(u.ID, c.rank(), bodyBytes > askedBodyBytes); !refused {
			return u
		}
	}
	return nil
}

// startHedge sends the request to the upstream u from another goroutine.
func (c *call) startHedge(u *mesh.Upstream, now time.Duration, first *peer.Watch, req *fasthttp.Request) {
	h := &hedge{upstream: *u, done: make(chan struct{})}
	metadata := requestMetadata{
		upstream: u.ID, route: c.route.Name, remaining: c.deadline - now - responseMargin, objective: c.objective - now,
		priority: c.priority, nested: c.nested, idempotent: true, mustMeetObjective: true, repeated: true,
	}
	req.CopyTo(&h.request)
	c.hedge = h
	c.hedges++
	c.nodesAsked++
	n, view, deadline, service, route, rank := c.node, c.view, c.deadline, c.service, c.route.Name, c.rank()
	n.recordSent(u.ID)
	n.requestsInProgress.Add(1)
	go func() {
		defer n.requestsInProgress.Add(-1)
		defer close(h.done)
		h.result = attemptResult{outcome: outcomeUnknown, reason: ReasonAnswerLost, reachedUpstream: true}
		fault := panics.Try(func() {
			h.result = n.sendAttempt(&h.upstream, &metadata, now, &h.request, &h.response, &h.watch, view, deadline)
		})
		if fault != nil {
			n.o.Log.WithError(fault.AsError()).Error("a hedge failed inside the node; the first attempt goes on")
		}
		n.recordResult(h.upstream.ID, route, rank, h.result)
		n.recordAsked(&h.upstream, &h.result)
		n.retryBudgets.recordOutcome(service, &h.result)
		n.recorder.recordHedge(service, &h.result)
		if !h.result.reachedUpstream {
			n.retryBudgets.refundAttempt(service)
		}
		if h.hasAnswer() {
			first.Cancel()
		}
	}()
}

// absorbHedge takes over what a hedge that has ended says about the request.
func (c *call) absorbHedge() {
	h := c.hedge
	c.hedge = nil
	c.mayHaveRun = c.mayHaveRun || h.result.outcome == outcomeUnknown
	if h.result.reachedUpstream {
		c.attemptsReceived++
		c.reachedUpstreams[h.upstream.ID] = true
	}
}

// settleHedge ends the hedge after the first attempt has ended with c.lastResult. If the first attempt has no good
// answer, it waits for the hedge and takes its answer, if there is one, as that of the call.
func (c *call) settleHedge(resp *fasthttp.Response) {
	h := c.hedge
	if c.lastResult.outcome == outcomeRan && resp.StatusCode() < fasthttp.StatusInternalServerError {
		h.watch.Cancel()
		return
	}
	if !c.awaitHedge(h) {
		h.watch.Cancel()
		c.mayHaveRun = true
		c.lastResult = attemptResult{outcome: outcomeUnknown, reason: ReasonCallerGone, reachedUpstream: true}
		return
	}
	c.absorbHedge()
	if h.result.outcome == outcomeRan && (h.hasAnswer() || c.lastResult.outcome != outcomeRan) {
		h.response.CopyTo(resp)
		c.lastResult, c.lastUpstream, c.hedgeWon = h.result, h.upstream.ID, true
	}
}

// awaitHedge waits until the hedge has ended, which it does before the deadline. It returns false if the caller
// disconnects before that.
func (c *call) awaitHedge(h *hedge) bool {
	check := time.NewTicker(callerCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-h.done:
			return true
		default:
		}
		if !c.caller.Connected() {
			return false
		}
		select {
		case <-h.done:
			return true
		case <-check.C:
		}
	}
}
