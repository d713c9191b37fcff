package httpclient

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
)

// Guards against connections that are never closed: when a node starts, it sends one request to each node of its data
// centre, and does not use most of these addresses again.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	c := New(Options{MaxBodyBytes: 1 << 20})
	now := time.Unix(0, 0)
	c.now = func() time.Time { return now }
	address := l.Addr().String()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + "/")
	g.Expect(c.Do(context.Background(), address, req, resp, 10*time.Second)).To(Succeed())
	g.Expect(c.idle).To(HaveLen(1))
	now = now.Add(maxIdleAge - time.Second)
	c.CloseExpiredConnections()
	g.Expect(c.idle).To(HaveLen(1))
	now = now.Add(time.Second)
	c.CloseExpiredConnections()
	g.Expect(c.idle).To(BeEmpty())
}

// Guards against an invalid local address that is reported only by the first request, or without the setting's name.
func TestDialerFromRejectsInvalidAddress(t *testing.T) {
	_, err := DialerFrom("nonsense")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("dial_address")))
}

// Guards against a response without a valid status code that is taken for a success, because fasthttp reports 200 for the code 0, and
// against a connection that is used again after one.
func TestResponseWithoutValidStatusIsError(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK", "HTTP/1.1 103 a\r\n\r\nHTTP/1.1 000"} {
		t.Run(line, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte(line + "\r\nContent-Length: 6\r\n\r\nleaked")) })
			}}
			go func() { _ = server.Serve(l) }()
			c := New(Options{MaxBodyBytes: 1 << 20})
			req, resp := &fasthttp.Request{}, &fasthttp.Response{}
			req.SetRequestURI("http://" + l.Addr().String() + "/")
			g.Expect(c.Do(context.Background(), l.Addr().String(), req, resp, 10*time.Second)).To(MatchError(response.ErrInvalidStatus))
			g.Expect(resp.Body()).To(BeEmpty())
			g.Expect(c.idle).To(BeEmpty())
		})
	}
}
