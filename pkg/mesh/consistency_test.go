package mesh

import (
	"bytes"
	"fmt"
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
	d.Entries = slices.Clone(d.Entries)
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
			d.Entries[0].Result = 0
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
			g.Expect(s.handleResult(readResult{source: "", delta: Delta{Entries: []Entry{third}, Revision: 3, Full: true}})).To(Succeed())
			g.Expect(s.feed.entries["config"]).To(Equal(third))
			g.Expect(s.position("").Revision).To(Equal(uint64(3)))
		})
	}
}
