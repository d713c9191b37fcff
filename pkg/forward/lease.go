package forward

import (
	"errors"
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
	// holderPause is how long a holder that did not answer is not asked.
	holderPause = 300 * time.Millisecond
)

// errNoHolder means that the nodes disagree on the holder of a team; their lists agree again after the next change.
var errNoHolder = eris.New("no node holds the team's limit; using the node's own share until the lists agree")

// leaseRequest asks for tokens of a team.
type leaseRequest struct {
	Team string `json:"t"`
	Want int    `json:"w"`
	// InTouch says that the sender is in contact with the platform's store.
	InTouch bool `json:"i,omitempty"`
	// Refused are the VMs before the receiver in the order of holders that refused the sender's connection.
	Refused []string `json:"f,omitempty"`
}

// leaseAnswer grants tokens; with none, RetryMS is when to ask again.
type leaseAnswer struct {
	Granted int   `json:"g"`
	RetryMS int64 `json:"r,omitempty"`
	// Holder is set instead when the sender's list is old and another VM holds the team now.
	Holder string `json:"h,omitempty"`
}

// leases keeps the teams within their limits: as the holder of some and as a borrower of the others.
type leases struct {
	o    *Options
	pool *peer.Pool
	own  string
	port string

	contact allowance.Contact

	holding  sync.Mutex
	buckets  *allowance.Buckets
	standing *allowance.Standing

	mu    sync.Mutex
	teams map[string]*borrowed
	// silentUntil is when a holder that did not answer is asked again.
	silentUntil map[string]time.Duration
}

type borrowed struct {
	allowance.Borrower
	waiting []chan bool
	asking  bool
}

func newLeases(o *Options, pool *peer.Pool, ownIP, port string) *leases {
	contact := allowance.Contact{Heartbeat: o.Settings.Heartbeat}
	return &leases{
		o: o, pool: pool, own: ownIP, port: port, contact: contact, buckets: allowance.NewBuckets(),
		standing: allowance.NewStanding(contact),
		teams:    map[string]*borrowed{}, silentUntil: map[string]time.Duration{},
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
	defer l.holding.Unlock()
	l.buckets.Hold(l.o.Clock.Now(), teams)
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
	b.Arrived(now)
	if len(b.waiting) == 0 && b.Take(now) {
		l.mu.Unlock()
		return true
	}
	if b.EmptyFor(now) > tokenWait {
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
		want, empty := b.Wants(now, len(b.waiting)), b.EmptyFor(now)
		l.mu.Unlock()
		if want == 0 {
			time.Sleep(empty)
			continue
		}
		got, err := l.ask(now, team, limit, want)
		l.mu.Lock()
		if err != nil {
			l.serveSeparately(limit, b)
		} else {
			b.Granted(now, got.Granted, time.Duration(got.RetryMS)*time.Millisecond)
			l.serve(b)
		}
		l.mu.Unlock()
	}
}

// serve hands tokens to the waiting requests, the oldest first.
func (l *leases) serve(b *borrowed) {
	now := l.o.Clock.Now()
	for len(b.waiting) > 0 && b.Take(now) {
		b.waiting[0] <- true
		b.waiting = b.waiting[1:]
	}
}

// serveSeparately decides on all waiting requests by the node's own share.
func (l *leases) serveSeparately(limit allowance.Limit, b *borrowed) {
	now, nodes, stranded := l.o.Clock.Now(), len(l.o.View().VMs), !l.contact.InTouch(l.o.StoreAge())
	for _, w := range b.waiting {
		w <- b.TakeSeparately(now, limit, nodes, stranded)
	}
	b.waiting = nil
}

// ask asks the holder of a team for tokens. A VM that refuses the connection runs no node and grants nothing, so the
// next holder in the order takes its place; one that does not answer may still grant to others.
func (l *leases) ask(now time.Duration, team string, limit allowance.Limit, want int) (leaseAnswer, error) {
	q := leaseRequest{Team: team, Want: want, InTouch: l.contact.InTouch(l.o.StoreAge())}
	for _, holder := range allowance.Holders(team, l.o.View().VMs) {
		got, err := l.askHolder(now, holder, limit, q)
		if errors.Is(err, syscall.ECONNREFUSED) {
			q.Refused = append(q.Refused, holder)
			continue
		}
		if err == nil && got.Holder != "" {
			return l.askReferred(now, got.Holder, limit, q)
		}
		return got, err
	}
	return leaseAnswer{}, peer.ErrUnresponsive
}

// askReferred asks the holder that a node with a newer list named.
func (l *leases) askReferred(
	now time.Duration, holder string, limit allowance.Limit, q leaseRequest,
) (leaseAnswer, error) {
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
		return l.grant(now, q.Team, limit, q.Want), nil
	}
	l.mu.Lock()
	silent := now < l.silentUntil[holder]
	l.mu.Unlock()
	if silent {
		return leaseAnswer{}, peer.ErrUnresponsive
	}
	var got leaseAnswer
	err := exchange(l.pool, holder+l.port, leasePath, q, &got, leaseTimeout)
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		l.silence(now, q.Team, holder, err)
	}
	return got, err
}

// silence pauses the questions to a holder that did not answer.
func (l *leases) silence(now time.Duration, team, holder string, err error) {
	l.mu.Lock()
	l.silentUntil[holder] = now + holderPause
	l.mu.Unlock()
	l.o.Log.WithError(err).WithField("team", team).WithField("vm", holder).
		Warn("the holder of a team's limit did not answer; using the node's own share")
}

// grant gives tokens from a bucket that this node holds.
func (l *leases) grant(now time.Duration, team string, limit allowance.Limit, want int) leaseAnswer {
	l.holding.Lock()
	defer l.holding.Unlock()
	if !l.standing.Whole(now, l.o.StoreAge(), l.own, l.o.View().VMs) {
		limit = limit.Reduced()
	}
	granted, retry := l.buckets.Lease(now, team, limit, want)
	return leaseAnswer{Granted: granted, RetryMS: retry.Milliseconds()}
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
	l.standing.Asked(l.o.Clock.Now(), ctx.RemoteIP().String(), q.InTouch)
	l.holding.Unlock()
	var got leaseAnswer
	if team := view.Config.Team(q.Team); team != nil {
		got.Holder = l.contact.Referral(
			allowance.Asked{Team: team.Name, InTouch: q.InTouch, Refused: q.Refused}, l.own, view.VMs, l.o.StoreAge(),
		)
		if got.Holder == "" {
			got = l.grant(l.o.Clock.Now(), team.Name, allowance.Limit{Rate: team.Rate, Burst: team.Burst}, q.Want)
		}
	}
	writeBody(ctx, got)
}
