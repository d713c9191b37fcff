package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Ranking by the expected time of one request, for meshes on which the routes alone say what is urgent. Rank is for all
// others.
const (
	// speedWeight is the weight of a new report in the speed of an upstream, routeWeight in the mean service time of a
	// route. Routes change more slowly than what one node hears of one upstream.
	speedWeight = 0.3
	routeWeight = 0.05
	// minSpeed and maxSpeed bound the speed, as a factor of service times, so that one odd report does not take an upstream
	// out of use.
	minSpeed = 0.1
	maxSpeed = 10
	// slownessAge is how long a reported slowness is believed in part. Upstreams are slow for some hundred milliseconds at a
	// time.
	slownessAge = time.Second
	// localAsks is the number of upstreams of the own data centre that come before those of others. Further ones come after
	// those, because a few refusals show that the own data centre is full.
	localAsks = 3
	// remoteAsks is the largest number of upstreams of one other data centre that are asked for one request. Each refusal
	// there costs bytes between data centres.
	remoteAsks = 2
	// acceptanceWeight is the weight of an answer in the acceptance of a data centre, acceptanceRecovery the time in which
	// what was heard loses its weight, and minAcceptance the share of requests that ask anyway and so notice room.
	acceptanceWeight   = 0.25
	acceptanceRecovery = time.Second
	minAcceptance      = 0.05
	// failureNoise is the number of standard deviations by which the failure rate of an upstream may exceed the mean by
	// chance. With fewer, a few upstreams get most requests while all refuse the same share.
	failureNoise = 2
	// jitterShare is the random part of the expected time, which keeps nodes from all choosing the same upstream.
	jitterShare = 0.1
)

// Demand is what the place of a request depends on besides the state of the upstreams.
type Demand struct {
	Service   string
	Route     string
	BodyBytes int
}

// acceptanceKey names the upstreams of a service in a data centre.
type acceptanceKey struct{ service, dataCentre string }

// acceptance is the moving average of the share of requests that the upstreams of a service in another data centre accept.
type acceptance struct {
	share     float64
	updatedAt time.Duration
}

// at returns the share at a time: what was heard loses its weight evenly within acceptanceRecovery.
func (a *acceptance) at(now time.Duration) float64 {
	known := max(0, 1-float64(now-a.updatedAt)/float64(acceptanceRecovery))
	return max(minAcceptance, 1-(1-a.share)*known)
}

// RecordAsked records whether an upstream of a service in another data centre accepted a request.
func (t *Table) RecordAsked(now time.Duration, service, dataCentre string, accepted bool) {
	key := acceptanceKey{service, dataCentre}
	a := t.acceptances[key]
	if a == nil {
		a = &acceptance{share: 1, updatedAt: now}
		t.acceptances[key] = a
	}
	sample := 0.0
	if accepted {
		sample = 1
	}
	share := a.at(now)
	a.share, a.updatedAt = share+acceptanceWeight*(sample-share), now
}

// Acceptance is the share of requests, from 0 to 1, that the upstreams of a service in another data centre accepted lately.
type Acceptance struct {
	Service, DataCentre string
	Share               float64
}

// Acceptances returns what is known of other data centres, in no order.
func (t *Table) Acceptances(now time.Duration) []Acceptance {
	list := make([]Acceptance, 0, len(t.acceptances))
	for key, a := range t.acceptances {
		list = append(list, Acceptance{key.service, key.dataCentre, a.at(now)})
	}
	return list
}

// RecordServiceTime records the service time that an upstream's node expects for requests of a route there, without the
// slowness of the moment, which is a factor. Either is 0 if it is not known.
func (t *Table) RecordServiceTime(now time.Duration, id, route string, usual time.Duration, slowness float64) {
	u := t.upstream(id)
	if slowness > 0 {
		u.slowness, u.slownessAt = slowness, now
	}
	if usual <= 0 {
		return
	}
	mean, known := t.routeTimes[route]
	if !known {
		mean = float64(usual)
	}
	mean += routeWeight * (float64(usual) - mean)
	t.routeTimes[route] = mean
	ratio := min(maxSpeed, max(minSpeed, float64(usual)/mean))
	if u.speed == 0 {
		u.speed = ratio
		return
	}
	u.speed += speedWeight * (ratio - u.speed)
}

// serviceTime returns the expected service time of a request at the upstream. Without a report of it, the usual speed is
// assumed.
func (t *Table) serviceTime(now time.Duration, u *upstreamState, route string) float64 {
	usual, known := t.routeTimes[route]
	if !known {
		usual = float64(u.load.MeanServiceTime)
	}
	if u.speed > 0 {
		usual *= u.speed
	}
	if age := now - u.slownessAt; u.slowness > 1 && age < slownessAge {
		usual *= 1 + (u.slowness-1)*(1-float64(age)/float64(slownessAge))
	}
	return usual
}

// RankByExpectedTime returns the indexes of the candidates in the order in which they are asked for a request. Upstreams of
// other data centres follow a few of the own one, and are left out with a probability that grows with the share of
// requests that were refused there, unless the own one has no upstream in use. Candidates that recently did not answer, or
// whose health is unknown, come last.
func (t *Table) RankByExpectedTime(now time.Duration, candidates []Candidate, d Demand) []int {
	list := t.ranked[:0]
	failures := 0.0
	for _, c := range candidates {
		failures += t.upstream(c.ID).failureRate
	}
	failures /= max(1, float64(len(candidates)))
	noise := failureNoise * math.Sqrt(failureWeight/(2-failureWeight)*failures*(1-failures))
	for i, c := range candidates {
		u := t.upstream(c.ID)
		cost := t.serviceTime(now, u, d.Route) + u.expectedWait(now)
		if !c.SameDataCentre {
			cost += float64(min(maxBodyPenalty, remotePenaltyPerKB*time.Duration(d.BodyBytes)/1000))
		}
		// Only failures beyond those of the other upstreams, and beyond chance, say something about this one.
		cost /= max(0.05, 1-max(0, u.failureRate-failures-noise))
		cost *= 1 + jitterShare*t.rand.Float64()
		list = append(list, rankedCandidate{i, time.Duration(cost), now < u.backoffUntil})
	}
	slices.SortFunc(list, func(a, b rankedCandidate) int {
		if a.inBackoff != b.inBackoff {
			if b.inBackoff {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.cost, b.cost)
	})
	t.ranked = list
	return t.orderByDataCentre(now, candidates, list, d.Service)
}

// orderByDataCentre returns the indexes of a sorted list with a few upstreams of the own data centre first, then those of
// others that are worth asking, then the rest of the own one. Those in backoff come last.
func (t *Table) orderByDataCentre(now time.Duration, candidates []Candidate, list []rankedCandidate, service string) []int {
	order := make([]int, 0, len(list))
	asked := map[string]int{}
	pick := func(wanted func(r rankedCandidate, c *Candidate) bool) {
		for k, r := range list {
			if r.index >= 0 && wanted(r, &candidates[r.index]) {
				order = append(order, r.index)
				list[k].index = -1
			}
		}
	}
	longest := longestLocalTime(candidates, list)
	pick(func(r rankedCandidate, c *Candidate) bool {
		return c.SameDataCentre && !r.inBackoff && len(order) < localAsks && r.cost <= longest
	})
	pick(func(r rankedCandidate, c *Candidate) bool {
		if c.SameDataCentre || r.inBackoff {
			return false
		}
		if _, drawn := asked[c.DataCentre]; !drawn {
			if a := t.acceptances[acceptanceKey{service, c.DataCentre}]; a != nil && t.rand.Float64() >= a.at(now) {
				asked[c.DataCentre] = remoteAsks
			}
		}
		asked[c.DataCentre]++
		return asked[c.DataCentre] <= remoteAsks
	})
	pick(func(r rankedCandidate, c *Candidate) bool { return c.SameDataCentre && !r.inBackoff })
	if !slices.ContainsFunc(order, func(i int) bool { return candidates[i].SameDataCentre }) {
		// No upstream of the own data centre can take the request, so each of the others has to be worth asking.
		pick(func(r rankedCandidate, _ *Candidate) bool { return !r.inBackoff })
	}
	pick(func(r rankedCandidate, _ *Candidate) bool { return r.inBackoff })
	return order
}

// longestLocalTime returns the expected time up to which an upstream of the own data centre is asked before those of others. It
// leaves out cold upstreams if another data centre has warm ones. Full ones refuse at once, which costs less than a request
// to another data centre.
func longestLocalTime(candidates []Candidate, list []rankedCandidate) time.Duration {
	for _, r := range list {
		if !r.inBackoff && !candidates[r.index].SameDataCentre {
			return r.cost + coldPenalty/2
		}
	}
	return math.MaxInt64
}

// expectedWait estimates the time until a slot of the upstream is free.
func (u *upstreamState) expectedWait(now time.Duration) float64 {
	if now-u.reportedAt >= maxLoadAge || u.load.Slots <= 0 {
		return 0
	}
	mean := float64(max(u.load.MeanServiceTime, time.Millisecond))
	wait := 0.0
	if excess := u.load.Running + u.load.Waiting + u.outstanding - u.load.Slots; excess >= 0 {
		wait = mean * float64(excess+1) / float64(u.load.Slots)
	}
	if u.load.Cold {
		wait += float64(coldPenalty)
	}
	return wait
}

// RetainRoutes forgets the routes and services that are not known any more.
func (t *Table) RetainRoutes(knownRoute, knownService func(name string) bool) {
	maps.DeleteFunc(t.routeTimes, func(route string, _ float64) bool { return !knownRoute(route) })
	maps.DeleteFunc(t.acceptances, func(key acceptanceKey, _ *acceptance) bool { return !knownService(key.service) })
}
