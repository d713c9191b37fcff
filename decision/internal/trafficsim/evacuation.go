package trafficsim

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/routing"
)

// coldStartRamp is the time in which an upstream becomes able to handle calls in all its slots after a start. The ramp
// of the admission controllers has the same length.
const coldStartRamp = 5 * time.Second

// coldStartConcurrency is the number of concurrent calls that an upstream can handle when it starts.
const coldStartConcurrency = 2

// Evacuation takes a data centre out of service and back in. At TakenOutAt, a version that declares it out comes into
// force at all nodes. At DownAt its upstreams stop. At UpAt they start cold, and a version that declares it in comes
// into force. The baseline learns of the stop and the start only from the list of live upstreams, ListLag later.
type Evacuation struct {
	DataCentre               string
	TakenOutAt, DownAt, UpAt time.Duration
	ListLag                  time.Duration
	// SilentFailure makes stopped upstreams not answer, instead of refusing connections. It also makes a cold upstream
	// that gets more calls than it can handle lose its calls, refuse connections for crashDuration and be cold again,
	// instead of answering with status 503.
	SilentFailure bool
}

const (
	// silentAttemptTimeout is the time after which an entry node gives up an attempt at an upstream that does not
	// answer.
	silentAttemptTimeout = 100 * time.Millisecond
	// crashDuration is the time for which a crashed upstream refuses connections, as in package coldupstream.
	crashDuration = 500 * time.Millisecond
)

// handleUnreachable handles a call to an upstream that is stopped or has crashed. It returns false when the upstream is
// reachable.
func (sim *Simulation) handleUnreachable(b *backend, c *call) bool {
	if !b.stopped && sim.time.Now() >= b.downUntil {
		return false
	}
	if b.stopped && sim.silentFailure {
		sim.time.After(silentAttemptTimeout, func() {
			sim.entries[c.entry].table.RecordOutcome(sim.time.Now(), b.name, routing.AttemptOutcome{Kind: routing.Unresponsive})
			sim.retryCall(b, c, true)
		})
		return true
	}
	sim.entries[c.entry].table.RecordOutcome(sim.time.Now(), b.name, routing.AttemptOutcome{Kind: routing.ConnectionFailed})
	// Nothing was sent, so the attempt at another upstream does not use the retry budget. The baseline counts it as a
	// retry.
	sim.retryCall(b, c, sim.baseline)
	return true
}

// crash makes an upstream lose its calls, refuse connections for crashDuration and be cold.
func (sim *Simulation) crash(b *backend) {
	now := sim.time.Now()
	sim.Crashes++
	b.crashes++
	b.downUntil, b.startedAt, b.coldUntil = now+crashDuration, now+crashDuration, now+crashDuration+coldStartRamp
}

// capacity returns the number of concurrent calls that the upstream can handle now. Above it, the upstream answers with
// status 503.
func (b *backend) capacity(now time.Duration, slots int) int {
	if now >= b.coldUntil {
		return slots
	}
	warmFraction := float64(max(0, now-b.startedAt)) / float64(b.coldUntil-b.startedAt)
	return coldStartConcurrency + int(warmFraction*float64(slots-coldStartConcurrency))
}

// ScheduleEvacuation schedules the steps of an evacuation.
func (sim *Simulation) ScheduleEvacuation(e Evacuation) {
	sim.silentFailure = e.SilentFailure
	sim.time.After(e.TakenOutAt, func() { sim.setDataCentreState(e.DataCentre, config.DataCentreOut) })
	sim.time.After(e.DownAt, func() { sim.setRunning(e.DataCentre, false) })
	sim.time.After(e.DownAt+e.ListLag, func() { sim.setListed(e.DataCentre, false) })
	sim.time.After(e.UpAt, func() {
		sim.setRunning(e.DataCentre, true)
		sim.setDataCentreState(e.DataCentre, config.DataCentreIn)
	})
	sim.time.After(e.UpAt+e.ListLag, func() { sim.setListed(e.DataCentre, true) })
}

// setDataCentreState puts a version with the given state of the data centre in force at all nodes.
func (sim *Simulation) setDataCentreState(dataCentre string, state config.DataCentreState) {
	sim.objects.DataCentres = slices.Clone(sim.objects.DataCentres)
	for i := range sim.objects.DataCentres {
		if sim.objects.DataCentres[i].Name == dataCentre {
			sim.objects.DataCentres[i].State = state
		}
	}
	sim.view = &routing.View{Set: config.NewSet(sim.objects), Members: sim.view.Members}
}

// setRunning stops the upstreams of a data centre, or starts them cold, with new admission controllers.
func (sim *Simulation) setRunning(dataCentre string, on bool) {
	for _, b := range sim.backends {
		if b.dataCentre != dataCentre {
			continue
		}
		b.stopped = !on
		if on {
			b.startedAt, b.coldUntil = sim.time.Now(), sim.time.Now()+coldStartRamp
			b.controller = sim.newController(sim.time.Now(), 0)
		}
	}
}

// setListed adds the upstreams of a data centre to the baseline's list of live upstreams, or removes them.
func (sim *Simulation) setListed(dataCentre string, live bool) {
	sim.listedBackends = nil
	for i, b := range sim.backends {
		if b.dataCentre != dataCentre || live {
			sim.listedBackends = append(sim.listedBackends, i)
		}
	}
}
