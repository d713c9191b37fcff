package sidecar

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

func TestARequestIsServedByTheChosenUpstream(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	resp := m.send(0, request{method: "GET", path: "/read/1", id: "r1", header: map[string]string{
		names.Team: "forged", names.CallerService: "forged",
	}})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
	g.Expect(string(resp.Body())).To(HavePrefix("answer of u"))
	g.Expect(resp.Header.Peek(names.UpstreamStamp)).NotTo(BeEmpty())
	g.Expect(resp.Header.Peek(answerHeader)).To(BeEmpty())
	seen := ""
	for _, u := range m.upstreams {
		seen += strings.Join(u.seen, "")
	}
	// The key never leaves the entry node, and a caller cannot claim a team or a service.
	g.Expect(seen).NotTo(ContainSubstring(testKey))
	g.Expect(seen).NotTo(ContainSubstring("forged"))
	g.Expect(seen).NotTo(ContainSubstring(hopHeader))
	g.Expect(seen).To(ContainSubstring(names.Team + ": red"))
	g.Expect(seen).To(ContainSubstring(names.CallerService + ": " + testService))
	g.Expect(m.logs.String()).NotTo(ContainSubstring(testKey))
}

func TestRequestsThatTheConfigurationDoesNotAllow(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	g.Expect(m.send(0, request{method: "GET", path: "/other", id: "a"}).StatusCode()).To(Equal(fasthttp.StatusNotFound))
	wrong := m.send(0, request{method: "GET", path: "/read/1", id: "b", header: map[string]string{names.APIKey: "wrong"}})
	g.Expect(wrong.StatusCode()).To(Equal(fasthttp.StatusUnauthorized))
	inner := m.send(0, request{method: "GET", path: "/inner/1", id: "c", header: map[string]string{names.APIKey: ""}})
	g.Expect(inner.StatusCode()).To(Equal(fasthttp.StatusOK))
	g.Expect(m.runs()).To(Equal(int64(1)))
}

// A request that an upstream refused without running it goes to another one, also when it may run only once.
func TestARefusedRequestGoesToAnotherUpstream(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	refuse := func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(names.NotExecuted, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	m.upstreams[0].set(refuse)
	resp := m.send(0, request{method: "POST", path: "/write/1", id: "w"})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
	m.upstreams[1].set(refuse)
	resp = m.send(0, request{method: "POST", path: "/write/2", id: "w2"})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusServiceUnavailable))
	g.Expect(resp.Header.Peek(fasthttp.HeaderRetryAfter)).NotTo(BeEmpty())
}

// After its answer was lost, a request may have run: one that may run only once is not sent again.
func TestALostAnswerIsNotARefusal(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	for _, u := range m.upstreams {
		u.set(func(ctx *fasthttp.RequestCtx) { _ = ctx.Conn().Close() })
	}
	resp := m.send(0, request{method: "POST", path: "/write/1", id: "w"})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusBadGateway))
	g.Expect(m.runs()).To(Equal(int64(1)))
}

// A failure that an upstream answered is delivered when the second attempt is refused.
func TestAFailureOfAnUpstreamIsDelivered(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	fail := func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(fasthttp.StatusInternalServerError) }
	for _, u := range m.upstreams {
		u.set(fail)
	}
	resp := m.send(0, request{method: "GET", path: "/read/1", id: "r"})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusInternalServerError))
	g.Expect(resp.Header.Peek(names.UpstreamStamp)).NotTo(BeEmpty())
	g.Expect(m.runs()).To(Equal(int64(2)))
}

// A response that belongs to an earlier request, or bytes after a response, must not reach a caller.
func TestForeignResponsesAreSkipped(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	m.upstreams[0].set(func(ctx *fasthttp.RequestCtx) {
		id := string(ctx.Request.Header.Peek(names.RequestID))
		_, _ = ctx.Conn().Write([]byte("HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 7\r\n\r\nforeign"))
		_, _ = ctx.Conn().Write([]byte("HTTP/1.1 200 OK\r\nId: " + id + "\r\nStamp: s\r\nContent-Length: 3\r\n\r\nown"))
		_, _ = ctx.Conn().Write([]byte("HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 5\r\n\r\nagain"))
		time.Sleep(20 * time.Millisecond)
		_ = ctx.Conn().Close()
	})
	for _, id := range []string{"a", "b"} {
		resp := m.send(0, request{method: "GET", path: "/read/1", id: id})
		g.Expect(string(resp.Body())).To(Equal("own"))
	}
}

// A route's timeout bounds the wait, and a request that was sent then is not reported as refused.
func TestATimeoutIsNotARefusal(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, func(r *mesh.Route) { r.Timeout = 300 * time.Millisecond })
	m.upstreams[0].set(func(*fasthttp.RequestCtx) { time.Sleep(time.Second) })
	start := time.Now()
	resp := m.send(0, request{method: "POST", path: "/write/1", id: "w", deadline: 5 * time.Second})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusGatewayTimeout))
	g.Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond))
}

// A caller that leaves ends the work that may be repeated.
func TestACallerThatLeavesEndsTheWork(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	closed := make(chan struct{}, 2)
	for _, u := range m.upstreams {
		u.set(func(ctx *fasthttp.RequestCtx) {
			deadline := time.Now().Add(2 * time.Second)
			one := make([]byte, 1)
			_ = ctx.Conn().SetReadDeadline(deadline)
			if _, err := ctx.Conn().Read(one); err != nil && time.Now().Before(deadline) {
				closed <- struct{}{}
			}
		})
	}
	client := &fasthttp.HostClient{Addr: m.address(0, 0), MaxIdemponentCallAttempts: 1}
	req, resp := &fasthttp.Request{}, &fasthttp.Response{}
	req.SetRequestURI("http://shop/read/1")
	req.Header.Set(names.APIKey, testKey)
	req.Header.Set(names.RequestID, "gone")
	g.Expect(client.DoTimeout(req, resp, 100*time.Millisecond)).NotTo(Succeed())
	g.Eventually(closed, 600*time.Millisecond).Should(Receive())
}

// A stopping node serves what it takes and answers the rest: requests that come late in the grace were cut with the
// process, although the caller could have used another node.
func TestAStoppingNodeRefusesLateRequestsAndCutsNone(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	slow := func(*fasthttp.RequestCtx) { time.Sleep(1800 * time.Millisecond) }
	m.upstreams[1].set(slow)
	m.upstreams[0].set(slow)
	client := &fasthttp.HostClient{Addr: m.address(0, 0), MaxIdemponentCallAttempts: 1}
	stopped := time.Now()
	m.stops[0]()
	g.Eventually(func() int {
		return int(status(m, 0))
	}, time.Second).Should(Equal(fasthttp.StatusServiceUnavailable))
	early := m.sendOn(client, request{method: "GET", path: "/read/1", id: "early", deadline: 4 * time.Second})
	g.Expect(early.StatusCode()).To(Equal(fasthttp.StatusOK))
	g.Expect(early.ConnectionClose()).To(BeTrue())
	go m.send(0, request{method: "GET", path: "/read/1", id: "long", deadline: 4 * time.Second})
	time.Sleep(time.Until(stopped.Add(stopNotice + 400*time.Millisecond)))
	late := m.send(0, request{method: "GET", path: "/read/1", id: "late", deadline: 4 * time.Second})
	g.Expect(late.StatusCode()).To(Equal(fasthttp.StatusServiceUnavailable))
	g.Expect(late.Header.Peek(fasthttp.HeaderRetryAfter)).NotTo(BeEmpty())
	g.Eventually(m.done[0], 3*time.Second).Should(BeClosed())
	g.Expect(time.Since(stopped)).To(BeNumerically("<", 6*time.Second))
}

func status(m *testMesh, node int) int64 {
	code, _, err := fasthttp.Get(nil, "http://"+m.address(node, 2)+names.ReadinessPath)
	if err != nil {
		return 0
	}
	return int64(code)
}

// An upstream that loses some of its answers serves the others. Each lost answer took it out of use, for longer each
// time, and its load overwhelmed the rest of the service.
func TestAnUpstreamThatLosesSomeAnswersStaysInUse(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, func(r *mesh.Route) { r.MaxAttempts = 1 })
	var count atomic.Int64
	m.upstreams[1].set(func(ctx *fasthttp.RequestCtx) {
		if count.Add(1)%2 == 0 {
			_ = ctx.Conn().Close()
		}
	})
	m.upstreams[0].set(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(names.NotExecuted, "1")
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	})
	m.upstreams[1].checkDelay.Store(int64(100 * time.Millisecond))
	asked := int64(0)
	for i := range 60 {
		resp := m.send(1, request{method: "POST", path: "/write/1", id: fmt.Sprint("w", i)})
		if code := resp.StatusCode(); code != fasthttp.StatusServiceUnavailable {
			asked++
		}
	}
	// Half of the requests that the failing upstream gets are lost; none is refused for it.
	g.Expect(m.upstreams[1].runs.Load()).To(BeNumerically(">=", 30))
	g.Expect(asked).To(BeNumerically(">=", 30))
}

// An upstream runs requests and some answers never come. A call that waits for one until its deadline keeps its
// parent's slot, and then fails it.
func TestAnAnswerThatDoesNotComeIsSoughtElsewhere(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	for i := range 20 {
		m.send(0, request{method: "GET", path: "/inner/1", id: fmt.Sprint("warm", i), header: map[string]string{names.APIKey: ""}})
	}
	var lost atomic.Bool
	for _, u := range m.upstreams {
		u.set(func(*fasthttp.RequestCtx) {
			if !lost.Swap(true) {
				time.Sleep(3 * time.Second)
			}
		})
	}
	start := time.Now()
	resp := m.send(0, request{method: "GET", path: "/inner/1", id: "a", header: map[string]string{names.APIKey: ""}})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	// One that may run only once waits for its own answer.
	m.upstreams[0].set(func(*fasthttp.RequestCtx) { time.Sleep(600 * time.Millisecond) })
	m.upstreams[1].set(func(*fasthttp.RequestCtx) { time.Sleep(600 * time.Millisecond) })
	before := m.runs()
	written := m.send(0, request{method: "POST", path: "/write/1", id: "w"})
	g.Expect(written.StatusCode()).To(Equal(fasthttp.StatusOK), m.logs.String())
	g.Expect(m.runs() - before).To(Equal(int64(1)))
}

// A fault in one request must neither end the process nor claim that the request did not run.
func TestAFaultInOneRequestIsContained(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	ctx := &fasthttp.RequestCtx{}
	m.nodes[0].recovered(func(*fasthttp.RequestCtx) { panic("fault") })(ctx)
	g.Expect(ctx.Response.StatusCode()).To(Equal(fasthttp.StatusBadGateway))
	g.Expect(m.logs.String()).To(ContainSubstring("a request failed inside the node"))
}

// A request that is broken off before its deadline must be followed by another attempt: an answer of the node in its place
// gives up work that the upstream was about to finish.
func TestWithoutBudgetASlowAnswerIsAwaited(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	for i := range 20 {
		m.send(0, request{method: "GET", path: "/inner/1", id: fmt.Sprint("warm", i), header: map[string]string{names.APIKey: ""}})
	}
	for m.nodes[0].budgets.extra(testService, 0) {
	}
	for _, u := range m.upstreams {
		u.set(func(*fasthttp.RequestCtx) { time.Sleep(700 * time.Millisecond) })
	}
	before := m.runs()
	resp := m.send(0, request{method: "GET", path: "/inner/1", id: "a", header: map[string]string{names.APIKey: ""}})
	g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
	g.Expect(m.runs() - before).To(Equal(int64(1)))
}

// In a lasting overload each request asked every upstream in vain, over the links between the data centres.
func TestFullUpstreamsAreAskedByFewRequests(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 4, nil)
	view := *m.view.Load()
	for _, u := range view.UpstreamsByService[testService] {
		u.Slots = 1
	}
	for _, n := range m.nodes {
		n.UpdateView(&view)
	}
	for _, u := range m.upstreams {
		u.set(func(*fasthttp.RequestCtx) { time.Sleep(700 * time.Millisecond) })
	}
	var sending sync.WaitGroup
	for i := range 40 {
		sending.Go(func() { m.send(0, request{method: "GET", path: "/read/1", id: fmt.Sprint("r", i)}) })
		time.Sleep(20 * time.Millisecond)
	}
	sending.Wait()
	refusals := strings.Count(m.logs.String(), `"outcome":"not_run"`) + strings.Count(m.logs.String(), "did not answer a forwarded request")
	g.Expect(refusals).To(BeNumerically("<=", 40), "messages for 40 requests to 4 upstreams")
}
