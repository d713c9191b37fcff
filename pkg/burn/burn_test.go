package burn_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/pkg/burn"
)

// init fixes the seed, so that runs are repeatable; -rapid.seed on the command line chooses another.
func init() { _ = flag.Set("rapid.seed", "1") }

var objectives = []config.Objective{
	{Name: "stock", Service: "reservas", Target: 0.99, LatencyMS: 100},
	{Name: "north", Team: "norte", Target: 0.9, LatencyMS: 100},
}

// Guards against windows that count calls outside of them or miss calls inside: the report must equal a plain count
// over a list of all calls.
func TestReportEqualsPlainCount(t *testing.T) {
	type call struct {
		at   time.Duration
		good bool
	}
	rapid.Check(t, func(t *rapid.T) {
		recorder := burn.NewRecorder()
		recorder.SetObjectives(objectives)
		calls := rapid.IntRange(1, 200).Draw(t, "calls")
		log := make([]call, 0, calls)
		now := time.Duration(0)
		for range calls {
			now += time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "gap"))
			ok := rapid.Bool().Draw(t, "ok")
			elapsed := time.Duration(rapid.IntRange(50, 150).Draw(t, "elapsed")) * time.Millisecond
			recorder.Observe(now, "reservas", "sul", elapsed, ok)
			log = append(log, call{now, ok && elapsed <= 100*time.Millisecond})
		}
		now += time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "later"))
		report := recorder.Report(now)
		for i, w := range report.Objectives[0].Windows {
			width := burn.Windows[i] / 60
			start := now/width*width - 59*width
			var good, total uint64
			for _, c := range log {
				if c.at < start {
					continue
				}
				total++
				if c.good {
					good++
				}
			}
			if w.Good != good || w.Total != total {
				t.Fatalf("window %v: %d of %d, want %d of %d", burn.Windows[i], w.Good, w.Total, good, total)
			}
		}
		if report.Objectives[1].Windows[3].Total != 0 {
			t.Fatal("another team's calls were counted")
		}
	})
}

// Guards against counts that are lost when the objectives are replaced, or kept although the objective changed.
func TestSetObjectivesKeepsUnchangedCounts(t *testing.T) {
	g := NewWithT(t)
	recorder := burn.NewRecorder()
	recorder.Observe(time.Second, "reservas", "norte", 0, true)
	g.Expect(recorder.Report(time.Second).Objectives).To(BeEmpty())
	recorder.SetObjectives(objectives)
	recorder.Observe(time.Second, "reservas", "norte", 0, true)
	changed := []config.Objective{objectives[0], objectives[1]}
	changed[1].LatencyMS = 50
	recorder.SetObjectives(changed)
	report := recorder.Report(2 * time.Second)
	g.Expect(report.Objectives[0].Windows[0].Total).To(BeEquivalentTo(1))
	g.Expect(report.Objectives[1].Windows[0].Total).To(BeEquivalentTo(0))
}

// Guards against a late observation that clears the counts of a newer period in the same entry.
func TestObserveOutOfOrder(t *testing.T) {
	g := NewWithT(t)
	recorder := burn.NewRecorder()
	recorder.SetObjectives(objectives)
	recorder.Observe(time.Hour, "reservas", "", 0, true)
	recorder.Observe(time.Hour-time.Minute, "reservas", "", 0, true)
	recorder.Observe(time.Hour-30*time.Minute, "reservas", "", 0, true)
	windows := recorder.Report(time.Hour).Objectives[0].Windows
	g.Expect([]uint64{windows[0].Total, windows[1].Total, windows[2].Total}).To(Equal([]uint64{2, 2, 3}))
}

// Guards against alerts that need one window only, or that use the wrong pair of windows.
func TestAlertFor(t *testing.T) {
	g := NewWithT(t)
	alert := func(rates ...float64) burn.Alert {
		windows := make([]operator.BurnWindow, 0, len(rates))
		for i, rate := range rates {
			windows = append(windows, operator.BurnWindow{WindowSeconds: int64(burn.Windows[i].Seconds()), BurnRate: rate})
		}
		return burn.AlertFor(windows)
	}
	g.Expect(alert(15, 0, 15, 0)).To(Equal(burn.AlertPage))
	g.Expect(alert(14.4, 0, 15, 0)).To(Equal(burn.AlertOK))
	g.Expect(alert(15, 15, 14.4, 5)).To(Equal(burn.AlertOK))
	g.Expect(alert(0, 7, 0, 7)).To(Equal(burn.AlertTicket))
	g.Expect(alert(20, 20, 0, 6)).To(Equal(burn.AlertOK))
	g.Expect(burn.Rate(0, 0, 0.99)).To(BeZero())
	g.Expect(burn.Rate(90, 100, 0.99)).To(BeNumerically("~", 10, 1e-9))
}

// Guards against averaging the burn rates of nodes: a node with few calls would count as much as a busy one.
func TestSumReportsWeighsCalls(t *testing.T) {
	g := NewWithT(t)
	report := func(good, total uint64, target float64) operator.BurnReport {
		return operator.BurnReport{Objectives: []operator.ObjectiveReport{{
			Name: "o", Service: "s", Target: target,
			Windows: []operator.BurnWindow{{WindowSeconds: 300, Good: good, Total: total, BurnRate: 99}},
		}}}
	}
	sum := burn.SumReports([]operator.BurnReport{report(0, 1, 0.99), report(999, 999, 0.99), report(1, 1, 0.9)})
	g.Expect(sum.Objectives).To(HaveLen(2))
	g.Expect(sum.Objectives[0].Windows[0].Total).To(BeEquivalentTo(1000))
	g.Expect(sum.Objectives[0].Windows[0].BurnRate).To(BeNumerically("~", 0.1, 1e-9))
}

func BenchmarkObserve(b *testing.B) {
	recorder := burn.NewRecorder()
	recorder.SetObjectives(objectives)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += time.Millisecond
		recorder.Observe(now, "reservas", "norte", time.Millisecond, true)
	}
}
