package slopes

import (
	"fmt"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
)

// The target size, from section 1.4 of docs/design.md. The number of keys is an assumption.
const (
	targetNodes       = 470
	targetCalls       = 39_000
	targetServices    = 16
	targetDataCentres = 4
	targetTeams       = 8
	targetKeys        = 2_000
	changesPerDay     = 480
	secondsPerDay     = 86_400
	// largeTeamCount teams make up largeShare of all public calls. Each team sends teamUtilisation of its rate.
	largeTeamCount  = 3
	largeShare      = 0.75
	teamUtilisation = 0.7
	// burstSeconds is the time in which the rate of a team allows as many calls as its burst.
	burstSeconds = 1.5
)

// fleetSizes are the numbers of nodes of the measured fleets, except for MeasureProcesses, which starts a process for
// each node.
var fleetSizes = []int{12, 48, 120, 240, targetNodes}

// publicCallRates are two assumptions on how many of the 39,000 calls/s of the target size are public, in public calls
// per second and node: 4 at a mean call depth of 23, 10 at a mean call depth of 8.
var publicCallRates = []int{4, 10}

func serviceName(i int) string    { return fmt.Sprintf("service-%02d", i) }
func upstreamName(i int) string   { return fmt.Sprintf("upstream-%03d", i) }
func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }
func teamName(i int) string       { return fmt.Sprintf("team-%02d", i) }

// fleetSpec describes a fleet by the number of its declared objects.
type fleetSpec struct {
	upstreams, teams, keys int
	// publicCallsPerNode is the number of public calls per second and node. The rates of the teams follow from it.
	publicCallsPerNode int
}

// targetFleet returns the fleet of the target size.
func targetFleet() fleetSpec {
	return fleetSpec{upstreams: targetNodes, teams: targetTeams, keys: targetKeys, publicCallsPerNode: 10}
}

// objects returns the declared objects of the fleet.
func (f fleetSpec) objects() config.Objects {
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
		o.Keys = append(o.Keys, declaredKey(i, teamName(i%f.teams)))
	}
	return o
}

// route returns the route of service i.
func (f fleetSpec) route(i int) config.Route {
	return config.Route{
		Name: "route-" + serviceName(i), Service: serviceName(i), PathPrefix: "/" + serviceName(i),
		Methods: []string{"GET"}, Visibility: config.VisibilityPublic, Idempotent: true, Priority: config.PriorityNormal,
		TimeoutMS: 1000, MaxBodyBytes: 64 << 10,
	}
}

// declaredTeams returns teams of which the first largeTeamCount send most of the calls.
func (f fleetSpec) declaredTeams() []config.Team {
	teams := make([]config.Team, 0, f.teams)
	for i := range f.teams {
		rate := f.teamCallsPerSecond(i) / teamUtilisation
		teams = append(teams, config.Team{
			Name: teamName(i), RatePerSecond: rate, Burst: max(1, int(burstSeconds*rate)), Weight: 1,
		})
	}
	return teams
}

// teamCallsPerSecond returns the calls per second of team i.
func (f fleetSpec) teamCallsPerSecond(i int) float64 {
	all := float64(f.publicCallsPerNode * f.upstreams)
	if i < largeTeamCount {
		return all * largeShare / largeTeamCount
	}
	return all * (1 - largeShare) / float64(f.teams-largeTeamCount)
}

// keySecret returns the secret of key i.
func keySecret(i int) string { return fmt.Sprintf("%scapacity-%d", config.KeyPrefix, i) }

// declaredKey returns the declaration of key i.
func declaredKey(i int, team string) config.Key {
	return config.Key{
		ID: fmt.Sprintf("key-%05d", i), Team: team, Digest: config.KeyDigest(keySecret(i)), State: config.KeyGranted,
	}
}

// membersWithoutControlAddress returns the members of the fleet without control addresses, so that no node polls them
// for configuration.
func (f fleetSpec) membersWithoutControlAddress() []platform.Member {
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
