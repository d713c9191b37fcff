package distribution_test

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/platform"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
)

// listenSilently accepts connections and never answers, as a frozen node does.
func listenSilently(t *testing.T) (address string, accepted *atomic.Int32) {
	t.Helper()
	l := listen(t)
	accepted = &atomic.Int32{}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, conn)
			mu.Unlock()
			accepted.Add(1)
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, conn := range conns {
			_ = conn.Close()
		}
	})
	return l.Addr().String(), accepted
}

// A parent that accepts connections and never answers must be polled again on a new connection and then be replaced. It
// must neither keep the node from getting its configuration nor delay the node's stop.
func TestSilentParentIsReplaced(t *testing.T) {
	g := NewWithT(t)
	address, accepted := listenSilently(t)
	l := listen(t)
	list := &platform.MemberList{Revision: 1}
	self := decide.Node{VM: "vm-self", DataCentre: "crato", Address: l.Addr().String()}
	// The name is chosen so that the silent node precedes this one in the ranking and is therefore its parent.
	for i := 0; decide.NewRanking(self, list.Members).ListedRank() == 0; i++ {
		list.Members = []platform.Member{{
			VM: fmt.Sprintf("vm-%d", i), Upstream: "vitrine-2", DataCentre: "crato", State: platform.MemberLive,
			ControlAddress: address,
		}}
	}
	s := newFakeSource()
	s.list = list
	b := mustBuild(t, 1)
	s.publish(b.ManifestBytes, b.Values)
	n := startNode(t, self.VM, l, []platform.Source{s}, nil)
	g.Eventually(n.Ready, eventualTimeout).Should(BeTrue())
	g.Eventually(func() int { return n.Status().Rank }, eventualTimeout).Should(Equal(0))
	g.Expect(n.Status().Parents).To(BeEmpty())
	g.Expect(accepted.Load()).To(BeNumerically(">=", 2))
	// Stop the node right after it has connected to the silent node again, so that a poll is probably in progress.
	before := accepted.Load()
	g.Eventually(accepted.Load, eventualTimeout).Should(BeNumerically(">", before))
	n.stop()
	g.Expect(n.WaitingPolls()).To(BeZero())
}
