package sidecar

import (
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// watchInterval is how often a waiting request checks that its sender is still connected. Upstreams must not
	// work on for more than half a second after a caller has left, over two nodes.
	watchInterval = 150 * time.Millisecond
	// answerMargin is the part of a request's time that each node on the way keeps for its own answer.
	answerMargin = 8 * time.Millisecond
	// reservedConnections are left for health checks and for connections that are about to close.
	reservedConnections = 8
	// defaultConnections applies while no configuration is known.
	defaultConnections = 64
	// unackedTimeout closes connections that went silent. It is a part of the 3 s in which nodes have to recover.
	unackedTimeout = 1500 * time.Millisecond
	// upstreamIdleTimeout is below the shortest idle time of the upstreams that is known.
	upstreamIdleTimeout = 4 * time.Second
	// minDeadline is the shortest deadline with which an upstream is asked; less is no real offer.
	minDeadline = 10 * time.Millisecond
)

// controller is the only way to the upstream beside the node.
type controller struct {
	o       *Options
	queue   *queue
	health  *health
	pool    *peer.Pool
	leaving atomic.Bool
	working atomic.Int64
}

func newController(o *Options) *controller {
	c := &controller{o: o, queue: newQueue(o.Clock, 1)}
	c.pool = peer.NewPool(peer.PoolOptions{
		Clock: o.Clock, IdleTimeout: upstreamIdleTimeout, MaxConnections: c.connections, MatchResponse: c.answers, AllowCloseDelimited: true,
		CallerCheckInterval: watchInterval, TCPUserTimeout: unackedTimeout,
	})
	c.health = newHealth(o, c.pool, c.queue)
	return c
}

func (c *controller) connections() int {
	view := c.o.View()
	if view.Config == nil || view.Config.Services[c.o.Settings.Service] == nil {
		return defaultConnections
	}
	return max(1, view.Config.Services[c.o.Settings.Service].MaxConnections-reservedConnections)
}

// answers compares the request's ID: a response may come late, when the connection carries another request.
func (c *controller) answers(req *fasthttp.Request, resp *fasthttp.Response) bool {
	id := req.Header.Peek(c.o.Headers.RequestID)
	got := resp.Header.Peek(c.o.Headers.RequestID)
	return len(id) == 0 || len(got) == 0 || string(id) == string(got)
}

// refusal returns why the upstream gets no new work, or ReasonNone.
func (c *controller) refusal(upstream string) Reason {
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
	case upstream != view.OwnUpstream.ID || upstream != c.health.upstream():
		return ReasonWrongUpstream
	}
	return ReasonNone
}

// serve runs a request at the upstream, or refuses it. deadline and objective are on the process's clock.
func (c *controller) serve(h *hop, arrived time.Duration, req *fasthttp.Request, resp *fasthttp.Response, caller peer.Caller) (a answer) {
	c.working.Add(1)
	defer c.working.Add(-1)
	defer func() { a.load = c.queue.load() }()
	if reason := c.refusal(h.upstream); reason != ReasonNone {
		return answer{outcome: notRun, reason: reason}
	}
	deadline := arrived + h.remaining
	reason, after := c.queue.enter(slots.Request{
		Route: h.route, Priority: h.priority, Deadline: deadline, Objective: arrived + h.objective,
		MustMeetObjective: h.strict, Nested: h.priority == innerPriority,
	}, caller)
	if reason != "" {
		return answer{outcome: notRun, reason: queueReason(reason), after: after}
	}
	sample := time.Duration(0)
	defer func() { c.queue.leave(h.route, sample) }()
	// The state may have changed while the request waited.
	if reason := c.refusal(h.upstream); reason != ReasonNone {
		return answer{outcome: notRun, reason: reason}
	}
	limit := deadline
	if tryTimeout := c.queue.tryTimeout(h.route); h.retriable && tryTimeout > 0 && tryTimeout < h.remaining/2 {
		limit = min(limit, c.o.Clock.Now()+tryTimeout)
	}
	a, sample = c.forward(h, deadline, limit, req, resp, caller)
	return a
}

func queueReason(r slots.RefusalReason) Reason {
	if r == slots.ReasonTooLate {
		return ReasonDeadlineExceeded
	}
	return ReasonOverloaded
}

// forward sends the request once, waits for its answer until the limit, and returns its service time, or 0 when it is no
// sample.
func (c *controller) forward(h *hop, deadline, limit time.Duration, req *fasthttp.Request, resp *fasthttp.Response, caller peer.Caller) (answer, time.Duration) {
	start := c.o.Clock.Now()
	left := deadline - start
	if left < minDeadline {
		return answer{outcome: notRun, reason: ReasonDeadlineExceeded}, 0
	}
	until := time.Now().Add(limit - start)
	conn, err := c.pool.Acquire(peer.Target{Address: c.o.Settings.UpstreamAddress}, until, false)
	if err != nil {
		if !errors.Is(err, peer.ErrTooManyConnections) && !errors.Is(err, peer.ErrDeadlinePassed) {
			c.health.unreachable(err)
		}
		return answer{outcome: notRun, reason: ReasonUnreachable}, 0
	}
	if caller != nil && !caller.Connected() {
		conn.Release()
		return answer{outcome: notRun, reason: ReasonCallerGone}, 0
	}
	c.setHeaders(h, req, left-answerMargin)
	watch := caller
	if !h.idempotent {
		// A request that may run only once is carried to its end: cancelling it would leave its outcome open.
		watch = nil
	}
	sent, err := conn.Send(req, resp, until, watch)
	if sent != peer.ResponseReceived {
		if a := c.failed(sent, err); a.reason != ReasonTimedOut || limit == deadline {
			return a, 0
		}
		// The upstream may be slow rather than have lost the answer, so the time counts as a sample.
		return answer{outcome: unknown, reason: ReasonAnswerLost, arrived: true}, c.o.Clock.Now() - start
	}
	if len(resp.Header.Peek(c.o.Headers.NotExecuted)) > 0 || resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
		if resp.StatusCode() == fasthttp.StatusMisdirectedRequest {
			c.health.replaced()
		}
		return answer{outcome: notRun, reason: ReasonUpstreamShed, arrived: true}, 0
	}
	cleanResponse(resp, c.o.Headers.UpstreamLoad)
	return answer{outcome: ran, arrived: true}, c.o.Clock.Now() - start
}

func (c *controller) failed(sent peer.SendResult, err error) answer {
	switch {
	case errors.Is(err, peer.ErrDeadlinePassed):
		return answer{outcome: notRun, reason: ReasonDeadlineExceeded}
	case sent == peer.NotSent:
		c.health.broken(err)
		return answer{outcome: notRun, reason: ReasonUnreachable}
	case errors.Is(err, peer.ErrCallerGone):
		return answer{outcome: unknown, reason: ReasonCallerGone, arrived: true}
	case peer.IsTimeout(err):
		return answer{outcome: unknown, reason: ReasonTimedOut, arrived: true}
	}
	c.health.broken(err)
	return answer{outcome: unknown, reason: ReasonAnswerLost, arrived: true}
}

func (c *controller) setHeaders(h *hop, req *fasthttp.Request, left time.Duration) {
	req.Header.Del(hopHeader)
	req.Header.Set(c.o.Headers.ExpectUpstream, h.upstream)
	req.Header.Set(c.o.Headers.DeadlineMS, strconv.FormatInt(max(1, left.Milliseconds()), 10))
}

// cleanResponse removes the headers that belong to one connection (RFC 9110, section 7.6.1) and those named.
func cleanResponse(resp *fasthttp.Response, names ...string) {
	resp.Header.ResetConnectionClose()
	for _, name := range [...]string{"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "Transfer-Encoding", "Trailer"} {
		resp.Header.Del(name)
	}
	for _, name := range names {
		resp.Header.Del(name)
	}
}
