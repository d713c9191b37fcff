package platform

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
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
	c, err := NewSingleAttemptClient("")
	g.Expect(err).NotTo(HaveOccurred())
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
func TestNewSingleAttemptClientRejectsInvalidAddress(t *testing.T) {
	_, err := NewSingleAttemptClient("nonsense")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("dial_address")))
}
