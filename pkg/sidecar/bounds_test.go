package sidecar

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// startServer starts an HTTP server with the handler and returns its address.
func startServer(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: handler}
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(l); err != nil {
			t.Error(err)
		}
	})
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		serving.Wait()
	})
	return l.Addr().String()
}

// Guards against reading the body of a response to a health check up to the bound for responses to requests, although
// nothing uses it.
func TestHealthCheckBodyIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	var size atomic.Int64
	o := m.nodes[0].o
	o.Settings.UpstreamAddress = startServer(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(headerNames.UpstreamID, "other")
		ctx.SetBody(make([]byte, size.Load()))
		ctx.SetConnectionClose()
	})
	c := m.nodes[0].controller
	h := newHealthChecker(&o, c.pool, c.queue)
	size.Store(maxCheckBody + 1)
	g.Expect(h.check()).To(BeFalse())
	g.Expect(h.upstreamID()).To(BeEmpty())
	size.Store(maxCheckBody)
	g.Expect(h.check()).To(BeTrue())
	g.Expect(h.upstreamID()).To(Equal("other"))
}

// Guards against a message from another node that uses up the memory, as it is received or when it is decompressed.
func TestMessageSizeIsBounded(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	largest := append(bytes.Repeat([]byte{' '}, maxMessageSize-2), "{}"...)
	address := startServer(t, func(ctx *fasthttp.RequestCtx) {
		body := largest
		if bytes.HasPrefix(ctx.Path(), []byte("/larger")) {
			body = append([]byte{' '}, largest...)
		}
		if bytes.HasSuffix(ctx.Path(), []byte("compressed")) {
			body = s2.Encode(nil, body)
			ctx.Response.Header.SetContentEncoding(s2Encoding)
		}
		ctx.SetBody(body)
		ctx.SetConnectionClose()
	})
	post := func(path string) error {
		return postMessage(m.nodes[0].peerPool, address, path, struct{}{}, &struct{}{}, time.Minute)
	}
	g.Expect(post("/largest")).To(Succeed())
	g.Expect(post("/largest/compressed")).To(Succeed())
	g.Expect(post("/larger")).To(MatchError(peer.ErrResponseTooLarge))
	g.Expect(post("/larger/compressed")).To(MatchError(errMessageTooLarge))
}

// Guards against large error responses that are held in memory without a bound while other attempts are made. The
// upstream's response has to be delivered whole instead.
func TestLargeFailureIsDeliveredAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	var size atomic.Int64
	for _, u := range m.upstreams {
		u.setHandler(func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(fasthttp.StatusInternalServerError)
			ctx.SetBody(make([]byte, size.Load()))
		})
	}
	for _, c := range []struct{ bytes, attempts int64 }{{maxHeldFailureBody + 1, 1}, {maxHeldFailureBody, 2}} {
		size.Store(c.bytes)
		before := m.runs()
		resp := m.send(0, request{method: "GET", path: "/read/1", id: "r"})
		g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusInternalServerError))
		g.Expect(resp.Header.Peek(headerNames.UpstreamStamp)).NotTo(BeEmpty())
		g.Expect(int64(len(resp.Body()))).To(Equal(c.bytes))
		g.Expect(m.runs() - before).To(Equal(c.attempts))
	}
}
