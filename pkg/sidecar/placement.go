package sidecar

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/placement"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// orderCandidates returns the indexes of the candidates in the order in which to ask them. The load of the node's own upstream is up
// to date.
func (n *Node) orderCandidates(list []placement.Candidate, d placement.Demand, byExpectedTime bool) []int {
	now := n.o.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if own := n.o.View().OwnUpstream; own != nil {
		n.placementTable.RecordLoad(now, own.ID, placementLoad(n.controller.queue.load()))
	}
	if byExpectedTime {
		return n.placementTable.RankByExpectedTime(now, list, d)
	}
	return n.placementTable.Rank(now, list, d.BodyBytes)
}

// recordSent records that a request is sent to the upstream.
func (n *Node) recordSent(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placementTable.RecordSent(id)
}

// silenceDelay returns after which time without any sign of an upstream's node an attempt there counts as slow.
func (n *Node) silenceDelay(id string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placementTable.SilenceDelay(id)
}

// recentlyRefused reports whether an upstream refused a request of this priority, or a large body, a moment ago, and after
// which time it expects to accept one. It is always false for the node's own upstream, which can be asked without a message.
func (n *Node) recentlyRefused(id string, priority int, hasLargeBody bool) (after time.Duration, known bool) {
	if own := n.o.View().OwnUpstream; own != nil && own.ID == id {
		return 0, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.placementTable.RefusalExpected(n.o.Clock.Now(), id, priority, hasLargeBody)
}

// recordResult records what the result of an attempt says about an upstream.
func (n *Node) recordResult(id, route string, priority int, a attemptResult) {
	now := n.o.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placementTable.RecordEnded(id)
	if a.load.Slots > 0 {
		n.placementTable.RecordLoad(now, id, placementLoad(a.load))
	}
	n.placementTable.RecordServiceTime(now, id, route, a.serviceTime, a.slowness)
	switch a.reason {
	case ReasonUnreachable, ReasonLeaving, ReasonDataCentreEvacuated:
		n.placementTable.RecordNoAnswer(now, id)
	case ReasonWrongUpstream:
		n.placementTable.RecordUnknownHealth(now, id)
	case ReasonOverloaded:
		n.placementTable.RecordRefusal(now, id, priority, a.retryAfter)
	case ReasonLinkBusy:
		n.placementTable.RecordBodyRefusal(now, id, a.retryAfter)
	case ReasonUpstreamShed, ReasonAnswerLost:
		n.placementTable.RecordOutcome(id, true)
	case ReasonNone:
		n.placementTable.RecordOutcome(id, false)
	}
}

// recordAsked records where a request was answered, and whether an upstream in another data centre accepted it. An answer of a
// node that stops, or that had too little time left, says nothing about room.
func (n *Node) recordAsked(u *mesh.Upstream, a *attemptResult) {
	moved := u.DataCentre != n.o.Settings.DataCentre
	if a.outcome == outcomeRan {
		n.recorder.recordPlace(u.Service, moved)
	}
	if !moved || a.load.Slots == 0 {
		return
	}
	accepted := a.outcome != outcomeNotRun || a.reachedUpstream
	if !accepted && a.reason != ReasonOverloaded && a.reason != ReasonLinkBusy {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.placementTable.RecordAsked(n.o.Clock.Now(), u.Service, u.DataCentre, accepted)
}

// hasOtherUpstream reports whether the service has an upstream in use, other than except, that has not received the
// request.
func (n *Node) hasOtherUpstream(c *call, except string) bool {
	for _, u := range c.view.UpstreamsByService[c.service] {
		if u.ID != except && !c.reachedUpstreams[u.ID] && !u.Draining && !c.view.EvacuatedDataCentres[u.DataCentre] {
			return true
		}
	}
	return false
}
