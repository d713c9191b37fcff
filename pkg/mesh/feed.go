package mesh

import "time"

// keptRemovals bounds the removed entries that a feed remembers. A follower that is further behind gets everything.
const keptRemovals = 1024

// Entry is one entry of the store as it was written, or its removal.
type Entry struct {
	Key      string `json:"k"`
	Value    string `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"x,omitempty"`
}

// Delta is what changed up to a revision.
type Delta struct {
	Entries  []Entry `json:"e,omitempty"`
	Revision uint64  `json:"r"`
	// Full means that entries that are not listed do not exist.
	Full bool `json:"f,omitempty"`
	// Age is how long ago the store confirmed the revision.
	Age time.Duration `json:"a"`
}

// Feed keeps the newest state of each entry, so that a follower that is behind gets only the last version of each and
// none in between. It is not safe for concurrent use.
type Feed struct {
	entries  map[string]Entry
	removals []Entry
	// floor is the revision up to which removals are forgotten.
	floor    uint64
	revision uint64
}

// NewFeed returns an empty feed.
func NewFeed() *Feed { return &Feed{entries: map[string]Entry{}} }

// Revision returns the revision up to which the feed is complete.
func (f *Feed) Revision() uint64 { return f.revision }

// Apply takes a delta and returns the entries that are new to this feed, removals of unlisted ones included.
func (f *Feed) Apply(d Delta) []Entry {
	var changed []Entry
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
	return changed
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

// Since returns what changed after a revision.
func (f *Feed) Since(revision uint64) Delta {
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
