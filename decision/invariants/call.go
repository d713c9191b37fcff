package invariants

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
	"github.com/bamboodeal/bamboodeal/decision/routing"
)

const (
	// quotaWait is the time for which a call waits for a token.
	quotaWait = 50 * time.Millisecond
	clientHop = time.Millisecond
	service   = "s"
)

// caller repeats one call over changing entry nodes, sometimes before the earlier attempt is over.
type caller struct {
	w        *SimulatedMesh
	id       string
	identity string
	key      string
	team     string
	first    time.Duration
	attempts int
	answered bool
}

// attempt makes the next attempt; callers do not repeat an identity after the retention time.
func (c *caller) attempt() {
	w := c.w
	if c.answered || c.attempts == 4 || c.attempts > 0 && w.Now() > c.first+w.delivery.Retention {
		return
	}
	if c.attempts == 0 {
		c.first = w.Now()
	}
	c.attempts++
	number := c.attempts
	if number > 1 && w.chance(0.3) {
		number = 0
	}
	call := &call{
		caller: c, w: w, id: fmt.Sprintf("%s#%d", c.id, c.attempts), identity: c.identity, key: c.key, team: c.team,
		number: number, entry: w.nodes[w.Random.IntN(len(w.nodes))], sent: w.Now(),
	}
	w.After(clientHop, func() { call.entry.do(call.entry.Incarnation(), call.enter) })
	w.After(w.between(30*time.Millisecond, 300*time.Millisecond<<w.Random.IntN(4)), c.attempt)
}

// call is one attempt at its entry node.
type call struct {
	*caller
	w        *SimulatedMesh
	id       string
	identity string
	key      string
	team     string
	number   int
	entry    *node
	life     int
	sent     time.Duration
	deadline time.Duration
	sender   *delivery.Sender
	tried    []string
	// turn numbers the waits of the sender, so that late answers and time-outs are told apart.
	turn int
}

// answer is what the upstream answers; a repeated identity gets the recorded answer.
func (c *call) answer() string {
	if c.identity != "" {
		return c.identity
	}
	return c.id
}

func (c *call) enter() {
	n, now := c.entry, c.w.Now()
	c.life = n.Incarnation()
	c.deadline = now + c.w.between(c.w.delivery.MaxDeadline/4, c.w.delivery.MaxDeadline)
	if kind := c.refusal(); kind != "" {
		c.tell(wire.OutcomeNotRun, kind, "")
		return
	}
	if c.w.o.Disabled.quota || n.borrower.TakeToken(now, c.team) {
		c.admitted()
		n.lend()
		return
	}
	n.lend()
	c.w.After(quotaWait, func() {
		n.do(c.life, func() {
			switch {
			case n.borrower.TakeTokenForWaitingCall(c.w.Now(), c.team):
				c.admitted()
			default:
				n.borrower.RemoveWaitingCall(c.team)
				c.tell(wire.OutcomeNotRun, wire.KindTeamRateExceeded, "")
			}
		})
	})
}

// refusal checks what the entry node knows.
func (c *call) refusal() wire.ErrorKind {
	n := c.entry
	switch {
	case !n.fresh():
		return wire.KindStaleConfiguration
	case delivery.MayHaveWaitedDuringPause(c.sent, n.pauseEnd) && !c.w.delivery.Disabled.Has(safeguard.PauseCheck):
		return wire.KindNotReady
	}
	key := n.set.Key(c.key)
	switch {
	case key == nil:
		return wire.KindUnknownKey
	case key.State != config.KeyGranted && !c.w.o.Disabled.keys:
		return wire.KindKeyWithdrawn
	}
	c.w.check.enter(n, c, n.set)
	return ""
}

func (c *call) admitted() {
	n := c.entry
	c.w.check.admit(n.set.Team(c.team))
	c.sender = delivery.NewSender(delivery.SenderConfig{
		Deadline: c.deadline, Idempotent: c.identity == "", NextUpstream: c.candidates(), Disabled: c.w.delivery.Disabled,
	})
	c.next()
}

func (c *call) candidates() func() (string, bool) {
	n := c.entry
	if c.identity == "" {
		return func() (string, bool) {
			name, ok := n.table.Pick(c.w.Now(), n.view, service, c.tried)
			c.tried = append(c.tried, name)
			return name, ok
		}
	}
	var names []string
	for _, u := range n.history.Candidates(c.w.Now(), service, c.identity) {
		if n.set.InService(u) {
			names = append(names, u.Name)
		}
	}
	return delivery.InOrder(names)
}

// next takes the sender's next step. The goroutine of the call may stall before it, and before the write.
func (c *call) next() {
	c.turn++
	c.later(c.w.stall(), func() {
		s := c.sender.Next(c.w.Now())
		switch s.Action {
		case delivery.ActionFetchEpoch:
			c.ask(s)
		case delivery.ActionSendCall:
			left := c.deadline - c.w.Now()
			c.later(c.w.stall(), func() { c.write(s, left) })
		case delivery.ActionRespond:
			c.tell(s.Outcome, s.Reason, "")
		}
	})
}

// later runs a step of the entry process.
func (c *call) later(d time.Duration, step func()) {
	c.w.After(d, func() { c.entry.do(c.life, step) })
}

func (c *call) ask(s delivery.Step) {
	to, turn := c.w.beside(s.Upstream), c.turn
	if to.StateMachine == nil {
		c.report(routing.ConnectionFailed, s, delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})()
		return
	}
	c.entry.request(to, func() func() {
		epoch, version := to.ledger.Epoch(c.w.Now()), to.version
		return func() {
			c.entry.ReceiveVersion(version, to.Address)
			if c.turn == turn {
				c.sender.SetEpoch(c.w.Now(), epoch)
				c.next()
			}
		}
	})
	c.later(max(c.deadline-c.w.Now(), 100*time.Millisecond),
		c.report(routing.Unresponsive, s, delivery.AttemptEvent{Kind: delivery.AttemptNotConnected}))
}

func (c *call) write(s delivery.Step, left time.Duration) {
	to := c.w.beside(s.Upstream)
	if to.StateMachine == nil && c.w.chance(0.5) {
		c.report(routing.ConnectionFailed, s, delivery.AttemptEvent{Kind: delivery.AttemptNotWritten})()
		return
	}
	m := &message{call: c, to: to, step: s, left: left, turn: c.turn, version: c.entry.version}
	c.entry.send(to, m.arrive)
	c.later(max(c.deadline-c.w.Now(), time.Millisecond),
		c.report(routing.Unresponsive, s, delivery.AttemptEvent{Kind: delivery.AttemptUnanswered}))
}

// report returns a step that reports the event unless the sender has gone on since.
func (c *call) report(kind routing.OutcomeKind, s delivery.Step, e delivery.AttemptEvent) func() {
	turn := c.turn
	return func() {
		if c.turn != turn {
			return
		}
		c.entry.table.RecordOutcome(c.w.Now(), s.Upstream, routing.AttemptOutcome{Kind: kind})
		c.sender.Report(c.w.Now(), e)
		c.next()
	}
}

// tell answers the caller; a caller whose entry node ends hears nothing.
func (c *call) tell(outcome wire.Outcome, kind wire.ErrorKind, body string) {
	c.turn++
	c.w.check.told(c, outcome, kind, body)
	c.answered = c.answered || outcome == wire.OutcomeRan
}
