// Package mesh holds what a sidecar knows of its mesh: the operators' configuration and the registered upstreams.
package mesh

import (
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of a configuration. None of it is then used; the previous one stays in force.
var (
	ErrUnknownService = eris.New("a route leads to a service that the configuration does not declare; declare the service")
	ErrNoDestination  = eris.New("a route has no service with a positive weight; give it one")
	ErrSharedKey      = eris.New("two teams hold the same key; give each team its own")
	ErrInvalidRoute   = eris.New("a route needs a prefix with slashes at both ends, a timeout and at least one attempt; complete it")
)

// Config is one version of the operators' configuration. It is immutable once NewConfig has returned it.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Teams    []*Team
	Routes   []*Route

	byHost map[string][]*Route
	byKey  map[string]*Team
	byName map[string]*Team
}

// Service is a group of upstreams that run the same program.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections bounds the connections to one upstream.
	MaxConnections int
	// ColdStartDuration is how long an upstream stays cold after its start.
	ColdStartDuration time.Duration
	// ColdRequestsPerSecond is the rate of requests that a cold upstream bears.
	ColdRequestsPerSecond float64
}

// Route leads requests of a host and a path prefix to a service.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent allows a request to run more than once.
	Idempotent bool
	// Timeout is the longest time that a caller waits for its final answer.
	Timeout time.Duration
	// Objective is the latency objective, counted from the caller's first attempt.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Destinations share the requests in the proportion of their weights.
	Destinations []Destination
	// MaxAttempts is the number of upstreams to which one request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// Destination is one of the services of a route.
type Destination struct {
	Service string
	Weight  float64
}

// Team is a customer with its keys and its limit over all VMs together.
type Team struct {
	Name string
	Keys []string
	// Priority takes the place of the route's priority when HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate is in requests a second, Burst in requests; a Rate of 0 sets no limit.
	Rate  float64
	Burst float64
}

// NewConfig checks the parts of a configuration as one unit and indexes them.
func NewConfig(version uint64, services []*Service, teams []*Team, routes []*Route) (*Config, error) {
	c := &Config{
		Version: version, Services: map[string]*Service{}, Teams: teams, Routes: routes,
		byHost: map[string][]*Route{}, byKey: map[string]*Team{},
		byName: map[string]*Team{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, t := range teams {
		c.byName[t.Name] = t
		for _, key := range t.Keys {
			if other := c.byKey[key]; other != nil && other != t {
				return nil, eris.Wrapf(ErrSharedKey, "teams %s and %s", other.Name, t.Name)
			}
			c.byKey[key] = t
		}
	}
	for _, r := range routes {
		if err := c.check(r); err != nil {
			return nil, eris.Wrapf(err, "route %s", r.Name)
		}
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c, nil
}

func (c *Config) check(r *Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") || r.Timeout <= 0 || r.MaxAttempts < 1 {
		return ErrInvalidRoute
	}
	total := 0.0
	for _, d := range r.Destinations {
		if c.Services[d.Service] == nil {
			return eris.Wrap(ErrUnknownService, d.Service)
		}
		if d.Weight < 0 {
			return ErrNoDestination
		}
		total += d.Weight
	}
	if total <= 0 {
		return ErrNoDestination
	}
	return nil
}

// MatchRoute returns the route of a host with the longest prefix that begins the path, or nil.
func (c *Config) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	list, known := c.byHost[host]
	if !known {
		if name, _, hasPort := strings.Cut(host, ":"); hasPort {
			list = c.byHost[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// TeamByName returns the team of a name, or nil.
func (c *Config) TeamByName(name string) *Team { return c.byName[name] }

// TeamByKey returns the team that holds the key, or nil.
func (c *Config) TeamByKey(key string) *Team { return c.byKey[key] }
