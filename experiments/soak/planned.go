package soak

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Kind is a kind of soak run.
type Kind string

const (
	// KindFaults is a run with random faults of all kinds.
	KindFaults Kind = "faults"
	// KindPlanned is a run of planned work only: stops with a restart, SIGHUP and new versions, which follow each other
	// closely. The load is near the capacity of the upstreams, and some requests take much longer than usual.
	KindPlanned Kind = "planned"
)

const (
	// minPlannedInterval and maxPlannedInterval bound the time between the starts of two pieces of planned work.
	minPlannedInterval = 50 * time.Millisecond
	maxPlannedInterval = 700 * time.Millisecond
	// minStopInterval and maxStopInterval bound the time between two stops of a series.
	minStopInterval = 100 * time.Millisecond
	maxStopInterval = 1300 * time.Millisecond
	// minReloadAge is the least age of a process that gets SIGHUP. A process that has not installed its handler yet would
	// end.
	minReloadAge = time.Second
	// extraCallersPerVM and nestedCallersPerVM are the callers that a planned run adds on each VM. The latter send calls
	// without a key, as an upstream does.
	extraCallersPerVM  = 9
	nestedCallersPerVM = 2
	// longExecutionShare is the part of the executions of a planned run that take much longer than usual.
	longExecutionShare   = 0.1
	minLongExecutionTime = 300 * time.Millisecond
	maxLongExecutionTime = 1300 * time.Millisecond
)

// plannedWorks are the faults of a planned run.
var plannedWorks = []fault{
	{"stop nodes at intervals", true, func(s *soakRun, r *randomSource) {
		var stops conc.WaitGroup
		for _, i := range r.subset(len(s.vms), len(s.vms)) {
			stops.Go(func() { s.stopNode(s.vms[i]) })
			time.Sleep(r.durationBetween(minStopInterval, maxStopInterval))
		}
		stops.Wait()
	}},
	{"stop nodes at once", true, func(s *soakRun, r *randomSource) {
		var stops conc.WaitGroup
		for _, i := range r.subset(len(s.vms), len(s.vms)/2) {
			stops.Go(func() { s.stopNode(s.vms[i]) })
		}
		stops.Wait()
	}},
	{"write settings again", true, func(s *soakRun, r *randomSource) {
		for _, i := range r.subset(len(s.vms), len(s.vms)) {
			s.reloadSettings(s.vms[i])
		}
	}},
	{"configuration", true, func(s *soakRun, r *randomSource) { s.publishConfig(r) }},
	{"series of configurations", true, publishConfigSeries},
}

// stopNode stops the node of a VM, which then starts again, unless half of the nodes are stopping already. The others
// have to serve.
func (s *soakRun) stopNode(v *vm) {
	s.mu.Lock()
	if s.stopping[v] || len(s.stopping) >= len(s.vms)/2 {
		s.mu.Unlock()
		return
	}
	s.stopping[v] = true
	s.mu.Unlock()
	v.terminate()
	s.mu.Lock()
	delete(s.stopping, v)
	s.mu.Unlock()
}

// reloadSettings writes the settings file of a node again and sends SIGHUP, unless its process has just started.
func (s *soakRun) reloadSettings(v *vm) {
	if err := v.writeSettings(); err != nil {
		s.ledger.addViolation("harness", "cannot write settings: %v", err)
	}
	if v.age() >= minReloadAge {
		v.signal(syscall.SIGHUP)
	}
}

// startExtraCallers starts the callers that only a planned run has. They end with ctx.
func (s *soakRun) startExtraCallers(ctx context.Context, callers *conc.WaitGroup) {
	number := callersPerVM * len(s.vms)
	for _, v := range s.vms {
		for range extraCallersPerVM {
			n := number
			callers.Go(func() { s.runCaller(ctx, v, n, pauseCaller) })
			number++
		}
		for range nestedCallersPerVM {
			n := number
			callers.Go(func() { s.runNestedCaller(ctx, v, n) })
			number++
		}
	}
}

// runNestedCaller sends calls without a key to the node of a VM until ctx ends, as the upstream beside it does.
func (s *soakRun) runNestedCaller(ctx context.Context, v *vm, callerNumber int) {
	random := newRandomSource(s.options.Seed, uint64(1000+callerNumber))
	client := &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1, MaxConns: 1}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		spec := requestSpec{
			id: fmt.Sprintf("%s-%d-%d", v.name, callerNumber, n), method: fasthttp.MethodGet,
			callerWorker: v.settings.Service, services: []string{serviceBeta}, idempotent: true, entry: v.name,
		}
		spec.path = nestedPathPrefix + spec.id
		pauseCaller(random, sendRequest(client, s.ledger, spec, "", nestedCallDeadline))
	}
}
