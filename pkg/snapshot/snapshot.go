// Package snapshot holds the immutable view that the control goroutine publishes to the traffic goroutines.
package snapshot

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Snapshot is one adopted configuration with the list of VMs at the time of publication. It is never changed
// after publication.
type Snapshot struct {
	Version wire.VersionID
	// ParentDigest is the digest of the manifest from which Version was built.
	ParentDigest string
	Set          *config.Set
	// Members maps an upstream's name to the VM that the platform's list gives for it.
	Members map[string]platform.Member
	// SelfLeaving is true when the list shows this node's VM as leaving, or this process is stopping.
	SelfLeaving bool
}

// CheckReferences reports the first reference that does not resolve within the snapshot, so that no route points at
// a resource that this node does not have.
func (s *Snapshot) CheckReferences() error {
	for i := range s.Set.Routes {
		r := &s.Set.Routes[i]
		if s.Set.Service(r.Service) == nil {
			return fmt.Errorf("route %q refers to service %q, which the set does not declare", r.Name, r.Service)
		}
	}
	for i := range s.Set.Upstreams {
		u := &s.Set.Upstreams[i]
		if s.Set.Service(u.Service) == nil || s.Set.DataCentre(u.DataCentre) == nil {
			return fmt.Errorf("upstream %q refers to service %q in data centre %q; one is not declared",
				u.Name, u.Service, u.DataCentre)
		}
	}
	for i := range s.Set.Keys {
		if k := &s.Set.Keys[i]; s.Set.Team(k.Team) == nil {
			return fmt.Errorf("key %q refers to team %q, which the set does not declare", k.ID, k.Team)
		}
	}
	return nil
}

// Store publishes snapshots from the control goroutine to the traffic goroutines.
type Store struct{ current atomic.Pointer[Snapshot] }

// Load returns the current snapshot, or nil before the first adoption.
func (s *Store) Load() *Snapshot { return s.current.Load() }

// Publish replaces the current snapshot. Only the control goroutine calls it.
func (s *Store) Publish(next *Snapshot) { s.current.Store(next) }

// Freshness holds the times, on the process's monotonic clock, at which the view was last confirmed. The
// control goroutine writes, traffic reads; a zero value means never.
type Freshness struct {
	heard     atomic.Int64
	confirmed atomic.Int64
}

// RecordViewConfirmed records that another node or the source answered at now.
func (f *Freshness) RecordViewConfirmed(now time.Duration) { raise(&f.heard, now) }

// RecordVersionConfirmed records that the source confirmed the current version at now.
func (f *Freshness) RecordVersionConfirmed(now time.Duration) { raise(&f.confirmed, now) }

// Reset forgets both times; a node that was paused calls it on waking.
func (f *Freshness) Reset() {
	f.heard.Store(0)
	f.confirmed.Store(0)
}

// ViewConfirmedWithin reports whether another node or the source answered within limit before now.
func (f *Freshness) ViewConfirmedWithin(now, limit time.Duration) bool {
	at := time.Duration(f.heard.Load())
	return at > 0 && now-at <= limit
}

// VersionConfirmedAge returns the time since the source confirmed the version; ok is false when it never did.
func (f *Freshness) VersionConfirmedAge(now time.Duration) (age time.Duration, ok bool) {
	at := time.Duration(f.confirmed.Load())
	return now - at, at > 0
}

func raise(v *atomic.Int64, now time.Duration) {
	for {
		old := v.Load()
		if old >= int64(now) || v.CompareAndSwap(old, int64(now)) {
			return
		}
	}
}
