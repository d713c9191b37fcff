package soak

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/standin/link"
)

// maxPathDelay bounds the latency that a degraded path adds in each direction.
const maxPathDelay = 60 * time.Millisecond

// silentModes are the modes in which a path stops traffic without closing connections. The connections that were open
// stay silent also after the mode ends; connections that are opened later work.
var silentModes = []link.Mode{link.ModeFrozen, link.ModeFrozenForward, link.ModeFrozenBackward}

// networkPath is a TCP relay in front of an address that a VM uses. It can delay or stop traffic, and it refuses
// connections while the process behind it does not run.
type networkPath struct {
	options link.Options
	log     *logrus.Logger

	mu   sync.Mutex
	link *link.Link
}

// open starts to accept connections. It does nothing if the path is open already.
func (p *networkPath) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		return nil
	}
	l, err := link.Listen(p.options)
	p.link = l
	return err
}

// close resets the open connections and makes the address refuse new ones, as that of a process that does not run.
func (p *networkPath) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return
	}
	p.link.ResetConnections()
	if err := p.link.Close(); err != nil {
		p.log.WithError(err).Warn("cannot close the listener of a network path")
	}
	p.link = nil
}

// withLink calls f with the relay unless the path is closed.
func (p *networkPath) withLink(f func(l *link.Link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		f(p.link)
	}
}

func (p *networkPath) resetConnections() { p.withLink((*link.Link).ResetConnections) }

// degrade sets the mode of the path and the latency that it adds in each direction.
func (p *networkPath) degrade(m link.Mode, delay time.Duration) {
	p.withLink(func(l *link.Link) {
		l.SetMode(m)
		l.SetDelay(delay)
	})
}
