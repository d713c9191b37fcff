package load

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// Bounds from section 1.1 of docs/design.md: the time from publication until no node serves calls with a withdrawn key,
// and until no new call reaches a data centre that was taken out of service.
const (
	keyWithdrawalBound = 5 * time.Second
	dataCentreOutBound = 5 * time.Second
)

// RateLimit is the rate and the burst at which a team may send calls.
type RateLimit struct {
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
}

// ReportInput is the data from which a report is computed.
type ReportInput struct {
	Results      []CallResult
	Records      []upstream.CallRecord
	EventResults []EventResult
	RateLimits   map[string]RateLimit
	// ControlBytesPerSecond is the mean control traffic of each node, received and sent, by node.
	ControlBytesPerSecond map[string]float64
	// Timeouts holds the timeout of each route that is in force during the replay. A call is served in time if its last
	// attempt ends within the timeout, counted from the first attempt; routes without an entry have no such bound.
	Timeouts map[string]time.Duration
}

// Latency holds percentiles and the maximum of a distribution of latencies, in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the result of a replay.
type Report struct {
	Calls  int `json:"calls"`
	Served int `json:"served"`
	// Refused is the number of calls whose last attempt did not run: a node refused it, or it could not be sent.
	Refused int `json:"refused"`
	// Unknown is the number of calls whose outcome the caller does not know.
	Unknown int `json:"unknown"`
	// Failed is the number of calls whose last answer had neither a 2xx status nor the error body of a node.
	Failed   int                    `json:"failed"`
	Attempts int                    `json:"attempts"`
	Outcomes map[wire.ErrorKind]int `json:"outcomes"`
	// RateRefusals counts the attempts that were refused for the team's rate. WrongfulRefusals counts those of them
	// that were within the team's rate and burst when every attempt that the team had sent is counted.
	// NeedlessRefusals counts those that were within it when only the admitted attempts are counted; these can also
	// concern teams that sent too much.
	WrongfulRefusals int `json:"wrongful_refusals"`
	NeedlessRefusals int `json:"needless_refusals"`
	RateRefusals     int `json:"rate_refusals"`
	// WrongfulRefusalsByTeam holds WrongfulRefusals by team.
	WrongfulRefusalsByTeam map[string]int `json:"wrongful_refusals_by_team"`
	// AdmittedByTeam counts the attempts that were not refused for the team's rate. EntitledByTeam counts the attempts
	// that a single token bucket for the whole mesh, without any delay, would have admitted.
	AdmittedByTeam map[string]int `json:"admitted_by_team"`
	EntitledByTeam map[string]int `json:"entitled_by_team"`
	// Lost counts calls with an identity that were answered as served although no upstream served them, and served
	// attempts whose answer had no body.
	Lost int `json:"lost"`
	// Duplicated counts identities whose call ran more than once.
	Duplicated int `json:"doubled"`
	// Mismatched counts answers that were truncated or belong to another request, request bodies that were changed on
	// the way, and wrong answers to onward calls.
	Mismatched int `json:"crossed"`
	// RanButReportedNotRun counts attempts that an upstream ran although the caller was told that they did not run.
	RanButReportedNotRun int `json:"false_not_run"`
	// KeyLeaks counts calls in which an upstream received a key of a caller.
	KeyLeaks int `json:"key_leaks"`
	// LateKeyUses counts attempts with a withdrawn key that were sent more than 5 s after the withdrawal was published
	// and were served. LateDataCentreCalls counts calls that arrived at upstreams of a data centre while it was out of
	// service, more than 5 s after the version that took it out was published.
	LateKeyUses         int `json:"late_key_uses"`
	LateDataCentreCalls int `json:"late_data_centre_calls"`
	// AboveLimit counts calls that reached an upstream while it already had as many calls as it can handle.
	AboveLimit int `json:"above_limit"`

	// ConvergenceSeconds is the time from an event until the last node followed it, by kind and target of the event;
	// ConvergenceSecondsMax is the longest. Restarts of nodes are not included.
	ConvergenceSecondsMax float64            `json:"convergence_seconds_max"`
	ConvergenceSeconds    map[string]float64 `json:"convergence_seconds"`
	// RestartSeconds is the time from the restart of a node until it served calls again, by node.
	RestartSeconds map[string]float64 `json:"restart_seconds"`
	// NotConverged lists, as "event: node", the nodes that did not follow an event within the bound of the event.
	NotConverged []string `json:"not_converged"`
	// Violations describes the first calls that are counted in Lost, Duplicated, Mismatched, KeyLeaks or
	// RanButReportedNotRun.
	Violations []string `json:"violations"`

	// TeamServedRatio is the share of the calls of each team that were served; WorstTeam is the team with the lowest.
	// Calls that were rightfully refused, for the team's rate or a withdrawn key, are not counted.
	WorstTeam            string             `json:"worst_team"`
	WorstTeamServedRatio float64            `json:"worst_team_served_ratio"`
	TeamServedRatio      map[string]float64 `json:"team_served_ratio"`
	// LatencyMS is the latency of the served calls, from the start of the first attempt to the end of the last one.
	LatencyMS        Latency            `json:"latency_ms"`
	LatencyMSByRoute map[string]Latency `json:"latency_ms_by_route"`
	// AddedLatencyP50MS and AddedLatencyP99MS are percentiles of the time that the last attempt of a served call took
	// at the caller minus the time that it took at the upstream.
	AddedLatencyP50MS     float64            `json:"added_ms_p50"`
	AddedLatencyP99MS     float64            `json:"added_ms_p99"`
	ControlBytesPerSecond map[string]float64 `json:"control_bytes_per_second"`

	ControlBytesPerSecondMax float64 `json:"control_bytes_per_second_max"`
	// Windows has three entries for each data centre that was taken out of service and returned: before, during and
	// after that time.
	Windows []Window `json:"windows"`
}

// Safe reports whether Lost, Duplicated, Mismatched, KeyLeaks and RanButReportedNotRun are all zero.
func (r *Report) Safe() bool {
	return r.Lost == 0 && r.Duplicated == 0 && r.Mismatched == 0 && r.KeyLeaks == 0 && r.RanButReportedNotRun == 0
}

// EventsInTime reports whether each event took effect on all nodes within its bound.
func (r *Report) EventsInTime() bool {
	return r.LateKeyUses == 0 && r.LateDataCentreCalls == 0 && len(r.NotConverged) == 0
}

// NewReport computes the report from the records of callers and upstreams.
func NewReport(in ReportInput) *Report {
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
	index := indexRecords(in.Records)
	r.countOutcomes(in.Results)
	rightfulRefusals := r.countRateRefusals(in)
	r.computeTeamServedRatios(in, rightfulRefusals)
	r.countWindows(in, rightfulRefusals)
	r.countResultViolations(in.Results, index)
	r.countRecordViolations(in)
	r.countLateCalls(in)
	r.countConvergence(in.EventResults)
	r.computeLatencies(in, index)
	for node, bytes := range in.ControlBytesPerSecond {
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

// computeTeamServedRatios computes the share of served calls by team. Calls that were rightfully refused, for the
// team's rate or a withdrawn key, are not counted.
func (r *Report) computeTeamServedRatios(in ReportInput, rightfulRefusals map[*Attempt]bool) {
	served, demand := map[string]int{}, map[string]int{}
	for i := range in.Results {
		last := in.Results[i].LastAttempt()
		if rightfulRefusals[last] || last.Kind == wire.KindKeyWithdrawn {
			continue
		}
		team := in.Results[i].Call.Team
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

// countLateCalls counts calls that, after the bounds, were served for a withdrawn key or arrived in a data centre out
// of service.
func (r *Report) countLateCalls(in ReportInput) {
	for _, result := range in.EventResults {
		switch result.Event.Kind {
		case trace.WithdrawKey:
			r.LateKeyUses += countLateKeyUses(in.Results, result)
		case trace.DataCentreOut:
			r.LateDataCentreCalls += countLateDataCentreCalls(in.Records, result, returnTime(in.EventResults, result))
		}
	}
}

func countLateKeyUses(results []CallResult, result EventResult) (late int) {
	for i := range results {
		for j := range results[i].Attempts {
			a := &results[i].Attempts[j]
			if results[i].Call.KeyID == result.Event.Target && a.Kind == KindServed &&
				a.Sent.After(result.At.Add(keyWithdrawalBound)) {
				late++
			}
		}
	}
	return late
}

// returnTime returns the time at which the data centre that outEvent took out of service returned, or the zero time if
// it did not return.
func returnTime(eventResults []EventResult, outEvent EventResult) (at time.Time) {
	for _, result := range eventResults {
		isReturn := result.Event.Kind == trace.DataCentreIn && result.Event.Target == outEvent.Event.Target && result.At.After(outEvent.At)
		if isReturn && (at.IsZero() || result.At.Before(at)) {
			at = result.At
		}
	}
	return at
}

func countLateDataCentreCalls(records []upstream.CallRecord, outEvent EventResult, returnedAt time.Time) (late int) {
	for i := range records {
		start := records[i].Start
		if records[i].DataCentre != outEvent.Event.Target || !start.After(outEvent.At.Add(dataCentreOutBound)) {
			continue
		}
		if returnedAt.IsZero() || start.Before(returnedAt) {
			late++
		}
	}
	return late
}

func (r *Report) countConvergence(eventResults []EventResult) {
	for _, result := range eventResults {
		name := string(result.Event.Kind)
		if result.Event.Target != "" {
			name += " " + result.Event.Target
		}
		for node, took := range result.Converged {
			seconds := took.Seconds()
			if result.Event.Kind == trace.RestartNode {
				r.RestartSeconds[node] = seconds
			} else {
				r.ConvergenceSeconds[name] = max(r.ConvergenceSeconds[name], seconds)
				r.ConvergenceSecondsMax = max(r.ConvergenceSecondsMax, seconds)
			}
			if took > time.Duration(result.Event.WithinMS)*time.Millisecond {
				r.NotConverged = append(r.NotConverged, name+": "+node)
			}
		}
		for _, node := range result.Pending {
			r.NotConverged = append(r.NotConverged, name+": "+node)
		}
	}
	sort.Strings(r.NotConverged)
}

// Histograms hold latencies in microseconds, up to one minute, with three significant digits.
const (
	maxLatencyUS      = 60_000_000
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUS, significantDigits)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyUS))
}

func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func summariseLatency(h *hdrhistogram.Histogram) Latency {
	return Latency{P50: percentileMS(h, 50), P99: percentileMS(h, 99), Max: float64(h.Max()) / 1000}
}

// computeLatencies computes the latencies of served calls. The added latency is the time that the last attempt took at
// the caller minus the time that it took at the upstream.
func (r *Report) computeLatencies(in ReportInput, index *recordIndex) {
	all, added := newHistogram(), newHistogram()
	byRoute := map[string]*hdrhistogram.Histogram{}
	for i := range in.Results {
		result := &in.Results[i]
		last := result.LastAttempt()
		if last.Kind != KindServed {
			continue
		}
		route := result.Call.Route
		if byRoute[route] == nil {
			byRoute[route] = newHistogram()
		}
		took := last.Done.Sub(result.Attempts[0].Sent)
		recordLatency(all, took)
		recordLatency(byRoute[route], took)
		if upstreamRecord := index.servedRecord(last.Token); upstreamRecord != nil {
			recordLatency(added, last.Done.Sub(last.Sent)-upstreamRecord.End.Sub(upstreamRecord.Start))
		}
	}
	r.LatencyMS = summariseLatency(all)
	for route, h := range byRoute {
		r.LatencyMSByRoute[route] = summariseLatency(h)
	}
	r.AddedLatencyP50MS = percentileMS(added, 50)
	r.AddedLatencyP99MS = percentileMS(added, 99)
}
