// Package httpclient sends HTTP requests once and reads the responses by the rules of package response.
package httpclient

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
)

const (
	// maxIdleAge is below the 60 s after which this system's servers close an idle connection, so that a request is
	// rarely sent on a connection that the server is closing.
	maxIdleAge = 10 * time.Second
	// maxIdleConnsPerAddress bounds the idle connections to one address.
	maxIdleConnsPerAddress = 4
	// defaultMaxHeadBytes bounds the head of a response. Each idle connection has a buffer of this size.
	defaultMaxHeadBytes = 4 << 10
)

// Options configure a SingleAttemptClient.
type Options struct {
	// Dialer opens the connections; nil means one without options.
	Dialer *net.Dialer
	// MaxHeadBytes is the size in bytes of the largest head of a response; 0 means 4 KiB.
	MaxHeadBytes int
	// MaxBodyBytes is the size in bytes of the largest body of a response.
	MaxBodyBytes int
}

// SingleAttemptClient sends HTTP requests with fasthttp's codec over its own connections. The fasthttp clients repeat
// idempotent requests and requests on closed connections by themselves, may leave a request running after its timeout,
// and accept bytes that are no response. A SingleAttemptClient sends each request once and closes the connection after
// any failure. It is safe for concurrent use.
type SingleAttemptClient struct {
	dialer net.Dialer
	// headBytes is the largest size of a head.
	headBytes int
	limits    response.Limits
	mu        sync.Mutex
	idle      map[string][]*pooledConn
	// expiring is true while a timer is set that closes the expired connections.
	expiring bool
	now      func() time.Time
}

// pooledConn is a connection that is kept for reuse between requests.
type pooledConn struct {
	net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

// New returns a client.
func New(o Options) *SingleAttemptClient {
	c := &SingleAttemptClient{
		idle: map[string][]*pooledConn{}, now: time.Now, headBytes: cmp.Or(o.MaxHeadBytes, defaultMaxHeadBytes),
		// A body that was cut short is noticed when it is decoded, because it is JSON or has a digest.
		limits: response.Limits{MaxBodyBytes: o.MaxBodyBytes, Budget: response.Unlimited{}, AllowCloseDelimited: true},
	}
	if o.Dialer != nil {
		c.dialer = *o.Dialer
	}
	return c
}

// DialerFrom returns a dialer from a local IP address, or from any address if it is empty. It fails if the text is not an IP address.
func DialerFrom(dialAddress string) (*net.Dialer, error) {
	if dialAddress == "" {
		return &net.Dialer{}, nil
	}
	ip := net.ParseIP(dialAddress)
	if ip == nil {
		return nil, fmt.Errorf("dial address %q is not an IP address; set dial_address to one of this VM's", dialAddress)
	}
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: ip}}, nil
}

// Do sends req to addr, a host and port, and reads resp. It fails after timeout, or when ctx ends, and closes the
// connection on any failure. The request is never sent twice.
func (c *SingleAttemptClient) Do(
	ctx context.Context, addr string, req *fasthttp.Request, resp *fasthttp.Response, timeout time.Duration,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.acquireConn(ctx, addr)
	if err != nil {
		return err
	}
	// When ctx ends, a deadline in the past makes a blocked read or write return at once.
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err = c.sendAndReceive(conn, req, resp)
	if !stop() || err != nil {
		_ = conn.Close()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	}
	if req.ConnectionClose() || resp.ConnectionClose() || conn.reader.Buffered() > 0 {
		_ = conn.Close()
		return nil
	}
	c.releaseConn(addr, conn)
	return nil
}

// sendAndReceive writes the request and reads the response on an open connection.
func (c *SingleAttemptClient) sendAndReceive(conn *pooledConn, req *fasthttp.Request, resp *fasthttp.Response) error {
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return response.Read(conn.reader, resp, req.Header.IsHead(), &c.limits)
}

// acquireConn returns an idle connection to addr that is young enough for reuse and on which nothing has arrived, or opens a new one.
func (c *SingleAttemptClient) acquireConn(ctx context.Context, addr string) (*pooledConn, error) {
	for {
		conn := c.takeIdleConn(addr)
		if conn == nil {
			break
		}
		if c.now().Sub(conn.idleSince) < maxIdleAge && conn.isIdle() {
			return conn, nil
		}
		_ = conn.Close()
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &pooledConn{Conn: conn, reader: bufio.NewReaderSize(conn, c.headBytes)}, nil
}

// isIdle reports whether the other side has neither closed the connection nor sent anything on it. Such bytes, like a second copy of the
// last response, would be taken for the response to the next request. It never blocks.
func (c *pooledConn) isIdle() bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
	})
	return err == nil && idle
}

// takeIdleConn removes the connection to addr that was used last from the pool; it returns nil when there is none.
func (c *SingleAttemptClient) takeIdleConn(addr string) *pooledConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	conn := conns[last]
	if last == 0 {
		delete(c.idle, addr)
	} else {
		c.idle[addr] = conns[:last]
	}
	return conn
}

// releaseConn keeps a connection for reuse, or closes it when there are enough idle ones to the address.
func (c *SingleAttemptClient) releaseConn(addr string, conn *pooledConn) {
	conn.idleSince = c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[addr]) >= maxIdleConnsPerAddress {
		_ = conn.Close()
		return
	}
	c.idle[addr] = append(c.idle[addr], conn)
	c.scheduleExpiry()
}

// scheduleExpiry makes the idle connections be closed once they are too old. c.mu is held.
func (c *SingleAttemptClient) scheduleExpiry() {
	if c.expiring {
		return
	}
	c.expiring = true
	time.AfterFunc(maxIdleAge, func() {
		c.CloseExpiredConnections()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.expiring = false; len(c.idle) > 0 {
			c.scheduleExpiry()
		}
	})
}

// CloseExpiredConnections closes the connections that have been idle for too long to be reused. That also happens by
// itself, up to maxIdleAge later.
func (c *SingleAttemptClient) CloseExpiredConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if c.now().Sub(conn.idleSince) < maxIdleAge {
				kept = append(kept, conn)
			} else {
				_ = conn.Close()
			}
		}
		if c.idle[addr] = kept; len(kept) == 0 {
			delete(c.idle, addr)
		}
	}
}

// CloseIdleConnections closes all idle connections. A node calls it after its process was paused, and when it stops.
func (c *SingleAttemptClient) CloseIdleConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		for _, conn := range conns {
			_ = conn.Close()
		}
		delete(c.idle, addr)
	}
}

// CloseIdleConnectionsTo closes the idle connections to one address. After a failed request to the address, these
// connections may be broken too.
func (c *SingleAttemptClient) CloseIdleConnectionsTo(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle[addr] {
		_ = conn.Close()
	}
	delete(c.idle, addr)
}
