package sidecar

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// testGracePeriod is the grace period of the nodes of a test mesh.
const testGracePeriod = 6 * time.Second

// stopNode sends the stop signal to a node and returns its time. When the node's Run returns, the connections that the
// node still has are closed, as they are at the end of its process.
func (m *testMesh) stopNode(node int) time.Time {
	m.t.Helper()
	stopped := time.Now()
	m.stops[node]()
	go func() {
		<-m.done[node]
		for _, s := range [...]*trackedServer{m.nodes[node].callers, m.nodes[node].peers} {
			s.conns.mu.Lock()
			for c := range s.conns.conns {
				_ = c.TCPConn.Close()
			}
			s.conns.mu.Unlock()
		}
	}()
	return stopped
}

// expectPhase waits until a node has one caller's connection in the phase.
func (m *testMesh) expectPhase(node int, phase connPhase) {
	m.t.Helper()
	NewWithT(m.t).Eventually(func() int { return m.nodes[node].callers.conns.snapshot()[phase] }, 5*time.Second).Should(Equal(1))
}

// Guards against an answer that is cut because its handler has returned: a stopping node must write the answers whose
// callers read slowly before it closes their connections.
func TestStoppingNodeWritesWholeAnswers(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	m.upstreams[0].setHandler(func(ctx *fasthttp.RequestCtx) { ctx.SetBody(bytes.Repeat([]byte{'x'}, largeAnswerSize)) })
	c := m.dial()
	c.sendText(requestText("GET", "/read/1", "a", "", withKey))
	m.expectPhase(0, phaseWriting)
	stopped := m.stopNode(0)
	time.Sleep(time.Until(stopped.Add(stopNoticePeriod + time.Second)))
	resp, err := c.readAnswer()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.Body()).To(HaveLen(largeAnswerSize))
	g.Eventually(m.done[0], time.Until(stopped.Add(testGracePeriod))).Should(BeClosed())
}

// Guards against a request that is dropped while its body arrives: a stopping node must read the rest and answer that
// the request did not run.
func TestStoppingNodeAnswersRequestWithSlowBody(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	c := m.dial()
	text := requestText("POST", "/write/1", "a", "body", withKey)
	c.sendText(text[:len(text)-1])
	m.expectPhase(0, phaseReading)
	stopped := m.stopNode(0)
	time.Sleep(time.Until(stopped.Add(stopNoticePeriod + time.Second)))
	c.sendText(text[len(text)-1:])
	resp, err := c.readAnswer()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusServiceUnavailable))
	g.Expect(resp.ConnectionClose()).To(BeTrue())
	g.Expect(m.runs()).To(BeZero())
	g.Eventually(m.done[0], time.Until(stopped.Add(testGracePeriod))).Should(BeClosed())
}

// Guards against a request of which only a part arrives: it must be refused before the grace period ends, with a status
// that lets its caller send it elsewhere, whether the head or the body is incomplete.
func TestStoppingNodeRefusesIncompleteRequest(t *testing.T) {
	t.Parallel()
	text := requestText("POST", "/write/1", "a", "body", withKey)
	for name, part := range map[string]string{"head": text[:30], "body": text[:len(text)-1]} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			m := newTestMesh(t, 1, nil)
			c := m.dial()
			c.sendText(part)
			m.expectPhase(0, phaseReading)
			stopped := m.stopNode(0)
			resp, err := c.readAnswer()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusServiceUnavailable))
			g.Expect(resp.Header.Peek(fasthttp.HeaderRetryAfter)).NotTo(BeEmpty())
			g.Expect(resp.ConnectionClose()).To(BeTrue())
			g.Expect(time.Since(stopped)).To(BeNumerically("<", testGracePeriod))
			g.Eventually(m.done[0], time.Until(stopped.Add(testGracePeriod))).Should(BeClosed())
		})
	}
}

// Guards against requests that are read after the node has looked at its connections for the last time: when Run
// returns, no connection may be read any more, neither a kept one nor one that has carried no request yet.
func TestStoppedNodeReadsNoRequests(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	kept, unused := m.dial(), m.dial()
	text := requestText("GET", "/inner/1", "a", "")
	kept.sendText(text)
	_, err := kept.readAnswer()
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(m.nodes[0].callers.conns.snapshot, 5*time.Second).Should(Equal(connCounts{phaseIdle: 2}))
	before := m.runs()
	m.stops[0]()
	g.Eventually(m.done[0], testGracePeriod).Should(BeClosed())
	for _, c := range [...]*callerConn{kept, unused} {
		// The write may fail because the connection is closed, which is what the test expects.
		_, _ = c.Write([]byte(text))
		_, err := c.readAnswer()
		g.Expect(err).To(HaveOccurred())
	}
	g.Expect(m.runs()).To(Equal(before))
	g.Expect(m.nodes[0].callers.conns.snapshot()).To(Equal(connCounts{}))
}
