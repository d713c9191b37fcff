package admission

import (
	"time"
)

const (
	// slowFactor is how many times its warm baseline a latency must be to count as slow. Cold upstreams are
	// several times slower; a busy warm one within its slots is not.
	slowFactor = 3
	// warmFactor is how many times the known warm latency the mean of a round may be for the limit to rise without
	// the line. It is stricter than slowFactor, because a mistake here overloads a cold upstream.
	warmFactor = 1.5
	// slowInRow is the number of slow responses in a row that mean cold; single slow calls are normal.
	slowInRow = 3
	// hintTime is how long a hint is believed.
	hintTime = time.Second
	// hintDoubt is how long hints are ignored after a round of normal responses contradicted one.
	hintDoubt = 10 * time.Second
	// baselineSamples is the weight of the latency baseline; it also is the number of responses after which
	// the baseline is used.
	baselineSamples = 32
)

// limiter computes how many calls the upstream gets at once.
//
// A cold upstream starts at the initial concurrency. Its limit doubles with each round of normal responses but
// stays under a line that rises from the initial concurrency to all slots within the ramp time. The line
// advances only while responses come, because an idle upstream does not warm up.
type limiter struct {
	cfg   Config
	limit int
	cold  bool
	// fast is true after a start with a known warm latency, until a response is slow: the upstream has shown no
	// sign of being cold, so the limit doubles without the line.
	fast bool
	// progress is the part of the ramp time that has passed with load.
	progress    time.Duration
	lastSuccess time.Duration
	// good counts normal responses in this round.
	good  int
	total time.Duration
	// changed is when the limit was last lowered; results of calls started before say nothing new.
	changed   time.Duration
	shed      int
	slow      int
	baselines map[string]*baseline

	hinted     int
	hintUntil  time.Duration
	doubtUntil time.Duration
}

// baseline is the moving average of the warm latency of one route.
type baseline struct {
	mean    float64
	samples int
}

func newLimiter(cfg Config, now time.Duration) limiter {
	l := limiter{cfg: cfg, baselines: map[string]*baseline{}, lastSuccess: now, changed: now}
	l.limit = cfg.InitialConcurrency
	l.cold = l.limit < cfg.Slots
	l.fast = cfg.WarmLatency > 0
	return l
}

func (l *limiter) configure(now time.Duration, cfg Config) {
	l.cfg = cfg
	l.limit = max(cfg.InitialConcurrency, min(l.limit, cfg.Slots))
	l.cold = l.limit < cfg.Slots
	l.progress = l.progressAt(l.limit)
	l.lastSuccess = now
}

// current returns the limit, lowered by a hint that is still believed.
func (l *limiter) current(now time.Duration) int {
	if now < l.hintUntil && now >= l.doubtUntil {
		return min(l.limit, l.hinted)
	}
	return l.limit
}

// finished takes the result of a call that started at the given time.
func (l *limiter) finished(now time.Duration, route string, started time.Duration, r Result) {
	stale := started < l.changed
	switch r.Kind {
	case ConnectionFailed:
		if !stale {
			l.fall(now)
		}
	case Shed:
		l.refused(now, stale)
	case Succeeded:
		l.succeeded(now, route, stale, r.Latency)
	case TimedOut:
		l.slowCall(now)
	}
}

// refused lowers the limit at once: by half on the first refusal, which a warm upstream may answer when it is
// briefly full, and to the initial concurrency on the second without a normal response in between.
func (l *limiter) refused(now time.Duration, stale bool) {
	l.shed++
	l.good, l.total = 0, 0
	switch {
	case l.shed > 1 && (!stale || l.limit > l.cfg.InitialConcurrency):
		l.fall(now)
	case !stale:
		l.limit = max(l.cfg.InitialConcurrency, l.limit/2)
		l.progress = l.progressAt(l.limit)
		// The time before the refusal does not warm an upstream that refused because it became cold.
		l.lastSuccess = now
		l.cold = l.limit < l.cfg.Slots
		l.changed = now
	}
}

// fall treats the upstream as cold.
func (l *limiter) fall(now time.Duration) {
	l.limit = l.cfg.InitialConcurrency
	l.cold = l.limit < l.cfg.Slots
	l.fast = false
	l.progress = 0
	l.lastSuccess = now
	l.good, l.total, l.slow, l.shed = 0, 0, 0, 0
	l.changed = now
}

func (l *limiter) slowCall(now time.Duration) {
	l.good, l.total = 0, 0
	l.slow++
	if l.slow < slowInRow {
		return
	}
	l.fast = false
	// At the initial concurrency slow responses are expected, and must not stop the line from advancing.
	if l.limit > l.cfg.InitialConcurrency {
		l.fall(now)
	}
}

func (l *limiter) succeeded(now time.Duration, route string, stale bool, latency time.Duration) {
	b := l.baseline(route)
	if warm := l.warm(b); warm > 0 && float64(latency) > slowFactor*warm {
		l.advance(now)
		l.slowCall(now)
		return
	}
	l.slow, l.shed = 0, 0
	if !l.cold || l.fast {
		b.add(float64(latency))
	}
	l.advance(now)
	if stale {
		return
	}
	l.good++
	l.total += latency
	if l.good >= l.limit {
		mean := l.total / time.Duration(l.good)
		l.good, l.total = 0, 0
		l.raise(now, mean)
	}
}

// raise doubles the limit after a whole round of normal responses with the given mean latency, within the line.
func (l *limiter) raise(now, mean time.Duration) {
	if now < l.hintUntil {
		l.doubtUntil = now + hintDoubt
	}
	if !l.cold {
		return
	}
	if float64(mean) > warmFactor*float64(l.cfg.WarmLatency) {
		l.fast = false
	}
	next := 2 * l.limit
	if !l.fast {
		next = min(next, l.line())
	}
	l.limit = max(l.limit, min(next, l.cfg.Slots))
	l.cold = l.limit < l.cfg.Slots
}

// advance counts time with load. A gap between responses counts for at most a twentieth of the ramp.
func (l *limiter) advance(now time.Duration) {
	l.progress = min(l.cfg.RampTime, l.progress+min(now-l.lastSuccess, l.cfg.RampTime/20))
	l.lastSuccess = now
}

// line is the greatest limit that the ramp allows now.
func (l *limiter) line() int {
	if l.cfg.RampTime <= 0 {
		return l.cfg.Slots
	}
	span := float64(l.cfg.Slots - l.cfg.InitialConcurrency)
	return l.cfg.InitialConcurrency + int(span*float64(l.progress)/float64(l.cfg.RampTime))
}

// progressAt returns the progress at which the line reaches the limit.
func (l *limiter) progressAt(limit int) time.Duration {
	span := l.cfg.Slots - l.cfg.InitialConcurrency
	if span <= 0 {
		return l.cfg.RampTime
	}
	return l.cfg.RampTime * time.Duration(limit-l.cfg.InitialConcurrency) / time.Duration(span)
}

// watch looks for running calls that take much longer than usual: an upstream that turned cold or hangs is
// noticed before its responses come.
func (l *limiter) watch(now time.Duration, calls map[string]*waiter) {
	if l.limit == l.cfg.InitialConcurrency {
		return
	}
	overdue := 0
	for _, w := range calls {
		if !w.running || w.started < l.changed {
			continue
		}
		if warm := l.warm(l.baselines[w.Route]); warm > 0 && float64(now-w.started) > slowFactor*warm {
			overdue++
		}
	}
	if overdue >= slowInRow {
		l.fall(now)
	}
}

// hint lowers the limit for a time, never under the initial concurrency, which a cold upstream bears.
func (l *limiter) hint(now time.Duration, h CapacityHint) {
	switch {
	case !h.Healthy:
		l.hinted = l.cfg.InitialConcurrency
	case h.Concurrency > 0 && h.Concurrency < l.limit:
		l.hinted = max(l.cfg.InitialConcurrency, h.Concurrency)
	default:
		return
	}
	l.hintUntil = now + hintTime
}

// warm returns the usual latency of a route in nanoseconds, or 0 when it is not known.
func (l *limiter) warm(b *baseline) float64 {
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
