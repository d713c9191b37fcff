package mesh

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// configOf returns a configuration of a version with a number of routes, of about 90 bytes each. Each version changes one
// of the routes.
func configOf(version, routes int) string {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d},`, version)
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"route-%03d","prefix":"/route-%03d/","timeout_s":1.2,"service":"orders-%d"},`, i, i, (version+i)/(routes+1))
	}
	return b.String()
}

// newContentsSyncer returns a syncer like newTestSyncer that takes other entries than those of upstreams, too.
func newContentsSyncer(c clock.Clock) *Syncer {
	s := newTestSyncer(c)
	s.options.Decode = func(e Entry) (Change, bool) {
		if !strings.HasPrefix(e.Key, "upstream/") {
			return Change{}, false
		}
		return decodeTestEntry(e)
	}
	return s
}

// exchange lets a syncer read from another one, or from the store if that is nil, and returns the syncer's error.
func exchange(s, reader *Syncer, store *storeStub, source string) error {
	position := s.position(source)
	var d Delta
	if reader == nil {
		d = store.changesSince(position.Revision)
	} else {
		d, _ = reader.changesSince(position)
	}
	d.Entries, d.Whole = slices.Clone(d.Entries), position.Revision == 0
	return s.handleResult(readResult{source: source, delta: d})
}

// Guards against a node that keeps a superseded configuration for good: it missed two versions, of which the first was the
// first one below patchThreshold, and got the cached patch to that one as the second one.
func TestCachedPatchIsNotSentForAnotherValue(t *testing.T) {
	for name, sizes := range map[string][3]int{
		"shrinking below the threshold": {120, 60, 59}, "staying large": {120, 119, 118}, "small": {20, 21, 22}, "growing above it": {60, 120, 119},
		"there and back": {120, 60, 120},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := &storeStub{entries: map[string]Entry{}}
			reader, prompt, behind := newContentsSyncer(nil), newContentsSyncer(nil), newContentsSyncer(nil)
			for version, routes := range sizes {
				store.put("config", configOf(version, routes))
				g.Expect(exchange(reader, nil, store, "")).To(Succeed())
				g.Expect(exchange(prompt, reader, store, "reader")).To(Succeed())
				if version == 0 {
					g.Expect(exchange(behind, reader, store, "reader")).To(Succeed())
				}
			}
			g.Expect(exchange(behind, reader, store, "reader")).To(Succeed())
			g.Expect(prompt.feed.entries).To(Equal(store.entries))
			g.Expect(behind.feed.entries).To(Equal(store.entries))
		})
	}
}

// Guards against using a patch that another node must not have sent. The node has to keep its value, to name the sender in
// its log, to count no contact with the store and to read everything.
func TestBadPatchIsRefusedAndEverythingIsRead(t *testing.T) {
	first, second, third := newEntry("config", configOf(1, 120), 1), newEntry("config", configOf(2, 120), 2), newEntry("config", configOf(3, 120), 3)
	follower := func(g *WithT, now *testClock, entries ...Entry) *Syncer {
		s := newContentsSyncer(now)
		for _, e := range entries {
			g.Expect(s.handleResult(readResult{delta: Delta{Entries: []Entry{e}, Revision: e.Revision, Full: true}})).To(Succeed())
		}
		return s
	}
	reader := func(g *WithT, entries ...Entry) *Syncer { return follower(g, new(testClock), entries...) }
	patch := func(g *WithT, from *Syncer, follower *Syncer) Delta {
		d, _ := from.changesSince(follower.position("reader"))
		g.Expect(d.Entries).To(HaveLen(1))
		g.Expect(d.Entries[0].Patch).NotTo(BeEmpty())
		return d
	}
	for name, c := range map[string]struct {
		known []Entry
		delta func(g *WithT, s *Syncer) Delta
	}{
		"for another value": {[]Entry{first}, func(g *WithT, _ *Syncer) Delta {
			return patch(g, reader(g, first, second, third), follower(g, new(testClock), second))
		}},
		"without a digest, as an earlier release sends it": {[]Entry{first}, func(g *WithT, s *Syncer) Delta {
			d := patch(g, reader(g, first, second), s)
			d.ContentsDigest, d.Entries[0].Result = 0, 0
			return d
		}},
		"with another digest": {[]Entry{first}, func(g *WithT, s *Syncer) Delta {
			d := patch(g, reader(g, first, second), s)
			d.Entries[0].Result++
			return d
		}},
		"to another value": {[]Entry{first}, func(g *WithT, s *Syncer) Delta {
			d, other := patch(g, reader(g, first, second, third), s), patch(g, reader(g, first, second), s)
			d.Entries[0].Patch = other.Entries[0].Patch
			return d
		}},
		"that does not fit its base": {[]Entry{first}, func(g *WithT, s *Syncer) Delta {
			d := patch(g, reader(g, first, second), s)
			d.Entries[0].Patch = []PatchStep{{From: 1000, Count: 1}}
			return d
		}},
		"repeated": {[]Entry{first, second}, func(g *WithT, _ *Syncer) Delta {
			return patch(g, reader(g, first, second), follower(g, new(testClock), first))
		}},
		"of a restarted node without the value": {[]Entry{first}, func(g *WithT, _ *Syncer) Delta {
			d, _ := reader(g, second).changesSince(follower(g, new(testClock), second).position("reader"))
			d.Entries = []Entry{{Key: "config", Revision: 2, Unchanged: true, Base: xxhash.Sum64String(second.Value)}}
			return d
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			now := testClock(time.Second)
			s := follower(g, &now, c.known...)
			before, value := s.StoreAge(), s.feed.entries["config"].Value
			var lines bytes.Buffer
			s.options.Log.SetOutput(&lines)
			now += testClock(time.Second)
			d := c.delta(g, s)
			_ = s.handleResult(readResult{source: "the sender", delta: d})
			g.Expect(s.feed.entries["config"].Value).To(Equal(value))
			g.Expect(s.StoreAge()).To(Equal(before + time.Second))
			g.Expect(lines.String()).To(ContainSubstring("the sender"))
			g.Expect(s.position("the sender").Revision).To(BeZero())
			// What is read whole replaces the value, whoever sent it.
			g.Expect(s.handleResult(readResult{source: "", delta: Delta{Entries: []Entry{third}, Revision: 3, Full: true, Whole: true}})).To(Succeed())
			g.Expect(s.feed.entries["config"]).To(Equal(third))
			g.Expect(s.position("").Revision).To(Equal(uint64(3)))
		})
	}
}

// Guards against a node that stays with entries that the store does not have, and against a reader that hands them on: a
// value, an entry that was removed, one that is missing. They must find out at the next contact without a further change.
func TestDifferingContentsAreReadAgainFromStore(t *testing.T) {
	for name, spoil := range map[string]func(f *Feed){
		"superseded value": func(f *Feed) { f.setEntry(newEntry("upstream/a", "orders south 10.0.0.3:9000", 1)) },
		"removed entry":    func(f *Feed) { f.setEntry(newEntry("upstream/gone", "orders south 10.0.0.4:9000", 2)) },
		"missing entry": func(f *Feed) {
			f.deleteEntry("upstream/a")
			f.removals = append(f.removals, Entry{Key: "upstream/a", Revision: 3, Removed: true})
		},
	} {
		for _, spoilReader := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " of reader: ", spoilReader), func(t *testing.T) {
				g := NewWithT(t)
				store := &storeStub{entries: map[string]Entry{}}
				store.put("upstream/a", "orders south 10.0.0.2:9000")
				store.put("upstream/gone", "orders south 10.0.0.4:9000")
				store.put("upstream/gone", "")
				now := testClock(time.Second)
				reader, follower := newContentsSyncer(&now), newContentsSyncer(&now)
				g.Expect(exchange(reader, nil, store, "")).To(Succeed())
				g.Expect(exchange(follower, reader, store, "reader")).To(Succeed())
				wrong := follower
				if spoilReader {
					wrong = reader
				}
				spoil(wrong.feed)
				now += testClock(time.Minute)
				var lines bytes.Buffer
				follower.options.Log.SetOutput(&lines)
				g.Expect(exchange(follower, reader, store, "the reader")).To(MatchError(ErrContentsDiffer))
				g.Expect(lines.String()).To(ContainSubstring("the reader"))
				g.Expect(follower.readStoreNext).To(BeTrue())
				g.Expect(exchange(follower, nil, store, "")).To(Succeed())
				if spoilReader {
					g.Expect(reader.disputed.Load()).To(BeTrue())
					reader.settleDispute(now.Now(), "a follower")
					g.Expect(exchange(reader, nil, store, "")).To(Succeed())
				}
				for _, s := range []*Syncer{reader, follower} {
					g.Expect(maps.Collect(maps.All(s.feed.entries))).To(Equal(store.entries))
					g.Expect(s.registry.View().VMs).To(Equal([]string{"10.0.0.2"}))
				}
				g.Expect(exchange(follower, reader, store, "the reader")).To(Succeed())
			})
		}
	}
}

// Guards against any other way in which a node builds a value that the store does not hold: small and large values that grow
// and shrink, several missed versions, restarts of both sides, a lost history, repeated and late answers, and senders of the
// release whose patches have no digest and may produce an earlier value. Nothing is written after the faults.
func TestNodesEndWithContentsOfStore(t *testing.T) {
	const seeds, nodes, steps, contacts = 300, 5, 300, 40
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 41))
		store := &storeStub{entries: map[string]Entry{}}
		syncers := make([]*Syncer, nodes)
		var now testClock
		earlierPatches := map[string]Entry{}
		late := make([][]readResult, nodes)
		version, historyFrom := 0, uint64(0)
		// The last node is of the earlier release: it states no digests and sends the first patch that it made for a value.
		read := func(i int, reader int, faults bool) {
			s, source := syncers[i], ""
			if reader != 0 {
				source = fmt.Sprint("node ", reader)
			}
			if s.disputed.Swap(false) {
				s.settleDispute(now.Now(), "a follower")
			}
			if s.readStoreNext {
				s.readStoreNext, source, reader = false, "", 0
			}
			position := s.position(source)
			d := store.changesSince(position.Revision)
			if source != "" {
				d, _ = syncers[reader].changesSince(position)
				d.Entries = slices.Clone(d.Entries)
			}
			if reader == nodes-1 {
				d.ContentsDigest = 0
				for j, e := range d.Entries {
					if len(e.Patch) > 0 {
						key := fmt.Sprint(e.Key, e.Base)
						if earlier, ok := earlierPatches[key]; ok {
							earlier.Revision = e.Revision
							e = earlier
						}
						e.Result, earlierPatches[key] = 0, e
						d.Entries[j] = e
					}
				}
			}
			d.Whole = position.Revision == 0
			result := readResult{source: source, delta: d}
			if source == "" && !d.Whole && position.Revision < historyFrom {
				result = readResult{err: ErrHistoryLost}
			}
			if faults && r.IntN(4) == 0 {
				late[i] = append(late[i], result)
				return
			}
			_ = s.handleResult(result)
		}
		for i := range syncers {
			syncers[i] = newContentsSyncer(&now)
		}
		for range steps {
			now += testClock(simStep)
			switch r.IntN(8) {
			case 0, 1:
				version++
				store.put("config", configOf(version, 40+r.IntN(120)))
			case 2:
				store.put(fmt.Sprint("other/", r.IntN(4)), configOf(r.IntN(100), r.IntN(200)))
			case 3:
				if key := fmt.Sprint("other/", r.IntN(4)); store.entries[key].Value != "" {
					store.put(key, "")
				}
			case 4:
				if i := r.IntN(nodes); r.IntN(4) == 0 {
					syncers[i], late[i] = newContentsSyncer(&now), nil
				}
			case 5:
				historyFrom = store.revision
			}
			i := r.IntN(nodes)
			if list := late[i]; len(list) > 0 && r.IntN(3) == 0 {
				answer := list[r.IntN(len(list))]
				answer.delta.Entries = slices.Clone(answer.delta.Entries)
				_ = syncers[i].handleResult(answer)
			}
			if reader := r.IntN(nodes); reader != i || i == 0 {
				read(i, reader, true)
			}
		}
		for range contacts {
			now += testClock(time.Second)
			for i := range syncers {
				if reader := r.IntN(nodes - 1); reader != i || i == 0 {
					read(i, reader, false)
				}
			}
		}
		for i, s := range syncers {
			if !maps.Equal(valuesOf(s.feed.entries), valuesOf(store.entries)) {
				t.Errorf("seed %d: node %d does not have the contents of the store at revision %d of %d", seed, i, s.feed.Revision(), store.revision)
			}
		}
	}
}

// valuesOf returns the values of entries by key.
func valuesOf(entries map[string]Entry) map[string]string {
	values := map[string]string{}
	for key, e := range entries {
		values[key] = e.Value
	}
	return values
}
