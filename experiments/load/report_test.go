package load

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// atMS returns the time ms milliseconds after the start of the test data.
func atMS(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// newCallResult returns a non-idempotent call of team "t" that was sent at the time atMS(ms) and ended 10 ms later.
func newCallResult(id string, ms int, kind wire.ErrorKind, ran string) CallResult {
	return CallResult{
		Call: &trace.Call{ID: id, Team: "t", KeyID: "k", Route: "order", Identity: id, Method: "POST"},
		Attempts: []Attempt{{
			Number: 1, Token: id + "#1", Kind: kind, Ran: ran, Sent: atMS(ms), Done: atMS(ms + 10), EchoedToken: id + "#1",
		}},
	}
}

// newRecord returns the record of the first attempt of a call that was sent at the time atMS(ms). The upstream worked
// on it for 8 ms.
func newRecord(id string, ms int) upstream.CallRecord {
	return upstream.CallRecord{
		Upstream: "u", DataCentre: "d", Token: id + "#1", Identity: id, Outcome: upstream.OutcomeServed,
		Start: atMS(ms + 1), End: atMS(ms + 9),
	}
}

// faultlessInput returns the data of a run without faults: two calls were served, and one was rightfully refused for
// the team's rate.
func faultlessInput() ReportInput {
	return ReportInput{
		Results: []CallResult{
			newCallResult("a", 0, KindServed, RanYes),
			newCallResult("b", 1, KindServed, RanYes),
			newCallResult("c", 2, wire.KindTeamRateExceeded, RanNo),
		},
		Records:               []upstream.CallRecord{newRecord("a", 0), newRecord("b", 1)},
		RateLimits:            map[string]RateLimit{"t": {RatePerSecond: 1, Burst: 2}},
		ControlBytesPerSecond: map[string]float64{"n1": 100, "n2": 300},
	}
}

// Guards against wrong sums for a run without faults, and against counters that count faults in such a run.
func TestReportWithoutFaults(t *testing.T) {
	g := NewWithT(t)
	r := NewReport(faultlessInput())
	g.Expect(r.Safe()).To(BeTrue())
	g.Expect([]int{r.Calls, r.Served, r.Refused, r.Unknown, r.Failed, r.Attempts}).To(Equal([]int{3, 2, 1, 0, 0, 3}))
	g.Expect([]int{r.RateRefusals, r.WrongfulRefusals, r.NeedlessRefusals, r.RanButReportedNotRun}).To(Equal([]int{1, 0, 0, 0}))
	g.Expect(r.WorstTeamServedRatio).To(Equal(1.0))
	g.Expect(r.AddedLatencyP99MS).To(BeNumerically("~", 2, 0.01))
	g.Expect(r.LatencyMS.P99).To(BeNumerically("~", 10, 0.02))
	g.Expect(r.ControlBytesPerSecondMax).To(Equal(300.0))
}

// Guards against counters that miss faults: each fault must be counted once, and must make the report unsafe if it is a
// violation.
func TestReportCountsEachFault(t *testing.T) {
	faults := map[string]struct {
		inject  func(*ReportInput)
		counter func(*Report) int
		safe    bool
	}{
		"identity that ran twice": {
			func(in *ReportInput) { in.Records = append(in.Records, newRecord("a", 50)) },
			func(r *Report) int { return r.Duplicated }, false,
		},
		"identity that ran twice, the second run cancelled": {
			func(in *ReportInput) {
				again := newRecord("a", 50)
				again.Outcome = upstream.OutcomeCancelled
				in.Records = append(in.Records, again)
			},
			func(r *Report) int { return r.Duplicated }, false,
		},
		"lost call": {
			func(in *ReportInput) { in.Records = in.Records[1:] },
			func(r *Report) int { return r.Lost }, false,
		},
		"call whose run did not end": {
			func(in *ReportInput) { in.Records[0].Outcome = upstream.OutcomeDeadlineExceeded },
			func(r *Report) int { return r.Lost }, false,
		},
		"missing answer": {
			func(in *ReportInput) { in.Results[0].Attempts[0].Defect = DefectMissing },
			func(r *Report) int { return r.Lost }, false,
		},
		"answer of another request": {
			func(in *ReportInput) { in.Results[0].Attempts[0].Defect = DefectMismatched },
			func(r *Report) int { return r.Mismatched }, false,
		},
		"truncated answer": {
			func(in *ReportInput) { in.Results[0].Attempts[0].Defect = DefectTruncated },
			func(r *Report) int { return r.Mismatched }, false,
		},
		"changed request body": {
			func(in *ReportInput) { in.Records[0].BodyCorrupted = true },
			func(r *Report) int { return r.Mismatched }, false,
		},
		"key in a header": {
			func(in *ReportInput) { in.Records[0].KeySeen = true },
			func(r *Report) int { return r.KeyLeaks }, false,
		},
		"refusal of a call that ran": {
			func(in *ReportInput) { in.Records = append(in.Records, newRecord("c", 2)) },
			func(r *Report) int { return r.RanButReportedNotRun }, false,
		},
		"wrongful refusal": {
			func(in *ReportInput) { in.Results[2].Attempts[0].Sent = atMS(1002) },
			func(r *Report) int { return r.WrongfulRefusals }, true,
		},
		"call above the limit of a cold upstream": {
			func(in *ReportInput) { in.Records[0].AboveLimit = true },
			func(r *Report) int { return r.AboveLimit }, true,
		},
		"use of a withdrawn key": {
			func(in *ReportInput) {
				in.EventResults = []EventResult{{Event: trace.Event{Kind: trace.WithdrawKey, Target: "k"}, At: atMS(-5000)}}
			},
			func(r *Report) int { return r.LateKeyUses }, true,
		},
		"call to a data centre out of service": {
			func(in *ReportInput) {
				in.EventResults = []EventResult{
					{Event: trace.Event{Kind: trace.DataCentreOut, Target: "d"}, At: atMS(-4999)},
					{Event: trace.Event{Kind: trace.DataCentreIn, Target: "d"}, At: atMS(100)},
				}
			},
			func(r *Report) int { return r.LateDataCentreCalls }, true,
		},
		"node that does not converge": {
			func(in *ReportInput) { in.EventResults = []EventResult{{Pending: []string{"n1"}}} },
			func(r *Report) int { return len(r.NotConverged) }, true,
		},
		"node that converges late": {
			func(in *ReportInput) {
				in.EventResults = []EventResult{{
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
			g.Expect(fault.counter(NewReport(faultlessInput()))).To(Equal(0))
			in := faultlessInput()
			fault.inject(&in)
			r := NewReport(in)
			g.Expect(fault.counter(r)).To(Equal(1))
			g.Expect(r.Safe()).To(Equal(fault.safe))
		})
	}
}

// Guards against refusals that are counted as wrongful although the team sent more than its rate, and against rightful
// refusals that lower the share of served calls of a team.
func TestRateRefusalsOfTeamOverRate(t *testing.T) {
	g := NewWithT(t)
	in := faultlessInput()
	in.Results = append(in.Results,
		newCallResult("d", 3, wire.KindTeamRateExceeded, RanNo),
		// The bucket has regained one token by now, but the team has sent two calls above its limit before.
		newCallResult("e", 1500, wire.KindTeamRateExceeded, RanNo),
		newCallResult("f", 1501, wire.KindOverloaded, RanNo),
	)
	r := NewReport(in)
	g.Expect([]int{r.RateRefusals, r.WrongfulRefusals, r.NeedlessRefusals}).To(Equal([]int{3, 0, 1}))
	g.Expect(r.WorstTeam).To(Equal("t"))
	g.Expect(r.WorstTeamServedRatio).To(BeNumerically("~", 2.0/3, 1e-9))
}

// Guards against an answer that is accepted although it belongs to another request. The answer to an earlier attempt is
// accepted only for a call with an identity.
func TestCheckAnswer(t *testing.T) {
	g := NewWithT(t)
	withIdentity := &trace.Call{ID: "a-1", Identity: "i", AnswerBytes: 200}
	withoutIdentity := &trace.Call{ID: "a-1", AnswerBytes: 200}
	defectOf := func(c *trace.Call, token string, body []byte) AnswerDefect {
		_, f := checkAnswer(c, token, body)
		return f
	}
	ownAnswer, earlierAnswer, otherCallAnswer := upstream.AnswerBody("a-1#2", 200), upstream.AnswerBody("a-1#1", 200),
		upstream.AnswerBody("a-10#1", 200)
	g.Expect(defectOf(withoutIdentity, "a-1#2", ownAnswer)).To(Equal(NoDefect))
	g.Expect(defectOf(withIdentity, "a-1#2", earlierAnswer)).To(Equal(NoDefect))
	g.Expect(defectOf(withoutIdentity, "a-1#2", earlierAnswer)).To(Equal(DefectMismatched))
	g.Expect(defectOf(withIdentity, "a-1#2", otherCallAnswer)).To(Equal(DefectMismatched))
	g.Expect(defectOf(withIdentity, "a-1#2", ownAnswer[:150])).To(Equal(DefectTruncated))
	g.Expect(defectOf(withIdentity, "a-1#2", nil)).To(Equal(DefectMissing))
}
