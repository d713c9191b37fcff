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
	// targetShardBytes is the size above which a shard is split. With smaller shards, a change makes nodes fetch fewer
	// bytes. With larger shards, it takes fewer reads of the source, whose rate is limited.
	targetShardBytes = 32 << 10
	// maxPrefixBits is the length of the name hash in bits.
	maxPrefixBits = 32
)

// hashedObject is an encoded object with its name and the hash of the name.
type hashedObject struct {
	hash uint32
	name string
	data []byte
}

// shard is an encoded group of objects of one kind whose name hashes have the same prefix.
type shard struct {
	name string
	data []byte
}

// shardObjects splits the objects of one kind by the prefix of their name hash; each shard is split further until it
// has at most the target size. So a change of one object rewrites or splits only the shard that contains it. If the
// number of shards depended on the total size, a change that crosses a threshold would rewrite every shard.
func shardObjects[T any](kind string, objects []T, name func(*T) string) ([]shard, error) {
	entries := make([]hashedObject, 0, len(objects))
	for i := range objects {
		data, err := json.Marshal(&objects[i])
		if err != nil {
			return nil, eris.Wrapf(ErrWrongContent, "%s %q: %v", kind, name(&objects[i]), err)
		}
		sum := sha256.Sum256([]byte(name(&objects[i])))
		entries = append(entries, hashedObject{binary.BigEndian.Uint32(sum[:4]), name(&objects[i]), data})
	}
	slices.SortFunc(entries, func(a, b hashedObject) int { return cmp.Compare(a.name, b.name) })
	return splitByPrefix(kind, "", entries)
}

// splitByPrefix returns the shards for the given objects, which are sorted by name and whose hashes all start with the
// prefix.
func splitByPrefix(kind, prefix string, entries []hashedObject) ([]shard, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	data := encodeShard(kind, entries)
	if len(data) <= targetShardBytes || len(entries) == 1 || len(prefix) == maxPrefixBits {
		if len(data) > MaxValueBytes {
			return nil, eris.Wrapf(ErrValueTooLarge, "%s %q has %d bytes", kind, entries[0].name, len(data))
		}
		return []shard{{shardName(kind, prefix), data}}, nil
	}
	var halves [2][]hashedObject
	for _, e := range entries {
		bit := e.hash >> (maxPrefixBits - 1 - len(prefix)) & 1
		halves[bit] = append(halves[bit], e)
	}
	low, err := splitByPrefix(kind, prefix+"0", halves[0])
	if err != nil {
		return nil, err
	}
	high, err := splitByPrefix(kind, prefix+"1", halves[1])
	return append(low, high...), err
}

// encodeShard writes one object per line, so that line-based tools can compare two versions of a value.
func encodeShard(kind string, entries []hashedObject) []byte {
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

func kindOfShard(name string) string {
	kind, _, _ := strings.Cut(name, "/")
	return kind
}

func isValidShardName(name string) bool {
	kind, prefix, divided := strings.Cut(name, "/")
	if !slices.Contains(objectKinds, kind) || divided && prefix == "" || len(prefix) > maxPrefixBits {
		return false
	}
	return strings.Trim(prefix, "01") == ""
}

// objectKinds are the JSON names of the lists of config.Objects.
var objectKinds = []string{"data_centres", "services", "upstreams", "routes", "teams", "keys", "objectives"}

// shardAllObjects splits the objects of each kind into shards. It sorts lists whose order has no meaning, so that the
// same objects give the same bytes in whatever order they were declared.
func shardAllObjects(o config.Objects) ([]shard, error) {
	o.Services = slices.Clone(o.Services)
	for i := range o.Services {
		o.Services[i].DependsOn = slices.Sorted(slices.Values(o.Services[i].DependsOn))
	}
	o.Routes = slices.Clone(o.Routes)
	for i := range o.Routes {
		o.Routes[i].Methods = slices.Sorted(slices.Values(o.Routes[i].Methods))
	}
	var all []shard
	var firstErr error
	collect := func(shards []shard, err error) {
		all = append(all, shards...)
		firstErr = cmp.Or(firstErr, err)
	}
	collect(shardObjects("data_centres", o.DataCentres, func(d *config.DataCentre) string { return d.Name }))
	collect(shardObjects("services", o.Services, func(s *config.Service) string { return s.Name }))
	collect(shardObjects("upstreams", o.Upstreams, func(u *config.Upstream) string { return u.Name }))
	collect(shardObjects("routes", o.Routes, func(r *config.Route) string { return r.Name }))
	collect(shardObjects("teams", o.Teams, func(t *config.Team) string { return t.Name }))
	collect(shardObjects("keys", o.Keys, func(k *config.Key) string { return k.ID }))
	collect(shardObjects("objectives", o.Objectives, func(ob *config.Objective) string { return ob.Name }))
	slices.SortFunc(all, func(a, b shard) int { return cmp.Compare(a.name, b.name) })
	return all, firstErr
}
