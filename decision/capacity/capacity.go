// Package capacity estimates how long requests take at one upstream. The speed of an upstream changes for some hundred
// milliseconds at a time, which is shorter than a moving average of service times needs to follow. The upstream states
// its present slowness in its responses, so the estimator keeps the service times at the usual speed and multiplies them
// by the slowness of the moment.
package capacity

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the moving averages of service times.
	sampleWeight = 0.1
	// defaultServiceTime is the mean service time before the first sample.
	defaultServiceTime = 100 * time.Millisecond
	// minSlowness and maxSlowness bound the slowness that is believed, so that an upstream that misreports it cannot make
	// its service times look like nothing or like eternity.
	minSlowness = 0.1
	maxSlowness = 20
	// fullReportAge is the age up to which a report counts in full, maxReportAge the age from which on it does not count.
	// Slow periods last about 600 ms, so an old report says little about the present.
	fullReportAge = 100 * time.Millisecond
	maxReportAge  = time.Second
	// slowThreshold is the multiple of the usual slowness from which on a report belongs to a slow period. Smaller
	// differences change an estimate by less than service times vary.
	slowThreshold = 1.25
	// usualRate is the largest relative change per second of the usual slowness. A slow period of 600 ms moves it by 6%; a
	// lasting change from 1 to 1.6 is adopted within 5 s.
	usualRate = 0.1
	// lastingRiseTime and lastingFallTime are the times in which the lasting slowness adopts a higher and a lower one. Slow
	// periods of 600 ms move it by 2%, and it is back soon after them.
	lastingRiseTime = 30 * time.Second
	lastingFallTime = 300 * time.Millisecond
	// periodCount is the number of most recent slow periods whose lengths are kept. At 15% of the time in periods of 600
	// ms these are the periods of about a minute.
	periodCount = 16
)

// NoReportAge is the age that Slowness returns if no report has stated a slowness.
const NoReportAge = time.Duration(math.MaxInt64)

// Report is the load that an upstream states in a response.
type Report struct {
	Running, Waiting, Slots int
	// Slowness is the multiple of the usual service time that work takes now: 1 is the usual speed, 0 means that it is not
	// stated.
	Slowness float64
}

// Estimator estimates the service times of one upstream. Times are on the process's monotonic clock. It is not safe for
// concurrent use.
type Estimator struct {
	routes map[string]*routeAverage
	// mean is the mean base service time over all routes, samples the number of its samples.
	mean    time.Duration
	samples int

	reports history
	periods slowPeriods
	// lasting is the slowness outside slow periods, or 0 before the first report. Upstreams of one service run on different
	// machines, and what they state includes that.
	lasting float64
}

// routeAverage holds the moving average of the service times of a route at the usual speed.
type routeAverage struct {
	base    time.Duration
	samples int
}

// NewEstimator returns an estimator that knows no report and no sample.
func NewEstimator() *Estimator {
	return &Estimator{routes: map[string]*routeAverage{}, mean: defaultServiceTime, periods: slowPeriods{usual: 1}}
}

// RecordReport records the load that the upstream has stated. A slowness that is not a positive number is ignored; others
// are limited to the range that is believed.
func (e *Estimator) RecordReport(now time.Duration, r Report) {
	if !(r.Slowness > 0) { // also true for NaN
		return
	}
	slowness := max(minSlowness, min(maxSlowness, r.Slowness))
	last, known := e.reports.latest()
	if known {
		now = max(now, last.at)
	}
	e.recordLasting(slowness, now-last.at)
	e.periods.record(now, slowness, last, known)
	e.reports.add(now, slowness)
}

// RecordServed records a finished request: took is its service time, startedAt when it started. The sample is reduced to
// the work that the upstream did in that time at the speeds that it stated. A service time that is not positive is
// ignored.
func (e *Estimator) RecordServed(now, startedAt time.Duration, route string, took time.Duration) {
	if took <= 0 {
		return
	}
	base := max(1, e.baseTime(startedAt, min(now, startedAt+took), took))
	e.reports.longestRequest = max(e.reports.longestRequest, took)
	r := e.routes[route]
	if r == nil {
		r = &routeAverage{}
		e.routes[route] = r
	}
	r.samples++
	r.base = movingAverage(r.base, base)
	e.samples++
	e.mean = movingAverage(e.mean, base)
}

// baseTime returns the service time at the usual speed of a request that ran from start to end.
func (e *Estimator) baseTime(start, end, took time.Duration) time.Duration {
	if e.reports.count == 0 {
		return took
	}
	if e.reports.dropped {
		start = max(start, e.reports.get(0).at)
	}
	if end <= start {
		factor, _ := e.Slowness(end)
		return time.Duration(float64(took) / factor)
	}
	work := e.reports.workUntil(end) - e.reports.workUntil(start)
	return time.Duration(float64(took) * (work / float64(end-start)))
}

func movingAverage(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// ServiceTime returns the expected service time of a request of the route that starts now. It is not known for a route
// without samples.
func (e *Estimator) ServiceTime(now time.Duration, route string) (d time.Duration, known bool) {
	r := e.routes[route]
	if r == nil {
		return 0, false
	}
	return e.expected(now, r.base), true
}

// UsualServiceTime returns the service time of a route at this upstream without the slowness of the moment, or 0 if it is not
// known.
func (e *Estimator) UsualServiceTime(route string) time.Duration {
	r := e.routes[route]
	switch {
	case r == nil:
		return 0
	case e.lasting == 0:
		return r.base
	}
	return time.Duration(float64(r.base) * e.lasting)
}

// MeanServiceTime returns the expected service time over all routes of a request that starts now. It is 100 ms before the
// first sample.
func (e *Estimator) MeanServiceTime(now time.Duration) time.Duration {
	if e.samples == 0 {
		return defaultServiceTime
	}
	return e.expected(now, e.mean)
}

// Samples returns the number of service times of the route that are known.
func (e *Estimator) Samples(route string) int {
	if r := e.routes[route]; r != nil {
		return r.samples
	}
	return 0
}

// Slowness returns the slowness that is believed now, and the age of the report that it comes from. An old report is
// replaced by the lasting slowness. Without a report the slowness is 1 and the age NoReportAge.
func (e *Estimator) Slowness(now time.Duration) (factor float64, age time.Duration) {
	last, known := e.reports.latest()
	if !known {
		return 1, NoReportAge
	}
	age = max(0, now-last.at)
	return max(minSlowness, min(maxSlowness, e.lasting*decayed(last.slowness/e.lasting, age))), age
}

// MomentarySlowness returns the factor by which work takes longer now than it usually does at this upstream.
func (e *Estimator) MomentarySlowness(now time.Duration) float64 {
	factor, age := e.Slowness(now)
	if age == NoReportAge {
		return 1
	}
	return factor / e.lasting
}

// recordLasting moves the lasting slowness towards a report that came the given time after the one before it. It falls fast
// and rises slowly, so that slow periods hardly move it.
func (e *Estimator) recordLasting(slowness float64, gap time.Duration) {
	if e.lasting == 0 {
		e.lasting = slowness
		return
	}
	adaptTime := lastingRiseTime
	if slowness < e.lasting {
		adaptTime = lastingFallTime
	}
	e.lasting += (slowness - e.lasting) * min(1, float64(min(gap, maxReportAge))/float64(adaptTime))
}

// RetainOnly forgets the routes that are not known any more.
func (e *Estimator) RetainOnly(routes func(string) bool) {
	for route := range e.routes {
		if !routes(route) {
			delete(e.routes, route)
		}
	}
}

// expected returns the service time of a request that starts now and takes base at the usual speed. In a slow period, the
// request runs at the present slowness for the rest of the period, as far as that is known, and at the usual one after it.
func (e *Estimator) expected(now, base time.Duration) time.Duration {
	factor, age := e.Slowness(now)
	if factor == 1 {
		return base
	}
	work := float64(base)
	if !e.periods.current || e.periods.known == 0 {
		return time.Duration(work * factor)
	}
	return time.Duration(e.periods.expected(now, work, factor, min(factor, decayed(e.periods.usual, age))))
}

// decayed returns what is believed of a slowness that was stated some time ago.
func decayed(slowness float64, age time.Duration) float64 {
	switch {
	case age <= fullReportAge:
		return slowness
	case age >= maxReportAge:
		return 1
	}
	weight := float64(maxReportAge-age) / float64(maxReportAge-fullReportAge)
	return 1 + weight*(slowness-1)
}

// workWithin returns the work, as time at the usual speed, that is done within a time that begins or ends with a report.
// It is the integral of the speed, which is the inverse of the slowness that is believed at each distance from the report.
func workWithin(slowness float64, d time.Duration) float64 {
	if slowness == 1 {
		return float64(d)
	}
	work := float64(min(d, fullReportAge)) / slowness
	if d > fullReportAge {
		// The slowness is linear in the distance here, with this slope.
		slope := (1 - slowness) / float64(maxReportAge-fullReportAge)
		work += math.Log1p(slope*float64(min(d, maxReportAge)-fullReportAge)/slowness) / slope
	}
	return work + float64(max(0, d-maxReportAge))
}
