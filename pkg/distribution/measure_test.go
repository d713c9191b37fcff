package distribution_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
	"github.com/bamboodeal/bamboodeal/pkg/distribution"
)

// Bounds for a mesh of the target size.
const (
	// maxControlBytes bounds the control traffic of each node in bytes per second.
	maxControlBytes = 3000
	// maxSourceReads bounds the reads of the source per second by all nodes.
	maxSourceReads = 2000
	// maxAdoptionTime bounds the time from the publication of a version until all nodes have adopted it.
	maxAdoptionTime = 8 * time.Second
)

var ageDigits = regexp.MustCompile(`"age_ms":(-?[0-9]+)`)

// sizes are the sizes of exchanges in bytes: a request and its response with all headers, as read from a connection.
type sizes struct{ quiet, announced, set, list, watch, manifest, value, members int }

// meshObjects returns the declared objects of a mesh with the given numbers of upstreams and of withdrawn keys.
func meshObjects(upstreams, withdrawn int) config.Objects {
	o := objects(0)
	o.DataCentres, o.Services, o.Upstreams, o.Routes, o.Keys = nil, nil, nil, nil, nil
	for i := range 4 {
		dc := config.DataCentre{Name: fmt.Sprintf("dc-%d", i), Region: fmt.Sprintf("region-%d", i/2), State: config.DataCentreIn}
		o.DataCentres = append(o.DataCentres, dc)
	}
	for i := range min(16, upstreams) {
		name := fmt.Sprintf("service-%02d", i)
		o.Services = append(o.Services, config.Service{
			Name: name, ColdStart: config.ColdStart{InitialConcurrency: 2, RampMS: 1000},
		})
		o.Routes = append(o.Routes, config.Route{
			Name: name, Service: name, PathPrefix: "/" + name, Methods: []string{"GET"}, Visibility: config.VisibilityPublic,
			Idempotent: true, Priority: config.PriorityNormal, TimeoutMS: 1000, MaxBodyBytes: 1024,
		})
	}
	for i := range upstreams {
		o.Upstreams = append(o.Upstreams, config.Upstream{
			Name: fmt.Sprintf("upstream-%03d", i), Service: fmt.Sprintf("service-%02d", i%min(16, upstreams)),
			DataCentre: fmt.Sprintf("dc-%d", i%4), Slots: 10, Connections: 110,
		})
	}
	for i := range 2000 {
		k := config.Key{
			ID: fmt.Sprintf("key-%04d", i), Team: "aurora", Digest: config.KeyDigest(fmt.Sprint(i)), State: config.KeyGranted,
		}
		if i < withdrawn {
			k.State = config.KeyWithdrawn
		}
		o.Keys = append(o.Keys, k)
	}
	return o
}

// members returns a member list. Its VMs have no control addresses, so that the measured node polls none of them.
func members(count, leaving int) *platform.MemberList {
	list := &platform.MemberList{Revision: uint64(1 + leaving)}
	for i := range count {
		m := platform.Member{
			VM: fmt.Sprintf("vm-%04d", i), Upstream: fmt.Sprintf("upstream-%03d", i),
			DataCentre: fmt.Sprintf("dc-%d", i%4), State: platform.MemberLive,
			CallerAddress:   fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			PeerAddress:     fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250),
			OperatorAddress: fmt.Sprintf("10.0.%d.%d:7004", i/250, i%250),
		}
		if i < leaving {
			m.State = platform.MemberLeaving
		}
		list.Members = append(list.Members, m)
	}
	return list
}

// exchange sends a request on a new connection and returns the number of bytes in both directions.
func exchange(t testing.TB, address, path string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request := "GET " + path + " HTTP/1.1\r\nHost: 10.0.1.249:7003\r\n\r\n"
	if _, err = io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	var raw bytes.Buffer
	resp := &fasthttp.Response{}
	if err = resp.Read(bufio.NewReader(io.TeeReader(conn, &raw))); err != nil || resp.StatusCode() >= 400 {
		t.Fatal(err, resp.StatusCode())
	}
	// The age is counted as 4 digits, so that the sizes do not depend on the speed of the run.
	age := ageDigits.FindSubmatch(raw.Bytes())
	if age == nil {
		return len(request) + raw.Len()
	}
	return len(request) + raw.Len() - len(age[1]) + 4
}

// measureSizes measures the exchanges of a real node for a change of one key and of one member, in a mesh with count
// members.
func measureSizes(t testing.TB, count int) sizes {
	t.Helper()
	g := NewWithT(t)
	first, err := bundle.Build(meshObjects(count, 0), 1001, "")
	g.Expect(err).NotTo(HaveOccurred())
	second, err := bundle.Build(meshObjects(count, 1), 1002, first.ID().Digest)
	g.Expect(err).NotTo(HaveOccurred())
	s := newFakeSource()
	s.list = members(count, 0)
	s.publish(first.ManifestBytes, first.Values)
	n := startNode(t, "vm-measured", listen(t), []platform.Source{s}, func(o *distribution.Options) {
		o.DataCentre = "dc-none"
	})
	g.Eventually(n.version, eventualTimeout).Should(BeEquivalentTo(1001))
	// The node must have the first list, or it would have no base for a patch to the second.
	revision := func() uint64 { return n.Status().MembersRevision }
	g.Eventually(revision, eventualTimeout).Should(BeEquivalentTo(1))
	s.update(func() { s.list = members(count, 1) })
	s.publish(second.ManifestBytes, second.Values)
	g.Eventually(n.version, eventualTimeout).Should(BeEquivalentTo(1002))
	g.Eventually(revision, eventualTimeout).Should(BeEquivalentTo(2))
	path := func(have wire.VersionID, revision int, contents string) string {
		// The wait of 1 ms is written with as many digits as the real one of 2,000 ms.
		return fmt.Sprintf("%s?h=%s&m=%d&w=0001%s&a=10.0.0.123:7003", wire.PathConfigPoll, have, revision, contents)
	}
	all := sizes{
		quiet:     exchange(t, n.address, path(second.ID(), 2, "&c=1")),
		announced: exchange(t, n.address, path(first.ID(), 2, "")),
		set:       exchange(t, n.address, path(first.ID(), 2, "&c=1")),
		list:      exchange(t, n.address, path(second.ID(), 1, "&c=1")),
	}
	n.stop()
	measureReads(t, &all, first, second, count)
	return all
}

// measureReads measures the exchanges with a source, using a server that sends the usual headers.
func measureReads(t testing.TB, all *sizes, first, second *bundle.Bundle, count int) {
	t.Helper()
	l := listen(t)
	var answer atomic.Pointer[[]byte]
	server := &fasthttp.Server{CloseOnShutdown: true, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Revision", "1002")
		ctx.SetContentType("application/json")
		if body := answer.Load(); *body == nil {
			ctx.NotModified()
		} else {
			ctx.SetBody(*body)
		}
	}}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Shutdown() }()
	exchangeWith := func(path string, body []byte) int {
		answer.Store(&body)
		return exchange(t, l.Addr().String(), path)
	}
	all.watch = exchangeWith("/v1/config/manifest?after=1002&wait_ms=2000", nil)
	all.manifest = exchangeWith("/v1/config/manifest?after=1001&wait_ms=2000", second.ManifestBytes)
	all.members = exchangeWith("/v1/members?after=1&wait_ms=2000", bytes.Repeat([]byte("x"), 230*count))
	for digest, data := range second.Values {
		if first.Values[digest] == nil {
			all.value += exchangeWith("/v1/config/values/"+digest, data)
		}
	}
}

// traffic counts the bytes of each node in both directions, by VM, and the messages and reads of all nodes.
type traffic struct {
	bytes    map[string]int
	messages int
	reads    int
}

// busiest returns the bytes of the node with the most traffic.
func (t *traffic) busiest() int {
	most := 0
	for _, b := range t.bytes {
		most = max(most, b)
	}
	return most
}

// mean returns the mean bytes per node.
func (t *traffic) mean(nodes int) int {
	sum := 0
	for _, b := range t.bytes {
		sum += b
	}
	return sum / nodes
}

// countTraffic makes the simulation count its traffic from now on, with the measured sizes.
func countTraffic(w *distributiontest.Simulation, s sizes) *traffic {
	t := &traffic{bytes: map[string]int{}}
	w.Hooks = distributiontest.Hooks{
		OnAnswer: func(from, to *distributiontest.Node, p decide.Poll, contents, list bool) {
			size := s.quiet
			switch {
			case contents && list:
				size = s.set + s.list
			case contents:
				size = s.set
			case list:
				size = s.list
			case !p.Contents:
				size = max(s.quiet, s.announced)
			}
			t.messages++
			t.bytes[from.VM] += size
			t.bytes[to.VM] += size
		},
		OnRead: func(by *distributiontest.Node, kind string, changed bool) {
			t.messages++
			t.reads++
			size := s.watch
			if changed {
				size = map[string]int{"manifest": s.manifest, "members": s.members, "values": s.value}[kind]
			}
			t.bytes[by.VM] += size
		},
	}
	return t
}

// measured holds the results of the simulation of one mesh: bytes per second or per change of a node, reads of the
// source per second and per change, and the time until the slowest node has adopted a change.
type measured struct {
	idleMean, idleBusiest, changeMean, changeBusiest, listMean, listBusiest int
	idleReads                                                               float64
	changeReads                                                             int
	slowest                                                                 time.Duration
}

// measure simulates a mesh of the given number of nodes while it is idle, during a change of the configuration and
// during a change of the member list.
func measure(t testing.TB, nodes int, s sizes) measured {
	t.Helper()
	w := distributiontest.New(11, map[string]int{
		"dc-0": (nodes + 3) / 4, "dc-1": (nodes + 2) / 4, "dc-2": (nodes + 1) / 4, "dc-3": nodes / 4,
	}, []string{"dc-0", "dc-1", "dc-2", "dc-3"}, 1)
	w.PublishMembers()
	w.Sources[0].Publish(wire.VersionID{Number: 1, Digest: "1"})
	for _, n := range w.Nodes {
		n.Start()
	}
	w.RunFor(20 * time.Second)
	var r measured
	const idle, change = 20, 10
	counted := countTraffic(w, s)
	w.RunFor(idle * time.Second)
	r.idleMean, r.idleBusiest = counted.mean(nodes)/idle, counted.busiest()/idle
	r.idleReads = float64(counted.reads) / idle
	counted = countTraffic(w, s)
	published := w.Now()
	w.Sources[0].Publish(wire.VersionID{Number: 2, Digest: "2"})
	w.RunFor(change * time.Second)
	r.changeMean = max(0, counted.mean(nodes)-change*r.idleMean)
	r.changeBusiest = max(0, counted.busiest()-change*r.idleBusiest)
	r.changeReads = max(0, counted.reads-int(change*r.idleReads))
	for _, n := range w.Nodes {
		if n.Version.Number != 2 {
			t.Fatalf("%s did not adopt version 2", n.VM)
		}
		r.slowest = max(r.slowest, n.AdoptedAt-published)
	}
	counted = countTraffic(w, s)
	w.PublishMembers()
	w.RunFor(change * time.Second)
	r.listMean = max(0, counted.mean(nodes)-change*r.idleMean)
	r.listBusiest = max(0, counted.busiest()-change*r.idleBusiest)
	return r
}

// TestControlBytes measures the control traffic and the source reads of meshes in 4 data centres. Its log also shows
// the baseline, in which every node watches the manifest and the member list at the source and reads complete values.
func TestControlBytes(t *testing.T) {
	g := NewWithT(t)
	var report strings.Builder
	defer func() { t.Log(report.String()) }()
	fmt.Fprintf(&report, "\n%5s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n", "nodes", "idle B/s", "busiest",
		"change B", "busiest", "list B", "busiest", "reads/s", "reads/ch", "slowest", "base rd/s", "base chB")
	for _, nodes := range []int{12, 48, 120, 240, 470} {
		s := measureSizes(t, nodes)
		r := measure(t, nodes, s)
		baseReads := nodes // Every node makes two reads in 2 s: one of the manifest and one of the list.
		baseChange := s.manifest + s.value
		fmt.Fprintf(&report, "%5d %9d %9d %9d %9d %9d %9d %9.1f %9d %9v %9d %9d\n", nodes, r.idleMean, r.idleBusiest,
			r.changeMean, r.changeBusiest, r.listMean, r.listBusiest, r.idleReads, r.changeReads,
			r.slowest.Round(time.Millisecond), baseReads, baseChange)
		fmt.Fprintf(&report, "      sizes %+v\n", s)
		// A day has 480 changes of the configuration and 94 restarts or replacements with 4 revisions of the list each.
		perDay := r.changeBusiest*480 + r.listBusiest*94*4
		fmt.Fprintf(&report, "      busiest node over a day: %d B/s\n", r.idleBusiest+perDay/86400)
		g.Expect(r.idleBusiest).To(BeNumerically("<", maxControlBytes/2))
		g.Expect(r.idleBusiest + perDay/86400).To(BeNumerically("<", maxControlBytes))
		g.Expect(r.slowest).To(BeNumerically("<", maxAdoptionTime/4))
		g.Expect(r.idleReads).To(BeNumerically("<", maxSourceReads/100))
		g.Expect(r.changeReads).To(BeNumerically("<=", 64))
	}
}
