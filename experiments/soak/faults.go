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
	// minFaultInterval and maxFaultInterval bound the time between the starts of two faults. Most faults overlap.
	minFaultInterval = 100 * time.Millisecond
	maxFaultInterval = 1400 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the random duration of the faults that last, such as paused nodes.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	// configSeriesLength is the number of versions that the fault "series of configurations" publishes,
	// configSeriesInterval the time between two of them.
	configSeriesLength   = 5
	configSeriesInterval = 150 * time.Millisecond
	// maxRestoreDuration bounds the time for which the store is unavailable before a restore, and the time until
	// operators and upstreams repeat what it lost. The next heartbeats of upstreams come within the latter, too.
	maxRestoreDuration = time.Second
)

// fault is a kind of disruption. Its function run returns when the disruption is over. Planned work is a stop with a
// restart, new settings or a new configuration; requests must survive it.
type fault struct {
	name    string
	planned bool
	run     func(s *soakRun, r *randomSource)
}

var faults = []fault{
	{"stop nodes one after the other", true, func(s *soakRun, r *randomSource) {
		for _, i := range r.subset(len(s.vms), 3) {
			s.vms[i].terminate()
		}
	}},
	{"kill nodes", false, func(s *soakRun, r *randomSource) {
		for _, i := range r.subset(len(s.vms), len(s.vms)) {
			s.vms[i].signal(syscall.SIGKILL)
		}
	}},
	{"pause nodes", false, func(s *soakRun, r *randomSource) {
		paused := r.subset(len(s.vms), 2)
		for _, i := range paused {
			s.vms[i].signal(syscall.SIGSTOP)
		}
		time.Sleep(r.durationBetween(minFaultDuration, maxFaultDuration))
		for _, i := range paused {
			s.vms[i].signal(syscall.SIGCONT)
		}
	}},
	{"write settings again", true, func(s *soakRun, r *randomSource) {
		for _, i := range r.subset(len(s.vms), len(s.vms)) {
			if err := s.vms[i].writeSettings(); err != nil {
				s.ledger.addViolation("harness", "cannot write settings: %v", err)
			}
			s.vms[i].signal(syscall.SIGHUP)
		}
	}},
	{"degrade links", false, degradeNetworkPaths},
	{"reset connections", false, func(s *soakRun, r *randomSource) {
		for _, i := range r.subset(len(s.vms), len(s.vms)) {
			s.vms[i].peerPath.resetConnections()
			s.vms[i].upstreamPath.resetConnections()
			s.vms[i].storePath.resetConnections()
		}
	}},
	{"store", false, func(s *soakRun, r *randomSource) {
		s.store.SetMode(platformtest.Mode(1 + r.intN(int(platformtest.ModeDropResponses))))
		time.Sleep(r.durationBetween(minFaultDuration, maxFaultDuration))
		s.store.SetMode(platformtest.ModeNormal)
	}},
	{"discard the store's history", false, func(s *soakRun, _ *randomSource) { s.store.DiscardHistory() }},
	{"restore the store", false, restoreStore},
	{"replace upstreams", false, func(s *soakRun, r *randomSource) {
		var replacing sync.WaitGroup
		for _, i := range r.subset(len(s.vms), 2) {
			notice := r.trueWithProbability(0.5)
			replacing.Go(func() { s.replaceUpstream(s.vms[i], notice) })
		}
		replacing.Wait()
	}},
	{"configuration", true, func(s *soakRun, r *randomSource) { s.publishConfig(r) }},
	{"series of configurations", true, publishConfigSeries},
	{"evacuate a data centre", false, func(s *soakRun, r *randomSource) {
		key := platformtest.EvacuationKey(dataCentres[r.intN(len(dataCentres))])
		s.store.Put(key, []byte("{}"))
		time.Sleep(r.durationBetween(minFaultDuration, maxFaultDuration))
		s.store.Delete(key)
	}},
}

// degradeNetworkPaths delays the traffic of some network paths or, in one direction or both, stops it without closing
// connections.
func degradeNetworkPaths(s *soakRun, r *randomSource) {
	mode, delay := link.ModeNormal, r.durationBetween(0, maxPathDelay)
	if n := r.intN(len(silentModes) + 1); n < len(silentModes) {
		mode, delay = silentModes[n], 0
	}
	chosenVMs := r.subset(len(s.vms), len(s.vms)/2)
	degraded := make([]*networkPath, 0, 2*len(chosenVMs))
	for _, i := range chosenVMs {
		v := s.vms[i]
		degraded = append(degraded, [][]*networkPath{{v.peerPath}, {v.upstreamPath}, {v.storePath}, {v.peerPath, v.storePath}}[r.intN(4)]...)
	}
	for _, p := range degraded {
		p.degrade(mode, delay)
	}
	time.Sleep(r.durationBetween(minFaultDuration, maxFaultDuration))
	for _, p := range degraded {
		p.degrade(link.ModeNormal, 0)
	}
}

// restoreStore makes the store unavailable and restores it from a copy that is some time old, with the lost revisions
// assigned again or not. What was lost is then written again. Only one restore runs at a time.
func restoreStore(s *soakRun, r *randomSource) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	copied := s.store.Copy()
	time.Sleep(r.durationBetween(minFaultDuration, maxFaultDuration))
	s.store.SetMode(platformtest.ModeUnavailable)
	time.Sleep(r.durationBetween(0, maxRestoreDuration))
	lost := s.store.Restore(copied, r.trueWithProbability(0.5))
	s.store.SetMode(platformtest.ModeNormal)
	time.Sleep(r.durationBetween(0, maxRestoreDuration))
	s.store.WriteAgain(lost)
}

// replaceUpstream replaces the upstream of a VM. It does nothing if that upstream is being replaced already.
func (s *soakRun) replaceUpstream(v *vm, notice bool) {
	s.mu.Lock()
	replacing := s.replacing[v]
	s.replacing[v] = true
	s.mu.Unlock()
	if replacing {
		return
	}
	v.upstream.replaceInstance(notice)
	s.mu.Lock()
	s.replacing[v] = false
	s.mu.Unlock()
}

// publishConfigSeries publishes several versions one after the other.
func publishConfigSeries(s *soakRun, r *randomSource) {
	for range configSeriesLength {
		s.publishConfig(r)
		time.Sleep(configSeriesInterval)
	}
}

// publishConfig publishes a new version with random weights for the route "moving" and a route named after the version.
func (s *soakRun) publishConfig(r *randomSource) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += uint64(1 + r.intN(3))
	alphaPercent := float64(r.intN(101))
	c, err := newConfig(s.version, alphaPercent)
	if err == nil && s.options.Kind == KindDemand {
		c, err = demandConfig(c)
	}
	if err != nil {
		s.ledger.addViolation("harness", "the configuration is not valid: %v", err)
		return
	}
	value, err := platformtest.EncodeConfig(c)
	if err != nil {
		s.ledger.addViolation("harness", "the configuration cannot be encoded: %v", err)
		return
	}
	s.ledger.recordPlannedWork(workConfiguration, "", time.Now())
	s.store.Put(platformtest.ConfigKey, value)
}

// newConfig returns a configuration in which the route "moving" sends alphaPercent of its requests to the service alpha
// and the rest to beta. The path of the route "version" contains the version, so that a request to it shows whether a
// node has this version.
func newConfig(version uint64, alphaPercent float64) (*mesh.Config, error) {
	configServices := make([]*mesh.Service, 0, len(services))
	for _, name := range services {
		configServices = append(configServices, &mesh.Service{
			Name: name, HealthPath: healthPath, MaxConnections: 60,
			ColdStartDuration: coldStartDuration, ColdRequestsPerSecond: coldRequestsPerSecond,
		})
	}
	configTeams := make([]*mesh.Team, 0, len(teams))
	for i, t := range teams {
		configTeams = append(configTeams, &mesh.Team{
			Name: t.name, Keys: []string{t.key}, Priority: i, HasPriority: true, Rate: t.rate, Burst: t.burst,
		})
	}
	routes := []*mesh.Route{
		{Name: "read", PathPrefix: "/read/", Idempotent: true, Destinations: onlyDestination(serviceAlpha)},
		{Name: "write", PathPrefix: "/write/", Destinations: onlyDestination(serviceBeta)},
		{Name: "upload", PathPrefix: uploadPathPrefix, Destinations: onlyDestination(serviceBeta)},
		{Name: "inner", PathPrefix: nestedPathPrefix, Idempotent: true, Public: true, Destinations: onlyDestination(serviceBeta)},
		{Name: "moving", PathPrefix: "/moving/", Idempotent: true, Destinations: []mesh.Destination{
			{Service: serviceAlpha, Weight: alphaPercent}, {Service: serviceBeta, Weight: 100 - alphaPercent},
		}},
		{Name: "version", PathPrefix: versionPathPrefix(version), Idempotent: true, Destinations: onlyDestination(serviceAlpha)},
	}
	for _, r := range routes {
		r.Host, r.Timeout, r.Objective, r.MaxAttempts = callerHost, callerDeadline, callerDeadline/4, 2
	}
	return mesh.NewConfig(version, configServices, configTeams, routes)
}

// onlyDestination returns the destinations of a route that leads to a single service.
func onlyDestination(service string) []mesh.Destination {
	return []mesh.Destination{{Service: service, Weight: 1}}
}
