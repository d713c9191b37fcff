package configcheck

import (
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

const (
	// minMaxConnections is the smallest useful number of connections to an upstream. Nodes keep reservedConnections of
	// them for health checks and connections that are about to close, so with less than this, fewer than half are left
	// for requests.
	minMaxConnections = 16
	// reservedConnections is the constant of the same name of package sidecar.
	reservedConnections = 8
	// maxAttempts is the largest number of upstreams that a node asks for one request: maxNodesAsked of package
	// sidecar.
	maxAttempts = 5
)

// checker collects the findings on one draft.
type checker struct {
	findings
	draft    *Draft
	services []*mesh.Service
}

// Check returns the faults of reading and all errors and warnings of a draft. There is an error exactly if nodes refuse
// the configuration.
func Check(d *Draft) []Finding {
	c := &checker{draft: d, findings: slices.Clone(d.Faults), services: d.services()}
	if d.Unread.Services {
		c.services = assumeServices(d)
	}
	c.checkServices()
	c.checkTeams()
	for _, r := range d.Config.Routes {
		if !d.Unread.Objects[r] {
			c.checkRouteErrors(r)
			c.checkRouteLimits(r)
			c.checkDestinations(r)
			c.checkMatching(r)
		}
	}
	c.checkRouteNames()
	c.checkSelection()
	c.checkHostsWithPort()
	c.checkReachability()
	if Count(c.findings, Error) == 0 {
		if err := d.validate(); err != nil {
			c.add(Error, "", "", "%v", err)
		}
	}
	Sort(c.findings)
	return c.findings
}

// assumeServices returns the services that could be read and those that routes name, so that a route isn't reported for
// a service whose declaration could not be read.
func assumeServices(d *Draft) []*mesh.Service {
	list := d.services()
	for _, r := range d.Config.Routes {
		for _, to := range r.Destinations {
			if d.Config.Services[to.Service] == nil {
				list = append(list, &mesh.Service{Name: to.Service})
			}
		}
	}
	return list
}

func (c *checker) checkServices() {
	for _, name := range c.draft.RepeatedServices {
		c.add(Warning, serviceLabel(name), FieldServiceName, "the service is declared more than once and nodes use the last declaration; "+
			"remove the others")
	}
	for _, s := range c.draft.services() {
		if c.draft.Unread.Objects[s] {
			continue
		}
		label := serviceLabel(s.Name)
		if s.Name == "" {
			c.add(Warning, label, FieldServiceName, "the service has no name; give it one")
		}
		if !strings.HasPrefix(s.HealthPath, "/") {
			c.add(Warning, label, FieldHealthPath, "the path of the health check %q does not begin with a slash; write an absolute path", s.HealthPath)
		}
		if s.MaxConnections < minMaxConnections {
			c.add(Warning, label, FieldMaxConnections, "%d connections leave %d for requests, because nodes keep %d for health checks and closing "+
				"connections; allow at least %d", s.MaxConnections, max(1, s.MaxConnections-reservedConnections), reservedConnections, minMaxConnections)
		}
		if s.ColdRequestsPerSecond <= 0 {
			c.add(Warning, label, FieldColdRate, "a rate of %v sets no limit, so a cold upstream gets requests as if it were warm; "+
				"set the rate that a cold upstream can handle", s.ColdRequestsPerSecond)
		}
		if s.ColdStartDuration < 0 {
			c.add(Warning, label, FieldColdStart, "the duration %v is negative; correct it", s.ColdStartDuration)
		}
	}
}

func (c *checker) checkTeams() {
	seen := map[string]bool{}
	for _, t := range c.draft.Config.Teams {
		if c.draft.Unread.Objects[t] {
			continue
		}
		label := teamLabel(t.Name)
		if t.Name == "" {
			c.add(Warning, label, FieldTeamName, "the team has no name; give it one")
		}
		if seen[t.Name] {
			c.add(Warning, label, FieldTeamName, "the team is declared more than once and nodes use the limit of the last declaration for the keys "+
				"of all; merge the declarations")
		}
		seen[t.Name] = true
		if t.HasPriority && t.Priority < 0 {
			c.add(Warning, label, FieldTeamPriority, "priority %d ranks before 0, the most urgent one, like nested calls; use 0 or more", t.Priority)
		}
		c.checkKeys(t)
		c.checkTeamLimit(t)
	}
	c.checkSharedKeys()
	needsKey := func(r *mesh.Route) bool { return !r.Public }
	if routes := c.draft.Config.Routes; len(c.draft.Config.Teams) > 0 && len(routes) > 0 && !c.draft.Unread.Routes &&
		!slices.ContainsFunc(routes, needsKey) {
		c.add(Warning, "", FieldPublic, "every route is public, so no request counts as a team's and no limit of a team has an effect; "+
			"remove the teams or let routes require a key")
	}
}

func (c *checker) checkKeys(t *mesh.Team) {
	if len(t.Keys) == 0 {
		c.add(Warning, teamLabel(t.Name), FieldKeys, "the team has no key, so no request can count as its own; grant it a key or remove it")
	}
	if slices.Contains(t.Keys, "") {
		c.add(Warning, teamLabel(t.Name), FieldKeys, "a key is empty, so requests with an empty key count as the team's; remove it")
	}
	if unique := slices.Compact(slices.Sorted(slices.Values(t.Keys))); len(unique) < len(t.Keys) {
		c.add(Warning, teamLabel(t.Name), FieldKeys, "a key is listed more than once; remove the second one")
	}
}

func (c *checker) checkTeamLimit(t *mesh.Team) {
	label := teamLabel(t.Name)
	switch {
	case t.Rate < 0:
		c.add(Warning, label, FieldRate, "a rate of %v sets no limit; write 0 if none is meant", t.Rate)
	case t.Rate == 0 && t.Burst != 0:
		c.add(Warning, label, FieldBurst, "a rate of 0 sets no limit, so the burst of %v has no effect; set a rate or remove the burst", t.Burst)
	case t.Rate > 0 && t.Burst < 1:
		c.add(Warning, label, FieldBurst, "nodes use a burst of 1 in place of %v; allow at least one request", t.Burst)
	}
}

// checkSharedKeys reports each pair of teams that have a key in common. Nodes refuse such a configuration even if both
// have one name.
func (c *checker) checkSharedKeys() {
	holders := map[string]*mesh.Team{}
	reported := map[[2]*mesh.Team]bool{}
	for _, t := range c.draft.Config.Teams {
		if c.draft.Unread.Objects[t] {
			continue
		}
		for _, key := range t.Keys {
			first := holders[key]
			if first == nil {
				holders[key] = t
			} else if pair := [2]*mesh.Team{first, t}; first != t && !reported[pair] {
				reported[pair] = true
				c.add(Error, teamLabel(t.Name), FieldKeys, "a key belongs to %s as well; give each team its own", teamLabel(first.Name))
			}
		}
	}
}

// checkRouteErrors reports why nodes refuse a route. Whether they do is decided by their own validation.
func (c *checker) checkRouteErrors(r *mesh.Route) {
	_, err := mesh.NewConfig(c.draft.Config.Version, c.services, nil, []*mesh.Route{r})
	if err == nil {
		return
	}
	label, before := routeLabel(r), len(c.findings)
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		c.add(Error, label, FieldPrefix, "the prefix %q does not begin and end with a slash; add the slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		c.add(Error, label, FieldTimeout, "the timeout %v is not above 0; set the longest time that a caller waits", r.Timeout)
	}
	if r.MaxAttempts < 1 {
		c.add(Error, label, FieldMaxAttempts, "%d attempts allow no request; allow at least 1", r.MaxAttempts)
	}
	total := 0.0
	known := func(name string) bool {
		return slices.ContainsFunc(c.services, func(s *mesh.Service) bool { return s.Name == name })
	}
	for _, to := range r.Destinations {
		if !known(to.Service) {
			c.add(Error, label, FieldDestinations, "%s is not declared; declare it or name another one", serviceLabel(to.Service))
		}
		if to.Weight < 0 {
			c.add(Error, label, FieldDestinations, "the weight %v of %s is negative; write 0 or more", to.Weight, serviceLabel(to.Service))
		}
		total += max(0, to.Weight)
	}
	if total <= 0 {
		c.add(Error, label, FieldDestinations, "no service has a weight above 0; give one a weight")
	}
	if len(c.findings) == before {
		c.add(Error, label, "", "%v", err)
	}
}

func (c *checker) checkRouteLimits(r *mesh.Route) {
	label := routeLabel(r)
	if r.UnknownKind != "" {
		c.add(Warning, label, FieldKind, "this release does not know the kind %q, so requests run at most once; use a known kind", r.UnknownKind)
	}
	switch {
	case r.Objective <= 0:
		c.add(Warning, label, FieldObjective, "with an objective of %v every response is late; set the latency objective", r.Objective)
	case r.Timeout > 0 && r.Objective > r.Timeout:
		c.add(Warning, label, FieldObjective, "the objective %v is above the timeout %v, which ends the request first; lower the objective or raise "+
			"the timeout", r.Objective, r.Timeout)
	}
	if r.MaxAttempts > maxAttempts {
		c.add(Warning, label, FieldMaxAttempts, "nodes ask at most %d upstreams for a request, so %d attempts can't be used; allow at most %d",
			maxAttempts, r.MaxAttempts, maxAttempts)
	}
	if r.Priority < 0 {
		c.add(Warning, label, FieldPriority, "priority %d ranks before 0, the most urgent one, like nested calls; use 0 or more", r.Priority)
	}
}

func (c *checker) checkDestinations(r *mesh.Route) {
	label, seen, total := routeLabel(r), map[string]bool{}, 0.0
	for _, to := range r.Destinations {
		total += max(0, to.Weight)
	}
	for _, to := range r.Destinations {
		if seen[to.Service] {
			c.add(Warning, label, FieldDestinations, "%s is listed more than once and gets the sum of the weights; list it once", serviceLabel(to.Service))
		}
		seen[to.Service] = true
		if to.Weight == 0 && total > 0 {
			c.add(Warning, label, FieldDestinations, "%s has weight 0 and gets no request; remove it or give it a weight", serviceLabel(to.Service))
		}
	}
	if math.IsInf(total, 0) {
		c.add(Warning, label, FieldDestinations, "the sum of the weights is too large, so only the last service gets requests; lower the weights")
	}
}

// checkMatching reports hosts and prefixes that no request can have.
func (c *checker) checkMatching(r *mesh.Route) {
	label := routeLabel(r)
	switch {
	case r.Host == "":
		c.add(Warning, label, FieldHost, "the host is empty, so the route matches only requests that name no host; name the host")
	case strings.ContainsFunc(r.Host, isNotInHost):
		c.add(Warning, label, FieldHost, "no request names the host %q: hosts are compared as they are written, without scheme, path or wildcard; "+
			"correct the host", r.Host)
	}
	switch {
	case strings.ContainsFunc(r.PathPrefix, isNotInPath):
		c.add(Warning, label, FieldPrefix, "no request matches the prefix %q: paths are compared as clients send them, without a query and "+
			"percent-encoded; correct the prefix", r.PathPrefix)
	case strings.Contains(r.PathPrefix, "/./"), strings.Contains(r.PathPrefix, "/../"):
		c.add(Warning, label, FieldPrefix, "clients remove the segments . and .. before they send a path; remove them from the prefix")
	}
}

// isNotInHost reports whether a Host header can't contain a character (RFC 9110, section 7.2). Nodes compare hosts in
// lower case and know no wildcards.
func isNotInHost(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(`/\?#@*"<>,;`, r) }

// isNotInPath reports whether the path of a request line can't contain a character (RFC 9112, section 3.2). Nodes
// compare the path up to the query, as it was sent.
func isNotInPath(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune("?#", r) }

func (c *checker) checkRouteNames() {
	seen := map[string]*mesh.Route{}
	for _, r := range c.draft.Config.Routes {
		if c.draft.Unread.Objects[r] {
			continue
		}
		if r.Name == "" {
			c.add(Warning, routeLabel(r), FieldRouteName, "the route has no name, by which logs and metrics tell routes apart; give it one")
		} else if first := seen[r.Name]; first != nil {
			c.add(Warning, routeLabel(r), FieldRouteName, "%s has the same name, so logs and metrics do not tell them apart; rename one", at(first))
		} else {
			seen[r.Name] = r
		}
	}
}

// place identifies the requests that a route matches: those with the host, in lower case, and the path prefix.
type place struct{ host, prefix string }

func placeOf(r *mesh.Route) place { return place{strings.ToLower(r.Host), r.PathPrefix} }

// checkSelection reports routes that are never selected, because an earlier one has the same host and prefix. A route
// with a longer prefix hides no other one, since it doesn't match the shorter prefix itself.
func (c *checker) checkSelection() {
	first := map[place]*mesh.Route{}
	for _, r := range c.draft.Config.Routes {
		if c.draft.Unread.Objects[r] {
			continue
		}
		p := placeOf(r)
		if first[p] == nil {
			first[p] = r
			continue
		}
		c.add(Warning, routeLabel(r), FieldPrefix, "the route is never selected, because %s comes first and has the same host, in any letter case, and the "+
			"same prefix; remove one or change its prefix", routeLabel(first[p]))
	}
}

// checkHostsWithPort reports prefixes of a host that don't apply to requests which name the host with a port: if a
// route has the host with that port, the routes of the host without a port are not used for it.
func (c *checker) checkHostsWithPort() {
	byHost := routesByHost(c.draft.Config)
	for _, host := range slices.Sorted(maps.Keys(byHost)) {
		bare, _, hasPort := strings.Cut(host, ":")
		if !hasPort || byHost[bare] == nil {
			continue
		}
		var missing []string
		for _, r := range byHost[bare] {
			if selectRoute(byHost, host, r.PathPrefix) == nil {
				missing = append(missing, r.PathPrefix)
			}
		}
		if len(missing) > 0 {
			c.add(Warning, hostLabel(host), FieldHost, "requests that name this host with its port use none of the routes of %s, so no route matches %q; "+
				"declare the routes for both or remove the host with the port", hostLabel(bare), missing)
		}
	}
}

// checkReachability reports services to which no route sends requests.
func (c *checker) checkReachability() {
	if c.draft.Unread.Routes {
		return
	}
	if len(c.draft.Config.Routes) == 0 {
		c.add(Warning, "", "", "there is no route, so no request is served; declare routes")
		return
	}
	reached := reachedServices(c.draft.Config)
	for _, s := range c.draft.services() {
		if !reached[s.Name] && !c.draft.Unread.Objects[s] {
			c.add(Warning, serviceLabel(s.Name), "", "no route sends requests to the service; add a route or remove the service")
		}
	}
}

// routesByHost returns the routes by host in lower case, those with longer prefixes first, in the order in which nodes
// compare them.
func routesByHost(c *mesh.Config) map[string][]*mesh.Route {
	byHost := map[string][]*mesh.Route{}
	for _, r := range c.Routes {
		host := strings.ToLower(r.Host)
		byHost[host] = append(byHost[host], r)
	}
	for _, list := range byHost {
		slices.SortStableFunc(list, func(a, b *mesh.Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	return byHost
}

// selectRoute returns the route that nodes select for a host in lower case and a path, or nil. Unlike
// mesh.Config.MatchRoute it works on a configuration that isn't valid.
func selectRoute(byHost map[string][]*mesh.Route, host, path string) *mesh.Route {
	list, known := byHost[host]
	if !known {
		if bare, _, hasPort := strings.Cut(host, ":"); hasPort {
			list = byHost[bare]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// selectedRoutes returns the routes that can be selected, by host and prefix.
func selectedRoutes(c *mesh.Config) map[place]*mesh.Route {
	selected := map[place]*mesh.Route{}
	for _, r := range c.Routes {
		if p := placeOf(r); selected[p] == nil {
			selected[p] = r
		}
	}
	return selected
}

// reachedServices returns the names of the services to which routes that can be selected send requests.
func reachedServices(c *mesh.Config) map[string]bool {
	reached := map[string]bool{}
	for _, r := range selectedRoutes(c) {
		for _, to := range r.Destinations {
			if to.Weight > 0 {
				reached[to.Service] = true
			}
		}
	}
	return reached
}
