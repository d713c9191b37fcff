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
	// tickInterval is how often the control goroutine makes time-based decisions and checks for pauses of the process.
	tickInterval = 100 * time.Millisecond
	// queueLength bounds the job results that wait for the control goroutine. Jobs block while the queue is full.
	queueLength = 64
	// closeExpiredInterval is how often connections that are no longer used are closed.
	closeExpiredInterval = 5 * time.Second
)

// Syncer keeps the configuration and the member list of one node up to date. One goroutine, the control goroutine, runs
// the state machine and changes the state. Jobs, which are polls of other nodes and reads of the sources, run in
// goroutines of their own and send their results to the control goroutine.
type Syncer struct {
	options   Options
	machine   *decide.StateMachine
	client    *platform.SingleAttemptClient
	clientErr error

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
	syncer.client, syncer.clientErr = platform.NewSingleAttemptClient(options.DialAddress)
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
func (syncer *Syncer) Run(ctx context.Context) error {
	if syncer.clientErr != nil {
		return syncer.clientErr
	}
	syncer.jobsCtx, syncer.cancelJobs = context.WithCancel(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	closeExpired := time.NewTicker(closeExpiredInterval)
	defer closeExpired.Stop()
	syncer.handleEvent(decide.Tick{})
	for {
		select {
		case <-ctx.Done():
			syncer.stop()
			return nil
		case <-ticker.C:
			syncer.handleEvent(decide.Tick{})
		case <-closeExpired.C:
			syncer.client.CloseExpiredConnections()
		case r := <-syncer.results:
			syncer.handleResult(r)
		case hint := <-syncer.versionHints:
			syncer.handleEvent(hint)
		case <-syncer.publishRequests:
			syncer.publish()
		}
	}
}

// stop cancels all jobs and waits for their end. Waiting polls of other nodes are answered at once.
func (syncer *Syncer) stop() {
	close(syncer.stopped)
	syncer.cancelJobs()
	syncer.jobs.Wait()
	syncer.client.CloseIdleConnections()
}

// SetLeaving marks the node as leaving in the snapshots published from now on.
func (syncer *Syncer) SetLeaving() {
	syncer.leaving.Store(true)
	select {
	case syncer.publishRequests <- struct{}{}:
	default:
	}
}

// ObserveVersion reports a version that another node named in a call or a poll; controlAddress is the address of that
// node's control port. It never blocks: while the queue is full, the report is dropped, because later calls repeat it.
func (syncer *Syncer) ObserveVersion(v wire.VersionID, controlAddress string) {
	if controlAddress == "" || !syncer.state.Load().version().Less(v) {
		return
	}
	select {
	case syncer.versionHints <- decide.VersionAnnounced{Version: v, From: controlAddress}:
	default:
	}
}

// Ready reports whether a configuration is in force and the state machine's start phase is over.
func (syncer *Syncer) Ready() bool { return syncer.status.Load().Ready }

// now returns the monotonic time, which is never 0, because 0 stands for "never".
func (syncer *Syncer) now() time.Duration { return max(syncer.options.Clock.Now(), 1) }

func (syncer *Syncer) handleResult(r jobResult) {
	syncer.checkPause()
	// The results of cancelled jobs, among them those that ran before a pause, are out of date.
	if r.ctx.Err() != nil {
		return
	}
	if r.apply != nil {
		r.apply()
	}
	for _, e := range r.events {
		syncer.handleEvent(e)
	}
}

// checkPause makes the view unconfirmed if the process was paused since the last check.
func (syncer *Syncer) checkPause() {
	if !syncer.pauseDetector.Check(syncer.now(), clock.WallTime(syncer.options.Clock)) {
		return
	}
	syncer.pauseCount++
	syncer.options.Freshness.Reset()
	syncer.options.Log.Warn("the process was paused; new calls are refused until another node or the source answers")
	syncer.runMachine(decide.Resumed{})
}

// handleEvent passes an event to the state machine, and makes the new confirmation times and status visible.
func (syncer *Syncer) handleEvent(e decide.Event) {
	syncer.checkPause()
	syncer.runMachine(e)
	if at := syncer.machine.ViewConfirmedAt(); at > 0 {
		syncer.options.Freshness.RecordViewConfirmed(at)
	}
	if at := syncer.machine.VersionConfirmedAt(); at > 0 {
		syncer.options.Freshness.RecordVersionConfirmed(at)
		if c := syncer.state.Load().current; c != nil {
			c.confirmedAt.Store(int64(at))
		}
	}
	syncer.publishStatus()
}

// runMachine passes an event to the state machine and executes the actions that it returns.
func (syncer *Syncer) runMachine(e decide.Event) {
	for _, a := range syncer.machine.Step(syncer.now(), e) {
		switch a := a.(type) {
		case decide.Poll:
			syncer.startPoll(a)
		case decide.ReadManifest:
			syncer.startReadManifest(a)
		case decide.ReadMembers:
			syncer.startReadMembers(a)
		case decide.ReadValues:
			syncer.startReadValues(a)
		case decide.AdoptSet:
			syncer.adopt(a.Version)
		case decide.ReportConflict:
			syncer.options.Log.WithField("version", a.Winner.Number).Warn(a.String())
		case decide.CloseConnections:
			syncer.closeConnections()
		}
	}
}

// closeConnections cancels all jobs and closes all idle connections.
func (syncer *Syncer) closeConnections() {
	syncer.cancelJobs()
	syncer.jobsCtx, syncer.cancelJobs = context.WithCancel(context.WithoutCancel(syncer.jobsCtx))
	syncer.client.CloseIdleConnections()
	for _, s := range syncer.options.Sources {
		if c, ok := s.(interface{ CloseIdleConnections() }); ok {
			c.CloseIdleConnections()
		}
	}
}

// keepPending keeps a verified configuration until the state machine adopts it or a higher version.
func (syncer *Syncer) keepPending(c *verifiedConfig) {
	if c == nil || !syncer.state.Load().version().Less(c.version) {
		return
	}
	if syncer.pending == nil || syncer.pending.version.Less(c.version) {
		syncer.pending = c
	}
}

// adopt puts the pending configuration, which must be version v, in force.
func (syncer *Syncer) adopt(v wire.VersionID) {
	if syncer.pending == nil || syncer.pending.version != v {
		syncer.options.Log.WithField("version", v.String()).Error("the contents of the adopted version are missing; they are fetched again")
		return
	}
	syncer.replaceState(syncer.state.Load().withUpdate(syncer.pending, nil))
	syncer.pending = nil
	syncer.options.Log.WithField("version", v.String()).Info("configuration adopted")
	syncer.publish()
}

// setMembers puts a newer member list in force and passes it to the state machine. A nil or older list is ignored.
func (syncer *Syncer) setMembers(list *memberList) {
	if list == nil || list.revision() <= syncer.state.Load().members.revision() {
		return
	}
	syncer.replaceState(syncer.state.Load().withUpdate(nil, list))
	syncer.runMachine(decide.MemberListReceived{List: list.list})
	syncer.publish()
}

// replaceState replaces the served state, so that the waiting polls of other nodes are answered.
func (syncer *Syncer) replaceState(next *servedState) {
	old := syncer.state.Swap(next)
	close(old.changed)
}

// publish publishes a snapshot if one of its parts has changed. A snapshot with references that do not resolve is never
// published.
func (syncer *Syncer) publish() {
	s := syncer.state.Load()
	if s.current == nil {
		return
	}
	var list *platform.MemberList
	if s.members != nil {
		list = s.members.list
	}
	next := publishedParts{config: s.current, members: s.members}
	next.leaving = syncer.leaving.Load() || membership.IsLeaving(list, syncer.options.VM)
	if next == syncer.published {
		return
	}
	snap := &snapshot.Snapshot{
		Version: s.current.version, ParentDigest: s.current.manifest.Parent, Set: s.current.set,
		Members: membership.MembersByUpstream(list), SelfLeaving: next.leaving,
	}
	if err := snap.Consistent(); err != nil {
		syncer.options.Log.WithError(err).Error("the snapshot has references that do not resolve; the previous one stays in force")
		return
	}
	syncer.published = next
	syncer.options.Store.Publish(snap)
}
