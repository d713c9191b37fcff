package peer

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// Bounds of a Pool.
const (
	// connectTimeout bounds a connection attempt or a hello. No byte of the call has been sent by then, so another
	// node can still be tried. The networks have a latency of 1 to 3 ms one way. An attempt takes at most
	// 1/connectTimeDivisor of the call's remaining time, but is always allowed minConnectTimeout.
	connectTimeout     = 250 * time.Millisecond
	connectTimeDivisor = 4
	minConnectTimeout  = 20 * time.Millisecond
	// unresponsiveRetryDelay is how long an address is not tried again after it did not answer a connection attempt or
	// a hello in time, so that not every call waits for it.
	unresponsiveRetryDelay = 200 * time.Millisecond
	// peerIdleTimeout is shorter than serverIdleTimeout, so that the server does not close a connection that a client
	// is about to use.
	peerIdleTimeout = 10 * time.Second
	// UpstreamIdleTimeout is below 5 s, the shortest common keep-alive time of HTTP servers.
	UpstreamIdleTimeout = 4 * time.Second
	// maxResponseAge bounds the age of the last response on a connection on which a call that may run only once is
	// sent; on an older connection the hello is repeated first. It is a quarter of the time for which a stopping node
	// announces its stop before it closes its connections.
	maxResponseAge = 500 * time.Millisecond
	// A connection is broken when keepAliveProbes TCP keep-alive probes, sent every keepAliveInterval, are not
	// answered. The operating system accepts only whole seconds.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// maxPeerConnections bounds the connections to one node.
	maxPeerConnections = 128
	// MaxResponseBytes is the size of the largest response body that is accepted.
	MaxResponseBytes = 32 << 20
)

// keepAliveConfig makes the system find out within seconds that the other side of an idle connection is gone.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes}

// SendResult says how far the exchange of a call on a connection went.
type SendResult int

// Results of Conn.Send.
const (
	// NotSent means that no byte of the call left this node, so the call did not run.
	NotSent SendResult = iota
	// NoResponse means that bytes of the call left this node but no complete response came, so the call may have run.
	NoResponse
	// ResponseReceived means that a complete response came.
	ResponseReceived
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	// DialAddress is the source IP address of connections; the zero value lets the system choose.
	DialAddress netip.Addr
	Clock       clock.Clock
	// SendHello makes each new connection start with a hello, which checks that the expected upstream answers.
	SendHello bool
	// IdleTimeout is how long an unused connection is kept; 0 means 10 s.
	IdleTimeout time.Duration
	// MaxConnections returns the highest number of connections to one address; nil means 128.
	MaxConnections func() int
	// OnHello is called with each answer to a hello; it may be nil.
	OnHello func(address string, hello *wire.NodeDescription)
	// MatchResponse reports whether a response belongs to the request. Other responses are skipped, because the late
	// response to an earlier request may arrive on a connection that is already used for the next one. Bytes that
	// follow the matching response only cause the connection to be closed. If MatchResponse is nil, every response
	// matches, and bytes that follow it make the exchange fail.
	MatchResponse func(req *fasthttp.Request, resp *fasthttp.Response) bool
	// AllowCloseDelimited accepts a response body whose end is marked only by an orderly close of the connection.
	AllowCloseDelimited bool
	// CallerCheckInterval is how often a waiting call checks that its caller is still connected; 0 means 50 ms.
	CallerCheckInterval time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the system closes the connection. Setting it
	// also enables TCP keep-alive probes every second; 0 leaves both to the system.
	TCPUserTimeout time.Duration
	// BodyBudget bounds the bytes of responses that are read at once. Several pools may share it; nil means no bound
	// besides MaxResponseBytes for each response.
	BodyBudget *BodyBudget
}

// Pool holds connections to nodes or to the own upstream. Each connection carries at most one request at a time. A Pool
// never sends a request twice.
type Pool struct {
	options PoolOptions
	dialer  net.Dialer
	mu      sync.Mutex
	hosts   map[string]*host
	// spareBuffers are not in use by a connection.
	spareBuffers []*connBuffers
}

// host holds the state of the connections to one address.
type host struct {
	idle []*Conn
	// open counts all connections: idle ones, those in use and those that are being opened.
	open int
	// lastResponse is when the last complete response came from the address.
	lastResponse time.Duration
	// lastTimeout is when the address last did not answer in time; it is zero when it has answered since.
	lastTimeout time.Duration
}

// NewPool returns an empty pool.
func NewPool(options PoolOptions) *Pool {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = peerIdleTimeout
	}
	if options.MaxConnections == nil {
		options.MaxConnections = func() int { return maxPeerConnections }
	}
	p := &Pool{options: options, hosts: map[string]*host{}}
	if options.CallerCheckInterval == 0 {
		options.CallerCheckInterval = callerCheckInterval
	}
	p.options = options
	if options.TCPUserTimeout > 0 {
		p.dialer.Control = setTCPUserTimeout(options.TCPUserTimeout)
		p.dialer.KeepAliveConfig = keepAliveConfig
	}
	if options.DialAddress.IsValid() {
		p.dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(options.DialAddress, 0))
	}
	return p
}

// Target identifies a node or the own upstream.
type Target struct {
	// Address is the "IP:port" to connect to.
	Address string
	// Upstream is the name that the node must give in its answer to the hello. It is not used by a Pool without hellos.
	Upstream string
}

// Acquire returns an idle connection, after checking it, or a new connection; the deadline bounds the wait. The caller
// must end its use with Send or Release. With needEpoch, the hello is repeated on a connection that had no response
// recently or was opened before the node issued an epoch, because a call that may be sent only once must not be sent to
// a frozen or stopping node.
func (p *Pool) Acquire(t Target, deadline time.Time, needEpoch bool) (*Conn, error) {
	if !time.Now().Before(deadline) {
		return nil, ErrDeadlinePassed
	}
	for {
		c, err := p.takeIdle(t.Address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.openConn(t, deadline)
		}
		if p.isUsable(c, t, deadline, needEpoch) {
			return c, nil
		}
		p.closeConn(c)
	}
}

// isUsable reports whether an idle connection can carry a call. It repeats the hello if needEpoch requires it.
func (p *Pool) isUsable(c *Conn, t Target, deadline time.Time, needEpoch bool) bool {
	now := p.options.Clock.Now()
	if !c.canStayIdle(now) {
		return false
	}
	if !needEpoch || (c.hello.Epoch != "" && now-c.lastResponse <= maxResponseAge) {
		return true
	}
	err := p.sendHello(c, t, connectDeadline(deadline))
	if IsTimeout(err) {
		// The other idle connections are no newer; a new connection will show whether the node still runs.
		p.closeIdleBefore(t.Address, now)
	}
	return err == nil
}

// Hello returns the node's answer to the last hello on the connection.
func (c *Conn) Hello() *wire.NodeDescription { return &c.hello }

// Release returns the connection to the pool. Nothing may have been sent on it since Acquire.
func (c *Conn) Release() { c.pool.putIdle(c) }

// Send sends req once and ends the use of the connection. Unless the result is ResponseReceived, resp must not be used
// and the error says what happened. If the exchange failed, the connection is closed. If caller is not nil, the call is
// cancelled when the caller disconnects.
func (c *Conn) Send(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, caller Caller) (SendResult, error) {
	if caller == nil {
		return c.SendWatched(req, resp, deadline, nil)
	}
	return c.SendWatched(req, resp, deadline, &Watch{Caller: caller})
}

// SendWatched does what Send does, with a Watch in place of the caller; it may be nil.
func (c *Conn) SendWatched(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, watch *Watch) (SendResult, error) {
	p := c.pool
	start := p.options.Clock.Now()
	if !time.Now().Before(deadline) {
		p.putIdle(c)
		return NotSent, ErrDeadlinePassed
	}
	err := c.exchange(req, resp, deadline, watch, MaxResponseBytes)
	if err == nil {
		if resp.ConnectionClose() || c.unusable {
			p.closeConn(c)
		} else {
			p.putIdle(c)
		}
		return ResponseReceived, nil
	}
	result := NoResponse
	if c.written == 0 {
		result = NotSent
	}
	p.closeConn(c)
	if IsTimeout(err) || errors.Is(err, ErrNodeUnresponsive) {
		// A node that is frozen or cut off answers on none of its connections. Connections that were used after this
		// call began are kept, because the node answered on them.
		p.closeIdleBefore(c.address, start)
	}
	return result, err
}

// takeIdle returns the idle connection to the address that was used last. If there is none, it counts a new connection
// as open and returns nil; the caller must then open one.
func (p *Pool) takeIdle(address string) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{}
		p.hosts[address] = h
	}
	if n := len(h.idle); n > 0 {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		return c, nil
	}
	if h.lastTimeout > 0 && p.options.Clock.Now()-h.lastTimeout < unresponsiveRetryDelay {
		return nil, ErrNodeUnresponsive
	}
	if h.open >= p.options.MaxConnections() {
		return nil, ErrTooManyConnections
	}
	h.open++
	return nil, nil
}

// connectDeadline returns the deadline of a connection attempt or a hello for a call with the given deadline.
func connectDeadline(deadline time.Time) time.Time {
	remaining := time.Until(deadline)
	return time.Now().Add(min(remaining, connectTimeout, max(remaining/connectTimeDivisor, minConnectTimeout)))
}

// recordTimeout records that an address did not answer a connection attempt or a hello that began at the time since. It
// closes the idle connections to the address, because they probably do not work either.
func (p *Pool) recordTimeout(address string, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.lastTimeout = p.options.Clock.Now()
		h.closeIdleBefore(since)
	}
}

// openConn opens a connection that takeIdle or isResponding has counted as open.
func (p *Pool) openConn(t Target, deadline time.Time) (*Conn, error) {
	// If the call has hardly any time left, a time-out says nothing about the address.
	enoughTime := time.Until(deadline) >= minConnectTimeout
	deadline = connectDeadline(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	start := p.options.Clock.Now()
	netConn, err := p.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		if enoughTime && IsTimeout(err) {
			p.recordTimeout(t.Address, start)
		}
		p.decrementOpen(t.Address)
		return nil, eris.Wrap(err, "the connection was not opened; check that the process at the address runs")
	}
	c := newConn(p, t.Address, netConn)
	if p.options.SendHello {
		if err := p.sendHello(c, t, deadline); err != nil {
			if enoughTime && IsTimeout(err) {
				p.recordTimeout(t.Address, start)
			}
			p.closeConn(c)
			return nil, err
		}
	}
	return c, nil
}

// sendHello asks the node for its description and fails if the node belongs to another upstream than the target.
func (p *Pool) sendHello(c *Conn, t Target, deadline time.Time) error {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetHost(t.Address)
	req.Header.SetRequestURI(wire.PathHello)
	if err := c.exchange(req, resp, deadline, nil, readBufferSize); err != nil {
		return eris.Wrap(err, "the node did not answer the hello; check that it runs")
	}
	if resp.ConnectionClose() {
		return ErrNodeClosing
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return eris.Errorf("the node answered the hello with status %d; check the address", resp.StatusCode())
	}
	hello := wire.NodeDescription{}
	if err := json.Unmarshal(resp.Body(), &hello); err != nil {
		return eris.Wrap(err, "the answer to the hello is not JSON; check the address")
	}
	c.hello = hello
	if p.options.OnHello != nil {
		p.options.OnHello(t.Address, &c.hello)
	}
	if c.hello.Upstream != t.Upstream {
		return ErrWrongUpstream
	}
	return nil
}

// putIdle adds a connection to the idle connections of its address.
func (p *Pool) putIdle(c *Conn) {
	if !c.hasBufferedBytes() {
		c.returnBuffers()
	}
	c.lastUsed = p.options.Clock.Now()
	c.maxBodyBytes, c.bodyWhenAsked = 0, false
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
	h.lastResponse = max(h.lastResponse, c.lastResponse)
	if h.lastResponse >= h.lastTimeout {
		h.lastTimeout = 0
	}
}

// isResponding reports whether the node at the other end of a connection still runs: it answered another call within
// the given time, or it answers a hello on a new connection now. A node that cannot be checked, because the pool sends
// no hellos or all connections are in use, is assumed to run. So is one whose VM refuses the new connection: it may
// have closed its listener to stop and still be at work on the call. If the VM has restarted instead, it resets the
// connection of the call when it gets a keep-alive probe.
func (p *Pool) isResponding(c *Conn, within time.Duration, deadline time.Time) bool {
	if !p.options.SendHello {
		return true
	}
	p.mu.Lock()
	h := p.hosts[c.address]
	recent := h.lastResponse > 0 && p.options.Clock.Now()-h.lastResponse < within
	full := h.open >= p.options.MaxConnections()
	if !recent && !full {
		h.open++
	}
	p.mu.Unlock()
	if recent || full {
		return true
	}
	other, err := p.openConn(Target{Address: c.address, Upstream: c.hello.Upstream}, deadline)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return c.enableKeepAlive() == nil
	}
	if err != nil {
		return false
	}
	p.putIdle(other)
	return true
}

// closeConn closes a connection that is not idle.
func (p *Pool) closeConn(c *Conn) {
	_ = c.netConn.Close()
	c.returnBuffers()
	p.decrementOpen(c.address)
}

// decrementOpen counts a connection to the address as closed.
func (p *Pool) decrementOpen(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address].open--
}

// closeIdleBefore closes the idle connections to an address that were last used at or before the given time.
func (p *Pool) closeIdleBefore(address string, before time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.closeIdleBefore(before)
	}
}

// closeIdleBefore closes the idle connections that were last used at or before the given time.
func (h *host) closeIdleBefore(before time.Duration) {
	h.closeIdle(func(c *Conn) bool { return c.lastUsed <= before })
}

// closeIdle closes the idle connections that the function selects.
func (h *host) closeIdle(selected func(*Conn) bool) {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if !selected(c) {
			kept = append(kept, c)
			continue
		}
		_ = c.netConn.Close()
		h.open--
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

// setTCPUserTimeout returns a net.Dialer.Control function that sets TCP_USER_TIMEOUT, the time for which sent bytes may
// stay unacknowledged before the system closes the connection.
func setTCPUserTimeout(timeout time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, netConn syscall.RawConn) error {
		var optionErr error
		err := netConn.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// CloseIdleConnectionsTo closes all idle connections to an address, so that the next call starts with a new hello.
func (p *Pool) CloseIdleConnectionsTo(address string) {
	p.closeIdleBefore(address, p.options.Clock.Now())
}

// CloseIdleConnections closes all idle connections. A node calls it after it was paused and when it stops.
func (p *Pool) CloseIdleConnections() {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.closeIdleBefore(now)
	}
}

// CloseExpiredConnections closes the connections that were idle for IdleTimeout or longer. The node calls it about once
// a second.
func (p *Pool) CloseExpiredConnections() {
	before := p.options.Clock.Now() - p.options.IdleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		h.closeIdleBefore(before)
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// OpenConnections returns the number of open connections to all addresses.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.hosts {
		n += h.open
	}
	return n
}

// IsTimeout reports whether a connection failed because its deadline passed.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
