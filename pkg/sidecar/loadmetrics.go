package sidecar

import (
	"fmt"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"github.com/bamboodeal/bamboodeal/decision/slots"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// recordDecision counts what the upstream's queue decided about a request: reason is empty if it may run.
func (r *recorder) recordDecision(metadata *requestMetadata, reason Reason) {
	decision := string(reason)
	if reason == ReasonNone {
		decision = "started"
	}
	metrics.GetOrRegisterCounter(metricName("queue_decisions_total", "priority", strconv.Itoa(metadata.priority),
		"nested", strconv.FormatBool(metadata.nested), "strict", strconv.FormatBool(metadata.mustMeetObjective), "decision", decision), r.registry).Inc(1)
}

// recordPlace counts, for requests that an upstream answered, whether it is in the node's own data centre.
func (r *recorder) recordPlace(service string, moved bool) {
	place := "own"
	if moved {
		place = "other"
	}
	metrics.GetOrRegisterCounter(metricName("answers_by_data_centre_total", "service", service, "data_centre", place), r.registry).Inc(1)
}

// recordOrigin counts the requests that counted as nested calls on a mesh without teams, by how they were known.
func (r *recorder) recordOrigin(route string, parentKnown bool) {
	known := "route"
	if parentKnown {
		known = "parent"
	}
	metrics.GetOrRegisterCounter(metricName("nested_calls_total", "route", route, "known_by", known), r.registry).Inc(1)
}

// loadLines returns the lines of the metrics about what the upstream beside the node can do now, and about the acceptance of
// other data centres.
func (n *Node) loadLines(view *mesh.View) []string {
	const percent = 100
	load, slowness, overloaded := n.controller.queue.state()
	flag := 0
	if overloaded {
		flag = 1
	}
	lines := []string{
		fmt.Sprintf("%supstream_slowness_percent %.0f", metricPrefix, percent*slowness),
		fmt.Sprintf("%supstream_mean_service_microseconds %d", metricPrefix, load.MeanServiceTime.Microseconds()),
		fmt.Sprintf("%squeue_overloaded %d", metricPrefix, flag),
	}
	if view.Config == nil || policyFor(view.Config) != slots.LeastCost {
		return lines
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.placementTable.Acceptances(n.o.Clock.Now()) {
		lines = append(lines, fmt.Sprintf("%s %.0f", metricName("acceptance_percent", "service", a.Service, "data_centre", a.DataCentre), percent*a.Share))
	}
	return lines
}
