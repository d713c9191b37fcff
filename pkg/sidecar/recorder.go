package sidecar

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// kind is a kind of line about a request; each has its own budget, so that the many refusals of an overload leave room
// for the ends of the requests.
type kind int

const (
	// plainEnd is the end of a request that was served at the first node asked, otherEnd that of any other, refusal what
	// a node made of a request that its upstream did not answer.
	plainEnd kind = iota
	otherEnd
	refusal
	kinds
)

// linesPerSecond is the budget of each kind. With it, scripts/explain-check.sh finds each failed request that the users'
// bench names on trouble-1 and scale-1 of both deployments.
var linesPerSecond = [kinds]int{plainEnd: 20, otherEnd: 150, refusal: 50}

const (
	// sampleSize and sampleAlpha are the library's own proposal for a sample of about the last five minutes; a
	// smaller one keeps the memory of many routes low.
	sampleSize  = 128
	sampleAlpha = 0.015
)

// recorder writes one log line for each request within a budget, and counts all of them.
type recorder struct {
	clock    clock.Clock
	log      *logrus.Logger
	registry metrics.Registry

	mu      sync.Mutex
	second  int64
	used    [kinds]int
	skipped [kinds]int
}

func newRecorder(c clock.Clock, log *logrus.Logger) *recorder {
	return &recorder{clock: c, log: log, registry: metrics.NewRegistry()}
}

// ended records the end of a request.
func (r *recorder) ended(c *call, res result, status int) {
	now := r.clock.Now()
	took := now - c.arrived
	reason := string(res.reason)
	if res.reason == ReasonNone {
		reason = "answered"
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	labels := []string{"service", c.service, "route", route, "reason", reason}
	metrics.GetOrRegisterCounter(metricName("requests_total", labels...), r.registry).Inc(1)
	r.histogram(metricName("request_microseconds", "service", c.service, "reason", reason)).Update(took.Microseconds())
	line := otherEnd
	if res.reason == ReasonNone && c.asked <= 1 && status < fasthttp.StatusInternalServerError {
		line = plainEnd
	}
	if !r.allowed(now, line) {
		return
	}
	fields := logrus.Fields{
		"request": c.id, "status": status, "outcome": reason, "took_us": took.Microseconds(), "service": c.service,
		"asked": c.asked, "sends": c.sends, "upstream": c.to, "priority": c.priority,
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.deadline > 0 {
		fields["left_us"] = (c.deadline - now).Microseconds()
	}
	if c.team != nil {
		fields["team"] = c.team.Name
	}
	if c.view.Config != nil {
		fields["version"] = c.view.Config.Version
	}
	if c.asked > 0 {
		fields["last_reason"], fields["running"], fields["waiting"] = c.last.reason, c.last.load.Running, c.last.load.Waiting
		fields["slots"], fields["cold"], fields["mean_us"] = c.last.load.Slots, c.last.load.Cold, c.last.load.MeanServiceTime.Microseconds()
	}
	r.log.WithFields(fields).Info("request ended")
}

// decided records what the controller made of a forwarded request that its upstream did not answer.
func (r *recorder) decided(id string, h *hop, a answer) {
	if a.outcome == ran || !r.allowed(r.clock.Now(), refusal) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"request": id, "upstream": h.upstream, "route": h.route, "reason": a.reason, "may_have_run": a.outcome == unknown,
		"reached_upstream": a.arrived, "left_us": h.remaining.Microseconds(), "priority": h.priority, "strict": h.strict,
		"running": a.load.Running, "waiting": a.load.Waiting, "slots": a.load.Slots, "cold": a.load.Cold,
		"mean_us": a.load.MeanServiceTime.Microseconds(), "after_us": a.after.Microseconds(),
	}).Info("upstream did not answer a forwarded request")
}

func (r *recorder) histogram(name string) metrics.Histogram {
	if h, ok := r.registry.Get(name).(metrics.Histogram); ok {
		return h
	}
	return metrics.GetOrRegisterHistogram(name, r.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// allowed draws on the budget of lines of the current second.
func (r *recorder) allowed(now time.Duration, line kind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := int64(now / time.Second); second != r.second {
		if r.skipped != [kinds]int{} {
			r.log.WithFields(logrus.Fields{
				"plain_ends": r.skipped[plainEnd], "other_ends": r.skipped[otherEnd], "refusals": r.skipped[refusal],
			}).Info("left out log lines of requests above the budget")
		}
		r.second, r.used, r.skipped = second, [kinds]int{}, [kinds]int{}
	}
	if r.used[line] >= linesPerSecond[line] {
		r.skipped[line]++
		return false
	}
	r.used[line]++
	return true
}
