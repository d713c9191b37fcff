package peer

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration { return time.Duration(c.now.Load()) }

func (c *manualClock) advance(d time.Duration) { c.now.Add(int64(d)) }

// peerServer is a peer port that only answers hellos.
type peerServer struct {
	address string
	// hellos counts the hellos.
	hellos atomic.Int64
	// frozen makes the server read requests but not answer them.
	frozen atomic.Bool
	// closing makes the server close each connection after its next answer.
	closing atomic.Bool
	// epoch is the epoch that the server issues, as a string.
	epoch atomic.Value
}

func newPeerServer(t *testing.T) *peerServer {
	s := &peerServer{}
	s.epoch.Store("e")
	stop := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if s.frozen.Load() {
			<-stop
		}
		if string(ctx.Path()) == wire.PathHello {
			s.hellos.Add(1)
		}
		if s.closing.Load() {
			ctx.SetConnectionClose()
		}
		writeJSON(ctx, wire.NodeDescription{Upstream: "u", State: wire.StateServing, Epoch: s.epoch.Load().(string)})
	}}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		close(stop)
		_ = l.Close()
	})
	return s
}

// A call that may run only once must not be sent on an old connection to a node that is frozen, is about to close the
// connection, or had issued no epoch when it was opened. Acquire must repeat the hello in these cases, but not before
// each call.
func TestAcquireRepeatsHelloOnOldConnections(t *testing.T) {
	g := NewWithT(t)
	s, clock := newPeerServer(t), &manualClock{}
	clock.advance(time.Hour)
	p := NewPool(PoolOptions{Clock: clock, SendHello: true})
	target := Target{Address: s.address, Upstream: "u"}
	acquire := func(needEpoch bool) error {
		c, err := p.Acquire(target, time.Now().Add(time.Minute), needEpoch)
		if err == nil {
			c.Release()
		}
		return err
	}
	expectHellos := func(n int) {
		t.Helper()
		g.Expect(s.hellos.Load()).To(Equal(int64(n)))
		g.Expect(p.OpenConnections()).To(BeNumerically("<=", 1))
	}
	s.epoch.Store("")
	g.Expect(acquire(true)).To(Succeed())
	expectHellos(1)
	s.epoch.Store("e")
	g.Expect(acquire(true)).To(Succeed())
	expectHellos(2)
	clock.advance(maxResponseAge)
	g.Expect(acquire(true)).To(Succeed())
	expectHellos(2)
	clock.advance(1)
	g.Expect(acquire(false)).To(Succeed())
	expectHellos(2)
	g.Expect(acquire(true)).To(Succeed())
	expectHellos(3)
	clock.advance(time.Second)
	s.closing.Store(true)
	g.Expect(acquire(true)).To(MatchError(ErrNodeClosing))
	g.Expect(p.OpenConnections()).To(BeZero())
	s.closing.Store(false)
	g.Expect(acquire(true)).To(Succeed())
	clock.advance(time.Second)
	s.frozen.Store(true)
	g.Expect(IsTimeout(acquire(true))).To(BeTrue())
	g.Expect(p.OpenConnections()).To(BeZero())
	// The next calls fail at once and do not wait for the frozen node, until the retry delay has passed.
	g.Expect(acquire(true)).To(MatchError(ErrNodeUnresponsive))
	g.Expect(acquire(false)).To(MatchError(ErrNodeUnresponsive))
	clock.advance(unresponsiveRetryDelay)
	g.Expect(IsTimeout(acquire(false))).To(BeTrue())
	s.frozen.Store(false)
	clock.advance(unresponsiveRetryDelay)
	g.Expect(acquire(true)).To(Succeed())
}

// Idle connections must be closed after the idle time-out, and connections that were used recently must not be closed
// together with older ones to the same address. The number of connections to an address is bounded.
func TestPoolClosesIdleConnections(t *testing.T) {
	g := NewWithT(t)
	s, clock := newPeerServer(t), &manualClock{}
	clock.advance(time.Hour)
	p := NewPool(PoolOptions{Clock: clock, SendHello: true, MaxConnections: func() int { return 2 }})
	target := Target{Address: s.address, Upstream: "u"}
	acquire := func() *Conn {
		c, err := p.Acquire(target, time.Now().Add(time.Minute), false)
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	a, b := acquire(), acquire()
	_, err := p.Acquire(target, time.Now().Add(time.Minute), false)
	g.Expect(err).To(MatchError(ErrTooManyConnections))
	a.Release()
	clock.advance(time.Second)
	b.Release()
	p.closeIdleBefore(s.address, clock.Now()-time.Millisecond)
	g.Expect(p.OpenConnections()).To(Equal(1))
	clock.advance(peerIdleTimeout - 1)
	p.CloseExpiredConnections()
	g.Expect(p.OpenConnections()).To(Equal(1))
	clock.advance(1)
	p.CloseExpiredConnections()
	g.Expect(p.OpenConnections()).To(BeZero())
	_, err = p.Acquire(Target{Address: s.address, Upstream: "other"}, time.Now().Add(time.Minute), false)
	g.Expect(err).To(MatchError(ErrWrongUpstream))
	g.Expect(p.OpenConnections()).To(BeZero())
}

// connectedCaller is a caller that stays connected.
type connectedCaller struct{}

func (connectedCaller) Connected() bool { return true }

// Guards against giving up a call at which a stopping node is at work: the node has closed its listener, so that the
// hello on a new connection fails, but it still answers the calls that it has.
func TestCallAtStoppingNodeIsAwaited(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	begun := make(chan struct{})
	server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == wire.PathHello {
			writeJSON(ctx, wire.NodeDescription{Upstream: "u", State: wire.StateServing, Epoch: "e"})
			return
		}
		close(begun)
		time.Sleep(3 * firstNodeCheckDelay)
		ctx.SetBodyString("answer")
	}}
	go func() { _ = server.Serve(l) }()
	go func() {
		<-begun
		_ = server.Shutdown()
	}()
	p := NewPool(PoolOptions{Clock: &manualClock{}, SendHello: true})
	deadline := time.Now().Add(5 * time.Second)
	c, err := p.Acquire(Target{Address: l.Addr().String(), Upstream: "u"}, deadline, false)
	g.Expect(err).NotTo(HaveOccurred())
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://a/x")
	_, err = c.Send(req, resp, deadline, connectedCaller{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(resp.Body())).To(Equal("answer"))
}

// Guards against a call that waits until its deadline for a VM that has restarted: its address refuses connections like
// that of a stopping node, but only keep-alive probes make it reset the connection of the call.
func TestConnectionToRefusingNodeIsProbed(t *testing.T) {
	g := NewWithT(t)
	s := newPeerServer(t)
	p := NewPool(PoolOptions{Clock: &manualClock{}, SendHello: true})
	deadline := time.Now().Add(5 * time.Second)
	c, err := p.Acquire(Target{Address: s.address, Upstream: "u"}, deadline, false)
	g.Expect(err).NotTo(HaveOccurred())
	refusing, err := net.Listen("tcp", "127.77.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	c.address = refusing.Addr().String()
	p.hosts[c.address] = &host{open: 1}
	g.Expect(refusing.Close()).To(Succeed())
	g.Expect(p.isResponding(c, time.Millisecond, deadline)).To(BeTrue())
	raw, err := c.netConn.(*net.TCPConn).SyscallConn()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(raw.Control(func(fd uintptr) {
		enabled, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(enabled).To(Equal(1))
		idle, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(time.Duration(idle) * time.Second).To(Equal(keepAliveInterval))
	})).To(Succeed())
}
