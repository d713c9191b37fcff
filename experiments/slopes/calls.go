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

// Calls of one measurement, at low load: one caller that pauses between calls.
const (
	timedCalls = 800
	callPause  = 2 * time.Millisecond
	// busyCalls follow one another without a pause, for the processor time of one call.
	busyCalls = 4000
)

// caller is one connection that allocates little for a call.
type caller struct {
	conn     net.Conn
	reader   *bufio.Reader
	request  []byte
	response fasthttp.Response
}

var errCall = errors.New("a call was not served")

func dialCaller(address, path, plain string) (*caller, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	request := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: mesh\r\nLoad-Work-Us: 0\r\n", path)
	if plain != "" {
		request += "Authorization: Bearer " + plain + "\r\n"
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn), request: []byte(request + "\r\n")}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

func (c *caller) call() error {
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
		return fmt.Errorf("%w: %d %s", errCall, c.response.StatusCode(), c.response.Body())
	}
	return nil
}

// timed returns the times of calls at low load.
func (c *caller) timed(ctx context.Context) (*hdrhistogram.Histogram, error) {
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

// timeCalls records the time that calls take over the entry node alone, and over the entry node and another one,
// above the median of calls to the upstream itself; and the processor time of a call at each of the two nodes.
func (m *mesh) timeCalls(ctx context.Context, r *Recorder) error {
	// Service 0 has one upstream for up to 16 nodes; node 1 belongs to another service.
	const own, other = 0, 1
	path := "/" + serviceName(0)
	paths := []struct{ name, address, plain string }{
		{"straight", m.address(own, upstreamPort), ""},
		{"one_hop", m.address(own, callerPort), secret(firstDriverKey)},
		{"two_hops", m.address(other, callerPort), secret(firstDriverKey)},
	}
	median := 0.0
	for _, p := range paths {
		c, err := dialCaller(p.address, path, p.plain)
		if err != nil {
			return err
		}
		h, err := c.timed(ctx)
		c.close()
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1e6 }
		if p.plain == "" {
			median = ms(50)
		}
		err = r.addAll(float64(len(m.processes)), []measure{
			{"call_" + p.name + "_p50", "ms", ms(50)},
			{"call_" + p.name + "_p99", "ms", ms(99)},
			{"added_" + p.name + "_p50", "ms", ms(50) - median},
			{"added_" + p.name + "_p99", "ms", ms(99) - median},
		})
		if err != nil {
			return err
		}
	}
	if len(m.processes) > targetServices {
		return nil
	}
	return m.callWork(r, path, own, other)
}

// callWork records the processor time of a call at its entry node and at its controller, where each is one node.
func (m *mesh) callWork(r *Recorder, path string, controller, entry int) error {
	c, err := dialCaller(m.address(entry, callerPort), path, secret(firstDriverKey))
	if err != nil {
		return err
	}
	defer c.close()
	before, err := m.usages()
	if err != nil {
		return err
	}
	calls := 0
	for range busyCalls {
		// A call that waits in vain for the team's tokens is refused; its cost at the entry node is counted.
		err := c.call()
		if errors.Is(err, errCall) {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if err != nil {
			return err
		}
		calls++
	}
	after, err := m.usages()
	if err != nil {
		return err
	}
	micros := func(i int) float64 {
		return (after[i].processor - before[i].processor).Seconds() * 1e6 / float64(max(1, calls))
	}
	return r.addAll(float64(len(m.processes)), []measure{
		{"cpu_call_entry_hop", "us", micros(entry)}, {"cpu_call_controller_hop", "us", micros(controller)},
	})
}
