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
	// callerIdleTimeout is longer than callers keep an idle connection, so that the node does not close one that is
	// about to be used.
	callerIdleTimeout = 90 * time.Second
	// peerIdleTimeout of the server is longer than that of the pool.
	peerServerIdleTimeout = 60 * time.Second
	// readTimeout bounds the time for one request's bytes.
	readTimeout = 30 * time.Second
	// headerSize is the largest request header in bytes, with the hop's own.
	headerSize = 20 << 10
	// maxBody is the largest request body.
	maxBody = 64 << 20
	// hopIdleTimeout is how long a connection to another node is kept.
	hopIdleTimeout = 20 * time.Second
	// stopNotice is the time in which callers learn that the node stops: the readiness check runs once a second and
	// two misses take the node out.
	stopNotice = 2800 * time.Millisecond
	// stopReserve is the part of the grace that is left for closing.
	stopReserve = 400 * time.Millisecond
	// stopPoll is how often a stopping node looks whether requests are in progress.
	stopPoll = 50 * time.Millisecond
)

// Node carries the requests of one VM.
type Node struct {
	o          Options
	controller *controller
	leases     *leases
	budgets    *budgets
	recorder   *recorder
	hops       *peer.Pool
	port       string
	working    atomic.Int64
	stopping   atomic.Bool

	mu    sync.Mutex
	table *placement.Table
	// evacuated is whether the own data centre was out in the last view.
	evacuated bool
}

// New returns a node that does not listen yet.
func New(o Options) (*Node, error) {
	ip, port, err := net.SplitHostPort(o.Settings.PeerAddress)
	if err != nil {
		return nil, eris.Wrap(err, "the peer address is not IP:port; correct the settings")
	}
	n := &Node{
		o: o, port: ":" + port, recorder: newRecorder(o.Clock, o.Log),
		table: placement.NewTable(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	n.budgets = newBudgets(&n.o)
	n.hops = peer.NewPool(peer.PoolOptions{
		Clock: o.Clock, IdleTimeout: hopIdleTimeout, CallerCheckInterval: watchInterval, TCPUserTimeout: unackedTimeout,
	})
	n.controller = newController(&n.o)
	n.leases = newLeases(&n.o, n.hops, ip, n.port)
	return n, nil
}

// UpdateView takes a new view of the mesh; the control goroutine calls it.
func (n *Node) UpdateView(v *mesh.View) {
	listed := map[string]bool{}
	for _, list := range v.UpstreamsByService {
		for _, u := range list {
			listed[u.ID] = true
		}
	}
	out := v.EvacuatedDataCentres[n.o.Settings.DataCentre]
	n.mu.Lock()
	n.table.RetainOnly(listed)
	returned := n.evacuated && !out
	n.evacuated = out
	n.mu.Unlock()
	n.leases.hold(v)
	if v.OwnUpstream != nil {
		n.controller.queue.change(func(now time.Duration) []slots.Action {
			return n.controller.queue.slots.SetSlots(now, v.OwnUpstream.Slots)
		})
	}
	if returned || (v.OwnUpstream != nil && v.OwnUpstream.ID != n.controller.health.upstream()) {
		// The upstream may be cold now.
		n.controller.health.check()
	}
}

// Run serves until ctx ends, and then stops gracefully.
func (n *Node) Run(ctx context.Context) error {
	callers := n.server(n.handle, callerIdleTimeout)
	peers := n.server(n.handlePeer, peerServerIdleTimeout)
	ready := n.server(n.handleReady, callerIdleTimeout)
	servers := []*fasthttp.Server{callers, peers, ready}
	peerListen := cmp.Or(n.o.Settings.PeerListenAddress, n.o.Settings.PeerAddress)
	addresses := []string{n.o.Settings.CallerAddress, peerListen, n.o.Settings.ReadyAddress}
	if n.o.Settings.MetricsAddress != "" {
		servers = append(servers, n.server(n.serveMetrics, callerIdleTimeout))
		addresses = append(addresses, n.o.Settings.MetricsAddress)
	}
	listeners := make([]net.Listener, len(addresses))
	for i, address := range addresses {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return eris.Wrapf(err, "cannot listen on %s; check the address and that no other process uses it", address)
		}
		listeners[i] = l
	}
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group conc.WaitGroup
	group.Go(func() { n.controller.health.run(background) })
	for i := range servers {
		group.Go(func() {
			if err := servers[i].Serve(listeners[i]); err != nil {
				n.o.Log.WithError(err).WithField("address", addresses[i]).Error("a listener failed; restart the node")
			}
		})
	}
	<-ctx.Done()
	n.stop()
	cancel()
	for _, s := range servers {
		if err := s.ShutdownWithContext(closedContext()); err != nil {
			n.o.Log.WithError(err).Debug("connections were still open at the end")
		}
	}
	group.Wait()
	return nil
}

// closedContext makes a shutdown close what is left without waiting.
func closedContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// stop says that the node leaves, keeps serving until callers know, and waits for the requests in progress.
func (n *Node) stop() {
	started := n.o.Clock.Now()
	n.stopping.Store(true)
	n.o.Log.WithField("in_progress", n.inProgress()).Info("stopping: the node is no longer ready")
	time.Sleep(min(stopNotice, n.o.Settings.StopGracePeriod/2))
	n.controller.leaving.Store(true)
	for n.inProgress() > 0 && n.o.Clock.Now()-started < n.o.Settings.StopGracePeriod-stopReserve {
		time.Sleep(stopPoll)
	}
	n.o.Log.WithField("in_progress", n.inProgress()).Info("stopped")
}

func (n *Node) inProgress() int64 { return n.working.Load() + n.controller.working.Load() }

func (n *Node) server(handler fasthttp.RequestHandler, idle time.Duration) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      n.recovered(handler),
		Logger:                       quiet{n.o.Log},
		ReadBufferSize:               headerSize,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idle,
		MaxRequestBodySize:           maxBody,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		CloseOnShutdown:              true,
		ReduceMemoryUsage:            true,
	}
}

// recovered keeps a fault in one request from ending the process. The request may have been sent, so its answer promises
// nothing.
func (n *Node) recovered(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
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

// Ready reports whether the node can serve callers.
func (n *Node) Ready() bool { return !n.stopping.Load() && n.o.View().Config != nil }

func (n *Node) handleReady(ctx *fasthttp.RequestCtx) {
	if string(ctx.RequestURI()) == n.o.Headers.ReadinessPath && !n.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (n *Node) handlePeer(ctx *fasthttp.RequestCtx) {
	header := ctx.Request.Header.Peek(hopHeader)
	if len(header) == 0 {
		switch string(ctx.Path()) {
		case leasePath:
			n.leases.serveHTTP(ctx)
		case feedPath:
			n.serveFeed(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
		return
	}
	a := answer{outcome: notRun, reason: ReasonMalformedRequest}
	if h, err := readHop(header); err == nil {
		ctx.Request.SetRequestURIBytes(ctx.Request.Header.RequestURI())
		ctx.Request.Header.SetNoDefaultContentType(true)
		a = n.controller.serve(h, n.o.Clock.Now(), &ctx.Request, &ctx.Response, peer.NewCaller(ctx.Conn()))
		n.recorder.decided(string(ctx.Request.Header.Peek(n.o.Headers.RequestID)), h, a)
	}
	if a.outcome != ran {
		ctx.Response.Reset()
		ctx.Response.Header.SetNoDefaultContentType(true)
	}
	a.write(&ctx.Response)
}

// order sorts the candidates for a request; the own upstream's load is known exactly.
func (n *Node) order(list []placement.Candidate) []placement.Candidate {
	now := n.o.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if own := n.o.View().OwnUpstream; own != nil {
		n.table.RecordLoad(now, own.ID, queueLoad(n.controller.queue.load()))
	}
	return n.table.Rank(now, list)
}

func (n *Node) sent(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordSent(id)
}

// full reports whether an upstream refused a request like this one a moment ago, and when it expects a place. Asking the
// own one costs nothing.
func (n *Node) full(id string, priority int) (after time.Duration, known bool) {
	if own := n.o.View().OwnUpstream; own != nil && own.ID == id {
		return 0, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.RefusalExpected(n.o.Clock.Now(), id, priority)
}

// ended takes what an attempt of a request with a priority showed about an upstream.
func (n *Node) ended(id string, priority int, a answer) {
	now := n.o.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordEnded(id)
	if a.load.Slots > 0 {
		n.table.RecordLoad(now, id, queueLoad(a.load))
	}
	switch a.reason {
	case ReasonUnreachable, ReasonLeaving, ReasonDataCentreEvacuated:
		n.table.RecordNoAnswer(now, id)
	case ReasonWrongUpstream:
		n.table.RecordUnknownHealth(now, id)
	case ReasonOverloaded:
		n.table.RecordRefusal(now, id, priority, a.after)
	case ReasonUpstreamShed, ReasonAnswerLost:
		n.table.RecordOutcome(id, true)
	case ReasonNone:
		n.table.RecordOutcome(id, false)
	}
}

// others reports whether the service has an upstream that has not seen the request, beside the one named.
func (n *Node) others(c *call, beside string) bool {
	for _, u := range c.view.UpstreamsByService[c.service] {
		if u.ID != beside && !c.tried[u.ID] && !u.Draining && !c.view.EvacuatedDataCentres[u.DataCentre] {
			return true
		}
	}
	return false
}

// send makes one attempt at an upstream: at the own one by a call, at others over their node.
func (n *Node) send(u *mesh.Upstream, h *hop, now time.Duration, req *fasthttp.Request, resp *fasthttp.Response, c *call) answer {
	if own := c.view.OwnUpstream; own != nil && own.ID == u.ID {
		return n.controller.serve(h, now, req, resp, c.caller)
	}
	h.write(req)
	until := time.Now().Add(c.deadline - now)
	conn, err := n.hops.Acquire(peer.Target{Address: u.IP + n.port}, until, false)
	if err != nil {
		return answer{outcome: notRun, reason: ReasonUnreachable}
	}
	sent, err := conn.Send(req, resp, until, c.caller)
	if sent != peer.ResponseReceived {
		return sendError(sent, err)
	}
	a, err := readAnswer(resp)
	if err != nil {
		return answer{outcome: unknown, reason: ReasonAnswerLost, arrived: true}
	}
	cleanResponse(resp)
	return a
}

// quiet takes the library's own log lines, which may repeat parts of a request, without their text.
type quiet struct {
	log interface{ Debug(args ...any) }
}

// Printf notes that there was a line.
func (q quiet) Printf(string, ...any) {
	q.log.Debug("the HTTP server reported an error of a connection")
}
