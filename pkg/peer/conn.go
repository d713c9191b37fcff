// Package peer sends calls to other nodes and to a node's own upstream, and serves the calls that other nodes forward.
package peer

import (
	"bytes"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Sizes in bytes of the buffers of a connection. The headers of a response must fit in the read buffer.
const (
	readBufferSize  = 16 << 10
	writeBufferSize = 4 << 10
)

// interimStatusLine is how the status line of an interim response starts.
var interimStatusLine = []byte("HTTP/1.1 1")

// maxSkippedResponses bounds the responses to other requests that are skipped before the expected one.
const maxSkippedResponses = 3

// keepAlivePercent is the part of the announced keep-alive time for which a connection is reused.
const keepAlivePercent = 80

// callerCheckInterval is how often a waiting call checks that its caller is still connected.
const callerCheckInterval = 50 * time.Millisecond

// askTimeout is how long a node may take to answer in any way when it is asked whether it accepts a body. The network
// takes a few milliseconds, and a lost packet is sent again after 200 ms.
const askTimeout = 300 * time.Millisecond

// firstNodeCheckDelay is how long a call that may be repeated waits for its response before it checks that the node
// still runs; the wait doubles after each check. Most responses come within tens of milliseconds.
const firstNodeCheckDelay = 200 * time.Millisecond

// Errors of Pool.Acquire and Conn.Send.
var (
	ErrCallerGone          = errors.New("the caller closed its connection; the call was cancelled")
	ErrUndelimitedBody     = response.ErrUndelimitedBody
	ErrInterimResponse     = response.ErrInterim
	ErrDeadlinePassed      = errors.New("the call's deadline passed before it was sent; allow more time")
	ErrTooManyConnections  = errors.New("all connections to the address are in use; raise the limit or send fewer calls at once")
	ErrWrongUpstream       = errors.New("another upstream answers at the address; wait for a newer member list")
	ErrNodeClosing         = errors.New("the node is closing its connections; use another node")
	ErrNodeUnresponsive    = errors.New("the node does not answer; check that it runs")
	ErrUnsolicitedResponse = errors.New("the connection carried bytes that belong to no request; it is closed")
	errNoSocket            = errors.New("the socket is not a TCP connection")
)

// Conn is one connection of a Pool. It carries one request at a time.
type Conn struct {
	pool    *Pool
	address string
	netConn net.Conn
	// connBuffers is nil while the connection is idle.
	*connBuffers
	// written counts the bytes of the current request that the kernel accepted.
	written  int
	lastUsed time.Duration
	// lastResponse is when the last complete response came.
	lastResponse time.Duration
	// keepAlive is how long the connection may be idle before the other side closes it.
	keepAlive time.Duration
	// unusable is set when the connection must be closed after the current exchange.
	unusable bool
	hello    wire.NodeDescription
	probe    *socketProbe
	watch    callerWatch
	// maxBodyBytes is the bound of LimitBody, or 0.
	maxBodyBytes int
	// bodyWhenAsked is set by SendBodyWhenAsked.
	bodyWhenAsked bool
}

func newConn(p *Pool, address string, netConn net.Conn) *Conn {
	return &Conn{pool: p, address: address, netConn: netConn, probe: newSocketProbe(netConn), keepAlive: p.options.IdleTimeout}
}

// countingWriter counts the bytes that the kernel accepted, because a call of which any byte left this node may have
// run.
type countingWriter struct{ conn *Conn }

func (w countingWriter) Write(b []byte) (int, error) {
	n, err := w.conn.netConn.Write(b)
	w.conn.written += n
	return n, err
}

// Caller is the connection on which a call arrived.
type Caller interface {
	// Connected reports whether the caller has not closed the connection. It never blocks.
	Connected() bool
}

// exchange sends req and reads the complete response into resp before the deadline. After an error the response must
// not be used and the connection must be closed. watch may be nil.
func (c *Conn) exchange(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, watch *Watch, maxBodyBytes int) error {
	c.takeBuffers()
	c.written = 0
	if err := c.netConn.SetDeadline(deadline); err != nil {
		return err
	}
	refused := false
	if c.bodyWhenAsked && len(req.Body()) > 0 {
		asked, err := c.sendHeader(req, resp, deadline, watch)
		if err != nil {
			if !errors.Is(err, response.ErrMalformed) {
				// The node passes on no request before it has the body. A server whose bytes are no response is no node.
				c.written = 0
			}
			return err
		}
		if refused = !asked; asked {
			if _, err := c.writer.Write(req.Body()); err != nil {
				return err
			}
		}
	} else if err := req.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	if watch != nil && !refused {
		if err := c.awaitResponse(resp, deadline, watch); err != nil {
			return err
		}
	}
	if err := c.readMatchingResponse(req, resp, deadline, watch, maxBodyBytes); err != nil {
		return err
	}
	c.updateKeepAlive(resp)
	if c.reader.Buffered() > 0 {
		// These bytes belong to no request. The next call would take them for its response.
		if c.pool.options.MatchResponse == nil {
			return ErrUnsolicitedResponse
		}
		c.unusable = true
	}
	c.lastResponse = c.pool.options.Clock.Now()
	return nil
}

// SendBodyWhenAsked makes the next Send hold back the body until the node at the other end asks for it (RFC 9110, section
// 10.1.1). If the node refuses the request instead, the body is not sent and the connection can be used again. A node
// that does not answer at all within askTimeout counts as unresponsive; one that needs more time announces that with an
// interim response. Until the body is sent, a failed Send returns NotSent, unless it got bytes that are no response. Nodes
// work like this; other servers may expect the body nevertheless.
func (c *Conn) SendBodyWhenAsked() { c.bodyWhenAsked = true }

// sendHeader sends the header of a request and waits until the node asks for the body. It returns false if the final
// response begins to arrive instead.
func (c *Conn) sendHeader(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, watch *Watch) (asked bool, err error) {
	if watch == nil {
		watch = &Watch{}
	}
	req.Header.SetContentLength(len(req.Body()))
	req.Header.Set(fasthttp.HeaderExpect, "100-continue")
	err = req.Header.Write(c.writer)
	req.Header.Del(fasthttp.HeaderExpect)
	if err == nil {
		err = c.writer.Flush()
	}
	answerBy := time.Now().Add(askTimeout)
	if answerBy.After(deadline) {
		answerBy = deadline
	}
	for n := 0; err == nil && n <= response.MaxInterim; n++ {
		err := c.awaitFirstByte(answerBy, watch)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(deadline) {
			return false, ErrNodeUnresponsive
		}
		if err != nil {
			return false, err
		}
		answerBy = deadline
		if err := c.netConn.SetReadDeadline(deadline); err != nil {
			return false, err
		}
		interim, err := c.readInterim(resp, deadline, watch)
		if err != nil || !interim {
			return false, err
		}
		if resp.StatusCode() == fasthttp.StatusContinue {
			return true, nil
		}
	}
	return false, errors.Join(err, ErrInterimResponse)
}

// readMatchingResponse reads responses until one belongs to the request. It fails when the watched caller disconnects.
func (c *Conn) readMatchingResponse(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, watch *Watch, maxBodyBytes int) error {
	if c.maxBodyBytes > 0 {
		maxBodyBytes = min(maxBodyBytes, c.maxBodyBytes)
	}
	limits := response.Limits{
		MaxBodyBytes: maxBodyBytes, Budget: c.pool.options.BodyBudget, AllowCloseDelimited: c.pool.options.AllowCloseDelimited,
	}
	c.watchReads(watch, deadline)
	defer c.unwatchReads()
	for n := 0; ; n++ {
		if err := response.Read(c.reader, resp, req.Header.IsHead(), &limits); err != nil {
			return c.responseError(err)
		}
		if c.pool.options.MatchResponse == nil || c.pool.options.MatchResponse(req, resp) {
			return nil
		}
		if n >= maxSkippedResponses || resp.ConnectionClose() {
			return ErrUnsolicitedResponse
		}
	}
}

// updateKeepAlive takes the keep-alive time from the response's Keep-Alive header, less a margin for the time that a
// request needs to arrive.
func (c *Conn) updateKeepAlive(resp *fasthttp.Response) {
	value := resp.Header.Peek("Keep-Alive")
	_, after, found := bytes.Cut(value, []byte("timeout="))
	if !found {
		return
	}
	after, _, _ = bytes.Cut(after, []byte{','})
	if n, err := fasthttp.ParseUint(bytes.TrimSpace(after)); err == nil {
		c.keepAlive = time.Duration(n) * time.Second * keepAlivePercent / 100
	}
}

// awaitResponse waits for the first byte of the final response. If interim responses are signals to the watch, it reads
// them on the way.
func (c *Conn) awaitResponse(resp *fasthttp.Response, deadline time.Time, watch *Watch) error {
	for n := 0; ; n++ {
		if err := c.awaitFirstByte(deadline, watch); err != nil || !watch.SlowOnInterim {
			return err
		}
		interim, err := c.readInterim(resp, deadline, watch)
		if err != nil || !interim {
			return err
		}
		if n >= response.MaxInterim {
			return ErrInterimResponse
		}
		if len(resp.Header.Peek(WaitingHeader)) > 0 {
			watch.SlowAt = time.Time{}
			continue
		}
		watch.reportSlow()
	}
}

// readInterim reads the head of the response that has begun to arrive if it is an interim one, and reports whether it is.
func (c *Conn) readInterim(resp *fasthttp.Response, deadline time.Time, watch *Watch) (bool, error) {
	c.watchReads(watch, deadline)
	defer c.unwatchReads()
	statusLine, err := c.reader.Peek(len(interimStatusLine))
	if err != nil || !bytes.Equal(statusLine, interimStatusLine) {
		return false, c.responseError(err)
	}
	return true, c.responseError(response.ReadHead(c.reader, &resp.Header))
}

// awaitFirstByte waits for the first byte of a response. It wakes up every CallerCheckInterval, so that it notices
// without another goroutine that the caller disconnected or the node stopped running.
func (c *Conn) awaitFirstByte(deadline time.Time, watch *Watch) error {
	defer watch.disarmRead()
	checkDelay := firstNodeCheckDelay
	nextCheck := time.Now().Add(checkDelay)
	for {
		readDeadline := time.Now().Add(c.pool.options.CallerCheckInterval)
		if !watch.SlowAt.IsZero() && watch.SlowAt.Before(readDeadline) {
			readDeadline = watch.SlowAt
		}
		last := !readDeadline.Before(deadline)
		if last {
			readDeadline = deadline
		}
		if err := watch.armRead(c.netConn, readDeadline); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
		if err == nil {
			watch.disarmRead()
			return c.netConn.SetReadDeadline(deadline)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		if !watch.Connected() {
			return ErrCallerGone
		}
		if last {
			return err
		}
		if !watch.SlowAt.IsZero() && !time.Now().Before(watch.SlowAt) {
			watch.reportSlow()
		}
		if time.Now().After(nextCheck) {
			if !c.pool.isResponding(c, checkDelay, deadline) && !c.hasResponseBytes() {
				return ErrNodeUnresponsive
			}
			checkDelay *= 2
			nextCheck = time.Now().Add(checkDelay)
		}
	}
}

// enableKeepAlive makes the system send keep-alive probes while the connection waits for a response. Connections between
// nodes have none by default, because the probes of all idle ones would take a large part of the bytes for control.
func (c *Conn) enableKeepAlive() error {
	tcp, ok := c.netConn.(*net.TCPConn)
	if !ok {
		return errNoSocket
	}
	return tcp.SetKeepAliveConfig(keepAliveConfig)
}

// hasResponseBytes reports whether bytes of the response have arrived.
func (c *Conn) hasResponseBytes() bool {
	return c.hasBufferedBytes() || (c.probe.update() == nil && c.probe.open && !c.probe.idle)
}

// socketProbe checks the state of a socket without reading from it. It is not safe for concurrent use.
type socketProbe struct {
	rawConn syscall.RawConn
	inspect func(fd uintptr)
	// idle is true when the socket is open and no bytes wait to be read.
	idle bool
	// open is true when the other side has not closed the connection, or bytes wait to be read.
	open bool
	// closedBehindBytes is true when the other side has closed the connection and bytes wait to be read before its end.
	closedBehindBytes bool
}

func newSocketProbe(c net.Conn) *socketProbe {
	p := &socketProbe{}
	if sysConn, ok := c.(syscall.Conn); ok {
		if rawConn, err := sysConn.SyscallConn(); err == nil {
			p.rawConn = rawConn
		}
	}
	p.inspect = func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData := errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		p.idle = noData
		hasBytes := err == nil && n > 0
		p.open = noData || hasBytes
		p.closedBehindBytes = hasBytes && isHungUp(fd)
	}
	return p
}

// isHungUp reports whether the other side has closed a connection, even if bytes wait to be read.
func isHungUp(fd uintptr) bool {
	const hungUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&hungUp != 0
}

// update sets idle and open from the current state of the socket.
func (p *socketProbe) update() error {
	if p.rawConn == nil {
		return errNoSocket
	}
	// Control does not take the descriptor's read lock and ignores deadlines, so it never blocks.
	return p.rawConn.Control(p.inspect)
}

// isIdle reports whether the other side has neither closed the connection nor sent anything. Bytes that wait on a
// connection without a request are the response to an earlier request.
func (p *socketProbe) isIdle() bool { return p.update() == nil && p.idle }

// Connected reports whether the other side has not closed the connection. A connection that cannot be checked counts as
// connected.
func (p *socketProbe) Connected() bool {
	err := p.update()
	return errors.Is(err, errNoSocket) || (err == nil && p.open && !p.closedBehindBytes)
}

// NewCaller returns the Caller for the connection on which a call arrived.
func NewCaller(c net.Conn) Caller { return newSocketProbe(c) }
