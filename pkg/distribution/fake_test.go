package distribution_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/distribution"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// fakeSource is an in-memory source of the configuration and the member list.
type fakeSource struct {
	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	manifest []byte
	values   map[string][]byte
	list     *platform.MemberList
	down     bool
	reads    map[string]int // number of reads of each value by digest
	watches  int            // number of answered reads of the manifest
}

func newFakeSource() *fakeSource {
	return &fakeSource{changed: make(chan struct{}), values: map[string][]byte{}, reads: map[string]int{}}
}

// update calls change under the lock and wakes the waiting reads.
func (s *fakeSource) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) publish(manifest []byte, values map[string][]byte) {
	s.update(func() {
		for digest, data := range values {
			s.values[digest] = data
		}
		s.manifest = manifest
		s.revision++
	})
}

// await waits until ready, which it calls under the lock, returns true or the wait is over.
func (s *fakeSource) await(ctx context.Context, wait time.Duration, ready func() bool) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		done, down, changed := ready(), s.down, s.changed
		s.mu.Unlock()
		if down {
			return platform.ErrUnavailable
		}
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *fakeSource) Manifest(ctx context.Context, after uint64, wait time.Duration) ([]byte, uint64, bool, error) {
	err := s.await(ctx, wait, func() bool { return s.revision > after || wait == 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	if err == nil && s.manifest == nil {
		err = platform.ErrNotFound
	}
	return s.manifest, s.revision, s.revision > after, err
}

func (s *fakeSource) Value(_ context.Context, digest string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads[digest]++
	if s.down {
		return nil, platform.ErrUnavailable
	}
	if s.values[digest] == nil {
		return nil, platform.ErrNotFound
	}
	return s.values[digest], nil
}

func (s *fakeSource) Members(ctx context.Context, after uint64, wait time.Duration) (*platform.MemberList, error) {
	var list *platform.MemberList
	err := s.await(ctx, wait, func() bool {
		list = s.list
		return list != nil && list.Revision > after
	})
	if list != nil && list.Revision <= after {
		list = nil
	}
	return list, err
}

// objects returns a small valid set. The digest of its first key depends on number.
func objects(number int) config.Objects {
	o := config.Objects{
		DataCentres: []config.DataCentre{{Name: "crato", Region: "nordeste", State: config.DataCentreIn}},
		Services: []config.Service{
			{Name: "vitrine", ColdStart: config.ColdStart{InitialConcurrency: 2, RampMS: 1000}},
		},
		Upstreams: []config.Upstream{
			{Name: "vitrine-1", Service: "vitrine", DataCentre: "crato", Slots: 10, Connections: 110},
		},
		Routes: []config.Route{{
			Name: "designs", Service: "vitrine", PathPrefix: "/designs", Methods: []string{"GET"},
			Visibility: config.VisibilityPublic, Idempotent: true, Priority: config.PriorityInteractive, TimeoutMS: 1000,
			MaxBodyBytes: 1024,
		}},
		Teams: []config.Team{{Name: "aurora", RatePerSecond: 10, Burst: 20, Weight: 1}},
	}
	for i := range 40 {
		secret := fmt.Sprintf("key-%d", i)
		if i == 0 {
			secret += fmt.Sprint("-", number)
		}
		o.Keys = append(o.Keys, config.Key{
			ID: fmt.Sprintf("k%02d", i), Team: "aurora", Digest: config.KeyDigest(secret), State: config.KeyGranted,
		})
	}
	return o
}

func mustBuild(t testing.TB, number int) *bundle.Bundle {
	t.Helper()
	b, err := bundle.Build(objects(number), uint64(number), "")
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// jumpClock is a clock that can jump forward.
type jumpClock struct {
	mu sync.Mutex
	clock.Clock
	offset time.Duration
}

func (c *jumpClock) Now() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now() + c.offset
}

func (c *jumpClock) jump(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// node is a Syncer with its control port.
type node struct {
	*distribution.Syncer
	address   string
	store     *snapshot.Store
	freshness *snapshot.Freshness
	clock     *jumpClock
	stop      func()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// startNode starts a node whose control port listens on l. Its stop function stops it and waits for its end.
func startNode(t testing.TB, vm string, l net.Listener, sources []platform.Source, change func(*distribution.Options)) *node {
	t.Helper()
	n := &node{
		address: l.Addr().String(), store: &snapshot.Store{}, freshness: &snapshot.Freshness{},
		clock: &jumpClock{Clock: clock.System()},
	}
	o := distribution.Options{
		VM: vm, Upstream: "vitrine-1", DataCentre: "crato", ControlAddress: n.address, Sources: sources,
		DialAddress: "127.0.0.1", Store: n.store, Freshness: n.freshness, Clock: n.clock, RandomSeed: 1,
	}
	if change != nil {
		change(&o)
	}
	n.Syncer = distribution.New(o)
	server := &fasthttp.Server{Handler: n.ControlHandler()}
	distribution.ConfigureServer(server)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); _ = server.Serve(l) }()
	go func() { defer wg.Done(); _ = n.Run(ctx) }()
	n.stop = sync.OnceFunc(func() {
		cancel()
		_ = server.Shutdown()
		wg.Wait()
	})
	t.Cleanup(n.stop)
	return n
}

// startNodes starts nodes that are in the source's member list.
func startNodes(t testing.TB, s *fakeSource, count int) []*node {
	t.Helper()
	listeners := make([]net.Listener, count)
	list := &platform.MemberList{Revision: 1}
	for i := range listeners {
		listeners[i] = listen(t)
		list.Members = append(list.Members, platform.Member{
			VM: fmt.Sprintf("vm-%d", i), Upstream: fmt.Sprintf("vitrine-%d", i), DataCentre: "crato",
			State: platform.MemberLive, ControlAddress: listeners[i].Addr().String(),
		})
	}
	s.update(func() { s.list = list })
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = startNode(t, list.Members[i].VM, listeners[i], []platform.Source{s}, nil)
	}
	return nodes
}
