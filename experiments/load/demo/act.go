package demo

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/link"
	"github.com/bamboodeal/bamboodeal/standin/platform"
)

// awaitGrace is how much longer than the bound of an event the driver looks for late nodes.
const awaitGrace = 2 * time.Second

// Execute carries out an event of the trace. It implements load.Actor.
func (m *mesh) Execute(ctx context.Context, e trace.Event) (load.EventResult, error) {
	m.options.note("%s %s", e.Kind, e.Target)
	move := load.EventResult{Event: e, At: time.Now()}
	var err error
	switch e.Kind {
	case trace.PublishVersion, trace.WithdrawKey, trace.DataCentreOut, trace.DataCentreIn:
		return m.publish(ctx, e)
	case trace.KillNode:
		err = m.killNode(e)
	case trace.RestartNode:
		return m.restartNode(ctx, e)
	case trace.FreezeNode:
		err = m.signalNode(e, syscall.SIGSTOP)
	case trace.ResumeNode:
		err = m.signalNode(e, syscall.SIGCONT)
	case trace.CutControlLink:
		err = m.setLink(e, link.ModeCut)
	case trace.RestoreControlLink:
		err = m.setLink(e, link.ModeNormal)
	case trace.MakeUpstreamCold:
		err = m.chill(e)
	case trace.PlatformFault:
		m.platform.SetFault(platform.Fault{Kind: platform.FaultKind(e.Target)})
	default:
		err = fmt.Errorf("unknown event %q", e.Kind)
	}
	return move, err
}

// publish publishes a version and probes each node until it behaves accordingly: it refuses the withdrawn key as
// withdrawn, or knows the probe key that the version grants.
func (m *mesh) publish(ctx context.Context, e trace.Event) (load.EventResult, error) {
	at, secret, err := m.versions.publish(e)
	move := load.EventResult{Event: e, At: at}
	if err != nil {
		return move, err
	}
	accept := knowsKey
	if e.Kind == trace.WithdrawKey {
		secret = m.options.secrets[e.Target]
		accept = func(k wire.ErrorKind) bool { return k == wire.KindKeyWithdrawn }
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.WithinMS)*time.Millisecond+awaitGrace)
	defer cancel()
	move.Converged, move.Pending = m.prober.AwaitOutcome(ctx, m.nodes(), secret, at, accept, m.down)
	m.options.note("%s %s: %d nodes follow, last after %.2f s; %d do not", e.Kind, e.Target,
		len(move.Converged), slowest(move).Seconds(), len(move.Pending))
	return move, nil
}

// knowsKey accepts the outcomes that a node gives only to a key that it knows.
func knowsKey(k wire.ErrorKind) bool {
	switch k {
	case load.KindServed, wire.KindTeamRateExceeded, wire.KindOverloaded, wire.KindNoUpstream, wire.KindLeaving:
		return true
	}
	return false
}

func slowest(m load.EventResult) (last time.Duration) {
	for _, took := range m.Converged {
		last = max(last, took)
	}
	return last
}

func (m *mesh) killNode(e trace.Event) error {
	p, err := m.process(e.Target)
	if err != nil {
		return err
	}
	return p.kill()
}

func (m *mesh) chill(e trace.Event) error {
	for i, v := range m.vms {
		if v.upstream.Name == e.Target {
			m.upstreams[i].MakeCold()
			return nil
		}
	}
	return fmt.Errorf("%w: upstream %q", errTarget, e.Target)
}

// restartNode starts the node again and waits until it serves a key that only the newest version grants.
func (m *mesh) restartNode(ctx context.Context, e trace.Event) (load.EventResult, error) {
	move := load.EventResult{Event: e, At: time.Now()}
	p, err := m.process(e.Target)
	if err != nil {
		return move, err
	}
	if err := p.start(); err != nil {
		return move, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.WithinMS)*time.Millisecond+awaitGrace)
	defer cancel()
	node := []load.Node{m.node(p.vm)}
	served := func(k wire.ErrorKind) bool { return k == load.KindServed }
	move.Converged, move.Pending = m.prober.AwaitOutcome(ctx, node, m.versions.newestSecret(), move.At, served, m.down)
	m.options.note("%s %s: serves again after %.2f s", e.Kind, e.Target, slowest(move).Seconds())
	return move, nil
}

func (m *mesh) setLink(e trace.Event, mode link.Mode) error {
	for i, v := range m.vms {
		if v.upstream.Name == e.Target {
			m.links[i].SetMode(mode)
			return nil
		}
	}
	return fmt.Errorf("%w: upstream %q", errTarget, e.Target)
}
