package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// comparison collects the differences of a next configuration from the one in force.
type comparison struct {
	findings
	old, next *Draft
}

// Compare returns how a configuration differs from the one in force. What takes something away from callers is a
// warning: removed hosts, routes, teams and keys, services that are no longer reachable, changed kinds and lowered
// limits. A version that is not above the one in force is an error, because nodes with the latter don't adopt it; it is
// a warning if nodes refuse the latter. A copy of the version in force has no findings.
func Compare(inForce, next *Draft) []Finding {
	c := &comparison{old: inForce, next: next}
	severity := Error
	if n := Count(Check(inForce), Error); n > 0 {
		severity = Warning
		c.add(Warning, "", "", "the configuration to compare with has errors (%d), so no node acts on it; name the one in force", n)
	}
	before := len(c.findings)
	if !inForce.Unread.Routes && !next.Unread.Routes {
		c.compareRoutes()
		c.compareReachability()
	}
	if !inForce.Unread.Services && !next.Unread.Services {
		c.compareServices()
	}
	if !inForce.Unread.Teams && !next.Unread.Teams {
		c.compareTeams()
	}
	c.compareVersions(severity, len(c.findings) > before)
	Sort(c.findings)
	return c.findings
}

// compareVersions reports with the severity a version that is not above the one in force.
func (c *comparison) compareVersions(severity Severity, differs bool) {
	if c.old.Unread.Version || c.next.Unread.Version {
		return
	}
	old, next := c.old.Config.Version, c.next.Config.Version
	switch {
	case next < old || (next == old && differs):
		c.add(severity, "", FieldVersion, "version %x is not above %x, the one in force, so no node that has the latter adopts it; choose a higher version",
			next, old)
	case next > old:
		c.add(Change, "", FieldVersion, "%x -> %x", old, next)
	}
}

func sortedPlaces(routes map[place]*mesh.Route) []place {
	return slices.SortedFunc(maps.Keys(routes), func(a, b place) int {
		return cmp.Or(strings.Compare(a.host, b.host), strings.Compare(a.prefix, b.prefix))
	})
}

func (c *comparison) compareRoutes() {
	oldRoutes, nextRoutes := selectedRoutes(c.old.Config), selectedRoutes(c.next.Config)
	oldHosts, nextHosts := routesByHost(c.old.Config), routesByHost(c.next.Config)
	for _, host := range slices.Sorted(maps.Keys(oldHosts)) {
		if nextHosts[host] != nil {
			continue
		}
		use := "get no route"
		if bare, _, hasPort := strings.Cut(host, ":"); hasPort && nextHosts[bare] != nil {
			use = "use the routes of " + hostLabel(bare)
		}
		c.add(Warning, hostLabel(host), FieldHost, "the host is removed with its routes (%d); its requests %s", len(oldHosts[host]), use)
	}
	for _, host := range slices.Sorted(maps.Keys(nextHosts)) {
		if oldHosts[host] == nil {
			c.add(Change, hostLabel(host), FieldHost, "the host is added with its routes (%d)", len(nextHosts[host]))
		}
	}
	for _, p := range sortedPlaces(oldRoutes) {
		old, next := oldRoutes[p], nextRoutes[p]
		switch {
		case next != nil:
			c.compareRoute(old, next)
		case nextHosts[p.host] != nil:
			c.add(Warning, routeLabel(old), FieldPrefix, "the route is removed; its requests %s", describeUse(selectRoute(nextHosts, p.host, p.prefix)))
		}
	}
	for _, p := range sortedPlaces(nextRoutes) {
		if oldRoutes[p] == nil && oldHosts[p.host] != nil {
			c.add(Change, routeLabel(nextRoutes[p]), FieldPrefix, "the route is added; its requests so far %s",
				describeUse(selectRoute(oldHosts, p.host, p.prefix)))
		}
	}
}

func describeUse(r *mesh.Route) string {
	if r == nil {
		return "get no route"
	}
	return "use " + routeLabel(r)
}

func (c *comparison) compareRoute(old, next *mesh.Route) {
	label := routeLabel(next)
	if old.Name != next.Name {
		c.add(Change, label, FieldRouteName, "%q -> %q", old.Name, next.Name)
	}
	switch {
	case old.Idempotent && !next.Idempotent:
		c.add(Warning, label, FieldKind, "idempotent -> not idempotent: a request that may have run is not sent again, so callers see more failures")
	case !old.Idempotent && next.Idempotent:
		c.add(Warning, label, FieldKind, "not idempotent -> idempotent: a request may run more than once; make sure that this does no harm")
	case old.UnknownKind != next.UnknownKind:
		c.add(Change, label, FieldKind, "unknown kind %q -> %q", old.UnknownKind, next.UnknownKind)
	}
	compareLimit(c, label, FieldTimeout, old.Timeout, next.Timeout)
	compareLimit(c, label, FieldMaxAttempts, old.MaxAttempts, next.MaxAttempts)
	compareValue(c, label, FieldObjective, old.Objective, next.Objective)
	compareValue(c, label, FieldPriority, old.Priority, next.Priority)
	compareValue(c, label, FieldDestinations, describeDestinations(old), describeDestinations(next))
	switch {
	case old.Public && !next.Public:
		c.add(Warning, label, FieldPublic, "public -> not public: on a mesh with teams, requests without a key are refused")
	case !old.Public && next.Public:
		c.add(Warning, label, FieldPublic, "not public -> public: requests need no key and no limit of a team applies to them")
	}
}

// describeDestinations returns the services of a route and their shares of the requests, sorted by service.
func describeDestinations(r *mesh.Route) string {
	total, weights := 0.0, map[string]float64{}
	for _, to := range r.Destinations {
		total += to.Weight
		weights[to.Service] += to.Weight
	}
	parts := make([]string, 0, len(weights))
	for _, service := range slices.Sorted(maps.Keys(weights)) {
		parts = append(parts, fmt.Sprintf("%q %.4g%%", service, 100*weights[service]/total))
	}
	return strings.Join(parts, ", ")
}

// compareLimit reports a changed limit, as a warning if it is lowered.
func compareLimit[T cmp.Ordered](c *comparison, label string, field Field, old, next T) {
	switch {
	case next < old:
		c.add(Warning, label, field, "the limit is lowered: %v -> %v", old, next)
	case next > old:
		c.add(Change, label, field, "%v -> %v", old, next)
	}
}

func compareValue[T comparable](c *comparison, label string, field Field, old, next T) {
	if old != next {
		c.add(Change, label, field, "%v -> %v", old, next)
	}
}

// compareRate reports a changed rate, of which 0 or less sets no limit, as a warning if the rate is limited further.
func compareRate(c *comparison, label string, field Field, old, next float64) {
	switch {
	case old <= 0 && next <= 0:
	case old <= 0:
		c.add(Warning, label, field, "the limit is lowered: none -> %v", next)
	case next <= 0:
		c.add(Change, label, field, "%v -> no limit", old)
	default:
		compareLimit(c, label, field, old, next)
	}
}

// compareReachability reports services that routes reach now and would not reach any more.
func (c *comparison) compareReachability() {
	oldReached, nextReached := reachedServices(c.old.Config), reachedServices(c.next.Config)
	for _, name := range slices.Sorted(maps.Keys(oldReached)) {
		if !nextReached[name] {
			c.add(Warning, serviceLabel(name), "", "no route reaches the service any more")
		}
	}
}

func (c *comparison) compareServices() {
	for _, old := range c.old.services() {
		next := c.next.Config.Services[old.Name]
		label := serviceLabel(old.Name)
		if next == nil {
			c.add(Change, label, FieldServiceName, "the service is removed; nodes beside its upstreams stop their health checks")
			continue
		}
		compareValue(c, label, FieldHealthPath, old.HealthPath, next.HealthPath)
		compareLimit(c, label, FieldMaxConnections, old.MaxConnections, next.MaxConnections)
		compareValue(c, label, FieldColdStart, old.ColdStartDuration, next.ColdStartDuration)
		compareRate(c, label, FieldColdRate, old.ColdRequestsPerSecond, next.ColdRequestsPerSecond)
	}
	for _, next := range c.next.services() {
		if c.old.Config.Services[next.Name] == nil {
			c.add(Change, serviceLabel(next.Name), FieldServiceName, "the service is added")
		}
	}
}

func (c *comparison) compareTeams() {
	oldTeams, nextTeams := teamsByName(c.old.Config), teamsByName(c.next.Config)
	switch {
	case len(oldTeams) == 0 && len(nextTeams) > 0:
		c.add(Warning, "", FieldKeys, "the first teams are added (%d): routes that are not public require a key", len(nextTeams))
		return
	case len(oldTeams) > 0 && len(nextTeams) == 0:
		c.add(Warning, "", FieldKeys, "all teams are removed (%d): no route requires a key and no limit of a team applies", len(oldTeams))
		return
	}
	for _, name := range slices.Sorted(maps.Keys(oldTeams)) {
		old, next := oldTeams[name], nextTeams[name]
		if next == nil {
			c.add(Warning, teamLabel(name), FieldTeamName, "the team is removed")
			continue
		}
		label := teamLabel(name)
		compareValue(c, label, FieldTeamPriority, describePriority(old), describePriority(next))
		compareRate(c, label, FieldRate, old.Rate, next.Rate)
		if old.Rate > 0 && next.Rate > 0 {
			compareLimit(c, label, FieldBurst, old.Burst, next.Burst)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(nextTeams)) {
		if oldTeams[name] == nil {
			c.add(Change, teamLabel(name), FieldTeamName, "the team is added")
		}
	}
	c.compareKeys()
}

// compareKeys reports, by team and without showing a key, how many keys are withdrawn, moved to another team and
// granted.
func (c *comparison) compareKeys() {
	oldHolders, nextHolders := teamsByKey(c.old.Config), teamsByKey(c.next.Config)
	withdrawn, moved, granted := map[string]int{}, map[[2]string]int{}, map[string]int{}
	for key, team := range oldHolders {
		if next, held := nextHolders[key]; !held {
			withdrawn[team]++
		} else if next != team {
			moved[[2]string{team, next}]++
		}
	}
	for key, team := range nextHolders {
		if _, held := oldHolders[key]; !held {
			granted[team]++
		}
	}
	for _, team := range slices.Sorted(maps.Keys(withdrawn)) {
		c.add(Warning, teamLabel(team), FieldKeys, "keys are withdrawn (%d); requests with them are refused", withdrawn[team])
	}
	for _, pair := range slices.SortedFunc(maps.Keys(moved), func(a, b [2]string) int { return slices.Compare(a[:], b[:]) }) {
		c.add(Warning, teamLabel(pair[0]), FieldKeys, "keys now belong to %s (%d); its limit and priority apply", teamLabel(pair[1]), moved[pair])
	}
	for _, team := range slices.Sorted(maps.Keys(granted)) {
		c.add(Change, teamLabel(team), FieldKeys, "keys are granted (%d)", granted[team])
	}
}

func describePriority(t *mesh.Team) string {
	if !t.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(t.Priority)
}

// teamsByName returns the last team of each name, which nodes use.
func teamsByName(c *mesh.Config) map[string]*mesh.Team {
	teams := map[string]*mesh.Team{}
	for _, t := range c.Teams {
		teams[t.Name] = t
	}
	return teams
}

// teamsByKey returns the name of the team that holds each key.
func teamsByKey(c *mesh.Config) map[string]string {
	holders := map[string]string{}
	for _, t := range c.Teams {
		for _, key := range t.Keys {
			holders[key] = t.Name
		}
	}
	return holders
}
