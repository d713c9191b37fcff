// Package version decides which configuration version a node adopts, and when. It is a pure state machine: the
// caller verifies sets and passes the results as events.
package version

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

const (
	// maxRejected bounds the remembered versions that failed validation. An operator publishes about 480
	// versions a day, and a rejected one is soon replaced, so 64 outlast any repetition.
	maxRejected = 64
	// maxHolders bounds the nodes remembered as holders of the wanted version.
	maxHolders = 4
	// maxOffers bounds the versions that are known and not adopted. The greatest ones are kept.
	maxOffers = 8
)

// Source is the name of the platform as the holder of a version.
const Source = "source"

// Options configure a Machine.
type Options struct {
	// Floor is the lowest version number that is adopted.
	Floor uint64
	// MaxStartPhase bounds the start phase after the first response; 0 means 3 s.
	MaxStartPhase time.Duration
	// GiveUpAfter is the time after which a version that nobody delivers is given up until it is offered
	// again; 0 means 10 s. It keeps a holder that died from blocking the start of others.
	GiveUpAfter time.Duration
	// FetchTimeout is the time after which another holder is asked, while the first may still answer; 0 means
	// 1.5 s. With the 3 s of a poll, two lost answers used up most of the 8 s.
	FetchTimeout time.Duration

	// AdoptInAnyOrder switches the order of versions off, and SkipStartPhase the start phase. Tests show with them
	// that the checks matter.
	AdoptInAnyOrder, SkipStartPhase bool
}

// Event is an input of the machine.
type Event interface{ event() }

// OfferReceived says that a holder, a control address or Source, has a version.
type OfferReceived struct {
	Version wire.VersionID
	From    string
}

// SetVerified says that a whole set is present: all digests match, and the set is valid as a unit.
type SetVerified struct{ Version wire.VersionID }

// SetRejected says that all parts of a version are present and match their digests, and that the set is invalid.
type SetRejected struct {
	Version wire.VersionID
	Faults  string
}

// FetchFailed says that a holder did not deliver the version.
type FetchFailed struct {
	Version wire.VersionID
	From    string
}

// PeerCounts says how many nodes of the own and of other data centres are asked in the start phase.
type PeerCounts struct{ Local, Remote int }

// AnswerReceived says that the source or a node has answered in the start phase; Local marks a node of the own data
// centre. Any version in the answer is passed as Offered first.
type AnswerReceived struct {
	From  string
	Local bool
}

// Tick lets time pass.
type Tick struct{}

func (OfferReceived) event()  {}
func (SetVerified) event()    {}
func (SetRejected) event()    {}
func (FetchFailed) event()    {}
func (PeerCounts) event()     {}
func (AnswerReceived) event() {}
func (Tick) event()           {}

// Action is an output of the machine.
type Action interface{ action() }

// AdoptSet tells the caller to put a version in force that it has reported as Verified.
type AdoptSet struct{ Version wire.VersionID }

// FetchSet tells the caller to get a version from a holder.
type FetchSet struct {
	Version wire.VersionID
	From    string
}

// Conflict reports two manifests with the same number; Winner is the one with the greater digest.
type Conflict struct{ Winner, Loser wire.VersionID }

func (AdoptSet) action() {}
func (FetchSet) action() {}
func (Conflict) action() {}

// String describes the conflict and its remedy.
func (c Conflict) String() string {
	return fmt.Sprintf("two manifests have version %d: %s wins over %s; publish a higher version",
		c.Winner.Number, c.Winner.Digest, c.Loser.Digest)
}

type offer struct {
	version wire.VersionID
	holders []string
	since   time.Duration
}

// StateMachine decides about the versions of one node.
type StateMachine struct {
	o        Options
	current  wire.VersionID
	verified wire.VersionID // greatest verified version, not yet in force while the start phase lasts
	offers   []offer        // ascending by version
	rejected []SetRejected
	conflict *Conflict

	fetching   wire.VersionID
	fetchUntil time.Duration

	started     bool
	peers       *PeerCounts     // nil while unknown
	answers     map[string]bool // by name; true for a node of the own data centre
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
	return &StateMachine{o: o, answers: map[string]bool{}, started: o.SkipStartPhase}
}

// Current returns the version in force, or the zero version.
func (m *StateMachine) Current() wire.VersionID { return m.current }

// GreatestVerified returns the greatest version that was reported as Verified; the caller keeps its set until a greater
// one is verified.
func (m *StateMachine) GreatestVerified() wire.VersionID { return m.verified }

// Started reports whether the start phase is over.
func (m *StateMachine) Started() bool { return m.started }

// HasAnswered reports whether a node's answer counts in the start phase already.
func (m *StateMachine) HasAnswered(from string) bool {
	_, ok := m.answers[from]
	return ok
}

// Ready reports whether the start phase is over and a version is in force.
func (m *StateMachine) Ready() bool { return m.started && !m.current.IsZero() }

// Conflict returns the conflict at the current number or above it, or nil.
func (m *StateMachine) Conflict() *Conflict { return m.conflict }

// Rejections returns the remembered versions that failed validation.
func (m *StateMachine) Rejections() []SetRejected { return append([]SetRejected(nil), m.rejected...) }

// WouldAdopt reports whether the version would be adopted if it were verified.
func (m *StateMachine) WouldAdopt(v wire.VersionID) bool {
	if m.o.AdoptInAnyOrder {
		return v != m.current && !m.isRejected(v)
	}
	return v.Number >= m.o.Floor && m.current.Less(v) && !m.isRejected(v)
}

// Step applies an event at the time now.
func (m *StateMachine) Step(now time.Duration, e Event) []Action {
	var actions []Action
	switch e := e.(type) {
	case OfferReceived:
		actions = m.offered(now, e)
	case SetVerified:
		actions = m.noteConflict(e.Version)
		if m.WouldAdopt(e.Version) && (m.o.AdoptInAnyOrder || m.verified.Less(e.Version)) {
			m.verified = e.Version
		}
	case SetRejected:
		m.reject(e)
	case FetchFailed:
		m.fetchFailed(e)
	case PeerCounts:
		m.peers = &e
	case AnswerReceived:
		m.answered(now, e)
	case Tick:
	}
	return append(actions, m.decide(now)...)
}

func (m *StateMachine) offered(now time.Duration, e OfferReceived) []Action {
	if e.Version.IsZero() {
		return nil
	}
	actions := m.noteConflict(e.Version)
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
		m.offers[i] = offer{version: e.Version, since: now}
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

// noteConflict reports two manifests with one number once.
func (m *StateMachine) noteConflict(v wire.VersionID) []Action {
	known := make([]wire.VersionID, 0, 2+len(m.offers))
	known = append(known, m.current, m.verified)
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

func (m *StateMachine) reject(e SetRejected) {
	if m.isRejected(e.Version) {
		return
	}
	m.rejected = append(m.rejected, e)
	if len(m.rejected) > maxRejected {
		m.rejected = m.rejected[1:]
	}
	m.dropOffers(func(o *offer) bool { return o.version == e.Version })
	if m.fetching == e.Version {
		m.fetching = wire.VersionID{}
	}
}

func (m *StateMachine) isRejected(v wire.VersionID) bool {
	for i := range m.rejected {
		if m.rejected[i].Version.Digest == v.Digest {
			return true
		}
	}
	return false
}

func (m *StateMachine) fetchFailed(e FetchFailed) {
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

func (m *StateMachine) answered(now time.Duration, e AnswerReceived) {
	if m.started {
		return
	}
	if len(m.answers) == 0 {
		m.firstAnswer = now
	}
	m.answers[e.From] = e.Local
}

// startIsOver holds when the source, half of the own data centre's nodes and half of the asked nodes elsewhere
// have answered, or StartWait after the first answer. A stale source or a stale node alone therefore cannot roll
// a restarted node back. The nodes elsewhere count because a whole data centre may restart, and its nodes then
// answer at once that they have nothing.
func (m *StateMachine) startIsOver(now time.Duration) bool {
	if len(m.answers) == 0 {
		return false
	}
	if now-m.firstAnswer >= m.o.MaxStartPhase {
		return true
	}
	if !m.HasAnswered(Source) || m.peers == nil {
		return false
	}
	local, remote := 0, -1 // the source is not a node
	for _, isLocal := range m.answers {
		if isLocal {
			local++
		} else {
			remote++
		}
	}
	return 2*local >= m.peers.Local && 2*remote >= m.peers.Remote
}

func (m *StateMachine) decide(now time.Duration) []Action {
	if !m.started && m.startIsOver(now) {
		m.started = true
		m.answers = nil
	}
	m.dropOffers(func(o *offer) bool {
		return !m.WouldAdopt(o.version) || (len(o.holders) == 0 && now-o.since >= m.o.GiveUpAfter)
	})
	var actions []Action
	if m.mayAdopt(now) {
		m.current = m.verified
		if m.conflict != nil && m.conflict.Winner.Number < m.current.Number {
			m.conflict = nil
		}
		m.dropOffers(func(o *offer) bool { return !m.WouldAdopt(o.version) })
		actions = append(actions, AdoptSet{Version: m.current})
	}
	return append(actions, m.fetch(now)...)
}

// mayAdopt holds for a verified version after the start phase. The first version must also be the greatest one
// that is known, because an empty node does not know what it had in force before its restart.
func (m *StateMachine) mayAdopt(now time.Duration) bool {
	if !m.started || m.verified.IsZero() || !m.WouldAdopt(m.verified) {
		return false
	}
	if !m.current.IsZero() || m.o.SkipStartPhase {
		return true
	}
	for i := range m.offers {
		// A version that nobody could deliver for GiveUpAfter no longer holds the start up.
		if m.verified.Less(m.offers[i].version) && now-m.offers[i].since < m.o.GiveUpAfter {
			return false
		}
	}
	return true
}

// fetch asks one holder at a time for the greatest version that is known and not yet verified.
func (m *StateMachine) fetch(now time.Duration) []Action {
	if len(m.offers) == 0 {
		m.fetching = wire.VersionID{}
		return nil
	}
	best := &m.offers[len(m.offers)-1]
	done := !m.verified.Less(best.version) && !m.o.AdoptInAnyOrder
	if done || m.verified == best.version || len(best.holders) == 0 {
		return nil
	}
	if m.fetching == best.version && now < m.fetchUntil {
		return nil
	}
	if m.fetching == best.version {
		// The holder was asked and did not answer in time; the next one is asked.
		best.holders = append(best.holders[1:], best.holders[0])
	}
	m.fetching = best.version
	m.fetchUntil = now + m.o.FetchTimeout
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
