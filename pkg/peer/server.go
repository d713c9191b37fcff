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
	// serverIdleTimeout is longer than the client's, so that the server does not close a connection that a
	// client is about to use.
	serverIdleTimeout = 60 * time.Second
	serverReadTimeout = 10 * time.Second
	// serverHeaderSize holds a caller's headers and those of the hop.
	serverHeaderSize = 20 << 10
	// maxForwardedBody is the largest request body; routes limit it further at the entry node.
	maxForwardedBody = 32 << 20
)

// ServerOptions configure the peer port.
type ServerOptions struct {
	// VM and DataCentre are the node's own, for the hello.
	VM         string
	DataCentre string
	Upstream   string
	Clock      clock.Clock
	View       ConfigView
	Record     *CallRecord
	Controller *Controller
	// ObserveVersion is told of the version of each forwarded call and its sender's upstream; it may be nil.
	ObserveVersion func(version wire.VersionID, sender string)
}

// Server is the peer port: hello, bar, and calls for the own upstream.
type Server struct {
	o       ServerOptions
	server  *fasthttp.Server
	version atomic.Pointer[versionText]
}

// versionText caches the header text of a snapshot's version.
type versionText struct {
	snap *snapshot.Snapshot
	text string
}

// NewServer returns a peer port that does not listen yet.
func NewServer(o ServerOptions) *Server {
	s := &Server{o: o}
	s.server = &fasthttp.Server{
		Handler:                      s.handle,
		Logger:                       silent{},
		ReadBufferSize:               serverHeaderSize,
		ReadTimeout:                  serverReadTimeout,
		IdleTimeout:                  serverIdleTimeout,
		MaxRequestBodySize:           maxForwardedBody,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		SecureErrorLogMessage:        true,
		CloseOnShutdown:              true,
	}
	return s
}

// silent drops the library's own log lines, which may repeat parts of a request.
type silent struct{}

// Printf drops the line.
func (silent) Printf(string, ...any) {}

// Serve accepts connections until Shutdown.
func (s *Server) Serve(l net.Listener) error { return s.server.Serve(l) }

// HTTPServer returns the library's server, for its shutdown.
func (s *Server) HTTPServer() *fasthttp.Server { return s.server }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(wire.HeaderCallID)) > 0 {
		s.call(ctx)
		return
	}
	switch string(ctx.Path()) {
	case wire.PathHello:
		s.hello(ctx)
	case wire.PathBarIdentity:
		s.bar(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Server) hello(ctx *fasthttp.RequestCtx) {
	hello := wire.NodeDescription{
		VM: s.o.VM, Upstream: s.o.Upstream, DataCentre: s.o.DataCentre,
		State: s.o.Controller.Load().State, Epoch: s.o.Record.Epoch(s.o.Clock.Now()),
	}
	if snap, _ := s.o.View.Current(); snap != nil {
		hello.Version = snap.Version
	} else {
		hello.State = wire.StateStarting
	}
	writeJSON(ctx, hello)
}

func (s *Server) bar(ctx *fasthttp.RequestCtx) {
	var q wire.BarIdentityRequest
	if err := json.Unmarshal(ctx.PostBody(), &q); err != nil || q.Identity == "" {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	writeJSON(ctx, s.o.Record.BarIdentity(s.o.Clock.Now(), q.Identity))
}

func (s *Server) call(ctx *fasthttp.RequestCtx) {
	arrived := s.o.Clock.Now()
	hop, err := ReadCallMetadata(&ctx.Request.Header)
	if err != nil {
		s.write(&ctx.Response, CallResult{Outcome: wire.OutcomeNotRun, Kind: wire.KindMalformedRequest, Load: s.o.Controller.Load()})
		return
	}
	if s.o.ObserveVersion != nil {
		s.o.ObserveVersion(hop.Version, hop.SenderUpstream)
	}
	in := &IncomingCall{Metadata: hop, ArrivedAt: arrived, Caller: NewCaller(ctx.Conn())}
	// The URI was parsed by the library; setting it again makes the codec send the original bytes.
	ctx.Request.SetRequestURIBytes(ctx.Request.Header.RequestURI())
	ctx.Request.Header.SetNoDefaultContentType(true)
	answer := s.o.Controller.Serve(in, &ctx.Request, &ctx.Response)
	s.write(&ctx.Response, answer)
}

// write sets the hop's response headers.
func (s *Server) write(resp *fasthttp.Response, answer CallResult) {
	if answer.Outcome != wire.OutcomeRan {
		skip := resp.SkipBody
		resp.Reset()
		resp.SkipBody = skip
		resp.Header.SetNoDefaultContentType(true)
		resp.SetStatusCode(fasthttp.StatusServiceUnavailable)
		resp.Header.Set(wire.HeaderReason, string(answer.Kind))
	}
	header := &resp.Header
	header.Set(wire.HeaderOutcome, string(answer.Outcome))
	header.Set(wire.HeaderState, string(answer.Load.State))
	header.Set(wire.HeaderVersion, s.versionText())
	var buf [40]byte
	load := strconv.AppendInt(buf[:0], int64(answer.Load.InFlight), 10)
	load = append(load, '/')
	load = strconv.AppendInt(load, int64(answer.Load.Limit), 10)
	header.SetBytesV(wire.HeaderLoad, load)
	if answer.Load.State == wire.StateLeaving {
		header.SetConnectionClose()
	}
}

func (s *Server) versionText() string {
	snap, _ := s.o.View.Current()
	if snap == nil {
		return wire.VersionID{}.String()
	}
	cached := s.version.Load()
	if cached == nil || cached.snap != snap {
		cached = &versionText{snap: snap, text: snap.Version.String()}
		s.version.Store(cached)
	}
	return cached.text
}

// ReadCallResult reads the hop's headers of a response and removes them.
func ReadCallResult(resp *fasthttp.Response) (answer CallResult, version wire.VersionID, ok bool) {
	header := &resp.Header
	answer.Outcome = wire.Outcome(header.Peek(wire.HeaderOutcome))
	answer.Kind = wire.ErrorKind(header.Peek(wire.HeaderReason))
	answer.Load = readLoad(header.Peek(wire.HeaderLoad))
	answer.Load.State = wire.NodeState(header.Peek(wire.HeaderState))
	version, err := wire.ParseVersionID(string(header.Peek(wire.HeaderVersion)))
	stripResponse(resp)
	known := answer.Outcome == wire.OutcomeRan || answer.Outcome == wire.OutcomeNotRun || answer.Outcome == wire.OutcomeUnknown
	return answer, version, known && err == nil
}

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
