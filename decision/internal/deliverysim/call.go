package deliverysim

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// caller sends the calls of one identity: it repeats the call at random entry nodes until it gets a response, sometimes
// before the previous attempt is over.
type caller struct {
	network     *network
	identity    string
	firstSentAt time.Duration
	attempts    int
	answered    bool
	started     bool
}

func (c *caller) attempt() {
	if c.answered || c.attempts == 5 || c.started && c.network.time.Now() > c.firstSentAt+c.network.cfg.Retention {
		return
	}
	if !c.started {
		c.started, c.firstSentAt = true, c.network.time.Now()
	}
	c.attempts++
	number := c.attempts
	if number > 1 && c.network.randomBool(0.3) {
		number = 0
	}
	entry := c.network.nodes[c.network.rng.IntN(len(c.network.nodes))]
	call := &call{network: c.network, caller: c, id: fmt.Sprintf("%s/%d", c.identity, c.attempts), attempt: number, entry: entry, sent: c.network.time.Now()}
	c.network.runLater(entry, 0, call.begin)
	gap := c.network.randomDuration(20*time.Millisecond, 100*time.Millisecond<<c.network.rng.IntN(3))
	if c.network.randomBool(0.1) {
		gap = c.network.randomDuration(0, c.network.cfg.Retention)
	}
	c.network.time.After(gap, c.attempt)
}

// call is one attempt of a caller, processed at its entry node.
type call struct {
	network  *network
	caller   *caller
	id       string
	attempt  int
	entry    *simNode
	sender   *delivery.Sender
	sent     time.Duration
	deadline time.Duration
	// timeLeft is the time to the deadline when the entry node began to process the call.
	timeLeft time.Duration
	// stepNumber counts the steps of the sender, so that an answer or a timeout that belongs to an earlier step is
	// ignored.
	stepNumber int
}

// begin starts processing at the entry node. It refuses the call when it may have waited while the node was paused.
func (c *call) begin() {
	if !c.network.cfg.Disabled.Has(safeguard.PauseCheck) && delivery.MayHaveWaitedDuringPause(c.sent, c.entry.resumedAt) {
		c.answerCaller(delivery.Step{Action: delivery.ActionRespond, Outcome: wire.OutcomeNotRun, Reason: wire.KindNotReady})
		return
	}
	c.timeLeft = c.network.randomDuration(100*time.Millisecond, c.network.cfg.MaxDeadline)
	c.deadline = c.network.time.Now() + c.timeLeft
	var names []string
	for _, u := range c.entry.history.Candidates(c.network.time.Now(), "s", c.caller.identity) {
		if dc := c.entry.set.DataCentre(u.DataCentre); dc.State == config.DataCentreIn {
			names = append(names, u.Name)
		}
	}
	c.sender = delivery.NewSender(delivery.SenderConfig{Deadline: c.deadline, NextUpstream: delivery.InOrder(names), Disabled: c.network.cfg.Disabled})
	c.runNextStep()
}

// runNextStep carries out the sender's next step.
func (c *call) runNextStep() {
	c.stepNumber++
	c.network.runLater(c.entry, c.network.randomStall(), func() {
		s := c.sender.Next(c.network.time.Now())
		switch s.Action {
		case delivery.ActionFetchEpoch:
			c.fetchEpoch(s)
		case delivery.ActionSendCall:
			timeLeft := c.deadline - c.network.time.Now()
			if c.network.cfg.Disabled.Has(safeguard.DeadlineCheck) {
				timeLeft = c.timeLeft
			}
			// The goroutine may stall between the deadline check and the write.
			c.network.runLater(c.entry, c.network.randomStall(), func() { c.sendCall(s, timeLeft) })
		case delivery.ActionRespond:
			c.answerCaller(s)
		}
	})
}

// randomStall returns a random time, mostly 0, for which the goroutine of one call is not scheduled. The node does not
// detect it as a pause.
func (n *network) randomStall() time.Duration {
	if n.randomBool(0.05) {
		return n.randomDuration(0, time.Millisecond<<n.rng.IntN(13))
	}
	return 0
}

// fetchEpoch asks the node of the upstream for its epoch.
func (c *call) fetchEpoch(s delivery.Step) {
	to := c.network.nodeByName(s.Upstream)
	if c.network.time.Now() < to.downUntil {
		c.reportFunc(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})()
		return
	}
	stepNumber := c.stepNumber
	c.network.send(c.entry, to, -1, func() {
		epoch := to.ledger.Epoch(c.network.time.Now())
		c.network.send(to, c.entry, c.entry.incarnation, func() {
			if c.stepNumber == stepNumber {
				c.sender.SetEpoch(c.network.time.Now(), epoch)
				c.runNextStep()
			}
		})
	})
	c.network.runLater(c.entry, max(c.deadline-c.network.time.Now(), 100*time.Millisecond), c.reportFunc(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected}))
}

// sendCall sends the call to the controller of the upstream, with the time that is left until the deadline.
func (c *call) sendCall(s delivery.Step, timeLeft time.Duration) {
	to := c.network.nodeByName(s.Upstream)
	if c.network.time.Now() < to.downUntil && c.network.randomBool(0.5) {
		c.reportFunc(delivery.AttemptEvent{Kind: delivery.AttemptNotWritten})()
		return
	}
	m := &message{call: c, to: to, epoch: s.Epoch, timeLeft: timeLeft, stepNumber: c.stepNumber, incarnation: -1}
	c.network.send(c.entry, to, -1, m.arrive)
	c.network.runLater(c.entry, max(c.deadline-c.network.time.Now(), time.Millisecond), c.reportFunc(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered}))
}

// reportFunc returns a function that reports the event to the sender, unless the sender no longer waits for it.
func (c *call) reportFunc(e delivery.AttemptEvent) func() {
	stepNumber := c.stepNumber
	return func() {
		if c.stepNumber == stepNumber {
			c.sender.Report(c.network.time.Now(), e)
			c.runNextStep()
		}
	}
}

// answerCaller records the outcome that the caller gets.
func (c *call) answerCaller(s delivery.Step) {
	c.network.outcomes[s.Outcome]++
	if s.Outcome == wire.OutcomeNotRun {
		c.network.notRunReports = append(c.network.notRunReports, notRunReport{call: c.id, identity: c.caller.identity, kind: s.Reason, at: c.network.time.Now()})
	}
	c.caller.answered = c.caller.answered || s.Outcome == wire.OutcomeRan
}

// message is a call that was sent to a controller. A duplicated message arrives twice.
type message struct {
	call       *call
	to         *simNode
	epoch      string
	timeLeft   time.Duration
	stepNumber int
	// incarnation is the process that received the message first, or -1. Only the response of that process can reach
	// the sender, because a response uses the connection of the request.
	incarnation int
}

// arrival is one arrival of a message at one process.
type arrival struct {
	*message
	incarnation int
	at          time.Duration
}

func (m *message) arrive() {
	if m.incarnation < 0 {
		m.incarnation = m.to.incarnation
	}
	a := &arrival{message: m, incarnation: m.to.incarnation, at: m.call.network.time.Now()}
	a.decide(false)
}

// decide lets the controller accept, refuse or replay the call; clear is true when the identity has been barred at all
// other candidates.
func (a *arrival) decide(clear bool) {
	n, c := a.call.network, a.call
	d := a.to.ledger.Accept(n.time.Now(), a.request(clear))
	if kind, refused := a.refusalReason(); refused && (d.Verdict == delivery.VerdictRun || d.Verdict == delivery.VerdictNeedBar) {
		a.refuse(kind, d.Verdict == delivery.VerdictRun)
		return
	}
	switch d.Verdict {
	case delivery.VerdictRun:
		n.runLater(a.to, n.randomDuration(0, 20*time.Millisecond), a.runAtUpstream)
	case delivery.VerdictReplay:
		a.reply(delivery.AttemptEvent{Kind: delivery.AttemptAnswered})
	case delivery.VerdictNeedBar:
		if !a.to.history.IsComplete(n.time.Now()) {
			a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeUnknown, Reason: wire.KindOutcomeUnknown})
			return
		}
		a.barElsewhere(a.to.history.OtherCandidates(n.time.Now(), "s", c.caller.identity, a.to.name))
	default:
		a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: d.Outcome, Reason: d.Reason})
	}
}

func (a *arrival) request(clear bool) delivery.Request {
	return delivery.Request{
		Call: a.call.id, Identity: a.call.caller.identity, Attempt: a.call.attempt, Epoch: a.epoch,
		BarredElsewhere: clear,
	}
}

// refusalReason reports whether the controller refuses a call that its ledger allows, and for which reason.
func (a *arrival) refusalReason() (wire.ErrorKind, bool) {
	n, node := a.call.network, a.to
	switch {
	case node.set.DataCentre(fmt.Sprint(node.dataCentre)).State == config.DataCentreOut:
		return wire.KindLeaving, true
	case !node.history.Eligible(n.time.Now(), "s", a.call.caller.identity, node.name):
		return wire.KindWrongUpstream, true
	case n.time.Now() > a.at+a.timeLeft:
		return wire.KindDeadlineExceeded, true
	}
	return wire.KindOverloaded, n.randomBool(0.1)
}

func (a *arrival) refuse(kind wire.ErrorKind, accepted bool) {
	if accepted {
		a.to.ledger.Release(a.call.network.time.Now(), a.request(false), kind)
	} else {
		a.to.ledger.RefuseCall(a.call.network.time.Now(), a.call.id, kind)
	}
	a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeNotRun, Reason: kind})
}

// barElsewhere bars the identity at the other candidates, and then decides on the call.
func (a *arrival) barElsewhere(others []string) {
	n, b, over := a.call.network, delivery.NewBarRound(others), false
	conclude := func() {
		if over || b.State() == delivery.BarRoundPending {
			return
		}
		over = true
		n.runLater(a.to, 0, func() {
			if b.State() == delivery.BarRoundClear {
				a.decide(true)
				return
			}
			d := b.Decision()
			if d.Verdict == delivery.VerdictReplay {
				a.reply(delivery.AttemptEvent{Kind: delivery.AttemptAnswered})
				return
			}
			a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: d.Outcome, Reason: d.Reason})
		})
	}
	for _, name := range others {
		n.barAt(a, b, name, conclude)
	}
	n.runLater(a.to, a.timeLeft, func() { b.Expire(); conclude() })
	conclude()
}

func (n *network) barAt(a *arrival, b *delivery.BarRound, name string, conclude func()) {
	to := n.nodeByName(name)
	n.send(a.to, to, -1, func() {
		r := to.ledger.Bar(n.time.Now(), a.call.caller.identity)
		n.send(to, a.to, a.incarnation, func() { b.RecordResponse(name, r); conclude() })
	})
}

// runAtUpstream sends the call to the upstream and counts the run.
func (a *arrival) runAtUpstream() {
	n, identity := a.call.network, a.call.caller.identity
	if kind, refused := a.refusalReason(); refused {
		a.refuse(kind, true)
		return
	}
	n.runCounts[identity]++
	n.ranCalls[a.call.id] = true
	n.runSentTimes[identity] = append(n.runSentTimes[identity], a.call.sent)
	if n.randomBool(0.1) {
		// Just after the start of a run, before its result is known, is the worst time to lose the ledger.
		n.runLater(a.to, n.randomDuration(0, 50*time.Millisecond), func() { n.crash(a.to) })
	}
	n.runLater(a.to, n.randomDuration(0, 150*time.Millisecond), func() {
		if n.randomBool(0.05) {
			a.to.ledger.Finish(n.time.Now(), identity, delivery.Result{Unknown: true})
			a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeUnknown, Reason: wire.KindOutcomeUnknown})
			return
		}
		a.to.ledger.Finish(n.time.Now(), identity, delivery.Result{Status: 200, Body: []byte("done")})
		a.reply(delivery.AttemptEvent{Kind: delivery.AttemptAnswered})
	})
}

// reply sends the result to the entry node, if this process received the message first.
func (a *arrival) reply(e delivery.AttemptEvent) {
	if a.incarnation != a.message.incarnation {
		return
	}
	c := a.call
	c.network.send(a.to, c.entry, c.entry.incarnation, func() {
		if c.stepNumber == a.stepNumber {
			c.reportFunc(e)()
		}
	})
}
