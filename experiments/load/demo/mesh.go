package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	api "github.com/bamboodeal/bamboodeal/api/platform"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/link"
	"github.com/bamboodeal/bamboodeal/standin/platform"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// mesh is everything that the driver started.
type mesh struct {
	options   Options
	vms       []*vm
	platform  *platform.Server
	versions  *versions
	prober    *load.Prober
	baseline  *load.Baseline
	upstreams []*upstream.Server
	processes []*process
	// links are those before the control ports, in the order of vms; allLinks holds every link.
	links    []*link.Link
	allLinks []*link.Link
}

// errProbeRoute means that the driver has no way to see a node's version from outside.
var errProbeRoute = errors.New("declare a public idempotent GET route")

// errInterrupted means that the demo was told to stop; it has stopped what it started.
var errInterrupted = errors.New("interrupted")

// newMesh starts the stand-ins and publishes the first version. Close must be called also after an error.
func newMesh(o Options, d *Deployment) (*mesh, error) {
	m := &mesh{options: o, platform: platform.New(platform.Options{})}
	number := network()
	m.vms = layout(d.Objects, number)
	m.versions = newVersions(m.platform, d.Objects, o.Seed, o.MaxDeadline)
	path, err := probePath(d.Objects)
	if err != nil {
		return m, err
	}
	m.prober = load.NewProber(path)
	if m.baseline, err = load.NewBaseline(baselineAddress(number)); err != nil {
		return m, err
	}
	address, _, err := m.platform.Listen(platformAddress(number), "")
	if err != nil {
		return m, err
	}
	if _, _, err := m.versions.publish(trace.Event{Kind: trace.PublishVersion}); err != nil {
		return m, err
	}
	members := make([]api.Member, 0, len(m.vms))
	for _, v := range m.vms {
		if err := m.startStandins(v, d); err != nil {
			return m, err
		}
		members = append(members, m.member(v))
	}
	m.platform.SetMembers(members)
	return m, m.prepareProcesses("http://" + address)
}

func probePath(o config.Objects) (string, error) {
	for i := range o.Routes {
		r := &o.Routes[i]
		if r.Visibility != config.VisibilityPublic || !r.Idempotent {
			continue
		}
		for _, method := range r.Methods {
			if method == http.MethodGet {
				return r.PathPrefix, nil
			}
		}
	}
	return "", errProbeRoute
}

func (m *mesh) startStandins(v *vm, d *Deployment) error {
	secrets := make([]string, 0, len(d.Secrets)+probeSecrets)
	for _, secret := range d.Secrets {
		secrets = append(secrets, secret)
	}
	for number := range uint64(probeSecrets) {
		secrets = append(secrets, m.versions.probeSecret(number+1))
	}
	var cold upstream.ColdStart
	for _, s := range d.Objects.Services {
		if s.Name == v.upstream.Service {
			cold = upstream.ColdStart{InitialConcurrency: s.ColdStart.InitialConcurrency, RampMS: s.ColdStart.RampMS}
		}
	}
	server := upstream.New(upstream.Options{
		Name: v.upstream.Name, DataCentre: v.upstream.DataCentre,
		Address: v.address(upstreamPort), LocalAddress: v.address(localPort),
		Slots: v.upstream.Slots, MaxConnections: v.upstream.Connections, ColdStart: cold, ForbiddenKeys: secrets,
	})
	m.upstreams = append(m.upstreams, server)
	if _, _, err := server.Listen(); err != nil {
		return err
	}
	return m.startLinks(v)
}

// startLinks puts a link before the control port, which counts its bytes, and with latency also before the peer
// and the caller port.
func (m *mesh) startLinks(v *vm) error {
	l := m.options.latency
	between := l.between(v, m.vms)
	control, err := m.link(v, controlLinkPort, controlPort, between)
	if err != nil {
		return err
	}
	m.links = append(m.links, control)
	if l == (latency{}) {
		return nil
	}
	if _, err := m.link(v, peerLinkPort, peerPort, between); err != nil {
		return err
	}
	_, err = m.link(v, callerLinkPort, callerPort, func(string) time.Duration { return l.toClients })
	return err
}

func (m *mesh) link(v *vm, port, target int, delay func(string) time.Duration) (*link.Link, error) {
	l, err := link.Listen(link.Options{
		Address: v.address(port), Target: v.address(target), KeepSource: true, DelayBySource: delay,
	})
	if err == nil {
		m.allLinks = append(m.allLinks, l)
	}
	return l, err
}

func (m *mesh) prepareProcesses(platformURL string) error {
	if err := os.MkdirAll(m.options.Directory, 0o700); err != nil {
		return err
	}
	for _, v := range m.vms {
		settings := settingsFor(v, m.vms, platformURL, m.options.MaxDeadline, m.options.IdentityRetention)
		p, err := newProcess(v, m.options.Binary, m.options.Directory, settings)
		if err != nil {
			return err
		}
		m.processes = append(m.processes, p)
	}
	return nil
}

// startNodes starts all nodes and waits until each serves a probe call.
func (m *mesh) startNodes(ctx context.Context) error {
	for _, p := range m.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(parent, m.options.ReadyTimeout)
	defer cancel()
	go m.cancelWhenOneEnds(ctx, cancel)
	secret := m.versions.probeSecret(1)
	served := func(k wire.ErrorKind) bool { return k == load.KindServed }
	_, pending := m.prober.AwaitOutcome(ctx, m.nodes(), secret, time.Now(), served, func(load.Node) bool { return false })
	if parent.Err() != nil {
		return errInterrupted
	}
	for _, p := range m.processes {
		if err := p.alive(); err != nil {
			return err
		}
	}
	if len(pending) > 0 {
		return fmt.Errorf("nodes %v do not serve after %v; see their logs in %s",
			pending, m.options.ReadyTimeout, m.options.Directory)
	}
	return nil
}

// cancelWhenOneEnds saves the wait for a node that has ended, for example because of its settings.
func (m *mesh) cancelWhenOneEnds(ctx context.Context, cancel func()) {
	for sleep(ctx, 100*time.Millisecond) {
		for _, p := range m.processes {
			if p.alive() != nil {
				cancel()
			}
		}
	}
}

func (m *mesh) nodes() []load.Node {
	nodes := make([]load.Node, 0, len(m.vms))
	for _, v := range m.vms {
		nodes = append(nodes, m.node(v))
	}
	return nodes
}

// node is where callers reach the VM's node.
func (m *mesh) node(v *vm) load.Node {
	port := callerPort
	if m.options.latency != (latency{}) {
		port = callerLinkPort
	}
	return load.Node{Name: v.name, CallerAddress: v.address(port)}
}

// member is the VM's entry in the platform's list. Its control address is that of the link, and with latency its
// peer address too.
func (m *mesh) member(v *vm) api.Member {
	peer := peerPort
	if m.options.latency != (latency{}) {
		peer = peerLinkPort
	}
	return api.Member{
		VM: v.name, Upstream: v.upstream.Name, DataCentre: v.upstream.DataCentre, State: api.MemberLive,
		CallerAddress:   v.address(callerPort),
		PeerAddress:     v.address(peer),
		ControlAddress:  v.address(controlLinkPort),
		OperatorAddress: v.address(operatorPort),
	}
}

// process returns the node process beside an upstream.
func (m *mesh) process(upstreamName string) (*process, error) {
	for _, p := range m.processes {
		if p.vm.upstream.Name == upstreamName {
			return p, nil
		}
	}
	return nil, fmt.Errorf("%w: upstream %q", errTarget, upstreamName)
}

// down reports whether a node's process is not running; such a node need not follow.
func (m *mesh) down(n load.Node) bool {
	for _, p := range m.processes {
		if p.vm.name == n.Name {
			return !p.running()
		}
	}
	return true
}

// stopNodes stops all nodes gracefully and at the same time. It returns those that did not stop as they should.
func (m *mesh) stopNodes() error {
	var mu sync.Mutex
	var errs []error
	var tasks conc.WaitGroup
	for _, p := range m.processes {
		tasks.Go(func() {
			if err := p.stop(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				errs = append(errs, err)
			}
		})
	}
	tasks.Wait()
	return errors.Join(errs...)
}

// close stops everything.
func (m *mesh) close() {
	_ = m.stopNodes()
	if m.prober != nil {
		m.prober.Close()
	}
	if m.baseline != nil {
		m.baseline.Close()
	}
	for _, l := range m.allLinks {
		_ = l.Close()
	}
	for _, u := range m.upstreams {
		_ = u.Close()
	}
	_ = m.platform.Close()
}

func (m *mesh) records() []upstream.CallRecord {
	var all []upstream.CallRecord
	for _, u := range m.upstreams {
		all = append(all, u.Records()...)
	}
	return all
}

// controlBytes sums what each VM received and sent for control: on the link before its own control port, on
// its connections to those of others, and with the platform.
func (m *mesh) controlBytes() map[string]uint64 {
	byIP := map[string]uint64{}
	for i, l := range m.links {
		for pair, count := range l.ByteCounts() {
			total := count.Forward + count.Backward
			byIP[pair.Source] += total
			byIP[m.vms[i].ip] += total
		}
	}
	for ip, counter := range m.platform.CountersByIP() {
		byIP[ip] += counter.BytesIn + counter.BytesOut
	}
	byVM := make(map[string]uint64, len(m.vms))
	for _, v := range m.vms {
		byVM[v.name] = byIP[v.ip]
	}
	return byVM
}

// signalNode sends a signal to the process of the event's target.
func (m *mesh) signalNode(e trace.Event, s syscall.Signal) error {
	p, err := m.process(e.Target)
	if err != nil {
		return err
	}
	return p.signal(s)
}
