package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

const (
	// expiryMarginShare is the share of a lease's duration by which the borrower stops spending before the holder's
	// expiry, because the clocks of two nodes run at slightly different speeds.
	expiryMarginShare = 0.1
	// returnAfterShare is the share of a lease's duration after which the borrower returns unused tokens. The holder
	// counts tokens that are not returned before the expiry as used.
	returnAfterShare = 0.75
	// minBackoff is the first backoff after a holder granted less than requested. maxBackoff bounds the period
	// without requests for a team, and is the first backoff after a holder did not answer.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// maxPartialGrantBackoff bounds the backoff of a holder that repeatedly grants less than requested.
	maxPartialGrantBackoff = 400 * time.Millisecond
	// maxFailureBackoff bounds the backoff of a holder that does not answer.
	maxFailureBackoff = 8 * time.Second
	// requestTimeout is the time after which a request without an answer counts as failed.
	requestTimeout = 300 * time.Millisecond
)

// OutgoingLeaseRequest is a request that the caller must send to the node beside the upstream Holder. ID identifies it
// in HandleLeaseResponse and HandleLeaseFailure.
type OutgoingLeaseRequest struct {
	ID      uint64
	Holder  string
	Request wire.LeaseRequest
}

// Borrower leases tokens from holders on behalf of one node, spends them, and decides when to request more from which
// holder. It is not safe for concurrent use.
type Borrower struct {
	upstream      string
	dataCentre    string
	plan          *Plan
	teams         map[string]*teamState
	holders       map[string]*holderState
	inFlight      map[uint64]*inFlightRequest
	lastRequestID uint64
}

// holderState is what a borrower knows of one holder.
type holderState struct {
	requestInFlight bool
	// backoffs has an entry for each team whose last request the holder granted only in part or not at all.
	backoffs map[string]teamBackoff
	// unresponsiveUntil is the time until which a holder that did not answer gets no requests.
	unresponsiveUntil time.Duration
	failures          int
	settlements       []wire.Settlement
	// returnsTokens is true when one of the settlements returns unused tokens, which is worth a request of its own.
	// Settlements of spent leases wait for the next request.
	returnsTokens bool
}

// teamBackoff says when a holder is asked again for tokens of one team.
type teamBackoff struct {
	until    time.Duration
	duration time.Duration
}

// inFlightRequest is a request that was sent and has neither been answered nor failed.
type inFlightRequest struct {
	holder        string
	sentAt        time.Duration
	tokenRequests []wire.TokenRequest
}

// NewBorrower returns a borrower without tokens for the node beside the upstream.
func NewBorrower(upstream, dataCentre string, plan *Plan) *Borrower {
	b := &Borrower{upstream: upstream, dataCentre: dataCentre, inFlight: map[uint64]*inFlightRequest{}}
	b.Reconfigure(plan)
	return b
}

// Reconfigure replaces the plan. Borrowed tokens stay valid until they expire; they are part of the slots that their
// holders held when they leased them.
func (b *Borrower) Reconfigure(plan *Plan) {
	old := b.teams
	b.plan = plan
	b.teams = make(map[string]*teamState, len(plan.set.Teams))
	if b.holders == nil {
		b.holders = map[string]*holderState{}
	}
	for i := range plan.set.Teams {
		team := &plan.set.Teams[i]
		state := old[team.Name]
		if state == nil {
			state = &teamState{horizon: minHorizon, backoff: minBackoff}
		}
		state.holderOrder = b.orderHolders(team.Name, plan.Holders(team))
		b.teams[team.Name] = state
	}
}

// orderHolders puts the holders of the node's own data centre first. The order starts at a different holder for each
// node, so that each holder is the first choice of about as many nodes: with a random start some holders would serve
// twice as many nodes as others and often have no tokens for them.
func (b *Borrower) orderHolders(team string, holders []string) []string {
	var local, remote []string
	for _, name := range holders {
		if u := b.plan.set.Upstream(name); u != nil && u.DataCentre == b.dataCentre {
			local = append(local, name)
		} else {
			remote = append(remote, name)
		}
	}
	offset := slices.Index(rankByHash(team, b.plan.declared[b.dataCentre]), b.upstream)
	return append(rotate(local, offset), rotate(remote, offset)...)
}

// rotate moves the first n names to the end. A negative n changes nothing.
func rotate(names []string, n int) []string {
	if len(names) == 0 || n < 0 {
		return names
	}
	n %= len(names)
	return append(slices.Clone(names[n:]), names[:n]...)
}

// TakeToken spends a token of the team and reports whether there was one. If not, the call counts as waiting: the
// caller retries with TakeTokenForWaitingCall after the next grant, or refuses the call if Exhausted reports true and
// calls RemoveWaitingCall. Calls of an unknown team get no token.
func (b *Borrower) TakeToken(now time.Duration, team string) bool {
	state := b.teams[team]
	if state == nil {
		return false
	}
	state.countCall(now)
	if state.spendToken(now) {
		return true
	}
	state.waitingCalls++
	return false
}

// TakeTokenForWaitingCall spends a token for a call that waits since TakeToken, and reports whether there was one.
func (b *Borrower) TakeTokenForWaitingCall(now time.Duration, team string) bool {
	state := b.teams[team]
	if state == nil || !state.spendToken(now) {
		return false
	}
	state.waitingCalls = max(state.waitingCalls-1, 0)
	return true
}

// RemoveWaitingCall removes a refused call from the number of waiting calls.
func (b *Borrower) RemoveWaitingCall(team string) {
	if state := b.teams[team]; state != nil {
		state.waitingCalls = max(state.waitingCalls-1, 0)
	}
}

// NeedsTokens reports whether tokens of the team should be requested now, so that the caller should send what
// DueLeaseRequests returns.
func (b *Borrower) NeedsTokens(now time.Duration, team string) bool {
	state := b.teams[team]
	return state != nil && state.needsRequest(now, state.shortfall(now))
}

// Exhausted reports whether no request for the team is in flight and no holder can be asked at the time until, so that
// a call that waits until then would get no token.
func (b *Borrower) Exhausted(team string, until time.Duration) bool {
	state := b.teams[team]
	if state == nil {
		return true
	}
	for _, f := range b.inFlight {
		for _, w := range f.tokenRequests {
			if w.Team == team {
				return false
			}
		}
	}
	return b.nextHolder(until, team, state) == ""
}

// HasWaitingCalls reports whether a call of any team waits for a token.
func (b *Borrower) HasWaitingCalls() bool {
	for _, state := range b.teams {
		if state.waitingCalls > 0 {
			return true
		}
	}
	return false
}

// DueLeaseRequests returns the requests to send now, ordered by holder. The caller sends each, then calls
// HandleLeaseResponse or HandleLeaseFailure with its ID.
func (b *Borrower) DueLeaseRequests(now time.Duration) []OutgoingLeaseRequest {
	b.collectSettlements(now)
	tokenRequests, needed := b.tokenRequestsByHolder(now)
	var requests []OutgoingLeaseRequest
	for name, h := range b.holders {
		if !h.requestInFlight && (needed[name] || h.returnsTokens) {
			requests = append(requests, b.newRequest(now, name, h, tokenRequests[name]))
		}
	}
	slices.SortFunc(requests, func(x, y OutgoingLeaseRequest) int { return strings.Compare(x.Holder, y.Holder) })
	return requests
}

// tokenRequestsByHolder lists, for each holder, the token requests of all teams with a shortfall that ask this holder
// next. A holder is in needed when one of these teams needs tokens now; the token requests of the other teams go with
// the same message.
func (b *Borrower) tokenRequestsByHolder(
	now time.Duration,
) (tokenRequests map[string][]wire.TokenRequest, needed map[string]bool) {
	tokenRequests, needed = map[string][]wire.TokenRequest{}, map[string]bool{}
	for name, state := range b.teams {
		n := state.shortfall(now)
		if n <= 0 {
			continue
		}
		holder := b.nextHolder(now, name, state)
		if holder == "" {
			continue
		}
		tokenRequests[holder] = append(tokenRequests[holder], wire.TokenRequest{
			Team: name, Tokens: n, LeaseDurationMS: state.leaseDurationMS(now),
		})
		if state.needsRequest(now, n) {
			needed[holder] = true
		}
	}
	return tokenRequests, needed
}

// newRequest builds a request and records it as in flight.
func (b *Borrower) newRequest(
	now time.Duration, holder string, h *holderState, tokenRequests []wire.TokenRequest,
) OutgoingLeaseRequest {
	slices.SortFunc(tokenRequests, func(x, y wire.TokenRequest) int { return strings.Compare(x.Team, y.Team) })
	b.lastRequestID++
	req := wire.LeaseRequest{TokenRequests: tokenRequests, Settlements: h.settlements}
	h.settlements = nil
	h.returnsTokens = false
	h.requestInFlight = true
	b.inFlight[b.lastRequestID] = &inFlightRequest{holder: holder, sentAt: now, tokenRequests: tokenRequests}
	return OutgoingLeaseRequest{ID: b.lastRequestID, Holder: holder, Request: req}
}

// nextHolder returns the first holder of the team's order that may be asked at the time now, or "" if there is none.
func (b *Borrower) nextHolder(now time.Duration, team string, state *teamState) string {
	if now < state.noRequestsUntil {
		return ""
	}
	for _, name := range state.holderOrder {
		h := b.holders[name]
		if h == nil {
			h = &holderState{backoffs: map[string]teamBackoff{}}
			b.holders[name] = h
		}
		if now >= h.backoffs[team].until && now >= h.unresponsiveUntil {
			return name
		}
	}
	return ""
}

// collectSettlements queues settlements of the leases that are spent or due for return, drops expired leases, and
// fails the requests that have timed out.
func (b *Borrower) collectSettlements(now time.Duration) {
	for _, state := range b.teams {
		kept := state.leases[:0]
		for _, l := range state.leases {
			switch {
			case now >= l.expiresAt:
			case l.used == l.tokens || now >= l.returnAt:
				b.queueSettlement(l)
			default:
				kept = append(kept, l)
			}
		}
		state.leases = kept
	}
	for id, f := range b.inFlight {
		if now-f.sentAt > requestTimeout {
			b.HandleLeaseFailure(now, id)
		}
	}
}

// queueSettlement queues the settlement of a lease for the next request to its holder.
func (b *Borrower) queueSettlement(l borrowedLease) {
	h := b.holders[l.holder]
	if h == nil {
		return
	}
	h.settlements = append(h.settlements, wire.Settlement{Lease: l.id, Used: l.used})
	h.returnsTokens = h.returnsTokens || l.used < l.tokens
}

// HandleLeaseResponse takes the answer to the request with that ID. The answer to a request that has timed out is
// ignored: its tokens stay unused until the holder's lease expires.
func (b *Borrower) HandleLeaseResponse(now time.Duration, id uint64, resp wire.LeaseResponse) {
	f := b.inFlight[id]
	if f == nil {
		return
	}
	delete(b.inFlight, id)
	h := b.holders[f.holder]
	h.requestInFlight = false
	h.failures = 0
	for i, g := range resp.Grants {
		if i < len(f.tokenRequests) {
			b.acceptGrant(now, f, h, f.tokenRequests[i], g)
		}
	}
}

// acceptGrant adds the granted tokens to the team's leases and updates the backoffs.
func (b *Borrower) acceptGrant(
	now time.Duration, f *inFlightRequest, h *holderState, asked wire.TokenRequest, g wire.Grant,
) {
	h.observeGrant(now, asked, g)
	state := b.teams[asked.Team]
	if state == nil {
		return
	}
	state.adjustToGrant(now, g.Tokens, asked.Tokens)
	if g.Tokens <= 0 {
		return
	}
	// The duration counts from before the request was sent, so that the borrower's lease ends before the holder's.
	duration := time.Duration(float64(asked.LeaseDurationMS) * (1 - expiryMarginShare) * float64(time.Millisecond))
	state.leases = append(state.leases, borrowedLease{
		id:        g.Lease,
		holder:    f.holder,
		tokens:    g.Tokens,
		returnAt:  f.sentAt + time.Duration(float64(duration)*returnAfterShare),
		expiresAt: f.sentAt + duration,
	})
}

// observeGrant doubles the backoff of a holder that repeatedly grants less than requested. This bounds the messages of
// a team above its rate: each holder is then asked a few times a second for the tokens refilled since the last request.
func (h *holderState) observeGrant(now time.Duration, asked wire.TokenRequest, g wire.Grant) {
	if g.Tokens >= asked.Tokens {
		delete(h.backoffs, asked.Team)
		return
	}
	backoff := min(max(2*h.backoffs[asked.Team].duration, minBackoff), maxPartialGrantBackoff)
	retry := time.Duration(g.RetryMS) * time.Millisecond
	h.backoffs[asked.Team] = teamBackoff{until: now + min(max(retry, backoff), MaxLeaseDuration), duration: backoff}
}

// HandleLeaseFailure tells the borrower that the request with that ID got no answer. Its settlements are lost, which is
// safe: the holder counts those leases as used when they expire.
func (b *Borrower) HandleLeaseFailure(now time.Duration, id uint64) {
	f := b.inFlight[id]
	if f == nil {
		return
	}
	delete(b.inFlight, id)
	h := b.holders[f.holder]
	h.requestInFlight = false
	h.unresponsiveUntil = now + min(maxBackoff<<h.failures, maxFailureBackoff)
	h.failures = min(h.failures+1, 3)
}

// HandlePause drops all tokens, waiting calls and requests in flight. The caller calls it when the process was paused,
// because leases may have expired and another configuration may be in force since.
func (b *Borrower) HandlePause() {
	for _, state := range b.teams {
		state.leases = nil
		state.waitingCalls = 0
	}
	for id, f := range b.inFlight {
		delete(b.inFlight, id)
		b.holders[f.holder].requestInFlight = false
	}
}
