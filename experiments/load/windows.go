package load

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// Phase is the part of a data centre's move that a window covers.
type Phase string

// Phases of a move.
const (
	PhaseBefore Phase = "before"
	PhaseDuring Phase = "during"
	PhaseAfter  Phase = "after"
)

// Window is the service quality of the calls whose first attempt was sent in a period around the move of a data
// centre. Calls that were refused rightfully, for the team's rate or a withdrawn key, are not counted.
type Window struct {
	DataCentre string  `json:"data_centre"`
	Phase      Phase   `json:"phase"`
	Seconds    float64 `json:"seconds"`
	Calls      int     `json:"calls"`
	// ServedRatio is the share of calls served; InTimeRatio the share served within the route's timeout, counted
	// from the first attempt to the end of the last.
	ServedRatio float64 `json:"served_ratio"`
	InTimeRatio float64 `json:"in_time_ratio"`
	// WorstTeam has the least share of calls served in time.
	WorstTeam            string             `json:"worst_team"`
	WorstTeamInTimeRatio float64            `json:"worst_team_in_time_ratio"`
	TeamInTimeRatio      map[string]float64 `json:"team_in_time_ratio"`
	LatencyMS            Latency            `json:"latency_ms"`
	from, until          time.Time
	served, inTime       int
	teamCalls, teams     map[string]int
}

// countWindows splits the calls around each data centre that leaves: as long before and after as it is out.
func (r *Report) countWindows(e ReportInput, rightful map[*Attempt]bool) {
	for _, out := range e.EventResults {
		if out.Event.Kind != trace.DataCentreOut {
			continue
		}
		back := returnOf(e.EventResults, out)
		if back.IsZero() {
			continue
		}
		away := back.Sub(out.At)
		for _, w := range []Window{
			{Phase: PhaseBefore, from: out.At.Add(-away), until: out.At},
			{Phase: PhaseDuring, from: out.At, until: back},
			{Phase: PhaseAfter, from: back, until: back.Add(away)},
		} {
			w.DataCentre = out.Event.Target
			w.count(e, rightful)
			r.Windows = append(r.Windows, w)
		}
	}
}

func (w *Window) count(e ReportInput, rightful map[*Attempt]bool) {
	w.teamCalls, w.teams = map[string]int{}, map[string]int{}
	latency := newHistogram()
	var first, last time.Time
	for i := range e.Results {
		result := &e.Results[i]
		sent, end := result.Attempts[0].Sent, result.LastAttempt()
		if sent.Before(w.from) || !sent.Before(w.until) || rightful[end] || end.Kind == wire.KindKeyWithdrawn {
			continue
		}
		if first.IsZero() || sent.Before(first) {
			first = sent
		}
		if sent.After(last) {
			last = sent
		}
		w.Calls++
		w.teamCalls[result.Call.Team]++
		if end.Kind != KindServed {
			continue
		}
		took := end.Done.Sub(sent)
		record(latency, took)
		w.served++
		if limit := e.Timeouts[result.Call.Route]; limit == 0 || took <= limit {
			w.inTime++
			w.teams[result.Call.Team]++
		}
	}
	w.Seconds = last.Sub(first).Seconds()
	w.LatencyMS = summary(latency)
	w.summarise()
}

func (w *Window) summarise() {
	w.WorstTeamInTimeRatio, w.TeamInTimeRatio = 1, map[string]float64{}
	if w.Calls == 0 {
		return
	}
	w.ServedRatio = float64(w.served) / float64(w.Calls)
	w.InTimeRatio = float64(w.inTime) / float64(w.Calls)
	for team, calls := range w.teamCalls {
		ratio := float64(w.teams[team]) / float64(calls)
		w.TeamInTimeRatio[team] = ratio
		if ratio < w.WorstTeamInTimeRatio || ratio == w.WorstTeamInTimeRatio && (w.WorstTeam == "" || team < w.WorstTeam) {
			w.WorstTeam, w.WorstTeamInTimeRatio = team, ratio
		}
	}
}
