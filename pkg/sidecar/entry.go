package sidecar

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/origin"
	"github.com/bamboodeal/bamboodeal/decision/placement"
	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// nestedCallPriority is the priority, on a mesh with teams, of the calls that upstreams make while they run a request.
	// They rank before all others, because the refusal of such a call wastes the work on the request that it belongs to.
	nestedCallPriority = -1
	// maxNodesAsked bounds the number of nodes that are asked for one request, because each refusal costs the time of
	// an exchange between two nodes.
	maxNodesAsked = 5
	// notReadyRetryAfter is the Retry-After of a node that has just started.
	notReadyRetryAfter = 300 * time.Millisecond
	// rateExceededRetryAfter is the Retry-After of a team over its rate.
	rateExceededRetryAfter = 500 * time.Millisecond
	// unavailableRetryAfter is the Retry-After if no upstream can be used.
	unavailableRetryAfter = 300 * time.Millisecond
)

// call is the state of one request at its entry node.
type call struct {
	node     *Node
	id       string
	view     *mesh.View
	route    *mesh.Route
	team     *mesh.Team
	service  string
	priority int
	// nested is true for a call that the upstream beside the node makes while it runs a request, which is parent if it is
	// known.
	nested bool
	parent origin.Running
	// arrived, deadline and objective are times on the process's clock. objective is the time until which a response
	// meets the route's latency objective.
	arrived   time.Duration
	deadline  time.Duration
	objective time.Duration
	caller    peer.Caller
	// attemptsReceived counts the attempts that reached an upstream, nodesAsked the nodes that were asked. A node that
	// is asked may refuse the request before its upstream receives it.
	attemptsReceived int
	nodesAsked       int
	// reachedUpstreams holds the IDs of the upstreams that received the request.
	reachedUpstreams map[string]bool
	lastResult       attemptResult
	lastUpstream     string
	// heldFailure is an error response of an upstream, which is delivered if no extra attempt gets a response.
	heldFailure *fasthttp.Response
	// mayHaveRun is true once an attempt has ended with an unknown outcome.
	mayHaveRun bool
	// hedge is the hedge of the attempt in progress, or nil; hedges counts those that were started.
	hedge  *hedge
	hedges int
	// hedgeWon is true if the response is that of a hedge.
	hedgeWon bool
	// deniedUse names the use of the last extra attempt that the allocator of the budget denied, or is empty.
	deniedUse string
	// stopping is true if the node was stopping when the call ended.
	stopping bool
}

// result is how a call ended: with the response of an upstream if the reason is ReasonNone, or else with an error.
// retryAfter is for the Retry-After header of the error.
type result struct {
	reason     Reason
	retryAfter time.Duration
}

// handle serves one request of a caller.
func (n *Node) handle(ctx *fasthttp.RequestCtx) {
	n.requestsInProgress.Add(1)
	defer n.requestsInProgress.Add(-1)
	c := &call{node: n, arrived: n.o.Clock.Now(), view: n.o.View()}
	r := c.prepare(&ctx.Request)
	if r.reason == ReasonNone {
		c.caller = n.newCaller(ctx.Conn())
		r = c.runAttempts(&ctx.Request, &ctx.Response)
		r.reason = n.reasonOfUnfinished(r.reason, c.mayHaveRun)
		if r.reason != ReasonNone && c.heldFailure != nil {
			c.heldFailure.CopyTo(&ctx.Response)
			r = result{}
		}
	}
	if r.reason != ReasonNone {
		writeError(&ctx.Response, r.reason, r.retryAfter)
		if c.id != "" {
			ctx.Response.Header.Set(n.o.Headers.RequestID, c.id)
		}
	}
	c.recordParentCall(r, ctx.Response.StatusCode())
	c.stopping = n.stopping.Load()
	if r.reason == ReasonMalformedRequest || c.stopping {
		ctx.Response.SetConnectionClose()
	}
	n.recorder.recordEnd(c, r, ctx.Response.StatusCode())
}

// prepare checks a request and makes it ready to be sent. It returns a result with a reason if the request is refused.
func (c *call) prepare(req *fasthttp.Request) result {
	c.id = string(req.Header.Peek(c.node.o.Headers.RequestID))
	config := c.view.Config
	if config == nil {
		return result{ReasonNotReady, notReadyRetryAfter}
	}
	if !peer.HasUnambiguousFraming(req) {
		return result{reason: ReasonMalformedRequest}
	}
	path, _, _ := bytes.Cut(req.Header.RequestURI(), []byte{'?'})
	if c.route = config.MatchRoute(string(req.Header.Host()), string(path)); c.route == nil {
		return result{reason: ReasonNoRoute}
	}
	if r := c.identifyTeam(config, req); r.reason != ReasonNone {
		return r
	}
	c.setDeadlines(req)
	if len(config.Teams) == 0 {
		c.identifyOrigin(req)
	}
	deadline, accepted := c.node.endBeforeStop(c.arrived, c.deadline, c.nested)
	if !accepted {
		return result{ReasonLeaving, shortestRetryAfter}
	}
	c.deadline, c.objective = deadline, min(c.objective, deadline)
	c.service = chooseService(c.route.Destinations)
	c.rewriteHeaders(req)
	if c.team != nil && !c.node.teamLimiter.admit(c.team) {
		return result{ReasonTeamRateExceeded, rateExceededRetryAfter}
	}
	return result{}
}

// identifyTeam finds the team of the request and its priority. On a mesh with teams, a request without a key counts as a
// nested call if its route requires no key, and so does every request with the priority of nested calls.
func (c *call) identifyTeam(config *mesh.Config, req *fasthttp.Request) result {
	keys := req.Header.PeekAll(c.node.o.Headers.APIKey)
	c.priority = c.route.Priority
	if len(config.Teams) == 0 {
		return result{}
	}
	if c.route.Public {
		if len(keys) == 0 {
			c.priority = nestedCallPriority
		}
		c.nested = c.priority == nestedCallPriority
		return result{}
	}
	if len(keys) != 1 {
		return result{reason: ReasonUnknownKey}
	}
	if c.team = config.TeamByKey(string(keys[0])); c.team == nil {
		return result{reason: ReasonUnknownKey}
	}
	if c.team.HasPriority {
		c.priority = c.team.Priority
	}
	c.nested = c.priority == nestedCallPriority
	return result{}
}

// setDeadlines sets the deadline, to the shorter of the caller's deadline and the route's timeout, and the latency
// objective.
func (c *call) setDeadlines(req *fasthttp.Request) {
	allowed := c.route.Timeout
	if callerTime, ok := c.node.callerTime(req); ok {
		allowed = min(allowed, callerTime)
	}
	c.deadline = c.arrived + allowed
	c.objective = c.arrived + min(c.route.Objective, allowed)
}

// callerTime returns for how long the caller waits for the response, if its request says so.
func (n *Node) callerTime(req *fasthttp.Request) (time.Duration, bool) {
	ms, err := strconv.ParseFloat(string(req.Header.Peek(n.o.Headers.DeadlineMS)), 64)
	return time.Duration(ms * float64(time.Millisecond)), err == nil && ms > 0
}

// chooseService picks one of the destinations at random, in proportion to their weights.
func chooseService(destinations []mesh.Destination) string {
	if len(destinations) == 1 {
		return destinations[0].Service
	}
	total := 0.0
	for _, d := range destinations {
		total += d.Weight
	}
	at := rand.Float64() * total
	for _, d := range destinations {
		if at < d.Weight {
			return d.Service
		}
		at -= d.Weight
	}
	return destinations[len(destinations)-1].Service
}

// rewriteHeaders removes the headers that the upstream must not get from the caller, and sets those that the node
// vouches for.
func (c *call) rewriteHeaders(req *fasthttp.Request) {
	names := &c.node.o.Headers
	peer.StripConnectionHeaders(req)
	for _, name := range [...]string{names.APIKey, names.Team, names.CallerService, names.ExpectUpstream, hopHeader, fasthttp.HeaderExpect} {
		req.Header.Del(name)
	}
	if c.team != nil {
		req.Header.Set(names.Team, c.team.Name)
	}
	req.Header.Set(names.CallerService, c.node.o.Settings.Service)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.SetNoDefaultContentType(true)
	// Setting the request target again makes fasthttp send the original bytes.
	req.SetRequestURIBytes(req.Header.RequestURI())
}

// runAttempts asks one upstream after the other until one runs the request. In this first pass each is to refuse at
// once if it would miss the latency objective. If none runs it, the overloaded upstream that expects the shortest wait
// is asked to run it even if it responds after the objective.
func (c *call) runAttempts(req *fasthttp.Request, resp *fasthttp.Response) result {
	if c.nested {
		c.node.retryBudgets.countCall(c.service, c.repeatedShare())
	} else {
		c.node.retryBudgets.countRequest(c.service)
	}
	c.reachedUpstreams = map[string]bool{}
	var refusals refusals
	for _, u := range c.candidates(len(req.Body())) {
		if c.nodesAsked >= maxNodesAsked {
			break
		}
		if c.reachedUpstreams[u.ID] {
			// It received the request as a hedge.
			continue
		}
		if wait, known := c.node.recentlyRefused(u.ID, c.rank(), len(req.Body()) > askedBodyBytes); known {
			refusals.add(c, u, wait)
			continue
		}
		done, r := c.attempt(u, true, req, resp)
		if done {
			return r
		}
		if c.lastResult.outcome == outcomeNotRun && !c.lastResult.reachedUpstream &&
			(c.lastResult.reason == ReasonOverloaded || c.lastResult.reason == ReasonLinkBusy) {
			refusals.add(c, u, c.lastResult.retryAfter)
		}
	}
	if refusals.upstream.ID == "" {
		return c.refusal(unavailableRetryAfter)
	}
	done, r := c.attempt(&refusals.upstream, false, req, resp)
	if done {
		return r
	}
	if c.byLeastCost() && c.lastResult.reason == ReasonOverloaded {
		refusals.wait = c.lastResult.retryAfter
	}
	return c.refusal(refusals.wait)
}

// refusals holds the upstream that expects the shortest wait among those that refused a request, and that wait.
type refusals struct {
	upstream mesh.Upstream
	wait     time.Duration
}

// add adds an upstream that refused the request, or is expected to. On a mesh without teams, one of another data centre does
// not replace one of the own.
func (f *refusals) add(c *call, u *mesh.Upstream, wait time.Duration) {
	known := f.upstream.ID != ""
	if known && c.byLeastCost() && !c.isLocal(u) && c.isLocal(&f.upstream) {
		return
	}
	if !known || wait < f.wait {
		f.upstream, f.wait = *u, wait
	}
}

func (c *call) isLocal(u *mesh.Upstream) bool { return u.DataCentre == c.node.o.Settings.DataCentre }

// candidates returns the upstreams of the service in the order in which they are asked for a request with a body of the
// given size.
func (c *call) candidates(bodyBytes int) []*mesh.Upstream {
	all := c.view.UpstreamsByService[c.service]
	usable, list := make([]*mesh.Upstream, 0, len(all)), make([]placement.Candidate, 0, len(all))
	for _, u := range all {
		if u.Draining || c.view.EvacuatedDataCentres[u.DataCentre] {
			continue
		}
		usable = append(usable, u)
		list = append(list, placement.Candidate{ID: u.ID, SameDataCentre: u.DataCentre == c.node.o.Settings.DataCentre, DataCentre: u.DataCentre})
	}
	ordered := make([]*mesh.Upstream, 0, len(usable))
	for _, i := range c.node.orderCandidates(list, placement.Demand{Service: c.service, Route: c.route.Name, BodyBytes: bodyBytes}, c.byLeastCost()) {
		ordered = append(ordered, usable[i])
	}
	return ordered
}

// refusal returns the result of a call that no upstream accepted.
func (c *call) refusal(after time.Duration) result {
	if c.mayHaveRun {
		return result{reason: ReasonAnswerLost}
	}
	reason := c.lastResult.reason
	switch {
	case c.nodesAsked == 0:
		reason = ReasonNoUpstream
	case reason == ReasonDeadlineExceeded && c.node.o.Clock.Now() < c.deadline:
		reason = ReasonOverloaded
	case reason == ReasonNone || reason == ReasonLeaving || reason == ReasonDataCentreEvacuated || reason == ReasonWrongUpstream:
		reason = ReasonNoUpstream
	}
	return result{reason, after}
}

// attempt asks one upstream to run the request. done is true if the call has ended, with the result r.
func (c *call) attempt(u *mesh.Upstream, mustMeetObjective bool, req *fasthttp.Request, resp *fasthttp.Response) (done bool, r result) {
	now := c.node.o.Clock.Now()
	if c.deadline-now < 2*responseMargin {
		return true, c.deadlineExceeded()
	}
	// The caller may have left before this node read the request, if the process was late, or during an earlier attempt.
	if !c.caller.Connected() {
		return true, result{reason: ReasonCallerGone}
	}
	if c.attemptsReceived > 0 && !c.takeExtraAttempt(now) {
		return true, c.noExtraAttempt()
	}
	c.nodesAsked++
	c.lastUpstream = u.ID
	metadata := requestMetadata{
		upstream: u.ID, route: c.route.Name, remaining: c.deadline - now - responseMargin, objective: c.objective - now,
		priority: c.priority, nested: c.nested, idempotent: c.route.Idempotent, mustMeetObjective: mustMeetObjective, hedgeable: c.canHedge(u.ID),
		costlyToMove: len(req.Body()) > askedBodyBytes && u.DataCentre == c.node.o.Settings.DataCentre,
		repeated:     c.attemptsReceived > 0, firstAsked: c.nodesAsked == 1,
	}
	watch := &peer.Watch{Caller: c.caller}
	if metadata.hedgeable {
		watch.OnSlow = func() time.Duration { return c.hedgeSlowAttempt(u.ID, watch, req) }
	}
	c.node.recordSent(u.ID)
	c.lastResult = c.node.sendAttempt(u, &metadata, now, req, resp, watch, c.view, c.deadline)
	if c.lastResult.reason == ReasonCallerGone && c.hedge != nil && c.caller.Connected() {
		// The hedge has cancelled this attempt.
		c.lastResult.reason = ReasonAnswerLost
	}
	c.node.recordResult(u.ID, c.route.Name, c.rank(), c.lastResult)
	c.node.recordAsked(u, &c.lastResult)
	c.node.retryBudgets.recordOutcome(c.service, &c.lastResult)
	c.mayHaveRun = c.mayHaveRun || c.lastResult.outcome == outcomeUnknown
	if c.lastResult.reachedUpstream {
		c.attemptsReceived++
		c.reachedUpstreams[u.ID] = true
	}
	if c.hedge != nil {
		c.settleHedge(resp)
	}
	return c.handleResult(resp)
}

// takeExtraAttempt reports whether the request may be sent to another upstream, and takes that attempt from the budget.
func (c *call) takeExtraAttempt(now time.Duration) bool {
	if c.attemptsReceived >= c.route.MaxAttempts {
		return false
	}
	use := c.attemptUse()
	taken := c.node.retryBudgets.takeAttempt(c.service, use, now)
	if !taken {
		c.noteDenied(use)
	}
	return taken
}

// noExtraAttempt returns the result of a call that an upstream refused or failed and that may not be sent again.
func (c *call) noExtraAttempt() result {
	if c.mayHaveRun {
		return result{reason: ReasonAnswerLost}
	}
	return result{ReasonUpstreamShed, shortestRetryAfter}
}

// deadlineExceeded returns the result of a call that has no time left for an attempt.
func (c *call) deadlineExceeded() result {
	if c.mayHaveRun {
		return result{reason: ReasonTimedOut}
	}
	return result{ReasonDeadlineExceeded, shortestRetryAfter}
}

// handleResult decides whether the call has ended with the result of the last attempt.
func (c *call) handleResult(resp *fasthttp.Response) (done bool, r result) {
	switch c.lastResult.outcome {
	case outcomeRan:
		if c.route.Idempotent && resp.StatusCode() >= fasthttp.StatusInternalServerError && !c.failedByItsCall() &&
			resp.StatusCode() != fasthttp.StatusGatewayTimeout && len(resp.Body()) <= maxHeldFailureBody && c.canTryAnother() {
			c.heldFailure = fasthttp.AcquireResponse()
			resp.CopyTo(c.heldFailure)
			return false, result{}
		}
		return true, result{}
	case outcomeNotRun:
		return c.lastResult.reason == ReasonCallerGone, result{reason: ReasonCallerGone}
	}
	if c.route.Idempotent && c.lastResult.reason == ReasonAnswerLost && c.canTryAnother() {
		return false, result{}
	}
	return true, result{reason: c.lastResult.reason}
}

// canTryAnother reports whether another upstream may be asked and is likely to respond in time. It also checks that the
// retry budget has an extra attempt, because otherwise a response that could be delivered would be given up in vain.
// The attempt is taken from the budget only when it is made.
func (c *call) canTryAnother() bool {
	now := c.node.o.Clock.Now()
	if c.attemptsReceived >= c.route.MaxAttempts || c.nodesAsked >= maxNodesAsked || !c.node.hasOtherUpstream(c, "") ||
		now-c.arrived >= (c.deadline-c.arrived)/2 {
		return false
	}
	use := c.attemptUse()
	available := c.node.retryBudgets.hasAttempt(c.service, use)
	if !available {
		c.noteDenied(use)
	}
	return available
}

// sendErrorResult returns the result of an attempt that failed with an error of the connection to another node.
func sendErrorResult(sent peer.SendResult, err error) attemptResult {
	switch {
	case errors.Is(err, peer.ErrCallerGone):
		return attemptResult{outcome: outcomeUnknown, reason: ReasonCallerGone, reachedUpstream: true}
	case sent == peer.NotSent:
		return attemptResult{outcome: outcomeNotRun, reason: ReasonUnreachable}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return attemptResult{outcome: outcomeUnknown, reason: ReasonTimedOut, reachedUpstream: true}
	}
	return attemptResult{outcome: outcomeUnknown, reason: ReasonAnswerLost, reachedUpstream: true}
}

// placementLoad converts the load of a queue into that of package placement.
func placementLoad(l slots.Load) placement.Load {
	return placement.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Cold: l.Cold, MeanServiceTime: l.MeanServiceTime}
}
