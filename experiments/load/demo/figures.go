package demo

import (
	"maps"
	"math"
	"slices"
)

// runInfo describes the run that a figure comes from.
type runInfo struct {
	// Figure names the table of docs/MEASUREMENTS.md.
	Figure     string `json:"figure"`
	Deployment string `json:"deployment"`
	// Method is how the figure was measured: with node processes on loopback, or with the watch baseline.
	Method   string   `json:"way"`
	Scenario Scenario `json:"scenario"`
	Seed     uint64   `json:"seed"`
}

// convergenceFigure is the time until the last node followed a change. NotConverged counts the nodes that did not
// follow a change in time: those of this change for the watch baseline, those of all changes for the demo.
type convergenceFigure struct {
	runInfo
	Change       string  `json:"change"`
	SlowestMS    float64 `json:"slowest_ms"`
	NotConverged int     `json:"not_converged"`
}

type controlTrafficFigure struct {
	runInfo
	Load string `json:"load"`
	// MeanBytesPerSecond is the mean over all nodes of the bytes received and sent; BusiestNodeBytesPerSecond is the
	// value of the node with the most.
	MeanBytesPerSecond        float64 `json:"mean_bytes_per_second"`
	BusiestNodeBytesPerSecond float64 `json:"busiest_bytes_per_second"`
}

// windowFigure is the service quality before, while or after a data centre was out of service; see load.Window.
type windowFigure struct {
	runInfo
	DataCentre             string  `json:"data_centre"`
	Phase                  string  `json:"phase"`
	Calls                  int     `json:"calls"`
	InTimePercent          float64 `json:"in_time_percent"`
	WorstTeam              string  `json:"worst_team"`
	WorstTeamInTimePercent float64 `json:"worst_team_in_time_percent"`
	LatencyP50MS           float64 `json:"p50_ms"`
	LatencyP99MS           float64 `json:"p99_ms"`
}

// teamFigure is the service quality by team.
type teamFigure struct {
	runInfo
	TeamOverRate           string  `json:"over_team"`
	WorstTeam              string  `json:"worst_team"`
	WorstTeamServedPercent float64 `json:"worst_team_served_percent"`
	// WorstOtherTeamServedPercent is the smallest share of served calls among the teams other than TeamOverRate.
	WorstOtherTeamServedPercent float64 `json:"worst_other_team_served_percent"`
	Calls                       int     `json:"calls"`
	Served                      int     `json:"served"`
	RateRefusals                int     `json:"rate_refusals"`
	WrongfulRefusals            int     `json:"wrongful_refusals"`
	// TeamOverRateAdmitted counts the attempts of TeamOverRate that were admitted; TeamOverRateEntitled counts those
	// that a single token bucket for the whole mesh would have admitted.
	TeamOverRateAdmitted int     `json:"over_team_admitted"`
	TeamOverRateEntitled int     `json:"over_team_entitled"`
	AddedLatencyP50MS    float64 `json:"added_p50_ms"`
	AddedLatencyP99MS    float64 `json:"added_p99_ms"`
	BaselineLatencyP99MS float64 `json:"no_node_p99_ms"`
}

// safetyFigure counts violations, late effects of events, calls above the limit of an upstream, and nodes that did not
// stop gracefully.
type safetyFigure struct {
	runInfo
	Lost                 int `json:"lost"`
	Duplicated           int `json:"doubled"`
	Mismatched           int `json:"crossed"`
	KeyLeaks             int `json:"key_leaks"`
	RanButReportedNotRun int `json:"false_not_run"`
	LateKeyUses          int `json:"late_key_uses"`
	LateDataCentreCalls  int `json:"late_data_centre_calls"`
	AboveLimit           int `json:"above_limit"`
	UncleanStops         int `json:"unclean_stops"`
}

// Figures returns the rows that a run of the demo gives for the tables of docs/MEASUREMENTS.md. Each row encodes to a
// flat JSON object.
func Figures(o *Outcome) []any {
	r := runInfo{Deployment: o.Deployment, Method: "processes", Scenario: o.Scenario, Seed: o.Seed}
	if o.Faults {
		r.Scenario += " with faults"
	}
	withFigure := func(figure string) runInfo {
		r.Figure = figure
		return r
	}
	var out []any
	for _, change := range slices.Sorted(maps.Keys(o.ConvergenceSeconds)) {
		slowestMS := round(1000*o.ConvergenceSeconds[change], 1)
		out = append(out, convergenceFigure{withFigure("convergence"), change, slowestMS, len(o.NotConverged)})
	}
	out = append(out, newControlTrafficFigure(withFigure("control"), "calls", o.ControlBytesPerSecond))
	if len(o.IdleControlBytesPerSecond) > 0 {
		out = append(out, newControlTrafficFigure(withFigure("control"), "idle: configuration", o.IdleControlBytesPerSecond))
		if o.Scenario != ScenarioAllEvents {
			// Without configuration changes, the traffic that calls add consists of quota messages.
			addedByCalls := make(map[string]float64, len(o.ControlBytesPerSecond))
			for node, bytes := range o.ControlBytesPerSecond {
				addedByCalls[node] = bytes - o.IdleControlBytesPerSecond[node]
			}
			out = append(out, newControlTrafficFigure(withFigure("control"), "calls less idle: quota", addedByCalls))
		}
	}
	for i := range o.Windows {
		w := &o.Windows[i]
		out = append(out, windowFigure{
			withFigure("data centre"), w.DataCentre, string(w.Phase), w.Calls, percent(w.InTimeRatio), w.WorstTeam,
			percent(w.WorstTeamInTimeRatio), round(w.LatencyMS.P50, 1), round(w.LatencyMS.P99, 1),
		})
	}
	return append(out, newTeamFigure(withFigure("teams"), o), safetyFigure{
		withFigure("safety"), o.Lost, o.Duplicated, o.Mismatched, o.KeyLeaks, o.RanButReportedNotRun, o.LateKeyUses,
		o.LateDataCentreCalls, o.AboveLimit, len(o.UncleanStops),
	})
}

func newTeamFigure(r runInfo, o *Outcome) teamFigure {
	worstOther := 1.0
	for team, ratio := range o.TeamServedRatio {
		if team != o.TeamOverRate {
			worstOther = min(worstOther, ratio)
		}
	}
	return teamFigure{
		runInfo: r, TeamOverRate: o.TeamOverRate, WorstTeam: o.WorstTeam, WorstTeamServedPercent: percent(o.WorstTeamServedRatio),
		WorstOtherTeamServedPercent: percent(worstOther),
		Calls:                       o.Calls, Served: o.Served, RateRefusals: o.RateRefusals, WrongfulRefusals: o.WrongfulRefusals,
		TeamOverRateAdmitted: o.AdmittedByTeam[o.TeamOverRate], TeamOverRateEntitled: o.EntitledByTeam[o.TeamOverRate],
		AddedLatencyP50MS: o.AddedLatencyP50MS, AddedLatencyP99MS: o.AddedLatencyP99MS, BaselineLatencyP99MS: o.BaselineLatencyP99MS,
	}
}

func newControlTrafficFigure(r runInfo, load string, perSecond map[string]float64) controlTrafficFigure {
	f := controlTrafficFigure{runInfo: r, Load: load}
	for _, bytes := range perSecond {
		f.MeanBytesPerSecond += bytes / float64(len(perSecond))
		f.BusiestNodeBytesPerSecond = max(f.BusiestNodeBytesPerSecond, bytes)
	}
	f.MeanBytesPerSecond, f.BusiestNodeBytesPerSecond = round(f.MeanBytesPerSecond, 0), round(f.BusiestNodeBytesPerSecond, 0)
	return f
}

func percent(ratio float64) float64 { return round(100*ratio, 2) }

// round rounds v to a number of decimal digits.
func round(v float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(v*scale) / scale
}
