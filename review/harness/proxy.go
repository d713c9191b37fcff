package main

import (
	"io"
	"net"
	"sync"
)

// proxy carries the connections of other nodes to a node. While it is cut, it resets the connections that are open and
// refuses new ones.
type proxy struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]bool
}

func newProxy(address, target string) *proxy {
	return &proxy{address: address, target: target, conns: map[*net.TCPConn]bool{}}
}

// open makes the proxy accept connections.
func (p *proxy) open() error {
	l, err := net.Listen("tcp4", p.address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.carry(c.(*net.TCPConn))
		}
	}()
	return nil
}

// cut resets all connections and refuses new ones until open.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		_ = p.listener.Close()
		p.listener = nil
	}
	for c := range p.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(p.conns)
}

// add registers a connection. It returns false, with the connection closed, if the proxy is cut.
func (p *proxy) add(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		_ = c.SetLinger(0)
		_ = c.Close()
		return false
	}
	p.conns[c] = true
	return true
}

func (p *proxy) remove(c *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	_ = c.Close()
}

// carry copies the bytes of a connection in both directions until one side ends.
func (p *proxy) carry(from *net.TCPConn) {
	if !p.add(from) {
		return
	}
	defer p.remove(from)
	other, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = from.SetLinger(0)
		return
	}
	to := other.(*net.TCPConn)
	if !p.add(to) {
		return
	}
	defer p.remove(to)
	done := make(chan struct{}, 2)
	copyBytes := func(dst, src *net.TCPConn) {
		_, _ = io.Copy(dst, src)
		done <- struct{}{}
	}
	go copyBytes(to, from)
	go copyBytes(from, to)
	<-done
}
