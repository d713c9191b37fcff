package load

import (
	"sort"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// bucket is a token bucket that may go below zero, so that it remembers how much more was sent than allowed.
type bucket struct {
	allowance RateLimit
	level     float64
	last      time.Time
}

func newBucket(a RateLimit) *bucket { return &bucket{allowance: a, level: float64(a.Burst)} }

// fill adds the tokens up to at and returns the level.
func (b *bucket) fill(at time.Time) float64 {
	if !b.last.IsZero() {
		b.level += b.allowance.RatePerSecond * at.Sub(b.last).Seconds()
	}
	b.last = at
	b.level = min(b.level, float64(b.allowance.Burst))
	return b.level
}

func (b *bucket) take() { b.level-- }

// rounding keeps a call exactly at the limit within it in spite of rounding.
const rounding = 1e-9

// countRateRefusals compares each refusal for a team's rate with two buckets: one from which every attempt
// that the team sent takes a token, and one from which the admitted ones do. It returns the rightful ones.
func (r *Report) countRateRefusals(e ReportInput) map[*Attempt]bool {
	rightful := map[*Attempt]bool{}
	for team, attempts := range sentByTeam(e.Results) {
		sent, admitted := newBucket(e.RateLimits[team]), newBucket(e.RateLimits[team])
		central, entitled := newBucket(e.RateLimits[team]), 0
		for _, a := range attempts {
			within := sent.fill(a.Sent) >= 1-rounding
			sent.take()
			if central.fill(a.Sent) >= 1-rounding {
				central.take()
				entitled++
			}
			room := admitted.fill(a.Sent) >= 1-rounding
			if a.Kind != wire.KindTeamRateExceeded {
				admitted.take()
				r.AdmittedByTeam[team]++
				continue
			}
			r.RateRefusals++
			if room {
				r.NeedlessRefusals++
			}
			if within {
				r.WrongfulRefusals++
				r.WrongfulRefusalsByTeam[team]++
				continue
			}
			rightful[a] = true
		}
		r.EntitledByTeam[team] = entitled
	}
	return rightful
}

// sentByTeam lists the attempts that reached a node, in order of their sending.
func sentByTeam(results []CallResult) map[string][]*Attempt {
	byTeam := map[string][]*Attempt{}
	for i := range results {
		team := results[i].Call.Team
		for j := range results[i].Attempts {
			if a := &results[i].Attempts[j]; a.Kind != KindNotSent {
				byTeam[team] = append(byTeam[team], a)
			}
		}
	}
	for _, attempts := range byTeam {
		sort.SliceStable(attempts, func(i, j int) bool { return attempts[i].Sent.Before(attempts[j].Sent) })
	}
	return byTeam
}
