package peer

import "bufio"

// maxSpareBuffers bounds the buffers that a Pool keeps for its next exchanges. Few exchanges are in progress at once, while
// a node of a large fleet has many idle connections; with buffers of their own these took 20 KB each.
const maxSpareBuffers = 8

// connBuffers are the buffers of a connection during an exchange.
type connBuffers struct {
	reader *bufio.Reader
	writer *bufio.Writer
}

// takeBuffers gives the connection buffers for an exchange, unless it has some.
func (c *Conn) takeBuffers() {
	if c.connBuffers == nil {
		c.connBuffers = c.pool.takeSpareBuffers()
		c.reader.Reset(responseReader{c})
		c.writer.Reset(countingWriter{c})
	}
}

// returnBuffers gives the buffers back to the pool. Bytes that they hold are lost, so the connection must have none or must
// not be used again.
func (c *Conn) returnBuffers() {
	if b := c.connBuffers; b != nil {
		c.connBuffers = nil
		b.reader.Reset(nil)
		b.writer.Reset(nil)
		c.pool.keepSpareBuffers(b)
	}
}

// hasBufferedBytes reports whether bytes were read that belong to no response.
func (c *Conn) hasBufferedBytes() bool { return c.connBuffers != nil && c.reader.Buffered() > 0 }

func (p *Pool) takeSpareBuffers() *connBuffers {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.spareBuffers); n > 0 {
		b := p.spareBuffers[n-1]
		p.spareBuffers = p.spareBuffers[:n-1]
		return b
	}
	return &connBuffers{reader: bufio.NewReaderSize(nil, readBufferSize), writer: bufio.NewWriterSize(nil, writeBufferSize)}
}

func (p *Pool) keepSpareBuffers(b *connBuffers) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.spareBuffers) < maxSpareBuffers {
		p.spareBuffers = append(p.spareBuffers, b)
	}
}
