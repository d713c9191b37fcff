package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// Bounds of section 1.1 of the design for withdrawn keys and closed data centres.
const (
	keyBound        = 5 * time.Second
	dataCentreBound = 5 * time.Second
)

// RateLimit is a team's rate and burst.
type RateLimit struct {
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
}

// ReportInput is everything that a report is computed from.
type ReportInput struct {
	Results      []CallResult
	Records      []upstream.CallRecord
	EventResults []EventResult
	RateLimits   map[string]RateLimit
	// ControlBytesPerSecond is the mean of control traffic, received and sent, by node.
	ControlBytesPerSecond map[string]float64
	// Timeouts are the routes' timeouts in force, by route; a call is served in time when it ends within it.
	Timeouts map[string]time.Duration
}

// Latency summarises a distribution in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the outcome of a replay.
type Report struct {
	Calls   int `json:"calls"`
	Served  int `json:"served"`
	Refused int `json:"refused"`
	// Unknown is the number of calls whose outcome the caller does not know.
	Unknown int `json:"unknown"`
	// Failed is the number of calls that ended with an answer that is neither served nor a refusal.
	Failed   int                    `json:"failed"`
	Attempts int                    `json:"attempts"`
	Outcomes map[wire.ErrorKind]int `json:"outcomes"`
	// WrongfulRefusals counts attempts refused for the team's rate although all that the team had sent was
	// within its rate and burst. NeedlessRefusals counts those refused although what had been admitted
	// left room; it includes refusals of teams that sent too much.
	WrongfulRefusals int `json:"wrongful_refusals"`
	NeedlessRefusals int `json:"needless_refusals"`
	RateRefusals     int `json:"rate_refusals"`
	// WrongfulRefusalsByTeam splits WrongfulRefusals.
	WrongfulRefusalsByTeam map[string]int `json:"wrongful_refusals_by_team"`
	// AdmittedByTeam counts the attempts that were not refused for the team's rate; EntitledByTeam counts those
	// that one token bucket for the whole mesh, without any delay, would have admitted of what the team sent.
	AdmittedByTeam map[string]int `json:"admitted_by_team"`
	EntitledByTeam map[string]int `json:"entitled_by_team"`
	// Lost counts orders whose caller was told that they were served, but that no upstream served, and
	// served calls without an answer. Doubled counts identities that ran more than once.
	Lost       int `json:"lost"`
	Duplicated int `json:"doubled"`
	// Mismatched counts answers that are short or belong to another request, and request bodies that arrived
	// changed.
	Mismatched int `json:"crossed"`
	// RanButReportedNotRun counts attempts reported as not run that an upstream ran.
	RanButReportedNotRun int `json:"false_not_run"`
	// KeyLeaks counts calls in which an upstream saw a key.
	KeyLeaks int `json:"key_leaks"`
	// LateKeyUses and LateDataCentreCalls count calls served for a withdrawn key, and calls that arrived at
	// upstreams of a data centre that is out, more than 5 s after the publication.
	LateKeyUses         int `json:"late_key_uses"`
	LateDataCentreCalls int `json:"late_data_centre_calls"`
	// AboveLimit counts calls that reached an upstream while it already had as many as it bears.
	AboveLimit int `json:"above_limit"`

	ConvergenceSecondsMax float64            `json:"convergence_seconds_max"`
	ConvergenceSeconds    map[string]float64 `json:"convergence_seconds"`
	// RestartSeconds is the time until a restarted node served again, by node.
	RestartSeconds map[string]float64 `json:"restart_seconds"`
	// NotConverged lists events and nodes that did not follow within the bound of the event.
	NotConverged []string `json:"not_converged"`
	// Violations describes the first lost, doubled, crossed, leaked or falsely reported calls.
	Violations []string `json:"violations"`

	WorstTeam             string             `json:"worst_team"`
	WorstTeamServedRatio  float64            `json:"worst_team_served_ratio"`
	TeamServedRatio       map[string]float64 `json:"team_served_ratio"`
	LatencyMS             Latency            `json:"latency_ms"`
	LatencyMSByRoute      map[string]Latency `json:"latency_ms_by_route"`
	AddedLatencyP50MS     float64            `json:"added_ms_p50"`
	AddedLatencyP99MS     float64            `json:"added_ms_p99"`
	ControlBytesPerSecond map[string]float64 `json:"control_bytes_per_second"`

	ControlBytesPerSecondMax float64 `json:"control_bytes_per_second_max"`
	// Windows has three entries for each data centre that left and returned: before, during and after.
	Windows []Window `json:"windows"`
}

// Safe reports whether nothing was lost, doubled, crossed or leaked, and no call ran that was reported as not run.
func (r *Report) Safe() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.Mismatched == 0 && r.KeyLeaks == 0 && r.RanButReportedNotRun == 0
}

// EventsInTime reports whether each event had its effect within its bound.
func (r *Report) EventsInTime() bool {
	return r.LateKeyUses == 0 && r.LateDataCentreCalls == 0 && len(r.NotConverged) == 0
}

// NewReport computes the report.
func NewReport(e ReportInput) *Report {
	r := &Report{
		Outcomes:               map[wire.ErrorKind]int{},
		ConvergenceSeconds:     map[string]float64{},
		RestartSeconds:         map[string]float64{},
		NotConverged:           []string{},
		Violations:             []string{},
		WrongfulRefusalsByTeam: map[string]int{},
		AdmittedByTeam:         map[string]int{},
		EntitledByTeam:         map[string]int{},
		TeamServedRatio:        map[string]float64{},
		LatencyMSByRoute:       map[string]Latency{},
		ControlBytesPerSecond:  map[string]float64{},
		Windows:                []Window{},
	}
	index := indexRecords(e.Records)
	r.countOutcomes(e.Results)
	rightful := r.countRateRefusals(e)
	r.countTeams(e, rightful)
	r.countWindows(e, rightful)
	r.countAnswers(e.Results, index)
	r.countRecords(e)
	r.countLate(e)
	r.countConvergence(e.EventResults)
	r.measure(e, index)
	for node, bytes := range e.ControlBytesPerSecond {
		r.ControlBytesPerSecond[node] = bytes
		r.ControlBytesPerSecondMax = max(r.ControlBytesPerSecondMax, bytes)
	}
	return r
}

func (r *Report) countOutcomes(results []CallResult) {
	for i := range results {
		last := results[i].LastAttempt()
		r.Calls++
		r.Attempts += len(results[i].Attempts)
		r.Outcomes[last.Kind]++
		switch {
		case last.Kind == KindServed:
			r.Served++
		case last.Ran == RanNo:
			r.Refused++
		case last.Kind == KindOtherStatus:
			r.Failed++
		default:
			r.Unknown++
		}
	}
}

// countTeams computes the share of served calls by team. Rightful refusals are no demand: those for the
// team's rate, and those for a withdrawn key.
func (r *Report) countTeams(e ReportInput, rightful map[*Attempt]bool) {
	served, demand := map[string]int{}, map[string]int{}
	for i := range e.Results {
		last := e.Results[i].LastAttempt()
		if rightful[last] || last.Kind == wire.KindKeyWithdrawn {
			continue
		}
		team := e.Results[i].Call.Team
		demand[team]++
		if last.Kind == KindServed {
			served[team]++
		}
	}
	teams := make([]string, 0, len(demand))
	for team := range demand {
		teams = append(teams, team)
	}
	sort.Strings(teams)
	r.WorstTeamServedRatio = 1
	for _, team := range teams {
		ratio := float64(served[team]) / float64(demand[team])
		r.TeamServedRatio[team] = ratio
		if r.WorstTeam == "" || ratio < r.WorstTeamServedRatio {
			r.WorstTeam, r.WorstTeamServedRatio = team, ratio
		}
	}
}

// countLate finds work for withdrawn keys and closed data centres after the bounds.
func (r *Report) countLate(e ReportInput) {
	for _, m := range e.EventResults {
		switch m.Event.Kind {
		case trace.WithdrawKey:
			r.LateKeyUses += lateKeyUses(e.Results, m)
		case trace.DataCentreOut:
			r.LateDataCentreCalls += lateCalls(e.Records, m, returnOf(e.EventResults, m))
		}
	}
}

func lateKeyUses(results []CallResult, m EventResult) (late int) {
	for i := range results {
		for j := range results[i].Attempts {
			a := &results[i].Attempts[j]
			if results[i].Call.KeyID == m.Event.Target && a.Kind == KindServed && a.Sent.After(m.At.Add(keyBound)) {
				late++
			}
		}
	}
	return late
}

// returnOf is the time at which the data centre of the move out came in again, or zero.
func returnOf(moves []EventResult, out EventResult) (at time.Time) {
	for _, m := range moves {
		back := m.Event.Kind == trace.DataCentreIn && m.Event.Target == out.Event.Target && m.At.After(out.At)
		if back && (at.IsZero() || m.At.Before(at)) {
			at = m.At
		}
	}
	return at
}

func lateCalls(records []upstream.CallRecord, out EventResult, back time.Time) (late int) {
	for i := range records {
		start := records[i].Start
		if records[i].DataCentre != out.Event.Target || !start.After(out.At.Add(dataCentreBound)) {
			continue
		}
		if back.IsZero() || start.Before(back) {
			late++
		}
	}
	return late
}

func (r *Report) countConvergence(moves []EventResult) {
	for _, m := range moves {
		name := string(m.Event.Kind)
		if m.Event.Target != "" {
			name += " " + m.Event.Target
		}
		for node, took := range m.Converged {
			seconds := took.Seconds()
			if m.Event.Kind == trace.RestartNode {
				r.RestartSeconds[node] = seconds
			} else {
				r.ConvergenceSeconds[name] = max(r.ConvergenceSeconds[name], seconds)
				r.ConvergenceSecondsMax = max(r.ConvergenceSecondsMax, seconds)
			}
			if took > time.Duration(m.Event.WithinMS)*time.Millisecond {
				r.NotConverged = append(r.NotConverged, name+": "+node)
			}
		}
		for _, node := range m.Pending {
			r.NotConverged = append(r.NotConverged, name+": "+node)
		}
	}
	sort.Strings(r.NotConverged)
}

// Histograms hold microseconds up to a minute with three significant digits.
const (
	longestLatencyUS = 60_000_000
	latencyDigits    = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLatencyUS, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestLatencyUS))
}

func milliseconds(h *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(h.ValueAtQuantile(quantile)) / 1000
}

func summary(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: milliseconds(h, 50), P99: milliseconds(h, 99), Max: float64(h.Max()) / 1000}
}

// measure computes latencies of served calls. The added time is the caller's time for the attempt less the
// upstream's own time for the same attempt.
func (r *Report) measure(e ReportInput, index *recordIndex) {
	all, added := newHistogram(), newHistogram()
	byRoute := map[string]*hdrhistogram.Histogram{}
	for i := range e.Results {
		result := &e.Results[i]
		last := result.LastAttempt()
		if last.Kind != KindServed {
			continue
		}
		route := result.Call.Route
		if byRoute[route] == nil {
			byRoute[route] = newHistogram()
		}
		took := last.Done.Sub(result.Attempts[0].Sent)
		record(all, took)
		record(byRoute[route], took)
		if own := index.served(last.Token); own != nil {
			record(added, last.Done.Sub(last.Sent)-own.End.Sub(own.Start))
		}
	}
	r.LatencyMS = summary(all)
	for route, h := range byRoute {
		r.LatencyMSByRoute[route] = summary(h)
	}
	r.AddedLatencyP50MS = milliseconds(added, 50)
	r.AddedLatencyP99MS = milliseconds(added, 99)
}
