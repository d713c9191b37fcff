// Package distribution keeps a node's configuration and member list up to date: it polls the platform and other nodes,
// answers the polls of other nodes on the control port, and publishes complete, validated snapshots.
package distribution

import (
	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// Options configure a Syncer. VM, Upstream, DataCentre, ControlAddress, Store and Freshness are required.
type Options struct {
	VM, Upstream, DataCentre string
	// ControlAddress is the address at which other nodes reach this node's control port.
	ControlAddress string
	// Sources are the platform's configuration services, in order of preference.
	Sources []platform.Source
	// SeedControlAddresses are the control addresses of nodes to poll while no member list is known.
	SeedControlAddresses []string
	// VersionFloor is the lowest version number that is adopted; 0 sets no floor.
	VersionFloor uint64
	// DialAddress is the source IP address of outgoing connections; empty leaves the choice to the system.
	DialAddress string
	Store       *snapshot.Store
	Freshness   *snapshot.Freshness
	// Clock is the system clock when nil.
	Clock clock.Clock
	// Log receives the log entries; nil discards them.
	Log logrus.FieldLogger
	// RandomSeed seeds the jitter of retries. It must differ between nodes.
	RandomSeed uint64
}

// Status is the state of the distribution on one node, as operators see it.
type Status struct {
	Version wire.VersionID `json:"version"`
	Ready   bool           `json:"ready"`
	// Conflict describes two manifests with the same version number; it is empty when none were seen.
	Conflict string `json:"conflict,omitempty"`
	// Rejected lists the versions that failed validation.
	Rejected []Rejection `json:"rejected,omitempty"`
	// LastAnswerAgeMS is the time in milliseconds since the source, or another node with a confirmed view, answered;
	// -1 means never.
	LastAnswerAgeMS int64 `json:"heard_age_ms"`
	// ConfigAgeMS is the time in milliseconds since the source last confirmed the version in force; -1 means never.
	ConfigAgeMS int64 `json:"confirmed_age_ms"`
	// SourceError lists the errors of the sources whose last read by this node failed. A node that no longer reads the
	// sources still shows the errors of its last reads.
	SourceError string `json:"source_error,omitempty"`
	// MembersRevision is the revision of the member list, or 0 when none is known.
	MembersRevision uint64 `json:"members_revision"`
	// IsReader is true while the node reads the sources itself.
	IsReader bool `json:"reader"`
	// Rank is the node's rank among the nodes of its data centre that are not known to be dead.
	Rank int `json:"rank"`
	// Parents are the control addresses of the nodes that this node polls.
	Parents []string `json:"parents"`
	// Pauses counts the detected pauses of the process.
	Pauses int `json:"pauses"`
}

// Rejection is a version that failed validation.
type Rejection struct {
	Version wire.VersionID `json:"version"`
	// Faults describes why the version is not valid.
	Faults string `json:"faults"`
}
