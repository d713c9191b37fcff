package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/retry"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// Limits of the caller and local ports.
const (
	// readTimeout is the time for a whole request; it is longer than any deadline, so that a slow sender gets
	// "body_truncated" and not a cut connection.
	readTimeout = 30 * time.Second
	idleTimeout = 60 * time.Second
	// headerSize is the largest request header in bytes.
	headerSize = 16 << 10
	// defaultBodyLimit applies while no configuration is known.
	defaultBodyLimit = 1 << 20
)

// Server is the HTTP server of the caller port or the local port.
type Server struct {
	g      *Gateway
	name   string
	public bool
	app    *fiber.App
	limit  atomic.Pointer[bodyLimit]
}

// bodyLimit caches the largest body that any route of a snapshot allows.
type bodyLimit struct {
	snap  *snapshot.Snapshot
	bytes int
}

// NewCallerServer returns the server of the public port.
func (g *Gateway) NewCallerServer() *Server { return g.port("caller", true) }

// NewLocalServer returns the server of the VM's own upstream.
func (g *Gateway) NewLocalServer() *Server { return g.port("local", false) }

func (g *Gateway) port(name string, public bool) *Server {
	p := &Server{g: g, name: name, public: public}
	p.app = fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		DisablePreParseMultipartForm: true,
		DisableDefaultDate:           true,
		DisableDefaultContentType:    true,
		ReadBufferSize:               headerSize,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		BodyLimit:                    defaultBodyLimit,
	})
	p.app.Use(func(c *fiber.Ctx) error {
		p.handle(c.Context())
		return nil
	})
	server := p.app.Server()
	server.SecureErrorLogMessage = true
	server.CloseOnShutdown = true
	server.ErrorHandler = p.unreadable
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{MaxRequestBodySize: p.bodyLimit()}
	}
	routed := p.app.Handler()
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if !isMethod(ctx.Method()) {
			// The framework would answer a method it does not know in plain text.
			p.refuse(ctx, wire.KindMethodNotAllowed)
			return
		}
		routed(ctx)
	}
	return p
}

func isMethod(method []byte) bool {
	for _, m := range fiber.DefaultMethods {
		if m == string(method) {
			return true
		}
	}
	return false
}

// Serve accepts connections until Shutdown. The local port serves connections of loopback and of the VM's own
// address only.
func (p *Server) Serve(l net.Listener) error {
	return p.app.Listener(listener{Listener: l, ownOnly: !p.public})
}

// Shutdown closes the listener, waits until the calls in progress have ended and closes the connections.
func (p *Server) Shutdown(ctx context.Context) error { return p.app.ShutdownWithContext(ctx) }

func (p *Server) bodyLimit() int {
	snap, _ := p.g.o.View.Current()
	if snap == nil {
		return defaultBodyLimit
	}
	cached := p.limit.Load()
	if cached == nil || cached.snap != snap {
		cached = &bodyLimit{snap: snap, bytes: 1}
		for i := range snap.Set.Routes {
			cached.bytes = max(cached.bytes, snap.Set.Routes[i].MaxBodyBytes)
		}
		p.limit.Store(cached)
	}
	return cached.bytes
}

// unreadable answers a request that could not be read; it was not handed on. The text of the error is not used,
// because it may repeat a header.
func (p *Server) unreadable(ctx *fasthttp.RequestCtx, err error) {
	var network net.Error
	kind := wire.KindMalformedRequest
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		kind = wire.KindBodyTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network) && network.Timeout():
		kind = wire.KindBodyTruncated
	}
	p.refuse(ctx, kind)
}

func (p *Server) refuse(ctx *fasthttp.RequestCtx, kind wire.ErrorKind) {
	writeError(&ctx.Response, kind, wire.OutcomeNotRun, "")
	ctx.Response.SetConnectionClose()
	p.g.o.MetricsRecorder.RecordCall(p.name, "", "", ctx.Response.StatusCode(), wire.OutcomeNotRun, kind, 0)
}

// handle carries one request to its end.
func (p *Server) handle(ctx *fasthttp.RequestCtx) {
	g := p.g
	g.working.Add(1)
	defer g.working.Add(-1)
	c := &call{g: g, arrived: g.o.Clock.Now()}
	c.hop.CallID = randomID()
	outcome, kind := p.run(c, ctx)
	resp := &ctx.Response
	if outcome == wire.OutcomeRan {
		resp.Header.Set(wire.HeaderOutcome, string(wire.OutcomeRan))
		resp.Header.Set(wire.HeaderCallID, c.hop.CallID)
	} else {
		writeError(resp, kind, outcome, c.hop.CallID)
	}
	if c.closing || g.leaving.Load() || kind == wire.KindMalformedRequest || (c.snap != nil && c.snap.SelfLeaving) {
		resp.SetConnectionClose()
	}
	service := ""
	if c.route != nil {
		service = c.route.Service
	}
	g.o.MetricsRecorder.RecordCall(p.name, service, c.hop.Team, resp.StatusCode(), outcome, kind, g.o.Clock.Now()-c.arrived)
}

// run answers truthfully even when this process has a fault: after the first byte left, the call may have run.
func (p *Server) run(c *call, ctx *fasthttp.RequestCtx) (outcome wire.Outcome, kind wire.ErrorKind) {
	defer func() {
		if recover() == nil {
			return
		}
		outcome, kind = wire.OutcomeNotRun, wire.KindNoUpstream
		if c.sent {
			outcome, kind = wire.OutcomeUnknown, wire.KindOutcomeUnknown
		}
	}()
	if kind := p.prepare(c, ctx); kind != "" {
		return wire.OutcomeNotRun, kind
	}
	return c.carry(&ctx.Request, &ctx.Response)
}

// prepare checks a request and makes it ready to be sent; it returns the kind of refusal.
func (p *Server) prepare(c *call, ctx *fasthttp.RequestCtx) wire.ErrorKind {
	req := &ctx.Request
	snap, kind := p.g.o.View.Current()
	if snap == nil {
		return kind
	}
	c.snap = snap
	if kind := checkFraming(req); kind != "" {
		return kind
	}
	timeout, kind := p.identify(c, req)
	if kind != "" {
		return kind
	}
	if c.route, kind = findRoute(snap.Set, req, p.public); kind != "" {
		return kind
	}
	if kind := p.checkRoute(c, req); kind != "" {
		return kind
	}
	if !c.route.Idempotent {
		if p.g.waitedInPause(ctx) {
			c.closing = true
			return wire.KindNotReady
		}
		if c.hop.Identity, c.hop.Attempt, kind = identity(req, c.hop.Team); kind != "" {
			return kind
		}
	} else {
		c.hop.Attempt = 1
	}
	c.deadline = c.arrived + min(c.route.Timeout(), p.g.o.MaxDeadline, timeout)
	c.hop.Route = c.route.Name
	c.hop.SenderUpstream = p.g.o.Upstream
	c.hop.Version = snap.Version
	c.caller = peer.NewCaller(ctx.Conn())
	clean(req)
	return p.admit(c)
}

// waitedInPause reports whether the request may have waited in its connection while this process was paused. Its
// caller may have repeated it over another node since.
func (g *Gateway) waitedInPause(ctx *fasthttp.RequestCtx) bool {
	if g.o.LastPauseEnd == nil {
		return false
	}
	opened := g.o.Clock.Now() - time.Since(ctx.ConnTime())
	return delivery.MayHaveWaitedDuringPause(opened, g.o.LastPauseEnd())
}

// identify finds the team: by the key on the public port, by the propagated context on the local port. It
// returns the time that the caller allows.
func (p *Server) identify(c *call, req *fasthttp.Request) (time.Duration, wire.ErrorKind) {
	if p.public {
		key, secret, kind := authenticate(c.snap.Set, req)
		if kind != "" {
			return 0, kind
		}
		stripSecret(req, secret)
		c.hop.Team, c.hop.KeyID = key.Team, key.ID
		c.chain = retry.NewChainBudget(retry.MaxChainRetries)
		return p.g.o.MaxDeadline, ""
	}
	return p.localContext(c, req)
}

func (p *Server) localContext(c *call, req *fasthttp.Request) (time.Duration, wire.ErrorKind) {
	teams := req.Header.PeekAll(wire.HeaderTeam)
	if len(teams) != 1 || c.snap.Set.Team(string(teams[0])) == nil {
		return 0, wire.KindMalformedRequest
	}
	c.hop.Team = string(teams[0])
	depth, kind := contextNumber(req, wire.HeaderDepth, 0)
	if kind != "" || depth >= maxDepth {
		return 0, wire.KindMalformedRequest
	}
	c.hop.Depth = depth + 1
	retries, kind := contextNumber(req, wire.HeaderRetriesLeft, retry.MaxChainRetries)
	if kind != "" {
		return 0, kind
	}
	c.chain = retry.NewChainBudget(retries)
	ms, kind := contextNumber(req, wire.HeaderDeadlineMS, int(p.g.o.MaxDeadline.Milliseconds()))
	if kind != "" {
		return 0, kind
	}
	// A service may forward its caller's header; a declared key must not travel on with it.
	if auth := req.Header.Peek(fasthttp.HeaderAuthorization); len(auth) > len(bearer) {
		if c.snap.Set.KeyForSecret(string(auth[len(bearer):])) != nil {
			req.Header.Del(fasthttp.HeaderAuthorization)
		}
	}
	return time.Duration(ms) * time.Millisecond, ""
}

func (p *Server) checkRoute(c *call, req *fasthttp.Request) wire.ErrorKind {
	if len(req.Body()) > c.route.MaxBodyBytes {
		return wire.KindBodyTooLarge
	}
	if age := time.Duration(c.route.MaxConfigAgeMS) * time.Millisecond; age > 0 && !p.g.o.View.VersionConfirmedWithin(age) {
		return wire.KindStaleConfiguration
	}
	return ""
}

// admit asks for the team's allowance; only public calls are counted.
func (p *Server) admit(c *call) wire.ErrorKind {
	if !p.public {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline-c.arrived)
	defer cancel()
	if err := p.g.o.Admitter.Admit(ctx, c.hop.Team); err != nil {
		return wire.KindTeamRateExceeded
	}
	return ""
}

// clean leaves what the next node and the upstream may see: no header of the caller's connection and none of
// the project's own.
func clean(req *fasthttp.Request) {
	peer.StripConnectionHeaders(req)
	peer.StripBamboodealHeaders(&req.Header)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.SetNoDefaultContentType(true)
	// The URI was parsed for the checks; setting it again makes the codec send the original bytes.
	req.SetRequestURIBytes(req.Header.RequestURI())
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost("-")
	}
}
