package sidecar

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// connPhase says what a connection that a server accepted is used for at the moment.
type connPhase int

const (
	// phaseIdle means that no byte of a request has been read since the last answer was written.
	phaseIdle connPhase = iota
	// phaseReading means that a part of a request has been read, but the request has not been passed to its handler.
	phaseReading
	// phaseHandling means that the handler of a request runs.
	phaseHandling
	// phaseWriting means that the handler has returned and the answer has not been written completely.
	phaseWriting
	// phaseWaiting means that the handler waits for changes of the store, which may take long. A stopping node does not
	// await it, because the other node asks elsewhere.
	phaseWaiting
	phaseCount
)

var phaseNames = [phaseCount]string{"idle", "reading", "handling", "writing", "waiting"}

// connCounts holds the number of connections in each phase.
type connCounts [phaseCount]int

// inUse returns the number of connections with a request that was read in part or completely and whose answer has not
// been written.
func (c *connCounts) inUse() int { return c[phaseReading] + c[phaseHandling] + c[phaseWriting] }

// connTracker knows the phase of each connection that one server accepted. A request counts from its first byte until
// its answer has been written. The server's own counters cover only the time in which a handler runs.
type connTracker struct {
	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	counts connCounts
	// bytesRead is the number of bytes that were read from all connections.
	bytesRead atomic.Int64
	// readUntil is the time until which requests that have begun are read. It is zero until stopReading is called.
	readUntil time.Time
}

func newConnTracker() *connTracker { return &connTracker{conns: map[*trackedConn]struct{}{}} }

// attach makes the tracker follow the connections of the server.
func (t *connTracker) attach(s *fasthttp.Server) {
	s.ConnState = t.recordState
	handler := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		setPhase(ctx.Conn(), phaseHandling)
		defer setPhase(ctx.Conn(), phaseWriting)
		handler(ctx)
	}
}

// setPhase sets the phase of a connection, if it is tracked.
func setPhase(conn net.Conn, phase connPhase) {
	if c, ok := conn.(interface{ changePhase(phase connPhase) }); ok {
		c.changePhase(phase)
	}
}

func (c *trackedConn) changePhase(phase connPhase) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	c.setPhaseLocked(phase)
}

// recordState receives the state changes of the server's connections. After an answer, a connection is idle. A request
// that arrived together with the one before it is already in the server's buffer, so no read shows its first byte.
func (t *connTracker) recordState(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateIdle:
		setPhase(conn, phaseIdle)
	case fasthttp.StateActive:
		setPhase(conn, phaseReading)
	}
}

// snapshot returns the number of connections in each phase.
func (t *connTracker) snapshot() connCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// stopReading makes the connections read no further requests. Idle connections are closed by the goroutines that serve
// them. A request of which a part has been read is read until the given time and answered.
//
// A deadline that has passed wakes up a blocked read, which then returns either bytes or an error. So no bytes are lost
// that the connection has already handed over, as they would be if it were closed.
func (t *connTracker) stopReading(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readUntil = until
	for c := range t.conns {
		// An error means that the connection is closed, so nothing is read from it.
		_ = c.setReadDeadlineLocked(until)
	}
}

// closeAll closes the remaining connections and returns how many of them were in use.
func (t *connTracker) closeAll() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	cut := t.counts.inUse()
	for c := range t.conns {
		// An error means that the connection is already closed.
		_ = c.TCPConn.Close()
		c.removeLocked()
	}
	return cut
}

// trackedListener makes a tracker follow the connections that a listener accepts.
type trackedListener struct {
	*net.TCPListener
	tracker *connTracker
}

// Accept waits for the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	t := l.tracker
	c := &trackedConn{TCPConn: conn, tracker: t}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[c] = struct{}{}
	t.counts[phaseIdle]++
	return c, nil
}

// trackedConn is a connection that a trackedListener accepted.
type trackedConn struct {
	*net.TCPConn
	tracker *connTracker
	// phase and closed are guarded by the tracker's lock.
	phase  connPhase
	closed bool
}

func (c *trackedConn) setPhaseLocked(phase connPhase) {
	if !c.closed {
		c.tracker.counts[c.phase]--
		c.tracker.counts[phase]++
	}
	c.phase = phase
}

// Read reads from the connection. The first byte of a request starts the phase in which it is read.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.tracker.bytesRead.Add(int64(n))
		c.tracker.mu.Lock()
		defer c.tracker.mu.Unlock()
		if c.phase == phaseIdle {
			c.setPhaseLocked(phaseReading)
		}
	}
	return n, err
}

// SetReadDeadline sets the time until which a read may block. After stopReading, the time is bounded.
func (c *trackedConn) SetReadDeadline(until time.Time) error {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	return c.setReadDeadlineLocked(until)
}

func (c *trackedConn) setReadDeadlineLocked(until time.Time) error {
	if limit := c.tracker.readUntil; !limit.IsZero() {
		if until.IsZero() || until.After(limit) {
			until = limit
		}
		if c.phase == phaseIdle {
			until = time.Unix(1, 0)
		}
	}
	return c.TCPConn.SetReadDeadline(until)
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.tracker.mu.Lock()
	c.removeLocked()
	c.tracker.mu.Unlock()
	return c.TCPConn.Close()
}

func (c *trackedConn) removeLocked() {
	if !c.closed {
		c.closed = true
		c.tracker.counts[c.phase]--
		delete(c.tracker.conns, c)
	}
}
