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

// errNotSent means that no connection could be opened, so that no byte of the request was sent.
var errNotSent = errors.New("the connection could not be opened")

// dialTimeout bounds the time to open a connection.
const dialTimeout = time.Second

// client sends requests to nodes and keeps connections open for reuse. It uses fasthttp only to encode requests and to
// decode responses, because the clients of fasthttp retry idempotent calls and calls on closed connections by
// themselves, and leave a call running after a timeout; the outcome of a single attempt would then not be known.
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

// do sends a request once and reads the response. After an error other than errNotSent the call may have run.
func (c *client) do(
	address string, request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration,
) error {
	conn, err := c.acquire(address)
	if err != nil {
		return errors.Join(errNotSent, err)
	}
	err = conn.exchange(request, response, timeout)
	if err != nil || response.ConnectionClose() {
		c.discard(conn)
		return err
	}
	c.release(address, conn)
	return nil
}

func (c *connection) exchange(request *fasthttp.Request, response *fasthttp.Response, timeout time.Duration) error {
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
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

// acquire returns an idle connection that the node has not closed, or a new one.
func (c *client) acquire(address string) (*connection, error) {
	for {
		conn := c.popIdle(address)
		if conn == nil {
			return c.dial(address)
		}
		if conn.isReusable() {
			return conn, nil
		}
		c.discard(conn)
	}
}

func (c *client) popIdle(address string) *connection {
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

func (c *client) release(address string, conn *connection) {
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

// isReusable reports whether an idle connection is open and has no unread data, which would be the rest of an earlier
// response.
func (c *connection) isReusable() bool {
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
