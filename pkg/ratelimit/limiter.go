// Package ratelimit carries the messages between quota borrowers and holders and admits public calls by their
// team's rate.
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
	// maxWait is the longest time that a call waits for its team's tokens. Two round trips between data
	// centres and a few empty holders fit into it.
	maxWait = 100 * time.Millisecond
	// maintainPeriod is the interval at which unused tokens go back and silent requests are given up, and
	// waitingPeriod that at which holders are asked again while calls wait.
	maintainPeriod = 100 * time.Millisecond
	waitingPeriod  = 10 * time.Millisecond
	// leaseNumbers bounds the first lease number to 24 bits, which keeps the messages short.
	leaseNumbers = 1<<24 - 1
	// maxBody bounds a lease message.
	maxBody = 64 << 10
)

// ErrRateExceeded is returned when no holder has a token of the team's rate.
var ErrRateExceeded = eris.New("the team is above its rate and burst; send fewer calls a second or ask the operators for more")

// Transport sends requests to a holder's control address.
type Transport interface {
	RequestLease(address string, req wire.LeaseRequest) (wire.LeaseResponse, error)
	RequestHandover(address string, req wire.HandoverRequest) (wire.HandoverResponse, error)
}

// Options configure a Lender.
type Options struct {
	VM, Upstream, DataCentre string
	Store                    *snapshot.Store
	// Freshness is reset after a pause and set again by an answer; a holder leases nothing while nobody
	// answered within FreshLimit.
	Freshness      *snapshot.Freshness
	FreshnessLimit time.Duration
	Clock          clock.Clock
	Transport      Transport
	Log            logrus.FieldLogger
	// ProcessSeed makes the numbers of this process's leases differ from those of an earlier process.
	ProcessSeed uint64
}

// Limiter is a node's part in keeping the teams' rates: it borrows for the calls that enter here and holds the
// slices that the configuration assigns to its upstream.
type Limiter struct {
	o Options

	mu       sync.Mutex
	adopted  *config.Set
	plan     *quota.Plan
	holder   *quota.Holder
	borrower *quota.Borrower
	// changed is closed and replaced whenever tokens or refusals may have come in.
	changed chan struct{}
	wake    chan struct{}
}

// New returns a lender; Run maintains it.
func New(o Options) *Limiter {
	return &Limiter{o: o, changed: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// Run maintains the leases until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	var sends conc.WaitGroup
	defer sends.Wait()
	timer := time.NewTimer(maintainPeriod)
	defer timer.Stop()
	for {
		l.adopt()
		asks, handovers, period := l.wants()
		for _, ask := range asks {
			sends.Go(func() { l.carry(ask) })
		}
		for _, ask := range handovers {
			sends.Go(func() { l.takeOver(ask) })
		}
		timer.Reset(period)
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-l.wake:
		}
	}
}

// Admit spends a token of the team, waiting for one at most maxWait. It returns ErrRateExceeded when there is
// none.
func (l *Limiter) Admit(ctx context.Context, team string) error {
	l.mu.Lock()
	if !l.started() {
		l.mu.Unlock()
		return ErrRateExceeded
	}
	now := l.o.Clock.Now()
	if l.borrower.TakeToken(now, team) {
		low := l.borrower.NeedsTokens(now, team)
		l.mu.Unlock()
		if low {
			l.signal()
		}
		return nil
	}
	l.mu.Unlock()
	l.signal()
	return l.await(ctx, team, now+maxWait)
}

// await spends a token as soon as one comes in.
func (l *Limiter) await(ctx context.Context, team string, until time.Duration) error {
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
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// HandlePause tells the lender that the process did not run for a while.
func (l *Limiter) HandlePause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.holder != nil {
		l.holder.HandlePause(l.o.Clock.Now())
		l.borrower.HandlePause()
	}
	l.notify()
}

func (l *Limiter) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *Limiter) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// adopt takes over the slices and holders of a new configuration. The plan is made outside the lock, because it
// takes milliseconds in a large fleet and calls wait for the lock.
func (l *Limiter) adopt() {
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
	l.apply(snap.Set, plan)
}

func (l *Limiter) apply(set *config.Set, plan *quota.Plan) {
	now := l.o.Clock.Now()
	before := l.plan
	l.adopted, l.plan = set, plan
	held := plan.SlotsHeldBy(l.o.Upstream)
	if l.holder == nil {
		l.holder = quota.NewHolder(now, held, l.o.ProcessSeed&leaseNumbers)
		l.borrower = quota.NewBorrower(l.o.Upstream, l.o.DataCentre, plan)
		return
	}
	l.holder.Reconfigure(now, held, before.HolderOf)
	l.borrower.Reconfigure(plan)
}

// started makes the first plan for a call that comes before the loop has made it. The lock is held.
func (l *Limiter) started() bool {
	if snap := l.o.Store.Load(); l.plan == nil && snap != nil {
		l.apply(snap.Set, quota.NewPlan(snap.Set))
	}
	return l.plan != nil
}

// wants returns what to send now, and the time after which to look again.
func (l *Limiter) wants() ([]quota.OutgoingLeaseRequest, []quota.OutgoingHandoverRequest, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started() {
		return nil, nil, maintainPeriod
	}
	now := l.o.Clock.Now()
	asks := l.borrower.DueLeaseRequests(now)
	l.notify()
	period := maintainPeriod
	if l.borrower.HasWaitingCalls() {
		period = waitingPeriod
	}
	return asks, l.holder.DueHandoverRequests(now), period
}

// takeOver asks the previous holder of a slot for what is left of it. Without an answer the slot waits.
func (l *Limiter) takeOver(ask quota.OutgoingHandoverRequest) {
	member, listed := l.o.Store.Load().Members[ask.PreviousHolder]
	if !listed {
		return
	}
	process := l.o.VM + "/" + strconv.FormatUint(l.o.ProcessSeed, 36)
	req := wire.HandoverRequest{Team: ask.Slot.Team, Slot: ask.Slot.Index, Process: process}
	resp, err := l.o.Transport.RequestHandover(member.ControlAddress, req)
	if err != nil {
		l.o.Log.WithError(err).WithField("holder", ask.PreviousHolder).Debug("the previous quota holder did not answer")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.HandleHandoverResponse(l.o.Clock.Now(), ask.Slot, resp)
}

// carry sends one request and hands in its answer. The own holder is asked without the network.
func (l *Limiter) carry(ask quota.OutgoingLeaseRequest) {
	resp, err := l.send(ask)
	l.mu.Lock()
	now := l.o.Clock.Now()
	if err != nil {
		l.borrower.HandleLeaseFailure(now, ask.ID)
	} else {
		l.borrower.HandleLeaseResponse(now, ask.ID, resp)
	}
	l.notify()
	l.mu.Unlock()
	if err != nil {
		l.o.Log.WithError(err).WithField("holder", ask.Holder).Debug("a quota holder did not answer")
	}
	l.signal()
}

func (l *Limiter) send(ask quota.OutgoingLeaseRequest) (wire.LeaseResponse, error) {
	if ask.Holder == l.o.Upstream {
		return l.HandleLease(ask.Request)
	}
	snap := l.o.Store.Load()
	member, listed := snap.Members[ask.Holder]
	if !listed {
		return wire.LeaseResponse{}, eris.Errorf("the list names no VM for upstream %q; wait for the platform's list", ask.Holder)
	}
	return l.o.Transport.RequestLease(member.ControlAddress, ask.Request)
}

// HandleLease answers another node's request from the slices held here.
func (l *Limiter) HandleLease(req wire.LeaseRequest) (wire.LeaseResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.o.Clock.Now()
	// A holder that hears from nobody may have been replaced or paused; it must not lease what another
	// process may be leasing now.
	if !l.started() || !l.o.Freshness.ViewConfirmedWithin(now, l.o.FreshnessLimit) {
		return wire.LeaseResponse{}, eris.New("this holder's view is not confirmed; ask another holder")
	}
	return l.holder.Lease(now, req), nil
}

// HandleHandover answers the new holder of a slot that was held here.
func (l *Limiter) HandleHandover(req wire.HandoverRequest) (wire.HandoverResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started() {
		return wire.HandoverResponse{}, nil
	}
	return l.holder.Handover(l.o.Clock.Now(), req), nil
}

// ControlHandler serves wire.PathLease and wire.PathHandover.
func (l *Limiter) ControlHandler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case wire.PathQuotaLease:
			answer(ctx, l.HandleLease)
		case wire.PathQuotaHandover:
			answer(ctx, l.HandleHandover)
		default:
			ctx.Error("no such path on the control port", fasthttp.StatusNotFound)
		}
	}
}

// answer decodes the request, calls serve and encodes its response.
func answer[Request, Response any](ctx *fasthttp.RequestCtx, serve func(Request) (Response, error)) {
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
