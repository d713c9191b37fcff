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

// Options configures a run of the demo.
type Options struct {
	// Deployment is a directory with declared/*.json and example-keys.json.
	Deployment string
	// Binary is the file of the node program; Directory is where the settings and the logs of the nodes are written.
	Binary    string
	Directory string
	Seed      uint64
	// Duration is the length of the load and CallsPerSecond its mean rate; 0 means the default.
	Duration       time.Duration
	CallsPerSecond float64
	// MaxDeadline and IdentityRetention are the nodes' max_deadline_ms and identity_retention_ms; 0 means the default.
	MaxDeadline       time.Duration
	IdentityRetention time.Duration
	// ReadyTimeout bounds the time from the start of the nodes until all of them serve calls; 0 means 10 s.
	ReadyTimeout time.Duration
	// Progress receives lines about the progress for the operator; nil discards them.
	Progress io.Writer

	// AddFaults adds the faults of the function AddFaults to the events.
	AddFaults bool
	// AddLatency makes the links add the latencies of the deployment between data centres and to clients.
	AddLatency bool
	// Scenario selects the events and the load; empty means ScenarioAllEvents.
	Scenario Scenario
	// IdleDuration is the time for which the nodes run without calls before the load starts, to measure the control
	// traffic without that of calls; 0 skips the measurement.
	IdleDuration time.Duration

	latency   linkLatency
	secrets   map[string]string
	startedAt time.Time
}

// Outcome is the report of a run of the demo with the options of the run and further measurements.
type Outcome struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Nodes      int    `json:"nodes"`
	// Latency reports whether the links added the latencies of the deployment.
	Latency bool `json:"latency"`
	*load.Report
	// Scenario names the events and the load; Faults reports whether the faults of the function AddFaults were added.
	Scenario Scenario `json:"scenario"`
	Faults   bool     `json:"faults"`
	// TeamOverRate is the team that sends more than its rate for part of the time; empty if no team does.
	TeamOverRate string `json:"over_team"`
	// IdleControlBytesPerSecond is the control traffic without calls, by node; empty if it was not measured.
	IdleControlBytesPerSecond map[string]float64 `json:"idle_control_bytes_per_second"`
	// BaselineLatencyP50MS and BaselineLatencyP99MS are percentiles of the latency added to calls without any node,
	// measured during the replay. They show which part of AddedLatencyP50MS and AddedLatencyP99MS the callers, the
	// stand-ins and the machine cause.
	BaselineLatencyP50MS float64 `json:"baseline_ms_p50"`
	BaselineLatencyP99MS float64 `json:"baseline_ms_p99"`
	// UncleanStops describes the nodes that did not stop gracefully with exit code 0.
	UncleanStops []string `json:"unclean_stops"`
	// ReplayErrors describes the events that could not be executed.
	ReplayErrors []string `json:"replay_errors"`
	TotalSeconds float64  `json:"total_seconds"`
}

func (o *Options) logProgress(format string, arguments ...any) {
	if o.Progress == nil {
		return
	}
	elapsed := time.Since(o.startedAt).Seconds()
	_, _ = fmt.Fprintf(o.Progress, "%6.1f s  %s\n", elapsed, fmt.Sprintf(format, arguments...))
}

func (o *Options) setDefaults() {
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
	o.startedAt = time.Now()
}

// Run starts the mesh, replays the load with its events, stops everything that it started and returns the report. It
// returns an error if the deployment or the options are not valid, if the nodes do not serve in time, or if ctx ends.
func Run(ctx context.Context, o Options) (*Outcome, error) {
	o.setDefaults()
	d, err := LoadDeployment(o.Deployment)
	if err != nil {
		return nil, err
	}
	o.secrets = d.Secrets
	if o.AddLatency {
		o.latency = deploymentLatencies[d.Name]
	}
	t, err := generateFor(d, &o)
	if err != nil {
		return nil, err
	}
	m, err := newMesh(o, d)
	defer m.close()
	if err != nil {
		return nil, err
	}
	o.logProgress("starting %d nodes", len(m.vms))
	if err := m.startNodes(ctx); err != nil {
		return nil, err
	}
	// The controller of an upstream issues no epoch before the longest deadline has passed since its start. Until then,
	// its node accepts no calls that are not idempotent.
	o.logProgress("all nodes serve; waiting %v until they accept orders", o.MaxDeadline)
	if !sleepContext(ctx, o.MaxDeadline) {
		return nil, errInterrupted
	}
	idle, err := m.measureIdleTraffic(ctx)
	if err != nil {
		return nil, err
	}
	outcome, err := m.replay(ctx, d, t)
	if err == nil {
		outcome.IdleControlBytesPerSecond = idle
	}
	return outcome, err
}

// measureIdleTraffic measures the control traffic of the nodes without calls, in bytes per second by node.
func (m *mesh) measureIdleTraffic(ctx context.Context) (map[string]float64, error) {
	if m.options.IdleDuration <= 0 {
		return map[string]float64{}, nil
	}
	m.options.logProgress("measuring control traffic for %v without calls", m.options.IdleDuration)
	before, started := m.controlBytes(), time.Now()
	if !sleepContext(ctx, m.options.IdleDuration) {
		return nil, errInterrupted
	}
	return m.controlBytesPerSecond(before, started), nil
}

// controlBytesPerSecond returns the mean control traffic of each node since started; before is the result of
// controlBytes at that time.
func (m *mesh) controlBytesPerSecond(before map[string]uint64, started time.Time) map[string]float64 {
	seconds := time.Since(started).Seconds()
	perSecond := map[string]float64{}
	for name, bytes := range m.controlBytes() {
		perSecond[name] = float64(bytes-before[name]) / seconds
	}
	return perSecond
}

// GenerateTrace generates the trace of the demo with ScenarioAllEvents and without faults. It uses no keys whose
// secret is unknown. The same arguments give the same trace.
func GenerateTrace(d *Deployment, duration time.Duration, callsPerSecond float64, seed uint64) (*trace.Trace, error) {
	return generateFor(d, &Options{Duration: duration, CallsPerSecond: callsPerSecond, Seed: seed})
}

func generateFor(d *Deployment, o *Options) (*trace.Trace, error) {
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

// maxRetryShare is the largest time between the first and the last attempt of a call, as a share of the time for
// which the nodes retain identities. It is well below 1, so that the nodes recognise the last attempt as a retry.
const maxRetryShare = 0.5

func (m *mesh) replay(ctx context.Context, d *Deployment, t *trace.Trace) (*Outcome, error) {
	o := m.options
	r, err := load.NewReplay(load.Options{
		Trace: t, Nodes: m.nodeEndpoints(), Secrets: d.Secrets, EventExecutor: m,
		AttemptTimeout: o.MaxDeadline + time.Second,
		RetryFor:       time.Duration(maxRetryShare * float64(o.IdentityRetention)),
	})
	if err != nil {
		return nil, err
	}
	before, started := m.controlBytes(), time.Now()
	stopProgress := m.startProgressLog(ctx, r, len(t.Calls))
	stopBaseline := m.startBaseline(ctx)
	results, eventResults, replayErr := r.Run(ctx)
	stopBaseline()
	stopProgress()
	if ctx.Err() != nil {
		return nil, errInterrupted
	}
	perSecond := m.controlBytesPerSecond(before, started)
	o.logProgress("stopping the nodes")
	stopErr := m.stopNodes()
	report := load.NewReport(load.ReportInput{
		Results: results, Records: m.records(), EventResults: eventResults, RateLimits: teamRateLimits(d.Objects),
		ControlBytesPerSecond: perSecond, Timeouts: routeTimeouts(d.Objects, o.MaxDeadline),
	})
	baselineP50, baselineP99 := m.baseline.AddedLatency()
	return &Outcome{
		BaselineLatencyP50MS: baselineP50, BaselineLatencyP99MS: baselineP99,
		Deployment: d.Name, Seed: o.Seed, Nodes: len(m.vms), Latency: o.AddLatency, Report: report,
		Scenario: o.Scenario.orDefault(), Faults: o.AddFaults, TeamOverRate: o.Scenario.teamOverRate(d.Objects),
		UncleanStops: errorMessages(stopErr), ReplayErrors: errorMessages(replayErr),
		TotalSeconds: time.Since(o.startedAt).Seconds(),
	}, nil
}

// startBaseline measures the baseline until stop is called.
func (m *mesh) startBaseline(ctx context.Context) (stop func()) {
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

func (m *mesh) startProgressLog(ctx context.Context, r *load.Replay, total int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for sleepContext(ctx, 2*time.Second) {
			p := &r.Progress
			m.options.logProgress("calls %d of %d, in progress %d, served %d",
				p.Started.Load(), total, p.Started.Load()-p.Finished.Load(), p.Served.Load())
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func teamRateLimits(o config.Objects) map[string]load.RateLimit {
	out := make(map[string]load.RateLimit, len(o.Teams))
	for _, t := range o.Teams {
		out[t.Name] = load.RateLimit{RatePerSecond: t.RatePerSecond, Burst: t.Burst}
	}
	return out
}

// errorMessages returns the messages of the errors that were joined to err.
func errorMessages(err error) []string {
	out := []string{}
	if err == nil {
		return out
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return append(out, err.Error())
	}
	for _, e := range joined.Unwrap() {
		out = append(out, errorMessages(e)...)
	}
	return out
}

// sleepContext waits for d and returns true, or returns false when ctx ends earlier.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
