// Package version decides which version of the configuration a node adopts, and when. It is a state machine without
// input or output of its own: the caller fetches and verifies configuration sets and passes the results as events.
package version

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

const (
	// maxRejections bounds the number of recorded versions that failed validation. An operator publishes about 480
	// versions a day and replaces a rejected one soon, so a version that drops out of the last 64 is no longer offered.
	maxRejections = 64
	// maxHolders bounds the number of recorded holders of an offered version.
	maxHolders = 4
	// maxOffers bounds the number of versions that are offered and not adopted. The greatest ones are kept.
	maxOffers = 8
)

// Source is the name of the platform's configuration source as the holder of a version. All other holders are named by
// the control addresses of their nodes.
const Source = "source"

// Options configure a StateMachine.
type Options struct {
	// Floor is the lowest version number that is adopted.
	Floor uint64
	// MaxStartPhase is the longest duration of the start phase, counted from the first answer; 0 means 3 s. In the
	// start phase a node asks other nodes for their versions before it adopts one.
	MaxStartPhase time.Duration
	// GiveUpAfter is the time after which a version that no holder delivers is dropped until it is offered again; 0
	// means 10 s. Without it, a version whose only holder failed would keep other nodes from starting.
	GiveUpAfter time.Duration
	// FetchTimeout is the time after which a version is fetched from another holder, although the first may still
	// answer; 0 means 1.5 s. With the 3 s of a poll, two lost answers took most of the 8 s within which a version must
	// be in force.
	FetchTimeout time.Duration

	// AdoptInAnyOrder lets the machine adopt older versions, and SkipStartPhase omits the start phase. Tests use them
	// to show that the order and the start phase are necessary.
	AdoptInAnyOrder, SkipStartPhase bool
}

// Event is an input of the state machine.
type Event interface{ event() }

// OfferReceived says that a holder has a version. From is Source or the control address of a node.
type OfferReceived struct {
	Version wire.VersionID
	From    string
}

// SetVerified says that the caller has the whole configuration set of a version, that all parts match their digests and
// that the set is valid as a unit.
type SetVerified struct{ Version wire.VersionID }

// SetRejected says that the caller has the whole configuration set of a version and that all parts match their digests,
// but that the set is invalid.
type SetRejected struct {
	Version wire.VersionID
	// Faults describes what is invalid.
	Faults string
}

// FetchFailed says that a holder did not deliver the version.
type FetchFailed struct {
	Version wire.VersionID
	From    string
}

// PeerCounts says how many nodes of the own data centre (Local) and of other data centres (Remote) the caller asks in
// the start phase.
type PeerCounts struct{ Local, Remote int }

// AnswerReceived says that the source or a node has answered in the start phase. Local is true for a node of the own
// data centre. If the answer contains a version, the caller passes OfferReceived before this event.
type AnswerReceived struct {
	From  string
	Local bool
}

// Tick only advances the time.
type Tick struct{}

func (OfferReceived) event()  {}
func (SetVerified) event()    {}
func (SetRejected) event()    {}
func (FetchFailed) event()    {}
func (PeerCounts) event()     {}
func (AnswerReceived) event() {}
func (Tick) event()           {}

// Action is an output of the state machine.
type Action interface{ action() }

// AdoptSet tells the caller to put a version in force, for which it has passed SetVerified before.
type AdoptSet struct{ Version wire.VersionID }

// FetchSet tells the caller to fetch a version from a holder.
type FetchSet struct {
	Version wire.VersionID
	From    string
}

// Conflict reports two manifests with the same version number. Winner is the one with the greater digest.
type Conflict struct{ Winner, Loser wire.VersionID }

func (AdoptSet) action() {}
func (FetchSet) action() {}
func (Conflict) action() {}

// String describes the conflict and its remedy.
func (c Conflict) String() string {
	return fmt.Sprintf("two manifests have version %d: %s wins over %s; publish a higher version",
		c.Winner.Number, c.Winner.Digest, c.Loser.Digest)
}

// offer is a version that was offered and is not adopted, with the holders that have not failed to deliver it.
type offer struct {
	version   wire.VersionID
	holders   []string
	offeredAt time.Duration
}

// StateMachine decides which versions one node fetches and adopts.
type StateMachine struct {
	options          Options
	current          wire.VersionID
	greatestVerified wire.VersionID // not in force before the start phase is over
	offers           []offer        // in ascending order of versions
	rejections       []SetRejected
	conflict         *Conflict

	fetching       wire.VersionID
	fetchTimeoutAt time.Duration

	started     bool
	peers       *PeerCounts     // nil while unknown
	answers     map[string]bool // by source or node; true for a node of the own data centre
	firstAnswer time.Duration
}

// NewStateMachine returns a machine in the start phase.
func NewStateMachine(o Options) *StateMachine {
	if o.MaxStartPhase == 0 {
		o.MaxStartPhase = 3 * time.Second
	}
	if o.GiveUpAfter == 0 {
		o.GiveUpAfter = 10 * time.Second
	}
	if o.FetchTimeout == 0 {
		o.FetchTimeout = 1500 * time.Millisecond
	}
	return &StateMachine{options: o, answers: map[string]bool{}, started: o.SkipStartPhase}
}

// Current returns the version in force, or the zero version if there is none.
func (m *StateMachine) Current() wire.VersionID { return m.current }

// GreatestVerified returns the greatest version for which SetVerified was passed. The caller keeps the configuration
// set of this version until a greater one is verified.
func (m *StateMachine) GreatestVerified() wire.VersionID { return m.greatestVerified }

// Started reports whether the start phase is over.
func (m *StateMachine) Started() bool { return m.started }

// HasAnswered reports whether an answer from the given node or Source was passed during the start phase. It returns
// false after the start phase.
func (m *StateMachine) HasAnswered(from string) bool {
	_, ok := m.answers[from]
	return ok
}

// Ready reports whether the start phase is over and a version is in force.
func (m *StateMachine) Ready() bool { return m.started && !m.current.IsZero() }

// Conflict returns the last conflict, or nil if there was none or a version with a higher number has been adopted
// since.
func (m *StateMachine) Conflict() *Conflict { return m.conflict }

// Rejections returns the last versions that failed validation.
func (m *StateMachine) Rejections() []SetRejected { return append([]SetRejected(nil), m.rejections...) }

// WouldAdopt reports whether the version would be adopted if it were verified.
func (m *StateMachine) WouldAdopt(v wire.VersionID) bool {
	if m.options.AdoptInAnyOrder {
		return v != m.current && !m.isRejected(v)
	}
	return v.Number >= m.options.Floor && m.current.Less(v) && !m.isRejected(v)
}

// Step applies an event at the time now and returns the resulting actions.
func (m *StateMachine) Step(now time.Duration, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case OfferReceived:
		actions = m.addOffer(now, e)
	case SetVerified:
		actions = m.recordConflict(e.Version)
		if m.WouldAdopt(e.Version) && (m.options.AdoptInAnyOrder || m.greatestVerified.Less(e.Version)) {
			m.greatestVerified = e.Version
		}
	case SetRejected:
		m.recordRejection(e)
	case FetchFailed:
		m.removeHolder(e)
	case PeerCounts:
		m.peers = &e
	case AnswerReceived:
		m.recordAnswer(now, e)
	case Tick:
	}
	return append(actions, m.adoptAndFetch(now)...)
}

func (m *StateMachine) addOffer(now time.Duration, e OfferReceived) []Action {
	if e.Version.IsZero() {
		return nil
	}
	actions := m.recordConflict(e.Version)
	if !m.WouldAdopt(e.Version) {
		return actions
	}
	i := 0
	for i < len(m.offers) && m.offers[i].version.Less(e.Version) {
		i++
	}
	if i == len(m.offers) || m.offers[i].version != e.Version {
		m.offers = append(m.offers, offer{})
		copy(m.offers[i+1:], m.offers[i:])
		m.offers[i] = offer{version: e.Version, offeredAt: now}
	}
	m.offers[i].addHolder(e.From)
	if len(m.offers) > maxOffers {
		m.offers = m.offers[1:]
	}
	return actions
}

func (o *offer) addHolder(from string) {
	for _, h := range o.holders {
		if h == from {
			return
		}
	}
	if len(o.holders) < maxHolders {
		o.holders = append(o.holders, from)
	}
}

// recordConflict returns a Conflict if another manifest with the same number is known and the conflict is not recorded
// yet.
func (m *StateMachine) recordConflict(v wire.VersionID) []Action {
	known := make([]wire.VersionID, 0, 2+len(m.offers))
	known = append(known, m.current, m.greatestVerified)
	for i := range m.offers {
		known = append(known, m.offers[i].version)
	}
	for _, k := range known {
		if k.IsZero() || k.Number != v.Number || k.Digest == v.Digest {
			continue
		}
		c := Conflict{Winner: k, Loser: v}
		if k.Less(v) {
			c = Conflict{Winner: v, Loser: k}
		}
		if m.conflict == nil || *m.conflict != c {
			m.conflict = &c
			return []Action{c}
		}
		return nil
	}
	return nil
}

func (m *StateMachine) recordRejection(e SetRejected) {
	if m.isRejected(e.Version) {
		return
	}
	m.rejections = append(m.rejections, e)
	if len(m.rejections) > maxRejections {
		m.rejections = m.rejections[1:]
	}
	m.dropOffers(func(o *offer) bool { return o.version == e.Version })
	if m.fetching == e.Version {
		m.fetching = wire.VersionID{}
	}
}

func (m *StateMachine) isRejected(v wire.VersionID) bool {
	for i := range m.rejections {
		if m.rejections[i].Version.Digest == v.Digest {
			return true
		}
	}
	return false
}

func (m *StateMachine) removeHolder(e FetchFailed) {
	for i := range m.offers {
		o := &m.offers[i]
		if o.version != e.Version {
			continue
		}
		for j, h := range o.holders {
			if h == e.From {
				o.holders = append(o.holders[:j], o.holders[j+1:]...)
				break
			}
		}
	}
	if m.fetching == e.Version {
		m.fetching = wire.VersionID{}
	}
}

func (m *StateMachine) recordAnswer(now time.Duration, e AnswerReceived) {
	if m.started {
		return
	}
	if len(m.answers) == 0 {
		m.firstAnswer = now
	}
	m.answers[e.From] = e.Local
}

// startPhaseOver reports whether the source, half of the nodes of the own data centre and half of the asked remote
// nodes have answered, or MaxStartPhase has passed since the first answer. A restarted node thus does not go back to an
// older version because of one source or node that is out of date. Remote nodes are needed because all nodes of a data
// centre may restart together, and then answer immediately that they have no version.
func (m *StateMachine) startPhaseOver(now time.Duration) bool {
	if len(m.answers) == 0 {
		return false
	}
	if now-m.firstAnswer >= m.options.MaxStartPhase {
		return true
	}
	if !m.HasAnswered(Source) || m.peers == nil {
		return false
	}
	local, remote := 0, -1 // The source counts as remote in the loop and is not a node.
	for _, isLocal := range m.answers {
		if isLocal {
			local++
		} else {
			remote++
		}
	}
	return 2*local >= m.peers.Local && 2*remote >= m.peers.Remote
}

func (m *StateMachine) adoptAndFetch(now time.Duration) []Action {
	if !m.started && m.startPhaseOver(now) {
		m.started = true
		m.answers = nil
	}
	m.dropOffers(func(o *offer) bool {
		return !m.WouldAdopt(o.version) || (len(o.holders) == 0 && now-o.offeredAt >= m.options.GiveUpAfter)
	})
	var actions []Action
	if m.mayAdopt(now) {
		m.current = m.greatestVerified
		if m.conflict != nil && m.conflict.Winner.Number < m.current.Number {
			m.conflict = nil
		}
		m.dropOffers(func(o *offer) bool { return !m.WouldAdopt(o.version) })
		actions = append(actions, AdoptSet{Version: m.current})
	}
	return append(actions, m.fetch(now)...)
}

// mayAdopt reports whether the greatest verified version may be adopted now. The first version that a node adopts must
// also be the greatest one that is offered, because the node does not know which version it had in force before a
// restart.
func (m *StateMachine) mayAdopt(now time.Duration) bool {
	if !m.started || m.greatestVerified.IsZero() || !m.WouldAdopt(m.greatestVerified) {
		return false
	}
	if !m.current.IsZero() || m.options.SkipStartPhase {
		return true
	}
	for i := range m.offers {
		// A version that no holder has delivered within GiveUpAfter no longer delays the start.
		if m.greatestVerified.Less(m.offers[i].version) && now-m.offers[i].offeredAt < m.options.GiveUpAfter {
			return false
		}
	}
	return true
}

// fetch returns the action to fetch the greatest offered version that is not verified, from one holder at a time.
func (m *StateMachine) fetch(now time.Duration) []Action {
	if len(m.offers) == 0 {
		m.fetching = wire.VersionID{}
		return nil
	}
	best := &m.offers[len(m.offers)-1]
	done := !m.greatestVerified.Less(best.version) && !m.options.AdoptInAnyOrder
	if done || m.greatestVerified == best.version || len(best.holders) == 0 {
		return nil
	}
	if m.fetching == best.version && now < m.fetchTimeoutAt {
		return nil
	}
	if m.fetching == best.version {
		// The last holder that was asked did not answer in time, so the next one is asked.
		best.holders = append(best.holders[1:], best.holders[0])
	}
	m.fetching = best.version
	m.fetchTimeoutAt = now + m.options.FetchTimeout
	return []Action{FetchSet{Version: best.version, From: best.holders[0]}}
}

func (m *StateMachine) dropOffers(drop func(*offer) bool) {
	kept := m.offers[:0]
	for i := range m.offers {
		if !drop(&m.offers[i]) {
			kept = append(kept, m.offers[i])
		}
	}
	m.offers = kept
}
