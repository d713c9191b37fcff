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
	// PollWait is the longest time for which a node delays its answer to a poll. It is below
	// membership.FreshnessLimit, the time within which a node needs an answer to stay fresh.
	PollWait = 2 * time.Second
	// PollTimeout is the time after which a poll or a read without an answer has failed.
	PollTimeout = 3 * time.Second
	// retryTimeout is the timeout of the poll after a failed one, which uses a new connection and asks for an immediate
	// answer. So a frozen parent is detected after 4 s, which leaves half of the 8 s within which a version must be in
	// force for getting the version from another node.
	retryTimeout = time.Second
	// announcementPause is the pause after a poll that asks only for versions. It halves the bytes that the busiest
	// node sends while nothing changes, and delays a version by at most this time when the primary parent does not
	// answer.
	announcementPause = 2 * time.Second
	// minPollPause is the least time between two polls to one node, or reads of one document, that are answered
	// immediately.
	minPollPause = 250 * time.Millisecond
	// announcedFetchDelay is the time in which an announced version may still arrive from the primary parent or the
	// source. After it, the version is fetched from the node that announced it. With the delay, contents are rarely
	// sent to a node twice.
	announcedFetchDelay = 300 * time.Millisecond
	// probePause is the time between probes of failing nodes, searchPause the time between searches of an isolated
	// node.
	probePause  = 200 * time.Millisecond
	searchPause = time.Second
	// nodesPerSearch is the number of nodes that an isolated node polls in one search.
	nodesPerSearch = 3
	// startReadDelay is the least time for which a node that is not a reader waits for contents from its parents before
	// it reads them from the source; a random time of up to the same length is added.
	startReadDelay = 2 * time.Second
	// seedPause is the time between polls to seed nodes while the member list is not known.
	seedPause = time.Second
)

// Options configure a StateMachine.
type Options struct {
	Self Node
	// SourceCount is the number of sources; reads name them by their index.
	SourceCount   int
	SeedAddresses []string
	Random        *rand.Rand
	Version       version.Options

	// NoFailover, NoRemoteLinks and NoAnnouncements each switch a mechanism off, so that tests can show that it is
	// needed: replacing failing parents, polling other data centres, and using versions that other nodes state in
	// requests.
	NoFailover, NoRemoteLinks, NoAnnouncements bool
}

// request is a poll or a read of the source in flight.
type request struct {
	address string // empty for a read of the source
	// reuseConnection is true for a poll that follows an answer on the same link. All other polls use a new connection,
	// because open connections may hang while new ones work.
	reuseConnection bool
	probe           bool // a single failure is evidence that the node has failed
	contents        bool
	sent            time.Duration
	version         wire.VersionID // version to fetch, or zero
}

// StateMachine decides for one node from which nodes and sources it gets the configuration and the member list, and
// when. It does no I/O: the caller passes events and carries out the returned actions.
type StateMachine struct {
	options         Options
	versions        *version.StateMachine
	failureDetector *membership.FailureDetector
	ranking         *Ranking
	plan            PollPlan
	planOutdated    bool

	list               *platform.MemberList
	requests           map[uint64]request
	lastID             uint64
	links              map[string]*link
	startPhase         startPhase
	manifest           sourceWatch
	members            sourceWatch
	valuesRequestID    uint64 // request that reads values, or 0
	newestSource       int    // index of the source that stated the greatest version
	readTokens         *TokenBucket
	nodeFetch          *delayedFetch // planned fetch from another node
	sourceFetch        *delayedFetch // planned fetch from the source
	listFetch          delayedListFetch
	startedAt          time.Duration
	started            bool
	lastAnswerAt       time.Duration // time of the last answer of a node or the source
	viewConfirmedAt    time.Duration // time of the last answer with which the view was confirmed
	reconfirmation     reconfirmation
	versionConfirmedAt time.Duration
	isolated           bool

	nextProbe, nextSearch time.Duration
	actions               []Action
}

// delayedFetch is a planned fetch of a set.
type delayedFetch struct {
	version wire.VersionID
	from    string
	at      time.Duration
}

// delayedListFetch is a planned fetch of a member list of the given revision.
type delayedListFetch struct {
	revision uint64
	from     string
	at       time.Duration
}

// NewStateMachine returns a state machine that starts with its first event.
func NewStateMachine(o Options) *StateMachine {
	return &StateMachine{
		options:         o,
		versions:        version.NewStateMachine(o.Version),
		failureDetector: membership.NewFailureDetector(o.Random),
		ranking:         NewRanking(o.Self, nil),
		planOutdated:    true,
		requests:        map[uint64]request{},
		links:           map[string]*link{},
		// A node that is not a reader may read the source 4 times at its start, and then once per second.
		readTokens: NewTokenBucket(1, 4),
	}
}

// Versions returns the state machine of version adoption. The caller must not change it.
func (m *StateMachine) Versions() *version.StateMachine { return m.versions }

// MemberList returns the newest member list, or nil.
func (m *StateMachine) MemberList() *platform.MemberList { return m.list }

// PollPlan returns the current plan of which nodes to poll.
func (m *StateMachine) PollPlan() PollPlan { return m.plan }

// ViewConfirmedAt returns the time of the last answer of a node or the source with which this node's view was
// confirmed. It is 0 before the first such answer and after a pause.
func (m *StateMachine) ViewConfirmedAt() time.Duration { return m.viewConfirmedAt }

// VersionConfirmedAt returns the time at which the source last confirmed the version in force, as far as this node
// knows. It is 0 before the first confirmation and after a pause.
func (m *StateMachine) VersionConfirmedAt() time.Duration { return m.versionConfirmedAt }

// Step applies an event at the time now, which must be above 0, and returns the actions to carry out.
func (m *StateMachine) Step(now time.Duration, e Event) []Action {
	if !m.started {
		m.started = true
		m.startedAt = now
		if m.options.SourceCount > 0 {
			m.manifest.source = m.options.Random.IntN(m.options.SourceCount)
		}
		m.manifest.nextReadAt = now + m.jitter(startSpread)
		m.members.nextReadAt = now + m.jitter(startSpread)
	}
	switch e := e.(type) {
	case Tick:
		m.applyVersionEvent(now, version.Tick{})
	case Resumed:
		m.handleResumed(now)
	case MemberListReceived:
		m.handleMemberList(now, e.List)
	case PollAnswered:
		m.handlePollAnswered(now, e)
	case PollFailed:
		m.handlePollFailed(now, e)
	case ManifestRead:
		m.handleManifestRead(now, e)
	case ValuesRead:
		m.handleValuesRead(now, e)
	case MembersRead:
		m.handleMembersRead(now, e)
	case ReadFailed:
		m.handleReadFailed(now, e)
	case VersionAnnounced:
		if !m.options.NoAnnouncements {
			m.applyVersionEvent(now, version.OfferReceived{Version: e.Version, From: e.From})
		}
	}
	m.doDueWork(now)
	actions := m.actions
	m.actions = nil
	return actions
}

// ShouldAnswerAtOnce reports whether a node answers a poll without delay because it has a newer version or member list
// than the polling node: have and haveRevision are those of the polling node, own and ownRevision those of the
// answering one.
func ShouldAnswerAtOnce(have, own wire.VersionID, haveRevision, ownRevision uint64) bool {
	return have.Less(own) || haveRevision < ownRevision
}

// doDueWork starts the requests that are due.
func (m *StateMachine) doDueWork(now time.Duration) {
	m.askAtStart(now)
	m.updatePollPlan(now)
	m.pollLinks(now)
	m.searchWhenIsolated(now)
	m.readSource(now)
	m.startDueFetches(now)
	m.probeFailingNodes(now)
}

// handleResumed drops all requests in flight, since an answer that waited in a socket's buffer during the pause may
// be out of date.
func (m *StateMachine) handleResumed(now time.Duration) {
	clear(m.requests)
	clear(m.links)
	m.valuesRequestID = 0
	m.nodeFetch, m.sourceFetch = nil, nil
	m.manifest = sourceWatch{nextReadAt: now, source: m.manifest.source}
	m.members = sourceWatch{nextReadAt: now, source: m.members.source}
	m.lastAnswerAt, m.viewConfirmedAt, m.versionConfirmedAt = 0, 0, 0
	m.reconfirmation = reconfirmation{pending: true, since: now}
	m.failureDetector.Reset()
	m.planOutdated = true
	// Answers from before the pause do not show the greatest version now, so a start phase that is not over starts
	// again.
	if !m.versions.Started() {
		m.versions = version.NewStateMachine(m.options.Version)
		if m.list != nil {
			m.startPhase.askNodesAt = now
		}
	}
	m.emit(CloseConnections{})
}

func (m *StateMachine) handleMemberList(now time.Duration, list *platform.MemberList) {
	if list == nil || (m.list != nil && list.Revision <= m.list.Revision) {
		return
	}
	m.list = list
	m.ranking = NewRanking(m.options.Self, list.Members)
	m.failureDetector.RetainOnly(m.ranking.IsListed)
	m.planOutdated = true
	m.startPhase.askNodesAt = now
}

func (m *StateMachine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *StateMachine) addRequest(now time.Duration, r request) uint64 {
	m.lastID++
	r.sent = now
	m.requests[m.lastID] = r
	return m.lastID
}

// takeRequest removes and returns a request in flight. It returns false for requests from before a pause.
func (m *StateMachine) takeRequest(id uint64) (request, bool) {
	r, ok := m.requests[id]
	delete(m.requests, id)
	return r, ok
}

func (m *StateMachine) jitter(limit time.Duration) time.Duration {
	return time.Duration(m.options.Random.Int64N(int64(limit)))
}

// applyVersionEvent passes an event to the version state machine and carries out the actions that it returns.
func (m *StateMachine) applyVersionEvent(now time.Duration, e version.Event) {
	for _, a := range m.versions.Step(now, e) {
		switch a := a.(type) {
		case version.AdoptSet:
			// The source confirmed the previous version, not this one.
			m.versionConfirmedAt = 0
			m.emit(AdoptSet{Version: a.Version})
		case version.Conflict:
			m.emit(ReportConflict{Conflict: a})
		case version.FetchSet:
			m.planFetch(now, a)
		}
	}
}

// planFetch plans a fetch, with a delay while the set is likely to arrive from the primary parent or, for a reader,
// from the source. A fetch that is already planned keeps its time; otherwise the repeated requests of the version state
// machine would postpone it forever. Fetches from nodes and from the source are planned separately, so that a node that
// keeps failing does not displace a read of the source.
func (m *StateMachine) planFetch(now time.Duration, a version.FetchSet) {
	f := &delayedFetch{version: a.Version, from: a.From, at: now}
	plan := &m.nodeFetch
	if a.From == version.Source {
		plan = &m.sourceFetch
	}
	if old := *plan; old != nil && old.version == f.version && old.from == f.from {
		return
	}
	switch {
	case a.From == version.Source && !m.isolated && (m.list == nil || !m.plan.IsReader):
		f.at = now + startReadDelay + m.jitter(startReadDelay)
	case a.From != version.Source && m.contentFeedWorks():
		f.at = now + announcedFetchDelay
	}
	*plan = f
}

// contentFeedWorks reports whether a poll to the primary parent or, for a reader, a read of the manifest is in flight
// and the one before did not fail.
func (m *StateMachine) contentFeedWorks() bool {
	if m.plan.IsReader {
		return m.manifest.readID != 0 && m.manifest.failures == 0
	}
	l := m.links[m.plan.PrimaryParent]
	return l != nil && l.pollID != 0 && l.failures == 0
}

// startDueFetches starts the planned fetches that are due.
func (m *StateMachine) startDueFetches(now time.Duration) {
	f := m.sourceFetch
	if f != nil && m.list != nil && m.ranking.ListedRank() < ReadersPerDataCentre {
		// By the member list, this node is a reader, so the other nodes wait for it to read the source.
		f.at = min(f.at, now)
	}
	m.startFetchIfDue(now, &m.sourceFetch)
	m.startFetchIfDue(now, &m.nodeFetch)
	listFetch := m.listFetch
	if listFetch.revision > 0 && now >= listFetch.at {
		m.listFetch = delayedListFetch{}
		if m.list == nil || listFetch.revision > m.list.Revision {
			m.poll(now, request{address: listFetch.from, contents: true}, 0, retryTimeout)
		}
	}
}

// startFetchIfDue starts a planned fetch at its time, if the node still needs the version.
func (m *StateMachine) startFetchIfDue(now time.Duration, plan **delayedFetch) {
	f := *plan
	if f == nil || now < f.at {
		return
	}
	*plan = nil
	if m.versions.WouldAdopt(f.version) && m.versions.GreatestVerified() != f.version {
		m.startFetch(now, f)
	}
}

// startFetch polls the node, or reads the values from the source if the rate limit allows it. Otherwise it plans the
// read again.
func (m *StateMachine) startFetch(now time.Duration, f *delayedFetch) {
	if f.from != version.Source {
		m.poll(now, request{address: f.from, contents: true, version: f.version}, 0, PollTimeout)
		return
	}
	if m.valuesRequestID != 0 {
		return
	}
	if (m.list == nil || m.ranking.ListedRank() >= ReadersPerDataCentre) && !m.readTokens.Take(now) {
		m.sourceFetch = &delayedFetch{version: f.version, from: f.from, at: now + m.jitter(time.Second)}
		return
	}
	m.valuesRequestID = m.addRequest(now, request{version: f.version})
	m.emit(ReadValues{ID: m.valuesRequestID, Source: m.newestSource, Version: f.version})
}
