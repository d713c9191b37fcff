package demo

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// Scenario names the load and the events of a run.
type Scenario string

// Scenarios.
const (
	// ScenarioAllEvents is the demo: see Profile.
	ScenarioAllEvents Scenario = "moves"
	// ScenarioNoEvents has no events, and every team stays within its rate.
	ScenarioNoEvents Scenario = "quiet"
	// ScenarioTeamOverRate has no events; the team with the greatest rate sends eight times its rate in the middle half.
	ScenarioTeamOverRate Scenario = "over"
)

// overScenarioFactor is how much more than its rate a team sends in the scenario Over.
const overScenarioFactor = 8

func (s Scenario) name() Scenario {
	if s == "" {
		return ScenarioAllEvents
	}
	return s
}

func (s Scenario) profile(d *Deployment, duration time.Duration, callsPerSecond float64) (trace.Profile, error) {
	p, err := NewProfile(d, duration, callsPerSecond)
	if err != nil {
		return p, err
	}
	switch s.name() {
	case ScenarioAllEvents:
	case ScenarioNoEvents:
		p.Events, p.OverLimitTeam = nil, s.overTeam(d.Objects)
	case ScenarioTeamOverRate:
		p.Events, p.OverLimitTeam = nil, s.overTeam(d.Objects)
		p.OverLimitFactor, p.OverLimitFrom, p.OverLimitUntil = overScenarioFactor, duration/4, duration*3/4
	default:
		return p, fmt.Errorf("%w: scenario %q; use %s, %s or %s", trace.ErrUnusableProfile, s, ScenarioAllEvents, ScenarioNoEvents, ScenarioTeamOverRate)
	}
	return p, nil
}

func greatestTeam(o config.Objects) string {
	found := o.Teams[0]
	for _, t := range o.Teams {
		if t.RatePerSecond > found.RatePerSecond {
			found = t
		}
	}
	return found.Name
}

// timeouts are the routes' timeouts as the demo publishes them.
func timeouts(o config.Objects, longest time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(o.Routes))
	for i := range o.Routes {
		out[o.Routes[i].Name] = min(o.Routes[i].Timeout(), longest)
	}
	return out
}

// overTeam is the team that sends more than its rate.
func (s Scenario) overTeam(o config.Objects) string {
	switch s.name() {
	case ScenarioNoEvents:
		return ""
	case ScenarioTeamOverRate:
		return greatestTeam(o)
	case ScenarioAllEvents:
	}
	return smallestTeam(o)
}
