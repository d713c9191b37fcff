package bundle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/api/config"
)

const (
	// targetBytes is the size above which a shard is split. Smaller shards make each change cheaper to
	// fetch as a whole; larger ones cost fewer reads of the source, which are scarce.
	targetBytes = 32 << 10
	// maxPrefix is the length of the name hash in bits.
	maxPrefix = 32
)

// entry is one object with the hash of its name.
type entry struct {
	hash uint32
	name string
	data []byte
}

// shard is a group of objects of one kind whose name hashes share a prefix.
type shard struct {
	name string
	data []byte
}

// shardsOf splits objects of one kind by the prefix of their name hash, each shard on its own until it fits the
// target size. So a change rewrites only the shard that it is in, and at most splits that one. A shard count that
// depends on the total size was ruled out, because a change that crosses its threshold rewrites every shard.
func shardsOf[T any](kind string, objects []T, name func(*T) string) ([]shard, error) {
	entries := make([]entry, 0, len(objects))
	for i := range objects {
		data, err := json.Marshal(&objects[i])
		if err != nil {
			return nil, eris.Wrapf(ErrWrongContent, "%s %q: %v", kind, name(&objects[i]), err)
		}
		sum := sha256.Sum256([]byte(name(&objects[i])))
		entries = append(entries, entry{binary.BigEndian.Uint32(sum[:4]), name(&objects[i]), data})
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.name, b.name) })
	return split(kind, "", entries)
}

// split returns the shards below a prefix; entries are sorted by name and all have the prefix.
func split(kind, prefix string, entries []entry) ([]shard, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	data := encodeShard(kind, entries)
	if len(data) <= targetBytes || len(entries) == 1 || len(prefix) == maxPrefix {
		if len(data) > MaxValueBytes {
			return nil, eris.Wrapf(ErrValueTooLarge, "%s %q has %d bytes", kind, entries[0].name, len(data))
		}
		return []shard{{shardName(kind, prefix), data}}, nil
	}
	var halves [2][]entry
	for _, e := range entries {
		bit := e.hash >> (maxPrefix - 1 - len(prefix)) & 1
		halves[bit] = append(halves[bit], e)
	}
	low, err := split(kind, prefix+"0", halves[0])
	if err != nil {
		return nil, err
	}
	high, err := split(kind, prefix+"1", halves[1])
	return append(low, high...), err
}

// encodeShard writes one object a line, so that two versions of a value can be compared with line tools.
func encodeShard(kind string, entries []entry) []byte {
	var b bytes.Buffer
	b.WriteString(`{"` + kind + `":[`)
	for i, e := range entries {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteByte('\n')
		b.Write(e.data)
	}
	b.WriteString("\n]}\n")
	return b.Bytes()
}

func shardName(kind, prefix string) string {
	if prefix == "" {
		return kind
	}
	return kind + "/" + prefix
}

func kindOf(name string) string {
	kind, _, _ := strings.Cut(name, "/")
	return kind
}

func validShardName(name string) bool {
	kind, prefix, divided := strings.Cut(name, "/")
	if !slices.Contains(kinds, kind) || divided && prefix == "" || len(prefix) > maxPrefix {
		return false
	}
	return strings.Trim(prefix, "01") == ""
}

// kinds are the JSON names of the lists of config.Objects.
var kinds = []string{"data_centres", "services", "upstreams", "routes", "teams", "keys", "objectives"}

// allShards splits each kind. Lists whose order has no meaning are sorted, so that the same objects give the same
// bytes however they were declared.
func allShards(o config.Objects) ([]shard, error) {
	o.Services = slices.Clone(o.Services)
	for i := range o.Services {
		o.Services[i].DependsOn = slices.Sorted(slices.Values(o.Services[i].DependsOn))
	}
	o.Routes = slices.Clone(o.Routes)
	for i := range o.Routes {
		o.Routes[i].Methods = slices.Sorted(slices.Values(o.Routes[i].Methods))
	}
	var all []shard
	var failed error
	collect := func(shards []shard, err error) {
		all = append(all, shards...)
		failed = cmp.Or(failed, err)
	}
	collect(shardsOf("data_centres", o.DataCentres, func(d *config.DataCentre) string { return d.Name }))
	collect(shardsOf("services", o.Services, func(s *config.Service) string { return s.Name }))
	collect(shardsOf("upstreams", o.Upstreams, func(u *config.Upstream) string { return u.Name }))
	collect(shardsOf("routes", o.Routes, func(r *config.Route) string { return r.Name }))
	collect(shardsOf("teams", o.Teams, func(t *config.Team) string { return t.Name }))
	collect(shardsOf("keys", o.Keys, func(k *config.Key) string { return k.ID }))
	collect(shardsOf("objectives", o.Objectives, func(ob *config.Objective) string { return ob.Name }))
	slices.SortFunc(all, func(a, b shard) int { return cmp.Compare(a.name, b.name) })
	return all, failed
}
