package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

var headerNames = Headers{
	RequestID: "Id", DeadlineMS: "Deadline", APIKey: "Key", Team: "Team", CallerService: "Caller", ExpectUpstream: "Expect",
	UpstreamID: "Upstream", UpstreamStamp: "Stamp", UpstreamLoad: "Load", ColdRemainingMS: "Cold", NotExecuted: "Not-Run",
	ReadinessPath: "/ready",
}

// upstreamStub is an upstream whose responses a test can change.
type upstreamStub struct {
	id              string
	server          *fasthttp.Server
	address         string
	runs            atomic.Int64
	coldRemainingMS atomic.Int64
	checks          atomic.Int64
	// checkDelay delays the response to each health check, in nanoseconds.
	checkDelay  atomic.Int64
	mu          sync.Mutex
	serve       func(ctx *fasthttp.RequestCtx)
	seenHeaders []string
}

func newUpstreamStub(t *testing.T, id, address string) *upstreamStub {
	t.Helper()
	u := &upstreamStub{id: id, address: address}
	u.server = &fasthttp.Server{Handler: u.handle, NoDefaultServerHeader: true, Logger: logrus.New()}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = u.server.Serve(l) }()
	t.Cleanup(func() { _ = u.server.Shutdown() })
	return u
}

func (u *upstreamStub) setHandler(serve func(ctx *fasthttp.RequestCtx)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.serve = serve
}

func (u *upstreamStub) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/health" {
		u.checks.Add(1)
		time.Sleep(time.Duration(u.checkDelay.Load()))
		ctx.Response.Header.Set(headerNames.UpstreamID, u.id)
		ctx.Response.Header.Set(headerNames.ColdRemainingMS, fmt.Sprint(u.coldRemainingMS.Load()))
		return
	}
	if expected := string(ctx.Request.Header.Peek(headerNames.ExpectUpstream)); expected != u.id {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	u.runs.Add(1)
	u.mu.Lock()
	serve := u.serve
	u.seenHeaders = append(u.seenHeaders, ctx.Request.Header.String())
	u.mu.Unlock()
	ctx.Response.Header.Set(headerNames.RequestID, string(ctx.Request.Header.Peek(headerNames.RequestID)))
	ctx.Response.Header.Set(headerNames.UpstreamStamp, u.id)
	ctx.SetBodyString("answer of " + u.id)
	if serve != nil {
		serve(ctx)
	}
}

// testMesh runs nodes on loopback addresses, each beside its own upstream.
type testMesh struct {
	t         *testing.T
	view      atomic.Pointer[mesh.View]
	nodes     []*Node
	stops     []context.CancelFunc
	done      []chan struct{}
	upstreams []*upstreamStub
	logs      *syncBuffer
	ports     [3]int
	// staleViews holds, by index, the nodes that have lost contact with the store, with the view that each of them
	// keeps.
	staleViews sync.Map
}

// disconnectStore makes a node lose contact with the store. It keeps its current view while the others get new ones.
func (m *testMesh) disconnectStore(node int) { m.staleViews.Store(node, m.view.Load()) }

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func freePorts(t *testing.T, ip string, n int) []int {
	t.Helper()
	ports := make([]int, n)
	for i := range ports {
		l, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			t.Fatal(err)
		}
		ports[i] = l.Addr().(*net.TCPAddr).Port
		defer func() { _ = l.Close() }()
	}
	return ports
}

// nextNetwork counts the loopback networks in use. Each test gets its own, so that its ports are not in use by other
// tests. They begin at firstNetworkOctet, because the networks below are those of other packages, whose tests run at the
// same time.
var nextNetwork atomic.Int64

const (
	firstNetworkOctet = 240
	networksPerOctet  = 250
)

const (
	testService = "orders"
	testKey     = "key-of-red"
)

func testConfig(t *testing.T, change func(*mesh.Route)) *mesh.Config {
	t.Helper()
	routes := []*mesh.Route{
		{Name: "read", Host: "shop", PathPrefix: "/read/", Idempotent: true},
		{Name: "write", Host: "shop", PathPrefix: "/write/"},
		{Name: "inner", Host: "shop", PathPrefix: "/inner/", Idempotent: true, Public: true},
	}
	for _, r := range routes {
		r.Timeout, r.Objective, r.MaxAttempts = 2*time.Second, 400*time.Millisecond, 2
		r.Destinations = []mesh.Destination{{Service: testService, Weight: 1}}
		if change != nil {
			change(r)
		}
	}
	c, err := mesh.NewConfig(1, []*mesh.Service{{
		Name: testService, HealthPath: "/health", MaxConnections: 50, ColdStartDuration: 3 * time.Second, ColdRequestsPerSecond: 10,
	}}, []*mesh.Team{{Name: "red", Keys: []string{testKey}, Rate: 1000, Burst: 1000}}, routes)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// newTestMesh starts a number of nodes with their upstreams. change, if not nil, is called for each route before the
// start.
func newTestMesh(t *testing.T, count int, change func(*mesh.Route)) *testMesh {
	t.Helper()
	m := &testMesh{t: t, logs: &syncBuffer{}}
	number := int(nextNetwork.Add(1))
	network := fmt.Sprintf("127.%d.%d", firstNetworkOctet+number/networksPerOctet, number%networksPerOctet)
	view := &mesh.View{Config: testConfig(t, change), UpstreamsByService: map[string][]*mesh.Upstream{}, EvacuatedDataCentres: map[string]bool{}}
	ports := freePorts(t, network+".1", 4)
	copy(m.ports[:], ports)
	for i := range count {
		ip := fmt.Sprintf("%s.%d", network, i+1)
		u := newUpstreamStub(t, fmt.Sprintf("u%d", i), fmt.Sprintf("%s:%d", ip, ports[3]))
		m.upstreams = append(m.upstreams, u)
		view.VMs = append(view.VMs, ip)
		view.UpstreamsByService[testService] = append(view.UpstreamsByService[testService], &mesh.Upstream{
			ID: u.id, Service: testService, Address: u.address, IP: ip, DataCentre: "north", Slots: 4,
		})
	}
	m.view.Store(view)
	for i := range count {
		m.start(i)
	}
	NewWithT(t).Eventually(func() bool {
		for _, n := range m.nodes {
			if n.controller.health.upstreamID() == "" {
				return false
			}
		}
		return true
	}, 5*time.Second).Should(BeTrue())
	return m
}

func (m *testMesh) address(node, port int) string {
	return fmt.Sprintf("%s:%d", m.view.Load().VMs[node], m.ports[port])
}

func (m *testMesh) start(i int) {
	log := logrus.New()
	log.SetOutput(m.logs)
	log.SetFormatter(&logrus.JSONFormatter{})
	own := func() *mesh.View {
		v := *m.view.Load()
		if old, lost := m.staleViews.Load(i); lost {
			v = *old.(*mesh.View)
		}
		v.OwnUpstream = v.UpstreamsByService[testService][i]
		return &v
	}
	n, err := New(Options{
		Settings: Settings{
			VM: fmt.Sprint("vm", i), DataCentre: "north", Service: testService, CallerAddress: m.address(i, 0),
			PeerAddress: m.address(i, 1), ReadyAddress: m.address(i, 2), UpstreamAddress: m.upstreams[i].address,
			StopGracePeriod: testGracePeriod, HeartbeatInterval: 1500 * time.Millisecond,
			ColdRateFactor: 1.5, ColdRateSlack: 5, RetryBudgetRatio: 0.2, RetryBudgetSlack: 56,
		},
		Headers: headerNames, Clock: clock.System(), Log: log, View: own,
		StoreAge: func() time.Duration {
			if _, lost := m.staleViews.Load(i); lost {
				return time.Minute
			}
			return 0
		},
		StoreChanges: func(mesh.Position, time.Duration) mesh.Delta { return mesh.Delta{} },
		ParseLoad:    parseTestLoad,
	})
	if err != nil {
		m.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.nodes, m.stops, m.done = append(m.nodes, n), append(m.stops, cancel), append(m.done, done)
	n.UpdateView(own())
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			m.t.Error(err)
		}
	}()
	m.t.Cleanup(func() {
		if ctx.Err() == nil {
			// The node has not read the period yet.
			n.o.Settings.StopGracePeriod = 0
		}
		cancel()
	})
}

// request is a request of a caller. A header with an empty value is removed.
type request struct {
	method, path, id string
	header           map[string]string
	deadline         time.Duration
}

// send sends a request to a node on a new connection and returns the response.
func (m *testMesh) send(node int, r request) *fasthttp.Response {
	m.t.Helper()
	client := &fasthttp.HostClient{Addr: m.address(node, 0), MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	return m.sendOn(client, r)
}

func (m *testMesh) sendOn(client *fasthttp.HostClient, r request) *fasthttp.Response {
	m.t.Helper()
	req := &fasthttp.Request{}
	req.SetRequestURI("http://shop" + r.path)
	req.Header.SetMethod(strings.ToUpper(r.method))
	req.Header.Set(headerNames.RequestID, r.id)
	req.Header.Set(headerNames.APIKey, testKey)
	if r.deadline > 0 {
		req.Header.Set(headerNames.DeadlineMS, fmt.Sprint(r.deadline.Milliseconds()))
	}
	for name, value := range r.header {
		if value == "" {
			req.Header.Del(name)
			continue
		}
		req.Header.Set(name, value)
	}
	if r.method == fasthttp.MethodPost {
		req.SetBodyString("body of " + r.id)
	}
	resp := &fasthttp.Response{}
	if err := client.DoTimeout(req, resp, 10*time.Second); err != nil {
		m.t.Errorf("request %s: %v", r.id, err)
	}
	return resp
}

// runs returns the number of requests that all upstreams ran.
func (m *testMesh) runs() int64 {
	n := int64(0)
	for _, u := range m.upstreams {
		n += u.runs.Load()
	}
	return n
}

// useOnlyUpstream takes all upstreams but one out of use.
func (m *testMesh) useOnlyUpstream(index int) {
	view := *m.view.Load()
	list := make([]*mesh.Upstream, 0, len(view.UpstreamsByService[testService]))
	for i, u := range view.UpstreamsByService[testService] {
		changed := *u
		changed.Draining = i != index
		list = append(list, &changed)
	}
	view.UpstreamsByService = map[string][]*mesh.Upstream{testService: list}
	m.view.Store(&view)
}
