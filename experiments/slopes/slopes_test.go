package slopes

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// Bounds from sections 1.4 and 1.5 of docs/design.md.
const (
	maxControlBytesPerSecond = 3_000
	maxReadsPerSecond        = 2_000
	maxAdoptionSeconds       = 8
)

// targetCounts is shared by the tests, because one simulation takes some seconds with the race detector.
var targetCounts = sync.OnceValues(func() (distributionCounts, error) {
	return simulateDistribution(targetNodes, targetMessageSizes)
})

// Guards against polls, changes and member lists that take more control bytes than a node may use at the target size,
// and against changes that the last node adopts too late.
func TestPollBytesAtTheTarget(t *testing.T) {
	g := NewWithT(t)
	c, err := targetCounts()
	g.Expect(err).NotTo(HaveOccurred())
	day := c.idleBusiestBytes + (changesPerDay*c.changeBusiestBytes+listChangesPerDay*c.listBusiestBytes)/secondsPerDay
	t.Logf("busiest node: %.0f B/s idle, %.0f B/s over a day; slowest adoption %.3f s", c.idleBusiestBytes, day, c.changeSeconds)
	g.Expect(day).To(BeNumerically("<", maxControlBytesPerSecond))
	g.Expect(c.changeSeconds).To(BeNumerically("<", maxAdoptionSeconds))
}

// Guards against reads of the source that grow with the fleet until they exceed the platform's allowance, also when
// many nodes restart at once or the source returns, and against late adoption of a change at such a moment.
func TestSourceReadsAtTheTarget(t *testing.T) {
	g := NewWithT(t)
	c, err := targetCounts()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.idleReads + c.changeReads).To(BeNumerically("<", maxReadsPerSecond))
	runs := map[string]func() (eventCost, error){
		"all restart": func() (eventCost, error) {
			return simulateRestart(targetNodes, targetMessageSizes, func(*distributiontest.Node) bool { return true })
		},
		"a data centre restarts": func() (eventCost, error) {
			return simulateRestart(targetNodes, targetMessageSizes, func(n *distributiontest.Node) bool {
				return n.DataCentre == dataCentreName(0)
			})
		},
		"a region returns":   func() (eventCost, error) { return simulateRegionReturn(targetNodes, targetMessageSizes) },
		"the source returns": func() (eventCost, error) { return simulateSourceReturn(targetNodes, targetMessageSizes) },
	}
	for name, run := range runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			cost, err := run()
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%.0f reads/s at the peak, change in force after %.2f s", cost.peakReads, cost.convergenceSeconds)
			g.Expect(cost.peakReads).To(BeNumerically("<", maxReadsPerSecond))
			g.Expect(cost.convergenceSeconds).To(BeNumerically("<", maxAdoptionSeconds))
		})
	}
}

// Guards against quota leases that, together with polls, take more control bytes than a node may use at the target
// size.
func TestQuotaBytesAtTheTarget(t *testing.T) {
	g := NewWithT(t)
	c, err := targetCounts()
	g.Expect(err).NotTo(HaveOccurred())
	for _, calls := range publicCallRates {
		q := replayQuotaLeases(targetNodes, calls, quotaWarmup+8*time.Second)
		t.Logf("%d calls/s a node: %.0f B/s a node, %.0f B/s the busiest; polls %.0f and %.0f B/s",
			calls, q.bytesPerNode, q.busiestNodeBytes, c.idleBytes, c.idleBusiestBytes)
		g.Expect(q.bytesPerNode+c.idleBytes).To(BeNumerically("<", maxControlBytesPerSecond), "mean at %d calls/s", calls)
		g.Expect(q.busiestNodeBytes+c.idleBytes).To(BeNumerically("<", maxControlBytesPerSecond), "busiest at %d calls/s", calls)
	}
}

// Guards against a wrong line through points that lie on one, and against a line through points of a single size.
func TestFitLine(t *testing.T) {
	g := NewWithT(t)
	point := func(size, value float64) Point { return Point{Measure: "m", Unit: "u", Size: size, Value: value} }
	s, ok := FitLine([]Point{point(1, 5), point(2, 7), point(4, 11)})
	g.Expect(ok).To(BeTrue())
	g.Expect([]float64{s.Intercept, s.PerUnit, s.R2}).To(HaveExactElements(
		BeNumerically("~", 3, 1e-9), BeNumerically("~", 2, 1e-9), BeNumerically("~", 1, 1e-9)))
	_, ok = FitLine([]Point{point(2, 5), point(2, 7)})
	g.Expect(ok).To(BeFalse())
}

// Guards against output that is not one JSON object per line: first each point, then each slope.
func TestOutputIsJSONLines(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	r := NewRecorder(&out)
	g.Expect(r.Add("m", "bytes", 12, 1)).To(Succeed())
	g.Expect(r.Add("m", "bytes", 48, 2)).To(Succeed())
	g.Expect(r.WriteSlopes()).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(3))
	for i, kind := range []string{"point", "point", "slope"} {
		var fields map[string]any
		g.Expect(json.Unmarshal([]byte(lines[i]), &fields)).To(Succeed())
		g.Expect(fields).To(HaveKeyWithValue("kind", kind))
	}
}
