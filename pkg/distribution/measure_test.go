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

// Bounds of the target size: 3 KB/s of control for each node, 2,000 reads of the source a second.
const (
	boundBytes = 3000
	boundReads = 2000
	bound      = 8 * time.Second
)

var ageDigits = regexp.MustCompile(`"age_ms":(-?[0-9]+)`)

// sizes are bytes of a request and its response, with all headers, as they were read from a connection.
type sizes struct{ quiet, announced, set, list, watch, manifest, value, members int }

// fleet is the declared set of a mesh with that many upstreams.
func fleet(upstreams, withdrawn int) config.Objects {
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

// members is a list of VMs. They have no control addresses, so that the measured node polls none of them.
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

// exchange sends a request over a connection of its own and returns the bytes of both directions.
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

// measureSizes reads the sizes of real answers to a change of one key and of one member.
func measureSizes(t testing.TB, count int) sizes {
	t.Helper()
	g := NewWithT(t)
	first, err := bundle.Build(fleet(count, 0), 1001, "")
	g.Expect(err).NotTo(HaveOccurred())
	second, err := bundle.Build(fleet(count, 1), 1002, first.ID().Digest)
	g.Expect(err).NotTo(HaveOccurred())
	s := newSource()
	s.list = members(count, 0)
	s.publish(first.ManifestBytes, first.Values)
	n := startNode(t, "vm-measured", listen(t), []platform.Source{s}, func(o *distribution.Options) {
		o.DataCentre = "dc-none"
	})
	g.Eventually(n.version, patience).Should(BeEquivalentTo(1001))
	// Without the first list the node would have no base for a patch to the second.
	revision := func() uint64 { return n.Status().MembersRevision }
	g.Eventually(revision, patience).Should(BeEquivalentTo(1))
	s.update(func() { s.list = members(count, 1) })
	s.publish(second.ManifestBytes, second.Values)
	g.Eventually(n.version, patience).Should(BeEquivalentTo(1002))
	g.Eventually(revision, patience).Should(BeEquivalentTo(2))
	path := func(have wire.VersionID, revision int, contents string) string {
		// The wait of 1 ms has as many digits as the real one of 2,000 ms.
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

// measureReads reads the sizes of the platform's answers from a server with the usual headers.
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
	ask := func(path string, body []byte) int {
		answer.Store(&body)
		return exchange(t, l.Addr().String(), path)
	}
	all.watch = ask("/v1/config/manifest?after=1002&wait_ms=2000", nil)
	all.manifest = ask("/v1/config/manifest?after=1001&wait_ms=2000", second.ManifestBytes)
	all.members = ask("/v1/members?after=1&wait_ms=2000", bytes.Repeat([]byte("x"), 230*count))
	for digest, data := range second.Values {
		if first.Values[digest] == nil {
			all.value += ask("/v1/config/values/"+digest, data)
		}
	}
}

// traffic counts the bytes of each node, in both directions, and the messages of all.
type traffic struct {
	bytes    map[string]int
	messages int
	reads    int
}

func (f *traffic) busiest() int {
	most := 0
	for _, b := range f.bytes {
		most = max(most, b)
	}
	return most
}

func (f *traffic) mean(nodes int) int {
	sum := 0
	for _, b := range f.bytes {
		sum += b
	}
	return sum / nodes
}

func meter(w *distributiontest.Simulation, s sizes) *traffic {
	f := &traffic{bytes: map[string]int{}}
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
			f.messages++
			f.bytes[from.VM] += size
			f.bytes[to.VM] += size
		},
		OnRead: func(by *distributiontest.Node, kind string, changed bool) {
			f.messages++
			f.reads++
			size := s.watch
			if changed {
				size = map[string]int{"manifest": s.manifest, "members": s.members, "values": s.value}[kind]
			}
			f.bytes[by.VM] += size
		},
	}
	return f
}

// measured are the figures of one fleet size.
type measured struct {
	idleMean, idleBusiest, changeMean, changeBusiest, listMean, listBusiest int
	idleReads                                                               float64
	changeReads                                                             int
	slowest                                                                 time.Duration
}

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
	f := meter(w, s)
	w.RunFor(idle * time.Second)
	r.idleMean, r.idleBusiest = f.mean(nodes)/idle, f.busiest()/idle
	r.idleReads = float64(f.reads) / idle
	f = meter(w, s)
	published := w.Now()
	w.Sources[0].Publish(wire.VersionID{Number: 2, Digest: "2"})
	w.RunFor(change * time.Second)
	r.changeMean = max(0, f.mean(nodes)-change*r.idleMean)
	r.changeBusiest = max(0, f.busiest()-change*r.idleBusiest)
	r.changeReads = max(0, f.reads-int(change*r.idleReads))
	for _, n := range w.Nodes {
		if n.Version.Number != 2 {
			t.Fatalf("%s did not follow", n.VM)
		}
		r.slowest = max(r.slowest, n.AdoptedAt-published)
	}
	f = meter(w, s)
	w.PublishMembers()
	w.RunFor(change * time.Second)
	r.listMean = max(0, f.mean(nodes)-change*r.idleMean)
	r.listBusiest = max(0, f.busiest()-change*r.idleBusiest)
	return r
}

// TestControlBytes measures the bytes, messages and reads of fleets in 4 data centres and compares them with the
// baseline, in which every node watches the manifest and the list at the source and reads full values.
func TestControlBytes(t *testing.T) {
	g := NewWithT(t)
	var report strings.Builder
	defer func() { t.Log(report.String()) }()
	fmt.Fprintf(&report, "\n%5s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s %9s\n", "nodes", "idle B/s", "busiest",
		"change B", "busiest", "list B", "busiest", "reads/s", "reads/ch", "slowest", "base rd/s", "base chB")
	for _, nodes := range []int{12, 48, 120, 240, 470} {
		s := measureSizes(t, nodes)
		r := measure(t, nodes, s)
		baseReads := nodes // two watches of 2 s
		baseChange := s.manifest + s.value
		fmt.Fprintf(&report, "%5d %9d %9d %9d %9d %9d %9d %9.1f %9d %9v %9d %9d\n", nodes, r.idleMean, r.idleBusiest,
			r.changeMean, r.changeBusiest, r.listMean, r.listBusiest, r.idleReads, r.changeReads,
			r.slowest.Round(time.Millisecond), baseReads, baseChange)
		fmt.Fprintf(&report, "      sizes %+v\n", s)
		// 480 changes and, for 94 restarts or replacements, 4 revisions of the list each, on a day.
		perDay := r.changeBusiest*480 + r.listBusiest*94*4
		fmt.Fprintf(&report, "      busiest node over a day: %d B/s\n", r.idleBusiest+perDay/86400)
		g.Expect(r.idleBusiest).To(BeNumerically("<", boundBytes/2))
		g.Expect(r.idleBusiest + perDay/86400).To(BeNumerically("<", boundBytes))
		g.Expect(r.slowest).To(BeNumerically("<", bound/4))
		g.Expect(r.idleReads).To(BeNumerically("<", boundReads/100))
		g.Expect(r.changeReads).To(BeNumerically("<=", 64))
	}
}
