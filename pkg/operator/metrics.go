package operator

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// minServerErrorStatus is the lowest HTTP status of a server error.
const minServerErrorStatus = 500

const (
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// sampleSize and sampleAlpha are the values that the metrics library recommends. They give an exponentially
	// decaying sample of about the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics counts the calls that ended at this node's caller and local ports. The names of the metrics contain only
// declared names and error kinds, never text from a request.
type Metrics struct {
	registry metrics.Registry
	onCall   func(service, team string, elapsed time.Duration, ok bool)
}

// NewMetrics returns metrics without counts. onCall is called with each call to a declared service, unless the call
// was refused with a status below 500; ok is true when the call was served.
func NewMetrics(onCall func(service, team string, elapsed time.Duration, ok bool)) *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), onCall: onCall}
}

// RecordCall counts a call that ended at the port "caller" or "local". service and team are empty when unknown; kind
// is empty when the call was not refused and did not fail.
func (m *Metrics) RecordCall(port, service, team string, status int, outcome wire.Outcome, kind wire.ErrorKind, elapsed time.Duration) {
	result := string(kind)
	if outcome == wire.OutcomeRan {
		result = "answered"
	}
	m.counter("calls." + port + "." + result).Inc(1)
	if service == "" {
		return
	}
	m.histogram("service." + service + ".microseconds").Update(elapsed.Microseconds())
	m.counter("service." + service + "." + result).Inc(1)
	m.counter("team." + team + "." + result).Inc(1)
	// A refusal because of the team's rate limit or a mistake of the caller does not count against the service.
	if kind == "" || status >= minServerErrorStatus {
		m.onCall(service, team, elapsed, outcome == wire.OutcomeRan && status < minServerErrorStatus)
	}
}

func (m *Metrics) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

func (m *Metrics) histogram(name string) metrics.Histogram {
	if h, ok := m.registry.Get(name).(metrics.Histogram); ok {
		return h
	}
	return metrics.GetOrRegisterHistogram(name, m.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// Export returns all metrics by name: counters with "count", histograms with quantiles in microseconds.
func (m *Metrics) Export() map[string]map[string]any { return m.registry.GetAll() }
