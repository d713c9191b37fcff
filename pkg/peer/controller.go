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

// ConfigView tells whether the node's view of the configuration may be acted on.
type ConfigView interface {
	// Current returns the snapshot, or nil with the kind of refusal.
	Current() (*snapshot.Snapshot, wire.ErrorKind)
	// VersionConfirmedWithin reports whether the source confirmed the configuration within the age; 0 sets no limit.
	VersionConfirmedWithin(age time.Duration) bool
}

// ControllerOptions configure a Controller.
type ControllerOptions struct {
	// Upstream is the name of the node's own upstream, UpstreamAddress its "IP:port".
	Upstream        string
	UpstreamAddress string
	Clock           clock.Clock
	View            ConfigView
	Record          *CallRecord
	Queue           *AdmissionQueue
	// UpstreamPool connects to the own upstream, Peers to other nodes.
	UpstreamPool *Pool
	PeerPool     *Pool
}

// Controller is the only way to the node's own upstream. It runs a call at most once and says truthfully
// whether it ran.
type Controller struct {
	o       ControllerOptions
	leaving atomic.Bool
	working atomic.Int64
}

// NewController returns a controller.
func NewController(o ControllerOptions) *Controller { return &Controller{o: o} }

// IncomingCall is a call that arrived for the own upstream.
type IncomingCall struct {
	Metadata *CallMetadata
	// ArrivedAt is the time on the monotonic clock from which the deadline counts.
	ArrivedAt time.Duration
	Caller    Caller
}

// CallResult says what came of a call. With wire.Ran the response is the upstream's, without headers of the hop;
// otherwise the response is not usable.
type CallResult struct {
	Outcome wire.Outcome
	Kind    wire.ErrorKind
	Load    admission.Load
}

// SetLeaving makes the controller refuse new work from now on.
func (c *Controller) SetLeaving() {
	c.leaving.Store(true)
	c.o.Queue.SetLeaving()
}

// CallsInProgress returns the number of calls in progress.
func (c *Controller) CallsInProgress() int64 { return c.working.Load() }

// Load describes the controller; its state is "leaving" as soon as new work is refused.
func (c *Controller) Load() admission.Load {
	load := c.o.Queue.Load()
	if c.isLeaving() {
		load.State = wire.StateLeaving
	}
	return load
}

func (c *Controller) isLeaving() bool {
	if c.leaving.Load() {
		return true
	}
	snap, _ := c.o.View.Current()
	return snap != nil && snap.SelfLeaving
}

// run is the state of one call in the controller.
type run struct {
	in       *IncomingCall
	set      *config.Set
	route    *config.Route
	request  delivery.Request
	admitted admission.Call
	deadline time.Duration
	accepted bool
	entered  bool
	// sent is set before the first byte can leave; from then on the call may have run.
	sent   bool
	result admission.Result
}

// Serve runs the call, or refuses it. It changes the headers of req.
func (c *Controller) Serve(in *IncomingCall, req *fasthttp.Request, resp *fasthttp.Response) (answer CallResult) {
	c.working.Add(1)
	defer c.working.Add(-1)
	r := &run{in: in, deadline: in.ArrivedAt + in.Metadata.RemainingTime}
	defer func() {
		if recover() != nil {
			// A fault of this process must not leave a slot taken or a record open, nor claim that a call
			// did not run that was sent.
			answer = c.settle(r, wire.KindUpstreamError)
		}
		answer.Load = c.Load()
	}()
	if kind := c.check(r); kind != "" {
		return c.refuse(r, kind)
	}
	r.request = delivery.Request{
		Call: in.Metadata.CallID, Identity: in.Metadata.Identity, Attempt: in.Metadata.Attempt,
		Epoch: in.Metadata.Epoch, Idempotent: r.route.Idempotent,
	}
	if !r.route.Idempotent {
		r.request.BodyDigest = digest(req)
	}
	if answer, stop := c.accept(r, resp); stop {
		return answer
	}
	if kind := c.enter(r); kind != "" {
		return c.settle(r, kind)
	}
	return c.forward(r, req, resp)
}

// check refuses what must not run here, by this node's own version. The order is from the sender's errors to
// this node's state.
func (c *Controller) check(r *run) wire.ErrorKind {
	hop := r.in.Metadata
	if hop.Upstream != c.o.Upstream {
		return wire.KindWrongUpstream
	}
	snap, kind := c.o.View.Current()
	if snap == nil {
		return kind
	}
	r.set = snap.Set
	self := snap.Set.Upstream(c.o.Upstream)
	if self == nil || !snap.Set.InService(self) || snap.SelfLeaving || c.leaving.Load() {
		return wire.KindLeaving
	}
	if kind := checkKey(snap, hop); kind != "" {
		return kind
	}
	return c.checkRoute(r, self)
}

// checkRoute refuses a call that this controller's service does not serve, or not here, or not in time.
func (c *Controller) checkRoute(r *run, self *config.Upstream) wire.ErrorKind {
	hop, now := r.in.Metadata, c.o.Clock.Now()
	r.route = r.set.Route(hop.Route)
	if r.route == nil || r.route.Service != self.Service {
		return wire.KindNoRoute
	}
	if !r.route.Idempotent {
		if hop.Identity == "" {
			return wire.KindMalformedRequest
		}
		// The sender may know a set that other controllers do not know yet; they would not ask this one before
		// they run a later attempt.
		if !c.o.Record.eligible(now, self.Service, hop.Identity, c.o.Upstream) {
			return wire.KindWrongUpstream
		}
	}
	if age := time.Duration(r.route.MaxConfigAgeMS) * time.Millisecond; age > 0 && !c.o.View.VersionConfirmedWithin(age) {
		return wire.KindStaleConfiguration
	}
	if now >= r.deadline {
		return wire.KindDeadlineExceeded
	}
	return ""
}

// checkKey refuses a key that this node's own version does not grant to the team. A key that is unknown here is
// accepted only from a sender with a newer version, which may have just declared it.
func checkKey(snap *snapshot.Snapshot, hop *CallMetadata) wire.ErrorKind {
	if hop.KeyID == "" {
		return ""
	}
	key := snap.Set.Key(hop.KeyID)
	switch {
	case key == nil && snap.Version.Less(hop.Version):
		return ""
	case key == nil || key.Team != hop.Team:
		return wire.KindUnknownKey
	case key.State != config.KeyGranted:
		return wire.KindKeyWithdrawn
	}
	return ""
}

// refuse answers "not run" to a call that the ledger has not seen.
func (c *Controller) refuse(r *run, kind wire.ErrorKind) CallResult {
	if r.in.Metadata.Identity != "" {
		c.o.Record.refuse(c.o.Clock.Now(), r.in.Metadata.CallID, kind)
	}
	return CallResult{Outcome: wire.OutcomeNotRun, Kind: kind}
}

// accept asks the ledger; stop is true when the call does not run now.
func (c *Controller) accept(r *run, resp *fasthttp.Response) (answer CallResult, stop bool) {
	d := c.o.Record.accept(c.o.Clock.Now(), r.request)
	if d.Verdict == delivery.VerdictNeedBar && c.o.Record.complete(c.o.Clock.Now()) {
		var clear bool
		if d, clear = c.bar(r); clear {
			r.request.BarredElsewhere = true
			d = c.o.Record.accept(c.o.Clock.Now(), r.request)
		}
	}
	switch d.Verdict {
	case delivery.VerdictRun:
		r.accepted = true
		return CallResult{}, false
	case delivery.VerdictReplay:
		replay(resp, &d.Result)
		return CallResult{Outcome: wire.OutcomeRan}, true
	case delivery.VerdictNeedBar:
		return CallResult{Outcome: wire.OutcomeUnknown, Kind: wire.KindOutcomeUnknown}, true
	}
	return CallResult{Outcome: d.Outcome, Kind: d.Reason}, true
}

func replay(resp *fasthttp.Response, result *delivery.Result) {
	resp.Reset()
	resp.SetStatusCode(result.Status)
	if result.ContentType != "" {
		resp.Header.SetContentType(result.ContentType)
	}
	resp.SetBody(result.Body)
}

// enter waits for a slot.
func (c *Controller) enter(r *run) wire.ErrorKind {
	hop := r.in.Metadata
	weight := 1
	if team := r.set.Team(hop.Team); team != nil {
		weight = team.Weight
	}
	r.admitted = admission.Call{
		Team: hop.Team, Route: hop.Route, Weight: weight, Priority: r.route.Priority, Deadline: r.deadline,
	}
	if kind := c.o.Queue.enter(&r.admitted, r.in.Caller); kind != "" {
		return kind
	}
	r.entered = true
	return ""
}

// forward hands the call to the upstream.
func (c *Controller) forward(r *run, req *fasthttp.Request, resp *fasthttp.Response) CallResult {
	start := c.o.Clock.Now()
	left := r.deadline - start
	until := time.Now().Add(left)
	r.result.Kind = admission.ConnectionFailed
	conn, err := c.o.UpstreamPool.Acquire(Target{Address: c.o.UpstreamAddress}, until, false)
	if err != nil {
		return c.settle(r, connectKind(err))
	}
	if r.in.Caller != nil && !r.in.Caller.Connected() {
		// The sender has given the call up, perhaps while this process did not run.
		conn.Release()
		r.result.Kind = admission.TimedOut
		return c.settle(r, wire.KindDeadlineExceeded)
	}
	r.in.Metadata.writeUpstream(req, left)
	watch := r.in.Caller
	if !r.route.Idempotent {
		// A call that may run only once is not cancelled: its result is recorded for the next attempt.
		watch = nil
	}
	r.sent = true
	sent, err := conn.Send(req, resp, until, watch)
	r.result.Latency = c.o.Clock.Now() - start
	if sent != ResponseReceived {
		r.sent = sent == NoResponse
		return c.settle(r, r.classify(err))
	}
	return c.finish(r, resp)
}

func connectKind(err error) wire.ErrorKind {
	if errors.Is(err, ErrTooManyConnections) {
		return wire.KindOverloaded
	}
	return wire.KindNoUpstream
}

// classify notes for the admission controller how the upstream failed and returns the kind for the caller.
func (r *run) classify(err error) wire.ErrorKind {
	switch {
	case errors.Is(err, ErrDeadlinePassed):
		r.result.Kind = admission.TimedOut
		return wire.KindDeadlineExceeded
	case IsTimeout(err), errors.Is(err, ErrCallerGone):
		r.result.Kind = admission.TimedOut
		return wire.KindOutcomeUnknown
	case !r.sent:
		return wire.KindNoUpstream
	}
	return wire.KindUpstreamError
}

// finish records a whole answer.
func (c *Controller) finish(r *run, resp *fasthttp.Response) CallResult {
	r.result.Kind = admission.Succeeded
	if code := resp.StatusCode(); code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusTooManyRequests {
		r.result.Kind = admission.Shed
	}
	stripResponse(resp)
	r.accepted = false
	c.o.Record.finish(c.o.Clock.Now(), r.request, delivery.Result{
		Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Body: resp.Body(),
	})
	c.leave(r)
	return CallResult{Outcome: wire.OutcomeRan}
}

// settle ends a call without an answer: "not run" when no byte of it can have reached the upstream.
func (c *Controller) settle(r *run, kind wire.ErrorKind) CallResult {
	now := c.o.Clock.Now()
	answer := CallResult{Outcome: wire.OutcomeNotRun, Kind: kind}
	switch {
	case r.sent:
		answer.Outcome = wire.OutcomeUnknown
	case kind == wire.KindUpstreamError:
		answer.Kind = wire.KindNoUpstream
	}
	if r.accepted {
		r.accepted = false
		if r.sent {
			c.o.Record.finish(now, r.request, delivery.Result{Unknown: true})
		} else {
			c.o.Record.release(now, r.request, kind)
		}
	}
	c.leave(r)
	return answer
}

func (c *Controller) leave(r *run) {
	if r.entered {
		r.entered = false
		c.o.Queue.leave(r.admitted.ID, r.result)
	}
}
