package mesh

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// logEraChange reports the change to a later era. values is the number of entries before it, changed are the entries
// that differ.
func (s *Syncer) logEraChange(result readResult, lastEra, lastRevision uint64, values int, changed []Entry) {
	removed := 0
	for _, e := range changed {
		if e.Removed {
			removed++
		}
	}
	s.mu.Lock()
	added := len(s.feed.entries) - (values - removed)
	s.mu.Unlock()
	s.options.Log.WithFields(logrus.Fields{
		"source": result.source, "previous_era": lastEra, "previous_revision": lastRevision, "era": result.delta.Era,
		"revision": result.delta.Revision, "added": added, "changed": len(changed) - removed - added, "removed": removed,
	}).Warn("the store was restored from an older copy; adopted its contents")
}

// logStoreContact logs when contact with the store, directly or through other nodes, is lost or regained.
func (s *Syncer) logStoreContact(source string, err error) {
	age := s.StoreAge()
	if lost := age > s.registry.outageTime; lost != s.storeLost {
		s.storeLost = lost
		at := s.StoreStatus()
		line := s.options.Log.WithFields(logrus.Fields{"age_ms": age.Milliseconds(), "source": source, "era": at.Era, "revision": at.Revision})
		if lost {
			line.WithError(err).Warn("lost the store; serving on the last view")
		} else {
			line.Info("the store confirms the view again")
		}
	}
}

// recordFailure records that a source failed, and logs it if this node has to look for another source.
func (s *Syncer) recordFailure(now time.Duration, source string, err error) {
	line := s.options.Log.WithError(err).WithFields(logrus.Fields{"source": source, "age_ms": s.StoreAge().Milliseconds()})
	if s.sources.Searching() {
		line.Debug("another source failed")
	} else {
		line.Info("reading from a source failed; looking for another one")
	}
	if errors.Is(err, ErrReaderStale) || errors.Is(err, ErrOlderEra) || errors.Is(err, ErrStoreBusy) || errors.Is(err, ErrContentsDiffer) {
		s.sources.RecordRefusal(now, source)
	} else {
		s.sources.RecordFailure(now, source)
	}
}

// recordAnswer records that a source answered, and logs it if this node was looking for one.
func (s *Syncer) recordAnswer(source string) {
	if s.sources.Searching() {
		s.options.Log.WithFields(logrus.Fields{"source": source, "age_ms": s.StoreAge().Milliseconds()}).Info("found a source that answers")
	}
	s.sources.RecordAnswer(source)
}

func (s *Syncer) logViewChange(last, next *View) {
	s.mu.Lock()
	fields := logrus.Fields{"era": s.feed.Era(), "revision": s.feed.Revision(), "source": s.viewSource, "vms": len(next.VMs)}
	s.mu.Unlock()
	if next.Config != nil {
		fields["version"] = next.Config.Version
	}
	if last.Config != nil {
		fields["previous_version"] = last.Config.Version
	}
	if next.OwnUpstream != nil {
		fields["upstream"], fields["draining"] = next.OwnUpstream.ID, next.OwnUpstream.Draining
	}
	if len(next.EvacuatedDataCentres) > 0 {
		fields["evacuated"] = next.EvacuatedDataCentres
	}
	s.options.Log.WithFields(fields).Info("adopted a new view of the mesh")
	if next.Config == last.Config {
		return
	}
	s.logUnknownKinds(next.Config)
	if last.Config != nil {
		s.logLimitChanges(last.Config, next.Config)
	}
}

// logUnknownKinds logs each route whose kind this release does not know.
func (s *Syncer) logUnknownKinds(c *Config) {
	for _, r := range c.RoutesOfUnknownKind() {
		s.options.Log.WithFields(logrus.Fields{"version": c.Version, "route": r.Name, "route_kind": r.UnknownKind}).
			Error("this release does not know the kind of a route; its requests run at most once; upgrade the node or correct the route")
	}
}

// logLimitChanges logs each team whose limit differs between two versions.
func (s *Syncer) logLimitChanges(last, next *Config) {
	for _, team := range next.Teams {
		previous := last.TeamByName(team.Name)
		if previous != nil && previous.Rate == team.Rate && previous.Burst == team.Burst {
			continue
		}
		s.options.Log.WithFields(logrus.Fields{
			"version": next.Version, "team": team.Name, "rate": team.Rate, "burst": team.Burst,
		}).Info("the limit of a team changed")
	}
}
