package mesh

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/decision/consistency"
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

// ErrPatchResult means that a patch produces another value than the sender has, or that the sender did not say which value
// it has, so the caller has to read everything.
var ErrPatchResult = eris.New("the patch does not produce the sender's value, or does not say which one that is; read everything again")

// ErrContentsDiffer means that the feed would have other entries than the sender at the same revision, so one of the two has
// to read everything from the store.
var ErrContentsDiffer = eris.New("this node and the sender have different entries at the same revision; read everything from the store")

// emptyDigest is the digest of a feed without entries. It is not 0, which means that a digest is not known.
const emptyDigest = 1

// maxRemovals bounds the number of removals that a feed keeps. A follower that is further behind gets all entries.
const maxRemovals = 1024

// Entry is one entry of the store, or its removal.
type Entry struct {
	Key string `json:"k"`
	// Value of a removal is the last value before it, if known. It is only kept in eras above 0, because after a
	// restore the entry can be present again, and followers may have left out the last value.
	Value    string `json:"v,omitempty"`
	Revision uint64 `json:"r"`
	Removed  bool   `json:"x,omitempty"`
	// Patch is sent in place of Value. It applies to the value with the digest Base and produces the one with the digest
	// Result, which nodes of earlier releases don't state.
	Patch  []PatchStep `json:"p,omitempty"`
	Base   uint64      `json:"b,omitempty"`
	Result uint64      `json:"c,omitempty"`
	// Unchanged is set, without a value, if the follower has the value: the one with the digest Base or, in a full delta
	// without Base, the value of this revision.
	Unchanged bool `json:"u,omitempty"`
	// Era is the era of the revision. It is set for Decode only; elsewhere it is that of the Delta or the Feed.
	Era uint64 `json:"-"`
	// Missing is set for a removal that Feed.Apply concludes from the first full delta of an era, which does not list the
	// entry. The entry may have been lost in the restore.
	Missing bool `json:"-"`
}

// Delta is the answer to a read: the entries that changed up to a revision.
type Delta struct {
	Entries []Entry `json:"e,omitempty"`
	// Era counts how often the store was restored from an older copy. A restore loses writes and assigns their revisions
	// again. Era is 0 if the store does not send it.
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"r"`
	// Full means that Entries lists all entries of the store. Other entries do not exist. To a follower of an earlier era,
	// a node also lists the removals that it knows from this era.
	Full bool `json:"f,omitempty"`
	// Whole is set for the answer to a position without a revision. It has the values of all entries, whatever the
	// follower has.
	Whole bool `json:"-"`
	// FromStore is set for an answer of the store itself.
	FromStore bool `json:"-"`
	// ContentsDigest is the digest of all entries that the sender has at Revision (see Feed.ContentsDigest). It is stated
	// with entries, and to a follower that has different ones at the same revision. 0 means that it is not stated.
	ContentsDigest uint64 `json:"c,omitempty"`
	// StoreAge is the time since the store last confirmed the revision.
	StoreAge time.Duration `json:"a"`
	// Uninterrupted is set by a node whose contact with the store has not been interrupted. Entries that it removed did
	// not expire because of an outage, even if the follower had no contact.
	Uninterrupted bool `json:"s,omitempty"`
	// EraAge is set for followers of an earlier era. It is the time since this node, or the one from which it learned
	// of the era, first read all entries in it.
	EraAge time.Duration `json:"ea,omitempty"`
	// WideLinksDigest is the digest of the VMs that the source knows to have wide links, that is, links with a high
	// bandwidth (see sources.Member). WideLinkVMs lists these VMs if the follower knows a different set.
	WideLinksDigest uint64   `json:"n,omitempty"`
	WideLinkVMs     []string `json:"w,omitempty"`
}

// Feed holds the newest state of each entry of the store, and answers what changed since a revision. A follower that is
// several revisions behind gets only the newest state of each changed entry. A Feed is not safe for concurrent use.
type Feed struct {
	// era is the era of the store that all revisions here belong to.
	era      uint64
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
	// contentsDigest is emptyDigest plus the digests of all entries.
	contentsDigest uint64
	// largeDigests holds the digests of the present values of large entries by key, earlierValues the values before them,
	// the newest last. Digests identify a value in every era, which a revision does not.
	largeDigests  map[string]uint64
	earlierValues map[string][]largeValue
}

// largeValue is a value of a large entry with its digest.
type largeValue struct {
	digest uint64
	value  string
}

// revisionRange is the range of revisions between two revisions, both excluded.
type revisionRange struct{ after, before uint64 }

func (r revisionRange) contains(revision uint64) bool {
	return r.after < revision && revision < r.before
}

// NewFeed returns an empty feed.
func NewFeed() *Feed {
	return &Feed{entries: map[string]Entry{}, contentsDigest: emptyDigest, largeDigests: map[string]uint64{}, earlierValues: map[string][]largeValue{}}
}

// Era returns the era that the revisions of the feed belong to.
func (f *Feed) Era() uint64 { return f.era }

// Revision returns the revision up to which the feed is complete.
func (f *Feed) Revision() uint64 { return f.revision }

// isEmpty reports whether nothing has been applied yet.
func (f *Feed) isEmpty() bool { return f.era == 0 && f.revision == 0 }

// ContentsDigest returns a digest of the keys and values of all entries. Two feeds at the same revision have the same
// digest, unless one of them has missed a change or has a wrong value.
func (f *Feed) ContentsDigest() uint64 { return f.contentsDigest }

// contents identifies the entries of the feed.
func (f *Feed) contents() consistency.Contents {
	return consistency.Contents{Era: f.era, Revision: f.revision, Digest: f.contentsDigest}
}

// contents identifies the entries that the sender of the delta has.
func (d *Delta) contents() consistency.Contents {
	return consistency.Contents{Era: d.Era, Revision: d.Revision, Digest: d.ContentsDigest}
}

// setEntry puts an entry in place of the one with its key.
func (f *Feed) setEntry(e Entry) {
	f.deleteEntry(e.Key)
	f.entries[e.Key] = e
	f.contentsDigest += digestEntry(e)
}

// deleteEntry deletes the entry with a key, if there is one.
func (f *Feed) deleteEntry(key string) {
	if known, ok := f.entries[key]; ok {
		delete(f.entries, key)
		f.contentsDigest -= digestEntry(known)
	}
}

// digestEntry returns a digest of an entry's key and value. The revision is left out: it says when the value was last
// written, and the same value can be written again.
func digestEntry(e Entry) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(len(e.Key)))
	_, _ = d.WriteString(e.Key)
	_, _ = d.WriteString(e.Value)
	return d.Sum64()
}

// CheckEra returns ErrOlderEra for a delta of an earlier era than the feed's, and ErrEraChanged for a delta of a later
// one that is not full and so does not continue the feed.
func (f *Feed) CheckEra(d Delta) error {
	if f.isEmpty() || (d.Full && d.Era > f.era) {
		return nil
	}
	return CompareEras(d.Era, f.era)
}

// Apply applies a delta and returns the entries that it changed. If the delta is full, these include removals of the
// entries that it does not list. A full delta of a later era replaces the contents; entries whose values stay the same
// are not returned. A whole delta that is not older than the feed replaces values and removals that differ, even if the
// feed has them from the same revision. If Apply returns an error (see CheckEra, ErrPatchBase, ErrPatchResult and
// ErrContentsDiffer), the feed is unchanged.
func (f *Feed) Apply(d Delta) ([]Entry, error) {
	if err := f.CheckEra(d); err != nil {
		return nil, err
	}
	if d.ContentsDigest == 0 {
		return f.apply(d)
	}
	next := f.clone()
	changed, err := next.apply(d)
	if err != nil {
		return nil, err
	}
	if next.contents().DifferFrom(d.contents()) {
		return nil, ErrContentsDiffer
	}
	*f = *next
	return changed, nil
}

// clone returns a copy that can be changed without changing the feed.
func (f *Feed) clone() *Feed {
	c := *f
	c.entries, c.removals = maps.Clone(f.entries), slices.Clone(f.removals)
	c.largeDigests, c.earlierValues = maps.Clone(f.largeDigests), maps.Clone(f.earlierValues)
	for key, list := range c.earlierValues {
		c.earlierValues[key] = slices.Clone(list)
	}
	return &c
}

// apply applies a delta of the same era, or a full one of a later era, without comparing the contents.
func (f *Feed) apply(d Delta) ([]Entry, error) {
	var changed []Entry
	for i := range d.Entries {
		if err := f.decodeValue(&d.Entries[i], d.Era); err != nil {
			return nil, err
		}
	}
	if f.isEmpty() {
		f.era = d.Era
	}
	if d.Era != f.era {
		return f.replace(d), nil
	}
	if d.Whole && d.Full && d.Revision >= f.revision {
		changed = f.repair(d.Entries)
	}
	if d.Full {
		changed = append(changed, f.removeUnlisted(d)...)
		f.recordGap(d.Revision)
	}
	// The feed is complete up to its revision, so a delta that is behind has news only after it. An entry from before
	// may have been removed before the feed's first full delta, whose removals are not known. This rule needs revisions
	// that do not go back, so it does not apply to the answers of a store that does not send its era.
	outdated := uint64(0)
	if d.Revision < f.revision && (f.era > 0 || !d.FromStore) {
		outdated = f.revision
	}
	for _, e := range d.Entries {
		if e.Revision > outdated {
			changed = append(changed, f.putEntry(e)...)
		}
	}
	f.revision = max(f.revision, d.Revision)
	return changed, nil
}

// removeUnlisted removes the entries that a full delta does not list, and returns the removals.
func (f *Feed) removeUnlisted(d Delta) []Entry {
	listed := map[string]bool{}
	for _, e := range d.Entries {
		listed[e.Key] = true
	}
	var removed []Entry
	for key, e := range f.entries {
		if !listed[key] && e.Revision <= d.Revision {
			removed = append(removed, f.putEntry(Entry{Key: key, Revision: d.Revision, Removed: true})...)
		}
	}
	return removed
}

// repair puts the entries that differ from those of a whole delta although the feed has them from the same revision, or has
// recorded their removal since. It returns these entries. Something went wrong before, so that putEntry would take them
// for known.
func (f *Feed) repair(entries []Entry) []Entry {
	var changed []Entry
	for _, e := range entries {
		known, exists := f.entries[e.Key]
		if e.Removed || e.Unchanged || !f.supersedes(e) || (exists && (known.Revision > e.Revision || known.Value == e.Value)) {
			continue
		}
		f.keepEarlierValue(known)
		f.setEntry(e)
		f.recordDigest(e)
		changed = append(changed, e)
	}
	return changed
}

// recordGap records that a full delta advances the feed to a revision. Only the last gap is kept, so followers at revisions
// before it get full deltas.
func (f *Feed) recordGap(revision uint64) {
	if revision > f.revision {
		f.removalsFrom = max(f.removalsFrom, f.gap.before)
		f.gap = revisionRange{after: f.revision, before: revision}
	}
}

// replace replaces the contents by those of a full delta of a later era, and returns the entries that differ.
func (f *Feed) replace(d Delta) []Entry {
	old := f.entries
	f.era, f.entries, f.removals, f.removalsFrom, f.gap, f.revision, f.contentsDigest = d.Era, map[string]Entry{}, nil, 0, revisionRange{}, 0, emptyDigest
	f.recordGap(d.Revision)
	f.revision = d.Revision
	var changed []Entry
	for _, e := range d.Entries {
		known, exists := old[e.Key]
		delete(old, e.Key)
		if e.Removed {
			f.removals = append(f.removals, f.addLastValue(e, known))
			if exists {
				changed = append(changed, e)
				f.keepEarlierValue(known)
			}
			continue
		}
		f.setEntry(e)
		if exists && known.Value == e.Value {
			continue
		}
		changed = append(changed, e)
		f.keepEarlierValue(known)
		f.recordDigest(e)
	}
	for key, e := range old {
		changed = append(changed, Entry{Key: key, Revision: d.Revision, Removed: true, Missing: true})
		f.keepEarlierValue(e)
	}
	return changed
}

// addLastValue adds the value of the entry before its removal, unless the source has sent a later one or the value is
// large.
func (f *Feed) addLastValue(removal, known Entry) Entry {
	if f.era > 0 && removal.Value == "" && len(known.Value) <= patchThreshold {
		removal.Value = known.Value
	}
	return removal
}

// decodeValue replaces the patch of an entry, or the reference to a value that the feed has, by the value. The era is
// that of the entry's revision.
func (f *Feed) decodeValue(e *Entry, era uint64) error {
	if e.Unchanged && e.Base == 0 {
		if era != f.era || !f.supersedes(*e) {
			return ErrPatchBase
		}
		return nil
	}
	if !e.Unchanged && len(e.Patch) == 0 {
		return nil
	}
	difference := consistency.Difference{Base: e.Base, Known: f.largeDigests[e.Key], Applicable: true, Stated: e.Result}
	value := f.entries[e.Key].Value
	if e.Unchanged {
		// The value of the base is the result.
		difference.Stated, difference.Built = e.Base, difference.Known
	} else if difference.Base == difference.Known {
		value, difference.Applicable = applyPatch(value, e.Patch)
		difference.Built = xxhash.Sum64String(value)
	}
	switch verdict := difference.Check(); verdict {
	case consistency.Valid:
	case consistency.WrongBase:
		return eris.Wrapf(ErrPatchBase, "entry %q of revision %d", e.Key, e.Revision)
	default:
		return eris.Wrapf(ErrPatchResult, "entry %q of revision %d: %s", e.Key, e.Revision, verdict)
	}
	e.Value, e.Patch, e.Base, e.Result, e.Unchanged = value, nil, 0, 0, false
	return nil
}

// LargeDigests returns the digests of the values of large entries by key. A follower sends them to get patches.
func (f *Feed) LargeDigests() map[string]uint64 { return maps.Clone(f.largeDigests) }

// EncodePatch returns the entry with a patch to the value with the digest base, or without a value if it is that value.
// It returns the entry unchanged if the value is not known or the patch is not smaller than half of the value.
func (f *Feed) EncodePatch(e Entry, base uint64) Entry {
	if f.largeDigests[e.Key] == base && f.entries[e.Key].Revision == e.Revision {
		return Entry{Key: e.Key, Revision: e.Revision, Unchanged: true, Base: base}
	}
	for _, old := range f.earlierValues[e.Key] {
		if old.digest != base {
			continue
		}
		if patch := makePatch(old.value, e.Value); patchSize(patch) < len(e.Value)/2 {
			return Entry{Key: e.Key, Revision: e.Revision, Patch: patch, Base: base, Result: f.valueDigest(e)}
		}
	}
	return e
}

// valueDigest returns the digest of the value of an entry of the feed. Only those of large values are kept.
func (f *Feed) valueDigest(e Entry) uint64 {
	if digest, large := f.largeDigests[e.Key]; large {
		return digest
	}
	return xxhash.Sum64String(e.Value)
}

// recordDigest records the digest of an entry that was put, if it is large.
func (f *Feed) recordDigest(e Entry) {
	if len(e.Value) > patchThreshold {
		f.largeDigests[e.Key] = xxhash.Sum64String(e.Value)
	}
}

// keepEarlierValue keeps the value of a large entry that is replaced or removed.
func (f *Feed) keepEarlierValue(e Entry) {
	if len(e.Value) <= patchThreshold {
		return
	}
	f.earlierValues[e.Key] = append(f.earlierValues[e.Key], largeValue{f.largeDigests[e.Key], e.Value})
	delete(f.largeDigests, e.Key)
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
	if known := f.entries[e.Key]; e.Removed || known.Value != e.Value {
		f.keepEarlierValue(known)
	}
	if !e.Removed {
		f.setEntry(e)
		f.recordDigest(e)
		return []Entry{e}
	}
	e = f.addLastValue(e, f.entries[e.Key])
	f.deleteEntry(e.Key)
	f.removals = append(f.removals, e)
	if len(f.removals) > maxRemovals {
		f.removalsFrom = max(f.removalsFrom, f.removals[0].Revision)
		f.removals = f.removals[1:]
	}
	return []Entry{e}
}

// ChangesSince returns what changed after a revision of an era. The delta is full for revision 0, for revisions after
// which removals are not complete, and for an earlier era. In the latter case it has all values, because the revisions
// of the follower say nothing about the entries, and the removals of this era. A full delta for another revision of the
// same era has no values of entries that did not change. For a later era, which the feed has not read yet, the delta
// has no entries.
func (f *Feed) ChangesSince(era, revision uint64) Delta {
	d := Delta{Era: f.era, Revision: f.revision}
	if era > f.era {
		return d
	}
	earlier := era < f.era
	d.Full = revision == 0 || earlier || revision < f.removalsFrom || f.gap.contains(revision)
	withRemovals := !d.Full || (earlier && revision > 0)
	if earlier {
		// Every entry may be new to the follower.
		revision = 0
	}
	if withRemovals {
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
