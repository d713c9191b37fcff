// Package burn computes how fast services and teams use up the error budgets of their objectives.
package burn

import (
	"time"

	"github.com/bamboodeal/bamboodeal/api/operator"
)

// Windows over which calls are counted.
var Windows = [...]time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour}

// Alert is the urgency of a burn rate.
type Alert string

// Alerts, from the least to the most urgent.
const (
	AlertOK     Alert = "ok"
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// Burn rates of the alerts, from the Site Reliability Workbook, chapter 5: for a period of 30 days the first uses
// up 2% of the error budget within 1 h, the second 5% within 6 h.
const (
	PageRate   = 14.4
	TicketRate = 6
)

// Rate returns the share of bad calls over the share that the target allows; without calls it is 0.
func Rate(good, total uint64, target float64) float64 {
	if total == 0 || good >= total || target >= 1 {
		return 0
	}
	return float64(total-good) / float64(total) / (1 - target)
}

// AlertFor returns the alert for the windows of one objective. Each alert needs a long window, so that a short spike
// does not raise it, and a short one, so that it ends soon after its cause.
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

// SumReports adds the reports of several nodes, in the order in which objectives are first seen, and computes the rates
// anew. Nodes with different versions may report an objective with different targets; those stay apart.
func SumReports(reports []operator.BurnReport) operator.BurnReport {
	type identity struct {
		name, service, team string
		target              float64
	}
	var sum operator.BurnReport
	places := map[identity]int{}
	for _, report := range reports {
		for _, o := range report.Objectives {
			id := identity{o.Name, o.Service, o.Team, o.Target}
			place, ok := places[id]
			if !ok {
				place = len(sum.Objectives)
				places[id] = place
				sum.Objectives = append(sum.Objectives, operator.ObjectiveReport{
					Name: o.Name, Service: o.Service, Team: o.Team, Target: o.Target,
				})
			}
			addWindows(&sum.Objectives[place], o.Windows)
		}
	}
	return sum
}

func addWindows(into *operator.ObjectiveReport, windows []operator.BurnWindow) {
	for _, w := range windows {
		place := -1
		for i := range into.Windows {
			if into.Windows[i].WindowSeconds == w.WindowSeconds {
				place = i
			}
		}
		if place < 0 {
			place = len(into.Windows)
			into.Windows = append(into.Windows, operator.BurnWindow{WindowSeconds: w.WindowSeconds})
		}
		total := &into.Windows[place]
		total.Good += w.Good
		total.Total += w.Total
		total.BurnRate = Rate(total.Good, total.Total, into.Target)
	}
}
