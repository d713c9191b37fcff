package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sort"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Bounds of the guarantee "lost", from the rules of the platform.
const (
	// calmTime is how long before a request no unplanned fault may have been under way for the request to be checked.
	calmTime = 3 * time.Second
	// lossSlack is how long after it was sent a request that no upstream executed may end without a response.
	lossSlack = 200 * time.Millisecond
	// The checks that follow from a SIGTERM end stopSlack after stopGrace.
	stopSlack = time.Second
	// A request that was sent no later than sentSoonAfterStop after a SIGTERM may be cut off if its upstream is still at
	// work in the last part of the grace period, which is one of finalGraceParts parts.
	sentSoonAfterStop = 3 * time.Second
	finalGraceParts   = 6
	// configApplyTime is how long after SIGHUP and after a new version requests count as sent beside it. The checks that
	// follow from a version end configSlack later.
	configApplyTime = 2 * time.Second
	configSlack     = time.Second
	// deadlineTolerance is how long before its deadline a request may end because of it. Each of the two nodes on the way
	// keeps 8 ms of the time for its response, and the deadline that a node is given is rounded down to 1 ms.
	deadlineTolerance = 20 * time.Millisecond
)

// workKind is a kind of planned work.
type workKind string

const (
	workStop          workKind = "SIGTERM"
	workReload        workKind = "SIGHUP"
	workConfiguration workKind = "configuration"
	// workStart is the start of a process. It is recorded only to tell which process a lost request was sent to.
	workStart workKind = "start"
)

// plannedWork is one piece of planned work, which began at the given time. The field vm is empty for a configuration.
type plannedWork struct {
	kind workKind
	vm   string
	at   time.Time
}

// timeRange is the duration of a fault; to is zero while it lasts.
type timeRange struct{ from, to time.Time }

// recordPlannedWork records that planned work began.
func (l *ledger) recordPlannedWork(kind workKind, vm string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.plannedWork = append(l.plannedWork, plannedWork{kind, vm, at})
}

// recordUnplannedFault records that an unplanned fault begins. The returned function records its end.
func (l *ledger) recordUnplannedFault() (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.unplannedFaults)
	l.unplannedFaults = append(l.unplannedFaults, timeRange{from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.unplannedFaults[n].to = time.Now()
	}
}

// checkLost checks, after all requests have ended, that none was lost around planned work: that an accepted request was
// cut off, or was answered with an error of its entry node while an upstream was at work on it.
func (l *ledger) checkLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	var lost []*requestRecord
	works := map[*requestRecord]plannedWork{}
	for _, r := range l.records {
		if errors.Is(r.failure, errNotRead) && !r.idempotent && r.deadline > 0 && len(r.executions) > 0 {
			l.addViolationLocked("twice", "%s, sent behind a request whose response ended the connection, ran at %s; its caller sends it again",
				r.id, r.executions[0].upstream)
		}
		if r.endedAt.IsZero() || r.fromUpstream || !l.isCalm(r) || r.reachedDeadline() {
			continue
		}
		if work, ok := l.workThatLost(r); ok {
			lost = append(lost, r)
			works[r] = work
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i].sentAt.Before(lost[j].sentAt) })
	for _, r := range lost {
		l.addViolationLocked("lost", "%s", r.describe(works[r], l.plannedWork))
	}
}

// isCalm reports whether no unplanned fault was under way from calmTime before the request to its end.
func (l *ledger) isCalm(r *requestRecord) bool {
	for _, f := range l.unplannedFaults {
		if f.from.Before(r.endedAt) && (f.to.IsZero() || f.to.After(r.sentAt.Add(-calmTime))) {
			return false
		}
	}
	return true
}

// reachedDeadline reports whether the request lasted until its caller's deadline or the route's timeout.
func (r *requestRecord) reachedDeadline() bool {
	return r.endedAt.Sub(r.sentAt) >= min(r.deadline, callerDeadline)-deadlineTolerance
}

// workThatLost returns the planned work around which the request was lost, if it was.
func (l *ledger) workThatLost(r *requestRecord) (lostBy plannedWork, lost bool) {
	for _, w := range l.plannedWork {
		if w.kind == workStop && w.vm == r.entry && r.mayBeCutByStop(w.at) {
			return plannedWork{}, false
		}
	}
	for _, w := range l.plannedWork {
		switch {
		case w.kind == workStart, w.vm != "" && w.vm != r.entry, r.endedAt.Before(w.at), !r.endedBeside(w):
		case r.failure != nil && r.wasAccepted(), w.kind == workStop && r.failure == nil && r.wasBrokenOff(w.at):
			return w, true
		}
	}
	return plannedWork{}, false
}

// endedBeside reports whether the request, which ended after the work began, ended early enough to count as beside it.
func (r *requestRecord) endedBeside(w plannedWork) bool {
	switch w.kind {
	case workStop:
		return !r.endedAt.After(w.at.Add(stopGrace + stopSlack))
	case workReload:
		return !r.sentAt.After(w.at.Add(configApplyTime))
	}
	return !r.endedAt.After(w.at.Add(configApplyTime + configSlack))
}

// mayBeCutByStop reports whether the request was sent soon after the SIGTERM and an upstream was at work on it in the
// last part of the grace period.
func (r *requestRecord) mayBeCutByStop(stopAt time.Time) bool {
	finalPart := stopAt.Add(stopGrace - stopGrace/finalGraceParts)
	if r.sentAt.After(stopAt.Add(sentSoonAfterStop)) || r.endedAt.Before(finalPart) {
		return false
	}
	for _, e := range r.executions {
		if e.at.Before(stopAt.Add(stopGrace)) && (e.endedAt.IsZero() || e.endedAt.After(finalPart)) {
			return true
		}
	}
	return false
}

// wasAccepted reports whether an upstream executed the request or its node read it and held it for longer than
// lossSlack. A connection that the node closes with unread bytes is reset, so the end of a connection without reset
// shows that the node has read the request.
func (r *requestRecord) wasAccepted() bool {
	read := errors.Is(r.failure, fasthttp.ErrConnectionClosed) || errors.Is(r.failure, io.ErrUnexpectedEOF)
	return len(r.executions) > 0 || (read && r.endedAt.Sub(r.sentAt) > lossSlack)
}

// wasBrokenOff reports whether an upstream was at work on the request when the caller got the response, or was made to
// stop after the SIGTERM.
func (r *requestRecord) wasBrokenOff(stopAt time.Time) bool {
	for _, e := range r.executions {
		if e.at.Before(r.endedAt) && (e.endedAt.IsZero() || e.endedAt.After(r.endedAt) || (e.cancelled && e.endedAt.After(stopAt))) {
			return true
		}
	}
	return false
}

// describe returns what the caller and the upstreams observed of a request that was lost, with times in milliseconds
// after it was sent. Among all planned work, starts of the entry node between that which lost the request and its
// sending show that another process got the request.
func (r *requestRecord) describe(w plannedWork, all []plannedWork) string {
	after := func(t time.Time) int64 { return t.Sub(r.sentAt).Milliseconds() }
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s of %s, sent at %s, got ", r.method, r.id, r.entry, r.sentAt.UTC().Format("15:04:05.000"))
	var netError *net.OpError
	switch {
	case errors.As(r.failure, &netError):
		fmt.Fprintf(&b, "%s %v", netError.Op, netError.Err)
	case r.failure != nil:
		first, _, _ := strings.Cut(r.failure.Error(), ". ")
		b.WriteString(first)
	default:
		fmt.Fprintf(&b, "%d of the node", r.status)
	}
	fmt.Fprintf(&b, " after %d ms; %s %s at %d ms", after(r.endedAt), w.kind, w.vm, after(w.at))
	for _, start := range all {
		if start.kind == workStart && start.vm == r.entry && start.at.After(w.at) && start.at.Before(r.sentAt) {
			fmt.Fprintf(&b, ", start at %d ms", after(start.at))
		}
	}
	for _, e := range r.executions {
		fmt.Fprintf(&b, "; %s at work from %d ms", e.upstream, after(e.at))
		switch {
		case e.endedAt.IsZero():
			b.WriteString(" without end")
		case e.cancelled:
			fmt.Fprintf(&b, ", cancelled at %d ms", after(e.endedAt))
		default:
			fmt.Fprintf(&b, " to %d ms", after(e.endedAt))
		}
	}
	return b.String()
}
