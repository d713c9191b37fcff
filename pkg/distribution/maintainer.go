package distribution

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/bamboodeal/bamboodeal/api/httpclient"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/membership"
	"github.com/bamboodeal/bamboodeal/decision/version"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

const (
	// tickInterval is how often the control goroutine makes time-based decisions and checks for pauses of the process.
	tickInterval = 100 * time.Millisecond
	// queueLength bounds the job results that wait for the control goroutine. Jobs block while the queue is full.
	queueLength = 64
	// maxAnswerBytes bounds the answer to a poll, which may carry a whole configuration of a few values of at most 1 MiB.
	maxAnswerBytes = 16 << 20
	// closeExpiredInterval is how often connections that are no longer used are closed.
	closeExpiredInterval = 5 * time.Second
)

// Syncer keeps the configuration and the member list of one node up to date. One goroutine, the control goroutine, runs
// the state machine and changes the state. Jobs, which are polls of other nodes and reads of the sources, run in
// goroutines of their own and send their results to the control goroutine.
type Syncer struct {
	options   Options
	machine   *decide.StateMachine
	client    *httpclient.SingleAttemptClient
	dialerErr error

	results         chan jobResult
	versionHints    chan decide.VersionAnnounced
	publishRequests chan struct{}
	// stopped is closed when the control goroutine stops.
	stopped chan struct{}
	leaving atomic.Bool
	// waitingPolls counts the polls of other nodes that wait for a change.
	waitingPolls atomic.Int64
	state        atomic.Pointer[servedState]
	status       atomic.Pointer[Status]

	// The fields below are used only by the control goroutine.
	jobs          conc.WaitGroup
	jobsCtx       context.Context
	cancelJobs    context.CancelFunc
	pauseDetector membership.PauseDetector
	pauseCount    int
	pending       *verifiedConfig // verified and not yet in force
	sources       []sourceState
	published     publishedParts
}

// sourceState is the result of the last reads of one source.
type sourceState struct {
	manifestRevision uint64
	membersRevision  uint64
	version          wire.VersionID
	manifest         []byte
	faults           string // why the manifest is not valid
	lastError        string // error of the last read; empty when it succeeded
}

// publishedParts are the parts of which the last published snapshot was made.
type publishedParts struct {
	config  *verifiedConfig
	members *memberList
	leaving bool
}

// jobResult is the result of a poll or a read. The control goroutine calls apply, which may be nil, and then passes the
// events to the state machine.
type jobResult struct {
	ctx    context.Context
	apply  func()
	events []decide.Event
}

// New returns a Syncer; Run starts it. Errors of the options are returned by Run.
func New(options Options) *Syncer {
	if options.Clock == nil {
		options.Clock = clock.System()
	}
	if options.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		options.Log = discard
	}
	syncer := &Syncer{
		options:         options,
		results:         make(chan jobResult, queueLength),
		versionHints:    make(chan decide.VersionAnnounced, queueLength),
		publishRequests: make(chan struct{}, 1),
		stopped:         make(chan struct{}),
		sources:         make([]sourceState, len(options.Sources)),
	}
	dialer, err := httpclient.DialerFrom(options.DialAddress)
	syncer.client, syncer.dialerErr = httpclient.New(httpclient.Options{Dialer: dialer, MaxBodyBytes: maxAnswerBytes}), err
	syncer.machine = decide.NewStateMachine(decide.Options{
		Self:          decide.Node{VM: options.VM, DataCentre: options.DataCentre, Address: options.ControlAddress},
		SourceCount:   len(options.Sources),
		SeedAddresses: options.SeedControlAddresses,
		Random:        rand.New(rand.NewPCG(options.RandomSeed, 0)),
		Version:       version.Options{Floor: options.VersionFloor},
	})
	syncer.state.Store(newServedState())
	syncer.status.Store(&Status{LastAnswerAgeMS: -1, ConfigAgeMS: -1})
	return syncer
}

// Run keeps the configuration up to date until ctx ends, and then returns nil. It may be called only once.
func (s *Syncer) Run(ctx context.Context) error {
	if s.dialerErr != nil {
		return s.dialerErr
	}
	s.jobsCtx, s.cancelJobs = context.WithCancel(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	closeExpired := time.NewTicker(closeExpiredInterval)
	defer closeExpired.Stop()
	s.handleEvent(decide.Tick{})
	for {
		select {
		case <-ctx.Done():
			s.stop()
			return nil
		case <-ticker.C:
			s.handleEvent(decide.Tick{})
		case <-closeExpired.C:
			s.client.CloseExpiredConnections()
		case r := <-s.results:
			s.handleResult(r)
		case hint := <-s.versionHints:
			s.handleEvent(hint)
		case <-s.publishRequests:
			s.publish()
		}
	}
}

// stop cancels all jobs and waits for their end. Waiting polls of other nodes are answered at once.
func (s *Syncer) stop() {
	close(s.stopped)
	s.cancelJobs()
	s.jobs.Wait()
	s.client.CloseIdleConnections()
}

// SetLeaving marks the node as leaving in the snapshots published from now on.
func (s *Syncer) SetLeaving() {
	s.leaving.Store(true)
	select {
	case s.publishRequests <- struct{}{}:
	default:
	}
}

// ObserveVersion reports a version that another node named in a call or a poll; controlAddress is the address of that
// node's control port. It never blocks: while the queue is full, the report is dropped, because later calls repeat it.
func (s *Syncer) ObserveVersion(v wire.VersionID, controlAddress string) {
	if controlAddress == "" || !s.state.Load().version().Less(v) {
		return
	}
	select {
	case s.versionHints <- decide.VersionAnnounced{Version: v, From: controlAddress}:
	default:
	}
}

// Ready reports whether a configuration is in force and the state machine's start phase is over.
func (s *Syncer) Ready() bool { return s.status.Load().Ready }

// now returns the monotonic time, which is never 0, because 0 stands for "never".
func (s *Syncer) now() time.Duration { return max(s.options.Clock.Now(), 1) }

func (s *Syncer) handleResult(r jobResult) {
	s.checkPause()
	// The results of cancelled jobs, among them those that ran before a pause, are out of date.
	if r.ctx.Err() != nil {
		return
	}
	if r.apply != nil {
		r.apply()
	}
	for _, e := range r.events {
		s.handleEvent(e)
	}
}

// checkPause makes the view unconfirmed if the process was paused since the last check.
func (s *Syncer) checkPause() {
	if !s.pauseDetector.Check(s.now(), clock.WallTime(s.options.Clock)) {
		return
	}
	s.pauseCount++
	s.options.Freshness.Reset()
	s.options.Log.Warn("the process was paused; new calls are refused until another node or the source answers")
	s.runMachine(decide.Resumed{})
}

// handleEvent passes an event to the state machine, and makes the new confirmation times and status visible.
func (s *Syncer) handleEvent(e decide.Event) {
	s.checkPause()
	s.runMachine(e)
	if at := s.machine.ViewConfirmedAt(); at > 0 {
		s.options.Freshness.RecordViewConfirmed(at)
	}
	if at := s.machine.VersionConfirmedAt(); at > 0 {
		s.options.Freshness.RecordVersionConfirmed(at)
		if c := s.state.Load().current; c != nil {
			c.confirmedAt.Store(int64(at))
		}
	}
	s.publishStatus()
}

// runMachine passes an event to the state machine and executes the actions that it returns.
func (s *Syncer) runMachine(e decide.Event) {
	for _, a := range s.machine.Step(s.now(), e) {
		switch a := a.(type) {
		case decide.Poll:
			s.startPoll(a)
		case decide.ReadManifest:
			s.startReadManifest(a)
		case decide.ReadMembers:
			s.startReadMembers(a)
		case decide.ReadValues:
			s.startReadValues(a)
		case decide.AdoptSet:
			s.adopt(a.Version)
		case decide.ReportConflict:
			s.options.Log.WithField("version", a.Winner.Number).Warn(a.String())
		case decide.CloseConnections:
			s.closeConnections()
		}
	}
}

// closeConnections cancels all jobs and closes all idle connections.
func (s *Syncer) closeConnections() {
	s.cancelJobs()
	s.jobsCtx, s.cancelJobs = context.WithCancel(context.WithoutCancel(s.jobsCtx))
	s.client.CloseIdleConnections()
	for _, source := range s.options.Sources {
		if c, ok := source.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

// keepPending keeps a verified configuration until the state machine adopts it or a higher version.
func (s *Syncer) keepPending(c *verifiedConfig) {
	if c == nil || !s.state.Load().version().Less(c.version) {
		return
	}
	if s.pending == nil || s.pending.version.Less(c.version) {
		s.pending = c
	}
}

// adopt puts the pending configuration, which must be version v, in force.
func (s *Syncer) adopt(v wire.VersionID) {
	if s.pending == nil || s.pending.version != v {
		s.options.Log.WithField("version", v.String()).Error("the contents of the adopted version are missing; they are fetched again")
		return
	}
	s.replaceState(s.state.Load().withUpdate(s.pending, nil))
	s.pending = nil
	s.options.Log.WithField("version", v.String()).Info("configuration adopted")
	s.publish()
}

// setMembers puts a newer member list in force and passes it to the state machine. A nil or older list is ignored.
func (s *Syncer) setMembers(list *memberList) {
	if list == nil || list.revision() <= s.state.Load().members.revision() {
		return
	}
	s.replaceState(s.state.Load().withUpdate(nil, list))
	s.runMachine(decide.MemberListReceived{List: list.list})
	s.publish()
}

// replaceState replaces the served state, so that the waiting polls of other nodes are answered.
func (s *Syncer) replaceState(next *servedState) {
	old := s.state.Swap(next)
	close(old.changed)
}

// publish publishes a snapshot if one of its parts has changed. A snapshot with references that do not resolve is never
// published.
func (s *Syncer) publish() {
	state := s.state.Load()
	if state.current == nil {
		return
	}
	var list *platform.MemberList
	if state.members != nil {
		list = state.members.list
	}
	next := publishedParts{config: state.current, members: state.members}
	next.leaving = s.leaving.Load() || membership.IsLeaving(list, s.options.VM)
	if next == s.published {
		return
	}
	snap := &snapshot.Snapshot{
		Version: state.current.version, ParentDigest: state.current.manifest.Parent, Set: state.current.set,
		Members: membership.MembersByUpstream(list), SelfLeaving: next.leaving,
	}
	if err := snap.Consistent(); err != nil {
		s.options.Log.WithError(err).Error("the snapshot has references that do not resolve; the previous one stays in force")
		return
	}
	s.published = next
	s.options.Store.Publish(snap)
}
