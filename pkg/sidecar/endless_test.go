package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response/responsetest"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// maxWorkAfterDisconnect is how long an upstream may go on working on an idempotent request after its caller has
// disconnected: the rules of the deployment allow half a second.
const maxWorkAfterDisconnect = 500 * time.Millisecond

// dialCaller opens a connection of a caller to a node and sends a request on it.
func (m *testMesh) dialCaller(node int, path, id string, deadline time.Duration) net.Conn {
	m.t.Helper()
	conn, err := net.Dial("tcp4", m.address(node, 0))
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: shop\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n\r\n",
		path, headerNames.RequestID, id, headerNames.APIKey, testKey, headerNames.DeadlineMS, deadline.Milliseconds())
	if err != nil {
		m.t.Fatal(err)
	}
	return conn
}

// writeHead writes the head of a response up to the headers that say how its body ends.
func writeHead(ctx *fasthttp.RequestCtx, framing string) {
	_, _ = fmt.Fprintf(ctx.Conn(), "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n",
		headerNames.RequestID, ctx.Request.Header.Peek(headerNames.RequestID), headerNames.UpstreamStamp, framing)
}

// Guards against upstreams that go on working until the deadline for a caller that disconnected after the first byte of
// the response, whether the rest of the response keeps arriving or not, and also if another node is in between.
func TestCallerDisconnectEndsResponseInProgress(t *testing.T) {
	const deadline = 8 * time.Second
	bodies := map[string]func(ctx *fasthttp.RequestCtx){
		"silent after the head": func(ctx *fasthttp.RequestCtx) {
			_ = ctx.Conn().SetReadDeadline(time.Now().Add(deadline))
			_, _ = ctx.Conn().Read(make([]byte, 1))
		},
		"endless body": func(ctx *fasthttp.RequestCtx) {
			for {
				if _, err := ctx.Conn().Write([]byte("1\r\nx\r\n")); err != nil {
					return
				}
				time.Sleep(5 * time.Millisecond)
			}
		},
	}
	for name, writeBody := range bodies {
		for upstream, path := range []string{"own upstream", "upstream of another node"} {
			t.Run(name+", "+path, func(t *testing.T) {
				g := NewWithT(t)
				m := newTestMesh(t, 2, func(r *mesh.Route) { r.Timeout = deadline })
				m.useOnlyUpstream(upstream)
				started, ended := make(chan struct{}), make(chan struct{})
				m.upstreams[upstream].setHandler(func(ctx *fasthttp.RequestCtx) {
					writeHead(ctx, "Transfer-Encoding: chunked\r\n")
					close(started)
					writeBody(ctx)
					close(ended)
					_ = ctx.Conn().Close()
				})
				conn := m.dialCaller(0, "/read/1", "gone", deadline)
				g.Eventually(started, deadline).Should(BeClosed())
				// The node has to have read the first byte of the response.
				g.Consistently(ended, 2*callerCheckInterval).ShouldNot(BeClosed())
				g.Expect(conn.Close()).To(Succeed())
				g.Eventually(ended, maxWorkAfterDisconnect).Should(BeClosed())
				g.Eventually(func() int { return m.nodes[upstream].controller.queue.load().Running }, deadline/2).Should(BeZero())
			})
		}
	}
}

const (
	// endlessConnections is the number of endless responses that a node has to bear at once.
	endlessConnections = 50
	// smallestMemory is the memory of the smallest VM in bytes, softMemoryPercent the part of it that the command
	// bamboodeal-sidecar sets as the soft limit of the Go runtime, and collectorPercent its GC percentage.
	smallestMemory    = 184 << 20
	softMemoryPercent = 60
	collectorPercent  = 20
	// maxAnswerDelay is how long after its deadline a request may still be unanswered: the rules of the deployment
	// count answers that come more than half a second late.
	maxAnswerDelay = 500 * time.Millisecond
)

// allowManyRequests lets the upstreams run enough requests for all endless responses and some others.
func (m *testMesh) allowManyRequests() {
	view := *m.view.Load()
	config := *view.Config
	config.Services = map[string]*mesh.Service{}
	for name, s := range view.Config.Services {
		changed := *s
		changed.MaxConnections = 4 * endlessConnections
		config.Services[name] = &changed
	}
	view.Config = &config
	list := view.UpstreamsByService[testService]
	view.UpstreamsByService = map[string][]*mesh.Upstream{}
	for _, u := range list {
		changed := *u
		changed.Slots = 2 * endlessConnections
		view.UpstreamsByService[testService] = append(view.UpstreamsByService[testService], &changed)
	}
	m.view.Store(&view)
	for i, n := range m.nodes {
		own := view
		own.OwnUpstream = view.UpstreamsByService[testService][i]
		n.UpdateView(&own)
	}
}

// endlessResponse is a response that never ends: its first bytes, and then a block of bytes again and again. %ID stands
// for the headers of a proper response.
type endlessResponse struct {
	first, repeated string
	// pause is the time between two blocks.
	pause time.Duration
}

// trickle is the time between two blocks of a slow response. It is much shorter than the deadlines, so that a limit on
// the time between two bytes does not end the response.
const trickle = 5 * time.Millisecond

var (
	megabyte         = strings.Repeat("x", 1<<20)
	endlessResponses = map[string]endlessResponse{
		"status-line":              {first: "HTTP/1.1 200 ", repeated: megabyte},
		"slow-status-line":         {first: "HTTP/1.1 200 ", repeated: "x", pause: trickle},
		"no-response":              {repeated: megabyte},
		"line":                     {first: "HTTP/1.1 200 OK\r\nA: ", repeated: megabyte},
		"slow-line":                {first: "HTTP/1.1 200 OK\r\nA: ", repeated: "x", pause: trickle},
		"headers":                  {first: "HTTP/1.1 200 OK\r\n", repeated: strings.Repeat("A: b\r\n", 1000)},
		"slow-headers":             {first: "HTTP/1.1 200 OK\r\n", repeated: "A: b\r\n", pause: trickle},
		"interim":                  {repeated: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
		"slow-interim":             {repeated: "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", pause: 20 * trickle},
		"slow-other-responses":     {repeated: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx", pause: 20 * trickle},
		"huge-length":              {first: "%IDContent-Length: 1000000000000\r\n\r\n", repeated: megabyte},
		"slow-length":              {first: "%IDContent-Length: 30000000\r\n\r\n", repeated: "x", pause: trickle},
		"until-close":              {first: "%ID\r\n", repeated: megabyte},
		"slow-until-close":         {first: "%ID\r\n", repeated: "x", pause: trickle},
		"chunks":                   {first: "%IDTransfer-Encoding: chunked\r\n\r\n", repeated: "100000\r\n" + megabyte + "\r\n"},
		"slow-chunks":              {first: "%IDTransfer-Encoding: chunked\r\n\r\n", repeated: "1\r\nx\r\n", pause: trickle},
		"huge-chunk":               {first: "%IDTransfer-Encoding: chunked\r\n\r\n1f00000\r\n", repeated: "x", pause: trickle},
		"chunk-extension":          {first: "%IDTransfer-Encoding: chunked\r\n\r\n1;a=", repeated: megabyte},
		"slow-chunk-extension":     {first: "%IDTransfer-Encoding: chunked\r\n\r\n1;a=", repeated: "x", pause: trickle},
		"chunk-extensions":         {first: "%IDTransfer-Encoding: chunked\r\n\r\n", repeated: "1;a=" + megabyte[:1000] + "\r\nx\r\n"},
		"trailer-line":             {first: "%IDTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: ", repeated: megabyte},
		"slow-trailer-line":        {first: "%IDTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: ", repeated: "x", pause: trickle},
		"trailers":                 {first: "%IDTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", repeated: strings.Repeat("A: b\r\n", 1000)},
		"slow-trailers":            {first: "%IDTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", repeated: "A: b\r\n", pause: trickle},
		"failure-until-close":      {first: "HTTP/1.1 500 Fault\r\n\r\n", repeated: megabyte},
		"not-executed-until-close": {first: "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n\r\n", repeated: megabyte},
	}
)

// writeTo writes the response until the connection is closed. proper holds the headers of a proper response.
func (r *endlessResponse) writeTo(c net.Conn, proper string) {
	_, err := c.Write([]byte(strings.ReplaceAll(r.first, "%ID", proper)))
	for block := []byte(r.repeated); err == nil; {
		time.Sleep(r.pause)
		_, err = c.Write(block)
	}
}

// serveEndless makes an upstream give the endless responses that the paths of requests name. open counts those whose
// connection is not closed yet.
func (u *upstreamStub) serveEndless(open *atomic.Int64) {
	u.setHandler(func(ctx *fasthttp.RequestCtx) {
		response, ok := endlessResponses[string(bytes.TrimPrefix(ctx.Path(), []byte("/inner/")))]
		if !ok {
			return
		}
		open.Add(1)
		defer open.Add(-1)
		id := ctx.Request.Header.Peek(headerNames.RequestID)
		response.writeTo(ctx.Conn(), fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", headerNames.RequestID, id, headerNames.UpstreamStamp))
		_ = ctx.Conn().Close()
	})
}

// startFalsePeer adds an upstream to the mesh whose node gives the endless responses, and makes it the only one in use.
func (m *testMesh) startFalsePeer(open *atomic.Int64) {
	m.t.Helper()
	view := *m.view.Load()
	list := view.UpstreamsByService[testService]
	index := len(list)
	ip := fmt.Sprintf("%s.%d", strings.TrimSuffix(list[0].IP, ".1"), index+1)
	view.VMs = append(view.VMs, ip)
	view.UpstreamsByService = map[string][]*mesh.Upstream{testService: append(list[:index:index], &mesh.Upstream{
		ID: "false", Service: testService, Address: ip + ":1", IP: ip, DataCentre: "north", Slots: 2 * endlessConnections,
	})}
	m.view.Store(&view)
	m.useOnlyUpstream(index)
	l, err := net.Listen("tcp4", m.address(index, 1))
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = l.Close() })
	ok := attemptResult{outcome: outcomeRan, reachedUpstream: true}
	resp := &fasthttp.Response{}
	ok.setHeader(resp)
	answer := string(resp.Header.Peek(answerHeader))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				req, r := &fasthttp.Request{}, bufio.NewReader(c)
				for req.Read(r) == nil {
					proper := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: s\r\n%s: %s\r\n", headerNames.UpstreamStamp, answerHeader, answer)
					response, endless := endlessResponses[string(bytes.TrimPrefix(req.URI().Path(), []byte("/inner/")))]
					if !endless {
						_, _ = c.Write([]byte(proper + "Content-Length: 2\r\n\r\nok"))
						continue
					}
					open.Add(1)
					response.writeTo(c, proper)
					open.Add(-1)
					return
				}
			}()
		}
	}()
}

// Guards against responses without end, from the upstream or from something that is not the node that it claims to be,
// that keep their caller waiting beyond its deadline, look complete, say that the request did not run, or keep the
// connection or the slot.
func TestEndlessResponsesFailByTheDeadline(t *testing.T) {
	const deadline = time.Second
	for _, sender := range []string{"upstream", "false peer"} {
		t.Run(sender, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 1, func(r *mesh.Route) { r.MaxAttempts = 1 })
			m.allowManyRequests()
			var open atomic.Int64
			if sender == "upstream" {
				m.upstreams[0].serveEndless(&open)
			} else {
				m.startFalsePeer(&open)
			}
			var waiting sync.WaitGroup
			for name := range endlessResponses {
				waiting.Go(func() {
					started := time.Now()
					resp := m.send(0, withoutKey("/inner/"+name, name, deadline))
					taken := time.Since(started)
					if code := resp.StatusCode(); code != fasthttp.StatusBadGateway && code != fasthttp.StatusGatewayTimeout {
						t.Errorf("%s: status %d", name, code)
					}
					if !bytes.Contains(resp.Body(), []byte("remedy")) {
						t.Errorf("%s: the response does not say what to do: %.100q", name, resp.Body())
					}
					if taken > deadline+maxAnswerDelay {
						t.Errorf("%s: answered after %v with a deadline of %v", name, taken, deadline)
					}
				})
			}
			waiting.Wait()
			// A connection that counts as idle would stay open for peerIdleTimeout at least.
			g.Eventually(open.Load, peerIdleTimeout/2).Should(BeZero(), "endless responses that are still being sent")
			g.Eventually(func() int { return m.nodes[0].controller.queue.load().Running }, deadline).Should(BeZero())
			g.Expect(m.nodes[0].inProgress()).To(BeZero())
			resp := m.send(0, withoutKey("/inner/1", "after", deadline))
			g.Expect(resp.StatusCode()).To(Equal(fasthttp.StatusOK))
		})
	}
}

// withoutKey returns a request on a route without a key, which is not subject to the rate of a team.
func withoutKey(path, id string, deadline time.Duration) request {
	return request{method: "GET", path: path, id: id, deadline: deadline, header: map[string]string{headerNames.APIKey: ""}}
}

// Guards against endless or slow responses that use up the memory of the VM, in their heads, bodies or trailer sections, and against
// other requests that fail meanwhile.
func TestEndlessResponsesLeaveMemoryForOthers(t *testing.T) {
	// Bodies of a medium rate stay below all limits on a single body for the whole deadline.
	block := megabyte[:16<<10]
	bodies := []endlessResponse{
		{first: "%IDContent-Length: 30000000\r\n\r\n", repeated: block, pause: trickle},
		{first: "%IDContent-Length: 30000000\r\n\r\n", repeated: "x", pause: trickle},
		{first: "%ID\r\n", repeated: block, pause: trickle},
		{first: "%IDTransfer-Encoding: chunked\r\n\r\n", repeated: "4000\r\n" + block + "\r\n", pause: trickle},
		{first: "%IDTransfer-Encoding: chunked\r\n\r\n1f00000\r\n", repeated: block, pause: trickle},
	}
	names := []string{
		"status-line", "slow-status-line", "no-response", "line", "slow-line", "headers", "slow-headers", "interim", "slow-interim", "chunk-extension", "slow-chunk-extension", "chunk-extensions",
		"trailer-line", "slow-trailer-line", "trailers", "slow-trailers", "huge-length", "huge-chunk",
	}
	heads := make([]endlessResponse, 0, len(names))
	for _, name := range names {
		heads = append(heads, endlessResponses[name])
	}
	for name, responses := range map[string][]endlessResponse{"bodies": bodies, "heads and trailers": heads} {
		t.Run(name, func(t *testing.T) { testMemoryWithEndless(t, responses) })
	}
}

// testMemoryWithEndless makes an upstream give endless responses, of the given kinds, to many callers at once.
func testMemoryWithEndless(t *testing.T, responses []endlessResponse) {
	const deadline = 3 * time.Second
	g := NewWithT(t)
	m := newTestMesh(t, 1, func(r *mesh.Route) { r.MaxAttempts, r.Timeout = 1, 2*deadline })
	m.allowManyRequests()
	m.upstreams[0].setHandler(func(ctx *fasthttp.RequestCtx) {
		var i int
		if _, err := fmt.Sscanf(string(ctx.Path()), "/inner/endless/%d", &i); err != nil {
			return
		}
		id := ctx.Request.Header.Peek(headerNames.RequestID)
		responses[i%len(responses)].writeTo(ctx.Conn(), fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", headerNames.RequestID, id, headerNames.UpstreamStamp))
		_ = ctx.Conn().Close()
	})
	defer debug.SetGCPercent(debug.SetGCPercent(collectorPercent))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(smallestMemory * softMemoryPercent / 100))
	debug.FreeOSMemory()
	var waiting sync.WaitGroup
	end := time.Now().Add(deadline)
	for i := range endlessConnections {
		waiting.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				resp := m.send(0, withoutKey(fmt.Sprint("/inner/endless/", i), fmt.Sprint("e", i, "-", n), max(time.Until(end), maxAnswerDelay)))
				if code := resp.StatusCode(); code < fasthttp.StatusInternalServerError {
					t.Errorf("endless response %d: status %d", i, code)
				}
				time.Sleep(trickle)
			}
		})
	}
	peak, served := int64(0), 0
	for ; time.Now().Before(end); served++ {
		resp := m.send(0, withoutKey("/inner/1", fmt.Sprint("other", served), 2*deadline))
		if resp.StatusCode() != fasthttp.StatusOK {
			t.Errorf("request %d: status %d, %s", served, resp.StatusCode(), resp.Body())
		}
		peak = max(peak, responsetest.UsedMemory())
		time.Sleep(trickle)
	}
	waiting.Wait()
	t.Logf("%d other requests served, %d MB of memory in use at the peak", served, peak>>20)
	g.Expect(served).To(BeNumerically(">", 0))
	g.Expect(peak).To(BeNumerically("<", smallestMemory), "bytes of memory in use at the peak")
}

// Guards against a health check or a message between nodes that uses up the memory or waits beyond its time limit because of a response
// without end.
func TestEndlessChecksAndMessagesAreBounded(t *testing.T) {
	const messageTimeout, maxCheckMemory, maxMessageMemory = time.Second, 8 << 20, 5 * maxMessageSize
	for name, endless := range responsetest.EndlessResponses() {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 1, nil)
			server := responsetest.Serve(t, endless.Write)
			o := m.nodes[0].o
			o.Settings.UpstreamAddress = server.Address
			h := newHealthChecker(&o, m.nodes[0].controller.pool, m.nodes[0].controller.queue)
			started := time.Now()
			peak := responsetest.PeakMemory(func() { g.Expect(h.check()).To(BeFalse()) })
			g.Expect(time.Since(started)).To(BeNumerically("<", checkTimeout+maxAnswerDelay))
			g.Expect(peak).To(BeNumerically("<", maxCheckMemory), "bytes of memory for a check")
			started = time.Now()
			peak = responsetest.PeakMemory(func() {
				g.Expect(postMessage(m.nodes[0].peerPool, server.Address, storeChangesPath, struct{}{}, &struct{}{}, messageTimeout)).NotTo(Succeed())
			})
			g.Expect(time.Since(started)).To(BeNumerically("<", messageTimeout+maxAnswerDelay))
			g.Expect(peak).To(BeNumerically("<", maxMessageMemory), "bytes of memory for a message")
			g.Eventually(server.Open.Load, time.Second).Should(BeZero())
		})
	}
}

// Guards against an idle connection that stays open while bytes without end arrive on it. Requests and health checks use
// the connection that was used last, and look at no other if that one is in order.
func TestEndlessBytesOnIdleConnectionAreCutOff(t *testing.T) {
	t.Parallel()
	const floodInterval, floodTime = 10 * time.Millisecond, 4 * idleCheckInterval
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	floodedIsIdle, otherIsIdle := make(chan struct{}), make(chan struct{})
	cutOff := make(chan bool, 1)
	m.upstreams[0].setHandler(func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/inner/other" {
			<-floodedIsIdle
			return
		}
		writeHead(ctx, "Content-Length: 2\r\n")
		_, _ = ctx.Conn().Write([]byte("ok"))
		<-otherIsIdle
		for start := time.Now(); time.Since(start) < floodTime; time.Sleep(floodInterval) {
			if _, err := ctx.Conn().Write([]byte("x")); err != nil {
				cutOff <- true
				return
			}
		}
		cutOff <- false
		_ = ctx.Conn().Close()
	})
	var sending sync.WaitGroup
	sending.Go(func() { m.send(0, nestedCall("/inner/other", "other", 5*time.Second)) })
	g.Eventually(m.upstreams[0].runs.Load, 5*time.Second).Should(Equal(int64(1)))
	resp := m.send(0, nestedCall("/inner/flooded", "flooded", 5*time.Second))
	g.Expect(string(resp.Body())).To(Equal("ok"))
	close(floodedIsIdle)
	sending.Wait()
	close(otherIsIdle)
	g.Eventually(cutOff, 2*floodTime).Should(Receive(BeTrue()))
}
