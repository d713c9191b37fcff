package slopes

import (
	"errors"
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// messageSizes holds the sizes of messages in bytes, as measured with a node of one fleet. Each is the sum of a request
// and its response with all headers.
type messageSizes struct {
	// PollUnchanged is a poll without changes, PollSetPatch one answered with a patch of one changed key, PollListPatch
	// one answered with a changed member.
	PollUnchanged, PollSetPatch, PollListPatch float64
	// PollVersionOnly is a poll that asks only for the version, answered with a newer one.
	PollVersionOnly float64
	// PollFullSet and PollFullList are polls of a node that has no configuration set or no member list; the response
	// carries all of it.
	PollFullSet, PollFullList float64
	// SourceWatch is a watch of the source that ends without a change. SourceManifest, SourceValue and SourceMembers
	// are reads that return a changed manifest, value or member list.
	SourceWatch, SourceManifest, SourceValue, SourceMembers float64
	// QuotaLease is a lease request for tokens of all teams.
	QuotaLease float64
}

// MessageSizesByFleet holds message sizes by the number of nodes of the fleet.
type MessageSizesByFleet map[int]messageSizes

// targetMessageSizes are the sizes in a fleet of 470 nodes, rounded up from the measurements wire_*. They are used when
// the sizes were not measured before, as in tests.
var targetMessageSizes = messageSizes{
	PollUnchanged: 250, PollVersionOnly: 350, PollSetPatch: 700, PollListPatch: 450, PollFullSet: 120_000, PollFullList: 6_000,
	SourceWatch: 200, SourceManifest: 3_000, SourceValue: 33_000, SourceMembers: 100_000, QuotaLease: 900,
}

// traffic counts the polls of a simulation. The bytes of a poll count in full at both its ends.
type traffic struct {
	sizes     messageSizes
	bytesByVM map[string]float64
	pollsByVM map[string]float64
	exchanges float64
}

// countTraffic starts to count the polls of a simulation. It replaces an earlier count.
func countTraffic(sim *distributiontest.Simulation, sizes messageSizes) *traffic {
	t := &traffic{sizes: sizes, bytesByVM: map[string]float64{}, pollsByVM: map[string]float64{}}
	sim.Hooks.OnAnswer = func(from, to *distributiontest.Node, p decide.Poll, contents, list bool) {
		size := t.sizes.PollUnchanged
		if !p.Contents {
			size = max(size, t.sizes.PollVersionOnly)
		}
		if contents {
			size = max(size, t.sizes.PollSetPatch)
		}
		if list {
			size += t.sizes.PollListPatch
		}
		t.exchanges++
		for _, n := range []string{from.VM, to.VM} {
			t.bytesByVM[n] += size
			t.pollsByVM[n]++
		}
	}
	return t
}

// meanBytes returns the bytes per node.
func (t *traffic) meanBytes(nodes int) float64 {
	sum := 0.0
	for _, b := range t.bytesByVM {
		sum += b
	}
	return sum / float64(nodes)
}

// highestCount returns the largest of the counts.
func highestCount(counts map[string]float64) (highest float64) {
	for _, c := range counts {
		highest = max(highest, c)
	}
	return highest
}

// newSimulation returns a simulation of stopped nodes, spread evenly over the data centres, in which version 1 is
// published.
func newSimulation(nodes int) *distributiontest.Simulation {
	sizes := map[string]int{}
	order := make([]string, 0, targetDataCentres)
	for i := range targetDataCentres {
		order = append(order, dataCentreName(i))
		sizes[dataCentreName(i)] = (nodes + targetDataCentres - 1 - i) / targetDataCentres
	}
	sim := distributiontest.New(11, sizes, order, 1)
	sim.PublishMembers()
	sim.Sources[0].Publish(versionID(1))
	return sim
}

// versionID returns the ID of a simulated version. Its digest is the number, as simulated versions have no content.
func versionID(number uint64) wire.VersionID {
	return wire.VersionID{Number: number, Digest: fmt.Sprint(number)}
}

// startSimulatedNodes starts nodes at the same time.
func startSimulatedNodes(nodes []*distributiontest.Node) {
	for _, n := range nodes {
		n.Start()
	}
}

// settlingTime is the virtual time after which nodes that were started only poll.
const settlingTime = 12 * time.Second

// errNotConverged means that a node did not adopt a version in time; the counts are then meaningless.
var errNotConverged = errors.New("a node did not adopt the version; run the tests of decision/distribution")

// distributionCounts describes the traffic of the distribution tree of one fleet in virtual time. Values with idle in
// their names are per second; those with change and list are what one changed key and one changed member add. Bytes are
// per node on average, or of the busiest node.
type distributionCounts struct {
	idlePolls, idleBytes, idleBusiestBytes float64
	idleReads                              float64
	changeBytes, changeBusiestBytes        float64
	changeReads, changeSeconds             float64
	listBytes, listBusiestBytes            float64
}

// readerCount returns the number of nodes that watch the source.
func readerCount(nodes int) float64 {
	return float64(min(nodes, decide.ReadersPerDataCentre*targetDataCentres))
}

// simulateDistribution simulates 20 idle seconds, a change of one key and a change of one member.
func simulateDistribution(nodes int, sizes messageSizes) (c distributionCounts, err error) {
	const idle, change = 20, 10
	sim := newSimulation(nodes)
	startSimulatedNodes(sim.Nodes)
	sim.RunFor(settlingTime)
	before := sim.Sources[0].ReadCount
	t := countTraffic(sim, sizes)
	sim.RunFor(idle * time.Second)
	c.idleReads = float64(sim.Sources[0].ReadCount-before) / idle
	// Only readers read the source, and they are the busiest nodes; the bytes of one reader's watches are added there.
	watch := c.idleReads / readerCount(nodes) * sizes.SourceWatch
	c.idlePolls = 2 * t.exchanges / idle / float64(nodes)
	c.idleBytes = t.meanBytes(nodes)/idle + c.idleReads*sizes.SourceWatch/float64(nodes)
	c.idleBusiestBytes = highestCount(t.bytesByVM)/idle + watch

	before = sim.Sources[0].ReadCount
	t = countTraffic(sim, sizes)
	published := sim.Now()
	sim.Sources[0].Publish(versionID(2))
	sim.RunFor(change * time.Second)
	c.changeReads = max(0, float64(sim.Sources[0].ReadCount-before)-change*c.idleReads)
	c.changeBytes = max(0, t.meanBytes(nodes)-change*(c.idleBytes-c.idleReads*sizes.SourceWatch/float64(nodes)))
	c.changeBusiestBytes = max(0, highestCount(t.bytesByVM)-change*(c.idleBusiestBytes-watch)) + sizes.SourceManifest + sizes.SourceValue
	c.changeSeconds, err = slowestAdoption(sim, 2, published)
	if err != nil {
		return c, err
	}
	t = countTraffic(sim, sizes)
	sim.PublishMembers()
	sim.RunFor(change * time.Second)
	c.listBytes = max(0, t.meanBytes(nodes)-change*(c.idleBytes-c.idleReads*sizes.SourceWatch/float64(nodes)))
	c.listBusiestBytes = max(0, highestCount(t.bytesByVM)-change*(c.idleBusiestBytes-watch)) + sizes.SourceMembers
	return c, nil
}

// slowestAdoption returns the seconds from the publication of a version to its adoption by the last node. It returns
// errNotConverged if a node has another version.
func slowestAdoption(sim *distributiontest.Simulation, number uint64, published time.Duration) (float64, error) {
	last := time.Duration(0)
	for _, n := range sim.Nodes {
		if n.Version.Number != number {
			return 0, fmt.Errorf("%w: %s has version %d", errNotConverged, n.VM, n.Version.Number)
		}
		last = max(last, n.AdoptedAt-published)
	}
	return last.Seconds(), nil
}

// MeasureDistribution records the traffic of polls, of changes, of restarts and of the ends of outages, for fleets of
// several sizes in virtual time. Sizes gives the message sizes by fleet; where they are missing, those of the target
// size are used. It returns an error if a simulated node does not adopt a version.
func MeasureDistribution(r *Recorder, sizes MessageSizesByFleet) error {
	for _, nodes := range fleetSizes {
		s, ok := sizes[nodes]
		if !ok {
			s = targetMessageSizes
		}
		c, err := simulateDistribution(nodes, s)
		if err != nil {
			return err
		}
		perDay := changesPerDay*c.changeBusiestBytes + listChangesPerDay*c.listBusiestBytes
		err = r.addAll(float64(nodes), []measurement{
			{"poll_messages_per_node", "exchanges/s", c.idlePolls},
			{"poll_bytes_per_node", "bytes/s", c.idleBytes},
			{"poll_bytes_busiest_node", "bytes/s", c.idleBusiestBytes},
			{"source_reads_idle", "reads/s", c.idleReads},
			{"change_bytes_per_node", "bytes", c.changeBytes},
			{"change_bytes_busiest_node", "bytes", c.changeBusiestBytes},
			{"change_source_reads", "reads", c.changeReads},
			{"change_seconds_virtual", "s", c.changeSeconds},
			{"list_bytes_per_node", "bytes", c.listBytes},
			{"list_bytes_busiest_node", "bytes", c.listBusiestBytes},
			{"day_bytes_busiest_node", "bytes/s", c.idleBusiestBytes + perDay/secondsPerDay},
		})
		if err != nil {
			return err
		}
		if err := measureEvents(r, nodes, s); err != nil {
			return err
		}
	}
	return nil
}

// listChangesPerDay counts 94 restarts or replacements a day, each with about four revisions of the member list
// (leaving, gone, new, live), and two failures with two revisions each.
const listChangesPerDay = 4*94 + 2*2
