package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// refusalOf returns the bytes of an upstream's response that it did not run the request with the ID.
func refusalOf(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headerNames.RequestID, id, headerNames.NotExecuted)
}

// Guards against "not run" for a request that an upstream ran or is running, and against running it at a second upstream: a
// faulty upstream writes its refusal of an earlier request once more on a kept connection.
func TestRepeatedRefusalOfEarlierRequestIsSkipped(t *testing.T) {
	for name, upstream := range map[string]int{"own upstream": 0, "upstream of another node": 1} {
		for _, repeats := range []int{1, 3, 5} {
			for _, answers := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %d refusals, answers: %t", name, repeats, answers), func(t *testing.T) {
					g := NewWithT(t)
					m := newTestMesh(t, 2, nil)
					m.useOnlyUpstream(upstream)
					m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
						if string(ctx.Request.Header.Peek(headerNames.RequestID)) == "first" {
							ctx.Response.Header.Set(headerNames.NotExecuted, "1")
							ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
							return
						}
						for range repeats {
							_, _ = io.WriteString(ctx.Conn(), refusalOf("first"))
						}
						time.Sleep(50 * time.Millisecond)
						if !answers {
							_ = ctx.Conn().Close()
						}
					})
					g.Expect(m.send(0, request{method: "POST", path: "/write/1", id: "first"}).StatusCode()).To(Equal(503))
					before := m.runs()
					resp := m.send(0, request{method: "POST", path: "/write/2", id: "second"})
					g.Expect(m.runs()-before).To(Equal(int64(1)), "runs of the second request")
					if answers && repeats <= 3 {
						g.Expect(resp.StatusCode()).To(Equal(200))
						g.Expect(string(resp.Body())).To(Equal("answer of " + m.upstreams[upstream].id))
						return
					}
					g.Expect(resp.StatusCode()).To(BeElementOf(502, 504))
				})
			}
		}
	}
}

// Guards against a refusal that arrives on an idle connection and is taken for the response to the next request, also if it
// names no request.
func TestRefusalOnIdleConnectionIsNotAnAnswer(t *testing.T) {
	for _, id := range []string{"first", ""} {
		t.Run("refusal of "+id, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 1, nil)
			m.upstreams[0].setHandler(func(ctx *fasthttp.RequestCtx) {
				if string(ctx.Request.Header.Peek(headerNames.RequestID)) != "first" {
					return
				}
				conn := ctx.Conn()
				time.AfterFunc(30*time.Millisecond, func() { _, _ = io.WriteString(conn, refusalOf(id)) })
			})
			g.Expect(m.send(0, request{method: "POST", path: "/write/1", id: "first"}).StatusCode()).To(Equal(200))
			time.Sleep(60 * time.Millisecond)
			before := m.runs()
			g.Expect(m.send(0, request{method: "POST", path: "/write/2", id: "second"}).StatusCode()).To(Equal(200))
			g.Expect(m.runs() - before).To(Equal(int64(1)))
		})
	}
}

// Guards against a success with an empty or short body that looks complete: an upstream stops in the middle of the head of its
// response and closes the connection.
func TestResponseThatEndsInItsHeadIsNoSuccess(t *testing.T) {
	for name, upstream := range map[string]int{"own upstream": 0, "upstream of another node": 1} {
		for framing, end := range map[string]string{"length": "Content-Length: 12\r\n\r\n", "chunks": "Transfer-Encoding: chunked\r\n\r\n", "close": "\r\n"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				g := NewWithT(t)
				m := newTestMesh(t, 2, nil)
				m.useOnlyUpstream(upstream)
				head := func(id string) string {
					return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: text/plain\r\n%s", headerNames.RequestID, id, headerNames.UpstreamStamp, end)
				}
				var sent atomic.Int64
				m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
					_, _ = io.WriteString(ctx.Conn(), head(string(ctx.Request.Header.Peek(headerNames.RequestID)))[:sent.Load()])
					_ = ctx.Conn().Close()
				})
				for cut := range len(head("id-000")) {
					sent.Store(int64(cut))
					conn := m.dialCaller(0, "/write/1", fmt.Sprintf("id-%03d", cut), time.Second)
					g.Expect(conn.SetDeadline(time.Now().Add(3 * time.Second))).To(Succeed())
					resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
					if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
						_ = conn.Close()
						continue
					}
					g.Expect(err).NotTo(HaveOccurred(), "head cut after %d bytes", cut)
					g.Expect(resp.StatusCode).To(BeElementOf(502, 504), "head cut after %d bytes", cut)
					_, _ = resp.Body.Close(), conn.Close()
				}
			})
		}
	}
}
