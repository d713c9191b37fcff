package routing

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/cespare/xxhash/v2"
)

// Tiers of candidates by location, in the order of preference.
const (
	ownDataCentre = iota
	ownRegion
	otherRegion
	tierCount
)

// reservedRemoteCandidates is the number of candidates that are reserved for other data centres, so that a node can
// still send calls when its own data centre fails.
const reservedRemoteCandidates = 3

// candidates returns the node's candidates for a service, ordered by tier and then by rendezvous hash. They are
// computed once for each view.
func (t *Table) candidates(view *View, service string) []*upstreamState {
	if t.view != view {
		t.view = view
		t.candidateLists = map[string][]*upstreamState{}
		t.removeUndeclared()
	}
	list, known := t.candidateLists[service]
	if !known {
		list = t.rankCandidates(view, service)
		t.candidateLists[service] = list
	}
	return list
}

func (t *Table) rankCandidates(view *View, service string) []*upstreamState {
	ranked := make([]rankedUpstream, 0, 16)
	for _, u := range view.Set.UpstreamsOf(service) {
		if !view.Set.InService(u) || view.Members[u.Name].State == platform.MemberLeaving {
			continue
		}
		c := t.upstream(u.Name)
		c.dataCentre = u.DataCentre
		c.tier = t.tierOf(view.Set, u.DataCentre)
		ranked = append(ranked, rankedUpstream{upstream: c, hash: rendezvousHash(t.cfg.Node, u.Name)})
	}
	slices.SortFunc(ranked, func(a, b rankedUpstream) int {
		return cmp.Or(cmp.Compare(a.upstream.tier, b.upstream.tier), cmp.Compare(b.hash, a.hash), cmp.Compare(a.upstream.name, b.upstream.name))
	})
	return limitCandidates(ranked)
}

type rankedUpstream struct {
	upstream *upstreamState
	hash     uint64
}

// limitCandidates returns at most maxCandidates: the first upstreams of the own data centre and the first of the
// others.
func limitCandidates(ranked []rankedUpstream) []*upstreamState {
	own := 0
	for own < len(ranked) && ranked[own].upstream.tier == ownDataCentre {
		own++
	}
	remote := min(reservedRemoteCandidates, len(ranked)-own)
	local := min(own, maxCandidates-remote)
	remote = min(len(ranked)-own, maxCandidates-local)
	list := make([]*upstreamState, 0, local+remote)
	for _, r := range ranked[:local] {
		list = append(list, r.upstream)
	}
	for _, r := range ranked[own : own+remote] {
		list = append(list, r.upstream)
	}
	return list
}

func (t *Table) tierOf(set *config.Set, dataCentre string) int {
	own, other := set.DataCentre(t.cfg.DataCentre), set.DataCentre(dataCentre)
	switch {
	case dataCentre == t.cfg.DataCentre:
		return ownDataCentre
	case own != nil && other != nil && own.Region == other.Region:
		return ownRegion
	}
	return otherRegion
}

func rendezvousHash(node, upstream string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(node))
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(upstream))
	return xxhash.Sum64(pair[:])
}

// removeUndeclared removes the state of upstreams that are no longer part of the configuration.
func (t *Table) removeUndeclared() {
	for name, c := range t.upstreams {
		if t.view.Set.Upstream(name) == nil && c.outstanding == 0 {
			delete(t.upstreams, name)
		}
	}
}

// chooseCandidate returns a candidate with free capacity, from the first tier that has one. If all candidates are full
// it returns one of the first tier that has any, and nil if no candidate is left.
func (t *Table) chooseCandidate(now time.Duration, list []*upstreamState, exclude []string) *upstreamState {
	cutoff := readmissionCutoff(now, list)
	var fallback *upstreamState
	for tier := range tierCount {
		best := t.bestOfTwo(now, list, tier, exclude, cutoff)
		if best == nil {
			continue
		}
		if best.score(now) < 1 {
			return best
		}
		// A call leaves a full tier only if a later tier has free capacity.
		if fallback == nil {
			fallback = best
		}
	}
	if fallback == nil {
		return firstUsable(now, list, exclude, cutoff)
	}
	return fallback
}

// readmissionCutoff returns a time: candidates whose ejection ends at it or earlier are used although they are ejected.
// It is chosen so that at most half of the candidates are left out. If more of them fail, the fault is more likely in
// this node, and a node that left out all of them could not serve any call.
func readmissionCutoff(now time.Duration, list []*upstreamState) time.Duration {
	var ends [maxCandidates]time.Duration
	n := 0
	for _, c := range list {
		if now < c.ejectedUntil {
			ends[n] = c.ejectedUntil
			n++
		}
	}
	excess := n - len(list)/2
	if excess <= 0 {
		return 0
	}
	slices.Sort(ends[:n])
	return ends[excess-1]
}

// bestOfTwo returns the better of two random usable candidates of a tier, or nil.
func (t *Table) bestOfTwo(now time.Duration, list []*upstreamState, tier int, exclude []string, cutoff time.Duration) *upstreamState {
	var usable [maxCandidates]*upstreamState
	n := 0
	for _, c := range list {
		if c.tier == tier && t.isUsable(now, c, exclude, cutoff) {
			usable[n] = c
			n++
		}
	}
	if n == 0 {
		return nil
	}
	first := t.rand.IntN(n)
	if n == 1 {
		return usable[first]
	}
	second := t.rand.IntN(n - 1)
	if second >= first {
		second++
	}
	if usable[second].score(now) < usable[first].score(now) {
		return usable[second]
	}
	return usable[first]
}

func (t *Table) isUsable(now time.Duration, c *upstreamState, exclude []string, cutoff time.Duration) bool {
	if now < c.leavingUntil || slices.Contains(exclude, c.name) {
		return false
	}
	if now < c.ejectedUntil {
		return c.ejectedUntil <= cutoff
	}
	return c.acceptsDuringRamp(now, t.cfg.ReadmissionRamp, t.rand)
}

// firstUsable returns the first candidate that is not excluded, leaving or ejected, or nil. It ignores the readmission
// ramp, because a call must not be refused while such a candidate exists.
func firstUsable(now time.Duration, list []*upstreamState, exclude []string, cutoff time.Duration) *upstreamState {
	for _, c := range list {
		ejected := now < c.ejectedUntil && c.ejectedUntil > cutoff
		if now >= c.leavingUntil && !ejected && !slices.Contains(exclude, c.name) {
			return c
		}
	}
	return nil
}
