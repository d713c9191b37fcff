// Package sidecar carries the requests of a mesh: from the callers on a VM to the node beside the upstream that is
// chosen to run them, and from that node to its upstream.
package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// Headers are the names under which requests and responses carry what a node reads and sets.
type Headers struct {
	// RequestID identifies one attempt of a caller; upstreams repeat it in their responses.
	RequestID string
	// DeadlineMS is the time that the caller or node still waits, in milliseconds.
	DeadlineMS string
	// APIKey is the caller's key; it never leaves the entry node.
	APIKey string
	// Team and CallerService are set for the upstream whatever the caller sent.
	Team          string
	CallerService string
	// ExpectUpstream makes an upstream with another ID answer 421 without running the request.
	ExpectUpstream string
	// UpstreamID is the upstream's own ID in health responses and 421 answers.
	UpstreamID string
	// UpstreamStamp marks the response of an upstream.
	UpstreamStamp string
	// UpstreamLoad is the upstream's load in its responses; it is not forwarded.
	UpstreamLoad string
	// ColdRemainingMS is how long the upstream stays cold, in milliseconds, in health responses.
	ColdRemainingMS string
	// NotExecuted marks a response of an upstream that did not run the request.
	NotExecuted string
	// ReadinessPath is the request target of the readiness check.
	ReadinessPath string
}

// Settings are a node's own settings.
type Settings struct {
	// VM and DataCentre name the place of the node, Service the service of the upstream beside it.
	VM         string
	DataCentre string
	Service    string
	// CallerAddress serves the callers on the VM, PeerAddress other nodes, ReadyAddress the readiness check; all are
	// "IP:port". MetricsAddress may be empty.
	CallerAddress string
	PeerAddress   string
	// PeerListenAddress is where the node listens for other nodes if they reach PeerAddress through a proxy.
	PeerListenAddress string
	ReadyAddress      string
	MetricsAddress    string
	// UpstreamAddress is the "IP:port" of the upstream.
	UpstreamAddress string
	// StopGracePeriod is the time between the stop signal and the kill.
	StopGracePeriod time.Duration
	// HeartbeatInterval is the interval in which upstreams report to the platform's store.
	HeartbeatInterval time.Duration
	// ColdRateFactor and ColdSlack bound the requests to a cold upstream in any second: its rate x ColdRateFactor + ColdSlack.
	ColdRateFactor float64
	ColdRateSlack  float64
	// RetryBudgetRatio and RetrySlack bound the further attempts at a service: requests x RetryBudgetRatio + RetrySlack in any
	// window, over all nodes.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	// LinkMbps is the rate of the VM's link in Mbit/s.
	LinkMbps float64
	// MemoryLimit is the memory of the VM in bytes.
	MemoryLimit int64
}

// Options configure a Node.
type Options struct {
	Settings Settings
	Headers  Headers
	Clock    clock.Clock
	Log      *logrus.Logger
	// View returns the current view of the mesh; it never returns nil.
	View func() *mesh.View
	// StoreAge returns how long ago the platform's store last answered this node.
	StoreAge func() time.Duration
	// StoreChanges returns what the store changed after a position, for nodes that follow this one.
	StoreChanges func(after mesh.Position, wait time.Duration) mesh.Delta
}
