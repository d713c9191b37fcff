package gateway

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/retry"
	"github.com/bamboodeal/bamboodeal/decision/routing"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// responseMargin is the part of a call's remaining time that is kept back for the response of the other node's
// controller. It lets the controller report that its upstream is too slow before this node takes the whole node for
// unresponsive.
const responseMargin = 20 * time.Millisecond

// call is the state of one call at its entry node.
type call struct {
	gateway *Gateway
	// snap is the snapshot of the configuration with which the call started.
	snap     *snapshot.Snapshot
	route    *config.Route
	metadata peer.CallMetadata
	// arrived and deadline are on the process's clock.
	arrived     time.Duration
	deadline    time.Duration
	caller      peer.Caller
	chainBudget retry.ChainBudget
	sender      *delivery.Sender
	// triedUpstreams are the upstreams that the router picked so far. pendingUpstream is the last of them while the
	// outcome of its attempt is not recorded yet.
	triedUpstreams  []string
	pendingUpstream string
	// conn is an open connection for the next attempt, or nil.
	conn       *peer.Conn
	callerGone bool
	// closeCallerConn is true if the caller's connection must be closed after the response.
	closeCallerConn bool
	// mayHaveRun is true once an attempt was started of which it is not certain that it did not run.
	mayHaveRun bool
	// shedByUpstream is true while resp holds an upstream's own refusal because of load. That response is delivered if
	// no other upstream is left to try.
	shedByUpstream bool
}

// runAttempts makes the attempts of a call until one succeeds or none is left. If it returns wire.OutcomeRan, resp
// holds the upstream's response.
func (c *call) runAttempts(req *fasthttp.Request, resp *fasthttp.Response) (wire.Outcome, wire.ErrorKind) {
	defer c.releaseResources()
	c.gateway.o.Router.countCall()
	c.sender = delivery.NewSender(delivery.SenderConfig{
		Deadline:     c.deadline,
		Idempotent:   c.route.Idempotent,
		NextUpstream: c.upstreamSequence(),
		AllowRetry:   c.allowRetry,
	})
	for {
		step := c.sender.Next(c.now())
		switch step.Action {
		case delivery.ActionFetchEpoch:
			c.fetchEpoch(step.Upstream)
		case delivery.ActionSendCall:
			c.send(step, req, resp)
		default:
			if c.shedByUpstream {
				return wire.OutcomeRan, ""
			}
			return step.Outcome, step.Reason
		}
		if c.callerGone {
			return wire.OutcomeUnknown, wire.KindOutcomeUnknown
		}
	}
}

func (c *call) now() time.Duration { return c.gateway.o.Clock.Now() }

// releaseResources releases the connection, and the router's record of the upstream, that are held for an attempt that
// was not made.
func (c *call) releaseResources() {
	if c.conn != nil {
		c.conn.Release()
		c.conn = nil
	}
	c.recordOutcome(c.pendingUpstream, routing.AttemptOutcome{Kind: routing.Abandoned})
}

// allowRetry takes a retry from the budget of the call's chain and from that of the node. It reports whether both had
// one.
func (c *call) allowRetry(now time.Duration) bool {
	return c.chainBudget.Withdraw() && c.gateway.o.Router.takeRetry(now)
}

// upstreamSequence returns a function that returns the next upstream to try, or false when there is none. For an
// idempotent call the router picks any upstream of the service. For other calls the sequence is the upstreams at which
// the identity may run: its home first, then the substitutes of the home.
func (c *call) upstreamSequence() func() (string, bool) {
	if c.route.Idempotent {
		return func() (string, bool) {
			name, ok := c.gateway.o.Router.pickUpstream(c.snap, c.route.Service, c.triedUpstreams)
			if ok {
				c.triedUpstreams = append(c.triedUpstreams, name)
				c.pendingUpstream = name
			}
			return name, ok
		}
	}
	var names []string
	for _, u := range c.gateway.o.CallRecord.Candidates(c.now(), c.route.Service, c.metadata.Identity) {
		if declared := c.snap.Set.Upstream(u.Name); declared != nil && c.snap.Set.InService(declared) {
			names = append(names, u.Name)
		}
	}
	return delivery.InOrder(names)
}

// recordOutcome tells the router the outcome of an attempt at an upstream.
func (c *call) recordOutcome(upstream string, e routing.AttemptOutcome) {
	if upstream == "" {
		return
	}
	c.pendingUpstream = ""
	c.gateway.o.Router.recordOutcome(upstream, e)
}

// fetchEpoch gives the sender the epoch of an upstream's controller, which the hello message of its node states.
func (c *call) fetchEpoch(upstream string) {
	if upstream == c.gateway.o.Upstream {
		c.sender.SetEpoch(c.now(), c.gateway.o.CallRecord.Epoch(c.now()))
		return
	}
	if !c.connect(upstream, true) {
		return
	}
	hello := c.conn.Hello()
	epoch, leaving := hello.Epoch, hello.State == wire.StateLeaving
	if epoch == "" || leaving {
		c.conn.Release()
		c.conn = nil
	}
	if leaving {
		// The node would refuse the call, and may close the connection while the call is being sent.
		c.recordOutcome(upstream, routing.AttemptOutcome{Kind: routing.Leaving})
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeNotRun, Reason: wire.KindLeaving})
		return
	}
	c.sender.SetEpoch(c.now(), epoch)
}

// connect sets c.conn to a connection to the upstream's node. If that fails, it reports the failure to the sender and
// to the router and returns false.
func (c *call) connect(upstream string, needEpoch bool) bool {
	member, listed := c.snap.Members[upstream]
	if !listed {
		c.recordOutcome(upstream, routing.AttemptOutcome{Kind: routing.ConnectionFailed})
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})
		return false
	}
	target := peer.Target{Address: member.PeerAddress, Upstream: upstream}
	conn, err := c.gateway.o.PeerPool.Acquire(target, c.wallDeadline(), needEpoch)
	if err != nil {
		c.recordOutcome(upstream, connectErrorOutcome(err))
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})
		return false
	}
	c.conn = conn
	return true
}

// connectErrorOutcome returns what an error of Pool.Acquire says about the upstream.
func connectErrorOutcome(err error) routing.AttemptOutcome {
	switch {
	case errors.Is(err, peer.ErrTooManyConnections):
		return routing.AttemptOutcome{Kind: routing.Overloaded}
	case errors.Is(err, peer.ErrDeadlinePassed):
		return routing.AttemptOutcome{Kind: routing.Abandoned}
	case peer.IsTimeout(err), errors.Is(err, peer.ErrNodeUnresponsive):
		return routing.AttemptOutcome{Kind: routing.Unresponsive}
	}
	return routing.AttemptOutcome{Kind: routing.ConnectionFailed}
}

// wallDeadline returns the call's deadline as wall-clock time.
func (c *call) wallDeadline() time.Time { return time.Now().Add(c.deadline - c.now()) }

// reportEvent tells the sender how the last attempt ended.
func (c *call) reportEvent(e delivery.AttemptEvent) {
	if e.Kind != delivery.AttemptUnanswered && e.Outcome != wire.OutcomeUnknown {
		// Either the call ends with this event, or the attempt did not run and the retries forwarded with it are
		// unused.
		c.chainBudget.ReclaimForwarded()
	}
	c.sender.Report(c.now(), e)
}

// send makes one attempt at the step's upstream.
func (c *call) send(step delivery.Step, req *fasthttp.Request, resp *fasthttp.Response) {
	c.metadata.Upstream = step.Upstream
	c.metadata.Epoch = step.Epoch
	if step.Upstream == c.gateway.o.Upstream {
		c.setRemaining()
		c.mayHaveRun, c.shedByUpstream = true, false
		c.serveLocally(req, resp)
		return
	}
	if c.conn == nil && !c.connect(step.Upstream, false) {
		return
	}
	c.setRemaining()
	c.metadata.SetHeaders(req)
	conn := c.conn
	c.conn = nil
	mayHaveRunBefore := c.mayHaveRun
	c.mayHaveRun, c.shedByUpstream = true, false
	sent, err := conn.Send(req, resp, c.wallDeadline(), c.watchedCaller())
	switch sent {
	case peer.NotSent:
		c.mayHaveRun = mayHaveRunBefore
		c.recordOutcome(step.Upstream, sendErrorOutcome(err))
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptNotWritten})
	case peer.NoResponse:
		c.callerGone = errors.Is(err, peer.ErrCallerGone)
		c.recordOutcome(step.Upstream, sendErrorOutcome(err))
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
	case peer.ResponseReceived:
		c.handleResponse(step.Upstream, resp, mayHaveRunBefore)
	}
}

// setRemaining sets the remaining time and the remaining retries in the metadata of an attempt that is made now.
func (c *call) setRemaining() {
	left := c.deadline - c.now()
	c.metadata.RemainingTime = left - min(responseMargin, left/10)
	c.metadata.RetriesLeft = c.chainBudget.AllocateForwarded()
}

// watchedCaller returns the caller if its disconnection cancels the call, and nil otherwise. A call that may run only
// once is not cancelled, so that its result is on record for the caller's next attempt.
func (c *call) watchedCaller() peer.Caller {
	if c.route.Idempotent {
		return c.caller
	}
	return nil
}

// sendErrorOutcome returns what an error of Conn.Send says about the upstream.
func sendErrorOutcome(err error) routing.AttemptOutcome {
	switch {
	case errors.Is(err, peer.ErrCallerGone), errors.Is(err, peer.ErrDeadlinePassed):
		return routing.AttemptOutcome{Kind: routing.Abandoned}
	case peer.IsTimeout(err), errors.Is(err, peer.ErrNodeUnresponsive):
		return routing.AttemptOutcome{Kind: routing.Unresponsive}
	}
	return routing.AttemptOutcome{Kind: routing.ConnectionFailed}
}

// serveLocally runs the call at this node's upstream, through the controller but without the network.
func (c *call) serveLocally(req *fasthttp.Request, resp *fasthttp.Response) {
	metadata := c.metadata
	in := &peer.IncomingCall{Metadata: &metadata, ArrivedAt: c.now(), Caller: c.caller}
	result := c.gateway.o.Controller.Serve(in, req, resp)
	c.handleResult(c.gateway.o.Upstream, result, resp, false)
}

// handleResponse handles the response of another node. mayHaveRunBefore is the value of mayHaveRun before the attempt.
func (c *call) handleResponse(upstream string, resp *fasthttp.Response, mayHaveRunBefore bool) {
	result, version, ok := peer.ReadCallResult(resp)
	if !ok {
		c.recordOutcome(upstream, routing.AttemptOutcome{Kind: routing.ConnectionFailed})
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
		return
	}
	if c.snap.Version.Less(version) {
		c.gateway.o.ObserveVersion(version, upstream)
	}
	if result.Kind == wire.KindWrongEpoch || result.Load.State == wire.StateLeaving {
		// The other idle connections to the address were opened under the old epoch as well, or are about to close.
		c.gateway.o.PeerPool.CloseIdleConnectionsTo(c.snap.Members[upstream].PeerAddress)
	}
	c.handleResult(upstream, result, resp, mayHaveRunBefore)
}

// handleResult reports the result that a controller gave for the attempt.
func (c *call) handleResult(upstream string, result peer.CallResult, resp *fasthttp.Response, mayHaveRunBefore bool) {
	e := resultOutcome(result)
	if result.Outcome == wire.OutcomeRan && c.route.Idempotent && resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		e.Kind = routing.Overloaded
		c.shedByUpstream = true
		c.recordOutcome(upstream, e)
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
		return
	}
	c.recordOutcome(upstream, e)
	if result.Outcome == wire.OutcomeRan {
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptAnswered, Outcome: wire.OutcomeRan})
		return
	}
	if result.Outcome == wire.OutcomeNotRun {
		c.mayHaveRun = mayHaveRunBefore
	} else if c.route.Idempotent {
		// The controller got no complete response from its upstream. An idempotent call may be sent again, as after a
		// controller that did not respond.
		c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
		return
	}
	c.reportEvent(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: result.Outcome, Reason: result.Kind})
}
