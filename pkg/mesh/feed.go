package mesh

import (
	"time"

	"github.com/rotisserie/eris"
)

const (
	// patchAbove is the size in bytes above which a value is sent as a patch to the one that the follower has. The
	// whole configuration of a large fleet is more than 100 KB, a change of it a few hundred bytes.
	patchAbove = 8 << 10
	// keptValues is the number of earlier values of a large entry that a feed keeps as bases of patches. Followers
	// ask several times a second, so they are one or two versions behind.
	keptValues = 3
)

// ErrPatchBase means that a patch belongs to another value than the one known here; read everything.
var ErrPatchBase = eris.New("the patch is for another value than the one known here; read everything again")

// keptRemovals bounds the removed entries that a feed remembers. A follower that is further behind gets everything.
const keptRemovals = 1024

// Entry is one entry of the store as it was written, or its removal.
type Entry struct {
	Key      string `json:"k"`
	Value    string `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"x,omitempty"`
	// Patch takes the place of Value: a patch to the value with the revision Base.
	Patch []PatchStep `json:"p,omitempty"`
	Base  uint64      `json:"b,omitempty"`
}

// Delta is what changed up to a revision.
type Delta struct {
	Entries  []Entry `json:"e,omitempty"`
	Revision uint64  `json:"r"`
	// Full means that entries that are not listed do not exist.
	Full bool `json:"f,omitempty"`
	// StoreAge is how long ago the store confirmed the revision.
	StoreAge time.Duration `json:"a"`
	// Uninterrupted is set by a node that has been in contact with the store all the while. What it removed is gone, even if
	// the follower was out of contact.
	Uninterrupted bool `json:"s,omitempty"`
	// WideLinksDigest is the digest of the VMs that are known to have wide links. Wide lists them when the follower knows others.
	WideLinksDigest uint64   `json:"n,omitempty"`
	WideLinkVMs     []string `json:"w,omitempty"`
}

// Feed keeps the newest state of each entry, so that a follower that is behind gets only the last version of each and
// none in between. It is not safe for concurrent use.
type Feed struct {
	entries  map[string]Entry
	removals []Entry
	// floor is the revision up to which removals are forgotten.
	floor    uint64
	revision uint64
	// earlier are the last values of large entries, by key, the newest last.
	earlier map[string][]Entry
}

// NewFeed returns an empty feed.
func NewFeed() *Feed { return &Feed{entries: map[string]Entry{}, earlier: map[string][]Entry{}} }

// Revision returns the revision up to which the feed is complete.
func (f *Feed) Revision() uint64 { return f.revision }

// Apply takes a delta and returns the entries that are new to this feed, removals of unlisted ones included. With
// ErrBase nothing is changed.
func (f *Feed) Apply(d Delta) ([]Entry, error) {
	var changed []Entry
	for i := range d.Entries {
		if err := f.unpatch(&d.Entries[i]); err != nil {
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
				changed = append(changed, f.put(Entry{Key: key, Revision: d.Revision, Removed: true})...)
			}
		}
	}
	for _, e := range d.Entries {
		changed = append(changed, f.put(e)...)
	}
	f.revision = max(f.revision, d.Revision)
	return changed, nil
}

// unpatch completes the value of an entry that was sent as a patch.
func (f *Feed) unpatch(e *Entry) error {
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

// LargeRevisions returns the revisions of the large entries, which a follower sends so that it gets patches.
func (f *Feed) LargeRevisions() map[string]uint64 {
	positions := map[string]uint64{}
	for key, e := range f.entries {
		if len(e.Value) > patchAbove {
			positions[key] = e.Revision
		}
	}
	return positions
}

// EncodePatch returns the entry as a patch to the value with the revision base, or as it is when it is not known or the
// patch is no smaller.
func (f *Feed) EncodePatch(e Entry, base uint64) Entry {
	for _, old := range f.earlier[e.Key] {
		if old.Revision != base {
			continue
		}
		if patch := makePatch(old.Value, e.Value); patchSize(patch) < len(e.Value)/2 {
			return Entry{Key: e.Key, Revision: e.Revision, Patch: patch, Base: base}
		}
	}
	return e
}

// keep notes a large value that is replaced.
func (f *Feed) keep(e Entry) {
	if len(e.Value) <= patchAbove {
		return
	}
	f.earlier[e.Key] = append(f.earlier[e.Key], e)
	if list := f.earlier[e.Key]; len(list) > keptValues {
		f.earlier[e.Key] = list[len(list)-keptValues:]
	}
}

func (f *Feed) put(e Entry) []Entry {
	if known, ok := f.entries[e.Key]; ok && known.Revision >= e.Revision {
		return nil
	}
	for _, r := range f.removals {
		if r.Key == e.Key && r.Revision >= e.Revision {
			return nil
		}
	}
	f.keep(f.entries[e.Key])
	if !e.Removed {
		f.entries[e.Key] = e
		return []Entry{e}
	}
	delete(f.entries, e.Key)
	f.removals = append(f.removals, e)
	if len(f.removals) > keptRemovals {
		f.floor = f.removals[0].Revision
		f.removals = f.removals[1:]
	}
	return []Entry{e}
}

// ChangesSince returns what changed after a revision.
func (f *Feed) ChangesSince(revision uint64) Delta {
	d := Delta{Revision: f.revision, Full: revision == 0 || revision < f.floor}
	if !d.Full {
		for _, r := range f.removals {
			if _, back := f.entries[r.Key]; !back && r.Revision > revision {
				d.Entries = append(d.Entries, r)
			}
		}
	}
	for _, e := range f.entries {
		if d.Full || e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}
