package sidecar

import (
	"fmt"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

// metricPrefix starts the name of each metric.
const metricPrefix = "bamboodeal_"

var quantiles = []float64{0.5, 0.9, 0.99}

// metricName returns the name of a metric with its labels, in the text format of Prometheus. labels alternates names
// and values.
func metricName(name string, labels ...string) string {
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return metricPrefix + name + "{" + strings.Join(pairs, ",") + "}"
}

// serveMetrics writes all metrics as text.
func (n *Node) serveMetrics(ctx *fasthttp.RequestCtx) {
	load := n.controller.queue.load()
	servers := [...]*trackedServer{n.callers, n.peers}
	unknownKinds := 0
	if config := n.o.View().Config; config != nil {
		unknownKinds = len(config.RoutesOfUnknownKind())
	}
	const nodeLineCount = 9 + len(servers)*(1+int(phaseCount))
	lines := make([]string, 0, nodeLineCount)
	lines = append(lines,
		fmt.Sprintf("%squeue_running %d", metricPrefix, load.Running),
		fmt.Sprintf("%squeue_waiting %d", metricPrefix, load.Waiting),
		fmt.Sprintf("%squeue_slots %d", metricPrefix, load.Slots),
		fmt.Sprintf("%ssent_to_nodes %d", metricPrefix, n.sentToNodes.Load()),
		fmt.Sprintf("%sstore_age_seconds %.3f", metricPrefix, n.o.StoreAge().Seconds()),
		fmt.Sprintf("%sroutes_of_unknown_kind %d", metricPrefix, unknownKinds),
	)
	if n.o.StoreStatus != nil {
		status := n.o.StoreStatus()
		lines = append(lines,
			fmt.Sprintf("%sstore_era %d", metricPrefix, status.Era),
			fmt.Sprintf("%sstore_revision %d", metricPrefix, status.Revision),
			fmt.Sprintf("%sstore_era_changes_total %d", metricPrefix, status.EraChanges),
		)
	}
	for _, s := range servers {
		lines = append(lines, fmt.Sprintf("%s %d", metricName("received_bytes_total", "server", s.name), s.conns.bytesRead.Load()))
		for phase, count := range s.conns.snapshot() {
			lines = append(lines, fmt.Sprintf("%s %d", metricName("connections", "server", s.name, "phase", phaseNames[phase]), count))
		}
	}
	lines = append(lines, n.loadLines(n.o.View())...)
	n.recorder.registry.Each(func(name string, metric any) {
		switch m := metric.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	ctx.Response.Header.SetContentType("text/plain; version=0.0.4")
	ctx.SetBodyString(strings.Join(lines, "\n") + "\n")
}

func histogramLines(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	const totalLineCount = 2
	lines := make([]string, 0, totalLineCount+len(quantiles))
	lines = append(lines,
		fmt.Sprintf("%s_count{%s} %d", base, labels, h.Count()),
		fmt.Sprintf("%s_max{%s} %d", base, labels, h.Max()),
	)
	for i, value := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{%s,quantile=%q} %.0f", base, labels, fmt.Sprint(quantiles[i]), value))
	}
	return lines
}
