// Package soak runs node processes on loopback, injects random faults and checks, from what callers and stand-in
// upstreams observe, that the guarantees of the system hold throughout.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/platform/platformtest"
)

const (
	callerHost   = "shop.example"
	serviceAlpha = "alpha"
	serviceBeta  = "beta"
	// callersPerVM is the number of callers on each VM. Together, the callers of the team red exceed its limit.
	callersPerVM = 3
	// firstPipelinedCaller is the number of the first caller that sends series of requests; there is one on each VM.
	firstPipelinedCaller = 100_000
	// recoveryTime is how long after the last fault the mesh has to serve requests normally again. It is long enough
	// for nodes to notice connections that went silent, for expired entries to be published again and for cold
	// upstreams to become warm.
	recoveryTime = 8 * time.Second
	// recoveryCheckDuration is how long requests are then counted, and minServedShare the part of them that has to be
	// served.
	recoveryCheckDuration = 2 * time.Second
	minServedShare        = 0.95
	// readyPollInterval is the interval at which a starting node is asked whether it is ready.
	readyPollInterval = 20 * time.Millisecond
	// maxNodeMemoryMB bounds the memory of one node at the target size.
	maxNodeMemoryMB = 128
)

var (
	services    = []string{serviceAlpha, serviceBeta}
	dataCentres = []string{"north", "south"}
	teams       = []struct {
		name, key   string
		rate, burst float64
	}{{"red", "key-red", 12, 12}, {"blue", "key-blue", 2000, 2000}, {"green", "key-green", 2000, 2000}}
)

// versionPathPrefix returns the path prefix of the route that only the given version of the configuration contains.
func versionPathPrefix(version uint64) string { return fmt.Sprintf("/version/%d/", version) }

// Options configures a soak run.
type Options struct {
	// NodeProgram is the path of the node's executable. Settings files and logs are written to Directory.
	NodeProgram string
	Directory   string
	Seed        uint64
	// Kind is the kind of the run; empty means KindFaults.
	Kind Kind
	// VMs is the number of VMs, each with one node process. FaultDuration is the time during which new faults start.
	VMs           int
	FaultDuration time.Duration
	Log           *logrus.Logger
	// Progress, unless nil, is called between the starts of faults with the elapsed time and the numbers of requests
	// that were served and that failed.
	Progress func(elapsed time.Duration, served, failed int64)
}

// Result is the outcome of a soak run; it is written as one line of JSON. Violations holds descriptions by guarantee,
// and Passed is true when there are none. Faults lists the faults with their start times in seconds, PeakMB is the
// largest memory of a node in megabytes, Seconds the duration of the whole run.
type Result struct {
	Seed       uint64              `json:"seed"`
	Kind       Kind                `json:"kind"`
	VMs        int                 `json:"vms"`
	Passed     bool                `json:"kept"`
	Violations map[string][]string `json:"violations,omitempty"`
	Counts     map[string]int      `json:"counts"`
	Faults     []string            `json:"faults"`
	PeakMB     int                 `json:"peak_mb"`
	Seconds    float64             `json:"seconds"`
}

// soakRun is the state of one soak run.
type soakRun struct {
	options Options
	store   *platformtest.Store
	ledger  *ledger
	vms     []*vm

	served, failed atomic.Int64
	// dense is true while the planned work of a planned run begins, or the faults of a demand run. Executions then take longer.
	dense atomic.Bool

	// restoring is held during a restore of the store.
	restoring sync.Mutex

	mu            sync.Mutex
	version       uint64
	replacing     map[*vm]bool
	stopping      map[*vm]bool
	startedFaults []string
}

// Run executes one soak run. It returns an error only if the harness fails; violated guarantees are in the result.
func Run(ctx context.Context, options Options) (*Result, error) {
	started := time.Now()
	options.Kind = cmp.Or(options.Kind, KindFaults)
	s := &soakRun{
		options: options, store: platformtest.NewStore(), ledger: newLedger(),
		replacing: map[*vm]bool{}, stopping: map[*vm]bool{},
	}
	s.store.SendEra()
	storeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var background conc.WaitGroup
	background.Go(func() {
		if err := s.store.Serve(storeListener); err != nil {
			s.ledger.addViolation("harness", "the store failed: %v", err)
		}
	})
	s.publishConfig(newRandomSource(options.Seed, 0))
	if err := s.startVMs(storeListener.Addr().String()); err != nil {
		s.stopVMs()
		return nil, err
	}
	s.runFaults(ctx)
	peak := s.checkFinalState()
	s.stopVMs()
	if err := s.store.Close(); err != nil {
		options.Log.WithError(err).Debug("cannot close the store stand-in")
	}
	background.Wait()
	limits := map[string][2]float64{}
	for _, t := range teams {
		limits[t.name] = [2]float64{t.rate, t.burst}
	}
	s.ledger.checkRateBounds(limits, coldRequestsPerSecond)
	s.ledger.checkLost()
	return &Result{
		Seed: options.Seed, Kind: options.Kind, VMs: options.VMs, Passed: len(s.ledger.violations) == 0, Violations: s.ledger.violations,
		Counts: s.ledger.counts, Faults: s.startedFaults, PeakMB: peak, Seconds: time.Since(started).Seconds(),
	}, nil
}

// startVMs starts the VMs and waits until all nodes are ready.
func (s *soakRun) startVMs(storeAddress string) error {
	// Each seed has its own loopback addresses, so that runs with different seeds do not interfere with each other.
	networkPrefix := fmt.Sprintf("127.%d.%d", 20+s.options.Seed%200, (s.options.Seed/200)%250)
	ports, err := freePorts(networkPrefix + ".1")
	if err != nil {
		return err
	}
	for i := range s.options.VMs {
		v, err := s.newVM(i, fmt.Sprintf("%s.%d", networkPrefix, i+1), ports, storeAddress)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		if err := v.startNode(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, v := range s.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				return eris.Errorf("%s is not ready after %s; see its log in %s", v.name, readyTimeout, s.options.Directory)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// runFaults starts the callers and then faults at random intervals. It waits until all faults are over, checks that the
// mesh has recovered and stops the callers.
func (s *soakRun) runFaults(ctx context.Context) {
	callerContext, stop := context.WithCancel(ctx)
	var callers, runningFaults conc.WaitGroup
	for i, v := range s.vms {
		for n := range callersPerVM {
			callers.Go(func() { s.runCaller(callerContext, v, i*callersPerVM+n, pauseCaller) })
		}
		callers.Go(func() { s.runPipelinedCaller(callerContext, v, firstPipelinedCaller+i) })
	}
	extraContext, stopExtra := context.WithCancel(callerContext)
	possibleFaults, minInterval, maxInterval := faults, minFaultInterval, maxFaultInterval
	switch s.options.Kind {
	case KindDemand:
		s.dense.Store(true)
		s.startDemandCallers(extraContext, &callers)
	case KindPlanned:
		possibleFaults, minInterval, maxInterval = plannedWorks, minPlannedInterval, maxPlannedInterval
		s.dense.Store(true)
		s.startExtraCallers(extraContext, &callers)
	}
	random := newRandomSource(s.options.Seed, 1)
	started := time.Now()
	for n := 0; time.Since(started) < s.options.FaultDuration && ctx.Err() == nil; n++ {
		f := possibleFaults[random.intN(len(possibleFaults))]
		s.startedFaults = append(s.startedFaults, fmt.Sprintf("%.1f %s", time.Since(started).Seconds(), f.name))
		s.options.Log.WithField("fault", f.name).WithField("at", time.Since(started).Seconds()).Debug("starting a fault")
		runningFaults.Go(func() {
			if !f.planned {
				defer s.ledger.recordUnplannedFault()()
			}
			f.run(s, newRandomSource(s.options.Seed, uint64(10000+n)))
		})
		time.Sleep(random.durationBetween(minInterval, maxInterval))
		if s.options.Progress != nil {
			s.options.Progress(time.Since(started), s.served.Load(), s.failed.Load())
		}
	}
	runningFaults.Wait()
	stopExtra()
	s.dense.Store(false)
	time.Sleep(recoveryTime)
	s.checkRecovery()
	stop()
	callers.Wait()
}

// countOutcome counts the outcome of a caller's request.
func (s *soakRun) countOutcome(status int) {
	if status == fasthttp.StatusOK {
		s.served.Add(1)
	} else if status != fasthttp.StatusTooManyRequests {
		// Status 429 is no failure: a team above its limit is expected to get it.
		s.failed.Add(1)
	}
}

// checkRecovery checks that requests are served again; it is called recoveryTime after the last fault.
func (s *soakRun) checkRecovery() {
	served, failed := s.served.Load(), s.failed.Load()
	time.Sleep(recoveryCheckDuration)
	served, failed = s.served.Load()-served, s.failed.Load()-failed
	if float64(served) < minServedShare*float64(served+failed) || served == 0 {
		s.ledger.addViolation("recovery", "%d requests served and %d not, from %s after the last fault", served, failed, recoveryTime)
	}
}

// checkFinalState checks that all nodes have the last version and stayed within the memory bound. It returns the
// largest memory of a node in megabytes.
func (s *soakRun) checkFinalState() (peakMB int) {
	team, key := s.team(1)
	for i, v := range s.vms {
		client := &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1}
		spec := requestSpec{
			id: fmt.Sprintf("%s-end", v.name), method: fasthttp.MethodGet, team: team,
			callerWorker: v.settings.Service, services: []string{serviceAlpha}, idempotent: true, entry: v.name,
		}
		spec.path = versionPathPrefix(s.version) + fmt.Sprint(i)
		if status := sendRequest(client, s.ledger, spec, key, callerDeadline); status != fasthttp.StatusOK {
			s.ledger.addViolation("version", "%s answers a route of the last version with %d", v.name, status)
		}
		client.CloseIdleConnections()
		mb, err := v.peakMemoryMB()
		if err != nil || mb > maxNodeMemoryMB {
			s.ledger.addViolation("memory", "%s used %d MB; the bound is %d (%v)", v.name, mb, maxNodeMemoryMB, err)
		}
		peakMB = max(peakMB, mb)
	}
	return peakMB
}

// stopVMs stops the nodes, the network paths and the upstreams of all VMs.
func (s *soakRun) stopVMs() {
	var ending conc.WaitGroup
	for _, v := range s.vms {
		ending.Go(func() {
			if v.command != nil {
				v.shutDown()
			}
			v.storePath.close()
			v.upstreamPath.close()
			if err := v.upstream.server.Shutdown(); err != nil {
				s.options.Log.WithError(err).Debug("cannot shut down an upstream stand-in")
			}
			if err := v.logFile.Close(); err != nil {
				s.options.Log.WithError(err).Warn("cannot close the log file of a node; it may be incomplete")
			}
		})
	}
	ending.Wait()
}
