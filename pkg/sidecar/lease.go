package sidecar

import (
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/decision/allowance"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	leasePath = "/v1/lease"
	// tokenWait is the longest time that a request waits for its team's allowance; it leaves time for the request
	// itself within the shortest latency objectives.
	tokenWait = 200 * time.Millisecond
	// leaseTimeout bounds one question to a holder. A VM whose share of a processor is used up stands still for up to
	// a tenth of a second.
	leaseTimeout = 250 * time.Millisecond
	// holderPause is the time between two probes of a holder that did not answer.
	holderPause = 300 * time.Millisecond
	// relayTimeout bounds the question of a substitute to the holder; it leaves the sender time for the answer.
	relayTimeout = 150 * time.Millisecond
)

// errNoHolder means that the nodes disagree on the holder of a team; their lists agree again after the next change.
var errNoHolder = eris.New("no node holds the team's limit; using the node's own share until the lists agree")

// leaseRequest asks for tokens of a team.
type leaseRequest struct {
	Team string `json:"t"`
	Want int    `json:"w"`
	// Connected says that the sender is in contact with the platform's store.
	Connected bool `json:"i,omitempty"`
	// Refused are the VMs before the receiver in the order of holders that refused the sender's connection.
	Refused []string `json:"f,omitempty"`
	// Silent is the holder that does not answer the sender; the receiver stands in for it. Limited says that the holder
	// refused tokens of the team a few seconds ago.
	Silent  string `json:"s,omitempty"`
	Limited bool   `json:"l,omitempty"`
}

// leaseAnswer grants tokens; with none, RetryMS is when to ask again.
type leaseAnswer struct {
	Granted int   `json:"g"`
	RetryMS int64 `json:"r,omitempty"`
	// Substitute is set when the granting node stands in for the holder.
	Substitute bool `json:"u,omitempty"`
	// Holder is set instead when the sender's list is old and another VM holds the team now.
	Holder string `json:"h,omitempty"`
}

// leases keeps the teams within their limits: as the holder of some and as a borrower of the others.
type leases struct {
	o    *Options
	pool *peer.Pool
	own  string
	port string

	contact allowance.StoreContactPolicy

	// holding guards what this node holds as a holder; mu guards what it knows as a borrower.
	holding  sync.Mutex
	buckets  *allowance.Buckets
	standing *allowance.HolderConfirmation

	mu    sync.Mutex
	teams map[string]*borrowed
	// silent are the holders that do not answer, by VM.
	silent map[string]*silence
}

// silence is what is known of a holder that does not answer.
type silence struct {
	since time.Duration
	// probeAt is when the next probe is due, probing is true during one.
	probeAt time.Duration
	probing bool
}

type borrowed struct {
	allowance.Borrower
	waiting []chan bool
	asking  bool
}

func newLeases(o *Options, pool *peer.Pool, ownIP, port string) *leases {
	contact := allowance.StoreContactPolicy{Heartbeat: o.Settings.HeartbeatInterval}
	return &leases{
		o: o, pool: pool, own: ownIP, port: port, contact: contact, buckets: allowance.NewBuckets(),
		standing: allowance.NewHolderConfirmation(contact),
		teams:    map[string]*borrowed{}, silent: map[string]*silence{},
	}
}

// hold takes a new list of VMs or teams.
func (l *leases) hold(v *mesh.View) {
	if v.Config == nil {
		return
	}
	var teams []string
	for _, team := range v.Config.Teams {
		if team.Rate > 0 && allowance.Holder(team.Name, v.VMs) == l.own {
			teams = append(teams, team.Name)
		}
	}
	l.holding.Lock()
	l.buckets.SetHeldTeams(l.o.Clock.Now(), teams)
	l.holding.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for vm := range l.silent {
		if !slices.Contains(v.VMs, vm) {
			delete(l.silent, vm)
		}
	}
}

// admit reports whether a request of the team is within its limit; it waits a short time for tokens.
func (l *leases) admit(team *mesh.Team) bool {
	if team.Rate <= 0 {
		return true
	}
	limit := allowance.Limit{Rate: team.Rate, Burst: team.Burst}
	now := l.o.Clock.Now()
	l.mu.Lock()
	b := l.teams[team.Name]
	if b == nil {
		b = &borrowed{}
		l.teams[team.Name] = b
	}
	b.CountRequest(now)
	if len(b.waiting) == 0 && b.TakeToken(now) {
		l.mu.Unlock()
		return true
	}
	if b.HolderEmptyFor(now) > tokenWait || b.Exhausted(now, len(b.waiting), tokenWait) {
		l.mu.Unlock()
		return false
	}
	result := make(chan bool, 1)
	b.waiting = append(b.waiting, result)
	if !b.asking {
		b.asking = true
		go l.borrow(team.Name, limit, b)
	}
	l.mu.Unlock()
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	select {
	case ok := <-result:
		return ok
	case <-timer.C:
		return l.giveUp(b, result)
	}
}

func (l *leases) giveUp(b *borrowed, result chan bool) bool {
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

// borrow asks the holder until no request of the team waits.
func (l *leases) borrow(team string, limit allowance.Limit, b *borrowed) {
	for {
		now := l.o.Clock.Now()
		l.mu.Lock()
		if len(b.waiting) == 0 {
			b.asking = false
			l.mu.Unlock()
			return
		}
		want, empty, limited := b.TokensToBorrow(now, len(b.waiting)), b.HolderEmptyFor(now), b.RecentlyLimited(now)
		l.mu.Unlock()
		if want == 0 {
			time.Sleep(empty)
			continue
		}
		got, err := l.ask(now, limit, leaseRequest{
			Team: team, Want: want, Connected: l.contact.Connected(l.o.StoreAge()), Limited: limited,
		})
		retry := time.Duration(got.RetryMS) * time.Millisecond
		l.mu.Lock()
		if err != nil {
			l.serveSeparately(limit, b)
		} else {
			b.HandleLeaseAnswer(now, got.Granted, retry, got.Substitute)
			l.serve(b)
		}
		l.mu.Unlock()
	}
}

// serve hands tokens to the waiting requests, the oldest first.
func (l *leases) serve(b *borrowed) {
	now := l.o.Clock.Now()
	for len(b.waiting) > 0 && b.TakeToken(now) {
		b.waiting[0] <- true
		b.waiting = b.waiting[1:]
	}
}

// serveSeparately decides on all waiting requests by the node's own share.
func (l *leases) serveSeparately(limit allowance.Limit, b *borrowed) {
	now, nodes, isolated := l.o.Clock.Now(), len(l.o.View().VMs), !l.contact.Connected(l.o.StoreAge())
	for _, w := range b.waiting {
		w <- b.TakeFromLocalShare(now, limit, nodes, isolated)
	}
	b.waiting = nil
}

// ask asks the holder of a team for tokens. A VM that refuses the connection runs no node and grants nothing, so the
// next holder in the order takes its place; one that does not answer may still grant to others, and the next one stands
// in for it with less.
func (l *leases) ask(now time.Duration, limit allowance.Limit, q leaseRequest) (leaseAnswer, error) {
	for _, holder := range allowance.RankedHolders(q.Team, l.o.View().VMs) {
		got, err := l.askHolder(now, holder, limit, q)
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			q.Refused = append(q.Refused, holder)
		case err != nil && q.Silent == "":
			q.Silent = holder
		case err == nil && got.Holder != "":
			return l.askReferred(now, got.Holder, limit, q)
		default:
			return got, err
		}
	}
	return leaseAnswer{}, peer.ErrNodeUnresponsive
}

// askReferred asks the holder that a node with a newer list named.
func (l *leases) askReferred(
	now time.Duration, holder string, limit allowance.Limit, q leaseRequest,
) (leaseAnswer, error) {
	q.Silent = ""
	got, err := l.askHolder(now, holder, limit, q)
	if err == nil && got.Holder != "" {
		err = errNoHolder
	}
	return got, err
}

// askHolder asks one node, which may be this one.
func (l *leases) askHolder(
	now time.Duration, holder string, limit allowance.Limit, q leaseRequest,
) (leaseAnswer, error) {
	if holder == l.own {
		return l.grant(now, limit, q), nil
	}
	return l.call(now, holder, q, leaseTimeout)
}

// call asks another node. One that is known to be silent is not waited for.
func (l *leases) call(now time.Duration, holder string, q leaseRequest, timeout time.Duration) (leaseAnswer, error) {
	if l.isSilent(now, holder) {
		return leaseAnswer{}, peer.ErrNodeUnresponsive
	}
	var got leaseAnswer
	err := exchange(l.pool, holder+l.port, leasePath, q, &got, timeout)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		l.silence(now, q.Team, holder, err)
	}
	return got, err
}

// silence notes a holder that did not answer.
func (l *leases) silence(now time.Duration, team, holder string, err error) {
	l.mu.Lock()
	known := l.silent[holder] != nil
	if !known {
		l.silent[holder] = &silence{since: now, probeAt: now + holderPause}
	}
	l.mu.Unlock()
	if !known {
		l.o.Log.WithError(err).WithField("team", team).WithField("vm", holder).
			Warn("the holder of a team's limit did not answer; asking a substitute")
	}
}

// isSilent reports whether a holder does not answer. It is probed in the background, so that no request waits for it.
func (l *leases) isSilent(now time.Duration, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.silent[holder]
	if s == nil {
		return false
	}
	if !s.probing && now >= s.probeAt {
		s.probing = true
		go l.probe(holder, s)
	}
	return true
}

// probe asks a holder for no tokens. One that answers, or that runs no node, is silent no more.
func (l *leases) probe(holder string, s *silence) {
	var got leaseAnswer
	q := leaseRequest{Connected: l.contact.Connected(l.o.StoreAge())}
	err := exchange(l.pool, holder+l.port, leasePath, q, &got, leaseTimeout)
	l.mu.Lock()
	defer l.mu.Unlock()
	s.probing, s.probeAt = false, l.o.Clock.Now()+holderPause
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		delete(l.silent, holder)
		l.o.Log.WithField("vm", holder).WithField("silent_ms", (l.o.Clock.Now() - s.since).Milliseconds()).
			Info("the holder of teams' limits responds again")
	}
}

// grant gives tokens from a bucket that this node holds.
func (l *leases) grant(now time.Duration, limit allowance.Limit, q leaseRequest) leaseAnswer {
	if q.Silent != "" {
		return l.standIn(now, limit, q)
	}
	l.holding.Lock()
	defer l.holding.Unlock()
	if !l.standing.MayGrantFullRate(now, l.o.StoreAge(), l.own, l.o.View().VMs) {
		limit = limit.Reduced()
	}
	granted, retry := l.buckets.Lease(now, q.Team, limit, q.Want)
	return leaseAnswer{Granted: granted, RetryMS: retry.Milliseconds()}
}

// standIn answers for a holder that does not answer the sender: with the holder's own answer if this node reaches it, and
// otherwise with a part of the limit.
func (l *leases) standIn(now time.Duration, limit allowance.Limit, q leaseRequest) leaseAnswer {
	holder := q.Silent
	q.Silent = ""
	got, err := l.call(now, holder, q, relayTimeout)
	if err == nil && got.Holder == "" {
		return got
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return l.grant(now, limit, q)
	}
	limit = l.contact.SubstituteLimit(limit, now-l.silentSince(now, holder), q.Limited)
	l.holding.Lock()
	defer l.holding.Unlock()
	granted, retry := l.buckets.Lease(now, q.Team, limit, q.Want)
	return leaseAnswer{Granted: granted, RetryMS: retry.Milliseconds(), Substitute: true}
}

// silentSince returns since when this node has found a holder silent.
func (l *leases) silentSince(now time.Duration, holder string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.silent[holder]; s != nil {
		return s.since
	}
	return now
}

// serveHTTP answers another node.
func (l *leases) serveHTTP(ctx *fasthttp.RequestCtx) {
	var q leaseRequest
	if !readBody(ctx, &q) {
		return
	}
	view := l.o.View()
	if view.Config == nil {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	l.holding.Lock()
	l.standing.RecordRequest(l.o.Clock.Now(), ctx.RemoteIP().String(), q.Connected)
	l.holding.Unlock()
	var got leaseAnswer
	if team := view.Config.TeamByName(q.Team); team != nil {
		got.Holder = l.contact.Referral(
			allowance.TokenRequest{Team: team.Name, Connected: q.Connected, RefusedBy: append(q.Refused, q.Silent)},
			l.own, view.VMs, l.o.StoreAge(),
		)
		if got.Holder == "" {
			got = l.grant(l.o.Clock.Now(), allowance.Limit{Rate: team.Rate, Burst: team.Burst}, q)
		}
	}
	writeBody(ctx, got)
}
