package distribution

import (
	"encoding/json"
	"fmt"
	"maps"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
)

// contentsOf builds a valid version with that many keys.
func contentsOf(t Gomega, number, keys int) *contents {
	o := config.Objects{DataCentres: []config.DataCentre{{Name: "crato", Region: "nordeste", State: config.DataCentreIn}}}
	o.Teams = []config.Team{{Name: "aurora", RatePerSecond: 1, Burst: 2, Weight: 1}}
	for i := range keys {
		o.Keys = append(o.Keys, config.Key{
			ID: fmt.Sprintf("k%04d", i), Team: "aurora", Digest: config.KeyDigest(fmt.Sprint(i)), State: config.KeyGranted,
		})
	}
	b, err := bundle.Build(o, uint64(number), "")
	t.Expect(err).NotTo(HaveOccurred())
	c, kind, faults := verify(b.ManifestBytes, b.Values)
	t.Expect(kind).To(Equal(decide.ValidSet), faults)
	t.Expect(c.id).To(Equal(b.ID()))
	return c
}

// A delivery gives exactly the version that was sent, from any base or none, across splits and merges of shards; with
// any byte changed, or a part left out, it gives nothing.
func TestADeliveryIsWholeOrNothing(t *testing.T) {
	g := NewWithT(t)
	versions := []*contents{contentsOf(g, 1, 20), contentsOf(g, 2, 300), contentsOf(g, 3, 301), contentsOf(g, 4, 50)}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		target := rapid.SampledFrom(versions).Draw(t, "target")
		base := rapid.SampledFrom(append([]*contents{nil}, versions...)).Draw(t, "base")
		d, err := target.encode(base)
		g.Expect(err).NotTo(HaveOccurred())
		c, kind, _ := readDelivery(d, target.id, base)
		g.Expect(kind).To(Equal(decide.ValidSet))
		g.Expect(c.id).To(Equal(target.id))
		g.Expect(maps.EqualFunc(c.values, target.values, func(a, b []byte) bool { return string(a) == string(b) })).
			To(BeTrue())
		broken := *d
		broken.Manifest = damage(t, d.Manifest)
		expectBroken(g, &broken, target, base)
		if len(d.Values) > 0 {
			broken = *d
			broken.Values = append([][]byte(nil), d.Values...)
			broken.Values[0] = damage(t, d.Values[0])
			expectBroken(g, &broken, target, base)
			broken.Values = d.Values[1:]
			expectBroken(g, &broken, target, base)
		}
		if d.Patched {
			expectBroken(g, d, target, nil)
		}
	})
}

// damage changes one byte of the content of a frame; the first 6 bytes of its header may not matter.
func damage(t *rapid.T, data []byte) []byte {
	changed := append([]byte(nil), data...)
	at := rapid.IntRange(min(6, len(data)-1), len(data)-1).Draw(t, "at")
	changed[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
	return changed
}

// expectBroken accepts a damaged delivery only when it still gives the exact version, since a frame may encode the
// same bytes in two ways.
func expectBroken(g Gomega, d *delivery, target, base *contents) {
	c, kind, _ := readDelivery(d, target.id, base)
	if kind == decide.ValidSet {
		g.Expect(c.id).To(Equal(target.id))
		g.Expect(c.values).To(Equal(target.values))
		return
	}
	g.Expect(c).To(BeNil())
	g.Expect(kind).To(Equal(decide.IncompleteSet))
}

// A long run must not keep more than 8 old versions and lists.
func TestTheHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := newState()
	for number := 1; number <= 30; number++ {
		list, err := newMembers(&platform.MemberList{Revision: uint64(number)})
		g.Expect(err).NotTo(HaveOccurred())
		s = s.with(contentsOf(g, number, 3), list)
		g.Expect(len(s.older)).To(BeNumerically("<=", historyLength))
		g.Expect(len(s.olderLists)).To(BeNumerically("<=", historyLength))
		g.Expect(s.known(nil)).To(HaveLen(len(s.current.values)), "unchanged values are held once")
	}
	g.Expect(s.find(s.older[0].id)).To(Equal(s.older[0]))
	g.Expect(s.older[0].id.Number).To(BeEquivalentTo(22))
}

// Two different lists of one revision must not mix: a patch to the other one is refused.
func TestAListPatchNeedsItsBase(t *testing.T) {
	g := NewWithT(t)
	list := func(revision uint64, vm string) *members {
		m, err := newMembers(&platform.MemberList{Revision: revision, Members: []platform.Member{
			{VM: vm, Upstream: "vitrine-1", DataCentre: "crato", State: platform.MemberLive, ControlAddress: "10.0.0.1:7003"},
		}})
		g.Expect(err).NotTo(HaveOccurred())
		return m
	}
	base, other, next := list(1, "vm-a"), list(1, "vm-b"), list(2, "vm-a")
	d, err := next.encode(base)
	g.Expect(err).NotTo(HaveOccurred())
	decoded, err := d.decode(base)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(decoded.list).To(Equal(next.list))
	for _, wrong := range []*members{other, nil} {
		_, err = d.decode(wrong)
		g.Expect(err).To(MatchError(errBroken))
	}
	data, err := json.Marshal(d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", len(next.bytes)))
}
