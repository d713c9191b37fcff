package sidecar

import (
	"bufio"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// maxExcusedDelay is the time after the stop signal from which the rules of the platform do not excuse that a request is broken off.
const maxExcusedDelay = 3 * time.Second

// lateRequest is a request that was sent to a stopping node, with how it ended.
type lateRequest struct {
	id string
	// sentAfter is the time since the stop signal.
	sentAfter time.Duration
	// resp is nil if the connection ended without an answer.
	resp *fasthttp.Response
}

// runLedger counts by ID how often requests ran, and which of them ended at an upstream.
type runLedger struct {
	mu    sync.Mutex
	begun map[string]int
	ended map[string]bool
}

// serve works on a request for as long as its ID says.
func (l *runLedger) serve(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek(headerNames.RequestID))
	var name string
	var workMS int
	if _, err := fmt.Sscanf(id, "%s %d", &name, &workMS); err != nil {
		return
	}
	l.mu.Lock()
	l.begun[id]++
	l.mu.Unlock()
	time.Sleep(time.Duration(workMS) * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[id] = true
}

// sendUntilStopped sends requests to the first node, one each interval on a kept connection as long as the node keeps it, until
// connections are refused.
func (m *testMesh) sendUntilStopped(stopped time.Time, text func(id string) string, name string, workMS int) (sent []lateRequest) {
	const interval = 150 * time.Millisecond
	var requests sync.WaitGroup
	var mu sync.Mutex
	for n := 0; time.Since(stopped) < testGracePeriod; n++ {
		id := fmt.Sprintf("%s-%d %d", name, n, workMS)
		conn, err := (&fasthttp.TCPDialer{}).Dial(m.address(0, 0))
		if err != nil {
			break
		}
		c := &callerConn{Conn: conn, t: m.t, r: bufio.NewReader(conn)}
		after := time.Since(stopped)
		if _, err := c.Write([]byte(text(id))); err != nil {
			_ = conn.Close()
			break
		}
		requests.Go(func() {
			defer func() { _ = conn.Close() }()
			resp, err := c.readAnswer()
			if err != nil {
				resp = nil
			}
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, lateRequest{id, after, resp})
		})
		time.Sleep(interval)
	}
	requests.Wait()
	return sent
}

// Guards against requests that a stopping node takes late in its grace period, passes on, and cuts at the end: each request that was
// passed on gets an answer, "not run" is true, and one that is sent late in the grace period is refused unless it can end by itself.
func TestRequestsLateInGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	m := newTestMesh(t, 2, func(r *mesh.Route) { r.Timeout, r.Objective = 20*time.Second, 10*time.Second })
	runs := &runLedger{begun: map[string]int{}, ended: map[string]bool{}}
	view := *m.view.Load()
	list := make([]*mesh.Upstream, 0, len(m.upstreams))
	for i, u := range view.UpstreamsByService[testService] {
		changed := *u
		changed.Slots = 100
		list = append(list, &changed)
		m.upstreams[i].setHandler(runs.serve)
	}
	view.UpstreamsByService = map[string][]*mesh.Upstream{testService: list}
	m.view.Store(&view)
	for _, n := range m.nodes {
		n.UpdateView(n.o.View())
	}
	stopped := m.stopFirstNode()
	deadline := func(d time.Duration) string { return fmt.Sprint(headerNames.DeadlineMS, ": ", d.Milliseconds()) }
	kinds := map[string]struct {
		text   func(id string) string
		workMS int
	}{
		"order": {func(id string) string {
			return requestText("POST", "/write/1", id, "order", withKey, deadline(9*time.Second))
		}, 2000},
		"long-order": {func(id string) string {
			return requestText("POST", "/write/1", id, "order", withKey, deadline(9*time.Second))
		}, 5000},
		"read":        {func(id string) string { return requestText("GET", "/read/1", id, "", withKey, deadline(9*time.Second)) }, 300},
		"nested":      {func(id string) string { return requestText("GET", "/inner/1", id, "", deadline(time.Second)) }, 300},
		"long-nested": {func(id string) string { return requestText("POST", "/inner/1", id, "call", deadline(4*time.Second)) }, 3000},
	}
	var sending sync.WaitGroup
	var mu sync.Mutex
	var all []lateRequest
	for name, kind := range kinds {
		sending.Go(func() {
			sent := m.sendUntilStopped(stopped, kind.text, name, kind.workMS)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, sent...)
		})
	}
	sending.Wait()
	g.Eventually(m.done[0], time.Until(stopped.Add(testGracePeriod))).Should(BeClosed())
	runs.mu.Lock()
	defer runs.mu.Unlock()
	served, refused, brokenOff := 0, 0, 0
	for _, r := range all {
		begun := runs.begun[r.id]
		switch {
		case r.resp == nil:
			g.Expect(begun).To(BeZero(), "%s, sent after %v, ran and got no answer", r.id, r.sentAfter)
		case r.resp.StatusCode() == fasthttp.StatusOK:
			served++
		case r.resp.StatusCode() == fasthttp.StatusServiceUnavailable:
			refused++
			g.Expect(begun).To(BeZero(), "%s, sent after %v, ran and got \"not run\"", r.id, r.sentAfter)
		default:
			brokenOff++
			g.Expect(r.resp.StatusCode()).To(BeElementOf(fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout), r.id)
			g.Expect(r.sentAfter).To(BeNumerically("<", maxExcusedDelay), "%s was taken and broken off", r.id)
		}
	}
	t.Logf("%d served, %d refused, %d broken off", served, refused, brokenOff)
	g.Expect(served).To(BeNumerically(">", 0))
	g.Expect(refused).To(BeNumerically(">", 0))
	g.Expect(len(all)).To(BeNumerically(">=", 3*len(kinds)))
}
