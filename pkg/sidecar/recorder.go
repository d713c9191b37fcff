package sidecar

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// lineKind is a kind of log line about a request. Each kind has its own budget, so that the many refusals in an
// overload do not use up the lines about the ends of requests.
type lineKind int

const (
	// plainEndLine is about the end of a request that the first node that was asked served without an error.
	plainEndLine lineKind = iota
	// otherEndLine is about the end of any other request.
	otherEndLine
	// refusalLine is about a forwarded request to which the node's upstream did not respond.
	refusalLine
	lineKinds
)

// linesPerSecond is the number of lines of each kind that are written in one second. It suffices for
// scripts/explain-check.sh to find each failed request that the users' test bench names in the runs trouble-1 and
// scale-1 of both deployments.
var linesPerSecond = [lineKinds]int{plainEndLine: 20, otherEndLine: 150, refusalLine: 50}

const (
	// sampleSize is smaller than the size that go-metrics proposes, to use little memory with many routes. sampleAlpha
	// is the value that it proposes for a sample of about the last five minutes.
	sampleSize  = 128
	sampleAlpha = 0.015
)

// recorder counts all requests and writes a log line for each of them while the budget of lines allows it.
type recorder struct {
	clock    clock.Clock
	log      *logrus.Logger
	registry metrics.Registry

	mu            sync.Mutex
	currentSecond int64
	used          [lineKinds]int
	skipped       [lineKinds]int
}

func newRecorder(c clock.Clock, log *logrus.Logger) *recorder {
	return &recorder{clock: c, log: log, registry: metrics.NewRegistry()}
}

// recordEnd records the end of a request at its entry node. status is the status of the response to the caller.
func (r *recorder) recordEnd(c *call, res result, status int) {
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
	line := otherEndLine
	if res.reason == ReasonNone && c.nodesAsked <= 1 && status < fasthttp.StatusInternalServerError {
		line = plainEndLine
	}
	if !r.takeLine(now, line) {
		return
	}
	fields := logrus.Fields{
		"request": c.id, "status": status, "outcome": reason, "took_us": took.Microseconds(), "service": c.service,
		"asked": c.nodesAsked, "sends": c.attemptsReceived, "upstream": c.lastUpstream, "priority": c.priority,
	}
	if c.route != nil {
		fields["route"] = c.route.Name
	}
	if c.deadline > 0 {
		fields["left_us"] = (c.deadline - now).Microseconds()
	}
	if c.stopping {
		fields["stopping"] = true
	}
	if c.team != nil {
		fields["team"] = c.team.Name
	}
	if c.view.Config != nil {
		fields["version"] = c.view.Config.Version
	}
	if c.view.StoreEra > 0 {
		fields["era"] = c.view.StoreEra
	}
	c.addAttemptFields(fields)
	r.log.WithFields(fields).Info("request ended")
}

// addAttemptFields adds to a log line where the request came from and how its attempts ended.
func (c *call) addAttemptFields(fields logrus.Fields) {
	if c.nested {
		fields["nested"] = true
	}
	if c.parent.ID != "" {
		fields["parent"] = c.parent.ID
	}
	if c.hedges > 0 {
		fields["hedges"], fields["hedge_won"] = c.hedges, c.hedgeWon
	}
	if c.deniedUse != "" {
		fields["extra_denied"] = c.deniedUse
	}
	if c.nodesAsked > 0 {
		fields["last_reason"], fields["running"], fields["waiting"] = c.lastResult.reason, c.lastResult.load.Running, c.lastResult.load.Waiting
		fields["slots"], fields["cold"], fields["mean_us"] = c.lastResult.load.Slots, c.lastResult.load.Cold, c.lastResult.load.MeanServiceTime.Microseconds()
		fields["usual_us"], fields["slowness_percent"] = c.lastResult.serviceTime.Microseconds(), int64(percent*c.lastResult.slowness)
	}
}

// recordHedge counts a hedge by how it ended.
func (r *recorder) recordHedge(service string, a *attemptResult) {
	reason := string(a.reason)
	if a.reason == ReasonNone {
		reason = "answered"
	}
	metrics.GetOrRegisterCounter(metricName("hedges_total", "service", service, "reason", reason), r.registry).Inc(1)
}

// recordUnanswered records the result that the controller gave for a forwarded request, unless the upstream responded.
func (r *recorder) recordUnanswered(id string, metadata *requestMetadata, a attemptResult) {
	if a.outcome == outcomeRan || !r.takeLine(r.clock.Now(), refusalLine) {
		return
	}
	r.log.WithFields(logrus.Fields{
		"request": id, "upstream": metadata.upstream, "route": metadata.route, "reason": a.reason, "may_have_run": a.outcome == outcomeUnknown,
		"reached_upstream": a.reachedUpstream, "left_us": metadata.remaining.Microseconds(), "priority": metadata.priority, "strict": metadata.mustMeetObjective,
		"running": a.load.Running, "waiting": a.load.Waiting, "slots": a.load.Slots, "cold": a.load.Cold,
		"mean_us": a.load.MeanServiceTime.Microseconds(), "after_us": a.retryAfter.Microseconds(),
		"usual_us": a.serviceTime.Microseconds(), "slowness_percent": int64(percent * a.slowness), "nested": metadata.nested,
	}).Info("upstream did not answer a forwarded request")
}

// recordRefusedBody records that the body of a request did not fit into the memory for request bodies. bytes is its size,
// or negative if it was sent in chunks, held the size of the bodies that the node holds.
func (r *recorder) recordRefusedBody(id string, bytes int, held int64) {
	metrics.GetOrRegisterCounter(metricName("refused_bodies_total"), r.registry).Inc(1)
	if r.takeLine(r.clock.Now(), refusalLine) {
		r.log.WithFields(logrus.Fields{"request": id, "bytes": bytes, "held_bytes": held}).Warn("refused the body of a request; the memory for request bodies is used up")
	}
}

func (r *recorder) histogram(name string) metrics.Histogram {
	if h, ok := r.registry.Get(name).(metrics.Histogram); ok {
		return h
	}
	return metrics.GetOrRegisterHistogram(name, r.registry, metrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// takeLine reports whether a line may be written within the budget of its kind in the current second, and counts the
// line.
func (r *recorder) takeLine(now time.Duration, line lineKind) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if second := int64(now / time.Second); second != r.currentSecond {
		if r.skipped != [lineKinds]int{} {
			r.log.WithFields(logrus.Fields{
				"plain_ends": r.skipped[plainEndLine], "other_ends": r.skipped[otherEndLine], "refusals": r.skipped[refusalLine],
			}).Info("left out log lines about requests because there were more in one second than the budget allows")
		}
		r.currentSecond, r.used, r.skipped = second, [lineKinds]int{}, [lineKinds]int{}
	}
	if r.used[line] >= linesPerSecond[line] {
		r.skipped[line]++
		return false
	}
	r.used[line]++
	return true
}
