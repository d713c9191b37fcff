// Package bundle encodes a set of declared objects as content-addressed values that are listed in a manifest, and
// decodes them.
package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Bounds of a bundle. MaxValueBytes and MaxTotalBytes are in bytes.
const (
	// ManifestFormat is the number of the only manifest format.
	ManifestFormat = 1
	// MaxValueBytes is the largest size of a value, and of the manifest, that the platform's configuration service
	// stores.
	MaxValueBytes = 1 << 20
	// MaxValues and MaxTotalBytes bound what a node has to fetch and store for one manifest. A node has 128 MB of
	// memory. A set of 470 upstreams and 2,000 keys has about 0.4 MB; parsing it briefly takes about 20 times as much.
	MaxValues     = 1024
	MaxTotalBytes = 8 << 20
	// MaxVersion is the largest version number that all JSON parsers represent exactly. The bound also prevents a
	// mistyped number from exhausting the range, after which no newer version would be possible.
	MaxVersion = 1<<53 - 1
)

// Errors of this package. The returned errors wrap one of them, or are a *config.InvalidError or an I/O error.
var (
	ErrMalformedManifest = eris.New("the manifest is malformed; build the bundle again")
	ErrMissingValue      = eris.New("a value of the manifest is missing; publish the whole bundle, values before the manifest")
	ErrUnlistedValue     = eris.New("a value is not listed in the manifest; pass only the values of this manifest")
	ErrDigestMismatch    = eris.New("a value does not match its digest or size; publish or fetch the value again")
	ErrWrongContent      = eris.New("a value does not contain objects of its kind only; build the bundle again")
	ErrValueTooLarge     = eris.New("a value is larger than the platform can store; make the object smaller")
	ErrVersionOutOfRange = eris.New("the version number is out of range; choose the next number after the last published one")
	ErrPatchFailed       = eris.New("the patch does not apply to the old value; fetch the whole value")
)

// Manifest lists the values of one version. Its encoding is canonical, so equal manifests have equal digests.
type Manifest struct {
	Format int `json:"format"`
	// Version is the positive version number. A newer version has a greater number.
	Version uint64 `json:"version"`
	// Parent is the digest of the manifest of the preceding version, or empty for the first.
	Parent string `json:"parent"`
	// Values are sorted by name.
	Values []ValueDescriptor `json:"values"`
}

// ValueDescriptor identifies one value: a shard of the objects of one kind.
type ValueDescriptor struct {
	// Name is the JSON name of the kind, such as "keys". When the kind is split into several shards, a slash and the
	// binary hash prefix of the shard follow, such as "keys/01".
	Name string `json:"name"`
	// Digest is the hexadecimal SHA-256 of the value's bytes.
	Digest string `json:"digest"`
	// Size is the size of the value in bytes.
	Size int `json:"size"`
}

// Digest returns the lower-case hexadecimal SHA-256 of data, which is the form of all digests in a bundle.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Bytes returns the canonical bytes of m.
func (m *Manifest) Bytes() []byte {
	// Marshalling a struct of strings and numbers cannot fail.
	data, _ := json.Marshal(m)
	return append(data, '\n')
}

// ID returns the ID of the version: its number and the digest of the canonical bytes.
func (m *Manifest) ID() wire.VersionID {
	return wire.VersionID{Number: m.Version, Digest: Digest(m.Bytes())}
}

// Value returns the descriptor with the given name.
func (m *Manifest) Value(name string) (ValueDescriptor, bool) {
	for _, v := range m.Values {
		if v.Name == name {
			return v, true
		}
	}
	return ValueDescriptor{}, false
}

// PatchBase returns the value of m that is the best dictionary for a patch to the value with the given name in another
// version: the value of the same shard, else of the shard from which it was split, else of one that was merged into it.
func (m *Manifest) PatchBase(name string) (ValueDescriptor, bool) {
	for shard := name; ; {
		if v, ok := m.Value(shard); ok {
			return v, true
		}
		kind, prefix, split := strings.Cut(shard, "/")
		if !split {
			break
		}
		shard = shardName(kind, prefix[:len(prefix)-1])
	}
	for _, v := range m.Values {
		if strings.HasPrefix(v.Name, strings.TrimSuffix(name, "/")) && kindOfShard(v.Name) == kindOfShard(name) {
			return v, true
		}
	}
	return ValueDescriptor{}, false
}

// ParseManifest parses and checks a manifest. It rejects bytes that are not the canonical encoding: for example, a
// field that one parser ignores and another uses would give the same digest two meanings. Errors wrap
// ErrMalformedManifest.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxValueBytes {
		return nil, eris.Wrapf(ErrMalformedManifest, "%d bytes, at most %d are allowed", len(data), MaxValueBytes)
	}
	m := &Manifest{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, eris.Wrap(ErrMalformedManifest, "the bytes are not a JSON manifest")
	}
	if m.Format != ManifestFormat {
		return nil, eris.Wrapf(ErrMalformedManifest, "format %d, this program reads %d", m.Format, ManifestFormat)
	}
	if !bytes.Equal(m.Bytes(), data) {
		return nil, eris.Wrap(ErrMalformedManifest, "the bytes are not the canonical encoding")
	}
	if m.Version == 0 || m.Version > MaxVersion {
		return nil, eris.Wrapf(ErrMalformedManifest, "version %d is not between 1 and %d", m.Version, uint64(MaxVersion))
	}
	if m.Parent != "" && !isValidDigest(m.Parent) {
		return nil, eris.Wrap(ErrMalformedManifest, "the parent is not a digest")
	}
	return m, checkDescriptors(m.Values)
}

// checkDescriptors checks the names, the order, the digests and the sizes of the values.
func checkDescriptors(values []ValueDescriptor) error {
	if len(values) == 0 || len(values) > MaxValues {
		return eris.Wrapf(ErrMalformedManifest, "%d values, between 1 and %d are allowed", len(values), MaxValues)
	}
	total := 0
	for i, v := range values {
		total += max(v.Size, 0)
		switch {
		case i > 0 && values[i-1].Name >= v.Name:
			return eris.Wrapf(ErrMalformedManifest, "value %q is repeated or not sorted", v.Name)
		case !isValidShardName(v.Name):
			return eris.Wrapf(ErrMalformedManifest, "value %q does not have the name of a shard of a known kind", v.Name)
		case !isValidDigest(v.Digest):
			return eris.Wrapf(ErrMalformedManifest, "value %q has no valid digest", v.Name)
		case v.Size <= 0 || v.Size > MaxValueBytes:
			return eris.Wrapf(ErrMalformedManifest, "value %q has %d bytes, between 1 and %d are allowed", v.Name, v.Size, MaxValueBytes)
		case total > MaxTotalBytes:
			return eris.Wrapf(ErrMalformedManifest, "the values have more than %d bytes in total", MaxTotalBytes)
		}
	}
	return nil
}

func isValidDigest(digest string) bool {
	sum, err := hex.DecodeString(digest)
	return err == nil && len(sum) == sha256.Size && strings.ToLower(digest) == digest
}
