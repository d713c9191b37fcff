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

// Tiers of candidates, in the order of preference.
const (
	ownDataCentre = iota
	ownRegion
	otherRegion
	tiers
)

// outsideCandidates is the number of places kept for other data centres, so that a node still has somewhere to
// go when its own data centre fails.
const outsideCandidates = 3

// candidates returns the node's candidates for a service, own data centre first, in rendezvous order. They are
// computed once per view.
func (t *Table) candidates(view *View, service string) []*peer {
	if t.view != view {
		t.view = view
		t.lists = map[string][]*peer{}
		t.forget()
	}
	list, known := t.lists[service]
	if !known {
		list = t.rank(view, service)
		t.lists[service] = list
	}
	return list
}

func (t *Table) rank(view *View, service string) []*peer {
	ranked := make([]rankedPeer, 0, 16)
	for _, u := range view.Set.UpstreamsOf(service) {
		if !view.Set.InService(u) || view.Members[u.Name].State == platform.MemberLeaving {
			continue
		}
		p := t.peer(u.Name)
		p.dataCentre = u.DataCentre
		p.tier = t.tier(view.Set, u.DataCentre)
		ranked = append(ranked, rankedPeer{peer: p, hash: rendezvous(t.cfg.Node, u.Name)})
	}
	slices.SortFunc(ranked, func(a, b rankedPeer) int {
		return cmp.Or(cmp.Compare(a.peer.tier, b.peer.tier), cmp.Compare(b.hash, a.hash), cmp.Compare(a.peer.name, b.peer.name))
	})
	return cut(ranked)
}

type rankedPeer struct {
	peer *peer
	hash uint64
}

// cut keeps the first candidates of the own data centre and the first of the others.
func cut(ranked []rankedPeer) []*peer {
	own := 0
	for own < len(ranked) && ranked[own].peer.tier == ownDataCentre {
		own++
	}
	outside := min(outsideCandidates, len(ranked)-own)
	keepOwn := min(own, maxCandidates-outside)
	outside = min(len(ranked)-own, maxCandidates-keepOwn)
	list := make([]*peer, 0, keepOwn+outside)
	for _, r := range ranked[:keepOwn] {
		list = append(list, r.peer)
	}
	for _, r := range ranked[own : own+outside] {
		list = append(list, r.peer)
	}
	return list
}

func (t *Table) tier(set *config.Set, dataCentre string) int {
	own, other := set.DataCentre(t.cfg.DataCentre), set.DataCentre(dataCentre)
	switch {
	case dataCentre == t.cfg.DataCentre:
		return ownDataCentre
	case own != nil && other != nil && own.Region == other.Region:
		return ownRegion
	}
	return otherRegion
}

func rendezvous(node, upstream string) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], xxhash.Sum64String(node))
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(upstream))
	return xxhash.Sum64(pair[:])
}

// forget drops the evidence of upstreams that the set no longer declares.
func (t *Table) forget() {
	for name, p := range t.peers {
		if t.view.Set.Upstream(name) == nil && p.outstanding == 0 {
			delete(t.peers, name)
		}
	}
}

// choose goes through the tiers in order.
func (t *Table) choose(now time.Duration, list []*peer, exclude []string) *peer {
	readmitted := readmit(now, list)
	var fallback *peer
	for tier := range tiers {
		best := t.bestOfTwo(now, list, tier, exclude, readmitted)
		if best == nil {
			continue
		}
		if best.score(now) < 1 {
			return best
		}
		// A full tier spills over to the next one only where there is room.
		if fallback == nil {
			fallback = best
		}
	}
	if fallback == nil {
		return anyLeft(now, list, exclude, readmitted)
	}
	return fallback
}

// readmit returns the end of ejection up to which ejected candidates are used all the same: at most half of the
// candidates are left out, because when more fail the fault is more likely this node's own, and a node that
// ejects all of them serves nobody.
func readmit(now time.Duration, list []*peer) time.Duration {
	var ends [maxCandidates]time.Duration
	n := 0
	for _, p := range list {
		if now < p.ejectedUntil {
			ends[n] = p.ejectedUntil
			n++
		}
	}
	tooMany := n - len(list)/2
	if tooMany <= 0 {
		return 0
	}
	slices.Sort(ends[:n])
	return ends[tooMany-1]
}

// bestOfTwo returns the better of two random usable candidates of a tier, or nil.
func (t *Table) bestOfTwo(now time.Duration, list []*peer, tier int, exclude []string, readmitted time.Duration) *peer {
	var usable [maxCandidates]*peer
	n := 0
	for _, p := range list {
		if p.tier == tier && t.usable(now, p, exclude, readmitted) {
			usable[n] = p
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

func (t *Table) usable(now time.Duration, p *peer, exclude []string, readmitted time.Duration) bool {
	if now < p.leavingUntil || slices.Contains(exclude, p.name) {
		return false
	}
	if now < p.ejectedUntil {
		return p.ejectedUntil <= readmitted
	}
	return p.admits(now, t.cfg.ReadmissionRamp, t.rand)
}

// anyLeft returns the first candidate that is not excluded, leaving or ejected, without regard to its return
// ramp; a call is not refused while such a candidate exists.
func anyLeft(now time.Duration, list []*peer, exclude []string, readmitted time.Duration) *peer {
	for _, p := range list {
		out := now < p.ejectedUntil && p.ejectedUntil > readmitted
		if now >= p.leavingUntil && !out && !slices.Contains(exclude, p.name) {
			return p
		}
	}
	return nil
}
