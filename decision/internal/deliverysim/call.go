package deliverysim

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// caller repeats one identity over changing entry nodes, sometimes before the earlier attempt is over.
type caller struct {
	n        *network
	identity string
	first    time.Duration
	attempts int
	answered bool
	started  bool
}

func (c *caller) attempt() {
	if c.answered || c.attempts == 5 || c.started && c.n.time.Now() > c.first+c.n.cfg.Retention {
		return
	}
	if !c.started {
		c.started, c.first = true, c.n.time.Now()
	}
	c.attempts++
	number := c.attempts
	if number > 1 && c.n.chance(0.3) {
		number = 0
	}
	entry := c.n.machines[c.n.rng.IntN(len(c.n.machines))]
	call := &call{n: c.n, caller: c, id: fmt.Sprintf("%s/%d", c.identity, c.attempts), attempt: number, entry: entry, sent: c.n.time.Now()}
	c.n.step(entry, 0, call.begin)
	gap := c.n.between(20*time.Millisecond, 100*time.Millisecond<<c.n.rng.IntN(3))
	if c.n.chance(0.1) {
		gap = c.n.between(0, c.n.cfg.Retention)
	}
	c.n.time.After(gap, c.attempt)
}

// call is one attempt of a caller at its entry node.
type call struct {
	n        *network
	caller   *caller
	id       string
	attempt  int
	entry    *machine
	sender   *delivery.Sender
	sent     time.Duration
	deadline time.Duration
	// left is the time that remained when the call began.
	left time.Duration
	// turn numbers the waits of the sender, so that late answers and time-outs are told apart.
	turn int
}

func (c *call) begin() {
	if !c.n.cfg.Disabled.Has(safeguard.PauseCheck) && delivery.MayHaveWaitedDuringPause(c.sent, c.entry.pauseEnd) {
		c.tell(delivery.Step{Action: delivery.ActionRespond, Outcome: wire.OutcomeNotRun, Reason: wire.KindNotReady})
		return
	}
	c.left = c.n.between(100*time.Millisecond, c.n.cfg.MaxDeadline)
	c.deadline = c.n.time.Now() + c.left
	var names []string
	for _, u := range c.entry.history.Candidates(c.n.time.Now(), "s", c.caller.identity) {
		if dc := c.entry.set.DataCentre(u.DataCentre); dc.State == config.DataCentreIn {
			names = append(names, u.Name)
		}
	}
	c.sender = delivery.NewSender(delivery.SenderConfig{Deadline: c.deadline, NextUpstream: delivery.InOrder(names), Disabled: c.n.cfg.Disabled})
	c.next()
}

func (c *call) next() {
	c.turn++
	c.n.step(c.entry, c.n.stall(), func() {
		s := c.sender.Next(c.n.time.Now())
		switch s.Action {
		case delivery.ActionFetchEpoch:
			c.ask(s)
		case delivery.ActionSendCall:
			left := c.deadline - c.n.time.Now()
			if c.n.cfg.Disabled.Has(safeguard.DeadlineCheck) {
				left = c.left
			}
			// The sender may stall here, after the deadline check and before the write.
			c.n.step(c.entry, c.n.stall(), func() { c.write(s, left) })
		case delivery.ActionRespond:
			c.tell(s)
		}
	})
}

// stall is the time for which one call's goroutine is not scheduled; the node does not notice it.
func (n *network) stall() time.Duration {
	if n.chance(0.05) {
		return n.between(0, time.Millisecond<<n.rng.IntN(13))
	}
	return 0
}

func (c *call) ask(s delivery.Step) {
	to := c.n.machine(s.Upstream)
	if c.n.time.Now() < to.downUntil {
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})()
		return
	}
	turn := c.turn
	c.n.send(c.entry, to, -1, func() {
		epoch := to.ledger.Epoch(c.n.time.Now())
		c.n.send(to, c.entry, c.entry.life, func() {
			if c.turn == turn {
				c.sender.SetEpoch(c.n.time.Now(), epoch)
				c.next()
			}
		})
	})
	c.n.step(c.entry, max(c.deadline-c.n.time.Now(), 100*time.Millisecond), c.report(delivery.AttemptEvent{Kind: delivery.AttemptNotConnected}))
}

func (c *call) write(s delivery.Step, left time.Duration) {
	to := c.n.machine(s.Upstream)
	if c.n.time.Now() < to.downUntil && c.n.chance(0.5) {
		c.report(delivery.AttemptEvent{Kind: delivery.AttemptNotWritten})()
		return
	}
	m := &message{call: c, to: to, epoch: s.Epoch, left: left, turn: c.turn, life: -1}
	c.n.send(c.entry, to, -1, m.arrive)
	c.n.step(c.entry, max(c.deadline-c.n.time.Now(), time.Millisecond), c.report(delivery.AttemptEvent{Kind: delivery.AttemptUnanswered}))
}

// report returns a step that reports the event unless the sender has gone on since.
func (c *call) report(e delivery.AttemptEvent) func() {
	turn := c.turn
	return func() {
		if c.turn == turn {
			c.sender.Report(c.n.time.Now(), e)
			c.next()
		}
	}
}

func (c *call) tell(s delivery.Step) {
	c.n.tally[s.Outcome]++
	if s.Outcome == wire.OutcomeNotRun {
		c.n.notRun = append(c.n.notRun, told{call: c.id, identity: c.caller.identity, kind: s.Reason, at: c.n.time.Now()})
	}
	c.caller.answered = c.caller.answered || s.Outcome == wire.OutcomeRan
}

// message is a call on its way to a controller. A doubled message is the same one arriving twice.
type message struct {
	call  *call
	to    *machine
	epoch string
	left  time.Duration
	turn  int
	// life is the process that got it first. Only that process's response can reach the sender, because a
	// response comes back on the connection that the request opened.
	life int
}

// arrival is one arrival of a message at one process.
type arrival struct {
	*message
	life int
	at   time.Duration
}

func (m *message) arrive() {
	if m.life < 0 {
		m.life = m.to.life
	}
	a := &arrival{message: m, life: m.to.life, at: m.call.n.time.Now()}
	a.decide(false)
}

func (a *arrival) decide(clear bool) {
	n, c := a.call.n, a.call
	d := a.to.ledger.Accept(n.time.Now(), a.request(clear))
	if kind, refused := a.unwilling(); refused && (d.Verdict == delivery.VerdictRun || d.Verdict == delivery.VerdictNeedBar) {
		a.refuse(kind, d.Verdict == delivery.VerdictRun)
		return
	}
	switch d.Verdict {
	case delivery.VerdictRun:
		n.step(a.to, n.between(0, 20*time.Millisecond), a.hand)
	case delivery.VerdictReplay:
		a.reply(delivery.AttemptEvent{Kind: delivery.AttemptAnswered})
	case delivery.VerdictNeedBar:
		if !a.to.history.IsComplete(n.time.Now()) {
			a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeUnknown, Reason: wire.KindOutcomeUnknown})
			return
		}
		a.round(a.to.history.OtherCandidates(n.time.Now(), "s", c.caller.identity, a.to.name))
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

// unwilling gives the reasons for which a controller refuses a call that its record allows.
func (a *arrival) unwilling() (wire.ErrorKind, bool) {
	n, m := a.call.n, a.to
	switch {
	case m.set.DataCentre(fmt.Sprint(m.zone)).State == config.DataCentreOut:
		return wire.KindLeaving, true
	case !m.history.Eligible(n.time.Now(), "s", a.call.caller.identity, m.name):
		return wire.KindWrongUpstream, true
	case n.time.Now() > a.at+a.left:
		return wire.KindDeadlineExceeded, true
	}
	return wire.KindOverloaded, n.chance(0.1)
}

func (a *arrival) refuse(kind wire.ErrorKind, accepted bool) {
	if accepted {
		a.to.ledger.Release(a.call.n.time.Now(), a.request(false), kind)
	} else {
		a.to.ledger.RefuseCall(a.call.n.time.Now(), a.call.id, kind)
	}
	a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeNotRun, Reason: kind})
}

func (a *arrival) round(others []string) {
	n, b, over := a.call.n, delivery.NewBarRound(others), false
	conclude := func() {
		if over || b.State() == delivery.BarRoundPending {
			return
		}
		over = true
		n.step(a.to, 0, func() {
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
		n.bar(a, b, name, conclude)
	}
	n.step(a.to, a.left, func() { b.Expire(); conclude() })
	conclude()
}

func (n *network) bar(a *arrival, b *delivery.BarRound, name string, conclude func()) {
	to := n.machine(name)
	n.send(a.to, to, -1, func() {
		r := to.ledger.Bar(n.time.Now(), a.call.caller.identity)
		n.send(to, a.to, a.life, func() { b.RecordVerdict(name, r); conclude() })
	})
}

// hand gives the call to the upstream, which counts it.
func (a *arrival) hand() {
	n, identity := a.call.n, a.call.caller.identity
	if kind, refused := a.unwilling(); refused {
		a.refuse(kind, true)
		return
	}
	n.runs[identity]++
	n.ran[a.call.id] = true
	n.sentRun[identity] = append(n.sentRun[identity], a.call.sent)
	if n.chance(0.1) {
		// The worst moment to lose the record is just after a run.
		n.step(a.to, n.between(0, 50*time.Millisecond), func() { n.crash(a.to) })
	}
	n.step(a.to, n.between(0, 150*time.Millisecond), func() {
		if n.chance(0.05) {
			a.to.ledger.Finish(n.time.Now(), identity, delivery.Result{Unknown: true})
			a.reply(delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: wire.OutcomeUnknown, Reason: wire.KindOutcomeUnknown})
			return
		}
		a.to.ledger.Finish(n.time.Now(), identity, delivery.Result{Status: 200, Body: []byte("done")})
		a.reply(delivery.AttemptEvent{Kind: delivery.AttemptAnswered})
	})
}

func (a *arrival) reply(e delivery.AttemptEvent) {
	if a.life != a.message.life {
		return
	}
	c := a.call
	c.n.send(a.to, c.entry, c.entry.life, func() {
		if c.turn == a.turn {
			c.report(e)()
		}
	})
}
