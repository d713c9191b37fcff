package mesh

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/sources"
)

// ServeRead answers a read by a node that follows this one. It returns what changed after a position as soon as there
// is a change, at the latest after the wait. It does not wait if the node that follows is in another era of the store, or
// has different entries at the same revision.
func (s *Syncer) ServeRead(after Position, wait time.Duration) Delta {
	// The timer also ends when this node's contact with the store becomes too old, so that the follower learns of it
	// immediately and not at the end of its wait.
	timer := time.NewTimer(min(wait, sources.ReadWait, max(0, s.budget.MaxStoreAge()-s.StoreAge())+time.Millisecond))
	defer timer.Stop()
	for {
		delta, changed := s.changesSince(after)
		if len(delta.Entries) > 0 || delta.Full || delta.ContentsDigest != 0 || delta.Era != after.Era || delta.StoreAge > s.budget.MaxStoreAge() {
			return delta
		}
		select {
		case <-changed:
		case <-timer.C:
			delta, _ = s.changesSince(after)
			return delta
		}
	}
}

// changesSince returns what changed after a position, with patches for large entries and this node's state of contact
// with the store, and a channel that is closed at the next change.
func (s *Syncer) changesSince(after Position) (Delta, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delta := s.feed.ChangesSince(after.Era, after.Revision)
	delta.StoreAge, delta.Uninterrupted = s.StoreAge(), s.uninterrupted.Load()
	if delta.Era > after.Era {
		delta.EraAge = s.options.Clock.Now() - s.eraBeganAt
	}
	s.wideLinks.add(after.WideLinkVMs)
	if delta.WideLinksDigest = s.wideLinks.digest(); delta.WideLinksDigest != after.WideLinksDigest {
		delta.WideLinkVMs = s.wideLinks.vms()
	}
	own := s.feed.contents()
	differ := own.DifferFrom(after.contents())
	if differ {
		s.disputed.Store(true)
	}
	if differ || len(delta.Entries) > 0 {
		delta.ContentsDigest = own.Digest
	}
	for i, e := range delta.Entries {
		base, has := after.LargeDigests[e.Key]
		if !has || e.Removed || e.Unchanged {
			continue
		}
		key := patchKey{e.Key, base, s.feed.valueDigest(e)}
		patched, known := s.patchCache[key]
		if !known {
			patched = s.feed.EncodePatch(e, base)
			if len(s.patchCache) >= maxCachedPatches {
				clear(s.patchCache)
			}
			s.patchCache[key] = patched
		}
		// The entry may have been written again with the same value, or read again in another era.
		patched.Revision = e.Revision
		delta.Entries[i] = patched
	}
	return delta, s.changed
}
