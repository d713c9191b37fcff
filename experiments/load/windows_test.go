package load

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// moved is a data centre that is out from 1000 ms to 2000 ms.
func moved() []EventResult {
	return []EventResult{
		{Event: trace.Event{Kind: trace.DataCentreOut, Target: "d"}, At: at(1000)},
		{Event: trace.Event{Kind: trace.DataCentreIn, Target: "d"}, At: at(2000)},
	}
}

// Guards against calls counted in the wrong window, late answers counted as in time, and rightful refusals counted as
// bad service.
func TestWindowsAroundAMove(t *testing.T) {
	g := NewWithT(t)
	late := call("late", 1500, KindServed, RanYes)
	late.Attempts[0].Done = at(1700)
	r := NewReport(ReportInput{
		Results: []CallResult{
			call("old", -1, KindServed, RanYes), call("a", 0, KindServed, RanYes), call("b", 999, KindServed, RanYes),
			call("c", 1000, KindServed, RanYes), late, call("d", 1999, wire.KindNoUpstream, RanNo),
			call("e", 2000, KindServed, RanYes), call("w", 2100, wire.KindKeyWithdrawn, RanNo),
			call("new", 3000, wire.KindNoUpstream, RanNo),
		},
		EventResults: moved(),
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

// Guards against an entitlement that grows with what was refused: one bucket of 2 entitles the third call to nothing.
func TestEntitlementOfOneBucket(t *testing.T) {
	g := NewWithT(t)
	r := NewReport(sound())
	g.Expect(r.EntitledByTeam).To(HaveKeyWithValue("t", 2))
	g.Expect(r.AdmittedByTeam).To(HaveKeyWithValue("t", 2))
}

// Guards against mixed-up columns where lines of one table have different keys, and against runs that hide the least
// or the greatest value.
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
