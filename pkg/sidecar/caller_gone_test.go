package sidecar

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// eventTimeout bounds the wait for an event of the test itself, which also comes on a loaded machine.
const eventTimeout = 20 * time.Second

// allowMuchTime keeps a request from ending for lack of time on a loaded machine.
func allowMuchTime(r *mesh.Route) { r.Timeout, r.Objective = 2*eventTimeout, 2*eventTimeout }

// lateServer serves the callers of a node like the node's own server, but calls before with each request that was read,
// before the node handles it.
type lateServer struct {
	address string
	// handled receives a value when the node has handled a request.
	handled chan struct{}
}

func newLateServer(t *testing.T, n *Node, before func(caller peer.Caller)) *lateServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &lateServer{address: l.Addr().String(), handled: make(chan struct{}, 1)}
	server := n.newServer(func(ctx *fasthttp.RequestCtx) {
		before(peer.NewCaller(ctx.Conn()))
		n.handle(ctx)
		s.handled <- struct{}{}
	}, callerIdleTimeout)
	go func() {
		if err := server.Serve(l); err != nil {
			t.Errorf("the late server failed: %v", err)
		}
	}()
	t.Cleanup(func() {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.ShutdownWithContext(ended)
	})
	return s
}

// send sends a whole request on a new connection and returns the connection.
func (s *lateServer) send(t *testing.T, method, path, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", s.address)
	if err != nil {
		t.Fatal(err)
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop\r\n%s: %s\r\n%s: %s\r\n", method, path, headerNames.RequestID, id, headerNames.APIKey, testKey)
	if method == fasthttp.MethodPost {
		head += "Content-Length: 4\r\n\r\nbody"
	} else {
		head += "\r\n"
	}
	if _, err := conn.Write([]byte(head)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// awaitDisconnect waits until the caller has left. It may be called from any goroutine.
func awaitDisconnect(t *testing.T, caller peer.Caller) {
	t.Helper()
	const pollInterval = time.Millisecond
	for start := time.Now(); caller.Connected(); time.Sleep(pollInterval) {
		if time.Since(start) > eventTimeout {
			t.Error("the caller closed its connection, and the node's side is still connected")
			return
		}
	}
}

// Guards against sending on a request whose caller left while the request lay unread at a node that was late.
func TestRequestOfCallerThatLeftIsNotSent(t *testing.T) {
	for name, upstream := range map[string]int{"own upstream": 0, "upstream of another node": 1} {
		for _, method := range []string{fasthttp.MethodGet, fasthttp.MethodPost} {
			t.Run(name+", "+method, func(t *testing.T) {
				g := NewWithT(t)
				m := newTestMesh(t, 2, allowMuchTime)
				m.useOnlyUpstream(upstream)
				s := newLateServer(t, m.nodes[0], func(caller peer.Caller) { awaitDisconnect(t, caller) })
				path := map[string]string{fasthttp.MethodGet: "/read/1", fasthttp.MethodPost: "/write/1"}[method]
				g.Expect(s.send(t, method, path, "gone").Close()).To(Succeed())
				g.Eventually(s.handled, eventTimeout).Should(Receive())
				g.Expect(m.runs()).To(BeZero(), m.logs.String())
				// The node beside the upstream writes this line about each request that it does not run.
				g.Expect(m.logs.String()).NotTo(ContainSubstring("did not answer a forwarded request"))
				g.Expect(m.logs.String()).To(ContainSubstring(`"sends":0`))
				g.Expect(m.logs.String()).To(ContainSubstring(`"outcome":"caller_gone"`))
			})
		}
	}
}

// Guards against asking another upstream for a request whose caller left while the first one refused it.
func TestRefusedRequestOfCallerThatLeftIsNotSentAgain(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, allowMuchTime)
	var caller atomic.Value
	s := newLateServer(t, m.nodes[0], func(c peer.Caller) { caller.Store(c) })
	sent := make(chan net.Conn, 1)
	for _, u := range m.upstreams {
		u.setHandler(func(ctx *fasthttp.RequestCtx) {
			if conn, first := <-sent; first {
				_ = conn.Close()
			}
			awaitDisconnect(t, caller.Load().(peer.Caller))
			ctx.Response.Header.Set(headerNames.NotExecuted, "1")
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		})
	}
	sent <- s.send(t, fasthttp.MethodPost, "/write/1", "gone")
	close(sent)
	g.Eventually(s.handled, eventTimeout).Should(Receive())
	g.Expect(m.runs()).To(Equal(int64(1)), m.logs.String())
	g.Expect(strings.Count(m.logs.String(), `"outcome":"caller_gone"`)).To(Equal(1), m.logs.String())
}
