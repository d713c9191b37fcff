package logging

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// stalled is an output that accepts nothing until it is released.
type stalled struct {
	mu      sync.Mutex
	b       bytes.Buffer
	release chan struct{}
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

// A reader of the log that stands still must not hold up requests.
func TestAStalledOutputHoldsNobodyUp(t *testing.T) {
	g := NewWithT(t)
	out := &stalled{release: make(chan struct{})}
	a := NewAsyncWriter(out)
	start := time.Now()
	for i := range 3 * queuedLines {
		_, err := fmt.Fprintf(a, "line %d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
	g.Expect(a.DroppedLines()).To(BeNumerically(">=", 2*queuedLines-1))
	close(out.release)
	a.Close()
	g.Expect(out.b.String()).To(ContainSubstring("line 0\n"))
	g.Expect(out.b.String()).To(ContainSubstring("dropped log lines"))
}
