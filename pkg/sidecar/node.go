package sidecar

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/placement"
	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// callerIdleTimeout is longer than the time for which callers keep an idle connection, so that the node does not
	// close a connection on which a caller is about to send a request.
	callerIdleTimeout = 90 * time.Second
	// peerServerIdleTimeout is longer than peerIdleTimeout, so that the node that opened an idle connection closes it
	// first.
	peerServerIdleTimeout = 60 * time.Second
	// readTimeout bounds the time in which a whole request has to arrive.
	readTimeout = 30 * time.Second
	// maxHeaderSize is the largest request header in bytes, including the header that nodes add.
	maxHeaderSize = 20 << 10
	// maxBodySize is the largest request body in bytes.
	maxBodySize = 64 << 20
	// peerIdleTimeout is how long an idle connection to another node is kept.
	peerIdleTimeout = 20 * time.Second
)

// Interim responses (RFC 9110, section 15.2) with which a node tells the one that forwarded a request that its upstream
// takes much longer than usual, and that the request waits for its turn.
var (
	slowResponse    = []byte("HTTP/1.1 102 Processing\r\n\r\n")
	waitingResponse = []byte("HTTP/1.1 102 Processing\r\n" + peer.WaitingHeader + ": 1\r\n\r\n")
)

// Node forwards the requests of the callers on one VM, and runs requests of all nodes at the upstream of the VM.
type Node struct {
	o            Options
	controller   *controller
	teamLimiter  *teamLimiter
	retryBudgets *retryBudgets
	recorder     *recorder
	lateness     *latenessMonitor
	peerPool     *peer.Pool
	// responseBodies and requestBodies bound the bodies that the node holds at once.
	responseBodies     *peer.BodyBudget
	requestBodies      *peer.BodyBudget
	peerPort           string
	requestsInProgress atomic.Int64
	// sentToNodes is the number of requests that other nodes have at the moment.
	sentToNodes atomic.Int64
	stopping    atomic.Bool
	// stopTimes is nil until the node stops.
	stopTimes atomic.Pointer[stopTimes]
	// callers and peers are the servers for callers and other nodes. They are set before the node serves requests.
	callers, peers *trackedServer

	mu             sync.Mutex
	placementTable *placement.Table
	// wasEvacuated is true if the node's data centre was evacuated in the last view.
	wasEvacuated bool
}

// New returns a node. It listens once Run is called.
func New(o Options) (*Node, error) {
	ip, port, err := net.SplitHostPort(o.Settings.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "the peer address is not IP:port; correct the settings")
	}
	n := &Node{
		o: o, peerPort: ":" + port, recorder: newRecorder(o.Clock, o.Log),
		placementTable: placement.NewTable(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	n.retryBudgets = newRetryBudgets(&n.o, n.recorder.registry)
	n.responseBodies = newBodyBudget(&o.Settings, responseBodiesPercent)
	n.requestBodies = newBodyBudget(&o.Settings, requestBodiesPercent)
	n.peerPool = peer.NewPool(peer.PoolOptions{
		Clock: o.Clock, IdleTimeout: peerIdleTimeout, CallerCheckInterval: callerCheckInterval, TCPUserTimeout: unackedTimeout,
		BodyBudget: n.responseBodies,
	})
	n.controller = newController(&n.o, n.recorder, n.responseBodies)
	n.teamLimiter = newTeamLimiter(&n.o, n.peerPool, ip, n.peerPort)
	n.lateness = newLatenessMonitor(&n.o, n.recorder.registry, n.inProgress)
	return n, nil
}

// UpdateView puts a new view of the mesh in force. The control goroutine that makes the views calls it.
func (n *Node) UpdateView(v *mesh.View) {
	listed := map[string]bool{}
	for _, list := range v.UpstreamsByService {
		for _, u := range list {
			listed[u.ID] = true
		}
	}
	evacuated := v.EvacuatedDataCentres[n.o.Settings.DataCentre]
	n.mu.Lock()
	n.placementTable.RetainOnly(listed)
	restored := n.wasEvacuated && !evacuated
	n.wasEvacuated = evacuated
	n.mu.Unlock()
	n.teamLimiter.updateView(v)
	if v.Config != nil {
		n.controller.origins.retainRoutes(v.Config)
		n.controller.queue.adoptConfig(v.Config)
		n.retainRoutes(v.Config)
	}
	if v.OwnUpstream != nil {
		n.controller.queue.update(func(now time.Duration) []slots.Action {
			return n.controller.queue.slots.SetSlots(now, v.OwnUpstream.Slots)
		})
	}
	if restored || (v.OwnUpstream != nil && v.OwnUpstream.ID != n.controller.health.upstreamID()) {
		// The upstream may have become cold.
		n.controller.health.requestCheck()
	}
}

// retainRoutes forgets what is known of routes and services that are not in the configuration.
func (n *Node) retainRoutes(config *mesh.Config) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placementTable.RetainRoutes(config.HasRoute, func(service string) bool { return config.Services[service] != nil })
}

// policyFor returns the policy of the upstream's queue. On a mesh without teams the routes alone say what is urgent.
func policyFor(c *mesh.Config) slots.Policy {
	if len(c.Teams) == 0 {
		return slots.LeastCost
	}
	return slots.NestedFirst
}

// ReportCold puts the rate for a cold upstream in force at once, for the time that the upstream's entry gives. The control
// goroutine calls it.
func (n *Node) ReportCold(remaining time.Duration) { n.controller.health.reportCold(remaining) }

// trackedServer is one of the node's HTTP servers.
type trackedServer struct {
	server   interface{ Serve(l net.Listener) error }
	name     string
	address  string
	listener *trackedListener
	conns    *connTracker
}

// listen makes the node listen on the addresses of its servers.
func (n *Node) listen() ([]*trackedServer, error) {
	s := &n.o.Settings
	callers, peers, err := n.newConnServers()
	if err != nil {
		return nil, err
	}
	n.callers = &trackedServer{server: callers, name: "callers", address: s.CallerAddress, conns: newConnTracker()}
	n.peers = &trackedServer{server: peers, name: "peers", address: cmp.Or(s.PeerListenAddress, s.PeerAddress), conns: newConnTracker()}
	servers := []*trackedServer{n.callers, n.peers, n.newTrackedServer("ready", s.ReadyAddress, n.handleReady, callerIdleTimeout)}
	if s.MetricsAddress != "" {
		servers = append(servers, n.newTrackedServer("metrics", s.MetricsAddress, n.serveMetrics, callerIdleTimeout))
	}
	for _, server := range servers {
		l, err := net.Listen("tcp4", server.address)
		if err != nil {
			return nil, eris.Wrapf(err, "cannot listen on %s; check the address and that no other process uses it", server.address)
		}
		server.listener = &trackedListener{l.(*net.TCPListener), server.conns}
	}
	return servers, nil
}

func (n *Node) newTrackedServer(name, address string, handler fasthttp.RequestHandler, idle time.Duration) *trackedServer {
	server := n.newServer(handler, idle)
	s := &trackedServer{server: server, name: name, address: address, conns: newConnTracker()}
	s.conns.attach(server)
	return s
}

// newConnServers returns the servers for callers and for other nodes. Nodes send one request at a time on a connection.
func (n *Node) newConnServers() (callers, peers *connServer, err error) {
	template, err := newResponseTemplate()
	if err != nil {
		return nil, nil, eris.Wrap(err, "the HTTP library did not return an empty response; check its version")
	}
	callers = &connServer{
		handler: n.countBodies(n.recoverPanics(n.handle)), concurrency: maxPipelined, mustRunAlone: n.mustRunAlone, bodyTime: n.callerBodyTime,
		refuseBody: n.refuseCallerBody, handleReadError: n.handleReadError, idleTimeout: callerIdleTimeout, bodies: n.requestBodies, log: n.o.Log, template: template,
	}
	peers = &connServer{
		handler: n.countBodies(n.recoverPanics(n.handlePeer)), concurrency: 1, bodyTime: n.forwardedBodyTime, acceptBody: n.acceptBody, refuseBody: n.refuseForwardedBody,
		handleReadError: n.handleReadError, idleTimeout: peerServerIdleTimeout, bodies: n.requestBodies, log: n.o.Log, template: template,
	}
	return callers, peers, nil
}

// Run serves until ctx ends and then stops gracefully. It returns an error if it cannot listen on one of the addresses.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { n.controller.health.run(background) })
	group.Go(func() { n.lateness.run(background) })
	group.Go(func() { n.closeUnusableConnections(background) })
	for _, s := range servers {
		group.Go(func() {
			if err := s.server.Serve(s.listener); err != nil {
				n.o.Log.WithError(err).WithField("address", s.address).Error("a listener failed; restart the node")
			}
		})
	}
	<-ctx.Done()
	n.stop(servers, cancel)
	group.Wait()
	return nil
}

// newServer returns an HTTP server with the handler, whose idle connections are closed after idle.
func (n *Node) newServer(handler fasthttp.RequestHandler, idle time.Duration) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      n.countBodies(n.recoverPanics(handler)),
		ErrorHandler:                 n.handleReadError,
		Logger:                       textlessLogger{n.o.Log},
		ReadBufferSize:               maxHeaderSize,
		ReadTimeout:                  readTimeout,
		WriteTimeout:                 writeTimeout,
		IdleTimeout:                  idle,
		MaxRequestBodySize:           maxBodySize,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		ReduceMemoryUsage:            true,
	}
}

// recoverPanics keeps a panic in one request from ending the process. The request may have been sent, so the response
// does not say that it did not run.
func (n *Node) recoverPanics(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if fault := recover(); fault != nil {
				n.o.Log.WithField("fault", fault).WithField("stack", string(debug.Stack())).Error("a request failed inside the node")
				writeError(&ctx.Response, ReasonAnswerLost, 0)
				ctx.Response.SetConnectionClose()
			}
		}()
		handler(ctx)
	}
}

// Ready reports whether the node serves callers: it has a configuration and is not stopping.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.o.View().Config != nil }

// handleReady answers the readiness check with status 503 while the node is not ready, and everything else with 200.
func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.RequestURI()) == n.o.Headers.ReadinessPath && !n.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// handlePeer serves other nodes: requests that they forward, and their messages.
func (n *Node) handlePeer(ctx *fasthttp.RequestCtx) {
	if n.controller.leaving.Load() {
		// The other nodes must not send a request on a connection that is about to be closed.
		defer ctx.Response.SetConnectionClose()
	}
	header := ctx.Request.Header.Peek(hopHeader)
	if len(header) == 0 {
		switch string(ctx.Path()) {
		case leasePath:
			n.teamLimiter.serveHTTP(ctx)
		case storeChangesPath:
			setPhase(ctx.Conn(), phaseWaiting)
			n.serveStoreChanges(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		return
	}
	f, reserved := ctx.UserValue(forwardedKey{}).(*forwardedRequest)
	var a attemptResult
	if !reserved {
		f, a = n.acceptForwarded(ctx, 0)
	}
	if f != nil {
		a = n.runForwarded(ctx, f)
	}
	n.answerForwarded(ctx, a)
}

// forwardedKey is the key of a forwardedRequest whose body was asked for.
type forwardedKey struct{}

// forwardedRequest is a request that another node forwarded and that has a slot of the node's upstream.
type forwardedRequest struct {
	*reservation
	watch *peer.Watch
	// shortened is true if the request has less time here than at its entry node, because this node stops.
	shortened bool
}

// acceptForwarded decides whether a request that another node forwards may run here, and waits for a slot. It returns nil
// and the result if the request is refused. inboundBytes is the size of a body that the other node has not sent yet.
func (n *Node) acceptForwarded(ctx *fasthttp.RequestCtx, inboundBytes int) (*forwardedRequest, attemptResult) {
	metadata, err := parseRequestMetadata(ctx.Request.Header.Peek(hopHeader))
	if err != nil {
		return nil, attemptResult{outcome: outcomeNotRun, reason: ReasonMalformedRequest}
	}
	arrived := n.o.Clock.Now()
	deadline, accepted := n.endBeforeStop(arrived, arrived+metadata.remaining, false)
	if !accepted {
		return nil, n.recordRefusal(ctx, metadata, attemptResult{outcome: outcomeNotRun, reason: ReasonLeaving})
	}
	f := &forwardedRequest{shortened: deadline < arrived+metadata.remaining}
	metadata.remaining = deadline - arrived
	f.watch = &peer.Watch{Caller: n.newCaller(ctx.Conn()), OnSlow: func() time.Duration {
		n.sendInterim(ctx, slowResponse)
		return 0
	}}
	var onWait func()
	if inboundBytes > 0 || metadata.hedgeable {
		// The other node takes silence for a sign that this one does not run.
		onWait = func() { n.sendInterim(ctx, waitingResponse) }
	}
	r, a := n.controller.reserve(metadata, arrived, inboundBytes, f.watch, onWait)
	if r == nil {
		a.reason = n.reasonOfUnfinished(a.reason, false)
		return nil, n.recordRefusal(ctx, metadata, a)
	}
	f.reservation = r
	return f, attemptResult{}
}

// runForwarded runs a request that acceptForwarded has accepted and whose body has arrived.
func (n *Node) runForwarded(ctx *fasthttp.RequestCtx, f *forwardedRequest) attemptResult {
	ctx.Request.SetRequestURIBytes(ctx.Request.Header.RequestURI())
	ctx.Request.Header.SetNoDefaultContentType(true)
	a := f.run(&ctx.Request, &ctx.Response, f.watch)
	a.reason = n.reasonOfUnfinished(a.reason, a.outcome != outcomeNotRun)
	if f.shortened && a.outcome == outcomeUnknown && a.reason == ReasonTimedOut {
		// The request has time left at its entry node.
		a.reason = ReasonAnswerLost
	}
	return n.recordRefusal(ctx, f.metadata, a)
}

// acceptBody decides about a request whose body another node sends only once this node asks for it. It returns false if
// the request is refused, with the response in ctx.
func (n *Node) acceptBody(ctx *fasthttp.RequestCtx) bool {
	f, a := n.acceptForwarded(ctx, max(1, ctx.Request.Header.ContentLength()))
	if f == nil {
		n.answerForwarded(ctx, a)
		return false
	}
	// The reservation is closed with the request, also if its body never arrives.
	ctx.SetUserValue(forwardedKey{}, f)
	return true
}

// recordRefusal records a result without a response of the upstream.
func (n *Node) recordRefusal(ctx *fasthttp.RequestCtx, metadata *requestMetadata, a attemptResult) attemptResult {
	n.recorder.recordUnanswered(string(ctx.Request.Header.Peek(n.o.Headers.RequestID)), metadata, a)
	return a
}

// answerForwarded adds the result to the response for the other node.
func (n *Node) answerForwarded(ctx *fasthttp.RequestCtx, a attemptResult) {
	if a.outcome != outcomeRan {
		ctx.Response.Reset()
		ctx.Response.Header.SetNoDefaultContentType(true)
	}
	a.setHeader(&ctx.Response)
}

// sendInterim sends slowResponse or waitingResponse to the node that forwarded a request.
func (n *Node) sendInterim(ctx *fasthttp.RequestCtx, response []byte) {
	if _, err := ctx.Conn().Write(response); err != nil {
		n.o.Log.WithError(err).Debug("the other node was not told that its request takes longer; its connection is broken")
	}
}

// sendAttempt makes one attempt at an upstream. The node's own upstream is reached directly, others through their node.
// The watch learns when the upstream takes much longer than usual.
func (n *Node) sendAttempt(
	u *mesh.Upstream, metadata *requestMetadata, now time.Duration, req *fasthttp.Request, resp *fasthttp.Response, watch *peer.Watch,
	view *mesh.View, deadline time.Duration,
) attemptResult {
	if n.answersDue() {
		return attemptResult{outcome: outcomeNotRun, reason: ReasonLeaving}
	}
	if own := view.OwnUpstream; own != nil && own.ID == u.ID {
		return n.controller.serve(metadata, now, req, resp, watch)
	}
	metadata.setHeader(req)
	until := time.Now().Add(deadline - now)
	conn, err := n.peerPool.Acquire(peer.Target{Address: u.IP + n.peerPort}, until, false)
	if err != nil {
		return attemptResult{outcome: outcomeNotRun, reason: ReasonUnreachable}
	}
	watch.SlowOnInterim = true
	if size := len(req.Body()); size > askedBodyBytes || (size > 0 && !metadata.idempotent) {
		conn.SendBodyWhenAsked()
	}
	if metadata.hedgeable {
		watch.SlowAt = time.Now().Add(n.silenceDelay(u.ID))
	}
	n.sentToNodes.Add(1)
	defer n.sentToNodes.Add(-1)
	sent, err := conn.SendWatched(req, resp, until, watch)
	if sent != peer.ResponseReceived {
		return sendErrorResult(sent, err)
	}
	a, err := parseAttemptResult(resp)
	if err != nil {
		// Whatever answers there is not a node, so its connections are not used again.
		n.peerPool.CloseIdleConnectionsTo(u.IP + n.peerPort)
		return attemptResult{outcome: outcomeUnknown, reason: ReasonAnswerLost, reachedUpstream: true}
	}
	removeHopByHopHeaders(resp)
	return a
}

// textlessLogger receives the log lines of fasthttp. It logs that there was one but not its text, which may contain
// parts of a request.
type textlessLogger struct {
	log interface{ Debug(args ...any) }
}

// Printf logs that fasthttp wrote a line.
func (l textlessLogger) Printf(string, ...any) {
	l.log.Debug("the HTTP server reported an error of a connection")
}
