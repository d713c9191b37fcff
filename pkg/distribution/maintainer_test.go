package distribution_test

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
	"go.uber.org/goleak"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/distribution"
)

// eventualTimeout bounds the wait for something that must happen. No test depends on how long it takes.
const eventualTimeout = 30 * time.Second

// version returns the version number of the node's snapshot, or 0 when it has none.
func (n *node) version() uint64 {
	if s := n.store.Load(); s != nil {
		return s.Version.Number
	}
	return 0
}

// Every node must publish every version completely, although only two nodes read the source, and must leave no
// goroutines behind when it stops.
func TestNodesPublishEveryVersion(t *testing.T) {
	// A goroutine of fasthttp's worker pool sleeps for 10 s before it notices that its server has stopped.
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"))
	g := NewWithT(t)
	s := newFakeSource()
	nodes := startNodes(t, s, 8)
	for number := 1; number <= 12; number++ {
		b := mustBuild(t, number)
		s.publish(b.ManifestBytes, b.Values)
		for _, n := range nodes {
			g.Eventually(n.version, eventualTimeout).Should(BeEquivalentTo(number))
			snap := n.store.Load()
			g.Expect(snap.Consistent()).To(Succeed())
			g.Expect(snap.Set.Keys).To(HaveLen(40))
			g.Expect(snap.Members).To(HaveLen(8))
		}
	}
	readers := func() int {
		count := 0
		for _, n := range nodes {
			if n.Status().IsReader {
				count++
			}
		}
		return count
	}
	g.Eventually(readers, eventualTimeout).Should(Equal(2))
	for _, n := range nodes {
		g.Expect(n.Ready()).To(BeTrue())
		fresh := func() bool { return n.freshness.ViewConfirmedWithin(n.clock.Now(), 4*time.Second) }
		g.Eventually(fresh, eventualTimeout).Should(BeTrue())
	}
	for _, n := range nodes {
		n.stop()
	}
}

// An invalid set must not come into force on any node, and its values must not be read repeatedly.
func TestInvalidSetIsRejectedOnce(t *testing.T) {
	g := NewWithT(t)
	s := newFakeSource()
	good := mustBuild(t, 1)
	s.publish(good.ManifestBytes, good.Values)
	nodes := startNodes(t, s, 3)
	for _, n := range nodes {
		g.Eventually(n.version, eventualTimeout).Should(BeEquivalentTo(1))
	}
	// The route refers to a service that the set does not declare.
	bad := mustBuild(t, 2)
	manifest := bad.Manifest
	manifest.Values = nil
	for _, v := range bad.Manifest.Values {
		if v.Name != "services" {
			manifest.Values = append(manifest.Values, v)
		}
	}
	s.publish(manifest.Bytes(), bad.Values)
	rejected := func() int {
		sum := 0
		for _, n := range nodes {
			sum += len(n.Status().Rejected)
		}
		return sum
	}
	g.Eventually(rejected, eventualTimeout).Should(BeNumerically(">=", 2))
	watches := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.watches
	}
	before := watches()
	g.Eventually(watches, eventualTimeout).Should(BeNumerically(">=", before+4))
	fixed := mustBuild(t, 3)
	s.publish(fixed.ManifestBytes, fixed.Values)
	for _, n := range nodes {
		g.Eventually(n.version, eventualTimeout).Should(BeEquivalentTo(3))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for digest, reads := range s.reads {
		g.Expect(reads).To(BeNumerically("<=", len(nodes)), digest)
	}
}

// A node that starts while the source is down must get the member list and the configuration from a seed node.
func TestNodeStartsFromSeedWhileSourceIsDown(t *testing.T) {
	g := NewWithT(t)
	s := newFakeSource()
	b := mustBuild(t, 4)
	s.publish(b.ManifestBytes, b.Values)
	nodes := startNodes(t, s, 3)
	for _, n := range nodes {
		g.Eventually(n.version, eventualTimeout).Should(BeEquivalentTo(4))
	}
	s.update(func() { s.down = true })
	late := startNode(t, "vm-late", listen(t), []platform.Source{s}, func(o *distribution.Options) {
		o.SeedControlAddresses = []string{nodes[0].address}
	})
	g.Eventually(late.Ready, eventualTimeout).Should(BeTrue())
	g.Expect(late.version()).To(BeEquivalentTo(4))
	g.Expect(late.Status().MembersRevision).To(BeEquivalentTo(1))
	g.Eventually(func() string { return late.Status().SourceError }, eventualTimeout).ShouldNot(BeEmpty())
}

// A version below the version floor must not be adopted.
func TestVersionBelowFloorIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	s := newFakeSource()
	old := mustBuild(t, 4)
	s.publish(old.ManifestBytes, old.Values)
	n := startNode(t, "vm-0", listen(t), []platform.Source{s}, func(o *distribution.Options) { o.VersionFloor = 5 })
	g.Eventually(func() int64 { return n.Status().LastAnswerAgeMS }, eventualTimeout).Should(BeNumerically(">=", 0))
	g.Expect(n.Ready()).To(BeFalse())
	b := mustBuild(t, 5)
	s.publish(b.ManifestBytes, b.Values)
	g.Eventually(n.Ready, eventualTimeout).Should(BeTrue())
	g.Expect(n.version()).To(BeEquivalentTo(5))
}

// After a pause of the process, its view must count as unconfirmed until the source or another node answers again.
// Answers that were sent before the pause and waited in its sockets must not confirm it.
func TestPauseMakesViewUnconfirmed(t *testing.T) {
	g := NewWithT(t)
	s := newFakeSource()
	b := mustBuild(t, 1)
	s.publish(b.ManifestBytes, b.Values)
	nodes := startNodes(t, s, 1)
	n := nodes[0]
	g.Eventually(n.Ready, eventualTimeout).Should(BeTrue())
	s.update(func() { s.down = true })
	g.Eventually(func() string { return n.Status().SourceError }, eventualTimeout).ShouldNot(BeEmpty())
	n.clock.jump(2 * time.Second)
	g.Eventually(func() int { return n.Status().Pauses }, eventualTimeout).Should(BeNumerically(">=", 1))
	g.Expect(n.freshness.ViewConfirmedWithin(n.clock.Now(), time.Hour)).To(BeFalse())
	s.update(func() { s.down = false })
	g.Eventually(func() bool { return n.freshness.ViewConfirmedWithin(n.clock.Now(), time.Hour) }, eventualTimeout).Should(BeTrue())
	g.Expect(n.version()).To(BeEquivalentTo(1))
}

// poll sends a poll with the given query to a control port. It returns the HTTP status and the decoded body.
func poll(g Gomega, address, query string) (int, map[string]any) {
	status, body, err := fasthttp.Get(nil, "http://"+address+wire.PathConfigPoll+"?"+query)
	g.Expect(err).NotTo(HaveOccurred())
	answer := map[string]any{}
	_ = json.Unmarshal(body, &answer)
	return status, answer
}

// A waiting poll of another node must not delay the stop of a node.
func TestStopAnswersWaitingPolls(t *testing.T) {
	g := NewWithT(t)
	n := startNode(t, "vm-0", listen(t), nil, nil)
	done := make(chan int, 1)
	go func() {
		status, _ := poll(g, n.address, "w=2000")
		done <- status
	}()
	g.Eventually(func() int64 { return n.WaitingPolls() }, eventualTimeout).Should(BeEquivalentTo(1))
	n.stop()
	g.Expect(<-done).To(Equal(fasthttp.StatusOK))
	g.Expect(n.WaitingPolls()).To(BeZero())
}

// A polling node without a known base of a patch must get complete values, a polling node that is up to date must get
// no contents, and a malformed poll must be refused.
func TestPollAnswerDependsOnPolledVersion(t *testing.T) {
	g := NewWithT(t)
	s := newFakeSource()
	b := mustBuild(t, 2)
	s.publish(b.ManifestBytes, b.Values)
	n := startNodes(t, s, 1)[0]
	g.Eventually(n.Ready, eventualTimeout).Should(BeTrue())
	_, answer := poll(g, n.address, "c=1&h=1:"+bundle.Digest([]byte("unknown")))
	set := answer["set"].(map[string]any)
	g.Expect(set).NotTo(HaveKey("patched"))
	g.Expect(set["values"]).To(HaveLen(len(b.Values)))
	_, answer = poll(g, n.address, "c=1&m=1&h="+b.ID().String())
	g.Expect(answer).NotTo(HaveKey("set"))
	g.Expect(answer).NotTo(HaveKey("list"))
	status, _ := poll(g, n.address, "h=nonsense")
	g.Expect(status).To(Equal(fasthttp.StatusBadRequest))
}

// A set with a wrong value that another node sends must not be adopted.
func TestCorruptSetIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	b := mustBuild(t, 9)
	n := startNode(t, "vm-0", listen(t), nil, nil)
	var served atomic.Int32
	l := listen(t)
	corruptServer := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		served.Add(1)
		manifest, _ := bundle.EncodePatch(nil, b.ManifestBytes)
		value, _ := bundle.EncodePatch(nil, []byte("wrong"))
		values := make([][]byte, len(b.Manifest.Values))
		for i := range values {
			values[i] = value
		}
		data, _ := json.Marshal(map[string]any{
			"version": b.ID(), "age_ms": 1, "set": map[string]any{"manifest": manifest, "values": values},
		})
		ctx.SetBody(data)
	}, CloseOnShutdown: true}
	go func(l net.Listener) { _ = corruptServer.Serve(l) }(l)
	defer func() { _ = corruptServer.Shutdown() }()
	// The state machine polls this node a second time only after it has discarded the first answer.
	g.Eventually(func() int32 {
		n.ObserveVersion(b.ID(), l.Addr().String())
		return served.Load()
	}, eventualTimeout).Should(BeNumerically(">=", 2))
	g.Expect(n.Ready()).To(BeFalse())
	g.Expect(n.store.Load()).To(BeNil())
}

// SetLeaving must mark the node as leaving in the published snapshot.
func TestSetLeavingIsPublished(t *testing.T) {
	g := NewWithT(t)
	s := newFakeSource()
	b := mustBuild(t, 1)
	s.publish(b.ManifestBytes, b.Values)
	n := startNodes(t, s, 1)[0]
	g.Eventually(n.Ready, eventualTimeout).Should(BeTrue())
	g.Expect(n.store.Load().SelfLeaving).To(BeFalse())
	n.SetLeaving()
	g.Eventually(func() bool { return n.store.Load().SelfLeaving }, eventualTimeout).Should(BeTrue())
}
