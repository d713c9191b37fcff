package gateway

import (
	"errors"
	"io"
	"net"
	"net/netip"
)

// listener accepts the TCP connections of one port.
type listener struct {
	net.Listener
	// sameHostOnly makes the listener close connections that come from another VM.
	sameHostOnly bool
}

// Accept returns the next connection.
func (l listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := c.(*net.TCPConn)
		if !ok || (l.sameHostOnly && !isSameHost(c)) {
			_ = c.Close()
			continue
		}
		return unexpectedEOFConn{tcp}, nil
	}
}

// isSameHost reports whether the remote address of a connection is loopback or its own address.
func isSameHost(c net.Conn) bool {
	remote, err := netip.ParseAddrPort(c.RemoteAddr().String())
	if err != nil {
		return false
	}
	own, err := netip.ParseAddrPort(c.LocalAddr().String())
	return err == nil && (remote.Addr().Unmap().IsLoopback() || remote.Addr().Unmap() == own.Addr().Unmap())
}

// unexpectedEOFConn returns io.ErrUnexpectedEOF at the end of input. With io.EOF between two chunks of a body, fasthttp
// would drop the request without a response.
type unexpectedEOFConn struct{ *net.TCPConn }

// Read reads from the connection and replaces io.EOF by io.ErrUnexpectedEOF.
func (c unexpectedEOFConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
