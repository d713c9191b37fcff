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
	// quotaWait is the time for which a call waits for a token of its team.
	quotaWait = 50 * time.Millisecond
	// callerLatency is the time that a call takes from its caller to its entry node.
	callerLatency = time.Millisecond
	serviceName   = "s"
)

// caller repeats one call at different entry nodes, sometimes before the earlier attempt is over.
type caller struct {
	mesh           *SimulatedMesh
	id             string
	identity       string
	key            string
	team           string
	firstAttemptAt time.Duration
	attempts       int
	answered       bool
}

// sendAttempt sends the next attempt. Callers make at most four, and none after the retention time.
func (c *caller) sendAttempt() {
	mesh := c.mesh
	if c.answered || c.attempts == 4 || c.attempts > 0 && mesh.Now() > c.firstAttemptAt+mesh.delivery.Retention {
		return
	}
	if c.attempts == 0 {
		c.firstAttemptAt = mesh.Now()
	}
	c.attempts++
	number := c.attempts
	if number > 1 && mesh.randomBool(0.3) {
		number = 0
	}
	call := &call{
		caller: c, mesh: mesh, id: fmt.Sprintf("%s#%d", c.id, c.attempts), identity: c.identity, key: c.key, team: c.team,
		attemptNumber: number, entry: mesh.nodes[mesh.Random.IntN(len(mesh.nodes))], sentAt: mesh.Now(),
	}
	mesh.After(callerLatency, func() { call.entry.runStep(call.entry.Incarnation(), call.handleAtEntry) })
	mesh.After(mesh.randomDuration(30*time.Millisecond, 300*time.Millisecond<<mesh.Random.IntN(4)), c.sendAttempt)
}

// call is one attempt of a caller, at its entry node.
type call struct {
	*caller
	mesh             *SimulatedMesh
	id               string
	identity         string
	key              string
	team             string
	attemptNumber    int
	entry            *node
	entryIncarnation int
	sentAt           time.Duration
	deadline         time.Duration
	sender           *delivery.Sender
	tried            []string
	// stepNumber counts the steps of the sender, so that an answer or a timeout that belongs to an earlier step is
	// ignored.
	stepNumber int
}

// answer is the upstream's answer to the call. It is the same for all attempts of an identity, because a repeated
// identity gets the recorded answer.
func (c *call) answer() string {
	if c.identity != "" {
		return c.identity
	}
	return c.id
}

// handleAtEntry checks the call at its entry node, waits for a token of the team if needed, and starts sending.
func (c *call) handleAtEntry() {
	n, now := c.entry, c.mesh.Now()
	c.entryIncarnation = n.Incarnation()
	c.deadline = now + c.mesh.randomDuration(c.mesh.delivery.MaxDeadline/4, c.mesh.delivery.MaxDeadline)
	if kind := c.entryRefusal(); kind != "" {
		c.respond(wire.OutcomeNotRun, kind, "")
		return
	}
	if c.mesh.options.Disabled.quota || n.borrower.TakeToken(now, c.team) {
		c.startSending()
		n.sendQuotaRequests()
		return
	}
	n.sendQuotaRequests()
	c.mesh.After(quotaWait, func() {
		n.runStep(c.entryIncarnation, func() {
			switch {
			case n.borrower.TakeTokenForWaitingCall(c.mesh.Now(), c.team):
				c.startSending()
			default:
				n.borrower.RemoveWaitingCall(c.team)
				c.respond(wire.OutcomeNotRun, wire.KindTeamRateExceeded, "")
			}
		})
	})
}

// entryRefusal returns why the entry node refuses the call, or "".
func (c *call) entryRefusal() wire.ErrorKind {
	n := c.entry
	switch {
	case !n.isFresh():
		return wire.KindStaleConfiguration
	case delivery.MayHaveWaitedDuringPause(c.sentAt, n.pauseEnd) && !c.mesh.delivery.Disabled.Has(safeguard.PauseCheck):
		return wire.KindNotReady
	}
	key := n.set.Key(c.key)
	switch {
	case key == nil:
		return wire.KindUnknownKey
	case key.State != config.KeyGranted && !c.mesh.options.Disabled.keyChecks:
		return wire.KindKeyWithdrawn
	}
	c.mesh.checker.checkEntry(n, c, n.set)
	return ""
}

// startSending starts the attempts of a call that the entry node has admitted.
func (c *call) startSending() {
	n := c.entry
	c.mesh.checker.checkAdmission(n.set.Team(c.team))
	c.sender = delivery.NewSender(delivery.SenderConfig{
		Deadline: c.deadline, Idempotent: c.identity == "", NextUpstream: c.upstreamsToTry(),
		Disabled: c.mesh.delivery.Disabled,
	})
	c.runNextStep()
}

// upstreamsToTry returns a function for delivery.SenderConfig.NextUpstream: the upstreams that routing picks for an
// idempotent call, the candidates in service for others.
func (c *call) upstreamsToTry() func() (string, bool) {
	n := c.entry
	if c.identity == "" {
		return func() (string, bool) {
			name, ok := n.table.Pick(c.mesh.Now(), n.view, serviceName, c.tried)
			c.tried = append(c.tried, name)
			return name, ok
		}
	}
	var names []string
	for _, u := range n.history.Candidates(c.mesh.Now(), serviceName, c.identity) {
		if n.set.InService(u) {
			names = append(names, u.Name)
		}
	}
	return delivery.InOrder(names)
}

// runNextStep executes the sender's next step. The goroutine of the call may stall before the step and before the
// write.
func (c *call) runNextStep() {
	c.stepNumber++
	c.scheduleAtEntry(c.mesh.randomStall(), func() {
		s := c.sender.Next(c.mesh.Now())
		switch s.Action {
		case delivery.ActionFetchEpoch:
			c.fetchEpoch(s)
		case delivery.ActionSendCall:
			left := c.deadline - c.mesh.Now()
			c.scheduleAtEntry(c.mesh.randomStall(), func() { c.writeCall(s, left) })
		case delivery.ActionRespond:
			c.respond(s.Outcome, s.Reason, "")
		}
	})
}

// scheduleAtEntry runs a step of the entry node's process after d.
func (c *call) scheduleAtEntry(d time.Duration, step func()) {
	c.mesh.After(d, func() { c.entry.runStep(c.entryIncarnation, step) })
}

// fetchEpoch executes delivery.ActionFetchEpoch.
func (c *call) fetchEpoch(s delivery.Step) {
	to, stepNumber := c.mesh.nodeBeside(s.Upstream), c.stepNumber
	if to.StateMachine == nil {
		c.reportFunc(routing.ConnectionFailed, s, delivery.AttemptEvent{Kind: delivery.AttemptNotConnected})()
		return
	}
	c.entry.exchange(to, func() func() {
		epoch, version := to.ledger.Epoch(c.mesh.Now()), to.version
		return func() {
			c.entry.ReceiveVersion(version, to.Address)
			if c.stepNumber == stepNumber {
				c.sender.SetEpoch(c.mesh.Now(), epoch)
				c.runNextStep()
			}
		}
	})
	c.scheduleAtEntry(max(c.deadline-c.mesh.Now(), 100*time.Millisecond),
		c.reportFunc(routing.Unresponsive, s, delivery.AttemptEvent{Kind: delivery.AttemptNotConnected}))
}

// writeCall executes delivery.ActionSendCall; left is the time that was left until the deadline before the write.
func (c *call) writeCall(s delivery.Step, left time.Duration) {
	to := c.mesh.nodeBeside(s.Upstream)
	if to.StateMachine == nil && c.mesh.randomBool(0.5) {
		c.reportFunc(routing.ConnectionFailed, s, delivery.AttemptEvent{Kind: delivery.AttemptNotWritten})()
		return
	}
	m := &message{call: c, to: to, step: s, timeLeft: left, stepNumber: c.stepNumber, version: c.entry.version}
	c.entry.send(to, m.handleArrival)
	c.scheduleAtEntry(max(c.deadline-c.mesh.Now(), time.Millisecond),
		c.reportFunc(routing.Unresponsive, s, delivery.AttemptEvent{Kind: delivery.AttemptUnanswered}))
}

// reportFunc returns a function that reports the event to the sender unless the sender has made another step since.
func (c *call) reportFunc(kind routing.OutcomeKind, s delivery.Step, e delivery.AttemptEvent) func() {
	stepNumber := c.stepNumber
	return func() {
		if c.stepNumber != stepNumber {
			return
		}
		c.entry.table.RecordOutcome(c.mesh.Now(), s.Upstream, routing.AttemptOutcome{Kind: kind})
		c.sender.Report(c.mesh.Now(), e)
		c.runNextStep()
	}
}

// respond answers the caller. If the entry node stops before, the caller gets no answer.
func (c *call) respond(outcome wire.Outcome, kind wire.ErrorKind, body string) {
	c.stepNumber++
	c.mesh.checker.checkResponse(c, outcome, kind, body)
	c.answered = c.answered || outcome == wire.OutcomeRan
}
