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
	// connectTimeout bounds a connection attempt and the hello: nothing of the call is sent yet, so another
	// node can be tried. The figures of the networks are 1 to 3 ms one way. A call spends at most a quarter of
	// its time on it, but at least minConnectTimeout.
	connectTimeout    = 250 * time.Millisecond
	connectShare      = 4
	minConnectTimeout = 20 * time.Millisecond
	// silentTime is how long an address that did not answer a connection attempt or a hello is not asked again,
	// so that each call does not wait for it anew.
	silentTime = 200 * time.Millisecond
	// peerIdleTimeout is shorter than the server's, so that the server never closes a connection in use.
	peerIdleTimeout = 10 * time.Second
	// UpstreamIdleTimeout is below 5 s, the shortest common keep-alive time of HTTP servers.
	UpstreamIdleTimeout = 4 * time.Second
	// helloAge is how old the last answer on a connection may be when a call is sent that may run only once. It is
	// a quarter of the time for which a stopping node says so before it closes its connections.
	helloAge = 500 * time.Millisecond
	// keepAliveTime and keepAliveProbes bound how long a connection that went silent is taken for usable. Whole
	// seconds are the finest that the system takes.
	keepAliveTime   = time.Second
	keepAliveProbes = 2
	// maxPeerConnections bounds the connections to one node.
	maxPeerConnections = 128
	// MaxResponseBytes is the largest response body that is carried.
	MaxResponseBytes = 32 << 20
)

// SendResult says how far a call went on a connection.
type SendResult int

// Progress of a call.
const (
	// NotSent means that no byte of the call left this node, so it did not run.
	NotSent SendResult = iota
	// NoResponse means that bytes left and no whole answer came, so it may have run.
	NoResponse
	// ResponseReceived means that a whole answer came.
	ResponseReceived
)

// PoolOptions configure a Pool.
type PoolOptions struct {
	// DialAddress is the source IP of connections; the zero value lets the system choose.
	DialAddress netip.Addr
	Clock       clock.Clock
	// SendHello makes each new connection start with a hello.
	SendHello bool
	// IdleTimeout is how long an unused connection is kept; 0 means 10 s.
	IdleTimeout time.Duration
	// MaxConnections returns the most connections to one address; nil means 128.
	MaxConnections func() int
	// OnHello is told of each hello; it may be nil.
	OnHello func(address string, hello *wire.NodeDescription)
	// MatchResponse reports whether a response belongs to the request. Others are skipped, because a response may arrive
	// late on a connection that another request uses now, and bytes after a response that belongs only cost the
	// connection. When it is nil, every response belongs and such bytes spoil the exchange.
	MatchResponse func(req *fasthttp.Request, resp *fasthttp.Response) bool
	// AllowCloseDelimited accepts a body that ends with an orderly close of the connection.
	AllowCloseDelimited bool
	// CallerCheckInterval is how often a waiting call checks that its caller is still connected; 0 means 50 ms.
	CallerCheckInterval time.Duration
	// TCPUserTimeout closes a connection whose bytes the other side does not acknowledge; 0 leaves it to the system.
	TCPUserTimeout time.Duration
}

// Pool holds connections, each with at most one request at a time. It never repeats a request.
type Pool struct {
	o     PoolOptions
	dial  net.Dialer
	mu    sync.Mutex
	hosts map[string]*host
}

type host struct {
	idle []*Conn
	open int
	// answered is when the last whole answer came from the address.
	answered time.Duration
	// silent is when the address last did not answer in time; zero when it has answered since.
	silent time.Duration
}

// NewPool returns an empty pool.
func NewPool(o PoolOptions) *Pool {
	if o.IdleTimeout == 0 {
		o.IdleTimeout = peerIdleTimeout
	}
	if o.MaxConnections == nil {
		o.MaxConnections = func() int { return maxPeerConnections }
	}
	p := &Pool{o: o, hosts: map[string]*host{}}
	if o.CallerCheckInterval == 0 {
		o.CallerCheckInterval = watchInterval
	}
	p.o = o
	if o.TCPUserTimeout > 0 {
		p.dial.Control = unackedTimeout(o.TCPUserTimeout)
		p.dial.KeepAliveConfig = net.KeepAliveConfig{
			Enable: true, Idle: keepAliveTime, Interval: keepAliveTime, Count: keepAliveProbes,
		}
	}
	if o.DialAddress.IsValid() {
		p.dial.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(o.DialAddress, 0))
	}
	return p
}

// Target is the address of a node or of the own upstream.
type Target struct {
	Address string
	// Upstream is the name that the hello must give; it is not checked without hello.
	Upstream string
}

// Acquire returns a checked idle connection or a new one; the deadline bounds the wait. The caller must end with
// Send or Release. With needEpoch, a connection without a recent answer, or opened before the node issued epochs,
// asks for the hello again: a call that may be sent only once must not meet a frozen or stopping node.
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
			return p.open(t, deadline)
		}
		if p.usable(c, t, deadline, needEpoch) {
			return c, nil
		}
		p.drop(c)
	}
}

// usable checks an idle connection.
func (p *Pool) usable(c *Conn, t Target, deadline time.Time, needEpoch bool) bool {
	now := p.o.Clock.Now()
	if now-c.lastUsed >= min(p.o.IdleTimeout, c.keepAlive) || c.r.Buffered() > 0 || !c.probe.usable() {
		return false
	}
	if !needEpoch || (c.hello.Epoch != "" && now-c.answeredAt <= helloAge) {
		return true
	}
	err := p.greet(c, t, connectDeadline(deadline))
	if IsTimeout(err) {
		// The others are as old; one new connection tells whether the node runs.
		p.closeIdleBefore(t.Address, now)
	}
	return err == nil
}

// Hello returns what the node said of itself when the connection was opened.
func (c *Conn) Hello() *wire.NodeDescription { return &c.hello }

// Release returns a connection on which nothing was sent.
func (c *Conn) Release() { c.pool.put(c) }

// Send sends req once and ends the caller's use of the connection. Unless the result is Answered, resp is not
// usable and the error says why; the connection is then closed. A caller that is set cancels the call when it
// disconnects.
func (c *Conn) Send(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time, caller Caller) (SendResult, error) {
	p := c.pool
	start := p.o.Clock.Now()
	if !time.Now().Before(deadline) {
		p.put(c)
		return NotSent, ErrDeadlinePassed
	}
	err := c.exchange(req, resp, deadline, caller, MaxResponseBytes)
	if err == nil {
		if resp.ConnectionClose() || c.spoiled {
			p.drop(c)
		} else {
			p.put(c)
		}
		return ResponseReceived, nil
	}
	sent := NoResponse
	if c.written == 0 {
		sent = NotSent
	}
	p.drop(c)
	if IsTimeout(err) || errors.Is(err, ErrNodeUnresponsive) {
		// A frozen or cut-off address answers on none of its connections; those that answered after this
		// call began are proven alive.
		p.closeIdleBefore(c.address, start)
	}
	return sent, err
}

// takeIdle returns the connection that was used last, or nil with a place reserved for a new one.
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
	if h.silent > 0 && p.o.Clock.Now()-h.silent < silentTime {
		return nil, ErrNodeUnresponsive
	}
	if h.open >= p.o.MaxConnections() {
		return nil, ErrTooManyConnections
	}
	h.open++
	return nil, nil
}

// connectDeadline bounds a connection attempt or a hello within a call's time.
func connectDeadline(deadline time.Time) time.Time {
	left := time.Until(deadline)
	return time.Now().Add(min(left, connectTimeout, max(left/connectShare, minConnectTimeout)))
}

// unanswered notes that an address did not answer a connection attempt or a hello in time. Its idle connections are
// as good as dead.
func (p *Pool) unanswered(address string, since time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.silent = p.o.Clock.Now()
		h.closeIdle(since)
	}
}

func (p *Pool) open(t Target, deadline time.Time) (*Conn, error) {
	// A call that has hardly any time left says nothing about the address.
	enough := time.Until(deadline) >= minConnectTimeout
	deadline = connectDeadline(deadline)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	start := p.o.Clock.Now()
	raw, err := p.dial.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		if enough && IsTimeout(err) {
			p.unanswered(t.Address, start)
		}
		p.release(t.Address)
		return nil, eris.Wrap(err, "the connection was not opened; check that the process at the address runs")
	}
	c := newConn(p, t.Address, raw)
	if p.o.SendHello {
		if err := p.greet(c, t, deadline); err != nil {
			if enough && IsTimeout(err) {
				p.unanswered(t.Address, start)
			}
			p.drop(c)
			return nil, err
		}
	}
	return c, nil
}

// greet asks the node who it is, so that no call reaches another upstream than the one chosen.
func (p *Pool) greet(c *Conn, t Target, deadline time.Time) error {
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
	if p.o.OnHello != nil {
		p.o.OnHello(t.Address, &c.hello)
	}
	if c.hello.Upstream != t.Upstream {
		return ErrWrongUpstream
	}
	return nil
}

func (p *Pool) put(c *Conn) {
	c.lastUsed = p.o.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
	h.answered = max(h.answered, c.answeredAt)
	if h.answered >= h.silent {
		h.silent = 0
	}
}

// responds reports whether the node of a connection still runs: it answered another call within the given time, or
// it answers a hello on a new connection now. Without hello there is nothing to ask.
func (p *Pool) responds(c *Conn, within time.Duration, deadline time.Time) bool {
	if !p.o.SendHello {
		return true
	}
	p.mu.Lock()
	h := p.hosts[c.address]
	recent := h.answered > 0 && p.o.Clock.Now()-h.answered < within
	full := h.open >= p.o.MaxConnections()
	if !recent && !full {
		h.open++
	}
	p.mu.Unlock()
	if recent || full {
		return true
	}
	other, err := p.open(Target{Address: c.address, Upstream: c.hello.Upstream}, deadline)
	if err != nil {
		return false
	}
	p.put(other)
	return true
}

func (p *Pool) drop(c *Conn) {
	_ = c.raw.Close()
	p.release(c.address)
}

func (p *Pool) release(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[address].open--
}

// closeIdleBefore closes the idle connections to an address that were last used at or before the given time.
func (p *Pool) closeIdleBefore(address string, before time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[address]; h != nil {
		h.closeIdle(before)
	}
}

func (h *host) closeIdle(before time.Duration) {
	kept := h.idle[:0]
	for _, c := range h.idle {
		if c.lastUsed > before {
			kept = append(kept, c)
			continue
		}
		_ = c.raw.Close()
		h.open--
	}
	clear(h.idle[len(kept):])
	h.idle = kept
}

// unackedTimeout sets the time after which the system gives a connection up whose bytes are not acknowledged.
func unackedTimeout(after time.Duration) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(after.Milliseconds()))
		})
		return errors.Join(err, failed)
	}
}

// CloseIdleConnectionsTo closes all idle connections to an address, so that the next call starts with a new hello.
func (p *Pool) CloseIdleConnectionsTo(address string) { p.closeIdleBefore(address, p.o.Clock.Now()) }

// CloseIdleConnections closes all idle connections; a node that was paused does so.
func (p *Pool) CloseIdleConnections() {
	now := p.o.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.closeIdle(now)
	}
}

// CloseExpiredConnections closes the connections that were idle for too long. The node calls it about once a second.
func (p *Pool) CloseExpiredConnections() {
	before := p.o.Clock.Now() - p.o.IdleTimeout
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		h.closeIdle(before)
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range p.hosts {
		n += h.open
	}
	return n
}

// IsTimeout reports whether an error of a connection is a missed deadline.
func IsTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}
