package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

const (
	// expiryMargin is the part of a lease's life that a borrower gives up, for clocks that run at slightly
	// different speeds.
	expiryMargin = 0.1
	// returnAfter is the part of a lease's life after which unused tokens go back, so that they are not
	// counted as used at expiry.
	returnAfter = 0.75
	// minBackoff and maxBackoff bound how long a holder that had nothing, or did not answer, is left alone.
	minBackoff = 10 * time.Millisecond
	maxBackoff = time.Second
	// maxShortBackoff bounds the doubling for a holder that grants less than was asked.
	maxShortBackoff = 400 * time.Millisecond
	// maxFailureBackoff bounds how long a holder that does not answer is left alone.
	maxFailureBackoff = 8 * time.Second
	// requestTimeout is the time after which a request without an answer is given up.
	requestTimeout = 300 * time.Millisecond
)

// OutgoingLeaseRequest is a request that the caller must carry to the holder beside Holder.
type OutgoingLeaseRequest struct {
	ID      uint64
	Holder  string
	Request wire.LeaseRequest
}

// Borrower spends tokens on behalf of one node and decides when to ask which holder for more.
type Borrower struct {
	upstream   string
	dataCentre string
	plan       *Plan
	teams      map[string]*account
	holders    map[string]*holderState
	inFlight   map[uint64]*inFlight
	nextAsk    uint64
}

type holderState struct {
	busy bool
	// short has an entry for each team of which the holder granted less than was asked the last time.
	short map[string]shortage
	// silentUntil is the time before which a holder that did not answer is not asked again.
	silentUntil time.Duration
	failures    int
	settle      []wire.Settlement
	// urgent is set when a settlement returns unused tokens; spent leases wait for the next request.
	urgent bool
}

// shortage says when a holder that fell short is asked again.
type shortage struct {
	until   time.Duration
	backoff time.Duration
}

type inFlight struct {
	holder string
	sentAt time.Duration
	wants  []wire.TokenRequest
}

// NewBorrower returns a borrower for the node beside that upstream.
func NewBorrower(upstream, dataCentre string, plan *Plan) *Borrower {
	b := &Borrower{upstream: upstream, dataCentre: dataCentre, inFlight: map[uint64]*inFlight{}}
	b.Reconfigure(plan)
	return b
}

// Reconfigure replaces the plan. Tokens at hand stay valid until they expire; they are part of the slices that
// their holders owned when they were leased.
func (b *Borrower) Reconfigure(plan *Plan) {
	old := b.teams
	b.plan = plan
	b.teams = make(map[string]*account, len(plan.set.Teams))
	if b.holders == nil {
		b.holders = map[string]*holderState{}
	}
	for i := range plan.set.Teams {
		team := &plan.set.Teams[i]
		a := old[team.Name]
		if a == nil {
			a = &account{horizon: minHorizon, backoff: minBackoff}
		}
		a.preference = b.preference(team.Name, plan.Holders(team))
		b.teams[team.Name] = a
	}
}

// preference puts holders of the own data centre first. The nodes of a data centre are dealt out to its holders in
// turn: a random choice gives some holders twice the nodes of others, which then find them empty.
func (b *Borrower) preference(team string, holders []string) []string {
	var near, far []string
	for _, name := range holders {
		if u := b.plan.set.Upstream(name); u != nil && u.DataCentre == b.dataCentre {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	place := slices.Index(ranked(team, b.plan.declared[b.dataCentre]), b.upstream)
	return append(rotate(near, place), rotate(far, place)...)
}

func rotate(names []string, by int) []string {
	if len(names) == 0 || by < 0 {
		return names
	}
	by %= len(names)
	return append(slices.Clone(names[by:]), names[:by]...)
}

// TakeToken spends one token of the team if one is at hand. When it reports false the call waits for the next grant
// or is refused; Exhausted tells which.
func (b *Borrower) TakeToken(now time.Duration, team string) bool {
	a := b.teams[team]
	if a == nil {
		return false
	}
	a.count(now)
	if a.spend(now) {
		return true
	}
	a.waiting++
	return false
}

// TakeTokenForWaitingCall spends a token for a call that Take has already counted.
func (b *Borrower) TakeTokenForWaitingCall(now time.Duration, team string) bool {
	a := b.teams[team]
	if a == nil || !a.spend(now) {
		return false
	}
	a.waiting = max(a.waiting-1, 0)
	return true
}

// RemoveWaitingCall removes a call that waited and was refused from the demand.
func (b *Borrower) RemoveWaitingCall(team string) {
	if a := b.teams[team]; a != nil {
		a.waiting = max(a.waiting-1, 0)
	}
}

// NeedsTokens reports whether the stock of the team is below a quarter of its target, so that Wants has something to send.
func (b *Borrower) NeedsTokens(now time.Duration, team string) bool {
	a := b.teams[team]
	return a != nil && a.needsMore(now, a.shortfall(now))
}

// Exhausted reports whether no request for the team is under way and no holder may be asked again before until: a
// call that waits till then would wait in vain.
func (b *Borrower) Exhausted(team string, until time.Duration) bool {
	a := b.teams[team]
	if a == nil {
		return true
	}
	for _, f := range b.inFlight {
		for _, w := range f.wants {
			if w.Team == team {
				return false
			}
		}
	}
	return b.nextHolder(until, team, a) == ""
}

// HasWaitingCalls reports whether calls of any team wait for a token.
func (b *Borrower) HasWaitingCalls() bool {
	for _, a := range b.teams {
		if a.waiting > 0 {
			return true
		}
	}
	return false
}

// DueLeaseRequests returns the requests to send now. The caller sends each, then calls Granted or Failed with its ID.
func (b *Borrower) DueLeaseRequests(now time.Duration) []OutgoingLeaseRequest {
	b.collect(now)
	wants, needed := b.gather(now)
	var asks []OutgoingLeaseRequest
	for name, h := range b.holders {
		if !h.busy && (needed[name] || h.urgent) {
			asks = append(asks, b.ask(now, name, h, wants[name]))
		}
	}
	slices.SortFunc(asks, func(x, y OutgoingLeaseRequest) int { return strings.Compare(x.Holder, y.Holder) })
	return asks
}

// gather lists, for each holder, the teams whose stock is below its target there. A holder is needed when one of
// them has calls waiting or less than a quarter of its target; the others then go with the same request.
func (b *Borrower) gather(now time.Duration) (wants map[string][]wire.TokenRequest, needed map[string]bool) {
	wants, needed = map[string][]wire.TokenRequest{}, map[string]bool{}
	for name, a := range b.teams {
		n := a.shortfall(now)
		if n <= 0 {
			continue
		}
		holder := b.nextHolder(now, name, a)
		if holder == "" {
			continue
		}
		wants[holder] = append(wants[holder], wire.TokenRequest{Team: name, Tokens: n, LifetimeMS: a.lifeMS(now)})
		if a.needsMore(now, n) {
			needed[holder] = true
		}
	}
	return wants, needed
}

func (b *Borrower) ask(now time.Duration, holder string, h *holderState, wants []wire.TokenRequest) OutgoingLeaseRequest {
	slices.SortFunc(wants, func(x, y wire.TokenRequest) int { return strings.Compare(x.Team, y.Team) })
	b.nextAsk++
	req := wire.LeaseRequest{TokenRequests: wants, Settlements: h.settle}
	h.settle = nil
	h.urgent = false
	h.busy = true
	b.inFlight[b.nextAsk] = &inFlight{holder: holder, sentAt: now, wants: wants}
	return OutgoingLeaseRequest{ID: b.nextAsk, Holder: holder, Request: req}
}

// nextHolder returns the first holder in order of preference that may have tokens, or "".
func (b *Borrower) nextHolder(now time.Duration, team string, a *account) string {
	if now < a.quietUntil {
		return ""
	}
	for _, name := range a.preference {
		h := b.holders[name]
		if h == nil {
			h = &holderState{short: map[string]shortage{}}
			b.holders[name] = h
		}
		if now >= h.short[team].until && now >= h.silentUntil {
			return name
		}
	}
	return ""
}

// collect moves finished leases and those due for return into the next settlement to their holder, and gives up
// requests without an answer.
func (b *Borrower) collect(now time.Duration) {
	for _, a := range b.teams {
		kept := a.leases[:0]
		for _, l := range a.leases {
			switch {
			case now >= l.expires:
			case l.used == l.tokens || now >= l.returnAt:
				b.settle(l)
			default:
				kept = append(kept, l)
			}
		}
		a.leases = kept
	}
	for id, f := range b.inFlight {
		if now-f.sentAt > requestTimeout {
			b.HandleLeaseFailure(now, id)
		}
	}
}

// settle queues the settlement of a lease for the next request to its holder.
func (b *Borrower) settle(l borrowed) {
	h := b.holders[l.holder]
	if h == nil {
		return
	}
	h.settle = append(h.settle, wire.Settlement{Lease: l.id, Used: l.used})
	h.urgent = h.urgent || l.used < l.tokens
}

// HandleLeaseResponse takes the answer to an ask. An answer to a request that was given up is ignored: its tokens are
// lost until the holder's lease expires.
func (b *Borrower) HandleLeaseResponse(now time.Duration, id uint64, resp wire.LeaseResponse) {
	f := b.inFlight[id]
	if f == nil {
		return
	}
	delete(b.inFlight, id)
	h := b.holders[f.holder]
	h.busy = false
	h.failures = 0
	for i, g := range resp.Grants {
		if i < len(f.wants) {
			b.accept(now, f, h, f.wants[i], g)
		}
	}
}

func (b *Borrower) accept(now time.Duration, f *inFlight, h *holderState, want wire.TokenRequest, g wire.Grant) {
	h.observe(now, want, g)
	a := b.teams[want.Team]
	if a == nil {
		return
	}
	a.adapt(now, g.Tokens, want.Tokens)
	if g.Tokens <= 0 {
		return
	}
	// Counted from before the request was sent, so that the borrower's lease ends before the holder's.
	life := time.Duration(float64(want.LifetimeMS) * (1 - expiryMargin) * float64(time.Millisecond))
	a.leases = append(a.leases, borrowed{
		id:       g.Lease,
		holder:   f.holder,
		tokens:   g.Tokens,
		returnAt: f.sentAt + time.Duration(float64(life)*returnAfter),
		expires:  f.sentAt + life,
	})
}

// observe doubles the time between requests to a holder that keeps falling short. It bounds the messages of a
// team above its rate: each holder is then asked a few times a second, for whatever has come in.
func (h *holderState) observe(now time.Duration, want wire.TokenRequest, g wire.Grant) {
	if g.Tokens >= want.Tokens {
		delete(h.short, want.Team)
		return
	}
	backoff := min(max(2*h.short[want.Team].backoff, minBackoff), maxShortBackoff)
	retry := time.Duration(g.RetryMS) * time.Millisecond
	h.short[want.Team] = shortage{until: now + min(max(retry, backoff), MaxLeaseDuration), backoff: backoff}
}

// HandleLeaseFailure tells the borrower that a request got no answer. Its settlements are lost, which is safe: the holder
// counts those leases as used.
func (b *Borrower) HandleLeaseFailure(now time.Duration, id uint64) {
	f := b.inFlight[id]
	if f == nil {
		return
	}
	delete(b.inFlight, id)
	h := b.holders[f.holder]
	h.busy = false
	h.silentUntil = now + min(maxBackoff<<h.failures, maxFailureBackoff)
	h.failures = min(h.failures+1, 3)
}

// HandlePause drops all tokens and requests: the process did not run for a while, and another view of the world may
// be in force.
func (b *Borrower) HandlePause() {
	for _, a := range b.teams {
		a.leases = nil
		a.waiting = 0
	}
	for id, f := range b.inFlight {
		delete(b.inFlight, id)
		b.holders[f.holder].busy = false
	}
}
