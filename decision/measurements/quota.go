package main

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/quota/simulation"
)

// Times of a quota run, and the one-way delay between nodes.
const (
	quotaLength = 30 * time.Second
	quotaWarmup = 8 * time.Second
	quotaDelay  = 1500 * time.Microsecond
	overFactor  = 8
)

// quotaLoad is how much each team sends, as a share of its rate, over how many nodes (0: all).
type quotaLoad struct {
	name  string
	share float64
	nodes int
	// over lets the team with the greatest rate send overFactor times its rate.
	over bool
}

// The first load is that of the demo.
var quotaLoads = []quotaLoad{
	{"60% of the rate, all nodes", 0.6, 0, false},
	{"60% of the rate, two nodes", 0.6, 2, false},
	{"90% of the rate, all nodes", 0.9, 0, false},
	{"90% of the rate, two nodes", 0.9, 2, false},
	{"60% of the rate, one team 8 times its rate", 0.6, 0, true},
}

type quotaRow struct {
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Way        string `json:"way"`
	Seeds      int    `json:"seeds"`
	// Wrongful is the share of calls within the rate that were refused, in percent.
	Wrongful spread `json:"wrongful_percent"`
	// Worst is the share served of the calls within the rate of the worst-served team that stays within its rate.
	Worst spread `json:"worst_team_percent"`
	// Over counts admissions beyond the rate and burst of any team.
	Over     spread `json:"over_admitted_calls"`
	Mean     spread `json:"mean_bytes_per_second"`
	Most     spread `json:"busiest_bytes_per_second"`
	Messages spread `json:"messages_per_second"`
}

func quotaRows(deployment string, set *config.Set) (rows []any) {
	for _, l := range quotaLoads {
		for _, way := range []simulation.Strategy{simulation.FixedHolders, simulation.EqualShare, simulation.SingleOwner} {
			row := quotaRow{
				Figure: "quota in virtual time", Deployment: deployment, Load: l.name, Way: string(way), Seeds: seeds,
				Wrongful: newSpread(), Worst: newSpread(), Over: newSpread(), Mean: newSpread(), Most: newSpread(),
				Messages: newSpread(),
			}
			for seed := range uint64(seeds) {
				row.add(simulation.Run(l.config(set, way, seed+1)), greatest(set), l.over, len(set.Upstreams))
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func (l quotaLoad) config(set *config.Set, way simulation.Strategy, seed uint64) simulation.Config {
	cfg := simulation.Config{
		Strategy: way, Set: set, Duration: quotaLength, Warmup: quotaWarmup, Delay: quotaDelay, Seed: seed,
	}
	for i := range set.Teams {
		rate := l.share * set.Teams[i].RatePerSecond
		if l.over && set.Teams[i].Name == greatest(set) {
			rate = overFactor * set.Teams[i].RatePerSecond
		}
		cfg.TeamLoads = append(cfg.TeamLoads, simulation.TeamLoad{CallsPerSecond: rate, Nodes: l.nodes})
	}
	return cfg
}

func (row *quotaRow) add(r simulation.Result, over string, isOver bool, nodes int) {
	within, wrongful, worst := 0, 0, 1.0
	for team, calls := range r.WithinLimitByTeam {
		if isOver && team == over || calls == 0 {
			continue
		}
		within += calls
		wrongful += r.WrongfulRefusalsByTeam[team]
		worst = min(worst, 1-float64(r.WrongfulRefusalsByTeam[team])/float64(calls))
	}
	seconds := (quotaLength - quotaWarmup).Seconds()
	row.Wrongful.add(100 * float64(wrongful) / float64(within))
	row.Worst.add(100 * worst)
	row.Over.add(float64(r.OverAdmitted))
	// Each message is counted at its sender and at its receiver.
	row.Mean.add(2 * float64(r.Bytes) / float64(nodes) / seconds)
	row.Most.add(float64(r.BusiestNodeBytes) / seconds)
	row.Messages.add(float64(r.Messages) / seconds)
}

// greatest is the team with the greatest rate.
func greatest(set *config.Set) string {
	found := set.Teams[0]
	for _, t := range set.Teams {
		if t.RatePerSecond > found.RatePerSecond {
			found = t
		}
	}
	return found.Name
}
