package slopes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
)

// Calls of one measurement at low load: a single caller pauses before each call.
const (
	timedCalls = 800
	callPause  = 2 * time.Millisecond
	// backToBackCalls is the number of calls without pauses from which the processor time of one call is computed.
	backToBackCalls = 4000
)

// callerConnection is a connection of a caller that sends the same request repeatedly and allocates little per call.
type callerConnection struct {
	conn     net.Conn
	reader   *bufio.Reader
	request  []byte
	response fasthttp.Response
}

var errCallNotServed = errors.New("a call was not served")

// dialCaller connects to address. With an empty secret, requests carry no key.
func dialCaller(address, path, secret string) (*callerConnection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: mesh\r\nLoad-Work-Us: 0\r\n", path)
	if secret != "" {
		request += "Authorization: Bearer " + secret + "\r\n"
	}
	return &callerConnection{conn: conn, reader: bufio.NewReader(conn), request: []byte(request + "\r\n")}, nil
}

func (c *callerConnection) close() { _ = c.conn.Close() }

// call sends the request once. It returns errCallNotServed unless the response has status 200.
func (c *callerConnection) call() error {
	if err := c.conn.SetDeadline(time.Now().Add(2 * time.Second)); err != nil {
		return err
	}
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	if err := c.response.Read(c.reader); err != nil {
		return err
	}
	if c.response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("%w: %d %s", errCallNotServed, c.response.StatusCode(), c.response.Body())
	}
	return nil
}

// measureLatency returns the latencies of calls at low load in nanoseconds.
func (c *callerConnection) measureLatency(ctx context.Context) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, int64(10*time.Second), 3)
	for range timedCalls {
		if err := sleep(ctx, callPause); err != nil {
			return nil, err
		}
		start := time.Now()
		if err := c.call(); err != nil {
			return nil, err
		}
		_ = h.RecordValue(int64(time.Since(start)))
	}
	return h, nil
}

// measureCalls records the latency of calls directly to the upstream, through its own node, and through the node of
// another upstream and then its own. It also records the latency that the nodes add to the median of the direct calls,
// and the processor time of a call at each of the two nodes.
func (m *testMesh) measureCalls(ctx context.Context, r *Recorder) error {
	// In fleets of up to 16 nodes, upstream 0 is the only one of service 0; node 1 belongs to another service.
	const controllerNode, otherNode = 0, 1
	path := "/" + serviceName(0)
	paths := []struct{ name, address, secret string }{
		{"straight", m.address(controllerNode, upstreamPort), ""},
		{"one_hop", m.address(controllerNode, callerPort), keySecret(firstDriverKey)},
		{"two_hops", m.address(otherNode, callerPort), keySecret(firstDriverKey)},
	}
	directMedian := 0.0
	for _, p := range paths {
		c, err := dialCaller(p.address, path, p.secret)
		if err != nil {
			return err
		}
		h, err := c.measureLatency(ctx)
		c.close()
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
		if p.secret == "" {
			directMedian = ms(50)
		}
		err = r.addAll(float64(len(m.processes)), []measurement{
			{"call_" + p.name + "_p50", "ms", ms(50)},
			{"call_" + p.name + "_p99", "ms", ms(99)},
			{"added_" + p.name + "_p50", "ms", ms(50) - directMedian},
			{"added_" + p.name + "_p99", "ms", ms(99) - directMedian},
		})
		if err != nil {
			return err
		}
	}
	if len(m.processes) > targetServices {
		return nil
	}
	return m.measureCallProcessorTime(r, path, controllerNode, otherNode)
}

// measureCallProcessorTime records the processor time of a call at its entry node and at the node of the upstream's
// controller. All calls have to pass through the same two nodes.
func (m *testMesh) measureCallProcessorTime(r *Recorder, path string, controller, entry int) error {
	c, err := dialCaller(m.address(entry, callerPort), path, keySecret(firstDriverKey))
	if err != nil {
		return err
	}
	defer c.close()
	before, err := m.readUsages()
	if err != nil {
		return err
	}
	calls := 0
	for range backToBackCalls {
		// A call that gets no token of its team in time is refused. Refused calls are not counted, but their processor
		// time at the entry node is included.
		err := c.call()
		if errors.Is(err, errCallNotServed) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if err != nil {
			return err
		}
		calls++
	}
	after, err := m.readUsages()
	if err != nil {
		return err
	}
	micros := func(i int) float64 {
		return (after[i].processorTime - before[i].processorTime).Seconds() * 1e6 / float64(max(1, calls))
	}
	return r.addAll(float64(len(m.processes)), []measurement{
		{"cpu_call_entry_hop", "us", micros(entry)}, {"cpu_call_controller_hop", "us", micros(controller)},
	})
}
