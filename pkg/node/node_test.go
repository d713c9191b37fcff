package node

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
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

// fixed is a maintainer with one version that is always confirmed.
type fixed struct{ n *Node }

func (f fixed) Run(ctx context.Context) error { <-ctx.Done(); return nil }

func (f fixed) ControlHandler() fasthttp.RequestHandler { return func(*fasthttp.RequestCtx) {} }

func (f fixed) ObserveVersion(wire.VersionID, string) {}

func (f fixed) Status() distribution.Status { return distribution.Status{} }

func (f fixed) SetLeaving() {}

func (f fixed) Ready() bool {
	f.n.freshness.RecordViewConfirmed(f.n.clock.Now())
	return true
}

func freeAddress(g *WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func set() *config.Set {
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

// start runs a node with the given upstream; the result of Run arrives on the channel.
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
	n.maintainer = fixed{n}
	n.readyAfter = 0
	n.wire()
	n.store.Publish(&snapshot.Snapshot{
		Version: wire.VersionID{Number: 1, Digest: "d"}, Set: set(),
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

// Guards against a planned stop that cuts requests in progress or their upstream's own calls, that lets callers run
// into a closed port without notice, and against a node that stops while it still has work.
func TestAStopUnderLoadCutsNothing(t *testing.T) {
	g := NewWithT(t)
	const held, busy = 4, 6
	release := make(chan struct{})
	var n *Node
	var innerKind atomic.Value
	logs := &bytes.Buffer{}
	n, stop, ended := start(g, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/shop/held" {
			<-release
			resp, err := get(n.settings.LocalAddress, "/stock", "Bamboodeal-Team: t1\r\n")
			if err != nil {
				innerKind.Store(err.Error())
				return
			}
			innerKind.Store(string(resp.Body()))
		}
		ctx.SetBodyString("whole")
	}, logs)
	results := make(chan error, held+busy)
	for range held {
		go func() {
			resp, err := get(n.settings.CallerAddress, "/shop/held", key)
			results <- expectWhole(resp, err)
		}()
	}
	g.Eventually(n.controller.CallsInProgress, 5*time.Second).Should(Equal(int64(held)))
	for range busy {
		go func() { results <- callUntilTold(n.settings.CallerAddress) }()
	}
	stop()
	for range busy {
		g.Expect(<-results).To(Succeed())
	}
	// All busy callers were told; the held calls still run, so the node must still be there.
	g.Consistently(ended, 600*time.Millisecond).ShouldNot(Receive())
	close(release)
	for range held {
		g.Expect(<-results).To(Succeed())
	}
	g.Expect(innerKind.Load()).To(ContainSubstring(string(wire.KindNoUpstream)))
	var err error
	g.Eventually(ended, 10*time.Second).Should(Receive(&err))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = net.Dial("tcp", n.settings.CallerAddress)
	g.Expect(err).To(HaveOccurred())
	g.Expect(logs.String()).NotTo(ContainSubstring(secret))
}

// callUntilTold makes calls on kept connections until the node says that it closes them.
func callUntilTold(address string) error {
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
		told := resp.ConnectionClose()
		leaving := bytes.Contains(resp.Body(), []byte(`"ran":"no"`))
		if !leaving && string(resp.Body()) != "whole" {
			return errors.New(resp.String())
		}
		if told {
			return nil
		}
		if leaving {
			return errors.New("refused without notice: " + resp.String())
		}
	}
}

func expectWhole(resp *fasthttp.Response, err error) error {
	if err == nil && string(resp.Body()) != "whole" {
		err = errors.New(resp.String())
	}
	return err
}

// hand is a clock that a test sets.
type hand struct{ now time.Duration }

func (h *hand) Now() time.Duration { return h.now }

// Guards against a node that wakes after a pause and serves calls with the view from before it, whether the
// monotonic clock went on or stood still meanwhile.
func TestAPausedNodeServesNothingUntilItHearsAgain(t *testing.T) {
	for name, pause := range map[string]struct{ monotonic, wall time.Duration }{
		"stopped process": {1100 * time.Millisecond, 1100 * time.Millisecond},
		"suspended VM":    {0, 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			clock, wall, forgot := &hand{time.Second}, time.Now(), 0
			guard := &guard{
				clock: clock, wall: func() time.Time { return wall }, store: &snapshot.Store{}, freshness: &snapshot.Freshness{},
				ready: func() bool { return true }, adopt: func(*snapshot.Snapshot) {}, paused: func() { forgot++ },
			}
			guard.store.Publish(&snapshot.Snapshot{Set: set()})
			current := func() wire.ErrorKind { _, kind := guard.Current(); return kind }
			guard.freshness.RecordViewConfirmed(clock.now)
			g.Expect(current()).To(BeEmpty())
			clock.now += pause.monotonic
			wall = wall.Add(pause.wall)
			g.Expect(current()).To(Equal(wire.KindStaleConfiguration))
			g.Expect(forgot).To(Equal(1))
			g.Expect(current()).To(Equal(wire.KindStaleConfiguration))
			guard.freshness.RecordViewConfirmed(clock.now + 1)
			g.Expect(current()).To(BeEmpty())
		})
	}
}

// Guards against a process that hangs because it was told to stop before its ports served.
func TestAStopRightAfterTheStartEnds(t *testing.T) {
	g := NewWithT(t)
	for range 5 {
		s := &settings.Settings{
			VM: "vm-1", Upstream: "shop-1", DataCentre: "dc-1", CallerAddress: freeAddress(g), LocalAddress: freeAddress(g),
			PeerAddress: freeAddress(g), ControlAddress: freeAddress(g), OperatorAddress: freeAddress(g),
			UpstreamAddress: "127.0.0.1:1", IdentityRetention: time.Minute, MaxDeadline: time.Second, LogLevel: "info",
		}
		n, err := New(Options{Settings: s, LogOutput: &bytes.Buffer{}, Sources: []platform.Source{nil}})
		g.Expect(err).NotTo(HaveOccurred())
		n.maintainer = fixed{n}
		n.wire()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ended := make(chan error, 1)
		go func() { ended <- n.Run(ctx) }()
		g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
	}
}
