package distribution

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/version"
)

const (
	// startSpread is the time over which the first reads are spread when many nodes start at once, for example after a
	// power failure.
	startSpread = 500 * time.Millisecond
	// minReadBackoff and maxReadBackoff bound the pause after a failed read. With the longest pause, a version that is
	// published just when the source returns is still in force within 8 s.
	minReadBackoff = 250 * time.Millisecond
	maxReadBackoff = 2 * time.Second
	// noListReadDelay is the time after its start from which on a node without a member list reads the source like a
	// reader.
	noListReadDelay = 2 * time.Second
)

// sourceWatch is the state of the reads of one document of the source: the manifest or the member list.
type sourceWatch struct {
	readID     uint64 // read in flight, or 0
	source     int    // index of the source to read next
	nextReadAt time.Duration
	failures   int
	answered   bool // true after the first answer
}

// shouldRead reports whether the node reads the document now. Readers always do; other nodes do when they start and
// while no other node answers.
func (m *StateMachine) shouldRead(now time.Duration, w *sourceWatch) bool {
	if m.options.SourceCount == 0 || w.readID != 0 || now < w.nextReadAt {
		return false
	}
	if m.list == nil {
		return !w.answered || now-m.startedAt >= noListReadDelay
	}
	return m.plan.IsReader || m.isolated || !w.answered && !m.versions.Started()
}

// readSource starts the reads of the manifest and the member list that are due.
func (m *StateMachine) readSource(now time.Duration) {
	if m.shouldRead(now, &m.manifest) && m.takeReadToken(now, &m.manifest) {
		m.manifest.readID = m.addRequest(now, request{})
		m.emit(ReadManifest{ID: m.manifest.readID, Source: m.manifest.source, Wait: m.readWait(&m.manifest)})
	}
	if m.shouldRead(now, &m.members) && m.takeReadToken(now, &m.members) {
		m.members.readID = m.addRequest(now, request{})
		m.emit(ReadMembers{ID: m.members.readID, Source: m.members.source, Wait: m.readWait(&m.members)})
	}
}

// takeReadToken reports whether the rate limit allows a read. Only a node that became a reader because other nodes do
// not answer needs a token: many nodes may become readers at once, and their reads must not overload the source. A
// watch whose last read succeeded needs no token, since the wait of each read limits its rate; otherwise the watches
// would leave no tokens for the reads of values.
func (m *StateMachine) takeReadToken(now time.Duration, w *sourceWatch) bool {
	steady := w.answered && w.failures == 0
	if steady || m.list == nil || m.ranking.ListedRank() < ReadersPerDataCentre || m.readTokens.Take(now) {
		return true
	}
	w.nextReadAt = now + minReadBackoff + m.jitter(minReadBackoff)
	return false
}

// readWait returns for how long the source may delay its answer. The first read, and a read after a failure, must be
// answered immediately.
func (m *StateMachine) readWait(w *sourceWatch) time.Duration {
	if !w.answered || w.failures > 0 {
		return 0
	}
	return PollWait
}

// recordSuccess plans the next read after an answer to the read that was sent at the time sent.
func (w *sourceWatch) recordSuccess(now, sent time.Duration) {
	w.readID = 0
	w.failures = 0
	w.answered = true
	w.nextReadAt = now
	if now-sent < minPollPause {
		w.nextReadAt = now + minPollPause
	}
}

func (m *StateMachine) handleManifestRead(now time.Duration, e ManifestRead) {
	r, ok := m.takeRequest(e.ID)
	if !ok {
		return
	}
	m.manifest.recordSuccess(now, r.sent)
	if m.versions.GreatestVerified().Less(e.Version) {
		m.newestSource = m.manifest.source
	}
	// An answer does not show whether the source is stale, so all sources are read in turn.
	m.manifest.source = (m.manifest.source + 1) % m.options.SourceCount
	if e.Faults != "" {
		m.applyVersionEvent(now, version.SetRejected{Version: e.Version, Faults: e.Faults})
	} else {
		m.applyVersionEvent(now, version.OfferReceived{Version: e.Version, From: version.Source})
	}
	m.applyVersionEvent(now, version.AnswerReceived{From: version.Source})
	current := m.versions.Current()
	if e.Version == current && !current.IsZero() {
		m.versionConfirmedAt = now
	}
	m.recordAnswer(now, agreementOf(e.Version == current), notStated)
}

func (m *StateMachine) handleValuesRead(now time.Duration, e ValuesRead) {
	r, ok := m.takeRequest(e.ID)
	if !ok {
		return
	}
	m.valuesRequestID = 0
	m.recordAnswer(now, notStated, notStated)
	switch e.SetStatus {
	case ValidSet:
		m.applyVersionEvent(now, version.SetVerified{Version: r.version})
		if m.versions.Current() == r.version {
			m.versionConfirmedAt = now
		}
	case InvalidSet:
		m.applyVersionEvent(now, version.SetRejected{Version: r.version, Faults: e.Faults})
	default:
		m.applyVersionEvent(now, version.FetchFailed{Version: r.version, From: version.Source})
	}
}

func (m *StateMachine) handleMembersRead(now time.Duration, e MembersRead) {
	r, ok := m.takeRequest(e.ID)
	if !ok {
		return
	}
	m.recordAnswer(now, notStated, agrees)
	m.members.recordSuccess(now, r.sent)
}

func (m *StateMachine) handleReadFailed(now time.Duration, e ReadFailed) {
	r, ok := m.takeRequest(e.ID)
	if !ok {
		return
	}
	switch e.ID {
	case m.manifest.readID:
		m.backOffRead(now, &m.manifest)
	case m.members.readID:
		m.backOffRead(now, &m.members)
	case m.valuesRequestID:
		m.valuesRequestID = 0
		m.applyVersionEvent(now, version.FetchFailed{Version: r.version, From: version.Source})
	}
}

// backOffRead plans the next read after a failed one: from the next source, after a pause that doubles with each
// failure.
func (m *StateMachine) backOffRead(now time.Duration, w *sourceWatch) {
	w.readID = 0
	backoff := min(minReadBackoff<<min(w.failures, 4), maxReadBackoff)
	w.failures++
	w.source = (w.source + 1) % m.options.SourceCount
	w.nextReadAt = now + backoff/2 + m.jitter(backoff/2)
}
