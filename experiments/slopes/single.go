package slopes

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/operator"
	api "github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// publishedChanges is the number of versions that are published to the node during the measurement.
const publishedChanges = 10

// timedRequests is the number of requests over which the processor time of one response is averaged.
const timedRequests = 3000

// MeasureSingleNode starts a single node with the configuration set and the member list of each fleet in turn. It
// records the memory of the node, its processor time per change and per response and the sizes of its messages, and
// returns these sizes by fleet.
func MeasureSingleNode(ctx context.Context, r *Recorder, nodeBinary, workDirectory string) (MessageSizesByFleet, error) {
	sizesByFleet := MessageSizesByFleet{}
	for _, n := range fleetSizes {
		sizes, err := measureNodeOfFleet(ctx, r, nodeBinary, workDirectory, n)
		if err != nil {
			return nil, err
		}
		sizesByFleet[n] = sizes
	}
	return sizesByFleet, nil
}

// measureNodeOfFleet starts and measures the single node with the set and the list of a fleet of n nodes.
func measureNodeOfFleet(ctx context.Context, r *Recorder, nodeBinary, workDirectory string, n int) (s messageSizes, err error) {
	f := targetFleet()
	f.upstreams = n
	m, err := newTestMesh(nodeBinary, workDirectory, f)
	defer m.close()
	if err != nil {
		return s, err
	}
	// The other members have no control address, so that the node reads the source itself and polls no other node.
	m.members = f.membersWithoutControlAddress()
	m.members[0] = m.member(0)
	m.platform.SetMembers(m.members)
	if err := m.startNode(0); err != nil {
		return s, err
	}
	if _, err := m.awaitOutcome(ctx, keySecret(firstDriverKey), time.Now(), isKeyKnown); err != nil {
		return s, err
	}
	if err := m.measureResourceUse(ctx, r, n); err != nil {
		return s, err
	}
	s, err = m.measureMessageSizes(ctx)
	if err != nil {
		return s, err
	}
	return s, r.addAll(float64(n), []measurement{
		{"wire_poll_quiet", "bytes", s.PollUnchanged},
		{"wire_poll_announced", "bytes", s.PollVersionOnly},
		{"wire_poll_set_patch", "bytes", s.PollSetPatch},
		{"wire_poll_list_patch", "bytes", s.PollListPatch},
		{"wire_poll_whole_set", "bytes", s.PollFullSet},
		{"wire_poll_whole_list", "bytes", s.PollFullList},
		{"wire_source_watch", "bytes", s.SourceWatch},
		{"wire_source_manifest", "bytes", s.SourceManifest},
		{"wire_source_value", "bytes", s.SourceValue},
		{"wire_source_members", "bytes", s.SourceMembers},
		{"wire_lease", "bytes", s.QuotaLease},
	})
}

// measureResourceUse records the memory of the single node and its processor time when idle, per change and per
// response.
func (m *testMesh) measureResourceUse(ctx context.Context, r *Recorder, n int) error {
	const idleTime = 3 * time.Second
	idle, err := m.observe(func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return err
	}
	changes, err := m.observe(func() error {
		for range publishedChanges {
			if _, _, err := m.publishVersion(); err != nil {
				return err
			}
			if err := sleep(ctx, idleTime/publishedChanges); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	poll, err := m.responseProcessorMicros("GET", wire.PathConfigPoll+fmt.Sprintf("?h=%v&m=2&c=1&a=10.0.0.9:7003", m.lastBundle.ID()), "")
	if err != nil {
		return err
	}
	lease, err := m.responseProcessorMicros("POST", wire.PathQuotaLease, leaseRequestBody())
	if err != nil {
		return err
	}
	return r.addAll(float64(n), []measurement{
		{"single_idle_cpu", "share of a core", idle.processorSeconds / idleTime.Seconds()},
		{"single_resident_start", "bytes", idle.residentBytes},
		{"single_resident_after_changes", "bytes", changes.residentBytes},
		{"single_change_cpu", "s", max(0, changes.processorSeconds-idle.processorSeconds) / publishedChanges},
		{"cpu_poll_answered", "us", poll},
		{"cpu_lease_answered", "us", lease},
	})
}

// leaseRequestBody returns the body of a lease request for tokens of all teams.
func leaseRequestBody() string {
	var request wire.LeaseRequest
	for i := range targetTeams {
		request.TokenRequests = append(request.TokenRequests, wire.TokenRequest{Team: teamName(i), Tokens: 3, LeaseDurationMS: 2000})
		request.Settlements = append(request.Settlements, wire.Settlement{Lease: 1<<40 + uint64(i), Used: 3})
	}
	body, _ := json.Marshal(request)
	return string(body)
}

// responseProcessorMicros returns the processor time of the single node for one response on its control port, in
// microseconds.
func (m *testMesh) responseProcessorMicros(method, path, body string) (float64, error) {
	conn, err := net.DialTimeout("tcp", m.address(0, controlPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	before, err := m.processes[0].readUsage()
	if err != nil {
		return 0, err
	}
	var response fasthttp.Response
	for range timedRequests {
		if err := exchange(conn, reader, method, path, body, &response); err != nil {
			return 0, err
		}
	}
	after, err := m.processes[0].readUsage()
	return (after.processorTime - before.processorTime).Seconds() * 1e6 / timedRequests, err
}

// exchange sends a request and reads the response. A status of 400 or above is an error.
func exchange(conn net.Conn, reader *bufio.Reader, method, path, body string, response *fasthttp.Response) error {
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, requestText(method, path, body)); err != nil {
		return err
	}
	if err := response.Read(reader); err != nil {
		return err
	}
	if code := response.StatusCode(); code >= 400 {
		return fmt.Errorf("%s %s: status %d: %s", method, path, code, response.Body())
	}
	return nil
}

// requestText returns a request as it is sent.
func requestText(method, path, body string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: 10.0.1.249:7003\r\n"
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// exchangeBytes sends a request over a connection of its own and returns the bytes of the request and the response.
func exchangeBytes(address, method, path, body string) (float64, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	var raw bytes.Buffer
	var response fasthttp.Response
	err = exchange(conn, bufio.NewReader(io.TeeReader(conn, &raw)), method, path, body, &response)
	return float64(len(requestText(method, path, body)) + raw.Len()), err
}

// measureMessageSizes publishes a change of one key and one member and returns the sizes of the messages that follow.
func (m *testMesh) measureMessageSizes(ctx context.Context) (s messageSizes, err error) {
	previous := m.lastBundle
	m.members[1].State = api.MemberLeaving
	m.platform.SetMembers(m.members)
	if _, _, err := m.publishVersion(); err != nil {
		return s, err
	}
	if err := m.awaitAdoption(ctx); err != nil {
		return s, err
	}
	// The first member list of the platform stand-in has revision 2, so the changed one has 3. The wait of 1 ms is
	// written as 0001, so that it has as many digits as a usual wait.
	poll := func(version string, revision int, parameters string) string {
		return fmt.Sprintf("%s?h=%s&m=%d&w=0001%s&a=10.0.0.123:7003", wire.PathConfigPoll, version, revision, parameters)
	}
	controlAddress, sourceAddress := m.address(0, controlPort), fmt.Sprintf("127.%d.255.1:%d", m.secondOctet, platformPort)
	changedDigest := ""
	for digest := range m.lastBundle.Values {
		if previous.Values[digest] == nil {
			changedDigest = digest
		}
	}
	for _, message := range []struct {
		result                      *float64
		address, method, path, body string
	}{
		{&s.PollUnchanged, controlAddress, "GET", poll(m.lastBundle.ID().String(), 3, "&c=1"), ""},
		{&s.PollVersionOnly, controlAddress, "GET", poll(previous.ID().String(), 3, ""), ""},
		{&s.PollSetPatch, controlAddress, "GET", poll(previous.ID().String(), 3, "&c=1"), ""},
		{&s.PollListPatch, controlAddress, "GET", poll(m.lastBundle.ID().String(), 2, "&c=1"), ""},
		{&s.PollFullSet, controlAddress, "GET", poll("", 3, "&c=1"), ""},
		{&s.PollFullList, controlAddress, "GET", poll(m.lastBundle.ID().String(), 0, "&c=1"), ""},
		{&s.QuotaLease, controlAddress, "POST", wire.PathQuotaLease, leaseRequestBody()},
		{&s.SourceWatch, sourceAddress, "GET", fmt.Sprintf("/v1/config/manifest?after=%d&wait_ms=0001", m.version), ""},
		{&s.SourceManifest, sourceAddress, "GET", "/v1/config/manifest?after=1&wait_ms=2000", ""},
		{&s.SourceValue, sourceAddress, "GET", "/v1/config/values/" + changedDigest, ""},
		{&s.SourceMembers, sourceAddress, "GET", "/v1/members?after=1&wait_ms=2000", ""},
	} {
		if *message.result, err = exchangeBytes(message.address, message.method, message.path, message.body); err != nil {
			return s, err
		}
	}
	return s, nil
}

// awaitAdoption waits until the first node has adopted the last version and the last member list.
func (m *testMesh) awaitAdoption(ctx context.Context) error {
	client := operator.NewClient(time.Second)
	deadline := time.Now().Add(convergenceTimeout)
	for time.Now().Before(deadline) {
		status, err := client.Status(m.address(0, operatorPort))
		if err == nil && status.Version == m.lastBundle.ID() {
			// The member list was published before the version, but the node gets it by another watch, which may take
			// longer.
			return sleep(ctx, 300*time.Millisecond)
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: version %v", errNodeTimeout, m.lastBundle.ID())
}
