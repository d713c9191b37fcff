package main

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/quota/simulation"
)

// quotaLength is the virtual time of a quota run, of which the first quotaWarmup is not measured; quotaDelay is the
// shortest one-way delay between nodes.
const (
	quotaLength    = 30 * time.Second
	quotaWarmup    = 8 * time.Second
	quotaDelay     = 1500 * time.Microsecond
	overRateFactor = 8
)

// quotaLoad is the load of each team: a share of its rate, sent to the given number of nodes, or to all nodes if it is
// 0.
type quotaLoad struct {
	name  string
	share float64
	nodes int
	// oneTeamOverRate makes the team with the greatest rate send overRateFactor times its rate.
	oneTeamOverRate bool
}

// quotaLoads are the measured loads; the first one is the load of the demo.
var quotaLoads = []quotaLoad{
	{"60% of the rate, all nodes", 0.6, 0, false},
	{"60% of the rate, two nodes", 0.6, 2, false},
	{"90% of the rate, all nodes", 0.9, 0, false},
	{"90% of the rate, two nodes", 0.9, 2, false},
	{"60% of the rate, one team 8 times its rate", 0.6, 0, true},
}

// quotaRow is the result for one load and one quota strategy.
type quotaRow struct {
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Strategy   string `json:"way"`
	Seeds      int    `json:"seeds"`
	// Wrongful is the share of the calls within the rate that were refused, in percent.
	Wrongful valueRange `json:"wrongful_percent"`
	// Worst is the served share of calls of the worst-served team among the teams within their rate, in percent.
	Worst valueRange `json:"worst_team_percent"`
	// OverAdmitted is the number of admitted calls beyond the rate and burst of any team.
	OverAdmitted valueRange `json:"over_admitted_calls"`
	// Mean and Busiest are the bytes per second that a node sends and receives: the mean over all nodes, and the value
	// of the busiest node. Messages is the number of messages per second of all nodes together.
	Mean     valueRange `json:"mean_bytes_per_second"`
	Busiest  valueRange `json:"busiest_bytes_per_second"`
	Messages valueRange `json:"messages_per_second"`
}

func quotaRows(deployment string, set *config.Set) (rows []any) {
	for _, load := range quotaLoads {
		for _, strategy := range []simulation.Strategy{simulation.FixedHolders, simulation.EqualShare, simulation.SingleOwner} {
			row := quotaRow{
				Figure: "quota in virtual time", Deployment: deployment, Load: load.name, Strategy: string(strategy), Seeds: runsPerRow,
				Wrongful: newValueRange(), Worst: newValueRange(), OverAdmitted: newValueRange(), Mean: newValueRange(), Busiest: newValueRange(),
				Messages: newValueRange(),
			}
			for seed := range uint64(runsPerRow) {
				row.add(simulation.Run(load.config(set, strategy, seed+1)), teamWithGreatestRate(set), load.oneTeamOverRate, len(set.Upstreams))
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func (l quotaLoad) config(set *config.Set, strategy simulation.Strategy, seed uint64) simulation.Config {
	cfg := simulation.Config{
		Strategy: strategy, Set: set, Duration: quotaLength, Warmup: quotaWarmup, Delay: quotaDelay, Seed: seed,
	}
	for i := range set.Teams {
		rate := l.share * set.Teams[i].RatePerSecond
		if l.oneTeamOverRate && set.Teams[i].Name == teamWithGreatestRate(set) {
			rate = overRateFactor * set.Teams[i].RatePerSecond
		}
		cfg.TeamLoads = append(cfg.TeamLoads, simulation.TeamLoad{CallsPerSecond: rate, Nodes: l.nodes})
	}
	return cfg
}

func (row *quotaRow) add(r simulation.Result, teamOverRate string, oneTeamOverRate bool, nodes int) {
	within, wrongful, worst := 0, 0, 1.0
	for team, calls := range r.WithinLimitByTeam {
		if oneTeamOverRate && team == teamOverRate || calls == 0 {
			continue
		}
		within += calls
		wrongful += r.WrongfulRefusalsByTeam[team]
		worst = min(worst, 1-float64(r.WrongfulRefusalsByTeam[team])/float64(calls))
	}
	seconds := (quotaLength - quotaWarmup).Seconds()
	row.Wrongful.add(100 * float64(wrongful) / float64(within))
	row.Worst.add(100 * worst)
	row.OverAdmitted.add(float64(r.OverAdmitted))
	// Each message is counted at its sender and at its receiver.
	row.Mean.add(2 * float64(r.Bytes) / float64(nodes) / seconds)
	row.Busiest.add(float64(r.BusiestNodeBytes) / seconds)
	row.Messages.add(float64(r.Messages) / seconds)
}

// teamWithGreatestRate returns the name of the team with the greatest rate.
func teamWithGreatestRate(set *config.Set) string {
	found := set.Teams[0]
	for _, t := range set.Teams {
		if t.RatePerSecond > found.RatePerSecond {
			found = t
		}
	}
	return found.Name
}
