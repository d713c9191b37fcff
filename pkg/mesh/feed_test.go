package mesh

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func written(key, value string, revision uint64) Entry {
	return Entry{Key: key, Value: value, Revision: revision}
}

func apply(g *WithT, f *Feed, d Delta) {
	_, err := f.Apply(d)
	g.Expect(err).NotTo(HaveOccurred())
}

// Versions in quick succession filled the links of small VMs when a follower got each of them.
func TestAFollowerGetsOnlyTheNewestVersionOfAnEntry(t *testing.T) {
	g := NewWithT(t)
	f := NewFeed()
	apply(g, f, Delta{Entries: []Entry{written("config", "1", 1), written("config", "2", 2), written("a", "x", 3)}, Revision: 3})
	apply(g, f, Delta{Entries: []Entry{written("config", "3", 4)}, Revision: 4})
	d := f.ChangesSince(1)
	g.Expect(d.Entries).To(ConsistOf(written("config", "3", 4), written("a", "x", 3)))
	g.Expect(d.Full).To(BeFalse())
	g.Expect(d.Revision).To(Equal(uint64(4)))
}

func TestAFollowerLearnsOfRemovals(t *testing.T) {
	g := NewWithT(t)
	f := NewFeed()
	apply(g, f, Delta{Entries: []Entry{written("a", "x", 1), written("b", "y", 2)}, Revision: 2})
	apply(g, f, Delta{Entries: []Entry{{Key: "a", Revision: 3, Removed: true}}, Revision: 3})
	g.Expect(f.ChangesSince(2).Entries).To(ConsistOf(Entry{Key: "a", Revision: 3, Removed: true}))
	g.Expect(f.ChangesSince(0).Entries).To(ConsistOf(written("b", "y", 2)))
	g.Expect(f.ChangesSince(0).Full).To(BeTrue())
}

// The store discarded its history: entries that are missing in the new contents are gone.
func TestFullContentsRemoveWhatTheyDoNotList(t *testing.T) {
	g := NewWithT(t)
	f := NewFeed()
	apply(g, f, Delta{Entries: []Entry{written("a", "x", 1), written("b", "y", 2)}, Revision: 2})
	changed, err := f.Apply(Delta{Entries: []Entry{written("b", "y", 2)}, Revision: 9, Full: true})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(ConsistOf(Entry{Key: "a", Revision: 9, Removed: true}))
	g.Expect(f.ChangesSince(2).Entries).To(ConsistOf(Entry{Key: "a", Revision: 9, Removed: true}))
}

// A reader that is behind must not bring back what a newer source removed.
func TestAnOlderSourceChangesNothing(t *testing.T) {
	g := NewWithT(t)
	f := NewFeed()
	apply(g, f, Delta{Entries: []Entry{written("a", "2", 5)}, Revision: 5})
	apply(g, f, Delta{Entries: []Entry{{Key: "b", Revision: 6, Removed: true}}, Revision: 6})
	g.Expect(f.Apply(Delta{Entries: []Entry{written("a", "1", 3)}, Revision: 4})).To(BeEmpty())
	g.Expect(f.Apply(Delta{Entries: []Entry{written("b", "old", 2)}, Revision: 4, Full: true})).To(BeEmpty())
	g.Expect(f.Revision()).To(Equal(uint64(6)))
}

func TestAFollowerThatIsFarBehindGetsEverything(t *testing.T) {
	g := NewWithT(t)
	f := NewFeed()
	for i := range keptRemovals + 2 {
		revision := uint64(2 * (i + 1))
		apply(g, f, Delta{Entries: []Entry{written("a", "x", revision)}, Revision: revision})
		apply(g, f, Delta{Entries: []Entry{{Key: "a", Revision: revision + 1, Removed: true}}, Revision: revision + 1})
	}
	g.Expect(f.ChangesSince(1).Full).To(BeTrue())
	g.Expect(f.ChangesSince(f.Revision() - 2).Full).To(BeFalse())
}

// Whole configurations in quick succession fill the links of followers.
func TestALargeEntryIsSentAsAPatch(t *testing.T) {
	g := NewWithT(t)
	reader, follower := NewFeed(), NewFeed()
	large := strings.Repeat(`{"name":"a route of the mesh"},`, 1000)
	first := Delta{Entries: []Entry{written("config", `{"version":1},`+large, 1)}, Revision: 1}
	apply(g, reader, first)
	apply(g, follower, first)
	apply(g, reader, Delta{Entries: []Entry{written("config", `{"version":2},`+large, 2)}, Revision: 2})
	d := reader.ChangesSince(1)
	patched := reader.EncodePatch(d.Entries[0], follower.LargeRevisions()["config"])
	g.Expect(patchSize(patched.Patch)).To(BeNumerically("<", 200))
	g.Expect(patched.Value).To(BeEmpty())
	d.Entries[0] = patched
	changed, err := follower.Apply(d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(changed).To(ConsistOf(written("config", `{"version":2},`+large, 2)))
	_, err = NewFeed().Apply(Delta{Entries: []Entry{patched}, Revision: 2})
	g.Expect(err).To(MatchError(ErrPatchBase))
}
