package link

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxChunkBytes is the size of the largest chunk of data that is read at once.
	maxChunkBytes = 16 << 10
	// maxQueuedChunks is the number of chunks that can wait for delivery in each direction of a connection.
	maxQueuedChunks = 64
)

// chunk is data that has been read and is to be delivered at a given time.
type chunk struct {
	data      []byte
	deliverAt time.Time
}

// direction is one of the two directions of a pipe.
type direction int

const (
	// forward is the direction from the client to the server.
	forward direction = iota
	// backward is the direction from the server to the client.
	backward
	directionCount
)

// pipe relays data between the connection of a client and the connection to the server.
type pipe struct {
	client, server net.Conn
	// delay is the latency to add in each direction, in nanoseconds.
	delay atomic.Int64
	// frozen holds a channel for each direction, which is closed when that direction is frozen.
	frozen     [directionCount]chan struct{}
	closed     chan struct{}
	freezeOnce [directionCount]sync.Once
	closeOnce  sync.Once
}

func newPipe(client, server net.Conn, delay time.Duration) *pipe {
	p := &pipe{client: client, server: server, closed: make(chan struct{})}
	p.delay.Store(int64(delay))
	for d := range p.frozen {
		p.frozen[d] = make(chan struct{})
	}
	return p
}

func (p *pipe) freeze(d direction) { p.freezeOnce[d].Do(func() { close(p.frozen[d]) }) }

// reset closes the pipe with a TCP reset to both ends.
func (p *pipe) reset() {
	for _, c := range [...]net.Conn{p.client, p.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	p.close()
}

func (p *pipe) close() {
	p.closeOnce.Do(func() {
		close(p.closed)
		_ = p.client.Close()
		_ = p.server.Close()
	})
}

// relay copies data in both directions until both have ended, and then closes the pipe. It calls the count functions
// with the number of bytes written in their direction.
func (p *pipe) relay(countForward, countBackward func(n int)) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.relayDirection(forward, p.client, p.server, countForward)
	}()
	go func() {
		defer wg.Done()
		p.relayDirection(backward, p.server, p.client, countBackward)
	}()
	wg.Wait()
	p.close()
}

// relayDirection copies data in one direction with the delay of the pipe. At the end of the input it closes only the
// write side of the destination, so that a half-closed connection stays half-closed. After a write error it closes the
// whole pipe.
func (p *pipe) relayDirection(d direction, from, to net.Conn, count func(n int)) {
	chunks := make(chan chunk, maxQueuedChunks)
	go p.readChunks(d, from, chunks)
	for c := range chunks {
		if !p.waitUntilDue(d, c.deliverAt) {
			return
		}
		n, err := to.Write(c.data)
		count(n)
		if err != nil {
			p.close()
			return
		}
	}
	if p.isFrozen(d) {
		return
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// readChunks reads data and queues it as chunks until the input ends. Once the direction is frozen, it discards what it
// has just read and waits until the pipe is closed, so that neither end notices that the other end has closed.
func (p *pipe) readChunks(d direction, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if p.isFrozen(d) {
			<-p.closed
			return
		}
		if n > 0 {
			select {
			case chunks <- chunk{data: bytes.Clone(buffer[:n]), deliverAt: time.Now().Add(time.Duration(p.delay.Load()))}:
			case <-p.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitUntilDue waits until deliverAt and reports whether the chunk may be delivered. It returns false if the pipe was
// closed. If the direction is frozen, it waits until the pipe is closed and then returns false.
func (p *pipe) waitUntilDue(d direction, deliverAt time.Time) bool {
	timer := time.NewTimer(time.Until(deliverAt))
	defer timer.Stop()
	select {
	case <-p.frozen[d]:
		<-p.closed
		return false
	default:
	}
	select {
	case <-timer.C:
		return true
	case <-p.frozen[d]:
		<-p.closed
		return false
	case <-p.closed:
		return false
	}
}

func (p *pipe) isFrozen(d direction) bool {
	select {
	case <-p.frozen[d]:
		return true
	default:
		return false
	}
}
