package simulation

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// tokenBucket is a plain token bucket, used by the baselines and to judge every strategy.
type tokenBucket struct {
	rate, burst, level float64
	updated            time.Duration
}

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, level: burst}
}

// take spends a token if there is one.
func (b *tokenBucket) take(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.updated).Seconds())
	b.updated = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// equalShare gives each node the same part of the rate and burst. It sends no messages.
type equalShare struct {
	w       *world
	buckets [][]*tokenBucket
}

func newEqualShare(w *world) *equalShare {
	s := &equalShare{w: w, buckets: make([][]*tokenBucket, w.cfg.Nodes)}
	for n := range s.buckets {
		s.restart(n)
	}
	return s
}

func (s *equalShare) restart(node int) {
	share := float64(s.w.cfg.Nodes)
	s.buckets[node] = nil
	for _, t := range s.w.cfg.Teams {
		b := newTokenBucket(t.RatePerSecond/share, float64(t.Burst)/share)
		s.buckets[node] = append(s.buckets[node], b)
	}
}

func (s *equalShare) wake(int) {}

func (s *equalShare) adopt(int) {}

func (s *equalShare) call(c *call) {
	s.w.finish(c, s.buckets[c.node][c.team].take(s.w.now))
}

// singleOwner asks, for each call, the one owner of the team that the node's view of the live list names.
type singleOwner struct {
	w       *world
	buckets []map[int]*tokenBucket
}

func newSingleOwner(w *world) *singleOwner {
	s := &singleOwner{w: w, buckets: make([]map[int]*tokenBucket, w.cfg.Nodes)}
	for n := range s.buckets {
		s.restart(n)
	}
	return s
}

func (s *singleOwner) restart(node int) { s.buckets[node] = map[int]*tokenBucket{} }

func (s *singleOwner) wake(int) {}

func (s *singleOwner) adopt(int) {}

func (s *singleOwner) owner(viewer, team int) int {
	best, top := -1, uint64(0)
	for n := range s.w.cfg.Nodes {
		if s.w.isHidden(viewer, n) {
			continue
		}
		v := xxhash.Sum64String(strconv.Itoa(team) + "/" + strconv.Itoa(n))
		if best < 0 || v > top {
			best, top = n, v
		}
	}
	return best
}

func (s *singleOwner) call(c *call) {
	owner := s.owner(c.node, c.team)
	const askBytes = 40
	s.w.send(c.node, owner, askBytes, func() {
		b := s.buckets[owner][c.team]
		if b == nil {
			t := s.w.cfg.Teams[c.team]
			b = newTokenBucket(t.RatePerSecond, float64(t.Burst))
			b.updated = s.w.now
			s.buckets[owner][c.team] = b
		}
		granted := b.take(s.w.now)
		s.w.send(owner, c.node, askBytes, func() { s.w.finish(c, granted) })
	})
}
