// Package link is a stand-in for a network link in tests and demos: a TCP relay in front of a target address. It counts
// the relayed bytes by client IP and target, and can cut, freeze or delay connections.
package link

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode selects how a link treats connections.
type Mode string

// Modes of a link.
const (
	// ModeNormal relays all data.
	ModeNormal Mode = ""
	// ModeCut closes all open connections, and each new one as soon as it is accepted.
	ModeCut Mode = "cut"
	// ModeFrozen accepts connections and keeps them open, but relays no data in either direction.
	ModeFrozen Mode = "frozen"
	// ModeFrozenForward relays no data to the target, ModeFrozenBackward no data from the target. The other direction
	// works normally.
	ModeFrozenForward  Mode = "frozen_forward"
	ModeFrozenBackward Mode = "frozen_backward"
)

// frozenDirections returns the directions in which the mode relays no data.
func (m Mode) frozenDirections() []direction {
	switch m {
	case ModeFrozen:
		return []direction{forward, backward}
	case ModeFrozenForward:
		return []direction{forward}
	case ModeFrozenBackward:
		return []direction{backward}
	case ModeNormal, ModeCut:
	}
	return nil
}

// Options configures a Link.
type Options struct {
	// Address is the address that the link listens on, Target the address that it relays to.
	Address string `json:"address"`
	Target  string `json:"target"`
	// DelayUS is the latency that the link adds in each direction, in microseconds.
	DelayUS int64 `json:"delay_us,omitempty"`
	// DelayBySource, if not nil, replaces DelayUS. It returns the latency to add in each direction to the connections
	// of a client IP.
	DelayBySource func(source string) time.Duration `json:"-"`
	// KeepSource makes the link connect to the target from the client's IP. It works only with loopback addresses.
	KeepSource bool `json:"keep_source,omitempty"`
}

// Endpoints identifies the connections whose bytes are counted together.
type Endpoints struct {
	// Source is the IP of the client, Target the address that the link relays to.
	Source string `json:"source"`
	Target string `json:"target"`
}

// ByteCount is the number of TCP payload bytes that a link relayed between two endpoints.
type ByteCount struct {
	// Forward counts the bytes from the source to the target, Backward those from the target to the source.
	Forward  uint64 `json:"forward"`
	Backward uint64 `json:"backward"`
}

// Link is a TCP relay. Its methods are safe for concurrent use.
type Link struct {
	options  Options
	listener net.Listener

	mu     sync.Mutex
	mode   Mode
	pipes  map[*pipe]struct{}
	counts map[Endpoints]*ByteCount
	closed bool
}

// Listen starts a link. It returns an error if it cannot listen on the address.
func Listen(o Options) (*Link, error) {
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	l := &Link{options: o, listener: ln, pipes: map[*pipe]struct{}{}, counts: map[Endpoints]*ByteCount{}}
	go l.acceptConnections()
	return l, nil
}

// Address returns the address that the link listens on, with the actual port.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetMode changes how the link treats open and new connections. A frozen connection stays frozen until it is closed,
// even after a return to ModeNormal; only new connections work then.
func (l *Link) SetMode(m Mode) {
	l.mu.Lock()
	l.mode = m
	l.mu.Unlock()
	if m == ModeCut {
		l.closePipes()
	}
	l.freezeOpenPipes(m)
}

// SetDelay changes the latency that is added in each direction, for open and new connections of all sources.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	l.options.DelayBySource = func(string) time.Duration { return d }
	l.mu.Unlock()
	for _, p := range l.openPipes() {
		p.delay.Store(int64(d))
	}
}

// ResetConnections closes the open connections with a TCP reset to both ends. It does not affect new connections.
func (l *Link) ResetConnections() {
	for _, p := range l.openPipes() {
		p.reset()
	}
}

// FreezeOpenConnections stops relaying data on the connections that are open now, until they are closed. It does not
// affect new connections.
func (l *Link) FreezeOpenConnections() { l.freezeOpenPipes(ModeFrozen) }

// freezeOpenPipes freezes the open pipes in the directions that the mode m freezes.
func (l *Link) freezeOpenPipes(m Mode) {
	for _, p := range l.openPipes() {
		for _, d := range m.frozenDirections() {
			p.freeze(d)
		}
	}
}

// ByteCounts returns the bytes relayed since the start of the link.
func (l *Link) ByteCounts() map[Endpoints]ByteCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[Endpoints]ByteCount, len(l.counts))
	for endpoints, c := range l.counts {
		counts[endpoints] = *c
	}
	return counts
}

// Close stops the link and closes its connections.
func (l *Link) Close() error {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	err := l.listener.Close()
	l.closePipes()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (l *Link) acceptConnections() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relayConnection(c)
	}
}

// relayConnection relays an accepted connection until it ends. It closes the connection at once if the mode is ModeCut
// or if the target cannot be reached.
func (l *Link) relayConnection(client net.Conn) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	if mode == ModeCut {
		_ = client.Close()
		return
	}
	server, err := l.dialTarget(client)
	if err != nil {
		_ = client.Close()
		return
	}
	source := hostOf(client.RemoteAddr())
	p := newPipe(client, server, l.delayFrom(source))
	if !l.registerPipe(p) {
		p.close()
		return
	}
	endpoints := Endpoints{Source: source, Target: l.options.Target}
	p.relay(func(n int) { l.addBytes(endpoints, n, 0) }, func(n int) { l.addBytes(endpoints, 0, n) })
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// registerPipe adds a pipe to the open ones and freezes it if the mode requires that. It returns false if the link was
// cut or closed while it connected to the target.
func (l *Link) registerPipe(p *pipe) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.mode == ModeCut {
		return false
	}
	for _, d := range l.mode.frozenDirections() {
		p.freeze(d)
	}
	l.pipes[p] = struct{}{}
	return true
}

// delayFrom returns the one-way latency to add to connections from a client IP.
func (l *Link) delayFrom(source string) time.Duration {
	l.mu.Lock()
	delayBySource := l.options.DelayBySource
	l.mu.Unlock()
	if delayBySource != nil {
		return delayBySource(source)
	}
	return time.Duration(l.options.DelayUS) * time.Microsecond
}

func (l *Link) dialTarget(client net.Conn) (net.Conn, error) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if l.options.KeepSource {
		if source, ok := client.RemoteAddr().(*net.TCPAddr); ok {
			d.LocalAddr = &net.TCPAddr{IP: source.IP}
		}
	}
	return d.Dial("tcp", l.options.Target)
}

func (l *Link) addBytes(endpoints Endpoints, forward, backward int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[endpoints]
	if c == nil {
		c = &ByteCount{}
		l.counts[endpoints] = c
	}
	c.Forward += uint64(forward)
	c.Backward += uint64(backward)
}

func (l *Link) openPipes() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	pipes := make([]*pipe, 0, len(l.pipes))
	for p := range l.pipes {
		pipes = append(pipes, p)
	}
	return pipes
}

func (l *Link) closePipes() {
	for _, p := range l.openPipes() {
		p.close()
	}
}

func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}
