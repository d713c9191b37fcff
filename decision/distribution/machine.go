package distribution

import (
	"math/rand/v2"
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/membership"
	"github.com/bamboodeal/bamboodeal/decision/version"
)

const (
	// PollWait is the longest time for which a poll is held; a node must hear of somebody within
	// membership.FreshnessLimit.
	PollWait = 2 * time.Second
	// PollTimeout is the time after which a poll has failed.
	PollTimeout = 3 * time.Second
	// retryTimeout bounds the poll that follows a failure, on a new connection and without waiting. A
	// frozen parent is so known after 4 s, which leaves half of the 8 s for the way around it.
	retryTimeout = time.Second
	// restPause follows each poll that only announces. It halves the idle bytes of the busiest node, and adds
	// at most this time where the primary parent is silent.
	restPause = 2 * time.Second
	// minPause separates polls of one node that are answered at once.
	minPause = 250 * time.Millisecond
	// fetchGrace is the time for which an announced version may arrive from the primary parent or the source
	// before it is fetched from the node that announced it, so that contents are rarely sent twice.
	fetchGrace = 300 * time.Millisecond
	// probePause separates probes of dead nodes, and searchPause the searches of a node that hears nobody.
	probePause  = 200 * time.Millisecond
	searchPause = time.Second
	// searchWidth is the number of nodes asked in one search.
	searchWidth = 3
	// treeDelay, and up to as much again, is the time for which a starting node that is not a reader waits
	// for the contents from its parents before it reads them from the source.
	treeDelay = 2 * time.Second
	// seedPause separates questions to seeds while no list is known.
	seedPause = time.Second
)

// Options configure a Machine.
type Options struct {
	Self Node
	// SourceCount is the number of sources.
	SourceCount   int
	SeedAddresses []string
	Random        *rand.Rand
	Version       version.Options

	// NoFailover, NoRemoteLinks and NoAnnouncements switch mechanisms off; tests show with them that each matters.
	NoFailover, NoRemoteLinks, NoAnnouncements bool
}

type request struct {
	address string // empty for a read of the source
	// steady polls follow an answer of the same link and reuse its connection. All others use a new one,
	// because open connections may hang while new ones work.
	steady   bool
	probe    bool // a failure is evidence against the address
	contents bool
	sent     time.Duration
	version  wire.VersionID // version to fetch, or zero
}

// StateMachine makes the decisions of one node about its configuration and its member list.
type StateMachine struct {
	o        Options
	versions *version.StateMachine
	evidence *membership.FailureDetector
	ranking  *Ranking
	plan     PollPlan
	dirty    bool

	list        *platform.MemberList
	requests    map[uint64]request
	lastID      uint64
	links       map[string]*link
	start       startPhase
	manifest    watch
	members     watch
	values      uint64 // request that reads values, or 0
	offering    int    // source that named the greatest version
	bucket      *TokenBucket
	fetch       *delayedFetch // from another node
	sourceFetch *delayedFetch
	listHint    listHint
	began       time.Duration
	running     bool
	heard       time.Duration // last answer of a node or the source
	viewed      time.Duration // last answer that confirmed the view
	reconfirm   reconfirmation
	confirmed   time.Duration
	isolated    bool

	nextProbe, nextSearch time.Duration
	actions               []Action
}

type delayedFetch struct {
	version wire.VersionID
	from    string
	at      time.Duration
}

type listHint struct {
	revision uint64
	from     string
	at       time.Duration
}

// NewStateMachine returns a machine that begins with the first Tick.
func NewStateMachine(o Options) *StateMachine {
	return &StateMachine{
		o:        o,
		versions: version.NewStateMachine(o.Version),
		evidence: membership.NewFailureDetector(o.Random),
		ranking:  NewRanking(o.Self, nil),
		dirty:    true,
		requests: map[uint64]request{},
		links:    map[string]*link{},
		// A node that is not a reader may start with a few reads, and then read once a second.
		bucket: NewTokenBucket(1, 4),
	}
}

// Versions gives the state of adoption; the caller only reads.
func (m *StateMachine) Versions() *version.StateMachine { return m.versions }

// MemberList returns the greatest member list, or nil.
func (m *StateMachine) MemberList() *platform.MemberList { return m.list }

// PollPlan returns whom the node polls now.
func (m *StateMachine) PollPlan() PollPlan { return m.plan }

// ViewConfirmedAt returns the time of the last answer of a node or the source that left the view confirmed, and Confirmed the
// time at which the source last confirmed the version in force. They are 0 before the first and after a pause.
func (m *StateMachine) ViewConfirmedAt() time.Duration { return m.viewed }

// VersionConfirmedAt returns the time at which the source last confirmed the version in force, or 0.
func (m *StateMachine) VersionConfirmedAt() time.Duration { return m.confirmed }

// Step applies an event at the time now, which must be above 0, and returns what to do.
func (m *StateMachine) Step(now time.Duration, e Event) []Action {
	if !m.running {
		m.running = true
		m.began = now
		if m.o.SourceCount > 0 {
			m.manifest.source = m.o.Random.IntN(m.o.SourceCount)
		}
		m.manifest.next = now + m.jitter(startSpread)
		m.members.next = now + m.jitter(startSpread)
	}
	switch e := e.(type) {
	case Tick:
		m.apply(now, version.Tick{})
	case Resumed:
		m.resumed(now)
	case MemberListReceived:
		m.listChanged(now, e.List)
	case PollAnswered:
		m.pollAnswered(now, e)
	case PollFailed:
		m.pollFailed(now, e)
	case ManifestRead:
		m.manifestRead(now, e)
	case ValuesRead:
		m.valuesRead(now, e)
	case MembersRead:
		m.membersRead(now, e)
	case ReadFailed:
		m.readFailed(now, e)
	case VersionAnnounced:
		if !m.o.NoAnnouncements {
			m.apply(now, version.OfferReceived{Version: e.Version, From: e.From})
		}
	}
	m.maintain(now)
	actions := m.actions
	m.actions = nil
	return actions
}

// ShouldAnswerAtOnce reports whether a node answers a poll without waiting: it has something newer than the asking one.
func ShouldAnswerAtOnce(have, own wire.VersionID, haveRevision, ownRevision uint64) bool {
	return have.Less(own) || haveRevision < ownRevision
}

// maintain starts what is due.
func (m *StateMachine) maintain(now time.Duration) {
	m.maintainStart(now)
	m.maintainPlan(now)
	m.maintainLinks(now)
	m.maintainSearch(now)
	m.maintainSource(now)
	m.maintainFetch(now)
	m.maintainProbes(now)
}

// resumed drops all that was in flight: an answer that waited in a socket's buffer during the pause is out of date.
func (m *StateMachine) resumed(now time.Duration) {
	clear(m.requests)
	clear(m.links)
	m.values = 0
	m.fetch, m.sourceFetch = nil, nil
	m.manifest = watch{next: now, source: m.manifest.source}
	m.members = watch{next: now, source: m.members.source}
	m.heard, m.viewed, m.confirmed = 0, 0, 0
	m.reconfirm = reconfirmation{pending: true, since: now}
	m.evidence.Reset()
	m.dirty = true
	// Answers from before the pause do not say what is the greatest version now, so an unfinished start begins anew.
	if !m.versions.Started() {
		m.versions = version.NewStateMachine(m.o.Version)
		if m.list != nil {
			m.start.askAt = now
		}
	}
	m.emit(CloseConnections{})
}

func (m *StateMachine) listChanged(now time.Duration, list *platform.MemberList) {
	if list == nil || (m.list != nil && list.Revision <= m.list.Revision) {
		return
	}
	m.list = list
	m.ranking = NewRanking(m.o.Self, list.Members)
	m.evidence.RetainOnly(m.ranking.IsListed)
	m.dirty = true
	m.start.askAt = now
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *StateMachine) request(now time.Duration, r request) uint64 {
	m.lastID++
	r.sent = now
	m.requests[m.lastID] = r
	return m.lastID
}

// take returns a request that is in flight and ends it. Answers to requests from before a pause find none.
func (m *StateMachine) take(id uint64) (request, bool) {
	r, ok := m.requests[id]
	delete(m.requests, id)
	return r, ok
}

func (m *StateMachine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.o.Random.Int64N(int64(limit)))
}

// apply passes an event to the version machine and carries out its actions.
func (m *StateMachine) apply(now time.Duration, e version.Event) {
	for _, a := range m.versions.Step(now, e) {
		switch a := a.(type) {
		case version.AdoptSet:
			// The confirmation belongs to the older version.
			m.confirmed = 0
			m.emit(AdoptSet{Version: a.Version})
		case version.Conflict:
			m.emit(ReportConflict{Conflict: a})
		case version.FetchSet:
			m.planFetch(now, a)
		}
	}
}

// planFetch delays a fetch while the contents are likely to arrive by the usual way. A fetch that is planned already
// keeps its time; otherwise the repeated requests of the version machine would put it off for good. Reads of the
// source have a plan of their own, so that a node that keeps failing does not displace them.
func (m *StateMachine) planFetch(now time.Duration, a version.FetchSet) {
	f := &delayedFetch{version: a.Version, from: a.From, at: now}
	plan := &m.fetch
	if a.From == version.Source {
		plan = &m.sourceFetch
	}
	if old := *plan; old != nil && old.version == f.version && old.from == f.from {
		return
	}
	switch {
	case a.From == version.Source && !m.isolated && (m.list == nil || !m.plan.IsReader):
		f.at = now + treeDelay + m.jitter(treeDelay)
	case a.From != version.Source && m.feedsArrive():
		f.at = now + fetchGrace
	}
	*plan = f
}

// feedsArrive reports whether the primary parent or, for a reader, the source is being watched without failures.
func (m *StateMachine) feedsArrive() bool {
	if m.plan.IsReader {
		return m.manifest.id != 0 && m.manifest.failures == 0
	}
	l := m.links[m.plan.PrimaryParent]
	return l != nil && l.id != 0 && l.failures == 0
}

func (m *StateMachine) maintainFetch(now time.Duration) {
	f := m.sourceFetch
	if f != nil && m.list != nil && m.ranking.ListedRank() < ReadersPerDataCentre {
		// The list has shown that the others wait for this node.
		f.at = min(f.at, now)
	}
	m.startDue(now, &m.sourceFetch)
	m.startDue(now, &m.fetch)
	h := m.listHint
	if h.revision > 0 && now >= h.at {
		m.listHint = listHint{}
		if m.list == nil || h.revision > m.list.Revision {
			m.poll(now, request{address: h.from, contents: true}, 0, retryTimeout)
		}
	}
}

// startDue starts a planned fetch when its time has come and it is still of use.
func (m *StateMachine) startDue(now time.Duration, plan **delayedFetch) {
	f := *plan
	if f == nil || now < f.at {
		return
	}
	*plan = nil
	if m.versions.WouldAdopt(f.version) && m.versions.GreatestVerified() != f.version {
		m.startFetch(now, f)
	}
}

func (m *StateMachine) startFetch(now time.Duration, f *delayedFetch) {
	if f.from != version.Source {
		m.poll(now, request{address: f.from, contents: true, version: f.version}, 0, PollTimeout)
		return
	}
	if m.values != 0 {
		return
	}
	if (m.list == nil || m.ranking.ListedRank() >= ReadersPerDataCentre) && !m.bucket.Take(now) {
		m.sourceFetch = &delayedFetch{version: f.version, from: f.from, at: now + m.jitter(time.Second)}
		return
	}
	m.values = m.request(now, request{version: f.version})
	m.emit(ReadValues{ID: m.values, Source: m.offering, Version: f.version})
}
