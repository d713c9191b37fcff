package simulation

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tokenBucket is a plain token bucket. EqualShare and SingleOwner use it, and simulator uses it to decide which
// calls are within the limit.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Duration
}

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// take spends a token and reports whether there was one.
func (b *tokenBucket) take(now time.Duration) bool {
	b.tokens = min(b.burst, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// equalShare implements EqualShare: each node has its own bucket for each team and sends no messages.
type equalShare struct {
	sim     *simulator
	buckets [][]*tokenBucket
}

func newEqualShare(sim *simulator) *equalShare {
	s := &equalShare{sim: sim, buckets: make([][]*tokenBucket, sim.cfg.Nodes)}
	for n := range s.buckets {
		s.restartNode(n)
	}
	return s
}

func (s *equalShare) restartNode(node int) {
	share := float64(s.sim.cfg.Nodes)
	s.buckets[node] = nil
	for _, t := range s.sim.cfg.Teams {
		b := newTokenBucket(t.RatePerSecond/share, float64(t.Burst)/share)
		s.buckets[node] = append(s.buckets[node], b)
	}
}

func (s *equalShare) resumeNode(int) {}

func (s *equalShare) adoptConfig(int) {}

func (s *equalShare) handleCall(c *call) {
	s.sim.recordDecision(c, s.buckets[c.node][c.team].take(s.sim.now))
}

// singleOwner implements SingleOwner: each call asks the team's bucket at the node that owns the team according to the
// live list of the entry node. Nodes with different lists may ask different owners.
type singleOwner struct {
	sim     *simulator
	buckets []map[int]*tokenBucket
}

func newSingleOwner(sim *simulator) *singleOwner {
	s := &singleOwner{sim: sim, buckets: make([]map[int]*tokenBucket, sim.cfg.Nodes)}
	for n := range s.buckets {
		s.restartNode(n)
	}
	return s
}

func (s *singleOwner) restartNode(node int) { s.buckets[node] = map[int]*tokenBucket{} }

func (s *singleOwner) resumeNode(int) {}

func (s *singleOwner) adoptConfig(int) {}

// owner returns the node with the highest rendezvous hash for the team in the viewer's live list.
func (s *singleOwner) owner(viewer, team int) int {
	best, highest := -1, uint64(0)
	for n := range s.sim.cfg.Nodes {
		if s.sim.isHiddenFrom(viewer, n) {
			continue
		}
		v := xxhash.Sum64String(strconv.Itoa(team) + "/" + strconv.Itoa(n))
		if best < 0 || v > highest {
			best, highest = n, v
		}
	}
	return best
}

func (s *singleOwner) handleCall(c *call) {
	owner := s.owner(c.node, c.team)
	const messageBytes = 40 + messageOverheadBytes
	s.sim.send(c.node, owner, messageBytes, func() {
		b := s.buckets[owner][c.team]
		if b == nil {
			t := s.sim.cfg.Teams[c.team]
			b = newTokenBucket(t.RatePerSecond, float64(t.Burst))
			b.updatedAt = s.sim.now
			s.buckets[owner][c.team] = b
		}
		granted := b.take(s.sim.now)
		s.sim.send(owner, c.node, messageBytes, func() { s.sim.recordDecision(c, granted) })
	})
}
