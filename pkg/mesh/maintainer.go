package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/decision/sources"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

const (
	// readWait is how long a read waits at the source for a change. After this time a node notices that a reader has
	// lost the store or that a connection no longer answers.
	readWait = 500 * time.Millisecond
	// relayReadWait is the same for a reader that reads from another reader. It is shorter, because the data of such a
	// reader may be older by this wait, and the data of its followers by their own wait in addition.
	relayReadWait = 150 * time.Millisecond
	// minReadInterval is the shortest time between the starts of two reads, so that a series of changes needs few
	// calls. It is a small part of the 2 s within which a version has to be in force. minStoreReadInterval is the same for
	// reads of the store, whose calls are billed. A change that follows no other one is not delayed by it, because a read
	// then waits at the store already.
	minReadInterval      = 100 * time.Millisecond
	minStoreReadInterval = 250 * time.Millisecond
	// startReadInterval is the same for a node that reads the store while its own upstream is not yet registered.
	startReadInterval = 500 * time.Millisecond
	// initialRetryDelay and maxRetryDelay bound the delay after a failed read. The delay doubles with each failed read
	// of the store. The actual time is a random value between half of it and all of it.
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 400 * time.Millisecond
	// removalCheckInterval is how often the registry is checked for entries whose removal is due.
	removalCheckInterval = 250 * time.Millisecond
)

// SyncerOptions configure a Syncer.
type SyncerOptions struct {
	// VM and DataCentre are those of this node. UpstreamAddress is the "IP:port" of the upstream beside it.
	VM              string
	DataCentre      string
	UpstreamAddress string
	// HeartbeatInterval is the interval at which upstreams report to the store.
	HeartbeatInterval time.Duration
	// WideLink is true if this node's VM has a wide link, that is, one with a high bandwidth (see sources.Member). Such
	// nodes are preferred as readers.
	WideLink bool
	// Store is the platform's store.
	Store Source
	// PeerSource returns the node on another VM as a source.
	PeerSource func(vm string) Source
	// Decode translates an entry of the store into a change; ok is false for entries that do not affect the view.
	Decode func(e Entry) (c Change, ok bool)
	Clock  clock.Clock
	Log    *logrus.Logger
	// OnView is called with each new view, from the goroutine of Run.
	OnView func(*View)
	// OnCold is called, from the same goroutine, when an entry of the upstream beside this node says that it stays cold for
	// the given time. The upstream can crash if it gets more than its cold rate. OnCold may be nil.
	OnCold func(remaining time.Duration)
}

// Syncer keeps a current View by reading from the store or from other nodes, and serves what it has read to other
// nodes. Run is its control goroutine; the other methods may be called from any goroutine.
type Syncer struct {
	options  SyncerOptions
	registry *Registry
	sources  *sources.Selector
	view     atomic.Pointer[View]
	// confirmedAt is when the store last confirmed the view, as a time.Duration of the clock.
	confirmedAt atomic.Int64
	// uninterrupted is the last value of Registry.ContactUninterrupted. It is sent to followers.
	uninterrupted atomic.Bool
	// storeLost is true from the log line about the lost store until the one about its return.
	storeLost bool
	// readEverything makes the next read return all entries.
	readEverything bool
	lastMembers    membersOfView

	mu   sync.Mutex
	feed *Feed
	// patchCache holds the last patches that were made, because all followers of a reader need the same ones.
	patchCache map[patchKey]Entry
	// changed is closed and replaced when the feed changes.
	changed   chan struct{}
	wideLinks wideLinkSet
	// sourceLinksDigest is the digest of wide links in the last answer of another node.
	sourceLinksDigest uint64
}

// maxCachedPatches bounds the number of cached patches.
const maxCachedPatches = 4

type patchKey struct {
	key      string
	from, to uint64
}

// NewSyncer returns a Syncer whose view is empty.
func NewSyncer(o SyncerOptions) *Syncer {
	s := &Syncer{
		options: o, registry: NewRegistry(o.UpstreamAddress, o.HeartbeatInterval), sources: sources.NewSelector(o.VM, o.DataCentre),
		feed: NewFeed(), changed: make(chan struct{}), patchCache: map[patchKey]Entry{},
		wideLinks: wideLinkSet{},
	}
	if o.WideLink {
		s.wideLinks[o.VM] = true
	}
	s.view.Store(s.registry.View())
	return s
}

// View returns the current view; it is never nil.
func (s *Syncer) View() *View { return s.view.Load() }

// StoreAge returns the time since the store last confirmed the view.
func (s *Syncer) StoreAge() time.Duration {
	return s.options.Clock.Now() - time.Duration(s.confirmedAt.Load())
}

// ServeRead answers a read by a node that follows this one. It returns what changed after a position as soon as there
// is a change, at the latest after the wait.
func (s *Syncer) ServeRead(after Position, wait time.Duration) Delta {
	// The timer also ends when this node's contact with the store becomes too old, so that the follower learns of it
	// immediately and not at the end of its wait.
	timer := time.NewTimer(min(wait, readWait, max(0, sources.MaxStoreAge-s.StoreAge())+time.Millisecond))
	defer timer.Stop()
	for {
		delta, changed := s.changesSince(after)
		if len(delta.Entries) > 0 || delta.Full || s.StoreAge() > sources.MaxStoreAge {
			return s.withContact(delta)
		}
		select {
		case <-changed:
		case <-timer.C:
			return s.withContact(delta)
		}
	}
}

// withContact adds this node's state of contact with the store to a delta.
func (s *Syncer) withContact(d Delta) Delta {
	d.StoreAge, d.Uninterrupted = s.StoreAge(), s.uninterrupted.Load()
	return d
}

// changesSince returns what changed after a position, with patches for large entries, and a channel that is closed at
// the next change.
func (s *Syncer) changesSince(after Position) (Delta, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta := s.feed.ChangesSince(after.Revision)
	s.wideLinks.add(after.WideLinkVMs)
	if delta.WideLinksDigest = s.wideLinks.digest(); delta.WideLinksDigest != after.WideLinksDigest {
		delta.WideLinkVMs = s.wideLinks.vms()
	}
	for i, e := range delta.Entries {
		base, has := after.LargeRevisions[e.Key]
		if !has || e.Removed || e.Unchanged {
			continue
		}
		key := patchKey{e.Key, base, e.Revision}
		patched, known := s.patchCache[key]
		if !known {
			patched = s.feed.EncodePatch(e, base)
			if len(s.patchCache) >= maxCachedPatches {
				clear(s.patchCache)
			}
			s.patchCache[key] = patched
		}
		delta.Entries[i] = patched
	}
	return delta, s.changed
}

// readResult is the outcome of one read.
type readResult struct {
	source string
	delta  Delta
	err    error
}

// Run reads from the store or other nodes and updates the view until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	results := make(chan readResult, 1)
	expire := time.NewTicker(removalCheckInterval)
	defer expire.Stop()
	nextRead := time.NewTimer(0)
	defer nextRead.Stop()
	retryDelay := initialRetryDelay
	var startedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-nextRead.C:
			startedAt = s.options.Clock.Now()
			source := s.sources.Next(startedAt, s.members())
			wait := readWait
			if source != sources.Store && s.sources.IsReader() {
				wait = relayReadWait
			}
			go s.read(results, source, s.position(), wait)
		case result := <-results:
			if s.handleResult(result) {
				retryDelay = initialRetryDelay
				nextRead.Reset(max(0, s.readInterval(result.source)-(s.options.Clock.Now()-startedAt)))
				continue
			}
			nextRead.Reset(retryDelay/2 + rand.N(retryDelay/2))
			if result.source == sources.Store {
				retryDelay = min(2*retryDelay, maxRetryDelay)
			}
		case <-expire.C:
			now := s.options.Clock.Now()
			if s.registry.ApplyDueRemovals(now) {
				s.publish()
			}
			s.uninterrupted.Store(s.registry.ContactUninterrupted(now))
		}
	}
}

// readInterval returns the shortest time between the starts of two reads. It is longer while the mesh starts, because
// then all nodes read the store and each upstream that registers causes a change.
func (s *Syncer) readInterval(source string) time.Duration {
	switch {
	case source != sources.Store:
		return minReadInterval
	case s.View().OwnUpstream == nil:
		return startReadInterval
	}
	return minStoreReadInterval
}

func (s *Syncer) position() Position {
	if s.readEverything {
		return Position{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Position{Revision: s.feed.Revision(), LargeRevisions: s.feed.LargeRevisions(), WideLinksDigest: s.wideLinks.digest()}
	if p.WideLinksDigest != s.sourceLinksDigest {
		p.WideLinkVMs = s.wideLinks.vms()
	}
	return p
}

// members returns the VMs of the view, with their wide links as far as they are known. They are the same at most reads, so
// the last result is kept. Only the goroutine of Run uses it.
func (s *Syncer) members() []sources.Member {
	view := s.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if digest := s.wideLinks.digest(); s.lastMembers.view != view || s.lastMembers.wideLinksDigest != digest {
		members := view.Members()
		for i := range members {
			members[i].WideLink = s.wideLinks[members[i].VM]
		}
		s.lastMembers = membersOfView{view, digest, members}
	}
	return s.lastMembers.members
}

// membersOfView is the result of Syncer.members for a view and a set of wide links.
type membersOfView struct {
	view            *View
	wideLinksDigest uint64
	members         []sources.Member
}

func (s *Syncer) read(results chan<- readResult, name string, after Position, wait time.Duration) {
	source := s.options.Store
	if name != sources.Store {
		source = s.options.PeerSource(name)
	}
	delta, err := source.Read(after, wait)
	if err == nil && delta.StoreAge > sources.MaxStoreAge {
		err = ErrReaderStale
	}
	results <- readResult{name, delta, err}
}

// handleResult handles the outcome of a read. It returns false if the next read has to wait for the retry delay.
func (s *Syncer) handleResult(result readResult) bool {
	now := s.options.Clock.Now()
	if errors.Is(result.err, ErrHistoryLost) {
		s.options.Log.WithField("source", result.source).Warn("the source discarded its history; reading all entries again")
		s.readEverything = true
		return true
	}
	if result.err != nil {
		s.sources.RecordFailure(now, result.source)
		s.options.Log.WithError(result.err).WithField("source", result.source).Debug("reading from a source failed; trying again, possibly from another source")
	}
	if result.err == nil || errors.Is(result.err, ErrReaderStale) {
		s.applyDelta(now, result)
	}
	s.logStoreContact(result)
	return result.err == nil
}

// applyDelta applies the delta of a read to the feed and the registry.
func (s *Syncer) applyDelta(now time.Duration, result readResult) {
	s.readEverything = false
	if at := now - result.delta.StoreAge; result.delta.Revision > 0 && int64(at) > s.confirmedAt.Load() {
		s.confirmedAt.Store(int64(at))
		s.registry.RecordContact(at, result.delta.Uninterrupted)
		s.uninterrupted.Store(s.registry.ContactUninterrupted(now))
	}
	s.mu.Lock()
	s.wideLinks.add(result.delta.WideLinkVMs)
	if result.source != sources.Store {
		s.sourceLinksDigest = result.delta.WideLinksDigest
	}
	entries, err := s.feed.Apply(result.delta)
	if len(entries) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if err != nil {
		s.options.Log.WithError(err).WithField("source", result.source).Warn("a patch does not fit; reading all entries again")
		s.readEverything = true
	}
	viewChanged, cold := false, time.Duration(0)
	for _, e := range entries {
		change, ok := s.options.Decode(e)
		if !ok {
			continue
		}
		viewChanged = s.registry.Apply(now, change) || viewChanged
		if s.registry.saysOwnIsCold(change) {
			cold = change.Upstream.ColdRemaining
		}
	}
	if viewChanged {
		s.publish()
	}
	if cold > 0 && s.options.OnCold != nil {
		s.options.OnCold(cold)
	}
}

// logStoreContact logs when contact with the store, directly or through other nodes, is lost or regained.
func (s *Syncer) logStoreContact(result readResult) {
	age := s.StoreAge()
	if lost := age > s.registry.outageTime; lost != s.storeLost {
		s.storeLost = lost
		line := s.options.Log.WithField("age_ms", age.Milliseconds()).WithField("source", result.source)
		if lost {
			line.WithError(result.err).Warn("lost the store; serving on the last view")
		} else {
			line.Info("the store confirms the view again")
		}
	}
}

// publish makes a new view of the registry's contents available to other goroutines.
func (s *Syncer) publish() {
	next, last := s.registry.View(), s.view.Load()
	s.view.Store(next)
	s.logViewChange(last, next)
	if s.options.OnView != nil {
		s.options.OnView(next)
	}
}

func (s *Syncer) logViewChange(last, next *View) {
	s.mu.Lock()
	fields := logrus.Fields{"revision": s.feed.Revision(), "vms": len(next.VMs)}
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
