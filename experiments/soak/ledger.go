package soak

import (
	"fmt"
	"sort"
	"sync"
	"time"
)

// Bounds that the settings and the configuration of a soak declare.
const (
	quotaWindow = 5 * time.Second
	quotaOver   = 0.25
	quotaSlack  = 20
	coldOver    = 1.5
	coldSlack   = 5
	// shownViolations bounds the violations that are kept of each guarantee.
	shownViolations = 5
)

// order is what a caller sends, and what an upstream may see of it.
type order struct {
	id, method, path   string
	team, callerWorker string
	services           []string
	idempotent         bool
}

// run is one run of a request at an upstream.
type run struct {
	at       time.Time
	upstream string
	stamp    string
	status   int
}

// entry is what is known of one request.
type entry struct {
	order
	runs []run
	// refused is the status that claimed that the request has not run and never will.
	refused int
}

// ledger compares what callers and upstreams see. It may be used from any goroutine.
type ledger struct {
	mu         sync.Mutex
	entries    map[string]*entry
	violations map[string][]string
	counts     map[string]int
	teamRuns   map[string][]time.Time
	coldRuns   map[string][]time.Time
}

func newLedger() *ledger {
	return &ledger{
		entries: map[string]*entry{}, violations: map[string][]string{}, counts: map[string]int{},
		teamRuns: map[string][]time.Time{}, coldRuns: map[string][]time.Time{},
	}
}

// violated notes a broken guarantee.
func (l *ledger) violated(guarantee, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(guarantee, format, args...)
}

func (l *ledger) note(guarantee, format string, args ...any) {
	if len(l.violations[guarantee]) < shownViolations {
		l.violations[guarantee] = append(l.violations[guarantee], fmt.Sprintf(format, args...))
	}
	l.counts["broken "+guarantee]++
}

func (l *ledger) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// sent notes a request before it leaves its caller.
func (l *ledger) sent(o order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[o.id] = &entry{order: o}
	l.counts["requests"]++
}

// ran checks a request that reaches an upstream and notes the run.
func (l *ledger) ran(seen order, service string, keyed, cold bool, r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[seen.id]
	if e == nil {
		l.note("unasked", "%s ran %q, which no caller sent", r.upstream, seen.id)
		return
	}
	if keyed {
		l.note("unasked", "%s received the key of %s", r.upstream, seen.id)
	}
	if e.method != seen.method || e.path != seen.path || e.team != seen.team || e.callerWorker != seen.callerWorker {
		l.note("unasked", "%s saw %+v of %+v", r.upstream, seen, e.order)
	}
	allowed := false
	for _, s := range e.services {
		allowed = allowed || s == service
	}
	if !allowed {
		l.note("route", "%s of %s ran %s %s", r.upstream, service, seen.id, seen.path)
	}
	e.runs = append(e.runs, r)
	if len(e.runs) > 1 {
		l.counts["repeats"]++
		if !e.idempotent {
			l.note("twice", "%s ran at %s and %s", e.id, e.runs[0].upstream, r.upstream)
		}
	}
	if e.refused > 0 && !e.idempotent {
		l.note("refused", "%s ran after its caller got %d", e.id, e.refused)
	}
	if e.team != "" {
		l.teamRuns[e.team] = append(l.teamRuns[e.team], r.at)
	}
	if cold {
		l.coldRuns[r.upstream] = append(l.coldRuns[r.upstream], r.at)
	}
}

// finished notes the status of a run.
func (l *ledger) finished(id, stamp string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[id]; e != nil {
		for i := range e.runs {
			if e.runs[i].stamp == stamp {
				e.runs[i].status = status
			}
		}
	}
}

// answered checks what a caller got.
func (l *ledger) answered(id string, status int, answeredID, stamp, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.entries[id]
	l.counts[fmt.Sprint("status ", status)]++
	if answeredID != "" && answeredID != id {
		l.note("mixed", "the caller of %s got the answer of %s", id, answeredID)
	}
	success := status >= 200 && status < 300
	switch {
	case stamp == "" && success:
		l.note("mixed", "%s got %d without a stamp", id, status)
	case stamp != "":
		l.matches(e, status, stamp, body, success)
	case claimsNotRun(status):
		e.refused = status
		if !e.idempotent && len(e.runs) > 0 {
			l.note("refused", "%s got %d and had run at %s", id, status, e.runs[0].upstream)
		}
	}
}

// matches compares an answer with the run that it claims to come from.
func (l *ledger) matches(e *entry, status int, stamp, body string, success bool) {
	for _, r := range e.runs {
		if r.stamp != stamp {
			continue
		}
		if r.status != status {
			l.note("mixed", "%s got %d, and the upstream gave %d", e.id, status, r.status)
		}
		if success && body != bodyOf(e.id, stamp) {
			l.note("mixed", "%s got a body of %d bytes that is not the upstream's", e.id, len(body))
		}
		return
	}
	l.note("mixed", "%s got the stamp %s of another request", e.id, stamp)
}

func claimsNotRun(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// close checks the bounds that count over windows.
func (l *ledger) close(limits map[string][2]float64, coldRate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team, limit := range limits {
		bound := (limit[0]*quotaWindow.Seconds()+limit[1])*(1+quotaOver) + quotaSlack
		if most := mostWithin(l.teamRuns[team], quotaWindow); float64(most) > bound {
			l.note("quota", "%d requests of %s ran in %s; the bound is %.0f", most, team, quotaWindow, bound)
		}
	}
	bound := coldRate*coldOver + coldSlack
	for upstream, times := range l.coldRuns {
		if most := mostWithin(times, time.Second); float64(most) > bound {
			l.note("cold", "%s ran %d requests in a second while cold; the bound is %.0f", upstream, most, bound)
		}
	}
}

func mostWithin(times []time.Time, window time.Duration) int {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	most, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
