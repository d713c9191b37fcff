package distribution

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/membership"
	"github.com/bamboodeal/bamboodeal/decision/version"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

const (
	// tickInterval paces the decisions and the detection of pauses.
	tickInterval = 100 * time.Millisecond
	// queueLength bounds the results that wait for the control goroutine; polls block on a full queue.
	queueLength = 64
	// sweepInterval paces the closing of connections that are no longer used.
	sweepInterval = 5 * time.Second
)

// Syncer keeps the configuration of one node up to date.
type Syncer struct {
	o         Options
	machine   *decide.StateMachine
	exchanger *platform.SingleAttemptClient
	dialError error

	results chan result
	hints   chan decide.VersionAnnounced
	nudge   chan struct{}
	stopped chan struct{}
	leaving atomic.Bool
	waiting atomic.Int64
	state   atomic.Pointer[state]
	status  atomic.Pointer[Status]

	// The fields below belong to the control goroutine.
	jobs       conc.WaitGroup
	jobsCtx    context.Context
	cancelJobs context.CancelFunc
	pause      membership.PauseDetector
	pauses     int
	pending    *contents // verified and not yet in force
	sources    []sourceState
	published  published
}

// sourceState is what is known of one source.
type sourceState struct {
	revision        uint64
	membersRevision uint64
	id              wire.VersionID
	manifest        []byte
	faults          string
	failure         string // of the last read; empty when it succeeded
}

// published is what the last snapshot was made of.
type published struct {
	contents *contents
	members  *members
	leaving  bool
}

// result is what a poll or a read brought; apply runs on the control goroutine before the events.
type result struct {
	ctx    context.Context
	apply  func()
	events []decide.Event
}

// New returns a Maintainer; Run starts it.
func New(o Options) *Syncer {
	if o.Clock == nil {
		o.Clock = clock.System()
	}
	if o.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		o.Log = silent
	}
	m := &Syncer{
		o:       o,
		results: make(chan result, queueLength),
		hints:   make(chan decide.VersionAnnounced, queueLength),
		nudge:   make(chan struct{}, 1),
		stopped: make(chan struct{}),
		sources: make([]sourceState, len(o.Sources)),
	}
	m.exchanger, m.dialError = platform.NewSingleAttemptClient(o.DialAddress)
	m.machine = decide.NewStateMachine(decide.Options{
		Self:          decide.Node{VM: o.VM, DataCentre: o.DataCentre, Address: o.ControlAddress},
		SourceCount:   len(o.Sources),
		SeedAddresses: o.SeedControlAddresses,
		Random:        rand.New(rand.NewPCG(o.RandomSeed, 0)),
		Version:       version.Options{Floor: o.VersionFloor},
	})
	m.state.Store(newState())
	m.status.Store(&Status{LastAnswerAgeMS: -1, ConfirmedAgeMS: -1})
	return m
}

// Run maintains the configuration until ctx ends, and then returns nil. It may be called once.
func (m *Syncer) Run(ctx context.Context) error {
	if m.dialError != nil {
		return m.dialError
	}
	m.jobsCtx, m.cancelJobs = context.WithCancel(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	m.step(decide.Tick{})
	for {
		select {
		case <-ctx.Done():
			m.stop()
			return nil
		case <-ticker.C:
			m.step(decide.Tick{})
		case <-sweep.C:
			m.exchanger.CloseExpiredConnections()
		case r := <-m.results:
			m.handle(r)
		case h := <-m.hints:
			m.step(h)
		case <-m.nudge:
			m.publish()
		}
	}
}

// stop ends all that is in flight; waiting polls of other nodes are answered at once.
func (m *Syncer) stop() {
	close(m.stopped)
	m.cancelJobs()
	m.jobs.Wait()
	m.exchanger.CloseIdleConnections()
}

// SetLeaving marks the node as leaving in the snapshots published from now on.
func (m *Syncer) SetLeaving() {
	m.leaving.Store(true)
	select {
	case m.nudge <- struct{}{}:
	default:
	}
}

// ObserveVersion tells of a version that another node named in a call; controlAddress is that node's control port. It
// never blocks; a hint is dropped while many wait, since calls repeat it.
func (m *Syncer) ObserveVersion(v wire.VersionID, controlAddress string) {
	if controlAddress == "" || !m.state.Load().version().Less(v) {
		return
	}
	select {
	case m.hints <- decide.VersionAnnounced{Version: v, From: controlAddress}:
	default:
	}
}

// Ready reports whether a configuration is in force and the start phase is over.
func (m *Syncer) Ready() bool { return m.status.Load().Ready }

func (m *Syncer) now() time.Duration { return max(m.o.Clock.Now(), 1) }

func (m *Syncer) handle(r result) {
	m.checkPause()
	// Results from before a pause, and of cancelled requests, are out of date.
	if r.ctx.Err() != nil {
		return
	}
	if r.apply != nil {
		r.apply()
	}
	for _, e := range r.events {
		m.step(e)
	}
}

// checkPause makes the view unconfirmed when the process did not run for a while.
func (m *Syncer) checkPause() {
	if !m.pause.Check(m.now(), clock.WallTime(m.o.Clock)) {
		return
	}
	m.pauses++
	m.o.Freshness.Reset()
	m.o.Log.Warn("the process was paused; new work is refused until another node or the source answers")
	m.run(decide.Resumed{})
}

func (m *Syncer) step(e decide.Event) {
	m.checkPause()
	m.run(e)
	if heard := m.machine.ViewConfirmedAt(); heard > 0 {
		m.o.Freshness.RecordViewConfirmed(heard)
	}
	if confirmed := m.machine.VersionConfirmedAt(); confirmed > 0 {
		m.o.Freshness.RecordVersionConfirmed(confirmed)
		if c := m.state.Load().current; c != nil {
			c.confirmed.Store(int64(confirmed))
		}
	}
	m.publishStatus()
}

func (m *Syncer) run(e decide.Event) {
	for _, a := range m.machine.Step(m.now(), e) {
		switch a := a.(type) {
		case decide.Poll:
			m.startPoll(a)
		case decide.ReadManifest:
			m.startReadManifest(a)
		case decide.ReadMembers:
			m.startReadMembers(a)
		case decide.ReadValues:
			m.startReadValues(a)
		case decide.AdoptSet:
			m.adopt(a.Version)
		case decide.ReportConflict:
			m.o.Log.WithField("version", a.Winner.Number).Warn(a.String())
		case decide.CloseConnections:
			m.closeConnections()
		}
	}
}

func (m *Syncer) closeConnections() {
	m.cancelJobs()
	m.jobsCtx, m.cancelJobs = context.WithCancel(context.WithoutCancel(m.jobsCtx))
	m.exchanger.CloseIdleConnections()
	for _, s := range m.o.Sources {
		if c, ok := s.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

// keep remembers verified contents until the machine adopts them or a greater version.
func (m *Syncer) keep(c *contents) {
	if c == nil || !m.state.Load().version().Less(c.id) {
		return
	}
	if m.pending == nil || m.pending.id.Less(c.id) {
		m.pending = c
	}
}

func (m *Syncer) adopt(v wire.VersionID) {
	if m.pending == nil || m.pending.id != v {
		m.o.Log.WithField("version", v.String()).Error("the adopted version is not at hand; it is fetched again")
		return
	}
	m.replace(m.state.Load().with(m.pending, nil))
	m.pending = nil
	m.o.Log.WithField("version", v.String()).Info("configuration adopted")
	m.publish()
}

// setMembers puts a newer member list in place and tells the machine.
func (m *Syncer) setMembers(list *members) {
	if list == nil || list.revision() <= m.state.Load().members.revision() {
		return
	}
	m.replace(m.state.Load().with(nil, list))
	m.run(decide.MemberListReceived{List: list.list})
	m.publish()
}

// replace puts a state in place and releases the waiting polls of other nodes.
func (m *Syncer) replace(next *state) {
	old := m.state.Swap(next)
	close(old.changed)
}

// publish hands the view to the traffic goroutines. A snapshot that is not consistent in itself is never published.
func (m *Syncer) publish() {
	s := m.state.Load()
	if s.current == nil {
		return
	}
	var list *platform.MemberList
	if s.members != nil {
		list = s.members.list
	}
	next := published{contents: s.current, members: s.members}
	next.leaving = m.leaving.Load() || membership.IsLeaving(list, m.o.VM)
	if next == m.published {
		return
	}
	snap := &snapshot.Snapshot{
		Version: s.current.id, ParentDigest: s.current.manifest.Parent, Set: s.current.set,
		Members: membership.MembersByUpstream(list), SelfLeaving: next.leaving,
	}
	if err := snap.CheckReferences(); err != nil {
		m.o.Log.WithError(err).Error("the snapshot is not consistent; the last one stays in force")
		return
	}
	m.published = next
	m.o.Store.Publish(snap)
}
