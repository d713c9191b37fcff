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

// Guards against a whole answer that refers to a value in place of carrying it, which no node asks for.
func TestWholeAnswerWithoutValueChangesNothing(t *testing.T) {
	g := NewWithT(t)
	f := NewFeed()
	kept := newEntry("a", "x", 1)
	applyDelta(g, f, Delta{Entries: []Entry{kept}, Revision: 1, Full: true})
	changed, err := f.Apply(Delta{Entries: []Entry{{Key: "a", Revision: 1, Unchanged: true}}, Revision: 1, Full: true, Whole: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(BeEmpty())
	g.Expect(f.entries["a"]).To(Equal(kept))
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

const (
	contentsNodes = 5
	// earlierRelease is the node of the release that states no digests and sends the first patch that it made for a value.
	earlierRelease = contentsNodes - 1
)

// contentsSimulation plays changes, restarts, a lost history and late answers under nodes that read from the store, which is
// source 0, and from each other.
type contentsSimulation struct {
	r       *rand.Rand
	now     testClock
	store   *storeStub
	version int
	// historyFrom is the revision from which the store has its history.
	historyFrom uint64
	syncers     [contentsNodes]*Syncer
	late        [contentsNodes][]readResult
	// patches holds the first patch of earlierRelease for each value.
	patches map[string]Entry
}

func newContentsSimulation(seed uint64) *contentsSimulation {
	s := &contentsSimulation{r: rand.New(rand.NewPCG(seed, 41)), store: &storeStub{entries: map[string]Entry{}}, patches: map[string]Entry{}}
	for node := range s.syncers {
		s.syncers[node] = newContentsSyncer(&s.now)
	}
	return s
}

// change plays one change of the store or a restart of a node.
func (s *contentsSimulation) change() {
	other := fmt.Sprint("other/", s.r.IntN(4))
	switch s.r.IntN(8) {
	case 0, 1:
		s.version++
		s.store.put("config", configOf(s.version, 40+s.r.IntN(120)))
	case 2:
		s.store.put(other, configOf(s.r.IntN(100), s.r.IntN(200)))
	case 3:
		if s.store.entries[other].Value != "" {
			s.store.put(other, "")
		}
	case 4:
		if node := s.r.IntN(contentsNodes); s.r.IntN(4) == 0 {
			s.syncers[node], s.late[node] = newContentsSyncer(&s.now), nil
		}
	case 5:
		s.historyFrom = s.store.revision
	}
}

// repeatAnswer lets a node handle an answer that was delayed, once or again.
func (s *contentsSimulation) repeatAnswer(node int) {
	if list := s.late[node]; len(list) > 0 && s.r.IntN(3) == 0 {
		answer := list[s.r.IntN(len(list))]
		answer.delta.Entries = slices.Clone(answer.delta.Entries)
		_ = s.syncers[node].handleResult(answer)
	}
}

// read lets a node read from a source. With delays, the answer may arrive later.
func (s *contentsSimulation) read(node, source int, delays bool) {
	syncer := s.syncers[node]
	if source == node && node != 0 {
		return
	}
	if syncer.disputed.Swap(false) {
		syncer.settleDispute(s.now.Now(), "a follower")
	}
	if syncer.readStoreNext {
		syncer.readStoreNext, source = false, 0
	}
	result := s.answer(syncer, source)
	if delays && s.r.IntN(4) == 0 {
		s.late[node] = append(s.late[node], result)
		return
	}
	_ = syncer.handleResult(result)
}

// answer returns the answer of a source to a node.
func (s *contentsSimulation) answer(to *Syncer, source int) (result readResult) {
	if source != 0 {
		result.source = fmt.Sprint("node ", source)
	}
	position := to.position(result.source)
	whole := position.Revision == 0
	switch {
	case source != 0:
		result.delta, _ = s.syncers[source].changesSince(position)
		result.delta.Entries = slices.Clone(result.delta.Entries)
	case !whole && position.Revision < s.historyFrom:
		return readResult{err: ErrHistoryLost}
	default:
		result.delta = s.store.changesSince(position.Revision)
	}
	if source == earlierRelease {
		s.sendAsEarlierRelease(&result.delta)
	}
	result.delta.Whole = whole
	return result
}

// sendAsEarlierRelease changes an answer to what earlierRelease sends.
func (s *contentsSimulation) sendAsEarlierRelease(d *Delta) {
	d.ContentsDigest = 0
	for i, e := range d.Entries {
		if len(e.Patch) == 0 {
			continue
		}
		key := fmt.Sprint(e.Key, e.Base)
		if earlier, ok := s.patches[key]; ok {
			earlier.Revision = e.Revision
			e = earlier
		}
		e.Result, s.patches[key] = 0, e
		d.Entries[i] = e
	}
}

// Guards against any other way in which a node builds a value that the store does not hold: small and large values that grow
// and shrink, several missed versions, restarts of both sides, a lost history, repeated and late answers, and senders of the
// release whose patches have no digest and may produce an earlier value. Nothing is written after the faults.
func TestNodesEndWithContentsOfStore(t *testing.T) {
	const seeds, steps, contacts = 300, 300, 40
	for seed := range uint64(seeds) {
		s := newContentsSimulation(seed)
		for range steps {
			s.now += testClock(simStep)
			s.change()
			node := s.r.IntN(contentsNodes)
			s.repeatAnswer(node)
			s.read(node, s.r.IntN(contentsNodes), true)
		}
		for range contacts {
			s.now += testClock(time.Second)
			for node := range s.syncers {
				s.read(node, s.r.IntN(earlierRelease), false)
			}
		}
		for node, syncer := range s.syncers {
			if !maps.Equal(valuesOf(syncer.feed.entries), valuesOf(s.store.entries)) {
				t.Errorf("seed %d: node %d does not have the contents of the store at revision %d of %d", seed, node, syncer.feed.Revision(), s.store.revision)
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
