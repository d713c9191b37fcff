package mesh

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/decision/sources"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// onceSource answers the first read and blocks all others.
type onceSource struct{ answered chan struct{} }

func (s onceSource) Read(Position, time.Duration) (Delta, error) {
	select {
	case <-s.answered:
		select {}
	default:
		close(s.answered)
		return Delta{Revision: 7, Full: true}, nil
	}
}

// Guards against a reader that lets its followers wait for another half a second after its contact with the store has
// become too old. In this time they would keep sending requests to upstreams that have left.
func TestServeReadReturnsWhenStoreContactIsTooOld(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewSyncer(SyncerOptions{
		VM: "10.0.0.1", DataCentre: "north", UpstreamAddress: ownAddress, HeartbeatInterval: heartbeat, Store: onceSource{make(chan struct{})},
		Decode: func(Entry) (Change, bool) { return Change{}, false }, Clock: clock.System(), Log: log,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go s.Run(ctx)
	g.Eventually(s.StoreAge, time.Second, time.Millisecond).Should(BeNumerically("<", time.Second))
	time.Sleep(sources.MaxStoreAge - 100*time.Millisecond - s.StoreAge())
	asked := time.Now()
	delta := s.ServeRead(Position{Revision: 7}, sources.ReadWait)
	g.Expect(delta.StoreAge).To(BeNumerically(">", sources.MaxStoreAge))
	g.Expect(time.Since(asked)).To(BeNumerically("<", 300*time.Millisecond))
}

// changingSource has a change at every read, like the store while the upstreams of a mesh register one after the other.
type changingSource struct{ reads atomic.Uint64 }

func (s *changingSource) Read(Position, time.Duration) (Delta, error) {
	n := s.reads.Add(1)
	return Delta{Revision: n, Full: n == 1, Entries: []Entry{{Key: "a", Value: "x", Revision: n}}}, nil
}

// Load: the store changes all the time, as in the seconds in which a fleet starts or rolls. Guards against a reader that
// calls the store, whose calls are billed, for each of the changes.
func TestReaderBatchesSeriesOfChanges(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &changingSource{}
	own := newUpstream("a", 1, 1)
	s := NewSyncer(SyncerOptions{
		VM: "10.0.0.1", DataCentre: "north", UpstreamAddress: ownAddress, HeartbeatInterval: heartbeat, Store: store,
		Decode: func(Entry) (Change, bool) { return Change{Upstream: own}, true }, Clock: clock.System(), Log: log,
	})
	// The calls of a mesh to the store are billed; four a second from the reader of each data centre is what it is built for.
	const span, maxReads = 2 * time.Second, 2*4 + 1
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	s.Run(ctx)
	t.Logf("%d reads in %s", store.reads.Load(), span)
	g.Expect(store.reads.Load()).To(BeNumerically("<=", maxReads))
	g.Expect(store.reads.Load()).To(BeNumerically(">", 1))
}

// Guards against a node that sends its upstream the full load after it became cold again, because its entry in the store is
// not passed on. The cold times of other upstreams don't concern the node.
func TestColdTimeOfOwnUpstreamIsReported(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &storeStub{entries: map[string]Entry{}}
	store.put("upstream/own", "orders north "+ownAddress)
	store.put("upstream/other", "orders north 10.0.0.2:9000")
	reported := make(chan time.Duration, 10)
	s := NewSyncer(SyncerOptions{
		VM: "10.0.0.1", DataCentre: "north", UpstreamAddress: ownAddress, HeartbeatInterval: heartbeat, Store: store,
		PeerSource: func(string) Source { return store }, Decode: decodeTestEntry, Clock: clock.System(), Log: log,
		OnCold: func(remaining time.Duration) { reported <- remaining },
	})
	go s.Run(t.Context())
	g.Eventually(func() *Upstream { return s.View().OwnUpstream }, 2*time.Second, 5*time.Millisecond).ShouldNot(BeNil())
	store.put("upstream/other", "orders north 10.0.0.2:9000 2s")
	store.put("upstream/own", "orders north "+ownAddress+" 3s")
	g.Eventually(reported, 2*time.Second).Should(Receive(Equal(3 * time.Second)))
	store.put("upstream/own", "orders north "+ownAddress)
	g.Consistently(reported, 300*time.Millisecond).ShouldNot(Receive())
}
