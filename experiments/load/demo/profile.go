package demo

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// DefaultCallsPerSecond and DefaultDuration keep the demo under 45 s and under four cores.
const (
	DefaultCallsPerSecond = 250
	DefaultDuration       = 24 * time.Second
)

// The nodes' longest deadline and their retention of identities are shorter than in service, so that a restarted
// node issues an epoch, and knows for certain what it has not run, within the length of the demo. The nodes'
// settings require a retention of at least ten of the longest deadlines.
const (
	DefaultMaxDeadline       = 500 * time.Millisecond
	DefaultIdentityRetention = 5 * time.Second
)

// Bounds of section 1.1 of the design, in milliseconds, and the time for a killed node to serve again.
const (
	versionBoundMS    = 8000
	withdrawalBoundMS = 5000
	restartBoundMS    = 8000
)

// Shape of the load.
const (
	chainShare = 0.05
	maxDepth   = 3
	overFactor = 3
)

// NewProfile is the load and the events of the demo for a deployment: a version change, a withdrawn key, a data
// centre that leaves and returns, and a node that is killed meanwhile in another data centre. One small team
// sends several times its rate for a while.
func NewProfile(d *Deployment, duration time.Duration, callsPerSecond float64) (trace.Profile, error) {
	o := d.Objects
	if len(o.DataCentres) < 2 || len(o.Upstreams) == 0 || len(o.Teams) == 0 {
		return trace.Profile{}, fmt.Errorf("%w: two data centres, an upstream and a team are needed", ErrInvalidDeployment)
	}
	key, err := withdrawable(o)
	if err != nil {
		return trace.Profile{}, err
	}
	leaving := o.DataCentres[1].Name
	killed := orderUpstreamOutside(o, leaving)
	at := func(share float64) int64 { return int64(math.Round(share * float64(duration.Milliseconds()))) }
	return trace.Profile{
		Deployment:      d.Name,
		Duration:        duration,
		CallsPerSecond:  callsPerSecond,
		OverLimitTeam:   smallestTeam(o),
		OverLimitFactor: overFactor,
		OverLimitFrom:   duration / 4,
		OverLimitUntil:  duration / 2,
		ChainShare:      chainShare,
		MaxDepth:        maxDepth,
		Events: []trace.Event{
			{
				AtMS: at(0.08), Kind: trace.PublishVersion, WithinMS: versionBoundMS,
				ExpectedOutcome: "the version is in force on every live node within 8 s",
			},
			{
				AtMS: at(0.20), Kind: trace.WithdrawKey, Target: key, WithinMS: withdrawalBoundMS,
				ExpectedOutcome: "every live node refuses the key within 5 s, also on open connections",
			},
			{
				AtMS: at(0.35), Kind: trace.DataCentreOut, Target: leaving, WithinMS: versionBoundMS,
				ExpectedOutcome: "no new work reaches the data centre after 5 s, and no work in progress is interrupted",
			},
			{
				AtMS: at(0.50), Kind: trace.KillNode, Target: killed,
				ExpectedOutcome: "no order is lost or run twice; first attempts go elsewhere",
			},
			{
				AtMS: at(0.58), Kind: trace.RestartNode, Target: killed, WithinMS: restartBoundMS,
				ExpectedOutcome: "the node serves again within 8 s, with the newest version",
			},
			{
				AtMS: at(0.70), Kind: trace.DataCentreIn, Target: leaving, WithinMS: versionBoundMS,
				ExpectedOutcome: "the data centre serves again, and no cold upstream gets more than it bears",
			},
		},
	}, nil
}

// AddFaults adds to the events of the demo: a frozen node, a platform that is down and one that is stale while a node
// restarts, a cut control link, an upstream that becomes cold without warning, and a second killed node.
func AddFaults(p trace.Profile, o config.Objects) trace.Profile {
	at := func(share float64) int64 { return int64(math.Round(share * float64(p.Duration.Milliseconds()))) }
	n := len(o.Upstreams)
	frozen, cut := o.Upstreams[n/2].Name, o.Upstreams[n-1].Name
	cold, killed := o.Upstreams[0].Name, o.Upstreams[n/3].Name
	const safe = "nothing is lost, run twice or crossed"
	p.Events = append(p.Events,
		trace.Event{AtMS: at(0.10), Kind: trace.FreezeNode, Target: frozen, ExpectedOutcome: safe},
		trace.Event{AtMS: at(0.18), Kind: trace.ResumeNode, Target: frozen, ExpectedOutcome: "the node serves on no stale view"},
		trace.Event{AtMS: at(0.23), Kind: trace.PlatformFault, Target: "down", ExpectedOutcome: "the nodes serve on"},
		trace.Event{AtMS: at(0.32), Kind: trace.PlatformFault, ExpectedOutcome: "the nodes read again"},
		trace.Event{AtMS: at(0.33), Kind: trace.CutControlLink, Target: cut, ExpectedOutcome: "the other nodes converge in time"},
		trace.Event{AtMS: at(0.45), Kind: trace.RestoreControlLink, Target: cut, ExpectedOutcome: "the link carries again"},
		trace.Event{AtMS: at(0.47), Kind: trace.MakeUpstreamCold, Target: cold, ExpectedOutcome: "the upstream gets no more than it bears"},
		trace.Event{AtMS: at(0.56), Kind: trace.PlatformFault, Target: "stale", ExpectedOutcome: "no node rolls back"},
		trace.Event{AtMS: at(0.67), Kind: trace.PlatformFault, ExpectedOutcome: "the nodes read the newest version"},
		trace.Event{AtMS: at(0.74), Kind: trace.KillNode, Target: killed, ExpectedOutcome: safe},
		trace.Event{
			AtMS: at(0.78), Kind: trace.RestartNode, Target: killed, WithinMS: restartBoundMS,
			ExpectedOutcome: "the node serves again within 8 s, with the newest version",
		},
	)
	return p
}

// withdrawable prefers a key of a team that has another one, so that the team's other callers go on.
func withdrawable(o config.Objects) (string, error) {
	granted := map[string]int{}
	for i := range o.Keys {
		if o.Keys[i].State == config.KeyGranted {
			granted[o.Keys[i].Team]++
		}
	}
	found := ""
	for i := range o.Keys {
		k := &o.Keys[i]
		if k.State != config.KeyGranted {
			continue
		}
		if granted[k.Team] > 1 {
			return k.ID, nil
		}
		found = k.ID
	}
	if found == "" {
		return "", fmt.Errorf("%w: no granted key", ErrInvalidDeployment)
	}
	return found, nil
}

func smallestTeam(o config.Objects) string {
	teams := append([]config.Team{}, o.Teams...)
	sort.SliceStable(teams, func(i, j int) bool { return teams[i].RatePerSecond < teams[j].RatePerSecond })
	return teams[0].Name
}

// orderUpstreamOutside prefers an upstream of a service with calls that must not run twice.
func orderUpstreamOutside(o config.Objects, dataCentre string) string {
	orders := map[string]bool{}
	for i := range o.Routes {
		if r := &o.Routes[i]; r.Visibility == config.VisibilityPublic && !r.Idempotent {
			orders[r.Service] = true
		}
	}
	found := o.Upstreams[0].Name
	for _, u := range o.Upstreams {
		if u.DataCentre == dataCentre {
			continue
		}
		if orders[u.Service] {
			return u.Name
		}
		found = u.Name
	}
	return found
}
