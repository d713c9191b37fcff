package platform_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/platform"
)

func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return "http://" + l.Addr().String()
}

// Guards against a client that repeats failed requests by itself: it would multiply the reads of a source that is
// already overloaded.
func TestClientDoesNotRepeatFailedRequests(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	var accepted atomic.Int32
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_, _ = conn.Read(make([]byte, 4096))
			_ = conn.Close()
		}
	}()
	c, err := platform.NewClient(platform.ClientOptions{Addresses: []string{"http://" + l.Addr().String()}})
	g.Expect(err).NotTo(HaveOccurred())
	_, _, _, err = c.Manifest(context.Background(), 0, 0)
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	g.Expect(accepted.Load()).To(BeEquivalentTo(1))
}

// Guards against a cancelled request that leaves its connection in the pool: its late response would be read as the
// response to the next request.
func TestLateResponseIsNotReadByNextRequest(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	var calls atomic.Int32
	address := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Revision", "7")
		if calls.Add(1) == 1 {
			<-release
			ctx.SetBodyString("late")
			return
		}
		ctx.SetBodyString("own")
	})
	c, err := platform.NewClient(platform.ClientOptions{Addresses: []string{address}, Timeout: 5 * time.Second})
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for calls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, _, _, err = c.Manifest(ctx, 0, 0)
	g.Expect(err).To(MatchError(context.Canceled))
	close(release)
	body, revision, changed, err := c.Manifest(context.Background(), 0, 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("own"))
	g.Expect(revision).To(BeEquivalentTo(7))
	g.Expect(changed).To(BeTrue())
}

// Guards against statuses that map to the wrong error, and against a client that stays with a failing address.
func TestClientMapsStatusesAndChangesAddress(t *testing.T) {
	g := NewWithT(t)
	status := fasthttp.StatusServiceUnavailable
	down := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(status) })
	up := serve(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Revision", "3")
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	})
	c, err := platform.NewClient(platform.ClientOptions{Addresses: []string{down, up}, DialAddress: "127.0.0.1"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Members(context.Background(), 0, 0)
	g.Expect(err).To(MatchError(platform.ErrUnavailable))
	_, revision, changed, err := c.Manifest(context.Background(), 3, time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(revision).To(BeEquivalentTo(3))
	g.Expect(changed).To(BeFalse())
	_, _, _, err = c.Manifest(context.Background(), 4, time.Second)
	g.Expect(err).To(MatchError(platform.ErrStale))
	status = fasthttp.StatusTooManyRequests
	_, err = c.Value(context.Background(), "00")
	g.Expect(err).To(MatchError(platform.ErrReadLimit))
}

// Guards against a value that is returned although its digest is another one.
func TestValueVerifiesDigest(t *testing.T) {
	g := NewWithT(t)
	address := serve(t, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("other") })
	c, err := platform.NewClient(platform.ClientOptions{Addresses: []string{address}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Value(context.Background(), "00")
	g.Expect(err).To(MatchError(platform.ErrMalformed))
}
