package soak

import (
	"context"
	"fmt"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/platform"
)

// KindDemand is a run with random faults of all kinds on a mesh without teams, whose routes have unequal priorities. The demand swings
// by data centre and exceeds the capacity at times, and the upstreams of a service differ in speed.
const KindDemand Kind = "demand"

const (
	// demandCallersPerVM are the callers that a demand run adds on each VM. With them, the peaks of the demand exceed the capacity of
	// the upstreams.
	demandCallersPerVM = 6
	// meanDemandPause is the mean pause of these callers between two requests. The rate of pauses oscillates by demandSwing with
	// demandPeriod, in one data centre after the other.
	meanDemandPause = 300 * time.Millisecond
	demandSwing     = 0.55
	demandPeriod    = 17 * time.Second
	// minServiceFactor and maxServiceFactor bound the lasting service time of an upstream, as a multiple of the usual one.
	minServiceFactor = 0.5
	maxServiceFactor = 1.6
	// An upstream slows down by slowFactor for meanSlowTime on average, slowShare of the time.
	slowFactor   = 2.5
	meanSlowTime = 600 * time.Millisecond
	slowShare    = 0.15
	// oddLoadShare is the part of the responses whose load header is not valid.
	oddLoadShare = 0.05
	// maxNestedCalls bounds the nested calls of an execution, one after the other.
	maxNestedCalls = 2
)

// demandRoute is what a demand run changes about a route. work is the mean duration of its executions while the demand lasts.
type demandRoute struct {
	priority        int
	objective, work time.Duration
}

// demandRoutes holds the routes by name. The path of a route begins with its name.
var demandRoutes = map[string]demandRoute{
	"read":    {0, 400 * time.Millisecond, 120 * time.Millisecond},
	"version": {0, 400 * time.Millisecond, 20 * time.Millisecond},
	"write":   {1, 500 * time.Millisecond, 160 * time.Millisecond},
	"inner":   {2, 300 * time.Millisecond, 30 * time.Millisecond},
	"moving":  {2, callerDeadline, 300 * time.Millisecond},
	"upload":  {2, callerDeadline, 50 * time.Millisecond},
}

// oddLoads are values of the load header that are not valid or not plausible.
var oddLoads = []string{"", "-1,-1,-1,-1", "0,0,0,0", "1,1,4,1000000000000000000", "1,2,4,100,5", "a,b,c,d", "1,2,4", "1,2,4,", "1,2,4,1e9", "NaN"}

// demandConfig returns the configuration without teams and with the priorities and objectives of demandRoutes.
func demandConfig(c *mesh.Config) (*mesh.Config, error) {
	configServices := make([]*mesh.Service, 0, len(services))
	for _, name := range services {
		configServices = append(configServices, c.Services[name])
	}
	for _, r := range c.Routes {
		r.Priority, r.Objective = demandRoutes[r.Name].priority, demandRoutes[r.Name].objective
	}
	return mesh.NewConfig(c.Version, configServices, nil, c.Routes)
}

// team returns the name and the key of the team with the number; both are empty on a mesh without teams.
func (s *soakRun) team(number int) (name, key string) {
	if s.options.Kind == KindDemand {
		return "", ""
	}
	return teams[number].name, teams[number].key
}

// startDemandCallers starts the callers that only a demand run has. They end with ctx.
func (s *soakRun) startDemandCallers(ctx context.Context, callers *conc.WaitGroup) {
	number, started := callersPerVM*len(s.vms), time.Now()
	for _, v := range s.vms {
		phase := float64(slices.Index(dataCentres, v.settings.DataCentre)) / float64(len(dataCentres))
		for range demandCallersPerVM {
			n := number
			callers.Go(func() {
				s.runCaller(ctx, v, n, func(r *randomSource, _ int) {
					pause := float64(r.durationBetween(0, 2*meanDemandPause)) / demandAt(time.Since(started), phase)
					time.Sleep(time.Duration(pause))
				})
			})
			number++
		}
	}
}

// demandAt returns the demand at a time after the start as a multiple of its mean. phase is that of the data centre, from 0 to 1.
func demandAt(elapsed time.Duration, phase float64) float64 {
	return 1 + demandSwing*math.Sin(2*math.Pi*(elapsed.Seconds()/demandPeriod.Seconds()-phase))
}

// pace is the speed of an upstream in a demand run. A nil pace is that of an upstream which always has the usual speed and does not
// report its load. It is safe for concurrent use.
type pace struct {
	random *randomSource
	// factor is the lasting service time as a multiple of the usual one.
	factor float64

	mu   sync.Mutex
	slow bool
	// until is when slow changes next.
	until time.Time
}

// newPace returns the pace of the upstream of VM i, or nil unless the run is a demand run. The upstreams of one service have different
// factors, which are evenly spread.
func (s *soakRun) newPace(i int) *pace {
	if s.options.Kind != KindDemand {
		return nil
	}
	ranks := max(1, (s.options.VMs-1)/len(services))
	rank := float64(i/len(services)) / float64(ranks)
	return &pace{
		random: newRandomSource(s.options.Seed, uint64(200_000+i)), factor: minServiceFactor + rank*(maxServiceFactor-minServiceFactor),
	}
}

// slowness returns the present service time as a multiple of that of the upstream at other times.
func (p *pace) slowness(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until.IsZero() {
		p.slow, p.until = true, now
	}
	for !now.Before(p.until) {
		p.slow = !p.slow
		mean := meanSlowTime
		if !p.slow {
			mean = time.Duration(float64(meanSlowTime) * (1 - slowShare) / slowShare)
		}
		p.until = p.until.Add(p.random.durationBetween(mean/2, mean+mean/2))
	}
	if p.slow {
		return slowFactor
	}
	return 1
}

// executionTime returns the duration of an execution that starts now. While the demand lasts, it depends on the route and has a high
// variance; otherwise it is the usual one. Both are multiplied by the speed of the upstream.
func (p *pace) executionTime(path string, demand bool, usual time.Duration) time.Duration {
	if p == nil {
		return usual
	}
	route, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	if work := demandRoutes[route].work; demand && work > 0 {
		// The square of a uniform number has the mean 1/3; most executions are short and a few take three times the mean.
		part := float64(p.random.durationBetween(0, time.Second)) / float64(time.Second)
		usual = minExecutionTime + time.Duration(3*part*part*float64(work))
	}
	return time.Duration(float64(usual) * p.factor * p.slowness(time.Now()))
}

// nestedCalls returns the number of nested calls of an execution. While the demand lasts, it is a call on average: executions then
// often hold all slots of a service while they wait for calls to that service, which is no load from which a service recovers.
func (p *pace) nestedCalls(r *randomSource, demand bool) int {
	switch {
	case p != nil && demand:
		return r.intN(maxNestedCalls + 1)
	case r.trueWithProbability(nestedCallShare):
		return 1
	}
	return 0
}

// setLoadHeader states the present load of the upstream in a response: running, waiting, slots and slowness, which is 100 at the usual
// speed of the upstream. Now and then the header has an odd value.
func (p *pace) setLoadHeader(resp *fasthttp.Response, running, waiting int) {
	if p == nil {
		return
	}
	load := fmt.Sprintf("%d,%d,%d,%.0f", running, waiting, slotCount, 100*p.slowness(time.Now()))
	if p.random.trueWithProbability(oddLoadShare) {
		load = oddLoads[p.random.intN(len(oddLoads))]
	}
	resp.Header.Set(platform.Headers.UpstreamLoad, load)
}
