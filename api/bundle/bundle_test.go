package bundle_test

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
)

// init fixes the seed so that runs are repeatable; the flag -rapid.seed sets another one.
func init() { _ = flag.Set("rapid.seed", "1") }

func sampleObjects(keys int) config.Objects {
	o := config.Objects{
		DataCentres: []config.DataCentre{{Name: "a", Region: "r", State: config.DataCentreIn}},
		Services:    []config.Service{{Name: "s", ColdStart: config.ColdStart{InitialConcurrency: 1, RampMS: 1}}},
		Upstreams:   []config.Upstream{{Name: "u", Service: "s", DataCentre: "a", Slots: 1, Connections: 1}},
		Routes: []config.Route{{
			Name: "r", Service: "s", PathPrefix: "/s", Methods: []string{"POST", "GET"},
			Visibility: config.VisibilityPublic, Priority: config.PriorityNormal, TimeoutMS: 1000,
		}},
		Teams:      []config.Team{{Name: "t", RatePerSecond: 10, Burst: 16, Weight: 1}},
		Objectives: []config.Objective{{Name: "o", Team: "t", Target: 0.99, LatencyMS: 50}},
	}
	for i := range keys {
		o.Keys = append(o.Keys, sampleKey(i))
	}
	return o
}

func sampleKey(i int) config.Key {
	return config.Key{ID: fmt.Sprintf("k%d", i), Team: "t", Digest: config.KeyDigest(fmt.Sprint(i)), State: config.KeyGranted}
}

func mustBuild(t testing.TB, o config.Objects, version uint64) *bundle.Bundle {
	t.Helper()
	b, err := bundle.Build(o, version, "")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// Guards against an encoding that depends on the order of declaration: two operators who build the same objects would
// publish conflicting manifests.
func TestBuildDoesNotDependOnDeclarationOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := sampleObjects(rapid.IntRange(0, 600).Draw(t, "keys"))
		first, err := bundle.Build(o, 3, "")
		if err != nil {
			t.Fatal(err)
		}
		shuffle := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		shuffle.Shuffle(len(o.Keys), func(i, j int) { o.Keys[i], o.Keys[j] = o.Keys[j], o.Keys[i] })
		o.Routes[0].Methods = []string{"GET", "POST"}
		second, err := bundle.Build(o, 3, "")
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(first.ManifestBytes, second.ManifestBytes) {
			t.Fatalf("manifests differ:\n%s\n%s", first.ManifestBytes, second.ManifestBytes)
		}
		set, err := bundle.DecodeSet(first.ManifestBytes, first.Values)
		if err != nil {
			t.Fatal(err)
		}
		if len(set.Keys) != len(o.Keys) || set.Key("k0") == nil != (len(o.Keys) == 0) {
			t.Fatalf("the decoded set has %d keys, it was built from %d", len(set.Keys), len(o.Keys))
		}
	})
}

// Guards against a change of the encoding: older and newer programs would build different manifests, and so conflicting
// versions, from the same objects.
func TestBuildKeepsItsEncoding(t *testing.T) {
	g := NewWithT(t)
	b := mustBuild(t, sampleObjects(2), 1)
	g.Expect(b.Manifest.Values).To(HaveLen(7))
	g.Expect(b.ID().Digest).To(Equal("e0e33518da026bb30185643c06c885f50edf527705a5cf6ed8936f84a191616a"))
	g.Expect(b.Manifest.ID()).To(Equal(b.ID()))
}

// Guards against a split that rewrites many shards for one change: one more key must rewrite or split only one shard.
func TestAddedKeyRewritesOneShard(t *testing.T) {
	g := NewWithT(t)
	splits := 0
	for _, first := range []int{240, 500, 1990} {
		old := mustBuild(t, sampleObjects(first), 1)
		for n := first + 1; n <= first+30; n++ {
			next := mustBuild(t, sampleObjects(n), 2)
			added := 0
			for digest, data := range next.Values {
				g.Expect(len(data)).To(BeNumerically("<=", 32<<10))
				if _, known := old.Values[digest]; !known {
					added++
				}
			}
			g.Expect(added).To(Equal(1 + len(next.Values) - len(old.Values)))
			splits += len(next.Values) - len(old.Values)
			old = next
		}
	}
	g.Expect(splits).To(Equal(1), "the first shard must be split once, at about 260 keys (32 KiB)")
}

// Guards against a version that is accepted although a part of it is missing or invalid.
func TestDecodeSetRejectsInvalidParts(t *testing.T) {
	valid := mustBuild(t, sampleObjects(2), 1)
	other := mustBuild(t, sampleObjects(3), 1)
	keys, _ := valid.Manifest.Value("keys")
	otherKeys, _ := other.Manifest.Value("keys")
	replaced := func(old, new string) func([]byte, map[string][]byte) []byte {
		return func(m []byte, _ map[string][]byte) []byte { return bytes.Replace(m, []byte(old), []byte(new), 1) }
	}
	swapValue := func(data string) func([]byte, map[string][]byte) []byte {
		return func(m []byte, values map[string][]byte) []byte {
			digest := bundle.Digest([]byte(data))
			delete(values, keys.Digest)
			values[digest] = []byte(data)
			m = bytes.Replace(m, []byte(keys.Digest), []byte(digest), 1)
			return bytes.Replace(m, fmt.Appendf(nil, `"size":%d`, keys.Size), fmt.Appendf(nil, `"size":%d`, len(data)), 1)
		}
	}
	cases := map[string]struct {
		damage func(manifest []byte, values map[string][]byte) []byte
		want   error
	}{
		"missing value": {func(m []byte, v map[string][]byte) []byte { delete(v, keys.Digest); return m }, bundle.ErrMissingValue},
		"extra value": {func(m []byte, v map[string][]byte) []byte {
			v[otherKeys.Digest] = other.Values[otherKeys.Digest]
			return m
		}, bundle.ErrUnlistedValue},
		"crossed value": {func(m []byte, v map[string][]byte) []byte {
			v[keys.Digest] = other.Values[otherKeys.Digest]
			return m
		}, bundle.ErrDigestMismatch},
		"one bit":         {func(m []byte, v map[string][]byte) []byte { v[keys.Digest][40] ^= 1; return m }, bundle.ErrDigestMismatch},
		"wrong size":      {replaced(fmt.Sprintf(`"size":%d`, keys.Size), `"size":1`), bundle.ErrDigestMismatch},
		"oversized value": {replaced(fmt.Sprintf(`"size":%d`, keys.Size), `"size":1048577`), bundle.ErrMalformedManifest},
		"other kind":      {swapValue(`{"teams":[{"name":"x","rate_per_second":1,"burst":1,"weight":1}]}`), bundle.ErrWrongContent},
		"two kinds":       {swapValue(`{"keys":[{"id":"x"}],"teams":[{"name":"x"}]}`), bundle.ErrWrongContent},
		"invalid set":     {swapValue(`{"keys":[{"id":"x","team":"none"}]}`), &config.InvalidError{}},
		"unknown field":   {swapValue(`{"keys":[{"id":"x","note":"y"}]}`), &config.InvalidError{}},
		"unsorted":        {replaced(`"name":"data_centres"`, `"name":"teams"`), bundle.ErrMalformedManifest},
		"unknown kind":    {replaced(`"name":"data_centres"`, `"name":"clusters"`), bundle.ErrMalformedManifest},
		"unknown format":  {replaced(`"format":1`, `"format":2`), bundle.ErrMalformedManifest},
		"version zero":    {replaced(`"version":1`, `"version":0`), bundle.ErrMalformedManifest},
		"huge version":    {replaced(`"version":1`, `"version":18446744073709551615`), bundle.ErrMalformedManifest},
		"repeated field":  {replaced(`"version":1`, `"version":9,"version":1`), bundle.ErrMalformedManifest},
		"extra field":     {replaced(`"version":1`, `"version":1,"note":1`), bundle.ErrMalformedManifest},
		"trailing":        {func(m []byte, _ map[string][]byte) []byte { return append(m, ' ') }, bundle.ErrMalformedManifest},
		"empty":           {func([]byte, map[string][]byte) []byte { return nil }, bundle.ErrMalformedManifest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			values := map[string][]byte{}
			for digest, data := range valid.Values {
				values[digest] = bytes.Clone(data)
			}
			set, err := bundle.DecodeSet(c.damage(bytes.Clone(valid.ManifestBytes), values), values)
			g.Expect(set).To(BeNil())
			var invalid *config.InvalidError
			if errors.As(c.want, &invalid) {
				g.Expect(errors.As(err, &invalid)).To(BeTrue(), "%v", err)
				return
			}
			g.Expect(errors.Is(err, c.want)).To(BeTrue(), "%v", err)
		})
	}
}

// Guards against a bundle that every node would reject.
func TestBuildRejectsInvalidArguments(t *testing.T) {
	g := NewWithT(t)
	_, err := bundle.Build(sampleObjects(0), 0, "")
	g.Expect(errors.Is(err, bundle.ErrVersionOutOfRange)).To(BeTrue())
	_, err = bundle.Build(sampleObjects(0), bundle.MaxVersion+1, "")
	g.Expect(errors.Is(err, bundle.ErrVersionOutOfRange)).To(BeTrue())
	_, err = bundle.Build(sampleObjects(0), 1, "x")
	g.Expect(errors.Is(err, bundle.ErrMalformedManifest)).To(BeTrue())
	_, err = bundle.Build(config.Objects{}, 1, "")
	var invalid *config.InvalidError
	g.Expect(errors.As(err, &invalid)).To(BeTrue())
	large := sampleObjects(0)
	for i := range 19_000 {
		name := fmt.Sprintf("%s%d", strings.Repeat("s", 50), i)
		large.Services = append(large.Services, config.Service{Name: name, ColdStart: large.Services[0].ColdStart})
		large.Services[0].DependsOn = append(large.Services[0].DependsOn, name)
		large.Upstreams = append(large.Upstreams, config.Upstream{
			Name: name, Service: name, DataCentre: "a", Slots: 1, Connections: 1,
		})
	}
	_, err = bundle.Build(large, 1, "")
	g.Expect(errors.Is(err, bundle.ErrValueTooLarge)).To(BeTrue())
}

// Guards against large patches because the window is too short or the compression level indexes only a part of the old
// value. The new values have a changed text at the start, middle or end of random bytes, or their halves swapped.
func TestPatchUsesWholeOldValue(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, size := range []int{100, 1000, 32 << 10, 64 << 10, 64<<10 + 1, 200_000, 512 << 10, bundle.MaxValueBytes} {
		g := NewWithT(t)
		old := make([]byte, size)
		for i := range old {
			old[i] = byte(random.Uint32())
		}
		news := map[string][]byte{"swapped": append(bytes.Clone(old[size/2:]), old[:size/2]...)}
		for name, at := range map[string]int{"start": 0, "middle": size / 2, "end": size - 20} {
			news[name] = bytes.Clone(old)
			copy(news[name][at:], "changed")
		}
		for name, value := range news {
			patch, err := bundle.EncodePatch(old, value)
			g.Expect(err).NotTo(HaveOccurred())
			got, err := bundle.DecodePatch(old, patch)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(got, value)).To(BeTrue(), "%s of %d bytes", name, size)
			g.Expect(len(patch)).To(BeNumerically("<", 256), "%s of %d bytes", name, size)
		}
	}
}

// Guards against patches that exceed the allowance for control traffic: the patch for one more key in 2,000 must have
// less than 512 bytes.
func TestPatchOfOneKeyIsSmall(t *testing.T) {
	g := NewWithT(t)
	old, next := mustBuild(t, sampleObjects(2000), 1), mustBuild(t, sampleObjects(2001), 2)
	total := 0
	for _, v := range next.Manifest.Values {
		if _, known := old.Values[v.Digest]; known {
			continue
		}
		base, ok := old.Manifest.PatchBase(v.Name)
		g.Expect(ok).To(BeTrue())
		patch, err := bundle.EncodePatch(old.Values[base.Digest], next.Values[v.Digest])
		g.Expect(err).NotTo(HaveOccurred())
		got, err := bundle.DecodePatch(old.Values[base.Digest], patch)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.Verify(got)).To(Succeed())
		total += len(patch)
	}
	t.Logf("patch bytes: %d", total)
	g.Expect(total).To(BeNumerically("<", 512))
}

// Guards against a patch of a few bytes that decodes to more than MaxValueBytes, and against damaged patches.
func TestPatchBoundsItsOutput(t *testing.T) {
	g := NewWithT(t)
	_, err := bundle.EncodePatch(nil, make([]byte, bundle.MaxValueBytes+1))
	g.Expect(errors.Is(err, bundle.ErrValueTooLarge)).To(BeTrue())
	bomb, err := bundle.EncodePatch(nil, make([]byte, bundle.MaxValueBytes))
	g.Expect(err).NotTo(HaveOccurred())
	for _, old := range [][]byte{nil, []byte("old")} {
		_, err = bundle.DecodePatch(old, bytes.Repeat(bomb, 2))
		g.Expect(errors.Is(err, bundle.ErrPatchFailed)).To(BeTrue())
	}
	patch, err := bundle.EncodePatch([]byte("old old old old"), []byte("old old new old"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = bundle.DecodePatch([]byte("old old old old"), patch[:len(patch)-1])
	g.Expect(errors.Is(err, bundle.ErrPatchFailed)).To(BeTrue())
	empty, err := bundle.EncodePatch([]byte("old"), nil)
	g.Expect(err).NotTo(HaveOccurred())
	value, err := bundle.DecodePatch([]byte("old"), empty)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(value).To(BeEmpty())
}

// Guards against a patch base of another kind, and against a shard without a base after a split or merge.
func TestPatchBaseAfterSplitAndMerge(t *testing.T) {
	g := NewWithT(t)
	m := bundle.Manifest{Values: []bundle.ValueDescriptor{{Name: "keys/0"}, {Name: "keys/10"}, {Name: "keys/11"}, {Name: "teams"}}}
	for name, want := range map[string]string{
		"keys/0": "keys/0", "keys/011": "keys/0", "keys/1": "keys/10", "keys": "keys/0", "teams/1": "teams", "routes": "",
	} {
		base, ok := m.PatchBase(name)
		g.Expect(base.Name).To(Equal(want), name)
		g.Expect(ok).To(Equal(want != ""), name)
	}
}

// Guards against a write that changes a file's permissions, or that replaces a symbolic link by a file.
func TestWriteFileAtomicallyKeepsModeAndLink(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	target, link := filepath.Join(dir, "target"), filepath.Join(dir, "link")
	g.Expect(os.WriteFile(target, []byte("old"), 0o600)).To(Succeed())
	g.Expect(os.Symlink(target, link)).To(Succeed())
	g.Expect(bundle.WriteFileAtomically(link, []byte("new"))).To(Succeed())
	data, err := os.ReadFile(target)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(data)).To(Equal("new"))
	info, err := os.Lstat(target)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(info.Mode().Perm()).To(Equal(fs.FileMode(0o600)))
	entries, err := os.ReadDir(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(2))
}

// Guards against a manifest whose values do not fit into a node's memory.
func TestParseManifestBoundsTotalSize(t *testing.T) {
	g := NewWithT(t)
	m := bundle.Manifest{Format: bundle.ManifestFormat, Version: 1}
	for i := range 9 {
		m.Values = append(m.Values, bundle.ValueDescriptor{
			Name: fmt.Sprintf("keys/%04b", i), Digest: bundle.Digest(nil), Size: bundle.MaxValueBytes,
		})
	}
	_, err := bundle.ParseManifest(m.Bytes())
	g.Expect(errors.Is(err, bundle.ErrMalformedManifest)).To(BeTrue())
	m.Values = m.Values[:8]
	_, err = bundle.ParseManifest(m.Bytes())
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a directory that is read differently from what was written, or accepted with missing or damaged
// values.
func TestDirectoryRoundTrip(t *testing.T) {
	g := NewWithT(t)
	dir := filepath.Join(t.TempDir(), "out")
	_, err := bundle.ReadManifest(dir)
	g.Expect(errors.Is(err, fs.ErrNotExist)).To(BeTrue())
	b := mustBuild(t, sampleObjects(2), 1)
	g.Expect(b.WriteDirectory(dir)).To(Succeed())
	read, err := bundle.ReadDirectory(dir)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(read).To(Equal(b))
	value := filepath.Join(dir, bundle.ValuesDirectory, b.Manifest.Values[0].Digest)
	g.Expect(os.WriteFile(value, []byte("x"), 0o600)).To(Succeed())
	_, err = bundle.ReadDirectory(dir)
	g.Expect(errors.Is(err, bundle.ErrDigestMismatch)).To(BeTrue())
	g.Expect(b.WriteDirectory(dir)).To(Succeed())
	g.Expect(os.Remove(value)).To(Succeed())
	_, err = bundle.ReadDirectory(dir)
	g.Expect(errors.Is(err, bundle.ErrMissingValue)).To(BeTrue())
}

func BenchmarkDecodeSet(b *testing.B) {
	built := mustBuild(b, sampleObjects(2000), 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := bundle.DecodeSet(built.ManifestBytes, built.Values); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPatch measures a change in a shard of the usual size. A node encodes such a patch for each of its children.
func BenchmarkPatch(b *testing.B) {
	old, next := mustBuild(b, sampleObjects(240), 1), mustBuild(b, sampleObjects(241), 2)
	before, _ := old.Manifest.Value("keys")
	after, _ := next.Manifest.Value("keys")
	patch, err := bundle.EncodePatch(old.Values[before.Digest], next.Values[after.Digest])
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = bundle.EncodePatch(old.Values[before.Digest], next.Values[after.Digest])
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = bundle.DecodePatch(old.Values[before.Digest], patch)
		}
	})
}
