package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/internal/seeds"
	"github.com/bamboodeal/bamboodeal/decision/internal/trafficsim"
)

// overload is a situation in which eight teams of equal weight share eight upstreams of 300 calls/s each. The first
// team sends eight times the rate of the others.
type overload struct {
	name string
	// rate of each team but the first, in calls a second.
	rate    float64
	timeout time.Duration
	dead    int
	shed    bool
}

// In each situation the capacity bears the interactive calls of all teams, and an eighth of what is left is above the
// rate of normal calls of a team within its rate. So neither may suffer.
var overloads = []overload{
	{"one team at eight times its rate, deadline 500 ms", 220, 500 * time.Millisecond, 0, false},
	{"one team at eight times its rate", 220, 250 * time.Millisecond, 0, false},
	{"and one upstream sheds above 2 calls", 200, 250 * time.Millisecond, 0, true},
	{"and half of the upstreams dead", 110, 250 * time.Millisecond, 4, false},
	{"and both", 90, 250 * time.Millisecond, 4, true},
}

func (o overload) simulate(seed uint64, baseline bool) *trafficsim.Simulation {
	m := trafficsim.New(seed, o.timeout, baseline)
	const end = 10 * time.Second
	m.KillUpstreams(o.dead)
	if o.shed {
		m.SetSheddingThreshold(2)
	}
	for i := range 8 {
		rate := o.rate
		if i == 0 {
			rate *= 8
		}
		m.Offer(fmt.Sprint("t", i), rate, end)
	}
	m.Run(end)
	return m
}

// worst returns the served share of the worst-served team among those within their rate.
func worst(m *trafficsim.Simulation, priorities ...config.Priority) float64 {
	worst := 1.0
	for team := 1; team < 8; team++ {
		worst = min(worst, m.ServedShare(fmt.Sprint("t", team), priorities...))
	}
	return worst
}

var all = []config.Priority{config.PriorityInteractive, config.PriorityNormal, config.PriorityBackground}

// Guards against a team that starves, background work that does not wait first, work after the deadline and retries
// that multiply, and prints the table of docs/measurements/admission.md.
func TestOverload(t *testing.T) {
	g := NewWithT(t)
	for _, o := range overloads {
		for seed := range seeds.Count(t, 1) {
			m, base := o.simulate(seed, false), o.simulate(seed, true)
			t.Logf("| %s | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.2f | %.2f | %d | %d |", o.name,
				100*worst(m, config.PriorityInteractive), 100*worst(base, config.PriorityInteractive), 100*worst(m, all...), 100*worst(base, all...),
				100*m.ServedShare("t0", all...), perCall(m), perCall(base), m.StartedLate, base.StartedLate)
			g.Expect(worst(m, config.PriorityInteractive, config.PriorityNormal)).To(BeNumerically(">", 0.95), "%s, seed %d", o.name, seed)
			g.Expect(worst(m, all...)).To(BeNumerically(">", worst(base, all...)), "%s, seed %d", o.name, seed)
			g.Expect(worst(m, config.PriorityInteractive)).To(BeNumerically(">=", worst(m, config.PriorityBackground)), "%s, seed %d", o.name, seed)
			g.Expect(perCall(m)).To(BeNumerically("<=", 1.1), "%s, seed %d", o.name, seed)
			g.Expect(m.StartedLate).To(BeZero(), "%s, seed %d", o.name, seed)
		}
	}
}

func perCall(m *trafficsim.Simulation) float64 { return float64(m.Attempts) / float64(m.Calls) }
