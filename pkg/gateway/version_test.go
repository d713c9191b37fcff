package gateway_test

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// Guards against a withdrawn key that still works on a connection that was open before.
func TestWithdrawnKeyIsRefusedOnOpenConnection(t *testing.T) {
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": respondOK})
	c, err := net.Dial("tcp", m.nodes["entry-1"].callerAddress)
	m.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	call := func() callResponse {
		_, err := c.Write([]byte(request("GET", "/shop", "")))
		m.g.Expect(err).NotTo(HaveOccurred())
		return readResponse(m.g, r, false)
	}
	m.g.Expect(call().status).To(Equal(200))
	m.publish(func(o *config.Objects, _ map[string]platform.Member) { o.Keys[0].State = config.KeyWithdrawn })
	m.g.Expect(call().kind).To(Equal(string(wire.KindKeyWithdrawn)))
}

// Guards against a controller that runs a call which its own version forbids, because the sender has an older version
// or sent wrong metadata.
func TestControllerChecksAgainstOwnVersion(t *testing.T) {
	var ran atomic.Int64
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(*fasthttp.RequestCtx) { ran.Add(1) }})
	before := m.store.Load().Version
	m.publish(func(o *config.Objects, _ map[string]platform.Member) { o.Keys[0].State = config.KeyWithdrawn })
	withdrawn := m.store.Load()
	m.publish(func(o *config.Objects, _ map[string]platform.Member) {
		o.Keys[0].State = config.KeyGranted
		o.DataCentres[0].State = config.DataCentreOut
	})
	out := m.store.Load()
	m.publish(func(o *config.Objects, _ map[string]platform.Member) { o.DataCentres[0].State = config.DataCentreIn })
	in := m.store.Load()
	newer := in.Version
	newer.Number++
	cases := map[string]struct {
		change func(metadata *peer.CallMetadata)
		kind   wire.ErrorKind
	}{
		"other upstream":   {func(metadata *peer.CallMetadata) { metadata.Upstream = "shop-2" }, wire.KindWrongUpstream},
		"no such route":    {func(metadata *peer.CallMetadata) { metadata.Route = "none" }, wire.KindNoRoute},
		"other team's key": {func(metadata *peer.CallMetadata) { metadata.Team = "t2" }, wire.KindUnknownKey},
		"key unknown here": {func(metadata *peer.CallMetadata) { metadata.KeyID = "key-9" }, wire.KindUnknownKey},
		"key unknown here, sender has newer version":   {func(metadata *peer.CallMetadata) { metadata.KeyID, metadata.Version = "key-9", newer }, ""},
		"key withdrawn here":                           {func(*peer.CallMetadata) { m.store.Publish(withdrawn) }, wire.KindKeyWithdrawn},
		"key withdrawn here, sender has newer version": {func(metadata *peer.CallMetadata) { metadata.Version = newer; m.store.Publish(withdrawn) }, wire.KindKeyWithdrawn},
		"data centre out":                              {func(*peer.CallMetadata) { m.store.Publish(out) }, wire.KindLeaving},
		"no time left":                                 {func(metadata *peer.CallMetadata) { metadata.RemainingTime = 0 }, wire.KindDeadlineExceeded},
		"no identity":                                  {func(metadata *peer.CallMetadata) { metadata.Route = "order" }, wire.KindMalformedRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m.store.Publish(in)
			ran.Store(0)
			metadata := &peer.CallMetadata{
				CallID: "c", Route: "read", Team: "t1", KeyID: "key-1", Upstream: "shop-1", SenderUpstream: "entry-1",
				Version: before, RemainingTime: time.Second, Attempt: 1,
			}
			c.change(metadata)
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("/shop")
			req.Header.SetHost("m")
			a := m.nodes["shop-1"].controller.Serve(&peer.IncomingCall{Metadata: metadata, ArrivedAt: m.clock.Now()}, req, resp)
			g.Expect(a.Kind).To(Equal(c.kind))
			if c.kind != "" {
				g.Expect(a.Outcome).To(Equal(wire.OutcomeNotRun))
				g.Expect(ran.Load()).To(BeZero())
			}
		})
	}
}

// Guards against running an identity twice when its first attempt ran, or may have run, at a substitute of its home.
func TestLaterAttemptAsksOtherCandidates(t *testing.T) {
	var ran atomic.Int64
	handler := func(ctx *fasthttp.RequestCtx) {
		ran.Add(1)
		ctx.SetBodyString("booked")
	}
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": handler, "shop-2": handler})
	entry := m.nodes["entry-1"].callerAddress
	addresses := m.store.Load().Members
	move := func(upstream, address string) {
		m.publish(func(_ *config.Objects, members map[string]platform.Member) {
			member := members[upstream]
			member.PeerAddress = address
			members[upstream] = member
		})
	}
	post := func(identity, attempt string) callResponse {
		return sendRaw(m.g, entry, request("POST", "/shop", "x", "Idempotency-Key: "+identity, "Bamboodeal-Attempt: "+attempt), false)
	}
	candidates := delivery.Candidates(m.store.Load().Set, "shop", "t1/i-1")
	home, substitute := candidates[0].Name, candidates[1].Name
	const closed = "127.0.0.1:1"
	move(home, closed)
	m.g.Expect(post("i-1", "1").body).To(Equal("booked"))
	move(home, addresses[home].PeerAddress)
	m.g.Expect(post("i-1", "2").body).To(Equal("booked"))
	m.g.Expect(ran.Load()).To(Equal(int64(1)))
	// The substitute, which may have run the call, does not respond: nothing runs and the outcome is unknown.
	move(substitute, closed)
	m.g.Expect(post("i-1", "3").kind).To(Equal(string(wire.KindOutcomeUnknown)))
	m.g.Expect(ran.Load()).To(Equal(int64(1)))
	move(substitute, addresses[substitute].PeerAddress)
	// No upstream ran this identity, so a later attempt runs it, once.
	m.g.Expect(post("i-2", "2").body).To(Equal("booked"))
	m.g.Expect(post("i-2", "3").body).To(Equal("booked"))
	m.g.Expect(ran.Load()).To(Equal(int64(2)))
}

// Guards against idempotent calls that fail although another upstream could serve them, and against unbounded retries.
func TestFailedIdempotentCallGoesToAnotherUpstream(t *testing.T) {
	var broken, whole atomic.Int64
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{
		"shop-1": func(ctx *fasthttp.RequestCtx) {
			broken.Add(1)
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		},
		"shop-2": func(ctx *fasthttp.RequestCtx) {
			whole.Add(1)
			ctx.SetBodyString("whole")
		},
	})
	served := 0
	for range 100 {
		got := sendRaw(m.g, m.nodes["entry-1"].callerAddress, request("GET", "/shop", ""), false)
		if got.body == "whole" {
			served++
			continue
		}
		m.g.Expect(got.outcome).To(Equal(wire.OutcomeUnknown))
	}
	t.Logf("served %d, broken %d, whole %d", served, broken.Load(), whole.Load())
	// The first failure is retried and ejects the upstream for 500 ms, so nearly all calls are served.
	m.g.Expect(served).To(BeNumerically(">=", 90))
	m.g.Expect(broken.Load() + whole.Load()).To(BeNumerically("<=", 100+12))
}

// Guards against idempotent calls that wait until their deadline for a node that stopped responding, although another
// one could serve them.
func TestIdempotentCallLeavesUnresponsiveNode(t *testing.T) {
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": respondOK, "shop-2": respondOK})
	resume := make(chan struct{})
	t.Cleanup(func() { close(resume) })
	var paused atomic.Bool
	pausingNode := startUpstream(t, func(ctx *fasthttp.RequestCtx) {
		if len(ctx.Request.Header.Peek(wire.HeaderCallID)) > 0 {
			paused.Store(true)
		}
		if paused.Load() {
			<-resume
		}
		ctx.SetBodyString(`{"upstream":"shop-1","state":"serving"}`)
	})
	m.publish(func(_ *config.Objects, members map[string]platform.Member) {
		member := members["shop-1"]
		member.PeerAddress = pausingNode
		members["shop-1"] = member
	})
	for range 3 {
		m.g.Expect(sendRaw(m.g, m.nodes["entry-1"].callerAddress, request("GET", "/shop", ""), false).body).To(Equal("ok"))
	}
	m.g.Expect(paused.Load()).To(BeTrue())
}

// Guards against delivering an upstream's refusal because of load although another upstream has room, and against
// losing that refusal when no other upstream has room.
func TestShedCallGoesToAnotherUpstream(t *testing.T) {
	shed := func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(503)
		ctx.SetBodyString("shed")
	}
	withRoom := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": shed, "shop-2": respondOK})
	for _, entry := range []string{"entry-1", "shop-1"} {
		withRoom.g.Expect(sendRaw(withRoom.g, withRoom.nodes[entry].callerAddress, request("GET", "/shop", ""), false).body).To(Equal("ok"))
	}
	withoutRoom := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": shed, "shop-2": shed})
	got := sendRaw(withoutRoom.g, withoutRoom.nodes["entry-1"].callerAddress, request("GET", "/shop", ""), false)
	withoutRoom.g.Expect(got.status).To(Equal(503))
	withoutRoom.g.Expect(got.body).To(Equal("shed"))
	withoutRoom.g.Expect(got.outcome).To(Equal(wire.OutcomeRan))
}
