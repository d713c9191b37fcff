package mesh

import (
	"context"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/decision/sources"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// storeStub is a store in memory.
type storeStub struct {
	mu       sync.Mutex
	entries  map[string]Entry
	events   []Entry
	revision uint64
}

// put writes an entry, or removes it if the value is empty.
func (s *storeStub) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := Entry{Key: key, Value: value, Revision: s.revision, Removed: value == ""}
	s.events = append(s.events, e)
	if s.entries[key] = e; e.Removed {
		delete(s.entries, key)
	}
}

func (s *storeStub) changesSince(revision uint64) Delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Delta{Revision: s.revision, Full: revision == 0}
	if d.Full {
		for _, e := range s.entries {
			d.Entries = append(d.Entries, e)
		}
		return d
	}
	for _, e := range s.events {
		if e.Revision > revision {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}

// Read implements Source.
func (s *storeStub) Read(after Position, wait time.Duration) (Delta, error) {
	for until := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if d := s.changesSince(after.Revision); d.Full || len(d.Entries) > 0 || time.Now().After(until) {
			return d, nil
		}
	}
}

// sourceFunc is a Source that is a function.
type sourceFunc func(after Position, wait time.Duration) (Delta, error)

// Read implements Source.
func (f sourceFunc) Read(after Position, wait time.Duration) (Delta, error) { return f(after, wait) }

// decodeTestEntry decodes "upstream/ID" with the service, data centre, address and possibly cold time as value, and "evacuated/NAME".
func decodeTestEntry(e Entry) (Change, bool) {
	kind, name, _ := strings.Cut(e.Key, "/")
	if kind == "evacuated" {
		if e.Removed {
			return Change{RestoredDataCentre: name}, true
		}
		return Change{EvacuatedDataCentre: name}, true
	}
	if e.Removed {
		return Change{RemovedUpstream: name}, true
	}
	fields := strings.Fields(e.Value)
	if len(fields) > 3 {
		cold, err := time.ParseDuration(fields[3])
		return Change{Upstream: &Upstream{ID: name, Service: fields[0], DataCentre: fields[1], Address: fields[2], Slots: 4, ColdRemaining: cold}}, err == nil
	}
	return Change{Upstream: &Upstream{ID: name, Service: fields[0], DataCentre: fields[1], Address: fields[2], IP: HostIP(fields[2]), Slots: 4}}, true
}

// Guards against a node that sends its own upstream requests until it ends, because it missed the removal, and that keeps a
// data centre evacuated for good: it is cut off from the store while the node that it reads from instead restarts.
func TestFollowerLearnsOfChangesDuringRestartOfItsReader(t *testing.T) {
	g := NewWithT(t)
	const readerAddress, leavingAddress = "10.0.0.9:9000", "10.0.0.8:9000"
	store := &storeStub{entries: map[string]Entry{}}
	store.put("upstream/reader", "orders south "+readerAddress)
	store.put("upstream/follower", "orders north "+ownAddress)
	store.put("upstream/leaving", "orders north "+leavingAddress)
	store.put("evacuated/south", "1")
	log := logrus.New()
	log.SetOutput(io.Discard)
	var reader atomic.Pointer[Syncer]
	start := func(address, dataCentre string, source Source) (*Syncer, context.CancelFunc) {
		ctx, cancel := context.WithCancel(t.Context())
		s := NewSyncer(SyncerOptions{
			VM: HostIP(address), DataCentre: dataCentre, UpstreamAddress: address, HeartbeatInterval: heartbeat, Store: source,
			PeerSource: func(string) Source {
				return sourceFunc(func(after Position, wait time.Duration) (Delta, error) {
					if s := reader.Load(); s != nil {
						return s.ServeRead(after, wait), nil
					}
					return Delta{}, eris.New("the node does not run")
				})
			},
			Decode: decodeTestEntry, Clock: clock.System(), Log: log,
		})
		go s.Run(ctx)
		return s, cancel
	}
	first, stopFirst := start(readerAddress, "south", store)
	reader.Store(first)
	var storeIsCut atomic.Bool
	follower, stopFollower := start(ownAddress, "north", sourceFunc(func(after Position, wait time.Duration) (Delta, error) {
		if storeIsCut.Load() {
			return Delta{}, eris.New("the store is out of reach")
		}
		return store.Read(after, wait)
	}))
	defer stopFollower()
	g.Eventually(func() int { return len(follower.View().VMs) }, 3*time.Second, 5*time.Millisecond).Should(Equal(3))
	g.Expect(follower.View().EvacuatedDataCentres).To(HaveKey("south"))

	storeIsCut.Store(true)
	stopFirst()
	reader.Store(nil)
	// Reads that wait at the store or the reader end within sources.ReadWait.
	time.Sleep(sources.ReadWait + 100*time.Millisecond)
	store.put("upstream/leaving", "")
	store.put("evacuated/south", "")
	second, stopSecond := start(readerAddress, "south", store)
	defer stopSecond()
	reader.Store(second)
	g.Eventually(func() int { return len(second.View().VMs) }, 3*time.Second, 5*time.Millisecond).Should(Equal(2))
	store.put("upstream/later", "orders south 10.0.0.7:9000")

	g.Eventually(func() []string { return follower.View().VMs }, 5*time.Second, 5*time.Millisecond).Should(ContainElement("10.0.0.7"))
	g.Eventually(func() []string { return follower.View().VMs }, time.Second, 5*time.Millisecond).ShouldNot(ContainElement("10.0.0.8"))
	g.Expect(follower.View().EvacuatedDataCentres).NotTo(HaveKey("south"))
}
