package peer

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// testDeadline is the deadline of the exchanges in these tests. None of them is expected to last as long.
const testDeadline = time.Minute

// newRawServer answers each request on each connection with what respond writes, and closes the connection when respond
// returns false.
func newRawServer(t *testing.T, respond func(c net.Conn, path string) bool) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			serving.Go(func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				req := &fasthttp.Request{}
				for req.Read(r) == nil && respond(c, string(req.Header.RequestURI())) {
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		serving.Wait()
	})
	return l.Addr().String()
}

// get sends a request for a path on a connection of the pool.
func get(p *Pool, address, path string) (*fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + path)
	deadline := time.Now().Add(testDeadline)
	c, err := p.Acquire(Target{Address: address}, deadline, false)
	if err != nil {
		return resp, err
	}
	_, err = c.Send(req, resp, deadline, nil)
	return resp, err
}

// writeBody writes a response with the body in one of three framings and reports whether the connection can be used
// again.
func writeBody(c net.Conn, framing string, body []byte) bool {
	head := "HTTP/1.1 200 OK\r\n"
	switch framing {
	case "length":
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head, len(body))
		_, _ = c.Write(body)
		return true
	case "chunks":
		_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		for len(body) > 0 {
			n := min(len(body), 100_003)
			_, _ = fmt.Fprintf(c, "%x;extension=1\r\n", n)
			_, _ = c.Write(body[:n])
			_, _ = c.Write([]byte("\r\n"))
			body = body[n:]
		}
		_, _ = c.Write([]byte("0\r\nSum: 1\r\n\r\n"))
		return true
	}
	_, _ = c.Write([]byte(head + "\r\n"))
	_, _ = c.Write(body)
	return false
}

// Guards against bounds on endless responses that cut off or change large legitimate ones, up to the largest that is
// accepted, and against a larger one that is taken for complete.
func TestLargestBodyArrivesWhole(t *testing.T) {
	body := make([]byte, MaxResponseBytes+1)
	for i := range body {
		body[i] = byte(i * i >> 8)
	}
	address := newRawServer(t, func(c net.Conn, path string) bool {
		size := MaxResponseBytes
		if path[1] == '+' {
			size++
		}
		return writeBody(c, path[2:], body[:size])
	})
	for _, framing := range []string{"length", "chunks", "close"} {
		t.Run(framing, func(t *testing.T) {
			g := NewWithT(t)
			budget := NewBodyBudget(MaxResponseBytes)
			p := NewPool(PoolOptions{Clock: clock.System(), AllowCloseDelimited: true, BodyBudget: budget})
			resp, err := get(p, address, "/="+framing)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(resp.Body(), body[:MaxResponseBytes])).To(BeTrue())
			g.Expect(resp.Header.ContentLength()).To(Or(Equal(-1), Equal(MaxResponseBytes)))
			_, err = get(p, address, "/+"+framing)
			g.Expect(err).To(MatchError(ErrResponseTooLarge))
			g.Expect(budget.Used()).To(BeZero())
			p.CloseIdleConnections()
			g.Expect(p.OpenConnections()).To(BeZero())
		})
	}
}

// Guards against a body that is cut off on the way and taken for complete.
func TestBodyCutShortIsNotComplete(t *testing.T) {
	heads := map[string]string{
		"length":       "Content-Length: 100000\r\n\r\n",
		"chunk":        "Transfer-Encoding: chunked\r\n\r\n20000\r\n",
		"chunk line":   "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n5",
		"chunk end":    "Transfer-Encoding: chunked\r\n\r\n1\r\na",
		"no last line": "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n",
	}
	address := newRawServer(t, func(c net.Conn, path string) bool {
		name := fasthttp.AppendUnquotedArg(nil, []byte(path[1:]))
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n" + heads[string(name)]))
		if string(name) == "length" || string(name) == "chunk" {
			_, _ = c.Write(make([]byte, 99_999))
		}
		return false
	})
	for name := range heads {
		t.Run(name, func(t *testing.T) {
			p := NewPool(PoolOptions{Clock: clock.System(), AllowCloseDelimited: true, BodyBudget: NewBodyBudget(MaxResponseBytes)})
			_, err := get(p, address, "/"+string(fasthttp.AppendQuotedArg(nil, []byte(name))))
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against a node that reads more bytes of responses at once than its memory allows, and against small responses
// that fail because large ones have used up the memory.
func TestBodyBudgetBoundsAllResponses(t *testing.T) {
	g := NewWithT(t)
	const large = 1 << 20
	finish := make(chan struct{})
	budget := NewBodyBudget(large)
	address := newRawServer(t, func(c net.Conn, path string) bool {
		switch path {
		case "/held":
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", large)
			_, _ = c.Write(make([]byte, large-1))
			<-finish
			_, _ = c.Write([]byte{0})
			return true
		case "/small":
			return writeBody(c, "chunks", make([]byte, UncountedBodyBytes))
		}
		return writeBody(c, "chunks", make([]byte, large/2))
	})
	p := NewPool(PoolOptions{Clock: clock.System(), BodyBudget: budget})
	defer p.CloseIdleConnections()
	held := make(chan error, 1)
	go func() {
		_, err := get(p, address, "/held")
		held <- err
	}()
	g.Eventually(budget.Used, testDeadline).Should(BeNumerically(">", large/2))
	_, err := get(p, address, "/half")
	g.Expect(err).To(MatchError(ErrBodyBudgetSpent))
	_, err = get(p, address, "/small")
	g.Expect(err).NotTo(HaveOccurred())
	close(finish)
	g.Eventually(held, testDeadline).Should(Receive(BeNil()))
	_, err = get(p, address, "/half")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(budget.Used()).To(BeZero())
}

// Guards against responses that wait in memory for receivers that do not read them and are not counted, and against a
// body that changes because its buffer is used again before it is written.
func TestBodyIsCountedUntilWritten(t *testing.T) {
	g := NewWithT(t)
	const size = 16 << 20
	budget := NewBodyBudget(size)
	body := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/raw" {
			ctx.Response.SetBodyRaw(body)
		} else {
			ctx.SetBody(body)
		}
		budget.HoldUntilWritten(&ctx.Response)
	}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	for _, path := range []string{"/raw", "/copied"} {
		c, err := net.Dial("tcp4", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(budget.Used, testDeadline).Should(Equal(int64(size - UncountedBodyBytes)))
		resp := &fasthttp.Response{}
		g.Expect(resp.Read(bufio.NewReader(c))).To(Succeed())
		g.Expect(bytes.Equal(resp.Body(), body)).To(BeTrue())
		g.Eventually(budget.Used, testDeadline).Should(BeZero())
		// A receiver that disconnects releases the body as well.
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Eventually(budget.Used, testDeadline).Should(BeNumerically(">", 0))
		g.Expect(c.Close()).To(Succeed())
		g.Eventually(budget.Used, testDeadline).Should(BeZero())
	}
}
