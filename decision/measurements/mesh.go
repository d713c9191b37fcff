package main

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/internal/trafficsim"
)

// Times of a simulation. Its upstreams belong to one service and take workTime for a call on average.
const (
	callTimeout = 250 * time.Millisecond
	workTime    = 20 * time.Millisecond
	runLength   = 30 * time.Second
	takenOutAt  = 10 * time.Second
	downAt      = 15 * time.Second
	upAt        = 20 * time.Second
	// loadShare is the share of the capacity that is used before the evacuation.
	loadShare = 0.6
	// withinRateShare is the load of a team within its rate, as a share of the capacity, while another team sends
	// overRateFactor times as much. It is the load in the first cases of TestOverload in decision/routing.
	withinRateShare = 0.0917
)

// Delays until the platform's list shows that a data centre has stopped or started. The longer one is the time within
// which a data centre must be out of use.
const (
	shortLag = time.Second
	longLag  = 5 * time.Second
)

var listLags = []time.Duration{shortLag, longLag}

// sizeOf returns the size of a simulation of the first declared service.
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

// capacity returns the number of calls per second that the upstreams can handle.
func capacity(s trafficsim.Size) float64 { return float64(s.Upstreams*s.Slots) / workTime.Seconds() }

// strategyNames maps whether the baseline is simulated to the strategy's name in a row.
var strategyNames = map[bool]string{false: "bamboodeal", true: "round robin, plain retries, first come first served"}

// evacuationRow is the result for the evacuation of a data centre.
type evacuationRow struct {
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	Strategy   string `json:"way"`
	ListLag    string `json:"list_lag"`
	Failure    string `json:"failure"`
	Seeds      int    `json:"seeds"`
	// The shares of calls that were served before their deadline, and those of the worst-served team, in percent:
	// before the evacuation, from its start to its end, and after it.
	Before      valueRange `json:"before_percent"`
	During      valueRange `json:"during_percent"`
	After       valueRange `json:"after_percent"`
	WorstDuring valueRange `json:"worst_team_during_percent"`
	WorstAfter  valueRange `json:"worst_team_after_percent"`
	Attempts    valueRange `json:"attempts_per_call"`
	Crashes     valueRange `json:"upstreams_fell_over"`
}

// failureNames maps trafficsim.Evacuation.SilentFailure to the description, in a row, of how stopped and cold upstreams
// behave.
var failureNames = map[bool]string{false: "refuse connections; shed when cold", true: "silent; fall over when cold"}

// phaseCounts counts the offered (index 0) and served (index 1) calls by team before, during and after an evacuation.
type phaseCounts [3]map[string]*[2]float64

// observe implements trafficsim.Simulation.OnCall.
func (p *phaseCounts) observe(team string, begun time.Duration, served bool) {
	phase := 0
	if begun >= takenOutAt {
		phase = 1
	}
	if begun >= upAt {
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

// shares returns the served share of the calls of all teams, and of the worst-served team, in percent.
func (p *phaseCounts) shares(phase int) (all, worst float64) {
	var offered, served float64
	worst = 100
	for _, count := range p[phase] {
		offered += count[0]
		served += count[1]
		worst = min(worst, 100*count[1]/count[0])
	}
	return 100 * served / offered, worst
}

func evacuationRows(deployment string, set *config.Set) (rows []any) {
	size := sizeOf(set)
	for _, silentFailure := range []bool{false, true} {
		for _, lag := range listLags {
			for _, baseline := range []bool{false, true} {
				evacuation := trafficsim.Evacuation{DataCentre: "d1", TakenOutAt: takenOutAt, DownAt: downAt, UpAt: upAt, ListLag: lag, SilentFailure: silentFailure}
				rows = append(rows, runEvacuation(deployment, set, size, evacuation, baseline))
			}
		}
	}
	return rows
}

func runEvacuation(deployment string, set *config.Set, size trafficsim.Size, evacuation trafficsim.Evacuation, baseline bool) evacuationRow {
	row := evacuationRow{
		Figure: "data centre in virtual time", Deployment: deployment, Strategy: strategyNames[baseline],
		ListLag: evacuation.ListLag.String(), Failure: failureNames[evacuation.SilentFailure], Seeds: runsPerRow, Before: newValueRange(),
		During: newValueRange(), After: newValueRange(), WorstDuring: newValueRange(), WorstAfter: newValueRange(),
		Attempts: newValueRange(), Crashes: newValueRange(),
	}
	for seed := range uint64(runsPerRow) {
		sim := trafficsim.NewWithSize(seed+1, callTimeout, baseline, size)
		p := &phaseCounts{}
		sim.OnCall = p.observe
		sim.ScheduleEvacuation(evacuation)
		offerDeclared(sim, set, loadShare*capacity(size))
		sim.Run(runLength)
		row.add(p, sim)
	}
	return row
}

func (row *evacuationRow) add(p *phaseCounts, sim *trafficsim.Simulation) {
	all, _ := p.shares(0)
	row.Before.add(all)
	all, worst := p.shares(1)
	row.During.add(all)
	row.WorstDuring.add(worst)
	all, worst = p.shares(2)
	row.After.add(all)
	row.WorstAfter.add(worst)
	row.Attempts.add(float64(sim.Attempts) / float64(sim.Calls))
	row.Crashes.add(float64(sim.Crashes))
}

// offerDeclared schedules calls of all teams in proportion to their rates, with perSecond calls per second in all.
func offerDeclared(sim *trafficsim.Simulation, set *config.Set, perSecond float64) {
	total := 0.0
	for i := range set.Teams {
		total += set.Teams[i].RatePerSecond
	}
	for i := range set.Teams {
		sim.Offer(set.Teams[i].Name, perSecond*set.Teams[i].RatePerSecond/total, runLength)
	}
}

// overloadRow is the result for one load on all upstreams.
type overloadRow struct {
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	Strategy   string `json:"way"`
	Load       string `json:"load"`
	Seeds      int    `json:"seeds"`
	// The shares of calls, by priority, that were served before their deadline, of the worst-served team among the
	// teams within their rate, in percent.
	Worst            valueRange `json:"worst_team_percent"`
	WorstInteractive valueRange `json:"worst_team_interactive_percent"`
	WorstNormal      valueRange `json:"worst_team_normal_percent"`
	WorstBackground  valueRange `json:"worst_team_background_percent"`
	Attempts         valueRange `json:"attempts_per_call"`
	StartedLate      valueRange `json:"started_after_deadline"`
}

func overloadRows(deployment string, set *config.Set) (rows []any) {
	size := sizeOf(set)
	for _, factor := range []float64{1, overRateFactor} {
		for _, baseline := range []bool{false, true} {
			row := overloadRow{
				Figure: "worst-served team in virtual time", Deployment: deployment, Strategy: strategyNames[baseline], Load: "quiet",
				Seeds: runsPerRow, Worst: newValueRange(), WorstInteractive: newValueRange(), WorstNormal: newValueRange(),
				WorstBackground: newValueRange(), Attempts: newValueRange(), StartedLate: newValueRange(),
			}
			if factor > 1 {
				row.Load = "one team 8 times its rate"
			}
			for seed := range uint64(runsPerRow) {
				sim := trafficsim.NewWithSize(seed+1, callTimeout, baseline, size)
				for i := range set.Teams {
					rate := withinRateShare * capacity(size)
					if i == 0 {
						rate *= factor
					}
					sim.Offer(set.Teams[i].Name, rate, takenOutAt)
				}
				sim.Run(takenOutAt)
				row.add(sim, set)
			}
			rows = append(rows, row)
		}
	}
	return rows
}

func (row *overloadRow) add(sim *trafficsim.Simulation, set *config.Set) {
	worst := func(priorities ...config.Priority) float64 {
		least := 1.0
		for _, team := range set.Teams[1:] {
			least = min(least, sim.ServedShare(team.Name, priorities...))
		}
		return 100 * least
	}
	row.Worst.add(worst(config.PriorityInteractive, config.PriorityNormal, config.PriorityBackground))
	row.WorstInteractive.add(worst(config.PriorityInteractive))
	row.WorstNormal.add(worst(config.PriorityNormal))
	row.WorstBackground.add(worst(config.PriorityBackground))
	row.Attempts.add(float64(sim.Attempts) / float64(sim.Calls))
	row.StartedLate.add(float64(sim.StartedLate))
}
