package demo

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	api "github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/platform"
)

// Times of the baseline in which every node watches the source.
const (
	watchWait      = 2 * time.Second
	watchIdle      = 6 * time.Second
	watchSettle    = time.Second
	watchRetry     = 100 * time.Millisecond
	changeInterval = 500 * time.Millisecond
)

// MeasureWatchBaseline measures the baseline of the distribution: each node watches the manifest and the list at the
// platform itself, and reads each changed value whole. It publishes the versions of the demo, and returns rows for
// the tables of Figures.
func MeasureWatchBaseline(ctx context.Context, d *Deployment) ([]any, error) {
	w := &watchers{platform: platform.New(platform.Options{}), network: network()}
	defer func() { _ = w.platform.Close() }()
	w.versions = newVersions(w.platform, d.Objects, 1, DefaultMaxDeadline)
	address, _, err := w.platform.Listen(platformAddress(w.network), "")
	if err != nil {
		return nil, err
	}
	if _, _, err := w.versions.publish(trace.Event{Kind: trace.PublishVersion}); err != nil {
		return nil, err
	}
	w.vms = layout(d.Objects, w.network)
	members := &mesh{vms: w.vms}
	list := make([]api.Member, 0, len(w.vms))
	for _, v := range w.vms {
		list = append(list, members.member(v))
	}
	w.platform.SetMembers(list)
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	for _, v := range w.vms {
		source, err := api.NewClient(api.ClientOptions{Addresses: []string{"http://" + address}, DialAddress: v.ip})
		if err != nil {
			return nil, err
		}
		tasks.Go(func() { w.watchManifest(ctx, source) })
		tasks.Go(func() { watchMembers(ctx, source) })
	}
	return w.measure(ctx, d)
}

type watchers struct {
	platform *platform.Server
	versions *versions
	vms      []*vm
	network  int

	mu sync.Mutex
	// adopted counts the nodes that have a version, last is when the latest of them got it.
	adopted map[uint64]int
	last    map[uint64]time.Time
}

func (w *watchers) watchManifest(ctx context.Context, source api.Source) {
	revision, held := uint64(0), map[string]bool{}
	for ctx.Err() == nil {
		data, next, changed, err := source.Manifest(ctx, revision, watchWait)
		if err != nil || !changed {
			if err != nil {
				sleep(ctx, watchRetry)
			}
			continue
		}
		manifest, err := bundle.ParseManifest(data)
		if err != nil || !readValues(ctx, source, manifest, held) {
			sleep(ctx, watchRetry)
			continue
		}
		revision = next
		w.note(manifest.Version)
	}
}

func readValues(ctx context.Context, source api.Source, manifest *bundle.Manifest, held map[string]bool) bool {
	for _, v := range manifest.Values {
		if held[v.Digest] {
			continue
		}
		if _, err := source.Value(ctx, v.Digest); err != nil {
			return false
		}
		held[v.Digest] = true
	}
	return true
}

func watchMembers(ctx context.Context, source api.Source) {
	revision := uint64(0)
	for ctx.Err() == nil {
		list, err := source.Members(ctx, revision, watchWait)
		if err != nil {
			sleep(ctx, watchRetry)
		} else if list != nil {
			revision = list.Revision
		}
	}
}

func (w *watchers) note(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.adopted == nil {
		w.adopted, w.last = map[uint64]int{}, map[uint64]time.Time{}
	}
	w.adopted[version]++
	w.last[version] = time.Now()
}

// traffic sums bytes and reads of each node at the platform.
func (w *watchers) traffic() (bytes map[string]uint64, reads uint64) {
	bytes = map[string]uint64{}
	counters := w.platform.CountersByIP()
	for _, v := range w.vms {
		c := counters[v.ip]
		bytes[v.name] = c.BytesIn + c.BytesOut
		reads += c.Reads
	}
	return bytes, reads
}

type sourceFigure struct {
	run
	Load  string  `json:"load"`
	Reads float64 `json:"reads_per_second"`
}

func (w *watchers) measure(ctx context.Context, d *Deployment) ([]any, error) {
	r := run{Deployment: d.Name, Way: "all nodes watch the source", Scenario: "changes of the demo", Seed: 1}
	of := func(figure string) run {
		r.Figure = figure
		return r
	}
	sleep(ctx, watchSettle)
	before, reads := w.traffic()
	sleep(ctx, watchIdle)
	idle, idleReads := w.traffic()
	out := []any{
		controlFigureOf(of("control"), "idle: configuration", rates(before, idle, watchIdle)),
		sourceFigure{of("reads"), "idle", round(float64(idleReads-reads)/watchIdle.Seconds(), 1)},
	}
	profile, err := NewProfile(d, DefaultDuration, DefaultCallsPerSecond)
	if err != nil {
		return nil, err
	}
	for _, e := range profile.Events {
		if e.Kind == trace.KillNode || e.Kind == trace.RestartNode {
			continue
		}
		at, _, err := w.versions.publish(e)
		if err != nil {
			return nil, err
		}
		sleep(ctx, changeInterval)
		w.mu.Lock()
		number := w.versions.number
		took, missing := w.last[number].Sub(at), len(w.vms)-w.adopted[number]
		w.mu.Unlock()
		change := string(e.Kind)
		if e.Target != "" {
			change += " " + e.Target
		}
		out = append(out, convergenceFigure{of("convergence"), change, round(float64(took.Microseconds())/1000, 1), missing})
	}
	if ctx.Err() != nil {
		return nil, errInterrupted
	}
	changed, _ := w.traffic()
	// The demo publishes the same versions over its whole length, and the watches go on meanwhile.
	quiet := rates(before, idle, watchIdle)
	busy := map[string]float64{}
	for name, bytes := range changed {
		busy[name] = quiet[name] + float64(bytes-idle[name])/DefaultDuration.Seconds()
	}
	return append(out, controlFigureOf(of("control"), "changes of the demo, over its length", busy)), nil
}

func rates(before, after map[string]uint64, took time.Duration) map[string]float64 {
	out := map[string]float64{}
	for name, bytes := range after {
		out[name] = float64(bytes-before[name]) / took.Seconds()
	}
	return out
}
