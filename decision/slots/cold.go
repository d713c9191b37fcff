package slots

import "time"

const (
	// overshootUse is the part of the tolerated overshoot of a cold upstream's rate that is used; the rest covers
	// requests that are held up on their way and arrive together.
	overshootUse = 0.6
	// slackUse is the part of the tolerated burst that is used. A node that starts again doesn't know what its
	// predecessor started and has a burst of its own.
	slackUse = 0.5
)

// ColdRate is what a cold upstream gets: PerSecond requests a second, spaced evenly, and Burst at once after a pause.
type ColdRate struct {
	PerSecond float64
	Burst     float64
}

// NewColdRate returns the rate for an upstream that bears perSecond requests while it is cold, where any second may see
// perSecond x over + slack.
func NewColdRate(perSecond, over, slack float64) ColdRate {
	return ColdRate{PerSecond: perSecond * (1 + overshootUse*max(0, over-1)), Burst: max(1, slackUse*slack)}
}

// interval is the time between two requests of a steady stream; 0 means that there is no limit.
func (r ColdRate) interval() time.Duration {
	if r.PerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / r.PerSecond)
}

// pace spaces the starts at a cold upstream. Starts that are used up at the beginning of a second leave nothing for the
// calls of running requests, which can't wait for the next one.
type pace struct {
	rate ColdRate
	// next is when a steady stream would start its next request.
	next time.Duration
}

// wait returns how long no further request may start.
func (p *pace) wait(now time.Duration) time.Duration {
	ahead := time.Duration((p.rate.Burst - 1) * float64(p.rate.interval()))
	return max(0, p.next-ahead-now)
}

func (p *pace) started(now time.Duration) { p.next = max(now, p.next) + p.rate.interval() }
