package soak

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/standin/link"
)

// longestDelay bounds the latency that a degraded path adds in each direction.
const longestDelay = 60 * time.Millisecond

// failures are the ways in which a path fails without breaking its connections. Connections of a frozen path stay silent for
// good; new ones work when the failure is over.
var failures = []link.Mode{link.ModeFrozen, link.ModeFrozenForward, link.ModeFrozenBackward}

// path is the way to an address of a VM. It can be degraded, and it refuses connections while nothing listens behind it.
type path struct {
	options link.Options
	log     *logrus.Logger

	mu   sync.Mutex
	link *link.Link
}

// open accepts connections.
func (p *path) open() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		return nil
	}
	l, err := link.Listen(p.options)
	p.link = l
	return err
}

// refuse makes the address refuse connections, as that of a process that does not run, and breaks those that exist.
func (p *path) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == nil {
		return
	}
	p.link.ResetConnections()
	if err := p.link.Close(); err != nil {
		p.log.WithError(err).Warn("a path stays open")
	}
	p.link = nil
}

// with calls f unless the path refuses connections.
func (p *path) with(f func(l *link.Link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		f(p.link)
	}
}

func (p *path) reset() { p.with((*link.Link).ResetConnections) }

// degrade delays what passes or silences the path.
func (p *path) degrade(m link.Mode, delay time.Duration) {
	p.with(func(l *link.Link) {
		l.SetMode(m)
		l.SetDelay(delay)
	})
}
