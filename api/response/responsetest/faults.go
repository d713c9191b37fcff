// Package responsetest has servers with faulty responses, for the tests of everything that reads responses.
package responsetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Server answers the first request of each connection with the bytes that its function writes.
type Server struct {
	Address string
	// Open is the number of open connections, BytesBehind the number of bytes that arrived after a response.
	Open, BytesBehind atomic.Int64
}

// Serve starts a server that ends with the test. write gets a connection on which a request has arrived.
func Serve(t testing.TB, write func(conn net.Conn)) *Server {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: l.Addr().String()}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.Open.Add(1)
			serving.Go(func() {
				defer s.Open.Add(-1)
				defer func() { _ = conn.Close() }()
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				write(conn)
				n, _ := io.Copy(io.Discard, conn)
				s.BytesBehind.Add(n)
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		serving.Wait()
	})
	return s
}

// Malformed returns the bytes of responses that have the body and look like a success, but are malformed: each has a fault in its status
// line, in a field line of the head, of an interim response, or of the trailer section, or in how it ends.
func Malformed(body string) []string {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	fields := []string{"X Y: z", "X : y", "X\t: y", " X: y", "X\x01Y: z", "X: y\x00", "X: y\r\n z", "Content Length: 1", "X"}
	list := make([]string, 0, 6+4*len(fields))
	list = append(list,
		"HTTP/1.1 000\r\n"+length+"\r\n"+body,
		"HTTP/1.1 2000 OK\r\n"+length+"\r\n"+body,
		"HTTP/1.1 200 O\x00K\r\n"+length+"\r\n"+body,
		"HTTP/2.0 200 OK\r\n"+length+"\r\n"+body,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+length+"\r\n"+chunks+"\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n"+length+"\r\n"+body,
	)
	for _, line := range fields {
		list = append(list,
			"HTTP/1.1 200 OK\r\n"+line+"\r\n"+length+"\r\n"+body,
			"HTTP/1.1 200 OK\r\n"+length+line+"\r\n\r\n"+body,
			"HTTP/1.1 100 Continue\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\n"+length+"\r\n"+body,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunks+line+"\r\n\r\n",
		)
	}
	return list
}

// Endless is a response that never ends: its first bytes, and then a block of bytes again and again, or silence if that is empty.
type Endless struct{ First, Repeated string }

// Write writes the response until the connection is closed or the response falls silent.
func (e Endless) Write(conn net.Conn) {
	_, err := io.WriteString(conn, e.First)
	for block := []byte(e.Repeated); err == nil && len(block) > 0; {
		_, err = conn.Write(block)
	}
}

// EndlessResponses returns endless responses by name. Some announce bodies or chunks that are larger than any memory, or
// large ones of which only a byte follows.
func EndlessResponses() map[string]Endless {
	block := strings.Repeat(" ", 1<<20)
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	return map[string]Endless{
		"no response":      {"", block},
		"status line":      {"HTTP/1.1 200 ", block},
		"line":             {ok + "A: ", block},
		"fields":           {ok, strings.Repeat("A: b\r\n", 1000)},
		"interim":          {"", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000)},
		"announced length": {ok + "Content-Length: 100000000000000\r\n\r\n", block},
		"large length":     {ok + "Content-Length: 60000000\r\n\r\n ", ""},
		"until the close":  {ok + "\r\n", block},
		"chunks":           {chunked, "100000\r\n" + block + "\r\n"},
		"small chunks":     {chunked, strings.Repeat("1\r\n \r\n", 1000)},
		"announced chunk":  {chunked + "5af3107a4000\r\n", block},
		"large chunk":      {chunked + "3938700\r\n ", ""},
		"chunk extension":  {chunked + "1;a=", block},
		"chunk extensions": {chunked, "1;a=" + block[:1000] + "\r\n \r\n"},
		"trailer line":     {chunked + "1\r\n \r\n0\r\nA: ", block},
		"trailers":         {chunked + "1\r\n \r\n0\r\n", strings.Repeat("A: b\r\n", 1000)},
	}
}

// sampleInterval is the time between two looks at the memory.
const sampleInterval = 2 * time.Millisecond

// PeakMemory returns the most bytes of memory that the Go runtime took from the system, beyond those at the start, while f ran.
func PeakMemory(f func()) int64 {
	debug.FreeOSMemory()
	before, peak := UsedMemory(), int64(0)
	ended := make(chan struct{})
	var sampling sync.WaitGroup
	sampling.Go(func() {
		for {
			peak = max(peak, UsedMemory()-before)
			select {
			case <-ended:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	f()
	close(ended)
	sampling.Wait()
	return peak
}

// UsedMemory returns the bytes of memory that the Go runtime has from the system.
func UsedMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
