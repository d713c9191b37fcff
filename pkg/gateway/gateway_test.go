package gateway_test

import (
	"net"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// Guards against nodes that change what the caller and the upstream exchange, and against keys or internal headers that
// reach the upstream or the caller.
func TestCallPassesTwoNodesUnchanged(t *testing.T) {
	var seen atomic.Value
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
		seen.Store(string(ctx.Request.Header.RequestURI()) + "\n" + string(ctx.Request.Header.RawHeaders()))
		ctx.Response.Header.Add("X-Many", "1")
		ctx.Response.Header.Add("X-Many", "2")
		ctx.Response.Header.Set("Bamboodeal-Epoch", "forged")
		ctx.SetStatusCode(201)
		ctx.SetBodyString("done " + string(ctx.PostBody()))
	}})
	entry := m.nodes["entry-1"].callerAddress
	sent := request("POST", "/shop/%7Ea?q=%20b&c=//d", "body\x00\xff", "X-Custom: one", "x-custom: two", "X-Copy: "+apiKey,
		"Cookie: c="+apiKey, "Connection: X-Hop", "X-Hop: 1", "Bamboodeal-Team: other", "bamboodeal-extra: 1", "Idempotency-Key: i-1", "Bamboodeal-Attempt: 1")
	got := sendRaw(m.g, entry, sent, false)
	m.g.Expect(got.status).To(Equal(201))
	m.g.Expect(got.body).To(Equal("done body\x00\xff"))
	m.g.Expect(got.outcome).To(Equal(wire.OutcomeRan))
	m.g.Expect(strings.Count(got.header, "X-Many")).To(Equal(2))
	m.g.Expect(strings.Count(got.header, "\r\nDate:")).To(Equal(1))
	for _, hidden := range []string{"Epoch", "Bamboodeal-Load", "Bamboodeal-Version"} {
		m.g.Expect(got.header).NotTo(ContainSubstring(hidden))
	}
	up := seen.Load().(string)
	m.g.Expect(up).To(HavePrefix("/shop/%7Ea?q=%20b&c=//d\n"))
	m.g.Expect(strings.Count(up, "X-Custom: ")).To(Equal(2))
	for _, hidden := range []string{apiKey, "Authorization", "Content-Type", "X-Hop", "Extra", "other", "Key-Id", "Epoch", "Upstream", "Bamboodeal-Route", "Bamboodeal-Identity"} {
		m.g.Expect(up).NotTo(ContainSubstring(hidden))
	}
	for _, name := range []string{wire.HeaderCallID, wire.HeaderTeam + ": t1", wire.HeaderDeadlineMS, wire.HeaderDepth + ": 0", wire.HeaderRetriesLeft + ": 2"} {
		m.g.Expect(up).To(ContainSubstring(name))
	}
	head := sendRaw(m.g, entry, request("HEAD", "/shop", ""), false)
	m.g.Expect(head.status).To(Equal(201))
	m.g.Expect(head.header).To(ContainSubstring("Content-Length: 5"))
}

// Guards against accepting requests that two HTTP parsers may read differently and keys that are ambiguous or not
// valid. Each case is refused with the expected kind and the outcome "not run", and none may have reached the upstream.
func TestRefusedRequestsDoNotReachUpstream(t *testing.T) {
	var ran atomic.Int64
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(*fasthttp.RequestCtx) { ran.Add(1) }})
	start := "POST /shop HTTP/1.1\r\nHost: m\r\nAuthorization: Bearer " + apiKey + "\r\n"
	cases := map[string]struct {
		request string
		status  int
		kind    wire.ErrorKind
	}{
		"no key":                       {"GET /shop HTTP/1.1\r\nHost: m\r\n\r\n", 401, wire.KindNoKey},
		"unknown key":                  {"GET /shop HTTP/1.1\r\nHost: m\r\nAuthorization: Bearer x\r\n\r\n", 401, wire.KindUnknownKey},
		"withdrawn key":                {"GET /shop HTTP/1.1\r\nHost: m\r\nAuthorization: Bearer withdrawn-" + apiKey + "\r\n\r\n", 403, wire.KindKeyWithdrawn},
		"two keys":                     {request("GET", "/shop", "", "authorization: Bearer x"), 400, wire.KindDuplicateKeyHeader},
		"two equal keys":               {request("GET", "/shop", "", "Authorization: Bearer "+apiKey), 400, wire.KindDuplicateKeyHeader},
		"no route":                     {request("GET", "/none", ""), 404, wire.KindNoRoute},
		"internal route":               {request("GET", "/inner", ""), 404, wire.KindNoRoute},
		"internal route, dots":         {request("GET", "/shop/../inner", ""), 400, wire.KindMalformedRequest},
		"internal route, escaped dots": {request("GET", "/shop/%2e%2e/inner", ""), 400, wire.KindMalformedRequest},
		"absolute target":              {request("GET", "http://u:p@m/shop", ""), 400, wire.KindMalformedRequest},
		"method not allowed":           {request("DELETE", "/shop", ""), 405, wire.KindMethodNotAllowed},
		"unknown method":               {request("BREW", "/shop", ""), 405, wire.KindMethodNotAllowed},
		"length and chunks":            {start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400, wire.KindMalformedRequest},
		"two lengths":                  {start + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef", 400, wire.KindMalformedRequest},
		"two equal lengths":            {start + "Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde", 400, wire.KindMalformedRequest},
		"identity encoding":            {start + "Content-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nab", 400, wire.KindMalformedRequest},
		"oversize":                     {start + "Content-Length: 5000\r\n\r\n", 413, wire.KindBodyTooLarge},
		"oversize for route":           {request("GET", "/shop", strings.Repeat("x", 101)), 413, wire.KindBodyTooLarge},
		"oversize chunk":               {start + "Transfer-Encoding: chunked\r\n\r\n1388\r\n" + strings.Repeat("x", 5000) + "\r\n0\r\n\r\n", 413, wire.KindBodyTooLarge},
		"truncated":                    {start + "Content-Length: 10\r\n\r\nabc", 400, wire.KindBodyTruncated},
		"truncated chunk":              {start + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc", 400, wire.KindBodyTruncated},
		"missing last chunk":           {start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", 400, wire.KindBodyTruncated},
		"two identities":               {request("POST", "/shop", "", "Idempotency-Key: a", "Idempotency-Key: b"), 400, wire.KindMalformedRequest},
		"attempt not a count":          {request("POST", "/shop", "", "Idempotency-Key: a", "Bamboodeal-Attempt: x"), 400, wire.KindMalformedRequest},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			got := sendRaw(g, m.nodes["entry-1"].callerAddress, c.request, true)
			g.Expect(got.kind).To(Equal(string(c.kind)))
			g.Expect(got.status).To(Equal(c.status))
			g.Expect(got.outcome).To(Equal(wire.OutcomeNotRun))
			g.Expect(got.body).To(ContainSubstring(`"ran":"no"`))
			g.Expect(got.body + got.header).NotTo(ContainSubstring(apiKey))
		})
	}
	m.g.Expect(ran.Load()).To(BeZero())
	m.endedMu.Lock()
	defer m.endedMu.Unlock()
	m.g.Expect(strings.Join(m.endedCalls, "\n")).NotTo(ContainSubstring(apiKey))
}

// Guards against a local port that accepts calls without the propagated headers, and against nodes that lose the team,
// the depth, the remaining retries or the remaining time of a chain of calls.
func TestLocalPortRequiresAndPropagatesContext(t *testing.T) {
	var seen atomic.Value
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) { seen.Store(string(ctx.Request.Header.RawHeaders())) }})
	local := m.nodes["entry-1"].localAddress
	bare := sendRaw(m.g, local, "GET /inner HTTP/1.1\r\nHost: m\r\n\r\n", false)
	m.g.Expect(bare.kind).To(Equal(string(wire.KindMalformedRequest)))
	got := sendRaw(m.g, local, "GET /inner HTTP/1.1\r\nHost: m\r\nBamboodeal-Team: t1\r\nBamboodeal-Depth: 3\r\nBamboodeal-Retries-Left: 1\r\nBamboodeal-Deadline-Ms: 500\r\n\r\n", false)
	m.g.Expect(got.status).To(Equal(200))
	m.g.Expect(seen.Load()).To(ContainSubstring("Bamboodeal-Depth: 4\r\n"))
	m.g.Expect(seen.Load()).To(ContainSubstring("Bamboodeal-Retries-Left: 0\r\n"))
	m.g.Expect(seen.Load()).To(MatchRegexp("Bamboodeal-Deadline-Ms: 4[0-9][0-9]\r\n"))
	late := sendRaw(m.g, local, "GET /inner HTTP/1.1\r\nHost: m\r\nBamboodeal-Team: t1\r\nBamboodeal-Deadline-Ms: 0\r\n\r\n", false)
	m.g.Expect(late.kind).To(Equal(string(wire.KindDeadlineExceeded)))
}

// Guards against delivering part of a response as a complete one, and against claiming that the call did or did not
// run.
func TestIncompleteResponseHasUnknownOutcome(t *testing.T) {
	broken := map[string]string{
		"short body":      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart",
		"short chunks":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"no delimiter":    "HTTP/1.1 200 OK\r\n\r\npart",
		"header cut":      "HTTP/1.1 200 OK\r\nContent-Le",
		"nothing":         "",
		"extra bytes":     "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npartHTTP/1.1 200 OK\r\n",
		"protocol switch": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
	}
	for name, answer := range broken {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int64
			m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": func(ctx *fasthttp.RequestCtx) {
				ran.Add(1)
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(answer)) })
			}})
			for _, entry := range []string{"entry-1", "shop-1"} {
				before := ran.Load()
				got := sendRaw(m.g, m.nodes[entry].callerAddress, request("POST", "/shop", "x"), false)
				m.g.Expect(got.outcome).To(Equal(wire.OutcomeUnknown))
				m.g.Expect(got.body).To(ContainSubstring(`"ran":"unknown"`))
				m.g.Expect(got.body).NotTo(ContainSubstring("part"))
				m.g.Expect(ran.Load() - before).To(Equal(int64(1)))
			}
		})
	}
}
