package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/decision/sources"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

const (
	// readWait is how long a source holds a read without a change. A reader that lost the store, or a connection that
	// went silent, is noticed after it.
	readWait = 500 * time.Millisecond
	// relayWait is the same for a reader that follows another one. Its own followers add their wait to its age.
	relayWait = 150 * time.Millisecond
	// batchTime is the least time between two reads, so that a series of changes costs few calls. It is a small part
	// of the 2 s in which a version has to be in force.
	batchTime = 100 * time.Millisecond
	// startBatchTime is the same for a node that reads the store before its own upstream is registered.
	startBatchTime = 500 * time.Millisecond
	// firstRetry and lastRetry bound the wait after a failed read; it doubles and is spread by a random half.
	firstRetry = 20 * time.Millisecond
	lastRetry  = 400 * time.Millisecond
	// expireInterval is how often entries that wait for their removal are looked at.
	expireInterval = 250 * time.Millisecond
)

// MaintainerOptions configure a Maintainer.
type MaintainerOptions struct {
	// VM and DataCentre are the node's own, UpstreamAddress is the "IP:port" of the upstream beside it.
	VM              string
	DataCentre      string
	UpstreamAddress string
	// Heartbeat is the interval in which upstreams report to the store.
	Heartbeat time.Duration
	// WideLink makes the node a reader of the store before others.
	WideLink bool
	// Store is the platform's store, Peer the node of another VM.
	Store      Source
	PeerSource func(vm string) Source
	// Decode translates an entry; ok is false for entries that change nothing.
	Decode func(e Entry) (c Change, ok bool)
	Clock  clock.Clock
	Log    *logrus.Logger
	// OnView is called with each new view, from the control goroutine.
	OnView func(*View)
}

// Maintainer keeps the current view. Run is its control goroutine; the other methods may be called from any.
type Maintainer struct {
	o        MaintainerOptions
	registry *Registry
	sources  *sources.Selector
	view     atomic.Pointer[View]
	// contact is when the store last confirmed the view, on the clock.
	contact atomic.Int64
	// steady tells followers that no entry is missing for an outage of the store.
	steady atomic.Bool
	lost   bool
	// everything asks for the whole contents with the next read.
	everything bool

	mu   sync.Mutex
	feed *Feed
	// patches are the last ones made; all followers of a reader need the same.
	patches map[patchKey]Entry
	// changed is closed when the feed changes.
	changed chan struct{}
	// wide are the VMs that are known to have wide links; heardLinks is the digest in the last answer of a reader.
	wide       links
	heardLinks uint64
}

// keptPatches bounds the patches that are kept.
const keptPatches = 4

type patchKey struct {
	key      string
	from, to uint64
}

// NewMaintainer returns a maintainer whose view is empty.
func NewMaintainer(o MaintainerOptions) *Maintainer {
	m := &Maintainer{
		o: o, registry: NewRegistry(o.UpstreamAddress, o.Heartbeat), sources: sources.NewSelector(o.VM, o.DataCentre),
		feed: NewFeed(), changed: make(chan struct{}), patches: map[patchKey]Entry{},
		wide: links{},
	}
	if o.WideLink {
		m.wide[o.VM] = true
	}
	m.view.Store(m.registry.View())
	return m
}

// View returns the current view; it is never nil.
func (m *Maintainer) View() *View { return m.view.Load() }

// StoreAge returns how long ago the store last confirmed the view.
func (m *Maintainer) StoreAge() time.Duration {
	return m.o.Clock.Now() - time.Duration(m.contact.Load())
}

// ServeRead answers a node that follows this one: what changed after a revision, at the latest after the wait.
func (m *Maintainer) ServeRead(after Position, wait time.Duration) Delta {
	// A follower has to learn when this node's contact becomes too old, rather than at the end of its wait.
	timer := time.NewTimer(min(wait, readWait, max(0, sources.MaxStoreAge-m.StoreAge())+time.Millisecond))
	defer timer.Stop()
	for {
		delta, changed := m.since(after)
		if len(delta.Entries) > 0 || after.Revision == 0 || m.StoreAge() > sources.MaxStoreAge {
			return m.aged(delta)
		}
		select {
		case <-changed:
		case <-timer.C:
			return m.aged(delta)
		}
	}
}

// aged adds how far the delta can be trusted.
func (m *Maintainer) aged(d Delta) Delta {
	d.StoreAge, d.Uninterrupted = m.StoreAge(), m.steady.Load()
	return d
}

// since returns what changed after a position, with patches for large entries, and the channel that tells of more.
func (m *Maintainer) since(after Position) (Delta, chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delta := m.feed.ChangesSince(after.Revision)
	m.wide.add(after.WideLinkVMs)
	if delta.WideLinksDigest = m.wide.digest(); delta.WideLinksDigest != after.WideLinksDigest {
		delta.WideLinkVMs = m.wide.list()
	}
	for i, e := range delta.Entries {
		base, has := after.LargeRevisions[e.Key]
		if !has || e.Removed {
			continue
		}
		key := patchKey{e.Key, base, e.Revision}
		patched, known := m.patches[key]
		if !known {
			patched = m.feed.EncodePatch(e, base)
			if len(m.patches) >= keptPatches {
				clear(m.patches)
			}
			m.patches[key] = patched
		}
		delta.Entries[i] = patched
	}
	return delta, m.changed
}

// answer is the outcome of one read.
type answer struct {
	source string
	delta  Delta
	err    error
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
			started = m.o.Clock.Now()
			source := m.sources.Next(started, m.members())
			limit := readWait
			if source != sources.Store && m.sources.IsReader() {
				limit = relayWait
			}
			go m.read(answers, source, m.position(), limit)
		case a := <-answers:
			if m.take(a) {
				retry = firstRetry
				wait.Reset(max(0, m.batch(a.source)-(m.o.Clock.Now()-started)))
				continue
			}
			wait.Reset(retry/2 + rand.N(retry/2))
			if a.source == sources.Store {
				retry = min(2*retry, lastRetry)
			}
		case <-expire.C:
			now := m.o.Clock.Now()
			if m.registry.ExpireRemovals(now) {
				m.publish()
			}
			m.steady.Store(m.registry.ContactUninterrupted(now))
		}
	}
}

// batch returns the least time between two reads. While the mesh starts, all nodes read the store, and each upstream
// that registers is a change.
func (m *Maintainer) batch(source string) time.Duration {
	if source == sources.Store && m.View().OwnUpstream == nil {
		return startBatchTime
	}
	return batchTime
}

func (m *Maintainer) position() Position {
	if m.everything {
		return Position{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := Position{Revision: m.feed.Revision(), LargeRevisions: m.feed.LargeRevisions(), WideLinksDigest: m.wide.digest()}
	if p.WideLinksDigest != m.heardLinks {
		p.WideLinkVMs = m.wide.list()
	}
	return p
}

// members returns the VMs of the view with what is known of their links.
func (m *Maintainer) members() []sources.Member {
	members := m.View().Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range members {
		members[i].WideLink = m.wide[members[i].VM]
	}
	return members
}

func (m *Maintainer) read(answers chan<- answer, name string, after Position, wait time.Duration) {
	source := m.o.Store
	if name != sources.Store {
		source = m.o.PeerSource(name)
	}
	delta, err := source.Read(after, wait)
	if err == nil && delta.StoreAge > sources.MaxStoreAge {
		err = ErrReaderStale
	}
	answers <- answer{name, delta, err}
}

// take handles the outcome of a read and reports whether it confirmed the view.
func (m *Maintainer) take(a answer) bool {
	now := m.o.Clock.Now()
	if errors.Is(a.err, ErrHistoryLost) {
		m.o.Log.WithField("source", a.source).Warn("the source discarded its history; reading everything")
		m.everything = true
		return true
	}
	if a.err != nil {
		m.sources.RecordFailure(now, a.source)
		m.o.Log.WithError(a.err).WithField("source", a.source).Debug("a source failed")
	}
	if a.err == nil || errors.Is(a.err, ErrReaderStale) {
		m.apply(now, a)
	}
	m.logContact(a)
	return a.err == nil
}

// apply takes a delta into the feed and the registry.
func (m *Maintainer) apply(now time.Duration, a answer) {
	m.everything = false
	if at := now - a.delta.StoreAge; a.delta.Revision > 0 && int64(at) > m.contact.Load() {
		m.contact.Store(int64(at))
		m.registry.RecordContact(at, a.delta.Uninterrupted)
		m.steady.Store(m.registry.ContactUninterrupted(now))
	}
	m.mu.Lock()
	m.wide.add(a.delta.WideLinkVMs)
	if a.source != sources.Store {
		m.heardLinks = a.delta.WideLinksDigest
	}
	entries, err := m.feed.Apply(a.delta)
	if len(entries) > 0 {
		close(m.changed)
		m.changed = make(chan struct{})
	}
	m.mu.Unlock()
	if err != nil {
		m.o.Log.WithError(err).WithField("source", a.source).Warn("reading everything again")
		m.everything = true
	}
	for _, e := range entries {
		if change, ok := m.o.Decode(e); ok {
			m.registry.Apply(now, change)
		}
	}
	if len(entries) > 0 {
		m.publish()
	}
}

// logContact notes when the contact to the store was lost or regained, over all sources.
func (m *Maintainer) logContact(a answer) {
	age := m.StoreAge()
	if lost := age > m.registry.outageTime; lost != m.lost {
		m.lost = lost
		line := m.o.Log.WithField("age_ms", age.Milliseconds()).WithField("source", a.source)
		if lost {
			line.WithError(a.err).Warn("lost the store; serving on the last view")
		} else {
			line.Info("the store confirms the view again")
		}
	}
}

// publish makes the registry's state visible to the traffic goroutines.
func (m *Maintainer) publish() {
	next, last := m.registry.View(), m.view.Load()
	m.view.Store(next)
	m.logChange(last, next)
	if m.o.OnView != nil {
		m.o.OnView(next)
	}
}

func (m *Maintainer) logChange(last, next *View) {
	m.mu.Lock()
	fields := logrus.Fields{"revision": m.feed.Revision(), "vms": len(next.VMs)}
	m.mu.Unlock()
	if next.Config != nil {
		fields["version"] = next.Config.Version
	}
	if last.Config != nil {
		fields["previous_version"] = last.Config.Version
	}
	if next.OwnUpstream != nil {
		fields["upstream"], fields["draining"] = next.OwnUpstream.ID, next.OwnUpstream.Draining
	}
	if len(next.EvacuatedDataCentres) > 0 {
		fields["evacuated"] = next.EvacuatedDataCentres
	}
	m.o.Log.WithFields(fields).Info("adopted a new view of the mesh")
	if next.Config != last.Config && last.Config != nil {
		m.logLimits(last.Config, next.Config)
	}
}

// logLimits notes each team whose limit differs between two versions.
func (m *Maintainer) logLimits(last, next *Config) {
	for _, team := range next.Teams {
		was := last.TeamByName(team.Name)
		if was != nil && was.Rate == team.Rate && was.Burst == team.Burst {
			continue
		}
		m.o.Log.WithFields(logrus.Fields{
			"version": next.Version, "team": team.Name, "rate": team.Rate, "burst": team.Burst,
		}).Info("the limit of a team changed")
	}
}
