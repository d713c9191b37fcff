// Package distribution keeps a node's configuration and member list up to date: it polls the platform and other
// nodes, serves other nodes' polls on the control port, and publishes whole, validated snapshots.
package distribution

import (
	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// Options configure a Maintainer. VM, Upstream, DataCentre, ControlAddress, Store and Freshness are required.
type Options struct {
	VM, Upstream, DataCentre string
	// ControlAddress is the address at which other nodes reach this node's control port.
	ControlAddress string
	// Sources are the platform's configuration services, in order of preference.
	Sources []platform.Source
	// SeedControlAddresses are control addresses to ask while no member list is known.
	SeedControlAddresses []string
	// VersionFloor is the lowest version number that is adopted; 0 sets no floor.
	VersionFloor uint64
	// DialAddress is the source IP address of outgoing connections; empty leaves the choice to the system.
	DialAddress string
	Store       *snapshot.Store
	Freshness   *snapshot.Freshness
	// Clock is the system clock when nil.
	Clock clock.Clock
	// Log discards when nil.
	Log logrus.FieldLogger
	// RandomSeed seeds the jitter of retries; each node needs its own.
	RandomSeed uint64
}

// Status is what operators see of the distribution on one node.
type Status struct {
	Version wire.VersionID `json:"version"`
	Ready   bool           `json:"ready"`
	// Conflict names two manifests with the same number, when they were seen; empty otherwise.
	Conflict string `json:"conflict,omitempty"`
	// Rejected lists the versions that failed validation, with their faults.
	Rejected []Rejection `json:"rejected,omitempty"`
	// LastAnswerAgeMS and ConfirmedAgeMS are ages in milliseconds; -1 means never.
	LastAnswerAgeMS int64 `json:"heard_age_ms"`
	ConfirmedAgeMS  int64 `json:"confirmed_age_ms"`
	// SourceError names the sources whose last read failed; a node that does not read them shows its last reads.
	SourceError     string   `json:"source_error,omitempty"`
	MembersRevision uint64   `json:"members_revision"`
	IsReader        bool     `json:"reader"`
	Rank            int      `json:"rank"`
	Parents         []string `json:"parents"`
	// Pauses counts the detected pauses of the process.
	Pauses int `json:"pauses"`
}

// Rejection is a version that failed validation.
type Rejection struct {
	Version wire.VersionID `json:"version"`
	Faults  string         `json:"faults"`
}
