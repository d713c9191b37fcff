package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/membership"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// guard tells traffic whether the node's view may be acted on. Every call passes it, so that a call that waited
// in a socket while the process did not run is not served with the view from before the pause.
type guard struct {
	clock     clock.Clock
	wall      func() time.Time
	store     *snapshot.Store
	freshness *snapshot.Freshness
	ready     func() bool
	// adopt is called once for each snapshot, before the first call that uses it.
	adopt func(*snapshot.Snapshot)
	// paused is called after a pause, before the next call is looked at.
	paused func()

	mu     sync.Mutex
	pause  membership.PauseDetector
	pauses int
	// resumed is when the last pause was noticed, or negative.
	resumed time.Duration
	seen    atomic.Pointer[snapshot.Snapshot]
}

// check notices a pause; each call and the watcher do so.
func (g *guard) check() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pause.Check(g.clock.Now(), g.wall()) {
		return
	}
	g.pauses++
	g.resumed = g.clock.Now()
	g.freshness.Reset()
	g.paused()
}

// Current returns the snapshot, or nil with the kind of refusal.
func (g *guard) Current() (*snapshot.Snapshot, wire.ErrorKind) {
	g.check()
	snap := g.store.Load()
	if snap == nil {
		return nil, wire.KindNotReady
	}
	if g.seen.Load() != snap {
		g.take(snap)
	}
	if !g.ready() {
		return nil, wire.KindNotReady
	}
	if !g.freshness.ViewConfirmedWithin(g.clock.Now(), membership.FreshnessLimit) {
		return nil, wire.KindStaleConfiguration
	}
	return snap, ""
}

func (g *guard) take(snap *snapshot.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.seen.Load() == snap || g.store.Load() != snap {
		return
	}
	g.adopt(snap)
	g.seen.Store(snap)
}

// VersionConfirmedWithin reports whether the source confirmed the version within the age.
func (g *guard) VersionConfirmedWithin(age time.Duration) bool {
	confirmed, ok := g.freshness.VersionConfirmedAge(g.clock.Now())
	return ok && confirmed <= age
}

// Pauses returns the number of pauses noticed.
func (g *guard) Pauses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauses
}

// LastPause returns when the last pause was noticed; it is negative when there was none.
func (g *guard) LastPause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed
}
