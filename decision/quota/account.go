package quota

import (
	"math"
	"time"
)

const (
	// demandMemory is the time constant of the moving average of a team's calls at a node.
	demandMemory = 3 * time.Second
	// minHorizon and maxHorizon bound the time whose demand a node borrows ahead. It grows while holders
	// grant all that is asked, and falls when they do not: messages are saved while tokens are plenty, and
	// tokens are not kept in stock while they are scarce.
	minHorizon  = 250 * time.Millisecond
	maxHorizon  = 3 * time.Second
	horizonStep = 250 * time.Millisecond
	// emptyInRow is the number of holders in a row that had nothing before the team's calls are refused without
	// asking for a while. It bounds the messages that a team far above its rate can cause.
	emptyInRow = 6
)

// account is what the node holds and needs of one team's allowance.
type account struct {
	leases []borrowed
	// preference lists the team's holders in the order in which this node asks them.
	preference []string
	// demand is the moving average of the calls in a second.
	demand  float64
	counted time.Duration
	// waiting is the number of calls that found no token since the last grant.
	waiting int
	// horizon is the time whose demand is borrowed ahead.
	horizon time.Duration
	// empty counts grants of nothing in a row; before quietUntil no holder is asked for this team.
	empty      int
	backoff    time.Duration
	quietUntil time.Duration
}

type borrowed struct {
	id       uint64
	holder   string
	tokens   int
	used     int
	returnAt time.Duration
	expires  time.Duration
}

func (a *account) spend(now time.Duration) bool {
	for i := range a.leases {
		l := &a.leases[i]
		if l.used < l.tokens && now < l.expires {
			l.used++
			return true
		}
	}
	return false
}

// count adds a call to the moving average.
func (a *account) count(now time.Duration) {
	a.decay(now)
	a.demand += 1 / demandMemory.Seconds()
}

func (a *account) decay(now time.Duration) {
	elapsed := (now - a.counted).Seconds()
	a.demand *= math.Exp(-elapsed / demandMemory.Seconds())
	a.counted = now
}

func (a *account) atHand(now time.Duration) int {
	n := 0
	for _, l := range a.leases {
		if now < l.expires {
			n += l.tokens - l.used
		}
	}
	return n
}

// shortfall is the number of tokens to ask for: what waits, and the demand of the next window. A node with a
// call now and then borrows for that call only: tokens in stock at many idle nodes would be missing where the
// team calls.
func (a *account) shortfall(now time.Duration) int {
	return a.waiting + a.ahead(now) - a.atHand(now)
}

// needsMore reports whether calls wait or less than a quarter of the target is at hand.
func (a *account) needsMore(now time.Duration, shortfall int) bool {
	return shortfall > 0 && (a.waiting > 0 || 3*a.atHand(now) < shortfall)
}

// lifeMS is how long the next lease is needed: twice the horizon, or the time to carry the tokens of calls that
// wait.
func (a *account) lifeMS(now time.Duration) int64 {
	life := requestTimeout
	if a.ahead(now) > 0 {
		life += 2 * a.horizon
	}
	return min(life, MaxLeaseDuration).Milliseconds()
}

// ahead is the number of tokens to keep in stock for calls to come.
func (a *account) ahead(now time.Duration) int {
	a.decay(now)
	return int(a.demand * a.horizon.Seconds())
}

// adapt sets how far ahead the node borrows, and for how long it stops asking, from how much was granted.
func (a *account) adapt(now time.Duration, granted, asked int) {
	if granted >= asked {
		a.horizon = min(a.horizon+horizonStep, maxHorizon)
		a.empty, a.backoff = 0, minBackoff
		return
	}
	a.horizon = max(a.horizon/2, minHorizon)
	if granted > 0 {
		a.empty, a.backoff = 0, minBackoff
		return
	}
	a.empty++
	if a.empty%min(emptyInRow, len(a.preference)) == 0 {
		a.quietUntil = now + a.backoff
		a.backoff = min(2*a.backoff, maxBackoff)
	}
}
