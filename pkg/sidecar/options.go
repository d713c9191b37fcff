// Package sidecar forwards the requests of a mesh on the users' platform. A node accepts requests from the callers on
// its VM, chooses an upstream for each and forwards it to the node beside that upstream, which sends it to the
// upstream. The command bamboodeal-sidecar runs such a node; the node of the command bamboodeald is in package node.
package sidecar

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/capacity"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// Headers holds the names of the headers that a node reads and sets.
type Headers struct {
	// RequestID holds the ID of one attempt of a caller. Upstreams repeat it in their responses.
	RequestID string
	// DeadlineMS holds the time for which the caller or node still waits, in milliseconds.
	DeadlineMS string
	// APIKey holds the caller's key. It is never forwarded beyond the entry node.
	APIKey string
	// Team and CallerService name the caller's team and service for the upstream. The entry node sets them and ignores
	// what the caller sent.
	Team          string
	CallerService string
	// ExpectUpstream holds the ID of the upstream that is to run the request. An upstream with another ID answers with
	// status 421 and does not run it.
	ExpectUpstream string
	// UpstreamID holds the upstream's own ID in responses to health checks and in responses with status 421.
	UpstreamID string
	// UpstreamStamp marks a response as one of an upstream.
	UpstreamStamp string
	// UpstreamLoad holds the upstream's load in its responses. It is not forwarded.
	UpstreamLoad string
	// ColdRemainingMS holds, in responses to health checks, how long the upstream stays cold, in milliseconds.
	ColdRemainingMS string
	// NotExecuted marks a response of an upstream that did not run the request.
	NotExecuted string
	// ReadinessPath is not a header but the request target of the readiness check.
	ReadinessPath string
}

// Settings holds the settings of one node.
type Settings struct {
	// VM and DataCentre say where the node runs. Service is the service of the upstream beside it.
	VM         string
	DataCentre string
	Service    string
	// CallerAddress is where the node serves the callers on its VM, PeerAddress where it serves other nodes,
	// ReadyAddress where it answers the readiness check and MetricsAddress where it serves metrics. All are "IP:port".
	// MetricsAddress may be empty.
	CallerAddress string
	PeerAddress   string
	// PeerListenAddress is where the node listens for other nodes if they reach PeerAddress through a proxy. If it is
	// empty, the node listens on PeerAddress.
	PeerListenAddress string
	ReadyAddress      string
	MetricsAddress    string
	// UpstreamAddress is the "IP:port" of the upstream.
	UpstreamAddress string
	// StopGracePeriod is the time between the stop signal and the kill.
	StopGracePeriod time.Duration
	// HeartbeatInterval is the interval at which upstreams report to the platform's store.
	HeartbeatInterval time.Duration
	// ChangeBound is the time from the store's acknowledgement of a change within which the node has to act on it. 0 stands
	// for the default of package sources.
	ChangeBound time.Duration
	// ColdRateFactor and ColdRateSlack bound the requests to a cold upstream in any second: its cold rate x
	// ColdRateFactor + ColdRateSlack.
	ColdRateFactor float64
	ColdRateSlack  float64
	// RetryBudgetRatio and RetryBudgetSlack bound the extra attempts at a service, which are those after the first
	// attempt of a request, in any window and over all nodes: requests x RetryBudgetRatio + RetryBudgetSlack.
	RetryBudgetRatio float64
	RetryBudgetSlack float64
	// LinkMbps is the rate of the VM's network link in Mbit/s.
	LinkMbps float64
	// MemoryLimit is the memory of the VM in bytes.
	MemoryLimit int64
}

// readLoad returns the load that an upstream stated in a response.
func (o *Options) readLoad(resp *fasthttp.Response) (capacity.Report, bool) {
	if o.ParseLoad == nil {
		return capacity.Report{}, false
	}
	return o.ParseLoad(string(resp.Header.Peek(o.Headers.UpstreamLoad)))
}

// Options configure a Node.
type Options struct {
	Settings Settings
	Headers  Headers
	Clock    clock.Clock
	Log      *logrus.Logger
	// ParseLoad reads the header in which an upstream states its load. It is nil if upstreams state none.
	ParseLoad func(text string) (capacity.Report, bool)
	// View returns the current view of the mesh; it never returns nil.
	View func() *mesh.View
	// StoreAge returns how long ago the platform's store last answered this node.
	StoreAge func() time.Duration
	// StoreStatus returns the position in the store's history that the node has. It may be nil.
	StoreStatus func() mesh.StoreStatus
	// StoreChanges returns what changed in the platform's store after a position. It serves other nodes that read the
	// store through this one. Without changes it returns after the wait.
	StoreChanges func(after mesh.Position, wait time.Duration) mesh.Delta
}
