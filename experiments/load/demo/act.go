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

// awaitGrace is the time after the bound of an event during which the demo still probes nodes that do not follow it, to
// report how late they are.
const awaitGrace = 2 * time.Second

// Execute executes an event of the trace. It implements load.EventExecutor.
func (m *mesh) Execute(ctx context.Context, e trace.Event) (load.EventResult, error) {
	m.options.logProgress("%s %s", e.Kind, e.Target)
	result := load.EventResult{Event: e, At: time.Now()}
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
		err = m.setControlLinkMode(e, link.ModeCut)
	case trace.RestoreControlLink:
		err = m.setControlLinkMode(e, link.ModeNormal)
	case trace.MakeUpstreamCold:
		err = m.makeUpstreamCold(e)
	case trace.PlatformFault:
		m.platform.SetFault(platform.Fault{Kind: platform.FaultKind(e.Target)})
	default:
		err = fmt.Errorf("unknown event %q", e.Kind)
	}
	return result, err
}

// publish publishes a version and probes each node until it has adopted the version: until it refuses the withdrawn key
// as withdrawn, or until it knows the probe key that the version grants.
func (m *mesh) publish(ctx context.Context, e trace.Event) (load.EventResult, error) {
	at, secret, err := m.publisher.publish(e)
	result := load.EventResult{Event: e, At: at}
	if err != nil {
		return result, err
	}
	accept := provesKnownKey
	if e.Kind == trace.WithdrawKey {
		secret = m.options.secrets[e.Target]
		accept = func(k wire.ErrorKind) bool { return k == wire.KindKeyWithdrawn }
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.WithinMS)*time.Millisecond+awaitGrace)
	defer cancel()
	result.Converged, result.Pending = m.prober.AwaitOutcome(ctx, m.nodeEndpoints(), secret, at, accept, m.isDown)
	m.options.logProgress("%s %s: %d nodes follow, last after %.2f s; %d do not", e.Kind, e.Target,
		len(result.Converged), slowestConvergence(result).Seconds(), len(result.Pending))
	return result, nil
}

// provesKnownKey reports whether an outcome shows that the node knows the key of the probe.
func provesKnownKey(k wire.ErrorKind) bool {
	switch k {
	case load.KindServed, wire.KindTeamRateExceeded, wire.KindOverloaded, wire.KindNoUpstream, wire.KindLeaving:
		return true
	}
	return false
}

func slowestConvergence(result load.EventResult) (last time.Duration) {
	for _, took := range result.Converged {
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

func (m *mesh) makeUpstreamCold(e trace.Event) error {
	for i, v := range m.vms {
		if v.upstream.Name == e.Target {
			m.upstreams[i].MakeCold()
			return nil
		}
	}
	return fmt.Errorf("%w: upstream %q", errUnknownTarget, e.Target)
}

// restartNode starts a killed node again and probes it until it serves the probe key that the newest version grants.
func (m *mesh) restartNode(ctx context.Context, e trace.Event) (load.EventResult, error) {
	result := load.EventResult{Event: e, At: time.Now()}
	p, err := m.process(e.Target)
	if err != nil {
		return result, err
	}
	if err := p.start(); err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(e.WithinMS)*time.Millisecond+awaitGrace)
	defer cancel()
	node := []load.Node{m.nodeEndpoint(p.vm)}
	served := func(k wire.ErrorKind) bool { return k == load.KindServed }
	result.Converged, result.Pending = m.prober.AwaitOutcome(ctx, node, m.publisher.newestSecret(), result.At, served, m.isDown)
	m.options.logProgress("%s %s: serves again after %.2f s", e.Kind, e.Target, slowestConvergence(result).Seconds())
	return result, nil
}

func (m *mesh) setControlLinkMode(e trace.Event, mode link.Mode) error {
	for i, v := range m.vms {
		if v.upstream.Name == e.Target {
			m.controlLinks[i].SetMode(mode)
			return nil
		}
	}
	return fmt.Errorf("%w: upstream %q", errUnknownTarget, e.Target)
}
