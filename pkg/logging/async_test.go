package logging

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedOutput is a writer whose Write blocks until release is closed.
type blockedOutput struct {
	mu      sync.Mutex
	buffer  bytes.Buffer
	release chan struct{}
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buffer.Write(p)
}

// A log output that stalls must not block requests.
func TestWriteDoesNotBlockOnStalledOutput(t *testing.T) {
	g := NewWithT(t)
	out := &blockedOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	start := time.Now()
	for i := range 3 * maxQueuedLines {
		_, err := fmt.Fprintf(w, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	// Only the lines of the first write and those in the queue are kept.
	const shortestLine = len("line 0\n")
	g.Expect(w.DroppedLines()).To(BeNumerically(">=", 2*maxQueuedLines-1-maxWriteSize/shortestLine))
	close(out.release)
	w.Close()
	g.Expect(out.buffer.String()).To(ContainSubstring("line 0\n"))
	g.Expect(out.buffer.String()).To(ContainSubstring("dropped log lines"))
}

// countingOutput counts writes. The first one waits for release, so that lines queue up behind it.
type countingOutput struct {
	release chan struct{}
	writes  int
	buffer  bytes.Buffer
}

func (o *countingOutput) Write(p []byte) (int, error) {
	<-o.release
	o.writes++
	return o.buffer.Write(p)
}

// Guards against a system call for each of the lines that are queued, and against lines that are lost or change places
// when they are written together.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	g := NewWithT(t)
	out := &countingOutput{release: make(chan struct{})}
	w := NewAsyncWriter(out)
	const count = 500
	var want bytes.Buffer
	for i := range count {
		line := fmt.Sprintf(`{"line":%d}`+"\n", i)
		want.WriteString(line)
		_, err := w.Write([]byte(line))
		g.Expect(err).NotTo(HaveOccurred())
	}
	close(out.release)
	w.Close()
	g.Expect(out.buffer.String()).To(Equal(want.String()))
	g.Expect(out.writes).To(BeNumerically("<=", 2+want.Len()/maxWriteSize))
}
