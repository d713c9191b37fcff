package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/pipeline"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// maxPipelined is how many requests of one connection are read before the first of them is answered. Each of them
	// takes the memory of a request and of a response, and browsers that pipelined sent up to 8.
	maxPipelined = 16
	// maxPipelinedOfNode bounds the requests of all connections that are read although an earlier request of their
	// connection is not answered. Beyond it the requests of a connection are read one by one.
	maxPipelinedOfNode = 1024
	// lingerTime is how long a connection that the node closes is still read, so that bytes that have not been read do
	// not make the system discard the last response (RFC 9112, section 9.6).
	lingerTime = 500 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, for example because all file descriptors are in use.
	acceptRetryDelay = 10 * time.Millisecond
	// responseBufferSize is the size in bytes of the buffer for writing a response.
	responseBufferSize = 4 << 10
)

// continueResponse tells a caller that waits for it to send the body of its request (RFC 9110, section 15.2.1).
var continueResponse = []byte("HTTP/1.1 100 Continue\r\n\r\n")

// errBodyRefused is the error of a request whose body does not fit into the memory for request bodies.
var errBodyRefused = errors.New("the node holds too many bytes of requests at once; send the request again after Retry-After")

// connServer reads the requests of connections, runs them and writes the responses in the order of the requests.
// Requests of a connection that may run side by side do so. fasthttp parses requests, but its own server handles those
// of a connection one by one and reads whole bodies before its handler can refuse them.
type connServer struct {
	handler fasthttp.RequestHandler
	// concurrency is how many requests of a connection may run side by side.
	concurrency int
	// mustRunAlone reports whether a request may run only while no other one of its connection does. It is nil if the
	// concurrency is 1.
	mustRunAlone func(req *fasthttp.Request) bool
	// handleReadError sets the response to a request that did not arrive completely.
	handleReadError func(ctx *fasthttp.RequestCtx, err error)
	// acceptBody decides about a request whose body its sender holds back until it is asked for. It returns false after it
	// has set the response of a refused request. It is nil if every body is asked for.
	acceptBody func(ctx *fasthttp.RequestCtx) bool
	// refuseBody sets the response to a request whose body does not fit into the memory for bodies.
	refuseBody func(ctx *fasthttp.RequestCtx)
	// bodyTime returns the time within which the body of a request has to arrive.
	bodyTime    func(req *fasthttp.Request) time.Duration
	idleTimeout time.Duration
	bodies      *peer.BodyBudget
	log         *logrus.Logger
	template    *fasthttp.ResponseHeader

	// pipelined counts the requests beyond the first of each connection.
	pipelined atomic.Int64
	readers   sync.Pool
	writers   sync.Pool
	contexts  sync.Pool
}

// newResponseTemplate returns the header of a response to which fasthttp adds no Date and no Content-Type. Only a
// fasthttp.Server can turn the Date off.
func newResponseTemplate() (*fasthttp.ResponseHeader, error) {
	template := &fasthttp.ResponseHeader{}
	s := &fasthttp.Server{NoDefaultDate: true, NoDefaultContentType: true, NoDefaultServerHeader: true, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.CopyTo(template)
	}}
	client, server := net.Pipe()
	served := make(chan error, 1)
	go func() { served <- s.ServeConn(server) }()
	if _, err := client.Write([]byte("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")); err != nil {
		return nil, err
	}
	if _, err := io.Copy(io.Discard, client); err != nil {
		return nil, err
	}
	return template, errors.Join(<-served, client.Close())
}

// Serve accepts connections until the listener is closed.
func (s *connServer) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.WithError(err).Warn("accepting a connection failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &servedConn{trackedConn: conn.(*trackedConn), server: s, requests: pipeline.NewSequence(s.concurrency), exchanges: map[uint64]*exchange{}}
		c.turn.L = &c.mu
		go c.serve()
	}
}

func (s *connServer) acquire(c *servedConn) *exchange {
	x, _ := s.contexts.Get().(*exchange)
	if x == nil {
		x = &exchange{}
	}
	x.ctx.Init2(c, textlessLogger{s.log}, true)
	s.template.CopyTo(&x.ctx.Response.Header)
	return x
}

// release returns an exchange to the pool once its response was written.
func (s *connServer) release(x *exchange) {
	x.id, x.bodyBytes, x.answered, x.discarding = 0, 0, false, false
	x.ctx.Request.Reset()
	x.ctx.Response.Reset()
	x.ctx.ResetUserValues()
	s.contexts.Put(x)
}

// isSafe reports whether a request has a method that changes nothing (RFC 9110, section 9.2.1).
func isSafe(req *fasthttp.Request) bool {
	return req.Header.IsGet() || req.Header.IsHead() || req.Header.IsOptions()
}

// mustRunAlone reports whether a request may not run beside other requests of its connection, because its caller may
// rely on the order in which they take effect (RFC 9112, section 9.3.2).
func (n *Node) mustRunAlone(req *fasthttp.Request) bool {
	config := n.o.View().Config
	if isSafe(req) || config == nil {
		return false
	}
	path, _, _ := bytes.Cut(req.Header.RequestURI(), []byte{'?'})
	route := config.MatchRoute(string(req.Header.Host()), string(path))
	return route != nil && !route.Idempotent
}
