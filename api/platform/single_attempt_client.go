package platform

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// maxIdleAge is below the 60 s after which our servers close an idle connection, so that a request is
	// rarely sent on a connection that the server is closing.
	maxIdleAge = 10 * time.Second
	// maxIdlePerAddress bounds the idle connections to one address.
	maxIdlePerAddress = 4
	// maxResponseBytes bounds a response: a whole configuration of a few values of at most 1 MiB.
	maxResponseBytes = 64 << 20
)

// SingleAttemptClient sends HTTP requests with fasthttp's codec over its own connections. The fasthttp clients repeat
// idempotent requests and requests on closed connections by themselves, and their timeouts may leave a request
// running; an SingleAttemptClient sends each request once and closes the connection after any failure. It is safe for
// concurrent use.
type SingleAttemptClient struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*idleConn
	now    func() time.Time
}

type idleConn struct {
	net.Conn
	reader *bufio.Reader
	since  time.Time
}

// NewSingleAttemptClient returns an Exchanger whose connections start from the IP address dialAddress; the system chooses
// one when it is empty.
func NewSingleAttemptClient(dialAddress string) (*SingleAttemptClient, error) {
	e := &SingleAttemptClient{idle: map[string][]*idleConn{}, now: time.Now}
	if dialAddress == "" {
		return e, nil
	}
	ip := net.ParseIP(dialAddress)
	if ip == nil {
		return nil, fmt.Errorf("dial address %q is not an IP address; set dial_address to one of this VM's", dialAddress)
	}
	e.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	return e, nil
}

// Do sends req to the host and port addr and reads resp. It fails after timeout, or when ctx ends, and closes
// the connection on any failure; the request is never sent twice.
func (e *SingleAttemptClient) Do(
	ctx context.Context, addr string, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := e.acquire(ctx, addr)
	if err != nil {
		return err
	}
	// A deadline in the past ends a blocked read or write at once, when ctx ends.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err = exchange(conn, req, resp)
	if !stop() || err != nil {
		_ = conn.Close()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	if resp.ConnectionClose() || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return nil
	}
	e.release(addr, conn)
	return nil
}

func exchange(conn *idleConn, req *fasthttp.Request, resp *fasthttp.Response) error {
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return resp.ReadLimitBody(conn.reader, maxResponseBytes)
}

func (e *SingleAttemptClient) acquire(ctx context.Context, addr string) (*idleConn, error) {
	for {
		conn := e.takeIdle(addr)
		if conn == nil {
			break
		}
		if e.now().Sub(conn.since) < maxIdleAge {
			return conn, nil
		}
		_ = conn.Close()
	}
	conn, err := e.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &idleConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (e *SingleAttemptClient) takeIdle(addr string) *idleConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	conns := e.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	conn := conns[last]
	if last == 0 {
		delete(e.idle, addr)
	} else {
		e.idle[addr] = conns[:last]
	}
	return conn
}

func (e *SingleAttemptClient) release(addr string, conn *idleConn) {
	conn.since = e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle[addr]) >= maxIdlePerAddress {
		_ = conn.Close()
		return
	}
	e.idle[addr] = append(e.idle[addr], conn)
}

// CloseExpiredConnections closes the connections that have been idle for too long to be used again. Callers that talk to many
// addresses call it from time to time, since a connection is otherwise looked at only when its address is used.
func (e *SingleAttemptClient) CloseExpiredConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr, conns := range e.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if e.now().Sub(conn.since) < maxIdleAge {
				kept = append(kept, conn)
			} else {
				_ = conn.Close()
			}
		}
		if e.idle[addr] = kept; len(kept) == 0 {
			delete(e.idle, addr)
		}
	}
}

// CloseIdleConnections closes all idle connections; a node calls it after a pause, and at its stop.
func (e *SingleAttemptClient) CloseIdleConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for addr, conns := range e.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(e.idle, addr)
	}
}

// CloseIdleConnectionsTo closes the idle connections to one address; a failed request makes them suspect as well.
func (e *SingleAttemptClient) CloseIdleConnectionsTo(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.idle[addr] {
		_ = conn.Close()
	}
	delete(e.idle, addr)
}
