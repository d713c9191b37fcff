package trace

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sort"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
)

// ErrUnusableProfile means that no trace can be generated from the profile and the set.
var ErrUnusableProfile = errors.New("no trace can be generated")

// Profile says what a generated trace holds.
type Profile struct {
	Deployment string
	Duration   time.Duration
	// CallsPerSecond is the mean over all teams. Each team sends in proportion to its rate, and at most
	// steadyShare of it.
	CallsPerSecond float64
	// OverLimitTeam sends OverFactor times its rate between OverFrom and OverUntil.
	OverLimitTeam                 string
	OverLimitFactor               float64
	OverLimitFrom, OverLimitUntil time.Duration
	// ChainShare is the share of calls with onward calls, at most MaxDepth deep.
	ChainShare float64
	MaxDepth   int
	Events     []Event
}

// steadyShare is the largest share of its rate that a team sends on average, so that it stays within rate and
// burst unless it is the team that sends too much.
const steadyShare = 0.6

// Attempts that callers make at most.
const (
	idempotentAttempts    = 3
	nonIdempotentAttempts = 2
)

// longestIdentityAnswer keeps the answers of calls with an identity within what a node records.
const longestIdentityAnswer = 2000

type generator struct {
	random  *rand.Rand
	set     *config.Set
	profile Profile
	public  []*config.Route
	keys    map[string][]*config.Key
	calls   []Call
}

// Generate makes the same trace for the same profile, set and seed.
func Generate(p Profile, set *config.Set, seed uint64) (*Trace, error) {
	g := &generator{
		random:  rand.New(rand.NewPCG(seed, 0x7472616365)),
		set:     set,
		profile: p,
		keys:    map[string][]*config.Key{},
	}
	if err := g.prepare(); err != nil {
		return nil, err
	}
	total := 0.0
	for i := range set.Teams {
		total += set.Teams[i].RatePerSecond
	}
	for i := range set.Teams {
		team := &set.Teams[i]
		share := p.CallsPerSecond * team.RatePerSecond / total
		g.team(team, i, min(share, steadyShare*team.RatePerSecond))
	}
	sort.SliceStable(g.calls, func(i, j int) bool { return g.calls[i].AtUS < g.calls[j].AtUS })
	events := append([]Event{}, p.Events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].AtMS < events[j].AtMS })
	return &Trace{
		Format:     FormatVersion,
		Deployment: p.Deployment,
		Seed:       seed,
		DurationMS: p.Duration.Milliseconds(),
		Calls:      g.calls,
		Events:     events,
	}, nil
}

func (g *generator) prepare() error {
	for i := range g.set.Routes {
		if r := &g.set.Routes[i]; r.Visibility == config.VisibilityPublic && len(r.Methods) > 0 {
			g.public = append(g.public, r)
		}
	}
	if len(g.public) == 0 {
		return fmt.Errorf("%w: declare a public route", ErrUnusableProfile)
	}
	for i := range g.set.Keys {
		if k := &g.set.Keys[i]; k.State == config.KeyGranted {
			g.keys[k.Team] = append(g.keys[k.Team], k)
		}
	}
	for i := range g.set.Teams {
		if name := g.set.Teams[i].Name; len(g.keys[name]) == 0 {
			return fmt.Errorf("%w: grant a key to team %q", ErrUnusableProfile, name)
		}
	}
	return nil
}

// team generates the calls of one team as a Poisson process with its present rate.
func (g *generator) team(team *config.Team, number int, rate float64) {
	if rate <= 0 {
		return
	}
	at := time.Duration(0)
	for n := 0; ; n++ {
		present := rate
		if g.over(team, at) {
			present = g.profile.OverLimitFactor * team.RatePerSecond
		}
		at += time.Duration(g.random.ExpFloat64() / present * float64(time.Second))
		if at >= g.profile.Duration {
			return
		}
		g.calls = append(g.calls, g.call(team, number, n, at))
	}
}

func (g *generator) over(team *config.Team, at time.Duration) bool {
	return team.Name == g.profile.OverLimitTeam && at >= g.profile.OverLimitFrom && at < g.profile.OverLimitUntil
}

func (g *generator) call(team *config.Team, teamNumber, n int, at time.Duration) Call {
	route := g.route()
	keys := g.keys[team.Name]
	method := g.method(route)
	c := Call{
		ID:          fmt.Sprintf("%s-%d", team.Name, n),
		AtUS:        at.Microseconds(),
		Team:        team.Name,
		KeyID:       keys[g.random.IntN(len(keys))].ID,
		Route:       route.Name,
		Method:      method,
		Path:        g.path(route),
		AnswerBytes: 100 + g.random.IntN(4000),
		WorkUS:      g.work(route),
		MaxAttempts: idempotentAttempts,
		EntryNode:   g.entry(teamNumber),
	}
	if method != http.MethodGet && method != http.MethodHead {
		c.BodyBytes = 20 + g.random.IntN(max(1, min(2000, route.MaxBodyBytes-20)))
	}
	if !route.Idempotent {
		c.Identity = fmt.Sprintf("%s-%d-%08x", team.Name, n, g.random.Uint32())
		c.MaxAttempts = nonIdempotentAttempts
		c.AnswerBytes = min(c.AnswerBytes, longestIdentityAnswer)
	}
	if g.random.Float64() < g.profile.ChainShare {
		c.Chain = g.chain(route.Service)
	}
	return c
}

// route prefers interactive routes, which carry most of the calls of both deployments.
func (g *generator) route() *config.Route {
	weight := func(r *config.Route) int {
		switch r.Priority {
		case config.PriorityInteractive:
			return 6
		case config.PriorityBackground:
			return 1
		case config.PriorityNormal:
		}
		return 3
	}
	total := 0
	for _, r := range g.public {
		total += weight(r)
	}
	pick := g.random.IntN(total)
	for _, r := range g.public {
		if pick -= weight(r); pick < 0 {
			return r
		}
	}
	return g.public[0]
}

// method avoids HEAD, whose answers have no body to check.
func (g *generator) method(r *config.Route) string {
	for range 8 {
		if m := r.Methods[g.random.IntN(len(r.Methods))]; m != http.MethodHead {
			return m
		}
	}
	return r.Methods[0]
}

func (g *generator) path(r *config.Route) string {
	separator := "/"
	if r.PathPrefix[len(r.PathPrefix)-1] == '/' {
		separator = ""
	}
	return fmt.Sprintf("%s%s%d", r.PathPrefix, separator, g.random.IntN(100_000))
}

// work is log-normal around a median that depends on the route's priority.
func (g *generator) work(r *config.Route) int64 {
	median := 8000.0
	switch r.Priority {
	case config.PriorityInteractive:
		median = 4000
	case config.PriorityBackground:
		median = 15000
	case config.PriorityNormal:
	}
	return int64(min(median*math.Exp(0.4*g.random.NormFloat64()), 8*median))
}

// entry lets every second team use two nodes only: limits that share a rate equally among the nodes refuse
// such teams wrongly.
func (g *generator) entry(teamNumber int) int {
	if teamNumber%2 == 1 {
		return teamNumber + g.random.IntN(2)
	}
	return g.random.IntN(1 << 16)
}

// chain follows the services' dependencies through idempotent GET routes.
func (g *generator) chain(service string) []string {
	var hops []string
	for len(hops) < g.profile.MaxDepth {
		next := g.onwardRoute(service)
		if next == nil {
			break
		}
		hops = append(hops, http.MethodGet+" "+g.path(next))
		service = next.Service
	}
	return hops
}

func (g *generator) onwardRoute(service string) *config.Route {
	s := g.set.Service(service)
	if s == nil || len(s.DependsOn) == 0 {
		return nil
	}
	target := s.DependsOn[g.random.IntN(len(s.DependsOn))]
	for i := range g.set.Routes {
		r := &g.set.Routes[i]
		if r.Service != target || !r.Idempotent {
			continue
		}
		for _, m := range r.Methods {
			if m == http.MethodGet {
				return r
			}
		}
	}
	return nil
}
