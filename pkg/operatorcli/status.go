package operatorcli

import (
	"fmt"
	"text/tabwriter"

	"github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// fleetStatus is the JSON form of the status report.
type fleetStatus struct {
	// Newest is the greatest version in force on any node.
	Newest   wire.VersionID `json:"newest"`
	Nodes    []nodeStatus   `json:"nodes"`
	Problems []string       `json:"problems"`
}

type nodeStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Error   string           `json:"error,omitempty"`
	Lagging bool             `json:"lagging"`
}

// status reports each node and lists what is wrong; any problem makes the command fail.
func (s *session) status() error {
	addresses, err := s.nodeAddresses()
	if err != nil {
		return err
	}
	report := newFleetStatus(ask(s, addresses, (*operator.Client).Status))
	if s.json {
		err = s.printJSON(report)
	} else {
		err = s.printStatus(report)
	}
	if err == nil && len(report.Problems) > 0 {
		return errFound
	}
	return err
}

func newFleetStatus(answers []answer[operator.Status]) fleetStatus {
	report := fleetStatus{Problems: []string{}}
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
			report.problem(a.address, "does not answer: %v", a.err)
		} else {
			node.Status = &a.value
			node.Lagging = a.value.Version.Less(report.Newest)
			report.judge(a.address, node)
		}
		report.Nodes = append(report.Nodes, node)
	}
	return report
}

func (r *fleetStatus) problem(address, format string, args ...any) {
	r.Problems = append(r.Problems, address+" "+fmt.Sprintf(format, args...))
}

// judge lists what is wrong with a node that answered.
func (r *fleetStatus) judge(address string, node nodeStatus) {
	status := node.Status
	if node.Lagging {
		r.problem(address, "has version %s, the newest is %s", short(status.Version), short(r.Newest))
	}
	if status.Conflict != nil {
		r.problem(address, "saw a conflict: version %s and %s have one number; publish a higher version",
			short(status.Version), short(*status.Conflict))
	}
	for _, fault := range status.Rejected {
		r.problem(address, "rejected a version: %q", fault)
	}
	if !status.Ready {
		r.problem(address, "is not ready, state %q", status.State)
	}
}

func (s *session) printStatus(report fleetStatus) error {
	table := tabwriter.NewWriter(s.stdout, 0, 4, 2, ' ', 0)
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(table, format+"\n", args...) }
	line("ADDRESS\tUPSTREAM\tDATA CENTRE\tSTATE\tREADY\tVERSION\tCONFIG AGE\tHEARD AGE\tIN FLIGHT\tQUEUED\tNOTE")
	for _, node := range report.Nodes {
		status := node.Status
		if status == nil {
			line("%s\t\t\t\t\t\t\t\t\t\tno answer", node.Address)
			continue
		}
		note := ""
		if node.Lagging {
			note = "lags"
		}
		line("%s\t%s\t%s\t%s\t%t\t%s\t%s\t%s\t%d/%d\t%d\t%s", node.Address, status.Upstream, status.DataCentre,
			status.State, status.Ready, short(status.Version), age(status.ConfigAgeMS), age(status.LastAnswerAgeMS),
			status.InFlight, status.Limit, status.Queued, note)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, problem := range report.Problems {
		s.printf("problem: %s", problem)
	}
	s.printf("%d nodes, newest version %s, %d problems", len(report.Nodes), short(report.Newest), len(report.Problems))
	return nil
}

// short formats a version with the first digits of its digest.
func short(v wire.VersionID) string {
	if v.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d:%.8s", v.Number, v.Digest)
}

func age(ms int64) string {
	if ms == operator.UnknownAge {
		return "unknown"
	}
	return fmt.Sprintf("%.1fs", float64(ms)/1000)
}
