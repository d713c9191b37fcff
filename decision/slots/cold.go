package slots

import "time"

const (
	// overshootShare is the share of the tolerated overshoot of a cold upstream's rate that is used. The rest is left
	// for requests that are delayed on their way and arrive together.
	overshootShare = 0.6
	// slackShare is the share of the tolerated burst that is used. The rest is left for a node that restarts: the new
	// process does not know which requests the old one started, and starts a burst of its own.
	slackShare = 0.5
)

// ColdRate is the rate at which requests are started at a cold upstream: PerSecond evenly spaced requests a second, and
// up to Burst requests at once after a time without starts.
type ColdRate struct {
	PerSecond float64
	Burst     float64
}

// NewColdRate returns the rate for an upstream that can handle perSecond requests a second while it is cold, if at most
// perSecond x over + slack requests may start in any second.
func NewColdRate(perSecond, over, slack float64) ColdRate {
	return ColdRate{PerSecond: perSecond * (1 + overshootShare*max(0, over-1)), Burst: max(1, slackShare*slack)}
}

// reservedShare is the share of the tolerated starts in any second that FullColdRate leaves unused, for requests that are
// delayed on their way and arrive together.
const reservedShare = 0.05

// fullRateBurst is the number of starts that FullColdRate allows at once. It counts twice, for the old and the new process of
// a node that restarts.
const fullRateBurst = 2

// FullColdRate returns the highest rate that keeps the bound of NewColdRate in any second. Almost all starts are evenly
// spaced, so that a node that restarts, and does not know the starts of the old process, keeps the bound as well.
func FullColdRate(perSecond, over, slack float64) ColdRate {
	rate := NewColdRate(perSecond, over, slack)
	tolerated := (1 - reservedShare) * (perSecond*over + slack)
	burst := max(1, min(rate.Burst, fullRateBurst))
	if full := tolerated - 2*burst; perSecond > 0 && full > rate.PerSecond {
		return ColdRate{PerSecond: full, Burst: burst}
	}
	return rate
}

// interval returns the time between two evenly spaced requests; 0 means that there is no limit.
func (r ColdRate) interval() time.Duration {
	if r.PerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.PerSecond)
}

// pacer spaces the starts of requests at a cold upstream evenly. With a fixed number of starts for each second, the
// first requests of a second could use all of them, and nested requests that arrive later in the second cannot wait for
// the next one.
//
// An upstream may have been cold for some time before that is noticed, so the starts of the last second before the notice
// count too: no more than the rate and the burst start in any second.
type pacer struct {
	rate ColdRate
	// nextStart is when the next of the evenly spaced requests starts.
	nextStart time.Duration
	// starts holds the times of at least all starts of the last rateWindow, in ascending order.
	starts []time.Duration
}

// rateWindow is the time in which the starts of requests at a cold upstream are counted.
const rateWindow = time.Second

// untilNextStart returns the time until another request may start at the cold upstream, or 0.
func (p *pacer) untilNextStart(now time.Duration) time.Duration {
	ahead := time.Duration((p.rate.Burst - 1) * float64(p.rate.interval()))
	wait := max(0, p.nextStart-ahead-now)
	if limit := int(p.rate.PerSecond + p.rate.Burst); p.rate.PerSecond > 0 && limit > 0 && len(p.starts) >= limit {
		wait = max(wait, p.starts[len(p.starts)-limit]+rateWindow-now)
	}
	return wait
}

// recordStart records that a request starts. Only the starts at a cold upstream are spaced.
func (p *pacer) recordStart(now time.Duration, cold bool) {
	if len(p.starts) == cap(p.starts) {
		old := 0
		for old < len(p.starts) && p.starts[old] <= now-rateWindow {
			old++
		}
		p.starts = append(p.starts[:0], p.starts[old:]...)
	}
	p.starts = append(p.starts, now)
	if cold {
		p.nextStart = max(now, p.nextStart) + p.rate.interval()
	}
}
