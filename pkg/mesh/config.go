// Package mesh holds what a sidecar knows about its mesh: the operators' configuration and the registered upstreams. A
// Syncer keeps this knowledge up to date by reading from the platform's store or from other nodes.
//
// A few nodes, the readers, read the store or each other, and the other nodes read from a reader. A node that reads
// from another node is its follower. Package sources chooses the readers.
package mesh

import (
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of NewConfig. An invalid configuration is not used at all; the previous one stays in force.
var (
	ErrUnknownService = eris.New("a route leads to a service that the configuration does not declare; declare the service")
	ErrNoDestination  = eris.New("a route needs a service with a positive weight and none with a negative one; correct the weights")
	ErrSharedKey      = eris.New("two teams hold the same key; give each team its own")
	ErrInvalidRoute   = eris.New("a route needs a path prefix that begins and ends with a slash, a timeout, at least one attempt and a kind; complete the route")
)

// Config is one version of the operators' configuration. It is immutable once NewConfig has returned it.
type Config struct {
	Version  uint64
	Services map[string]*Service
	Teams    []*Team
	Routes   []*Route

	unknownKinds []*Route
	routeNames   map[string]bool
	routesByHost map[string][]*Route
	teamsByKey   map[string]*Team
	teamsByName  map[string]*Team
}

// Service is a group of upstreams that run the same program.
type Service struct {
	Name string
	// HealthPath is the path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the largest number of connections to one upstream.
	MaxConnections int
	// ColdStartDuration is how long an upstream stays cold after its start, that is, can handle fewer requests than
	// later.
	ColdStartDuration time.Duration
	// ColdRequestsPerSecond is the rate of requests that a cold upstream can handle.
	ColdRequestsPerSecond float64
}

// Route sends requests with a host and a path prefix to one or more services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	// Idempotent means that a request of the route may run more than once.
	Idempotent bool
	// UnknownKind is the kind of the route as the operators wrote it if this release does not know it, or empty. Such a
	// route is not idempotent: the strictest handling is right for every kind, while refusing the whole configuration
	// for it would leave a starting mesh without one.
	UnknownKind string
	// Timeout is the longest time that a caller waits for the answer to a request.
	Timeout time.Duration
	// Objective is the latency objective, counted from the caller's first attempt.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Destinations get the requests in proportion to their weights.
	Destinations []Destination
	// MaxAttempts is the largest number of upstreams to which one request may be sent.
	MaxAttempts int
	// Public means that requests of the route need no key.
	Public bool
}

// Destination is one of the services to which a route sends requests.
type Destination struct {
	Service string
	Weight  float64
}

// Team is a customer with its keys and its limit over all VMs together.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the priority of the route if HasPriority is true.
	Priority    int
	HasPriority bool
	// Rate is in requests a second, Burst in requests. A Rate of 0 means that there is no limit.
	Rate  float64
	Burst float64
}

// NewConfig validates the parts of a configuration together and returns the configuration. If they are invalid, the
// error wraps one of the errors above.
func NewConfig(version uint64, services []*Service, teams []*Team, routes []*Route) (*Config, error) {
	c := &Config{
		Version: version, Services: map[string]*Service{}, Teams: teams, Routes: routes,
		routesByHost: map[string][]*Route{}, routeNames: map[string]bool{}, teamsByKey: map[string]*Team{},
		teamsByName: map[string]*Team{},
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, t := range teams {
		c.teamsByName[t.Name] = t
		for _, key := range t.Keys {
			if other := c.teamsByKey[key]; other != nil && other != t {
				return nil, eris.Wrapf(ErrSharedKey, "teams %s and %s", other.Name, t.Name)
			}
			c.teamsByKey[key] = t
		}
	}
	for _, r := range routes {
		if err := c.validateRoute(r); err != nil {
			return nil, eris.Wrapf(err, "route %s", r.Name)
		}
		if r.UnknownKind != "" {
			c.unknownKinds = append(c.unknownKinds, r)
		}
		host := strings.ToLower(r.Host)
		c.routesByHost[host] = append(c.routesByHost[host], r)
		c.routeNames[r.Name] = true
	}
	for _, list := range c.routesByHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c, nil
}

func (c *Config) validateRoute(r *Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") || r.Timeout <= 0 || r.MaxAttempts < 1 ||
		(r.Idempotent && r.UnknownKind != "") {
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

// MatchRoute returns the route of the host whose path prefix is the longest that matches the path, or nil. If no route
// has the host with its port, those of the host without the port are used.
func (c *Config) MatchRoute(host, path string) *Route {
	host = strings.ToLower(host)
	list, known := c.routesByHost[host]
	if !known {
		if name, _, hasPort := strings.Cut(host, ":"); hasPort {
			list = c.routesByHost[name]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// RoutesOfUnknownKind returns the routes whose kind this release does not know.
func (c *Config) RoutesOfUnknownKind() []*Route { return c.unknownKinds }

// HasRoute reports whether the configuration has a route with the name.
func (c *Config) HasRoute(name string) bool { return c.routeNames[name] }

// TeamByName returns the team with the given name, or nil.
func (c *Config) TeamByName(name string) *Team { return c.teamsByName[name] }

// TeamByKey returns the team that has the given key, or nil.
func (c *Config) TeamByKey(key string) *Team { return c.teamsByKey[key] }
