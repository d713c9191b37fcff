package slopes

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/distribution/distributiontest"
)

// Bounds of section 1.4 and 1.5 of the design.
const (
	boundBytes   = 3_000
	boundReads   = 2_000
	boundSeconds = 8
)

// knownRed passes over a test of KNOWN-RED.txt unless it is asked for.
func knownRed(t *testing.T) {
	t.Helper()
	if os.Getenv("BAMBOODEAL_KNOWN_RED") != "1" {
		t.Skipf("known red: %s, see KNOWN-RED.txt; run it with BAMBOODEAL_KNOWN_RED=1", t.Name())
	}
}

// targetCounts are shared by the tests, because a run takes some seconds with the race detector.
var targetCounts = sync.OnceValues(func() (distributionCounts, error) {
	return countDistribution(targetNodes, targetSizes)
})

// Guards against polling, changes and lists that take more than the control bytes of a node at the target size.
func TestPollBytesAtTheTarget(t *testing.T) {
	g := NewWithT(t)
	c, err := targetCounts()
	g.Expect(err).NotTo(HaveOccurred())
	day := c.idleBusiest + (changesPerDay*c.changeBusiest+listChangesPerDay*c.listBusiest)/secondsPerDay
	t.Logf("busiest node: %.0f B/s idle, %.0f B/s over a day; slowest adoption %.3f s", c.idleBusiest, day, c.changeSeconds)
	g.Expect(day).To(BeNumerically("<", boundBytes))
	g.Expect(c.changeSeconds).To(BeNumerically("<", boundSeconds))
}

// Guards against reads of the source that grow with the fleet until they exceed the platform's allowance, also when
// many nodes restart at once or the source returns, and against a change at that moment that comes late.
func TestSourceReadsAtTheTarget(t *testing.T) {
	g := NewWithT(t)
	c, err := targetCounts()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.idleReads + c.changeReads).To(BeNumerically("<", boundReads))
	runs := map[string]func() (event, error){
		"all restart": func() (event, error) {
			return restart(targetNodes, targetSizes, func(*distributiontest.Node) bool { return true })
		},
		"a data centre restarts": func() (event, error) {
			return restart(targetNodes, targetSizes, func(n *distributiontest.Node) bool {
				return n.DataCentre == dataCentreName(0)
			})
		},
		"a region returns":   func() (event, error) { return regionReturn(targetNodes, targetSizes) },
		"the source returns": func() (event, error) { return sourceReturn(targetNodes, targetSizes) },
	}
	for name, run := range runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			e, err := run()
			g.Expect(err).NotTo(HaveOccurred())
			t.Logf("%.0f reads/s at the peak, change in force after %.2f s", e.peakReads, e.seconds)
			g.Expect(e.peakReads).To(BeNumerically("<", boundReads))
			g.Expect(e.seconds).To(BeNumerically("<", boundSeconds))
		})
	}
}

// Guards against quota leases that take more than the control bytes of a node at the target size, together with its
// polls.
func TestQuotaBytesAtTheTarget(t *testing.T) {
	knownRed(t)
	g := NewWithT(t)
	c, err := targetCounts()
	g.Expect(err).NotTo(HaveOccurred())
	for _, calls := range publicCallsPerNode {
		q := countQuota(targetNodes, calls, quotaWarmup+8*time.Second)
		t.Logf("%d calls/s a node: %.0f B/s a node, %.0f B/s the busiest; polls %.0f and %.0f B/s",
			calls, q.bytesPerNode, q.busiestBytes, c.idleBytes, c.idleBusiest)
		g.Expect(q.bytesPerNode+c.idleBytes).To(BeNumerically("<", boundBytes), "mean at %d calls/s", calls)
		g.Expect(q.busiestBytes+c.idleBytes).To(BeNumerically("<", boundBytes), "busiest at %d calls/s", calls)
	}
}

// Guards against slopes that say more than the points: the line of exact points, and none of a single size.
func TestFit(t *testing.T) {
	g := NewWithT(t)
	point := func(size, value float64) Point { return Point{Measure: "m", Unit: "u", Size: size, Value: value} }
	s, ok := FitLine([]Point{point(1, 5), point(2, 7), point(4, 11)})
	g.Expect(ok).To(BeTrue())
	g.Expect([]float64{s.Intercept, s.PerUnit, s.R2}).To(HaveExactElements(
		BeNumerically("~", 3, 1e-9), BeNumerically("~", 2, 1e-9), BeNumerically("~", 1, 1e-9)))
	_, ok = FitLine([]Point{point(2, 5), point(2, 7)})
	g.Expect(ok).To(BeFalse())
}

// Guards against output that a reader of JSON lines cannot take.
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
