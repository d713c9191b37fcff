package slopes

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// eventCost is the cost of an event, such as a restart of all nodes or the end of an outage, in virtual time.
type eventCost struct {
	// peakReads is the highest number of reads of the source within one second.
	peakReads float64
	// peakBytes and peakPolls are the highest bytes and polls of one node within one second.
	peakBytes, peakPolls float64
	// convergenceSeconds is the time until the last node adopted the version, from its publication or, if that was
	// later, from the end of the outage.
	convergenceSeconds float64
}

// measurePeaks runs the simulation for d and returns the highest counts within one second. The windows of the reads
// start every 100 ms, those of the bytes and polls every second.
func measurePeaks(sim *distributiontest.Simulation, sizes messageSizes, d time.Duration) (cost eventCost) {
	const step, window = 100 * time.Millisecond, 10
	reads := make([]int, 0, window*int(d/time.Second))
	for range int(d / time.Second) {
		t := countTraffic(sim, sizes)
		for range window {
			before := sim.Sources[0].ReadCount
			sim.RunFor(step)
			reads = append(reads, sim.Sources[0].ReadCount-before)
		}
		cost.peakBytes = max(cost.peakBytes, highestCount(t.bytesByVM))
		cost.peakPolls = max(cost.peakPolls, highestCount(t.pollsByVM))
	}
	for i := range reads {
		sum := 0
		for _, count := range reads[max(0, i-window+1) : i+1] {
			sum += count
		}
		cost.peakReads = max(cost.peakReads, float64(sum))
	}
	return cost
}

// simulateRestart stops the affected nodes for two seconds, starts them together and publishes a version half a second
// later. All sets and lists are counted with their full size, although a few are patches.
func simulateRestart(nodes int, sizes messageSizes, affected func(*distributiontest.Node) bool) (eventCost, error) {
	sizes.PollSetPatch, sizes.PollListPatch = sizes.PollFullSet, sizes.PollFullList
	sim := newSimulation(nodes)
	startSimulatedNodes(sim.Nodes)
	sim.RunFor(settlingTime)
	var group []*distributiontest.Node
	for _, n := range sim.Nodes {
		if affected(n) {
			group = append(group, n)
			n.Stop()
		}
	}
	sim.RunFor(2 * time.Second)
	startSimulatedNodes(group)
	published := sim.Now() + 500*time.Millisecond
	sim.After(500*time.Millisecond, func() { sim.Sources[0].Publish(versionID(2)) })
	cost := measurePeaks(sim, sizes, recoveryWindow)
	var err error
	cost.convergenceSeconds, err = slowestAdoption(sim, 2, published)
	return cost, err
}

// regionOf returns the region of a data centre or of the source: 0 for the source and the first two data centres, 1 for
// the others.
func regionOf(location string) int {
	if location == dataCentreName(2) || location == dataCentreName(3) {
		return 1
	}
	return 0
}

// outageDuration is how long the regions are separated or the source is down, recoveryWindow how long the simulation is
// then observed. The longest backoff of the nodes is 2 s, so a longer outage changes nothing: 120 s gave the same
// peaks.
const (
	outageDuration = 40 * time.Second
	recoveryWindow = 12 * time.Second
)

// simulateRegionReturn separates the two regions, publishes a version during the outage and another one right before
// its end.
func simulateRegionReturn(nodes int, sizes messageSizes) (eventCost, error) {
	sim := newSimulation(nodes)
	startSimulatedNodes(sim.Nodes)
	sim.RunFor(settlingTime)
	sim.Network.Partitioned = func(a, b string) bool { return regionOf(a) != regionOf(b) }
	sim.After(outageDuration/2, func() { sim.Sources[0].Publish(versionID(2)) })
	sim.RunFor(outageDuration)
	sim.Sources[0].Publish(versionID(3))
	sim.Network.Partitioned = nil
	healed := sim.Now()
	cost := measurePeaks(sim, sizes, recoveryWindow)
	var err error
	cost.convergenceSeconds, err = slowestAdoption(sim, 3, healed)
	return cost, err
}

// simulateSourceReturn takes the source down for the outage and publishes a version when it returns.
func simulateSourceReturn(nodes int, sizes messageSizes) (eventCost, error) {
	sim := newSimulation(nodes)
	startSimulatedNodes(sim.Nodes)
	sim.RunFor(settlingTime)
	sim.Sources[0].Down = true
	sim.RunFor(outageDuration)
	sim.Sources[0].Down = false
	sim.Sources[0].Publish(versionID(2))
	returned := sim.Now()
	cost := measurePeaks(sim, sizes, recoveryWindow)
	var err error
	cost.convergenceSeconds, err = slowestAdoption(sim, 2, returned)
	return cost, err
}

// measureEvents records the cost of restarts and of the ends of outages.
func measureEvents(r *Recorder, nodes int, sizes messageSizes) error {
	events := []struct {
		name string
		run  func() (eventCost, error)
	}{
		{"restart_all", func() (eventCost, error) {
			return simulateRestart(nodes, sizes, func(*distributiontest.Node) bool { return true })
		}},
		{"restart_data_centre", func() (eventCost, error) {
			return simulateRestart(nodes, sizes, func(n *distributiontest.Node) bool { return n.DataCentre == dataCentreName(0) })
		}},
		{"region_return", func() (eventCost, error) { return simulateRegionReturn(nodes, sizes) }},
		{"source_return", func() (eventCost, error) { return simulateSourceReturn(nodes, sizes) }},
	}
	for _, event := range events {
		cost, err := event.run()
		if err != nil {
			return err
		}
		err = r.addAll(float64(nodes), []measurement{
			{event.name + "_peak_reads", "reads/s", cost.peakReads},
			{event.name + "_peak_bytes_busiest_node", "bytes/s", cost.peakBytes},
			{event.name + "_peak_polls_busiest_node", "exchanges/s", cost.peakPolls},
			{event.name + "_change_seconds", "s", cost.convergenceSeconds},
		})
		if err != nil {
			return err
		}
	}
	return nil
}
