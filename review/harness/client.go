package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// sent is one request of a client with its answer. Status is 0 if the connection ended without a complete answer.
type sent struct {
	id, entry, method string
	at, ended         time.Time
	status            int
	stamp             string
	failure           string
}

// ledger collects the requests of all clients.
type ledger struct {
	mu   sync.Mutex
	list []sent
}

func (l *ledger) add(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, s)
}

func (l *ledger) all() []sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]sent(nil), l.list...)
}

// client sends requests over kept connections, one at a time on each.
type client struct {
	entry, host, path, method, key string
	deadline                       time.Duration
	body                           string
	ledger                         *ledger
	rec                            *recorder
	ids                            *atomic.Uint64
}

// run sends perSecond requests a second, spread over connections, until stop is closed, and waits for their answers.
func (c *client) run(perSecond float64, connections int, stop <-chan struct{}) {
	var group sync.WaitGroup
	for n := range connections {
		group.Add(1)
		go func() {
			defer group.Done()
			interval := time.Duration(float64(connections) / perSecond * float64(time.Second))
			next := time.Now().Add(interval * time.Duration(n) / time.Duration(connections))
			var conn net.Conn
			var reader *bufio.Reader
			for {
				select {
				case <-stop:
					if conn != nil {
						_ = conn.Close()
					}
					return
				case <-time.After(time.Until(next)):
				}
				next = next.Add(interval)
				if late := time.Since(next); late > 0 {
					next = time.Now()
				}
				conn, reader = c.send(conn, reader)
			}
		}()
	}
	group.Wait()
}

// send sends one request and returns the connection if it can be used again.
func (c *client) send(conn net.Conn, reader *bufio.Reader) (net.Conn, *bufio.Reader) {
	s := sent{id: fmt.Sprintf("%016x", 0x9c41d07b00000000+c.ids.Add(1)), entry: c.entry, method: c.method}
	var err error
	if conn == nil {
		if conn, err = net.DialTimeout("tcp4", c.entry, time.Second); err != nil {
			s.at, s.ended, s.failure = time.Now(), time.Now(), err.Error()
			c.finish(s)
			return nil, nil
		}
		reader = bufio.NewReader(conn)
	}
	s.at = time.Now()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.host, s.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "X-Api-Key: %s\r\n", c.key)
	}
	if c.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n" + c.body)
	_ = conn.SetDeadline(s.at.Add(c.deadline))
	if _, err = io.WriteString(conn, b.String()); err == nil {
		err = c.readAnswer(reader, &s)
	}
	s.ended = time.Now()
	if err != nil {
		s.status, s.failure = 0, err.Error()
		_ = conn.Close()
		conn, reader = nil, nil
	}
	c.finish(s)
	return conn, reader
}

var errClosing = errors.New("the node closes the connection after this answer")

func (c *client) readAnswer(reader *bufio.Reader, s *sent) error {
	resp, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	s.status, s.stamp = resp.StatusCode, resp.Header.Get("Instance-Stamp")
	if resp.Close {
		s.ended = time.Now()
		c.finish(*s)
		return errClosing
	}
	return nil
}

func (c *client) finish(s sent) {
	if s.failure == errClosing.Error() {
		return
	}
	c.ledger.add(s)
	c.rec.add("client at %s: %s %s sent at %.3f s: status %d stamp %q %s", c.entry, s.method, s.id, s.at.Sub(c.rec.started).Seconds(), s.status, s.stamp, s.failure)
}
