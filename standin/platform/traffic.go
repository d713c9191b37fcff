package platform

import (
	"net"
	"sync"
)

// ClientCounters is what one remote IP has read.
type ClientCounters struct {
	// Reads is the number of requests that were within the allowance.
	Reads uint64 `json:"reads"`
	// RefusedReads is the number of requests answered 429.
	RefusedReads uint64 `json:"refused"`
	// BytesIn and BytesOut are TCP payload bytes, received and sent by the service.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// traffic counts by remote IP and knows the open connections.
type traffic struct {
	mu   sync.Mutex
	byIP map[string]*ClientCounters
	open map[net.Conn]struct{}
}

func newTraffic() *traffic {
	return &traffic{byIP: map[string]*ClientCounters{}, open: map[net.Conn]struct{}{}}
}

func (t *traffic) add(ip string, change func(*ClientCounters)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.byIP[ip]
	if c == nil {
		c = &ClientCounters{}
		t.byIP[ip] = c
	}
	change(c)
}

func (t *traffic) snapshot() map[string]ClientCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]ClientCounters, len(t.byIP))
	for ip, c := range t.byIP {
		out[ip] = *c
	}
	return out
}

func (t *traffic) closeAll() {
	t.mu.Lock()
	conns := make([]net.Conn, 0, len(t.open))
	for c := range t.open {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (t *traffic) wrap(ln net.Listener) net.Listener {
	return &countedListener{Listener: ln, traffic: t}
}

type countedListener struct {
	net.Listener
	traffic *traffic
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: c, traffic: l.traffic, ip: hostOf(c.RemoteAddr())}
	l.traffic.mu.Lock()
	l.traffic.open[counted] = struct{}{}
	l.traffic.mu.Unlock()
	return counted, nil
}

type countedConn struct {
	net.Conn
	traffic *traffic
	ip      string
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.add(c.ip, func(counter *ClientCounters) { counter.BytesIn += uint64(n) })
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.add(c.ip, func(counter *ClientCounters) { counter.BytesOut += uint64(n) })
	return n, err
}

func (c *countedConn) Close() error {
	c.traffic.mu.Lock()
	delete(c.traffic.open, c)
	c.traffic.mu.Unlock()
	return c.Conn.Close()
}

func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}
