package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// invalidStatuses are first lines of responses that have no valid status code.
var invalidStatuses = []string{
	"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 00 OK", "HTTP/1.1 -1 OK", "HTTP/1.1 +200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 20 OK",
	"HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999", "HTTP/1.1", "HTTP/1.1  OK",
	"HTTP/1.1 103 Hints\r\nLink: leaked\r\n\r\nHTTP/1.1 000 OK", "HTTP/1.1 000 OK\r\nLink: leaked\r\n\r\nHTTP/1.1 200 OK",
	"HTTP/1.1 1x0 OK\r\nLink: leaked\r\n\r\nHTTP/1.1 200 OK",
}

// responseWithStatus returns a response to the request whose first line is given. The rest of it is that of a success.
func responseWithStatus(line, id string) string {
	return fmt.Sprintf("%s\r\n%s: %s\r\n%s: leaked\r\n%s: 1,0,4,400\r\nContent-Length: 6\r\n\r\nleaked",
		line, headerNames.RequestID, id, headerNames.UpstreamStamp, headerNames.UpstreamLoad)
}

// respondWithStatus answers a request in place of the server with the given first line. It adds the bytes that then arrive on the
// connection to bytesBehind.
func respondWithStatus(ctx *fasthttp.RequestCtx, line string, bytesBehind *atomic.Int64) {
	answer := responseWithStatus(line, string(ctx.Request.Header.Peek(headerNames.RequestID)))
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = io.WriteString(c, answer)
		n, _ := io.Copy(io.Discard, c)
		bytesBehind.Add(n)
	})
}

// Guards against a response without a valid status code that reaches the caller as a success: a faulty upstream wrote
// "HTTP/1.1 000", and callers got 200 with its body. The order may have run and must not run again, and the connection must not
// carry the next request.
func TestResponseWithoutValidStatusLeavesOutcomeUnknown(t *testing.T) {
	for name, upstream := range map[string]int{"own upstream": 0, "upstream of another node": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 2, nil)
			m.useOnlyUpstream(upstream)
			var line atomic.Value
			var bytesBehind atomic.Int64
			m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
				if text := line.Load().(string); text != "" {
					respondWithStatus(ctx, text, &bytesBehind)
				}
			})
			for i, text := range invalidStatuses {
				line.Store(text)
				before := m.runs()
				resp := m.send(0, request{method: "POST", path: "/write/1", id: fmt.Sprint("faulty", i)})
				g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusBadGateway), "%q", text)
				g.Expect(resp.String()).NotTo(ContainSubstring("leaked"), "%q", text)
				g.Expect(m.runs()-before).To(Equal(int64(1)), "%q", text)
				line.Store("")
				resp = m.send(0, request{method: "POST", path: "/write/1", id: fmt.Sprint("whole", i)})
				g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK), "%q", text)
				g.Expect(string(resp.Body())).To(Equal("answer of " + m.upstreams[upstream].id))
			}
			g.Expect(bytesBehind.Load()).To(BeZero())
		})
	}
}

// Guards against valid interim responses that are refused together with odd ones.
func TestInterimResponsesOfUpstreamAreSkipped(t *testing.T) {
	for name, upstream := range map[string]int{"own upstream": 0, "upstream of another node": 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 2, nil)
			m.useOnlyUpstream(upstream)
			m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
				for _, line := range []string{"103 Early Hints", "100", "199 Odd but valid"} {
					_, _ = io.WriteString(ctx.Conn(), "HTTP/1.1 "+line+"\r\nLink: leaked\r\n\r\n")
				}
			})
			resp := m.send(0, request{method: "POST", path: "/write/1", id: "hints"})
			g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
			g.Expect(resp.String()).NotTo(ContainSubstring("leaked"))
		})
	}
}

// Guards against an error for a read that another upstream can answer, when the first one gives no valid head.
func TestReadIsRepeatedAfterMalformedHead(t *testing.T) {
	for i, line := range append(invalidStatuses, malformedStarts...) {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 2, nil)
			var runs, bytesBehind atomic.Int64
			for _, u := range m.upstreams {
				u.setHandler(func(ctx *fasthttp.RequestCtx) {
					if runs.Add(1) == 1 {
						respondWithStatus(ctx, line, &bytesBehind)
					}
				})
			}
			resp := m.send(i%2, request{method: "GET", path: "/read/1", id: "read"})
			g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
			g.Expect(string(resp.Body())).To(HavePrefix("answer of "))
			g.Expect(resp.String()).NotTo(ContainSubstring("leaked"))
			g.Expect(runs.Load()).To(Equal(int64(2)))
			g.Expect(bytesBehind.Load()).To(BeZero())
		})
	}
}

// Guards against a hedge that cancels the first attempt for a response without a valid head.
func TestHedgeWithMalformedHeadDoesNotWin(t *testing.T) {
	for _, line := range append([]string{"HTTP/1.1 000 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK"}, malformedStarts...) {
		for entry := range 2 {
			t.Run(fmt.Sprintf("%q, entry %d", line, entry), func(t *testing.T) {
				g := NewWithT(t)
				m := newTestMesh(t, 2, nil)
				m.warmUp()
				var runs, bytesBehind atomic.Int64
				for _, u := range m.upstreams {
					u.setHandler(func(ctx *fasthttp.RequestCtx) {
						if runs.Add(1) > 1 {
							respondWithStatus(ctx, line, &bytesBehind)
							return
						}
						time.Sleep(slowAttempt)
						ctx.SetBodyString("first answer")
					})
				}
				resp := m.send(entry, nestedRequest("slow"))
				g.Expect(runs.Load()).To(Equal(int64(2)), "no hedge was made")
				g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
				g.Expect(string(resp.Body())).To(Equal("first answer"))
				g.Expect(bytesBehind.Load()).To(BeZero())
			})
		}
	}
}

// Guards against a health check that takes the ID and the cold time of an upstream from a response without a valid head.
func TestHealthCheckWithMalformedHeadIsNoAnswer(t *testing.T) {
	for _, line := range append([]string{"HTTP/1.1 000", "HTTP/1.1 0200 OK", "HTTP/1.1 600 OK"}, malformedStarts...) {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = l.Close() })
			var checks, requestsBehind atomic.Int64
			go answerAll(l, &requestsBehind, func(*fasthttp.Request) string {
				checks.Add(1)
				return fmt.Sprintf("%s\r\n%s: ghost\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", line, headerNames.UpstreamID, headerNames.ColdRemainingMS)
			})
			config := testConfig(t, nil)
			log := logrus.New()
			log.SetOutput(io.Discard)
			o := &Options{
				Settings: Settings{Service: testService, UpstreamAddress: l.Addr().String()}, Headers: headerNames, Clock: clock.System(),
				Log: log, View: func() *mesh.View { return &mesh.View{Config: config} }, StoreAge: func() time.Duration { return 0 },
			}
			c := newController(o, newRecorder(clock.System(), log), nil)
			g.Expect(c.health.check()).To(BeFalse())
			g.Expect(c.health.upstreamID()).To(BeEmpty())
			g.Expect(checks.Load()).To(Equal(int64(1)))
			g.Expect(c.pool.OpenConnections()).To(BeZero())
		})
	}
}

// answerAll answers each request on each connection of the listener with the bytes that respond returns. It adds the requests that
// arrive behind such an answer to requestsBehind.
func answerAll(l net.Listener, requestsBehind *atomic.Int64, respond func(req *fasthttp.Request) string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			req := &fasthttp.Request{}
			for n := 0; req.Header.Read(r) == nil; n++ {
				if n > 0 {
					requestsBehind.Add(1)
				}
				if _, err := io.WriteString(conn, respond(req)); err != nil {
					return
				}
			}
		}()
	}
}

// faultyNode replaces a node by a program that answers each request of other nodes with the given first line and the headers and the
// body of a success. It returns the number of requests that arrive on a connection behind such an answer.
func (m *testMesh) faultyNode(index int, line string) (requestsBehind *atomic.Int64) {
	result := attemptResult{outcome: outcomeRan, reachedUpstream: true, load: slots.Load{Slots: 4}}
	resp := &fasthttp.Response{}
	result.setHeader(resp)
	return m.replaceNode(index, line, string(resp.Header.Peek(answerHeader)))
}

// replaceNode does what faultyNode does, with the given value of the header that states the result.
func (m *testMesh) replaceNode(index int, line, answer string) (requestsBehind *atomic.Int64) {
	m.t.Helper()
	m.nodes[index].o.Settings.StopGracePeriod = 0
	m.stops[index]()
	<-m.done[index]
	l, err := net.Listen("tcp4", m.address(index, 1))
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = l.Close() })
	requestsBehind = &atomic.Int64{}
	go answerAll(l, requestsBehind, func(req *fasthttp.Request) string {
		return fmt.Sprintf("%s\r\n%s: %s\r\n%s: %s\r\nContent-Length: 6\r\n\r\nleaked", line,
			headerNames.RequestID, req.Header.Peek(headerNames.RequestID), answerHeader, answer)
	})
	return requestsBehind
}

// Guards against "not run", or a success, for a request of which another node says that it may have run: its answer has a reason that
// this release does not know or that contradicts the outcome, or an unknown outcome.
func TestUnknownOutcomeOfNodeIsNoRefusal(t *testing.T) {
	const rest = ";1;0;0;4;0;0;0;0;0"
	for _, start := range []string{
		"u;overloaded", "u;leaving", "u;team_rate_exceeded", "u;no_route", "u;", "u;of_a_later_release", "x;overloaded", "x;", "u;answer_lost",
	} {
		t.Run(start, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 2, func(r *mesh.Route) { r.Public = true })
			m.replaceNode(1, "HTTP/1.1 200 OK", start+rest)
			m.useOnlyUpstream(1)
			resp := m.send(0, request{method: "GET", path: "/write/1", id: "w"})
			g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusBadGateway))
			g.Expect(resp.String()).NotTo(ContainSubstring("leaked"))
		})
	}
}

// Guards against a response between nodes that has no valid head and reaches the caller, and against a read that fails
// although another upstream can answer it.
func TestNodeWithMalformedHeadLeavesOutcomeUnknown(t *testing.T) {
	statuses := []string{"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK", "HTTP/1.1 1x2 Processing"}
	for _, line := range append(statuses, malformedStarts...) {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			g := NewWithT(t)
			// The routes are public because the faulty node may hold the team's limit.
			m := newTestMesh(t, 3, func(r *mesh.Route) { r.Public = true })
			requestsBehind := m.faultyNode(1, line)
			m.drainFirstUpstream()
			m.nodes[0].recordResult("u2", "r", 1, attemptResult{load: slots.Load{Running: 4, Slots: 4, MeanServiceTime: 50 * time.Millisecond}})
			m.nodes[0].recordResult("u1", "r", 1, attemptResult{load: slots.Load{Slots: 4, MeanServiceTime: 50 * time.Millisecond}})
			resp := m.send(0, request{method: "GET", path: "/read/1", id: "r"})
			g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
			g.Expect(string(resp.Body())).To(Equal("answer of u2"))
			m.useOnlyUpstream(1)
			// The order has a body, for which a node asks before it passes the order on.
			resp = m.send(0, request{method: "POST", path: "/write/1", id: "w"})
			g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusBadGateway))
			g.Expect(resp.String()).NotTo(ContainSubstring("leaked"))
			g.Expect(requestsBehind.Load()).To(BeZero())
		})
	}
}

// Guards against a message from another node that is taken for an answer although it has no valid head.
func TestMessageWithMalformedHeadIsNoAnswer(t *testing.T) {
	for _, line := range append([]string{"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK"}, malformedStarts...) {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = l.Close() })
			var requestsBehind atomic.Int64
			go answerAll(l, &requestsBehind, func(*fasthttp.Request) string {
				return line + "\r\nContent-Length: 7\r\n\r\n" + `{"a":5}`
			})
			pool := peer.NewPool(peer.PoolOptions{Clock: clock.System()})
			var answer map[string]int
			g.Expect(postMessage(pool, l.Addr().String(), storeChangesPath, storeChangesRequest{}, &answer, time.Second)).NotTo(Succeed())
			g.Expect(answer).To(BeEmpty())
			g.Expect(pool.OpenConnections()).To(BeZero())
		})
	}
}
