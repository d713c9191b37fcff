package demo

import (
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// Scenario selects the load and the events of a run. The empty value means ScenarioAllEvents.
type Scenario string

// Scenarios.
const (
	// ScenarioAllEvents has all events of the demo, and one team exceeds its rate; see NewProfile.
	ScenarioAllEvents Scenario = "moves"
	// ScenarioNoEvents has no events, and no team exceeds its rate.
	ScenarioNoEvents Scenario = "quiet"
	// ScenarioTeamOverRate has no events. The team with the highest rate sends eight times its rate from the end of the
	// first quarter to the end of the third quarter of the time.
	ScenarioTeamOverRate Scenario = "over"
)

// overRateScenarioFactor is the factor by which a team exceeds its rate in ScenarioTeamOverRate.
const overRateScenarioFactor = 8

func (s Scenario) orDefault() Scenario {
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
	switch s.orDefault() {
	case ScenarioAllEvents:
	case ScenarioNoEvents:
		p.Events, p.OverLimitTeam = nil, s.teamOverRate(d.Objects)
	case ScenarioTeamOverRate:
		p.Events, p.OverLimitTeam = nil, s.teamOverRate(d.Objects)
		p.OverLimitFactor, p.OverLimitFrom, p.OverLimitUntil = overRateScenarioFactor, duration/4, duration*3/4
	default:
		return p, fmt.Errorf("%w: scenario %q; use %s, %s or %s", trace.ErrUnusableProfile, s,
			ScenarioAllEvents, ScenarioNoEvents, ScenarioTeamOverRate)
	}
	return p, nil
}

func highestRateTeam(o config.Objects) string {
	found := o.Teams[0]
	for _, t := range o.Teams {
		if t.RatePerSecond > found.RatePerSecond {
			found = t
		}
	}
	return found.Name
}

// routeTimeouts returns the timeouts of the routes as the demo publishes them: capped at the longest deadline of the
// nodes.
func routeTimeouts(o config.Objects, maxDeadline time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration, len(o.Routes))
	for i := range o.Routes {
		out[o.Routes[i].Name] = min(o.Routes[i].Timeout(), maxDeadline)
	}
	return out
}

// teamOverRate returns the team that sends more than its rate, or an empty string if the scenario has none.
func (s Scenario) teamOverRate(o config.Objects) string {
	switch s.orDefault() {
	case ScenarioNoEvents:
		return ""
	case ScenarioTeamOverRate:
		return highestRateTeam(o)
	case ScenarioAllEvents:
	}
	return lowestRateTeam(o)
}
