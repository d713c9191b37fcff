package distributiontest

import (
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

// Node is one node of a World.
type Node struct {
	VM, DataCentre, Address string
	// StateMachine is nil while the node is stopped.
	StateMachine *distribution.StateMachine
	// Version is in force; it is the last one before the stop while the node is stopped.
	Version wire.VersionID
	// AdoptedAt is the time of the last adoption, RunningSince of the last start or resumption.
	AdoptedAt, RunningSince time.Duration
	// Regressions counts the starts after which an older version than before the stop came into force.
	Regressions int

	world    *Simulation
	index    int
	life     int
	frozen   bool
	frozenAt time.Duration
	delayed  []func()
	waiting  []func() bool
	seen     []wire.VersionID
	whole    map[wire.VersionID]bool // versions delivered whole in this life
	hung     map[string]bool
	before   wire.VersionID // in force before the last stop
}

// Start starts the node without any state.
func (n *Node) Start() {
	w := n.world
	n.life++
	n.before, n.Version = n.Version, wire.VersionID{}
	n.RunningSince = w.now
	n.seen = make([]wire.VersionID, len(w.Sources))
	n.whole = map[wire.VersionID]bool{}
	n.hung = map[string]bool{}
	o := distribution.Options{
		Self:          distribution.Node{VM: n.VM, DataCentre: n.DataCentre, Address: n.Address},
		SourceCount:   len(w.Sources),
		SeedAddresses: []string{w.Nodes[0].Address, w.Nodes[len(w.Nodes)-1].Address},
		Random:        rand.New(rand.NewPCG(w.Random.Uint64(), uint64(n.index))),
	}
	if w.AdjustOptions != nil {
		w.AdjustOptions(&o)
	}
	n.StateMachine = distribution.NewStateMachine(o)
	life := n.life
	var tick func()
	tick = func() {
		if n.life == life && n.StateMachine != nil {
			if !n.frozen {
				n.step(distribution.Tick{})
			}
			w.After(TickInterval, tick)
		}
	}
	w.After(time.Duration(w.Random.Int64N(int64(TickInterval))), tick)
}

// Stop ends the node at once, as by SIGKILL.
func (n *Node) Stop() {
	n.life++
	n.StateMachine = nil
	n.frozen = false
	n.delayed = nil
	n.waiting = nil
}

// Freeze stops the node as by SIGSTOP: connections stay open and nothing is answered.
func (n *Node) Freeze() {
	n.frozen = true
	n.frozenAt = n.world.now
}

// Resume ends a freeze. The answers that arrived meanwhile are read after the pause is noticed.
func (n *Node) Resume() {
	if n.StateMachine == nil || !n.frozen {
		return
	}
	n.frozen = false
	n.RunningSince = n.world.now
	if n.world.now-n.frozenAt > membership.PauseThreshold && !n.world.NoPauseDetection {
		n.step(distribution.Resumed{})
	}
	delayed := n.delayed
	n.delayed = nil
	for _, run := range delayed {
		run()
	}
}

// HangConnections makes all open connections of the node unresponsive for good; new ones work.
func (n *Node) HangConnections() {
	for _, other := range n.world.Nodes {
		n.hung[other.Address] = true
	}
}

// ReceiveVersion passes a version that another node named in a call.
func (n *Node) ReceiveVersion(v wire.VersionID, from string) {
	n.deliver(n.life, distribution.VersionAnnounced{Version: v, From: from})
}

// Running reports whether the node runs.
func (n *Node) Running() bool { return n.StateMachine != nil && !n.frozen }

func (n *Node) revision() uint64 {
	if list := n.StateMachine.MemberList(); list != nil {
		return list.Revision
	}
	return 0
}

func (n *Node) noteDelivery(d distribution.SetStatus, v wire.VersionID) {
	if d == distribution.ValidSet {
		n.whole[v] = true
	}
}

// deliver passes an event to the life of the node that caused it.
func (n *Node) deliver(life int, e distribution.Event) {
	if n.life != life || n.StateMachine == nil {
		return
	}
	if n.frozen {
		n.delayed = append(n.delayed, func() { n.deliver(life, e) })
		return
	}
	n.step(e)
}

func (n *Node) step(e distribution.Event) {
	revision := n.revision()
	changed := false
	for _, a := range n.StateMachine.Step(n.world.now, e) {
		switch a := a.(type) {
		case distribution.Poll:
			n.poll(a)
		case distribution.ReadManifest:
			n.readManifest(a)
		case distribution.ReadMembers:
			n.readMembers(a)
		case distribution.ReadValues:
			n.readValues(a)
		case distribution.AdoptSet:
			n.adopt(a.Version)
			changed = true
		}
	}
	if changed || n.revision() != revision {
		n.answerWaiting()
	}
}

func (n *Node) adopt(v wire.VersionID) {
	w := n.world
	if !n.whole[v] {
		w.violated("%s adopts %v without the whole set", n.VM, v)
	}
	if w.InvalidVersions[v] {
		w.violated("%s adopts the invalid version %v", n.VM, v)
	}
	if !n.Version.IsZero() && !n.Version.Less(v) {
		w.violated("%s moves back from %v to %v", n.VM, n.Version, v)
	}
	if n.Version.IsZero() && v.Less(n.before) {
		n.Regressions++
	}
	n.Version = v
	n.AdoptedAt = w.now
}

func (n *Node) answerWaiting() {
	waiting := n.waiting
	n.waiting = nil
	for _, answer := range waiting {
		if !answer() {
			n.waiting = append(n.waiting, answer)
		}
	}
}

// poll sends a poll; the state that it carries is taken now.
func (n *Node) poll(p distribution.Poll) {
	w := n.world
	life := n.life
	have, revision := n.StateMachine.Versions().GreatestVerified(), n.revision()
	fail := func() { n.deliver(life, distribution.PollFailed{ID: p.ID}) }
	w.After(p.Timeout, fail)
	to := w.NodeByAddress(p.Address)
	if to == nil {
		return
	}
	if w.Hooks.OnPoll != nil {
		w.Hooks.OnPoll(n, to, p)
	}
	if p.NewConnection && !w.ReuseConnections {
		delete(n.hung, p.Address)
	}
	if n.hung[p.Address] {
		return
	}
	w.send(n.DataCentre, to.DataCentre, func() {
		if to.StateMachine == nil {
			w.send(to.DataCentre, n.DataCentre, fail)
			return
		}
		to.arrive(to.life, func() { to.serve(n, life, p, have, revision) })
	})
}

// arrive runs a request now, or after the node has resumed.
func (n *Node) arrive(life int, serve func()) {
	if n.life != life || n.StateMachine == nil {
		return
	}
	if n.frozen {
		n.delayed = append(n.delayed, func() { n.arrive(life, serve) })
		return
	}
	serve()
}

func (n *Node) serve(asker *Node, life int, p distribution.Poll, have wire.VersionID, revision uint64) {
	w := n.world
	own := n.life
	n.step(distribution.VersionAnnounced{Version: have, From: asker.Address})
	done := false
	answer := func() bool {
		if !done && n.life == own && n.StateMachine != nil {
			done = true
			n.answer(asker, life, p, have, revision)
		}
		return true
	}
	try := func() bool {
		if done || distribution.ShouldAnswerAtOnce(have, n.StateMachine.Versions().Current(), revision, n.revision()) {
			return answer()
		}
		return false
	}
	if p.Wait == 0 {
		answer()
		return
	}
	if !try() {
		n.waiting = append(n.waiting, try)
		w.After(p.Wait, func() { n.arrive(own, func() { answer() }) })
	}
}

func (n *Node) answer(asker *Node, life int, p distribution.Poll, have wire.VersionID, revision uint64) {
	w := n.world
	current := n.StateMachine.Versions().Current()
	e := distribution.PollAnswered{ID: p.ID, Version: current, MembersRevision: n.revision()}
	e.ViewUnconfirmed = !membership.IsFresh(w.now, n.StateMachine.ViewConfirmedAt())
	if confirmed := n.StateMachine.VersionConfirmedAt(); confirmed > 0 {
		e.VersionConfirmed, e.ConfirmationAge = true, w.now-confirmed
	}
	contents := p.Contents && have.Less(current)
	if contents {
		e.SetStatus = distribution.ValidSet
		if w.chance(w.Network.CorruptionProbability) {
			e.SetStatus = distribution.IncompleteSet
		}
	}
	list := n.StateMachine.MemberList()
	withList := p.Contents && list != nil && list.Revision > revision
	if w.Hooks.OnAnswer != nil {
		w.Hooks.OnAnswer(n, asker, p, contents, withList)
	}
	w.send(n.DataCentre, asker.DataCentre, func() {
		if asker.life == life && asker.StateMachine != nil {
			asker.noteDelivery(e.SetStatus, e.Version)
		}
		if withList {
			asker.deliver(life, distribution.MemberListReceived{List: list})
		}
		asker.deliver(life, e)
	})
}
