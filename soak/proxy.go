package soak

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// condition is the state of the path through a proxy.
type condition int

const (
	passing condition = iota
	// delayed adds a random time to each piece of data.
	delayed
	// cutTo holds what goes to the target, cutFrom what comes back, silent both. Held data passes when that ends.
	cutTo
	cutFrom
	silent
	conditions
)

const (
	// longestDelay bounds the delay of a piece of data.
	longestDelay = 60 * time.Millisecond
	// holdPoll is how often held data looks for the end of a cut.
	holdPoll = 20 * time.Millisecond
	// dialTimeout bounds the connection to the target.
	dialTimeout = 2 * time.Second
	pieceSize   = 16 << 10
)

// proxy carries the connections of a loopback address to a target and harms them on demand.
type proxy struct {
	address string
	target  string
	random  *source
	log     *logrus.Logger

	mu        sync.Mutex
	listener  net.Listener
	state     condition
	connected map[net.Conn]bool
}

func newProxy(address, target string, random *source, log *logrus.Logger) *proxy {
	return &proxy{address: address, target: target, random: random, log: log, connected: map[net.Conn]bool{}}
}

// open accepts connections.
func (p *proxy) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
}

// refuse makes the address refuse connections, as that of a process that does not run, and resets those that exist.
func (p *proxy) refuse() {
	p.mu.Lock()
	if p.listener != nil {
		p.close(p.listener)
		p.listener = nil
	}
	p.mu.Unlock()
	p.reset()
}

// set changes the condition of all connections.
func (p *proxy) set(c condition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = c
}

func (p *proxy) condition() condition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connected {
		if tcp, ok := c.(*net.TCPConn); ok {
			if err := tcp.SetLinger(0); err != nil {
				p.log.WithError(err).Debug("cannot make a close a reset")
			}
		}
		p.close(c)
		delete(p.connected, c)
	}
}

func (p *proxy) close(c io.Closer) {
	if err := c.Close(); err != nil {
		p.log.WithError(err).Debug("a connection was closed already")
	}
}

func (p *proxy) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go p.carry(c)
	}
}

// track notes connections; it reports false when the address refuses connections by now.
func (p *proxy) track(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.connected[c] = true
	}
	return p.listener != nil
}

func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.connected, c)
	}
}

func (p *proxy) carry(from net.Conn) {
	defer p.close(from)
	to, err := net.DialTimeout("tcp4", p.target, dialTimeout)
	if err != nil {
		p.log.WithError(err).WithField("target", p.target).Debug("the target accepts no connection")
		return
	}
	defer p.close(to)
	defer p.forget(from, to)
	if !p.track(from, to) {
		return
	}
	ended := make(chan struct{}, 2)
	go p.copy(to, from, cutTo, ended)
	go p.copy(from, to, cutFrom, ended)
	// The end of one direction ends the connection: the programs never half-close.
	<-ended
}

func (p *proxy) copy(to, from net.Conn, cut condition, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	piece := make([]byte, pieceSize)
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		for {
			state := p.condition()
			if state == delayed {
				time.Sleep(p.random.duration(0, longestDelay))
			}
			if state != cut && state != silent {
				break
			}
			time.Sleep(holdPoll)
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}
