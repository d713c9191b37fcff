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
	// readTimeout bounds the time in which a whole request has to arrive. It is longer than any deadline, so that a
	// slow sender gets the error "body_truncated" instead of a closed connection.
	readTimeout = 30 * time.Second
	idleTimeout = 60 * time.Second
	// maxHeaderSize is the largest request header in bytes.
	maxHeaderSize = 16 << 10
	// defaultBodyLimit is the largest body in bytes while no configuration is known.
	defaultBodyLimit = 1 << 20
)

// Server is the HTTP server of the caller port or of the local port.
type Server struct {
	gateway *Gateway
	// name is "caller" or "local". public is true for the caller port.
	name            string
	public          bool
	app             *fiber.App
	cachedBodyLimit atomic.Pointer[bodyLimit]
}

// bodyLimit caches the largest body that any route of a snapshot allows.
type bodyLimit struct {
	snap  *snapshot.Snapshot
	bytes int
}

// NewCallerServer returns the server of the caller port, which is public.
func (g *Gateway) NewCallerServer() *Server { return g.newServer("caller", true) }

// NewLocalServer returns the server of the local port, which the VM's own upstream calls.
func (g *Gateway) NewLocalServer() *Server { return g.newServer("local", false) }

func (g *Gateway) newServer(name string, public bool) *Server {
	s := &Server{gateway: g, name: name, public: public}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage:        true,
		DisablePreParseMultipartForm: true,
		DisableDefaultDate:           true,
		DisableDefaultContentType:    true,
		ReadBufferSize:               maxHeaderSize,
		ReadTimeout:                  readTimeout,
		IdleTimeout:                  idleTimeout,
		BodyLimit:                    defaultBodyLimit,
	})
	s.app.Use(func(c *fiber.Ctx) error {
		s.handle(c.Context())
		return nil
	})
	server := s.app.Server()
	server.SecureErrorLogMessage = true
	server.CloseOnShutdown = true
	server.ErrorHandler = s.handleReadError
	server.HeaderReceived = func(*fasthttp.RequestHeader) fasthttp.RequestConfig {
		return fasthttp.RequestConfig{MaxRequestBodySize: s.bodyLimit()}
	}
	routed := s.app.Handler()
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if !isKnownMethod(ctx.Method()) {
			// For a method that fiber does not know, it would answer in plain text instead of JSON.
			s.writeRefusal(ctx, wire.KindMethodNotAllowed)
			return
		}
		routed(ctx)
	}
	return s
}

func isKnownMethod(method []byte) bool {
	for _, m := range fiber.DefaultMethods {
		if m == string(method) {
			return true
		}
	}
	return false
}

// Serve accepts connections until Shutdown. The local port accepts only connections from loopback and from the VM's own
// address.
func (s *Server) Serve(l net.Listener) error {
	return s.app.Listener(listener{Listener: l, sameHostOnly: !s.public})
}

// Shutdown closes the listener, waits until the calls in progress have ended and closes the connections.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }

// bodyLimit returns the largest body in bytes that any route allows.
func (s *Server) bodyLimit() int {
	snap, _ := s.gateway.o.View.Current()
	if snap == nil {
		return defaultBodyLimit
	}
	cached := s.cachedBodyLimit.Load()
	if cached == nil || cached.snap != snap {
		cached = &bodyLimit{snap: snap, bytes: 1}
		for i := range snap.Set.Routes {
			cached.bytes = max(cached.bytes, snap.Set.Routes[i].MaxBodyBytes)
		}
		s.cachedBodyLimit.Store(cached)
	}
	return cached.bytes
}

// handleReadError responds to a request that could not be read, and that was therefore not forwarded. It leaves out the
// text of the error, which may contain a header and thus a key.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var network net.Error
	kind := wire.KindMalformedRequest
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		kind = wire.KindBodyTooLarge
	case errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network) && network.Timeout():
		kind = wire.KindBodyTruncated
	}
	s.writeRefusal(ctx, kind)
}

// writeRefusal responds to a request that is refused before a call starts, and closes the connection.
func (s *Server) writeRefusal(ctx *fasthttp.RequestCtx, kind wire.ErrorKind) {
	writeError(&ctx.Response, kind, wire.OutcomeNotRun, "")
	ctx.Response.SetConnectionClose()
	s.gateway.o.MetricsRecorder.RecordCall(s.name, "", "", ctx.Response.StatusCode(), wire.OutcomeNotRun, kind, 0)
}

// handle forwards one request and writes its response.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	g := s.gateway
	g.callsInProgress.Add(1)
	defer g.callsInProgress.Add(-1)
	c := &call{gateway: g, arrived: g.o.Clock.Now()}
	c.metadata.CallID = randomID()
	outcome, kind := s.runCall(c, ctx)
	resp := &ctx.Response
	if outcome == wire.OutcomeRan {
		resp.Header.Set(wire.HeaderOutcome, string(wire.OutcomeRan))
		resp.Header.Set(wire.HeaderCallID, c.metadata.CallID)
	} else {
		writeError(resp, kind, outcome, c.metadata.CallID)
	}
	if c.closeCallerConn || g.leaving.Load() || kind == wire.KindMalformedRequest || (c.snap != nil && c.snap.SelfLeaving) {
		resp.SetConnectionClose()
	}
	service := ""
	if c.route != nil {
		service = c.route.Service
	}
	g.o.MetricsRecorder.RecordCall(s.name, service, c.metadata.Team, resp.StatusCode(), outcome, kind, g.o.Clock.Now()-c.arrived)
}

// runCall checks and forwards a call. If the code panics, runCall still returns a correct outcome: "unknown" if an
// attempt may have run, and "not run" otherwise.
func (s *Server) runCall(c *call, ctx *fasthttp.RequestCtx) (outcome wire.Outcome, kind wire.ErrorKind) {
	defer func() {
		if recover() == nil {
			return
		}
		outcome, kind = wire.OutcomeNotRun, wire.KindNoUpstream
		if c.mayHaveRun {
			outcome, kind = wire.OutcomeUnknown, wire.KindOutcomeUnknown
		}
	}()
	if kind := s.prepare(c, ctx); kind != "" {
		return wire.OutcomeNotRun, kind
	}
	return c.runAttempts(&ctx.Request, &ctx.Response)
}

// prepare checks a request and makes it ready to be sent. It returns the kind of a refusal, or an empty kind.
func (s *Server) prepare(c *call, ctx *fasthttp.RequestCtx) wire.ErrorKind {
	req := &ctx.Request
	snap, kind := s.gateway.o.View.Current()
	if snap == nil {
		return kind
	}
	c.snap = snap
	if kind := checkFraming(req); kind != "" {
		return kind
	}
	timeout, kind := s.identifyTeam(c, req)
	if kind != "" {
		return kind
	}
	if c.route, kind = findRoute(snap.Set, req, s.public); kind != "" {
		return kind
	}
	if kind := s.checkRouteLimits(c, req); kind != "" {
		return kind
	}
	if !c.route.Idempotent {
		if s.gateway.mayHaveWaitedDuringPause(ctx) {
			c.closeCallerConn = true
			return wire.KindNotReady
		}
		if c.metadata.Identity, c.metadata.Attempt, kind = readIdentity(req, c.metadata.Team); kind != "" {
			return kind
		}
	} else {
		c.metadata.Attempt = 1
	}
	c.deadline = c.arrived + min(c.route.Timeout(), s.gateway.o.MaxDeadline, timeout)
	c.metadata.Route = c.route.Name
	c.metadata.SenderUpstream = s.gateway.o.Upstream
	c.metadata.Version = snap.Version
	c.caller = peer.NewCaller(ctx.Conn())
	cleanRequest(req)
	return s.admit(c)
}

// mayHaveWaitedDuringPause reports whether the request may have waited in its connection while this process was paused.
// The caller may have sent it to another node meanwhile.
func (g *Gateway) mayHaveWaitedDuringPause(ctx *fasthttp.RequestCtx) bool {
	if g.o.LastPauseEnd == nil {
		return false
	}
	opened := g.o.Clock.Now() - time.Since(ctx.ConnTime())
	return delivery.MayHaveWaitedDuringPause(opened, g.o.LastPauseEnd())
}

// identifyTeam finds the team of a call: by the key on the caller port, by the propagated headers on the local port. It
// returns the time that the caller allows for the call, or the kind of a refusal.
func (s *Server) identifyTeam(c *call, req *fasthttp.Request) (time.Duration, wire.ErrorKind) {
	if s.public {
		key, secret, kind := authenticate(c.snap.Set, req)
		if kind != "" {
			return 0, kind
		}
		stripSecret(req, secret)
		c.metadata.Team, c.metadata.KeyID = key.Team, key.ID
		c.chainBudget = retry.NewChainBudget(retry.MaxChainRetries)
		return s.gateway.o.MaxDeadline, ""
	}
	return s.readPropagatedContext(c, req)
}

// readPropagatedContext reads the headers that the upstream propagates from the call that it is running: team, depth,
// remaining retries and remaining time. It returns the remaining time.
func (s *Server) readPropagatedContext(c *call, req *fasthttp.Request) (time.Duration, wire.ErrorKind) {
	teams := req.Header.PeekAll(wire.HeaderTeam)
	if len(teams) != 1 || c.snap.Set.Team(string(teams[0])) == nil {
		return 0, wire.KindMalformedRequest
	}
	c.metadata.Team = string(teams[0])
	depth, kind := readContextNumber(req, wire.HeaderDepth, 0)
	if kind != "" || depth >= maxDepth {
		return 0, wire.KindMalformedRequest
	}
	c.metadata.Depth = depth + 1
	retries, kind := readContextNumber(req, wire.HeaderRetriesLeft, retry.MaxChainRetries)
	if kind != "" {
		return 0, kind
	}
	c.chainBudget = retry.NewChainBudget(retries)
	ms, kind := readContextNumber(req, wire.HeaderDeadlineMS, int(s.gateway.o.MaxDeadline.Milliseconds()))
	if kind != "" {
		return 0, kind
	}
	// A service may forward its caller's Authorization header. If it holds a declared key, it must not be forwarded.
	if auth := req.Header.Peek(fasthttp.HeaderAuthorization); len(auth) > len(bearerPrefix) {
		if c.snap.Set.KeyForSecret(string(auth[len(bearerPrefix):])) != nil {
			req.Header.Del(fasthttp.HeaderAuthorization)
		}
	}
	return time.Duration(ms) * time.Millisecond, ""
}

// checkRouteLimits checks the body and the age of the configuration against the bounds of the call's route.
func (s *Server) checkRouteLimits(c *call, req *fasthttp.Request) wire.ErrorKind {
	if len(req.Body()) > c.route.MaxBodyBytes {
		return wire.KindBodyTooLarge
	}
	if age := time.Duration(c.route.MaxConfigAgeMS) * time.Millisecond; age > 0 && !s.gateway.o.View.VersionConfirmedWithin(age) {
		return wire.KindStaleConfiguration
	}
	return ""
}

// admit checks the call against the team's rate. Only public calls count.
func (s *Server) admit(c *call) wire.ErrorKind {
	if !s.public {
		return ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline-c.arrived)
	defer cancel()
	if err := s.gateway.o.Admitter.Admit(ctx, c.metadata.Team); err != nil {
		return wire.KindTeamRateExceeded
	}
	return ""
}

// cleanRequest removes what the next node and the upstream must not get from the caller: the headers of its connection
// and the Bamboodeal headers.
func cleanRequest(req *fasthttp.Request) {
	peer.StripConnectionHeaders(req)
	peer.StripBamboodealHeaders(&req.Header)
	req.Header.SetProtocol("HTTP/1.1")
	req.Header.SetNoDefaultContentType(true)
	// The checks parsed the URI. Setting it again makes fasthttp send the original bytes.
	req.SetRequestURIBytes(req.Header.RequestURI())
	if len(req.Header.Host()) == 0 {
		req.Header.SetHost("-")
	}
}
