package load

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// dataCentreOutAndIn returns the events of a data centre that is out of service from 1000 ms to 2000 ms.
func dataCentreOutAndIn() []EventResult {
	return []EventResult{
		{Event: trace.Event{Kind: trace.DataCentreOut, Target: "d"}, At: atMS(1000)},
		{Event: trace.Event{Kind: trace.DataCentreIn, Target: "d"}, At: atMS(2000)},
	}
}

// Guards against calls that are counted in the wrong window, late answers that are counted as in time, and rightful
// refusals that lower the share of served calls.
func TestWindowsAroundDataCentreOut(t *testing.T) {
	g := NewWithT(t)
	lateResult := newCallResult("late", 1500, KindServed, RanYes)
	lateResult.Attempts[0].Done = atMS(1700)
	r := NewReport(ReportInput{
		Results: []CallResult{
			newCallResult("old", -1, KindServed, RanYes), newCallResult("a", 0, KindServed, RanYes),
			newCallResult("b", 999, KindServed, RanYes),
			newCallResult("c", 1000, KindServed, RanYes), lateResult, newCallResult("d", 1999, wire.KindNoUpstream, RanNo),
			newCallResult("e", 2000, KindServed, RanYes), newCallResult("w", 2100, wire.KindKeyWithdrawn, RanNo),
			newCallResult("new", 3000, wire.KindNoUpstream, RanNo),
		},
		EventResults: dataCentreOutAndIn(),
		RateLimits:   map[string]RateLimit{"t": {RatePerSecond: 100, Burst: 100}},
		Timeouts:     map[string]time.Duration{"order": 100 * time.Millisecond},
	})
	g.Expect(r.Windows).To(HaveLen(3))
	before, during, after := r.Windows[0], r.Windows[1], r.Windows[2]
	g.Expect([]int{before.Calls, during.Calls, after.Calls}).To(Equal([]int{2, 3, 1}))
	g.Expect([]float64{before.InTimeRatio, after.InTimeRatio}).To(Equal([]float64{1, 1}))
	g.Expect(during.ServedRatio).To(BeNumerically("~", 2.0/3))
	g.Expect(during.WorstTeamInTimeRatio).To(BeNumerically("~", 1.0/3))
	g.Expect(during.LatencyMS.Max).To(BeNumerically("~", 200, 1))
}

// Guards against an EntitledByTeam that also counts refused calls: a bucket with a burst of 2 does not admit the third
// call.
func TestEntitledByTeamUsesOneBucket(t *testing.T) {
	g := NewWithT(t)
	r := NewReport(faultlessInput())
	g.Expect(r.EntitledByTeam).To(HaveKeyWithValue("t", 2))
	g.Expect(r.AdmittedByTeam).To(HaveKeyWithValue("t", 2))
}

// Guards against values in the wrong column if the lines of a table have different keys, and against rows of several
// runs that omit the smallest or the largest value.
func TestWriteTables(t *testing.T) {
	g := NewWithT(t)
	var out strings.Builder
	g.Expect(WriteTables(&out, strings.NewReader(`{"figure":"x","seed":1,"b_c":7,"a":"y","worst_team":"m"}
{"figure":"z","q":true}
{"figure":"x","seed":2,"b_c":10,"a":"y","worst_team":"n"}
{"figure":"x","seed":3,"b_c":9.50,"a":"y","worst_team":"m"}
{"figure":"x","a":"other","d":3.50}`))).To(Succeed())
	g.Expect(out.String()).To(Equal("### x\n\n| runs | b c | a | worst team | d |\n|---|---|---|---|---|\n" +
		"| 3 | 7 to 10 | y | m, n |  |\n|  |  | other |  | 3.50 |\n\n### z\n\n| q |\n|---|\n| true |\n\n"))
	g.Expect(WriteTables(&out, strings.NewReader(`{"figure":"x","a":[1]}`))).To(MatchError(ErrInvalidFigures))
	g.Expect(WriteTables(&out, strings.NewReader(`{"a":1}`))).To(MatchError(ErrInvalidFigures))
}
