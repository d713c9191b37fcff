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

// Times of the watch baseline: how long a watch waits for a change, how long the idle traffic is measured, the pause
// before that, the pause after a failed read, and the time between two changes.
const (
	watchWait      = 2 * time.Second
	watchIdle      = 6 * time.Second
	watchSettle    = time.Second
	watchRetry     = 100 * time.Millisecond
	changeInterval = 500 * time.Millisecond
)

// MeasureWatchBaseline measures a baseline for the distribution of configuration, in which each node itself watches the
// manifest and the member list at the platform, and reads each changed value in full. It publishes the versions of the
// demo and returns rows for the same tables as Figures.
func MeasureWatchBaseline(ctx context.Context, d *Deployment) ([]any, error) {
	w := &watchBaseline{platform: platform.New(platform.Options{}), network: loopbackNetwork()}
	defer func() { _ = w.platform.Close() }()
	w.publisher = newVersionPublisher(w.platform, d.Objects, 1, DefaultMaxDeadline)
	address, _, err := w.platform.Listen(platformAddress(w.network), "")
	if err != nil {
		return nil, err
	}
	if _, _, err := w.publisher.publish(trace.Event{Kind: trace.PublishVersion}); err != nil {
		return nil, err
	}
	w.vms = layoutVMs(d.Objects, w.network)
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

// watchBaseline simulates the nodes of a deployment that watch the platform directly.
type watchBaseline struct {
	platform  *platform.Server
	publisher *versionPublisher
	vms       []*vm
	network   int

	mu sync.Mutex
	// adoptedNodes counts the nodes that have adopted a version; lastAdoption is the time at which the last of them
	// did.
	adoptedNodes map[uint64]int
	lastAdoption map[uint64]time.Time
}

func (w *watchBaseline) watchManifest(ctx context.Context, source api.Source) {
	revision, readDigests := uint64(0), map[string]bool{}
	for ctx.Err() == nil {
		data, next, changed, err := source.Manifest(ctx, revision, watchWait)
		if err != nil || !changed {
			if err != nil {
				sleepContext(ctx, watchRetry)
			}
			continue
		}
		manifest, err := bundle.ParseManifest(data)
		if err != nil || !readValues(ctx, source, manifest, readDigests) {
			sleepContext(ctx, watchRetry)
			continue
		}
		revision = next
		w.recordAdoption(manifest.Version)
	}
}

func readValues(ctx context.Context, source api.Source, manifest *bundle.Manifest, readDigests map[string]bool) bool {
	for _, v := range manifest.Values {
		if readDigests[v.Digest] {
			continue
		}
		if _, err := source.Value(ctx, v.Digest); err != nil {
			return false
		}
		readDigests[v.Digest] = true
	}
	return true
}

func watchMembers(ctx context.Context, source api.Source) {
	revision := uint64(0)
	for ctx.Err() == nil {
		list, err := source.Members(ctx, revision, watchWait)
		if err != nil {
			sleepContext(ctx, watchRetry)
		} else if list != nil {
			revision = list.Revision
		}
	}
}

func (w *watchBaseline) recordAdoption(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.adoptedNodes == nil {
		w.adoptedNodes, w.lastAdoption = map[uint64]int{}, map[uint64]time.Time{}
	}
	w.adoptedNodes[version]++
	w.lastAdoption[version] = time.Now()
}

// platformTraffic returns the bytes that each node exchanged with the platform, by node, and the reads of all nodes.
func (w *watchBaseline) platformTraffic() (bytes map[string]uint64, reads uint64) {
	bytes = map[string]uint64{}
	counters := w.platform.CountersByIP()
	for _, v := range w.vms {
		c := counters[v.ip]
		bytes[v.name] = c.BytesIn + c.BytesOut
		reads += c.Reads
	}
	return bytes, reads
}

type sourceReadsFigure struct {
	runInfo
	Load           string  `json:"load"`
	ReadsPerSecond float64 `json:"reads_per_second"`
}

func (w *watchBaseline) measure(ctx context.Context, d *Deployment) ([]any, error) {
	r := runInfo{Deployment: d.Name, Method: "all nodes watch the source", Scenario: "changes of the demo", Seed: 1}
	withFigure := func(figure string) runInfo {
		r.Figure = figure
		return r
	}
	sleepContext(ctx, watchSettle)
	before, reads := w.platformTraffic()
	sleepContext(ctx, watchIdle)
	idle, idleReads := w.platformTraffic()
	out := []any{
		newControlTrafficFigure(withFigure("control"), "idle: configuration", bytesPerSecond(before, idle, watchIdle)),
		sourceReadsFigure{withFigure("reads"), "idle", round(float64(idleReads-reads)/watchIdle.Seconds(), 1)},
	}
	profile, err := NewProfile(d, DefaultDuration, DefaultCallsPerSecond)
	if err != nil {
		return nil, err
	}
	for _, e := range profile.Events {
		if e.Kind == trace.KillNode || e.Kind == trace.RestartNode {
			continue
		}
		at, _, err := w.publisher.publish(e)
		if err != nil {
			return nil, err
		}
		sleepContext(ctx, changeInterval)
		w.mu.Lock()
		number := w.publisher.number
		took, notAdopted := w.lastAdoption[number].Sub(at), len(w.vms)-w.adoptedNodes[number]
		w.mu.Unlock()
		change := string(e.Kind)
		if e.Target != "" {
			change += " " + e.Target
		}
		out = append(out, convergenceFigure{withFigure("convergence"), change, round(float64(took.Microseconds())/1000, 1), notAdopted})
	}
	if ctx.Err() != nil {
		return nil, errInterrupted
	}
	changed, _ := w.platformTraffic()
	// The demo spreads the same versions over its whole length, during which the idle traffic of the watches continues.
	idleRates := bytesPerSecond(before, idle, watchIdle)
	changeRates := map[string]float64{}
	for name, bytes := range changed {
		changeRates[name] = idleRates[name] + float64(bytes-idle[name])/DefaultDuration.Seconds()
	}
	return append(out, newControlTrafficFigure(withFigure("control"), "changes of the demo, over its length", changeRates)), nil
}

// bytesPerSecond returns the rate of each node between two readings of its bytes.
func bytesPerSecond(before, after map[string]uint64, took time.Duration) map[string]float64 {
	out := map[string]float64{}
	for name, bytes := range after {
		out[name] = float64(bytes-before[name]) / took.Seconds()
	}
	return out
}
