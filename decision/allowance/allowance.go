// Package allowance limits the requests of each team, over all nodes together, to the team's rate and burst. One node,
// the holder, has the team's token bucket. The other nodes borrow tokens from it for a short time; borrowed tokens are
// called a lease. A holder that starts or takes over a team begins with an empty bucket, so that restarts and changes
// of the holder never admit more than the rate and one burst.
//
// The holder is chosen by rendezvous hashing: for each team the VMs are sorted by a hash of their name and the team's.
// The node on the first VM is the holder. While it does not answer, the node on the next VM is its substitute and
// grants a part of the limit. Nodes get the list of VMs from the platform's store.
//
// Package sidecar uses it. Package node uses package quota instead, which divides the limit of a team among several
// holders that the configuration names.
package allowance

import (
	"math"
	"sort"
	"time"
)

const (
	// LeaseDuration is how long borrowed tokens may be spent. With 1 s, any window of 5 s admits at most the requests
	// of 6 s at the team's rate.
	LeaseDuration = time.Second
	// maxLeaseTokens bounds the tokens of one lease, unless more requests wait for tokens.
	maxLeaseTokens = 6
	// borrowAheadTime is the period whose expected requests tokens are borrowed for in advance.
	borrowAheadTime = 500 * time.Millisecond
	// demandWeight is the weight of a new sample in the moving average of a team's request rate.
	demandWeight = 0.2
	// unreachableHolderShare is the part of its equal share of the rate that a node admits while it does not reach the
	// holder. The holder grants the whole rate to the nodes that reach it, even if it is alone on its side of a
	// partition, so all other nodes together have to stay within the tolerance of the limit, which is a quarter.
	unreachableHolderShare = 0.2
	// isolatedShare is that part for a node that has lost contact with the store too. Either this node is cut off, with
	// at most half of the nodes, or no node reaches the store and the unreachable holder serves only a few others.
	isolatedShare = 0.55
	// substituteTime is how long a substitute keeps a bucket of which no tokens are requested.
	substituteTime = 2 * time.Second
	// maxFillTime bounds the time for which a new bucket counts as filling, also if its burst is many times its rate.
	maxFillTime = 2 * time.Second
	// recentlyLimitedTime is how long a team counts as over its limit after its holder had no tokens. It equals the window
	// over which the limits are checked.
	recentlyLimitedTime = 5 * time.Second
	// grantWindow is the period over which a node counts the tokens granted to it.
	grantWindow = time.Second
	// minRetryDelay is the shortest time after which tokens of an empty bucket are requested again.
	minRetryDelay = 50 * time.Millisecond
)

// Limit is a team's limit: Rate in requests per second, Burst in requests.
type Limit struct {
	Rate  float64
	Burst float64
}

// RankedHolders returns the VMs in the order in which they hold the bucket of a team: the first is the holder, the
// next ones are its substitutes. The order is by descending rendezvous hash, so that the departure of a VM changes
// the holder of its own teams only.
func RankedHolders(team string, vms []string) []string {
	ranked := make([]rankedVM, 0, len(vms))
	for _, vm := range vms {
		ranked = append(ranked, rankVM(team, vm))
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].before(ranked[j]) })
	names := make([]string, 0, len(vms))
	for _, h := range ranked {
		names = append(names, h.vm)
	}
	return names
}

// Holder returns the first VM of RankedHolders, or "" if there are no VMs.
func Holder(team string, vms []string) string {
	best := rankedVM{}
	for _, vm := range vms {
		if candidate := rankVM(team, vm); best.vm == "" || candidate.before(best) {
			best = candidate
		}
	}
	return best.vm
}

// rankedVM is a VM with its rendezvous hash for a team.
type rankedVM struct {
	vm   string
	hash uint64
}

// Buckets holds the buckets of a node, as the holder of some teams and as a substitute for the holders of others. It is
// not safe for concurrent use.
type Buckets struct {
	buckets map[string]*bucket
	// heldTeams are the teams whose holder this node is; it is a substitute for the others.
	heldTeams map[string]bool
}

// bucket is a token bucket with its tokens as of updatedAt.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
	createdAt time.Duration
}

// NewBuckets returns the buckets of a node that holds no team.
func NewBuckets() *Buckets {
	return &Buckets{buckets: map[string]*bucket{}, heldTeams: map[string]bool{}}
}

// SetHeldTeams sets the teams that this node holds from now on. The bucket of a new team is empty, so that a change of
// the holder never gives a second burst.
func (b *Buckets) SetHeldTeams(now time.Duration, teams []string) {
	held := make(map[string]bool, len(teams))
	for _, team := range teams {
		held[team] = true
		if !b.heldTeams[team] {
			b.buckets[team] = &bucket{updatedAt: now, createdAt: now}
		}
	}
	b.heldTeams = held
}

// Filling reports whether the bucket of a team is too new to have been full. That it has no tokens then does not show that
// the team is over its limit.
func (b *Buckets) Filling(now time.Duration, team string, l Limit) bool {
	held := b.buckets[team]
	if held == nil || l.Rate <= 0 {
		return false
	}
	fillTime := time.Duration(l.Burst / l.Rate * float64(time.Second))
	return now-held.createdAt < min(fillTime, maxFillTime)
}

// Lease grants up to want tokens of a team. If it grants none, retry is the time until there may be one.
func (b *Buckets) Lease(now time.Duration, team string, l Limit, want int) (granted int, retry time.Duration) {
	held := b.buckets[team]
	if held == nil || (!b.heldTeams[team] && now-held.updatedAt > substituteTime) {
		held = &bucket{updatedAt: now, createdAt: now}
		b.buckets[team] = held
	}
	held.tokens = min(max(l.Burst, 1), held.tokens+l.Rate*(now-held.updatedAt).Seconds())
	held.updatedAt = now
	granted = max(0, min(want, int(held.tokens)))
	held.tokens -= float64(granted)
	if granted > 0 || l.Rate <= 0 {
		return granted, 0
	}
	return 0, max(minRetryDelay, time.Duration((1-held.tokens)/l.Rate*float64(time.Second)))
}

// Borrower holds the borrowed tokens of one team at one node and decides how many to borrow. Its zero value has no
// tokens. It is not safe for concurrent use.
type Borrower struct {
	tokens    int
	expiresAt time.Duration
	// holderEmptyUntil is the time until which no tokens are requested, because the holder had none.
	holderEmptyUntil time.Duration
	// lastLimitedAt is when the holder last had no tokens, or 0 if it always had some.
	lastLimitedAt time.Duration
	// recentlyGranted is the number of tokens granted within about grantWindow before grantedAt; older grants decay
	// exponentially.
	recentlyGranted float64
	grantedAt       time.Duration
	// demand is the moving average of the requests per second.
	demand        float64
	lastRequestAt time.Duration
	// localBucket is the bucket of the node's own share, which is used while the holder cannot be reached.
	localBucket bucket
}

// CountRequest adds a request of the team to the demand.
func (b *Borrower) CountRequest(now time.Duration) {
	if gap := (now - b.lastRequestAt).Seconds(); b.lastRequestAt > 0 {
		b.demand += demandWeight * (1/max(gap, 0.001) - b.demand) * min(1, gap*4+0.05)
	}
	b.lastRequestAt = now
}

// TakeToken spends a borrowed token and reports whether there was one.
func (b *Borrower) TakeToken(now time.Duration) bool {
	if b.tokens == 0 || now >= b.expiresAt {
		b.tokens = 0
		return false
	}
	b.tokens--
	return true
}

// TokensToBorrow returns the number of tokens to request for the waiting requests and those expected, or 0 while the
// holder is known to have none.
func (b *Borrower) TokensToBorrow(now time.Duration, waiting int) int {
	if now < b.holderEmptyUntil {
		return 0
	}
	ahead := int(min(b.demand, maxLeaseTokens/borrowAheadTime.Seconds()) * borrowAheadTime.Seconds())
	return max(1, waiting, min(waiting+ahead, maxLeaseTokens))
}

// HolderEmptyFor returns how long the holder is known to have no tokens.
func (b *Borrower) HolderEmptyFor(now time.Duration) time.Duration {
	return max(0, b.holderEmptyUntil-now)
}

// RecentlyLimited reports whether the holder had no tokens within recentlyLimitedTime, so that the team may be over its
// limit.
func (b *Borrower) RecentlyLimited(now time.Duration) bool {
	return b.lastLimitedAt > 0 && now-b.lastLimitedAt < recentlyLimitedTime
}

// Exhausted reports whether a request with that many waiting requests ahead of it cannot expect a token within the
// wait: the team is over its limit, and the tokens granted to this node go to the requests ahead.
func (b *Borrower) Exhausted(now time.Duration, ahead int, wait time.Duration) bool {
	if b.lastLimitedAt == 0 || now-b.lastLimitedAt > grantWindow {
		return false
	}
	return float64(ahead) >= b.grantedWithinWindow(now)*wait.Seconds()/grantWindow.Seconds()+1
}

// grantedWithinWindow returns the number of tokens granted within about grantWindow before now.
func (b *Borrower) grantedWithinWindow(now time.Duration) float64 {
	return b.recentlyGranted * math.Exp(-float64(now-b.grantedAt)/float64(grantWindow))
}

// HandleLeaseAnswer takes the answer to a request for tokens that was sent at the time asked. If inconclusive is true, an
// answer without tokens does not show that the team is over its limit: it comes from a substitute, or from a bucket that is
// still filling. A holder whose configuration has no limit for the team, or not
// the team, grants nothing and states no retry time; it is asked again after minRetryDelay.
func (b *Borrower) HandleLeaseAnswer(asked time.Duration, granted int, retry time.Duration, inconclusive bool) {
	if granted == 0 {
		b.holderEmptyUntil = asked + max(retry, minRetryDelay)
		if !inconclusive {
			b.lastLimitedAt = asked
		}
		return
	}
	b.tokens += granted
	b.expiresAt = asked + LeaseDuration
	b.recentlyGranted, b.grantedAt = b.grantedWithinWindow(asked)+float64(granted), asked
}

// TakeFromLocalShare spends a token of the node's own share of the limit and reports whether there was one. It is used
// while the holder cannot be reached; isolated says that the node has lost the store as well.
func (b *Borrower) TakeFromLocalShare(now time.Duration, l Limit, nodes int, isolated bool) bool {
	shareOfLimit := unreachableHolderShare
	if isolated {
		shareOfLimit = isolatedShare
	}
	share := l.Rate * shareOfLimit / float64(max(1, nodes))
	local := &b.localBucket
	if local.updatedAt == 0 || now-local.updatedAt > LeaseDuration {
		*local = bucket{updatedAt: now, tokens: min(1, share)}
	}
	local.tokens = min(max(1, share), local.tokens+share*(now-local.updatedAt).Seconds())
	local.updatedAt = now
	if local.tokens < 1 {
		return false
	}
	local.tokens--
	return true
}
