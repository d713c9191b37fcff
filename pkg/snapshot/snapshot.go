// Package snapshot holds the immutable configuration snapshot that the control goroutine of package distribution
// publishes to the goroutines that serve calls.
package snapshot

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Snapshot is one adopted configuration with the member list at the time of publication. It is never changed after
// publication.
type Snapshot struct {
	Version wire.VersionID
	// ParentDigest is the digest of the manifest from which Version was built.
	ParentDigest string
	Set          *config.Set
	// Members maps the name of an upstream to the VM that runs it according to the platform's member list.
	Members map[string]platform.Member
	// SelfLeaving is true when the member list shows this node's VM as leaving, or this process is stopping.
	SelfLeaving bool
}

// Consistent checks that the routes, upstreams and keys of the snapshot's set refer only to objects that the set
// declares. The error names the first one that does not. A snapshot is checked before its publication, so that for
// example no route leads to a service that this node does not have.
func (s *Snapshot) Consistent() error {
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

// Store holds the current snapshot. The control goroutine publishes snapshots; goroutines that serve calls load them.
type Store struct{ current atomic.Pointer[Snapshot] }

// Load returns the current snapshot, or nil before the first adoption.
func (s *Store) Load() *Snapshot { return s.current.Load() }

// Publish replaces the current snapshot. Only the control goroutine calls it.
func (s *Store) Publish(next *Snapshot) { s.current.Store(next) }

// Freshness holds the times, on the process's monotonic clock, of the last confirmations of the node's view, which is
// its configuration and member list, and of the version of the configuration. An answer of the source, or of another
// node with a confirmed view, confirms the view. Only the source confirms the version; other nodes pass on the time of
// that confirmation. The control goroutine writes the times; goroutines that serve calls read them. Zero means never.
type Freshness struct {
	viewConfirmed    atomic.Int64
	versionConfirmed atomic.Int64
}

// RecordViewConfirmed records that the source, or another node with a confirmed view, answered at now.
func (f *Freshness) RecordViewConfirmed(now time.Duration) { raise(&f.viewConfirmed, now) }

// RecordVersionConfirmed records that the source confirmed the current version at now.
func (f *Freshness) RecordVersionConfirmed(now time.Duration) { raise(&f.versionConfirmed, now) }

// Reset clears both times. A node calls it after it was paused.
func (f *Freshness) Reset() {
	f.viewConfirmed.Store(0)
	f.versionConfirmed.Store(0)
}

// ViewConfirmedWithin reports whether the view was confirmed by the source or another node at most limit before now.
func (f *Freshness) ViewConfirmedWithin(now, limit time.Duration) bool {
	at := time.Duration(f.viewConfirmed.Load())
	return at > 0 && now-at <= limit
}

// VersionConfirmedAge returns the time since the source last confirmed the version; ok is false when it never did.
func (f *Freshness) VersionConfirmedAge(now time.Duration) (age time.Duration, ok bool) {
	at := time.Duration(f.versionConfirmed.Load())
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
