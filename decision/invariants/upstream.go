package invariants

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/admission"
)

const (
	upstreamSlots      = 6
	initialConcurrency = 2
	rampTime           = 2 * time.Second
	// coldFactor is the ratio of the latency of a cold upstream to that of a warm one.
	coldFactor  = 4
	workLatency = 20 * time.Millisecond
	// shedShare and resetShare are the shares of calls that an upstream refuses or whose connection it resets although it
	// has capacity.
	shedShare, resetShare = 0.01, 0.01
)

// upstream is a fake upstream whose capacity rises from initialConcurrency, when it is cold, to upstreamSlots within
// rampTime.
type upstream struct {
	mesh         *SimulatedMesh
	name         string
	coldSince    time.Duration // when it became cold
	runningCalls int
	// coldUnnoticed is true from the time when the upstream becomes cold without warning until its controller has
	// lowered its limit to the capacity. excessCalls counts the calls above the capacity in that time.
	coldUnnoticed bool
	excessCalls   int
}

func (u *upstream) capacity() int {
	return initialConcurrency + int(float64(upstreamSlots-initialConcurrency)*u.warmFraction())
}

// warmFraction is 0 for a cold upstream and 1 for a warm one.
func (u *upstream) warmFraction() float64 {
	return min(1, float64(u.mesh.Now()-u.coldSince)/float64(rampTime))
}

// replaceWithCold replaces the upstream by a cold one while the node beside it is stopped.
func (u *upstream) replaceWithCold() { u.coldSince, u.coldUnnoticed = u.mesh.Now(), false }

// makeCold makes the upstream cold without warning.
func (u *upstream) makeCold() {
	u.coldSince = u.mesh.Now()
	u.coldUnnoticed, u.excessCalls = true, 0
}

// runCall runs a call and passes its result to done in a step of the controller's process.
func (u *upstream) runCall(n *node, done func(admission.Result)) {
	u.runningCalls++
	u.mesh.checker.checkLoad(u)
	latency := time.Duration(float64(workLatency) * (1 + (coldFactor-1)*(1-u.warmFraction())) * (0.8 + 0.4*u.mesh.Random.Float64()))
	kind := admission.Succeeded
	switch {
	case u.runningCalls > u.capacity():
		latency, kind = time.Millisecond, admission.Shed
	case u.mesh.randomBool(shedShare):
		kind = admission.Shed
	case u.mesh.randomBool(resetShare):
		kind = admission.ConnectionFailed
	}
	started := u.mesh.Now()
	incarnation := n.Incarnation()
	u.mesh.After(latency, func() {
		if n.Incarnation() != incarnation {
			return // cancelled with the connection, when the process ended
		}
		u.runningCalls--
		n.runStep(incarnation, func() {
			before := n.admission.Load(u.mesh.Now()).Limit
			done(admission.Result{Latency: u.mesh.Now() - started, Kind: kind})
			u.observeLimit(before, n.admission.Load(u.mesh.Now()).Limit)
		})
	})
}

// cancelCalls ends all calls when the node's process has stopped and so closed their connections; upstreams cancel such
// calls.
func (u *upstream) cancelCalls() {
	u.runningCalls = 0
}

// observeLimit resets coldUnnoticed when the controller has lowered its limit to the capacity.
func (u *upstream) observeLimit(before, limit int) {
	if limit < before && limit <= u.capacity() {
		u.coldUnnoticed = false
	}
}
