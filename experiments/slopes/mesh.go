package slopes

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	api "github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/standin/link"
	"github.com/bamboodeal/bamboodeal/standin/platform"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// MaxProcesses bounds the node processes at one time.
const MaxProcesses = 40

// mesh is a fleet of node processes on loopback with the stand-ins that they need. Package demo has one as well, for
// a replayed load; this one leaves its nodes idle and reads their figures.
type mesh struct {
	binary, directory string
	network           int
	platform          *platform.Server
	prober            *load.Prober
	upstreams         []*upstream.Server
	links             []*link.Link
	processes         []*process
	members           []api.Member

	objects config.Objects
	number  uint64
	last    *bundle.Bundle
}

var (
	errReady     = errors.New("a node does not serve in time; see its log")
	errProcesses = fmt.Errorf("more than %d node processes; use a smaller fleet", MaxProcesses)
)

// ip is the loopback address of VM i. The second octet depends on this process, so that two runs do not meet.
func (m *mesh) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", m.network, 1+i/200, 1+i%200) }

func (m *mesh) address(i, port int) string { return fmt.Sprintf("%s:%d", m.ip(i), port) }

// newMesh starts the stand-ins for a fleet and publishes its first version. close must follow, also after an error.
func newMesh(binary, work string, f fleet) (*mesh, error) {
	m := &mesh{
		binary: binary, directory: filepath.Join(work, fmt.Sprint("fleet-", f.upstreams)),
		network: 64 + os.Getpid()%128, platform: platform.New(platform.Options{}),
		prober: load.NewProber("/" + serviceName(0)), objects: f.objects(),
	}
	m.objects.Teams = append(m.objects.Teams, config.Team{
		Name: driverTeam, RatePerSecond: driverRate, Burst: driverRate, Weight: 1,
	})
	if err := os.MkdirAll(m.directory, 0o700); err != nil {
		return m, err
	}
	_, _, err := m.platform.Listen(fmt.Sprintf("127.%d.255.1:%d", m.network, platformPort), "")
	if err != nil {
		return m, err
	}
	_, _, err = m.publish()
	return m, err
}

// The driver's own team: its calls never meet their rate.
const (
	driverTeam     = "driver"
	driverRate     = 5000
	firstDriverKey = 1_000_000
)

// publish grants one more key and publishes the result.
func (m *mesh) publish() (at time.Time, plain string, err error) {
	m.number++
	index := firstDriverKey + int(m.number) - 1
	m.objects.Keys = append(m.objects.Keys, key(index, driverTeam))
	parent := ""
	if m.last != nil {
		parent = m.last.ID().Digest
	}
	b, err := bundle.Build(m.objects, m.number, parent)
	if err != nil {
		return at, "", err
	}
	m.last = b
	at = time.Now()
	_, err = m.platform.Publish(b.ManifestBytes, b.Values)
	return at, secret(index), err
}

// startNode starts the stand-ins and the node of VM i.
func (m *mesh) startNode(i int) error {
	if len(m.processes) == MaxProcesses {
		return errProcesses
	}
	u := m.objects.Upstreams[i]
	server := upstream.New(upstream.Options{
		Name: u.Name, DataCentre: u.DataCentre, Address: m.address(i, upstreamPort),
		LocalAddress: m.address(i, localPort), Slots: u.Slots, MaxConnections: u.Connections,
	})
	m.upstreams = append(m.upstreams, server)
	if _, _, err := server.Listen(); err != nil {
		return err
	}
	control, err := link.Listen(link.Options{
		Address: m.address(i, controlLinkPort), Target: m.address(i, controlPort), KeepSource: true,
	})
	if err != nil {
		return err
	}
	m.links = append(m.links, control)
	p, err := startProcess(m.binary, m.directory, nodeSettings{
		VM: "vm-" + u.Name, Upstream: u.Name, DataCentre: u.DataCentre,
		CallerAddress: m.address(i, callerPort), LocalAddress: m.address(i, localPort),
		PeerAddress: m.address(i, peerPort), ControlAddress: m.address(i, controlPort),
		OperatorAddress: m.address(i, operatorPort), UpstreamAddress: m.address(i, upstreamPort),
		PlatformAddresses: []string{fmt.Sprintf("http://127.%d.255.1:%d", m.network, platformPort)},
		DialAddress:       m.ip(i), LogLevel: "warning",
	})
	if err == nil {
		m.processes = append(m.processes, p)
	}
	return err
}

func (m *mesh) member(i int) api.Member {
	u := m.objects.Upstreams[i]
	return api.Member{
		VM: "vm-" + u.Name, Upstream: u.Name, DataCentre: u.DataCentre, State: api.MemberLive,
		CallerAddress: m.address(i, callerPort), PeerAddress: m.address(i, peerPort),
		ControlAddress: m.address(i, controlLinkPort), OperatorAddress: m.address(i, operatorPort),
	}
}

// startAll starts a node for each declared upstream and waits until all of them serve.
func (m *mesh) startAll(ctx context.Context) error {
	for i := range m.objects.Upstreams {
		m.members = append(m.members, m.member(i))
	}
	m.platform.SetMembers(m.members)
	for i := range m.objects.Upstreams {
		if err := m.startNode(i); err != nil {
			return err
		}
	}
	served := func(k wire.ErrorKind) bool { return k == load.KindServed }
	_, err := m.await(ctx, secret(firstDriverKey), time.Now(), served)
	return err
}

// readyTimeout bounds the wait for a fleet or a version.
const readyTimeout = 20 * time.Second

// await probes all nodes until each outcome is accepted and returns the seconds since at of the last one.
func (m *mesh) await(ctx context.Context, plain string, at time.Time, accept func(wire.ErrorKind) bool) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	nodes := make([]load.Node, 0, len(m.processes))
	for i, p := range m.processes {
		nodes = append(nodes, load.Node{Name: p.name, CallerAddress: m.address(i, callerPort)})
	}
	none := func(load.Node) bool { return false }
	converged, pending := m.prober.AwaitOutcome(ctx, nodes, plain, at, accept, none)
	if len(pending) > 0 {
		return 0, fmt.Errorf("%w: %v in %s", errReady, pending, m.directory)
	}
	last := 0.0
	for _, took := range converged {
		last = max(last, took.Seconds())
	}
	return last, nil
}

// knowsKey accepts what a node answers only to a key that it knows.
func knowsKey(k wire.ErrorKind) bool {
	switch k {
	case load.KindServed, wire.KindTeamRateExceeded, wire.KindOverloaded, wire.KindNoUpstream:
		return true
	}
	return false
}

// controlBytes sums what each VM has received and sent for control, by its IP.
func (m *mesh) controlBytes() map[string]float64 {
	byIP := map[string]float64{}
	for i, l := range m.links {
		for pair, count := range l.ByteCounts() {
			total := float64(count.Forward + count.Backward)
			byIP[pair.Source] += total
			byIP[m.ip(i)] += total
		}
	}
	for ip, counter := range m.platform.CountersByIP() {
		byIP[ip] += float64(counter.BytesIn + counter.BytesOut)
	}
	return byIP
}

func (m *mesh) reads() (sum float64) {
	for _, c := range m.platform.CountersByIP() {
		sum += float64(c.Reads + c.RefusedReads)
	}
	return sum
}

// close stops the nodes gracefully and at the same time, then the stand-ins.
func (m *mesh) close() {
	for _, p := range m.processes {
		p.signalStop()
	}
	var ends conc.WaitGroup
	for _, p := range m.processes {
		ends.Go(p.awaitEnd)
	}
	ends.Wait()
	m.prober.Close()
	for _, l := range m.links {
		_ = l.Close()
	}
	for _, u := range m.upstreams {
		_ = u.Close()
	}
	_ = m.platform.Close()
}
