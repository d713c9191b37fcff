package operator

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// serverErrors is the lowest status of an error of the service.
const serverErrors = 500

const (
	readTimeout = 10 * time.Second
	idleTimeout = 60 * time.Second
	// sampleSize and sampleAlpha are the library's own proposal for an exponentially decaying sample of about
	// the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics counts the calls that ended at this node's caller and local ports. Names hold only declared names and
// kinds of errors, never text of a request.
type Metrics struct {
	registry metrics.Registry
	observe  func(service, team string, took time.Duration, ok bool)
}

// NewMetrics returns meters without counts. observe is told of each call of a declared service, with its time and
// whether it was served.
func NewMetrics(observe func(service, team string, took time.Duration, ok bool)) *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), observe: observe}
}

// RecordCall counts a call.
func (m *Metrics) RecordCall(port, service, team string, status int, outcome wire.Outcome, kind wire.ErrorKind, took time.Duration) {
	result := string(kind)
	if outcome == wire.OutcomeRan {
		result = "answered"
	}
	m.counter("calls." + port + "." + result).Inc(1)
	if service == "" {
		return
	}
	m.histogram("service." + service + ".microseconds").Update(took.Microseconds())
	m.counter("service." + service + "." + result).Inc(1)
	m.counter("team." + team + "." + result).Inc(1)
	// A refusal for the team's own rate or the caller's own error does not count against the service.
	if kind == "" || status >= serverErrors {
		m.observe(service, team, took, outcome == wire.OutcomeRan && status < serverErrors)
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
