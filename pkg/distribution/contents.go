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

// historyLength is the number of old manifests and member lists that serve as base of patches. A node that missed
// more changes gets whole values.
const historyLength = 8

// errBroken means that a delivery is incomplete or does not match its digests.
var errBroken = errors.New("the delivery does not match its digests; it is fetched again from another node")

// contents are one whole and valid configuration. Only confirmed changes after its creation.
type contents struct {
	id       wire.VersionID
	bytes    []byte
	manifest *bundle.Manifest
	values   map[string][]byte
	set      *config.Set
	// confirmed is the time at which the source last confirmed this version, or 0.
	confirmed atomic.Int64
}

// verify builds contents from a manifest and values, and classifies what is wrong with them.
func verify(manifest []byte, values map[string][]byte) (*contents, decide.SetStatus, string) {
	set, err := bundle.DecodeSet(manifest, values)
	if errors.Is(err, bundle.ErrMissingValue) || errors.Is(err, bundle.ErrDigestMismatch) || errors.Is(err, bundle.ErrUnlistedValue) {
		return nil, decide.IncompleteSet, err.Error()
	}
	if err != nil {
		return nil, decide.InvalidSet, err.Error()
	}
	// The same check guards the publication of a snapshot; a set that fails it must not be adopted at all.
	if err := (&snapshot.Snapshot{Set: set}).CheckReferences(); err != nil {
		return nil, decide.InvalidSet, err.Error()
	}
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil {
		return nil, decide.InvalidSet, err.Error()
	}
	c := &contents{bytes: manifest, manifest: parsed, values: values, set: set}
	c.id = wire.VersionID{Number: parsed.Version, Digest: bundle.Digest(manifest)}
	return c, decide.ValidSet, ""
}

// delivery is a configuration as it travels between nodes.
type delivery struct {
	// Patched says that Manifest and Values are patches to the version that the asking node has; otherwise
	// they are plain zstd frames.
	Patched  bool   `json:"patched,omitempty"`
	Manifest []byte `json:"manifest"`
	// Values are in the order of the manifest, without those that the asking node has.
	Values [][]byte `json:"values"`
}

// encode returns the delivery of c to a node that has base, which may be nil.
func (c *contents) encode(base *contents) (*delivery, error) {
	d := &delivery{Patched: base != nil}
	var old []byte
	if base != nil {
		old = base.bytes
	}
	var err error
	if d.Manifest, err = bundle.EncodePatch(old, c.bytes); err != nil {
		return nil, err
	}
	for _, v := range c.manifest.Values {
		if base != nil && base.values[v.Digest] != nil {
			continue
		}
		patch, err := bundle.EncodePatch(base.baseOf(v.Name), c.values[v.Digest])
		if err != nil {
			return nil, err
		}
		d.Values = append(d.Values, patch)
	}
	return d, nil
}

// baseOf returns the value that patches of the named value refer to, or nil.
func (c *contents) baseOf(name string) []byte {
	if c == nil {
		return nil
	}
	v, ok := c.manifest.PatchBase(name)
	if !ok {
		return nil
	}
	return c.values[v.Digest]
}

// decode applies a delivery of the version id to base. It returns errBroken unless every part matches its digest.
func (d *delivery) decode(id wire.VersionID, base *contents) (manifest []byte, values map[string][]byte, err error) {
	if !d.Patched {
		base = nil
	} else if base == nil {
		return nil, nil, fmt.Errorf("%w: a patch to a version that this node does not have", errBroken)
	}
	var old []byte
	if base != nil {
		old = base.bytes
	}
	manifest, err = bundle.DecodePatch(old, d.Manifest)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: manifest: %w", errBroken, err)
	}
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil || parsed.Version != id.Number || bundle.Digest(manifest) != id.Digest {
		return nil, nil, fmt.Errorf("%w: manifest of version %v", errBroken, id)
	}
	values = make(map[string][]byte, len(parsed.Values))
	next := 0
	for _, v := range parsed.Values {
		if base != nil && base.values[v.Digest] != nil {
			values[v.Digest] = base.values[v.Digest]
			continue
		}
		if next >= len(d.Values) {
			return nil, nil, fmt.Errorf("%w: value %s is missing", errBroken, v.Name)
		}
		data, err := bundle.DecodePatch(base.baseOf(v.Name), d.Values[next])
		next++
		if err != nil || v.Verify(data) != nil {
			return nil, nil, fmt.Errorf("%w: value %s", errBroken, v.Name)
		}
		values[v.Digest] = data
	}
	return manifest, values, nil
}

// members is one member list with its canonical bytes.
type members struct {
	list  *platform.MemberList
	bytes []byte
}

func newMembers(list *platform.MemberList) (*members, error) {
	data, err := json.Marshal(list)
	if err != nil {
		return nil, err
	}
	return &members{list: list, bytes: data}, nil
}

func (m *members) revision() uint64 {
	if m == nil {
		return 0
	}
	return m.list.Revision
}

// listDelivery is a member list as it travels between nodes.
type listDelivery struct {
	Patched bool   `json:"patched,omitempty"`
	Data    []byte `json:"data"`
	// Digest is the hexadecimal SHA-256 of the list's canonical bytes. It guards against two lists of one
	// revision, after which a patch would give wrong bytes.
	Digest string `json:"digest"`
}

func (m *members) encode(base *members) (*listDelivery, error) {
	d := &listDelivery{Patched: base != nil, Digest: bundle.Digest(m.bytes)}
	var old []byte
	if base != nil {
		old = base.bytes
	}
	var err error
	d.Data, err = bundle.EncodePatch(old, m.bytes)
	return d, err
}

func (d *listDelivery) decode(base *members) (*members, error) {
	var old []byte
	if d.Patched {
		if base == nil {
			return nil, errBroken
		}
		old = base.bytes
	}
	data, err := bundle.DecodePatch(old, d.Data)
	if err != nil || bundle.Digest(data) != d.Digest {
		return nil, fmt.Errorf("%w: member list", errBroken)
	}
	list := &platform.MemberList{}
	if err := json.Unmarshal(data, list); err != nil {
		return nil, fmt.Errorf("%w: member list: %w", errBroken, err)
	}
	return &members{list: list, bytes: data}, nil
}

// state is what the node serves; it is replaced as a whole and never changed, but for the confirmation.
type state struct {
	current *contents
	members *members
	// older are the last versions and lists, oldest first.
	older      []*contents
	olderLists []*members
	// changed is closed when the next state is in place.
	changed chan struct{}
	cache   *answerCache
}

func newState() *state { return &state{changed: make(chan struct{}), cache: newAnswerCache()} }

// with returns the state after an adoption, or a new list; nil keeps what is there.
func (s *state) with(c *contents, m *members) *state {
	next := newState()
	next.current, next.members, next.older, next.olderLists = s.current, s.members, s.older, s.olderLists
	if c != nil {
		if s.current != nil {
			next.older = lastOf(append(next.older[:len(next.older):len(next.older)], s.current))
		}
		next.current = c
	}
	if m != nil {
		if s.members != nil {
			next.olderLists = lastOf(append(next.olderLists[:len(next.olderLists):len(next.olderLists)], s.members))
		}
		next.members = m
	}
	return next
}

func lastOf[T any](all []T) []T {
	if len(all) > historyLength {
		// A copy lets the dropped entry go.
		return append([]T(nil), all[len(all)-historyLength:]...)
	}
	return all
}

func (s *state) version() wire.VersionID {
	if s.current == nil {
		return wire.VersionID{}
	}
	return s.current.id
}

// find returns the version with that identity, current or older, or nil.
func (s *state) find(id wire.VersionID) *contents {
	if s.current != nil && s.current.id == id {
		return s.current
	}
	for _, c := range s.older {
		if c.id == id {
			return c
		}
	}
	return nil
}

func (s *state) findList(revision uint64) *members {
	for _, m := range s.olderLists {
		if m.list.Revision == revision {
			return m
		}
	}
	return nil
}

// age returns the time since the source confirmed the current version in milliseconds, or -1.
func (s *state) age(now time.Duration) int64 {
	if s.current == nil {
		return -1
	}
	at := s.current.confirmed.Load()
	if at == 0 {
		return -1
	}
	return max(0, (now - time.Duration(at)).Milliseconds())
}

// known returns all values that the node holds.
func (s *state) known(pending *contents) map[string][]byte {
	all := map[string][]byte{}
	for _, c := range s.older {
		maps.Copy(all, c.values)
	}
	for _, c := range []*contents{s.current, pending} {
		if c != nil {
			maps.Copy(all, c.values)
		}
	}
	return all
}
