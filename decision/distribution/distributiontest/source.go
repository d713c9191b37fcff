package distributiontest

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
)

// SourceLocation is the location of all sources in Network.Partitioned.
const SourceLocation = "source"

// Source is one simulated instance of the platform's configuration service.
type Source struct {
	// Down makes every read fail.
	Down bool
	// MissingValues makes reads of values fail, as they do while only the manifest of a version is published.
	MissingValues bool
	// ReadCount is the number of reads that arrived.
	ReadCount int

	simulation *Simulation
	version    wire.VersionID
	list       *platform.MemberList
	heldReads  []func() bool // try to answer a delayed read, and report whether it is answered
}

// Publish makes the source serve the version, even if it served a newer one before.
func (s *Source) Publish(v wire.VersionID) {
	s.version = v
	s.answerHeldReads()
}

// Version returns the version that the source serves.
func (s *Source) Version() wire.VersionID { return s.version }

// answerHeldReads answers the delayed reads whose condition now holds.
func (s *Source) answerHeldReads() {
	held := s.heldReads
	s.heldReads = nil
	for _, answer := range held {
		if !answer() {
			s.heldReads = append(s.heldReads, answer)
		}
	}
}

// holdUntil calls answer as soon as ready returns true, or when the wait is over.
func (s *Source) holdUntil(wait time.Duration, ready func() bool, answer func()) {
	done := false
	answerIfReady := func() bool {
		if !done && ready() {
			done = true
			answer()
		}
		return done
	}
	if answerIfReady() {
		return
	}
	s.heldReads = append(s.heldReads, answerIfReady)
	s.simulation.After(wait, func() {
		if !done {
			done = true
			answer()
		}
	})
}

func (n *Node) reportRead(kind string, changed bool) {
	if read := n.simulation.Hooks.OnRead; read != nil {
		read(n, kind, changed)
	}
}

// sendRead sends a read to the source with the given index. The function serve runs at the source and passes the events
// of the answer to reply.
func (n *Node) sendRead(index int, id uint64, serve func(s *Source, reply func(...distribution.Event))) {
	sim := n.simulation
	s := sim.Sources[index]
	incarnation := n.incarnation
	fail := func() { n.deliverEvent(incarnation, distribution.ReadFailed{ID: id}) }
	sim.After(distribution.PollTimeout, fail)
	sim.send(n.DataCentre, SourceLocation, func() {
		s.ReadCount++
		if s.Down {
			sim.send(SourceLocation, n.DataCentre, fail)
			return
		}
		serve(s, func(events ...distribution.Event) {
			sim.send(SourceLocation, n.DataCentre, func() {
				if s.Down {
					fail()
					return
				}
				for _, e := range events {
					n.deliverEvent(incarnation, e)
				}
			})
		})
	})
}

func (n *Node) readManifest(a distribution.ReadManifest) {
	seen := n.seenVersions[a.Source]
	n.sendRead(a.Source, a.ID, func(s *Source, reply func(...distribution.Event)) {
		s.holdUntil(a.Wait, func() bool { return s.version != seen }, func() {
			n.reportRead("manifest", s.version != seen)
			n.seenVersions[a.Source] = s.version
			reply(distribution.ManifestRead{ID: a.ID, Version: s.version})
		})
	})
}

func (n *Node) readMembers(a distribution.ReadMembers) {
	revision := n.listRevision()
	n.sendRead(a.Source, a.ID, func(s *Source, reply func(...distribution.Event)) {
		s.holdUntil(a.Wait, func() bool { return s.list.Revision > revision }, func() {
			n.reportRead("members", s.list.Revision > revision)
			reply(distribution.MemberListReceived{List: s.list}, distribution.MembersRead{ID: a.ID})
		})
	})
}

func (n *Node) readValues(a distribution.ReadValues) {
	n.sendRead(a.Source, a.ID, func(s *Source, reply func(...distribution.Event)) {
		n.reportRead("values", true)
		e := distribution.ValuesRead{ID: a.ID, SetStatus: distribution.ValidSet}
		switch {
		case s.version != a.Version || s.MissingValues:
			e.SetStatus = distribution.IncompleteSet
		case n.simulation.InvalidVersions[a.Version]:
			e.SetStatus, e.Faults = distribution.InvalidSet, "invalid"
		}
		n.recordSetStatus(e.SetStatus, a.Version)
		reply(e)
	})
}
