package platform

import (
	"net"
	"sync"
)

// ClientCounters counts the requests and the traffic of one remote IP.
type ClientCounters struct {
	// Reads is the number of requests that were within the read limit.
	Reads uint64 `json:"reads"`
	// RefusedReads is the number of requests beyond the read limit, which were answered 429.
	RefusedReads uint64 `json:"refused"`
	// BytesIn and BytesOut are the TCP payload bytes that the service received and sent.
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// trafficCounter counts requests and bytes by remote IP. It also keeps the open connections, so that the server can
// close them.
type trafficCounter struct {
	mu        sync.Mutex
	byIP      map[string]*ClientCounters
	openConns map[net.Conn]struct{}
}

func newTrafficCounter() *trafficCounter {
	return &trafficCounter{byIP: map[string]*ClientCounters{}, openConns: map[net.Conn]struct{}{}}
}

func (t *trafficCounter) update(ip string, change func(*ClientCounters)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	counters := t.byIP[ip]
	if counters == nil {
		counters = &ClientCounters{}
		t.byIP[ip] = counters
	}
	change(counters)
}

func (t *trafficCounter) snapshot() map[string]ClientCounters {
	t.mu.Lock()
	defer t.mu.Unlock()
	counters := make(map[string]ClientCounters, len(t.byIP))
	for ip, c := range t.byIP {
		counters[ip] = *c
	}
	return counters
}

func (t *trafficCounter) closeConnections() {
	t.mu.Lock()
	conns := make([]net.Conn, 0, len(t.openConns))
	for c := range t.openConns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

func (t *trafficCounter) wrapListener(ln net.Listener) net.Listener {
	return &countedListener{Listener: ln, traffic: t}
}

// countedListener wraps the connections that it accepts in countedConn.
type countedListener struct {
	net.Listener
	traffic *trafficCounter
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: c, traffic: l.traffic, ip: hostOf(c.RemoteAddr())}
	l.traffic.mu.Lock()
	l.traffic.openConns[counted] = struct{}{}
	l.traffic.mu.Unlock()
	return counted, nil
}

// countedConn counts the bytes that are read from and written to a connection.
type countedConn struct {
	net.Conn
	traffic *trafficCounter
	ip      string
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.update(c.ip, func(counters *ClientCounters) { counters.BytesIn += uint64(n) })
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.update(c.ip, func(counters *ClientCounters) { counters.BytesOut += uint64(n) })
	return n, err
}

func (c *countedConn) Close() error {
	c.traffic.mu.Lock()
	delete(c.traffic.openConns, c)
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
