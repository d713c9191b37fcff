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

// ErrUnusableProfile means that no trace can be generated from a profile and a set; the message says what is missing.
var ErrUnusableProfile = errors.New("no trace can be generated")

// Profile describes the calls and events of a trace to generate.
type Profile struct {
	Deployment string
	Duration   time.Duration
	// CallsPerSecond is the mean rate of the calls of all teams together. It is divided among the teams in proportion
	// to their rates; no team sends more than maxMeanRateShare of its rate.
	CallsPerSecond float64
	// OverLimitTeam sends OverLimitFactor times its rate from OverLimitFrom until OverLimitUntil, counted from the
	// start of the trace. If it is empty, no team does.
	OverLimitTeam                 string
	OverLimitFactor               float64
	OverLimitFrom, OverLimitUntil time.Duration
	// ChainShare is the share of calls that make onward calls. A chain has at most MaxDepth onward calls.
	ChainShare float64
	MaxDepth   int
	Events     []Event
}

// maxMeanRateShare is the largest share of its rate that a team sends on average, so that all teams except
// OverLimitTeam stay within their rate and burst.
const maxMeanRateShare = 0.6

// The largest numbers of attempts of a call.
const (
	idempotentAttempts    = 3
	nonIdempotentAttempts = 2
)

// maxIdentityAnswerBytes bounds the answers to calls with an identity, so that nodes record them completely.
const maxIdentityAnswerBytes = 2000

// generator holds the state of Generate.
type generator struct {
	random       *rand.Rand
	set          *config.Set
	profile      Profile
	publicRoutes []*config.Route
	keysByTeam   map[string][]*config.Key
	calls        []Call
}

// Generate returns a trace for a profile and a configuration set. The same profile, set and seed give the same trace.
func Generate(p Profile, set *config.Set, seed uint64) (*Trace, error) {
	g := &generator{
		random:     rand.New(rand.NewPCG(seed, 0x7472616365)),
		set:        set,
		profile:    p,
		keysByTeam: map[string][]*config.Key{},
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
		g.addTeamCalls(team, i, min(share, maxMeanRateShare*team.RatePerSecond))
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

// prepare collects the public routes and the granted keys.
func (g *generator) prepare() error {
	for i := range g.set.Routes {
		if r := &g.set.Routes[i]; r.Visibility == config.VisibilityPublic && len(r.Methods) > 0 {
			g.publicRoutes = append(g.publicRoutes, r)
		}
	}
	if len(g.publicRoutes) == 0 {
		return fmt.Errorf("%w: the set has no public route with a method; declare one", ErrUnusableProfile)
	}
	for i := range g.set.Keys {
		if k := &g.set.Keys[i]; k.State == config.KeyGranted {
			g.keysByTeam[k.Team] = append(g.keysByTeam[k.Team], k)
		}
	}
	for i := range g.set.Teams {
		if name := g.set.Teams[i].Name; len(g.keysByTeam[name]) == 0 {
			return fmt.Errorf("%w: team %q has no granted key; grant it one", ErrUnusableProfile, name)
		}
	}
	return nil
}

// addTeamCalls generates the calls of one team as a Poisson process. rate is the team's mean rate while it is not over
// its limit.
func (g *generator) addTeamCalls(team *config.Team, number int, rate float64) {
	if rate <= 0 {
		return
	}
	at := time.Duration(0)
	for n := 0; ; n++ {
		currentRate := rate
		if g.isOverLimit(team, at) {
			currentRate = g.profile.OverLimitFactor * team.RatePerSecond
		}
		at += time.Duration(g.random.ExpFloat64() / currentRate * float64(time.Second))
		if at >= g.profile.Duration {
			return
		}
		g.calls = append(g.calls, g.newCall(team, number, n, at))
	}
}

// isOverLimit reports whether the team sends more than its rate at the time.
func (g *generator) isOverLimit(team *config.Team, at time.Duration) bool {
	return team.Name == g.profile.OverLimitTeam && at >= g.profile.OverLimitFrom && at < g.profile.OverLimitUntil
}

// newCall returns the n-th call of a team.
func (g *generator) newCall(team *config.Team, teamNumber, n int, at time.Duration) Call {
	route := g.randomRoute()
	keys := g.keysByTeam[team.Name]
	method := g.randomMethod(route)
	c := Call{
		ID:          fmt.Sprintf("%s-%d", team.Name, n),
		AtUS:        at.Microseconds(),
		Team:        team.Name,
		KeyID:       keys[g.random.IntN(len(keys))].ID,
		Route:       route.Name,
		Method:      method,
		Path:        g.randomPath(route),
		AnswerBytes: 100 + g.random.IntN(4000),
		WorkUS:      g.randomWorkUS(route),
		MaxAttempts: idempotentAttempts,
		EntryNode:   g.randomEntryNode(teamNumber),
	}
	if method != http.MethodGet && method != http.MethodHead {
		c.BodyBytes = 20 + g.random.IntN(max(1, min(2000, route.MaxBodyBytes-20)))
	}
	if !route.Idempotent {
		c.Identity = fmt.Sprintf("%s-%d-%08x", team.Name, n, g.random.Uint32())
		c.MaxAttempts = nonIdempotentAttempts
		c.AnswerBytes = min(c.AnswerBytes, maxIdentityAnswerBytes)
	}
	if g.random.Float64() < g.profile.ChainShare {
		c.Chain = g.randomChain(route.Service)
	}
	return c
}

// randomRoute returns a public route. Interactive routes are the most likely, because they carry most of the calls of
// both deployments.
func (g *generator) randomRoute() *config.Route {
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
	for _, r := range g.publicRoutes {
		total += weight(r)
	}
	pick := g.random.IntN(total)
	for _, r := range g.publicRoutes {
		if pick -= weight(r); pick < 0 {
			return r
		}
	}
	return g.publicRoutes[0]
}

// randomMethod returns a method of the route, not HEAD if possible, because its answers have no body to check.
func (g *generator) randomMethod(r *config.Route) string {
	for range 8 {
		if m := r.Methods[g.random.IntN(len(r.Methods))]; m != http.MethodHead {
			return m
		}
	}
	return r.Methods[0]
}

// randomPath returns a path with the route's prefix.
func (g *generator) randomPath(r *config.Route) string {
	separator := "/"
	if r.PathPrefix[len(r.PathPrefix)-1] == '/' {
		separator = ""
	}
	return fmt.Sprintf("%s%s%d", r.PathPrefix, separator, g.random.IntN(100_000))
}

// randomWorkUS returns the work of a call in microseconds, from a log-normal distribution whose median depends on the
// route's priority.
func (g *generator) randomWorkUS(r *config.Route) int64 {
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

// randomEntryNode returns the entry node of a call. Every second team uses two nodes only, because limits that divide a
// rate equally among all nodes wrongly refuse calls of such teams, and a replay has to show that.
func (g *generator) randomEntryNode(teamNumber int) int {
	if teamNumber%2 == 1 {
		return teamNumber + g.random.IntN(2)
	}
	return g.random.IntN(1 << 16)
}

// randomChain returns the onward calls of a call to a service: each goes to a dependency of the service before it, over
// an idempotent route with the method GET.
func (g *generator) randomChain(service string) []string {
	var onwardCalls []string
	for len(onwardCalls) < g.profile.MaxDepth {
		next := g.onwardRoute(service)
		if next == nil {
			break
		}
		onwardCalls = append(onwardCalls, http.MethodGet+" "+g.randomPath(next))
		service = next.Service
	}
	return onwardCalls
}

// onwardRoute returns an idempotent route with the method GET of a random dependency of the service, or nil.
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
