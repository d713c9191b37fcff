package distributiontest

import (
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

// Node is one node of a Simulation.
type Node struct {
	VM, DataCentre, Address string
	// StateMachine is nil while the node is stopped.
	StateMachine *distribution.StateMachine
	// Version is the version in force; while the node is stopped, it is the last one that was.
	Version wire.VersionID
	// AdoptedAt is the time of the last adoption, RunningSince of the last start or resumption.
	AdoptedAt, RunningSince time.Duration
	// Regressions counts the starts after which the first version in force was older than the last one before the stop.
	Regressions int

	simulation        *Simulation
	index             int
	incarnation       int
	frozen            bool
	frozenAt          time.Duration
	deferred          []func()                // steps that run when the node resumes
	heldPolls         []func() bool           // try to answer a delayed poll, and report whether it is answered
	seenVersions      []wire.VersionID        // last version that each source stated
	completeVersions  map[wire.VersionID]bool // versions whose whole set this process received
	hungAddresses     map[string]bool         // addresses to which the open connection hangs
	versionBeforeStop wire.VersionID          // in force before the last stop
}

// Start starts a process of the node, without any state of an earlier one.
func (n *Node) Start() {
	sim := n.simulation
	n.incarnation++
	n.versionBeforeStop, n.Version = n.Version, wire.VersionID{}
	n.RunningSince = sim.now
	n.seenVersions = make([]wire.VersionID, len(sim.Sources))
	n.completeVersions = map[wire.VersionID]bool{}
	n.hungAddresses = map[string]bool{}
	o := distribution.Options{
		Self:          distribution.Node{VM: n.VM, DataCentre: n.DataCentre, Address: n.Address},
		SourceCount:   len(sim.Sources),
		SeedAddresses: []string{sim.Nodes[0].Address, sim.Nodes[len(sim.Nodes)-1].Address},
		Random:        rand.New(rand.NewPCG(sim.Random.Uint64(), uint64(n.index))),
	}
	if sim.AdjustOptions != nil {
		sim.AdjustOptions(&o)
	}
	n.StateMachine = distribution.NewStateMachine(o)
	incarnation := n.incarnation
	var tick func()
	tick = func() {
		if n.incarnation == incarnation && n.StateMachine != nil {
			if !n.frozen {
				n.step(distribution.Tick{})
			}
			sim.After(TickInterval, tick)
		}
	}
	sim.After(time.Duration(sim.Random.Int64N(int64(TickInterval))), tick)
}

// Stop ends the node's process immediately, as SIGKILL does.
func (n *Node) Stop() {
	n.incarnation++
	n.StateMachine = nil
	n.frozen = false
	n.deferred = nil
	n.heldPolls = nil
}

// Freeze suspends the node's process, as SIGSTOP does: connections stay open, but the node does not answer.
func (n *Node) Freeze() {
	n.frozen = true
	n.frozenAt = n.simulation.now
}

// Resume continues a frozen process. It detects the pause before it reads the messages that arrived meanwhile.
func (n *Node) Resume() {
	if n.StateMachine == nil || !n.frozen {
		return
	}
	n.frozen = false
	n.RunningSince = n.simulation.now
	if n.simulation.now-n.frozenAt > membership.PauseThreshold && !n.simulation.NoPauseDetection {
		n.step(distribution.Resumed{})
	}
	deferred := n.deferred
	n.deferred = nil
	for _, run := range deferred {
		run()
	}
}

// HangConnections makes all open connections of the node unresponsive. New connections work.
func (n *Node) HangConnections() {
	for _, other := range n.simulation.Nodes {
		n.hungAddresses[other.Address] = true
	}
}

// ReceiveVersion tells the node that another node, with the address from, stated the version in a request.
func (n *Node) ReceiveVersion(v wire.VersionID, from string) {
	n.deliverEvent(n.incarnation, distribution.VersionAnnounced{Version: v, From: from})
}

// Running reports whether the node is neither stopped nor frozen.
func (n *Node) Running() bool { return n.StateMachine != nil && !n.frozen }

func (n *Node) listRevision() uint64 {
	if list := n.StateMachine.MemberList(); list != nil {
		return list.Revision
	}
	return 0
}

// recordSetStatus records that the whole set of a version has reached the process.
func (n *Node) recordSetStatus(d distribution.SetStatus, v wire.VersionID) {
	if d == distribution.ValidSet {
		n.completeVersions[v] = true
	}
}

// deliverEvent passes an event to the node's process, if it still has the given incarnation. A frozen process gets the
// event when it resumes.
func (n *Node) deliverEvent(incarnation int, e distribution.Event) {
	if n.incarnation != incarnation || n.StateMachine == nil {
		return
	}
	if n.frozen {
		n.deferred = append(n.deferred, func() { n.deliverEvent(incarnation, e) })
		return
	}
	n.step(e)
}

// step passes an event to the state machine and carries out the actions that it returns.
func (n *Node) step(e distribution.Event) {
	revision := n.listRevision()
	changed := false
	for _, a := range n.StateMachine.Step(n.simulation.now, e) {
		switch a := a.(type) {
		case distribution.Poll:
			n.sendPoll(a)
		case distribution.ReadManifest:
			n.readManifest(a)
		case distribution.ReadMembers:
			n.readMembers(a)
		case distribution.ReadValues:
			n.readValues(a)
		case distribution.AdoptSet:
			n.adoptSet(a.Version)
			changed = true
		}
	}
	if changed || n.listRevision() != revision {
		n.answerHeldPolls()
	}
}

// adoptSet puts a version in force and reports a violation if the node must not adopt it.
func (n *Node) adoptSet(v wire.VersionID) {
	sim := n.simulation
	if !n.completeVersions[v] {
		sim.reportViolation("%s adopts %v without its whole set", n.VM, v)
	}
	if sim.InvalidVersions[v] {
		sim.reportViolation("%s adopts the invalid version %v", n.VM, v)
	}
	if !n.Version.IsZero() && !n.Version.Less(v) {
		sim.reportViolation("%s moves back from %v to %v", n.VM, n.Version, v)
	}
	if n.Version.IsZero() && v.Less(n.versionBeforeStop) {
		n.Regressions++
	}
	n.Version = v
	n.AdoptedAt = sim.now
}

// answerHeldPolls answers the delayed polls for which the node now has something newer.
func (n *Node) answerHeldPolls() {
	held := n.heldPolls
	n.heldPolls = nil
	for _, answer := range held {
		if !answer() {
			n.heldPolls = append(n.heldPolls, answer)
		}
	}
}

// sendPoll sends a poll that carries the node's version and list revision at this time.
func (n *Node) sendPoll(p distribution.Poll) {
	sim := n.simulation
	incarnation := n.incarnation
	have, revision := n.StateMachine.Versions().GreatestVerified(), n.listRevision()
	fail := func() { n.deliverEvent(incarnation, distribution.PollFailed{ID: p.ID}) }
	sim.After(p.Timeout, fail)
	to := sim.NodeByAddress(p.Address)
	if to == nil {
		return
	}
	if sim.Hooks.OnPoll != nil {
		sim.Hooks.OnPoll(n, to, p)
	}
	if p.NewConnection && !sim.ReuseConnections {
		delete(n.hungAddresses, p.Address)
	}
	if n.hungAddresses[p.Address] {
		return
	}
	sim.send(n.DataCentre, to.DataCentre, func() {
		if to.StateMachine == nil {
			sim.send(to.DataCentre, n.DataCentre, fail)
			return
		}
		to.runWhenAwake(to.incarnation, func() { to.handlePoll(n, incarnation, p, have, revision) })
	})
}

// runWhenAwake runs a step of the process with the given incarnation, now or when the node resumes. It does nothing
// when that process no longer runs.
func (n *Node) runWhenAwake(incarnation int, serve func()) {
	if n.incarnation != incarnation || n.StateMachine == nil {
		return
	}
	if n.frozen {
		n.deferred = append(n.deferred, func() { n.runWhenAwake(incarnation, serve) })
		return
	}
	serve()
}

// handlePoll answers a poll immediately, or when the node has something newer than the poller or the poll's wait is
// over.
func (n *Node) handlePoll(poller *Node, incarnation int, p distribution.Poll, have wire.VersionID, revision uint64) {
	sim := n.simulation
	ownIncarnation := n.incarnation
	n.step(distribution.VersionAnnounced{Version: have, From: poller.Address})
	done := false
	answer := func() bool {
		if !done && n.incarnation == ownIncarnation && n.StateMachine != nil {
			done = true
			n.answerPoll(poller, incarnation, p, have, revision)
		}
		return true
	}
	answerIfNewer := func() bool {
		if done || distribution.ShouldAnswerAtOnce(have, n.StateMachine.Versions().Current(), revision, n.listRevision()) {
			return answer()
		}
		return false
	}
	if p.Wait == 0 {
		answer()
		return
	}
	if !answerIfNewer() {
		n.heldPolls = append(n.heldPolls, answerIfNewer)
		sim.After(p.Wait, func() { n.runWhenAwake(ownIncarnation, func() { answer() }) })
	}
}

// answerPoll sends the answer to a poll.
func (n *Node) answerPoll(poller *Node, incarnation int, p distribution.Poll, have wire.VersionID, revision uint64) {
	sim := n.simulation
	current := n.StateMachine.Versions().Current()
	e := distribution.PollAnswered{ID: p.ID, Version: current, MembersRevision: n.listRevision()}
	e.ViewUnconfirmed = !membership.IsFresh(sim.now, n.StateMachine.ViewConfirmedAt())
	if confirmed := n.StateMachine.VersionConfirmedAt(); confirmed > 0 {
		e.VersionConfirmed, e.ConfirmationAge = true, sim.now-confirmed
	}
	contents := p.Contents && have.Less(current)
	if contents {
		e.SetStatus = distribution.ValidSet
		if sim.randomBool(sim.Network.CorruptionProbability) {
			e.SetStatus = distribution.IncompleteSet
		}
	}
	list := n.StateMachine.MemberList()
	withList := p.Contents && list != nil && list.Revision > revision
	if sim.Hooks.OnAnswer != nil {
		sim.Hooks.OnAnswer(n, poller, p, contents, withList)
	}
	sim.send(n.DataCentre, poller.DataCentre, func() {
		if poller.incarnation == incarnation && poller.StateMachine != nil {
			poller.recordSetStatus(e.SetStatus, e.Version)
		}
		if withList {
			poller.deliverEvent(incarnation, distribution.MemberListReceived{List: list})
		}
		poller.deliverEvent(incarnation, e)
	})
}
