package load

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// call is an order of team "t" sent at a time, with its outcome 10 ms later.
func call(id string, ms int, kind wire.ErrorKind, ran string) CallResult {
	return CallResult{
		Call: &trace.Call{ID: id, Team: "t", KeyID: "k", Route: "order", Identity: id, Method: "POST"},
		Attempts: []Attempt{{
			Number: 1, Token: id + "#1", Kind: kind, Ran: ran, Sent: at(ms), Done: at(ms + 10), EchoedToken: id + "#1",
		}},
	}
}

// run is the record of a call's first attempt, 8 ms long.
func run(id string, ms int) upstream.CallRecord {
	return upstream.CallRecord{
		Upstream: "u", DataCentre: "d", Token: id + "#1", Identity: id, Outcome: upstream.OutcomeServed,
		Start: at(ms + 1), End: at(ms + 9),
	}
}

// sound is a record without any fault: two orders served, one refused for the rate rightly.
func sound() ReportInput {
	return ReportInput{
		Results: []CallResult{
			call("a", 0, KindServed, RanYes),
			call("b", 1, KindServed, RanYes),
			call("c", 2, wire.KindTeamRateExceeded, RanNo),
		},
		Records:               []upstream.CallRecord{run("a", 0), run("b", 1)},
		RateLimits:            map[string]RateLimit{"t": {RatePerSecond: 1, Burst: 2}},
		ControlBytesPerSecond: map[string]float64{"n1": 100, "n2": 300},
	}
}

// Guards against wrong sums in a run without faults, and against a counter that sees faults where none are.
func TestReportOfASoundRecord(t *testing.T) {
	g := NewWithT(t)
	r := NewReport(sound())
	g.Expect(r.Safe()).To(BeTrue())
	g.Expect([]int{r.Calls, r.Served, r.Refused, r.Unknown, r.Failed, r.Attempts}).To(Equal([]int{3, 2, 1, 0, 0, 3}))
	g.Expect([]int{r.RateRefusals, r.WrongfulRefusals, r.NeedlessRefusals, r.RanButReportedNotRun}).To(Equal([]int{1, 0, 0, 0}))
	g.Expect(r.WorstTeamServedRatio).To(Equal(1.0))
	g.Expect(r.AddedLatencyP99MS).To(BeNumerically("~", 2, 0.01))
	g.Expect(r.LatencyMS.P99).To(BeNumerically("~", 10, 0.02))
	g.Expect(r.ControlBytesPerSecondMax).To(Equal(300.0))
}

// Guards against counters that stay at zero: each planted fault must be counted once and by its counter only.
func TestEachPlantedFaultIsCounted(t *testing.T) {
	faults := map[string]struct {
		plant func(*ReportInput)
		count func(*Report) int
		safe  bool
	}{
		"doubled identity": {
			func(e *ReportInput) { e.Records = append(e.Records, run("a", 50)) },
			func(r *Report) int { return r.Duplicated }, false,
		},
		"doubled identity whose second run was cancelled": {
			func(e *ReportInput) {
				again := run("a", 50)
				again.Outcome = upstream.OutcomeCancelled
				e.Records = append(e.Records, again)
			},
			func(r *Report) int { return r.Duplicated }, false,
		},
		"lost order": {
			func(e *ReportInput) { e.Records = e.Records[1:] },
			func(r *Report) int { return r.Lost }, false,
		},
		"order whose run did not end": {
			func(e *ReportInput) { e.Records[0].Outcome = upstream.OutcomeDeadlineExceeded },
			func(r *Report) int { return r.Lost }, false,
		},
		"missing answer": {
			func(e *ReportInput) { e.Results[0].Attempts[0].Defect = DefectMissing },
			func(r *Report) int { return r.Lost }, false,
		},
		"crossed answer": {
			func(e *ReportInput) { e.Results[0].Attempts[0].Defect = DefectMismatched },
			func(r *Report) int { return r.Mismatched }, false,
		},
		"short answer": {
			func(e *ReportInput) { e.Results[0].Attempts[0].Defect = DefectTruncated },
			func(r *Report) int { return r.Mismatched }, false,
		},
		"changed request body": {
			func(e *ReportInput) { e.Records[0].BodyCorrupted = true },
			func(r *Report) int { return r.Mismatched }, false,
		},
		"key in a header": {
			func(e *ReportInput) { e.Records[0].KeySeen = true },
			func(r *Report) int { return r.KeyLeaks }, false,
		},
		"refusal of a call that ran": {
			func(e *ReportInput) { e.Records = append(e.Records, run("c", 2)) },
			func(r *Report) int { return r.RanButReportedNotRun }, false,
		},
		"wrongful refusal": {
			func(e *ReportInput) { e.Results[2].Attempts[0].Sent = at(1002) },
			func(r *Report) int { return r.WrongfulRefusals }, true,
		},
		"call above what a cold upstream bears": {
			func(e *ReportInput) { e.Records[0].AboveLimit = true },
			func(r *Report) int { return r.AboveLimit }, true,
		},
		"use of a withdrawn key": {
			func(e *ReportInput) {
				e.EventResults = []EventResult{{Event: trace.Event{Kind: trace.WithdrawKey, Target: "k"}, At: at(-5000)}}
			},
			func(r *Report) int { return r.LateKeyUses }, true,
		},
		"call to a closed data centre": {
			func(e *ReportInput) {
				e.EventResults = []EventResult{
					{Event: trace.Event{Kind: trace.DataCentreOut, Target: "d"}, At: at(-4999)},
					{Event: trace.Event{Kind: trace.DataCentreIn, Target: "d"}, At: at(100)},
				}
			},
			func(r *Report) int { return r.LateDataCentreCalls }, true,
		},
		"node that does not converge": {
			func(e *ReportInput) { e.EventResults = []EventResult{{Pending: []string{"n1"}}} },
			func(r *Report) int { return len(r.NotConverged) }, true,
		},
		"node that converges late": {
			func(e *ReportInput) {
				e.EventResults = []EventResult{{
					Event:     trace.Event{WithinMS: 1000},
					Converged: map[string]time.Duration{"n1": time.Second, "n2": 2 * time.Second},
				}}
			},
			func(r *Report) int { return len(r.NotConverged) }, true,
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(fault.count(NewReport(sound()))).To(Equal(0))
			e := sound()
			fault.plant(&e)
			r := NewReport(e)
			g.Expect(fault.count(r)).To(Equal(1))
			g.Expect(r.Safe()).To(Equal(fault.safe))
		})
	}
}

// Guards against refusals counted as wrongful although the team had sent too much, and against rightful
// refusals that lower a team's served share.
func TestRefusalsOfATeamThatSendsTooMuch(t *testing.T) {
	g := NewWithT(t)
	e := sound()
	e.Results = append(e.Results,
		call("d", 3, wire.KindTeamRateExceeded, RanNo),
		// One token has come back by now, but the team had sent two calls too many before.
		call("e", 1500, wire.KindTeamRateExceeded, RanNo),
		call("f", 1501, wire.KindOverloaded, RanNo),
	)
	r := NewReport(e)
	g.Expect([]int{r.RateRefusals, r.WrongfulRefusals, r.NeedlessRefusals}).To(Equal([]int{3, 0, 1}))
	g.Expect(r.WorstTeam).To(Equal("t"))
	g.Expect(r.WorstTeamServedRatio).To(BeNumerically("~", 2.0/3, 1e-9))
}

// Guards against an answer that is accepted although it belongs to another request. The recorded answer of an
// earlier attempt of the same identity is the request's own.
func TestInspect(t *testing.T) {
	g := NewWithT(t)
	order := &trace.Call{ID: "a-1", Identity: "i", AnswerBytes: 200}
	page := &trace.Call{ID: "a-1", AnswerBytes: 200}
	flaw := func(c *trace.Call, token string, body []byte) AnswerDefect {
		_, f := inspect(c, token, body)
		return f
	}
	own, earlier, other := upstream.AnswerBody("a-1#2", 200), upstream.AnswerBody("a-1#1", 200), upstream.AnswerBody("a-10#1", 200)
	g.Expect(flaw(page, "a-1#2", own)).To(Equal(NoDefect))
	g.Expect(flaw(order, "a-1#2", earlier)).To(Equal(NoDefect))
	g.Expect(flaw(page, "a-1#2", earlier)).To(Equal(DefectMismatched))
	g.Expect(flaw(order, "a-1#2", other)).To(Equal(DefectMismatched))
	g.Expect(flaw(order, "a-1#2", own[:150])).To(Equal(DefectTruncated))
	g.Expect(flaw(order, "a-1#2", nil)).To(Equal(DefectMissing))
}
