package ratelimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

const (
	// borrowerIdleTime is how long a borrower keeps a lease stream that it does not use. A node asks the holders that are
	// first in its order every few seconds, so few requests have to open a new stream. holderIdleTime is longer, so that a
	// borrower does not send a request on a stream that its holder is closing.
	borrowerIdleTime = 60 * time.Second
	holderIdleTime   = 90 * time.Second
	// streamBufferSize is the buffer of one side of a stream in bytes. A node may have a stream to and from each other one.
	streamBufferSize = 512
)

var (
	errStreamUnsupported = eris.New("the quota holder has no lease streams; run the same release on all nodes")
	errLeaseRefused      = eris.New("the quota holder's view is not confirmed; ask another holder")
	errTransportClosed   = eris.New("the node is stopping")
)

// StreamTransport is a Transport that keeps a lease stream to each holder (see wire.LeaseStreamProtocol). Handover
// requests, and lease requests to nodes of releases without lease streams, are JSON over HTTP.
type StreamTransport struct {
	*HTTPTransport
	dialer *net.Dialer

	mu      sync.Mutex
	closed  bool
	streams map[string]*borrowerStream
}

// borrowerStream is the borrower's side of a lease stream. It carries one exchange at a time, because a borrower has only
// one request under way to a holder.
type borrowerStream struct {
	mu     sync.Mutex
	conn   net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// NewStreamTransport returns a transport that dials from the source address, or from any address if source is not valid.
func NewStreamTransport(source netip.Addr) *StreamTransport {
	return &StreamTransport{
		HTTPTransport: NewHTTPTransport(source), dialer: newDialer(source), streams: map[string]*borrowerStream{},
	}
}

// RequestLease sends a lease request to the node at the control address. A request is sent once: on a stream that turns
// out to be broken it fails, because the holder may have granted the lease.
func (t *StreamTransport) RequestLease(address string, req wire.LeaseRequest) (wire.LeaseResponse, error) {
	s, err := t.streamTo(address)
	if err != nil {
		return wire.LeaseResponse{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	resp, err := s.exchange(t.dialer, address, req)
	if errors.Is(err, errStreamUnsupported) {
		return t.HTTPTransport.RequestLease(address, req)
	}
	if err != nil && !errors.Is(err, errLeaseRefused) {
		s.close()
	}
	s.usedAt = time.Now()
	return resp, err
}

// streamTo returns the stream to an address, which may not be open yet, and closes the streams that are not used.
func (t *StreamTransport) streamTo(address string) (*borrowerStream, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, errTransportClosed
	}
	for other, s := range t.streams {
		if other != address && s.closeIfIdle() {
			delete(t.streams, other)
		}
	}
	s := t.streams[address]
	if s == nil {
		s = &borrowerStream{usedAt: time.Now()}
		t.streams[address] = s
	}
	return s, nil
}

// Close closes all connections. Later requests fail.
func (t *StreamTransport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, s := range t.streams {
		s.mu.Lock()
		s.close()
		s.mu.Unlock()
	}
	t.HTTPTransport.Close()
}

// closeIfIdle closes the stream if it has not been used for borrowerIdleTime. A stream with a request under way is in use.
func (s *borrowerStream) closeIfIdle() bool {
	if !s.mu.TryLock() {
		return false
	}
	defer s.mu.Unlock()
	if time.Since(s.usedAt) < borrowerIdleTime {
		return false
	}
	s.close()
	return true
}

func (s *borrowerStream) close() {
	if s.conn != nil {
		// The stream is given up whatever Close returns.
		_ = s.conn.Close()
		s.conn, s.reader = nil, nil
	}
}

// exchange sends a request and reads its answer. It opens the stream first if necessary.
func (s *borrowerStream) exchange(dialer *net.Dialer, address string, req wire.LeaseRequest) (resp wire.LeaseResponse, err error) {
	if time.Since(s.usedAt) >= borrowerIdleTime {
		s.close()
	}
	if s.conn == nil {
		if err := s.open(dialer, address); err != nil {
			return resp, err
		}
	}
	payload, err := req.AppendBinary(nil)
	if err != nil {
		return resp, err
	}
	if err := s.conn.SetDeadline(time.Now().Add(leaseTimeout)); err != nil {
		return resp, err
	}
	if _, err := s.conn.Write(wire.AppendFrame(nil, payload)); err != nil {
		return resp, eris.Wrap(err, "the quota holder did not answer; check that its node runs and is reachable")
	}
	answer, err := wire.ReadFrame(s.reader)
	if err != nil {
		return resp, eris.Wrap(err, "the quota holder did not answer; check that its node runs and is reachable")
	}
	if len(answer) == 0 {
		return resp, errLeaseRefused
	}
	return resp, resp.UnmarshalBinary(answer)
}

// open connects to the holder and asks for a lease stream.
func (s *borrowerStream) open(dialer *net.Dialer, address string) error {
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		return eris.Wrap(err, "the quota holder cannot be reached; check that its node runs and is reachable")
	}
	s.conn, s.reader = conn, bufio.NewReaderSize(conn, streamBufferSize)
	if err := s.upgrade(); err != nil {
		s.close()
		return err
	}
	return nil
}

func (s *borrowerStream) upgrade() error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(wire.PathQuotaStream)
	req.Header.SetHost("node")
	req.Header.Set("Connection", "Upgrade")
	req.Header.Set("Upgrade", wire.LeaseStreamProtocol)
	if err := s.conn.SetDeadline(time.Now().Add(leaseTimeout)); err != nil {
		return err
	}
	if _, err := req.WriteTo(s.conn); err != nil {
		return eris.Wrap(err, "the quota holder did not answer; check that its node runs and is reachable")
	}
	// The head of a response with status 101 has no body, although it has no length either.
	if err := response.ReadHead(s.reader, &resp.Header); err != nil {
		return eris.Wrap(err, "the quota holder did not answer; check that its node runs and is reachable")
	}
	if resp.StatusCode() != fasthttp.StatusSwitchingProtocols {
		return errStreamUnsupported
	}
	return nil
}

// leaseStreams holds the open lease streams of a holder.
type leaseStreams struct {
	mu     sync.Mutex
	closed bool
	open   map[net.Conn]struct{}
}

// add records a stream. It returns false if the streams are closed already.
func (s *leaseStreams) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	if s.open == nil {
		s.open = map[net.Conn]struct{}{}
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *leaseStreams) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// awaitRequest allows the next request of a stream to arrive within holderIdleTime. It returns false if the streams are
// closed already.
func (s *leaseStreams) awaitRequest(conn net.Conn) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false, nil
	}
	return true, conn.SetReadDeadline(time.Now().Add(holderIdleTime))
}

// ended reports whether the streams are closed.
func (s *leaseStreams) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// closeAll ends all streams. The server does not know them any more, so nothing else ends them when the node stops. The
// server closes a connection once its handler has returned; closing it here has no effect.
func (s *leaseStreams) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		// A connection whose deadline cannot be set is closed already.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// openLeaseStream answers a request for a lease stream and serves the stream.
func (l *Limiter) openLeaseStream(ctx *fasthttp.RequestCtx) {
	if string(ctx.Request.Header.Peek("Upgrade")) != wire.LeaseStreamProtocol {
		ctx.Error("the path serves the protocol "+wire.LeaseStreamProtocol, fasthttp.StatusUpgradeRequired)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusSwitchingProtocols)
	ctx.Response.Header.Set("Connection", "Upgrade")
	ctx.Response.Header.Set("Upgrade", wire.LeaseStreamProtocol)
	ctx.Hijack(func(conn net.Conn) {
		if !l.streams.add(conn) {
			return
		}
		defer l.streams.remove(conn)
		if err := l.serveLeaseStream(conn); err != nil && !errors.Is(err, io.EOF) {
			l.o.Log.WithError(err).WithField("borrower", conn.RemoteAddr().String()).Debug("a lease stream ended")
		}
	})
}

// serveLeaseStream answers the requests of a stream until it ends or was idle for holderIdleTime.
func (l *Limiter) serveLeaseStream(conn net.Conn) error {
	reader := bufio.NewReaderSize(conn, streamBufferSize)
	for {
		if open, err := l.streams.awaitRequest(conn); !open || err != nil {
			return err
		}
		payload, err := wire.ReadFrame(reader)
		if err != nil {
			return err
		}
		// A request that arrives after closeAll, but before it has woken up this goroutine, is read all the same. A limiter that
		// has stopped must not grant it.
		if l.streams.ended() {
			return nil
		}
		var req wire.LeaseRequest
		if err := req.UnmarshalBinary(payload); err != nil {
			return err
		}
		var answer []byte
		// A refusal is an empty frame; the borrower then asks another holder.
		if resp, err := l.HandleLease(req); err == nil {
			if answer, err = resp.AppendBinary(nil); err != nil {
				return err
			}
		}
		if err := conn.SetWriteDeadline(time.Now().Add(leaseTimeout)); err != nil {
			return err
		}
		if _, err := conn.Write(wire.AppendFrame(nil, answer)); err != nil {
			return err
		}
	}
}
