package peer

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// ConfigView provides the node's configuration while it is recent enough to be acted on.
type ConfigView interface {
	// Current returns the snapshot, or nil and the error kind with which calls are to be refused.
	Current() (*snapshot.Snapshot, wire.ErrorKind)
	// VersionConfirmedWithin reports whether the source confirmed the version of the configuration at most age ago.
	VersionConfirmedWithin(age time.Duration) bool
}

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	// Upstream is the name of the node's own upstream; UpstreamAddress is its "IP:port".
	Upstream        string
	UpstreamAddress string
	Clock           clock.Clock
	View            ConfigView
	CallRecord      *CallRecord
	Queue           *AdmissionQueue
	// UpstreamPool connects to the own upstream, PeerPool to other nodes.
	UpstreamPool *Pool
	PeerPool     *Pool
}

// Controller passes calls to the node's own upstream; every call to the upstream goes through it. It runs a call at
// most once and reports whether the call ran, did not run or may have run.
type Controller struct {
	options         ControllerOptions
	leaving         atomic.Bool
	callsInProgress atomic.Int64
}

// NewController returns a Controller with the given options.
func NewController(options ControllerOptions) *Controller { return &Controller{options: options} }

// IncomingCall is a call to the own upstream that arrived at this node.
type IncomingCall struct {
	Metadata *CallMetadata
	// ArrivedAt is the arrival time on the monotonic clock; the deadline is Metadata.RemainingTime later.
	ArrivedAt time.Duration
	// Caller is the connection on which the call arrived. If it is nil, the call is not cancelled by a disconnect.
	Caller Caller
}

// CallResult is the outcome of a call. With wire.OutcomeRan the response is the upstream's, without the headers that
// only nodes exchange; otherwise the response must not be used.
type CallResult struct {
	Outcome wire.Outcome
	Kind    wire.ErrorKind
	Load    admission.Load
}

// SetLeaving makes the controller refuse new calls from now on.
func (c *Controller) SetLeaving() {
	c.leaving.Store(true)
	c.options.Queue.SetLeaving()
}

// CallsInProgress returns the number of calls in progress.
func (c *Controller) CallsInProgress() int64 { return c.callsInProgress.Load() }

// Load returns the controller's load. Its state is "leaving" as soon as new calls are refused.
func (c *Controller) Load() admission.Load {
	load := c.options.Queue.Load()
	if c.isLeaving() {
		load.State = wire.StateLeaving
	}
	return load
}

func (c *Controller) isLeaving() bool {
	if c.leaving.Load() {
		return true
	}
	snap, _ := c.options.View.Current()
	return snap != nil && snap.SelfLeaving
}

// callState is the state of one call in the controller.
type callState struct {
	incoming      *IncomingCall
	set           *config.Set
	route         *config.Route
	request       delivery.Request
	admissionCall admission.Call
	// deadline is a time on the monotonic clock.
	deadline time.Duration
	// recordOpen is true while the call record holds the call as running.
	recordOpen bool
	// hasSlot is true while the call holds a slot of the upstream.
	hasSlot bool
	// sent is set before the first byte can be sent to the upstream; from then on the call may have run.
	sent bool
	// admissionResult is what the admission controller learns from the call.
	admissionResult admission.Result
}

// Serve runs the call or refuses it. It changes the headers of req.
func (c *Controller) Serve(incoming *IncomingCall, req *fasthttp.Request, resp *fasthttp.Response) (result CallResult) {
	c.callsInProgress.Add(1)
	defer c.callsInProgress.Add(-1)
	call := &callState{incoming: incoming, deadline: incoming.ArrivedAt + incoming.Metadata.RemainingTime}
	defer func() {
		if recover() != nil {
			// A bug in this process must neither leave a slot occupied or a record open, nor report a call that was
			// sent as not run.
			result = c.endWithoutResponse(call, wire.KindUpstreamError)
		}
		result.Load = c.Load()
	}()
	if kind := c.checkCall(call); kind != "" {
		return c.refuseCall(call, kind)
	}
	call.request = delivery.Request{
		Call: incoming.Metadata.CallID, Identity: incoming.Metadata.Identity, Attempt: incoming.Metadata.Attempt,
		Epoch: incoming.Metadata.Epoch, Idempotent: call.route.Idempotent,
	}
	if !call.route.Idempotent {
		call.request.BodyDigest = requestDigest(req)
	}
	if result, done := c.acceptCall(call, resp); done {
		return result
	}
	if kind := c.waitForSlot(call); kind != "" {
		return c.endWithoutResponse(call, kind)
	}
	return c.sendToUpstream(call, req, resp)
}

// checkCall returns the error kind of a call that must not run here according to this node's own version, or "". It
// checks for mistakes of the sender first and for this node's state last.
func (c *Controller) checkCall(call *callState) wire.ErrorKind {
	metadata := call.incoming.Metadata
	if metadata.Upstream != c.options.Upstream {
		return wire.KindWrongUpstream
	}
	snap, kind := c.options.View.Current()
	if snap == nil {
		return kind
	}
	call.set = snap.Set
	ownUpstream := snap.Set.Upstream(c.options.Upstream)
	if ownUpstream == nil || !snap.Set.InService(ownUpstream) || snap.SelfLeaving || c.leaving.Load() {
		return wire.KindLeaving
	}
	if kind := checkKey(snap, metadata); kind != "" {
		return kind
	}
	return c.checkRoute(call, ownUpstream)
}

// checkRoute returns the error kind of a call whose route does not belong to the upstream's service, that may not run
// at this upstream, or that cannot run in time. Otherwise it returns "".
func (c *Controller) checkRoute(call *callState, ownUpstream *config.Upstream) wire.ErrorKind {
	metadata, now := call.incoming.Metadata, c.options.Clock.Now()
	call.route = call.set.Route(metadata.Route)
	if call.route == nil || call.route.Service != ownUpstream.Service {
		return wire.KindNoRoute
	}
	if !call.route.Idempotent {
		if metadata.Identity == "" {
			return wire.KindMalformedRequest
		}
		// The sender may have a newer set than the other controllers. By their older sets, they would not ask this
		// controller to bar the identity before they run a later attempt.
		if !c.options.CallRecord.isCandidate(now, ownUpstream.Service, metadata.Identity, c.options.Upstream) {
			return wire.KindWrongUpstream
		}
	}
	if age := time.Duration(call.route.MaxConfigAgeMS) * time.Millisecond; age > 0 && !c.options.View.VersionConfirmedWithin(age) {
		return wire.KindStaleConfiguration
	}
	if now >= call.deadline {
		return wire.KindDeadlineExceeded
	}
	return ""
}

// checkKey returns the error kind of a call with a key that this node's own version does not grant to the team, or "".
// A key that is unknown here is accepted only from a sender with a newer version, which may just have declared it.
func checkKey(snap *snapshot.Snapshot, metadata *CallMetadata) wire.ErrorKind {
	if metadata.KeyID == "" {
		return ""
	}
	key := snap.Set.Key(metadata.KeyID)
	switch {
	case key == nil && snap.Version.Less(metadata.Version):
		return ""
	case key == nil || key.Team != metadata.Team:
		return wire.KindUnknownKey
	case key.State != config.KeyGranted:
		return wire.KindKeyWithdrawn
	}
	return ""
}

// refuseCall refuses a call before it is accepted into the call record.
func (c *Controller) refuseCall(call *callState, kind wire.ErrorKind) CallResult {
	if call.incoming.Metadata.Identity != "" {
		c.options.CallRecord.refuseCall(c.options.Clock.Now(), call.incoming.Metadata.CallID, kind)
	}
	return CallResult{Outcome: wire.OutcomeNotRun, Kind: kind}
}

// acceptCall accepts the call into the call record. If the record does not allow the call to run now, done is true and
// result is the outcome of the call; the response to an earlier attempt is written to resp.
func (c *Controller) acceptCall(call *callState, resp *fasthttp.Response) (result CallResult, done bool) {
	decision := c.options.CallRecord.accept(c.options.Clock.Now(), call.request)
	if decision.Verdict == delivery.VerdictNeedBar && c.options.CallRecord.candidatesComplete(c.options.Clock.Now()) {
		var cleared bool
		if decision, cleared = c.barElsewhere(call); cleared {
			call.request.BarredElsewhere = true
			decision = c.options.CallRecord.accept(c.options.Clock.Now(), call.request)
		}
	}
	switch decision.Verdict {
	case delivery.VerdictRun:
		call.recordOpen = true
		return CallResult{}, false
	case delivery.VerdictReplay:
		writeRecordedResult(resp, &decision.Result)
		return CallResult{Outcome: wire.OutcomeRan}, true
	case delivery.VerdictNeedBar:
		return CallResult{Outcome: wire.OutcomeUnknown, Kind: wire.KindOutcomeUnknown}, true
	}
	return CallResult{Outcome: decision.Outcome, Kind: decision.Reason}, true
}

// writeRecordedResult writes the recorded response of an earlier attempt to resp.
func writeRecordedResult(resp *fasthttp.Response, result *delivery.Result) {
	resp.Reset()
	resp.SetStatusCode(result.Status)
	if result.ContentType != "" {
		resp.Header.SetContentType(result.ContentType)
	}
	resp.SetBody(result.Body)
}

// waitForSlot waits until the admission queue gives the call a slot. It returns "" or the error kind of a refusal.
func (c *Controller) waitForSlot(call *callState) wire.ErrorKind {
	metadata := call.incoming.Metadata
	weight := 1
	if team := call.set.Team(metadata.Team); team != nil {
		weight = team.Weight
	}
	call.admissionCall = admission.Call{
		Team: metadata.Team, Route: metadata.Route, Weight: weight, Priority: call.route.Priority, Deadline: call.deadline,
	}
	if kind := c.options.Queue.waitForSlot(&call.admissionCall, call.incoming.Caller); kind != "" {
		return kind
	}
	call.hasSlot = true
	return ""
}

// sendToUpstream sends the call to the upstream and ends it with the upstream's response or an error.
func (c *Controller) sendToUpstream(call *callState, req *fasthttp.Request, resp *fasthttp.Response) CallResult {
	start := c.options.Clock.Now()
	remaining := call.deadline - start
	deadline := time.Now().Add(remaining)
	call.admissionResult.Kind = admission.ConnectionFailed
	conn, err := c.options.UpstreamPool.Acquire(Target{Address: c.options.UpstreamAddress}, deadline, false)
	if err != nil {
		return c.endWithoutResponse(call, connectErrorKind(err))
	}
	if call.incoming.Caller != nil && !call.incoming.Caller.Connected() {
		// The sender has abandoned the call, perhaps while this process was paused.
		conn.Release()
		call.admissionResult.Kind = admission.TimedOut
		return c.endWithoutResponse(call, wire.KindDeadlineExceeded)
	}
	call.incoming.Metadata.setUpstreamHeaders(req, remaining)
	caller := call.incoming.Caller
	if !call.route.Idempotent {
		// A call that may run only once is not cancelled when its caller disconnects, because its result is recorded
		// for the next attempt.
		caller = nil
	}
	call.sent = true
	sendResult, err := conn.Send(req, resp, deadline, caller)
	call.admissionResult.Latency = c.options.Clock.Now() - start
	if sendResult != ResponseReceived {
		call.sent = sendResult == NoResponse
		return c.endWithoutResponse(call, call.classifyError(err))
	}
	return c.endWithResponse(call, resp)
}

// connectErrorKind returns the error kind for a call when no connection to the upstream was acquired.
func connectErrorKind(err error) wire.ErrorKind {
	if errors.Is(err, ErrTooManyConnections) {
		return wire.KindOverloaded
	}
	return wire.KindNoUpstream
}

// classifyError records for the admission controller how the exchange with the upstream failed and returns the error
// kind for the caller.
func (call *callState) classifyError(err error) wire.ErrorKind {
	switch {
	case errors.Is(err, ErrDeadlinePassed):
		call.admissionResult.Kind = admission.TimedOut
		return wire.KindDeadlineExceeded
	case IsTimeout(err), errors.Is(err, ErrCallerGone):
		call.admissionResult.Kind = admission.TimedOut
		return wire.KindOutcomeUnknown
	case !call.sent:
		return wire.KindNoUpstream
	}
	return wire.KindUpstreamError
}

// endWithResponse ends a call with the complete response of the upstream and records the response.
func (c *Controller) endWithResponse(call *callState, resp *fasthttp.Response) CallResult {
	call.admissionResult.Kind = admission.Succeeded
	if code := resp.StatusCode(); code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusTooManyRequests {
		call.admissionResult.Kind = admission.Shed
	}
	stripResponseHeaders(resp)
	call.recordOpen = false
	c.options.CallRecord.finish(c.options.Clock.Now(), call.request, delivery.Result{
		Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: resp.Body(),
	})
	c.releaseSlot(call)
	return CallResult{Outcome: wire.OutcomeRan}
}

// endWithoutResponse ends a call without a response. Its outcome is "not run" when no byte of it can have reached the
// upstream, and "unknown" otherwise.
func (c *Controller) endWithoutResponse(call *callState, kind wire.ErrorKind) CallResult {
	now := c.options.Clock.Now()
	result := CallResult{Outcome: wire.OutcomeNotRun, Kind: kind}
	switch {
	case call.sent:
		result.Outcome = wire.OutcomeUnknown
	case kind == wire.KindUpstreamError:
		result.Kind = wire.KindNoUpstream
	}
	if call.recordOpen {
		call.recordOpen = false
		if call.sent {
			c.options.CallRecord.finish(now, call.request, delivery.Result{Unknown: true})
		} else {
			c.options.CallRecord.release(now, call.request, kind)
		}
	}
	c.releaseSlot(call)
	return result
}

// releaseSlot gives the call's slot back if it holds one.
func (c *Controller) releaseSlot(call *callState) {
	if call.hasSlot {
		call.hasSlot = false
		c.options.Queue.finishCall(call.admissionCall.ID, call.admissionResult)
	}
}
