package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait for the output. A full queue takes a few hundred kilobytes.
	maxQueuedLines = 1024
	// maxWriteSize is the size in bytes from which no further line is added to a write.
	maxWriteSize = 4 << 10
	// closeTimeout bounds the wait of Close for an output that stalls.
	closeTimeout = 300 * time.Millisecond
)

// AsyncWriter queues log lines and writes them from its own goroutine, so that an output that stalls never blocks a
// request. It drops lines while the queue is full, and logs their number before the next line that it writes.
type AsyncWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	close   sync.Once
	done    chan struct{}
}

// NewAsyncWriter returns a writer that writes to out. Close ends its goroutine.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// DroppedLines returns the number of lines that were dropped and not yet logged.
func (w *AsyncWriter) DroppedLines() int64 { return w.dropped.Load() }

// Close waits until the queued lines are written, for at most 300 ms. Write must not be called after Close.
func (w *AsyncWriter) Close() {
	w.close.Do(func() { close(w.lines) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			w.write([]byte(fmt.Sprintf(`{"level":"warning","lines":%d,"msg":"dropped log lines because the output stalled"}`+"\n", n)))
		}
		w.write(w.withQueuedLines(line))
	}
}

// withQueuedLines appends the lines that are already queued to a line, up to maxWriteSize, because each write is a system
// call.
func (w *AsyncWriter) withQueuedLines(line []byte) []byte {
	for len(line) < maxWriteSize {
		select {
		case next, open := <-w.lines:
			if !open {
				return line
			}
			line = append(line, next...)
		default:
			return line
		}
	}
	return line
}

// write ignores errors, because a failure of the log output cannot be reported anywhere else.
func (w *AsyncWriter) write(line []byte) { _, _ = w.out.Write(line) }
