package invariants

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/routing"
)

// message is a call on its way to a controller. A doubled message is the same one arriving twice.
type message struct {
	call    *call
	to      *node
	step    delivery.Step
	left    time.Duration
	turn    int
	version wire.VersionID
	// life is the process that got it first. Only its answer reaches the sender, on the request's connection.
	life int
}

// arrival is one arrival of a message at one process.
type arrival struct {
	*message
	id   string
	at   *node
	life int
	when time.Duration
}

func (m *message) arrive() {
	if m.life != 0 && m.call.identity == "" {
		// A call without a record arrives once, because a connection does not repeat a request.
		return
	}
	if m.life == 0 {
		m.life = m.to.Incarnation()
	}
	m.to.ReceiveVersion(m.version, m.call.entry.Address)
	a := &arrival{message: m, at: m.to, life: m.to.Incarnation(), when: m.call.w.Now()}
	a.id = m.call.w.unique(m.call.id)
	a.decide(false)
}

// refusal checks what the controller's own version says.
func (a *arrival) refusal() wire.ErrorKind {
	n, c, now := a.at, a.call, a.call.w.Now()
	switch {
	case !n.fresh():
		return wire.KindStaleConfiguration
	case n.leaving():
		return wire.KindLeaving
	case c.identity != "" && !n.history.Eligible(now, service, c.identity, n.name()):
		return wire.KindWrongUpstream
	case now >= a.when+a.left:
		return wire.KindDeadlineExceeded
	case c.identity != "" && c.w.chance(0.05): // stands for a full queue
		return wire.KindOverloaded
	}
	key := n.set.Key(c.key)
	switch {
	case key == nil && !n.version.Less(a.version):
		return wire.KindUnknownKey
	case key != nil && key.State != config.KeyGranted && !c.w.o.Disabled.keys:
		return wire.KindKeyWithdrawn
	}
	return ""
}

func (a *arrival) request(clear bool) delivery.Request {
	c := a.call
	return delivery.Request{
		Call: c.id, Identity: c.identity, Attempt: c.number, Epoch: a.step.Epoch, Idempotent: c.identity == "",
		BarredElsewhere: clear,
	}
}

func (a *arrival) decide(clear bool) {
	n, c, now := a.at, a.call, a.call.w.Now()
	d := n.ledger.Accept(now, a.request(clear))
	if d.Verdict == delivery.VerdictRun || d.Verdict == delivery.VerdictNeedBar {
		// The record decides first: a doubled message of a call that runs must not be told "not run".
		if kind := a.refusal(); kind != "" {
			a.withdraw(d.Verdict == delivery.VerdictRun, kind)
			return
		}
	}
	switch d.Verdict {
	case delivery.VerdictRun:
		a.queue()
	case delivery.VerdictReplay:
		a.ran(string(d.Result.Body))
	case delivery.VerdictNeedBar:
		if !n.history.IsComplete(now) {
			a.refuse(wire.OutcomeUnknown, wire.KindOutcomeUnknown)
			return
		}
		a.round(n.history.OtherCandidates(now, service, c.identity, n.name()))
	default:
		a.refuse(d.Outcome, d.Reason)
	}
}

// withdraw refuses a call that the record would have let run.
func (a *arrival) withdraw(accepted bool, kind wire.ErrorKind) {
	now, request := a.call.w.Now(), a.request(false)
	switch {
	case accepted:
		a.at.ledger.Release(now, request, kind)
	case !request.Idempotent:
		a.at.ledger.RefuseCall(now, request.Call, kind)
	}
	a.refuse(wire.OutcomeNotRun, kind)
}

// round asks the other candidates of the identity.
func (a *arrival) round(others []string) {
	n, w, b, over := a.at, a.call.w, delivery.NewBarRound(others), false
	conclude := func() {
		if over || b.State() == delivery.BarRoundPending {
			return
		}
		over = true
		d := b.Decision()
		switch {
		case b.State() == delivery.BarRoundClear:
			a.decide(true)
		case d.Verdict == delivery.VerdictReplay:
			a.ran(string(d.Result.Body))
		default:
			a.refuse(d.Outcome, d.Reason)
		}
	}
	for _, name := range others {
		to := w.beside(name)
		n.request(to, func() func() {
			r := to.ledger.Bar(w.Now(), a.call.identity)
			return func() { b.RecordVerdict(name, r); conclude() }
		})
	}
	w.After(a.left, func() { n.do(a.life, func() { b.Expire(); conclude() }) })
	conclude()
}

// queue waits for a slot of the upstream.
func (a *arrival) queue() {
	n, c := a.at, a.call
	n.queued[a.id] = a
	if c.w.o.Disabled.admission {
		a.hand()
		return
	}
	d := n.admission.Submit(c.w.Now(), admission.Call{
		ID: a.id, Team: c.team, Weight: 1, Priority: config.PriorityNormal, Deadline: a.when + a.left,
	})
	switch d.Verdict {
	case admission.Admitted:
		a.hand()
	case admission.Refused:
		a.drop(d.Kind)
	}
	n.act(d.Actions)
}

func (n *node) act(actions []admission.Action) {
	for _, action := range actions {
		a := n.queued[action.ID]
		switch {
		case a == nil:
		case action.Start:
			a.hand()
		default:
			a.drop(action.Kind)
		}
	}
}

// drop refuses a call that the ledger has accepted.
func (a *arrival) drop(kind wire.ErrorKind) {
	delete(a.at.queued, a.id)
	a.at.ledger.Release(a.call.w.Now(), a.request(false), kind)
	a.refuse(wire.OutcomeNotRun, kind)
}

// hand gives the call to the upstream.
func (a *arrival) hand() {
	n, c, w := a.at, a.call, a.call.w
	delete(n.queued, a.id)
	w.check.run(a)
	if c.identity != "" && w.chance(0.01) {
		// The worst moment to lose the record is just after a run.
		w.After(w.between(0, 2*workLatency), func() { w.restart(n, 0) })
	}
	n.up.work(n, func(r admission.Result) {
		if r.Kind == admission.ConnectionFailed || r.Kind == admission.TimedOut {
			n.ledger.Finish(w.Now(), c.identity, delivery.Result{Unknown: true})
			a.refuse(wire.OutcomeUnknown, wire.KindOutcomeUnknown)
		} else {
			n.ledger.Finish(w.Now(), c.identity, delivery.Result{Status: 200, Body: []byte(c.answer())})
			a.ran(c.answer())
		}
		n.act(n.admission.FinishCall(w.Now(), a.id, r))
	})
}

func (a *arrival) refuse(outcome wire.Outcome, kind wire.ErrorKind) {
	evidence := routing.Abandoned
	switch kind {
	case wire.KindOverloaded:
		evidence = routing.Overloaded
	case wire.KindLeaving:
		evidence = routing.Leaving
	}
	a.reply(func() {
		a.call.report(evidence, a.step, delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: outcome, Reason: kind})()
	})
}

func (a *arrival) ran(body string) {
	a.reply(func() {
		c := a.call
		c.entry.table.RecordOutcome(c.w.Now(), a.step.Upstream, routing.AttemptOutcome{Kind: routing.Responded})
		c.sender.Report(c.w.Now(), delivery.AttemptEvent{Kind: delivery.AttemptAnswered})
		if c.w.o.Disabled.matching {
			body = c.w.lastAnswer
		}
		c.w.lastAnswer = a.call.answer()
		if s := c.sender.Next(c.w.Now()); s.Action == delivery.ActionRespond {
			c.tell(s.Outcome, s.Reason, body)
		}
	})
}

// reply sends the answer on the connection of the request; it is void when the sender has gone on.
func (a *arrival) reply(step func()) {
	if a.life != a.message.life {
		return
	}
	c := a.call
	answer := func() {
		if c.turn == a.turn {
			step()
		}
	}
	if c.entry == a.at {
		c.later(0, answer)
		return
	}
	c.w.Send(a.at.Node, c.entry.Node, func() { c.entry.do(c.life, answer) })
}
