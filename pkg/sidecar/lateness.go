package sidecar

import (
	"context"
	"math"
	"runtime/metrics"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

const (
	// wakeInterval is how often the lateness monitor wakes up. A standstill is measured up to this much too short.
	wakeInterval = 100 * time.Millisecond
	// latenessThreshold is the delay from which a wake-up counts as late. A VM whose share of a processor is a quota
	// stands still for most of each 100 ms once the quota is used up, so smaller delays are part of normal work.
	latenessThreshold = 200 * time.Millisecond
	// latenessLineInterval is the shortest time between two log lines about lateness.
	latenessLineInterval = time.Second
)

// latenessMetric is the name of the metric with the largest delay since the start.
const latenessMetric = metricPrefix + "process_late_max_microseconds"

// runtimeMetricNames are the metrics of the Go runtime that are part of the line about lateness, in the order of the
// constants below. The runtime updates the processor times at the end of each garbage collection. The user time
// includes time in which the VM did not run the process; the idle time is that in which the process had nothing to do.
var runtimeMetricNames = [runtimeMetricCount]string{
	goroutineCount: "/sched/goroutines:goroutines",
	gcCycles:       "/gc/cycles/total:gc-cycles",
	gcTime:         "/cpu/classes/gc/total:cpu-seconds",
	gcPause:        "/cpu/classes/gc/pause:cpu-seconds",
	userTime:       "/cpu/classes/user:cpu-seconds",
	idleTime:       "/cpu/classes/idle:cpu-seconds",
}

const (
	goroutineCount = iota
	gcCycles
	gcTime
	gcPause
	userTime
	idleTime
	runtimeMetricCount
)

// latenessMonitor measures how late the process runs: how much later than asked it wakes up from a timer. A process
// that is late holds requests that were sent long ago and that no counter of requests contains, because it has not
// read them.
type latenessMonitor struct {
	clock clock.Clock
	log   *logrus.Logger
	// inProgress returns the number of requests in progress.
	inProgress func() int64
	largest    gometrics.Gauge
	// lateWakes counts the late wake-ups that were not logged yet, and largestUnlogged is the largest delay among them.
	lateWakes       int
	largestUnlogged time.Duration
	lastLineAt      time.Duration
	// lastOnTimeAt is when the process last woke up on time, and lastOnTime has the runtime's metrics of that time.
	lastOnTimeAt time.Duration
	lastOnTime   runtimeMetrics
	samples      [runtimeMetricCount]metrics.Sample
}

// runtimeMetrics holds the values of runtimeMetricNames at one time. Times are in microseconds.
type runtimeMetrics [runtimeMetricCount]int64

func newLatenessMonitor(o *Options, registry gometrics.Registry, inProgress func() int64) *latenessMonitor {
	m := &latenessMonitor{
		clock: o.Clock, log: o.Log, inProgress: inProgress, lastLineAt: -latenessLineInterval,
		largest: gometrics.GetOrRegisterGauge(latenessMetric, registry),
	}
	for i, name := range runtimeMetricNames {
		m.samples[i].Name = name
	}
	return m
}

// run wakes up every wakeInterval until ctx ends.
func (m *latenessMonitor) run(ctx context.Context) {
	m.lastOnTimeAt, m.lastOnTime = m.clock.Now(), m.readRuntime()
	timer := time.NewTimer(wakeInterval)
	defer timer.Stop()
	for {
		asked := m.clock.Now() + wakeInterval
		timer.Reset(wakeInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			m.recordWake(asked, m.clock.Now())
		}
	}
}

// recordWake records that the process woke up at the time now after it had asked for the time asked. It logs the late
// wake-ups, at most one line in latenessLineInterval.
func (m *latenessMonitor) recordWake(asked, now time.Duration) {
	late := max(0, now-asked)
	m.largest.Update(max(m.largest.Value(), late.Microseconds()))
	current := m.readRuntime()
	if late >= latenessThreshold {
		m.lateWakes++
		m.largestUnlogged = max(m.largestUnlogged, late)
	}
	if m.lateWakes > 0 && now-m.lastLineAt >= latenessLineInterval {
		m.logLateness(now, current)
		m.lateWakes, m.largestUnlogged, m.lastLineAt = 0, 0, now
	}
	if m.lateWakes == 0 {
		m.lastOnTimeAt, m.lastOnTime = now, current
	}
}

// logLateness writes the line about the late wake-ups. The differences of the runtime's metrics are those since the
// last wake-up on time, or since the last line if there was none in between.
func (m *latenessMonitor) logLateness(now time.Duration, current runtimeMetrics) {
	since := func(metric int) int64 { return current[metric] - m.lastOnTime[metric] }
	m.log.WithFields(logrus.Fields{
		"late_us": m.largestUnlogged.Microseconds(), "late_wakes": m.lateWakes, "in_progress": m.inProgress(),
		"goroutines": current[goroutineCount], "period_us": (now - m.lastOnTimeAt).Microseconds(), "gc_cycles": since(gcCycles),
		"gc_cpu_us": since(gcTime), "gc_pause_us": since(gcPause), "user_cpu_us": since(userTime), "idle_cpu_us": since(idleTime),
	}).Warn("the process ran late")
}

// readRuntime returns the current values of the runtime's metrics. A metric that the runtime does not have is 0.
func (m *latenessMonitor) readRuntime() runtimeMetrics {
	metrics.Read(m.samples[:])
	var values runtimeMetrics
	for i := range m.samples {
		switch v := m.samples[i].Value; v.Kind() {
		case metrics.KindUint64:
			values[i] = int64(min(v.Uint64(), math.MaxInt64))
		case metrics.KindFloat64:
			values[i] = time.Duration(v.Float64() * float64(time.Second)).Microseconds()
		}
	}
	return values
}
