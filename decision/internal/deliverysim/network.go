// Package deliverysim is a fake fleet in virtual time that looks for calls that run twice and for a false "not run".
package deliverysim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
	"github.com/bamboodeal/bamboodeal/decision/internal/virtualtime"
)

// Time is scaled down: a retention time of 3 s stands for 15 minutes.
var fakeConfig = delivery.Config{
	Retention: 3 * time.Second, MaxDeadline: 300 * time.Millisecond, AdoptionBound: 200 * time.Millisecond,
	PauseThreshold: 50 * time.Millisecond,
}

const (
	fakeRunLength = 8 * time.Second
	dataCentres   = 3
)

// network is a fake fleet: every machine is an entry node and the controller of one upstream. Messages are lost,
// doubled, delayed and reordered; machines freeze between any two steps, crash and restart with empty records.
type network struct {
	rng      *rand.Rand
	cfg      delivery.Config
	time     virtualtime.Queue
	machines []*machine
	set      *config.Set
	version  int
	cut      time.Duration
	cutFrom  int

	runs map[string]int
	ran  map[string]bool
	// sentRun holds, by identity, when the caller sent the calls that ran.
	sentRun map[string][]time.Duration
	notRun  []told
	tally   map[wire.Outcome]int
}

// told is a "not run" that a caller heard.
type told struct {
	call, identity string
	kind           wire.ErrorKind
	at             time.Duration
}

// falsified reports whether the "not run" was wrong. A refusal for the identity itself says more: no attempt that
// was on its way by then has run or will.
func (n *network) falsified(t told) bool {
	onTheWay := func(sent time.Duration) bool { return sent <= t.at }
	return n.ran[t.call] || t.kind == wire.KindDuplicateRequest && slices.ContainsFunc(n.sentRun[t.identity], onTheWay)
}

type machine struct {
	name      string
	zone      int
	ledger    *delivery.Ledger
	history   *delivery.CandidateHistory
	set       *config.Set
	version   int
	life      int
	downUntil time.Duration
	frozen    time.Duration
	paused    bool
	// pauseEnd is when the machine last resumed from a pause that it noticed.
	pauseEnd time.Duration
}

func newNetwork(seed uint64, without safeguard.Set) *network {
	cfg := fakeConfig
	cfg.Disabled = without
	n := &network{
		rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, runs: map[string]int{}, ran: map[string]bool{},
		sentRun: map[string][]time.Duration{},
		tally:   map[wire.Outcome]int{},
	}
	n.set = n.declare(0, -1)
	for i := range 2 * dataCentres {
		m := &machine{name: fmt.Sprintf("u%d", i), zone: i % dataCentres}
		n.boot(m, -10*time.Second)
		n.machines = append(n.machines, m)
	}
	return n
}

// declare returns a set in which one upstream may be missing and one data centre may be out.
func (n *network) declare(missing, out int) *config.Set {
	o := config.Objects{Services: []config.Service{{Name: "s"}}}
	for i := range dataCentres {
		state := config.DataCentreIn
		if i == out {
			state = config.DataCentreOut
		}
		o.DataCentres = append(o.DataCentres, config.DataCentre{Name: fmt.Sprint(i), State: state})
	}
	for i := range 2 * dataCentres {
		if i != missing {
			u := config.Upstream{Name: fmt.Sprintf("u%d", i), Service: "s", DataCentre: fmt.Sprint(i % dataCentres)}
			o.Upstreams = append(o.Upstreams, u)
		}
	}
	return config.NewSet(o)
}

func (n *network) boot(m *machine, at time.Duration) {
	m.life++
	m.ledger = delivery.NewLedger(n.cfg, at, fmt.Sprintf("%s-%d", m.name, m.life))
	m.history = delivery.NewCandidateHistory(n.cfg)
	m.set = n.set
	m.pauseEnd = -time.Second
	m.version = n.version
	m.history.Adopt(at, n.set)
}

func (n *network) chance(p float64) bool { return n.rng.Float64() < p }

func (n *network) between(low, high time.Duration) time.Duration {
	return low + time.Duration(n.rng.Int64N(int64(high-low)+1))
}

// step schedules something that the process of the machine does.
func (n *network) step(m *machine, d time.Duration, fn func()) { n.schedule(d, m, m.life, fn) }

// schedule schedules a step of the machine's process with the given number; -1 stands for whichever runs then. A
// frozen process takes the step when it wakes.
func (n *network) schedule(d time.Duration, m *machine, life int, fn func()) {
	var step func()
	step = func() {
		now := n.time.Now()
		if now < m.downUntil || life >= 0 && life != m.life {
			return
		}
		n.freeze(m)
		if now < m.frozen {
			n.time.At(m.frozen, step)
			return
		}
		if m.paused {
			// A node that was paused hears from others before it takes work.
			m.paused = false
			m.pauseEnd = now
			n.adopt(m, n.set, n.version)
		}
		fn()
	}
	n.time.After(d, step)
}

// freeze stops a machine now and then, for a time between a part of a millisecond and 4 s.
func (n *network) freeze(m *machine) {
	now := n.time.Now()
	if now < m.frozen || now > fakeRunLength || !n.chance(0.01) {
		return
	}
	m.frozen = now + n.between(0, time.Millisecond<<n.rng.IntN(13))
	m.paused = m.paused || m.frozen-now > n.cfg.PauseThreshold
}

func (n *network) adopt(m *machine, set *config.Set, version int) {
	if version <= m.version {
		return
	}
	if version != m.version+1 {
		m.history.RecordSkippedSet(n.time.Now())
	}
	m.set, m.version = set, version
	m.history.Adopt(n.time.Now(), set)
}

// send delivers a message to whichever process runs at the machine when it arrives.
func (n *network) send(from, to *machine, life int, fn func()) {
	copies := 1
	if n.chance(0.05) {
		copies = 2
	}
	for range copies {
		delay := n.between(time.Millisecond, 10*time.Millisecond)
		if n.chance(0.03) {
			delay = n.between(0, 2*time.Second)
		}
		severed := n.time.Now() < n.cut && (from.zone == n.cutFrom) != (to.zone == n.cutFrom)
		if !n.chance(0.03) && !severed {
			n.schedule(delay, to, life, fn)
		}
	}
}

// disturb schedules crashes, new versions and partitions.
func (n *network) disturb() {
	interval := n.between(4*time.Second, 30*time.Second)
	for _, m := range n.machines {
		for at := n.between(0, interval); at < fakeRunLength; at += n.between(0, interval) {
			n.time.After(at, func() { n.crash(m) })
		}
	}
	for at := n.between(0, time.Second); at < fakeRunLength; at += n.between(50*time.Millisecond, 2*time.Second) {
		n.time.After(at, n.publish)
	}
	n.time.After(n.between(0, fakeRunLength), func() {
		n.cut = n.time.Now() + n.between(0, time.Second)
		n.cutFrom = n.rng.IntN(dataCentres)
	})
}

func (n *network) crash(m *machine) {
	if n.time.Now() < m.downUntil {
		return
	}
	m.downUntil = n.time.Now()
	if n.chance(0.5) {
		m.downUntil += n.between(0, time.Second)
	}
	m.frozen, m.paused = 0, false
	at := m.downUntil
	m.life++
	n.time.After(at-n.time.Now(), func() { n.boot(m, n.time.Now()) })
}

// publish adopts a new set at each machine within half of the adoption bound; freezes of up to a quarter of it
// go unnoticed and add to that.
func (n *network) publish() {
	out := n.rng.IntN(2*dataCentres) - dataCentres
	set := n.declare(n.rng.IntN(4*dataCentres), out)
	n.set = set
	n.version++
	version := n.version
	for _, m := range n.machines {
		n.schedule(n.between(0, n.cfg.AdoptionBound/2), m, m.life, func() {
			n.adopt(m, set, version)
		})
	}
}

func (n *network) machine(name string) *machine {
	for _, m := range n.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}
