package invariants

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// disturb schedules failures of all kinds, so that several happen at once and again before the first is over.
func (w *SimulatedMesh) disturb() {
	for at := w.between(quiet/2, quiet); at < runLength-quiet; at += w.between(0, 3*time.Second) {
		failure := failures[w.Random.IntN(len(failures))]
		w.After(at, func() { failure(w) })
	}
	for _, n := range w.nodes {
		for at := w.between(0, 2*time.Second); at < runLength; at += w.between(0, 2*time.Second) {
			// Short freezes stay unnoticed; they fall between any two steps.
			w.After(at, func() { w.freeze(n, w.between(0, time.Millisecond<<w.Random.IntN(11))) })
		}
		for at := w.between(0, 20*time.Second); at < runLength; at += w.between(time.Second, 20*time.Second) {
			w.After(at, n.up.chill)
		}
	}
	w.After(runLength-quiet, w.heal)
}

// failing returns some nodes, up to a third of them, or all of one data centre.
func (w *SimulatedMesh) failing() []*node {
	if w.chance(0.3) {
		dc, all := w.dataCentre(), []*node{}
		for _, n := range w.nodes {
			if n.DataCentre == dc {
				all = append(all, n)
			}
		}
		return all
	}
	some := []*node{}
	for _, i := range w.Random.Perm(len(w.nodes))[:1+w.Random.IntN(len(w.nodes)/3)] {
		some = append(some, w.nodes[i])
	}
	return some
}

func (w *SimulatedMesh) dataCentre() string {
	return w.operator.dataCentres[w.Random.IntN(len(w.operator.dataCentres))]
}

func (w *SimulatedMesh) freeze(n *node, d time.Duration) {
	if !n.Running() {
		return
	}
	if d > time.Second {
		w.note("%s pauses for %v", n.VM, d)
	}
	life := n.Incarnation()
	n.Freeze()
	w.After(d, func() {
		if n.Incarnation() == life {
			n.Resume()
		}
	})
}

// restart ends a node; it starts empty after d.
func (w *SimulatedMesh) restart(n *node, d time.Duration) {
	if n.StateMachine == nil {
		return
	}
	w.note("%s restarts after %v", n.VM, d)
	n.stop()
	w.After(d, func() {
		if n.StateMachine != nil {
			return
		}
		if w.chance(0.5) {
			n.up.replace()
		}
		n.start()
	})
}

var failures = []func(*SimulatedMesh){
	func(w *SimulatedMesh) { // nodes crash, and start empty at once or later
		down := time.Duration(0)
		if w.chance(0.5) {
			down = w.between(0, 15*time.Second)
		}
		for _, n := range w.failing() {
			w.restart(n, down)
		}
	},
	func(w *SimulatedMesh) { // nodes pause and resume together
		pause := w.between(time.Second, 12*time.Second)
		for _, n := range w.failing() {
			w.freeze(n, pause)
		}
	},
	func(w *SimulatedMesh) { // a data centre is cut off, or one side of two
		for range 1 + w.Random.IntN(2) {
			dc := w.dataCentre()
			w.cutOff[dc] = true
			w.brief("%s is cut off", dc, func() { delete(w.cutOff, dc) })
		}
	},
	func(w *SimulatedMesh) { // a data centre does not reach the source
		dc := w.dataCentre()
		w.cutSource[dc] = true
		w.brief("%s is cut from the source", dc, func() { delete(w.cutSource, dc) })
	},
	func(w *SimulatedMesh) { // the source is down
		w.Sources[0].Down = true
		w.brief("the %s is down", distributiontest.SourceLocation, func() { w.Sources[0].Down = false })
	},
	func(w *SimulatedMesh) { // the source serves an old version
		w.stale = true
		w.Sources[0].Publish(w.old())
		w.brief("the %s is stale", distributiontest.SourceLocation, w.recover)
	},
	func(w *SimulatedMesh) { // open connections hang while new ones work
		for _, n := range w.failing() {
			if n.Running() {
				w.note("%s has connections that hang", n.VM)
				n.HangConnections()
			}
		}
	},
	func(w *SimulatedMesh) { // many calls at once
		for range 150 {
			w.newCaller()
		}
	},
}

// brief ends a failure after up to 8 s.
func (w *SimulatedMesh) brief(what, where string, end func()) {
	d := w.between(time.Second, 8*time.Second)
	w.note(what+" for %v", where, d)
	w.After(d, end)
}

func (w *SimulatedMesh) old() wire.VersionID {
	v := w.operator.newest
	for range 1 + w.Random.IntN(3) {
		if parent := w.parents[v]; !parent.IsZero() {
			v = parent
		}
	}
	return v
}

func (w *SimulatedMesh) recover() {
	w.stale = false
	w.operator.show()
}

// heal ends all failures but the short freezes.
func (w *SimulatedMesh) heal() {
	clear(w.cutOff)
	clear(w.cutSource)
	w.Sources[0].Down = false
	w.recover()
	for _, n := range w.nodes {
		n.Resume()
		if n.StateMachine == nil {
			n.start()
		}
	}
}
