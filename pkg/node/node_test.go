package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/distribution"
	"github.com/bamboodeal/bamboodeal/pkg/gateway"
	"github.com/bamboodeal/bamboodeal/pkg/settings"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

const secret = "k-5d0b7c9e21f34a68"

// fixedSyncer is a configSyncer with one version that is always confirmed.
type fixedSyncer struct{ n *Node }

func (s fixedSyncer) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (s fixedSyncer) ControlHandler() fasthttp.RequestHandler { return func(*fasthttp.RequestCtx) {} }

func (s fixedSyncer) ObserveVersion(wire.VersionID, string) {}

func (s fixedSyncer) Status() distribution.Status { return distribution.Status{} }

func (s fixedSyncer) SetLeaving() {}

func (s fixedSyncer) Ready() bool {
	s.n.freshness.RecordViewConfirmed(s.n.clock.Now())
	return true
}

// freeAddress returns a free address on a loopback IP that belongs to this process. On 127.0.0.1 the port may be taken by
// an outgoing connection of another process before the test listens on it.
func freeAddress(g *WithT) string {
	const byteMask = 0xff
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+pid>>16&0x3f, pid>>8&byteMask, pid&byteMask))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// testSet returns a set with the services shop, which the node's upstream belongs to, and stock, which has no upstream.
func testSet() *config.Set {
	return config.NewSet(config.Objects{
		DataCentres: []config.DataCentre{{Name: "dc-1", Region: "r", State: config.DataCentreIn}},
		Services:    []config.Service{{Name: "shop", ColdStart: config.ColdStart{InitialConcurrency: 20}}, {Name: "stock"}},
		Upstreams:   []config.Upstream{{Name: "shop-1", Service: "shop", DataCentre: "dc-1", Slots: 20, Connections: 110}},
		Routes: []config.Route{
			{Name: "shop", Service: "shop", PathPrefix: "/shop", Methods: []string{"GET"}, Visibility: config.VisibilityPublic, Idempotent: true, Priority: config.PriorityNormal, TimeoutMS: 5000},
			{Name: "stock", Service: "stock", PathPrefix: "/stock", Methods: []string{"GET"}, Visibility: config.VisibilityInternal, Idempotent: true, Priority: config.PriorityNormal, TimeoutMS: 5000},
		},
		Teams: []config.Team{{Name: "t1", Weight: 1}},
		Keys:  []config.Key{{ID: "k1", Team: "t1", Digest: config.KeyDigest(secret), State: config.KeyGranted}},
	})
}

// start runs a node with the given upstream. The channel ended receives the result of Run.
func start(g *WithT, upstream fasthttp.RequestHandler, logs *bytes.Buffer) (n *Node, stop func(), ended chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = fasthttp.Serve(l, upstream) }()
	s := &settings.Settings{
		VM: "vm-1", Upstream: "shop-1", DataCentre: "dc-1", CallerAddress: freeAddress(g), LocalAddress: freeAddress(g),
		PeerAddress: freeAddress(g), ControlAddress: freeAddress(g), OperatorAddress: freeAddress(g),
		UpstreamAddress: l.Addr().String(), IdentityRetention: time.Minute, MaxDeadline: 5 * time.Second,
		DrainNotice: 300 * time.Millisecond, LogLevel: "info",
	}
	n, err = New(Options{Settings: s, LogOutput: logs, Sources: []platform.Source{nil}, Admitter: gateway.UnlimitedAdmitter{}})
	g.Expect(err).NotTo(HaveOccurred())
	n.syncer = fixedSyncer{n}
	n.readyAfter = 0
	n.initCallPath()
	n.store.Publish(&snapshot.Snapshot{
		Version: wire.VersionID{Number: 1, Digest: "d"}, Set: testSet(),
		Members: map[string]platform.Member{"shop-1": {Upstream: "shop-1", PeerAddress: s.PeerAddress}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended = make(chan error, 1)
	go func() {
		ended <- n.Run(ctx)
		_ = l.Close()
	}()
	g.Eventually(func() error {
		c, err := net.Dial("tcp", s.CallerAddress)
		if err == nil {
			_ = c.Close()
		}
		return err
	}, 5*time.Second).Should(Succeed())
	return n, cancel, ended
}

func get(address, path string, headers string) (*fasthttp.Response, error) {
	return exchangeOnce(address, "GET", path, headers)
}

func exchangeOnce(address, method, path, headers string) (*fasthttp.Response, error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	return exchange(c, bufio.NewReader(c), method, path, headers)
}

func exchange(c net.Conn, r *bufio.Reader, method, path, headers string) (*fasthttp.Response, error) {
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: m\r\n%s\r\n", method, path, headers); err != nil {
		return nil, err
	}
	resp := &fasthttp.Response{}
	return resp, resp.Read(r)
}

const key = "Authorization: Bearer " + secret + "\r\n"

// A planned stop must neither abort calls in progress nor refuse the calls that their upstream makes for them. Callers
// on open connections must be told that the node closes them before the port is closed. The node must not end before
// all calls have ended.
func TestStopUnderLoadAbortsNoCalls(t *testing.T) {
	g := NewWithT(t)
	const heldCalls, busyCallers = 4, 6
	release := make(chan struct{})
	var n *Node
	var innerResult atomic.Value
	logs := &bytes.Buffer{}
	n, stop, ended := start(g, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/shop/held" {
			<-release
			resp, err := get(n.settings.LocalAddress, "/stock", "Bamboodeal-Team: t1\r\n")
			if err != nil {
				innerResult.Store(err.Error())
				return
			}
			innerResult.Store(string(resp.Body()))
		}
		ctx.SetBodyString("whole")
	}, logs)
	results := make(chan error, heldCalls+busyCallers)
	for range heldCalls {
		go func() {
			resp, err := get(n.settings.CallerAddress, "/shop/held", key)
			results <- expectWhole(resp, err)
		}()
	}
	g.Eventually(n.controller.CallsInProgress, 5*time.Second).Should(Equal(int64(heldCalls)))
	for range busyCallers {
		go func() { results <- callUntilClosed(n.settings.CallerAddress) }()
	}
	stop()
	for range busyCallers {
		g.Expect(<-results).To(Succeed())
	}
	// All busy callers were told that their connections are closed. The held calls still run, so the node must wait.
	g.Consistently(ended, 600*time.Millisecond).ShouldNot(Receive())
	close(release)
	for range heldCalls {
		g.Expect(<-results).To(Succeed())
	}
	g.Expect(innerResult.Load()).To(ContainSubstring(string(wire.KindNoUpstream)))
	var err error
	g.Eventually(ended, 10*time.Second).Should(Receive(&err))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = net.Dial("tcp", n.settings.CallerAddress)
	g.Expect(err).To(HaveOccurred())
	g.Expect(logs.String()).NotTo(ContainSubstring(secret))
}

// callUntilClosed makes calls on one connection until the node announces with a response that it closes the connection.
func callUntilClosed(address string) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		resp, err := exchange(c, r, "GET", "/shop", key)
		if err != nil {
			return err
		}
		closing := resp.ConnectionClose()
		leaving := bytes.Contains(resp.Body(), []byte(`"ran":"no"`))
		if !leaving && string(resp.Body()) != "whole" {
			return errors.New(resp.String())
		}
		if closing {
			return nil
		}
		if leaving {
			return errors.New("refused without an announced close: " + resp.String())
		}
	}
}

// expectWhole returns an error unless the response has the complete body.
func expectWhole(resp *fasthttp.Response, err error) error {
	if err == nil && string(resp.Body()) != "whole" {
		err = errors.New(resp.String())
	}
	return err
}

// manualClock is a clock that a test sets.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration { return c.now }

// After a pause a node must not serve calls with its old snapshot until the view is confirmed again, whether or not the
// monotonic clock went on during the pause.
func TestViewGuardRefusesCallsAfterPause(t *testing.T) {
	for name, pause := range map[string]struct{ monotonic, wall time.Duration }{
		"stopped process": {1100 * time.Millisecond, 1100 * time.Millisecond},
		"suspended VM":    {0, 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock, wall, pauses := &manualClock{time.Second}, time.Now(), 0
			guard := &viewGuard{
				clock: clock, wallTime: func() time.Time { return wall }, store: &snapshot.Store{}, freshness: &snapshot.Freshness{},
				ready: func() bool { return true }, onAdopt: func(*snapshot.Snapshot) {}, onPause: func() { pauses++ },
			}
			guard.store.Publish(&snapshot.Snapshot{Set: testSet()})
			current := func() wire.ErrorKind { _, kind := guard.Current(); return kind }
			guard.freshness.RecordViewConfirmed(clock.now)
			g.Expect(current()).To(BeEmpty())
			clock.now += pause.monotonic
			wall = wall.Add(pause.wall)
			g.Expect(current()).To(Equal(wire.KindStaleConfiguration))
			g.Expect(pauses).To(Equal(1))
			g.Expect(current()).To(Equal(wire.KindStaleConfiguration))
			guard.freshness.RecordViewConfirmed(clock.now + 1)
			g.Expect(current()).To(BeEmpty())
		})
	}
}

// A node must end when it is stopped before its servers have begun to serve.
func TestStopRightAfterStart(t *testing.T) {
	g := NewWithT(t)
	for range 5 {
		s := &settings.Settings{
			VM: "vm-1", Upstream: "shop-1", DataCentre: "dc-1", CallerAddress: freeAddress(g), LocalAddress: freeAddress(g),
			PeerAddress: freeAddress(g), ControlAddress: freeAddress(g), OperatorAddress: freeAddress(g),
			UpstreamAddress: "127.0.0.1:1", IdentityRetention: time.Minute, MaxDeadline: time.Second, LogLevel: "info",
		}
		n, err := New(Options{Settings: s, LogOutput: &bytes.Buffer{}, Sources: []platform.Source{nil}})
		g.Expect(err).NotTo(HaveOccurred())
		n.syncer = fixedSyncer{n}
		n.initCallPath()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
	}
}
