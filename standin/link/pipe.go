package link

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// chunkBytes is the most that is read at once, chunksInFlight the most chunks that wait for their delay.
const (
	chunkBytes     = 16 << 10
	chunksInFlight = 64
)

// chunk is data on its way, to be delivered at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// direction is one of the two ways through a pipe.
type direction int

const (
	forward direction = iota
	backward
	directions
)

// pipe relays one connection in both directions.
type pipe struct {
	client, server net.Conn
	// delay is in nanoseconds.
	delay      atomic.Int64
	frozen     [directions]chan struct{}
	closed     chan struct{}
	freezeOnce [directions]sync.Once
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

// reset closes the pipe so that both ends see a reset.
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

// run relays until both ends are closed.
func (p *pipe) run(countForward, countBackward func(n int)) {
	var wg sync.WaitGroup
	wg.Add(2)
	go func() {
		defer wg.Done()
		p.relay(forward, p.client, p.server, countForward)
	}()
	go func() {
		defer wg.Done()
		p.relay(backward, p.server, p.client, countBackward)
	}()
	wg.Wait()
	p.close()
}

// relay reads, delays and writes one direction. On the end of input it closes the writing side only, as TCP
// does; on a write error it closes the whole connection.
func (p *pipe) relay(d direction, from, to net.Conn, count func(n int)) {
	chunks := make(chan chunk, chunksInFlight)
	go p.read(d, from, chunks)
	for c := range chunks {
		if !p.await(d, c.due) {
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
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

// read stops passing data on when the pipe is frozen, and then waits for the pipe to be closed, so that
// neither end learns that the other one has gone.
func (p *pipe) read(d direction, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if p.isFrozen(d) {
			<-p.closed
			return
		}
		if n > 0 {
			select {
			case chunks <- chunk{data: bytes.Clone(buffer[:n]), due: time.Now().Add(time.Duration(p.delay.Load()))}:
			case <-p.closed:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// await waits for the time of a chunk and reports whether it may still be delivered.
func (p *pipe) await(d direction, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
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
