package gateway_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// Guards against an HTTP client that repeats a call by itself when a kept-alive connection is closed without a
// response, as fasthttp's own clients do for GET.
func TestCallIsNotRepeatedOnClosedConnection(t *testing.T) {
	var ran atomic.Int64
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
		if ran.Add(1)%2 == 0 {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		}
	}})
	for _, method := range []string{"GET", "POST"} {
		for _, entry := range []string{"entry-1", "shop-1"} {
			before := ran.Load()
			m.g.Expect(sendRaw(m.g, m.nodes[entry].callerAddress, request(method, "/shop", ""), false).status).To(Equal(200))
			got := sendRaw(m.g, m.nodes[entry].callerAddress, request(method, "/shop", ""), false)
			m.g.Expect(got.outcome).To(Equal(wire.OutcomeUnknown))
			m.g.Expect(ran.Load() - before).To(Equal(int64(2)))
		}
	}
}

// Guards against a call that is refused, lost or sent twice because the other side closed an idle connection.
func TestClosedIdleConnectionDoesNotFailCall(t *testing.T) {
	var ran atomic.Int64
	closed := make(chan struct{}, 8)
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
		ran.Add(1)
		ctx.Hijack(func(c net.Conn) {
			_ = c.Close()
			closed <- struct{}{}
		})
	}})
	for range 4 {
		m.g.Expect(sendRaw(m.g, m.nodes["entry-1"].callerAddress, request("POST", "/shop", "x"), false).status).To(Equal(200))
		<-closed
	}
	m.g.Expect(ran.Load()).To(Equal(int64(4)))
}

// Guards against a response that arrives after its call's deadline and is taken for the response of the next call on
// the connection.
func TestLateResponseIsNotDeliveredToAnotherCall(t *testing.T) {
	release := make(chan struct{})
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
		if string(ctx.PostBody()) == "slow" {
			<-release
		}
		ctx.SetBodyString("answer to " + string(ctx.PostBody()))
	}})
	for _, entry := range []string{"entry-1", "shop-1"} {
		address := m.nodes[entry].callerAddress
		m.g.Expect(sendRaw(m.g, address, request("POST", "/quick", "first"), false).body).To(Equal("answer to first"))
		slow := sendRaw(m.g, address, request("POST", "/quick", "slow"), false)
		m.g.Expect(slow.kind).To(Equal(string(wire.KindOutcomeUnknown)))
		release <- struct{}{}
		for _, body := range []string{"second", "third"} {
			m.g.Expect(sendRaw(m.g, address, request("POST", "/quick", body), false).body).To(Equal("answer to " + body))
		}
	}
}

// Guards against an upstream that goes on working for a caller that has disconnected, and against cancelling a call
// that may run only once, whose result would be lost.
func TestOnlyIdempotentCallsAreCancelledOnDisconnect(t *testing.T) {
	started, ended, release := make(chan struct{}), make(chan struct{}), make(chan struct{})
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
		started <- struct{}{}
		if ctx.IsGet() {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) {
				_, _ = io.ReadAll(c)
				ended <- struct{}{}
			})
			return
		}
		<-release
		ctx.SetBodyString("paid")
	}})
	shop := m.nodes["shop-1"].controller
	for _, entry := range []string{"entry-1", "shop-1"} {
		address := m.nodes[entry].callerAddress
		leave := func(req string) {
			c, err := net.Dial("tcp", address)
			m.g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte(req))
			m.g.Expect(err).NotTo(HaveOccurred())
			<-started
			m.g.Expect(c.Close()).To(Succeed())
		}
		leave(request("GET", "/shop", ""))
		m.g.Eventually(ended, 5*time.Second).Should(Receive())
		m.g.Eventually(shop.CallsInProgress, 5*time.Second).Should(BeZero())
		identity := "Idempotency-Key: paid-by-" + entry
		leave(request("POST", "/shop", "x", identity, "Bamboodeal-Attempt: 1"))
		// The call stays in progress while the caller's connection is checked several times.
		m.g.Consistently(shop.CallsInProgress, 200*time.Millisecond).Should(Equal(int64(1)))
		release <- struct{}{}
		m.g.Eventually(shop.CallsInProgress, 5*time.Second).Should(BeZero())
		again := sendRaw(m.g, address, request("POST", "/shop", "x", identity, "Bamboodeal-Attempt: 2"), false)
		m.g.Expect(again.body).To(Equal("paid"))
		other := sendRaw(m.g, address, request("POST", "/shop", "y", identity, "Bamboodeal-Attempt: 2"), false)
		m.g.Expect(other.kind).To(Equal(string(wire.KindIdentityConflict)))
		m.g.Expect(shop.Load().InFlight).To(BeZero())
	}
}

// Guards against buffers of fasthttp that are kept beyond a request, so that its body or headers appear in another
// request.
func TestRequestsDoNotShareBuffers(t *testing.T) {
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyString(string(ctx.Request.Header.Peek("X-Token")) + " " + string(ctx.PostBody()))
	}})
	done := make(chan string, 8)
	for worker := range 8 {
		go func() {
			c, err := net.Dial("tcp", m.nodes["entry-1"].callerAddress)
			if err != nil {
				done <- err.Error()
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for i := range 50 {
				token := strings.Repeat(string(rune('a'+worker)), 1+i)
				id := "Idempotency-Key: " + token
				_, _ = c.Write([]byte(request("POST", "/shop", token, "X-Token: "+token, id, "Bamboodeal-Attempt: 1")))
				resp := &fasthttp.Response{}
				if err := resp.Read(r); err != nil || string(resp.Body()) != token+" "+token {
					done <- "got " + resp.String()
					return
				}
			}
			done <- ""
		}()
	}
	for range 8 {
		m.g.Expect(<-done).To(BeEmpty())
	}
}

// disconnectedCaller is a peer.Caller that has closed its connection.
type disconnectedCaller struct{}

func (disconnectedCaller) Connected() bool { return false }

// Guards against a sender that resumes after a pause of its process and sends a call after its deadline, or to a
// controller that restarted and lost its call record. Guards also against a controller that resumes and runs a call
// whose sender has given up.
func TestCallIsNotSentOrRunAfterProcessPause(t *testing.T) {
	var ran atomic.Int64
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
		ran.Add(1)
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	}})
	entry, shop := m.nodes["entry-1"], m.nodes["shop-1"]
	conn, err := entry.peerPool.Acquire(peer.Target{Address: m.store.Load().Members["shop-1"].PeerAddress, Upstream: "shop-1"}, time.Now().Add(time.Second), true)
	m.g.Expect(err).NotTo(HaveOccurred())
	metadata := peer.CallMetadata{
		CallID: "c-1", Identity: "t1/i-1", Attempt: 1, Route: "order", Team: "t1", KeyID: "key-1", Upstream: "shop-1",
		SenderUpstream: "entry-1", Version: m.store.Load().Version, RemainingTime: time.Second, Epoch: conn.Hello().Epoch,
	}
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.Header.SetMethod("POST")
	req.SetRequestURI("/shop")
	req.Header.SetHost("m")
	metadata.SetHeaders(req)
	// The sender resumes after the deadline: it has a connection and an epoch, but must not write anything.
	sent, err := conn.Send(req, resp, time.Now().Add(-time.Millisecond), nil)
	m.g.Expect(sent).To(Equal(peer.NotSent))
	m.g.Expect(err).To(MatchError(peer.ErrDeadlinePassed))
	serve := func(change func(*peer.IncomingCall)) peer.CallResult {
		attemptMetadata := metadata
		in := &peer.IncomingCall{Metadata: &attemptMetadata, ArrivedAt: m.clock.Now()}
		change(in)
		return shop.controller.Serve(in, req, resp)
	}
	notRun := func(a peer.CallResult, kind wire.ErrorKind) {
		t.Helper()
		m.g.Expect(a.Outcome).To(Equal(wire.OutcomeNotRun))
		m.g.Expect(a.Kind).To(Equal(kind))
		m.g.Expect(ran.Load()).To(BeZero())
	}
	notRun(serve(func(in *peer.IncomingCall) { in.Metadata.Epoch = "epoch-of-an-earlier-process.0" }), wire.KindWrongEpoch)
	notRun(serve(func(in *peer.IncomingCall) { in.Metadata.Epoch = "" }), wire.KindWrongEpoch)
	notRun(serve(func(in *peer.IncomingCall) { in.ArrivedAt -= 2 * time.Second; in.Metadata.CallID = "c-2" }), wire.KindDeadlineExceeded)
	notRun(serve(func(in *peer.IncomingCall) { in.Caller = disconnectedCaller{}; in.Metadata.CallID = "c-3" }), wire.KindDeadlineExceeded)
	// A response without a body must not contain what an earlier attempt left in the buffer.
	resp.SetBodyString("left over")
	last := serve(func(in *peer.IncomingCall) { in.Metadata.CallID = "c-4" })
	m.g.Expect(last.Outcome).To(Equal(wire.OutcomeRan))
	m.g.Expect(resp.Body()).To(BeEmpty())
	m.g.Expect(ran.Load()).To(Equal(int64(1)))
}
