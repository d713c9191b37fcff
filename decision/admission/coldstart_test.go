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
	slots   = 10
	initial = 2
	warmUp  = 5 * time.Second
	latency = 20 * time.Millisecond
	end     = 30 * time.Second
	// capacity is what the warm upstream serves in a second.
	capacity = slots * int(time.Second/latency)
)

// coldStart is one situation of an upstream that is or turns cold.
type coldStart struct {
	name string
	// warmth and known are the state at the controller's start and whether the warm latency is known to it.
	warmth float64
	known  bool
	// turnsCold is when the upstream turns cold without warning; 0 for never.
	turnsCold time.Duration
	herd      int
	hint      *admission.CapacityHint
	slowdown  float64
	// fullWithin is how long the controller may take to all slots.
	fullWithin time.Duration
}

var coldStarts = []coldStart{
	{name: "cold start", fullWithin: 2 * warmUp},
	{name: "cold start, herd of 400", herd: 400, fullWithin: 2 * warmUp},
	{name: "cold start, hints claim all slots", hint: &admission.CapacityHint{Healthy: true, Concurrency: slots}, fullWithin: 2 * warmUp},
	{name: "cold start, only 1.2 times slower", slowdown: 1.2, fullWithin: 2 * warmUp},
	{name: "cold, node restarted, warm latency known", known: true, fullWithin: 2 * warmUp},
	{name: "warm, node restarted, warm latency known", warmth: 1, known: true, fullWithin: time.Second},
	{name: "warm, node restarted, warm latency unknown", warmth: 1, fullWithin: 2 * warmUp},
	{name: "warm, hints claim unhealthy", warmth: 1, known: true, hint: &admission.CapacityHint{}, fullWithin: time.Second},
	{name: "turns cold without warning", warmth: 1, turnsCold: 12 * time.Second, fullWithin: 2 * warmUp},
	{name: "turns cold, only 1.2 times slower", warmth: 1, turnsCold: 12 * time.Second, slowdown: 1.2, fullWithin: 2 * warmUp},
}

// simulate offers 80% of the warm capacity and returns the world after 30 s.
func (s coldStart) simulate(seed uint64, cfg admission.Config) *coldupstream.Simulation {
	up := &coldupstream.Upstream{
		Slots: slots, InitialConcurrency: initial, Latency: latency, WarmUp: warmUp * 9 / 10, Slowdown: 4, WarmFraction: s.warmth,
	}
	if s.slowdown > 0 {
		up.Slowdown = s.slowdown
	}
	if s.known {
		cfg.WarmLatency = latency
	}
	w := coldupstream.New(seed, cfg, up)
	w.Offer("team", config.PriorityNormal, 0.8*float64(capacity), 0, end)
	for range s.herd {
		w.Queue.At(0, func() { w.Arrive("herd", config.PriorityNormal) })
	}
	if s.hint != nil {
		for t := time.Duration(0); t < end; t += 100 * time.Millisecond {
			w.Queue.At(t, func() { w.Controller.ApplyHint(w.Queue.Now(), *s.hint) })
		}
	}
	if s.turnsCold > 0 {
		w.Queue.At(s.turnsCold, w.MakeUpstreamCold)
	}
	w.Run(end)
	w.FullLimitAt -= s.turnsCold
	return w
}

var rampConfig = admission.Config{Slots: slots, InitialConcurrency: initial, RampTime: warmUp}

// Guards against more load than a cold upstream bears, and against a ramp that never ends.
func TestColdStart(t *testing.T) {
	for _, s := range coldStarts {
		for seed := range seeds.Count(t, 3) {
			g := NewWithT(t)
			w := s.simulate(seed, rampConfig)
			g.Expect(w.Upstream.ExcessCalls).To(BeZero(), "%s, seed %d: calls above what it bears", s.name, seed)
			g.Expect(w.FullLimitAt).To(And(BeNumerically(">", 0), BeNumerically("<=", s.fullWithin)), "%s, seed %d: time to full", s.name, seed)
		}
	}
}

// Guards against a test that passes without the ramp, and prints the table of docs/measurements/admission.md.
func TestColdStartAgainstNoRamp(t *testing.T) {
	g := NewWithT(t)
	without := admission.Config{Slots: slots, InitialConcurrency: slots}
	for _, s := range coldStarts {
		ramp, none := s.simulate(1, rampConfig), s.simulate(1, without)
		t.Logf("| %s | %d | %d | %.1f s | %d%% | %d%% |", s.name, ramp.Upstream.ExcessCalls, none.Upstream.ExcessCalls, ramp.FullLimitAt.Seconds(),
			100*ramp.Served["team"]/ramp.Offered["team"], 100*none.Served["team"]/none.Offered["team"])
		if s.warmth == 0 || s.turnsCold > 0 {
			g.Expect(none.Upstream.ExcessCalls).To(BeNumerically(">", 0), s.name)
		}
	}
}
