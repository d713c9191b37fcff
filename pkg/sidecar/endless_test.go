package sidecar

import (
	"fmt"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// maxWorkAfterDisconnect is how long an upstream may go on working on an idempotent request after its caller has
// disconnected: the rules of the deployment allow half a second.
const maxWorkAfterDisconnect = 500 * time.Millisecond

// useOnlyUpstream makes the nodes send requests only to the upstream with the given index.
func (m *testMesh) useOnlyUpstream(index int) {
	view := *m.view.Load()
	list := view.UpstreamsByService[testService]
	view.UpstreamsByService = map[string][]*mesh.Upstream{}
	for i, u := range list {
		changed := *u
		changed.Draining = i != index
		view.UpstreamsByService[testService] = append(view.UpstreamsByService[testService], &changed)
	}
	m.view.Store(&view)
}

// dialCaller opens a connection of a caller to a node and sends a request on it.
func (m *testMesh) dialCaller(node int, path, id string, deadline time.Duration) net.Conn {
	m.t.Helper()
	conn, err := net.Dial("tcp4", m.address(node, 0))
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		path, headerNames.RequestID, id, headerNames.APIKey, testKey, headerNames.DeadlineMS, deadline.Milliseconds())
	if err != nil {
		m.t.Fatal(err)
	}
	return conn
}

// writeHead writes the head of a response up to the headers that say how its body ends.
func writeHead(ctx *fasthttp.RequestCtx, framing string) {
	_, _ = fmt.Fprintf(ctx.Conn(), "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n",
		headerNames.RequestID, ctx.Request.Header.Peek(headerNames.RequestID), headerNames.UpstreamStamp, framing)
}

// Guards against upstreams that go on working until the deadline for a caller that disconnected after the first byte of
// the response, whether the rest of the response keeps arriving or not, and also if another node is in between.
func TestCallerDisconnectEndsResponseInProgress(t *testing.T) {
	const deadline = 8 * time.Second
	bodies := map[string]func(ctx *fasthttp.RequestCtx){
		"silent after the head": func(ctx *fasthttp.RequestCtx) {
			_ = ctx.Conn().SetReadDeadline(time.Now().Add(deadline))
			_, _ = ctx.Conn().Read(make([]byte, 1))
		},
		"endless body": func(ctx *fasthttp.RequestCtx) {
			for {
				if _, err := ctx.Conn().Write([]byte("1\r\nx\r\n")); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	}
	for name, writeBody := range bodies {
		for upstream, path := range []string{"own upstream", "upstream of another node"} {
			t.Run(name+", "+path, func(t *testing.T) {
				g := NewWithT(t)
				m := newTestMesh(t, 2, func(r *mesh.Route) { r.Timeout = deadline })
				m.useOnlyUpstream(upstream)
				started, ended := make(chan struct{}), make(chan struct{})
				m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
					writeHead(ctx, "Transfer-Encoding: chunked\r\n")
					close(started)
					writeBody(ctx)
					close(ended)
					_ = ctx.Conn().Close()
				})
				conn := m.dialCaller(0, "/read/1", "gone", deadline)
				g.Eventually(started, deadline).Should(BeClosed())
				// The node has to have read the first byte of the response.
				g.Consistently(ended, 2*callerCheckInterval).ShouldNot(BeClosed())
				g.Expect(conn.Close()).To(Succeed())
				g.Eventually(ended, maxWorkAfterDisconnect).Should(BeClosed())
				g.Eventually(func() int { return m.nodes[upstream].controller.queue.load().Running }, deadline/2).Should(BeZero())
			})
		}
	}
}
