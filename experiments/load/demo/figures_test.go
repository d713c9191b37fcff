package demo

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// Guards against figures with nested values, which cannot be printed as a table, and against counting the team that
// exceeds its rate among the other teams.
func TestFiguresAreFlat(t *testing.T) {
	g := NewWithT(t)
	report := load.NewReport(load.ReportInput{ControlBytesPerSecond: map[string]float64{"a": 100, "b": 300}})
	report.TeamServedRatio = map[string]float64{"over": 0.1, "small": 0.9, "large": 1}
	report.ConvergenceSeconds = map[string]float64{"publish": 0.05}
	report.Windows = []load.Window{{DataCentre: "d", Phase: load.PhaseDuring}}
	figures := Figures(&Outcome{Deployment: "estanho", Scenario: ScenarioTeamOverRate, TeamOverRate: "over", Report: report})
	g.Expect(figures).To(HaveLen(5))
	g.Expect(figures[1]).To(HaveField("MeanBytesPerSecond", 200.0))
	g.Expect(figures[3]).To(HaveField("WorstOtherTeamServedPercent", 90.0))
	for _, figure := range figures {
		data, err := json.Marshal(figure)
		g.Expect(err).NotTo(HaveOccurred())
		flat := map[string]any{}
		g.Expect(json.Unmarshal(data, &flat)).To(Succeed())
		g.Expect(flat).To(HaveKey("figure"))
		for key, value := range flat {
			g.Expect(value).NotTo(Or(BeAssignableToTypeOf(map[string]any{}), BeAssignableToTypeOf([]any{})), key)
		}
	}
}

// Guards against scenarios without events that still have the events of the demo, or a wrong team that exceeds its
// rate.
func TestScenarios(t *testing.T) {
	g := NewWithT(t)
	d, err := LoadDeployment("../../../examples/estanho")
	g.Expect(err).NotTo(HaveOccurred())
	teamOverRate, err := ScenarioTeamOverRate.profile(d, 12*time.Second, 250)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(teamOverRate.Events).To(BeEmpty())
	g.Expect([]any{teamOverRate.OverLimitTeam, teamOverRate.OverLimitFactor}).To(Equal([]any{"casa-do-cariri", 8.0}))
	noEvents, err := ScenarioNoEvents.profile(d, 12*time.Second, 250)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect([]any{noEvents.OverLimitTeam, len(noEvents.Events)}).To(Equal([]any{"", 0}))
	allEvents, err := Scenario("").profile(d, 12*time.Second, 250)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(allEvents.Events).NotTo(BeEmpty())
	_, err = Scenario("unknown").profile(d, 12*time.Second, 250)
	g.Expect(err).To(MatchError(trace.ErrUnusableProfile))
}
