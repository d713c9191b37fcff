package demo

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/platform"
)

func testObjects() config.Objects {
	return config.Objects{
		DataCentres: []config.DataCentre{
			{Name: "dc-a", Region: "r", State: config.DataCentreIn},
			{Name: "dc-b", Region: "r", State: config.DataCentreIn},
		},
		Services: []config.Service{{Name: "shop", ColdStart: config.ColdStart{InitialConcurrency: 1, RampMS: 100}}},
		Upstreams: []config.Upstream{
			{Name: "shop-b", Service: "shop", DataCentre: "dc-b", Slots: 4, Connections: 20},
			{Name: "shop-a", Service: "shop", DataCentre: "dc-a", Slots: 4, Connections: 20},
		},
		Routes: []config.Route{{
			Name: "browse", Service: "shop", PathPrefix: "/shop", Methods: []string{"GET"}, Visibility: config.VisibilityPublic,
			Idempotent: true, Priority: config.PriorityInteractive, TimeoutMS: 5000, MaxBodyBytes: 1024,
		}},
		Teams: []config.Team{
			{Name: "large", RatePerSecond: 50, Burst: 50, Weight: 1},
			{Name: "small", RatePerSecond: 5, Burst: 16, Weight: 1},
		},
		Keys: []config.Key{
			{ID: "small-1", Team: "small", Digest: config.KeyDigest("s-1"), State: config.KeyGranted},
			{ID: "large-1", Team: "large", Digest: config.KeyDigest("l-1"), State: config.KeyGranted},
			{ID: "large-2", Team: "large", Digest: config.KeyDigest("l-2"), State: config.KeyGranted},
		},
	}
}

// Guards against a published version that lacks the change of the event or the new probe key, has the wrong number or
// parent, or has a route timeout above the longest deadline of the nodes.
func TestPublishAppliesEvent(t *testing.T) {
	g := NewWithT(t)
	v := newVersionPublisher(platform.New(platform.Options{}), testObjects(), 1, 2*time.Second)
	secrets := map[string]bool{}
	for i, e := range []trace.Event{
		{Kind: trace.PublishVersion},
		{Kind: trace.WithdrawKey, Target: "large-1"},
		{Kind: trace.DataCentreOut, Target: "dc-b"},
		{Kind: trace.DataCentreIn, Target: "dc-b"},
	} {
		parent := v.parent
		_, secret, err := v.publish(e)
		g.Expect(err).NotTo(HaveOccurred())
		built, err := bundle.Build(v.objects, v.number, parent)
		g.Expect(err).NotTo(HaveOccurred())
		set, err := bundle.DecodeSet(built.ManifestBytes, built.Values)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(v.number).To(BeEquivalentTo(i + 1))
		g.Expect(v.parent).To(Equal(built.ID().Digest))
		g.Expect(set.KeyForSecret(secret).Team).To(Equal(probeTeam))
		g.Expect(secrets).NotTo(HaveKey(secret))
		secrets[secret] = true
		g.Expect(set.Key("large-1").State == config.KeyWithdrawn).To(Equal(i >= 1))
		g.Expect(set.DataCentre("dc-b").State == config.DataCentreOut).To(Equal(i == 2))
		g.Expect(set.Route("browse").TimeoutMS).To(BeEquivalentTo(2000))
	}
	_, _, err := v.publish(trace.Event{Kind: trace.WithdrawKey, Target: "nothing"})
	g.Expect(err).To(MatchError(errUnknownTarget))
}

// Guards against a demo that lacks an event, or that kills a node of the data centre that is out of service, where no
// work could be lost.
func TestTraceHasAllDemoEvents(t *testing.T) {
	g := NewWithT(t)
	d := &Deployment{Name: "test", Objects: testObjects(), Secrets: map[string]string{"large-1": "", "large-2": "", "small-1": ""}}
	tr, err := GenerateTrace(d, 20*time.Second, 20, 1)
	g.Expect(err).NotTo(HaveOccurred())
	targets := map[trace.EventKind]string{}
	for _, e := range tr.Events {
		targets[e.Kind] = e.Target
		g.Expect(e.ExpectedOutcome).NotTo(BeEmpty())
	}
	g.Expect(targets).To(Equal(map[trace.EventKind]string{
		trace.PublishVersion: "", trace.WithdrawKey: "large-1", trace.DataCentreOut: "dc-b", trace.DataCentreIn: "dc-b",
		trace.KillNode: "shop-a", trace.RestartNode: "shop-a",
	}))
	g.Expect(tr.Calls).NotTo(BeEmpty())
}

// recordedSeed is the seed of the recorded traces, and recordedCalls the number of their calls in the repository. A
// whole trace has 1.3 MB, so the repository holds only its seed and its first calls; see the README beside them.
const (
	recordedSeed  = 1
	recordedCalls = 60
)

// Guards against an unnoticed change of the generator or an example, after which figures of different runs could not be
// compared.
func TestRecordedTraces(t *testing.T) {
	for _, name := range []string{"estanho", "mantaleve"} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f, err := os.Open(filepath.Join("..", "..", "..", "pkg", "trace", "testdata", name+"-excerpt.json"))
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = f.Close() }()
			recorded, err := trace.Read(f)
			g.Expect(err).NotTo(HaveOccurred())
			d, err := LoadDeployment(filepath.Join("..", "..", "..", "examples", name))
			g.Expect(err).NotTo(HaveOccurred())
			whole, err := GenerateTrace(d, DefaultDuration, DefaultCallsPerSecond, recordedSeed)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(whole.Excerpt(recordedCalls)).To(Equal(recorded))
		})
	}
}

// Guards against two VMs with the same address, and against nodes that announce their control port instead of the
// link in front of it, which counts the bytes.
func TestLayout(t *testing.T) {
	g := NewWithT(t)
	o := testObjects()
	for i := range 470 {
		o.Upstreams = append(o.Upstreams, config.Upstream{Name: fmt.Sprintf("more-%d", i)})
	}
	vms := layoutVMs(o, 64)
	seen := map[string]bool{}
	for _, v := range vms {
		g.Expect(seen).NotTo(HaveKey(v.ip))
		seen[v.ip] = true
		s := newNodeSettings(v, vms, "http://p", time.Second, time.Minute)
		m := &mesh{vms: vms}
		g.Expect(m.member(v).ControlAddress).NotTo(Equal(s.ControlAddress))
		g.Expect(s.SeedControlAddresses).To(HaveLen(seedsPerNode))
		g.Expect(s.SeedControlAddresses).NotTo(ContainElement(m.member(v).ControlAddress))
	}
}

// Guards against processes that outlive the demo, and against a stop that is reported as graceful although it was
// not. The shell itself creates the ready file: a child process such as touch can outlive the killed shell and create
// the file after the test has removed it.
func TestProcess(t *testing.T) {
	scripts := map[string]string{
		"graceful": "trap 'exit 0' TERM; : > %s; while :; do sleep 0.02; done",
		"failing":  "trap 'exit 1' TERM; : > %s; while :; do sleep 0.02; done",
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			dir := t.TempDir()
			binary, ready := filepath.Join(dir, "node"), filepath.Join(dir, "ready")
			text := fmt.Sprintf("#!/bin/sh\n"+script+"\n", ready)
			g.Expect(os.WriteFile(binary, []byte(text), 0o700)).To(Succeed())
			p, err := newProcess(&vm{name: "vm-x"}, binary, dir, nodeSettings{})
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = p.kill() })
			g.Expect(p.start()).To(Succeed())
			g.Expect(p.start()).NotTo(Succeed())
			g.Expect(p.checkNotExited()).To(Succeed())
			g.Expect(p.kill()).To(Succeed())
			g.Expect(p.running()).To(BeFalse())
			g.Expect(os.RemoveAll(ready)).To(Succeed())
			g.Expect(p.start()).To(Succeed())
			g.Eventually(func() error {
				_, err := os.Stat(ready)
				return err
			}, "5s").Should(Succeed())
			g.Expect(p.stop() == nil).To(Equal(name == "graceful"))
			g.Expect(p.running()).To(BeFalse())
			g.Expect(p.stop()).To(Succeed())
		})
	}
}

// Guards against joined errors that are missing from the report.
func TestErrorMessages(t *testing.T) {
	g := NewWithT(t)
	a, b := errors.New("a"), errors.New("b")
	g.Expect(errorMessages(nil)).To(Equal([]string{}))
	g.Expect(errorMessages(errors.Join(a, errors.Join(b)))).To(Equal([]string{"a", "b"}))
	g.Expect(slowestConvergence(load.EventResult{Converged: map[string]time.Duration{"x": 1, "y": 3, "z": 2}})).To(BeEquivalentTo(3))
}
