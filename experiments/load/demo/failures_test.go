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

// Kinds of events that only these tests have.
const (
	killSome   trace.EventKind = "test_kill_some"
	startAll   trace.EventKind = "test_start_all"
	cutSome    trace.EventKind = "test_cut_some"
	freezeOpen trace.EventKind = "test_freeze_open"
	healAll    trace.EventKind = "test_heal_all"
	stopInTurn trace.EventKind = "test_stop_in_turn"
	useKey     trace.EventKind = "test_use_key"
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

// nodeBinary builds the node's program once for all tests.
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

// played is a mesh of node processes after its load and its events.
type played struct {
	*mesh
	deployment *Deployment
	report     *load.Report
	results    []load.CallResult
	moves      []load.EventResult
	// stopped are the errors of planned stops, served counts what useKey got served.
	stopped []error
	served  int
}

// Execute carries out the events of these tests, and leaves the others to the demo.
func (p *played) Execute(ctx context.Context, e trace.Event) (load.EventResult, error) {
	move := load.EventResult{Event: e, At: time.Now()}
	switch e.Kind {
	case killSome:
		return move, p.each(e.Target, (*process).kill)
	case startAll:
		return move, p.each(e.Target, (*process).start)
	case cutSome:
		for i, v := range p.vms {
			if v.upstream.DataCentre == e.Target {
				p.links[i].SetMode(link.ModeCut)
			}
		}
	case freezeOpen:
		for _, l := range p.allLinks {
			l.FreezeOpenConnections()
		}
	case healAll:
		for _, l := range p.allLinks {
			l.SetMode(link.ModeNormal)
		}
	case stopInTurn:
		return move, p.each(e.Target, func(n *process) error {
			if err := n.stop(); err != nil {
				p.stopped = append(p.stopped, err)
			}
			return nil
		})
	case useKey:
		p.use(ctx, e.Target)
	default:
		return p.mesh.Execute(ctx, e)
	}
	return move, nil
}

// each does something with the processes of a data centre, one after the other.
func (p *played) each(dataCentre string, do func(*process) error) error {
	for _, n := range p.processes {
		if n.vm.upstream.DataCentre == dataCentre {
			if err := do(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// use tries a key, which was withdrawn long ago, at a node that wakes now.
func (p *played) use(ctx context.Context, upstreamName string) {
	n, err := p.process(upstreamName)
	if err != nil || n.signal(syscall.SIGCONT) != nil {
		p.served = -1
		return
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end) && ctx.Err() == nil; {
		if p.prober.Probe(p.node(n.vm), p.deployment.Secrets[p.withdrawn()]) == load.KindServed {
			p.served++
		}
	}
}

func (p *played) withdrawn() string {
	key, _ := withdrawable(p.deployment.Objects)
	return key
}

// play starts 12 node processes, replays a load with the events and stops everything.
func play(t *testing.T, duration time.Duration, l latency, events func(*played) []trace.Event) *played {
	t.Helper()
	g := NewWithT(t)
	d, err := LoadDeployment(filepath.Join("..", "..", "..", "examples", "estanho"))
	g.Expect(err).NotTo(HaveOccurred())
	o := Options{
		Deployment: d.Name, Binary: nodeBinary(t), Directory: t.TempDir(), Seed: 1, Duration: duration,
		CallsPerSecond: 120, ReadyTimeout: 30 * time.Second,
	}
	o.defaults()
	o.secrets, o.latency = d.Secrets, l
	m, err := newMesh(o, d)
	t.Cleanup(m.close)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.startNodes(t.Context())).To(Succeed())
	g.Expect(sleep(t.Context(), o.MaxDeadline)).To(BeTrue())
	p := &played{mesh: m, deployment: d}
	tr, err := GenerateTrace(d, duration, o.CallsPerSecond, o.Seed)
	g.Expect(err).NotTo(HaveOccurred())
	tr.Events = events(p)
	r, err := load.NewReplay(load.Options{
		Trace: tr, Nodes: m.nodes(), Secrets: d.Secrets, EventExecutor: p, AttemptTimeout: o.MaxDeadline + time.Second,
		RetryFor: time.Duration(maxRetryShare * float64(o.IdentityRetention)),
	})
	g.Expect(err).NotTo(HaveOccurred())
	results, moves, err := r.Run(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(m.stopNodes()).To(Succeed())
	p.results, p.moves = results, moves
	p.report = load.NewReport(load.ReportInput{
		Results: results, Records: m.records(), EventResults: moves, RateLimits: allowances(d.Objects),
	})
	p.expectSafe(g)
	return p
}

// expectSafe judges by the records of the stand-ins and the callers only.
func (p *played) expectSafe(g *WithT) {
	r := p.report
	g.Expect(r.Lost).To(BeZero(), "lost: %v", r.Violations)
	g.Expect(r.Duplicated).To(BeZero(), "doubled: %v", r.Violations)
	g.Expect(r.Mismatched).To(BeZero(), "crossed: %v", r.Violations)
	g.Expect(r.RanButReportedNotRun).To(BeZero(), "false not run: %v", r.Violations)
	g.Expect(r.KeyLeaks).To(BeZero(), "key leaks: %v", r.Violations)
	g.Expect(r.LateKeyUses).To(BeZero(), "a withdrawn key was used")
	g.Expect(r.LateDataCentreCalls).To(BeZero(), "a data centre that is out got new work: %v", p.late())
	g.Expect(r.Outcomes[load.KindServed]).To(BeNumerically(">", 100), "%v", r.Outcomes)
}

// late describes the calls that arrived in a data centre more than 5 s after it was taken out, with their times since.
func (p *played) late() (out []string) {
	for _, m := range p.moves {
		if m.Event.Kind != trace.DataCentreOut {
			continue
		}
		for _, r := range p.records() {
			if since := r.Start.Sub(m.At); r.DataCentre == m.Event.Target && since > 5*time.Second {
				out = append(out, fmt.Sprintf("%s %s at %s after %v, sent %s", r.Token, r.Outcome, r.Upstream, since,
					p.sent(r.Token, m.At)))
			}
		}
	}
	return out
}

// sent tells when an attempt was sent and ended, since the given time.
func (p *played) sent(token string, since time.Time) string {
	for i := range p.results {
		for _, a := range p.results[i].Attempts {
			if a.Token == token {
				return fmt.Sprintf("at %v to %s, %s at %v", a.Sent.Sub(since), a.Node, a.Kind, a.Done.Sub(since))
			}
		}
	}
	return "by nobody"
}

func at(seconds float64, kind trace.EventKind, target string) trace.Event {
	return trace.Event{AtMS: int64(seconds * 1000), Kind: kind, Target: target}
}

// Guards against work that is lost or repeated when all nodes of a data centre crash under load, and against a
// restart that rolls back because the platform is stale and then down.
func TestCrashOfADataCentreWhilePlatformFails(t *testing.T) {
	const dc = "crato"
	p := play(t, 12*time.Second, latency{}, func(p *played) []trace.Event {
		return []trace.Event{
			at(0.5, trace.WithdrawKey, p.withdrawn()),
			at(2, trace.PlatformFault, "stale"),
			at(3, killSome, dc),
			at(3.5, startAll, dc),
			at(5, trace.PlatformFault, "down"),
			at(6, killSome, dc),
			at(6.5, startAll, dc),
		}
	})
	NewWithT(t).Expect(p.report.Outcomes[load.KindServed]).To(BeNumerically(">", 500))
}

// Guards against a node that serves on the view from before a pause of 6 s, in which a key was withdrawn and its
// data centre left.
func TestResumeAfterChangesDuringAPause(t *testing.T) {
	const frozen, dc = "tesouraria-crato", "crato"
	p := play(t, 11*time.Second, latency{}, func(p *played) []trace.Event {
		return []trace.Event{
			at(1, trace.FreezeNode, frozen),
			at(1.2, trace.WithdrawKey, p.withdrawn()),
			at(1.6, trace.DataCentreOut, dc),
			at(7.4, useKey, frozen),
		}
	})
	NewWithT(t).Expect(p.served).To(BeZero(), "calls served with the withdrawn key after the pause")
}

// Guards against calls that are lost, repeated or answered crosswise when control links are cut for seconds and
// then every open connection goes silent while new ones work.
func TestCutLinksAndSilentConnections(t *testing.T) {
	// With latencies the peer and the caller ports have links too.
	play(t, 10*time.Second, latencies["estanho"], func(*played) []trace.Event {
		return []trace.Event{
			at(1, cutSome, "juazeiro"),
			at(1.5, trace.PublishVersion, ""),
			at(5, healAll, ""),
			at(6, freezeOpen, ""),
			at(8, freezeOpen, ""),
		}
	})
}

// Guards against a planned stop that cuts a request in progress or ends with another exit code than 0.
func TestStopOfADataCentreInTurn(t *testing.T) {
	g := NewWithT(t)
	p := play(t, 13*time.Second, latency{}, func(*played) []trace.Event {
		return []trace.Event{at(1, stopInTurn, "barbalha")}
	})
	g.Expect(p.stopped).To(BeEmpty())
	for i := range p.results {
		for _, a := range p.results[i].Attempts {
			g.Expect(a.Kind).NotTo(Equal(load.KindNoAnswer), "%s at %s was cut", a.Token, a.Node)
		}
	}
	for _, r := range p.records() {
		g.Expect(r.Outcome).NotTo(Equal(upstream.OutcomeCancelled), "%s at %s was cancelled", r.Token, r.Upstream)
	}
}
