package distributiontest

import "github.com/bamboodeal/bamboodeal/api/platform"

// Incarnation returns a number that identifies the node's process. It changes with each start and stop.
func (n *Node) Incarnation() int { return n.incarnation }

// RunAsIncarnation runs a step of the process with the given incarnation, now or when the node resumes. It does nothing
// when that process no longer runs.
func (n *Node) RunAsIncarnation(incarnation int, step func()) { n.runWhenAwake(incarnation, step) }

// Send sends a message of another protocol between two nodes. The network treats it like a poll.
func (sim *Simulation) Send(from, to *Node, deliver func()) {
	sim.send(from.DataCentre, to.DataCentre, deliver)
}

// PublishMemberList makes the source serve the member list.
func (s *Source) PublishMemberList(list *platform.MemberList) {
	s.list = list
	s.answerHeldReads()
}

// MemberList returns the member list that the source serves.
func (s *Source) MemberList() *platform.MemberList { return s.list }
