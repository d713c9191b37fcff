package admission_test

import (
	"testing"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/internal/coldupstream"
	"github.com/bamboodeal/bamboodeal/decision/internal/seeds"
)

const (
	slots              = 10
	initialConcurrency = 2
	warmUp             = 5 * time.Second
	latency            = 20 * time.Millisecond
	end                = 30 * time.Second
	// capacity is the number of calls that the warm upstream serves in a second.
	capacity = slots * int(time.Second/latency)
)

// coldStart is a scenario in which the upstream is cold, becomes cold, or is wrongly thought to be cold.
type coldStart struct {
	name string
	// warmFraction is how warm the upstream is when the controller starts: 0 is cold, 1 is warm.
	warmFraction float64
	// latencyKnown is true if the controller is told the warm latency.
	latencyKnown bool
	// coldAgainAt is when the upstream becomes cold without a warning; 0 means never.
	coldAgainAt time.Duration
	// burst is the number of additional calls that are submitted at the start.
	burst int
	hint  *admission.CapacityHint
	// slowdown is the factor by which a cold upstream is slower than a warm one; 0 means 4.
	slowdown float64
	// fullWithin is the time within which the limit has to reach all slots.
	fullWithin time.Duration
}

var coldStarts = []coldStart{
	{name: "cold start", fullWithin: 2 * warmUp},
	{name: "cold start, herd of 400", burst: 400, fullWithin: 2 * warmUp},
	{name: "cold start, hints claim all slots", hint: &admission.CapacityHint{Healthy: true, Concurrency: slots}, fullWithin: 2 * warmUp},
	{name: "cold start, only 1.2 times slower", slowdown: 1.2, fullWithin: 2 * warmUp},
	{name: "cold, node restarted, warm latency known", latencyKnown: true, fullWithin: 2 * warmUp},
	{name: "warm, node restarted, warm latency known", warmFraction: 1, latencyKnown: true, fullWithin: time.Second},
	{name: "warm, node restarted, warm latency unknown", warmFraction: 1, fullWithin: 2 * warmUp},
	{name: "warm, hints claim unhealthy", warmFraction: 1, latencyKnown: true, hint: &admission.CapacityHint{}, fullWithin: time.Second},
	{name: "turns cold without warning", warmFraction: 1, coldAgainAt: 12 * time.Second, fullWithin: 2 * warmUp},
	{name: "turns cold, only 1.2 times slower", warmFraction: 1, coldAgainAt: 12 * time.Second, slowdown: 1.2, fullWithin: 2 * warmUp},
}

// simulate offers 80% of the warm capacity and returns the simulation after 30 s.
func (s coldStart) simulate(seed uint64, cfg admission.Config) *coldupstream.Simulation {
	upstream := &coldupstream.Upstream{
		Slots: slots, InitialConcurrency: initialConcurrency, Latency: latency, WarmUp: warmUp * 9 / 10, Slowdown: 4, WarmFraction: s.warmFraction,
	}
	if s.slowdown > 0 {
		upstream.Slowdown = s.slowdown
	}
	if s.latencyKnown {
		cfg.WarmLatency = latency
	}
	sim := coldupstream.New(seed, cfg, upstream)
	sim.Offer("team", config.PriorityNormal, 0.8*float64(capacity), 0, end)
	for range s.burst {
		sim.Queue.At(0, func() { sim.Arrive("herd", config.PriorityNormal) })
	}
	if s.hint != nil {
		for t := time.Duration(0); t < end; t += 100 * time.Millisecond {
			sim.Queue.At(t, func() { sim.Controller.ApplyHint(sim.Queue.Now(), *s.hint) })
		}
	}
	if s.coldAgainAt > 0 {
		sim.Queue.At(s.coldAgainAt, sim.MakeUpstreamCold)
	}
	sim.Run(end)
	sim.FullLimitAt -= s.coldAgainAt
	return sim
}

var rampConfig = admission.Config{Slots: slots, InitialConcurrency: initialConcurrency, RampTime: warmUp}

// A cold upstream never gets more calls than it can handle, and the limit reaches all slots in time.
func TestColdStart(t *testing.T) {
	for _, s := range coldStarts {
		for seed := range seeds.Count(t, 3) {
			g := NewWithT(t)
			sim := s.simulate(seed, rampConfig)
			g.Expect(sim.Upstream.ExcessCalls).To(BeZero(), "%s, seed %d: calls above the upstream's capacity", s.name, seed)
			g.Expect(sim.FullLimitAt).To(And(BeNumerically(">", 0), BeNumerically("<=", s.fullWithin)), "%s, seed %d: time until the limit reaches all slots", s.name, seed)
		}
	}
}

// Without a ramp a cold upstream gets more calls than it can handle, so TestColdStart depends on the ramp. Prints the
// table of docs/measurements/admission.md.
func TestColdStartWithoutRampOverloadsUpstream(t *testing.T) {
	g := NewWithT(t)
	noRampConfig := admission.Config{Slots: slots, InitialConcurrency: slots}
	for _, s := range coldStarts {
		withRamp, withoutRamp := s.simulate(1, rampConfig), s.simulate(1, noRampConfig)
		t.Logf("| %s | %d | %d | %.1f s | %d%% | %d%% |", s.name, withRamp.Upstream.ExcessCalls, withoutRamp.Upstream.ExcessCalls, withRamp.FullLimitAt.Seconds(),
			100*withRamp.Served["team"]/withRamp.Offered["team"], 100*withoutRamp.Served["team"]/withoutRamp.Offered["team"])
		if s.warmFraction == 0 || s.coldAgainAt > 0 {
			g.Expect(withoutRamp.Upstream.ExcessCalls).To(BeNumerically(">", 0), s.name)
		}
	}
}
