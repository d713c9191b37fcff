package demo

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// DefaultCallsPerSecond and DefaultDuration are chosen so that the demo takes less than 45 s and uses less than four
// cores.
const (
	DefaultCallsPerSecond = 250
	DefaultDuration       = 24 * time.Second
)

// DefaultMaxDeadline and DefaultIdentityRetention are the nodes' max_deadline_ms and identity_retention_ms. They are
// shorter than in production, so that within the length of the demo a restarted node issues an epoch and knows for
// certain which calls it has not run. The nodes require a retention of at least ten times the longest deadline.
const (
	DefaultMaxDeadline       = 500 * time.Millisecond
	DefaultIdentityRetention = 5 * time.Second
)

// Bounds for the effects of events, in milliseconds. Those for versions and withdrawn keys come from section 1.1 of
// docs/design.md; restartBoundMS is the time in which a restarted node must serve again.
const (
	versionBoundMS    = 8000
	withdrawalBoundMS = 5000
	restartBoundMS    = 8000
)

// Parameters of the load: the share of calls with onward calls, the largest number of onward calls of a call, and the
// factor by which one team exceeds its rate.
const (
	chainShare     = 0.05
	maxDepth       = 3
	overRateFactor = 3
)

// NewProfile returns the load and the events of the demo for a deployment: a new version, a withdrawn key, a data
// centre that is taken out of service and returns, and a node that is killed in another data centre meanwhile. The
// team with the lowest rate sends three times its rate in the second quarter of the time. It returns
// ErrInvalidDeployment if the deployment has too few objects for these events.
func NewProfile(d *Deployment, duration time.Duration, callsPerSecond float64) (trace.Profile, error) {
	o := d.Objects
	if len(o.DataCentres) < 2 || len(o.Upstreams) == 0 || len(o.Teams) == 0 {
		return trace.Profile{}, fmt.Errorf("%w: too few objects; declare two data centres, an upstream and a team",
			ErrInvalidDeployment)
	}
	key, err := keyToWithdraw(o)
	if err != nil {
		return trace.Profile{}, err
	}
	leaving := o.DataCentres[1].Name
	killed := nonIdempotentUpstreamOutside(o, leaving)
	msAtShare := func(share float64) int64 { return int64(math.Round(share * float64(duration.Milliseconds()))) }
	return trace.Profile{
		Deployment:      d.Name,
		Duration:        duration,
		CallsPerSecond:  callsPerSecond,
		OverLimitTeam:   lowestRateTeam(o),
		OverLimitFactor: overRateFactor,
		OverLimitFrom:   duration / 4,
		OverLimitUntil:  duration / 2,
		ChainShare:      chainShare,
		MaxDepth:        maxDepth,
		Events: []trace.Event{
			{
				AtMS: msAtShare(0.08), Kind: trace.PublishVersion, WithinMS: versionBoundMS,
				ExpectedOutcome: "the version is in force on every live node within 8 s",
			},
			{
				AtMS: msAtShare(0.20), Kind: trace.WithdrawKey, Target: key, WithinMS: withdrawalBoundMS,
				ExpectedOutcome: "every live node refuses the key within 5 s, also on open connections",
			},
			{
				AtMS: msAtShare(0.35), Kind: trace.DataCentreOut, Target: leaving, WithinMS: versionBoundMS,
				ExpectedOutcome: "no new work reaches the data centre after 5 s, and no work in progress is interrupted",
			},
			{
				AtMS: msAtShare(0.50), Kind: trace.KillNode, Target: killed,
				ExpectedOutcome: "no order is lost or run twice; first attempts go elsewhere",
			},
			{
				AtMS: msAtShare(0.58), Kind: trace.RestartNode, Target: killed, WithinMS: restartBoundMS,
				ExpectedOutcome: "the node serves again within 8 s, with the newest version",
			},
			{
				AtMS: msAtShare(0.70), Kind: trace.DataCentreIn, Target: leaving, WithinMS: versionBoundMS,
				ExpectedOutcome: "the data centre serves again, and no cold upstream gets more than it bears",
			},
		},
	}, nil
}

// AddFaults adds faults to the events of the demo: a frozen node, a platform that is down, a platform that returns
// stale data while a node restarts, a cut control link, an upstream that becomes cold without warning, and a second
// killed node.
func AddFaults(p trace.Profile, o config.Objects) trace.Profile {
	msAtShare := func(share float64) int64 { return int64(math.Round(share * float64(p.Duration.Milliseconds()))) }
	n := len(o.Upstreams)
	frozen, cut := o.Upstreams[n/2].Name, o.Upstreams[n-1].Name
	cold, killed := o.Upstreams[0].Name, o.Upstreams[n/3].Name
	const safe = "nothing is lost, run twice or crossed"
	p.Events = append(p.Events,
		trace.Event{AtMS: msAtShare(0.10), Kind: trace.FreezeNode, Target: frozen, ExpectedOutcome: safe},
		trace.Event{AtMS: msAtShare(0.18), Kind: trace.ResumeNode, Target: frozen, ExpectedOutcome: "the node serves on no stale view"},
		trace.Event{AtMS: msAtShare(0.23), Kind: trace.PlatformFault, Target: "down", ExpectedOutcome: "the nodes serve on"},
		trace.Event{AtMS: msAtShare(0.32), Kind: trace.PlatformFault, ExpectedOutcome: "the nodes read again"},
		trace.Event{AtMS: msAtShare(0.33), Kind: trace.CutControlLink, Target: cut, ExpectedOutcome: "the other nodes converge in time"},
		trace.Event{AtMS: msAtShare(0.45), Kind: trace.RestoreControlLink, Target: cut, ExpectedOutcome: "the link carries again"},
		trace.Event{AtMS: msAtShare(0.47), Kind: trace.MakeUpstreamCold, Target: cold, ExpectedOutcome: "the upstream gets no more than it bears"},
		trace.Event{AtMS: msAtShare(0.56), Kind: trace.PlatformFault, Target: "stale", ExpectedOutcome: "no node rolls back"},
		trace.Event{AtMS: msAtShare(0.67), Kind: trace.PlatformFault, ExpectedOutcome: "the nodes read the newest version"},
		trace.Event{AtMS: msAtShare(0.74), Kind: trace.KillNode, Target: killed, ExpectedOutcome: safe},
		trace.Event{
			AtMS: msAtShare(0.78), Kind: trace.RestartNode, Target: killed, WithinMS: restartBoundMS,
			ExpectedOutcome: "the node serves again within 8 s, with the newest version",
		},
	)
	return p
}

// keyToWithdraw returns the ID of a granted key, if possible of a team with another granted key, so that other
// callers of the team can continue.
func keyToWithdraw(o config.Objects) (string, error) {
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
		return "", fmt.Errorf("%w: no granted key; declare one", ErrInvalidDeployment)
	}
	return found, nil
}

func lowestRateTeam(o config.Objects) string {
	teams := append([]config.Team{}, o.Teams...)
	sort.SliceStable(teams, func(i, j int) bool { return teams[i].RatePerSecond < teams[j].RatePerSecond })
	return teams[0].Name
}

// nonIdempotentUpstreamOutside returns an upstream outside the data centre, if possible of a service with a public
// route that is not idempotent.
func nonIdempotentUpstreamOutside(o config.Objects, dataCentre string) string {
	nonIdempotentServices := map[string]bool{}
	for i := range o.Routes {
		if r := &o.Routes[i]; r.Visibility == config.VisibilityPublic && !r.Idempotent {
			nonIdempotentServices[r.Service] = true
		}
	}
	found := o.Upstreams[0].Name
	for _, u := range o.Upstreams {
		if u.DataCentre == dataCentre {
			continue
		}
		if nonIdempotentServices[u.Service] {
			return u.Name
		}
		found = u.Name
	}
	return found
}
