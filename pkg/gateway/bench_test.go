package gateway_test

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

// client is a caller with one connection, whose calls allocate no memory.
type client struct {
	c    net.Conn
	r    *bufio.Reader
	req  []byte
	resp fasthttp.Response
}

func newClient(g *WithT, address, request string) *client {
	c, err := net.Dial("tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	return &client{c: c, r: bufio.NewReader(c), req: []byte(request)}
}

func (c *client) call() error {
	if _, err := c.c.Write(c.req); err != nil {
		return err
	}
	return c.resp.Read(c.r)
}

func respondOK(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }

// startCallPaths starts a mesh and returns the addresses of three paths to one upstream: directly, through the
// upstream's own node, and through an entry node and the upstream's node.
func startCallPaths(t testing.TB) (g *WithT, addresses map[string]string) {
	straight := startUpstream(t, respondOK)
	m := newTestMesh(t, map[string]fasthttp.RequestHandler{"shop-1": respondOK})
	return m.g, map[string]string{"straight": straight, "one hop": m.nodes["shop-1"].callerAddress, "two hops": m.nodes["entry-1"].callerAddress}
}

// Bounds on the allocations per call of the caller, the nodes and the upstream, which all run in this process. At the
// target size a node handles 83 calls a second as entry node and 83 as controller; the bounds keep its garbage below 1
// MB/s.
const (
	maxAllocsOneHop  = 40
	maxAllocsTwoHops = 60
)

// Guards against a change that makes each call allocate much more memory, which causes garbage collection pauses at the
// target size.
func TestAllocationsPerCall(t *testing.T) {
	g, addresses := startCallPaths(t)
	for name, bound := range map[string]float64{"one hop": maxAllocsOneHop, "two hops": maxAllocsTwoHops} {
		c := newClient(g, addresses[name], request("POST", "/shop", "body"))
		allocs := testing.AllocsPerRun(200, func() { g.Expect(c.call()).To(Succeed()) })
		t.Logf("%s: %.0f allocations", name, allocs)
		g.Expect(allocs).To(BeNumerically("<=", bound), name)
		g.Expect(c.c.Close()).To(Succeed())
	}
}

// BenchmarkCall reports the latency of a call at low load: one caller that pauses 1 ms between calls.
func BenchmarkCall(b *testing.B) {
	g, addresses := startCallPaths(b)
	for _, name := range []string{"straight", "one hop", "two hops"} {
		for _, method := range []string{"GET", "POST"} {
			b.Run(name+" "+method, func(b *testing.B) {
				c := newClient(g, addresses[name], request(method, "/shop", ""))
				defer func() { _ = c.c.Close() }()
				h := hdrhistogram.New(1, int64(time.Second), 3)
				for b.Loop() {
					time.Sleep(time.Millisecond)
					start := time.Now()
					if err := c.call(); err != nil {
						b.Fatal(err)
					}
					_ = h.RecordValue(int64(time.Since(start)))
				}
				b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "p50-us")
				b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "p99-us")
			})
		}
	}
}
