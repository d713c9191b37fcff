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

// answerMargin is the part of a call's time that is kept for the controller's own answer, so that a slow
// upstream is not taken for an unresponsive node.
const answerMargin = 20 * time.Millisecond

// call is the state of one call at its entry node.
type call struct {
	g        *Gateway
	snap     *snapshot.Snapshot
	route    *config.Route
	hop      peer.CallMetadata
	arrived  time.Duration
	deadline time.Duration
	caller   peer.Caller
	chain    retry.ChainBudget
	sender   *delivery.Sender
	// tried are the upstreams picked so far; picked is the last one while its evidence is outstanding.
	tried  []string
	picked string
	conn   *peer.Conn
	gone   bool
	// closing is set when the caller's connection must not be used again.
	closing bool
	// sent is true from the first attempt that may have run.
	sent bool
	// shed is true while the response is an upstream's own refusal for load, which is delivered when no other
	// upstream is left to try.
	shed bool
}

// carry runs the attempts of a call. With wire.Ran, resp is the upstream's response.
func (c *call) carry(req *fasthttp.Request, resp *fasthttp.Response) (wire.Outcome, wire.ErrorKind) {
	defer c.end()
	c.g.o.Router.firstAttempt()
	c.sender = delivery.NewSender(delivery.SenderConfig{
		Deadline:     c.deadline,
		Idempotent:   c.route.Idempotent,
		NextUpstream: c.next(),
		AllowRetry:   c.allowRetry,
	})
	for {
		step := c.sender.Next(c.now())
		switch step.Action {
		case delivery.ActionFetchEpoch:
			c.askEpoch(step.Upstream)
		case delivery.ActionSendCall:
			c.send(step, req, resp)
		default:
			if c.shed {
				return wire.OutcomeRan, ""
			}
			return step.Outcome, step.Reason
		}
		if c.gone {
			return wire.OutcomeUnknown, wire.KindOutcomeUnknown
		}
	}
}

func (c *call) now() time.Duration { return c.g.o.Clock.Now() }

// end releases what an attempt that was not made still holds.
func (c *call) end() {
	if c.conn != nil {
		c.conn.Release()
		c.conn = nil
	}
	c.observe(c.picked, routing.AttemptOutcome{Kind: routing.Abandoned})
}

func (c *call) allowRetry(now time.Duration) bool {
	return c.chain.Withdraw() && c.g.o.Router.extraAttempt(now)
}

// next returns the order of upstreams: any for idempotent calls, the home and its substitutes for others.
func (c *call) next() func() (string, bool) {
	if c.route.Idempotent {
		return func() (string, bool) {
			name, ok := c.g.o.Router.pick(c.snap, c.route.Service, c.tried)
			if ok {
				c.tried = append(c.tried, name)
				c.picked = name
			}
			return name, ok
		}
	}
	var names []string
	for _, u := range c.g.o.CallRecord.Candidates(c.now(), c.route.Service, c.hop.Identity) {
		if own := c.snap.Set.Upstream(u.Name); own != nil && c.snap.Set.InService(own) {
			names = append(names, u.Name)
		}
	}
	return delivery.InOrder(names)
}

func (c *call) observe(upstream string, e routing.AttemptOutcome) {
	if upstream == "" {
		return
	}
	c.picked = ""
	c.g.o.Router.observe(upstream, e)
}

// askEpoch connects to an upstream's node and reads its epoch.
func (c *call) askEpoch(upstream string) {
	if upstream == c.g.o.Upstream {
		c.sender.SetEpoch(c.now(), c.g.o.CallRecord.Epoch(c.now()))
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
		// The node would refuse, and may close the connection while the call is on its way.
		c.observe(upstream, routing.AttemptOutcome{Kind: routing.Leaving})
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeNotRun, Reason: wire.KindLeaving})
		return
	}
	c.sender.SetEpoch(c.now(), epoch)
}

// connect opens the connection for the next send; when it fails the sender is told.
func (c *call) connect(upstream string, needEpoch bool) bool {
	member, listed := c.snap.Members[upstream]
	if !listed {
		c.observe(upstream, routing.AttemptOutcome{Kind: routing.ConnectionFailed})
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})
		return false
	}
	target := peer.Target{Address: member.PeerAddress, Upstream: upstream}
	conn, err := c.g.o.PeerPool.Acquire(target, c.wallDeadline(), needEpoch)
	if err != nil {
		c.observe(upstream, connectEvidence(err))
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})
		return false
	}
	c.conn = conn
	return true
}

func connectEvidence(err error) routing.AttemptOutcome {
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

func (c *call) wallDeadline() time.Time { return time.Now().Add(c.deadline - c.now()) }

func (c *call) report(e delivery.AttemptEvent) {
	if e.Kind != delivery.AttemptUnanswered && e.Outcome != wire.OutcomeUnknown {
		// The attempt did not run, so what it was given for the rest of the chain is still there.
		c.chain.ReclaimForwarded()
	}
	c.sender.Report(c.now(), e)
}

// send makes one attempt.
func (c *call) send(step delivery.Step, req *fasthttp.Request, resp *fasthttp.Response) {
	c.hop.Upstream = step.Upstream
	c.hop.Epoch = step.Epoch
	if step.Upstream == c.g.o.Upstream {
		c.fill()
		c.sent, c.shed = true, false
		c.serveHere(req, resp)
		return
	}
	if c.conn == nil && !c.connect(step.Upstream, false) {
		return
	}
	c.fill()
	c.hop.SetHeaders(req)
	conn := c.conn
	c.conn = nil
	before := c.sent
	c.sent, c.shed = true, false
	sent, err := conn.Send(req, resp, c.wallDeadline(), c.watch())
	switch sent {
	case peer.NotSent:
		c.sent = before
		c.observe(step.Upstream, lossEvidence(err))
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptNotWritten})
	case peer.NoResponse:
		c.gone = errors.Is(err, peer.ErrCallerGone)
		c.observe(step.Upstream, lossEvidence(err))
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
	case peer.ResponseReceived:
		c.answered(step.Upstream, resp, before)
	}
}

// fill completes the hop for an attempt that is made now.
func (c *call) fill() {
	left := c.deadline - c.now()
	c.hop.RemainingTime = left - min(answerMargin, left/10)
	c.hop.RetriesLeft = c.chain.AllocateForwarded()
}

// watch returns the caller's connection when its end cancels the call. A call that may run only once is carried
// to its end, so that its result is on record for the next attempt.
func (c *call) watch() peer.Caller {
	if c.route.Idempotent {
		return c.caller
	}
	return nil
}

func lossEvidence(err error) routing.AttemptOutcome {
	switch {
	case errors.Is(err, peer.ErrCallerGone), errors.Is(err, peer.ErrDeadlinePassed):
		return routing.AttemptOutcome{Kind: routing.Abandoned}
	case peer.IsTimeout(err), errors.Is(err, peer.ErrNodeUnresponsive):
		return routing.AttemptOutcome{Kind: routing.Unresponsive}
	}
	return routing.AttemptOutcome{Kind: routing.ConnectionFailed}
}

// serveHere runs the call at the own upstream through the same controller, without a network.
func (c *call) serveHere(req *fasthttp.Request, resp *fasthttp.Response) {
	hop := c.hop
	in := &peer.IncomingCall{Metadata: &hop, ArrivedAt: c.now(), Caller: c.caller}
	answer := c.g.o.Controller.Serve(in, req, resp)
	c.conclude(c.g.o.Upstream, answer, resp, false)
}

func (c *call) answered(upstream string, resp *fasthttp.Response, sentBefore bool) {
	answer, version, ok := peer.ReadCallResult(resp)
	if !ok {
		c.observe(upstream, routing.AttemptOutcome{Kind: routing.ConnectionFailed})
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
		return
	}
	if c.snap.Version.Less(version) {
		c.g.o.ObserveVersion(version, upstream)
	}
	if answer.Kind == wire.KindWrongEpoch || answer.Load.State == wire.StateLeaving {
		// The other connections to the address were opened under the old epoch as well, or are about to close.
		c.g.o.PeerPool.CloseIdleConnectionsTo(c.snap.Members[upstream].PeerAddress)
	}
	c.conclude(upstream, answer, resp, sentBefore)
}

func (c *call) conclude(upstream string, answer peer.CallResult, resp *fasthttp.Response, sentBefore bool) {
	e := evidence(answer)
	if answer.Outcome == wire.OutcomeRan && c.route.Idempotent && resp.StatusCode() == fasthttp.StatusServiceUnavailable {
		e.Kind = routing.Overloaded
		c.shed = true
		c.observe(upstream, e)
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
		return
	}
	c.observe(upstream, e)
	if answer.Outcome == wire.OutcomeRan {
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptAnswered, Outcome: wire.OutcomeRan})
		return
	}
	if answer.Outcome == wire.OutcomeNotRun {
		c.sent = sentBefore
	} else if c.route.Idempotent {
		// The controller got no whole answer either; the call may be made again as if it had not answered.
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered})
		return
	}
	c.report(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: answer.Outcome, Reason: answer.Kind})
}
