// Package peer carries calls between nodes and to a node's own upstream.
package peer

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Sizes in bytes of the buffers of a connection. A response header must fit in the read buffer.
const (
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10
)

// maxInterimResponses bounds the 1xx responses before the final one.
const maxInterimResponses = 8

// maxForeignResponses bounds the responses to other requests that are skipped before the one that is awaited.
const maxForeignResponses = 3

// keepAliveShare is the part, in percent, of the announced idle time for which a connection is reused.
const keepAliveShare = 80

// watchInterval is how often a waiting call checks that its caller is still connected.
const watchInterval = 50 * time.Millisecond

// firstProbe is the wait for an answer after which a call that may be repeated asks whether the node still runs; the
// next probe follows after twice the time. Usual answers come within tens of milliseconds.
const firstProbe = 200 * time.Millisecond

// Errors of an exchange. After all of them the connection is closed.
var (
	ErrCallerGone          = errors.New("the caller closed its connection; the call was cancelled")
	ErrUndelimitedBody     = errors.New("the response has neither Content-Length nor chunks, so its end is uncertain; delimit it")
	ErrInterimResponse     = errors.New("the response switches protocols or has too many interim responses; answer plain HTTP")
	ErrDeadlinePassed      = errors.New("the call's deadline passed before it was sent; allow more time")
	ErrTooManyConnections  = errors.New("all connections to the address are in use; raise the limit or send less")
	ErrWrongUpstream       = errors.New("another upstream answers at the address; wait for a newer member list")
	ErrNodeClosing         = errors.New("the node closes its connections; use another node")
	ErrNodeUnresponsive    = errors.New("the node stopped answering while it held the call; check that it runs")
	ErrUnsolicitedResponse = errors.New("bytes follow the response; the connection is not usable")
	errNoSocket            = errors.New("the socket is not a TCP connection")
)

// Conn is one connection that carries one request at a time.
type Conn struct {
	pool    *Pool
	address string
	raw     net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	// written counts the bytes of the current request that the kernel accepted.
	written  int
	lastUsed time.Duration
	// answeredAt is when the last whole answer came.
	answeredAt time.Duration
	// keepAlive is how long the other side keeps the connection idle.
	keepAlive time.Duration
	// spoiled connections are not used again.
	spoiled bool
	hello   wire.NodeDescription
	probe   *probe
}

func newConn(p *Pool, address string, raw net.Conn) *Conn {
	c := &Conn{pool: p, address: address, raw: raw, probe: newProbe(raw), keepAlive: p.o.IdleTimeout}
	c.r = bufio.NewReaderSize(raw, readBufferSize)
	c.w = bufio.NewWriterSize(counter{c}, writeBufferSize)
	return c
}

// counter counts what the kernel accepted, because a call of which any byte left may have run.
type counter struct{ c *Conn }

func (w counter) Write(b []byte) (int, error) {
	n, err := w.c.raw.Write(b)
	w.c.written += n
	return n, err
}

// Caller is the connection on which a call arrived.
type Caller interface {
	// Connected reports whether the caller has not closed the connection. It never blocks.
	Connected() bool
}

// exchange sends req and reads the whole response into resp before the deadline. After an error the response is
// not usable and the connection must be closed. With a caller, the wait ends when the caller disconnects.
func (c *Conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, caller Caller, limit int) error {
	c.written = 0
	if err := c.raw.SetDeadline(deadline); err != nil {
		return err
	}
	if err := req.Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	if caller != nil {
		if err := c.awaitFirstByte(deadline, caller); err != nil {
			return err
		}
	}
	if err := c.readAnswer(req, resp, limit); err != nil {
		return err
	}
	c.noteKeepAlive(resp)
	if c.r.Buffered() > 0 {
		// An answer to no request of ours: the next caller would take it for its own.
		if c.pool.o.MatchResponse == nil {
			return ErrUnsolicitedResponse
		}
		c.spoiled = true
	}
	c.answeredAt = c.pool.o.Clock.Now()
	return nil
}

// readAnswer reads responses until one belongs to the request.
func (c *Conn) readAnswer(req *fasthttp.Request, resp *fasthttp.Response, limit int) error {
	for n := 0; ; n++ {
		if err := readResponse(c.r, resp, req.Header.IsHead(), limit, c.pool.o.AllowCloseDelimited); err != nil {
			return err
		}
		if c.pool.o.MatchResponse == nil || c.pool.o.MatchResponse(req, resp) {
			return nil
		}
		if n >= maxForeignResponses || resp.ConnectionClose() {
			return ErrUnsolicitedResponse
		}
	}
}

// noteKeepAlive takes the time for which the other side keeps the connection, less a part for the way.
func (c *Conn) noteKeepAlive(resp *fasthttp.Response) {
	value := resp.Header.Peek("Keep-Alive")
	_, after, found := bytes.Cut(value, []byte("timeout="))
	if !found {
		return
	}
	after, _, _ = bytes.Cut(after, []byte{','})
	if n, err := fasthttp.ParseUint(bytes.TrimSpace(after)); err == nil {
		c.keepAlive = time.Duration(n) * time.Second * keepAliveShare / 100
	}
}

// awaitFirstByte waits in slices, so that a caller that disconnects or a node that stops running is noticed without
// another goroutine.
func (c *Conn) awaitFirstByte(deadline time.Time, caller Caller) error {
	probeAfter := firstProbe
	probeAt := time.Now().Add(probeAfter)
	for {
		slice := time.Now().Add(c.pool.o.CallerCheckInterval)
		last := !slice.Before(deadline)
		if last {
			slice = deadline
		}
		if err := c.raw.SetReadDeadline(slice); err != nil {
			return err
		}
		_, err := c.r.Peek(1)
		if err == nil {
			return c.raw.SetReadDeadline(deadline)
		}
		if last || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !caller.Connected() {
			return ErrCallerGone
		}
		if time.Now().After(probeAt) {
			if !c.pool.responds(c, probeAfter, deadline) && !c.answered() {
				return ErrNodeUnresponsive
			}
			probeAfter *= 2
			probeAt = time.Now().Add(probeAfter)
		}
	}
}

// answered reports whether bytes of the answer have arrived.
func (c *Conn) answered() bool {
	return c.r.Buffered() > 0 || (c.probe.look() == nil && c.probe.open && !c.probe.idle)
}

// readResponse reads a final response whose whole body is known to have arrived.
func readResponse(r *bufio.Reader, resp *fasthttp.Response, head bool, limit int, toClose bool) error {
	resp.SkipBody = head
	// A body left by an earlier attempt must not follow a response without one.
	resp.ResetBody()
	for n := 0; ; n++ {
		if err := resp.Header.Read(r); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			break
		}
		if n >= maxInterimResponses || resp.StatusCode() == fasthttp.StatusSwitchingProtocols {
			return ErrInterimResponse
		}
	}
	if head || resp.StatusCode() == fasthttp.StatusNoContent || resp.StatusCode() == fasthttp.StatusNotModified {
		return nil
	}
	if resp.Header.ContentLength() == -2 && !toClose {
		// A body that ends with the connection looks the same when it is cut short.
		return ErrUndelimitedBody
	}
	if err := resp.ReadBody(r, limit); err != nil {
		return err
	}
	if resp.Header.ContentLength() == -1 {
		return resp.Header.ReadTrailer(r)
	}
	return nil
}

// probe looks at a socket without reading from it. It is not safe for concurrent use.
type probe struct {
	raw     syscall.RawConn
	inspect func(fd uintptr)
	idle    bool
	open    bool
}

func newProbe(c net.Conn) *probe {
	p := &probe{}
	if sc, ok := c.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			p.raw = raw
		}
	}
	p.inspect = func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		p.idle = waiting
		p.open = waiting || (err == nil && n > 0)
	}
	return p
}

func (p *probe) look() error {
	if p.raw == nil {
		return errNoSocket
	}
	// Control does not take the descriptor's read lock and ignores deadlines, so it never blocks.
	return p.raw.Control(p.inspect)
}

// usable reports that the other side has neither closed nor sent anything: an idle connection with pending bytes
// holds an answer to an earlier request.
func (p *probe) usable() bool { return p.look() == nil && p.idle }

// Connected reports that the other side has not closed the connection.
func (p *probe) Connected() bool {
	err := p.look()
	return errors.Is(err, errNoSocket) || (err == nil && p.open)
}

// NewCaller watches the connection on which a call arrived.
func NewCaller(c net.Conn) Caller { return newProbe(c) }
