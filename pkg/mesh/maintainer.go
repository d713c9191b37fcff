package mesh

import (
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/decision/consistency"
	"github.com/bamboodeal/bamboodeal/decision/sources"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

const (
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
	// eraReadJitter bounds the random delay after which a reader reads everything because the store was restored, so
	// that the readers of all data centres do not do so at once. It is a small part of the 2.5 s within which a change
	// has to be in force after the restore.
	eraReadJitter = 100 * time.Millisecond
	// minAvoidStore and maxAvoidStore bound the time for which a node that is not the first reader of its data centre
	// leaves a restored store to the readers. By then these have noticed the restore, which takes them up to
	// maxRetryDelay, and have read everything.
	minAvoidStore = 1000 * time.Millisecond
	maxAvoidStore = 1500 * time.Millisecond
	// olderEraDelay is the least delay after a failed read of a node that knows of a restore of which the source or the
	// readers may not know yet; the actual time is a random value between half of it and all of it. Without it, such a
	// node would try all readers within a few milliseconds and then ask the store, before the readers have noticed the
	// restore.
	olderEraDelay = 200 * time.Millisecond
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
	// ChangeBound is the time from the store's acknowledgement of a change within which it has to be in force here; 0 stands
	// for sources.DefaultChangeBound.
	ChangeBound time.Duration
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
	budget   sources.Budget
	view     atomic.Pointer[View]
	// confirmedAt is when the store last confirmed the view, as a time.Duration of the clock.
	confirmedAt atomic.Int64
	// uninterrupted is the last value of Registry.ContactUninterrupted. It is sent to followers.
	uninterrupted atomic.Bool
	// storeLost is true from the log line about the lost store until the one about its return.
	storeLost bool
	// readEverything makes the next read return all entries.
	readEverything bool
	// storeRestored makes the next read of the store return all entries, because the store is in a later era than the
	// feed.
	storeRestored bool
	// avoidStoreUntil is the time until which this node leaves a restored store to the readers. readStoreNext makes the
	// next read one of the store.
	avoidStoreUntil time.Duration
	readStoreNext   bool
	lastMembers     membersOfView
	// viewSource is the source of the last delta that was applied.
	viewSource string
	// arbiter decides whether this node or another one is wrong if their contents differ. disputed is set when a follower
	// has stated different contents.
	arbiter  consistency.Arbiter
	disputed atomic.Bool

	mu   sync.Mutex
	feed *Feed
	// patchCache holds the last patches that were made, because all followers of a reader need the same ones.
	patchCache map[patchKey]Entry
	// changed is closed and replaced when the feed changes.
	changed   chan struct{}
	wideLinks wideLinkSet
	// sourceLinksDigest is the digest of wide links in the last answer of another node.
	sourceLinksDigest uint64
	// eraChanges counts the eras that the feed changed to, without the first one. eraBeganAt is when all entries of the
	// present era were first read, by this node or the one from which it learned of the era.
	eraChanges uint64
	eraBeganAt time.Duration
}

// StoreStatus says which position in the store's history a node has.
type StoreStatus struct {
	// Era counts the restores of the store from an older copy, Revision its changes within the era.
	Era, Revision uint64
	// EraChanges is how often this node has changed to a later era.
	EraChanges uint64
}

// maxCachedPatches bounds the number of cached patches.
const maxCachedPatches = 4

// patchKey names a patch by the digests of the values before and after it, which are the same in every era.
type patchKey struct {
	key      string
	from, to uint64
}

// NewSyncer returns a Syncer whose view is empty.
func NewSyncer(o SyncerOptions) *Syncer {
	budget := sources.NewBudget(o.ChangeBound)
	s := &Syncer{
		options: o, registry: NewRegistry(o.UpstreamAddress, o.HeartbeatInterval),
		budget: budget, sources: sources.NewSelector(o.VM, o.DataCentre, budget), feed: NewFeed(), changed: make(chan struct{}), patchCache: map[patchKey]Entry{},
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

// StoreStatus returns the position in the store's history that this node has.
func (s *Syncer) StoreStatus() StoreStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreStatus{Era: s.feed.Era(), Revision: s.feed.Revision(), EraChanges: s.eraChanges}
}

// nextSource returns the source to read from now. After a restore, the first reader of a data centre reads the store,
// which has just answered it. The other nodes leave the store to the readers for some time: while the readers have lost
// the store, all nodes read it, and they would all read everything at once.
func (s *Syncer) nextSource(now time.Duration) string {
	members := s.members()
	name := s.sources.Next(now, members, s.StoreAge())
	if s.readStoreNext {
		s.readStoreNext = false
		return sources.Store
	}
	if name != sources.Store || now >= s.avoidStoreUntil {
		return name
	}
	if readers := s.localReaders(); len(readers) > 0 {
		return readers[rand.IntN(len(readers))]
	}
	return name
}

// localReaders returns the other readers of this node's data centre, or nothing if this node is the first of them.
func (s *Syncer) localReaders() []string {
	var names []string
	for i, r := range sources.Readers(s.members(), s.options.DataCentre) {
		if r.VM == s.options.VM && i == 0 {
			return nil
		}
		if r.VM != s.options.VM && r.DataCentre == s.options.DataCentre {
			names = append(names, r.VM)
		}
	}
	return names
}

// position returns the position from which to read from a source.
func (s *Syncer) position(source string) Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readEverything || (s.storeRestored && source == sources.Store) {
		return Position{Era: s.feed.Era()}
	}
	p := Position{
		Era: s.feed.Era(), Revision: s.feed.Revision(), LargeDigests: s.feed.LargeDigests(), ContentsDigest: s.feed.ContentsDigest(),
		WideLinksDigest: s.wideLinks.digest(),
	}
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

// handleResult handles the outcome of a read. The error says after which delay the next read starts; it is nil if the
// read needs no delay.
func (s *Syncer) handleResult(result readResult) error {
	now, err := s.options.Clock.Now(), result.err
	if errors.Is(err, ErrHistoryLost) {
		s.options.Log.WithField("source", result.source).Warn("the source discarded its history; reading all entries again")
		s.readEverything = true
		return nil
	}
	if err == nil || errors.Is(err, ErrReaderStale) {
		err = s.handleDelta(now, result)
	}
	switch {
	case err == nil:
		s.recordAnswer(result.source)
	case errors.Is(err, ErrEraChanged):
		s.noticeRestore(now, result.source)
	case errors.Is(err, ErrPatchBase), errors.Is(err, ErrPatchResult):
		s.options.Log.WithError(err).WithField("source", result.source).Warn("refused a patch; reading all entries again")
		s.readEverything = true
		err = nil
	case errors.Is(err, ErrContentsDiffer):
		s.recordFailure(now, result.source, err)
		s.settleDispute(now, result.source)
	default:
		s.recordFailure(now, result.source, err)
	}
	s.logStoreContact(result.source, err)
	return err
}

// handleDelta applies the delta of a read unless it is of another era and cannot replace the contents.
func (s *Syncer) handleDelta(now time.Duration, result readResult) error {
	result.delta.FromStore = result.source == sources.Store
	d := result.delta
	s.mu.Lock()
	s.wideLinks.add(d.WideLinkVMs)
	if result.source != sources.Store {
		s.sourceLinksDigest = d.WideLinksDigest
	}
	err := s.feed.CheckEra(d)
	s.mu.Unlock()
	if err != nil && result.err != nil && d.Era == 0 && d.Revision == 0 {
		// The other node has just started and has no contents, so they are not of an older era.
		return result.err
	}
	if err != nil {
		return err
	}
	if err := s.applyDelta(now, result); err != nil {
		return err
	}
	return result.err
}

// settleDispute handles that another node has different entries at the same revision: the arbiter decides whether this node
// reads everything from the store.
func (s *Syncer) settleDispute(now time.Duration, other string) {
	s.mu.Lock()
	own := s.feed.contents()
	s.mu.Unlock()
	line := s.options.Log.WithFields(logrus.Fields{"other": other, "era": own.Era, "revision": own.Revision, "digest": own.Digest})
	if !s.arbiter.RecordDispute(now) {
		line.Warn("another node has different entries at the same revision; this node has just read its own, so the other one has to")
		return
	}
	line.Warn("another node has different entries at the same revision; reading all entries from the store")
	s.readEverything, s.readStoreNext = true, true
}

// noticeRestore makes the next read of the store return all entries, because an answer has shown a later era than the
// feed's.
func (s *Syncer) noticeRestore(now time.Duration, source string) {
	if !s.storeRestored {
		s.options.Log.WithField("source", source).Info("the store was restored from a copy; reading all entries again")
	}
	s.storeRestored = true
	s.registry.NoticeRestore(now)
	s.uninterrupted.Store(false)
	if len(s.localReaders()) == 0 {
		s.readStoreNext = true
	} else if s.avoidStoreUntil <= now {
		s.avoidStoreUntil = now + minAvoidStore + rand.N(maxAvoidStore-minAvoidStore)
	}
}

// applyDelta applies a delta that Feed.CheckEra accepts to the feed and the registry. If it returns an error (see Feed.Apply),
// nothing has changed, and the delta does not count as contact with the store: its changes are still missing here.
func (s *Syncer) applyDelta(now time.Duration, result readResult) error {
	d := result.delta
	s.mu.Lock()
	lastEra, lastRevision, first := s.feed.Era(), s.feed.Revision(), s.feed.isEmpty()
	values := len(s.feed.entries)
	entries, err := s.feed.Apply(d)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	s.readEverything = false
	newEra := s.feed.Era() != lastEra
	if d.Whole && d.Full && (newEra || d.Revision >= lastRevision) {
		s.arbiter.RecordWhole(now, d.FromStore)
	}
	if newEra {
		s.eraBeganAt = now - d.EraAge
		s.registry.BeginEra(s.eraBeganAt, d.Era)
	}
	// An answer to a follower states the contact with the store in the era of its contents, so both change together.
	s.recordContact(now, d, newEra)
	if newEra || d.FromStore {
		s.storeRestored = false
	}
	if newEra && !first {
		s.eraChanges++
	}
	if len(entries) > 0 || newEra {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	s.mu.Unlock()
	if newEra && !first {
		s.logEraChange(result, lastEra, lastRevision, values, entries)
	}
	s.viewSource = result.source
	s.applyEntries(now, entries, d.Era, newEra)
	return nil
}

// recordContact records when the store confirmed what a delta holds, if that is later than what is known or the first contact
// in an era.
func (s *Syncer) recordContact(now time.Duration, d Delta, newEra bool) {
	at := now - d.StoreAge
	if (d.Revision == 0 && d.Era == 0) || s.feed.Era() != d.Era || (!newEra && int64(at) <= s.confirmedAt.Load()) {
		return
	}
	s.confirmedAt.Store(int64(at))
	s.registry.RecordContact(at, d.Uninterrupted)
	s.uninterrupted.Store(s.registry.ContactUninterrupted(now))
}

// applyEntries applies changed entries to the registry. newEra is true if they come from the first full read of an era,
// which makes a new view in any case.
func (s *Syncer) applyEntries(now time.Duration, entries []Entry, era uint64, newEra bool) {
	viewChanged, cold := newEra, time.Duration(0)
	for _, e := range entries {
		e.Era = era
		change, ok := s.options.Decode(e)
		if !ok {
			continue
		}
		viewChanged = s.registry.ApplyFrom(now, change, Origin{Revision: e.Revision, Copied: newEra, Missing: e.Missing}) || viewChanged
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

// publish makes a new view of the registry's contents available to other goroutines.
func (s *Syncer) publish() {
	next, last := s.registry.View(), s.view.Load()
	s.view.Store(next)
	s.logViewChange(last, next)
	if s.options.OnView != nil {
		s.options.OnView(next)
	}
}
