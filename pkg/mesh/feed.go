package mesh

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	// patchThreshold is the size in bytes above which an entry is large: its value is sent as a patch to the value that
	// the follower has. The configuration of a large mesh is more than 100 KB, a change of it a few hundred bytes.
	patchThreshold = 8 << 10
	// maxEarlierValues is the number of earlier values of a large entry that a feed keeps, because patches refer to
	// them. Followers read several times a second, so they are only one or two versions behind.
	maxEarlierValues = 3
)

// ErrPatchBase means that a patch refers to a different value than the feed has, so the caller has to read everything.
var ErrPatchBase = eris.New("the patch is for a different value than the one that this node has; read everything again")

// maxRemovals bounds the number of removals that a feed keeps. A follower that is further behind gets all entries.
const maxRemovals = 1024

// Entry is one entry of the store, or its removal.
type Entry struct {
	Key      string `json:"k"`
	Value    string `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"x,omitempty"`
	// Patch is sent in place of Value. It applies to the value that the entry had at the revision Base.
	Patch []PatchStep `json:"p,omitempty"`
	Base  uint64      `json:"b,omitempty"`
	// Unchanged is set in a full delta, without a value, if the follower has the value of this revision.
	Unchanged bool `json:"u,omitempty"`
}

// Delta is the answer to a read: the entries that changed up to a revision.
type Delta struct {
	Entries  []Entry `json:"e,omitempty"`
	Revision uint64  `json:"r"`
	// Full means that Entries lists all entries of the store. Other entries do not exist.
	Full bool `json:"f,omitempty"`
	// StoreAge is the time since the store last confirmed the revision.
	StoreAge time.Duration `json:"a"`
	// Uninterrupted is set by a node whose contact with the store has not been interrupted. Entries that it removed did
	// not expire because of an outage, even if the follower had no contact.
	Uninterrupted bool `json:"s,omitempty"`
	// WideLinksDigest is the digest of the VMs that the source knows to have wide links, that is, links with a high
	// bandwidth (see sources.Member). WideLinkVMs lists these VMs if the follower knows a different set.
	WideLinksDigest uint64   `json:"n,omitempty"`
	WideLinkVMs     []string `json:"w,omitempty"`
}

// Feed holds the newest state of each entry of the store, and answers what changed since a revision. A follower that is
// several revisions behind gets only the newest state of each changed entry. A Feed is not safe for concurrent use.
type Feed struct {
	entries  map[string]Entry
	removals []Entry
	// removalsFrom is the revision after which removals are complete, except in the gap. Removals up to it may have been
	// discarded, or may have happened before the feed read all entries. A follower at an earlier revision gets a full
	// delta, because an incremental one would leave it with removed entries for good.
	removalsFrom uint64
	// gap is the last range of revisions that the feed skipped by reading all entries again. Entries that were both
	// written and removed in it are not known here, but a follower inside it may have them.
	gap      revisionRange
	revision uint64
	// earlierValues holds the earlier values of large entries by key, the newest last.
	earlierValues map[string][]Entry
}

// revisionRange is the range of revisions between two revisions, both excluded.
type revisionRange struct{ after, before uint64 }

func (r revisionRange) contains(revision uint64) bool {
	return r.after < revision && revision < r.before
}

// NewFeed returns an empty feed.
func NewFeed() *Feed { return &Feed{entries: map[string]Entry{}, earlierValues: map[string][]Entry{}} }

// Revision returns the revision up to which the feed is complete.
func (f *Feed) Revision() uint64 { return f.revision }

// Apply applies a delta and returns the entries that it changed. If the delta is full, these include removals of the
// entries that it does not list. If Apply returns ErrPatchBase, the feed is unchanged.
func (f *Feed) Apply(d Delta) ([]Entry, error) {
	var changed []Entry
	for i := range d.Entries {
		if err := f.decodePatch(&d.Entries[i]); err != nil {
			return nil, err
		}
	}
	if d.Full {
		listed := map[string]bool{}
		for _, e := range d.Entries {
			listed[e.Key] = true
		}
		for key, e := range f.entries {
			if !listed[key] && e.Revision <= d.Revision {
				changed = append(changed, f.putEntry(Entry{Key: key, Revision: d.Revision, Removed: true})...)
			}
		}
		f.recordGap(d.Revision)
	}
	for _, e := range d.Entries {
		changed = append(changed, f.putEntry(e)...)
	}
	f.revision = max(f.revision, d.Revision)
	return changed, nil
}

// recordGap records that a full delta advances the feed to a revision. Only the last gap is kept, so followers at revisions
// before it get full deltas.
func (f *Feed) recordGap(revision uint64) {
	if revision > f.revision {
		f.removalsFrom = max(f.removalsFrom, f.gap.before)
		f.gap = revisionRange{after: f.revision, before: revision}
	}
}

// decodePatch replaces the patch of an entry by the value that it produces.
func (f *Feed) decodePatch(e *Entry) error {
	if e.Unchanged && !f.supersedes(*e) {
		return ErrPatchBase
	}
	if len(e.Patch) == 0 {
		return nil
	}
	known := f.entries[e.Key]
	if known.Revision != e.Base {
		return ErrPatchBase
	}
	value, ok := applyPatch(known.Value, e.Patch)
	if !ok {
		return ErrPatchBase
	}
	e.Value, e.Patch, e.Base = value, nil, 0
	return nil
}

// LargeRevisions returns the revisions of the large entries by key. A follower sends them to get patches.
func (f *Feed) LargeRevisions() map[string]uint64 {
	revisions := map[string]uint64{}
	for key, e := range f.entries {
		if len(e.Value) > patchThreshold {
			revisions[key] = e.Revision
		}
	}
	return revisions
}

// EncodePatch returns the entry with a patch to the value of the revision base. It returns the entry unchanged if that
// value is not known or the patch is not smaller than half of the value.
func (f *Feed) EncodePatch(e Entry, base uint64) Entry {
	for _, old := range f.earlierValues[e.Key] {
		if old.Revision != base {
			continue
		}
		if patch := makePatch(old.Value, e.Value); patchSize(patch) < len(e.Value)/2 {
			return Entry{Key: e.Key, Revision: e.Revision, Patch: patch, Base: base}
		}
	}
	return e
}

// keepEarlierValue keeps a large entry that is about to be replaced.
func (f *Feed) keepEarlierValue(e Entry) {
	if len(e.Value) <= patchThreshold {
		return
	}
	f.earlierValues[e.Key] = append(f.earlierValues[e.Key], e)
	if list := f.earlierValues[e.Key]; len(list) > maxEarlierValues {
		f.earlierValues[e.Key] = list[len(list)-maxEarlierValues:]
	}
}

// supersedes reports whether the feed has the state of the entry at the same or a later revision.
func (f *Feed) supersedes(e Entry) bool {
	if known, ok := f.entries[e.Key]; ok && known.Revision >= e.Revision {
		return true
	}
	for _, r := range f.removals {
		if r.Key == e.Key && r.Revision >= e.Revision {
			return true
		}
	}
	return false
}

func (f *Feed) putEntry(e Entry) []Entry {
	if f.supersedes(e) {
		return nil
	}
	f.keepEarlierValue(f.entries[e.Key])
	if !e.Removed {
		f.entries[e.Key] = e
		return []Entry{e}
	}
	delete(f.entries, e.Key)
	f.removals = append(f.removals, e)
	if len(f.removals) > maxRemovals {
		f.removalsFrom = max(f.removalsFrom, f.removals[0].Revision)
		f.removals = f.removals[1:]
	}
	return []Entry{e}
}

// ChangesSince returns what changed after a revision. The delta is full for revision 0 and for revisions after which
// removals are not complete. A full delta for another revision than 0 has no values of entries that did not change.
func (f *Feed) ChangesSince(revision uint64) Delta {
	d := Delta{Revision: f.revision, Full: revision == 0 || revision < f.removalsFrom || f.gap.contains(revision)}
	if !d.Full {
		for _, r := range f.removals {
			if _, exists := f.entries[r.Key]; !exists && r.Revision > revision {
				d.Entries = append(d.Entries, r)
			}
		}
	}
	for _, e := range f.entries {
		switch {
		case e.Revision > revision:
			d.Entries = append(d.Entries, e)
		case d.Full:
			d.Entries = append(d.Entries, Entry{Key: e.Key, Revision: e.Revision, Unchanged: true})
		}
	}
	return d
}
