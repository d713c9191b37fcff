package slopes

import (
	"context"
	"time"
)

// ProcessFleetSizes are the fleets of real processes.
var ProcessFleetSizes = []int{6, 12, 24, 36}

// Length of one window of observation and the number of changes in it.
const (
	window          = 8 * time.Second
	changesInWindow = 8
	timedChanges    = 3
	// quietAfter is how long the quota leases of the calls that await the start take to end: a fleet of 24 sent
	// 847 B/s a node after 0 s, 584 after 8 s and 397 from 16 s on.
	quietAfter       = 16 * time.Second
	pauseOfOneChange = window / changesInWindow
)

// observation is what a fleet used from one time to another.
type observation struct {
	processor, resident, residentMost float64
	bytes, bytesMost, reads           float64
}

// observe runs during and returns what each node used meanwhile: processor seconds, bytes and reads in all, and the
// resident bytes at the end.
func (m *mesh) observe(during func() error) (o observation, err error) {
	before, err := m.usages()
	if err != nil {
		return o, err
	}
	bytesBefore, readsBefore := m.controlBytes(), m.reads()
	if err := during(); err != nil {
		return o, err
	}
	bytesAfter, readsAfter := m.controlBytes(), m.reads()
	after, err := m.usages()
	if err != nil {
		return o, err
	}
	n := float64(len(m.processes))
	for i := range after {
		o.processor += (after[i].processor - before[i].processor).Seconds() / n
		o.resident += after[i].resident / n
		o.residentMost = max(o.residentMost, after[i].resident)
		bytes := bytesAfter[m.ip(i)] - bytesBefore[m.ip(i)]
		o.bytes += bytes / n
		o.bytesMost = max(o.bytesMost, bytes)
	}
	o.reads = readsAfter - readsBefore
	return o, nil
}

func (m *mesh) usages() ([]usage, error) {
	all := make([]usage, 0, len(m.processes))
	for _, p := range m.processes {
		u, err := p.usage()
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

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

// MeasureProcesses records the figures of fleets of real processes on loopback. Binary is the node's program; settings and
// logs go into the directory work.
func MeasureProcesses(ctx context.Context, r *Recorder, binary, work string, sizes []int) error {
	for _, n := range sizes {
		if err := fleetOfProcesses(ctx, r, binary, work, n); err != nil {
			return err
		}
	}
	return nil
}

func fleetOfProcesses(ctx context.Context, r *Recorder, binary, work string, n int) error {
	f := target()
	f.upstreams = n
	m, err := newMesh(binary, work, f)
	defer m.close()
	if err != nil {
		return err
	}
	begin := time.Now()
	if err := m.startAll(ctx); err != nil {
		return err
	}
	if err := r.Add("process_fleet_start_seconds", "s", float64(n), time.Since(begin).Seconds()); err != nil {
		return err
	}
	if err := sleep(ctx, quietAfter); err != nil {
		return err
	}
	if err := m.idleAndChanges(ctx, r); err != nil {
		return err
	}
	if err := m.timeChanges(ctx, r); err != nil {
		return err
	}
	return m.timeCalls(ctx, r)
}

// idleAndChanges observes an idle fleet and one to which changes are published.
func (m *mesh) idleAndChanges(ctx context.Context, r *Recorder) error {
	idle, err := m.observe(func() error { return sleep(ctx, window) })
	if err != nil {
		return err
	}
	changes, err := m.observe(func() error {
		for range changesInWindow {
			if _, _, err := m.publish(); err != nil {
				return err
			}
			if err := sleep(ctx, pauseOfOneChange); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	perChange := func(with, without float64) float64 { return max(0, with-without) / changesInWindow }
	seconds := window.Seconds()
	return r.addAll(float64(len(m.processes)), []measure{
		{"process_idle_cpu", "share of a core", idle.processor / seconds},
		{"process_idle_resident", "bytes", idle.resident},
		{"process_idle_bytes_per_node", "bytes/s", idle.bytes / seconds},
		{"process_idle_bytes_busiest_node", "bytes/s", idle.bytesMost / seconds},
		{"process_idle_reads", "reads/s", idle.reads / seconds},
		{"process_change_cpu", "s", perChange(changes.processor, idle.processor)},
		{"process_change_bytes_per_node", "bytes", perChange(changes.bytes, idle.bytes)},
		{"process_change_bytes_busiest_node", "bytes", perChange(changes.bytesMost, idle.bytesMost)},
		{"process_change_reads", "reads", perChange(changes.reads, idle.reads)},
		{"process_resident_after_changes", "bytes", changes.resident},
		{"process_resident_after_changes_most", "bytes", changes.residentMost},
	})
}

// timeChanges records the slowest of a few changes, seen from outside by the key that each grants.
func (m *mesh) timeChanges(ctx context.Context, r *Recorder) error {
	slowest := 0.0
	for range timedChanges {
		at, plain, err := m.publish()
		if err != nil {
			return err
		}
		took, err := m.await(ctx, plain, at, knowsKey)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
	}
	return r.Add("process_change_seconds", "s", float64(len(m.processes)), slowest)
}
