package mesh

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
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

// followedMesh is a mesh of synchronisers that read from a store and from each other.
type followedMesh struct {
	store   *storeStub
	syncers map[string]*Syncer
	// storeReads counts the reads of the store by VM. lost holds the VMs whose connections fail, in the way of fail.
	mu         sync.Mutex
	storeReads map[string]int
	lost       map[string]bool
	fail       func(wait time.Duration, read func() (Delta, error)) (Delta, error)
}

func newFollowedMesh(t *testing.T, dataCentres, perDataCentre int) *followedMesh {
	t.Helper()
	m := &followedMesh{store: &storeStub{entries: map[string]Entry{}}, syncers: map[string]*Syncer{}, storeReads: map[string]int{}, lost: map[string]bool{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	m.store.put("config", "1")
	m.store.put("upstream/leaving", "orders dc-0 10.9.0.1:9000")
	for i := range dataCentres * perDataCentre {
		vm, dataCentre := fmt.Sprint("10.1.0.", i+1), fmt.Sprint("dc-", i%dataCentres)
		m.store.put("upstream/"+vm, "orders "+dataCentre+" "+vm+":9000")
		m.syncers[vm] = NewSyncer(SyncerOptions{
			VM: vm, DataCentre: dataCentre, UpstreamAddress: vm + ":9000", HeartbeatInterval: heartbeat, WideLink: true, Clock: clock.System(), Log: log,
			Store: sourceFunc(func(after Position, wait time.Duration) (Delta, error) {
				m.mu.Lock()
				m.storeReads[vm]++
				m.mu.Unlock()
				return m.transfer(vm, vm, wait, func() (Delta, error) { return m.store.Read(after, wait) })
			}),
			PeerSource: func(peer string) Source {
				return sourceFunc(func(after Position, wait time.Duration) (Delta, error) {
					return m.transfer(vm, peer, wait, func() (Delta, error) {
						if s := m.syncers[peer]; s != nil {
							return s.ServeRead(after, wait), nil
						}
						return Delta{}, eris.New("no node runs at the address")
					})
				})
			},
			Decode: func(e Entry) (Change, bool) {
				if e.Key != "config" {
					return decodeTestEntry(e)
				}
				version, err := strconv.ParseUint(e.Value, 10, 64)
				return Change{Config: &Config{Version: version}}, err == nil
			},
		})
	}
	for _, s := range m.syncers {
		go s.Run(ctx)
	}
	return m
}

// transfer plays a read between two VMs. A loss takes effect while a read waits, too.
func (m *followedMesh) transfer(from, to string, wait time.Duration, read func() (Delta, error)) (Delta, error) {
	isLost := func() bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		return m.lost[from] || m.lost[to]
	}
	if isLost() {
		return m.fail(wait, read)
	}
	d, err := read()
	if isLost() {
		return m.fail(0, func() (Delta, error) { return d, err })
	}
	return d, err
}

// storeReaders returns the VMs whose nodes have read the store in a span of time.
func (m *followedMesh) storeReaders(span time.Duration) []string {
	m.mu.Lock()
	clear(m.storeReads)
	m.mu.Unlock()
	time.Sleep(span)
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.storeReads))
}

// Load: the nodes that read the store for their data centres are lost right before a key is withdrawn, an upstream leaves and a
// data centre is evacuated. Guards against other nodes that reach the store and act on it later than the bound of 2 s, as
// they wait for the lost nodes one after the other. Requests that are under way need the rest of the bound.
func TestChangesAreInForceInTimeWhenReadersAreLost(t *testing.T) {
	const bound, underWay = sources.DefaultChangeBound, 100 * time.Millisecond
	silent := func(wait time.Duration, _ func() (Delta, error)) (Delta, error) {
		time.Sleep(wait + sources.AnswerMargin)
		return Delta{}, eris.New("no answer in time")
	}
	for name, fail := range map[string]func(time.Duration, func() (Delta, error)) (Delta, error){
		"cut off or frozen": silent,
		"resetting": func(time.Duration, func() (Delta, error)) (Delta, error) {
			time.Sleep(time.Millisecond)
			return Delta{}, eris.New("connection reset")
		},
		"slow": func(_ time.Duration, read func() (Delta, error)) (Delta, error) {
			time.Sleep(700 * time.Millisecond)
			return read()
		},
	} {
		for _, dataCentres := range []int{1, 2, 3, 4} {
			t.Run(fmt.Sprint(name, " data centres: ", dataCentres), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				m := newFollowedMesh(t, dataCentres, 4)
				m.fail = fail
				time.Sleep(6 * time.Second)
				lost := m.storeReaders(2 * time.Second)
				g.Expect(len(lost)).To(BeNumerically("<=", dataCentres))
				m.mu.Lock()
				for _, vm := range lost {
					m.lost[vm] = true
				}
				m.mu.Unlock()
				m.store.put("config", "2")
				m.store.put("upstream/leaving", "")
				m.store.put("evacuated/dc-0", "1")
				var group sync.WaitGroup
				var latest atomic.Int64
				acknowledged := time.Now()
				for vm, s := range m.syncers {
					if m.lost[vm] {
						continue
					}
					group.Go(func() {
						for time.Since(acknowledged) < 2*bound {
							v := s.View()
							if v.Config.Version == 2 && len(v.VMs) == len(m.syncers) && v.EvacuatedDataCentres["dc-0"] {
								break
							}
							time.Sleep(5 * time.Millisecond)
						}
						latest.Store(max(latest.Load(), int64(time.Since(acknowledged))))
					})
				}
				group.Wait()
				t.Logf("%d of %d nodes lost, in force after %v", len(lost), len(m.syncers), time.Duration(latest.Load()))
				g.Expect(time.Duration(latest.Load())).To(BeNumerically("<=", bound-underWay))
			})
		}
	}
}

// Load: a store that takes longer for each answer than a node waits for one. Guards against a node that drops all answers and
// never has a view.
func TestAnswerThatArrivesLateIsUsed(t *testing.T) {
	g := NewWithT(t)
	const answerTime = 1500 * time.Millisecond
	s := newTestSyncer(nil)
	s.options.Store = sourceFunc(func(Position, time.Duration) (Delta, error) {
		time.Sleep(answerTime)
		return Delta{Entries: []Entry{newEntry("upstream/own", "orders north "+ownAddress, 1)}, Revision: 1, Full: true}, nil
	})
	go s.Run(t.Context())
	g.Eventually(func() *Upstream { return s.View().OwnUpstream }, 2*answerTime, 5*time.Millisecond).ShouldNot(BeNil())
	g.Expect(s.StoreAge()).To(BeNumerically(">=", answerTime), "the time that the answer took is its age")
}

// Guards against a late answer that brings back an entry which was removed since its read.
func TestLateAnswerBringsNothingBack(t *testing.T) {
	g := NewWithT(t)
	s := newTestSyncer(nil)
	own := newEntry("upstream/own", "orders north "+ownAddress, 1)
	g.Expect(s.handleResult(readResult{delta: Delta{Entries: []Entry{own}, Revision: 7, Full: true}})).To(Succeed())
	s.handleLateResult(readResult{delta: Delta{Entries: []Entry{newEntry("upstream/gone", "orders north 10.0.0.8:9000", 2)}, Revision: 5, Full: true, Whole: true}})
	g.Expect(s.View().VMs).To(Equal([]string{HostIP(ownAddress)}))
	s.handleLateResult(readResult{delta: Delta{Entries: []Entry{newEntry("upstream/new", "orders north 10.0.0.9:9000", 8)}, Revision: 8}})
	g.Expect(s.View().VMs).To(HaveLen(2))
}
