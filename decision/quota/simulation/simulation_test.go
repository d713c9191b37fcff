package simulation_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/quota/simulation"
)

// seedCount returns the number of seeds to run: 36, or the value of BAMBOODEAL_SEEDS.
func seedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("BAMBOODEAL_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 36
}

func teams() []config.Team {
	out := make([]config.Team, 0, 8)
	for i := range 8 {
		t := config.Team{Name: fmt.Sprintf("small%d", i), RatePerSecond: 10, Burst: 16}
		if i < 3 {
			t = config.Team{Name: fmt.Sprintf("large%d", i), RatePerSecond: 80, Burst: 120}
		}
		out = append(out, t)
	}
	return out
}

// baseConfig returns a run without faults in which each team sends load times its rate. The calls arrive at the first
// skew nodes (0: all).
func baseConfig(strategy simulation.Strategy, nodes int, load float64, skew int) simulation.Config {
	cfg := simulation.Config{
		Strategy:    strategy,
		Nodes:       nodes,
		DataCentres: 4,
		Teams:       teams(),
		Duration:    30 * time.Second,
		Warmup:      8 * time.Second,
		Delay:       1500 * time.Microsecond,
		Seed:        1,
	}
	for _, t := range cfg.Teams {
		cfg.TeamLoads = append(cfg.TeamLoads, simulation.TeamLoad{CallsPerSecond: t.RatePerSecond * load, Nodes: skew})
	}
	return cfg
}

// randomFaults returns random faults of all kinds that may overlap.
func randomFaults(rng *rand.Rand, nodes int, length time.Duration) []simulation.Fault {
	kinds := []simulation.FaultKind{simulation.RestartNode, simulation.FreezeNode, simulation.HideNode, simulation.CutDataCentre, simulation.DataCentreOut}
	faults := make([]simulation.Fault, 2+rng.IntN(8))
	for i := range faults {
		faults[i] = simulation.Fault{
			Kind:     kinds[rng.IntN(len(kinds))],
			Node:     rng.IntN(nodes),
			At:       time.Duration(rng.Int64N(int64(length))),
			Duration: time.Duration(rng.Int64N(int64(8 * time.Second))),
		}
	}
	return faults
}

// Guards against two nodes spending the same part of a team's rate or burst while nodes restart, freeze, have different
// live lists or are cut off, and messages are lost, late or duplicated.
func TestNoOverAdmissionUnderFailures(t *testing.T) {
	g := NewWithT(t)
	for seed := range seedCount() {
		rng := rand.New(rand.NewPCG(seed, 7))
		cfg := baseConfig(simulation.FixedHolders, 12+rng.IntN(8), 0.5+4*rng.Float64(), rng.IntN(4))
		cfg.Duration = 15 * time.Second
		cfg.Seed = seed
		cfg.LossRatio, cfg.DuplicateRatio = 0.02, 0.02
		cfg.Faults = randomFaults(rng, cfg.Nodes, cfg.Duration)
		r := simulation.Run(cfg)
		g.Expect(r.OverAdmitted).To(BeZero(), "seed %d: %+v", seed, r)
		g.Expect(r.Admitted).To(BeNumerically(">", 0), "seed %d", seed)
	}
}

// Guards against a simulation that does not notice over-admission: SingleOwner must admit too many calls when nodes
// have different live lists and so ask different owners.
func TestSingleOwnerOverAdmitsWithDifferentLists(t *testing.T) {
	g := NewWithT(t)
	cfg := baseConfig(simulation.SingleOwner, 16, 4, 0)
	for node := range 8 {
		cfg.Faults = append(cfg.Faults, simulation.Fault{
			Kind: simulation.HideNode, Node: node, At: 10 * time.Second, Duration: 10 * time.Second,
		})
	}
	g.Expect(simulation.Run(cfg).OverAdmitted).To(BeNumerically(">", 100))
	cfg.Strategy = simulation.FixedHolders
	g.Expect(simulation.Run(cfg).OverAdmitted).To(BeZero())
}

// Guards against wrongful refusals when a team's calls arrive at few nodes. EqualShare is the baseline.
func TestWrongfulRefusals(t *testing.T) {
	g := NewWithT(t)
	for _, nodes := range []int{12, 16} {
		for _, skew := range []int{0, 2} {
			fixed := simulation.Run(baseConfig(simulation.FixedHolders, nodes, 0.9, skew))
			equal := simulation.Run(baseConfig(simulation.EqualShare, nodes, 0.9, skew))
			share := float64(fixed.WrongfulRefusals) / float64(fixed.WithinLimit)
			t.Logf("nodes %d, skew %d: wrongful %d of %d (equal shares %d), worst team %.3f (%.3f)",
				nodes, skew, fixed.WrongfulRefusals, fixed.WithinLimit, equal.WrongfulRefusals, fixed.WorstTeamServedRatio, equal.WorstTeamServedRatio)
			g.Expect(share).To(BeNumerically("<", 0.01))
			g.Expect(fixed.WrongfulRefusals).To(BeNumerically("<", equal.WrongfulRefusals/4))
			g.Expect(fixed.WorstTeamServedRatio).To(BeNumerically(">", 0.9))
		}
	}
}

// Guards against admitting less than a team's declared rate while the team sends more than that.
func TestOverloadedTeamGetsFullRate(t *testing.T) {
	g := NewWithT(t)
	cfg := baseConfig(simulation.FixedHolders, 16, 8, 0)
	r := simulation.Run(cfg)
	// Holders lease no tokens in the first 4 of the 30 s (quota.MaxLeaseDuration).
	const startShare = 1 - 4.0/30
	g.Expect(r.OverAdmitted).To(BeZero())
	g.Expect(float64(r.Admitted)).To(BeNumerically(">", 0.95*startShare*290*30))
}

// Guards against wrongful refusals while a data centre leaves and returns.
func TestDataCentreOutRefusesFewCalls(t *testing.T) {
	g := NewWithT(t)
	for _, nodes := range []int{12, 16} {
		cfg := baseConfig(simulation.FixedHolders, nodes, 0.8, 0)
		cfg.Faults = []simulation.Fault{{Kind: simulation.DataCentreOut, Node: 0, At: 12 * time.Second, Duration: 9 * time.Second}}
		r := simulation.Run(cfg)
		t.Logf("nodes %d: wrongful %d of %d, worst team %.3f", nodes, r.WrongfulRefusals, r.WithinLimit, r.WorstTeamServedRatio)
		g.Expect(r.OverAdmitted).To(BeZero())
		g.Expect(float64(r.WrongfulRefusals) / float64(r.WithinLimit)).To(BeNumerically("<", 0.01))
	}
}

// Prints the figures of docs/measurements/quota.md; with BAMBOODEAL_MEASURE set, for more fleet sizes. It also checks
// that FixedHolders never admits too many calls.
func TestMeasureStrategies(t *testing.T) {
	g := NewWithT(t)
	sizes := []int{12}
	if os.Getenv("BAMBOODEAL_MEASURE") != "" {
		sizes = []int{12, 16, 470}
	}
	t.Log("| Nodes | Calls reach | Load | Strategy | Over | Wrongful | Worst team | Messages/s | Busiest node B/s |")
	for _, nodes := range sizes {
		for _, skew := range []int{0, 2} {
			for _, load := range []float64{0.9, 8} {
				for _, strategy := range []simulation.Strategy{simulation.EqualShare, simulation.SingleOwner, simulation.FixedHolders} {
					r := measure(t, baseConfig(strategy, nodes, load, skew))
					if strategy == simulation.FixedHolders {
						g.Expect(r.OverAdmitted).To(BeZero())
					}
				}
			}
		}
	}
}

// measure runs the configuration with additional faults and logs a row of the table.
func measure(t *testing.T, cfg simulation.Config) simulation.Result {
	// A quarter of the nodes is missing from the live lists of half of the nodes for 8 s, two nodes restart and one
	// freezes.
	for node := range cfg.Nodes / 4 {
		cfg.Faults = append(cfg.Faults, simulation.Fault{
			Kind: simulation.HideNode, Node: node, At: 12 * time.Second, Duration: 8 * time.Second,
		})
	}
	cfg.Faults = append(cfg.Faults,
		simulation.Fault{Kind: simulation.RestartNode, Node: 1, At: 10 * time.Second},
		simulation.Fault{Kind: simulation.RestartNode, Node: 5, At: 14 * time.Second},
		simulation.Fault{Kind: simulation.FreezeNode, Node: 3, At: 16 * time.Second, Duration: 3 * time.Second},
	)
	r := simulation.Run(cfg)
	seconds := (cfg.Duration - cfg.Warmup).Seconds()
	reach := "all"
	if n := cfg.TeamLoads[0].Nodes; n > 0 {
		reach = strconv.Itoa(n)
	}
	t.Logf("| %d | %s | %.1f | %s | %d | %d of %d | %.3f | %.0f | %.0f |",
		cfg.Nodes, reach, cfg.TeamLoads[0].CallsPerSecond/cfg.Teams[0].RatePerSecond, cfg.Strategy, r.OverAdmitted,
		r.WrongfulRefusals, r.WithinLimit, r.WorstTeamServedRatio, float64(r.Messages)/seconds, float64(r.BusiestNodeBytes)/seconds)
	return r
}

// Guards against a run with a given Set that differs from the run with the same numbers of nodes and data centres and
// the same teams, for example in the data centre that a fault affects.
func TestRunWithGivenSet(t *testing.T) {
	g := NewWithT(t)
	sized := baseConfig(simulation.FixedHolders, 12, 0.9, 2)
	sized.Duration = 15 * time.Second
	sized.Faults = []simulation.Fault{
		{Kind: simulation.DataCentreOut, Node: 5, At: 9 * time.Second, Duration: 3 * time.Second},
		{Kind: simulation.CutDataCentre, Node: 2, At: 10 * time.Second, Duration: time.Second},
	}
	given := sized
	given.Nodes, given.DataCentres, given.Teams = 0, 0, nil
	given.Set = simulation.FleetSet(12, 4, sized.Teams)
	g.Expect(simulation.Run(given)).To(Equal(simulation.Run(sized)))
}
