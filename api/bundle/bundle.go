package bundle

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Bundle is one version of the whole configuration: its manifest and the values that the manifest lists.
type Bundle struct {
	Manifest Manifest
	// ManifestBytes are the canonical bytes of Manifest, which are published as manifest.json.
	ManifestBytes []byte
	// Values maps the hexadecimal SHA-256 digest of each value to its bytes.
	Values map[string][]byte
}

// ID returns the ID of the version: its number and the digest of the manifest.
func (b *Bundle) ID() wire.VersionID {
	return wire.VersionID{Number: b.Manifest.Version, Digest: Digest(b.ManifestBytes)}
}

// Build validates the objects and splits them into values. The parent is the digest of the manifest of the preceding
// version, or empty. Build returns a *config.InvalidError for invalid objects, and otherwise errors that wrap
// ErrVersionOutOfRange, ErrValueTooLarge for an object larger than MaxValueBytes, or ErrMalformedManifest. The same
// arguments give the same bytes.
func Build(o config.Objects, version uint64, parent string) (*Bundle, error) {
	if version == 0 || version > MaxVersion {
		return nil, eris.Wrapf(ErrVersionOutOfRange, "version %d is not between 1 and %d", version, uint64(MaxVersion))
	}
	if parent != "" && !isValidDigest(parent) {
		return nil, eris.Wrapf(ErrMalformedManifest, "parent %q is not a digest", parent)
	}
	if err := config.Validate(o).Err(); err != nil {
		return nil, err
	}
	shards, err := shardAllObjects(o)
	if err != nil {
		return nil, err
	}
	b := &Bundle{
		Manifest: Manifest{Format: ManifestFormat, Version: version, Parent: parent, Values: make([]ValueDescriptor, 0, len(shards))},
		Values:   make(map[string][]byte, len(shards)),
	}
	for _, s := range shards {
		digest := Digest(s.data)
		b.Manifest.Values = append(b.Manifest.Values, ValueDescriptor{Name: s.name, Digest: digest, Size: len(s.data)})
		b.Values[digest] = s.data
	}
	b.ManifestBytes = b.Manifest.Bytes()
	if _, err := ParseManifest(b.ManifestBytes); err != nil {
		return nil, err
	}
	return b, nil
}

// DecodeSet verifies and parses a whole version; values maps the digest of each value to its bytes. It checks the
// manifest, the presence, size and digest of each value, the kind of its objects, and the set of all objects. It
// returns the set only when every check passes, so that a version is adopted as a whole or not at all. Errors wrap
// ErrMalformedManifest, ErrMissingValue, ErrUnlistedValue, ErrDigestMismatch or ErrWrongContent, or are a
// *config.InvalidError.
func DecodeSet(manifest []byte, values map[string][]byte) (*config.Set, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	if err := checkAllValues(m, values); err != nil {
		return nil, err
	}
	var all config.Objects
	for _, v := range m.Values {
		part, err := parseValue(v, values[v.Digest])
		if err != nil {
			return nil, err
		}
		appendObjects(&all, part)
	}
	sortObjects(&all)
	if err := config.Validate(all).Err(); err != nil {
		return nil, err
	}
	return config.NewSet(all), nil
}

// checkAllValues checks that the values are exactly those that the manifest lists.
func checkAllValues(m *Manifest, values map[string][]byte) error {
	listed := make(map[string]bool, len(m.Values))
	for _, v := range m.Values {
		data, ok := values[v.Digest]
		if !ok {
			return eris.Wrapf(ErrMissingValue, "value %q, digest %s", v.Name, v.Digest)
		}
		if err := v.Verify(data); err != nil {
			return err
		}
		listed[v.Digest] = true
	}
	for digest := range values {
		if !listed[digest] {
			return eris.Wrapf(ErrUnlistedValue, "digest %s", digest)
		}
	}
	return nil
}

// Verify checks that data has the size and digest of v. The error wraps ErrDigestMismatch.
func (v ValueDescriptor) Verify(data []byte) error {
	if len(data) != v.Size {
		return eris.Wrapf(ErrDigestMismatch, "value %q has %d bytes, the manifest says %d", v.Name, len(data), v.Size)
	}
	if digest := Digest(data); digest != v.Digest {
		return eris.Wrapf(ErrDigestMismatch, "value %q has digest %s, the manifest says %s", v.Name, digest, v.Digest)
	}
	return nil
}

// parseValue parses a value and rejects objects of another kind than the value's name states.
func parseValue(v ValueDescriptor, data []byte) (config.Objects, error) {
	part, faults := config.Parse(map[string][]byte{v.Name: data})
	if err := faults.Err(); err != nil {
		return part, err
	}
	counts := map[string]int{
		"data_centres": len(part.DataCentres), "services": len(part.Services), "upstreams": len(part.Upstreams),
		"routes": len(part.Routes), "teams": len(part.Teams), "keys": len(part.Keys), "objectives": len(part.Objectives),
	}
	for kind, n := range counts {
		if (kind == kindOfShard(v.Name)) != (n > 0) {
			return part, eris.Wrapf(ErrWrongContent, "value %q contains %d objects of the kind %s", v.Name, n, kind)
		}
	}
	return part, nil
}

func appendObjects(all *config.Objects, part config.Objects) {
	all.DataCentres = append(all.DataCentres, part.DataCentres...)
	all.Services = append(all.Services, part.Services...)
	all.Upstreams = append(all.Upstreams, part.Upstreams...)
	all.Routes = append(all.Routes, part.Routes...)
	all.Teams = append(all.Teams, part.Teams...)
	all.Keys = append(all.Keys, part.Keys...)
	all.Objectives = append(all.Objectives, part.Objectives...)
}

// sortObjects sorts each list by name, so that the order does not depend on the split into shards.
func sortObjects(o *config.Objects) {
	slices.SortStableFunc(o.DataCentres, func(a, b config.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Services, func(a, b config.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Upstreams, func(a, b config.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Routes, func(a, b config.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Teams, func(a, b config.Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Keys, func(a, b config.Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(o.Objectives, func(a, b config.Objective) int { return cmp.Compare(a.Name, b.Name) })
}
