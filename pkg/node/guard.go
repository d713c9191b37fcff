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

// viewGuard returns the node's snapshot only while it is recent enough to be acted on. It checks for a pause of the
// process on every call, so that a call that waited in a socket during a pause is not served with the snapshot from
// before the pause.
type viewGuard struct {
	clock     clock.Clock
	wallTime  func() time.Time
	store     *snapshot.Store
	freshness *snapshot.Freshness
	ready     func() bool
	// onAdopt is called once for each snapshot, before the first call that uses it.
	onAdopt func(*snapshot.Snapshot)
	// onPause is called after a pause, before the next call is served.
	onPause func()

	mu            sync.Mutex
	pauseDetector membership.PauseDetector
	pauseCount    int
	// lastPauseEnd is when the last pause was detected, shortly after its end, or negative when there was none.
	lastPauseEnd time.Duration
	// adopted is the snapshot for which onAdopt was called last.
	adopted atomic.Pointer[snapshot.Snapshot]
}

// checkPause checks whether the process was paused. It is called for each call and every pauseCheckInterval.
func (g *viewGuard) checkPause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.pauseDetector.Check(g.clock.Now(), g.wallTime()) {
		return
	}
	g.pauseCount++
	g.lastPauseEnd = g.clock.Now()
	g.freshness.Reset()
	g.onPause()
}

// Current returns the snapshot, or nil and the error kind with which calls are to be refused.
func (g *viewGuard) Current() (*snapshot.Snapshot, wire.ErrorKind) {
	g.checkPause()
	snap := g.store.Load()
	if snap == nil {
		return nil, wire.KindNotReady
	}
	if g.adopted.Load() != snap {
		g.adoptOnce(snap)
	}
	if !g.ready() {
		return nil, wire.KindNotReady
	}
	if !g.freshness.ViewConfirmedWithin(g.clock.Now(), membership.FreshnessLimit) {
		return nil, wire.KindStaleConfiguration
	}
	return snap, ""
}

// adoptOnce calls onAdopt unless another goroutine has done so for this snapshot, or the snapshot was replaced.
func (g *viewGuard) adoptOnce(snap *snapshot.Snapshot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.adopted.Load() == snap || g.store.Load() != snap {
		return
	}
	g.onAdopt(snap)
	g.adopted.Store(snap)
}

// VersionConfirmedWithin reports whether the source confirmed the version of the configuration at most age ago.
func (g *viewGuard) VersionConfirmedWithin(age time.Duration) bool {
	confirmedAge, ok := g.freshness.VersionConfirmedAge(g.clock.Now())
	return ok && confirmedAge <= age
}

// Pauses returns the number of detected pauses.
func (g *viewGuard) Pauses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pauseCount
}

// LastPauseEnd returns the time at which the last pause was detected; it is negative when there was none.
func (g *viewGuard) LastPauseEnd() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastPauseEnd
}
