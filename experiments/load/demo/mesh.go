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

// mesh holds everything that a run of the demo started: the stand-ins, the links between them and the node processes.
type mesh struct {
	options   Options
	vms       []*vm
	platform  *platform.Server
	publisher *versionPublisher
	prober    *load.Prober
	baseline  *load.Baseline
	upstreams []*upstream.Server
	processes []*process
	// controlLinks are the links in front of the control ports, in the order of vms; allLinks holds every link.
	controlLinks []*link.Link
	allLinks     []*link.Link
}

// errNoProbeRoute means that the deployment has no route through which the demo can probe the version of a node.
var errNoProbeRoute = errors.New("no route for probe calls; declare a public idempotent GET route")

// errInterrupted means that the context ended. The demo stops everything that it started before it returns this error.
var errInterrupted = errors.New("interrupted")

// newMesh starts the stand-ins, publishes the first version and prepares the node processes. The caller must call
// close, also after an error.
func newMesh(o Options, d *Deployment) (*mesh, error) {
	m := &mesh{options: o, platform: platform.New(platform.Options{})}
	network := loopbackNetwork()
	m.vms = layoutVMs(d.Objects, network)
	m.publisher = newVersionPublisher(m.platform, d.Objects, o.Seed, o.MaxDeadline)
	path, err := probePath(d.Objects)
	if err != nil {
		return m, err
	}
	m.prober = load.NewProber(path)
	if m.baseline, err = load.NewBaseline(baselineAddress(network)); err != nil {
		return m, err
	}
	address, _, err := m.platform.Listen(platformAddress(network), "")
	if err != nil {
		return m, err
	}
	if _, _, err := m.publisher.publish(trace.Event{Kind: trace.PublishVersion}); err != nil {
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

// probePath returns a path of a public idempotent route with the method GET.
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
	return "", errNoProbeRoute
}

func (m *mesh) startStandins(v *vm, d *Deployment) error {
	secrets := make([]string, 0, len(d.Secrets)+probeSecretCount)
	for _, secret := range d.Secrets {
		secrets = append(secrets, secret)
	}
	for number := range uint64(probeSecretCount) {
		secrets = append(secrets, m.publisher.probeSecret(number+1))
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

// startLinks starts a link in front of the control port, which counts the bytes, and, if the links add latency, also in
// front of the peer port and the caller port.
func (m *mesh) startLinks(v *vm) error {
	l := m.options.latency
	delay := l.delayBySource(v, m.vms)
	control, err := m.startLink(v, controlLinkPort, controlPort, delay)
	if err != nil {
		return err
	}
	m.controlLinks = append(m.controlLinks, control)
	if l == (linkLatency{}) {
		return nil
	}
	if _, err := m.startLink(v, peerLinkPort, peerPort, delay); err != nil {
		return err
	}
	_, err = m.startLink(v, callerLinkPort, callerPort, func(string) time.Duration { return l.toClients })
	return err
}

func (m *mesh) startLink(v *vm, port, target int, delay func(string) time.Duration) (*link.Link, error) {
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
		settings := newNodeSettings(v, m.vms, platformURL, m.options.MaxDeadline, m.options.IdentityRetention)
		p, err := newProcess(v, m.options.Binary, m.options.Directory, settings)
		if err != nil {
			return err
		}
		m.processes = append(m.processes, p)
	}
	return nil
}

// startNodes starts all nodes and waits until each of them serves a probe call.
func (m *mesh) startNodes(ctx context.Context) error {
	for _, p := range m.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	parent := ctx
	ctx, cancel := context.WithTimeout(parent, m.options.ReadyTimeout)
	defer cancel()
	go m.cancelWhenNodeExits(ctx, cancel)
	secret := m.publisher.probeSecret(1)
	served := func(k wire.ErrorKind) bool { return k == load.KindServed }
	_, pending := m.prober.AwaitOutcome(ctx, m.nodeEndpoints(), secret, time.Now(), served, func(load.Node) bool { return false })
	if parent.Err() != nil {
		return errInterrupted
	}
	for _, p := range m.processes {
		if err := p.checkNotExited(); err != nil {
			return err
		}
	}
	if len(pending) > 0 {
		return fmt.Errorf("nodes %v do not serve after %v; see their logs in %s",
			pending, m.options.ReadyTimeout, m.options.Directory)
	}
	return nil
}

// cancelWhenNodeExits ends the wait for the nodes as soon as one of them has exited, for example because of invalid
// settings.
func (m *mesh) cancelWhenNodeExits(ctx context.Context, cancel func()) {
	for sleepContext(ctx, 100*time.Millisecond) {
		for _, p := range m.processes {
			if p.checkNotExited() != nil {
				cancel()
			}
		}
	}
}

func (m *mesh) nodeEndpoints() []load.Node {
	nodes := make([]load.Node, 0, len(m.vms))
	for _, v := range m.vms {
		nodes = append(nodes, m.nodeEndpoint(v))
	}
	return nodes
}

// nodeEndpoint returns the name and the caller address of the node of the VM. The address is that of the link if links
// add latency.
func (m *mesh) nodeEndpoint(v *vm) load.Node {
	port := callerPort
	if m.options.latency != (linkLatency{}) {
		port = callerLinkPort
	}
	return load.Node{Name: v.name, CallerAddress: v.address(port)}
}

// member returns the entry of the VM in the member list of the platform. Its control address is that of the link, and
// so is its peer address if links add latency.
func (m *mesh) member(v *vm) api.Member {
	peer := peerPort
	if m.options.latency != (linkLatency{}) {
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

// process returns the node process on the VM of an upstream.
func (m *mesh) process(upstreamName string) (*process, error) {
	for _, p := range m.processes {
		if p.vm.upstream.Name == upstreamName {
			return p, nil
		}
	}
	return nil, fmt.Errorf("%w: upstream %q", errUnknownTarget, upstreamName)
}

// isDown reports whether the process of a node is not running, so that the node need not follow an event.
func (m *mesh) isDown(n load.Node) bool {
	for _, p := range m.processes {
		if p.vm.name == n.Name {
			return !p.running()
		}
	}
	return true
}

// stopNodes stops all nodes gracefully and at the same time. It returns an error for each node that did not stop
// gracefully.
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

// close stops the nodes, the stand-ins and the links.
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

// controlBytes returns the bytes of control traffic that each VM has received and sent: on the link in front of its own
// control port, on its connections to the links of other VMs, and on its connections to the platform.
func (m *mesh) controlBytes() map[string]uint64 {
	byIP := map[string]uint64{}
	for i, l := range m.controlLinks {
		for endpoints, count := range l.ByteCounts() {
			total := count.Forward + count.Backward
			byIP[endpoints.Source] += total
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
