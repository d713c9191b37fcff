package quota

import (
	"math"
	"time"
)

const (
	// demandTimeConstant is the time constant of the exponential moving average of a team's call rate at a node.
	demandTimeConstant = 3 * time.Second
	// minHorizon and maxHorizon bound the period whose expected calls a node borrows tokens for in advance. The period
	// grows by horizonStep with each grant of all tokens requested and is halved by a smaller grant: this saves
	// messages while tokens are plentiful, and keeps nodes from storing unused tokens while tokens are scarce.
	minHorizon  = 250 * time.Millisecond
	maxHorizon  = 3 * time.Second
	horizonStep = 250 * time.Millisecond
	// emptyGrantsBeforeBackoff is the number of consecutive grants of no tokens after which the node sends no
	// requests for the team during a backoff; for a team with fewer holders it is their number. It bounds the messages
	// that a team far above its rate can cause.
	emptyGrantsBeforeBackoff = 6
)

// teamState holds a node's leases of one team's tokens and its estimate of the tokens that it needs.
type teamState struct {
	leases []borrowedLease
	// holderOrder lists the team's holders in the order in which this node asks them.
	holderOrder []string
	// demand is the moving average of the team's calls per second, as of demandUpdatedAt.
	demand          float64
	demandUpdatedAt time.Duration
	// waitingCalls is the number of calls that found no token and still wait for one.
	waitingCalls int
	// horizon is the period whose expected calls tokens are borrowed for in advance.
	horizon time.Duration
	// emptyGrants counts consecutive grants of no tokens. Until noRequestsUntil no holder is asked for this team's
	// tokens; backoff is the length of the next such period.
	emptyGrants     int
	backoff         time.Duration
	noRequestsUntil time.Duration
}

// borrowedLease is a lease that a holder granted to this node.
type borrowedLease struct {
	id        uint64
	holder    string
	tokens    int
	used      int
	returnAt  time.Duration
	expiresAt time.Duration
}

// spendToken spends a token of the oldest usable lease and reports whether there was one.
func (t *teamState) spendToken(now time.Duration) bool {
	for i := range t.leases {
		l := &t.leases[i]
		if l.used < l.tokens && now < l.expiresAt {
			l.used++
			return true
		}
	}
	return false
}

// countCall adds a call to the moving average.
func (t *teamState) countCall(now time.Duration) {
	t.decayDemand(now)
	t.demand += 1 / demandTimeConstant.Seconds()
}

func (t *teamState) decayDemand(now time.Duration) {
	elapsed := (now - t.demandUpdatedAt).Seconds()
	t.demand *= math.Exp(-elapsed / demandTimeConstant.Seconds())
	t.demandUpdatedAt = now
}

func (t *teamState) unspentTokens(now time.Duration) int {
	n := 0
	for _, l := range t.leases {
		if now < l.expiresAt {
			n += l.tokens - l.used
		}
	}
	return n
}

// shortfall returns the number of tokens to request: those for the waiting calls and for the calls expected within
// the horizon, less the unspent ones. A node with occasional calls stocks no tokens: tokens stored at many idle nodes
// would be missing at the nodes that the team calls.
func (t *teamState) shortfall(now time.Duration) int {
	return t.waitingCalls + t.tokensToStock(now) - t.unspentTokens(now)
}

// needsRequest reports whether tokens must be requested now: calls wait, or less than a quarter of the tokens wanted
// is left.
func (t *teamState) needsRequest(now time.Duration, shortfall int) bool {
	return shortfall > 0 && (t.waitingCalls > 0 || 3*t.unspentTokens(now) < shortfall)
}

// leaseDurationMS returns the duration of the next lease in milliseconds: requestTimeout, and twice the horizon on top
// if tokens are stocked for expected calls.
func (t *teamState) leaseDurationMS(now time.Duration) int64 {
	duration := requestTimeout
	if t.tokensToStock(now) > 0 {
		duration += 2 * t.horizon
	}
	return min(duration, MaxLeaseDuration).Milliseconds()
}

// tokensToStock returns the number of calls expected within the horizon.
func (t *teamState) tokensToStock(now time.Duration) int {
	t.decayDemand(now)
	return int(t.demand * t.horizon.Seconds())
}

// adjustToGrant updates the horizon and the backoff after a request for asked tokens was answered with granted ones.
func (t *teamState) adjustToGrant(now time.Duration, granted, asked int) {
	if granted >= asked {
		t.horizon = min(t.horizon+horizonStep, maxHorizon)
		t.emptyGrants, t.backoff = 0, minBackoff
		return
	}
	t.horizon = max(t.horizon/2, minHorizon)
	if granted > 0 {
		t.emptyGrants, t.backoff = 0, minBackoff
		return
	}
	// A team has no holders while none of its data centres is in service. This grant then comes from a holder of the
	// previous configuration and says nothing about the next ones, so it does not count.
	if len(t.holderOrder) == 0 {
		return
	}
	t.emptyGrants++
	if t.emptyGrants%min(emptyGrantsBeforeBackoff, len(t.holderOrder)) == 0 {
		t.noRequestsUntil = now + t.backoff
		t.backoff = min(2*t.backoff, maxBackoff)
	}
}
