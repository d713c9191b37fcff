package invariants

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// scheduleFailures schedules failures of all kinds at random times, so that they overlap.
func (m *SimulatedMesh) scheduleFailures() {
	for at := m.randomDuration(quietPeriod/2, quietPeriod); at < runDuration-quietPeriod; at += m.randomDuration(0, 3*time.Second) {
		failure := failures[m.Random.IntN(len(failures))]
		m.After(at, func() { failure(m) })
	}
	for _, n := range m.nodes {
		for at := m.randomDuration(0, 2*time.Second); at < runDuration; at += m.randomDuration(0, 2*time.Second) {
			// Short freezes, most of which the node does not notice, can happen between any two steps.
			m.After(at, func() { m.freeze(n, m.randomDuration(0, time.Millisecond<<m.Random.IntN(11))) })
		}
		for at := m.randomDuration(0, 20*time.Second); at < runDuration; at += m.randomDuration(time.Second, 20*time.Second) {
			m.After(at, n.upstream.makeCold)
		}
	}
	m.After(runDuration-quietPeriod, m.endFailures)
}

// randomNodes returns up to a third of the nodes, or all nodes of one data centre.
func (m *SimulatedMesh) randomNodes() []*node {
	if m.randomBool(0.3) {
		dc, all := m.randomDataCentre(), []*node{}
		for _, n := range m.nodes {
			if n.DataCentre == dc {
				all = append(all, n)
			}
		}
		return all
	}
	some := []*node{}
	for _, i := range m.Random.Perm(len(m.nodes))[:1+m.Random.IntN(len(m.nodes)/3)] {
		some = append(some, m.nodes[i])
	}
	return some
}

func (m *SimulatedMesh) randomDataCentre() string {
	return m.operator.dataCentres[m.Random.IntN(len(m.operator.dataCentres))]
}

// freeze stops a running node's process for d.
func (m *SimulatedMesh) freeze(n *node, d time.Duration) {
	if !n.Running() {
		return
	}
	if d > time.Second {
		m.logEvent("%s pauses for %v", n.VM, d)
	}
	incarnation := n.Incarnation()
	n.Freeze()
	m.After(d, func() {
		if n.Incarnation() == incarnation {
			n.Resume()
		}
	})
}

// restart stops a node and starts it without state after d. In half of the cases a cold upstream replaces its upstream.
func (m *SimulatedMesh) restart(n *node, d time.Duration) {
	if n.StateMachine == nil {
		return
	}
	m.logEvent("%s restarts after %v", n.VM, d)
	n.stop()
	m.After(d, func() {
		if n.StateMachine != nil {
			return
		}
		if m.randomBool(0.5) {
			n.upstream.replaceWithCold()
		}
		n.start()
	})
}

// failures are the kinds of failures, each of which happens with the same probability.
var failures = []func(*SimulatedMesh){
	func(m *SimulatedMesh) { // nodes crash and start without state, at once or later
		down := time.Duration(0)
		if m.randomBool(0.5) {
			down = m.randomDuration(0, 15*time.Second)
		}
		for _, n := range m.randomNodes() {
			m.restart(n, down)
		}
	},
	func(m *SimulatedMesh) { // nodes pause and resume together
		pause := m.randomDuration(time.Second, 12*time.Second)
		for _, n := range m.randomNodes() {
			m.freeze(n, pause)
		}
	},
	func(m *SimulatedMesh) { // one or two data centres are cut off from the others and the source
		for range 1 + m.Random.IntN(2) {
			dc := m.randomDataCentre()
			m.isolatedDataCentres[dc] = true
			m.endFailureLater("%s is cut off", dc, func() { delete(m.isolatedDataCentres, dc) })
		}
	},
	func(m *SimulatedMesh) { // a data centre does not reach the source
		dc := m.randomDataCentre()
		m.cutFromSource[dc] = true
		m.endFailureLater("%s is cut from the source", dc, func() { delete(m.cutFromSource, dc) })
	},
	func(m *SimulatedMesh) { // the source is down
		m.Sources[0].Down = true
		m.endFailureLater("the %s is down", distributiontest.SourceLocation, func() { m.Sources[0].Down = false })
	},
	func(m *SimulatedMesh) { // the source serves an old version
		m.sourceStale = true
		m.Sources[0].Publish(m.olderVersion())
		m.endFailureLater("the %s is stale", distributiontest.SourceLocation, m.recoverSource)
	},
	func(m *SimulatedMesh) { // existing connections hang while new ones work
		for _, n := range m.randomNodes() {
			if n.Running() {
				m.logEvent("existing connections of %s hang", n.VM)
				n.HangConnections()
			}
		}
	},
	func(m *SimulatedMesh) { // 150 additional calls at once
		for range 150 {
			m.startCaller()
		}
	},
}

// endFailureLater logs a failure at a place and ends it after a random time of 1 to 8 s.
func (m *SimulatedMesh) endFailureLater(what, where string, end func()) {
	d := m.randomDuration(time.Second, 8*time.Second)
	m.logEvent(what+" for %v", where, d)
	m.After(d, end)
}

// olderVersion returns an ancestor of the newest version, up to three versions back.
func (m *SimulatedMesh) olderVersion() wire.VersionID {
	v := m.operator.newest
	for range 1 + m.Random.IntN(3) {
		if parent := m.parents[v]; !parent.IsZero() {
			v = parent
		}
	}
	return v
}

// recoverSource ends the staleness of the source.
func (m *SimulatedMesh) recoverSource() {
	m.sourceStale = false
	m.operator.updateSource()
}

// endFailures ends all failures except the short freezes.
func (m *SimulatedMesh) endFailures() {
	clear(m.isolatedDataCentres)
	clear(m.cutFromSource)
	m.Sources[0].Down = false
	m.recoverSource()
	for _, n := range m.nodes {
		n.Resume()
		if n.StateMachine == nil {
			n.start()
		}
	}
}
