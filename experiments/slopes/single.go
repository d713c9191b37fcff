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

// singleChanges are published to a single node that holds the set and the list of a whole fleet.
const singleChanges = 10

// answersTimed is the number of polls and of leases over which their processor time is taken.
const answersTimed = 3000

// MeasureSingleNode starts one node with the set and the list of each fleet, and records its memory, its processor time for a
// change and for each answer, and the sizes of its messages, which it returns by fleet.
func MeasureSingleNode(ctx context.Context, r *Recorder, binary, work string) (MessageSizesByFleet, error) {
	all := MessageSizesByFleet{}
	for _, n := range countSizes {
		sizes, err := singleNode(ctx, r, binary, work, n)
		if err != nil {
			return nil, err
		}
		all[n] = sizes
	}
	return all, nil
}

func singleNode(ctx context.Context, r *Recorder, binary, work string, n int) (s messageSizes, err error) {
	f := target()
	f.upstreams = n
	m, err := newMesh(binary, work, f)
	defer m.close()
	if err != nil {
		return s, err
	}
	// The other VMs have no control address, so that the node is the only reader and polls nobody.
	m.members = f.quietMembers()
	m.members[0] = m.member(0)
	m.platform.SetMembers(m.members)
	if err := m.startNode(0); err != nil {
		return s, err
	}
	if _, err := m.await(ctx, secret(firstDriverKey), time.Now(), knowsKey); err != nil {
		return s, err
	}
	if err := m.singleWork(ctx, r, n); err != nil {
		return s, err
	}
	s, err = m.singleSizes(ctx)
	if err != nil {
		return s, err
	}
	return s, r.addAll(float64(n), []measure{
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

func (m *mesh) singleWork(ctx context.Context, r *Recorder, n int) error {
	const idleTime = 3 * time.Second
	idle, err := m.observe(func() error { return sleep(ctx, idleTime) })
	if err != nil {
		return err
	}
	changes, err := m.observe(func() error {
		for range singleChanges {
			if _, _, err := m.publish(); err != nil {
				return err
			}
			if err := sleep(ctx, idleTime/singleChanges); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	poll, err := m.answerMicros("GET", wire.PathConfigPoll+fmt.Sprintf("?h=%v&m=2&c=1&a=10.0.0.9:7003", m.last.ID()), "")
	if err != nil {
		return err
	}
	lease, err := m.answerMicros("POST", wire.PathQuotaLease, leaseBody())
	if err != nil {
		return err
	}
	return r.addAll(float64(n), []measure{
		{"single_idle_cpu", "share of a core", idle.processor / idleTime.Seconds()},
		{"single_resident_start", "bytes", idle.resident},
		{"single_resident_after_changes", "bytes", changes.resident},
		{"single_change_cpu", "s", max(0, changes.processor-idle.processor) / singleChanges},
		{"cpu_poll_answered", "us", poll},
		{"cpu_lease_answered", "us", lease},
	})
}

// leaseBody asks for tokens of all teams.
func leaseBody() string {
	var request wire.LeaseRequest
	for i := range targetTeams {
		request.TokenRequests = append(request.TokenRequests, wire.TokenRequest{Team: teamName(i), Tokens: 3, LifetimeMS: 2000})
		request.Settlements = append(request.Settlements, wire.Settlement{Lease: 1<<40 + uint64(i), Used: 3})
	}
	body, _ := json.Marshal(request)
	return string(body)
}

// answerMicros returns the processor time of the single node for one answer on its control port.
func (m *mesh) answerMicros(method, path, body string) (float64, error) {
	conn, err := net.DialTimeout("tcp", m.address(0, controlPort), time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	before, err := m.processes[0].usage()
	if err != nil {
		return 0, err
	}
	var response fasthttp.Response
	for range answersTimed {
		if err := ask(conn, reader, method, path, body, &response); err != nil {
			return 0, err
		}
	}
	after, err := m.processes[0].usage()
	return (after.processor - before.processor).Seconds() * 1e6 / answersTimed, err
}

func ask(conn net.Conn, reader *bufio.Reader, method, path, body string, response *fasthttp.Response) error {
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

func requestText(method, path, body string) string {
	text := method + " " + path + " HTTP/1.1\r\nHost: 10.0.1.249:7003\r\n"
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// exchangeBytes sends a request over a connection of its own and returns the bytes of both directions.
func exchangeBytes(address, method, path, body string) (float64, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	var raw bytes.Buffer
	var response fasthttp.Response
	err = ask(conn, bufio.NewReader(io.TeeReader(conn, &raw)), method, path, body, &response)
	return float64(len(requestText(method, path, body)) + raw.Len()), err
}

// singleSizes reads the sizes of real answers after a change of one key and of one member.
func (m *mesh) singleSizes(ctx context.Context) (s messageSizes, err error) {
	old := m.last
	m.members[1].State = api.MemberLeaving
	m.platform.SetMembers(m.members)
	if _, _, err := m.publish(); err != nil {
		return s, err
	}
	if err := m.awaitAdoption(ctx); err != nil {
		return s, err
	}
	// The stand-in's first list has revision 2, so the changed one has 3. The wait of 1 ms is written with as many
	// digits as the real one.
	poll := func(have string, revision int, rest string) string {
		return fmt.Sprintf("%s?h=%s&m=%d&w=0001%s&a=10.0.0.123:7003", wire.PathConfigPoll, have, revision, rest)
	}
	control, source := m.address(0, controlPort), fmt.Sprintf("127.%d.255.1:%d", m.network, platformPort)
	values := ""
	for digest := range m.last.Values {
		if old.Values[digest] == nil {
			values = digest
		}
	}
	for _, q := range []struct {
		into                        *float64
		address, method, path, body string
	}{
		{&s.PollUnchanged, control, "GET", poll(m.last.ID().String(), 3, "&c=1"), ""},
		{&s.PollVersionOnly, control, "GET", poll(old.ID().String(), 3, ""), ""},
		{&s.PollSetPatch, control, "GET", poll(old.ID().String(), 3, "&c=1"), ""},
		{&s.PollListPatch, control, "GET", poll(m.last.ID().String(), 2, "&c=1"), ""},
		{&s.PollFullSet, control, "GET", poll("", 3, "&c=1"), ""},
		{&s.PollFullList, control, "GET", poll(m.last.ID().String(), 0, "&c=1"), ""},
		{&s.QuotaLease, control, "POST", wire.PathQuotaLease, leaseBody()},
		{&s.SourceWatch, source, "GET", fmt.Sprintf("/v1/config/manifest?after=%d&wait_ms=0001", m.number), ""},
		{&s.SourceManifest, source, "GET", "/v1/config/manifest?after=1&wait_ms=2000", ""},
		{&s.SourceValue, source, "GET", "/v1/config/values/" + values, ""},
		{&s.SourceMembers, source, "GET", "/v1/members?after=1&wait_ms=2000", ""},
	} {
		if *q.into, err = exchangeBytes(q.address, q.method, q.path, q.body); err != nil {
			return s, err
		}
	}
	return s, nil
}

// awaitAdoption waits until the first node has the last version in force and the newest list.
func (m *mesh) awaitAdoption(ctx context.Context) error {
	client := operator.NewClient(time.Second)
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		status, err := client.Status(m.address(0, operatorPort))
		if err == nil && status.Version == m.last.ID() {
			// The list is a second watch; it is published before the version.
			return sleep(ctx, 300*time.Millisecond)
		}
		if err := sleep(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: version %v", errReady, m.last.ID())
}
