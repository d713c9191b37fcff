package peer

import (
	"errors"
	"os"
	"time"
)

// callerWatch is the state of the checks that a caller is still connected while its response is being read.
type callerWatch struct {
	// caller is nil if the caller is not checked.
	caller   Caller
	deadline time.Time
	// nextCheck is when the caller is checked next; the read deadline of the connection is never later. It is zero
	// until the first read.
	nextCheck time.Time
	// err is the last error of the connection. The parsers of fasthttp replace some errors by others, which hides that
	// the deadline passed or the caller disconnected.
	err error
}

// responseReader reads from the connection of a Conn. While a response is being read for a caller, it checks every
// CallerCheckInterval that the caller is still connected, whether bytes arrive or not.
type responseReader struct{ conn *Conn }

func (r responseReader) Read(b []byte) (int, error) {
	n, err := r.conn.readWatched(b)
	if err != nil {
		r.conn.watch.err = err
	}
	return n, err
}

// readWatched reads once from the connection. It returns ErrCallerGone if the watched caller has disconnected.
func (c *Conn) readWatched(b []byte) (int, error) {
	w := &c.watch
	if w.caller == nil {
		return c.netConn.Read(b)
	}
	for {
		if now := time.Now(); !now.Before(w.nextCheck) {
			if !w.nextCheck.IsZero() && !w.caller.Connected() {
				return 0, ErrCallerGone
			}
			if err := c.scheduleCallerCheck(now); err != nil {
				return 0, err
			}
		}
		n, err := c.netConn.Read(b)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(w.deadline) {
			return n, err
		}
		w.nextCheck = time.Now()
	}
}

// scheduleCallerCheck makes the next read end when the caller is to be checked, or at the deadline.
func (c *Conn) scheduleCallerCheck(now time.Time) error {
	c.watch.nextCheck = now.Add(c.pool.options.CallerCheckInterval)
	readDeadline := c.watch.nextCheck
	if c.watch.deadline.Before(readDeadline) {
		readDeadline = c.watch.deadline
	}
	return c.netConn.SetReadDeadline(readDeadline)
}

// watchReads makes reads check until unwatchReads that the caller of the watch is connected. The watch may be nil.
func (c *Conn) watchReads(watch *Watch, deadline time.Time) {
	c.watch = callerWatch{deadline: deadline}
	if watch != nil {
		c.watch.caller = watch
	}
}

func (c *Conn) unwatchReads() { c.watch = callerWatch{} }

// responseError returns why the response could not be read: the error of the connection if the deadline passed or the
// caller disconnected, or else the error of the parser.
func (c *Conn) responseError(err error) error {
	if err != nil && (errors.Is(c.watch.err, ErrCallerGone) || IsTimeout(c.watch.err)) {
		return c.watch.err
	}
	return err
}
