// Package bundle turns a set of declared objects into content-addressed values under one manifest, and back.
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

// Bounds of a bundle, in bytes where no other unit is given.
const (
	// ManifestFormat is the only format of manifests so far.
	ManifestFormat = 1
	// MaxValueBytes is the largest value that the platform's configuration service holds. It bounds the manifest
	// too.
	MaxValueBytes = 1 << 20
	// MaxValues and MaxTotalBytes bound what a manifest can make a node fetch and keep. A node has 128 MB; a set of
	// 470 upstreams and 2,000 keys takes about 0.4 MB, and parsing it about 20 times its size for a moment.
	MaxValues     = 1024
	MaxTotalBytes = 8 << 20
	// MaxVersion is the largest version number that every JSON reader represents exactly. It also stops a
	// mistyped number from using up the range, after which no version could move forward.
	MaxVersion = 1<<53 - 1
)

// Kinds of errors. Each concrete error wraps one of them.
var (
	ErrMalformedManifest = eris.New("the manifest is malformed; build the bundle again")
	ErrMissingValue      = eris.New("a value of the manifest is missing; publish the whole bundle, values before the manifest")
	ErrUnlistedValue     = eris.New("a value is not named by the manifest; pass only the values of this manifest")
	ErrDigestMismatch    = eris.New("a value does not match its digest or size; publish or fetch the value again")
	ErrWrongContent      = eris.New("a value does not hold objects of its kind; build the bundle again")
	ErrValueTooLarge     = eris.New("a value would be larger than the platform holds; make the object smaller")
	ErrVersionOutOfRange = eris.New("the version number is out of range; choose the next number after the last published one")
	ErrPatchFailed       = eris.New("the patch does not apply to the old value; fetch the whole value")
)

// Manifest lists the values of one version. Its bytes are canonical, so equal manifests have equal digests.
type Manifest struct {
	Format int `json:"format"`
	// Version is positive; versions only move forward.
	Version uint64 `json:"version"`
	// Parent is the digest of the manifest that this one was built from, or empty for the first.
	Parent string `json:"parent"`
	// Values are sorted by name.
	Values []ValueDescriptor `json:"values"`
}

// ValueDescriptor names one shard of one kind of object.
type ValueDescriptor struct {
	// Name is the JSON name of the kind, with a slash and the shard's hash prefix in binary when the kind is
	// split, such as "keys/01".
	Name string `json:"name"`
	// Digest is the hexadecimal SHA-256 of the value's bytes.
	Digest string `json:"digest"`
	// Size is in bytes.
	Size int `json:"size"`
}

// Digest returns the hexadecimal SHA-256 of data, the form of all digests in a bundle.
func Digest(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

// Bytes returns the canonical bytes of m.
func (m *Manifest) Bytes() []byte {
	// Marshalling plain strings and numbers can't fail.
	data, _ := json.Marshal(m)
	return append(data, '\n')
}

// ID returns the identity of the version: its number and the digest of its canonical bytes.
func (m *Manifest) ID() wire.VersionID {
	return wire.VersionID{Number: m.Version, Digest: Digest(m.Bytes())}
}

// Value returns the value with that name.
func (m *Manifest) Value(name string) (ValueDescriptor, bool) {
	for _, v := range m.Values {
		if v.Name == name {
			return v, true
		}
	}
	return ValueDescriptor{}, false
}

// PatchBase returns the value of m that is the best dictionary for a patch to the value with that name in another
// version: the same shard, else the shard that it was split from, else one that was merged into it.
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
		if strings.HasPrefix(v.Name, strings.TrimSuffix(name, "/")) && kindOf(v.Name) == kindOf(name) {
			return v, true
		}
	}
	return ValueDescriptor{}, false
}

// ParseManifest reads a manifest's bytes. It refuses bytes that are not canonical, since fields that one reader
// drops and another keeps would give one digest two meanings. Errors wrap ErrManifest.
func ParseManifest(data []byte) (*Manifest, error) {
	if len(data) > MaxValueBytes {
		return nil, eris.Wrapf(ErrMalformedManifest, "%d bytes, at most %d are allowed", len(data), MaxValueBytes)
	}
	m := &Manifest{}
	if err := json.Unmarshal(data, m); err != nil {
		return nil, eris.Wrap(ErrMalformedManifest, "the bytes are no JSON manifest")
	}
	if m.Format != ManifestFormat {
		return nil, eris.Wrapf(ErrMalformedManifest, "format %d, this program reads %d", m.Format, ManifestFormat)
	}
	if !bytes.Equal(m.Bytes(), data) {
		return nil, eris.Wrap(ErrMalformedManifest, "the bytes are not the canonical ones")
	}
	if m.Version == 0 || m.Version > MaxVersion {
		return nil, eris.Wrapf(ErrMalformedManifest, "version %d is not between 1 and %d", m.Version, uint64(MaxVersion))
	}
	if m.Parent != "" && !validDigest(m.Parent) {
		return nil, eris.Wrap(ErrMalformedManifest, "the parent is no digest")
	}
	return m, checkValues(m.Values)
}

func checkValues(values []ValueDescriptor) error {
	if len(values) == 0 || len(values) > MaxValues {
		return eris.Wrapf(ErrMalformedManifest, "%d values, between 1 and %d are allowed", len(values), MaxValues)
	}
	total := 0
	for i, v := range values {
		total += max(v.Size, 0)
		switch {
		case i > 0 && values[i-1].Name >= v.Name:
			return eris.Wrapf(ErrMalformedManifest, "value %q is repeated or not sorted", v.Name)
		case !validShardName(v.Name):
			return eris.Wrapf(ErrMalformedManifest, "value %q names no shard of a known kind", v.Name)
		case !validDigest(v.Digest):
			return eris.Wrapf(ErrMalformedManifest, "value %q has no digest", v.Name)
		case v.Size <= 0 || v.Size > MaxValueBytes:
			return eris.Wrapf(ErrMalformedManifest, "value %q has %d bytes, at most %d are allowed", v.Name, v.Size, MaxValueBytes)
		case total > MaxTotalBytes:
			return eris.Wrapf(ErrMalformedManifest, "the values have more than %d bytes in all", MaxTotalBytes)
		}
	}
	return nil
}

func validDigest(digest string) bool {
	sum, err := hex.DecodeString(digest)
	return err == nil && len(sum) == sha256.Size && strings.ToLower(digest) == digest
}
