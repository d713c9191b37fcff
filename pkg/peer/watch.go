package peer

import (
	"net"
	"sync"
	"time"
)

// WaitingHeader is the header of an interim response with which a node says that it runs and that the request waits
// there for its turn.
const WaitingHeader = "Bamboodeal-Waiting"

// Watch observes a request while SendWatched waits for the first byte of its response, and can end that wait. The zero
// value and nil watch nothing. A Watch is for one request; only Cancel and Connected may be called from other
// goroutines during SendWatched.
type Watch struct {
	// Caller is the connection on which the request arrived. The wait ends when the caller disconnects. It may be nil.
	Caller Caller
	// OnSlow is called, from the goroutine of SendWatched, when the response is late. It returns the time after which
	// to call it again, or 0 for never. It may be nil.
	OnSlow func() time.Duration
	// SlowAt is when the response is late; the zero value means never.
	SlowAt time.Time
	// SlowOnInterim makes an interim (1xx) response mean that the final one is late. Nodes announce this to each other
	// because only the node beside an upstream knows when the upstream began to work. An interim response with
	// WaitingHeader clears SlowAt instead.
	SlowOnInterim bool

	mu        sync.Mutex
	conn      net.Conn
	cancelled bool
}

// Cancel makes the wait end with ErrCallerGone, at once if it is in progress.
func (w *Watch) Cancel() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelled = true
	if w.conn != nil {
		// A deadline in the past wakes the reader up. If that fails, the connection is closed and has woken it up.
		_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// Connected reports whether the response is still wanted: Cancel was not called and the caller is connected.
func (w *Watch) Connected() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	cancelled := w.cancelled
	w.mu.Unlock()
	return !cancelled && (w.Caller == nil || w.Caller.Connected())
}

// armRead sets the read deadline of a connection that Cancel is to wake up. After Cancel, the deadline is in the past.
func (w *Watch) armRead(conn net.Conn, deadline time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelled {
		deadline = time.Unix(1, 0)
	}
	w.conn = conn
	return conn.SetReadDeadline(deadline)
}

// disarmRead makes later calls of Cancel leave the connection alone.
func (w *Watch) disarmRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
}

// reportSlow calls OnSlow and sets when to call it again.
func (w *Watch) reportSlow() {
	w.SlowAt = time.Time{}
	if w.OnSlow == nil {
		return
	}
	if next := w.OnSlow(); next > 0 {
		w.SlowAt = time.Now().Add(next)
	}
}
