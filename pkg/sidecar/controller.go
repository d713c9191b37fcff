package sidecar

import (
	"bytes"
	"errors"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/origin"
	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/decision/transfer"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// callerCheckInterval is how often a waiting request checks that its sender is still connected. An upstream must
	// not go on working for more than half a second after the caller has disconnected, even if the request passed two
	// nodes.
	callerCheckInterval = 150 * time.Millisecond
	// responseMargin is the part of a request's remaining time that each node on the way keeps for sending its
	// response.
	responseMargin = 8 * time.Millisecond
	// reservedConnections is how many of the upstream's connections are left free for health checks and for connections
	// that are about to close.
	reservedConnections = 8
	// defaultMaxConnections bounds the connections to the upstream while no configuration is known.
	defaultMaxConnections = 64
	// unackedTimeout is how long sent bytes may stay unacknowledged before the connection is closed. It leaves time
	// within the 3 s in which nodes have to recover.
	unackedTimeout = 1500 * time.Millisecond
	// upstreamIdleTimeout is shorter than the idle timeout of any known upstream, so that the node closes an idle
	// connection before the upstream does.
	upstreamIdleTimeout = 4 * time.Second
	// minRemainingTime is the least remaining time with which a request is sent to the upstream. With less, the
	// upstream could not respond in time.
	minRemainingTime = 10 * time.Millisecond
)

// controller runs requests at the upstream beside the node. No request reaches that upstream in another way.
type controller struct {
	o      *Options
	queue  *blockingQueue
	health *healthChecker
	pool   *peer.Pool
	link   *inboundLink
	// leaving is true once the node refuses new work because it stops.
	leaving            atomic.Bool
	requestsInProgress atomic.Int64
	// repeatsRunning counts the requests at the upstream that were sent to another one before.
	repeatsRunning atomic.Int64
	origins        *originTracker
	recorder       *recorder
}

func newController(o *Options, r *recorder, budget *peer.BodyBudget) *controller {
	c := &controller{o: o, queue: newBlockingQueue(o.Clock, 1), link: newInboundLink(o.Clock, o.Settings.LinkMbps), origins: newOriginTracker(), recorder: r}
	c.pool = peer.NewPool(peer.PoolOptions{
		Clock: o.Clock, IdleTimeout: upstreamIdleTimeout, MaxConnections: c.maxConnections, MatchResponse: c.isResponseTo, AllowCloseDelimited: true,
		CallerCheckInterval: callerCheckInterval, TCPUserTimeout: unackedTimeout, BodyBudget: budget,
	})
	c.health = newHealthChecker(o, c.pool, c.queue)
	return c
}

// maxConnections returns how many connections to the upstream requests may use.
func (c *controller) maxConnections() int {
	view := c.o.View()
	if view.Config == nil || view.Config.Services[c.o.Settings.Service] == nil {
		return defaultMaxConnections
	}
	return max(1, view.Config.Services[c.o.Settings.Service].MaxConnections-reservedConnections)
}

// isResponseTo reports whether a response belongs to a request, by their request IDs, which upstreams repeat. A response
// to an earlier request may come late, when the connection carries another one. Health checks and the answers to them
// have no ID.
func (c *controller) isResponseTo(req *fasthttp.Request, resp *fasthttp.Response) bool {
	return bytes.Equal(req.Header.Peek(c.o.Headers.RequestID), resp.Header.Peek(c.o.Headers.RequestID))
}

// refusalReason returns why the upstream with the ID gets no new work, or ReasonNone.
func (c *controller) refusalReason(upstream string) Reason {
	view := c.o.View()
	switch {
	case view.Config == nil:
		return ReasonNotReady
	case c.leaving.Load():
		return ReasonLeaving
	case view.EvacuatedDataCentres[c.o.Settings.DataCentre]:
		return ReasonDataCentreEvacuated
	case view.OwnUpstream == nil || view.OwnUpstream.Draining:
		return ReasonLeaving
	case upstream != view.OwnUpstream.ID || upstream != c.health.upstreamID():
		return ReasonWrongUpstream
	}
	return ReasonNone
}

// reservation is the permission to run a request at the upstream. It holds a slot until it is closed.
type reservation struct {
	controller *controller
	metadata   *requestMetadata
	deadline   time.Duration
	objective  time.Duration
	// inboundBytes is the size of the body that is being sent to this VM, or 0 once it has arrived.
	inboundBytes int
	// sample is the service time of the request, or 0 if that must not count as a sample.
	sample time.Duration
	closed bool
}

// Close releases the slot and the share of the link.
func (r *reservation) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	r.bodyArrived()
	r.controller.queue.releaseSlot(r.metadata.route, r.sample)
	r.controller.requestsInProgress.Add(-1)
	return nil
}

// bodyArrived records that the body of the request has arrived at this VM.
func (r *reservation) bodyArrived() {
	if r.inboundBytes > 0 {
		r.controller.link.finish(r.inboundBytes)
		r.inboundBytes = 0
	}
}

// reserve waits for a slot of the upstream, and before that for a share of the VM's link if inboundBytes of a body are
// still to be sent to this VM. arrived is when this node received the request, on the process's clock. The reservation
// is nil if the request is refused, with the result a. onWait is called if the request has to wait; it may be nil.
func (c *controller) reserve(
	metadata *requestMetadata, arrived time.Duration, inboundBytes int, caller peer.Caller, onWait func(),
) (r *reservation, a attemptResult) {
	c.requestsInProgress.Add(1)
	defer func() {
		if r == nil {
			c.requestsInProgress.Add(-1)
			c.addEstimates(&a, metadata.route)
		}
	}()
	if reason := c.refusalReason(metadata.upstream); reason != ReasonNone {
		return nil, attemptResult{outcome: outcomeNotRun, reason: reason}
	}
	r = &reservation{controller: c, metadata: metadata, deadline: arrived + metadata.remaining, objective: arrived + metadata.objective}
	if inboundBytes > askedBodyBytes {
		started, after := c.link.acquire(transfer.Request{
			Bytes: inboundBytes, Priority: metadata.priority, Deadline: r.deadline, Objective: arrived + metadata.objective,
			MustMeetObjective: metadata.mustMeetObjective,
		}, caller, onWait)
		if !started {
			return nil, attemptResult{outcome: outcomeNotRun, reason: ReasonLinkBusy, retryAfter: after}
		}
		r.inboundBytes = inboundBytes
	}
	reason, after := c.queue.acquireSlot(slots.Request{
		Route: metadata.route, Priority: metadata.priority, Deadline: r.deadline, Objective: arrived + metadata.objective,
		MustMeetObjective: metadata.mustMeetObjective, Nested: metadata.nested, CostlyToMove: metadata.costlyToMove,
		FirstAsked: metadata.firstAsked,
	}, caller, onWait)
	if reason != "" {
		r.bodyArrived()
		a = attemptResult{outcome: outcomeNotRun, reason: reasonOfQueueRefusal(reason), retryAfter: after}
		c.recorder.recordDecision(metadata, a.reason)
		return nil, a
	}
	c.recorder.recordDecision(metadata, ReasonNone)
	return r, attemptResult{}
}

// run sends the request to the upstream and closes the reservation. The watch learns when the upstream takes much longer
// than usual for a request that may be retried elsewhere.
func (r *reservation) run(req *fasthttp.Request, resp *fasthttp.Response, watch *peer.Watch) (a attemptResult) {
	c, metadata := r.controller, r.metadata
	// The load is that after the release of the slot.
	defer func() {
		_ = r.Close()
		c.addEstimates(&a, metadata.route)
	}()
	r.bodyArrived()
	// The node's state may have changed while the request waited for a slot.
	if reason := c.refusalReason(metadata.upstream); reason != ReasonNone {
		return attemptResult{outcome: outcomeNotRun, reason: reason}
	}
	if hedgeDelay := c.queue.hedgeDelay(metadata.route); metadata.hedgeable && hedgeDelay > 0 && hedgeDelay < metadata.remaining/2 {
		watch.SlowAt = time.Now().Add(hedgeDelay)
	}
	if metadata.repeated {
		c.repeatsRunning.Add(1)
		defer c.repeatsRunning.Add(-1)
	}
	id := string(req.Header.Peek(c.o.Headers.RequestID))
	c.origins.started(origin.Running{
		ID: id, Priority: metadata.priority, Deadline: r.deadline,
		Objective: r.objective, StartedAt: c.o.Clock.Now(), Repeated: metadata.repeated,
	})
	defer func() { a.callFailed = c.origins.ended(id) }()
	a, r.sample = c.sendToUpstream(metadata, r.deadline, req, resp, watch)
	return a
}

// addEstimates adds the load of the upstream, and what it needs for a request of the route, to a result.
func (c *controller) addEstimates(a *attemptResult, route string) {
	a.load, a.serviceTime, a.slowness = c.queue.estimates(route)
}

// repeatedShare returns which share of the requests that run at the upstream, from 0 to 1, were sent to another one before.
func (c *controller) repeatedShare() float64 {
	running := c.queue.load().Running
	if running == 0 {
		return 0
	}
	return min(1, float64(c.repeatsRunning.Load())/float64(running))
}

// serve runs a request at the upstream, or refuses it.
func (c *controller) serve(metadata *requestMetadata, arrived time.Duration, req *fasthttp.Request, resp *fasthttp.Response, watch *peer.Watch) attemptResult {
	r, a := c.reserve(metadata, arrived, 0, watch, nil)
	if r == nil {
		return a
	}
	return r.run(req, resp, watch)
}

// reasonOfQueueRefusal returns the Reason for a refusal by the queue.
func reasonOfQueueRefusal(r slots.RefusalReason) Reason {
	switch r {
	case slots.ReasonTooLate:
		return ReasonDeadlineExceeded
	case refusalLeaving:
		return ReasonLeaving
	}
	return ReasonOverloaded
}

// sendToUpstream sends the request once and waits for the response until the deadline. Besides the result it returns
// the service time, or 0 if that must not count as a sample.
func (c *controller) sendToUpstream(metadata *requestMetadata, deadline time.Duration, req *fasthttp.Request, resp *fasthttp.Response, watch *peer.Watch) (attemptResult, time.Duration) {
	start := c.o.Clock.Now()
	left := deadline - start
	if left < minRemainingTime {
		return attemptResult{outcome: outcomeNotRun, reason: ReasonDeadlineExceeded}, 0
	}
	until := time.Now().Add(left)
	conn, err := c.pool.Acquire(peer.Target{Address: c.o.Settings.UpstreamAddress}, until, false)
	if err != nil {
		if !errors.Is(err, peer.ErrTooManyConnections) && !errors.Is(err, peer.ErrDeadlinePassed) {
			c.health.reportUnreachable(err)
		}
		return attemptResult{outcome: outcomeNotRun, reason: ReasonUnreachable}, 0
	}
	if !watch.Connected() {
		conn.Release()
		return attemptResult{outcome: outcomeNotRun, reason: ReasonCallerGone}, 0
	}
	c.setHeaders(metadata, req, left-responseMargin)
	slowAt := watch.SlowAt
	if !metadata.idempotent {
		// A request that may run only once is not cancelled when the caller disconnects, because its outcome would then
		// be unknown.
		watch = &peer.Watch{Caller: ignoreDisconnect(watch.Caller)}
	}
	sent, err := conn.SendWatched(req, resp, until, watch)
	if sent != peer.ResponseReceived {
		a, sample := c.sendFailure(sent, err), time.Duration(0)
		if gaveUp := a.reason == ReasonTimedOut || a.reason == ReasonCallerGone; gaveUp && !slowAt.IsZero() && time.Now().After(slowAt) {
			// The upstream may be slow instead of having lost the response, so the time until it was slow counts.
			sample = left - until.Sub(slowAt)
		}
		return a, sample
	}
	if report, ok := c.o.readLoad(resp); ok {
		c.queue.recordReport(report)
	}
	if len(resp.Header.Peek(c.o.Headers.NotExecuted)) > 0 || resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		if resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
			c.health.reportReplaced()
		}
		return attemptResult{outcome: outcomeNotRun, reason: ReasonUpstreamShed, reachedUpstream: true}, 0
	}
	removeHopByHopHeaders(resp, c.o.Headers.UpstreamLoad)
	return attemptResult{outcome: outcomeRan, reachedUpstream: true}, c.o.Clock.Now() - start
}

// sendFailure returns the result of a request that got no complete response.
func (c *controller) sendFailure(sent peer.SendResult, err error) attemptResult {
	switch {
	case errors.Is(err, peer.ErrDeadlinePassed):
		return attemptResult{outcome: outcomeNotRun, reason: ReasonDeadlineExceeded}
	case sent == peer.NotSent:
		c.health.reportBrokenConnection(err)
		return attemptResult{outcome: outcomeNotRun, reason: ReasonUnreachable}
	case errors.Is(err, peer.ErrCallerGone):
		return attemptResult{outcome: outcomeUnknown, reason: ReasonCallerGone, reachedUpstream: true}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return attemptResult{outcome: outcomeUnknown, reason: ReasonTimedOut, reachedUpstream: true}
	}
	c.health.reportBrokenConnection(err)
	return attemptResult{outcome: outcomeUnknown, reason: ReasonAnswerLost, reachedUpstream: true}
}

// setHeaders replaces the header between nodes by those for the upstream.
func (c *controller) setHeaders(metadata *requestMetadata, req *fasthttp.Request, left time.Duration) {
	req.Header.Del(hopHeader)
	req.Header.Set(c.o.Headers.ExpectUpstream, metadata.upstream)
	req.Header.Set(c.o.Headers.DeadlineMS, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// removeHopByHopHeaders removes the headers that are meant for a single connection (RFC 9110, section 7.6.1) and the
// named ones.
func removeHopByHopHeaders(resp *fasthttp.Response, names ...string) {
	resp.Header.ResetConnectionClose()
	for _, name := range [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "Transfer-Encoding", "Trailer"} {
		resp.Header.Del(name)
	}
	for _, name := range names {
		resp.Header.Del(name)
	}
}
