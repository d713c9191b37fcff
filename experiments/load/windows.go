package load

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// Phase is the position of a window relative to the time in which a data centre is out of service.
type Phase string

// Phases before, during and after the time in which a data centre is out of service.
const (
	PhaseBefore Phase = "before"
	PhaseDuring Phase = "during"
	PhaseAfter  Phase = "after"
)

// Window is the service quality of the calls whose first attempt was sent before, while or after a data centre was out
// of service. Calls that were rightfully refused, for the team's rate or a withdrawn key, are not counted.
type Window struct {
	DataCentre string `json:"data_centre"`
	Phase      Phase  `json:"phase"`
	// Seconds is the time between the start of the first and of the last call in the window.
	Seconds float64 `json:"seconds"`
	Calls   int     `json:"calls"`
	// ServedRatio is the share of calls that were served; InTimeRatio is the share that was served within the timeout
	// of the route, counted from the first attempt to the end of the last one.
	ServedRatio float64 `json:"served_ratio"`
	InTimeRatio float64 `json:"in_time_ratio"`
	// WorstTeam is the team with the smallest share of calls served in time.
	WorstTeam             string             `json:"worst_team"`
	WorstTeamInTimeRatio  float64            `json:"worst_team_in_time_ratio"`
	TeamInTimeRatio       map[string]float64 `json:"team_in_time_ratio"`
	LatencyMS             Latency            `json:"latency_ms"`
	from, until           time.Time
	served, inTime        int
	teamCalls, teamInTime map[string]int
}

// countWindows computes three windows of equal length for each data centre that was taken out of service and returned:
// while it was out, and directly before and after.
func (r *Report) countWindows(in ReportInput, rightfulRefusals map[*Attempt]bool) {
	for _, outEvent := range in.EventResults {
		if outEvent.Event.Kind != trace.DataCentreOut {
			continue
		}
		returnedAt := returnTime(in.EventResults, outEvent)
		if returnedAt.IsZero() {
			continue
		}
		outDuration := returnedAt.Sub(outEvent.At)
		for _, w := range []Window{
			{Phase: PhaseBefore, from: outEvent.At.Add(-outDuration), until: outEvent.At},
			{Phase: PhaseDuring, from: outEvent.At, until: returnedAt},
			{Phase: PhaseAfter, from: returnedAt, until: returnedAt.Add(outDuration)},
		} {
			w.DataCentre = outEvent.Event.Target
			w.countCalls(in, rightfulRefusals)
			r.Windows = append(r.Windows, w)
		}
	}
}

func (w *Window) countCalls(in ReportInput, rightfulRefusals map[*Attempt]bool) {
	w.teamCalls, w.teamInTime = map[string]int{}, map[string]int{}
	latency := newHistogram()
	var earliestSent, latestSent time.Time
	for i := range in.Results {
		result := &in.Results[i]
		firstSent, lastAttempt := result.Attempts[0].Sent, result.LastAttempt()
		if firstSent.Before(w.from) || !firstSent.Before(w.until) || rightfulRefusals[lastAttempt] ||
			lastAttempt.Kind == wire.KindKeyWithdrawn {
			continue
		}
		if earliestSent.IsZero() || firstSent.Before(earliestSent) {
			earliestSent = firstSent
		}
		if firstSent.After(latestSent) {
			latestSent = firstSent
		}
		w.Calls++
		w.teamCalls[result.Call.Team]++
		if lastAttempt.Kind != KindServed {
			continue
		}
		took := lastAttempt.Done.Sub(firstSent)
		recordLatency(latency, took)
		w.served++
		if limit := in.Timeouts[result.Call.Route]; limit == 0 || took <= limit {
			w.inTime++
			w.teamInTime[result.Call.Team]++
		}
	}
	w.Seconds = latestSent.Sub(earliestSent).Seconds()
	w.LatencyMS = summariseLatency(latency)
	w.computeRatios()
}

func (w *Window) computeRatios() {
	w.WorstTeamInTimeRatio, w.TeamInTimeRatio = 1, map[string]float64{}
	if w.Calls == 0 {
		return
	}
	w.ServedRatio = float64(w.served) / float64(w.Calls)
	w.InTimeRatio = float64(w.inTime) / float64(w.Calls)
	for team, calls := range w.teamCalls {
		ratio := float64(w.teamInTime[team]) / float64(calls)
		w.TeamInTimeRatio[team] = ratio
		if ratio < w.WorstTeamInTimeRatio || ratio == w.WorstTeamInTimeRatio && (w.WorstTeam == "" || team < w.WorstTeam) {
			w.WorstTeam, w.WorstTeamInTimeRatio = team, ratio
		}
	}
}
