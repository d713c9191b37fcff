package invariants

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/admission"
)

const (
	slots   = 6
	initial = 2
	ramp    = 2 * time.Second
	// coldFactor is how many times slower a cold upstream is.
	coldFactor  = 4
	workLatency = 20 * time.Millisecond
	// shedShare and resetShare are the shares of calls that a warm upstream refuses or resets.
	shedShare, resetShare = 0.01, 0.01
)

// upstream is a fake that bears its initial concurrency when cold and all slots a ramp later.
type upstream struct {
	w       *SimulatedMesh
	name    string
	cold    time.Duration // when it became cold
	running int
	// unnoticed is true from when it becomes cold without warning until its controller has lowered the limit to what
	// it bears; excess counts the calls above that meanwhile.
	unnoticed bool
	excess    int
}

func (u *upstream) bears() int { return initial + int(float64(slots-initial)*u.warmth()) }

// warmth is 0 when cold and 1 when warm.
func (u *upstream) warmth() float64 { return min(1, float64(u.w.Now()-u.cold)/float64(ramp)) }

// replace puts a cold upstream in its place while the node beside it is stopped.
func (u *upstream) replace() { u.cold, u.unnoticed = u.w.Now(), false }

// chill makes the upstream cold without warning.
func (u *upstream) chill() {
	u.cold = u.w.Now()
	u.unnoticed, u.excess = true, 0
}

// work runs a call and passes its result to done, in the step of the controller's process.
func (u *upstream) work(n *node, done func(admission.Result)) {
	u.running++
	u.w.check.load(u)
	latency := time.Duration(float64(workLatency) * (1 + (coldFactor-1)*(1-u.warmth())) * (0.8 + 0.4*u.w.Random.Float64()))
	kind := admission.Succeeded
	switch {
	case u.running > u.bears():
		latency, kind = time.Millisecond, admission.Shed
	case u.w.chance(shedShare):
		kind = admission.Shed
	case u.w.chance(resetShare):
		kind = admission.ConnectionFailed
	}
	started := u.w.Now()
	life := n.Incarnation()
	u.w.After(latency, func() {
		if n.Incarnation() != life {
			return // cancelled with the connection, when the process ended
		}
		u.running--
		n.do(life, func() {
			before := n.admission.Load(u.w.Now()).Limit
			done(admission.Result{Latency: u.w.Now() - started, Kind: kind})
			u.notice(before, n.admission.Load(u.w.Now()).Limit)
		})
	})
}

// abandon ends all calls whose connection the node's end has closed; upstreams accept cancellation.
func (u *upstream) abandon() {
	u.running = 0
}

// notice ends the time in which the controller need not know that the upstream is cold.
func (u *upstream) notice(before, limit int) {
	if limit < before && limit <= u.bears() {
		u.unnoticed = false
	}
}
