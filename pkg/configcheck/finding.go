// Package configcheck finds errors and risks in a configuration before operators publish it, and the differences from
// the version in force. It works on the types of package mesh and knows no published form; package platform reads that.
//
// A finding is an error if and only if nodes would refuse or never adopt the configuration. What nodes accept is a
// warning at most.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// Severity says what a finding means for the publication of a configuration.
type Severity string

// Severities, from the most to the least severe.
const (
	// Error means that nodes refuse the configuration, or that nodes with the version in force don't adopt it.
	Error Severity = "error"
	// Warning means that nodes accept the configuration, but that a part of it has no effect or harms callers.
	Warning Severity = "warning"
	// Change is a difference from the version in force that takes nothing away from callers.
	Change Severity = "change"
)

// severityOrder holds all severities in the order in which findings are reported.
var severityOrder = []Severity{Error, Warning, Change}

// Field names the part of an object that a finding is about, by type and field of package mesh.
type Field string

// Fields of findings.
const (
	FieldVersion        Field = "Config.Version"
	FieldServiceName    Field = "Service.Name"
	FieldHealthPath     Field = "Service.HealthPath"
	FieldMaxConnections Field = "Service.MaxConnections"
	FieldColdStart      Field = "Service.ColdStartDuration"
	FieldColdRate       Field = "Service.ColdRequestsPerSecond"
	FieldTeamName       Field = "Team.Name"
	FieldKeys           Field = "Team.Keys"
	FieldTeamPriority   Field = "Team.Priority"
	FieldRate           Field = "Team.Rate"
	FieldBurst          Field = "Team.Burst"
	FieldHost           Field = "Route.Host"
	FieldRouteName      Field = "Route.Name"
	FieldPrefix         Field = "Route.PathPrefix"
	FieldKind           Field = "Route.Idempotent"
	FieldTimeout        Field = "Route.Timeout"
	FieldObjective      Field = "Route.Objective"
	FieldPriority       Field = "Route.Priority"
	FieldDestinations   Field = "Route.Destinations"
	FieldMaxAttempts    Field = "Route.MaxAttempts"
	FieldPublic         Field = "Route.Public"
)

// Finding is one result of a check or a comparison. It never holds a key.
type Finding struct {
	Severity Severity
	// Object is the service, team, route or host that the finding is about, or empty for the whole configuration.
	Object string
	// Field is empty if the finding is about no single field.
	Field Field
	// Message says what is wrong, what follows from it and how to mend it.
	Message string
}

// Draft is a configuration as far as it could be read.
type Draft struct {
	// Config is not validated and has no indexes: its methods that look up routes and teams find nothing.
	Config *mesh.Config
	// RepeatedServices are the names of services that are declared more than once; Config has the last declaration.
	RepeatedServices []string
	// Faults are the errors of reading.
	Faults []Finding
	// Unread says which parts could not be read. Findings that would only follow from these are left out.
	Unread Unread
}

// Unread says which parts of a configuration could not be read.
type Unread struct {
	Version bool
	// Services, Teams and Routes are set if any part of the list could not be read.
	Services, Teams, Routes bool
	// Objects holds the *mesh.Service, *mesh.Team and *mesh.Route of which some fields could not be read.
	Objects map[any]bool
}

// NewDraft returns the draft of a configuration that was read without faults.
func NewDraft(c *mesh.Config) *Draft { return &Draft{Config: c} }

// Readable reports whether any part of the configuration could be read.
func (d *Draft) Readable() bool {
	return !d.Unread.Version || !d.Unread.Services || !d.Unread.Teams || !d.Unread.Routes
}

// validate returns the error with which a node refuses the draft, or nil.
func (d *Draft) validate() error {
	_, err := mesh.NewConfig(d.Config.Version, d.services(), d.Config.Teams, d.Config.Routes)
	return err
}

// services returns the services sorted by name.
func (d *Draft) services() []*mesh.Service {
	list := make([]*mesh.Service, 0, len(d.Config.Services))
	for _, s := range d.Config.Services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *mesh.Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Count returns the number of findings of a severity.
func Count(findings []Finding, severity Severity) int {
	n := 0
	for i := range findings {
		if findings[i].Severity == severity {
			n++
		}
	}
	return n
}

// findings collects findings.
type findings []Finding

func (f *findings) add(severity Severity, object string, field Field, format string, args ...any) {
	*f = append(*f, Finding{Severity: severity, Object: object, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Sort sorts findings by severity. Within a severity their order stays.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return slices.Index(severityOrder, a.Severity) - slices.Index(severityOrder, b.Severity)
	})
}

func serviceLabel(name string) string { return fmt.Sprintf("service %q", name) }

func teamLabel(name string) string { return fmt.Sprintf("team %q", name) }

func hostLabel(name string) string { return fmt.Sprintf("host %q", name) }

func routeLabel(r *mesh.Route) string { return fmt.Sprintf("route %q (%s)", r.Name, at(r)) }

// at returns the host and the prefix of a route, quoted if they hold characters that would break a line.
func at(r *mesh.Route) string {
	text := r.Host + r.PathPrefix
	if quoted := fmt.Sprintf("%q", text); len(quoted) != len(text)+2 {
		return quoted
	}
	return text
}
