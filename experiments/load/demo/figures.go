package demo

import (
	"maps"
	"math"
	"slices"
)

// run says where a figure comes from.
type run struct {
	// Figure names the table of docs/MEASUREMENTS.md.
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	// Way is how the figure was obtained: processes on loopback, or a baseline.
	Way      string   `json:"way"`
	Scenario Scenario `json:"scenario"`
	Seed     uint64   `json:"seed"`
}

type convergenceFigure struct {
	run
	Change       string  `json:"change"`
	SlowestMS    float64 `json:"slowest_ms"`
	NotConverged int     `json:"not_converged"`
}

type controlFigure struct {
	run
	Load string `json:"load"`
	// Mean and Busiest are bytes a second, received and sent, over all nodes.
	Mean    float64 `json:"mean_bytes_per_second"`
	Busiest float64 `json:"busiest_bytes_per_second"`
}

type windowFigure struct {
	run
	DataCentre string  `json:"data_centre"`
	Phase      string  `json:"phase"`
	Calls      int     `json:"calls"`
	InTime     float64 `json:"in_time_percent"`
	WorstTeam  string  `json:"worst_team"`
	Worst      float64 `json:"worst_team_in_time_percent"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
}

type teamFigure struct {
	run
	OverTeam  string  `json:"over_team"`
	WorstTeam string  `json:"worst_team"`
	Worst     float64 `json:"worst_team_served_percent"`
	// WorstOther is the least share among the teams but OverTeam.
	WorstOther float64 `json:"worst_other_team_served_percent"`
	Calls      int     `json:"calls"`
	Served     int     `json:"served"`
	RateLimits int     `json:"rate_refusals"`
	Wrongful   int     `json:"wrongful_refusals"`
	// OverAdmitted and OverEntitled are the attempts of OverTeam that were admitted, and those that one bucket for
	// the whole mesh would have admitted.
	OverAdmitted int     `json:"over_team_admitted"`
	OverEntitled int     `json:"over_team_entitled"`
	AddedP50     float64 `json:"added_p50_ms"`
	AddedP99     float64 `json:"added_p99_ms"`
	BaselineP99  float64 `json:"no_node_p99_ms"`
}

type safetyFigure struct {
	run
	Lost                int `json:"lost"`
	Doubled             int `json:"doubled"`
	Crossed             int `json:"crossed"`
	KeyLeaks            int `json:"key_leaks"`
	FalseNotRun         int `json:"false_not_run"`
	LateKeyUses         int `json:"late_key_uses"`
	LateDataCentreCalls int `json:"late_data_centre_calls"`
	AboveLimit          int `json:"above_limit"`
	UncleanStops        int `json:"unclean_stops"`
}

// Figures returns the rows of docs/MEASUREMENTS.md that a run of the demo gives. Each is a flat object.
func Figures(o *Outcome) []any {
	r := run{Deployment: o.Deployment, Way: "processes", Scenario: o.Scenario, Seed: o.Seed}
	if o.Faults {
		r.Scenario += " with faults"
	}
	of := func(figure string) run {
		r.Figure = figure
		return r
	}
	var out []any
	for _, change := range slices.Sorted(maps.Keys(o.ConvergenceSeconds)) {
		took := round(1000*o.ConvergenceSeconds[change], 1)
		out = append(out, convergenceFigure{of("convergence"), change, took, len(o.NotConverged)})
	}
	out = append(out, controlFigureOf(of("control"), "calls", o.ControlBytesPerSecond))
	if len(o.IdleControlBytesPerSecond) > 0 {
		out = append(out, controlFigureOf(of("control"), "idle: configuration", o.IdleControlBytesPerSecond))
		if o.Scenario != ScenarioAllEvents {
			// Without changes of the configuration, what calls add is quota messages.
			more := make(map[string]float64, len(o.ControlBytesPerSecond))
			for node, bytes := range o.ControlBytesPerSecond {
				more[node] = bytes - o.IdleControlBytesPerSecond[node]
			}
			out = append(out, controlFigureOf(of("control"), "calls less idle: quota", more))
		}
	}
	for i := range o.Windows {
		w := &o.Windows[i]
		out = append(out, windowFigure{
			of("data centre"), w.DataCentre, string(w.Phase), w.Calls, percent(w.InTimeRatio), w.WorstTeam,
			percent(w.WorstTeamInTimeRatio), round(w.LatencyMS.P50, 1), round(w.LatencyMS.P99, 1),
		})
	}
	return append(out, teamFigureOf(of("teams"), o), safetyFigure{
		of("safety"), o.Lost, o.Duplicated, o.Mismatched, o.KeyLeaks, o.RanButReportedNotRun, o.LateKeyUses,
		o.LateDataCentreCalls, o.AboveLimit, len(o.UncleanStops),
	})
}

func teamFigureOf(r run, o *Outcome) teamFigure {
	worstOther := 1.0
	for team, ratio := range o.TeamServedRatio {
		if team != o.TeamOverRate {
			worstOther = min(worstOther, ratio)
		}
	}
	return teamFigure{
		run: r, OverTeam: o.TeamOverRate, WorstTeam: o.WorstTeam, Worst: percent(o.WorstTeamServedRatio),
		WorstOther: percent(worstOther),
		Calls:      o.Calls, Served: o.Served, RateLimits: o.RateRefusals, Wrongful: o.WrongfulRefusals,
		OverAdmitted: o.AdmittedByTeam[o.TeamOverRate], OverEntitled: o.EntitledByTeam[o.TeamOverRate],
		AddedP50: o.AddedLatencyP50MS, AddedP99: o.AddedLatencyP99MS, BaselineP99: o.BaselineLatencyP99MS,
	}
}

func controlFigureOf(r run, load string, perSecond map[string]float64) controlFigure {
	f := controlFigure{run: r, Load: load}
	for _, bytes := range perSecond {
		f.Mean += bytes / float64(len(perSecond))
		f.Busiest = max(f.Busiest, bytes)
	}
	f.Mean, f.Busiest = round(f.Mean, 0), round(f.Busiest, 0)
	return f
}

func percent(ratio float64) float64 { return round(100*ratio, 2) }

func round(v float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(v*scale) / scale
}
