package sidecar

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/pipeline"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// exchange is one request of a connection with its response.
type exchange struct {
	id  uint64
	ctx fasthttp.RequestCtx
	// bodyBytes is the part of the request's body that the budget counts.
	bodyBytes int64
	// answered is true if the response was ready before the request could be handled.
	answered bool
	// discarding is true while the rest of a refused body is still read.
	discarding bool
}

// servedConn is a connection of a connServer. The goroutine of serve reads requests. Each request that may run beside
// others has a goroutine of its own, and whichever of them ends the request that is next in the order writes the
// responses that are due.
type servedConn struct {
	*trackedConn
	server *connServer
	// reader is nil while no bytes of a request are buffered. Only the goroutine of serve uses it.
	reader *bufio.Reader
	// left is true once the caller has closed the connection or it broke.
	left atomic.Bool

	mu        sync.Mutex
	turn      sync.Cond
	requests  *pipeline.Sequence
	exchanges map[uint64]*exchange
	// waitingForRequest is true while the reader waits for the first byte of a request, reading once it has bytes of one.
	waitingForRequest bool
	reading           bool
	writing           bool
}

// Connected reports whether the caller has not closed the connection. The reader notices that, unless it waits for its
// turn or has not run yet.
func (c *servedConn) Connected() bool {
	return !c.left.Load() && peer.NewCaller(c.trackedConn).Connected()
}

// serve reads requests until the connection ends.
func (c *servedConn) serve() {
	defer c.endReading()
	for c.awaitTurn() {
		if !c.awaitFirstByte() {
			return
		}
		x := c.server.acquire(c)
		switch c.readRequest(x) {
		case requestComplete:
			c.accept(x)
		case requestAbandoned:
			c.server.release(x)
			return
		case requestRefused:
		}
	}
	c.linger()
}

// readOutcome is how reading a request ended.
type readOutcome int

const (
	// requestComplete means that the request was read, or that its error response is ready.
	requestComplete readOutcome = iota
	// requestRefused means that the request was answered before its body was read.
	requestRefused
	// requestAbandoned means that the rest of the request will not come.
	requestAbandoned
)

// awaitTurn waits until another request may be read. It returns false if none will.
func (c *servedConn) awaitTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.requests.Closed() && !c.mayRead() {
		c.turn.Wait()
	}
	if c.requests.Closed() {
		return false
	}
	if c.reader == nil {
		c.waitingForRequest = true
		c.setIdleDeadline()
	}
	return true
}

func (c *servedConn) mayRead() bool {
	return c.requests.CanAccept() && (c.requests.Len() == 0 || c.server.pipelined.Load() < maxPipelinedOfNode)
}

// setIdleDeadline bounds the wait for the next request if no other one of the connection is in progress. c.mu is held.
func (c *servedConn) setIdleDeadline() {
	until := time.Time{}
	if c.requests.Len() == 0 {
		until = time.Now().Add(c.server.idleTimeout)
	}
	// An error means that the connection is closed, which the read notices.
	_ = c.SetReadDeadline(until)
}

// awaitFirstByte waits for the first byte of a request. It returns false if none will come. The buffer for the request is
// taken only then, because most connections are idle.
func (c *servedConn) awaitFirstByte() bool {
	if c.reader == nil {
		var first [1]byte
		if _, err := io.ReadFull(c.trackedConn, first[:]); err != nil {
			if !errors.Is(err, os.ErrDeadlineExceeded) {
				c.left.Store(true)
			}
			return false
		}
		c.reader, _ = c.server.readers.Get().(*bufio.Reader)
		if c.reader == nil {
			c.reader = bufio.NewReaderSize(nil, maxHeaderSize)
		}
		c.reader.Reset(&prefixedReader{prefix: first, left: 1, rest: c.trackedConn})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waitingForRequest, c.reading = false, true
	c.updatePhase()
	// An error means that the connection is closed, which the next read notices.
	_ = c.SetReadDeadline(time.Now().Add(readTimeout))
	return true
}

// readRequest reads the rest of a request, or as much of it as decides that it is refused.
func (c *servedConn) readRequest(x *exchange) readOutcome {
	err := x.ctx.Request.Header.Read(c.reader)
	if err == nil {
		err = c.readBody(x)
	}
	switch {
	case err == nil:
		return requestComplete
	case errors.Is(err, errBodyRefused):
		return requestRefused
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		c.left.Store(true)
		return requestAbandoned
	}
	x.answered = true
	c.server.handleReadError(&x.ctx, err)
	x.ctx.Response.SetConnectionClose()
	return requestComplete
}

// prefixedReader reads a byte that was read before, and then the rest.
type prefixedReader struct {
	prefix [1]byte
	left   int
	rest   io.Reader
}

func (r *prefixedReader) Read(b []byte) (int, error) {
	if r.left == 0 || len(b) == 0 {
		return r.rest.Read(b)
	}
	r.left = 0
	b[0] = r.prefix[0]
	return 1, nil
}

// readBody reads the body of a request whose header has been read.
func (c *servedConn) readBody(x *exchange) error {
	req := &x.ctx.Request
	length := req.Header.ContentLength()
	if req.MayContinue() && c.server.acceptBody != nil && !c.server.acceptBody(&x.ctx) {
		// The sender does not send the body, so the connection can be used again.
		x.answered = true
		return nil
	}
	if length == 0 || length == -2 {
		return req.ContinueReadBody(c.reader, maxBodySize, false)
	}
	if length > maxBodySize {
		return fasthttp.ErrBodyTooLarge
	}
	_ = c.SetReadDeadline(time.Now().Add(min(readTimeout, c.server.bodyTime(req))))
	if req.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return err
		}
	}
	var source io.Reader = c.reader
	if length < 0 {
		source = httputil.NewChunkedReader(c.reader)
	}
	body, counted, err := peer.ReadBody(source, length, maxBodySize, c.server.bodies)
	if err == nil && length < 0 {
		err = req.Header.ReadTrailer(c.reader)
	}
	if err != nil {
		c.server.bodies.Release(counted)
	}
	if errors.Is(err, peer.ErrBodyBudgetSpent) {
		return c.refuseBody(x, source, length-len(body))
	}
	if err != nil {
		return err
	}
	x.bodyBytes = counted
	req.SetBodyRaw(body)
	return nil
}

// sendContinue asks for the body of a request once the responses to all earlier requests have been written.
func (c *servedConn) sendContinue() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.requests.Len() > 0 {
		c.turn.Wait()
	}
	if c.requests.Closed() {
		return net.ErrClosed
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.Write(continueResponse)
	return err
}

// refuseBody answers a request whose body does not fit, and discards the rest of the body, which the caller goes on
// sending. Without that, closing the connection would make the system discard the answer.
func (c *servedConn) refuseBody(x *exchange, source io.Reader, left int) error {
	x.answered, x.discarding = true, true
	// Whatever was reserved for the request is released.
	x.ctx.ResetUserValues()
	c.server.refuseBody(&x.ctx)
	x.ctx.Response.SetConnectionClose()
	c.accept(x)
	if left >= 0 {
		source = io.LimitReader(source, int64(left))
	}
	if _, err := io.Copy(io.Discard, source); err != nil {
		c.left.Store(true)
	}
	return errBodyRefused
}

// accept adds a request that was read to the sequence, and starts it, or writes its answer. A request that was read
// behind one that closes the connection is not passed on.
func (c *servedConn) accept(x *exchange) {
	s := c.server
	if !x.discarding && c.reader != nil && c.reader.Buffered() == 0 {
		s.readers.Put(c.reader)
		c.reader = nil
	}
	req := &x.ctx.Request
	alone := !x.answered && s.mustRunAlone != nil && s.mustRunAlone(req)
	c.mu.Lock()
	c.reading = c.reader != nil
	if c.requests.Closed() {
		s.bodies.Release(x.bodyBytes)
		c.updatePhase()
		c.mu.Unlock()
		s.release(x)
		return
	}
	if c.requests.Len() > 0 {
		s.pipelined.Add(1)
	}
	var start bool
	x.id, start = c.requests.Accept(alone, req.Header.ConnectionClose())
	c.exchanges[x.id] = x
	c.updatePhase()
	c.mu.Unlock()
	switch {
	case x.answered:
		c.finish(x)
	case start && s.concurrency == 1:
		c.run(x)
	case start:
		go c.run(x)
	}
}

// run handles a request and then writes the responses that are due.
func (c *servedConn) run(x *exchange) {
	c.server.handler(&x.ctx)
	if x.ctx.IsHead() {
		x.ctx.Response.SkipBody = true
	}
	c.finish(x)
}

// finish records that the response to a request is ready, starts the request that waited for it, and writes the
// responses that are due, unless another goroutine does so.
func (c *servedConn) finish(x *exchange) {
	s := c.server
	c.mu.Lock()
	defer c.mu.Unlock()
	s.bodies.Release(x.bodyBytes)
	x.bodyBytes = 0
	c.requests.End(x.id)
	if x.ctx.Response.ConnectionClose() || c.left.Load() {
		c.closeSequence()
	}
	if id, ok := c.requests.StartWaiting(); ok {
		go c.run(c.exchanges[id])
	}
	for {
		id, last, ok := c.requests.NextToWrite()
		if !ok {
			break
		}
		x := c.exchanges[id]
		c.writing = true
		c.updatePhase()
		c.mu.Unlock()
		c.write(x, last)
		c.mu.Lock()
		c.writing = false
		c.requests.Written()
		if c.requests.Len() > 0 {
			s.pipelined.Add(-1)
		}
		delete(c.exchanges, id)
		s.release(x)
	}
	c.updatePhase()
	if c.requests.Len() == 0 {
		c.endWriting()
	}
	c.turn.Broadcast()
}

// endWriting adapts the connection after all responses were written. c.mu is held.
func (c *servedConn) endWriting() {
	switch {
	case c.requests.Closed():
		// An error of either call means that the connection is broken, which the reader notices.
		_ = c.CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	case c.waitingForRequest:
		c.setIdleDeadline()
	}
}

// closeSequence makes the connection accept no further request. c.mu is held.
func (c *servedConn) closeSequence() {
	if id, dropped := c.requests.Close(); dropped {
		c.server.pipelined.Add(-1)
		c.server.bodies.Release(c.exchanges[id].bodyBytes)
		delete(c.exchanges, id)
	}
	c.turn.Broadcast()
}

// write writes a response. last is true if it is the last one of the connection.
func (c *servedConn) write(x *exchange, last bool) {
	resp := &x.ctx.Response
	if c.left.Load() {
		closeBodyStream(resp, c.server.log)
		return
	}
	if last {
		resp.SetConnectionClose()
	} else {
		resp.Header.ResetConnectionClose()
		if !x.ctx.Request.Header.IsHTTP11() {
			resp.Header.Set(fasthttp.HeaderConnection, "keep-alive")
		}
	}
	w, _ := c.server.writers.Get().(*bufio.Writer)
	if w == nil {
		w = bufio.NewWriterSize(nil, responseBufferSize)
	}
	w.Reset(c.trackedConn)
	err := c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = resp.Write(w)
	}
	if err == nil {
		err = w.Flush()
	}
	w.Reset(nil)
	c.server.writers.Put(w)
	if err != nil {
		// The responses behind it cannot be written either. Closing the connection wakes up the reader.
		c.left.Store(true)
		_ = c.Close()
	}
}

// closeBodyStream ends the use of a body that is not written.
func closeBodyStream(resp *fasthttp.Response, log *logrus.Logger) {
	if err := resp.CloseBodyStream(); err != nil {
		log.WithError(err).Debug("closing the body of a response that is not written failed")
	}
}

// endReading ends the connection after its last request was read. The goroutines of requests in progress write their
// responses if the caller is still there.
func (c *servedConn) endReading() {
	if fault := recover(); fault != nil {
		c.server.log.WithField("fault", fault).WithField("stack", string(debug.Stack())).Error("reading a request failed inside the node")
		c.left.Store(true)
	}
	if c.reader != nil {
		c.server.readers.Put(c.reader)
		c.reader = nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.waitingForRequest = false, false
	c.closeSequence()
	c.updatePhase()
	for c.requests.Len() > 0 {
		c.turn.Wait()
	}
	// An error means that the connection is already closed.
	_ = c.Close()
}

// linger waits until all responses were written, and then until the caller has closed the connection.
func (c *servedConn) linger() {
	c.mu.Lock()
	for c.requests.Len() > 0 {
		c.turn.Wait()
	}
	c.changePhase(phaseWaiting)
	c.mu.Unlock()
	// It ends with the connection or with the read deadline that endWriting has set.
	_, _ = io.Copy(io.Discard, c.trackedConn)
}

// updatePhase makes the tracker know what the connection is used for. c.mu is held.
func (c *servedConn) updatePhase() {
	phase := phaseIdle
	switch {
	case c.writing:
		phase = phaseWriting
	case c.requests.Len() > 0:
		phase = phaseHandling
	case c.reading:
		phase = phaseReading
	}
	c.changePhase(phase)
}
