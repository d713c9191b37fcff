package distribution

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// historyLength is the number of old manifests and member lists that are kept as bases of patches. A node that missed
// more changes gets complete values.
const historyLength = 8

// errCorrupt means that encoded data from another node are incomplete or do not match their digests.
var errCorrupt = errors.New("the received data do not match their digests; they are fetched again from another node")

// verifiedConfig is one complete and valid configuration. Only confirmedAt changes after its creation.
type verifiedConfig struct {
	version       wire.VersionID
	manifestBytes []byte
	manifest      *bundle.Manifest
	// values holds the values by digest.
	values map[string][]byte
	set    *config.Set
	// confirmedAt is the time at which the source last confirmed this version, or 0.
	confirmedAt atomic.Int64
}

// verify builds a configuration from a manifest and its values by digest. If they are not complete and valid, the
// configuration is nil and the string describes the faults.
func verify(manifest []byte, values map[string][]byte) (*verifiedConfig, decide.SetStatus, string) {
	set, err := bundle.DecodeSet(manifest, values)
	if errors.Is(err, bundle.ErrMissingValue) || errors.Is(err, bundle.ErrDigestMismatch) || errors.Is(err, bundle.ErrUnlistedValue) {
		return nil, decide.IncompleteSet, err.Error()
	}
	if err != nil {
		return nil, decide.InvalidSet, err.Error()
	}
	// Snapshots are checked in the same way before they are published; a set that fails must not be adopted at all.
	if err := (&snapshot.Snapshot{Set: set}).Consistent(); err != nil {
		return nil, decide.InvalidSet, err.Error()
	}
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil {
		return nil, decide.InvalidSet, err.Error()
	}
	c := &verifiedConfig{manifestBytes: manifest, manifest: parsed, values: values, set: set}
	c.version = wire.VersionID{Number: parsed.Version, Digest: bundle.Digest(manifest)}
	return c, decide.ValidSet, ""
}

// encodedConfig is a configuration as it is sent to another node.
type encodedConfig struct {
	// Patched says that Manifest and Values are patches to the version that the polling node has; otherwise they are
	// plain zstd frames.
	Patched  bool   `json:"patched,omitempty"`
	Manifest []byte `json:"manifest"`
	// Values are in the order of the manifest, without those that the polling node has.
	Values [][]byte `json:"values"`
}

// encode encodes c for a node that has base, which may be nil.
func (c *verifiedConfig) encode(base *verifiedConfig) (*encodedConfig, error) {
	d := &encodedConfig{Patched: base != nil}
	var oldBytes []byte
	if base != nil {
		oldBytes = base.manifestBytes
	}
	var err error
	if d.Manifest, err = bundle.EncodePatch(oldBytes, c.manifestBytes); err != nil {
		return nil, err
	}
	for _, v := range c.manifest.Values {
		if base != nil && base.values[v.Digest] != nil {
			continue
		}
		patch, err := bundle.EncodePatch(base.patchBase(v.Name), c.values[v.Digest])
		if err != nil {
			return nil, err
		}
		d.Values = append(d.Values, patch)
	}
	return d, nil
}

// patchBase returns the value of c to which patches of the named value apply, or nil.
func (c *verifiedConfig) patchBase(name string) []byte {
	if c == nil {
		return nil
	}
	v, ok := c.manifest.PatchBase(name)
	if !ok {
		return nil
	}
	return c.values[v.Digest]
}

// decode returns the manifest and the values by digest of the version. If d is patched, base must be the configuration
// that it patches. The error is errCorrupt unless every part matches its digest.
func (d *encodedConfig) decode(version wire.VersionID, base *verifiedConfig) (manifest []byte, values map[string][]byte, err error) {
	if !d.Patched {
		base = nil
	} else if base == nil {
		return nil, nil, fmt.Errorf("%w: a patch to a version that this node does not have", errCorrupt)
	}
	var oldBytes []byte
	if base != nil {
		oldBytes = base.manifestBytes
	}
	manifest, err = bundle.DecodePatch(oldBytes, d.Manifest)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: manifest: %w", errCorrupt, err)
	}
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil || parsed.Version != version.Number || bundle.Digest(manifest) != version.Digest {
		return nil, nil, fmt.Errorf("%w: manifest of version %v", errCorrupt, version)
	}
	values = make(map[string][]byte, len(parsed.Values))
	next := 0
	for _, v := range parsed.Values {
		if base != nil && base.values[v.Digest] != nil {
			values[v.Digest] = base.values[v.Digest]
			continue
		}
		if next >= len(d.Values) {
			return nil, nil, fmt.Errorf("%w: value %s is missing", errCorrupt, v.Name)
		}
		data, err := bundle.DecodePatch(base.patchBase(v.Name), d.Values[next])
		next++
		if err != nil || v.Verify(data) != nil {
			return nil, nil, fmt.Errorf("%w: value %s", errCorrupt, v.Name)
		}
		values[v.Digest] = data
	}
	return manifest, values, nil
}

// memberList is a member list of the platform together with its canonical JSON encoding.
type memberList struct {
	list  *platform.MemberList
	bytes []byte
}

func newMemberList(list *platform.MemberList) (*memberList, error) {
	data, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	return &memberList{list: list, bytes: data}, nil
}

// revision returns the revision of the list, or 0 when m is nil.
func (m *memberList) revision() uint64 {
	if m == nil {
		return 0
	}
	return m.list.Revision
}

// encodedMemberList is a member list as it is sent to another node.
type encodedMemberList struct {
	// Patched says that Data is a patch to the list that the polling node has; otherwise it is a plain zstd frame.
	Patched bool   `json:"patched,omitempty"`
	Data    []byte `json:"data"`
	// Digest is the hexadecimal SHA-256 of the list's canonical encoding. If two different lists have the same
	// revision, a patch to the wrong one gives wrong bytes, which the digest reveals.
	Digest string `json:"digest"`
}

// encode encodes the list for a node that has base, which may be nil.
func (m *memberList) encode(base *memberList) (*encodedMemberList, error) {
	d := &encodedMemberList{Patched: base != nil, Digest: bundle.Digest(m.bytes)}
	var oldBytes []byte
	if base != nil {
		oldBytes = base.bytes
	}
	var err error
	d.Data, err = bundle.EncodePatch(oldBytes, m.bytes)
	return d, err
}

// decode returns the member list. If d is patched, base must be the list that it patches. The error is errCorrupt
// unless the list matches its digest.
func (d *encodedMemberList) decode(base *memberList) (*memberList, error) {
	var oldBytes []byte
	if d.Patched {
		if base == nil {
			return nil, errCorrupt
		}
		oldBytes = base.bytes
	}
	data, err := bundle.DecodePatch(oldBytes, d.Data)
	if err != nil || bundle.Digest(data) != d.Digest {
		return nil, fmt.Errorf("%w: member list", errCorrupt)
	}
	list := &platform.MemberList{}
	if err := json.Unmarshal(data, list); err != nil {
		return nil, fmt.Errorf("%w: member list: %w", errCorrupt, err)
	}
	return &memberList{list: list, bytes: data}, nil
}

// servedState is what the node sends to other nodes. It is replaced as a whole; only the confirmation time of the
// current configuration changes.
type servedState struct {
	current *verifiedConfig
	members *memberList
	// olderConfigs and olderMembers are the last configurations and lists before the current ones, oldest first.
	olderConfigs []*verifiedConfig
	olderMembers []*memberList
	// changed is closed when the next state has replaced this one.
	changed chan struct{}
	cache   *answerCache
}

func newServedState() *servedState {
	return &servedState{changed: make(chan struct{}), cache: newAnswerCache()}
}

// withUpdate returns the state after the adoption of a configuration or a member list; nil keeps the current one.
func (s *servedState) withUpdate(c *verifiedConfig, m *memberList) *servedState {
	next := newServedState()
	next.current, next.members, next.olderConfigs, next.olderMembers = s.current, s.members, s.olderConfigs, s.olderMembers
	if c != nil {
		if s.current != nil {
			next.olderConfigs = lastEntries(append(next.olderConfigs[:len(next.olderConfigs):len(next.olderConfigs)], s.current))
		}
		next.current = c
	}
	if m != nil {
		if s.members != nil {
			next.olderMembers = lastEntries(append(next.olderMembers[:len(next.olderMembers):len(next.olderMembers)], s.members))
		}
		next.members = m
	}
	return next
}

// lastEntries returns the last historyLength elements.
func lastEntries[T any](all []T) []T {
	if len(all) > historyLength {
		// The copy allows the dropped elements to be freed.
		return append([]T(nil), all[len(all)-historyLength:]...)
	}
	return all
}

func (s *servedState) version() wire.VersionID {
	if s.current == nil {
		return wire.VersionID{}
	}
	return s.current.version
}

// findConfig returns the current or an older configuration with the given version, or nil.
func (s *servedState) findConfig(version wire.VersionID) *verifiedConfig {
	if s.current != nil && s.current.version == version {
		return s.current
	}
	for _, c := range s.olderConfigs {
		if c.version == version {
			return c
		}
	}
	return nil
}

// findMembers returns the older member list with the given revision, or nil.
func (s *servedState) findMembers(revision uint64) *memberList {
	for _, m := range s.olderMembers {
		if m.list.Revision == revision {
			return m
		}
	}
	return nil
}

// confirmationAgeMS returns the time in milliseconds since the source last confirmed the current version, or -1.
func (s *servedState) confirmationAgeMS(now time.Duration) int64 {
	if s.current == nil {
		return -1
	}
	at := s.current.confirmedAt.Load()
	if at == 0 {
		return -1
	}
	return max(0, (now - time.Duration(at)).Milliseconds())
}

// allValues returns all values that the node holds, by digest.
func (s *servedState) allValues(pending *verifiedConfig) map[string][]byte {
	all := map[string][]byte{}
	for _, c := range s.olderConfigs {
		maps.Copy(all, c.values)
	}
	for _, c := range []*verifiedConfig{s.current, pending} {
		if c != nil {
			maps.Copy(all, c.values)
		}
	}
	return all
}
