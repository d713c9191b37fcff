package load

import (
	"sort"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// tokenBucket is a token bucket whose level may fall below zero, so that it also counts what was sent above the limit.
type tokenBucket struct {
	limit RateLimit
	level float64
	last  time.Time
}

func newTokenBucket(limit RateLimit) *tokenBucket {
	return &tokenBucket{limit: limit, level: float64(limit.Burst)}
}

// refill adds the tokens for the time from the previous call until at, up to the burst, and returns the level.
func (b *tokenBucket) refill(at time.Time) float64 {
	if !b.last.IsZero() {
		b.level += b.limit.RatePerSecond * at.Sub(b.last).Seconds()
	}
	b.last = at
	b.level = min(b.level, float64(b.limit.Burst))
	return b.level
}

func (b *tokenBucket) take() { b.level-- }

// roundingTolerance keeps a call that is exactly at the limit from counting as above it because of rounding errors.
const roundingTolerance = 1e-9

// countRateRefusals compares each refusal for a team's rate with two token buckets: every attempt that the team sent
// takes a token from sentBucket, and every attempt that was not refused for the rate takes one from admittedBucket. A
// refusal is wrongful if sentBucket had a token left, and needless if admittedBucket had one. A third bucket,
// meshBucket, gives EntitledByTeam. The function returns the refusals that were not wrongful.
func (r *Report) countRateRefusals(in ReportInput) map[*Attempt]bool {
	rightfulRefusals := map[*Attempt]bool{}
	for team, attempts := range attemptsByTeam(in.Results) {
		sentBucket, admittedBucket := newTokenBucket(in.RateLimits[team]), newTokenBucket(in.RateLimits[team])
		meshBucket, entitled := newTokenBucket(in.RateLimits[team]), 0
		for _, a := range attempts {
			withinRate := sentBucket.refill(a.Sent) >= 1-roundingTolerance
			sentBucket.take()
			if meshBucket.refill(a.Sent) >= 1-roundingTolerance {
				meshBucket.take()
				entitled++
			}
			hadRoom := admittedBucket.refill(a.Sent) >= 1-roundingTolerance
			if a.Kind != wire.KindTeamRateExceeded {
				admittedBucket.take()
				r.AdmittedByTeam[team]++
				continue
			}
			r.RateRefusals++
			if hadRoom {
				r.NeedlessRefusals++
			}
			if withinRate {
				r.WrongfulRefusals++
				r.WrongfulRefusalsByTeam[team]++
				continue
			}
			rightfulRefusals[a] = true
		}
		r.EntitledByTeam[team] = entitled
	}
	return rightfulRefusals
}

// attemptsByTeam lists the attempts that were sent to a node, by team and in the order of sending.
func attemptsByTeam(results []CallResult) map[string][]*Attempt {
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
