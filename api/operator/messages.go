// Package operator holds the messages of a node's operator port and the client that reads them.
package operator

import "github.com/bamboodeal/bamboodeal/api/wire"

// Paths on the operator port.
const (
	// PathStatus answers with a Status.
	PathStatus = "/v1/status"
	// PathHealth answers 200 while the process runs its control loop, else 503.
	PathHealth = "/v1/health"
	// PathReady answers 200 while the node takes new work, else 503.
	PathReady = "/v1/ready"
	// PathMetrics answers with the JSON form of the go-metrics registry.
	PathMetrics = "/v1/metrics"
	// PathBurnReport answers with a Burn.
	PathBurnReport = "/v1/burn"
)

// UnknownAge is the age of something that never happened.
const UnknownAge = -1

// Status is what a node says of itself.
type Status struct {
	VM         string         `json:"vm"`
	Upstream   string         `json:"upstream"`
	DataCentre string         `json:"data_centre"`
	State      wire.NodeState `json:"state"`
	// Version is the version in force.
	Version wire.VersionID `json:"version"`
	// ConfigAgeMS is the time in milliseconds since the source confirmed the version, or UnknownAge.
	ConfigAgeMS int64 `json:"config_age_ms"`
	// LastAnswerAgeMS is the time in milliseconds since any other node or the source answered, or UnknownAge.
	LastAnswerAgeMS int64 `json:"heard_age_ms"`
	// Conflict is a second manifest with the number of the version in force.
	Conflict *wire.VersionID `json:"conflict,omitempty"`
	// Rejected are the faults of the newest set that was refused.
	Rejected []string `json:"rejected,omitempty"`
	// InFlight is the number of calls at the upstream, Limit the largest number now admitted, Queued the number
	// of calls that wait.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	Queued   int `json:"queued"`
	// Ready says whether the node takes new work.
	Ready bool `json:"ready"`
}

// BurnReport is a node's report on the service-level objectives.
type BurnReport struct {
	Objectives []ObjectiveReport `json:"objectives"`
}

// ObjectiveReport is the report on one objective; Service or Team is empty.
type ObjectiveReport struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Team    string `json:"team,omitempty"`
	// Target is the share of calls, between 0 and 1, that must be good.
	Target  float64      `json:"target"`
	Windows []BurnWindow `json:"windows"`
}

// BurnWindow counts the calls of one period up to now.
type BurnWindow struct {
	WindowSeconds int64 `json:"window_seconds"`
	// Good and Total count calls.
	Good  uint64 `json:"good"`
	Total uint64 `json:"total"`
	// BurnRate is the share of bad calls over the share that the target allows: at 1 the error budget lasts
	// exactly as long as the objective's period.
	BurnRate float64 `json:"burn_rate"`
}
