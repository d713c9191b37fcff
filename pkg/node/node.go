// Package node runs one node: it wires the subsystems, starts them in order and stops them without cutting a
// request.
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

// maxReadyDelay spreads the readiness of nodes that restart together, so that their upstreams and peers do not get
// all calls at the same moment.
const maxReadyDelay = 500 * time.Millisecond

// Options configure a Node. Only Settings is required.
type Options struct {
	Settings *settings.Settings
	// LogOutput receives the JSON log lines; nil means standard error.
	LogOutput io.Writer
	// Sources replace the HTTP clients of the platform's addresses.
	Sources []platform.Source
	// Admitter replaces the quota leases as the limit of the teams' public calls.
	Admitter gateway.Admitter
}

// maintainer keeps the configuration up to date; it is a distribution.Maintainer but in tests.
type maintainer interface {
	Run(ctx context.Context) error
	ControlHandler() fasthttp.RequestHandler
	ObserveVersion(version wire.VersionID, controlAddress string)
	Ready() bool
	Status() distribution.Status
	SetLeaving()
}

// Node is one bamboodeald process.
type Node struct {
	o          Options
	settings   *settings.Settings
	log        *logrus.Logger
	clock      clock.Clock
	random     *rand.Rand
	started    time.Duration
	readyAfter time.Duration

	store      *snapshot.Store
	freshness  *snapshot.Freshness
	guard      *guard
	maintainer maintainer
	lender     *ratelimit.Limiter
	carrier    *ratelimit.HTTPTransport
	record     *peer.CallRecord
	queue      *peer.AdmissionQueue
	peers      *peer.Pool
	local      *peer.Pool
	controller *peer.Controller
	server     *peer.Server
	router     *gateway.Router
	gateway    *gateway.Gateway
	callerPort *gateway.Server
	localPort  *gateway.Server
	meters     *operator.Metrics
	burn       *burn.Recorder
	operator   *operator.Server
	control    *fasthttp.Server
	listeners  []net.Listener
	// serving is false while the own data centre is out of service or the VM is leaving.
	serving bool
}

// New wires a node; it opens no port.
func New(o Options) (*Node, error) {
	n := &Node{
		o: o, settings: o.Settings, clock: clock.System(),
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		store:  &snapshot.Store{}, freshness: &snapshot.Freshness{}, serving: true,
	}
	if o.LogOutput == nil {
		n.o.LogOutput = os.Stderr
	}
	var err error
	if n.log, err = logging.New(n.o.LogOutput, n.settings.LogLevel, n.isKey); err != nil {
		return nil, err
	}
	n.started = n.clock.Now()
	n.readyAfter = n.started + time.Duration(n.random.Int64N(int64(maxReadyDelay)))
	n.burn = burn.NewRecorder()
	n.meters = operator.NewMetrics(func(service, team string, took time.Duration, ok bool) {
		n.burn.Observe(n.clock.Now(), service, team, took, ok)
	})
	if err := n.wireControl(); err != nil {
		return nil, err
	}
	n.wire()
	return n, nil
}

func (n *Node) wire() {
	n.wireLending()
	n.guard = &guard{
		clock: n.clock, wall: time.Now, store: n.store, freshness: n.freshness,
		ready: n.Ready, adopt: n.adopt, paused: n.resume, resumed: -1,
	}
	n.wireCalls()
	n.wirePorts()
}

func (n *Node) isKey(word string) bool {
	snap := n.store.Load()
	return snap != nil && snap.Set.KeyForSecret(word) != nil
}

// wireControl sets up what keeps the configuration up to date.
func (n *Node) wireControl() error {
	s := n.settings
	dial := ""
	if s.DialAddress.IsValid() {
		dial = s.DialAddress.String()
	}
	sources := n.o.Sources
	if sources == nil {
		client, err := platform.NewClient(platform.ClientOptions{Addresses: s.PlatformAddresses, DialAddress: dial})
		if err != nil {
			return eris.Wrap(err, "platform_addresses")
		}
		sources = []platform.Source{client}
	}
	n.maintainer = distribution.New(distribution.Options{
		VM: s.VM, Upstream: s.Upstream, DataCentre: s.DataCentre,
		ControlAddress:       s.ControlAddress,
		Sources:              sources,
		SeedControlAddresses: s.SeedControlAddresses,
		VersionFloor:         s.VersionFloor,
		DialAddress:          dial,
		Store:                n.store,
		Freshness:            n.freshness,
		Clock:                n.clock,
		Log:                  n.log,
		RandomSeed:           n.random.Uint64(),
	})
	return nil
}

// wireLending sets up the limits of the teams.
func (n *Node) wireLending() {
	s := n.settings
	n.carrier = ratelimit.NewHTTPTransport(s.DialAddress)
	n.lender = ratelimit.New(ratelimit.Options{
		VM: s.VM, Upstream: s.Upstream, DataCentre: s.DataCentre,
		Store:          n.store,
		Freshness:      n.freshness,
		FreshnessLimit: membership.FreshnessLimit,
		Clock:          n.clock,
		Transport:      n.carrier,
		Log:            n.log,
		ProcessSeed:    n.random.Uint64(),
	})
	if n.o.Admitter == nil {
		n.o.Admitter = n.lender
	}
}

// wireCalls sets up the path of a call.
func (n *Node) wireCalls() {
	s := n.settings
	ledger := delivery.Config{Retention: s.IdentityRetention, MaxDeadline: s.MaxDeadline}
	n.record = peer.NewCallRecord(ledger, n.started, strconv.FormatUint(n.random.Uint64(), 36))
	n.queue = peer.NewAdmissionQueue(n.clock, admission.Config{Slots: 1})
	n.peers = peer.NewPool(peer.PoolOptions{DialAddress: s.DialAddress, Clock: n.clock, SendHello: true})
	n.local = peer.NewPool(peer.PoolOptions{
		DialAddress: s.DialAddress, Clock: n.clock, IdleTimeout: peer.UpstreamIdleTimeout, MaxConnections: n.connections,
	})
	n.controller = peer.NewController(peer.ControllerOptions{
		Upstream: s.Upstream, UpstreamAddress: s.UpstreamAddress, Clock: n.clock,
		View: n.guard, Record: n.record, Queue: n.queue, UpstreamPool: n.local, PeerPool: n.peers,
	})
	n.router = gateway.NewRouter(n.clock, routing.Config{Node: s.VM, DataCentre: s.DataCentre}, n.random)
	n.gateway = gateway.New(gateway.Options{
		Upstream: s.Upstream, Clock: n.clock, View: n.guard, CallRecord: n.record, Controller: n.controller,
		PeerPool: n.peers, Router: n.router, Admitter: n.o.Admitter, MetricsRecorder: n.meters,
		MaxDeadline: s.MaxDeadline, ObserveVersion: n.observe, LastPauseEnd: n.guard.LastPause,
	})
}

// wirePorts sets up the five servers.
func (n *Node) wirePorts() {
	s := n.settings
	n.server = peer.NewServer(peer.ServerOptions{
		VM: s.VM, DataCentre: s.DataCentre, Upstream: s.Upstream, Clock: n.clock, View: n.guard,
		Record: n.record, Controller: n.controller, ObserveVersion: n.observe,
	})
	n.callerPort = n.gateway.NewCallerServer()
	n.localPort = n.gateway.NewLocalServer()
	n.operator = operator.New(operator.Options{
		Ready: n.serves, Status: func() any { return n.Status() }, Metrics: n.meters,
		BurnReport: func() api.BurnReport { return n.burn.Report(n.clock.Now()) },
	})
	n.control = &fasthttp.Server{Handler: n.controlHandler()}
	distribution.ConfigureServer(n.control)
}

func (n *Node) controlHandler() fasthttp.RequestHandler {
	configuration := n.maintainer.ControlHandler()
	lending := n.lender.ControlHandler()
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case wire.PathQuotaLease, wire.PathQuotaHandover:
			lending(ctx)
		default:
			configuration(ctx)
		}
	}
}

// connections is the number of connections that the own upstream accepts.
func (n *Node) connections() int {
	if snap := n.store.Load(); snap != nil {
		if u := snap.Set.Upstream(n.settings.Upstream); u != nil {
			return u.Connections
		}
	}
	return 1
}

// observe tells the control side of a version that another node named.
func (n *Node) observe(version wire.VersionID, upstream string) {
	snap := n.store.Load()
	if snap == nil || !snap.Version.Less(version) {
		return
	}
	if member, listed := snap.Members[upstream]; listed {
		n.maintainer.ObserveVersion(version, member.ControlAddress)
	}
}

// adopt brings the call path to a new snapshot.
func (n *Node) adopt(snap *snapshot.Snapshot) {
	n.record.AdoptSnapshot(n.clock.Now(), snap)
	n.burn.SetObjectives(snap.Set.Objectives)
	self := snap.Set.Upstream(n.settings.Upstream)
	serving := self != nil && snap.Set.InService(self) && !snap.SelfLeaving
	if self != nil {
		cfg := admission.Config{Slots: self.Slots}
		if service := snap.Set.Service(self.Service); service != nil {
			cfg.InitialConcurrency = service.ColdStart.InitialConcurrency
			cfg.RampTime = time.Duration(service.ColdStart.RampMS) * time.Millisecond
		}
		n.queue.Configure(cfg)
	}
	switch {
	case n.serving && !serving:
		n.queue.SetLeaving()
	case !n.serving && serving:
		n.queue.RestartRamp()
	}
	n.serving = serving
}

// resume forgets what a pause made doubtful.
func (n *Node) resume() {
	n.peers.CloseIdleConnections()
	n.local.CloseIdleConnections()
	n.lender.HandlePause()
	n.log.Warn("the process was paused; new calls are refused until another node or the platform answers")
}

// Ready reports whether a configuration is in force and the start delay has passed.
func (n *Node) Ready() bool {
	return n.maintainer.Ready() && n.clock.Now() >= n.readyAfter
}

// serves reports whether the node takes calls now, for load balancers.
func (n *Node) serves() bool {
	snap, _ := n.guard.Current()
	return snap != nil && !snap.SelfLeaving && n.controller.Load().State != wire.StateLeaving
}

// Status is the operator port's status with what only this release reports.
type Status struct {
	api.Status
	// Identities is the number of identities on the controller's record.
	Identities          int   `json:"identities"`
	PeerConnections     int   `json:"peer_connections"`
	UpstreamConnections int   `json:"upstream_connections"`
	Pauses              int   `json:"pauses"`
	UptimeMS            int64 `json:"uptime_ms"`
	// Configuration describes the distribution on this node.
	Configuration distribution.Status `json:"configuration"`
}

// Status describes the node.
func (n *Node) Status() Status {
	load := n.controller.Load()
	configuration := n.maintainer.Status()
	status := Status{
		Identities: n.record.IdentityCount(), PeerConnections: n.peers.OpenConnections(), UpstreamConnections: n.local.OpenConnections(),
		Pauses: n.guard.Pauses(), UptimeMS: (n.clock.Now() - n.started).Milliseconds(),
		Configuration: configuration,
	}
	status.Status = api.Status{
		VM: n.settings.VM, Upstream: n.settings.Upstream, DataCentre: n.settings.DataCentre,
		State: load.State, Version: configuration.Version,
		ConfigAgeMS: configuration.ConfirmedAgeMS, LastAnswerAgeMS: configuration.LastAnswerAgeMS,
		InFlight: load.InFlight, Limit: load.Limit, Queued: load.Queued, Ready: n.serves(),
	}
	for _, r := range configuration.Rejected {
		status.Rejected = append(status.Rejected, r.Version.String()+": "+r.Faults)
	}
	return status
}
