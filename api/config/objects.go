// Package config holds the objects that operators declare, the configuration set that they form, and its validation.
package config

import "time"

// Visibility states who may call a route.
type Visibility string

// Visibilities of a route.
const (
	VisibilityPublic   Visibility = "public"
	VisibilityInternal Visibility = "internal"
)

// Priority is the order in which an admission controller starts waiting calls.
type Priority string

// Priorities, from the highest to the lowest.
const (
	PriorityInteractive Priority = "interactive"
	PriorityNormal      Priority = "normal"
	PriorityBackground  Priority = "background"
)

// DataCentreState states whether a data centre takes new calls.
type DataCentreState string

// States of a data centre.
const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// KeyState states whether a key may be used.
type KeyState string

// States of a key.
const (
	KeyGranted   KeyState = "granted"
	KeyWithdrawn KeyState = "withdrawn"
)

// DataCentre is a failure domain within a region.
type DataCentre struct {
	Name   string          `json:"name"`
	Region string          `json:"region"`
	State  DataCentreState `json:"state"`
}

// ColdStart bounds the load on an upstream that has just started.
type ColdStart struct {
	// InitialConcurrency is the number of concurrent calls that an upstream can handle when it has just started.
	InitialConcurrency int `json:"initial_concurrency"`
	// RampMS is the shortest time in milliseconds in which the limit rises from InitialConcurrency to all slots.
	RampMS int64 `json:"ramp_ms"`
}

// Service is a named group of upstreams that serve the same routes.
type Service struct {
	Name      string    `json:"name"`
	DependsOn []string  `json:"depends_on,omitempty"`
	ColdStart ColdStart `json:"cold_start"`
}

// Upstream is one back end of a service; one node runs beside it.
type Upstream struct {
	Name       string `json:"name"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	// Slots is the number of calls that the upstream processes concurrently.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int `json:"connections"`
}

// Route maps a path prefix and methods to a service.
type Route struct {
	Name       string     `json:"name"`
	Service    string     `json:"service"`
	PathPrefix string     `json:"path_prefix"`
	Methods    []string   `json:"methods"`
	Visibility Visibility `json:"visibility"`
	Idempotent bool       `json:"idempotent"`
	Priority   Priority   `json:"priority"`
	TimeoutMS  int64      `json:"timeout_ms"`
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int `json:"max_body_bytes"`
	// MaxConfigAgeMS is the largest time in milliseconds since the source last confirmed the configuration at which
	// the route still accepts calls; 0 sets no limit.
	MaxConfigAgeMS int64 `json:"max_config_age_ms,omitempty"`
}

// Timeout returns the time limit of a call on the route.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Team is a customer organisation with its rate limit.
type Team struct {
	Name string `json:"name"`
	// RatePerSecond is the sustained number of calls per second, summed over all VMs.
	RatePerSecond float64 `json:"rate_per_second"`
	// Burst is the number of calls by which the team may exceed the rate for a short time, summed over all VMs.
	Burst int `json:"burst"`
	// Weight is the team's share of an overloaded upstream's queue, relative to the weights of the other teams.
	Weight int `json:"weight"`
}

// Key authenticates callers of a team. Only the digest of the plain key is stored.
type Key struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Digest is "sha256:" and the hexadecimal SHA-256 of the key.
	Digest string   `json:"digest"`
	State  KeyState `json:"state"`
}

// Objective is a service-level objective of either a service or a team.
type Objective struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Team    string `json:"team,omitempty"`
	// Target is the share of calls, between 0 and 1, that must be good.
	Target float64 `json:"target"`
	// LatencyMS is the longest time in milliseconds that a good call takes.
	LatencyMS int64 `json:"latency_ms"`
}

// Objects are the declared objects of one declaration file, or of a whole configuration.
type Objects struct {
	DataCentres []DataCentre `json:"data_centres,omitempty"`
	Services    []Service    `json:"services,omitempty"`
	Upstreams   []Upstream   `json:"upstreams,omitempty"`
	Routes      []Route      `json:"routes,omitempty"`
	Teams       []Team       `json:"teams,omitempty"`
	Keys        []Key        `json:"keys,omitempty"`
	Objectives  []Objective  `json:"objectives,omitempty"`
}
