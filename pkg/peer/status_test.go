package peer

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// statusTestDeadline is the deadline of the exchanges in these tests. A response without a valid status code must end them before it.
const statusTestDeadline = 5 * time.Second

// invalidStatuses are first lines whose status is not three digits from 100 to 599.
var invalidStatuses = []string{
	"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 -1 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 +200 OK",
	"HTTP/1.1 +20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 1x0 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 0100 OK",
	"HTTP/1.1 1000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1  OK",
	"HTTP/1.1 OK", "HTTP/1.1 0x1 OK", "HTTP/1.1 1e2 OK", "HTTP/1.0 000", "HTTP/1.1 200\tOK", "HTTP/1.1   000 OK", "\r\nHTTP/1.1 000 OK",
	"HTTP/1.1 \u0662\u0660\u0660 OK",
}

// exchangeWatched sends a POST request on a new connection of the pool. With watched, interim responses are signals.
func exchangeWatched(p *Pool, address string, watched bool) (SendResult, *fasthttp.Response, error) {
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + "/x")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString("body")
	deadline := time.Now().Add(statusTestDeadline)
	c, err := p.Acquire(Target{Address: address}, deadline, false)
	if err != nil {
		return NotSent, resp, err
	}
	watch := (*Watch)(nil)
	if watched {
		watch = &Watch{Caller: connectedCaller{}, SlowOnInterim: true}
	}
	sent, err := c.SendWatched(req, resp, deadline, watch)
	return sent, resp, err
}

// Guards against a response without a valid status code that is taken for a success, because fasthttp reports 200 for the
// code 0, or for an interim response, and against a connection that is used again after one.
func TestResponseWithoutValidStatusIsNoResponse(t *testing.T) {
	for _, line := range invalidStatuses {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"} {
			t.Run(fmt.Sprintf("%q after %.12q", line, before), func(t *testing.T) {
				g := NewWithT(t)
				address := newRawServer(t, func(c net.Conn, _ string) bool {
					_, _ = io.WriteString(c, before+line+"\r\nContent-Length: 6\r\n\r\nsecret")
					return true
				})
				for _, watched := range []bool{false, true} {
					p := NewPool(PoolOptions{Clock: clock.System(), AllowCloseDelimited: true})
					t.Cleanup(p.CloseIdleConnections)
					sent, resp, err := exchangeWatched(p, address, watched)
					g.Expect(err).To(MatchError(response.ErrInvalidStatus))
					g.Expect(sent).To(Equal(NoResponse))
					g.Expect(p.OpenConnections()).To(BeZero())
					g.Expect(resp.Body()).To(BeEmpty())
				}
			})
		}
	}
}

// Guards against an interim response without a valid status code that is skipped, so that the response behind it counts.
func TestInterimResponseWithoutValidStatusIsNoResponse(t *testing.T) {
	for _, line := range invalidStatuses {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			g := NewWithT(t)
			address := newRawServer(t, func(c net.Conn, _ string) bool {
				_, _ = io.WriteString(c, line+"\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecret")
				return true
			})
			for _, watched := range []bool{false, true} {
				p := NewPool(PoolOptions{Clock: clock.System(), AllowCloseDelimited: true})
				t.Cleanup(p.CloseIdleConnections)
				sent, resp, err := exchangeWatched(p, address, watched)
				g.Expect(err).To(MatchError(response.ErrInvalidStatus))
				g.Expect(sent).To(Equal(NoResponse))
				g.Expect(p.OpenConnections()).To(BeZero())
				g.Expect(resp.Body()).To(BeEmpty())
			}
		})
	}
}

// Guards against refusing statuses that are valid: each code from 100 to 599, also without a reason or with unusual spaces and line
// ends that were accepted before, and interim responses with any code but that of a switch of protocols.
func TestValidStatusIsResponse(t *testing.T) {
	lines := map[string]int{
		"HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 200 OK": 200, "HTTP/1.1  201 Made": 201, "\r\n\nHTTP/1.1 404 No": 404,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK": 200, "HTTP/1.1 199 x\r\n\r\nHTTP/1.1 100\r\n\r\nHTTP/1.1 599 x": 599,
	}
	for code := 200; code < 600; code++ {
		lines[fmt.Sprintf("HTTP/1.1 %d text", code)] = code
	}
	var answer atomic.Value
	address := newRawServer(t, func(c net.Conn, _ string) bool {
		for _, b := range []byte(answer.Load().(string)) {
			_, _ = c.Write([]byte{b})
		}
		return true
	})
	g := NewWithT(t)
	p := NewPool(PoolOptions{Clock: clock.System(), AllowCloseDelimited: true})
	t.Cleanup(p.CloseIdleConnections)
	for line, code := range lines {
		answer.Store(line + "\r\nContent-Length: 0\r\nKeep-Alive: timeout=60\r\n\r\n")
		for _, watched := range []bool{false, true} {
			sent, resp, err := exchangeWatched(p, address, watched)
			g.Expect(err).NotTo(HaveOccurred(), "%q", line)
			g.Expect(sent).To(Equal(ResponseReceived))
			g.Expect(resp.StatusCode()).To(Equal(code))
		}
	}
}

// Guards against "not run" after an answer with a malformed head to a request whose body waits to be asked for: the server does not
// follow the protocol of nodes, so whether the request ran is unknown.
func TestAskedServerWithMalformedHeadLeavesOutcomeUnknown(t *testing.T) {
	for line, expected := range map[string]error{
		"HTTP/1.1 000 OK": response.ErrInvalidStatus, "HTTP/1.1 1x0 Continue": response.ErrInvalidStatus, "HTTP/1.1 099 Continue": response.ErrInvalidStatus,
		"HTTP/1.1 100 Continue\r\nA B: c": response.ErrInvalidField, "HTTP/1.1 503 Full\r\nA : b": response.ErrInvalidField,
		"HTTP/1.1 100 Con\x00tinue": response.ErrInvalidHead, "HTTP/1.1 503 Full\r\nContent-Length: 6": response.ErrMalformed,
		strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", response.MaxInterim+2) + "HTTP/1.1 503 Full": ErrInterimResponse,
	} {
		g := NewWithT(t)
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		go func() {
			c, err := l.Accept()
			if err == nil {
				_, _ = c.Read(make([]byte, 1024))
				_, _ = io.WriteString(c, line+"\r\nContent-Length: 6\r\n\r\nsecret")
				_, _ = io.Copy(io.Discard, c)
				_ = c.Close()
			}
		}()
		p := NewPool(PoolOptions{Clock: clock.System()})
		t.Cleanup(p.CloseIdleConnections)
		c, err := p.Acquire(Target{Address: l.Addr().String()}, time.Now().Add(testDeadline), false)
		g.Expect(err).NotTo(HaveOccurred())
		c.SendBodyWhenAsked()
		req, resp := &fasthttp.Request{}, &fasthttp.Response{}
		req.SetRequestURI("http://a/x")
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString("body")
		sent, err := c.Send(req, resp, time.Now().Add(testDeadline), nil)
		g.Expect(err).To(MatchError(expected), line)
		g.Expect(sent).To(Equal(NoResponse), line)
		g.Expect(p.OpenConnections()).To(BeZero())
		_ = l.Close()
	}
}

// Guards against a hello whose answer has a malformed head and is taken for that of a node.
func TestHelloWithMalformedHeadIsNoAnswer(t *testing.T) {
	for start, expected := range map[string]error{
		"HTTP/1.1 000": response.ErrInvalidStatus, "HTTP/1.1 200 OK\r\nA B: c": response.ErrInvalidField, "HTTP/1.1 200 OK\r\nA : b": response.ErrInvalidField,
	} {
		g := NewWithT(t)
		address := newRawServer(t, func(c net.Conn, _ string) bool {
			body := `{"upstream":"u","state":"serving","epoch":"e"}`
			_, _ = fmt.Fprintf(c, "%s\r\nContent-Length: %d\r\n\r\n%s", start, len(body), body)
			return true
		})
		p := NewPool(PoolOptions{Clock: clock.System(), SendHello: true})
		t.Cleanup(p.CloseIdleConnections)
		_, err := p.Acquire(Target{Address: address, Upstream: "u"}, time.Now().Add(testDeadline), false)
		g.Expect(err).To(MatchError(expected), start)
		g.Expect(p.OpenConnections()).To(BeZero())
	}
}
