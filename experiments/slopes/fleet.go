package slopes

import (
	"fmt"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
)

// Shape of the target size of section 1.4 of the design. The number of keys is an assumption.
const (
	targetNodes       = 470
	targetCalls       = 39_000
	targetServices    = 16
	targetDataCentres = 4
	targetTeams       = 8
	targetKeys        = 2_000
	changesPerDay     = 480
	secondsPerDay     = 86_400
	// largeTeams have largeShare of all public calls; teams send teamUse of their rates.
	largeTeams = 3
	largeShare = 0.75
	teamUse    = 0.7
	// burstSeconds is a team's burst in seconds of its rate.
	burstSeconds = 1.5
)

// countSizes are the fleets in virtual time.
var countSizes = []int{12, 48, 120, 240, targetNodes}

// publicCallsPerNode are the two assumptions on the share of public calls among the 39,000 calls/s: 4 a second and
// node at a mean depth of 23, 10 at one of 8.
var publicCallsPerNode = []int{4, 10}

func serviceName(i int) string    { return fmt.Sprintf("service-%02d", i) }
func upstreamName(i int) string   { return fmt.Sprintf("upstream-%03d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }
func teamName(i int) string       { return fmt.Sprintf("team-%02d", i) }

// fleet describes a declared set.
type fleet struct {
	upstreams, teams, keys int
	// callsPerNode are public calls a second and node, from which the teams' rates follow.
	callsPerNode int
}

func target() fleet {
	return fleet{upstreams: targetNodes, teams: targetTeams, keys: targetKeys, callsPerNode: 10}
}

func (f fleet) objects() config.Objects {
	o := config.Objects{Teams: f.declaredTeams()}
	for i := range targetDataCentres {
		o.DataCentres = append(o.DataCentres, config.DataCentre{
			Name: dataCentreName(i), Region: fmt.Sprintf("region-%d", i/2), State: config.DataCentreIn,
		})
	}
	services := min(targetServices, f.upstreams)
	for i := range services {
		o.Services = append(o.Services, config.Service{
			Name: serviceName(i), ColdStart: config.ColdStart{InitialConcurrency: 4, RampMS: 1000},
		})
		o.Routes = append(o.Routes, f.route(i))
		o.Objectives = append(o.Objectives, config.Objective{
			Name: "objective-" + serviceName(i), Service: serviceName(i), Target: 0.999, LatencyMS: 200,
		})
	}
	for i := range f.upstreams {
		o.Upstreams = append(o.Upstreams, config.Upstream{
			Name: upstreamName(i), Service: serviceName(i % services),
			DataCentre: dataCentreName(i % targetDataCentres), Slots: 10, Connections: 110,
		})
	}
	for i := range f.keys {
		o.Keys = append(o.Keys, key(i, teamName(i%f.teams)))
	}
	return o
}

func (f fleet) route(i int) config.Route {
	return config.Route{
		Name: "route-" + serviceName(i), Service: serviceName(i), PathPrefix: "/" + serviceName(i),
		Methods: []string{"GET"}, Visibility: config.VisibilityPublic, Idempotent: true, Priority: config.PriorityNormal,
		TimeoutMS: 1000, MaxBodyBytes: 64 << 10,
	}
}

// declaredTeams gives a few teams most of the calls, at 70% of their rates.
func (f fleet) declaredTeams() []config.Team {
	teams := make([]config.Team, 0, f.teams)
	for i := range f.teams {
		rate := f.teamLoad(i) / teamUse
		teams = append(teams, config.Team{
			Name: teamName(i), RatePerSecond: rate, Burst: max(1, int(burstSeconds*rate)), Weight: 1,
		})
	}
	return teams
}

// teamLoad returns the calls a second of a team.
func (f fleet) teamLoad(i int) float64 {
	all := float64(f.callsPerNode * f.upstreams)
	if i < largeTeams {
		return all * largeShare / largeTeams
	}
	return all * (1 - largeShare) / float64(f.teams-largeTeams)
}

// secret is the plain key with the given number.
func secret(i int) string { return fmt.Sprintf("%scapacity-%d", config.KeyPrefix, i) }

func key(i int, team string) config.Key {
	return config.Key{
		ID: fmt.Sprintf("key-%05d", i), Team: team, Digest: config.KeyDigest(secret(i)), State: config.KeyGranted,
	}
}

// quietMembers lists VMs that no node can poll for configuration, because they have no control address.
func (f fleet) quietMembers() []platform.Member {
	members := make([]platform.Member, 0, f.upstreams)
	for i := range f.upstreams {
		address := func(port int) string { return fmt.Sprintf("10.%d.%d.%d:%d", i%targetDataCentres, i/200, 1+i%200, port) }
		members = append(members, platform.Member{
			VM: "vm-" + upstreamName(i), Upstream: upstreamName(i),
			DataCentre: dataCentreName(i % targetDataCentres), State: platform.MemberLive,
			CallerAddress: address(7001), PeerAddress: address(7002), OperatorAddress: address(7004),
		})
	}
	return members
}
