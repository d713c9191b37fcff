// Package burn computes the burn rates of service level objectives: how fast services and teams use up their error
// budgets.
package burn

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/operator"
)

// Windows are the periods over which calls are counted and burn rates computed.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Alert is the alert that burn rates call for.
type Alert string

// Alerts, by rising urgency.
const (
	AlertOK     Alert = "ok"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Burn rates above which the alerts are raised, from the Site Reliability Workbook, chapter 5: PageRate uses up 2% of
// the error budget of 30 days within 1 h, TicketRate 5% within 6 h.
const (
	PageRate   = 14.4
	TicketRate = 6
)

// Rate returns the burn rate: the share of calls that are not good, divided by the share that the target allows.
// Without calls it is 0.
func Rate(good, total uint64, target float64) float64 {
	if total == 0 || good >= total || target >= 1 {
		return 0
	}
	return float64(total-good) / float64(total) / (1 - target)
}

// AlertFor returns the alert for the windows of one objective. The burn rates of two windows must be above the alert's
// rate: that of a long one, so that a short spike does not raise the alert, and that of a short one, so that the alert
// ends soon after its cause.
func AlertFor(windows []operator.BurnWindow) Alert {
	above := func(window time.Duration, rate float64) bool {
		for _, w := range windows {
			if w.WindowSeconds == int64(window/time.Second) {
				return w.BurnRate > rate
			}
		}
		return false
	}
	switch {
	case above(5*time.Minute, PageRate) && above(time.Hour, PageRate):
		return AlertPage
	case above(30*time.Minute, TicketRate) && above(6*time.Hour, TicketRate):
		return AlertTicket
	}
	return AlertOK
}

// SumReports adds up the counts of several nodes' reports and computes the burn rates of the sums. The objectives are
// in the order of their first occurrence. Nodes with different versions may report different targets for an
// objective; the result has an entry for each of them.
func SumReports(reports []operator.BurnReport) operator.BurnReport {
	type identity struct {
		name, service, team string
		target              float64
	}
	var sum operator.BurnReport
	indexes := map[identity]int{}
	for _, report := range reports {
		for _, o := range report.Objectives {
			id := identity{o.Name, o.Service, o.Team, o.Target}
			index, ok := indexes[id]
			if !ok {
				index = len(sum.Objectives)
				indexes[id] = index
				sum.Objectives = append(sum.Objectives, operator.ObjectiveReport{
					Name: o.Name, Service: o.Service, Team: o.Team, Target: o.Target,
				})
			}
			addWindows(&sum.Objectives[index], o.Windows)
		}
	}
	return sum
}

// addWindows adds the counts of the windows to those of an objective.
func addWindows(objective *operator.ObjectiveReport, windows []operator.BurnWindow) {
	for _, w := range windows {
		index := -1
		for i := range objective.Windows {
			if objective.Windows[i].WindowSeconds == w.WindowSeconds {
				index = i
			}
		}
		if index < 0 {
			index = len(objective.Windows)
			objective.Windows = append(objective.Windows, operator.BurnWindow{WindowSeconds: w.WindowSeconds})
		}
		sum := &objective.Windows[index]
		sum.Good += w.Good
		sum.Total += w.Total
		sum.BurnRate = Rate(sum.Good, sum.Total, objective.Target)
	}
}
