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

// buildConfig builds a valid configuration with the given version number and number of keys.
func buildConfig(t Gomega, number, keys int) *verifiedConfig {
	o := config.Objects{DataCentres: []config.DataCentre{{Name: "crato", Region: "nordeste", State: config.DataCentreIn}}}
	o.Teams = []config.Team{{Name: "aurora", RatePerSecond: 1, Burst: 2, Weight: 1}}
	for i := range keys {
		o.Keys = append(o.Keys, config.Key{
			ID: fmt.Sprintf("k%04d", i), Team: "aurora", Digest: config.KeyDigest(fmt.Sprint(i)), State: config.KeyGranted,
		})
	}
	b, err := bundle.Build(o, uint64(number), "")
	t.Expect(err).NotTo(HaveOccurred())
	c, status, faults := verify(b.ManifestBytes, b.Values)
	t.Expect(status).To(Equal(decide.ValidSet), faults)
	t.Expect(c.version).To(Equal(b.ID()))
	return c
}

// A configuration must be decoded exactly as it was encoded, with any base or none, also if the numbers of keys differ
// so much that values are split or merged. If a byte is changed or a part is missing, decoding must fail.
func TestDecodeIsExactOrFails(t *testing.T) {
	g := NewWithT(t)
	versions := []*verifiedConfig{buildConfig(g, 1, 20), buildConfig(g, 2, 300), buildConfig(g, 3, 301), buildConfig(g, 4, 50)}
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		target := rapid.SampledFrom(versions).Draw(t, "target")
		base := rapid.SampledFrom(append([]*verifiedConfig{nil}, versions...)).Draw(t, "base")
		d, err := target.encode(base)
		g.Expect(err).NotTo(HaveOccurred())
		c, status, _ := decodeAndVerify(d, target.version, base)
		g.Expect(status).To(Equal(decide.ValidSet))
		g.Expect(c.version).To(Equal(target.version))
		g.Expect(maps.EqualFunc(c.values, target.values, func(a, b []byte) bool { return string(a) == string(b) })).
			To(BeTrue())
		corrupted := *d
		corrupted.Manifest = corrupt(t, d.Manifest)
		expectCorrupt(g, &corrupted, target, base)
		if len(d.Values) > 0 {
			corrupted = *d
			corrupted.Values = append([][]byte(nil), d.Values...)
			corrupted.Values[0] = corrupt(t, d.Values[0])
			expectCorrupt(g, &corrupted, target, base)
			corrupted.Values = d.Values[1:]
			expectCorrupt(g, &corrupted, target, base)
		}
		if d.Patched {
			expectCorrupt(g, d, target, nil)
		}
	})
}

// corrupt changes one byte of a zstd frame. It leaves the first 6 bytes alone, because a change of the frame header may
// have no effect.
func corrupt(t *rapid.T, data []byte) []byte {
	changed := append([]byte(nil), data...)
	at := rapid.IntRange(min(6, len(data)-1), len(data)-1).Draw(t, "at")
	changed[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "change"))
	return changed
}

// expectCorrupt checks that decoding fails, or still gives exactly the target, because two different frames may encode
// the same bytes.
func expectCorrupt(g Gomega, d *encodedConfig, target, base *verifiedConfig) {
	c, status, _ := decodeAndVerify(d, target.version, base)
	if status == decide.ValidSet {
		g.Expect(c.version).To(Equal(target.version))
		g.Expect(c.values).To(Equal(target.values))
		return
	}
	g.Expect(c).To(BeNil())
	g.Expect(status).To(Equal(decide.IncompleteSet))
}

// At most historyLength old configurations and member lists must be kept, however many versions are adopted.
func TestHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := newServedState()
	for number := 1; number <= 30; number++ {
		list, err := newMemberList(&platform.MemberList{Revision: uint64(number)})
		g.Expect(err).NotTo(HaveOccurred())
		s = s.withUpdate(buildConfig(g, number, 3), list)
		g.Expect(len(s.olderConfigs)).To(BeNumerically("<=", historyLength))
		g.Expect(len(s.olderMembers)).To(BeNumerically("<=", historyLength))
		g.Expect(s.allValues(nil)).To(HaveLen(len(s.current.values)), "unchanged values are held once")
	}
	g.Expect(s.findConfig(s.olderConfigs[0].version)).To(Equal(s.olderConfigs[0]))
	g.Expect(s.olderConfigs[0].version.Number).To(BeEquivalentTo(22))
}

// A patch to a member list must be refused if the base is another list, even one with the same revision.
func TestMemberListPatchNeedsItsBase(t *testing.T) {
	g := NewWithT(t)
	list := func(revision uint64, vm string) *memberList {
		m, err := newMemberList(&platform.MemberList{Revision: revision, Members: []platform.Member{
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
	for _, wrong := range []*memberList{other, nil} {
		_, err = d.decode(wrong)
		g.Expect(err).To(MatchError(errCorrupt))
	}
	data, err := json.Marshal(d)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(data)).To(BeNumerically("<", len(next.bytes)))
}
