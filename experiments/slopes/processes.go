package slopes

import (
	"context"
	"time"
)

// ProcessFleetSizes are the numbers of nodes of the fleets of real processes.
var ProcessFleetSizes = []int{6, 12, 24, 36}

// observationWindow is the duration of one observation, changesPerWindow the number of versions that are published
// during one. A further timedChanges versions are published one at a time to measure how fast nodes adopt them.
const (
	observationWindow = 8 * time.Second
	changesPerWindow  = 8
	timedChanges      = 3
	// leaseDrainTime is how long to wait until the quota leases of the calls during the start have ended. The traffic
	// of a node in a fleet of 24 was 847 B/s right after the start, 584 B/s after 8 s and 397 B/s from 16 s on.
	leaseDrainTime = 16 * time.Second
	changeInterval = observationWindow / changesPerWindow
)

// observation is what a fleet used during an observation. Processor seconds, resident bytes and control bytes are means
// per node, or the maximum of one node; sourceReads is the sum over all nodes.
type observation struct {
	processorSeconds, residentBytes, maxResidentBytes float64
	controlBytes, maxControlBytes, sourceReads        float64
}

// observe calls action and returns what the fleet used meanwhile. The resident bytes are those at the end.
func (m *testMesh) observe(action func() error) (o observation, err error) {
	before, err := m.readUsages()
	if err != nil {
		return o, err
	}
	bytesBefore, readsBefore := m.controlBytesByIP(), m.sourceReads()
	if err := action(); err != nil {
		return o, err
	}
	bytesAfter, readsAfter := m.controlBytesByIP(), m.sourceReads()
	after, err := m.readUsages()
	if err != nil {
		return o, err
	}
	n := float64(len(m.processes))
	for i := range after {
		o.processorSeconds += (after[i].processorTime - before[i].processorTime).Seconds() / n
		o.residentBytes += after[i].residentBytes / n
		o.maxResidentBytes = max(o.maxResidentBytes, after[i].residentBytes)
		bytes := bytesAfter[m.ip(i)] - bytesBefore[m.ip(i)]
		o.controlBytes += bytes / n
		o.maxControlBytes = max(o.maxControlBytes, bytes)
	}
	o.sourceReads = readsAfter - readsBefore
	return o, nil
}

// readUsages returns the resource usage of each node.
func (m *testMesh) readUsages() ([]processUsage, error) {
	all := make([]processUsage, 0, len(m.processes))
	for _, p := range m.processes {
		u, err := p.readUsage()
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

// sleep waits for d. It returns the error of ctx if that ends earlier.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// MeasureProcesses records measures of fleets of real processes on loopback. NodeBinary is the path of the node's
// executable; settings files and logs are written into workDirectory.
func MeasureProcesses(ctx context.Context, r *Recorder, nodeBinary, workDirectory string, sizes []int) error {
	for _, n := range sizes {
		if err := measureProcessFleet(ctx, r, nodeBinary, workDirectory, n); err != nil {
			return err
		}
	}
	return nil
}

// measureProcessFleet starts and measures a fleet of n node processes.
func measureProcessFleet(ctx context.Context, r *Recorder, nodeBinary, workDirectory string, n int) error {
	f := targetFleet()
	f.upstreams = n
	m, err := newTestMesh(nodeBinary, workDirectory, f)
	defer m.close()
	if err != nil {
		return err
	}
	started := time.Now()
	if err := m.startNodes(ctx); err != nil {
		return err
	}
	if err := r.Add("process_fleet_start_seconds", "s", float64(n), time.Since(started).Seconds()); err != nil {
		return err
	}
	if err := sleep(ctx, leaseDrainTime); err != nil {
		return err
	}
	if err := m.measureIdleAndChanges(ctx, r); err != nil {
		return err
	}
	if err := m.measureConvergence(ctx, r); err != nil {
		return err
	}
	return m.measureCalls(ctx, r)
}

// measureIdleAndChanges records what an idle fleet uses and what a change adds.
func (m *testMesh) measureIdleAndChanges(ctx context.Context, r *Recorder) error {
	idle, err := m.observe(func() error { return sleep(ctx, observationWindow) })
	if err != nil {
		return err
	}
	changes, err := m.observe(func() error {
		for range changesPerWindow {
			if _, _, err := m.publishVersion(); err != nil {
				return err
			}
			if err := sleep(ctx, changeInterval); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	perChange := func(with, without float64) float64 { return max(0, with-without) / changesPerWindow }
	seconds := observationWindow.Seconds()
	return r.addAll(float64(len(m.processes)), []measurement{
		{"process_idle_cpu", "share of a core", idle.processorSeconds / seconds},
		{"process_idle_resident", "bytes", idle.residentBytes},
		{"process_idle_bytes_per_node", "bytes/s", idle.controlBytes / seconds},
		{"process_idle_bytes_busiest_node", "bytes/s", idle.maxControlBytes / seconds},
		{"process_idle_reads", "reads/s", idle.sourceReads / seconds},
		{"process_change_cpu", "s", perChange(changes.processorSeconds, idle.processorSeconds)},
		{"process_change_bytes_per_node", "bytes", perChange(changes.controlBytes, idle.controlBytes)},
		{"process_change_bytes_busiest_node", "bytes", perChange(changes.maxControlBytes, idle.maxControlBytes)},
		{"process_change_reads", "reads", perChange(changes.sourceReads, idle.sourceReads)},
		{"process_resident_after_changes", "bytes", changes.residentBytes},
		{"process_resident_after_changes_most", "bytes", changes.maxResidentBytes},
	})
}

// measureConvergence records the longest time from a publication until the last node adopted the version, over a few
// changes. A node has adopted a version when its answer shows that it knows the key that the version adds.
func (m *testMesh) measureConvergence(ctx context.Context, r *Recorder) error {
	slowest := 0.0
	for range timedChanges {
		publishedAt, secret, err := m.publishVersion()
		if err != nil {
			return err
		}
		seconds, err := m.awaitOutcome(ctx, secret, publishedAt, isKeyKnown)
		if err != nil {
			return err
		}
		slowest = max(slowest, seconds)
	}
	return r.Add("process_change_seconds", "s", float64(len(m.processes)), slowest)
}
