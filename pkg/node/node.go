// Package node is the node of the command bamboodeald: it connects the node's parts, starts them in order and stops
// them without aborting calls. The node of the command bamboodeal-sidecar is in package sidecar.
package node

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	api "github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/membership"
	"github.com/bamboodeal/bamboodeal/decision/routing"
	"github.com/bamboodeal/bamboodeal/pkg/burn"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/distribution"
	"github.com/bamboodeal/bamboodeal/pkg/gateway"
	"github.com/bamboodeal/bamboodeal/pkg/logging"
	"github.com/bamboodeal/bamboodeal/pkg/operator"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
	"github.com/bamboodeal/bamboodeal/pkg/ratelimit"
	"github.com/bamboodeal/bamboodeal/pkg/settings"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// maxReadyDelay bounds the random delay before a node is ready. It spreads the readiness of nodes that restart
// together, so that their upstreams and the other nodes do not get all calls at the same moment.
const maxReadyDelay = 500 * time.Millisecond

// responseBodiesBytes bounds the bytes of large response bodies that a node reads at once, from the upstream and other nodes together. It
// is the size of the largest body that is accepted. While a body grows and until the collector has run, it takes several times its
// size, and a node of the target size may take 128 MB.
const responseBodiesBytes = peer.MaxResponseBytes

// Options configure a Node. Only Settings is required.
type Options struct {
	Settings *settings.Settings
	// LogOutput receives the JSON log lines; nil means standard error.
	LogOutput io.Writer
	// Sources replace the HTTP client of the platform; nil means a client of Settings.PlatformAddresses.
	Sources []platform.Source
	// Admitter limits the public calls of teams; nil means the limits from quota leases.
	Admitter gateway.Admitter
}

// configSyncer keeps the configuration up to date. It is a distribution.Syncer except in tests.
type configSyncer interface {
	Run(ctx context.Context) error
	ControlHandler() fasthttp.RequestHandler
	ObserveVersion(version wire.VersionID, controlAddress string)
	Ready() bool
	Status() distribution.Status
	SetLeaving()
}

// Node is one bamboodeald process.
type Node struct {
	options    Options
	settings   *settings.Settings
	log        *logrus.Logger
	clock      clock.Clock
	random     *rand.Rand
	started    time.Duration
	readyAfter time.Duration

	store          *snapshot.Store
	freshness      *snapshot.Freshness
	viewGuard      *viewGuard
	syncer         configSyncer
	limiter        *ratelimit.Limiter
	leaseTransport *ratelimit.StreamTransport
	callRecord     *peer.CallRecord
	queue          *peer.AdmissionQueue
	peerPool       *peer.Pool
	upstreamPool   *peer.Pool
	controller     *peer.Controller
	peerServer     *peer.Server
	router         *gateway.Router
	gateway        *gateway.Gateway
	callerServer   *gateway.Server
	localServer    *gateway.Server
	metrics        *operator.Metrics
	burnRecorder   *burn.Recorder
	operatorServer *operator.Server
	controlServer  *fasthttp.Server
	listeners      []net.Listener
	// inService is false while the own upstream or its data centre is out of service, or the VM is leaving.
	inService bool
}

// New creates a node; Run opens its ports.
func New(options Options) (*Node, error) {
	n := &Node{
		options: options, settings: options.Settings, clock: clock.System(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		store:  &snapshot.Store{}, freshness: &snapshot.Freshness{}, inService: true,
	}
	if options.LogOutput == nil {
		n.options.LogOutput = os.Stderr
	}
	var err error
	if n.log, err = logging.New(n.options.LogOutput, n.settings.LogLevel, n.isDeclaredKey); err != nil {
		return nil, err
	}
	n.started = n.clock.Now()
	n.readyAfter = n.started + time.Duration(n.random.Int64N(int64(maxReadyDelay)))
	n.burnRecorder = burn.NewRecorder()
	n.metrics = operator.NewMetrics(func(service, team string, elapsed time.Duration, ok bool) {
		n.burnRecorder.Observe(n.clock.Now(), service, team, elapsed, ok)
	})
	if err := n.initSyncer(); err != nil {
		return nil, err
	}
	n.initCallPath()
	return n, nil
}

// initCallPath creates the parts of the node that depend on the syncer.
func (n *Node) initCallPath() {
	n.initLimiter()
	n.viewGuard = &viewGuard{
		clock: n.clock, wallTime: time.Now, store: n.store, freshness: n.freshness,
		ready: n.Ready, onAdopt: n.adopt, onPause: n.handlePause, lastPauseEnd: -1,
	}
	n.initController()
	n.initServers()
}

// isDeclaredKey reports whether a word of a log entry is a declared key.
func (n *Node) isDeclaredKey(word string) bool {
	snap := n.store.Load()
	return snap != nil && snap.Set.KeyForSecret(word) != nil
}

// initSyncer creates the syncer, which keeps the configuration up to date.
func (n *Node) initSyncer() error {
	s := n.settings
	dialAddress := ""
	if s.DialAddress.IsValid() {
		dialAddress = s.DialAddress.String()
	}
	sources := n.options.Sources
	if sources == nil {
		client, err := platform.NewClient(platform.ClientOptions{Addresses: s.PlatformAddresses, DialAddress: dialAddress})
		if err != nil {
			return eris.Wrap(err, "platform_addresses")
		}
		sources = []platform.Source{client}
	}
	n.syncer = distribution.New(distribution.Options{
		VM: s.VM, Upstream: s.Upstream, DataCentre: s.DataCentre,
		ControlAddress:       s.ControlAddress,
		Sources:              sources,
		SeedControlAddresses: s.SeedControlAddresses,
		VersionFloor:         s.VersionFloor,
		DialAddress:          dialAddress,
		Store:                n.store,
		Freshness:            n.freshness,
		Clock:                n.clock,
		Log:                  n.log,
		RandomSeed:           n.random.Uint64(),
	})
	return nil
}

// initLimiter creates the limiter of the teams' call rates.
func (n *Node) initLimiter() {
	s := n.settings
	n.leaseTransport = ratelimit.NewStreamTransport(s.DialAddress)
	n.limiter = ratelimit.New(ratelimit.Options{
		VM: s.VM, Upstream: s.Upstream, DataCentre: s.DataCentre,
		Store:          n.store,
		Freshness:      n.freshness,
		FreshnessLimit: membership.FreshnessLimit,
		Clock:          n.clock,
		Transport:      n.leaseTransport,
		Log:            n.log,
		ProcessSeed:    n.random.Uint64(),
	})
	if n.options.Admitter == nil {
		n.options.Admitter = n.limiter
	}
}

// initController creates the controller of the own upstream, the gateway and what they need.
func (n *Node) initController() {
	s := n.settings
	recordConfig := delivery.Config{Retention: s.IdentityRetention, MaxDeadline: s.MaxDeadline}
	n.callRecord = peer.NewCallRecord(recordConfig, n.started, strconv.FormatUint(n.random.Uint64(), 36))
	n.queue = peer.NewAdmissionQueue(n.clock, admission.Config{Slots: 1})
	bodies := peer.NewBodyBudget(responseBodiesBytes)
	n.peerPool = peer.NewPool(peer.PoolOptions{DialAddress: s.DialAddress, Clock: n.clock, SendHello: true, BodyBudget: bodies})
	n.upstreamPool = peer.NewPool(peer.PoolOptions{
		DialAddress: s.DialAddress, Clock: n.clock, IdleTimeout: peer.UpstreamIdleTimeout, MaxConnections: n.maxUpstreamConnections,
		BodyBudget: bodies,
	})
	n.controller = peer.NewController(peer.ControllerOptions{
		Upstream: s.Upstream, UpstreamAddress: s.UpstreamAddress, Clock: n.clock,
		View: n.viewGuard, CallRecord: n.callRecord, Queue: n.queue, UpstreamPool: n.upstreamPool, PeerPool: n.peerPool,
	})
	n.router = gateway.NewRouter(n.clock, routing.Config{Node: s.VM, DataCentre: s.DataCentre}, n.random)
	n.gateway = gateway.New(gateway.Options{
		Upstream: s.Upstream, Clock: n.clock, View: n.viewGuard, CallRecord: n.callRecord, Controller: n.controller,
		PeerPool: n.peerPool, Router: n.router, Admitter: n.options.Admitter, MetricsRecorder: n.metrics,
		MaxDeadline: s.MaxDeadline, ObserveVersion: n.observeVersion, LastPauseEnd: n.viewGuard.LastPauseEnd,
	})
}

// initServers creates the servers of the five ports.
func (n *Node) initServers() {
	s := n.settings
	n.peerServer = peer.NewServer(peer.ServerOptions{
		VM: s.VM, DataCentre: s.DataCentre, Upstream: s.Upstream, Clock: n.clock, View: n.viewGuard,
		CallRecord: n.callRecord, Controller: n.controller, ObserveVersion: n.observeVersion,
	})
	n.callerServer = n.gateway.NewCallerServer()
	n.localServer = n.gateway.NewLocalServer()
	n.operatorServer = operator.New(operator.Options{
		Ready: n.acceptsCalls, Status: func() any { return n.Status() }, Metrics: n.metrics,
		BurnReport: func() api.BurnReport { return n.burnRecorder.Report(n.clock.Now()) },
	})
	n.controlServer = &fasthttp.Server{Handler: n.controlHandler()}
	distribution.ConfigureServer(n.controlServer)
}

// controlHandler returns the handler of the control port, which serves quota leases and configuration polls.
func (n *Node) controlHandler() fasthttp.RequestHandler {
	configHandler := n.syncer.ControlHandler()
	quotaHandler := n.limiter.ControlHandler()
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case wire.PathQuotaStream, wire.PathQuotaLease, wire.PathQuotaHandover:
			quotaHandler(ctx)
		default:
			configHandler(ctx)
		}
	}
}

// maxUpstreamConnections returns the number of connections that the own upstream accepts.
func (n *Node) maxUpstreamConnections() int {
	if snap := n.store.Load(); snap != nil {
		if u := snap.Set.Upstream(n.settings.Upstream); u != nil {
			return u.Connections
		}
	}
	return 1
}

// observeVersion reports a version that the node of another upstream named to the syncer.
func (n *Node) observeVersion(version wire.VersionID, upstream string) {
	snap := n.store.Load()
	if snap == nil || !snap.Version.Less(version) {
		return
	}
	if member, listed := snap.Members[upstream]; listed {
		n.syncer.ObserveVersion(version, member.ControlAddress)
	}
}

// adopt applies a new snapshot to the parts of the node that serve calls.
func (n *Node) adopt(snap *snapshot.Snapshot) {
	n.callRecord.AdoptSnapshot(n.clock.Now(), snap)
	n.burnRecorder.SetObjectives(snap.Set.Objectives)
	ownUpstream := snap.Set.Upstream(n.settings.Upstream)
	inService := ownUpstream != nil && snap.Set.InService(ownUpstream) && !snap.SelfLeaving
	if ownUpstream != nil {
		cfg := admission.Config{Slots: ownUpstream.Slots}
		if service := snap.Set.Service(ownUpstream.Service); service != nil {
			cfg.InitialConcurrency = service.ColdStart.InitialConcurrency
			cfg.RampTime = time.Duration(service.ColdStart.RampMS) * time.Millisecond
		}
		n.queue.Configure(cfg)
	}
	switch {
	case n.inService && !inService:
		n.queue.SetLeaving()
	case !n.inService && inService:
		n.queue.RestartRamp()
	}
	n.inService = inService
}

// handlePause discards the connections and quota tokens that may have become invalid while the process was paused.
func (n *Node) handlePause() {
	n.peerPool.CloseIdleConnections()
	n.upstreamPool.CloseIdleConnections()
	n.limiter.HandlePause()
	n.log.Warn("the process was paused; new calls are refused until another node or the platform answers")
}

// Ready reports whether a configuration is in force and the start delay has passed.
func (n *Node) Ready() bool {
	return n.syncer.Ready() && n.clock.Now() >= n.readyAfter
}

// acceptsCalls reports whether the node accepts calls now. Load balancers use it as the node's readiness.
func (n *Node) acceptsCalls() bool {
	snap, _ := n.viewGuard.Current()
	return snap != nil && !snap.SelfLeaving && n.controller.Load().State != wire.StateLeaving
}

// Status is the status that the operator port returns: the fields of the operator API and those that only this
// implementation reports.
type Status struct {
	api.Status
	// Identities is the number of identities in the controller's call record.
	Identities int `json:"identities"`
	// PeerConnections is the number of open connections to other nodes.
	PeerConnections int `json:"peer_connections"`
	// UpstreamConnections is the number of open connections to the own upstream.
	UpstreamConnections int `json:"upstream_connections"`
	// Pauses counts the detected pauses of the process.
	Pauses   int   `json:"pauses"`
	UptimeMS int64 `json:"uptime_ms"`
	// Configuration is the state of the distribution on this node.
	Configuration distribution.Status `json:"configuration"`
}

// Status returns the current status of the node.
func (n *Node) Status() Status {
	load := n.controller.Load()
	distributionStatus := n.syncer.Status()
	status := Status{
		Identities: n.callRecord.IdentityCount(), PeerConnections: n.peerPool.OpenConnections(), UpstreamConnections: n.upstreamPool.OpenConnections(),
		Pauses: n.viewGuard.Pauses(), UptimeMS: (n.clock.Now() - n.started).Milliseconds(),
		Configuration: distributionStatus,
	}
	status.Status = api.Status{
		VM: n.settings.VM, Upstream: n.settings.Upstream, DataCentre: n.settings.DataCentre,
		State: load.State, Version: distributionStatus.Version,
		ConfigAgeMS: distributionStatus.ConfigAgeMS, LastAnswerAgeMS: distributionStatus.LastAnswerAgeMS,
		InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued, Ready: n.acceptsCalls(),
	}
	for _, r := range distributionStatus.Rejected {
		status.Rejected = append(status.Rejected, r.Version.String()+": "+r.Faults)
	}
	return status
}
