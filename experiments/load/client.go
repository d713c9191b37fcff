package load

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// errNotSent means that no byte of the request was written.
var errNotSent = errors.New("the connection could not be opened")

// dialTimeout bounds how long a caller waits for a connection.
const dialTimeout = time.Second

// client keeps connections to nodes. It uses fasthttp's codec only: fasthttp's clients repeat idempotent
// calls and calls on closed connections by themselves, and their time-outs leave a call running, so that the
// outcomes of single attempts would not be known.
type client struct {
	mu   sync.Mutex
	idle map[string][]*connection
	all  map[*connection]struct{}
}

type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
}

func newClient() *client {
	return &client{idle: map[string][]*connection{}, all: map[*connection]struct{}{}}
}

// do makes one attempt. After an error other than errNotSent the call may have run.
func (c *client) do(address string, request *fasthttp.Request, response *fasthttp.Response, limit time.Duration) error {
	conn, err := c.take(address)
	if err != nil {
		return errors.Join(errNotSent, err)
	}
	err = conn.exchange(request, response, limit)
	if err != nil || response.ConnectionClose() {
		c.discard(conn)
		return err
	}
	c.put(address, conn)
	return nil
}

func (c *connection) exchange(request *fasthttp.Request, response *fasthttp.Response, limit time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if err := request.Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	return response.Read(c.reader)
}

// take returns an idle connection that the node has not closed, or a new one.
func (c *client) take(address string) (*connection, error) {
	for {
		conn := c.pop(address)
		if conn == nil {
			return c.dial(address)
		}
		if conn.quiet() {
			return conn, nil
		}
		c.discard(conn)
	}
}

func (c *client) pop(address string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[address]
	if len(idle) == 0 {
		return nil
	}
	conn := idle[len(idle)-1]
	c.idle[address] = idle[:len(idle)-1]
	return conn
}

func (c *client) dial(address string) (*connection, error) {
	raw, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	conn := &connection{Conn: raw, reader: bufio.NewReader(raw), writer: bufio.NewWriter(raw)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[conn] = struct{}{}
	return conn, nil
}

func (c *client) put(address string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[address] = append(c.idle[address], conn)
}

func (c *client) discard(conn *connection) {
	c.mu.Lock()
	delete(c.all, conn)
	c.mu.Unlock()
	_ = conn.Close()
}

func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.all {
		_ = conn.Close()
	}
	c.all = map[*connection]struct{}{}
	c.idle = map[string][]*connection{}
}

// quiet reports whether an idle connection is open and has nothing to read. Anything to read would be the
// rest of another answer.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
