package peer

import (
	"encoding/json"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// Limits of the peer port.
const (
	// serverIdleTimeout is longer than peerIdleTimeout, so that the server does not close a connection that a client is
	// about to use.
	serverIdleTimeout = 60 * time.Second
	serverReadTimeout = 10 * time.Second
	// maxHeaderBytes bounds the headers of a request: the caller's and those that nodes add.
	maxHeaderBytes = 20 << 10
	// maxForwardedBodyBytes is the size of the largest request body. Routes may limit the body further at the node
	// where the call enters.
	maxForwardedBodyBytes = 32 << 20
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// VM, DataCentre and Upstream are the names of this node's VM, data centre and upstream, which the node reports in
	// its answer to a hello.
	VM         string
	DataCentre string
	Upstream   string
	Clock      clock.Clock
	View       ConfigView
	CallRecord *CallRecord
	Controller *Controller
	// ObserveVersion is called with the configuration version of each forwarded call and the name of the sending node's
	// upstream; it may be nil.
	ObserveVersion func(version wire.VersionID, sender string)
}

// Server is the HTTP server of the peer port. It answers hellos, bars identities and serves the calls to the own
// upstream that other nodes forward.
type Server struct {
	options       ServerOptions
	server        *fasthttp.Server
	cachedVersion atomic.Pointer[cachedVersion]
}

// cachedVersion is the version of a snapshot as the text of a header.
type cachedVersion struct {
	snap *snapshot.Snapshot
	text string
}

// NewServer returns a server; Serve starts it.
func NewServer(options ServerOptions) *Server {
	s := &Server{options: options}
	s.server = &fasthttp.Server{
		Handler:                      s.handle,
		Logger:                       discardLogger{},
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  serverReadTimeout,
		IdleTimeout:                  serverIdleTimeout,
		MaxRequestBodySize:           maxForwardedBodyBytes,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		CloseOnShutdown:              true,
	}
	return s
}

// discardLogger discards the log lines of fasthttp, because they may contain parts of a request.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// Serve accepts connections from l until the server returned by HTTPServer is shut down.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// HTTPServer returns the underlying server, so that it can be shut down.
func (s *Server) HTTPServer() *fasthttp.Server { return s.server }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(wire.HeaderCallID)) > 0 {
		s.serveCall(ctx)
		return
	}
	switch string(ctx.Path()) {
	case wire.PathHello:
		s.serveHello(ctx)
	case wire.PathBarIdentity:
		s.serveBarIdentity(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) serveHello(ctx *fasthttp.RequestCtx) {
	hello := wire.NodeDescription{
		VM: s.options.VM, Upstream: s.options.Upstream, DataCentre: s.options.DataCentre,
		State: s.options.Controller.Load().State, Epoch: s.options.CallRecord.Epoch(s.options.Clock.Now()),
	}
	if snap, _ := s.options.View.Current(); snap != nil {
		hello.Version = snap.Version
	} else {
		hello.State = wire.StateStarting
	}
	writeJSON(ctx, hello)
}

func (s *Server) serveBarIdentity(ctx *fasthttp.RequestCtx) {
	var request wire.BarIdentityRequest
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil || request.Identity == "" {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, s.options.CallRecord.BarIdentity(s.options.Clock.Now(), request.Identity))
}

func (s *Server) serveCall(ctx *fasthttp.RequestCtx) {
	arrivedAt := s.options.Clock.Now()
	metadata, err := ReadCallMetadata(&ctx.Request.Header)
	if err != nil {
		s.writeResultHeaders(&ctx.Response, CallResult{Outcome: wire.OutcomeNotRun, Kind: wire.KindMalformedRequest, Load: s.options.Controller.Load()})
		return
	}
	if s.options.ObserveVersion != nil {
		s.options.ObserveVersion(metadata.Version, metadata.SenderUpstream)
	}
	incoming := &IncomingCall{Metadata: metadata, ArrivedAt: arrivedAt, Caller: NewCaller(ctx.Conn())}
	// fasthttp has parsed the URI. Setting the original bytes again makes it forward them unchanged.
	ctx.Request.SetRequestURIBytes(ctx.Request.Header.RequestURI())
	ctx.Request.Header.SetNoDefaultContentType(true)
	result := s.options.Controller.Serve(incoming, &ctx.Request, &ctx.Response)
	s.writeResultHeaders(&ctx.Response, result)
}

// writeResultHeaders sets the headers of the response that tell the sending node the result of the call. Unless the
// call ran, it replaces the whole response.
func (s *Server) writeResultHeaders(resp *fasthttp.Response, result CallResult) {
	if result.Outcome != wire.OutcomeRan {
		skip := resp.SkipBody
		resp.Reset()
		resp.SkipBody = skip
		resp.Header.SetNoDefaultContentType(true)
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		resp.Header.Set(wire.HeaderReason, string(result.Kind))
	}
	header := &resp.Header
	header.Set(wire.HeaderOutcome, string(result.Outcome))
	header.Set(wire.HeaderState, string(result.Load.State))
	header.Set(wire.HeaderVersion, s.versionText())
	var buf [40]byte
	load := strconv.AppendInt(buf[:0], int64(result.Load.InFlight), 10)
	load = append(load, '/')
	load = strconv.AppendInt(load, int64(result.Load.Limit), 10)
	header.SetBytesV(wire.HeaderLoad, load)
	if result.Load.State == wire.StateLeaving {
		header.SetConnectionClose()
	}
}

// versionText returns the version of the current snapshot as the text of a header.
func (s *Server) versionText() string {
	snap, _ := s.options.View.Current()
	if snap == nil {
		return wire.VersionID{}.String()
	}
	cached := s.cachedVersion.Load()
	if cached == nil || cached.snap != snap {
		cached = &cachedVersion{snap: snap, text: snap.Version.String()}
		s.cachedVersion.Store(cached)
	}
	return cached.text
}

// ReadCallResult reads the result of a call from the headers of a node's response and removes these headers. ok is
// false if the headers are not valid.
func ReadCallResult(resp *fasthttp.Response) (result CallResult, version wire.VersionID, ok bool) {
	header := &resp.Header
	result.Outcome = wire.Outcome(header.Peek(wire.HeaderOutcome))
	result.Kind = wire.ErrorKind(header.Peek(wire.HeaderReason))
	result.Load = readLoad(header.Peek(wire.HeaderLoad))
	result.Load.State = wire.NodeState(header.Peek(wire.HeaderState))
	version, err := wire.ParseVersionID(string(header.Peek(wire.HeaderVersion)))
	stripResponseHeaders(resp)
	validOutcome := result.Outcome == wire.OutcomeRan || result.Outcome == wire.OutcomeNotRun || result.Outcome == wire.OutcomeUnknown
	return result, version, validOutcome && err == nil
}

// readLoad parses "calls in flight/limit".
func readLoad(b []byte) (load admission.Load) {
	for i, c := range b {
		if c == '/' {
			load.InFlight, _ = fasthttp.ParseUint(b[:i])
			load.Limit, _ = fasthttp.ParseUint(b[i+1:])
			break
		}
	}
	return load
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.Header.SetContentType("application/json")
	ctx.SetBody(body)
}
