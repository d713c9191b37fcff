package sidecar

import (
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/allowance"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

// The node that has the token bucket of a team's limit is the holder of the limit. The other nodes lease tokens from
// it, that is, they borrow tokens that expire soon. While the holder does not answer, the VM that ranks next for the
// team is its substitute and grants a part of the limit. See package allowance.
const (
	leasePath = "/v1/lease"
	// maxTokenWait is the longest time that a request waits for a token of its team. Within the shortest latency
	// objectives it leaves time for the request itself.
	maxTokenWait = 200 * time.Millisecond
	// leaseTimeout bounds one lease request to a holder. It allows for a VM that has used up its share of a processor
	// and is not scheduled for up to 100 ms.
	leaseTimeout = 250 * time.Millisecond
	// probeInterval is the time between two probes of a holder that did not answer.
	probeInterval = 300 * time.Millisecond
	// relayTimeout bounds the lease request that a substitute sends to the holder. It is shorter than leaseTimeout, so
	// that the response still reaches the sender in time.
	relayTimeout = 150 * time.Millisecond
)

// errNoHolder means that the nodes' lists of VMs disagree on the holder of a team. They agree again after the next
// change of the list.
var errNoHolder = eris.New("no node holds the team's limit; using the node's own share until the lists agree")

// leaseRequest asks the holder of a team's limit, or a substitute, for tokens.
type leaseRequest struct {
	Team   string `json:"t"`
	Tokens int    `json:"w"`
	// StoreConnected is true if the sender is in contact with the platform's store.
	StoreConnected bool `json:"i,omitempty"`
	// UnresponsiveHolder is the holder that the sender does not reach, if any. The receiver is then asked as its
	// substitute. RecentlyLimited is true if the holder refused tokens of the team a few seconds ago.
	UnresponsiveHolder string `json:"s,omitempty"`
	RecentlyLimited    bool   `json:"l,omitempty"`
}

// leaseResponse grants tokens. If it grants none, RetryMS is the time after which to ask again, in milliseconds.
type leaseResponse struct {
	Granted int   `json:"g"`
	RetryMS int64 `json:"r,omitempty"`
	// FromSubstitute is true if the granting node is a substitute for the holder.
	FromSubstitute bool `json:"u,omitempty"`
	// Filling is true if the bucket is too new to have been full.
	Filling bool `json:"n,omitempty"`
	// CurrentHolder is set instead of a grant if the sender's list of VMs is out of date and another VM is the holder
	// now.
	CurrentHolder string `json:"h,omitempty"`
}

// teamLimiter enforces the teams' limits over all nodes together. The node holds the limits of some teams and grants
// their tokens to other nodes; for the other teams it borrows tokens from their holders.
type teamLimiter struct {
	o        *Options
	pool     *peer.Pool
	ownVM    string
	peerPort string

	storeContact allowance.StoreContactPolicy

	// config and vms are those of the last view. Only updateView uses them.
	config *mesh.Config
	vms    []string

	// holderMu guards the state as a holder, which is buckets and holderConfirmation. mu guards the state as a
	// borrower. mu is locked first.
	holderMu           sync.Mutex
	buckets            *allowance.Buckets
	holderConfirmation *allowance.HolderConfirmation

	mu        sync.Mutex
	holders   *allowance.HolderIndex
	borrowers map[string]*borrowerState
	// unresponsive has the holders that do not answer, by VM.
	unresponsive map[string]*unresponsiveHolder
	neighbours   *neighbourProber
}

// unresponsiveHolder is the state of a holder that does not answer. Times are on the process's clock.
type unresponsiveHolder struct {
	since time.Duration
	// probeAt is when the next probe is due. probing is true while one is in progress.
	probeAt time.Duration
	probing bool
}

// borrowerState is the state of one team whose tokens this node borrows.
type borrowerState struct {
	allowance.Borrower
	// waiting has a channel for each request that waits for a token, the oldest first. requesting is true while
	// requestTokens runs.
	waiting    []chan bool
	requesting bool
}

func newTeamLimiter(o *Options, pool *peer.Pool, ownIP, port string) *teamLimiter {
	contact := allowance.StoreContactPolicy{HeartbeatInterval: o.Settings.HeartbeatInterval}
	l := &teamLimiter{
		o: o, pool: pool, ownVM: ownIP, peerPort: port, storeContact: contact, buckets: allowance.NewBuckets(),
		holderConfirmation: allowance.NewHolderConfirmation(contact), holders: allowance.NewHolderIndex(),
		borrowers: map[string]*borrowerState{}, unresponsive: map[string]*unresponsiveHolder{},
	}
	l.neighbours = newNeighbourProber(o, ownIP, l.sendProbe)
	return l
}

// updateView puts a new list of VMs and of teams in force.
func (l *teamLimiter) updateView(v *mesh.View) {
	if v.Config == nil {
		return
	}
	if v.Config == l.config && slices.Equal(v.VMs, l.vms) {
		return
	}
	l.config, l.vms = v.Config, v.VMs
	limited := make([]string, 0, len(v.Config.Teams))
	for _, team := range v.Config.Teams {
		if team.Rate > 0 {
			limited = append(limited, team.Name)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holders.Update(limited, v.VMs)
	var held []string
	for _, team := range limited {
		if l.holders.Holder(team) == l.ownVM {
			held = append(held, team)
		}
	}
	l.holderMu.Lock()
	l.buckets.SetHeldTeams(l.o.Clock.Now(), held)
	l.holderMu.Unlock()
	for vm := range l.unresponsive {
		if !slices.Contains(v.VMs, vm) {
			delete(l.unresponsive, vm)
		}
	}
	l.neighbours.retainOnly(v.VMs)
}

// admit reports whether a request of the team is within its limit. It waits for a token for at most maxTokenWait.
func (l *teamLimiter) admit(team *mesh.Team) bool {
	if team.Rate <= 0 {
		return true
	}
	now := l.o.Clock.Now()
	l.mu.Lock()
	b := l.borrowers[team.Name]
	if b == nil {
		b = &borrowerState{}
		l.borrowers[team.Name] = b
	}
	b.CountRequest(now)
	if len(b.waiting) == 0 && b.TakeToken(now) {
		l.mu.Unlock()
		return true
	}
	if b.HolderEmptyFor(now) > maxTokenWait || b.Exhausted(now, len(b.waiting), maxTokenWait) {
		l.mu.Unlock()
		return false
	}
	result := make(chan bool, 1)
	b.waiting = append(b.waiting, result)
	if !b.requesting {
		b.requesting = true
		go l.requestTokens(team.Name, b)
	}
	l.mu.Unlock()
	timer := time.NewTimer(maxTokenWait)
	defer timer.Stop()
	select {
	case ok := <-result:
		return ok
	case <-timer.C:
		return l.stopWaiting(b, result)
	}
}

// stopWaiting removes a request from the waiting ones. It reports whether the request got a token in the meantime.
func (l *teamLimiter) stopWaiting(b *borrowerState, result chan bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, w := range b.waiting {
		if w == result {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return false
		}
	}
	return <-result
}

// requestTokens asks the holder for tokens until no request of the team waits any more. While a team sends more than its
// limit that may never be the case, so the limit is read anew for each lease: a lower one has to bind at once.
func (l *teamLimiter) requestTokens(team string, b *borrowerState) {
	for {
		now := l.o.Clock.Now()
		limit, limited := l.currentLimit(team)
		l.mu.Lock()
		if !limited {
			l.answerWaiting(b, l.o.View().Config.TeamByName(team) != nil)
		}
		if len(b.waiting) == 0 {
			b.requesting = false
			l.mu.Unlock()
			return
		}
		want, empty, overLimit := b.TokensToBorrow(now, len(b.waiting)), b.HolderEmptyFor(now), b.RecentlyLimited(now)
		l.mu.Unlock()
		if want == 0 {
			time.Sleep(empty)
			continue
		}
		resp, err := l.requestLease(now, limit, leaseRequest{
			Team: team, Tokens: want, StoreConnected: l.storeContact.Connected(l.o.StoreAge()), RecentlyLimited: overLimit,
		})
		retry := time.Duration(resp.RetryMS) * time.Millisecond
		l.mu.Lock()
		if err != nil {
			l.decideByOwnShare(limit, b)
		} else {
			b.HandleLeaseAnswer(now, resp.Granted, retry, resp.FromSubstitute || resp.Filling)
			l.admitWaiting(b)
		}
		l.mu.Unlock()
	}
}

// currentLimit returns the limit of a team in the current view. limited is false if the team has no limit or was removed.
func (l *teamLimiter) currentLimit(name string) (limit allowance.Limit, limited bool) {
	team := l.o.View().Config.TeamByName(name)
	if team == nil || team.Rate <= 0 {
		return allowance.Limit{}, false
	}
	return allowance.Limit{Rate: team.Rate, Burst: team.Burst}, true
}

// answerWaiting admits or refuses all waiting requests. The lock is held.
func (l *teamLimiter) answerWaiting(b *borrowerState, admitted bool) {
	for _, w := range b.waiting {
		w <- admitted
	}
	b.waiting = nil
}

// admitWaiting gives the borrowed tokens to the waiting requests, the oldest first. The lock is held.
func (l *teamLimiter) admitWaiting(b *borrowerState) {
	now := l.o.Clock.Now()
	for len(b.waiting) > 0 && b.TakeToken(now) {
		b.waiting[0] <- true
		b.waiting = b.waiting[1:]
	}
}

// decideByOwnShare decides on all waiting requests by the node's own share of the limit, because no node grants tokens.
// The lock is held.
func (l *teamLimiter) decideByOwnShare(limit allowance.Limit, b *borrowerState) {
	now, nodes, isolated := l.o.Clock.Now(), len(l.o.View().VMs), !l.storeContact.Connected(l.o.StoreAge())
	for _, w := range b.waiting {
		w <- b.TakeFromLocalShare(now, limit, nodes, isolated)
	}
	b.waiting = nil
}

// requestLease asks the holder of a team for tokens. A holder that does not answer, or that refuses the connection, may
// still grant the whole limit to other nodes: a partition by resets looks like a node that does not run. So the VM that
// ranks next is only its substitute and grants less.
func (l *teamLimiter) requestLease(now time.Duration, limit allowance.Limit, request leaseRequest) (leaseResponse, error) {
	for holder := range l.holdersOf(request.Team) {
		resp, err := l.askHolder(now, holder, limit, request)
		switch {
		case err != nil && request.UnresponsiveHolder == "":
			request.UnresponsiveHolder = holder
		case err == nil && resp.CurrentHolder != "":
			return l.askNamedHolder(now, resp.CurrentHolder, limit, request)
		default:
			return resp, err
		}
	}
	return leaseResponse{}, peer.ErrNodeUnresponsive
}

// holdersOf returns the VMs in the order of allowance.RankedHolders. The order behind the first one, which nearly always
// answers, is calculated only when it is needed.
func (l *teamLimiter) holdersOf(team string) iter.Seq[string] {
	return func(yield func(string) bool) {
		l.mu.Lock()
		first := l.holders.Holder(team)
		l.mu.Unlock()
		vms := l.o.View().VMs
		if !slices.Contains(vms, first) {
			// The view is newer than the index.
			first = ""
		}
		if first != "" && !yield(first) {
			return
		}
		for _, vm := range allowance.RankedHolders(team, vms) {
			if vm != first && !yield(vm) {
				return
			}
		}
	}
}

// askNamedHolder asks the holder that was named by a node with a newer list of VMs.
func (l *teamLimiter) askNamedHolder(
	now time.Duration, holder string, limit allowance.Limit, request leaseRequest,
) (leaseResponse, error) {
	request.UnresponsiveHolder = ""
	resp, err := l.askHolder(now, holder, limit, request)
	if err == nil && resp.CurrentHolder != "" {
		err = errNoHolder
	}
	return resp, err
}

// askHolder asks one node for tokens. If it is this node, no message is sent.
func (l *teamLimiter) askHolder(
	now time.Duration, holder string, limit allowance.Limit, request leaseRequest,
) (leaseResponse, error) {
	if holder == l.ownVM {
		return l.grantTokens(now, limit, request), nil
	}
	return l.sendLeaseRequest(now, holder, request, leaseTimeout)
}

// sendLeaseRequest asks another node for tokens. For a node that is known to be unresponsive it fails at once.
func (l *teamLimiter) sendLeaseRequest(now time.Duration, holder string, request leaseRequest, timeout time.Duration) (leaseResponse, error) {
	if l.isUnresponsive(now, holder) {
		return leaseResponse{}, peer.ErrNodeUnresponsive
	}
	var resp leaseResponse
	err := postMessage(l.pool, holder+l.peerPort, leasePath, request, &resp, timeout)
	if err != nil {
		l.markUnresponsive(now, request.Team, holder, err)
	}
	return resp, err
}

// markUnresponsive records that a holder did not answer.
func (l *teamLimiter) markUnresponsive(now time.Duration, team, holder string, err error) {
	l.mu.Lock()
	known := l.unresponsive[holder] != nil
	if !known {
		l.unresponsive[holder] = &unresponsiveHolder{since: now, probeAt: now + probeInterval}
	}
	l.mu.Unlock()
	if !known {
		l.o.Log.WithError(err).WithField("team", team).WithField("vm", holder).
			Warn("the holder of a team's limit did not answer; asking a substitute")
	}
}

// isUnresponsive reports whether a holder did not answer the last time. Such a holder is probed in the background, so
// that no request waits for it.
func (l *teamLimiter) isUnresponsive(now time.Duration, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.unresponsive[holder]
	if state == nil {
		return false
	}
	if !state.probing && now >= state.probeAt {
		state.probing = true
		go l.probe(holder, state)
	}
	return true
}

// probe probes an unresponsive holder. One that answers no longer counts as unresponsive.
func (l *teamLimiter) probe(holder string, state *unresponsiveHolder) {
	err := l.sendProbe(holder)
	l.mu.Lock()
	defer l.mu.Unlock()
	state.probing, state.probeAt = false, l.o.Clock.Now()+probeInterval
	if err == nil {
		delete(l.unresponsive, holder)
		l.o.Log.WithField("vm", holder).WithField("silent_ms", (l.o.Clock.Now() - state.since).Milliseconds()).
			Info("the holder of teams' limits responds again")
	}
}

// sendProbe sends a lease request without a team to another node.
func (l *teamLimiter) sendProbe(vm string) error {
	var resp leaseResponse
	request := leaseRequest{StoreConnected: l.storeContact.Connected(l.o.StoreAge())}
	return postMessage(l.pool, vm+l.peerPort, leasePath, request, &resp, leaseTimeout)
}

// grantTokens grants tokens from a bucket that this node holds.
func (l *teamLimiter) grantTokens(now time.Duration, limit allowance.Limit, request leaseRequest) leaseResponse {
	if request.UnresponsiveHolder != "" {
		return l.grantAsSubstitute(now, limit, request)
	}
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	if !l.holderConfirmation.MayGrantFullRate(now, l.o.StoreAge(), l.ownVM, l.o.View().VMs) {
		limit = limit.Reduced()
	}
	granted, retry := l.buckets.Lease(now, request.Team, limit, request.Tokens)
	return leaseResponse{Granted: granted, RetryMS: retry.Milliseconds(), Filling: l.buckets.Filling(now, request.Team, limit)}
}

// grantAsSubstitute answers in place of a holder that the sender does not reach. If this node reaches the holder, it
// passes on the holder's response. Otherwise it grants a part of the limit.
func (l *teamLimiter) grantAsSubstitute(now time.Duration, limit allowance.Limit, request leaseRequest) leaseResponse {
	holder := request.UnresponsiveHolder
	request.UnresponsiveHolder = ""
	resp, err := l.sendLeaseRequest(now, holder, request, relayTimeout)
	if err == nil && resp.CurrentHolder == "" {
		return resp
	}
	since := l.unresponsiveSince(now, holder)
	limit = l.storeContact.SubstituteLimit(limit, allowance.HolderSilence{
		Duration: now - since, TeamLimited: request.RecentlyLimited, NeighbourAnswers: l.neighbours.answer(now, holder, since),
	})
	l.holderMu.Lock()
	defer l.holderMu.Unlock()
	granted, retry := l.buckets.Lease(now, request.Team, limit, request.Tokens)
	return leaseResponse{Granted: granted, RetryMS: retry.Milliseconds(), FromSubstitute: true}
}

// unresponsiveSince returns the time since which this node has found a holder unresponsive, or now if it has not.
func (l *teamLimiter) unresponsiveSince(now time.Duration, holder string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state := l.unresponsive[holder]; state != nil {
		return state.since
	}
	return now
}

// serveHTTP answers the lease request of another node.
func (l *teamLimiter) serveHTTP(ctx *fasthttp.RequestCtx) {
	var request leaseRequest
	if !decodeMessage(ctx, &request) {
		return
	}
	view := l.o.View()
	if view.Config == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	l.holderMu.Lock()
	l.holderConfirmation.RecordRequest(l.o.Clock.Now(), ctx.RemoteIP().String(), request.StoreConnected)
	l.holderMu.Unlock()
	var resp leaseResponse
	if team := view.Config.TeamByName(request.Team); team != nil {
		resp.CurrentHolder = l.storeContact.Referral(
			allowance.TokenRequest{Team: team.Name, Connected: request.StoreConnected, UnresponsiveHolder: request.UnresponsiveHolder},
			l.ownVM, view.VMs, l.o.StoreAge(),
		)
		if resp.CurrentHolder == "" {
			resp = l.grantTokens(l.o.Clock.Now(), allowance.Limit{Rate: team.Rate, Burst: team.Burst}, request)
		}
	}
	writeMessage(ctx, resp)
}
