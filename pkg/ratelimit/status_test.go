package ratelimit_test

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/ratelimit"
)

// Guards against tokens that a borrower takes from a response without a valid status code.
func TestLeaseWithoutValidStatusIsError(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.1 042 OK", "HTTP/1.1 600 OK"} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = l.Close() })
			var bytesBehind atomic.Int64
			closed := make(chan struct{})
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(c net.Conn) {
					body := `{"g":[{"l":1,"n":2}]}`
					_, _ = fmt.Fprintf(c, "%s\r\nContent-Length: %d\r\n\r\n%s", line, len(body), body)
					n, _ := io.Copy(io.Discard, c)
					bytesBehind.Add(n)
					close(closed)
				})
			}}
			go func() { _ = server.Serve(l) }()
			transport := ratelimit.NewHTTPTransport(netip.Addr{})
			resp, err := transport.RequestLease(l.Addr().String(), wire.LeaseRequest{})
			g.Expect(err).To(MatchError(response.ErrInvalidStatus))
			g.Expect(resp.Grants).To(BeEmpty())
			g.Eventually(closed).Should(BeClosed())
			g.Expect(bytesBehind.Load()).To(BeZero())
			transport.Close()
		})
	}
}
