package slopes

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// event is what one of the worst days costs.
type event struct {
	// peakReads is the highest number of reads of the source within one second.
	peakReads float64
	// peakBytes and peakPolls are those of the busiest node within one second.
	peakBytes, peakPolls float64
	// seconds passed from the publication during the event (or its end) to the last adoption.
	seconds float64
}

// peaks runs the world for d and returns the highest counts within a second, in steps of 100 ms.
func peaks(w *distributiontest.Simulation, sizes messageSizes, d time.Duration) (e event) {
	const step, window = 100 * time.Millisecond, 10
	reads := make([]int, 0, window*int(d/time.Second))
	for range int(d / time.Second) {
		t := watchTraffic(w, sizes)
		for range window {
			before := w.Sources[0].ReadCount
			w.RunFor(step)
			reads = append(reads, w.Sources[0].ReadCount-before)
		}
		e.peakBytes = max(e.peakBytes, most(t.bytes))
		e.peakPolls = max(e.peakPolls, most(t.polls))
	}
	for i := range reads {
		sum := 0
		for _, n := range reads[max(0, i-window+1) : i+1] {
			sum += n
		}
		e.peakReads = max(e.peakReads, float64(sum))
	}
	return e
}

// restart stops some nodes for two seconds, starts them together and publishes a version half a second later. All
// sets and lists count as whole, also the few that are patches.
func restart(nodes int, sizes messageSizes, affected func(*distributiontest.Node) bool) (event, error) {
	sizes.PollSetPatch, sizes.PollListPatch = sizes.PollFullSet, sizes.PollFullList
	w := newWorld(nodes)
	startAll(w.Nodes)
	w.RunFor(settle)
	var group []*distributiontest.Node
	for _, n := range w.Nodes {
		if affected(n) {
			group = append(group, n)
			n.Stop()
		}
	}
	w.RunFor(2 * time.Second)
	startAll(group)
	published := w.Now() + 500*time.Millisecond
	w.After(500*time.Millisecond, func() { w.Sources[0].Publish(versionID(2)) })
	e := peaks(w, sizes, aftermath)
	var err error
	e.seconds, err = slowest(w, 2, published)
	return e, err
}

// regionOf returns 0 or 1 for the first or second pair of data centres; the source is with the first.
func regionOf(place string) int {
	if place == dataCentreName(2) || place == dataCentreName(3) {
		return 1
	}
	return 0
}

// partition is how long the regions, or the source, are away, and afterwards how long the return is watched. The
// longest backoff of the machines is 2 s, so a longer absence changes nothing more: 120 s gave the same peaks.
const (
	partition = 40 * time.Second
	aftermath = 12 * time.Second
)

// regionReturn separates the regions, publishes meanwhile, and again a moment before the end.
func regionReturn(nodes int, sizes messageSizes) (event, error) {
	w := newWorld(nodes)
	startAll(w.Nodes)
	w.RunFor(settle)
	w.Network.Partitioned = func(a, b string) bool { return regionOf(a) != regionOf(b) }
	w.After(partition/2, func() { w.Sources[0].Publish(versionID(2)) })
	w.RunFor(partition)
	w.Sources[0].Publish(versionID(3))
	w.Network.Partitioned = nil
	healed := w.Now()
	e := peaks(w, sizes, aftermath)
	var err error
	e.seconds, err = slowest(w, 3, healed)
	return e, err
}

// sourceReturn takes the source down and publishes as it returns.
func sourceReturn(nodes int, sizes messageSizes) (event, error) {
	w := newWorld(nodes)
	startAll(w.Nodes)
	w.RunFor(settle)
	w.Sources[0].Down = true
	w.RunFor(partition)
	w.Sources[0].Down = false
	w.Sources[0].Publish(versionID(2))
	returned := w.Now()
	e := peaks(w, sizes, aftermath)
	var err error
	e.seconds, err = slowest(w, 2, returned)
	return e, err
}

func recordEvents(r *Recorder, nodes int, sizes messageSizes) error {
	events := []struct {
		name string
		run  func() (event, error)
	}{
		{"restart_all", func() (event, error) {
			return restart(nodes, sizes, func(*distributiontest.Node) bool { return true })
		}},
		{"restart_data_centre", func() (event, error) {
			return restart(nodes, sizes, func(n *distributiontest.Node) bool { return n.DataCentre == dataCentreName(0) })
		}},
		{"region_return", func() (event, error) { return regionReturn(nodes, sizes) }},
		{"source_return", func() (event, error) { return sourceReturn(nodes, sizes) }},
	}
	for _, each := range events {
		e, err := each.run()
		if err != nil {
			return err
		}
		err = r.addAll(float64(nodes), []measure{
			{each.name + "_peak_reads", "reads/s", e.peakReads},
			{each.name + "_peak_bytes_busiest_node", "bytes/s", e.peakBytes},
			{each.name + "_peak_polls_busiest_node", "exchanges/s", e.peakPolls},
			{each.name + "_change_seconds", "s", e.seconds},
		})
		if err != nil {
			return err
		}
	}
	return nil
}
