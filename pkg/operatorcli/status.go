package operatorcli

import (
	"fmt"
	"text/tabwriter"

	"github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// statusReport is the JSON form of the report of the command status.
type statusReport struct {
	// Newest is the highest version in force on any node.
	Newest   wire.VersionID `json:"newest"`
	Nodes    []nodeStatus   `json:"nodes"`
	Problems []string       `json:"problems"`
}

// nodeStatus is the status of one node. If the node did not answer, Status is nil and Error says why.
type nodeStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
	// Lagging is true when the node's version is lower than the newest one.
	Lagging bool `json:"lagging"`
}

// status prints the status of each node and all problems. The command fails if there is any problem.
func (s *session) status() error {
	addresses, err := s.nodeAddresses()
	if err != nil {
		return err
	}
	report := newStatusReport(queryNodes(s, addresses, (*operator.Client).Status))
	if s.json {
		err = s.printJSON(report)
	} else {
		err = s.printStatus(report)
	}
	if err == nil && len(report.Problems) > 0 {
		return errProblemsFound
	}
	return err
}

func newStatusReport(answers []nodeAnswer[operator.Status]) statusReport {
	report := statusReport{Problems: []string{}}
	for _, a := range answers {
		if a.err == nil && report.Newest.Less(a.value.Version) {
			report.Newest = a.value.Version
		}
	}
	for i := range answers {
		a := &answers[i]
		node := nodeStatus{Address: a.address}
		if a.err != nil {
			node.Error = a.err.Error()
			report.addProblem(a.address, "does not answer: %v", a.err)
		} else {
			node.Status = &a.value
			node.Lagging = a.value.Version.Less(report.Newest)
			report.addNodeProblems(a.address, node)
		}
		report.Nodes = append(report.Nodes, node)
	}
	return report
}

func (r *statusReport) addProblem(address, format string, args ...any) {
	r.Problems = append(r.Problems, address+" "+fmt.Sprintf(format, args...))
}

// addNodeProblems adds the problems of a node that answered.
func (r *statusReport) addNodeProblems(address string, node nodeStatus) {
	status := node.Status
	if node.Lagging {
		r.addProblem(address, "has version %s, the newest is %s", shortVersion(status.Version), shortVersion(r.Newest))
	}
	if status.Conflict != nil {
		r.addProblem(address, "saw a conflict: version %s and %s have one number; publish a higher version",
			shortVersion(status.Version), shortVersion(*status.Conflict))
	}
	for _, fault := range status.Rejected {
		r.addProblem(address, "rejected a version: %q", fault)
	}
	if !status.Ready {
		r.addProblem(address, "is not ready, state %q", status.State)
	}
}

func (s *session) printStatus(report statusReport) error {
	table := tabwriter.NewWriter(s.stdout, 0, 4, 2, ' ', 0)
	printRow := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	printRow("ADDRESS\tUPSTREAM\tDATA CENTRE\tSTATE\tREADY\tVERSION\tCONFIG AGE\tHEARD AGE\tIN FLIGHT\tQUEUED\tNOTE")
	for _, node := range report.Nodes {
		status := node.Status
		if status == nil {
			printRow("%s\t\t\t\t\t\t\t\t\t\tno answer", node.Address)
			continue
		}
		note := ""
		if node.Lagging {
			note = "lags"
		}
		printRow("%s\t%s\t%s\t%s\t%t\t%s\t%s\t%s\t%d/%d\t%d\t%s", node.Address, status.Upstream, status.DataCentre,
			status.State, status.Ready, shortVersion(status.Version), formatAge(status.ConfigAgeMS), formatAge(status.LastAnswerAgeMS),
			status.InFlight, status.Limit, status.Queued, note)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, problem := range report.Problems {
		s.printf("problem: %s", problem)
	}
	s.printf("%d nodes, newest version %s, %d problems", len(report.Nodes), shortVersion(report.Newest), len(report.Problems))
	return nil
}

// shortVersion formats a version with the first 8 digits of its digest.
func shortVersion(v wire.VersionID) string {
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d:%.8s", v.Number, v.Digest)
}

// formatAge formats an age in milliseconds, which may be operator.UnknownAge.
func formatAge(ms int64) string {
	if ms == operator.UnknownAge {
		return "unknown"
	}
	return fmt.Sprintf("%.1fs", float64(ms)/1000)
}
