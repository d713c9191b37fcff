package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// Options configures a demo.
type Options struct {
	// Deployment is a directory with declared/*.json and example-keys.json.
	Deployment string
	// Binary is the node's program, Directory where its settings and logs go.
	Binary    string
	Directory string
	Seed      uint64
	// Duration and CallsPerSecond shape the load; 0 means the defaults.
	Duration       time.Duration
	CallsPerSecond float64
	// MaxDeadline and Retention are the nodes' max_deadline_ms and identity_retention_ms.
	MaxDeadline       time.Duration
	IdentityRetention time.Duration
	// ReadyTimeout bounds how long the nodes may take to serve.
	ReadyTimeout time.Duration
	// Progress gets lines for the operator; nil discards them.
	Progress io.Writer

	// AddFaults adds events beyond those of the demo; see the function AddFaults.
	AddFaults bool
	// AddLatency adds the one-way latencies of the deployment between data centres and to clients.
	AddLatency bool
	// Scenario selects the events and the load; empty means Moves.
	Scenario Scenario
	// IdleDuration is how long the nodes run without calls before the load, to measure the control traffic of the
	// configuration alone.
	IdleDuration time.Duration

	latency latency
	secrets map[string]string
	start   time.Time
}

// Outcome is a report with what the driver alone knows.
type Outcome struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Nodes      int    `json:"nodes"`
	// Latency is set when the links added the deployment's latencies.
	Latency bool `json:"latency"`
	*load.Report
	// Scenario names the events and the load; Faults says whether those of the function Faults were added.
	Scenario Scenario `json:"scenario"`
	Faults   bool     `json:"faults"`
	// TeamOverRate sends more than its rate for a while; empty when none does.
	TeamOverRate string `json:"over_team"`
	// IdleControlBytesPerSecond is control traffic without calls, by node; empty when it was not measured.
	IdleControlBytesPerSecond map[string]float64 `json:"idle_control_bytes_per_second"`
	// BaselineLatencyP50MS and BaselineMSP99 are the added time of calls without any node, measured meanwhile: the
	// part of added_ms that the callers, the stand-ins and the machine cause.
	BaselineLatencyP50MS float64 `json:"baseline_ms_p50"`
	BaselineLatencyP99MS float64 `json:"baseline_ms_p99"`
	// UncleanStops lists nodes that did not stop gracefully with exit code 0.
	UncleanStops []string `json:"unclean_stops"`
	// ReplayErrors lists events that could not be carried out.
	ReplayErrors []string `json:"replay_errors"`
	TotalSeconds float64  `json:"total_seconds"`
}

func (o *Options) note(format string, arguments ...any) {
	if o.Progress == nil {
		return
	}
	elapsed := time.Since(o.start).Seconds()
	_, _ = fmt.Fprintf(o.Progress, "%6.1f s  %s\n", elapsed, fmt.Sprintf(format, arguments...))
}

func (o *Options) defaults() {
	if o.Duration == 0 {
		o.Duration = DefaultDuration
	}
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = DefaultCallsPerSecond
	}
	if o.MaxDeadline == 0 {
		o.MaxDeadline = DefaultMaxDeadline
	}
	if o.IdentityRetention == 0 {
		o.IdentityRetention = DefaultIdentityRetention
	}
	if o.ReadyTimeout == 0 {
		o.ReadyTimeout = 10 * time.Second
	}
	o.start = time.Now()
}

// Run starts the mesh, replays the load with its events and stops everything that it started.
func Run(ctx context.Context, o Options) (*Outcome, error) {
	o.defaults()
	d, err := LoadDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	o.secrets = d.Secrets
	if o.AddLatency {
		o.latency = latencies[d.Name]
	}
	t, err := generate(d, &o)
	if err != nil {
		return nil, err
	}
	m, err := newMesh(o, d)
	defer m.close()
	if err != nil {
		return nil, err
	}
	o.note("starting %d nodes", len(m.vms))
	if err := m.startNodes(ctx); err != nil {
		return nil, err
	}
	// A controller issues no epoch before the longest deadline has passed since its start.
	o.note("all nodes serve; waiting %v until they accept orders", o.MaxDeadline)
	if !sleep(ctx, o.MaxDeadline) {
		return nil, errInterrupted
	}
	idle, err := m.idle(ctx)
	if err != nil {
		return nil, err
	}
	outcome, err := m.replay(ctx, d, t)
	if err == nil {
		outcome.IdleControlBytesPerSecond = idle
	}
	return outcome, err
}

// idle measures the control traffic of the nodes without calls.
func (m *mesh) idle(ctx context.Context) (map[string]float64, error) {
	if m.options.IdleDuration <= 0 {
		return map[string]float64{}, nil
	}
	m.options.note("measuring control traffic for %v without calls", m.options.IdleDuration)
	before, started := m.controlBytes(), time.Now()
	if !sleep(ctx, m.options.IdleDuration) {
		return nil, errInterrupted
	}
	return m.controlRate(before, started), nil
}

// controlRate is the mean control traffic of each node since started.
func (m *mesh) controlRate(before map[string]uint64, started time.Time) map[string]float64 {
	seconds := time.Since(started).Seconds()
	perSecond := map[string]float64{}
	for name, bytes := range m.controlBytes() {
		perSecond[name] = float64(bytes-before[name]) / seconds
	}
	return perSecond
}

// GenerateTrace makes the demo's trace. Keys without a known secret are left out.
func GenerateTrace(d *Deployment, duration time.Duration, callsPerSecond float64, seed uint64) (*trace.Trace, error) {
	return generate(d, &Options{Duration: duration, CallsPerSecond: callsPerSecond, Seed: seed})
}

func generate(d *Deployment, o *Options) (*trace.Trace, error) {
	objects := d.Objects
	objects.Keys = nil
	for _, k := range d.Objects.Keys {
		if _, known := d.Secrets[k.ID]; known {
			objects.Keys = append(objects.Keys, k)
		}
	}
	p, err := o.Scenario.profile(&Deployment{Name: d.Name, Objects: objects}, o.Duration, o.CallsPerSecond)
	if err != nil {
		return nil, err
	}
	if o.AddFaults {
		p = AddFaults(p, objects)
	}
	return trace.Generate(p, config.NewSet(objects), o.Seed)
}

// maxRetryShare keeps the last attempt of an identity well within the nodes' retention of identities.
const maxRetryShare = 0.5

func (m *mesh) replay(ctx context.Context, d *Deployment, t *trace.Trace) (*Outcome, error) {
	o := m.options
	r, err := load.NewReplay(load.Options{
		Trace: t, Nodes: m.nodes(), Secrets: d.Secrets, EventExecutor: m,
		AttemptTimeout: o.MaxDeadline + time.Second,
		RetryFor:       time.Duration(maxRetryShare * float64(o.IdentityRetention)),
	})
	if err != nil {
		return nil, err
	}
	before, started := m.controlBytes(), time.Now()
	stopProgress := m.showProgress(ctx, r, len(t.Calls))
	stopBaseline := m.measureBaseline(ctx)
	results, moves, replayErr := r.Run(ctx)
	stopBaseline()
	stopProgress()
	if ctx.Err() != nil {
		return nil, errInterrupted
	}
	perSecond := m.controlRate(before, started)
	o.note("stopping the nodes")
	stopErr := m.stopNodes()
	report := load.NewReport(load.ReportInput{
		Results: results, Records: m.records(), EventResults: moves, RateLimits: allowances(d.Objects),
		ControlBytesPerSecond: perSecond, Timeouts: timeouts(d.Objects, o.MaxDeadline),
	})
	baselineP50, baselineP99 := m.baseline.AddedLatency()
	return &Outcome{
		BaselineLatencyP50MS: baselineP50, BaselineLatencyP99MS: baselineP99,
		Deployment: d.Name, Seed: o.Seed, Nodes: len(m.vms), Latency: o.AddLatency, Report: report,
		Scenario: o.Scenario.name(), Faults: o.AddFaults, TeamOverRate: o.Scenario.overTeam(d.Objects),
		UncleanStops: messages(stopErr), ReplayErrors: messages(replayErr),
		TotalSeconds: time.Since(o.start).Seconds(),
	}, nil
}

// measureBaseline runs the baseline until stop is called.
func (m *mesh) measureBaseline(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.baseline.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

func (m *mesh) showProgress(ctx context.Context, r *load.Replay, total int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sleep(ctx, 2*time.Second) {
			p := &r.Progress
			m.options.note("calls %d of %d, in progress %d, served %d",
				p.Started.Load(), total, p.Started.Load()-p.Finished.Load(), p.Served.Load())
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func allowances(o config.Objects) map[string]load.RateLimit {
	out := make(map[string]load.RateLimit, len(o.Teams))
	for _, t := range o.Teams {
		out[t.Name] = load.RateLimit{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	}
	return out
}

// messages splits a joined error.
func messages(err error) []string {
	out := []string{}
	if err == nil {
		return out
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return append(out, err.Error())
	}
	for _, e := range joined.Unwrap() {
		out = append(out, messages(e)...)
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
