package sidecar

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/placement"
	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// innerPriority ranks the calls that upstreams make while they run a request: one that is refused wastes the
	// work of its parent.
	innerPriority = -1
	// maxAsked bounds the nodes that are asked for one request; a refusal costs one way between two nodes.
	maxAsked = 5
	// notReadyRetry is the Retry-After of a node that has just started.
	notReadyRetry = 300 * time.Millisecond
	// rateRetry is the Retry-After of a team over its rate.
	rateRetry = 500 * time.Millisecond
	// unavailableRetry is the Retry-After when no upstream can be used.
	unavailableRetry = 300 * time.Millisecond
)

// call is the state of one request at its entry node.
type call struct {
	n         *Node
	id        string
	view      *mesh.View
	route     *mesh.Route
	team      *mesh.Team
	service   string
	priority  int
	arrived   time.Duration
	deadline  time.Duration
	objective time.Duration
	caller    peer.Caller
	// sends counts the times that an upstream saw the request, asked the nodes that were asked.
	sends int
	asked int
	// tried are the upstreams that saw the request.
	tried map[string]bool
	last  answer
	to    string
	// held is a failure of an upstream that is delivered when no further attempt gets a response.
	held *fasthttp.Response
	// mayHaveRun is true once an attempt has ended without an answer that tells.
	mayHaveRun bool
	// reserved is true while a further attempt is taken from the retry budget in advance.
	reserved bool
}

// result is what the caller gets: the response of an upstream, or a reason.
type result struct {
	reason Reason
	after  time.Duration
}

// handle carries one request of a caller to its end.
func (n *Node) handle(ctx *fasthttp.RequestCtx) {
	n.working.Add(1)
	defer n.working.Add(-1)
	c := &call{n: n, arrived: n.o.Clock.Now(), view: n.o.View()}
	r := c.prepare(&ctx.Request)
	if r.reason == ReasonNone {
		c.caller = peer.NewCaller(ctx.Conn())
		r = c.carry(&ctx.Request, &ctx.Response)
		if r.reason != ReasonNone && c.held != nil {
			c.held.CopyTo(&ctx.Response)
			r = result{}
		}
	}
	if r.reason != ReasonNone {
		writeError(&ctx.Response, r.reason, r.after)
		if c.id != "" {
			ctx.Response.Header.Set(n.o.Headers.RequestID, c.id)
		}
	}
	if r.reason == ReasonMalformedRequest || n.stopping.Load() {
		ctx.Response.SetConnectionClose()
	}
	n.recorder.ended(c, r, ctx.Response.StatusCode())
}

// prepare checks a request and makes it ready to be sent.
func (c *call) prepare(req *fasthttp.Request) result {
	c.id = string(req.Header.Peek(c.n.o.Headers.RequestID))
	config := c.view.Config
	if config == nil {
		return result{ReasonNotReady, notReadyRetry}
	}
	if !peer.HasUnambiguousFraming(req) {
		return result{reason: ReasonMalformedRequest}
	}
	path, _, _ := bytes.Cut(req.Header.RequestURI(), []byte{'?'})
	if c.route = config.MatchRoute(string(req.Header.Host()), string(path)); c.route == nil {
		return result{reason: ReasonNoRoute}
	}
	if r := c.identify(config, req); r.reason != ReasonNone {
		return r
	}
	if c.n.controller.leaving.Load() && c.priority != innerPriority {
		// A request that is taken now may be cut when the grace ends; calls of requests in progress are short.
		return result{ReasonLeaving, shortestRetryAfter}
	}
	c.setTimes(req)
	c.service = choose(c.route.Destinations)
	c.clean(req)
	if c.team != nil && !c.n.leases.admit(c.team) {
		return result{ReasonTeamRateExceeded, rateRetry}
	}
	return result{}
}

// identify finds the team of the request and its priority.
func (c *call) identify(config *mesh.Config, req *fasthttp.Request) result {
	keys := req.Header.PeekAll(c.n.o.Headers.APIKey)
	c.priority = c.route.Priority
	if c.route.Public || len(config.Teams) == 0 {
		if len(keys) == 0 {
			c.priority = innerPriority
		}
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
	return result{}
}

// setTimes takes the shorter of the caller's deadline and the route's timeout.
func (c *call) setTimes(req *fasthttp.Request) {
	allowed := c.route.Timeout
	if ms, err := strconv.ParseFloat(string(req.Header.Peek(c.n.o.Headers.DeadlineMS)), 64); err == nil && ms > 0 {
		allowed = min(allowed, time.Duration(ms*float64(time.Millisecond)))
	}
	c.deadline = c.arrived + allowed
	c.objective = c.arrived + min(c.route.Objective, allowed)
}

// choose picks a destination in the proportion of the weights.
func choose(destinations []mesh.Destination) string {
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

// clean leaves what the upstream may see and sets what the node itself guarantees.
func (c *call) clean(req *fasthttp.Request) {
	names := &c.n.o.Headers
	peer.StripConnectionHeaders(req)
	for _, name := range [...]string{names.APIKey, names.Team, names.CallerService, names.ExpectUpstream, hopHeader} {
		req.Header.Del(name)
	}
	if c.team != nil {
		req.Header.Set(names.Team, c.team.Name)
	}
	req.Header.Set(names.CallerService, c.n.o.Settings.Service)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.SetNoDefaultContentType(true)
	// Setting the target again makes the codec send the original bytes.
	req.SetRequestURIBytes(req.Header.RequestURI())
}

// carry asks one upstream after the other. In the first pass each is asked to refuse at once when it would miss the
// objective; in the second the one with the shortest queue may answer late.
func (c *call) carry(req *fasthttp.Request, resp *fasthttp.Response) result {
	c.n.budgets.first(c.service)
	c.tried = map[string]bool{}
	shortest, after := mesh.Upstream{}, time.Duration(-1)
	full := func(u *mesh.Upstream, wait time.Duration) {
		if after < 0 || wait < after {
			shortest, after = *u, wait
		}
	}
	for _, u := range c.candidates() {
		if c.asked >= maxAsked {
			break
		}
		if wait, known := c.n.full(u.ID, c.priority); known {
			full(u, wait)
			continue
		}
		done, r := c.attempt(u, true, req, resp)
		if done {
			return r
		}
		if c.last.outcome == notRun && !c.last.arrived && c.last.reason == ReasonOverloaded {
			full(u, c.last.after)
		}
	}
	if shortest.ID == "" {
		return c.refused(unavailableRetry)
	}
	done, r := c.attempt(&shortest, false, req, resp)
	if done {
		return r
	}
	return c.refused(after)
}

// candidates returns the upstreams of the service in the order in which they are asked.
func (c *call) candidates() []*mesh.Upstream {
	byID := map[string]*mesh.Upstream{}
	var list []placement.Candidate
	for _, u := range c.view.UpstreamsByService[c.service] {
		if u.Draining || c.view.EvacuatedDataCentres[u.DataCentre] {
			continue
		}
		byID[u.ID] = u
		list = append(list, placement.Candidate{ID: u.ID, SameDataCentre: u.DataCentre == c.n.o.Settings.DataCentre})
	}
	ordered := make([]*mesh.Upstream, 0, len(list))
	for _, candidate := range c.n.order(list) {
		ordered = append(ordered, byID[candidate.ID])
	}
	return ordered
}

func (c *call) refused(after time.Duration) result {
	if c.mayHaveRun {
		return result{reason: ReasonAnswerLost}
	}
	reason := c.last.reason
	switch {
	case c.asked == 0:
		reason = ReasonNoUpstream
	case reason == ReasonDeadlineExceeded && c.n.o.Clock.Now() < c.deadline:
		reason = ReasonOverloaded
	case reason == ReasonNone || reason == ReasonLeaving || reason == ReasonDataCentreEvacuated || reason == ReasonWrongUpstream:
		reason = ReasonNoUpstream
	}
	return result{reason, after}
}

// attempt asks one upstream; done is true when the call has ended.
func (c *call) attempt(u *mesh.Upstream, strict bool, req *fasthttp.Request, resp *fasthttp.Response) (done bool, r result) {
	now := c.n.o.Clock.Now()
	if c.deadline-now < 2*answerMargin {
		return true, c.expired()
	}
	if c.sends > 0 && !c.mayRepeat(now) {
		return true, c.stopped()
	}
	c.asked++
	c.to = u.ID
	h := hop{
		upstream: u.ID, route: c.route.Name, remaining: c.deadline - now - answerMargin, objective: c.objective - now,
		priority: c.priority, idempotent: c.route.Idempotent, strict: strict,
		retriable: c.reserve(u, now),
	}
	c.n.sent(u.ID)
	c.last = c.n.send(u, &h, now, req, resp, c)
	c.n.ended(u.ID, c.priority, c.last)
	c.mayHaveRun = c.mayHaveRun || c.last.outcome == unknown
	if c.last.arrived {
		c.sends++
		c.tried[u.ID] = true
	}
	done, r = c.conclude(resp)
	if done && c.reserved {
		c.reserved = false
		c.n.budgets.refund(c.service)
	}
	return done, r
}

// reserve takes a further attempt in advance and reports whether the upstream need not be waited for to the end. An
// attempt that is broken off before its deadline must be followed by another one: the upstream may still be at work on it.
func (c *call) reserve(u *mesh.Upstream, now time.Duration) bool {
	if c.reserved {
		return true
	}
	if !c.route.Idempotent || c.n.stopping.Load() || c.sends+1 >= c.route.MaxAttempts || c.asked >= maxAsked ||
		!c.n.others(c, u.ID) {
		return false
	}
	c.reserved = c.n.budgets.extra(c.service, now)
	return c.reserved
}

// mayRepeat reports whether the request may be sent to a further upstream.
func (c *call) mayRepeat(now time.Duration) bool {
	if c.reserved {
		c.reserved = false
		return true
	}
	return c.sends < c.route.MaxAttempts && c.n.budgets.extra(c.service, now)
}

// stopped ends a call that an upstream refused or failed and that may not be sent again.
func (c *call) stopped() result {
	if c.mayHaveRun {
		return result{reason: ReasonAnswerLost}
	}
	return result{ReasonUpstreamShed, shortestRetryAfter}
}

func (c *call) expired() result {
	if c.mayHaveRun {
		return result{reason: ReasonTimedOut}
	}
	return result{ReasonDeadlineExceeded, shortestRetryAfter}
}

// conclude decides after an answer whether the call has ended.
func (c *call) conclude(resp *fasthttp.Response) (done bool, r result) {
	switch c.last.outcome {
	case ran:
		if c.route.Idempotent && resp.StatusCode() >= fasthttp.StatusInternalServerError &&
			resp.StatusCode() != fasthttp.StatusGatewayTimeout && c.canRepeat() {
			c.held = fasthttp.AcquireResponse()
			resp.CopyTo(c.held)
			return false, result{}
		}
		return true, result{}
	case notRun:
		return c.last.reason == ReasonCallerGone, result{reason: ReasonCallerGone}
	}
	if c.route.Idempotent && c.last.reason == ReasonAnswerLost && (c.reserved || c.canRepeat()) {
		return false, result{}
	}
	return true, result{reason: c.last.reason}
}

// canRepeat reports whether another upstream may be asked and is likely to answer in time. The budget is drawn when
// the attempt is made; here it is only looked at, so that a response that is ready is not given up for nothing.
func (c *call) canRepeat() bool {
	now := c.n.o.Clock.Now()
	return c.sends < c.route.MaxAttempts && (c.reserved || c.n.budgets.has(c.service)) && c.asked < maxAsked &&
		c.n.others(c, "") && now-c.arrived < (c.deadline-c.arrived)/2
}

// sendError translates an error of the connection to another node.
func sendError(sent peer.SendResult, err error) answer {
	switch {
	case errors.Is(err, peer.ErrCallerGone):
		return answer{outcome: unknown, reason: ReasonCallerGone, arrived: true}
	case sent == peer.NotSent:
		return answer{outcome: notRun, reason: ReasonUnreachable}
	case peer.IsTimeout(err):
		return answer{outcome: unknown, reason: ReasonTimedOut, arrived: true}
	}
	return answer{outcome: unknown, reason: ReasonAnswerLost, arrived: true}
}

// queueLoad converts the load of a controller for the placement.
func queueLoad(l slots.Load) placement.Load {
	return placement.Load{Running: l.Running, Waiting: l.Waiting, Slots: l.Slots, Cold: l.Cold, MeanServiceTime: l.MeanServiceTime}
}
