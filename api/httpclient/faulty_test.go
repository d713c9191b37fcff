package httpclient

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/api/response/responsetest"
)

// send sends a request to the address and returns the body of its response.
func send(c *SingleAttemptClient, address string, timeout time.Duration) (string, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + "/")
	err := c.Do(context.Background(), address, req, resp, timeout)
	return string(resp.Body()), err
}

// Guards against a body that is taken from a malformed response, and against a connection that is used again after one.
func TestMalformedResponseIsError(t *testing.T) {
	for _, text := range responsetest.Malformed("leaked") {
		g := NewWithT(t)
		server := responsetest.Serve(t, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
		c := New(Options{MaxBodyBytes: 1 << 20})
		if body, err := send(c, server.Address, time.Second); err == nil {
			t.Errorf("%q was taken for an answer: %q", text, body)
		}
		g.Expect(c.idle).To(BeEmpty(), "%q", text)
		g.Eventually(server.Open.Load, time.Second).Should(BeZero(), "%q", text)
		g.Expect(server.BytesBehind.Load()).To(BeZero())
	}
}

// Guards against a response without end that uses up the memory or keeps its request waiting.
func TestEndlessResponseIsRefused(t *testing.T) {
	const timeout, maxDelay, maxBody = 500 * time.Millisecond, 300 * time.Millisecond, 8 << 20
	for name, endless := range responsetest.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := responsetest.Serve(t, endless.Write)
			started := time.Now()
			peak := responsetest.PeakMemory(func() {
				_, err := send(New(Options{MaxBodyBytes: maxBody}), server.Address, timeout)
				g.Expect(err).To(HaveOccurred())
			})
			g.Expect(time.Since(started)).To(BeNumerically("<", timeout+maxDelay))
			// While its buffer grows, a body takes up to three times its size until the collector has run.
			g.Expect(peak).To(BeNumerically("<", 4*maxBody), "bytes of memory")
			g.Eventually(server.Open.Load, time.Second).Should(BeZero())
		})
	}
}

// Guards against refusing a server that marks the end of a body by closing the connection, as before.
func TestBodyMayEndWithConnection(t *testing.T) {
	g := NewWithT(t)
	server := responsetest.Serve(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}")
		_ = conn.(*net.TCPConn).CloseWrite()
	})
	body, err := send(New(Options{MaxBodyBytes: 1 << 20}), server.Address, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(body).To(Equal("{}"))
}

// Guards against idle connections that stay open although no further request is sent.
func TestIdleConnectionsExpireByThemselves(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	server := responsetest.Serve(t, func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
	c := New(Options{MaxBodyBytes: 1 << 20})
	_, err := send(c, server.Address, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Consistently(server.Open.Load, maxIdleAge/2).Should(Equal(int64(1)))
	g.Eventually(server.Open.Load, 2*maxIdleAge).Should(BeZero())
}

// Guards against a check of only the first response on a connection.
func TestEachResponseOfConnectionIsChecked(t *testing.T) {
	g := NewWithT(t)
	server := responsetest.Serve(t, func(conn net.Conn) {
		for _, head := range []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nA B: c\r\n"} {
			_, _ = io.WriteString(conn, head+"Content-Length: 1\r\n\r\na")
			_, _ = conn.Read(make([]byte, 1<<10))
		}
	})
	c := New(Options{MaxBodyBytes: 1 << 20})
	t.Cleanup(c.CloseIdleConnections)
	for range 2 {
		body, err := send(c, server.Address, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("a"))
	}
	_, err := send(c, server.Address, time.Second)
	g.Expect(err).To(MatchError(response.ErrInvalidField))
}

// Guards against bytes that arrive on an idle connection, like a second copy of a response, and are taken for the next response.
func TestBytesOnIdleConnectionAreNoResponse(t *testing.T) {
	g := NewWithT(t)
	sent := make(chan struct{}, 2)
	server := responsetest.Serve(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown")
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
		sent <- struct{}{}
	})
	c := New(Options{MaxBodyBytes: 1 << 20})
	t.Cleanup(c.CloseIdleConnections)
	for range 2 {
		body, err := send(c, server.Address, time.Second)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("own"))
		<-sent
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(server.BytesBehind.Load()).To(BeZero())
}
