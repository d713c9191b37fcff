package main

import (
	"io"
	"net"
	"strconv"
	"sync"
	"time"
)

// link is a network path: a listener whose connections are passed on to a target. A cut link is silent: it passes nothing on, in
// neither direction. After the cut, connections that were open before go on with the bytes that were held up, as TCP does after it
// has sent them again. Connections that were opened during the cut stay silent, as their opening packets would be lost.
type link struct {
	target   string
	listener net.Listener
	mu       sync.Mutex
	isCut    bool
	healed   chan struct{}
	// seen is called with the bytes that are passed on to the target. It may be nil.
	seen func(bytes []byte)
}

func openLink(address, target string, seen func(bytes []byte)) (*link, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listener: l, healed: make(chan struct{}), seen: seen}
	close(k.healed)
	go k.run()
	return k, nil
}

func (k *link) run() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		lost := k.isCut
		k.mu.Unlock()
		if lost {
			// The bytes are read, so that the sender notices nothing but silence.
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
			continue
		}
		go k.serve(conn)
	}
}

func (k *link) serve(conn net.Conn) {
	other, err := net.DialTimeout("tcp4", k.target, time.Second)
	if err != nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
		return
	}
	go k.pipe(conn, other, k.seen)
	k.pipe(other, conn, nil)
}

// pipe passes bytes on, except while the link is cut.
func (k *link) pipe(from, to net.Conn, seen func(bytes []byte)) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.await()
		if n > 0 {
			if seen != nil {
				seen(buffer[:n])
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}

func (k *link) await() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isCut {
		k.isCut, k.healed = true, make(chan struct{})
	}
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.isCut {
		k.isCut = false
		close(k.healed)
	}
}

func (k *link) close() {
	k.heal()
	_ = k.listener.Close()
}

// network has a link for each pair of nodes, in each direction, and one from each node to the store. Nodes reach others at the port
// of their own peer address, so that each node gets a port of its own, on the addresses of all machines.
type network struct {
	// links holds the links by sender and receiver; the receiver nil is the store.
	links map[[2]*node]*link
}

// connect gives the nodes of a mesh their links. It is called before the nodes are started. seen is called with what is sent to a
// node.
func (m *mesh) connect(seen func(to *node, bytes []byte)) (*network, error) {
	w := &network{links: map[[2]*node]*link{}}
	for i, n := range m.nodes {
		n.listen = n.inbound
		n.peerPort = m.port + 100 + i
	}
	for _, from := range m.nodes {
		from.inbound = net.JoinHostPort(from.ip, strconv.Itoa(from.peerPort))
		address := net.JoinHostPort(from.ip, strconv.Itoa(m.port+99))
		k, err := openLink(address, m.store.address, nil)
		if err != nil {
			return w, err
		}
		from.storeAddress = address
		w.links[[2]*node{from, nil}] = k
		for _, to := range m.nodes {
			if from == to {
				continue
			}
			if k, err = openLink(net.JoinHostPort(to.ip, strconv.Itoa(from.peerPort)), to.listen, func(bytes []byte) { seen(to, bytes) }); err != nil {
				return w, err
			}
			w.links[[2]*node{from, to}] = k
		}
	}
	return w, nil
}

// isolateNear cuts a node off from the store and from all nodes of other zones.
func (w *network) isolateNear(n *node) {
	for pair, k := range w.links {
		if pair[0] == n && (pair[1] == nil || pair[1].zone != n.zone) || pair[1] == n && pair[0].zone != n.zone {
			k.cut()
		}
	}
}

// isolate cuts a node off from the store and from all other nodes.
func (w *network) isolate(n *node) {
	for pair, k := range w.links {
		if pair[0] == n || pair[1] == n {
			k.cut()
		}
	}
}

func (w *network) heal() {
	for _, k := range w.links {
		k.heal()
	}
}

func (w *network) close() {
	for _, k := range w.links {
		k.close()
	}
}
