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
	g.Expect(w.DroppedLines()).To(BeNumerically(">=", 2*maxQueuedLines-1))
	close(out.release)
	w.Close()
	g.Expect(out.buffer.String()).To(ContainSubstring("line 0\n"))
	g.Expect(out.buffer.String()).To(ContainSubstring("dropped log lines"))
}
