package slopes

import (
	"errors"
	"fmt"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// messageSizes are bytes of one request and its answer, with all headers, as a node of that fleet answered them.
type messageSizes struct {
	// PollUnchanged is a poll without news, PollSetPatch one with a patch of one changed key, PollListPatch one with a changed member.
	PollUnchanged, PollSetPatch, PollListPatch float64
	// PollVersionOnly is a poll for versions alone that names a newer one.
	PollVersionOnly float64
	// PollFullSet and PollFullList are answers to a node that has nothing.
	PollFullSet, PollFullList float64
	// SourceWatch is a watch of the source that ends without news, SourceManifest, SourceValue and SourceMembers one with news.
	SourceWatch, SourceManifest, SourceValue, SourceMembers float64
	// QuotaLease is a question for tokens of all teams.
	QuotaLease float64
}

// MessageSizesByFleet are the message sizes by the number of nodes of the fleet.
type MessageSizesByFleet map[int]messageSizes

// targetSizes are those of a fleet of 470, rounded up from the points wire_*. They serve the counts when no node is
// started for them, as in tests.
var targetSizes = messageSizes{
	PollUnchanged: 250, PollVersionOnly: 350, PollSetPatch: 700, PollListPatch: 450, PollFullSet: 120_000, PollFullList: 6_000,
	SourceWatch: 200, SourceManifest: 3_000, SourceValue: 33_000, SourceMembers: 100_000, QuotaLease: 900,
}

// traffic counts what passes in a world. A message counts in full at its sender and at its receiver.
type traffic struct {
	sizes    messageSizes
	bytes    map[string]float64
	polls    map[string]float64
	exchange float64
}

func watchTraffic(w *distributiontest.Simulation, sizes messageSizes) *traffic {
	t := &traffic{sizes: sizes, bytes: map[string]float64{}, polls: map[string]float64{}}
	w.Hooks.OnAnswer = func(from, to *distributiontest.Node, p decide.Poll, contents, list bool) {
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
		t.exchange++
		for _, n := range []string{from.VM, to.VM} {
			t.bytes[n] += size
			t.polls[n]++
		}
	}
	return t
}

func (t *traffic) mean(nodes int) float64 {
	sum := 0.0
	for _, b := range t.bytes {
		sum += b
	}
	return sum / float64(nodes)
}

func most(counts map[string]float64) (highest float64) {
	for _, c := range counts {
		highest = max(highest, c)
	}
	return highest
}

func newWorld(nodes int) *distributiontest.Simulation {
	sizes := map[string]int{}
	order := make([]string, 0, targetDataCentres)
	for i := range targetDataCentres {
		order = append(order, dataCentreName(i))
		sizes[dataCentreName(i)] = (nodes + targetDataCentres - 1 - i) / targetDataCentres
	}
	w := distributiontest.New(11, sizes, order, 1)
	w.PublishMembers()
	w.Sources[0].Publish(versionID(1))
	return w
}

func versionID(number uint64) wire.VersionID {
	return wire.VersionID{Number: number, Digest: fmt.Sprint(number)}
}

func startAll(nodes []*distributiontest.Node) {
	for _, n := range nodes {
		n.Start()
	}
}

// settle is the virtual time after which a started fleet only polls.
const settle = 12 * time.Second

// errNotConverged means that a node did not follow a version in time, so that the counts mean nothing.
var errNotConverged = errors.New("a node did not follow the version; run the tests of decision/distribution")

// distributionCounts are the messages of the tree of one fleet in virtual time.
type distributionCounts struct {
	idlePolls, idleBytes, idleBusiest float64
	idleReads                         float64
	changeBytes, changeBusiest        float64
	changeReads, changeSeconds        float64
	listBytes, listBusiest            float64
}

// readers is the number of nodes that watch the source.
func readers(nodes int) float64 {
	return float64(min(nodes, decide.ReadersPerDataCentre*targetDataCentres))
}

// countDistribution counts 20 idle seconds, one changed key and one changed member.
func countDistribution(nodes int, sizes messageSizes) (c distributionCounts, err error) {
	const idle, change = 20, 10
	w := newWorld(nodes)
	startAll(w.Nodes)
	w.RunFor(settle)
	before := w.Sources[0].ReadCount
	t := watchTraffic(w, sizes)
	w.RunFor(idle * time.Second)
	c.idleReads = float64(w.Sources[0].ReadCount-before) / idle
	// All reads are those of the readers, which are the busiest nodes, so their share is added to the busiest.
	watch := c.idleReads / readers(nodes) * sizes.SourceWatch
	c.idlePolls = 2 * t.exchange / idle / float64(nodes)
	c.idleBytes = t.mean(nodes)/idle + c.idleReads*sizes.SourceWatch/float64(nodes)
	c.idleBusiest = most(t.bytes)/idle + watch

	before = w.Sources[0].ReadCount
	t = watchTraffic(w, sizes)
	published := w.Now()
	w.Sources[0].Publish(versionID(2))
	w.RunFor(change * time.Second)
	c.changeReads = max(0, float64(w.Sources[0].ReadCount-before)-change*c.idleReads)
	c.changeBytes = max(0, t.mean(nodes)-change*(c.idleBytes-c.idleReads*sizes.SourceWatch/float64(nodes)))
	c.changeBusiest = max(0, most(t.bytes)-change*(c.idleBusiest-watch)) + sizes.SourceManifest + sizes.SourceValue
	c.changeSeconds, err = slowest(w, 2, published)
	if err != nil {
		return c, err
	}
	t = watchTraffic(w, sizes)
	w.PublishMembers()
	w.RunFor(change * time.Second)
	c.listBytes = max(0, t.mean(nodes)-change*(c.idleBytes-c.idleReads*sizes.SourceWatch/float64(nodes)))
	c.listBusiest = max(0, most(t.bytes)-change*(c.idleBusiest-watch)) + sizes.SourceMembers
	return c, nil
}

// slowest returns the seconds from the publication to the last adoption.
func slowest(w *distributiontest.Simulation, number uint64, published time.Duration) (float64, error) {
	last := time.Duration(0)
	for _, n := range w.Nodes {
		if n.Version.Number != number {
			return 0, fmt.Errorf("%w: %s has %d", errNotConverged, n.VM, n.Version.Number)
		}
		last = max(last, n.AdoptedAt-published)
	}
	return last.Seconds(), nil
}

// MeasureDistribution records the messages of polling, of a change and of the worst days, of fleets in virtual time.
// Sizes gives the message sizes of a fleet; nil means those of the target.
func MeasureDistribution(r *Recorder, sizes MessageSizesByFleet) error {
	for _, nodes := range countSizes {
		s, ok := sizes[nodes]
		if !ok {
			s = targetSizes
		}
		c, err := countDistribution(nodes, s)
		if err != nil {
			return err
		}
		perDay := changesPerDay*c.changeBusiest + listChangesPerDay*c.listBusiest
		err = r.addAll(float64(nodes), []measure{
			{"poll_messages_per_node", "exchanges/s", c.idlePolls},
			{"poll_bytes_per_node", "bytes/s", c.idleBytes},
			{"poll_bytes_busiest_node", "bytes/s", c.idleBusiest},
			{"source_reads_idle", "reads/s", c.idleReads},
			{"change_bytes_per_node", "bytes", c.changeBytes},
			{"change_bytes_busiest_node", "bytes", c.changeBusiest},
			{"change_source_reads", "reads", c.changeReads},
			{"change_seconds_virtual", "s", c.changeSeconds},
			{"list_bytes_per_node", "bytes", c.listBytes},
			{"list_bytes_busiest_node", "bytes", c.listBusiest},
			{"day_bytes_busiest_node", "bytes/s", c.idleBusiest + perDay/secondsPerDay},
		})
		if err != nil {
			return err
		}
		if err := recordEvents(r, nodes, s); err != nil {
			return err
		}
	}
	return nil
}

// listChangesPerDay: 94 restarts or replacements, each with about four revisions of the list (leaving, gone, new,
// live), and two failures.
const listChangesPerDay = 4*94 + 2*2
