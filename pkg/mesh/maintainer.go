package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

const (
	// watchWait is how long the store holds a watch without a change. It bounds how long a connection that went
	// silent is unnoticed.
	watchWait = 2500 * time.Millisecond
	// batchTime is the least time between two watches, so that a series of changes costs few calls. It is a small
	// part of the 2 s in which a version has to be in force.
	batchTime = 150 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed call; it doubles and is spread by a random half.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// expireInterval is how often entries that wait for their removal are looked at.
	expireInterval = 250 * time.Millisecond
)

// Maintainer keeps the current view. Run is its control goroutine; View may be called from any other.
type Maintainer struct {
	source   Source
	clock    clock.Clock
	log      *logrus.Logger
	registry *Registry
	view     atomic.Pointer[View]
	onView   func(*View)
	// contact is when the store last answered, on the clock.
	contact  atomic.Int64
	loaded   bool
	revision uint64
	lost     bool
}

// NewMaintainer returns a maintainer whose view is empty. onView is called with each new view, from the control
// goroutine.
func NewMaintainer(source Source, ownAddress string, c clock.Clock, log *logrus.Logger, onView func(*View)) *Maintainer {
	m := &Maintainer{source: source, clock: c, log: log, registry: NewRegistry(ownAddress), onView: onView}
	m.view.Store(m.registry.View())
	return m
}

// View returns the current view; it is never nil.
func (m *Maintainer) View() *View { return m.view.Load() }

// StoreAge returns how long ago the store last answered.
func (m *Maintainer) StoreAge() time.Duration { return m.clock.Now() - time.Duration(m.contact.Load()) }

// answer is the outcome of one call to the store.
type answer struct {
	contents *Contents
	changes  []Change
	revision uint64
	err      error
}

// Run follows the store until ctx ends.
func (m *Maintainer) Run(ctx context.Context) {
	answers := make(chan answer, 1)
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	wait := time.NewTimer(0)
	defer wait.Stop()
	retry := firstRetry
	var started time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-wait.C:
			started = m.clock.Now()
			go m.call(answers, m.loaded, m.revision)
		case a := <-answers:
			if m.take(a) {
				retry = firstRetry
				wait.Reset(max(0, batchTime-(m.clock.Now()-started)))
				continue
			}
			wait.Reset(retry/2 + rand.N(retry/2))
			retry = min(2*retry, lastRetry)
		case <-expire.C:
			if m.registry.Expire(m.clock.Now()) {
				m.publish()
			}
		}
	}
}

func (m *Maintainer) call(answers chan<- answer, loaded bool, revision uint64) {
	if loaded {
		changes, next, err := m.source.Watch(revision, watchWait)
		answers <- answer{changes: changes, revision: next, err: err}
		return
	}
	contents, next, err := m.source.Load()
	answers <- answer{contents: &contents, revision: next, err: err}
}

// take handles the outcome of a call and reports whether the store answered.
func (m *Maintainer) take(a answer) bool {
	now := m.clock.Now()
	if errors.Is(a.err, ErrHistoryLost) {
		m.log.WithField("revision", m.revision).Warn("the store discarded its history; loading all contents")
		m.loaded = false
		m.answered(now)
		return true
	}
	if a.err != nil {
		m.registry.Lost()
		if !m.lost {
			m.lost = true
			m.log.WithError(a.err).WithField("revision", m.revision).Warn("lost the store; serving on the last view")
		}
		return false
	}
	m.answered(now)
	if m.lost {
		m.lost = false
		m.log.WithField("revision", a.revision).Info("the store answers again")
	}
	m.revision = a.revision
	if a.contents != nil {
		m.loaded = true
		m.registry.Replace(now, *a.contents)
		m.publish()
		return true
	}
	for _, c := range a.changes {
		m.registry.Apply(now, c)
	}
	if len(a.changes) > 0 {
		m.publish()
	}
	return true
}

func (m *Maintainer) answered(now time.Duration) {
	m.registry.Contact(now)
	m.contact.Store(int64(now))
}

// publish makes the registry's state visible to the traffic goroutines.
func (m *Maintainer) publish() {
	next, last := m.registry.View(), m.view.Load()
	m.view.Store(next)
	m.logChange(last, next)
	if m.onView != nil {
		m.onView(next)
	}
}

func (m *Maintainer) logChange(last, next *View) {
	fields := logrus.Fields{"revision": m.revision, "vms": len(next.VMs)}
	if next.Config != nil {
		fields["version"] = next.Config.Version
	}
	if last.Config != nil {
		fields["previous_version"] = last.Config.Version
	}
	if next.Own != nil {
		fields["upstream"] = next.Own.ID
	}
	if len(next.Evacuated) > 0 {
		fields["evacuated"] = next.Evacuated
	}
	m.log.WithFields(fields).Info("adopted a new view of the mesh")
}
