package bundle

import (
	"cmp"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Bundle is one version of the whole configuration: the canonical bytes of its manifest and the values by digest.
type Bundle struct {
	Manifest Manifest
	// ManifestBytes are what is published as manifest.json.
	ManifestBytes []byte
	// Values maps the hexadecimal SHA-256 digest to the bytes.
	Values map[string][]byte
}

// ID returns the identity of the version.
func (b *Bundle) ID() wire.VersionID {
	return wire.VersionID{Number: b.Manifest.Version, Digest: Digest(b.ManifestBytes)}
}

// Build validates the objects as one unit and shards them. Parent is the digest of the manifest that the version
// follows, or empty. It returns a *config.InvalidError for an invalid set, ErrVersion for a number out of range
// and ErrOversize for an object that no value can hold. The same arguments give the same bytes.
func Build(o config.Objects, version uint64, parent string) (*Bundle, error) {
	if version == 0 || version > MaxVersion {
		return nil, eris.Wrapf(ErrVersionOutOfRange, "version %d is not between 1 and %d", version, uint64(MaxVersion))
	}
	if parent != "" && !validDigest(parent) {
		return nil, eris.Wrapf(ErrMalformedManifest, "parent %q is no digest", parent)
	}
	if err := config.Validate(o).Err(); err != nil {
		return nil, err
	}
	shards, err := allShards(o)
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

// DecodeSet checks and parses a whole version: the manifest, each value's presence, size and digest, the kind of its
// objects, and the set as one unit. It returns the set only when everything holds, so that a version is adopted as
// a whole or not at all. Errors wrap ErrManifest, ErrMissing, ErrExtra, ErrDigest or ErrContent, or are a
// *config.InvalidError.
func DecodeSet(manifest []byte, values map[string][]byte) (*config.Set, error) {
	m, err := ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	if err := checkContents(m, values); err != nil {
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

// checkContents compares the values with the manifest.
func checkContents(m *Manifest, values map[string][]byte) error {
	named := make(map[string]bool, len(m.Values))
	for _, v := range m.Values {
		data, ok := values[v.Digest]
		if !ok {
			return eris.Wrapf(ErrMissingValue, "value %q, digest %s", v.Name, v.Digest)
		}
		if err := v.Verify(data); err != nil {
			return err
		}
		named[v.Digest] = true
	}
	for digest := range values {
		if !named[digest] {
			return eris.Wrapf(ErrUnlistedValue, "digest %s", digest)
		}
	}
	return nil
}

// Verify compares bytes with the size and digest of v; the error wraps ErrDigest.
func (v ValueDescriptor) Verify(data []byte) error {
	if len(data) != v.Size {
		return eris.Wrapf(ErrDigestMismatch, "value %q has %d bytes, the manifest says %d", v.Name, len(data), v.Size)
	}
	if digest := Digest(data); digest != v.Digest {
		return eris.Wrapf(ErrDigestMismatch, "value %q has digest %s, the manifest says %s", v.Name, digest, v.Digest)
	}
	return nil
}

// parseValue reads a value and refuses objects of another kind than its name says.
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
		if (kind == kindOf(v.Name)) != (n > 0) {
			return part, eris.Wrapf(ErrWrongContent, "value %q holds %d of %s", v.Name, n, kind)
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

// sortObjects orders each list by name, so that the set does not depend on how it was split into shards.
func sortObjects(o *config.Objects) {
	slices.SortStableFunc(o.DataCentres, func(a, b config.DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Services, func(a, b config.Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Upstreams, func(a, b config.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Routes, func(a, b config.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Teams, func(a, b config.Team) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(o.Keys, func(a, b config.Key) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortStableFunc(o.Objectives, func(a, b config.Objective) int { return cmp.Compare(a.Name, b.Name) })
}
