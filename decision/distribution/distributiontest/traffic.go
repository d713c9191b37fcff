package distributiontest

import "github.com/bamboodeal/bamboodeal/api/platform"

// Incarnation numbers the processes of the node; it changes with each start and stop.
func (n *Node) Incarnation() int { return n.life }

// RunAsIncarnation runs a step of the process with that number now, or when it wakes. It is dropped when another process runs.
func (n *Node) RunAsIncarnation(life int, step func()) { n.arrive(life, step) }

// Send delivers a message of another protocol between two nodes; the network treats it like a poll.
func (w *Simulation) Send(from, to *Node, deliver func()) {
	w.send(from.DataCentre, to.DataCentre, deliver)
}

// PublishMemberList publishes a member list at a source.
func (s *Source) PublishMemberList(list *platform.MemberList) {
	s.list = list
	s.changed()
}

// MemberList returns the member list that the source serves.
func (s *Source) MemberList() *platform.MemberList { return s.list }
