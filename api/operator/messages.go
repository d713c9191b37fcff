// Package operator defines the JSON messages of a node's operator port, and the client that reads them.
package operator

import "github.com/bamboodeal/bamboodeal/api/wire"

// Paths on the operator port.
const (
	// PathStatus returns a Status.
	PathStatus = "/v1/status"
	// PathHealth returns status 200 while the process runs its control loop, else 503.
	PathHealth = "/v1/health"
	// PathReady returns status 200 while the node takes new calls, else 503.
	PathReady = "/v1/ready"
	// PathMetrics returns the go-metrics registry as JSON.
	PathMetrics = "/v1/metrics"
	// PathBurnReport returns a BurnReport.
	PathBurnReport = "/v1/burn"
)

// UnknownAge is the age in milliseconds that is reported for an event that has not happened.
const UnknownAge = -1

// Status is a node's report on its own state.
type Status struct {
	VM         string         `json:"vm"`
	Upstream   string         `json:"upstream"`
	DataCentre string         `json:"data_centre"`
	State      wire.NodeState `json:"state"`
	// Version is the configuration version in force.
	Version wire.VersionID `json:"version"`
	// ConfigAgeMS is the time in milliseconds since the source last confirmed Version, or UnknownAge.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// LastAnswerAgeMS is the time in milliseconds since another node or the source last answered, or UnknownAge.
	LastAnswerAgeMS int64 `json:"heard_age_ms"`
	// Conflict is the ID of a different manifest with the same number as Version, or nil when there is none.
	Conflict *wire.VersionID `json:"conflict,omitempty"`
	// Rejected are the faults of the newest version that the node rejected.
	Rejected []string `json:"rejected,omitempty"`
	// InFlight is the number of calls at the upstream, Limit the largest number that may be in flight now, and Queued
	// the number of calls that wait.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	Queued   int `json:"queued"`
	// Ready is true while the node takes new calls.
	Ready bool `json:"ready"`
}

// BurnReport is a node's report on the service-level objectives.
type BurnReport struct {
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the report on one objective, which belongs to either a service or a team.
type ObjectiveReport struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Team    string `json:"team,omitempty"`
	// Target is the share of calls, between 0 and 1, that must be good.
	Target  float64      `json:"target"`
	Windows []BurnWindow `json:"windows"`
}

// BurnWindow is the report on the calls of the last WindowSeconds seconds.
type BurnWindow struct {
	WindowSeconds int64 `json:"window_seconds"`
	// Good is the number of calls that met the objective, Total the number of all calls.
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
	// BurnRate is the share of bad calls divided by the share that the target allows. At a rate of 1 the error budget
	// lasts exactly as long as the objective's period.
	BurnRate float64 `json:"burn_rate"`
}
