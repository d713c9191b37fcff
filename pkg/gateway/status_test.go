package gateway_test

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// invalidStatuses are first lines of responses that have no valid status code.
var invalidStatuses = []string{
	"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 00 OK", "HTTP/1.1 -1 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 20 OK",
	"HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999", "HTTP/1.1", "HTTP/1.1  OK",
	"HTTP/1.1 103 Hints\r\nLink: leaked\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 000 OK\r\nLink: leaked\r\n\r\nHTTP/1.1 200 OK",
}

// malformedStarts are beginnings of responses with a valid first line and a malformed field.
var malformedStarts = []string{
	"HTTP/1.1 200 OK\r\nX Link: leaked", "HTTP/1.1 200 OK\r\nX-Link : leaked", "HTTP/1.1 200 OK\r\n X-Link: leaked",
	"HTTP/1.1 200 OK\r\nX-Link: \x01leaked", "HTTP/1.1 200 OK\r\nX-Link: a\r\n leaked", "HTTP/1.1 103 Hints\r\nX Link: leaked\r\n\r\nHTTP/1.1 200 OK",
}

// respondWithStatus answers a request in place of the server: with the given first line, and for the rest like a success. It adds the
// bytes that then arrive on the connection to bytesBehind.
func respondWithStatus(ctx *fasthttp.RequestCtx, line string, bytesBehind *atomic.Int64) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, line+"\r\nContent-Length: 6\r\n\r\nleaked")
		n, _ := io.Copy(io.Discard, c)
		bytesBehind.Add(n)
	})
}

// Guards against a response without a valid head that reaches the caller as a success or is recorded as the result of its call.
func TestMalformedHeadHasUnknownOutcome(t *testing.T) {
	for _, line := range append(invalidStatuses, malformedStarts...) {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			var ran, bytesBehind atomic.Int64
			m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
				ran.Add(1)
				respondWithStatus(ctx, line, &bytesBehind)
			}})
			for _, entry := range []string{"entry-1", "shop-1"} {
				for attempt := range 2 {
					before := ran.Load()
					got := sendRaw(m.g, m.nodes[entry].callerAddress, request("POST", "/shop", "x", "Idempotency-Key: of-"+entry, fmt.Sprint("Bamboodeal-Attempt: ", attempt+1)), false)
					m.g.Expect(got.outcome).To(Equal(wire.OutcomeUnknown))
					m.g.Expect(got.header + got.body).NotTo(ContainSubstring("leaked"))
					// The later attempt at the call must not run it again.
					m.g.Expect(ran.Load() - before).To(Equal(int64(1 - attempt)))
				}
			}
			m.g.Expect(bytesBehind.Load()).To(BeZero())
		})
	}
}

// Guards against an error for an idempotent call that another upstream can answer.
func TestIdempotentCallLeavesUpstreamWithMalformedHead(t *testing.T) {
	for _, line := range append([]string{"HTTP/1.1 000", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK"}, malformedStarts...) {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			var faulty, bytesBehind atomic.Int64
			m := newTestMesh(t, map[string]fasthttp.RequestHandler{
				"shop-1": func(ctx *fasthttp.RequestCtx) {
					faulty.Add(1)
					respondWithStatus(ctx, line, &bytesBehind)
				},
				"shop-2": func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("whole") },
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
			m.g.Expect(faulty.Load()).To(BeNumerically(">", 0))
			// The first failure is retried and ejects the upstream for 500 ms, so nearly all calls are served.
			m.g.Expect(served).To(BeNumerically(">=", 90))
			m.g.Expect(bytesBehind.Load()).To(BeZero())
		})
	}
}

// Guards against a response between nodes that has no valid head and reaches the caller.
func TestNodeWithMalformedHeadHasUnknownOutcome(t *testing.T) {
	for _, line := range append([]string{"HTTP/1.1 000", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK"}, malformedStarts...) {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": respondOK})
			var bytesBehind, calls atomic.Int64
			faultyNode := startUpstream(t, func(ctx *fasthttp.RequestCtx) {
				if len(ctx.Request.Header.Peek(wire.HeaderCallID)) > 0 {
					calls.Add(1)
					respondWithStatus(ctx, line+"\r\n"+wire.HeaderVersion+": 1:d\r\n"+wire.HeaderOutcome+": "+string(wire.OutcomeRan), &bytesBehind)
					return
				}
				ctx.SetBodyString(`{"upstream":"shop-1","state":"serving","epoch":"e"}`)
			})
			m.publish(func(_ *config.Objects, members map[string]platform.Member) {
				member := members["shop-1"]
				member.PeerAddress = faultyNode
				members["shop-1"] = member
			})
			got := sendRaw(m.g, m.nodes["entry-1"].callerAddress, request("POST", "/shop", "x"), false)
			m.g.Expect(calls.Load()).To(Equal(int64(1)))
			m.g.Expect(got.outcome).To(Equal(wire.OutcomeUnknown))
			m.g.Expect(got.header + got.body).NotTo(ContainSubstring("leaked"))
			m.g.Expect(bytesBehind.Load()).To(BeZero())
		})
	}
}
