package admission

import (
	"time"
)

const (
	// slowLatencyFactor is the multiple of the warm baseline above which a latency counts as slow. Cold upstreams are
	// several times slower than warm ones; a warm upstream that is busy within its slots is not.
	slowLatencyFactor = 3
	// warmLatencyFactor is the multiple of the known warm latency up to which the mean latency of a round lets the
	// limit rise without the ramp. It is stricter than slowLatencyFactor, because a mistake here overloads a cold
	// upstream.
	warmLatencyFactor = 1.5
	// coldAfterSlowCalls is the number of consecutive slow calls, or of running calls that are overdue at the same
	// time, from which on the upstream counts as cold. Single slow calls are normal.
	coldAfterSlowCalls = 3
	// hintLifetime is how long a hint lowers the limit.
	hintLifetime = time.Second
	// hintIgnoreTime is how long hints are ignored after a round of normal responses has contradicted one.
	hintIgnoreTime = 10 * time.Second
	// baselineSamples is the number of responses over which a latency baseline averages, and the number of responses
	// from which on the baseline is used.
	baselineSamples = 32
)

// limiter computes how many calls may run at the upstream concurrently.
//
// A cold upstream starts at the initial concurrency. Its limit doubles after each round of normal responses, where a
// round is as many responses as the limit. The limit also stays below a ramp, which rises linearly from the initial
// concurrency to all slots within the ramp time. The ramp advances only while responses arrive, because an idle
// upstream does not warm up.
type limiter struct {
	cfg   Config
	limit int
	cold  bool
	// skipRamp is true after a start with a known warm latency, until the latency shows that the upstream may be cold.
	// While it is true, the limit doubles without regard to the ramp.
	skipRamp bool
	// rampElapsed is the part of the ramp time that has passed under load, up to rampUpdatedAt.
	rampElapsed   time.Duration
	rampUpdatedAt time.Duration
	// roundResponses is the number of normal responses in this round, roundLatency the sum of their latencies.
	roundResponses int
	roundLatency   time.Duration
	// loweredAt is when the limit was last lowered. Calls that started before it say little about the present limit:
	// their successes do not raise it, and a first refusal or a failed connection does not lower it.
	loweredAt time.Duration
	// consecutiveSheds and consecutiveSlowCalls are counted since the last normal response.
	consecutiveSheds     int
	consecutiveSlowCalls int
	baselines            map[string]*baseline

	// hintedLimit applies until hintExpiresAt, except before ignoreHintsUntil.
	hintedLimit      int
	hintExpiresAt    time.Duration
	ignoreHintsUntil time.Duration
}

// baseline is the moving average of the warm latency of one route.
type baseline struct {
	mean    float64
	samples int
}

func newLimiter(cfg Config, now time.Duration) limiter {
	l := limiter{cfg: cfg, baselines: map[string]*baseline{}, rampUpdatedAt: now, loweredAt: now}
	l.limit = cfg.InitialConcurrency
	l.cold = l.limit < cfg.Slots
	l.skipRamp = cfg.WarmLatency > 0
	return l
}

func (l *limiter) configure(now time.Duration, cfg Config) {
	l.cfg = cfg
	l.limit = max(cfg.InitialConcurrency, min(l.limit, cfg.Slots))
	l.cold = l.limit < cfg.Slots
	l.rampElapsed = l.rampTimeAt(l.limit)
	l.rampUpdatedAt = now
}

// currentLimit returns the limit, lowered by a hint if one is in force.
func (l *limiter) currentLimit(now time.Duration) int {
	if now < l.hintExpiresAt && now >= l.ignoreHintsUntil {
		return min(l.limit, l.hintedLimit)
	}
	return l.limit
}

// recordResult adjusts the limit to the result of a call that started at the given time.
func (l *limiter) recordResult(now time.Duration, route string, started time.Duration, r Result) {
	stale := started < l.loweredAt
	switch r.Kind {
	case ConnectionFailed:
		if !stale {
			l.resetToCold(now)
		}
	case Shed:
		l.recordShed(now, stale)
	case Succeeded:
		l.recordSuccess(now, route, stale, r.Latency)
	case TimedOut:
		l.recordSlowCall(now)
	}
}

// recordShed lowers the limit immediately: by half at the first refusal, because a warm upstream also refuses calls
// when it is briefly full, and to the initial concurrency at the second refusal without a normal response in between.
func (l *limiter) recordShed(now time.Duration, stale bool) {
	l.consecutiveSheds++
	l.roundResponses, l.roundLatency = 0, 0
	switch {
	case l.consecutiveSheds > 1 && (!stale || l.limit > l.cfg.InitialConcurrency):
		l.resetToCold(now)
	case !stale:
		l.limit = max(l.cfg.InitialConcurrency, l.limit/2)
		l.rampElapsed = l.rampTimeAt(l.limit)
		// Restarts the measurement of the ramp: the upstream may have refused because it became cold, and then the time
		// before the refusal has not warmed it.
		l.rampUpdatedAt = now
		l.cold = l.limit < l.cfg.Slots
		l.loweredAt = now
	}
}

// resetToCold lowers the limit to the initial concurrency and starts the ramp again.
func (l *limiter) resetToCold(now time.Duration) {
	l.limit = l.cfg.InitialConcurrency
	l.cold = l.limit < l.cfg.Slots
	l.skipRamp = false
	l.rampElapsed = 0
	l.rampUpdatedAt = now
	l.roundResponses, l.roundLatency, l.consecutiveSlowCalls, l.consecutiveSheds = 0, 0, 0, 0
	l.loweredAt = now
}

func (l *limiter) recordSlowCall(now time.Duration) {
	l.roundResponses, l.roundLatency = 0, 0
	l.consecutiveSlowCalls++
	if l.consecutiveSlowCalls < coldAfterSlowCalls {
		return
	}
	l.skipRamp = false
	// At the initial concurrency slow responses are expected and must not keep the ramp from advancing.
	if l.limit > l.cfg.InitialConcurrency {
		l.resetToCold(now)
	}
}

func (l *limiter) recordSuccess(now time.Duration, route string, stale bool, latency time.Duration) {
	b := l.baseline(route)
	if warm := l.warmLatency(b); warm > 0 && float64(latency) > slowLatencyFactor*warm {
		l.advanceRamp(now)
		l.recordSlowCall(now)
		return
	}
	l.consecutiveSlowCalls, l.consecutiveSheds = 0, 0
	if !l.cold || l.skipRamp {
		b.add(float64(latency))
	}
	l.advanceRamp(now)
	if stale {
		return
	}
	l.roundResponses++
	l.roundLatency += latency
	if l.roundResponses >= l.limit {
		mean := l.roundLatency / time.Duration(l.roundResponses)
		l.roundResponses, l.roundLatency = 0, 0
		l.raiseLimit(now, mean)
	}
}

// raiseLimit doubles the limit, up to the ramp, after a complete round of normal responses with the given mean latency.
func (l *limiter) raiseLimit(now, mean time.Duration) {
	if now < l.hintExpiresAt {
		l.ignoreHintsUntil = now + hintIgnoreTime
	}
	if !l.cold {
		return
	}
	if float64(mean) > warmLatencyFactor*float64(l.cfg.WarmLatency) {
		l.skipRamp = false
	}
	next := 2 * l.limit
	if !l.skipRamp {
		next = min(next, l.rampLimit())
	}
	l.limit = max(l.limit, min(next, l.cfg.Slots))
	l.cold = l.limit < l.cfg.Slots
}

// advanceRamp adds the time since the last response to the ramp. A gap between responses counts for at most a twentieth
// of the ramp time.
func (l *limiter) advanceRamp(now time.Duration) {
	l.rampElapsed = min(l.cfg.RampTime, l.rampElapsed+min(now-l.rampUpdatedAt, l.cfg.RampTime/20))
	l.rampUpdatedAt = now
}

// rampLimit returns the greatest limit that the ramp allows now.
func (l *limiter) rampLimit() int {
	if l.cfg.RampTime <= 0 {
		return l.cfg.Slots
	}
	span := float64(l.cfg.Slots - l.cfg.InitialConcurrency)
	return l.cfg.InitialConcurrency + int(span*float64(l.rampElapsed)/float64(l.cfg.RampTime))
}

// rampTimeAt returns the elapsed ramp time at which the ramp reaches the limit.
func (l *limiter) rampTimeAt(limit int) time.Duration {
	span := l.cfg.Slots - l.cfg.InitialConcurrency
	if span <= 0 {
		return l.cfg.RampTime
	}
	return l.cfg.RampTime * time.Duration(limit-l.cfg.InitialConcurrency) / time.Duration(span)
}

// checkRunningCalls treats the upstream as cold if several running calls take much longer than usual. An upstream that
// became cold or hangs is thus noticed before its responses arrive.
func (l *limiter) checkRunningCalls(now time.Duration, calls map[string]*trackedCall) {
	if l.limit == l.cfg.InitialConcurrency {
		return
	}
	overdue := 0
	for _, tc := range calls {
		if !tc.running || tc.started < l.loweredAt {
			continue
		}
		if warm := l.warmLatency(l.baselines[tc.Route]); warm > 0 && float64(now-tc.started) > slowLatencyFactor*warm {
			overdue++
		}
	}
	if overdue >= coldAfterSlowCalls {
		l.resetToCold(now)
	}
}

// applyHint lowers the limit for hintLifetime, but not below the initial concurrency, which even a cold upstream can
// handle.
func (l *limiter) applyHint(now time.Duration, h CapacityHint) {
	switch {
	case !h.Healthy:
		l.hintedLimit = l.cfg.InitialConcurrency
	case h.Concurrency > 0 && h.Concurrency < l.limit:
		l.hintedLimit = max(l.cfg.InitialConcurrency, h.Concurrency)
	default:
		return
	}
	l.hintExpiresAt = now + hintLifetime
}

// warmLatency returns the usual latency of a route in nanoseconds, or 0 if it is not known.
func (l *limiter) warmLatency(b *baseline) float64 {
	if b != nil && b.samples >= baselineSamples {
		return b.mean
	}
	return float64(l.cfg.WarmLatency)
}

func (l *limiter) baseline(route string) *baseline {
	b := l.baselines[route]
	if b == nil {
		b = &baseline{}
		l.baselines[route] = b
	}
	return b
}

func (b *baseline) add(latency float64) {
	b.samples++
	b.mean += (latency - b.mean) / float64(min(b.samples, baselineSamples))
}
