package main

import (
	"io"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// link carries the connections from one place to another: from the node of a VM to that of another, or from a node to the store.
type link struct {
	address, target string
	// source is the IP address from which connections to the target are opened.
	source string
	cut    atomic.Bool
	// listener accepts connections while the link is not cut, blocked keeps them from being opened while it is.
	listener net.Listener
	blocked  []io.Closer
	changing sync.Mutex

	mu    sync.Mutex
	conns map[*carried]struct{}
}

// carried is one connection of a link. harmed is set if the link was cut while it was open: its bytes are lost from then on.
type carried struct {
	left, right net.Conn
	harmed      atomic.Bool
}

// newLink listens on the address and carries connections to the target, which sees them come from the source IP.
func newLink(address, target, source string) *link {
	k := &link{address: address, target: target, source: source, conns: map[*carried]struct{}{}}
	k.open()
	return k
}

// open accepts connections.
func (k *link) open() {
	l, err := net.Listen("tcp4", k.address)
	must(err)
	k.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(conn)
		}
	}()
}

// block replaces the listener by one that answers no attempt to connect: its queue is full and nothing takes connections from it.
func (k *link) block() {
	_ = k.listener.Close()
	host, port, err := net.SplitHostPort(k.address)
	must(err)
	number, err := strconv.Atoi(port)
	must(err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	must(err)
	must(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	must(syscall.Bind(fd, &syscall.SockaddrInet4{Port: number, Addr: [4]byte(net.ParseIP(host).To4())}))
	must(syscall.Listen(fd, 0))
	k.blocked = []io.Closer{closerFunc(func() error { return syscall.Close(fd) })}
	for {
		conn, err := net.DialTimeout("tcp4", k.address, 5*time.Millisecond)
		if err != nil {
			return
		}
		k.blocked = append(k.blocked, conn)
	}
}

type closerFunc func() error

func (f closerFunc) Close() error { return f() }

// unblock ends block.
func (k *link) unblock() {
	for _, c := range k.blocked {
		_ = c.Close()
	}
	k.blocked = nil
	k.open()
}

// setCut cuts the link silently, or ends the cut. Connections that were open during a cut are reset at its end: both ends have sent
// bytes that were lost.
func (k *link) setCut(cut bool) {
	k.changing.Lock()
	defer k.changing.Unlock()
	if k.cut.Swap(cut) == cut {
		return
	}
	if cut {
		k.block()
	} else {
		k.unblock()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		if cut {
			c.harmed.Store(true)
		} else if c.harmed.Load() {
			c.reset()
		}
	}
}

func (c *carried) reset() {
	for _, conn := range []net.Conn{c.left, c.right} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}

func (k *link) carry(left net.Conn) {
	c := &carried{left: left}
	if k.cut.Load() {
		c.harmed.Store(true)
	} else {
		dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(k.source)}}
		right, err := dialer.Dial("tcp4", k.target)
		if err != nil {
			c.reset()
			return
		}
		c.right = right
	}
	k.mu.Lock()
	k.conns[c] = struct{}{}
	if k.cut.Load() {
		c.harmed.Store(true)
	}
	k.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.copy(c.right, left) })
	if c.right != nil {
		group.Go(func() { c.copy(left, c.right) })
	}
	group.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
	if !c.harmed.Load() {
		_ = left.Close()
		if c.right != nil {
			_ = c.right.Close()
		}
	}
}

// copy passes bytes on, or discards them once the link was cut. The end of a harmed connection is not passed on.
func (c *carried) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && to != nil && !c.harmed.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok && !c.harmed.Load() {
				if err == io.EOF {
					_ = tcp.CloseWrite()
				} else {
					c.reset()
				}
			}
			return
		}
	}
}
