package peer

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// sendTo sends a request with the watch to a server that writes the parts one after the other, with a pause before each.
func sendTo(t *testing.T, watch *Watch, pause time.Duration, parts ...string) (SendResult, *fasthttp.Response, error) {
	t.Helper()
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = c.Close() })
		for _, part := range parts {
			time.Sleep(pause)
			if _, err := c.Write([]byte(part)); err != nil {
				return
			}
		}
	}()
	pool := NewPool(PoolOptions{Clock: clock.System()})
	deadline := time.Now().Add(5 * time.Second)
	conn, err := pool.Acquire(Target{Address: l.Addr().String()}, deadline, false)
	g.Expect(err).NotTo(HaveOccurred())
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://a/")
	result, err := conn.SendWatched(req, resp, deadline, watch)
	return result, resp, err
}

const (
	interimResponse = "HTTP/1.1 102 Processing\r\n\r\n"
	finalResponse   = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
)

// Guards against a cancelled attempt that waits on until its deadline.
func TestCancelEndsWait(t *testing.T) {
	g := NewWithT(t)
	watch := &Watch{}
	time.AfterFunc(50*time.Millisecond, watch.Cancel)
	start := time.Now()
	result, _, err := sendTo(t, watch, 0)
	g.Expect(result).To(Equal(NoResponse))
	g.Expect(err).To(MatchError(ErrCallerGone))
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	// A cancellation before the wait has the same effect, and one after it none.
	cancelled := &Watch{}
	cancelled.Cancel()
	_, _, err = sendTo(t, cancelled, 0)
	g.Expect(err).To(MatchError(ErrCallerGone))
	watch.Cancel()
}

// Guards against a slow response of which the sender does not learn, or that is lost when it does.
func TestSlowResponseIsReported(t *testing.T) {
	g := NewWithT(t)
	reports := 0
	watch := &Watch{SlowAt: time.Now().Add(30 * time.Millisecond), OnSlow: func() time.Duration {
		reports++
		return 0
	}}
	result, resp, err := sendTo(t, watch, 300*time.Millisecond, finalResponse)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result).To(Equal(ResponseReceived))
	g.Expect(string(resp.Body())).To(Equal("ok"))
	g.Expect(reports).To(Equal(1))
}

// Guards against interim responses that are taken for the final one, or that keep a request waiting without end.
func TestInterimResponseReportsSlowness(t *testing.T) {
	g := NewWithT(t)
	reports := 0
	watch := &Watch{SlowOnInterim: true, OnSlow: func() time.Duration {
		reports++
		return 0
	}}
	result, resp, err := sendTo(t, watch, 20*time.Millisecond, interimResponse, interimResponse, finalResponse)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result).To(Equal(ResponseReceived))
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
	g.Expect(reports).To(Equal(2))
	endless := make([]string, 0, 2*response.MaxInterim)
	for range 2 * response.MaxInterim {
		endless = append(endless, interimResponse)
	}
	_, _, err = sendTo(t, watch, 0, endless...)
	g.Expect(err).To(MatchError(ErrInterimResponse))
}
