// Package allowance keeps each team within its rate and burst, counted over all nodes. One node holds the bucket of a
// team, chosen by hash from the list of VMs; the others borrow tokens from it for a short time. A holder that starts
// or takes over begins with an empty bucket, so restarts and moves never admit more than the rate and one burst.
package allowance

import (
	"math"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// LeaseDuration is how long borrowed tokens may be used. With it, any window of 5 s sees at most 6 s of the rate.
	LeaseDuration = time.Second
	// maxLease bounds the tokens of one lease.
	maxLease = 6
	// aheadTime is the demand for which tokens are borrowed in advance.
	aheadTime = 500 * time.Millisecond
	// demandWeight is the weight of a new sample in the demand of a team.
	demandWeight = 0.2
	// separateShare is the part of the equal share of a rate that a node uses while it does not reach the holder. The
	// holder grants the whole rate to the nodes that reach it, even if it is alone on its side of a partition, so
	// the others together have to stay within the tolerance of the limit, which is a quarter.
	separateShare = 0.2
	// isolatedShare is the same for a node that has lost the store too. It is then cut off itself, with at most half of
	// the nodes, or the store is away from all and the holder that it does not reach serves few others.
	isolatedShare = 0.55
	// substituteTime is how long a substitute keeps a bucket without being asked.
	substituteTime = 2 * time.Second
	// limitedTime is how long a team counts as over its limit after its holder had no tokens. It is the window of the
	// limits.
	limitedTime = 5 * time.Second
	// grantWindow is the span over which a node counts the tokens that it gets.
	grantWindow = time.Second
	// minRetry is the shortest time after which an empty bucket is asked again.
	minRetry = 50 * time.Millisecond
)

// Limit is a team's allowance: Rate in requests a second, Burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// RankedHolders returns the VMs in the order in which they hold the bucket of a team: by descending rendezvous hash, so that
// a VM that leaves moves only its own teams.
func RankedHolders(team string, vms []string) []string {
	ranked := make([]holder, 0, len(vms))
	for _, vm := range vms {
		ranked = append(ranked, holder{vm, xxhash.Sum64String(vm + "/" + team)})
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].hash > ranked[j].hash })
	names := make([]string, 0, len(vms))
	for _, h := range ranked {
		names = append(names, h.vm)
	}
	return names
}

// Holder returns the first of Holders, or an empty text without VMs.
func Holder(team string, vms []string) string {
	best, highest := "", uint64(0)
	for _, vm := range vms {
		if h := xxhash.Sum64String(vm + "/" + team); best == "" || h > highest {
			best, highest = vm, h
		}
	}
	return best
}

type holder struct {
	vm   string
	hash uint64
}

// Buckets are the buckets that a node holds. It is not safe for concurrent use.
type Buckets struct {
	buckets map[string]*bucket
	// held are the teams that this node holds; it is a substitute for the others.
	held map[string]bool
}

type bucket struct {
	tokens  float64
	updated time.Duration
}

// NewBuckets returns a node without buckets.
func NewBuckets() *Buckets { return &Buckets{buckets: map[string]*bucket{}, held: map[string]bool{}} }

// SetHeldTeams takes the list of teams that this node holds from now on. A team that is new starts with an empty bucket, so
// that moves never give a second burst.
func (b *Buckets) SetHeldTeams(now time.Duration, teams []string) {
	held := make(map[string]bool, len(teams))
	for _, team := range teams {
		held[team] = true
		if !b.held[team] {
			b.buckets[team] = &bucket{updated: now}
		}
	}
	b.held = held
}

// Lease takes up to want tokens of a team. With none granted, retry is the time until there may be one.
func (b *Buckets) Lease(now time.Duration, team string, l Limit, want int) (granted int, retry time.Duration) {
	k := b.buckets[team]
	if k == nil || (!b.held[team] && now-k.updated > substituteTime) {
		k = &bucket{updated: now}
		b.buckets[team] = k
	}
	k.tokens = min(max(l.Burst, 1), k.tokens+l.Rate*(now-k.updated).Seconds())
	k.updated = now
	granted = max(0, min(want, int(k.tokens)))
	k.tokens -= float64(granted)
	if granted > 0 || l.Rate <= 0 {
		return granted, 0
	}
	return 0, max(minRetry, time.Duration((1-k.tokens)/l.Rate*float64(time.Second)))
}

// Borrower holds the borrowed tokens of one team at one node. It is not safe for concurrent use.
type Borrower struct {
	tokens  int
	expires time.Duration
	// emptyUntil is when the holder is asked again after it had no tokens.
	emptyUntil time.Duration
	// limited is when the holder last had no tokens.
	limited time.Duration
	// granted is the number of tokens of about the last second, up to grantedAt.
	granted   float64
	grantedAt time.Duration
	// demand is the moving average of the requests a second.
	demand  float64
	arrived time.Duration
	// separate is the bucket that is used while the holder is not reached.
	separate bucket
}

// CountRequest counts a request of the team.
func (b *Borrower) CountRequest(now time.Duration) {
	if gap := (now - b.arrived).Seconds(); b.arrived > 0 {
		b.demand += demandWeight * (1/max(gap, 0.001) - b.demand) * min(1, gap*4+0.05)
	}
	b.arrived = now
}

// TakeToken uses a borrowed token and reports whether there was one.
func (b *Borrower) TakeToken(now time.Duration) bool {
	if b.tokens == 0 || now >= b.expires {
		b.tokens = 0
		return false
	}
	b.tokens--
	return true
}

// TokensToBorrow returns how many tokens to borrow for a number of waiting requests, or 0 while the holder is known to be
// empty.
func (b *Borrower) TokensToBorrow(now time.Duration, waiting int) int {
	if now < b.emptyUntil {
		return 0
	}
	ahead := int(min(b.demand, maxLease/aheadTime.Seconds()) * aheadTime.Seconds())
	return max(1, waiting, min(waiting+ahead, maxLease))
}

// HolderEmptyFor returns how long the holder is known to be empty.
func (b *Borrower) HolderEmptyFor(now time.Duration) time.Duration { return max(0, b.emptyUntil-now) }

// RecentlyLimited reports whether the team was over its limit within the last seconds, so that it may still be.
func (b *Borrower) RecentlyLimited(now time.Duration) bool {
	return b.limited > 0 && now-b.limited < limitedTime
}

// Exhausted reports whether a request that waits behind others for at most a time is not going to get a token: the team is
// over its limit, and the tokens that this node gets go to those ahead.
func (b *Borrower) Exhausted(now time.Duration, ahead int, wait time.Duration) bool {
	if b.limited == 0 || now-b.limited > grantWindow {
		return false
	}
	return float64(ahead) >= b.recent(now)*wait.Seconds()/grantWindow.Seconds()+1
}

// recent returns the number of tokens granted within about grantWindow.
func (b *Borrower) recent(now time.Duration) float64 {
	return b.granted * math.Exp(-float64(now-b.grantedAt)/float64(grantWindow))
}

// HandleLeaseAnswer takes the answer to a question that was asked at a time. A substitute without tokens does not show that the
// team is over its limit.
func (b *Borrower) HandleLeaseAnswer(asked time.Duration, granted int, retry time.Duration, substitute bool) {
	if granted == 0 {
		b.emptyUntil = asked + retry
		if !substitute {
			b.limited = asked
		}
		return
	}
	b.tokens += granted
	b.expires = asked + LeaseDuration
	b.granted, b.grantedAt = b.recent(asked)+float64(granted), asked
}

// TakeFromLocalShare uses the node's own share while the holder is not reached; isolated says that the node has lost the
// store as well.
func (b *Borrower) TakeFromLocalShare(now time.Duration, l Limit, nodes int, isolated bool) bool {
	part := separateShare
	if isolated {
		part = isolatedShare
	}
	share := l.Rate * part / float64(max(1, nodes))
	s := &b.separate
	if s.updated == 0 || now-s.updated > LeaseDuration {
		*s = bucket{updated: now, tokens: min(1, share)}
	}
	s.tokens = min(max(1, share), s.tokens+share*(now-s.updated).Seconds())
	s.updated = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
