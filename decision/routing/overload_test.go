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

// overload is a scenario in which eight teams of equal weight share eight upstreams of 300 calls/s each. The first team
// sends eight times the rate of the others.
type overload struct {
	name string
	// rate is that of each team except the first, in calls a second.
	rate    float64
	timeout time.Duration
	// killed is the number of upstreams that do not run.
	killed int
	// shed makes one upstream refuse calls above a concurrency of 2.
	shed bool
}

// In each scenario the capacity is enough for the interactive calls of all teams, and an eighth of the remaining
// capacity is enough for the normal calls of a team that stays within its rate. So none of these calls may be refused.
// The names are the rows of a table in docs/measurements/admission.md; those that begin with "and" add to the second
// one.
var overloads = []overload{
	{"one team at eight times its rate, deadline 500 ms", 220, 500 * time.Millisecond, 0, false},
	{"one team at eight times its rate", 220, 250 * time.Millisecond, 0, false},
	{"and one upstream sheds above 2 calls", 200, 250 * time.Millisecond, 0, true},
	{"and half of the upstreams dead", 110, 250 * time.Millisecond, 4, false},
	{"and both", 90, 250 * time.Millisecond, 4, true},
}

func (o overload) simulate(seed uint64, baseline bool) *trafficsim.Simulation {
	sim := trafficsim.New(seed, o.timeout, baseline)
	const end = 10 * time.Second
	sim.KillUpstreams(o.killed)
	if o.shed {
		sim.SetSheddingThreshold(2)
	}
	for i := range 8 {
		rate := o.rate
		if i == 0 {
			rate *= 8
		}
		sim.Offer(fmt.Sprint("t", i), rate, end)
	}
	sim.Run(end)
	return sim
}

// lowestShare returns the lowest share of served calls among the teams that stay within their rates.
func lowestShare(sim *trafficsim.Simulation, priorities ...config.Priority) float64 {
	lowest := 1.0
	for team := 1; team < 8; team++ {
		lowest = min(lowest, sim.ServedShare(fmt.Sprint("t", team), priorities...))
	}
	return lowest
}

var allPriorities = []config.Priority{config.PriorityInteractive, config.PriorityNormal, config.PriorityBackground}

// In an overload by one team, the calls of the others are served, background calls wait first, no call starts after its
// deadline and retries do not multiply. Prints the table of docs/measurements/admission.md.
func TestOverload(t *testing.T) {
	g := NewWithT(t)
	for _, o := range overloads {
		for seed := range seeds.Count(t, 1) {
			sim, baselineSim := o.simulate(seed, false), o.simulate(seed, true)
			t.Logf("| %s | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.1f%% | %.2f | %.2f | %d | %d |", o.name,
				100*lowestShare(sim, config.PriorityInteractive), 100*lowestShare(baselineSim, config.PriorityInteractive), 100*lowestShare(sim, allPriorities...), 100*lowestShare(baselineSim, allPriorities...),
				100*sim.ServedShare("t0", allPriorities...), attemptsPerCall(sim), attemptsPerCall(baselineSim), sim.StartedLate, baselineSim.StartedLate)
			g.Expect(lowestShare(sim, config.PriorityInteractive, config.PriorityNormal)).To(BeNumerically(">", 0.95), "%s, seed %d", o.name, seed)
			g.Expect(lowestShare(sim, allPriorities...)).To(BeNumerically(">", lowestShare(baselineSim, allPriorities...)), "%s, seed %d", o.name, seed)
			g.Expect(lowestShare(sim, config.PriorityInteractive)).To(BeNumerically(">=", lowestShare(sim, config.PriorityBackground)), "%s, seed %d", o.name, seed)
			g.Expect(attemptsPerCall(sim)).To(BeNumerically("<=", 1.1), "%s, seed %d", o.name, seed)
			g.Expect(sim.StartedLate).To(BeZero(), "%s, seed %d", o.name, seed)
		}
	}
}

func attemptsPerCall(sim *trafficsim.Simulation) float64 {
	return float64(sim.Attempts) / float64(sim.Calls)
}
