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

// MaxProcesses bounds the number of node processes that run at the same time.
const MaxProcesses = 40

// testMesh is a fleet of node processes on loopback with the stand-ins that they need. Unlike the mesh of package demo,
// which replays a load, its nodes stay idle except during the measurements.
type testMesh struct {
	nodeBinary, workDirectory string
	secondOctet               int
	platform                  *platform.Server
	prober                    *load.Prober
	upstreams                 []*upstream.Server
	links                     []*link.Link
	processes                 []*nodeProcess
	members                   []api.Member

	objects    config.Objects
	version    uint64
	lastBundle *bundle.Bundle
}

var (
	errNodeTimeout      = errors.New("a node did not serve or adopt a version in time; see its log")
	errTooManyProcesses = fmt.Errorf("the fleet needs more than %d node processes; use a smaller fleet", MaxProcesses)
)

// ip returns the loopback address of VM i. The second octet depends on the ID of this process, so that two runs at the
// same time do not interfere with each other.
func (m *testMesh) ip(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", m.secondOctet, 1+i/200, 1+i%200)
}

// address returns the address of a port of VM i.
func (m *testMesh) address(i, port int) string { return fmt.Sprintf("%s:%d", m.ip(i), port) }

// newTestMesh starts the platform stand-in for a fleet and publishes the first version. The caller has to call close,
// also after an error.
func newTestMesh(nodeBinary, workDirectory string, f fleetSpec) (*testMesh, error) {
	m := &testMesh{
		nodeBinary: nodeBinary, workDirectory: filepath.Join(workDirectory, fmt.Sprint("fleet-", f.upstreams)),
		secondOctet: 64 + os.Getpid()%128, platform: platform.New(platform.Options{}),
		prober: load.NewProber("/" + serviceName(0)), objects: f.objects(),
	}
	m.objects.Teams = append(m.objects.Teams, config.Team{
		Name: driverTeam, RatePerSecond: driverRate, Burst: driverRate, Weight: 1,
	})
	if err := os.MkdirAll(m.workDirectory, 0o700); err != nil {
		return m, err
	}
	_, _, err := m.platform.Listen(fmt.Sprintf("127.%d.255.1:%d", m.secondOctet, platformPort), "")
	if err != nil {
		return m, err
	}
	_, _, err = m.publishVersion()
	return m, err
}

// The team of this program, whose calls stay below its rate, and the number of its first key.
const (
	driverTeam     = "driver"
	driverRate     = 5000
	firstDriverKey = 1_000_000
)

// publishVersion adds one key, publishes the new version and returns the time of the publication and the secret of the
// key.
func (m *testMesh) publishVersion() (publishedAt time.Time, secret string, err error) {
	m.version++
	index := firstDriverKey + int(m.version) - 1
	m.objects.Keys = append(m.objects.Keys, declaredKey(index, driverTeam))
	parent := ""
	if m.lastBundle != nil {
		parent = m.lastBundle.ID().Digest
	}
	b, err := bundle.Build(m.objects, m.version, parent)
	if err != nil {
		return publishedAt, "", err
	}
	m.lastBundle = b
	publishedAt = time.Now()
	_, err = m.platform.Publish(b.ManifestBytes, b.Values)
	return publishedAt, keySecret(index), err
}

// startNode starts the upstream stand-in, the control link stand-in and the node process of VM i.
func (m *testMesh) startNode(i int) error {
	if len(m.processes) == MaxProcesses {
		return errTooManyProcesses
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
	process, err := startProcess(m.nodeBinary, m.workDirectory, nodeSettings{
		VM: "vm-" + u.Name, Upstream: u.Name, DataCentre: u.DataCentre,
		CallerAddress: m.address(i, callerPort), LocalAddress: m.address(i, localPort),
		PeerAddress: m.address(i, peerPort), ControlAddress: m.address(i, controlPort),
		OperatorAddress: m.address(i, operatorPort), UpstreamAddress: m.address(i, upstreamPort),
		PlatformAddresses: []string{fmt.Sprintf("http://127.%d.255.1:%d", m.secondOctet, platformPort)},
		DialAddress:       m.ip(i), LogLevel: "warning",
	})
	if err == nil {
		m.processes = append(m.processes, process)
	}
	return err
}

// member returns the entry of VM i in the member list.
func (m *testMesh) member(i int) api.Member {
	u := m.objects.Upstreams[i]
	return api.Member{
		VM: "vm-" + u.Name, Upstream: u.Name, DataCentre: u.DataCentre, State: api.MemberLive,
		CallerAddress: m.address(i, callerPort), PeerAddress: m.address(i, peerPort),
		ControlAddress: m.address(i, controlLinkPort), OperatorAddress: m.address(i, operatorPort),
	}
}

// startNodes starts a node for each declared upstream and waits until all of them serve.
func (m *testMesh) startNodes(ctx context.Context) error {
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
	_, err := m.awaitOutcome(ctx, keySecret(firstDriverKey), time.Now(), served)
	return err
}

// convergenceTimeout bounds the wait until all nodes serve or have adopted a version.
const convergenceTimeout = 20 * time.Second

// awaitOutcome sends calls with the key secret to each node until accept returns true for the outcome. It returns the
// seconds from publishedAt until the last node had such an outcome.
func (m *testMesh) awaitOutcome(ctx context.Context, secret string, publishedAt time.Time, accept func(wire.ErrorKind) bool) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, convergenceTimeout)
	defer cancel()
	nodes := make([]load.Node, 0, len(m.processes))
	for i, p := range m.processes {
		nodes = append(nodes, load.Node{Name: p.name, CallerAddress: m.address(i, callerPort)})
	}
	excused := func(load.Node) bool { return false }
	converged, pending := m.prober.AwaitOutcome(ctx, nodes, secret, publishedAt, accept, excused)
	if len(pending) > 0 {
		return 0, fmt.Errorf("%w: %v in %s", errNodeTimeout, pending, m.workDirectory)
	}
	slowest := 0.0
	for _, took := range converged {
		slowest = max(slowest, took.Seconds())
	}
	return slowest, nil
}

// isKeyKnown reports whether an outcome shows that the node knows the key of the call.
func isKeyKnown(k wire.ErrorKind) bool {
	switch k {
	case load.KindServed, wire.KindTeamRateExceeded, wire.KindOverloaded, wire.KindNoUpstream:
		return true
	}
	return false
}

// controlBytesByIP returns the bytes of control traffic that each VM has received and sent, by its IP.
func (m *testMesh) controlBytesByIP() map[string]float64 {
	byIP := map[string]float64{}
	for i, l := range m.links {
		for endpoints, count := range l.ByteCounts() {
			total := float64(count.Forward + count.Backward)
			byIP[endpoints.Source] += total
			byIP[m.ip(i)] += total
		}
	}
	for ip, counter := range m.platform.CountersByIP() {
		byIP[ip] += float64(counter.BytesIn + counter.BytesOut)
	}
	return byIP
}

// sourceReads returns the number of reads that the platform stand-in has received, including those that it refused.
func (m *testMesh) sourceReads() (sum float64) {
	for _, c := range m.platform.CountersByIP() {
		sum += float64(c.Reads + c.RefusedReads)
	}
	return sum
}

// close stops the nodes gracefully and all at the same time, then the stand-ins.
func (m *testMesh) close() {
	for _, p := range m.processes {
		p.requestStop()
	}
	var ends conc.WaitGroup
	for _, p := range m.processes {
		ends.Go(p.awaitExit)
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
