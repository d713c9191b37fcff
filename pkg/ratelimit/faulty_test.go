package ratelimit_test

import (
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/response/responsetest"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/ratelimit"
)

const (
	// maxLeaseTime is the time after which a borrower gives a request up, with a margin for a busy machine.
	maxLeaseTime = 300*time.Millisecond + 300*time.Millisecond
	// maxLeaseMemory is the memory in bytes that one request may take.
	maxLeaseMemory = 8 << 20
)

// Guards against tokens that a borrower takes from a malformed response.
func TestMalformedLeaseIsError(t *testing.T) {
	for _, text := range responsetest.Malformed(`{"g":[{"l":1,"n":2}]}`) {
		server := responsetest.Serve(t, func(conn net.Conn) { _, _ = io.WriteString(conn, text) })
		transport := ratelimit.NewHTTPTransport(netip.Addr{})
		if resp, err := transport.RequestLease(server.Address, wire.LeaseRequest{}); err == nil {
			t.Errorf("%q was taken for an answer: %v", text, resp)
		}
		transport.Close()
	}
}

// Guards against a lease stream that begins with a malformed head: what answers there is no holder, so it must not be asked in another
// way either.
func TestMalformedHeadOpensNoStream(t *testing.T) {
	granted, err := wire.LeaseResponse{Grants: []wire.Grant{{Lease: 1, Tokens: 1}}}.AppendBinary(nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, head := range []string{"HTTP/1.1 000", "HTTP/1.1 101 Sw\x00itch", "HTTP/1.1 101 Switch\r\nX Y: z", "HTTP/1.1 101 Switch\r\nX : y", "HTTP/1.1 101 Switch\r\n X: y"} {
		g := NewWithT(t)
		connections := 0
		server := responsetest.Serve(t, func(conn net.Conn) {
			connections++
			_, _ = io.WriteString(conn, head+"\r\nConnection: Upgrade\r\nUpgrade: "+wire.LeaseStreamProtocol+"\r\n\r\n"+string(wire.AppendFrame(nil, granted)))
		})
		transport := ratelimit.NewStreamTransport(netip.Addr{})
		resp, err := transport.RequestLease(server.Address, oneToken)
		transport.Close()
		g.Expect(err).To(HaveOccurred(), head)
		g.Expect(resp.Grants).To(BeEmpty(), head)
		g.Eventually(server.Open.Load, time.Second).Should(BeZero(), head)
		g.Expect(connections).To(Equal(1), head)
		g.Expect(server.BytesBehind.Load()).To(BeZero(), head)
	}
}

// Guards against a holder that uses up the borrower's memory or keeps it waiting with a response or frames that do not end.
func TestEndlessLeaseIsRefused(t *testing.T) {
	faults := responsetest.EndlessResponses()
	upgraded := "HTTP/1.1 101 Switch\r\nConnection: Upgrade\r\nUpgrade: " + wire.LeaseStreamProtocol + "\r\n\r\n"
	faults["frame size"] = responsetest.Endless{First: upgraded, Repeated: strings.Repeat("\xff", 1<<20)}
	faults["large frame"] = responsetest.Endless{First: upgraded + "\xff\xff\xff\xff\x0f", Repeated: strings.Repeat(" ", 1<<20)}
	for name, endless := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			server := responsetest.Serve(t, endless.Write)
			for _, transport := range []interface {
				RequestLease(address string, req wire.LeaseRequest) (wire.LeaseResponse, error)
				Close()
			}{ratelimit.NewHTTPTransport(netip.Addr{}), ratelimit.NewStreamTransport(netip.Addr{})} {
				started := time.Now()
				peak := responsetest.PeakMemory(func() {
					_, err := transport.RequestLease(server.Address, oneToken)
					g.Expect(err).To(HaveOccurred())
				})
				g.Expect(time.Since(started)).To(BeNumerically("<", 2*maxLeaseTime))
				g.Expect(peak).To(BeNumerically("<", maxLeaseMemory), "bytes of memory")
				transport.Close()
			}
			g.Eventually(server.Open.Load, time.Second).Should(BeZero())
		})
	}
}
