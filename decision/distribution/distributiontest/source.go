package distributiontest

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution"
)

// SourceLocation is the place of all sources in Network.Cut.
const SourceLocation = "source"

// Source is one of the platform's services.
type Source struct {
	// Down makes every read fail.
	Down bool
	// MissingValues makes reads of values fail, as after the publication of a manifest alone.
	MissingValues bool
	// ReadCount counts the reads that arrived.
	ReadCount int

	world    *Simulation
	version  wire.VersionID
	list     *platform.MemberList
	watchers []func() bool
}

// Publish makes the source serve a version, whatever it served before.
func (s *Source) Publish(v wire.VersionID) {
	s.version = v
	s.changed()
}

// Version returns what the source serves.
func (s *Source) Version() wire.VersionID { return s.version }

func (s *Source) changed() {
	waiting := s.watchers
	s.watchers = nil
	for _, answer := range waiting {
		if !answer() {
			s.watchers = append(s.watchers, answer)
		}
	}
}

// watch answers when ready holds or the wait is over.
func (s *Source) watch(wait time.Duration, ready func() bool, answer func()) {
	done := false
	try := func() bool {
		if !done && ready() {
			done = true
			answer()
		}
		return done
	}
	if try() {
		return
	}
	s.watchers = append(s.watchers, try)
	s.world.After(wait, func() {
		if !done {
			done = true
			answer()
		}
	})
}

func (n *Node) meterRead(kind string, changed bool) {
	if read := n.world.Hooks.OnRead; read != nil {
		read(n, kind, changed)
	}
}

func (n *Node) read(index int, id uint64, serve func(s *Source, reply func(...distribution.Event))) {
	w := n.world
	s := w.Sources[index]
	life := n.life
	fail := func() { n.deliver(life, distribution.ReadFailed{ID: id}) }
	w.After(distribution.PollTimeout, fail)
	w.send(n.DataCentre, SourceLocation, func() {
		s.ReadCount++
		if s.Down {
			w.send(SourceLocation, n.DataCentre, fail)
			return
		}
		serve(s, func(events ...distribution.Event) {
			w.send(SourceLocation, n.DataCentre, func() {
				if s.Down {
					fail()
					return
				}
				for _, e := range events {
					n.deliver(life, e)
				}
			})
		})
	})
}

func (n *Node) readManifest(a distribution.ReadManifest) {
	seen := n.seen[a.Source]
	n.read(a.Source, a.ID, func(s *Source, reply func(...distribution.Event)) {
		s.watch(a.Wait, func() bool { return s.version != seen }, func() {
			n.meterRead("manifest", s.version != seen)
			n.seen[a.Source] = s.version
			reply(distribution.ManifestRead{ID: a.ID, Version: s.version})
		})
	})
}

func (n *Node) readMembers(a distribution.ReadMembers) {
	revision := n.revision()
	n.read(a.Source, a.ID, func(s *Source, reply func(...distribution.Event)) {
		s.watch(a.Wait, func() bool { return s.list.Revision > revision }, func() {
			n.meterRead("members", s.list.Revision > revision)
			reply(distribution.MemberListReceived{List: s.list}, distribution.MembersRead{ID: a.ID})
		})
	})
}

func (n *Node) readValues(a distribution.ReadValues) {
	n.read(a.Source, a.ID, func(s *Source, reply func(...distribution.Event)) {
		n.meterRead("values", true)
		e := distribution.ValuesRead{ID: a.ID, SetStatus: distribution.ValidSet}
		switch {
		case s.version != a.Version || s.MissingValues:
			e.SetStatus = distribution.IncompleteSet
		case n.world.InvalidVersions[a.Version]:
			e.SetStatus, e.Faults = distribution.InvalidSet, "invalid"
		}
		n.noteDelivery(e.SetStatus, a.Version)
		reply(e)
	})
}
