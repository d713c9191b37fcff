package peer

import "time"

// canStayIdle reports whether an idle connection can be used again: it was not idle for too long, is open, and no bytes
// arrived on it.
func (c *Conn) canStayIdle(now time.Duration) bool {
	return now-c.lastUsed < min(c.pool.options.IdleTimeout, c.keepAlive) && !c.hasBufferedBytes() && c.probe.isIdle()
}

// CloseUnusableConnections closes the idle connections that will not be used again: those that were idle for too long,
// that the other side closed, or on which bytes arrived. Such bytes belong to no request, and more of them may come
// until the connection is closed. A node calls it every few seconds.
func (p *Pool) CloseUnusableConnections() {
	now := p.options.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.hosts {
		h.closeIdle(func(c *Conn) bool { return !c.canStayIdle(now) })
	}
}
