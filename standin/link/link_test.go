package link_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/standin/link"
)

// startEchoServer starts a TCP server that sends back what it receives. It sends the IP of each client to the channel
// sources.
func startEchoServer(t *testing.T) (address string, sources chan string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	sources = make(chan string, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
			sources <- host
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String(), sources
}

// startLink starts a link on a free loopback port.
func startLink(t *testing.T, o link.Options) *link.Link {
	t.Helper()
	o.Address = "127.0.0.1:0"
	l, err := link.Listen(o)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// dialFrom connects to the link from the IP source.
func dialFrom(t *testing.T, l *link.Link, source string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}
	c, err := d.Dial("tcp", l.Address())
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends a text over a connection to an echo server and waits for the response of the same length.
func roundTrip(c net.Conn, text string) error {
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

// Guards against byte counts that mix up sources or directions, and against a link that connects to the target from
// another IP than the client's although KeepSource is set.
func TestByteCountsBySource(t *testing.T) {
	g := NewWithT(t)
	target, sources := startEchoServer(t)
	l := startLink(t, link.Options{Target: target, KeepSource: true})
	g.Expect(roundTrip(dialFrom(t, l, "127.0.0.2"), "12345")).To(Succeed())
	g.Expect(roundTrip(dialFrom(t, l, "127.0.0.3"), "123")).To(Succeed())
	g.Expect([]string{<-sources, <-sources}).To(Equal([]string{"127.0.0.2", "127.0.0.3"}))
	g.Eventually(l.ByteCounts).Should(Equal(map[link.Endpoints]link.ByteCount{
		{Source: "127.0.0.2", Target: target}: {Forward: 5, Backward: 5},
		{Source: "127.0.0.3", Target: target}: {Forward: 3, Backward: 3},
	}))
}

// Guards against ModeCut leaving connections open or accepting new ones, and against an effect that persists after the
// return to ModeNormal.
func TestCutClosesConnections(t *testing.T) {
	g := NewWithT(t)
	target, _ := startEchoServer(t)
	l := startLink(t, link.Options{Target: target})
	c := dialFrom(t, l, "127.0.0.1")
	g.Expect(roundTrip(c, "a")).To(Succeed())
	l.SetMode(link.ModeCut)
	g.Expect(roundTrip(c, "b")).NotTo(Succeed())
	g.Expect(roundTrip(dialFrom(t, l, "127.0.0.1"), "c")).NotTo(Succeed())
	l.SetMode(link.ModeNormal)
	g.Expect(roundTrip(dialFrom(t, l, "127.0.0.1"), "d")).To(Succeed())
}

// Guards against a frozen connection that is closed or relays data again. FreezeOpenConnections must affect only the
// connections that are open, and ModeFrozen also new ones.
func TestFreezeOpenConnections(t *testing.T) {
	g := NewWithT(t)
	target, _ := startEchoServer(t)
	l := startLink(t, link.Options{Target: target})
	c := dialFrom(t, l, "127.0.0.1")
	g.Expect(roundTrip(c, "a")).To(Succeed())
	l.FreezeOpenConnections()
	g.Expect(c.SetDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	g.Expect(roundTrip(c, "b")).To(MatchError(os.ErrDeadlineExceeded))
	g.Expect(roundTrip(dialFrom(t, l, "127.0.0.1"), "c")).To(Succeed())
	l.SetMode(link.ModeFrozen)
	frozen := dialFrom(t, l, "127.0.0.1")
	g.Expect(frozen.SetDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	g.Expect(roundTrip(frozen, "d")).To(MatchError(os.ErrDeadlineExceeded))
}

// Guards against a delay that is not added in both directions.
func TestDelayAppliesToEachDirection(t *testing.T) {
	g := NewWithT(t)
	target, _ := startEchoServer(t)
	bySource := func(source string) time.Duration {
		if source == "127.0.0.2" {
			return 20 * time.Millisecond
		}
		return 0
	}
	for _, o := range []link.Options{{Target: target, DelayUS: 20_000}, {Target: target, DelayBySource: bySource}} {
		c := dialFrom(t, startLink(t, o), "127.0.0.2")
		start := time.Now()
		g.Expect(roundTrip(c, "a")).To(Succeed())
		g.Expect(time.Since(start)).To(BeNumerically(">=", 40*time.Millisecond))
	}
}

// Guards against closing both directions of a connection when the client closes only its write side.
func TestHalfCloseIsRelayed(t *testing.T) {
	g := NewWithT(t)
	target, _ := startEchoServer(t)
	l := startLink(t, link.Options{Target: target, DelayUS: 1000})
	c := dialFrom(t, l, "127.0.0.1")
	_, err := io.WriteString(c, "whole")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
	g.Expect(io.ReadAll(c)).To(BeEquivalentTo("whole"))
}

// Guards against a freeze of one direction that stops the other direction or closes the connection: data must still
// reach the target when only the direction from the target is frozen.
func TestFreezeOneDirection(t *testing.T) {
	for mode, delivered := range map[link.Mode]bool{link.ModeFrozenForward: false, link.ModeFrozenBackward: true} {
		t.Run(string(mode), func(t *testing.T) {
			g := NewWithT(t)
			received := make(chan []byte, 1)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = ln.Close() }()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				b := make([]byte, 1)
				if _, err := io.ReadFull(c, b); err == nil {
					_, _ = c.Write(b)
					received <- b
				}
			}()
			l := startLink(t, link.Options{Target: ln.Addr().String()})
			l.SetMode(mode)
			c, err := net.Dial("tcp", l.Address())
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = c.Close() }()
			_, err = c.Write([]byte("x"))
			g.Expect(err).NotTo(HaveOccurred())
			if delivered {
				g.Eventually(received).Should(Receive())
			} else {
				g.Consistently(received, "100ms").ShouldNot(Receive())
			}
			g.Expect(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			_, err = c.Read(make([]byte, 1))
			g.Expect(err).To(MatchError(os.ErrDeadlineExceeded))
		})
	}
}
