package ratelimit_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/distribution"
	"github.com/bamboodeal/bamboodeal/pkg/ratelimit"
)

// serveControlPort serves a control port on loopback and returns its address. The listener reports each connection.
func serveControlPort(t *testing.T, handler fasthttp.RequestHandler) (string, chan *countingConn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener := countingListener{Listener: inner, conns: make(chan *countingConn, 8)}
	server := &fasthttp.Server{Handler: handler}
	distribution.ConfigureServer(server)
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		if err := server.Shutdown(); err != nil {
			t.Error(err)
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return inner.Addr().String(), listener.conns
}

// newStreamTransport returns a transport that is closed before the control port stops.
func newStreamTransport(t *testing.T) *ratelimit.StreamTransport {
	t.Helper()
	transport := ratelimit.NewStreamTransport(netip.Addr{})
	t.Cleanup(transport.Close)
	return transport
}

var oneToken = wire.LeaseRequest{TokenRequests: []wire.TokenRequest{{Team: "team", Tokens: 1, LeaseDurationMS: 300}}}

// Guards against headers or new connections for each lease: at the target size they took more bytes than a node may use
// for control. The simulation in decision/quota/simulation counts the frames alone.
func TestStreamCarriesOnlyFrames(t *testing.T) {
	g := NewWithT(t)
	m := newLimiterGroup()
	m.advance(10*time.Second, allUpstreams...)
	address, conns := serveControlPort(t, m.limiters["u0"].ControlHandler())
	transport := newStreamTransport(t)
	// The request for the stream and its response take less than this, and the headers of 20 exchanges more.
	const maxSetup, exchanges = 250, 20
	var frames int64
	for range exchanges {
		resp, err := transport.RequestLease(address, oneToken)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Grants).To(HaveLen(1))
		asked, _ := oneToken.AppendBinary(nil)
		answered, _ := resp.AppendBinary(nil)
		frames += int64(len(wire.AppendFrame(nil, asked)) + len(wire.AppendFrame(nil, answered)))
	}
	conn := <-conns
	g.Expect(conn.read.Load() + conn.written.Load()).To(BeNumerically("<=", frames+maxSetup))
	g.Expect(conns).To(BeEmpty(), "all requests use one connection")
}

// Guards against a holder whose view is not confirmed and that grants leases, or whose refusal breaks the stream.
func TestStreamCarriesRefusal(t *testing.T) {
	g := NewWithT(t)
	m := newLimiterGroup()
	m.advance(10*time.Second, allUpstreams...)
	address, conns := serveControlPort(t, m.limiters["u0"].ControlHandler())
	transport := newStreamTransport(t)
	m.advance(10 * time.Second)
	_, err := transport.RequestLease(address, oneToken)
	g.Expect(err).To(MatchError(ContainSubstring("not confirmed")))
	m.advance(0, allUpstreams...)
	_, err = transport.RequestLease(address, oneToken)
	g.Expect(err).NotTo(HaveOccurred())
	<-conns
	g.Expect(conns).To(BeEmpty())
}

// Guards against a lease request that is sent again when its holder closes the stream, which would lease twice, and
// against a transport that keeps a broken stream.
func TestBrokenStreamFailsOnce(t *testing.T) {
	g := NewWithT(t)
	var requests atomic.Int32
	address, conns := serveControlPort(t, func(ctx *fasthttp.RequestCtx) {
		ctx.SetStatusCode(fasthttp.StatusSwitchingProtocols)
		ctx.Hijack(func(conn net.Conn) {
			buffer := make([]byte, 256)
			for {
				if _, err := conn.Read(buffer); err != nil {
					return
				}
				if requests.Add(1)%2 == 0 {
					return
				}
				granted, _ := wire.LeaseResponse{Grants: []wire.Grant{{Lease: 1, Tokens: 1}}}.AppendBinary(nil)
				_, _ = conn.Write(wire.AppendFrame(nil, granted))
			}
		})
	})
	transport := newStreamTransport(t)
	for i := range 4 {
		_, err := transport.RequestLease(address, oneToken)
		if i%2 == 0 {
			g.Expect(err).NotTo(HaveOccurred(), "request %d", i)
		} else {
			g.Expect(err).To(HaveOccurred(), "request %d", i)
		}
	}
	g.Expect(requests.Load()).To(BeEquivalentTo(4))
	g.Expect(conns).To(HaveLen(2))
}

// Guards against a mesh in which teams get no tokens while its nodes are upgraded one after the other.
func TestHolderWithoutStreamsIsAskedOverHTTP(t *testing.T) {
	g := NewWithT(t)
	address, _ := serveControlPort(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) != wire.PathQuotaLease {
			ctx.Error("no such path on the control port", fasthttp.StatusNotFound)
			return
		}
		ctx.Response.SetBodyString(`{"g":[{"l":1,"n":2}]}`)
	})
	transport := newStreamTransport(t)
	for range 2 {
		resp, err := transport.RequestLease(address, oneToken)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Grants).To(ConsistOf(wire.Grant{Lease: 1, Tokens: 2}))
	}
}

// Guards against streams that stay open, and goroutines that serve them, after the limiter has stopped.
func TestStoppedLimiterClosesStreams(t *testing.T) {
	g := NewWithT(t)
	m := newLimiterGroup()
	m.advance(10*time.Second, allUpstreams...)
	address, _ := serveControlPort(t, m.limiters["u0"].ControlHandler())
	transport := newStreamTransport(t)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- m.limiters["u0"].Run(ctx) }()
	_, err := transport.RequestLease(address, oneToken)
	g.Expect(err).NotTo(HaveOccurred())
	cancel()
	g.Expect(<-stopped).To(Succeed())
	_, err = transport.RequestLease(address, oneToken)
	g.Expect(err).To(HaveOccurred())
}
