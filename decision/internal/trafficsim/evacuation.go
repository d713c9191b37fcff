package trafficsim

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/decision/routing"
)

// coldRamp is the time in which a cold upstream comes to bear all its slots, and that of the controllers' ramp.
const coldRamp = 5 * time.Second

// coldInitial is the number of calls at once that an upstream bears when it starts.
const coldInitial = 2

// Evacuation is a data centre that leaves and returns. The version that takes it out is in force at the entry nodes and
// controllers at Out; its upstreams go away at Down and start cold at Up, when the version that takes it in again is
// in force. The baseline knows of both only through the live list, Lag later.
type Evacuation struct {
	DataCentre               string
	TakenOutAt, DownAt, UpAt time.Duration
	ListLag                  time.Duration
	// SilentFailure makes the upstreams that are away silent instead of refusing connections. A cold upstream that gets
	// more than it bears then loses its calls, refuses connections for fallTime and is cold again, instead of
	// answering 503.
	SilentFailure bool
}

const (
	// silence is the time after which an entry node gives up an attempt at an upstream that does not answer.
	silence = 100 * time.Millisecond
	// fallTime is that of package coldupstream.
	fallTime = 500 * time.Millisecond
)

// unreachable handles a call at an upstream that is away, and reports whether it is.
func (m *Simulation) unreachable(b *backend, c *call) bool {
	if !b.dead && m.time.Now() >= b.downUntil {
		return false
	}
	if b.dead && m.harsh {
		m.time.After(silence, func() {
			m.entries[c.entry].table.RecordOutcome(m.time.Now(), b.name, routing.AttemptOutcome{Kind: routing.Unresponsive})
			m.again(b, c, true)
		})
		return true
	}
	m.entries[c.entry].table.RecordOutcome(m.time.Now(), b.name, routing.AttemptOutcome{Kind: routing.ConnectionFailed})
	// Nothing was sent, so another candidate is free; the baseline counts it as a retry.
	m.again(b, c, m.baseline)
	return true
}

// fall makes an upstream lose its calls and be cold again.
func (m *Simulation) fall(b *backend) {
	now := m.time.Now()
	m.Crashes++
	b.falls++
	b.downUntil, b.coldFrom, b.coldUntil = now+fallTime, now+fallTime, now+fallTime+coldRamp
}

// bears is the number of calls at once that the upstream bears; above it, it answers 503.
func (b *backend) bears(now time.Duration, slots int) int {
	if now >= b.coldUntil {
		return slots
	}
	warmth := float64(max(0, now-b.coldFrom)) / float64(b.coldUntil-b.coldFrom)
	return coldInitial + int(warmth*float64(slots-coldInitial))
}

// ScheduleEvacuation schedules a move.
func (m *Simulation) ScheduleEvacuation(move Evacuation) {
	m.harsh = move.SilentFailure
	m.time.After(move.TakenOutAt, func() { m.setState(move.DataCentre, config.DataCentreOut) })
	m.time.After(move.DownAt, func() { m.power(move.DataCentre, false) })
	m.time.After(move.DownAt+move.ListLag, func() { m.list(move.DataCentre, false) })
	m.time.After(move.UpAt, func() {
		m.power(move.DataCentre, true)
		m.setState(move.DataCentre, config.DataCentreIn)
	})
	m.time.After(move.UpAt+move.ListLag, func() { m.list(move.DataCentre, true) })
}

// setState puts a version in force at all nodes.
func (m *Simulation) setState(dataCentre string, state config.DataCentreState) {
	m.objects.DataCentres = slices.Clone(m.objects.DataCentres)
	for i := range m.objects.DataCentres {
		if m.objects.DataCentres[i].Name == dataCentre {
			m.objects.DataCentres[i].State = state
		}
	}
	m.view = &routing.View{Set: config.NewSet(m.objects), Members: m.view.Members}
}

// power stops the upstreams and nodes of a data centre, or starts them: the upstreams cold, the nodes without
// knowledge.
func (m *Simulation) power(dataCentre string, on bool) {
	for _, b := range m.backends {
		if b.dataCentre != dataCentre {
			continue
		}
		b.dead = !on
		if on {
			b.coldFrom, b.coldUntil = m.time.Now(), m.time.Now()+coldRamp
			b.queue = m.newController(m.time.Now(), 0)
		}
	}
}

// list adds the data centre's upstreams to the baseline's list, or removes them.
func (m *Simulation) list(dataCentre string, live bool) {
	m.listed = nil
	for i, b := range m.backends {
		if b.dataCentre != dataCentre || live {
			m.listed = append(m.listed, i)
		}
	}
}
