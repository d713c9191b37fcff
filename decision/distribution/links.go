package distribution

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/version"
)

// link is a node that is polled continuously.
type link struct {
	contents bool
	id       uint64 // poll in flight, or 0
	next     time.Duration
	failures int
	answered bool
}

// maintainPlan recomputes whom to poll after the list or the evidence changed.
func (m *StateMachine) maintainPlan(now time.Duration) {
	if !m.dirty {
		return
	}
	m.dirty = false
	dead := m.evidence.IsFailing
	if m.o.NoFailover {
		dead = func(string) bool { return false }
	}
	m.plan = m.ranking.PollPlan(dead)
	wanted := map[string]bool{}
	if m.plan.SecondaryParent != "" {
		wanted[m.plan.SecondaryParent] = false
	}
	if !m.o.NoRemoteLinks {
		for _, address := range m.plan.RemoteReaders {
			wanted[address] = false
		}
	}
	if m.plan.PrimaryParent != "" {
		// A reader gets the contents from the source; its link to the other reader only announces.
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
			m.links[address] = &link{contents: contents, next: now}
		}
	}
}

func (m *StateMachine) maintainLinks(now time.Duration) {
	for _, address := range m.linkOrder() {
		l := m.links[address]
		if l == nil || l.id != 0 || now < l.next {
			continue
		}
		r := request{address: address, contents: l.contents, steady: l.answered && l.failures == 0}
		if !r.steady {
			// A node that may be dead is not given the time of a whole poll.
			l.id = m.poll(now, r, 0, retryTimeout)
		} else {
			l.id = m.poll(now, r, PollWait, PollTimeout)
		}
	}
}

// linkOrder gives a fixed order, so that a run can be repeated.
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

func (m *StateMachine) poll(now time.Duration, r request, wait, timeout time.Duration) uint64 {
	id := m.request(now, r)
	m.emit(Poll{
		ID: id, Address: r.address, Wait: wait, Timeout: timeout, Contents: r.contents, NewConnection: !r.steady,
	})
	return id
}

func (m *StateMachine) pollAnswered(now time.Duration, e PollAnswered) {
	r, ok := m.take(e.ID)
	if !ok {
		return
	}
	if m.evidence.IsFailing(r.address) {
		m.dirty = true
	}
	m.evidence.RecordAnswer(r.address)
	before := m.versions.GreatestVerified()
	m.apply(now, version.OfferReceived{Version: e.Version, From: r.address})
	m.delivered(now, r, e)
	m.apply(now, version.AnswerReceived{From: r.address, Local: m.ranking.IsLocal(r.address)})
	m.notePoll(now, e)
	if e.VersionConfirmed && e.Version == m.versions.Current() {
		m.confirmed = max(m.confirmed, now-e.ConfirmationAge)
	}
	if m.list == nil || e.MembersRevision > m.list.Revision {
		m.hintList(now, r.address, e.MembersRevision)
	}
	m.rest(now, e.ID, r, m.versions.GreatestVerified() != before)
}

func (m *StateMachine) notePoll(now time.Duration, e PollAnswered) {
	if e.ViewUnconfirmed {
		m.noteAnswer(now, silent, silent)
		return
	}
	list := m.list != nil && e.MembersRevision <= m.list.Revision
	m.noteAnswer(now, opinionOf(e.Version == m.versions.Current()), opinionOf(list))
}

func (m *StateMachine) hintList(now time.Duration, from string, revision uint64) {
	if revision > m.listHint.revision {
		m.listHint = listHint{revision: revision, from: from, at: now + time.Second}
	}
}

func (m *StateMachine) delivered(now time.Duration, r request, e PollAnswered) {
	switch e.SetStatus {
	case ValidSet:
		m.apply(now, version.SetVerified{Version: e.Version})
	case InvalidSet:
		m.apply(now, version.SetRejected{Version: e.Version, Faults: e.Faults})
	case IncompleteSet:
		m.apply(now, version.FetchFailed{Version: e.Version, From: r.address})
		m.evidence.RecordFailure(now, r.address)
		m.dirty = true
	case NoSet:
		if !r.version.IsZero() && m.versions.WouldAdopt(r.version) {
			m.apply(now, version.FetchFailed{Version: r.version, From: r.address})
		}
	}
}

// rest sets the time of the next poll of a link.
func (m *StateMachine) rest(now time.Duration, id uint64, r request, progress bool) {
	l := m.links[r.address]
	if l == nil || l.id != id {
		return
	}
	l.id = 0
	l.failures = 0
	l.answered = true
	l.next = now
	atOnce := now-r.sent < minPause
	switch {
	case !l.contents && m.feedsArrive():
		l.next = now + restPause
	case progress:
	case atOnce && l.contents && r.steady:
		// The parent has something that this node cannot use, such as a version below the floor.
		l.next = now + restPause/2
	case atOnce:
		l.next = now + minPause
	}
}

func (m *StateMachine) pollFailed(now time.Duration, e PollFailed) {
	r, ok := m.take(e.ID)
	if !ok {
		return
	}
	if !r.version.IsZero() {
		m.apply(now, version.FetchFailed{Version: r.version, From: r.address})
	}
	if r.probe {
		m.evidence.RecordFailure(now, r.address)
		m.dirty = true
		return
	}
	l := m.links[r.address]
	if l == nil || l.id != e.ID {
		return
	}
	l.id = 0
	l.failures++
	l.next = now
	if l.failures < 2 {
		// One connection may hang while new ones work, so the node is tried once more.
		m.hastenOthers(now, r.address)
		return
	}
	l.next = now + minPause
	m.evidence.RecordFailure(now, r.address)
	m.dirty = true
}

// hastenOthers ends the rest of the other links: the primary parent may be silent.
func (m *StateMachine) hastenOthers(now time.Duration, failed string) {
	for address, l := range m.links {
		if address != failed {
			l.next = min(l.next, now)
		}
	}
}

// maintainProbes asks dead nodes from time to time whether they are back.
func (m *StateMachine) maintainProbes(now time.Duration) {
	if now < m.nextProbe {
		return
	}
	address, ok := m.evidence.NextProbe(now)
	if !ok {
		return
	}
	m.nextProbe = now + probePause
	m.poll(now, request{address: address, probe: true}, 0, retryTimeout)
}

// maintainSearch asks any preceding nodes, and the source, when nobody has answered for the length of a poll: the
// parents may have failed together, and finding out one by one who is left would take too long.
func (m *StateMachine) maintainSearch(now time.Duration) {
	isolated := m.heard > 0 && now-m.heard >= PollTimeout && !m.o.NoFailover
	if !isolated {
		m.isolated = false
		return
	}
	if !m.isolated {
		m.isolated = true
		m.nextSearch = now
		m.manifest.next = max(m.manifest.next, now+m.jitter(startSpread))
	}
	if now < m.nextSearch {
		return
	}
	m.nextSearch = now + searchPause
	candidates := m.plan.PrecedingNodes
	if len(candidates) == 0 {
		return
	}
	for range searchWidth {
		address := candidates[m.o.Random.IntN(len(candidates))]
		m.poll(now, request{address: address, probe: true}, 0, retryTimeout)
	}
}
