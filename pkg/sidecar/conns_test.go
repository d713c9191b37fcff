package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

const (
	// largeAnswerSize in bytes is more than the socket buffers of a connection hold, so that an answer of this size is
	// written completely only after its caller has read most of it.
	largeAnswerSize = 24 << 20
	// callerReadBuffer is the size in bytes of the receive buffer of a callerConn. Without a fixed size, the system
	// enlarges it until it holds a large answer.
	callerReadBuffer = 64 << 10
)

// callerConn is a connection of a caller whose bytes a test sends and reads by hand.
type callerConn struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

// dial opens a caller's connection to the first node.
func (m *testMesh) dial() *callerConn {
	m.t.Helper()
	conn, err := net.Dial("tcp4", m.address(0, 0))
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.(*net.TCPConn).SetReadBuffer(callerReadBuffer); err != nil {
		m.t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		m.t.Fatal(err)
	}
	return &callerConn{conn, m.t, bufio.NewReader(conn)}
}

func (c *callerConn) sendText(text string) {
	c.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.t.Fatal(err)
	}
}

// readAnswer reads the next answer. It returns an error if the connection ends before the answer is complete.
func (c *callerConn) readAnswer() (*fasthttp.Response, error) {
	resp := &fasthttp.Response{}
	return resp, resp.Read(c.r)
}

// requestText returns the bytes of a request of a caller with further header lines.
func requestText(method, path, id, body string, headerLines ...string) string {
	lines := append([]string{
		method + " " + path + " HTTP/1.1", "Host: shop", headerNames.RequestID + ": " + id, fmt.Sprint("Content-Length: ", len(body)),
	}, headerLines...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

// withKey is the header line with the caller's key.
const withKey = "Key: " + testKey

// Guards against requests that no counter shows while they are read or while their answer is written: a stopping node
// that looks only at its handlers takes their connections for idle ones.
func TestConnectionPhasesAreCounted(t *testing.T) {
	g := NewWithT(t)
	// A machine under load may take seconds for a step; no request may reach its timeout meanwhile.
	m := newTestMesh(t, 1, func(r *mesh.Route) { r.Timeout = time.Minute })
	respond := map[string]chan struct{}{"a": make(chan struct{}), "b": make(chan struct{})}
	m.upstreams[0].setHandler(func(ctx *fasthttp.RequestCtx) {
		select {
		case <-respond[string(ctx.Request.Header.Peek(headerNames.RequestID))]:
		case <-t.Context().Done():
			// The test has ended, perhaps by a failure.
		}
		ctx.SetBody(bytes.Repeat([]byte{'x'}, largeAnswerSize))
	})
	counts := func() connCounts { return m.nodes[0].callers.conns.snapshot() }
	c := m.dial()
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{phaseIdle: 1}))
	// The second request arrives together with the end of the first one.
	first, second := requestText("GET", "/read/1", "a", "", withKey), requestText("GET", "/read/1", "b", "", withKey)
	c.sendText(first[:20])
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{phaseReading: 1}))
	c.sendText(first[20:] + second)
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{phaseHandling: 1}))
	close(respond["a"])
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{phaseWriting: 1}))
	_, err := c.readAnswer()
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{phaseHandling: 1}))
	close(respond["b"])
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{phaseWriting: 1}))
	_, err = io.CopyN(io.Discard, c.r, largeAnswerSize)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{phaseIdle: 1}))
	g.Expect(c.Close()).To(Succeed())
	g.Eventually(counts, 5*time.Second).Should(Equal(connCounts{}))
}
