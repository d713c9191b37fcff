package operatorcli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/pkg/burn"
)

// burnReport is the JSON form of the report of the command burn.
type burnReport struct {
	Objectives []objectiveBurn `json:"objectives"`
	// Errors says which nodes did not answer, so that the sums do not contain their calls.
	Errors []string `json:"errors"`
}

// objectiveBurn holds the burn rates of one objective, summed over the nodes, and the alert that follows from them.
type objectiveBurn struct {
	operator.ObjectiveReport
	Alert burn.Alert `json:"alert"`
}

// burn prints the burn rates of the objectives, summed over all nodes. The command fails if a node did not answer,
// because the sums are then partial. It does not fail because of an alert.
func (s *session) burn() error {
	addresses, err := s.nodeAddresses()
	if err != nil {
		return err
	}
	report := newBurnReport(queryNodes(s, addresses, (*operator.Client).BurnReport))
	if s.json {
		err = s.printJSON(report)
	} else {
		err = s.printBurn(report)
	}
	if err == nil && len(report.Errors) > 0 {
		return errProblemsFound
	}
	return err
}

func newBurnReport(answers []nodeAnswer[operator.BurnReport]) burnReport {
	report := burnReport{Objectives: []objectiveBurn{}, Errors: []string{}}
	var nodeReports []operator.BurnReport
	for _, a := range answers {
		if a.err != nil {
			report.Errors = append(report.Errors, a.err.Error())
			continue
		}
		nodeReports = append(nodeReports, a.value)
	}
	for _, o := range burn.SumReports(nodeReports).Objectives {
		report.Objectives = append(report.Objectives, objectiveBurn{o, burn.AlertFor(o.Windows)})
	}
	return report
}

func (s *session) printBurn(report burnReport) error {
	table := tabwriter.NewWriter(s.stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprint(table, "OBJECTIVE\tOF\tTARGET\tALERT")
	for _, window := range burn.Windows {
		_, _ = fmt.Fprintf(table, "\t%s", windowName(window))
	}
	_, _ = fmt.Fprintln(table)
	for _, o := range report.Objectives {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%g\t%s", o.Name, o.Service+o.Team, o.Target, o.Alert)
		for _, w := range o.Windows {
			_, _ = fmt.Fprintf(table, "\t%.2f (%d/%d)", w.BurnRate, w.Good, w.Total)
		}
		_, _ = fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, problem := range report.Errors {
		s.printf("problem: the sums are partial: %s", problem)
	}
	return nil
}

// windowName formats a window in hours if it is a whole number of hours, and in minutes otherwise.
func windowName(window time.Duration) string {
	if window%time.Hour == 0 {
		return fmt.Sprintf("%d h", window/time.Hour)
	}
	return fmt.Sprintf("%d min", window/time.Minute)
}
