package main

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/internal/trafficsim"
)

// A fleet in virtual time is the upstreams of one service, with calls of 20 ms on average.
const (
	callTimeout = 250 * time.Millisecond
	workTime    = 20 * time.Millisecond
	meshLength  = 30 * time.Second
	moveOut     = 10 * time.Second
	moveDown    = 15 * time.Second
	moveUp      = 20 * time.Second
	// usedShare is the share of the capacity that is used before the move.
	usedShare = 0.6
	// overShare is the rate of a team within its rate, as a share of the capacity, while another one sends
	// overFactor times as much: that of the first situations of decision/routing's TestOverload.
	overShare = 0.0917
)

// Two cases of how long the platform's list takes to show that a data centre has gone or returned; the longer one is the
// time within which a data centre has to be out of use.
const (
	shortLag = time.Second
	longLag  = 5 * time.Second
)

var lags = []time.Duration{shortLag, longLag}

func sizeOf(set *config.Set) trafficsim.Size {
	upstreams := 0
	for i := range set.Upstreams {
		if set.Upstreams[i].Service == set.Services[0].Name {
			upstreams++
		}
	}
	return trafficsim.Size{
		Upstreams: upstreams, Slots: set.Upstreams[0].Slots, DataCentres: len(set.DataCentres),
		EntryNodes: len(set.Upstreams),
	}
}

func capacity(s trafficsim.Size) float64 { return float64(s.Upstreams*s.Slots) / workTime.Seconds() }

var ways = map[bool]string{false: "bamboodeal", true: "round robin, plain retries, first come first served"}

type moveRow struct {
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	Way        string `json:"way"`
	ListLag    string `json:"list_lag"`
	Failure    string `json:"failure"`
	Seeds      int    `json:"seeds"`
	// The shares of calls served in time, and those of the worst-served team, in percent.
	Before      spread `json:"before_percent"`
	During      spread `json:"during_percent"`
	After       spread `json:"after_percent"`
	WorstDuring spread `json:"worst_team_during_percent"`
	WorstAfter  spread `json:"worst_team_after_percent"`
	Attempts    spread `json:"attempts_per_call"`
	Falls       spread `json:"upstreams_fell_over"`
}

// failures are how the upstreams of the data centre behave while they are away and cold; see trafficsim.Move.Harsh.
var failures = map[bool]string{false: "refuse connections; shed when cold", true: "silent; fall over when cold"}

// phases count offered and served calls by team before, during and after a move.
type phases [3]map[string]*[2]float64

func (p *phases) observe(team string, begun time.Duration, served bool) {
	phase := 0
	if begun >= moveOut {
		phase = 1
	}
	if begun >= moveUp {
		phase = 2
	}
	if p[phase] == nil {
		p[phase] = map[string]*[2]float64{}
	}
	count := p[phase][team]
	if count == nil {
		count = &[2]float64{}
		p[phase][team] = count
	}
	if served {
		count[1]++
		return
	}
	count[0]++
}

func (p *phases) shares(phase int) (all, worst float64) {
	var offered, served float64
	worst = 100
	for _, count := range p[phase] {
		offered += count[0]
		served += count[1]
		worst = min(worst, 100*count[1]/count[0])
	}
	return 100 * served / offered, worst
}

func moveRows(deployment string, set *config.Set) (rows []any) {
	size := sizeOf(set)
	for _, harsh := range []bool{false, true} {
		for _, lag := range lags {
			for _, baseline := range []bool{false, true} {
				move := trafficsim.Evacuation{DataCentre: "d1", TakenOutAt: moveOut, DownAt: moveDown, UpAt: moveUp, ListLag: lag, SilentFailure: harsh}
				rows = append(rows, runMove(deployment, set, size, move, baseline))
			}
		}
	}
	return rows
}

func runMove(deployment string, set *config.Set, size trafficsim.Size, move trafficsim.Evacuation, baseline bool) moveRow {
	row := moveRow{
		Figure: "data centre in virtual time", Deployment: deployment, Way: ways[baseline],
		ListLag: move.ListLag.String(), Failure: failures[move.SilentFailure], Seeds: seeds, Before: newSpread(),
		During: newSpread(), After: newSpread(), WorstDuring: newSpread(), WorstAfter: newSpread(),
		Attempts: newSpread(), Falls: newSpread(),
	}
	for seed := range uint64(seeds) {
		m := trafficsim.NewWithSize(seed+1, callTimeout, baseline, size)
		p := &phases{}
		m.OnCall = p.observe
		m.ScheduleEvacuation(move)
		offerDeclared(m, set, usedShare*capacity(size))
		m.Run(meshLength)
		row.add(p, m)
	}
	return row
}

func (row *moveRow) add(p *phases, m *trafficsim.Simulation) {
	all, _ := p.shares(0)
	row.Before.add(all)
	all, worst := p.shares(1)
	row.During.add(all)
	row.WorstDuring.add(worst)
	all, worst = p.shares(2)
	row.After.add(all)
	row.WorstAfter.add(worst)
	row.Attempts.add(float64(m.Attempts) / float64(m.Calls))
	row.Falls.add(float64(m.Crashes))
}

// offerDeclared offers calls of all teams in proportion to their rates.
func offerDeclared(m *trafficsim.Simulation, set *config.Set, perSecond float64) {
	total := 0.0
	for i := range set.Teams {
		total += set.Teams[i].RatePerSecond
	}
	for i := range set.Teams {
		m.Offer(set.Teams[i].Name, perSecond*set.Teams[i].RatePerSecond/total, meshLength)
	}
}

type overloadRow struct {
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	Way        string `json:"way"`
	Load       string `json:"load"`
	Seeds      int    `json:"seeds"`
	// The shares of calls served in time of the worst-served team among those within their rate, in percent.
	Worst            spread `json:"worst_team_percent"`
	WorstInteractive spread `json:"worst_team_interactive_percent"`
	WorstNormal      spread `json:"worst_team_normal_percent"`
	WorstBackground  spread `json:"worst_team_background_percent"`
	Attempts         spread `json:"attempts_per_call"`
	Late             spread `json:"started_after_deadline"`
}

func overloadRows(deployment string, set *config.Set) (rows []any) {
	size := sizeOf(set)
	for _, factor := range []float64{1, overFactor} {
		for _, baseline := range []bool{false, true} {
			row := overloadRow{
				Figure: "worst-served team in virtual time", Deployment: deployment, Way: ways[baseline], Load: "quiet",
				Seeds: seeds, Worst: newSpread(), WorstInteractive: newSpread(), WorstNormal: newSpread(),
				WorstBackground: newSpread(), Attempts: newSpread(), Late: newSpread(),
			}
			if factor > 1 {
				row.Load = "one team 8 times its rate"
			}
			for seed := range uint64(seeds) {
				m := trafficsim.NewWithSize(seed+1, callTimeout, baseline, size)
				for i := range set.Teams {
					rate := overShare * capacity(size)
					if i == 0 {
						rate *= factor
					}
					m.Offer(set.Teams[i].Name, rate, moveOut)
				}
				m.Run(moveOut)
				row.add(m, set)
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func (row *overloadRow) add(m *trafficsim.Simulation, set *config.Set) {
	worst := func(priorities ...config.Priority) float64 {
		least := 1.0
		for _, team := range set.Teams[1:] {
			least = min(least, m.ServedShare(team.Name, priorities...))
		}
		return 100 * least
	}
	row.Worst.add(worst(config.PriorityInteractive, config.PriorityNormal, config.PriorityBackground))
	row.WorstInteractive.add(worst(config.PriorityInteractive))
	row.WorstNormal.add(worst(config.PriorityNormal))
	row.WorstBackground.add(worst(config.PriorityBackground))
	row.Attempts.add(float64(m.Attempts) / float64(m.Calls))
	row.Late.add(float64(m.StartedLate))
}
