package sidecar

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// neighbourProbeInterval is the time between two rounds of probes in a data centre, and neighbourAnswerTime how long
	// an answer shows that the data centre is not cut off.
	neighbourProbeInterval = 300 * time.Millisecond
	neighbourAnswerTime    = 2 * neighbourProbeInterval
	// neighboursProbed is the number of VMs that are probed in a round. More than one is probed because VMs that are
	// stopped or lose power together are often in the same data centre.
	neighboursProbed = 3
)

// neighbourProber finds out whether the data centre of a VM that does not answer is cut off from this node, by asking
// other VMs there. A node that has stopped is told from one behind a partition in no other way.
type neighbourProber struct {
	o     *Options
	ownVM string
	probe func(vm string) error

	mu sync.Mutex
	// states holds the state by the VM that does not answer.
	states map[string]*neighbourState
}

// neighbourState is the state of the probes for one VM that does not answer. Times are on the process's clock.
type neighbourState struct {
	// answeredAt is when the last probe that was answered was sent, or 0.
	answeredAt time.Duration
	// nextRound is when the next round of probes is due.
	nextRound time.Duration
}

func newNeighbourProber(o *Options, ownVM string, probe func(vm string) error) *neighbourProber {
	return &neighbourProber{o: o, ownVM: ownVM, probe: probe, states: map[string]*neighbourState{}}
}

// answer reports whether another VM in the data centre of the given one answered a probe that was sent recently and later
// than since, the time from which the VM has not answered. It never waits: probes are sent in the background.
func (p *neighbourProber) answer(now time.Duration, vm string, since time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.states[vm]
	if state == nil {
		state = &neighbourState{}
		p.states[vm] = state
	}
	if now >= state.nextRound {
		state.nextRound = now + neighbourProbeInterval
		for _, neighbour := range p.neighbours(vm) {
			go p.probeNeighbour(state, neighbour)
		}
	}
	return state.answeredAt > since && now-state.answeredAt < neighbourAnswerTime
}

func (p *neighbourProber) probeNeighbour(state *neighbourState, vm string) {
	sentAt := p.o.Clock.Now()
	if err := p.probe(vm); err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state.answeredAt = max(state.answeredAt, sentAt)
}

// neighbours returns some VMs, other than this node's, in the data centre of the given one.
func (p *neighbourProber) neighbours(vm string) []string {
	members := p.o.View().Members()
	dataCentre := ""
	for _, m := range members {
		if m.VM == vm {
			dataCentre = m.DataCentre
		}
	}
	var found []string
	for _, m := range members {
		if m.DataCentre == dataCentre && m.VM != vm && m.VM != p.ownVM {
			found = append(found, m.VM)
		}
	}
	rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(len(found), neighboursProbed)]
}

// retainOnly forgets the VMs that are not listed.
func (p *neighbourProber) retainOnly(listed []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm := range p.states {
		if !slices.Contains(listed, vm) {
			delete(p.states, vm)
		}
	}
}
