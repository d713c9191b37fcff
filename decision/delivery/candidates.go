package delivery

import (
	"encoding/binary"
	"slices"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/cespare/xxhash/v2"
)

// Candidates returns the upstreams at which a call with the identity may run: of each data centre with upstreams of the
// service, the one with the highest rendezvous hash for the identity. They are ordered by descending hash; the first is
// the identity's home. The result depends on declared names only, so that all nodes with the same set agree on it.
func Candidates(set *config.Set, service, identity string) []*config.Upstream {
	key := xxhash.Sum64String(identity)
	best := make([]scoredUpstream, 0, 8)
	for _, u := range set.UpstreamsOf(service) {
		s := scoredUpstream{upstream: u, score: score(key, u.Name)}
		at := slices.IndexFunc(best, func(o scoredUpstream) bool { return o.upstream.DataCentre == u.DataCentre })
		switch {
		case at < 0:
			best = append(best, s)
		case compareScores(s, best[at]) < 0:
			best[at] = s
		}
	}
	slices.SortFunc(best, compareScores)
	out := make([]*config.Upstream, len(best))
	for i, s := range best {
		out[i] = s.upstream
	}
	return out
}

// scoredUpstream is an upstream with its rendezvous hash for an identity.
type scoredUpstream struct {
	upstream *config.Upstream
	score    uint64
}

// compareScores orders upstreams by descending score and then by name, so that the order is the same at all nodes even
// if hashes are equal.
func compareScores(a, b scoredUpstream) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	case a.upstream.Name < b.upstream.Name:
		return -1
	case a.upstream.Name > b.upstream.Name:
		return 1
	}
	return 0
}

// score returns the rendezvous hash of an upstream's name for an identity with the hash key.
func score(key uint64, name string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(name))
	return xxhash.Sum64(pair[:])
}
