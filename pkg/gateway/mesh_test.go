package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/routing"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/gateway"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

const apiKey = "k-7f3a9c51d2e84b60"

// confirmedView is a peer.ConfigView whose snapshot always counts as confirmed.
type confirmedView struct{ store *snapshot.Store }

func (v confirmedView) Current() (*snapshot.Snapshot, wire.ErrorKind) {
	if s := v.store.Load(); s != nil {
		return s, ""
	}
	return nil, wire.KindNotReady
}

func (v confirmedView) VersionConfirmedWithin(time.Duration) bool { return true }

// testNode is one node of a test mesh.
type testNode struct {
	upstream      string
	callRecord    *peer.CallRecord
	queue         *peer.AdmissionQueue
	controller    *peer.Controller
	peerPool      *peer.Pool
	gateway       *gateway.Gateway
	callerAddress string
	localAddress  string
	peerServer    *peer.Server
	callerServer  *gateway.Server
}

// testMesh is a set of nodes in one process, with upstreams that the test provides. It records the calls that the
// gateways report as ended.
type testMesh struct {
	g          *WithT
	store      *snapshot.Store
	clock      clock.Clock
	nodes      map[string]*testNode
	endedMu    sync.Mutex
	endedCalls []string
}

func configObjects(upstreams ...string) config.Objects {
	o := config.Objects{
		DataCentres: []config.DataCentre{{Name: "dc-1", Region: "r", State: config.DataCentreIn}, {Name: "dc-2", Region: "r", State: config.DataCentreIn}},
		Services:    []config.Service{{Name: "entry", ColdStart: config.ColdStart{InitialConcurrency: 10}}, {Name: "shop", ColdStart: config.ColdStart{InitialConcurrency: 10}}},
		Upstreams:   []config.Upstream{{Name: "entry-1", Service: "entry", DataCentre: "dc-1", Slots: 10, Connections: 110}},
		Routes: []config.Route{
			{Name: "read", Service: "shop", PathPrefix: "/shop", Methods: []string{"GET", "HEAD"}, Visibility: config.VisibilityPublic, Idempotent: true, Priority: config.PriorityNormal, TimeoutMS: 2000, MaxBodyBytes: 100},
			{Name: "order", Service: "shop", PathPrefix: "/shop", Methods: []string{"POST"}, Visibility: config.VisibilityPublic, Priority: config.PriorityNormal, TimeoutMS: 2000, MaxBodyBytes: 1000},
			{Name: "quick", Service: "shop", PathPrefix: "/quick", Methods: []string{"GET", "POST"}, Visibility: config.VisibilityPublic, Priority: config.PriorityNormal, TimeoutMS: 300, MaxBodyBytes: 1000},
			{Name: "inner", Service: "shop", PathPrefix: "/inner", Methods: []string{"GET"}, Visibility: config.VisibilityInternal, Idempotent: true, Priority: config.PriorityNormal, TimeoutMS: 2000, MaxBodyBytes: 1000},
		},
		Teams: []config.Team{{Name: "t1", RatePerSecond: 1e6, Burst: 1e6, Weight: 1}},
		Keys: []config.Key{
			{ID: "key-1", Team: "t1", Digest: config.KeyDigest(apiKey), State: config.KeyGranted},
			{ID: "key-2", Team: "t1", Digest: config.KeyDigest("withdrawn-" + apiKey), State: config.KeyWithdrawn},
		},
	}
	for _, u := range upstreams {
		o.Upstreams = append(o.Upstreams, config.Upstream{Name: u, Service: "shop", DataCentre: "dc-" + u[len(u)-1:], Slots: 10, Connections: 110})
	}
	return o
}

// newTestMesh starts a node for entry-1, whose upstream does not run, and one for each of the upstreams, by name.
func newTestMesh(t testing.TB, upstreams map[string]fasthttp.RequestHandler) *testMesh {
	m := &testMesh{g: NewWithT(t), store: &snapshot.Store{}, clock: clock.System(), nodes: map[string]*testNode{}}
	names := make([]string, 0, len(upstreams))
	for name := range upstreams {
		names = append(names, name)
	}
	snap := &snapshot.Snapshot{
		Version: wire.VersionID{Number: 1, Digest: "d"}, Set: config.NewSet(configObjects(names...)),
		Members: map[string]platform.Member{},
	}
	m.startNode(t, "entry-1", "127.0.0.1:1", snap)
	for name, handler := range upstreams {
		m.startNode(t, name, startUpstream(t, handler), snap)
	}
	m.store.Publish(snap)
	for _, n := range m.nodes {
		n.callRecord.AdoptSnapshot(m.clock.Now(), snap)
	}
	return m
}

// publish puts a changed copy of the current version in force.
func (m *testMesh) publish(change func(o *config.Objects, members map[string]platform.Member)) {
	old := m.store.Load()
	o := config.Objects{
		DataCentres: slices.Clone(old.Set.DataCentres), Services: old.Set.Services, Upstreams: slices.Clone(old.Set.Upstreams),
		Routes: slices.Clone(old.Set.Routes), Teams: old.Set.Teams, Keys: slices.Clone(old.Set.Keys),
	}
	members := maps.Clone(old.Members)
	change(&o, members)
	snap := &snapshot.Snapshot{
		Version: wire.VersionID{Number: old.Version.Number + 1, Digest: "d"}, ParentDigest: old.Version.Digest,
		Set: config.NewSet(o), Members: members,
	}
	m.store.Publish(snap)
	for _, n := range m.nodes {
		n.callRecord.AdoptSnapshot(m.clock.Now(), snap)
	}
}

func listen(t testing.TB) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// startUpstream starts an upstream and returns its address.
func startUpstream(t testing.TB, handler fasthttp.RequestHandler) string {
	l := listen(t)
	s := &fasthttp.Server{Handler: handler, DisablePreParseMultipartForm: true}
	go func() { _ = s.Serve(l) }()
	return l.Addr().String()
}

// longAgo is a start time of the call record so far back that it issues epochs and answers later attempts.
const longAgo = -24 * time.Hour

func (m *testMesh) startNode(t testing.TB, name, upstreamAddress string, snap *snapshot.Snapshot) {
	n := &testNode{upstream: name}
	m.nodes[name] = n
	v := confirmedView{m.store}
	n.callRecord = peer.NewCallRecord(delivery.Config{}, longAgo, "epoch-of-"+name)
	n.queue = peer.NewAdmissionQueue(m.clock, admission.Config{Slots: 10, InitialConcurrency: 10})
	n.peerPool = peer.NewPool(peer.PoolOptions{Clock: m.clock, SendHello: true})
	upstreamPool := peer.NewPool(peer.PoolOptions{Clock: m.clock, IdleTimeout: peer.UpstreamIdleTimeout, MaxConnections: func() int { return 110 }})
	n.controller = peer.NewController(peer.ControllerOptions{
		Upstream: name, UpstreamAddress: upstreamAddress, Clock: m.clock, View: v,
		CallRecord: n.callRecord, Queue: n.queue, UpstreamPool: upstreamPool, PeerPool: n.peerPool,
	})
	n.peerServer = peer.NewServer(peer.ServerOptions{
		VM: "vm-" + name, DataCentre: "dc-1", Upstream: name, Clock: m.clock, View: v, CallRecord: n.callRecord, Controller: n.controller,
	})
	n.gateway = gateway.New(gateway.Options{
		Upstream: name, Clock: m.clock, View: v, CallRecord: n.callRecord, Controller: n.controller, PeerPool: n.peerPool, MetricsRecorder: m,
		Router: gateway.NewRouter(m.clock, routing.Config{Node: name, DataCentre: "dc-1"}, rand.New(rand.NewPCG(1, 2))),
	})
	peerPort, callerPort, localPort := listen(t), listen(t), listen(t)
	n.callerServer = n.gateway.NewCallerServer()
	go func() { _ = n.peerServer.Serve(peerPort) }()
	go func() { _ = n.callerServer.Serve(callerPort) }()
	go func() { _ = n.gateway.NewLocalServer().Serve(localPort) }()
	n.callerAddress, n.localAddress = callerPort.Addr().String(), localPort.Addr().String()
	snap.Members[name] = platform.Member{VM: "vm-" + name, Upstream: name, PeerAddress: peerPort.Addr().String()}
	t.Cleanup(func() {
		n.peerPool.CloseIdleConnections()
		upstreamPool.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = n.callerServer.Shutdown(ctx)
	})
}

// RecordCall collects the calls that a gateway reports.
func (m *testMesh) RecordCall(port, service, team string, status int, outcome wire.Outcome, kind wire.ErrorKind, _ time.Duration) {
	m.endedMu.Lock()
	defer m.endedMu.Unlock()
	m.endedCalls = append(m.endedCalls, fmt.Sprint(port, service, team, status, outcome, kind))
}

// callResponse is what a caller received.
type callResponse struct {
	status  int
	header  string
	body    string
	outcome wire.Outcome
	kind    string
}

// sendRaw sends a request as bytes on a new connection and reads one response. closeWrite closes the sending side after
// the request.
func sendRaw(g *WithT, address, request string, closeWrite bool) callResponse {
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	g.Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = c.Write([]byte(request))
	g.Expect(err).NotTo(HaveOccurred())
	if closeWrite {
		g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
	}
	return readResponse(g, bufio.NewReader(c), strings.HasPrefix(request, "HEAD"))
}

func readResponse(g *WithT, r *bufio.Reader, head bool) callResponse {
	resp := &fasthttp.Response{SkipBody: head}
	g.Expect(resp.Read(r)).To(Succeed())
	out := callResponse{status: resp.StatusCode(), header: resp.Header.String(), body: string(resp.Body())}
	out.outcome = wire.Outcome(resp.Header.Peek(wire.HeaderOutcome))
	if _, after, found := strings.Cut(out.body, `"kind":"`); found {
		out.kind, _, _ = strings.Cut(after, `"`)
	}
	return out
}

func request(method, path, body string, headers ...string) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: mesh\r\nAuthorization: Bearer %s\r\n", method, path, apiKey)
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}
