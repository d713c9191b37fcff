package platform

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// A node asks each node of its data centre once at its start; the connections must not stay open for good.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	e, err := NewSingleAttemptClient("")
	g.Expect(err).NotTo(HaveOccurred())
	now := time.Unix(0, 0)
	e.now = func() time.Time { return now }
	address := l.Addr().String()
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://" + address + "/")
	g.Expect(e.Do(context.Background(), address, req, resp, 10*time.Second)).To(Succeed())
	g.Expect(e.idle).To(HaveLen(1))
	now = now.Add(maxIdleAge - time.Second)
	e.CloseExpiredConnections()
	g.Expect(e.idle).To(HaveLen(1))
	now = now.Add(time.Second)
	e.CloseExpiredConnections()
	g.Expect(e.idle).To(BeEmpty())
}

// A wrong source address must be reported at the start, with the setting's name.
func TestNewExchangerNamesAWrongAddress(t *testing.T) {
	_, err := NewSingleAttemptClient("nonsense")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("dial_address")))
}
