package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for the output; they take at most some hundred kilobytes.
	queuedLines = 1024
	// flushTime is how long Close waits for an output that stalls.
	flushTime = 300 * time.Millisecond
)

// AsyncWriter hands lines to its own writer, so that an output that stalls never holds up a request. Lines beyond the queue
// are dropped, counted, and reported by a line when the output goes on.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	close   sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer to out. Close ends it.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	a := &AsyncWriter{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go a.run()
	return a
}

// Write queues a copy of the line. It never blocks and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were dropped and not reported yet.
func (a *AsyncWriter) DroppedLines() int64 { return a.dropped.Load() }

// Close writes what is queued, within a short time. Lines must not be written after it.
func (a *AsyncWriter) Close() {
	a.close.Do(func() { close(a.lines) })
	select {
	case <-a.done:
	case <-time.After(flushTime):
	}
}

func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		if n := a.dropped.Swap(0); n > 0 {
			a.write([]byte(fmt.Sprintf(`{"level":"warning","lines":%d,"msg":"dropped log lines because the output stalled"}`+"\n", n)))
		}
		a.write(line)
	}
}

// write ignores the error: there is no other place to report that the log's own output failed.
func (a *AsyncWriter) write(line []byte) { _, _ = a.out.Write(line) }
