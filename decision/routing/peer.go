package routing

import (
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// leavingExclusion is how long an upstream gets no calls after its controller last reported that it is leaving. An
// upstream that is leaving must get no new calls, and one that has returned to service is tried again after this time.
const leavingExclusion = 2 * time.Second

// upstreamState is what this node knows about one upstream.
type upstreamState struct {
	name       string
	dataCentre string
	tier       int
	// limitUse is the share of the limit that is in use, limit the concurrency limit to which it refers. The upstream's
	// controller reports both.
	limitUse float64
	limit    int
	cold     bool
	// ejections is the number of consecutive ejections.
	ejections int
	// outstanding is the number of attempts of this node whose outcome is not yet known.
	outstanding  int
	leavingUntil time.Duration
	ejectedUntil time.Duration
	// readmittedAt is when the last ejection ends or ended; zero if there was none.
	readmittedAt time.Duration
}

// eject ejects the upstream after a failure. Further failures during the ejection are ignored: many attempts can fail
// for one cause at the same time, and counting each would lead to the longest ejection at once.
func (u *upstreamState) eject(now time.Duration, cfg Config) {
	if now < u.ejectedUntil {
		return
	}
	length := cfg.MaxEjection
	if u.ejections < 16 {
		length = min(cfg.MaxEjection, cfg.InitialEjection<<u.ejections)
	}
	u.ejections++
	u.ejectedUntil = now + length
	u.readmittedAt = u.ejectedUntil
}

func (u *upstreamState) recordResponse(now time.Duration, o AttemptOutcome) {
	if now >= u.ejectedUntil {
		u.ejections = 0
	}
	if o.Limit > 0 {
		u.limit = o.Limit
		u.limitUse = float64(o.InFlight) / float64(o.Limit)
	}
	if o.Kind == Overloaded {
		u.limitUse = max(u.limitUse, 1)
	}
	u.cold = o.State == wire.StateCold || o.State == wire.StateStarting
	if o.Kind == Leaving || o.State == wire.StateLeaving {
		u.leavingUntil = now + leavingExclusion
	}
}

// coldPenalty is added to the score of a cold upstream, so that other candidates are preferred until their load is
// higher by half a limit. The cold upstream still gets the calls that it needs to warm up.
const coldPenalty = 0.5

// ejectedPenalty is added to the score of an ejected upstream that is used all the same, so that it is the last choice
// in its data centre.
const ejectedPenalty = 1

// score returns the load by which candidates are compared; lower is better. This node's outstanding attempts are added
// to the reported load. Without them, all nodes would choose the same upstream for as long as its last report shows a
// low load.
func (u *upstreamState) score(now time.Duration) float64 {
	limit := u.limit
	if limit == 0 {
		limit = 4 // assumed until the upstream's controller reports its limit
	}
	score := u.limitUse + float64(u.outstanding)/float64(limit)
	if u.cold {
		score += coldPenalty
	}
	if now < u.ejectedUntil {
		score += ejectedPenalty
	}
	return score
}

// acceptsDuringRamp decides at random whether an upstream that was ejected may get this call. Its share of calls grows
// from a tenth to all of them within the ramp time.
func (u *upstreamState) acceptsDuringRamp(now, ramp time.Duration, source *rand.Rand) bool {
	if u.readmittedAt == 0 || now >= u.readmittedAt+ramp {
		return true
	}
	return source.Float64() < max(0.1, float64(now-u.readmittedAt)/float64(ramp))
}
