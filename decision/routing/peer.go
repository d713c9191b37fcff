package routing

import (
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// leavingTime is how long a controller's own "leaving" keeps it out; each further one extends it. A leaving
// upstream must get nothing new, and one that returned is tried again after this time.
const leavingTime = 2 * time.Second

// peer is what this node knows of one upstream.
type peer struct {
	name       string
	dataCentre string
	tier       int
	// load is the reported share of the limit in use; reported is the limit it refers to.
	load     float64
	limit    int
	cold     bool
	failures int
	// outstanding counts attempts of this node without evidence yet.
	outstanding  int
	leavingUntil time.Duration
	ejectedUntil time.Duration
	// returned is when the last ejection ended; zero when there was none.
	returned time.Duration
}

// fail ejects the peer. Attempts that were outstanding when it was ejected fail as well and do not count
// again, or one failure of many calls at once would reach the longest ejection.
func (p *peer) fail(now time.Duration, cfg Config) {
	if now < p.ejectedUntil {
		return
	}
	length := cfg.MaxEjection
	if p.failures < 16 {
		length = min(cfg.MaxEjection, cfg.InitialEjection<<p.failures)
	}
	p.failures++
	p.ejectedUntil = now + length
	p.returned = p.ejectedUntil
}

func (p *peer) succeed(now time.Duration, e AttemptOutcome) {
	if now >= p.ejectedUntil {
		p.failures = 0
	}
	if e.Limit > 0 {
		p.limit = e.Limit
		p.load = float64(e.InFlight) / float64(e.Limit)
	}
	if e.Kind == Overloaded {
		p.load = max(p.load, 1)
	}
	p.cold = e.State == wire.StateCold || e.State == wire.StateStarting
	if e.Kind == Leaving || e.State == wire.StateLeaving {
		p.leavingUntil = now + leavingTime
	}
}

// coldPenalty is added to the load of a cold upstream: half of its limit stays free for the node's other
// candidates to be preferred, without starving it of the calls that warm it.
const coldPenalty = 0.5

// readmittedPenalty makes a candidate that is used although it failed the last choice of its data centre.
const readmittedPenalty = 1

// score orders candidates; lower is better. Own attempts without a response yet count on top of the reported
// load, because otherwise all nodes follow one old report.
func (p *peer) score(now time.Duration) float64 {
	limit := p.limit
	if limit == 0 {
		limit = 4
	}
	s := p.load + float64(p.outstanding)/float64(limit)
	if p.cold {
		s += coldPenalty
	}
	if now < p.ejectedUntil {
		s += readmittedPenalty
	}
	return s
}

// admits reports whether a peer that comes back takes this call. Its share grows from a tenth to the whole
// within the return time.
func (p *peer) admits(now, ramp time.Duration, source *rand.Rand) bool {
	if p.returned == 0 || now >= p.returned+ramp {
		return true
	}
	return source.Float64() < max(0.1, float64(now-p.returned)/float64(ramp))
}
