// Package ratelimit enforces the teams' rate limits over all nodes together. Each team's rate is divided into slots,
// and each slot is held by one node. Nodes lease tokens from the holders and spend one for each public call.
package ratelimit

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/quota"
	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

const (
	// maxWait is the longest time that a call waits for a token of its team. It leaves time for two round trips between
	// data centres and for asking a few holders that have no tokens.
	maxWait = 100 * time.Millisecond
	// maintenanceInterval is the interval at which unused tokens are returned and requests without an answer are given
	// up. waitingInterval takes its place while calls wait for tokens, so that holders are asked again soon.
	maintenanceInterval = 100 * time.Millisecond
	waitingInterval     = 10 * time.Millisecond
	// leaseNumberMask limits the first lease number of a process to 24 bits, which keeps the messages short.
	leaseNumberMask = 1<<24 - 1
	// maxMessageSize is the largest response to a lease or handover request, in bytes.
	maxMessageSize = 64 << 10
)

// ErrRateExceeded is returned for a call that got no token of its team, because the team is above its rate or because
// the node has no configuration yet.
var ErrRateExceeded = eris.New("the team is above its rate and burst; send fewer calls a second or ask the operators for a higher rate")

// Transport sends lease and handover requests to the node at a control address, an "IP:port", and returns its response.
type Transport interface {
	RequestLease(address string, req wire.LeaseRequest) (wire.LeaseResponse, error)
	RequestHandover(address string, req wire.HandoverRequest) (wire.HandoverResponse, error)
}

// Options configure a Limiter.
type Options struct {
	// VM, Upstream and DataCentre are the names of this node's VM, upstream and data centre.
	VM, Upstream, DataCentre string
	// Store holds the configuration and the member list in force.
	Store *snapshot.Store
	// Freshness says when another node or the configuration's source last confirmed this node's view. The node grants
	// no leases unless that was within FreshnessLimit. A pause of the process resets it.
	Freshness      *snapshot.Freshness
	FreshnessLimit time.Duration
	Clock          clock.Clock
	Transport      Transport
	Log            logrus.FieldLogger
	// ProcessSeed is a random number that identifies this process. The first lease number derives from it, so that the
	// leases of a restarted process have other numbers.
	ProcessSeed uint64
}

// Limiter is one node's part in enforcing the teams' rates. As a borrower it leases tokens for the calls that enter at
// this node; as a holder it grants leases from the slots that the configuration assigns to the node's upstream. It is
// safe for concurrent use.
type Limiter struct {
	o Options

	mu sync.Mutex
	// adopted is the configuration from which plan was made.
	adopted  *config.Set
	plan     *quota.Plan
	holder   *quota.Holder
	borrower *quota.Borrower
	// stateChanged is closed and replaced whenever tokens or refusals may have arrived, which wakes the waiting calls.
	stateChanged chan struct{}
	// wake makes Run send the requests that are due.
	wake chan struct{}
	// streams are the lease streams that other nodes have opened.
	streams leaseStreams
}

// New returns a limiter. It requests tokens only while Run runs.
func New(o Options) *Limiter {
	return &Limiter{o: o, stateChanged: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Run adopts new configurations and sends the lease and handover requests that are due, until ctx ends. It returns
// after the last request has ended.
func (l *Limiter) Run(ctx context.Context) error {
	var sends conc.WaitGroup
	defer sends.Wait()
	defer l.streams.closeAll()
	timer := time.NewTimer(maintenanceInterval)
	defer timer.Stop()
	for {
		l.adoptConfiguration()
		leases, handovers, interval := l.pendingRequests()
		for _, request := range leases {
			sends.Go(func() { l.requestLease(request) })
		}
		for _, request := range handovers {
			sends.Go(func() { l.requestHandover(request) })
		}
		timer.Reset(interval)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-l.wake:
		}
	}
}

// Admit spends a token of the team for a call. If there is none it waits for one, at most maxWait, and then returns
// ErrRateExceeded.
func (l *Limiter) Admit(ctx context.Context, team string) error {
	l.mu.Lock()
	if !l.ensurePlan() {
		l.mu.Unlock()
		return ErrRateExceeded
	}
	now := l.o.Clock.Now()
	if l.borrower.TakeToken(now, team) {
		low := l.borrower.NeedsTokens(now, team)
		l.mu.Unlock()
		if low {
			l.wakeRun()
		}
		return nil
	}
	l.mu.Unlock()
	l.wakeRun()
	return l.waitForToken(ctx, team, now+maxWait)
}

// waitForToken spends a token of the team as soon as one arrives. until is the end of the wait on the process's clock.
func (l *Limiter) waitForToken(ctx context.Context, team string, until time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		l.mu.Lock()
		now := l.o.Clock.Now()
		if l.borrower.TakeTokenForWaitingCall(now, team) {
			l.mu.Unlock()
			return nil
		}
		if ctx.Err() != nil || l.borrower.Exhausted(team, until) {
			l.borrower.RemoveWaitingCall(team)
			l.mu.Unlock()
			return ErrRateExceeded
		}
		changed := l.stateChanged
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// HandlePause gives up the tokens that the node holds or has leased, because the process did not run for a while and
// another node may have taken over its slots meanwhile.
func (l *Limiter) HandlePause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder != nil {
		l.holder.HandlePause(l.o.Clock.Now())
		l.borrower.HandlePause()
	}
	l.notifyWaiting()
}

// wakeRun makes Run look for due requests now.
func (l *Limiter) wakeRun() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// notifyWaiting wakes the calls that wait for a token. The lock is held.
func (l *Limiter) notifyWaiting() {
	close(l.stateChanged)
	l.stateChanged = make(chan struct{})
}

// adoptConfiguration takes over the slots and holders of a new configuration. The plan is made outside the lock,
// because that takes milliseconds in a large mesh and each call needs the lock.
func (l *Limiter) adoptConfiguration() {
	snap := l.o.Store.Load()
	if snap == nil {
		return
	}
	l.mu.Lock()
	known := snap.Set == l.adopted
	l.mu.Unlock()
	if known {
		return
	}
	plan := quota.NewPlan(snap.Set)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.o.Store.Load() != snap {
		return
	}
	l.applyPlan(snap.Set, plan)
}

// applyPlan puts the plan of a configuration in force. The lock is held.
func (l *Limiter) applyPlan(set *config.Set, plan *quota.Plan) {
	now := l.o.Clock.Now()
	previous := l.plan
	l.adopted, l.plan = set, plan
	held := plan.SlotsHeldBy(l.o.Upstream)
	if l.holder == nil {
		l.holder = quota.NewHolder(now, held, l.o.ProcessSeed&leaseNumberMask)
		l.borrower = quota.NewBorrower(l.o.Upstream, l.o.DataCentre, plan)
		return
	}
	l.holder.Reconfigure(now, held, previous.HolderOf)
	l.borrower.Reconfigure(plan)
}

// ensurePlan makes the first plan if Run has not made it yet, and reports whether there is a plan. It is false while
// the node has no configuration. The lock is held.
func (l *Limiter) ensurePlan() bool {
	if snap := l.o.Store.Load(); l.plan == nil && snap != nil {
		l.applyPlan(snap.Set, quota.NewPlan(snap.Set))
	}
	return l.plan != nil
}

// pendingRequests returns the requests to send now, and the time after which to look for more.
func (l *Limiter) pendingRequests() ([]quota.OutgoingLeaseRequest, []quota.OutgoingHandoverRequest, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ensurePlan() {
		return nil, nil, maintenanceInterval
	}
	now := l.o.Clock.Now()
	leases := l.borrower.DueLeaseRequests(now)
	l.notifyWaiting()
	interval := maintenanceInterval
	if l.borrower.HasWaitingCalls() {
		interval = waitingInterval
	}
	return leases, l.holder.DueHandoverRequests(now), interval
}

// requestHandover asks the previous holder of a slot for the tokens that are left in it. Without an answer the slot
// grants nothing until quota.ReassignmentDelay has passed.
func (l *Limiter) requestHandover(request quota.OutgoingHandoverRequest) {
	member, listed := l.o.Store.Load().Members[request.PreviousHolder]
	if !listed {
		return
	}
	process := l.o.VM + "/" + strconv.FormatUint(l.o.ProcessSeed, 36)
	req := wire.HandoverRequest{Team: request.Slot.Team, Slot: request.Slot.Index, Process: process}
	resp, err := l.o.Transport.RequestHandover(member.ControlAddress, req)
	if err != nil {
		l.o.Log.WithError(err).WithField("holder", request.PreviousHolder).Debug("the previous holder of a quota slot did not answer the handover request")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.HandleHandoverResponse(l.o.Clock.Now(), request.Slot, resp)
}

// requestLease sends one lease request and gives its response or failure to the borrower.
func (l *Limiter) requestLease(request quota.OutgoingLeaseRequest) {
	resp, err := l.sendLeaseRequest(request)
	l.mu.Lock()
	now := l.o.Clock.Now()
	if err != nil {
		l.borrower.HandleLeaseFailure(now, request.ID)
	} else {
		l.borrower.HandleLeaseResponse(now, request.ID, resp)
	}
	l.notifyWaiting()
	l.mu.Unlock()
	if err != nil {
		l.o.Log.WithError(err).WithField("holder", request.Holder).Debug("a quota holder did not answer the lease request")
	}
	l.wakeRun()
}

// sendLeaseRequest sends a lease request to its holder. A request to this node itself doesn't use the network.
func (l *Limiter) sendLeaseRequest(request quota.OutgoingLeaseRequest) (wire.LeaseResponse, error) {
	if request.Holder == l.o.Upstream {
		return l.HandleLease(request.Request)
	}
	snap := l.o.Store.Load()
	member, listed := snap.Members[request.Holder]
	if !listed {
		return wire.LeaseResponse{}, eris.Errorf("the member list names no VM for upstream %q; wait for the platform's next list", request.Holder)
	}
	return l.o.Transport.RequestLease(member.ControlAddress, request.Request)
}

// HandleLease answers a lease request from the slots that this node holds. It returns an error while this node's view
// is not confirmed.
func (l *Limiter) HandleLease(req wire.LeaseRequest) (wire.LeaseResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	// A holder whose view nobody confirms may have been replaced, or may have been paused. It must not lease tokens
	// that another process may be leasing at the same time.
	if !l.ensurePlan() || !l.o.Freshness.ViewConfirmedWithin(now, l.o.FreshnessLimit) {
		return wire.LeaseResponse{}, eris.New("this holder's view is not confirmed; ask another holder")
	}
	return l.holder.Lease(now, req), nil
}

// HandleHandover answers the new holder of a slot that this node held before.
func (l *Limiter) HandleHandover(req wire.HandoverRequest) (wire.HandoverResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ensurePlan() {
		return wire.HandoverResponse{}, nil
	}
	return l.holder.Handover(l.o.Clock.Now(), req), nil
}

// ControlHandler serves wire.PathQuotaStream, wire.PathQuotaLease and wire.PathQuotaHandover on the control port.
func (l *Limiter) ControlHandler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case wire.PathQuotaStream:
			l.openLeaseStream(ctx)
		case wire.PathQuotaLease:
			serveJSON(ctx, l.HandleLease)
		case wire.PathQuotaHandover:
			serveJSON(ctx, l.HandleHandover)
		default:
			ctx.Error("no such path on the control port", fasthttp.StatusNotFound)
		}
	}
}

// serveJSON decodes the body of a request, calls serve with it and encodes the response. An error of serve gives status
// 503.
func serveJSON[Request, Response any](ctx *fasthttp.RequestCtx, serve func(Request) (Response, error)) {
	var req Request
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error("the body is not a quota request", fasthttp.StatusBadRequest)
		return
	}
	resp, err := serve(req)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(resp)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.Response.SetBodyRaw(body)
}
