package distribution

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/version"
)

// remoteAsked is the number of nodes in each other data centre that a starting node asks.
const remoteAsked = 3

// startPhase is the state of a node that has nothing in force yet.
type startPhase struct {
	askAt    time.Duration // time of the next questions to listed nodes; 0 while no list is known
	seedAt   time.Duration
	nextSeed int
}

// maintainStart asks seeds for the list while there is none, and listed nodes for their versions until the start
// phase is over.
func (m *StateMachine) maintainStart(now time.Duration) {
	if m.list == nil && len(m.o.SeedAddresses) > 0 && now >= m.start.seedAt {
		seed := m.o.SeedAddresses[m.start.nextSeed%len(m.o.SeedAddresses)]
		m.start.nextSeed++
		m.start.seedAt = now + seedPause
		if seed != m.o.Self.Address {
			m.poll(now, request{address: seed, contents: true}, 0, retryTimeout)
		}
	}
	if m.versions.Started() || m.start.askAt == 0 || now < m.start.askAt {
		return
	}
	m.start.askAt = now + retryTimeout
	local := m.ranking.LocalNodes()
	remote := m.ranking.RemoteNodes(remoteAsked)
	m.apply(now, version.PeerCounts{Local: len(local), Remote: len(remote)})
	for _, n := range slices.Concat(local, remote) {
		if !m.versions.HasAnswered(n.Address) {
			m.poll(now, request{address: n.Address}, 0, retryTimeout)
		}
	}
}
