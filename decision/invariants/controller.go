package invariants

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/routing"
)

// message is a call that is sent to a controller. A duplicated message is the same message arriving twice.
type message struct {
	call       *call
	to         *node
	step       delivery.Step
	timeLeft   time.Duration
	stepNumber int
	version    wire.VersionID
	// receiverIncarnation is the incarnation of the receiving node at the first arrival. Only the answer of this
	// process reaches the sender, because it is sent on the connection of the request.
	receiverIncarnation int
}

// arrival is one arrival of a message at a process of the receiving node.
type arrival struct {
	*message
	id                  string
	receiver            *node
	receiverIncarnation int
	arrivedAt           time.Duration
}

// handleArrival handles an arrival of the message at the receiving node.
func (m *message) handleArrival() {
	if m.receiverIncarnation != 0 && m.call.identity == "" {
		// An idempotent call arrives only once, because a connection does not repeat a request. A call with an identity may
		// arrive twice, to check that its record prevents a second run.
		return
	}
	if m.receiverIncarnation == 0 {
		m.receiverIncarnation = m.to.Incarnation()
	}
	m.to.ReceiveVersion(m.version, m.call.entry.Address)
	a := &arrival{message: m, receiver: m.to, receiverIncarnation: m.to.Incarnation(), arrivedAt: m.call.mesh.Now()}
	a.id = m.call.mesh.uniqueID(m.call.id)
	a.decide(false)
}

// controllerRefusal returns why the controller refuses the call according to its own version and state, or "".
func (a *arrival) controllerRefusal() wire.ErrorKind {
	n, c, now := a.receiver, a.call, a.call.mesh.Now()
	switch {
	case !n.isFresh():
		return wire.KindStaleConfiguration
	case n.isLeaving():
		return wire.KindLeaving
	case c.identity != "" && !n.history.Eligible(now, serviceName, c.identity, n.upstreamName()):
		return wire.KindWrongUpstream
	case now >= a.arrivedAt+a.timeLeft:
		return wire.KindDeadlineExceeded
	case c.identity != "" && c.mesh.randomBool(0.05): // stands for a full queue
		return wire.KindOverloaded
	}
	key := n.set.Key(c.key)
	switch {
	case key == nil && !n.version.Less(a.version):
		return wire.KindUnknownKey
	case key != nil && key.State != config.KeyGranted && !c.mesh.options.Disabled.keyChecks:
		return wire.KindKeyWithdrawn
	}
	return ""
}

// deliveryRequest returns the call as the ledger takes it; clear says that a bar round was clear.
func (a *arrival) deliveryRequest(clear bool) delivery.Request {
	c := a.call
	return delivery.Request{
		Call: c.id, Identity: c.identity, Attempt: c.attemptNumber, Epoch: a.step.Epoch, Idempotent: c.identity == "",
		BarredElsewhere: clear,
	}
}

// decide asks the ledger for its decision and carries it out; clear says that a bar round was clear.
func (a *arrival) decide(clear bool) {
	n, c, now := a.receiver, a.call, a.call.mesh.Now()
	d := n.ledger.Accept(now, a.deliveryRequest(clear))
	if d.Verdict == delivery.VerdictRun || d.Verdict == delivery.VerdictNeedBar {
		// The ledger decides first: the answer to a duplicated message of a call that runs must not be "not run".
		if kind := a.controllerRefusal(); kind != "" {
			a.refuseRecorded(d.Verdict == delivery.VerdictRun, kind)
			return
		}
	}
	switch d.Verdict {
	case delivery.VerdictRun:
		a.submit()
	case delivery.VerdictReplay:
		a.replyRan(string(d.Result.Body))
	case delivery.VerdictNeedBar:
		if !n.history.IsComplete(now) {
			a.refuse(wire.OutcomeUnknown, wire.KindOutcomeUnknown)
			return
		}
		a.runBarRound(n.history.OtherCandidates(now, serviceName, c.identity, n.upstreamName()))
	default:
		a.refuse(d.Outcome, d.Reason)
	}
}

// refuseRecorded refuses a call that the ledger would have let run; accepted says that the ledger recorded it as
// running.
func (a *arrival) refuseRecorded(accepted bool, kind wire.ErrorKind) {
	now, request := a.call.mesh.Now(), a.deliveryRequest(false)
	switch {
	case accepted:
		a.receiver.ledger.Release(now, request, kind)
	case !request.Idempotent:
		a.receiver.ledger.RefuseCall(now, request.Call, kind)
	}
	a.refuse(wire.OutcomeNotRun, kind)
}

// runBarRound asks the other candidates to bar the identity, and decides on the call when the round is over.
func (a *arrival) runBarRound(others []string) {
	n, mesh, b, over := a.receiver, a.call.mesh, delivery.NewBarRound(others), false
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
			a.replyRan(string(d.Result.Body))
		default:
			a.refuse(d.Outcome, d.Reason)
		}
	}
	for _, name := range others {
		to := mesh.nodeBeside(name)
		n.exchange(to, func() func() {
			r := to.ledger.Bar(mesh.Now(), a.call.identity)
			return func() { b.RecordResponse(name, r); conclude() }
		})
	}
	mesh.After(a.timeLeft, func() { n.runStep(a.receiverIncarnation, func() { b.Expire(); conclude() }) })
	conclude()
}

// submit passes the call to the admission controller, which starts it when the upstream has a free slot.
func (a *arrival) submit() {
	n, c := a.receiver, a.call
	n.queuedCalls[a.id] = a
	if c.mesh.options.Disabled.admissionControl {
		a.runAtUpstream()
		return
	}
	d := n.admission.Submit(c.mesh.Now(), admission.Call{
		ID: a.id, Team: c.team, Weight: 1, Priority: config.PriorityNormal, Deadline: a.arrivedAt + a.timeLeft,
	})
	switch d.Verdict {
	case admission.Admitted:
		a.runAtUpstream()
	case admission.Refused:
		a.refuseQueued(d.Kind)
	}
	n.applyActions(d.Actions)
}

// applyActions starts and refuses queued calls as the admission controller says.
func (n *node) applyActions(actions []admission.Action) {
	for _, action := range actions {
		a := n.queuedCalls[action.ID]
		switch {
		case a == nil:
		case action.Start:
			a.runAtUpstream()
		default:
			a.refuseQueued(action.Kind)
		}
	}
}

// refuseQueued refuses a call that the ledger has accepted and the admission controller has refused.
func (a *arrival) refuseQueued(kind wire.ErrorKind) {
	delete(a.receiver.queuedCalls, a.id)
	a.receiver.ledger.Release(a.call.mesh.Now(), a.deliveryRequest(false), kind)
	a.refuse(wire.OutcomeNotRun, kind)
}

// runAtUpstream sends the call to the upstream and answers it with the result.
func (a *arrival) runAtUpstream() {
	n, c, mesh := a.receiver, a.call, a.call.mesh
	delete(n.queuedCalls, a.id)
	mesh.checker.checkRun(a)
	if c.identity != "" && mesh.randomBool(0.01) {
		// The node may restart and lose its record shortly after the start of the run, which is the worst time.
		mesh.After(mesh.randomDuration(0, 2*workLatency), func() { mesh.restart(n, 0) })
	}
	n.upstream.runCall(n, func(r admission.Result) {
		if r.Kind == admission.ConnectionFailed || r.Kind == admission.TimedOut {
			n.ledger.Finish(mesh.Now(), c.identity, delivery.Result{Unknown: true})
			a.refuse(wire.OutcomeUnknown, wire.KindOutcomeUnknown)
		} else {
			n.ledger.Finish(mesh.Now(), c.identity, delivery.Result{Status: 200, Body: []byte(c.answer())})
			a.replyRan(c.answer())
		}
		n.applyActions(n.admission.FinishCall(mesh.Now(), a.id, r))
	})
}

// refuse answers that the controller refused the call.
func (a *arrival) refuse(outcome wire.Outcome, kind wire.ErrorKind) {
	outcomeKind := routing.Abandoned
	switch kind {
	case wire.KindOverloaded:
		outcomeKind = routing.Overloaded
	case wire.KindLeaving:
		outcomeKind = routing.Leaving
	}
	a.reply(func() {
		a.call.reportFunc(outcomeKind, a.step, delivery.AttemptEvent{Kind: delivery.AttemptRefused, Outcome: outcome, Reason: kind})()
	})
}

// replyRan answers with the upstream's response.
func (a *arrival) replyRan(body string) {
	a.reply(func() {
		c := a.call
		c.entry.table.RecordOutcome(c.mesh.Now(), a.step.Upstream, routing.AttemptOutcome{Kind: routing.Responded})
		c.sender.Report(c.mesh.Now(), delivery.AttemptEvent{Kind: delivery.AttemptAnswered})
		if c.mesh.options.Disabled.answerMatching {
			body = c.mesh.lastAnswer
		}
		c.mesh.lastAnswer = a.call.answer()
		if s := c.sender.Next(c.mesh.Now()); s.Action == delivery.ActionRespond {
			c.respond(s.Outcome, s.Reason, body)
		}
	})
}

// reply runs a step of the sender with the answer, which is sent on the connection of the request. The answer is
// ignored if the sender has made another step since.
func (a *arrival) reply(step func()) {
	if a.receiverIncarnation != a.message.receiverIncarnation {
		return
	}
	c := a.call
	answer := func() {
		if c.stepNumber == a.stepNumber {
			step()
		}
	}
	if c.entry == a.receiver {
		c.scheduleAtEntry(0, answer)
		return
	}
	c.mesh.Send(a.receiver.Node, c.entry.Node, func() { c.entry.runStep(c.entryIncarnation, answer) })
}
