package distribution

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/version"
)

// link is the state of the continuous polls to one other node.
type link struct {
	contents   bool   // polls ask for the set and the member list
	pollID     uint64 // poll in flight, or 0
	nextPollAt time.Duration
	failures   int
	answered   bool // true after the first answer
}

// updatePollPlan recomputes which nodes to poll after the member list or the evidence of failures has changed.
func (m *StateMachine) updatePollPlan(now time.Duration) {
	if !m.planOutdated {
		return
	}
	m.planOutdated = false
	isFailing := m.failureDetector.IsFailing
	if m.options.NoFailover {
		isFailing = func(string) bool { return false }
	}
	m.plan = m.ranking.PollPlan(isFailing)
	wanted := map[string]bool{}
	if m.plan.SecondaryParent != "" {
		wanted[m.plan.SecondaryParent] = false
	}
	if !m.options.NoRemoteLinks {
		for _, address := range m.plan.RemoteReaders {
			wanted[address] = false
		}
	}
	if m.plan.PrimaryParent != "" {
		// A reader gets contents from the source, so its polls to the other reader ask only for versions.
		wanted[m.plan.PrimaryParent] = !m.plan.IsReader
	}
	for address, l := range m.links {
		contents, ok := wanted[address]
		if !ok || contents != l.contents {
			delete(m.links, address)
		}
	}
	for address, contents := range wanted {
		if m.links[address] == nil {
			m.links[address] = &link{contents: contents, nextPollAt: now}
		}
	}
}

// pollLinks starts the polls of the links that are due.
func (m *StateMachine) pollLinks(now time.Duration) {
	for _, address := range m.linkOrder() {
		l := m.links[address]
		if l == nil || l.pollID != 0 || now < l.nextPollAt {
			continue
		}
		r := request{address: address, contents: l.contents, reuseConnection: l.answered && l.failures == 0}
		if !r.reuseConnection {
			// The node may have failed, so the poll does not wait and has a shorter timeout.
			l.pollID = m.poll(now, r, 0, retryTimeout)
		} else {
			l.pollID = m.poll(now, r, PollWait, PollTimeout)
		}
	}
}

// linkOrder returns the polled addresses in a fixed order, so that runs with the same seed are identical.
func (m *StateMachine) linkOrder() []string {
	order := make([]string, 0, 2+len(m.plan.RemoteReaders))
	if m.plan.PrimaryParent != "" {
		order = append(order, m.plan.PrimaryParent)
	}
	if m.plan.SecondaryParent != "" {
		order = append(order, m.plan.SecondaryParent)
	}
	return append(order, m.plan.RemoteReaders...)
}

// poll starts a poll and returns its ID.
func (m *StateMachine) poll(now time.Duration, r request, wait, timeout time.Duration) uint64 {
	id := m.addRequest(now, r)
	m.emit(Poll{
		ID: id, Address: r.address, Wait: wait, Timeout: timeout, Contents: r.contents, NewConnection: !r.reuseConnection,
	})
	return id
}

func (m *StateMachine) handlePollAnswered(now time.Duration, e PollAnswered) {
	r, ok := m.takeRequest(e.ID)
	if !ok {
		return
	}
	if m.failureDetector.IsFailing(r.address) {
		m.planOutdated = true
	}
	m.failureDetector.RecordAnswer(r.address)
	before := m.versions.GreatestVerified()
	m.applyVersionEvent(now, version.OfferReceived{Version: e.Version, From: r.address})
	m.handleReceivedSet(now, r, e)
	m.applyVersionEvent(now, version.AnswerReceived{From: r.address, Local: m.ranking.IsLocal(r.address)})
	m.recordPollAnswer(now, e)
	if e.VersionConfirmed && e.Version == m.versions.Current() {
		m.versionConfirmedAt = max(m.versionConfirmedAt, now-e.ConfirmationAge)
	}
	if m.list == nil || e.MembersRevision > m.list.Revision {
		m.planListFetch(now, r.address, e.MembersRevision)
	}
	m.scheduleNextPoll(now, e.ID, r, m.versions.GreatestVerified() != before)
}

// recordPollAnswer records what the answer to a poll confirms of this node's view.
func (m *StateMachine) recordPollAnswer(now time.Duration, e PollAnswered) {
	if e.ViewUnconfirmed {
		m.recordAnswer(now, notStated, notStated)
		return
	}
	list := m.list != nil && e.MembersRevision <= m.list.Revision
	m.recordAnswer(now, agreementOf(e.Version == m.versions.Current()), agreementOf(list))
}

// planListFetch plans to fetch a newer member list from the node that announced it. The fetch is delayed by 1 s, in
// which the list may arrive from a parent or the source.
func (m *StateMachine) planListFetch(now time.Duration, from string, revision uint64) {
	if revision > m.listFetch.revision {
		m.listFetch = delayedListFetch{revision: revision, from: from, at: now + time.Second}
	}
}

// handleReceivedSet passes the status of the set in an answer to the version state machine.
func (m *StateMachine) handleReceivedSet(now time.Duration, r request, e PollAnswered) {
	switch e.SetStatus {
	case ValidSet:
		m.applyVersionEvent(now, version.SetVerified{Version: e.Version})
	case InvalidSet:
		m.applyVersionEvent(now, version.SetRejected{Version: e.Version, Faults: e.Faults})
	case IncompleteSet:
		m.applyVersionEvent(now, version.FetchFailed{Version: e.Version, From: r.address})
		m.failureDetector.RecordFailure(now, r.address)
		m.planOutdated = true
	case NoSet:
		if !r.version.IsZero() && m.versions.WouldAdopt(r.version) {
			m.applyVersionEvent(now, version.FetchFailed{Version: r.version, From: r.address})
		}
	}
}

// scheduleNextPoll sets the time of the next poll of a link after an answer; progress is true when the answer gave this
// node a newer version.
func (m *StateMachine) scheduleNextPoll(now time.Duration, id uint64, r request, progress bool) {
	l := m.links[r.address]
	if l == nil || l.pollID != id {
		return
	}
	l.pollID = 0
	l.failures = 0
	l.answered = true
	l.nextPollAt = now
	atOnce := now-r.sent < minPollPause
	switch {
	case !l.contents && m.contentFeedWorks():
		l.nextPollAt = now + announcementPause
	case progress:
	case atOnce && l.contents && r.reuseConnection:
		// The parent has something newer that this node cannot use, such as a version below the version floor.
		l.nextPollAt = now + announcementPause/2
	case atOnce:
		l.nextPollAt = now + minPollPause
	}
}

func (m *StateMachine) handlePollFailed(now time.Duration, e PollFailed) {
	r, ok := m.takeRequest(e.ID)
	if !ok {
		return
	}
	if !r.version.IsZero() {
		m.applyVersionEvent(now, version.FetchFailed{Version: r.version, From: r.address})
	}
	if r.probe {
		m.failureDetector.RecordFailure(now, r.address)
		m.planOutdated = true
		return
	}
	l := m.links[r.address]
	if l == nil || l.pollID != e.ID {
		return
	}
	l.pollID = 0
	l.failures++
	l.nextPollAt = now
	if l.failures < 2 {
		// The connection may hang while new ones work, so the node gets a second poll before it counts as failed.
		m.pollOtherLinksNow(now, r.address)
		return
	}
	l.nextPollAt = now + minPollPause
	m.failureDetector.RecordFailure(now, r.address)
	m.planOutdated = true
}

// pollOtherLinksNow ends the pauses of the other links, since the link that failed may be the one to the primary
// parent.
func (m *StateMachine) pollOtherLinksNow(now time.Duration, failed string) {
	for address, l := range m.links {
		if address != failed {
			l.nextPollAt = min(l.nextPollAt, now)
		}
	}
}

// probeFailingNodes regularly polls nodes with evidence of failure, to find out when they answer again.
func (m *StateMachine) probeFailingNodes(now time.Duration) {
	if now < m.nextProbe {
		return
	}
	address, ok := m.failureDetector.NextProbe(now)
	if !ok {
		return
	}
	m.nextProbe = now + probePause
	m.poll(now, request{address: address, probe: true}, 0, retryTimeout)
}

// searchWhenIsolated polls random preceding nodes and allows reads of the source when neither a node nor the source has
// answered for PollTimeout. The parents may have failed together, and trying the preceding nodes one after the other
// would take too long.
func (m *StateMachine) searchWhenIsolated(now time.Duration) {
	isolated := m.lastAnswerAt > 0 && now-m.lastAnswerAt >= PollTimeout && !m.options.NoFailover
	if !isolated {
		m.isolated = false
		return
	}
	if !m.isolated {
		m.isolated = true
		m.nextSearch = now
		m.manifest.nextReadAt = max(m.manifest.nextReadAt, now+m.jitter(startSpread))
	}
	if now < m.nextSearch {
		return
	}
	m.nextSearch = now + searchPause
	candidates := m.plan.PrecedingNodes
	if len(candidates) == 0 {
		return
	}
	for range nodesPerSearch {
		address := candidates[m.options.Random.IntN(len(candidates))]
		m.poll(now, request{address: address, probe: true}, 0, retryTimeout)
	}
}
