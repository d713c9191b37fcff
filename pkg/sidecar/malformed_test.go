package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// malformedFields are field lines that are not valid: names that are no token or that are followed by a blank, and values
// with control bytes or continuation lines.
var malformedFields = []string{
	"X Link: leaked", "X-Link : leaked", "X-Link\t: leaked", " X-Link: leaked", "\tX-Link: leaked", ": leaked", "X-Link leaked",
	"X\tLink: leaked", "X\x00Link: leaked", "X\x01Link: leaked", "X\x1bLink: leaked", "X\x7fLink: leaked", "X\x80Link: leaked",
	"X(Link): leaked", "X-Link\x00: leaked", "\x01: leaked", "X-Link: leaked\x00", "X-Link: \x01leaked", "X-Link: lea\rked",
	"X-Link: leaked\x7f", "X-Link: a\r\n leaked", "X-Link: a\r\n\tleaked", "Content Length: 1", "Content-Length : 1",
	"Transfer Encoding: chunked", "Transfer-Encoding : chunked", "Connection : close", "Keep Alive: timeout=1",
}

// malformedStarts are beginnings of responses with a valid first line and a malformed field.
var malformedStarts = []string{
	"HTTP/1.1 200 OK\r\nX Link: leaked", "HTTP/1.1 200 OK\r\nX-Link : leaked", "HTTP/1.1 200 OK\r\n X-Link: leaked",
	"HTTP/1.1 200 OK\r\nX-Link: a\r\n leaked", "HTTP/1.1 103 Hints\r\nX Link: leaked\r\n\r\nHTTP/1.1 200 OK",
}

// responsesWithField returns responses that have the given line in the head, in each place, in the head of an interim response, or in
// the trailer section. %ID stands for the headers of a proper response.
func responsesWithField(line string) []string {
	return []string{
		"HTTP/1.1 200 OK\r\n%ID" + line + "\r\nContent-Length: 6\r\n\r\nleaked",
		"HTTP/1.1 200 OK\r\n" + line + "\r\n%IDContent-Length: 6\r\n\r\nleaked",
		"HTTP/1.1 200 OK\r\n%IDContent-Length: 6\r\n" + line + "\r\n\r\nleaked",
		"HTTP/1.1 103 Hints\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n%IDContent-Length: 6\r\n\r\nleaked",
		"HTTP/1.1 200 OK\r\n%IDTransfer-Encoding: chunked\r\n\r\n6\r\nleaked\r\n0\r\n" + line + "\r\n\r\n",
	}
}

// malformedFirstLines are responses with a malformed first line.
var malformedFirstLines = []string{
	"HTTP/1.1 200 O\x00K\r\n%IDContent-Length: 6\r\n\r\nleaked", "HTTP/1.1 200 O\rK\r\n%IDContent-Length: 6\r\n\r\nleaked",
	"HTTP/2.0 200 OK\r\n%IDContent-Length: 6\r\n\r\nleaked", "HTTP/0.9 200 OK\r\n%IDContent-Length: 6\r\n\r\nleaked",
}

// ambiguousEnds are responses whose body ends elsewhere for different parsers.
var ambiguousEnds = []string{
	"HTTP/1.1 200 OK\r\n%IDContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nleaked\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\n%IDTransfer-Encoding: chunked\r\n\r\n6\r\nleaked\r\n0\r\n\r\n",
	"HTTP/1.0 200 OK\r\n%IDTransfer-Encoding: chunked\r\nContent-Length: 6\r\nConnection: keep-alive\r\n\r\nleaked",
}

// malformedResponses returns responses with each malformed field in each place, those with a malformed first line, and those with an
// ambiguous end.
func malformedResponses() []string {
	list := append(slices.Clone(malformedFirstLines), ambiguousEnds...)
	for _, line := range malformedFields {
		list = append(list, responsesWithField(line)...)
	}
	return list
}

// respondRaw answers a request in place of the server with a response in which %ID stands for the headers of a proper one. It
// adds the bytes that then arrive on the connection to bytesBehind.
func respondRaw(ctx *fasthttp.RequestCtx, response string, bytesBehind *atomic.Int64) {
	proper := fmt.Sprintf("%s: %s\r\n%s: s\r\n", headerNames.RequestID, ctx.Request.Header.Peek(headerNames.RequestID), headerNames.UpstreamStamp)
	answer := strings.ReplaceAll(response, "%ID", proper)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, answer)
		n, _ := io.Copy(io.Discard, c)
		bytesBehind.Add(n)
	})
}

// sendOrder sends a request that may run only once to the first node, and returns the bytes that arrive up to the end of the
// answer. The status is 0 if they are no answer.
func (m *testMesh) sendOrder(id string) (status int, got string) {
	m.t.Helper()
	c := m.dial()
	c.sendText(requestText("POST", "/write/1", id, "order", withKey))
	var raw strings.Builder
	resp, err := http.ReadResponse(bufio.NewReader(io.TeeReader(c, &raw)), nil)
	if err != nil {
		return 0, raw.String()
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, raw.String()
	}
	return resp.StatusCode, raw.String()
}

// Guards against a response with a malformed head or trailer section that reaches the caller as a success: a faulty upstream wrote field
// names with blanks and control bytes, and callers got these lines, or a body that was not the upstream's. The order may have run
// and must not run again, and the connection must not carry the next request.
func TestMalformedResponseLeavesOutcomeUnknown(t *testing.T) {
	for name, upstream := range map[string]int{"own upstream": 0, "upstream of another node": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			// The routes are public so that no request waits for a token of its team.
			m := newTestMesh(t, 2, func(r *mesh.Route) { r.Public = true })
			m.useOnlyUpstream(upstream)
			var response atomic.Value
			var bytesBehind atomic.Int64
			m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
				if text := response.Load().(string); text != "" {
					respondRaw(ctx, text, &bytesBehind)
				}
			})
			for i, text := range malformedResponses() {
				response.Store(text)
				before := m.runs()
				status, got := m.sendOrder(fmt.Sprint("faulty", i))
				if status != fasthttp.StatusBadGateway || strings.Contains(got, "leaked") {
					t.Errorf("%q reached the caller as %q", text, got)
				}
				g.Expect(m.runs()-before).To(Equal(int64(1)), "%q", text)
				response.Store("")
				status, got = m.sendOrder(fmt.Sprint("whole", i))
				if n := bytesBehind.Swap(0); n > 0 {
					t.Errorf("%q: %d bytes were sent behind it", text, n)
				} else if status != fasthttp.StatusOK || !strings.HasSuffix(got, "answer of "+m.upstreams[upstream].id) {
					t.Errorf("after %q the next caller got %q", text, got)
				}
				// The next faulty response comes on a connection without a response before it.
				m.nodes[upstream].controller.pool.CloseIdleConnections()
			}
		})
	}
}

// Guards against a malformed response that ends the requests of other callers: those that the same upstream works on, and those that
// come after it.
func TestMalformedResponseLeavesOthersAlone(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, func(r *mesh.Route) { r.Public = true })
	m.useOnlyUpstream(1)
	answer := make(chan struct{})
	allowAnswers := sync.OnceFunc(func() { close(answer) })
	t.Cleanup(allowAnswers)
	var bytesBehind atomic.Int64
	m.upstreams[1].setHandler(func(ctx *fasthttp.RequestCtx) {
		switch id := string(ctx.Request.Header.Peek(headerNames.RequestID)); {
		case strings.HasPrefix(id, "slow"):
			<-answer
		case strings.HasPrefix(id, "faulty"):
			respondRaw(ctx, malformedStarts[len(id)%len(malformedStarts)]+"\r\n%IDContent-Length: 6\r\n\r\nleaked", &bytesBehind)
		}
	})
	slow := make([]*fasthttp.Response, 2)
	var sending sync.WaitGroup
	for entry := range slow {
		sending.Go(func() {
			slow[entry] = m.send(entry, request{method: "POST", path: "/write/1", id: fmt.Sprint("slow", entry)})
		})
	}
	g.Eventually(m.runs, eventTimeout).Should(Equal(int64(len(slow))))
	for i := range 3 * len(malformedStarts) {
		faulty := m.send(i%2, request{method: "POST", path: "/write/1", id: "faulty" + strings.Repeat("x", i)})
		g.Expect(faulty.StatusCode()).To(Equal(fasthttp.StatusBadGateway))
		other := m.send(i%2, request{method: "POST", path: "/write/1", id: fmt.Sprint("other", i)})
		g.Expect(other.StatusCode()).To(Equal(fasthttp.StatusOK))
	}
	allowAnswers()
	sending.Wait()
	for _, resp := range slow {
		g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
		g.Expect(string(resp.Body())).To(Equal("answer of u1"))
	}
	g.Expect(bytesBehind.Load()).To(BeZero())
}

// Guards against trailer fields that callers get as fields of the head, or that the node acts on: a faulty upstream may send its stamp,
// or that it did not run the request, behind the body. They are dropped.
func TestTrailerFieldsAreDropped(t *testing.T) {
	for name, upstream := range map[string]int{"own upstream": 0, "upstream of another node": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 2, func(r *mesh.Route) { r.Public = true })
			m.useOnlyUpstream(upstream)
			fields := fmt.Sprintf("X-Sum: trailed\r\n%s: trailed\r\n%s: trailed\r\nKeep-Alive: timeout=0\r\n", headerNames.UpstreamStamp, headerNames.NotExecuted)
			m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
				var bytesBehind atomic.Int64
				respondRaw(ctx, "HTTP/1.1 200 OK\r\n%IDTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"+fields+"\r\n", &bytesBehind)
			})
			status, got := m.sendOrder("a")
			g.Expect(status).To(Equal(fasthttp.StatusOK))
			g.Expect(got).To(HaveSuffix("\r\n\r\nbody"))
			g.Expect(got).NotTo(Or(ContainSubstring("trailed"), ContainSubstring("X-Sum")))
			g.Expect(m.runs()).To(Equal(int64(1)))
		})
	}
}
