package ratelimit_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/distribution"
	"github.com/bamboodeal/bamboodeal/pkg/ratelimit"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// TestMain checks for leaked goroutines. It ignores the cleaners of fasthttp, which end by themselves after the idle
// time.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// manualClock is a clock that only the test moves, so that no result depends on the machine's speed.
type manualClock struct{ now atomic.Int64 }

func (c *manualClock) Now() time.Duration { return time.Duration(c.now.Load()) }

// limiterGroup is a group of limiters with upstreams u0 to u3 that call each other without a network. It is their
// transport; the control address of each is the name of its upstream.
type limiterGroup struct {
	clock     *manualClock
	limiters  map[string]*ratelimit.Limiter
	freshness map[string]*snapshot.Freshness
}

func (m *limiterGroup) RequestLease(address string, req wire.LeaseRequest) (wire.LeaseResponse, error) {
	return m.limiters[address].HandleLease(req)
}

func (m *limiterGroup) RequestHandover(address string, req wire.HandoverRequest) (wire.HandoverResponse, error) {
	return m.limiters[address].HandleHandover(req)
}

func newLimiterGroup() *limiterGroup {
	m := &limiterGroup{clock: &manualClock{}, limiters: map[string]*ratelimit.Limiter{}, freshness: map[string]*snapshot.Freshness{}}
	o := config.Objects{
		DataCentres: []config.DataCentre{{Name: "a", State: config.DataCentreIn}, {Name: "b", State: config.DataCentreIn}},
		Teams:       []config.Team{{Name: "team", RatePerSecond: 10, Burst: 20}},
		Upstreams: []config.Upstream{
			{Name: "u0", DataCentre: "a"},
			{Name: "u1", DataCentre: "b"},
			{Name: "u2", DataCentre: "a"},
			{Name: "u3", DataCentre: "b"},
		},
	}
	snap := &snapshot.Snapshot{Set: config.NewSet(o), Members: map[string]platform.Member{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i, u := range o.Upstreams {
		snap.Members[u.Name] = platform.Member{ControlAddress: u.Name}
		store := &snapshot.Store{}
		store.Publish(snap)
		m.freshness[u.Name] = &snapshot.Freshness{}
		m.limiters[u.Name] = ratelimit.New(ratelimit.Options{
			VM: u.Name, Upstream: u.Name, DataCentre: u.DataCentre, Store: store, Freshness: m.freshness[u.Name],
			FreshnessLimit: 4 * time.Second, Clock: m.clock, Transport: m, Log: log, ProcessSeed: uint64(i) << 40,
		})
	}
	return m
}

// advance moves the clock and confirms the views of the named upstreams' limiters.
func (m *limiterGroup) advance(d time.Duration, confirmed ...string) {
	m.clock.now.Add(int64(d))
	for _, name := range confirmed {
		m.freshness[name].RecordViewConfirmed(m.clock.Now())
	}
}

func (m *limiterGroup) run(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, l := range m.limiters {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_ = l.Run(ctx)
		}()
	}
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

var allUpstreams = []string{"u0", "u1", "u2", "u3"}

// Guards against several nodes that each admit the team's whole burst.
func TestNodesShareOneBurst(t *testing.T) {
	g := NewWithT(t)
	m := newLimiterGroup()
	m.advance(time.Millisecond, allUpstreams...)
	m.run(t)
	for _, l := range m.limiters {
		g.Expect(l.Admit(t.Context(), "team")).To(MatchError(ratelimit.ErrRateExceeded), "slots start without tokens")
	}
	m.advance(10*time.Second, allUpstreams...)
	admitted := 0
	for range 20 {
		for _, l := range m.limiters {
			if l.Admit(t.Context(), "team") == nil {
				admitted++
			}
		}
	}
	g.Expect(admitted).To(BeNumerically("<=", 20))
	g.Expect(admitted).To(BeNumerically(">=", 16))
}

// Guards against a holder that grants leases although neither another node nor the configuration's source has confirmed
// its view recently.
func TestHolderWithoutConfirmedViewLeasesNothing(t *testing.T) {
	g := NewWithT(t)
	m := newLimiterGroup()
	m.advance(time.Millisecond, allUpstreams...)
	req := wire.LeaseRequest{TokenRequests: []wire.TokenRequest{{Team: "team", Tokens: 1, LeaseDurationMS: 300}}}
	for _, name := range allUpstreams {
		_, err := m.RequestLease(name, req)
		g.Expect(err).NotTo(HaveOccurred())
	}
	m.advance(10 * time.Second)
	for _, name := range allUpstreams {
		_, err := m.RequestLease(name, req)
		g.Expect(err).To(MatchError(ContainSubstring("not confirmed")))
	}
}

// Guards against an HTTP client that repeats a lease request by itself when the holder closes the connection.
func TestHTTPTransportDoesNotRepeatRequests(t *testing.T) {
	g := NewWithT(t)
	var served atomic.Int32
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if served.Add(1) > 1 {
			// Close the kept-alive connection without a response.
			_ = ctx.Conn().Close()
			return
		}
		ctx.Response.SetBodyString(`{"g":[{"l":1,"n":2}]}`)
	}}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	transport := ratelimit.NewHTTPTransport(netip.Addr{})
	resp, err := transport.RequestLease(listener.Addr().String(), wire.LeaseRequest{})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Grants).To(ConsistOf(wire.Grant{Lease: 1, Tokens: 2}))
	_, err = transport.RequestLease(listener.Addr().String(), wire.LeaseRequest{})
	g.Expect(err).To(HaveOccurred())
	g.Expect(served.Load()).To(BeEquivalentTo(2))
	transport.Close()
	g.Expect(server.Shutdown()).To(Succeed())
	g.Expect(<-done).To(Succeed())
}

// countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	read, written atomic.Int64
}

func (r *countingConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.read.Add(int64(n))
	return n, err
}

func (r *countingConn) Write(p []byte) (int, error) {
	n, err := r.Conn.Write(p)
	r.written.Add(int64(n))
	return n, err
}

// countingListener accepts countingConns and sends each to conns.
type countingListener struct {
	net.Listener
	conns chan *countingConn
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	r := &countingConn{Conn: c}
	l.conns <- r
	return r, nil
}

// Guards against HTTP headers that grow: the simulation in decision/quota/simulation counts 52 bytes around each body.
func TestLeaseMessageSize(t *testing.T) {
	g := NewWithT(t)
	m := newLimiterGroup()
	m.advance(10*time.Second, allUpstreams...)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := countingListener{Listener: inner, conns: make(chan *countingConn, 1)}
	server := &fasthttp.Server{Handler: m.limiters["u0"].ControlHandler()}
	distribution.ConfigureServer(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	transport := ratelimit.NewHTTPTransport(netip.Addr{})
	req := wire.LeaseRequest{TokenRequests: []wire.TokenRequest{{Team: "team", Tokens: 1, LeaseDurationMS: 300}}}
	resp, err := transport.RequestLease(inner.Addr().String(), req)
	g.Expect(err).NotTo(HaveOccurred())
	conn := <-listener.conns
	asked, err := json.Marshal(req)
	g.Expect(err).NotTo(HaveOccurred())
	answered, err := json.Marshal(resp)
	g.Expect(err).NotTo(HaveOccurred())
	overhead := conn.read.Load() + conn.written.Load() - int64(len(asked)+len(answered))
	g.Expect(overhead).To(BeNumerically("<=", 2*52))
	transport.Close()
	g.Expect(server.Shutdown()).To(Succeed())
	g.Expect(<-done).To(Succeed())
}
