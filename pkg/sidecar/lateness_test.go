package sidecar

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
)

// latenessLines returns the fields of the log lines about lateness.
func latenessLines(t *testing.T, log string) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for line := range strings.Lines(log) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields["msg"] == "the process ran late" {
			lines = append(lines, fields)
		}
	}
	return lines
}

func newTestLatenessMonitor(log *bytes.Buffer, inProgress int64) *latenessMonitor {
	logger := logrus.New()
	logger.SetOutput(log)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return newLatenessMonitor(&Options{Clock: clock.System(), Log: logger}, gometrics.NewRegistry(), func() int64 { return inProgress })
}

// Guards against a standstill of the process that leaves no trace, and against lines about delays that are normal.
func TestLatenessIsLoggedFromThreshold(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	m := newTestLatenessMonitor(&log, 7)
	m.recordWake(10*time.Second, 10*time.Second+latenessThreshold-time.Microsecond)
	g.Expect(latenessLines(t, log.String())).To(BeEmpty())
	m.recordWake(11*time.Second, 12*time.Second)
	lines := latenessLines(t, log.String())
	g.Expect(lines).To(HaveLen(1))
	g.Expect(lines[0]).To(HaveKeyWithValue("late_us", 1e6))
	g.Expect(lines[0]).To(HaveKeyWithValue("late_wakes", 1.0))
	g.Expect(lines[0]).To(HaveKeyWithValue("in_progress", 7.0))
	g.Expect(lines[0]).To(HaveKeyWithValue("period_us", float64((2*time.Second - latenessThreshold + time.Microsecond).Microseconds())))
	g.Expect(lines[0]["goroutines"]).To(BeNumerically(">=", 1))
	for _, name := range []string{"gc_cycles", "gc_cpu_us", "gc_pause_us", "user_cpu_us", "idle_cpu_us"} {
		g.Expect(lines[0]).To(HaveKey(name))
	}
	g.Expect(m.largest.Value()).To(Equal(time.Second.Microseconds()))
}

// Guards against a line for each wake-up of a process that is late for a long time, which would make it later still,
// and against losing the largest delay because it fell between two lines.
func TestLatenessLinesAreBoundedInRate(t *testing.T) {
	g := NewWithT(t)
	var log bytes.Buffer
	m := newTestLatenessMonitor(&log, 0)
	const wakes = 10
	for i := range wakes {
		asked := time.Duration(i) * latenessThreshold
		late := latenessThreshold
		if i == 2 {
			late = 2 * latenessThreshold
		}
		m.recordWake(asked, asked+late)
	}
	last := wakes * latenessThreshold
	m.recordWake(last+latenessLineInterval, last+latenessLineInterval)
	lines := latenessLines(t, log.String())
	g.Expect(len(lines)).To(BeNumerically("<=", int((last+latenessLineInterval)/latenessLineInterval)+1))
	total, largest := 0.0, 0.0
	for _, line := range lines {
		total += line["late_wakes"].(float64)
		largest = max(largest, line["late_us"].(float64))
	}
	g.Expect(total).To(Equal(float64(wakes)))
	g.Expect(largest).To(Equal(float64((2 * latenessThreshold).Microseconds())))
}

// Guards against a monitor that no node runs, or whose metric is not served.
func TestLatenessIsServedAsMetric(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 1, nil)
	g.Eventually(m.nodes[0].lateness.largest.Value, 5*time.Second).Should(BeNumerically(">", 0))
	var ctx fasthttp.RequestCtx
	m.nodes[0].serveMetrics(&ctx)
	g.Expect(string(ctx.Response.Body())).To(MatchRegexp(`(?m)^bamboodeal_process_late_max_microseconds [1-9][0-9]*$`))
}

// BenchmarkLatenessWake measures the processor time of one wake-up on time.
func BenchmarkLatenessWake(b *testing.B) {
	var log bytes.Buffer
	m := newTestLatenessMonitor(&log, 0)
	now := time.Duration(0)
	for b.Loop() {
		now += wakeInterval
		m.recordWake(now, now)
	}
}
