package peer

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// hand is a clock that a test sets.
type hand struct{ now atomic.Int64 }

func (h *hand) Now() time.Duration { return time.Duration(h.now.Load()) }

func (h *hand) pass(d time.Duration) { h.now.Add(int64(d)) }

// stub is a peer port that a test can freeze or close.
type stub struct {
	address string
	hellos  atomic.Int64
	frozen  atomic.Bool
	closing atomic.Bool
	epoch   atomic.Value
}

func newStub(t *testing.T) *stub {
	s := &stub{}
	s.epoch.Store("e")
	thaw := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if s.frozen.Load() {
			<-thaw
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
		close(thaw)
		_ = l.Close()
	})
	return s
}

// Guards against a call that may run only once and is sent on an old connection to a node that has stopped running,
// is about to close it, or had issued no epoch; and against a hello before each call.
func TestACallThatRunsOnceMeetsARespondingNode(t *testing.T) {
	g := NewWithT(t)
	s, clock := newStub(t), &hand{}
	clock.pass(time.Hour)
	p := NewPool(PoolOptions{Clock: clock, SendHello: true})
	target := Target{Address: s.address, Upstream: "u"}
	connect := func(needEpoch bool) error {
		c, err := p.Acquire(target, time.Now().Add(time.Minute), needEpoch)
		if err == nil {
			c.Release()
		}
		return err
	}
	hellos := func(n int) {
		t.Helper()
		g.Expect(s.hellos.Load()).To(Equal(int64(n)))
		g.Expect(p.OpenConnections()).To(BeNumerically("<=", 1))
	}
	s.epoch.Store("")
	g.Expect(connect(true)).To(Succeed())
	hellos(1)
	s.epoch.Store("e")
	g.Expect(connect(true)).To(Succeed())
	hellos(2)
	clock.pass(helloAge)
	g.Expect(connect(true)).To(Succeed())
	hellos(2)
	clock.pass(1)
	g.Expect(connect(false)).To(Succeed())
	hellos(2)
	g.Expect(connect(true)).To(Succeed())
	hellos(3)
	clock.pass(time.Second)
	s.closing.Store(true)
	g.Expect(connect(true)).To(MatchError(ErrNodeClosing))
	g.Expect(p.OpenConnections()).To(BeZero())
	s.closing.Store(false)
	g.Expect(connect(true)).To(Succeed())
	clock.pass(time.Second)
	s.frozen.Store(true)
	g.Expect(IsTimeout(connect(true))).To(BeTrue())
	g.Expect(p.OpenConnections()).To(BeZero())
	// The next calls do not wait for the frozen node again, until it is time to ask.
	g.Expect(connect(true)).To(MatchError(ErrNodeUnresponsive))
	g.Expect(connect(false)).To(MatchError(ErrNodeUnresponsive))
	clock.pass(silentTime)
	g.Expect(IsTimeout(connect(false))).To(BeTrue())
	s.frozen.Store(false)
	clock.pass(silentTime)
	g.Expect(connect(true)).To(Succeed())
}

// Guards against idle connections that outlive their time, and against the ones that answered last being closed with
// an address's older ones.
func TestIdleConnectionsAreBounded(t *testing.T) {
	g := NewWithT(t)
	s, clock := newStub(t), &hand{}
	clock.pass(time.Hour)
	p := NewPool(PoolOptions{Clock: clock, SendHello: true, MaxConnections: func() int { return 2 }})
	target := Target{Address: s.address, Upstream: "u"}
	open := func() *Conn {
		c, err := p.Acquire(target, time.Now().Add(time.Minute), false)
		g.Expect(err).NotTo(HaveOccurred())
		return c
	}
	a, b := open(), open()
	_, err := p.Acquire(target, time.Now().Add(time.Minute), false)
	g.Expect(err).To(MatchError(ErrTooManyConnections))
	a.Release()
	clock.pass(time.Second)
	b.Release()
	p.closeIdleBefore(s.address, clock.Now()-time.Millisecond)
	g.Expect(p.OpenConnections()).To(Equal(1))
	clock.pass(peerIdleTimeout - 1)
	p.CloseExpiredConnections()
	g.Expect(p.OpenConnections()).To(Equal(1))
	clock.pass(1)
	p.CloseExpiredConnections()
	g.Expect(p.OpenConnections()).To(BeZero())
	_, err = p.Acquire(Target{Address: s.address, Upstream: "other"}, time.Now().Add(time.Minute), false)
	g.Expect(err).To(MatchError(ErrWrongUpstream))
	g.Expect(p.OpenConnections()).To(BeZero())
}
