package soak

import (
	"sync"
	"syscall"
	"time"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/platform/platformtest"
	"github.com/bamboodeal/bamboodeal/standin/link"
)

const (
	// shortestGap and longestGap are the times between the beginnings of two faults; most overlap.
	shortestGap = 100 * time.Millisecond
	longestGap  = 1400 * time.Millisecond
	// shortestFault and longestFault bound how long a fault lasts.
	shortestFault = 200 * time.Millisecond
	longestFault  = 3500 * time.Millisecond
	// stormCount is the number of versions of a series, stormGap the time between them.
	stormCount = 5
	stormGap   = 150 * time.Millisecond
)

// fault is a kind of disruption; run returns when it is over.
type fault struct {
	name string
	run  func(s *soak, r *source)
}

var faults = []fault{
	{"stop nodes one after the other", func(s *soak, r *source) {
		for _, i := range r.some(len(s.vms), 3) {
			s.vms[i].terminate()
		}
	}},
	{"kill nodes", func(s *soak, r *source) {
		for _, i := range r.some(len(s.vms), len(s.vms)) {
			s.vms[i].signal(syscall.SIGKILL)
		}
	}},
	{"pause nodes", func(s *soak, r *source) {
		paused := r.some(len(s.vms), 2)
		for _, i := range paused {
			s.vms[i].signal(syscall.SIGSTOP)
		}
		time.Sleep(r.duration(shortestFault, longestFault))
		for _, i := range paused {
			s.vms[i].signal(syscall.SIGCONT)
		}
	}},
	{"write settings again", func(s *soak, r *source) {
		for _, i := range r.some(len(s.vms), len(s.vms)) {
			if err := s.vms[i].writeSettings(); err != nil {
				s.ledger.violated("harness", "cannot write settings: %v", err)
			}
			s.vms[i].signal(syscall.SIGHUP)
		}
	}},
	{"degrade links", degradeLinks},
	{"reset connections", func(s *soak, r *source) {
		for _, i := range r.some(len(s.vms), len(s.vms)) {
			s.vms[i].peers.reset()
			s.vms[i].upstreams.reset()
			s.vms[i].store.reset()
		}
	}},
	{"store", func(s *soak, r *source) {
		s.store.SetMode(platformtest.Mode(1 + r.number(int(platformtest.ModeDropResponses))))
		time.Sleep(r.duration(shortestFault, longestFault))
		s.store.SetMode(platformtest.ModeNormal)
	}},
	{"discard the store's history", func(s *soak, _ *source) { s.store.DiscardHistory() }},
	{"replace upstreams", func(s *soak, r *source) {
		var replacing sync.WaitGroup
		for _, i := range r.some(len(s.vms), 2) {
			notice := r.chance(0.5)
			replacing.Go(func() { s.replace(s.vms[i], notice) })
		}
		replacing.Wait()
	}},
	{"configuration", func(s *soak, r *source) { s.reconfigure(r) }},
	{"series of configurations", func(s *soak, r *source) {
		for range stormCount {
			s.reconfigure(r)
			time.Sleep(stormGap)
		}
	}},
	{"evacuate a data centre", func(s *soak, r *source) {
		key := platformtest.EvacuationKey(dataCentres[r.number(len(dataCentres))])
		s.store.Put(key, []byte("{}"))
		time.Sleep(r.duration(shortestFault, longestFault))
		s.store.Delete(key)
	}},
}

// degradeLinks delays the paths to some nodes or silences them, one way or both.
func degradeLinks(s *soak, r *source) {
	mode, delay := link.ModeNormal, r.duration(0, longestDelay)
	if n := r.number(len(failures) + 1); n < len(failures) {
		mode, delay = failures[n], 0
	}
	chosen := r.some(len(s.vms), len(s.vms)/2)
	degraded := make([]*path, 0, 2*len(chosen))
	for _, i := range chosen {
		v := s.vms[i]
		degraded = append(degraded, [][]*path{{v.peers}, {v.upstreams}, {v.store}, {v.peers, v.store}}[r.number(4)]...)
	}
	for _, p := range degraded {
		p.degrade(mode, delay)
	}
	time.Sleep(r.duration(shortestFault, longestFault))
	for _, p := range degraded {
		p.degrade(link.ModeNormal, 0)
	}
}

// replace replaces the upstream of a VM unless that goes on already.
func (s *soak) replace(v *vm, notice bool) {
	s.mu.Lock()
	busy := s.replacing[v]
	s.replacing[v] = true
	s.mu.Unlock()
	if busy {
		return
	}
	v.upstream.replace(notice)
	s.mu.Lock()
	s.replacing[v] = false
	s.mu.Unlock()
}

// reconfigure publishes a version that moves a route, and another one that leads nowhere yet.
func (s *soak) reconfigure(r *source) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += uint64(1 + r.number(3))
	share := float64(r.number(101))
	c, err := newConfig(s.version, share)
	if err != nil {
		s.ledger.note("harness", "the configuration is not valid: %v", err)
		return
	}
	value, err := platformtest.EncodeConfig(c)
	if err != nil {
		s.ledger.note("harness", "the configuration cannot be encoded: %v", err)
		return
	}
	s.store.Put(platformtest.ConfigKey, value)
}

// newConfig returns a version in which a share of the moving route leads to the first service, in percent. The route
// named after the version shows which version a node has.
func newConfig(version uint64, share float64) (*mesh.Config, error) {
	list := make([]*mesh.Service, 0, len(services))
	for _, name := range services {
		list = append(list, &mesh.Service{
			Name: name, HealthPath: healthPath, MaxConnections: 60, ColdStartDuration: coldTime, ColdRequestsPerSecond: coldRate,
		})
	}
	members := make([]*mesh.Team, 0, len(teams))
	for i, t := range teams {
		members = append(members, &mesh.Team{Name: t.name, Keys: []string{t.key}, Priority: i, HasPriority: true, Rate: t.rate, Burst: t.burst})
	}
	routes := []*mesh.Route{
		{Name: "read", PathPrefix: "/read/", Idempotent: true, Destinations: all(serviceAlpha)},
		{Name: "write", PathPrefix: "/write/", Destinations: all(serviceBeta)},
		{Name: "inner", PathPrefix: innerPath, Idempotent: true, Public: true, Destinations: all(serviceBeta)},
		{Name: "moving", PathPrefix: "/moving/", Idempotent: true, Destinations: []mesh.Destination{
			{Service: serviceAlpha, Weight: share}, {Service: serviceBeta, Weight: 100 - share},
		}},
		{Name: "version", PathPrefix: versionPath(version), Idempotent: true, Destinations: all(serviceAlpha)},
	}
	for _, r := range routes {
		r.Host, r.Timeout, r.Objective, r.MaxAttempts = callerHost, callerDeadline, callerDeadline/4, 2
	}
	return mesh.NewConfig(version, list, members, routes)
}

func all(service string) []mesh.Destination {
	return []mesh.Destination{{Service: service, Weight: 1}}
}
