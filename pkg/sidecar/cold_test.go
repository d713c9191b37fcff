package sidecar

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// becomeCold makes an upstream cold just after a health check of its node, which does not check it again for a while.
func (u *upstreamStub) becomeCold(g *WithT, remaining time.Duration) {
	before := u.checks.Load()
	g.Eventually(u.checks.Load, 2*checkInterval, time.Millisecond).Should(BeNumerically(">", before))
	time.Sleep(20 * time.Millisecond)
	u.coldRemainingMS.Store(remaining.Milliseconds())
}

// Guards against the full load for an upstream that becomes cold again, which can crash it, until the next health check
// although its entry says that it is cold.
func TestUpstreamThatBecomesColdIsNoticedFromItsEntry(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	const cold = 3 * time.Second
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for i := range 60 {
		sending.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Second):
					m.send(0, request{method: "GET", path: "/read/1", id: fmt.Sprint(i, "-", n)})
				}
			}
		})
		time.Sleep(time.Second / 60)
	}
	defer sending.Wait()
	defer close(stop)
	m.upstreams[0].becomeCold(g, cold)
	m.nodes[0].ReportCold(cold)
	// The rule of the platform for a cold rate of 10 a second with the settings of the test.
	const maxPerSecond = 10*1.5 + 5
	before := m.runs()
	time.Sleep(time.Second)
	g.Expect(m.runs() - before).To(BeNumerically("<=", int64(maxPerSecond)))
}

// Guards against the same load while the node is out of contact with the store: only a health check tells that the upstream
// has become cold then.
func TestUpstreamThatBecomesColdIsNoticedWithoutStore(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	m.disconnectStore(0)
	m.upstreams[0].becomeCold(g, 3*time.Second)
	g.Eventually(func() bool { return m.nodes[0].controller.queue.load().Cold }, 500*time.Millisecond, 5*time.Millisecond).Should(BeTrue())
}
