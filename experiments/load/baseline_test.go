package load

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a baseline that records no calls or reports no added latency.
func TestBaseline(t *testing.T) {
	g := NewWithT(t)
	b, err := NewBaseline("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer b.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.Run(ctx)
	}()
	g.Eventually(b.server.Records, "5s").Should(HaveLen(3))
	cancel()
	<-done
	g.Expect(b.addedLatency.TotalCount()).To(BeNumerically(">=", 2))
	p50, p99 := b.AddedLatency()
	g.Expect(p50).To(BeNumerically(">", 0))
	g.Expect(p99).To(BeNumerically(">=", p50))
}
