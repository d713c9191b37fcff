package distribution

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/version"
)

const (
	// startSpread spreads the first reads of nodes that start together, as after a power failure.
	startSpread = 500 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the pause after a failed read. The longest is short enough for
	// a version that is published as the source returns to be in force within 8 s.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// lonelyStart is the time after which a node without any list reads the source like a reader.
	lonelyStart = 2 * time.Second
)

// watch is a document of the source that readers watch.
type watch struct {
	id       uint64 // read in flight, or 0
	source   int
	next     time.Duration
	failures int
	answered bool
}

// mayWatch reports whether the node reads the source now: readers always, other nodes at their start and
// while nobody else answers.
func (m *StateMachine) mayWatch(now time.Duration, w *watch) bool {
	if m.o.SourceCount == 0 || w.id != 0 || now < w.next {
		return false
	}
	if m.list == nil {
		return !w.answered || now-m.began >= lonelyStart
	}
	return m.plan.IsReader || m.isolated || !w.answered && !m.versions.Started()
}

func (m *StateMachine) maintainSource(now time.Duration) {
	if m.mayWatch(now, &m.manifest) && m.allowRead(now, &m.manifest) {
		m.manifest.id = m.request(now, request{})
		m.emit(ReadManifest{ID: m.manifest.id, Source: m.manifest.source, Wait: m.watchWait(&m.manifest)})
	}
	if m.mayWatch(now, &m.members) && m.allowRead(now, &m.members) {
		m.members.id = m.request(now, request{})
		m.emit(ReadMembers{ID: m.members.id, Source: m.members.source, Wait: m.watchWait(&m.members)})
	}
}

// allowRead spends a token for a node that became a reader because others are silent: when many nodes believe
// that at once, their reads must not overload the source. A watch that is answered regularly needs none, since
// its waits bound it; otherwise the watches would leave no token for the reads of values.
func (m *StateMachine) allowRead(now time.Duration, w *watch) bool {
	steady := w.answered && w.failures == 0
	if steady || m.list == nil || m.ranking.ListedRank() < ReadersPerDataCentre || m.bucket.Take(now) {
		return true
	}
	w.next = now + minReadBackoff + m.jitter(minReadBackoff)
	return false
}

// watchWait is 0 for the first read, which must return at once.
func (m *StateMachine) watchWait(w *watch) time.Duration {
	if !w.answered || w.failures > 0 {
		return 0
	}
	return PollWait
}

func (w *watch) succeeded(now, sent time.Duration) {
	w.id = 0
	w.failures = 0
	w.answered = true
	w.next = now
	if now-sent < minPause {
		w.next = now + minPause
	}
}

func (m *StateMachine) manifestRead(now time.Duration, e ManifestRead) {
	r, ok := m.take(e.ID)
	if !ok {
		return
	}
	m.manifest.succeeded(now, r.sent)
	if m.versions.GreatestVerified().Less(e.Version) {
		m.offering = m.manifest.source
	}
	// A stale source says nothing of being stale, so all sources are watched in turn.
	m.manifest.source = (m.manifest.source + 1) % m.o.SourceCount
	if e.Faults != "" {
		m.apply(now, version.SetRejected{Version: e.Version, Faults: e.Faults})
	} else {
		m.apply(now, version.OfferReceived{Version: e.Version, From: version.Source})
	}
	m.apply(now, version.AnswerReceived{From: version.Source})
	current := m.versions.Current()
	if e.Version == current && !current.IsZero() {
		m.confirmed = now
	}
	m.noteAnswer(now, opinionOf(e.Version == current), silent)
}

func (m *StateMachine) valuesRead(now time.Duration, e ValuesRead) {
	r, ok := m.take(e.ID)
	if !ok {
		return
	}
	m.values = 0
	m.noteAnswer(now, silent, silent)
	switch e.SetStatus {
	case ValidSet:
		m.apply(now, version.SetVerified{Version: r.version})
		if m.versions.Current() == r.version {
			m.confirmed = now
		}
	case InvalidSet:
		m.apply(now, version.SetRejected{Version: r.version, Faults: e.Faults})
	default:
		m.apply(now, version.FetchFailed{Version: r.version, From: version.Source})
	}
}

func (m *StateMachine) membersRead(now time.Duration, e MembersRead) {
	r, ok := m.take(e.ID)
	if !ok {
		return
	}
	m.noteAnswer(now, silent, agrees)
	m.members.succeeded(now, r.sent)
}

func (m *StateMachine) readFailed(now time.Duration, e ReadFailed) {
	r, ok := m.take(e.ID)
	if !ok {
		return
	}
	switch e.ID {
	case m.manifest.id:
		m.backOff(now, &m.manifest)
	case m.members.id:
		m.backOff(now, &m.members)
	case m.values:
		m.values = 0
		m.apply(now, version.FetchFailed{Version: r.version, From: version.Source})
	}
}

func (m *StateMachine) backOff(now time.Duration, w *watch) {
	w.id = 0
	backoff := min(minReadBackoff<<min(w.failures, 4), maxReadBackoff)
	w.failures++
	w.source = (w.source + 1) % m.o.SourceCount
	w.next = now + backoff/2 + m.jitter(backoff/2)
}
