package soak

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Bounds on rates that the settings and the configuration of a soak run declare.
const (
	// The executions of a team within quotaWindow may reach (rate × window + burst) × (1 + quotaRelativeSlack) +
	// quotaAbsoluteSlack.
	quotaWindow        = 5 * time.Second
	quotaRelativeSlack = 0.25
	quotaAbsoluteSlack = 20
	// A cold upstream may execute coldRequestsPerSecond × coldRateFactor + coldRateSlack requests within one second.
	coldRateFactor = 1.5
	coldRateSlack  = 5
	// maxViolationsPerGuarantee limits the violations whose descriptions are kept for each guarantee; all are counted.
	maxViolationsPerGuarantee = 5
)

// requestSpec describes a request as its caller sends it or as an upstream receives it. The field callerWorker is the
// service beside whose node the caller runs; services are the services that may execute the request.
type requestSpec struct {
	id, method, path   string
	team, callerWorker string
	services           []string
	idempotent         bool
	// entry is the VM whose node gets the request from its caller, deadline the time that the caller allows.
	entry    string
	deadline time.Duration
}

// execution is one execution of a request by an upstream. The stamp, which the upstream assigns, identifies it.
type execution struct {
	at       time.Time
	upstream string
	stamp    string
	status   int
	// endedAt is zero while the upstream is at work. cancelled is true if the connection was closed meanwhile.
	endedAt   time.Time
	cancelled bool
}

// requestRecord is what the ledger knows of one request.
type requestRecord struct {
	requestSpec
	executions []execution
	// refusalStatus is the status with which a node claimed that the request was not executed and never will be; 0 if
	// none.
	refusalStatus int
	// sentAt and endedAt are the times at which the caller began to send the request, and got the response or an error.
	sentAt, endedAt time.Time
	status          int
	// fromUpstream is true if the response carried the stamp of an execution.
	fromUpstream bool
	// failure is the error that the caller got instead of a response.
	failure error
}

// ledger compares what callers and upstreams observe, and records violations of the guarantees. It is safe for
// concurrent use. It checks these guarantees:
//   - "unasked": upstreams receive only requests that a caller sent, without the caller's key.
//   - "route": only a service that the route names executes a request.
//   - "twice" and "refused": a request that is not idempotent is executed at most once, and not at all if its caller was
//     told that it was refused.
//   - "mixed": a caller receives the unchanged response to its own request.
//   - "quota" and "cold": the executions of teams and of cold upstreams stay within the bounds above.
//   - "lost": around planned work, an accepted request is not cut off (lost.go).
//
// Other parts of the package add violations of "exits", "memory", "recovery" and "version", and failures of the
// package's own code as "harness".
type ledger struct {
	mu                           sync.Mutex
	records                      map[string]*requestRecord
	violations                   map[string][]string
	counts                       map[string]int
	executionTimesByTeam         map[string][]time.Time
	coldExecutionTimesByUpstream map[string][]time.Time
	plannedWork                  []plannedWork
	unplannedFaults              []timeRange
}

func newLedger() *ledger {
	return &ledger{
		records: map[string]*requestRecord{}, violations: map[string][]string{}, counts: map[string]int{},
		executionTimesByTeam: map[string][]time.Time{}, coldExecutionTimesByUpstream: map[string][]time.Time{},
	}
}

// addViolation records a violation of a guarantee.
func (l *ledger) addViolation(guarantee, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolationLocked(guarantee, format, args...)
}

// addViolationLocked records a violation of a guarantee. The caller has to hold l.mu.
func (l *ledger) addViolationLocked(guarantee, format string, args ...any) {
	if len(l.violations[guarantee]) < maxViolationsPerGuarantee {
		l.violations[guarantee] = append(l.violations[guarantee], fmt.Sprintf(format, args...))
	}
	l.counts["broken "+guarantee]++
}

// increment adds one to a counter of the result.
func (l *ledger) increment(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// recordRequest records a request before its caller sends it.
func (l *ledger) recordRequest(spec requestSpec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records[spec.id] = &requestRecord{requestSpec: spec, sentAt: time.Now()}
	l.counts["requests"]++
}

// recordExecution records that an upstream executes a request and checks that it may do so. Received is the request as
// it arrived there; hasKey tells whether it still carried its caller's key, cold whether the upstream was cold.
func (l *ledger) recordExecution(received requestSpec, service string, hasKey, cold bool, executed execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.records[received.id]
	if record == nil {
		l.addViolationLocked("unasked", "%s ran %q, which no caller sent", executed.upstream, received.id)
		return
	}
	if hasKey {
		l.addViolationLocked("unasked", "%s received the key of %s", executed.upstream, received.id)
	}
	if record.method != received.method || record.path != received.path ||
		record.team != received.team || record.callerWorker != received.callerWorker {
		l.addViolationLocked("unasked", "%s saw %+v of %+v", executed.upstream, received, record.requestSpec)
	}
	allowed := false
	for _, s := range record.services {
		allowed = allowed || s == service
	}
	if !allowed {
		l.addViolationLocked("route", "%s of %s ran %s %s", executed.upstream, service, received.id, received.path)
	}
	record.executions = append(record.executions, executed)
	if len(record.executions) > 1 {
		l.counts["repeats"]++
		if !record.idempotent {
			l.addViolationLocked("twice", "%s ran at %s and %s", record.id, record.executions[0].upstream, executed.upstream)
		}
	}
	if record.refusalStatus > 0 && !record.idempotent {
		l.addViolationLocked("refused", "%s ran after its caller got %d", record.id, record.refusalStatus)
	}
	if record.team != "" {
		l.executionTimesByTeam[record.team] = append(l.executionTimesByTeam[record.team], executed.at)
	}
	if cold {
		l.coldExecutionTimesByUpstream[executed.upstream] = append(l.coldExecutionTimesByUpstream[executed.upstream], executed.at)
	}
}

// recordFailure records that the caller of a request got an error instead of a response.
func (l *ledger) recordFailure(id string, failure error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts["without an answer"]++
	record := l.records[id]
	record.endedAt, record.failure = time.Now(), failure
}

// recordExecutionEnd records the status with which an execution ended and whether it was cancelled.
func (l *ledger) recordExecutionEnd(id, stamp string, status int, cancelled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if record := l.records[id]; record != nil {
		for i := range record.executions {
			if record.executions[i].stamp == stamp {
				executed := &record.executions[i]
				executed.status, executed.endedAt, executed.cancelled = status, time.Now(), cancelled
			}
		}
	}
}

// checkResponse checks a response that a caller received. Stamp is empty if the response names no execution.
func (l *ledger) checkResponse(id string, status int, responseID, stamp, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.records[id]
	record.endedAt, record.status, record.fromUpstream = time.Now(), status, stamp != ""
	l.counts[fmt.Sprint("status ", status)]++
	if responseID != "" && responseID != id {
		l.addViolationLocked("mixed", "the caller of %s got the answer of %s", id, responseID)
	}
	success := status >= 200 && status < 300
	switch {
	case stamp == "" && success:
		l.addViolationLocked("mixed", "%s got %d without a stamp", id, status)
	case stamp != "":
		l.checkResponseSource(record, status, stamp, body, success)
	case claimsNotExecuted(status):
		record.refusalStatus = status
		if !record.idempotent && len(record.executions) > 0 {
			l.addViolationLocked("refused", "%s got %d and had run at %s", id, status, record.executions[0].upstream)
		}
	}
}

// checkResponseSource compares a response with the execution whose stamp it carries.
func (l *ledger) checkResponseSource(record *requestRecord, status int, stamp, body string, success bool) {
	for _, executed := range record.executions {
		if executed.stamp != stamp {
			continue
		}
		if executed.status != status {
			l.addViolationLocked("mixed", "%s got %d, and the upstream gave %d", record.id, status, executed.status)
		}
		if success && body != responseBody(record.id, stamp) {
			l.addViolationLocked("mixed", "%s got a body of %d bytes that is not the upstream's", record.id, len(body))
		}
		return
	}
	l.addViolationLocked("mixed", "%s got the stamp %s of another request", record.id, stamp)
}

// claimsNotExecuted reports whether the status of a response without a stamp claims that the request was not executed.
func claimsNotExecuted(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// checkRateBounds checks the bounds on the number of executions within a time window, after all requests have ended.
// Each limit holds the rate and the burst of a team.
func (l *ledger) checkRateBounds(limits map[string][2]float64, coldRate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, limit := range limits {
		bound := (limit[0]*quotaWindow.Seconds()+limit[1])*(1+quotaRelativeSlack) + quotaAbsoluteSlack
		if highest := maxCountWithin(l.executionTimesByTeam[team], quotaWindow); float64(highest) > bound {
			l.addViolationLocked("quota", "%d requests of %s ran in %s; the bound is %.0f", highest, team, quotaWindow, bound)
		}
	}
	bound := coldRate*coldRateFactor + coldRateSlack
	for upstream, times := range l.coldExecutionTimesByUpstream {
		if highest := maxCountWithin(times, time.Second); float64(highest) > bound {
			l.addViolationLocked("cold", "%s ran %d requests in a second while cold; the bound is %.0f", upstream, highest, bound)
		}
	}
}

// maxCountWithin returns the largest number of times that lie within one window. It sorts times.
func maxCountWithin(times []time.Time, window time.Duration) int {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	highest, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}
