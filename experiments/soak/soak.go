// Package soak plays random faults against the real programs on loopback and checks, from what callers and stand-in
// upstreams see, that the guarantees of the system hold all the while.
package soak

import (
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
	// workersPerVM is the number of callers on each VM; team red sends more than its limit.
	workersPerVM = 3
	// settleTime is how long after the last fault everything has to be in order: connections that went silent are
	// noticed, entries that lapsed are back, cold upstreams are warm.
	settleTime = 8 * time.Second
	// finalTime is how long requests are then counted, and finalShare the part of them that has to be served.
	finalTime  = 2 * time.Second
	finalShare = 0.95
	// readyPoll is how often a node that starts is asked whether it is ready.
	readyPoll = 20 * time.Millisecond
	// memoryBoundMB is the memory of one node at the target size.
	memoryBoundMB = 128
)

var (
	services    = []string{serviceAlpha, serviceBeta}
	dataCentres = []string{"north", "south"}
	teams       = []struct {
		name, key   string
		rate, burst float64
	}{{"red", "key-red", 12, 12}, {"blue", "key-blue", 2000, 2000}, {"green", "key-green", 2000, 2000}}
)

func versionPath(version uint64) string { return fmt.Sprintf("/version/%d/", version) }

// Options are what a soak depends on.
type Options struct {
	// NodeProgram is the path of the node's program, Directory takes settings and logs.
	NodeProgram string
	Directory   string
	Seed        uint64
	// VMs is the number of nodes, each a process, and Length the time in which faults begin.
	VMs           int
	FaultDuration time.Duration
	Log           *logrus.Logger
	// Progress is called a few times a second with what was counted so far; it may be nil.
	Progress func(elapsed time.Duration, served, failed int64)
}

// Result is what a soak showed. It is kept as a line of JSON.
type Result struct {
	Seed       uint64              `json:"seed"`
	VMs        int                 `json:"vms"`
	Passed     bool                `json:"kept"`
	Violations map[string][]string `json:"violations,omitempty"`
	Counts     map[string]int      `json:"counts"`
	Faults     []string            `json:"faults"`
	PeakMB     int                 `json:"peak_mb"`
	Seconds    float64             `json:"seconds"`
}

type soak struct {
	o      Options
	store  *platformtest.Store
	ledger *ledger
	vms    []*vm

	served, failed atomic.Int64

	mu        sync.Mutex
	version   uint64
	replacing map[*vm]bool
	played    []string
}

// Run plays one soak. The error is a fault of the harness; broken guarantees are in the result.
func Run(ctx context.Context, o Options) (*Result, error) {
	started := time.Now()
	s := &soak{o: o, store: platformtest.NewStore(), ledger: newLedger(), replacing: map[*vm]bool{}}
	storeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	var background conc.WaitGroup
	background.Go(func() {
		if err := s.store.Serve(storeListener); err != nil {
			s.ledger.violated("harness", "the store failed: %v", err)
		}
	})
	s.reconfigure(newSource(o.Seed, 0))
	if err := s.startAll(storeListener.Addr().String()); err != nil {
		s.endAll()
		return nil, err
	}
	s.play(ctx)
	peak := s.checkEnd()
	s.endAll()
	if err := s.store.Close(); err != nil {
		o.Log.WithError(err).Debug("the store was closed already")
	}
	background.Wait()
	limits := map[string][2]float64{}
	for _, t := range teams {
		limits[t.name] = [2]float64{t.rate, t.burst}
	}
	s.ledger.close(limits, coldRate)
	return &Result{
		Seed: o.Seed, VMs: o.VMs, Passed: len(s.ledger.violations) == 0, Violations: s.ledger.violations,
		Counts: s.ledger.counts, Faults: s.played, PeakMB: peak, Seconds: time.Since(started).Seconds(),
	}, nil
}

// startAll starts the VMs and waits until all nodes are ready.
func (s *soak) startAll(storeAddress string) error {
	// Each seed has its own addresses, so that soaks run beside each other.
	network := fmt.Sprintf("127.%d.%d", 20+s.o.Seed%200, (s.o.Seed/200)%250)
	port, err := ports(network + ".1")
	if err != nil {
		return err
	}
	for i := range s.o.VMs {
		v, err := s.newVM(i, fmt.Sprintf("%s.%d", network, i+1), port, storeAddress)
		if err != nil {
			return err
		}
		s.vms = append(s.vms, v)
		if err := v.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, v := range s.vms {
		for !v.ready() {
			if time.Now().After(deadline) {
				return eris.Errorf("%s is not ready after %s; see its log in %s", v.name, readyTimeout, s.o.Directory)
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// play lets callers send while faults begin one after the other, and waits until all are over.
func (s *soak) play(ctx context.Context) {
	sending, stop := context.WithCancel(ctx)
	var callers, playing conc.WaitGroup
	for i, v := range s.vms {
		for n := range workersPerVM {
			callers.Go(func() { s.worker(sending, v, i*workersPerVM+n) })
		}
	}
	random := newSource(s.o.Seed, 1)
	began := time.Now()
	for n := 0; time.Since(began) < s.o.FaultDuration && ctx.Err() == nil; n++ {
		f := faults[random.number(len(faults))]
		s.played = append(s.played, fmt.Sprintf("%.1f %s", time.Since(began).Seconds(), f.name))
		s.o.Log.WithField("fault", f.name).WithField("at", time.Since(began).Seconds()).Debug("a fault begins")
		playing.Go(func() { f.run(s, newSource(s.o.Seed, uint64(10000+n))) })
		time.Sleep(random.duration(shortestGap, longestGap))
		if s.o.Progress != nil {
			s.o.Progress(time.Since(began), s.served.Load(), s.failed.Load())
		}
	}
	playing.Wait()
	time.Sleep(settleTime)
	s.checkRecovery()
	stop()
	callers.Wait()
}

// progress counts the outcome of a request of a caller.
func (s *soak) progress(status int) {
	if status == fasthttp.StatusOK {
		s.served.Add(1)
	} else if status != fasthttp.StatusTooManyRequests {
		// A team over its limit is refused for good reason.
		s.failed.Add(1)
	}
}

// checkRecovery checks that requests are served again some time after the last fault.
func (s *soak) checkRecovery() {
	served, failed := s.served.Load(), s.failed.Load()
	time.Sleep(finalTime)
	served, failed = s.served.Load()-served, s.failed.Load()-failed
	if float64(served) < finalShare*float64(served+failed) || served == 0 {
		s.ledger.violated("recovery", "%d requests served and %d not, from %s after the last fault", served, failed, settleTime)
	}
}

// checkEnd checks that all nodes have the last version and stayed small; it returns the largest memory in megabytes.
func (s *soak) checkEnd() (peakMB int) {
	for i, v := range s.vms {
		client := &fasthttp.HostClient{Addr: v.settings.CallerAddress, MaxIdemponentCallAttempts: 1}
		o := order{
			id: fmt.Sprintf("%s-end", v.name), method: fasthttp.MethodGet, team: teams[1].name,
			callerWorker: v.settings.Service, services: []string{serviceAlpha}, idempotent: true,
		}
		o.path = versionPath(s.version) + fmt.Sprint(i)
		if status := send(client, s.ledger, o, teams[1].key, callerDeadline); status != fasthttp.StatusOK {
			s.ledger.violated("version", "%s answers a route of the last version with %d", v.name, status)
		}
		client.CloseIdleConnections()
		mb, err := v.residentMB()
		if err != nil || mb > memoryBoundMB {
			s.ledger.violated("memory", "%s used %d MB; the bound is %d (%v)", v.name, mb, memoryBoundMB, err)
		}
		peakMB = max(peakMB, mb)
	}
	return peakMB
}

func (s *soak) endAll() {
	var ending conc.WaitGroup
	for _, v := range s.vms {
		ending.Go(func() {
			if v.command != nil {
				v.end()
			}
			v.store.refuse()
			v.upstreams.refuse()
			if err := v.upstream.server.Shutdown(); err != nil {
				s.o.Log.WithError(err).Debug("an upstream stand-in was closed already")
			}
			if err := v.log.Close(); err != nil {
				s.o.Log.WithError(err).Warn("a log file is not complete")
			}
		})
	}
	ending.Wait()
}
