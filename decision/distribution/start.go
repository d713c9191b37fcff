package distribution

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/decision/version"
)

// remoteNodesAsked is the number of nodes in each other data centre that a starting node polls.
const remoteNodesAsked = 3

// startPhase is the state of a node that has no version in force yet.
type startPhase struct {
	askNodesAt time.Duration // time of the next polls to listed nodes; 0 while the member list is not known
	askSeedAt  time.Duration // time of the next poll to a seed
	nextSeed   int
}

// askAtStart polls seed nodes for the member list while it is not known, and then listed nodes for their versions until
// the start phase is over.
func (m *StateMachine) askAtStart(now time.Duration) {
	if m.list == nil && len(m.options.SeedAddresses) > 0 && now >= m.startPhase.askSeedAt {
		seed := m.options.SeedAddresses[m.startPhase.nextSeed%len(m.options.SeedAddresses)]
		m.startPhase.nextSeed++
		m.startPhase.askSeedAt = now + seedPause
		if seed != m.options.Self.Address {
			m.poll(now, request{address: seed, contents: true}, 0, retryTimeout)
		}
	}
	if m.versions.Started() || m.startPhase.askNodesAt == 0 || now < m.startPhase.askNodesAt {
		return
	}
	m.startPhase.askNodesAt = now + retryTimeout
	local := m.ranking.LocalNodes()
	remote := m.ranking.RemoteNodes(remoteNodesAsked)
	m.applyVersionEvent(now, version.PeerCounts{Local: len(local), Remote: len(remote)})
	for _, n := range slices.Concat(local, remote) {
		if !m.versions.HasAnswered(n.Address) {
			m.poll(now, request{address: n.Address}, 0, retryTimeout)
		}
	}
}
