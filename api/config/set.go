package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sort"
	"strings"
)

// Set is one complete configuration: the declared objects with indexes for lookups. It is immutable.
type Set struct {
	Objects
	dataCentres map[string]*DataCentre
	services    map[string]*Service
	upstreams   map[string]*Upstream
	routes      map[string]*Route
	teams       map[string]*Team
	keys        map[string]*Key
	byDigest    map[string]*Key
	byService   map[string][]*Upstream
	byPrefix    []*Route
}

// NewSet returns the Set of the objects. It does not validate them; the caller does so first.
func NewSet(o Objects) *Set {
	s := &Set{
		Objects:     o,
		dataCentres: map[string]*DataCentre{},
		services:    map[string]*Service{},
		upstreams:   map[string]*Upstream{},
		routes:      map[string]*Route{},
		teams:       map[string]*Team{},
		keys:        map[string]*Key{},
		byDigest:    map[string]*Key{},
		byService:   map[string][]*Upstream{},
	}
	for i := range o.DataCentres {
		s.dataCentres[o.DataCentres[i].Name] = &o.DataCentres[i]
	}
	for i := range o.Services {
		s.services[o.Services[i].Name] = &o.Services[i]
	}
	for i := range o.Upstreams {
		u := &o.Upstreams[i]
		s.upstreams[u.Name] = u
		s.byService[u.Service] = append(s.byService[u.Service], u)
	}
	for i := range o.Teams {
		s.teams[o.Teams[i].Name] = &o.Teams[i]
	}
	for i := range o.Keys {
		s.keys[o.Keys[i].ID] = &o.Keys[i]
		s.byDigest[o.Keys[i].Digest] = &o.Keys[i]
	}
	for i := range o.Routes {
		s.routes[o.Routes[i].Name] = &o.Routes[i]
		s.byPrefix = append(s.byPrefix, &o.Routes[i])
	}
	// RouteFor takes the longest matching prefix, so the routes are sorted by descending length.
	sort.SliceStable(s.byPrefix, func(i, j int) bool {
		return len(s.byPrefix[i].PathPrefix) > len(s.byPrefix[j].PathPrefix)
	})
	return s
}

// DataCentre returns the data centre with that name, or nil.
func (s *Set) DataCentre(name string) *DataCentre { return s.dataCentres[name] }

// Service returns the service with that name, or nil.
func (s *Set) Service(name string) *Service { return s.services[name] }

// Upstream returns the upstream with that name, or nil.
func (s *Set) Upstream(name string) *Upstream { return s.upstreams[name] }

// Route returns the route with that name, or nil.
func (s *Set) Route(name string) *Route { return s.routes[name] }

// Team returns the team with that name, or nil.
func (s *Set) Team(name string) *Team { return s.teams[name] }

// Key returns the key with that id, or nil.
func (s *Set) Key(id string) *Key { return s.keys[id] }

// UpstreamsOf returns the upstreams of a service in the order of declaration.
func (s *Set) UpstreamsOf(service string) []*Upstream { return s.byService[service] }

// InService reports whether the upstream's data centre is declared "in", so that the upstream may get new calls.
func (s *Set) InService(u *Upstream) bool {
	dc := s.dataCentres[u.DataCentre]
	return dc != nil && dc.State == DataCentreIn
}

// KeyDigest returns the digest by which a plain key is declared: "sha256:" and the hexadecimal SHA-256.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// KeyForSecret returns the declared key whose plain key is the secret, or nil. The lookup is by digest, so its
// duration does not reveal how much of a guessed secret is correct.
func (s *Set) KeyForSecret(secret string) *Key {
	digest := KeyDigest(secret)
	k := s.byDigest[digest]
	if k == nil || subtle.ConstantTimeCompare([]byte(k.Digest), []byte(digest)) != 1 {
		return nil
	}
	return k
}

// RouteFor returns, among the routes that allow the method and whose path prefix matches, the one with the longest
// prefix. When a prefix matches but no matching route allows the method, it returns nil and true.
func (s *Set) RouteFor(method, path string) (route *Route, methodMismatch bool) {
	for _, r := range s.byPrefix {
		if !matchesPrefix(path, r.PathPrefix) {
			continue
		}
		for _, m := range r.Methods {
			if m == method {
				return r, false
			}
		}
		methodMismatch = true
	}
	return nil, methodMismatch
}

// matchesPrefix reports whether the prefix matches whole segments of the path: /stock does not match /stockroom.
func matchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	return len(path) == len(prefix) || strings.HasSuffix(prefix, "/") || path[len(prefix)] == '/'
}
