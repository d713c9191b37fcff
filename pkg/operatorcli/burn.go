package operatorcli

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/pkg/burn"
)

// fleetBurn is the JSON form of the burn report.
type fleetBurn struct {
	Objectives []objectiveBurn `json:"objectives"`
	// Errors are the nodes whose calls are missing in the sums.
	Errors []string `json:"errors"`
}

type objectiveBurn struct {
	operator.ObjectiveReport
	Alert burn.Alert `json:"alert"`
}

// burn reports the burn rates over all nodes. It fails when a node did not answer, since the sums are then partial;
// an alert is a result and no failure.
func (s *session) burn() error {
	addresses, err := s.nodeAddresses()
	if err != nil {
		return err
	}
	report := newFleetBurn(ask(s, addresses, (*operator.Client).BurnReport))
	if s.json {
		err = s.printJSON(report)
	} else {
		err = s.printBurn(report)
	}
	if err == nil && len(report.Errors) > 0 {
		return errFound
	}
	return err
}

func newFleetBurn(answers []answer[operator.BurnReport]) fleetBurn {
	report := fleetBurn{Objectives: []objectiveBurn{}, Errors: []string{}}
	var parts []operator.BurnReport
	for _, a := range answers {
		if a.err != nil {
			report.Errors = append(report.Errors, a.err.Error())
			continue
		}
		parts = append(parts, a.value)
	}
	for _, o := range burn.SumReports(parts).Objectives {
		report.Objectives = append(report.Objectives, objectiveBurn{o, burn.AlertFor(o.Windows)})
	}
	return report
}

func (s *session) printBurn(report fleetBurn) error {
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

// windowName formats a window in its largest whole unit.
func windowName(window time.Duration) string {
	if window%time.Hour == 0 {
		return fmt.Sprintf("%d h", window/time.Hour)
	}
	return fmt.Sprintf("%d min", window/time.Minute)
}
