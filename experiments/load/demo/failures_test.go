package demo

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/link"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// Kinds of events that exist only in these tests. The target is a data centre, except for useWithdrawnKey, where it
// is an upstream, and for the events that concern all links, which have none.
const (
	killDataCentreNodes   trace.EventKind = "test_kill_some"
	startDataCentreNodes  trace.EventKind = "test_start_all"
	cutDataCentreLinks    trace.EventKind = "test_cut_some"
	freezeOpenConnections trace.EventKind = "test_freeze_open"
	restoreAllLinks       trace.EventKind = "test_heal_all"
	stopDataCentreNodes   trace.EventKind = "test_stop_in_turn"
	useWithdrawnKey       trace.EventKind = "test_use_key"
)

var (
	buildOnce sync.Once
	binary    string
	buildErr  error
)

func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// nodeBinary builds the node program once for all tests and returns its file.
func nodeBinary(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		directory, err := os.MkdirTemp("", "bamboodeal-nodes")
		if err != nil {
			buildErr = err
			return
		}
		binary = filepath.Join(directory, "bamboodeald")
		build := exec.Command("go", "build", "-o", binary, "github.com/bamboodeal/bamboodeal/cmd/bamboodeald")
		build.Stderr = os.Stderr
		buildErr = build.Run()
	})
	if buildErr != nil {
		t.Fatal(buildErr)
	}
	return binary
}

// testRun is a mesh of node processes, with what was recorded after its load and its events.
type testRun struct {
	*mesh
	deployment   *Deployment
	report       *load.Report
	results      []load.CallResult
	eventResults []load.EventResult
	// stopErrors holds the errors of stopDataCentreNodes. servedProbes counts the calls of useWithdrawnKey that were
	// served; it is -1 if the calls could not be made.
	stopErrors   []error
	servedProbes int
	// processEvents makes the events that kill and start processes run in their order. On a machine under load, killing
	// those of a data centre can take until the event that starts them.
	processEvents sync.Mutex
}

// Execute executes the events of these tests and passes other events to the demo.
func (p *testRun) Execute(ctx context.Context, e trace.Event) (load.EventResult, error) {
	result := load.EventResult{Event: e, At: time.Now()}
	switch e.Kind {
	case killDataCentreNodes:
		return result, p.forEachProcess(e.Target, (*process).kill)
	case startDataCentreNodes:
		return result, p.forEachProcess(e.Target, (*process).start)
	case cutDataCentreLinks:
		for i, v := range p.vms {
			if v.upstream.DataCentre == e.Target {
				p.controlLinks[i].SetMode(link.ModeCut)
			}
		}
	case freezeOpenConnections:
		for _, l := range p.allLinks {
			l.FreezeOpenConnections()
		}
	case restoreAllLinks:
		for _, l := range p.allLinks {
			l.SetMode(link.ModeNormal)
		}
	case stopDataCentreNodes:
		return result, p.forEachProcess(e.Target, func(n *process) error {
			if err := n.stop(); err != nil {
				p.stopErrors = append(p.stopErrors, err)
			}
			return nil
		})
	case useWithdrawnKey:
		p.probeWithWithdrawnKey(ctx, e.Target)
	default:
		return p.mesh.Execute(ctx, e)
	}
	return result, nil
}

// forEachProcess calls do for each process of a data centre, one after the other, until one returns an error.
func (p *testRun) forEachProcess(dataCentre string, do func(*process) error) error {
	p.processEvents.Lock()
	defer p.processEvents.Unlock()
	for _, n := range p.processes {
		if n.vm.upstream.DataCentre == dataCentre {
			if err := do(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// probeWithWithdrawnKey resumes the frozen node of an upstream and probes it for 2 s with the withdrawn key.
func (p *testRun) probeWithWithdrawnKey(ctx context.Context, upstreamName string) {
	n, err := p.process(upstreamName)
	if err != nil || n.signal(syscall.SIGCONT) != nil {
		p.servedProbes = -1
		return
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		if p.prober.Probe(p.nodeEndpoint(n.vm), p.deployment.Secrets[p.withdrawnKey()]) == load.KindServed {
			p.servedProbes++
		}
	}
}

func (p *testRun) withdrawnKey() string {
	key, _ := keyToWithdraw(p.deployment.Objects)
	return key
}

// runTest starts 12 node processes, replays a load with the events, stops the nodes and checks the report with
// expectSafe.
func runTest(t *testing.T, duration time.Duration, l linkLatency, events func(*testRun) []trace.Event) *testRun {
	t.Helper()
	g := NewWithT(t)
	d, err := LoadDeployment(filepath.Join("..", "..", "..", "examples", "estanho"))
	g.Expect(err).NotTo(HaveOccurred())
	o := Options{
		Deployment: d.Name, Binary: nodeBinary(t), Directory: t.TempDir(), Seed: 1, Duration: duration,
		CallsPerSecond: 120, ReadyTimeout: 30 * time.Second,
	}
	o.setDefaults()
	o.secrets, o.latency = d.Secrets, l
	m, err := newMesh(o, d)
	t.Cleanup(m.close)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.startNodes(t.Context())).To(Succeed())
	g.Expect(sleepContext(t.Context(), o.MaxDeadline)).To(BeTrue())
	p := &testRun{mesh: m, deployment: d}
	tr, err := GenerateTrace(d, duration, o.CallsPerSecond, o.Seed)
	g.Expect(err).NotTo(HaveOccurred())
	tr.Events = events(p)
	r, err := load.NewReplay(load.Options{
		Trace: tr, Nodes: m.nodeEndpoints(), Secrets: d.Secrets, EventExecutor: p,
		AttemptTimeout: o.MaxDeadline + time.Second, RetryFor: time.Duration(maxRetryShare * float64(o.IdentityRetention)),
	})
	g.Expect(err).NotTo(HaveOccurred())
	results, eventResults, err := r.Run(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.stopNodes()).To(Succeed())
	p.results, p.eventResults = results, eventResults
	p.report = load.NewReport(load.ReportInput{
		Results: results, Records: m.records(), EventResults: eventResults, RateLimits: teamRateLimits(d.Objects),
	})
	p.expectSafe(g)
	return p
}

// expectSafe checks the report, which is computed only from the records of the stand-ins and the callers.
func (p *testRun) expectSafe(g *WithT) {
	r := p.report
	g.Expect(r.Lost).To(BeZero(), "lost: %v", r.Violations)
	g.Expect(r.Duplicated).To(BeZero(), "run twice: %v", r.Violations)
	g.Expect(r.Mismatched).To(BeZero(), "wrong answers or bodies: %v", r.Violations)
	g.Expect(r.RanButReportedNotRun).To(BeZero(), "ran, but reported as not run: %v", r.Violations)
	g.Expect(r.KeyLeaks).To(BeZero(), "key leaks: %v", r.Violations)
	g.Expect(r.LateKeyUses).To(BeZero(), "calls with a withdrawn key were served")
	g.Expect(r.LateDataCentreCalls).To(BeZero(), "calls arrived in a data centre that was out of service: %v",
		p.describeLateCalls())
	g.Expect(r.Outcomes[load.KindServed]).To(BeNumerically(">", 100), "%v", r.Outcomes)
}

// describeLateCalls describes the calls that arrived in a data centre more than 5 s after it was taken out of
// service, with the time since then.
func (p *testRun) describeLateCalls() (out []string) {
	for _, result := range p.eventResults {
		if result.Event.Kind != trace.DataCentreOut {
			continue
		}
		for _, r := range p.records() {
			if since := r.Start.Sub(result.At); r.DataCentre == result.Event.Target && since > 5*time.Second {
				out = append(out, fmt.Sprintf("%s %s at %s after %v, sent %s", r.Token, r.Outcome, r.Upstream, since,
					p.describeAttempt(r.Token, result.At)))
			}
		}
	}
	return out
}

// describeAttempt describes when the attempt with this token was sent and ended, as times since the given time.
func (p *testRun) describeAttempt(token string, since time.Time) string {
	for i := range p.results {
		for _, a := range p.results[i].Attempts {
			if a.Token == token {
				return fmt.Sprintf("at %v to %s, %s at %v", a.Sent.Sub(since), a.Node, a.Kind, a.Done.Sub(since))
			}
		}
	}
	return "by no caller"
}

func eventAt(seconds float64, kind trace.EventKind, target string) trace.Event {
	return trace.Event{AtMS: int64(seconds * 1000), Kind: kind, Target: target}
}

// Guards against calls that are lost or run twice when all nodes of a data centre crash under load, and against nodes
// that return to an older version when they restart while the platform returns stale data or is down.
func TestDataCentreCrashDuringPlatformFault(t *testing.T) {
	const dataCentre = "crato"
	p := runTest(t, 12*time.Second, linkLatency{}, func(p *testRun) []trace.Event {
		return []trace.Event{
			eventAt(0.5, trace.WithdrawKey, p.withdrawnKey()),
			eventAt(2, trace.PlatformFault, "stale"),
			eventAt(3, killDataCentreNodes, dataCentre),
			eventAt(3.5, startDataCentreNodes, dataCentre),
			eventAt(5, trace.PlatformFault, "down"),
			eventAt(6, killDataCentreNodes, dataCentre),
			eventAt(6.5, startDataCentreNodes, dataCentre),
		}
	})
	NewWithT(t).Expect(p.report.Outcomes[load.KindServed]).To(BeNumerically(">", 500))
}

// Guards against a node that, after it was frozen for 6 s, serves calls with the configuration from before. While it
// was frozen, a key was withdrawn and the data centre of the node was taken out of service.
func TestFrozenNodeRefusesWithdrawnKeyAfterResume(t *testing.T) {
	const frozenNode, dataCentre = "tesouraria-crato", "crato"
	p := runTest(t, 11*time.Second, linkLatency{}, func(p *testRun) []trace.Event {
		return []trace.Event{
			eventAt(1, trace.FreezeNode, frozenNode),
			eventAt(1.2, trace.WithdrawKey, p.withdrawnKey()),
			eventAt(1.6, trace.DataCentreOut, dataCentre),
			eventAt(7.4, useWithdrawnKey, frozenNode),
		}
	})
	NewWithT(t).Expect(p.servedProbes).To(BeZero(), "calls served with the withdrawn key after the pause")
}

// Guards against calls that are lost, run twice or answered with the answer of another call when control links are
// cut for seconds and when all open connections then stop carrying data while new ones work.
func TestCutLinksAndFrozenConnections(t *testing.T) {
	// With latencies, there are also links in front of the peer ports and the caller ports.
	runTest(t, 10*time.Second, deploymentLatencies["estanho"], func(*testRun) []trace.Event {
		return []trace.Event{
			eventAt(1, cutDataCentreLinks, "juazeiro"),
			eventAt(1.5, trace.PublishVersion, ""),
			eventAt(5, restoreAllLinks, ""),
			eventAt(6, freezeOpenConnections, ""),
			eventAt(8, freezeOpenConnections, ""),
		}
	})
}

// Guards against a graceful stop that interrupts a request in progress or does not end with exit code 0.
func TestGracefulStopOfDataCentre(t *testing.T) {
	g := NewWithT(t)
	p := runTest(t, 13*time.Second, linkLatency{}, func(*testRun) []trace.Event {
		return []trace.Event{eventAt(1, stopDataCentreNodes, "barbalha")}
	})
	g.Expect(p.stopErrors).To(BeEmpty())
	for i := range p.results {
		for _, a := range p.results[i].Attempts {
			g.Expect(a.Kind).NotTo(Equal(load.KindNoAnswer), "%s at %s got no answer", a.Token, a.Node)
		}
	}
	for _, r := range p.records() {
		g.Expect(r.Outcome).NotTo(Equal(upstream.OutcomeCancelled), "%s at %s was cancelled", r.Token, r.Upstream)
	}
}
