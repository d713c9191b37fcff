// Package link is a stand-in for a network link: a TCP relay in front of an address that counts bytes by
// source and destination IP and can cut, freeze or delay what passes.
package link

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Mode is how the link treats traffic.
type Mode string

// Modes of a link.
const (
	// ModeNormal relays everything.
	ModeNormal Mode = ""
	// ModeCut closes all connections and every new one.
	ModeCut Mode = "cut"
	// ModeFrozen accepts and relays nothing more on any connection, without closing it.
	ModeFrozen Mode = "frozen"
	// ModeFrozenForward and FrozenBackward do so in one direction: to the target, or from it.
	ModeFrozenForward  Mode = "frozen_forward"
	ModeFrozenBackward Mode = "frozen_backward"
)

// frozen returns the directions in which a mode relays nothing.
func (m Mode) frozen() []direction {
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
	// Address is where it listens, Target where it relays to.
	Address string `json:"address"`
	Target  string `json:"target"`
	// DelayUS is the one-way latency that the link adds, in microseconds.
	DelayUS int64 `json:"delay_us,omitempty"`
	// DelayBySource, when set, gives the one-way latency by the IP that opened the connection, instead of DelayUS.
	DelayBySource func(source string) time.Duration `json:"-"`
	// KeepSource makes the link connect to the target from the source's IP. It works only on loopback.
	KeepSource bool `json:"keep_source,omitempty"`
}

// Endpoints names the two ends of a counter.
type Endpoints struct {
	// Source is the IP that opened the connection, Target the address that the link relays to.
	Source string `json:"source"`
	Target string `json:"target"`
}

// ByteCount is the TCP payload that passed between the ends of a pair, in bytes.
type ByteCount struct {
	// Forward went from the source to the target, Backward the other way.
	Forward  uint64 `json:"forward"`
	Backward uint64 `json:"backward"`
}

// Link is the relay. Its methods are safe for concurrent use.
type Link struct {
	options  Options
	listener net.Listener

	mu     sync.Mutex
	mode   Mode
	pipes  map[*pipe]struct{}
	counts map[Endpoints]*ByteCount
	closed bool
}

// Listen starts a link.
func Listen(o Options) (*Link, error) {
	ln, err := net.Listen("tcp", o.Address)
	if err != nil {
		return nil, err
	}
	l := &Link{options: o, listener: ln, pipes: map[*pipe]struct{}{}, counts: map[Endpoints]*ByteCount{}}
	go l.accept()
	return l, nil
}

// Address returns the bound address.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetMode changes how the link treats connections. Frozen connections stay silent for good, also after the
// mode is Open again; new ones then work.
func (l *Link) SetMode(m Mode) {
	l.mu.Lock()
	l.mode = m
	l.mu.Unlock()
	if m == ModeCut {
		l.closePipes()
	}
	l.freeze(m)
}

// SetDelay changes the one-way latency, of open connections too.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	l.options.DelayBySource = func(string) time.Duration { return d }
	l.mu.Unlock()
	for _, p := range l.open() {
		p.delay.Store(int64(d))
	}
}

// ResetConnections breaks the connections that are open now; both ends see a reset.
func (l *Link) ResetConnections() {
	for _, p := range l.open() {
		p.reset()
	}
}

// FreezeOpenConnections makes the connections that are open now silent for good, while new ones work.
func (l *Link) FreezeOpenConnections() { l.freeze(ModeFrozen) }

func (l *Link) freeze(m Mode) {
	for _, p := range l.open() {
		for _, d := range m.frozen() {
			p.freeze(d)
		}
	}
}

// ByteCounts returns the bytes that passed so far.
func (l *Link) ByteCounts() map[Endpoints]ByteCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[Endpoints]ByteCount, len(l.counts))
	for pair, c := range l.counts {
		out[pair] = *c
	}
	return out
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

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(c)
	}
}

// connect relays one connection, unless the link is cut.
func (l *Link) connect(client net.Conn) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	if mode == ModeCut {
		_ = client.Close()
		return
	}
	server, err := l.dial(client)
	if err != nil {
		_ = client.Close()
		return
	}
	source := hostOf(client.RemoteAddr())
	p := newPipe(client, server, l.delay(source))
	if !l.register(p) {
		p.close()
		return
	}
	pair := Endpoints{Source: source, Target: l.options.Target}
	p.run(func(n int) { l.count(pair, n, 0) }, func(n int) { l.count(pair, 0, n) })
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// register adds the pipe, unless the link was cut or closed while it connected.
func (l *Link) register(p *pipe) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.mode == ModeCut {
		return false
	}
	for _, d := range l.mode.frozen() {
		p.freeze(d)
	}
	l.pipes[p] = struct{}{}
	return true
}

func (l *Link) delay(source string) time.Duration {
	l.mu.Lock()
	delay := l.options.DelayBySource
	l.mu.Unlock()
	if delay != nil {
		return delay(source)
	}
	return time.Duration(l.options.DelayUS) * time.Microsecond
}

func (l *Link) dial(client net.Conn) (net.Conn, error) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if l.options.KeepSource {
		if from, ok := client.RemoteAddr().(*net.TCPAddr); ok {
			d.LocalAddr = &net.TCPAddr{IP: from.IP}
		}
	}
	return d.Dial("tcp", l.options.Target)
}

func (l *Link) count(pair Endpoints, forward, backward int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[pair]
	if c == nil {
		c = &ByteCount{}
		l.counts[pair] = c
	}
	c.Forward += uint64(forward)
	c.Backward += uint64(backward)
}

func (l *Link) open() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pipe, 0, len(l.pipes))
	for p := range l.pipes {
		out = append(out, p)
	}
	return out
}

func (l *Link) closePipes() {
	for _, p := range l.open() {
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
