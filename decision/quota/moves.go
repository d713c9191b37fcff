package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// handoverRetryInterval is the interval at which a new holder repeats its request to the previous one.
const handoverRetryInterval = 200 * time.Millisecond

// handoverState holds the slots whose holder changed with a configuration: released ones, which this node held before,
// and awaited ones, which this node holds now and which the previous holder has not handed over yet.
type handoverState struct {
	released map[Slot]*releasedSlot
	awaited  map[Slot]*awaitedSlot
}

// releasedSlot is the state of a slot at the time at which this node stopped holding it.
type releasedSlot struct {
	available   float64
	outstanding int
	// lastLeaseExpiresAt is when the last open lease of the slot expires.
	lastLeaseExpiresAt time.Duration
	// takenByProcess is the process that the slot was handed over to, or "".
	takenByProcess string
	// offeredUntil is the time after which the slot is not handed over, because the new holder leases it without a
	// handover from then on.
	offeredUntil time.Duration
}

// awaitedSlot is a slot that this node requests from its previous holder until waitUntil.
type awaitedSlot struct {
	previousHolder string
	waitUntil      time.Duration
	nextRequestAt  time.Duration
}

func newHandoverState() handoverState {
	return handoverState{released: map[Slot]*releasedSlot{}, awaited: map[Slot]*awaitedSlot{}}
}

func (s *handoverState) release(now time.Duration, slot Slot, b *bucket, lastExpiry time.Duration) {
	delete(s.awaited, slot)
	s.released[slot] = &releasedSlot{
		available:          b.available,
		outstanding:        b.outstanding,
		lastLeaseExpiresAt: lastExpiry,
		offeredUntil:       now + ReassignmentDelay,
	}
}

func (s *handoverState) await(now time.Duration, slot Slot, previousHolder string) {
	delete(s.released, slot)
	if previousHolder != "" {
		s.awaited[slot] = &awaitedSlot{previousHolder: previousHolder, waitUntil: now + ReassignmentDelay, nextRequestAt: now}
	}
}

// OutgoingHandoverRequest is a request for a slot that the caller must send to the node beside the upstream
// PreviousHolder.
type OutgoingHandoverRequest struct {
	Slot           Slot
	PreviousHolder string
}

// DueHandoverRequests returns the requests to send now to the previous holders of new slots. The caller passes each
// answer to HandleHandoverResponse. A request is due every handoverRetryInterval until the slot is handed over or
// ReassignmentDelay has passed.
func (h *Holder) DueHandoverRequests(now time.Duration) []OutgoingHandoverRequest {
	var requests []OutgoingHandoverRequest
	for slot, awaited := range h.handovers.awaited {
		if now >= awaited.waitUntil {
			delete(h.handovers.awaited, slot)
			continue
		}
		if now >= awaited.nextRequestAt {
			awaited.nextRequestAt = now + handoverRetryInterval
			requests = append(requests, OutgoingHandoverRequest{Slot: slot, PreviousHolder: awaited.previousHolder})
		}
	}
	slices.SortFunc(requests, func(a, b OutgoingHandoverRequest) int {
		return strings.Compare(a.Slot.String(), b.Slot.String())
	})
	return requests
}

// Handover answers a new holder's request. A slot that is no longer held here is handed over to the first process that
// requests it; a repeated request of that process gets the same answer. Other processes have to wait for
// ReassignmentDelay, because the first one may lease tokens of the slot.
func (h *Holder) Handover(now time.Duration, req wire.HandoverRequest) wire.HandoverResponse {
	released := h.handovers.released[Slot{Team: req.Team, Index: req.Slot}]
	if released == nil || now >= released.offeredUntil || (released.takenByProcess != "" && released.takenByProcess != req.Process) {
		return wire.HandoverResponse{}
	}
	released.takenByProcess = req.Process
	return wire.HandoverResponse{
		HandedOver:       true,
		Available:        released.available,
		Outstanding:      released.outstanding,
		OutstandingForMS: max(released.lastLeaseExpiresAt-now, 0).Milliseconds() + 1,
	}
}

// HandleHandoverResponse takes the answer of a previous holder. After a handover this holder leases the slot's
// available tokens from now on; the tokens in the previous holder's open leases count as an open lease here.
func (h *Holder) HandleHandoverResponse(now time.Duration, slot Slot, resp wire.HandoverResponse) {
	b := h.buckets[slot]
	if b == nil || h.handovers.awaited[slot] == nil || !resp.HandedOver {
		return
	}
	delete(h.handovers.awaited, slot)
	b.refilledTo = now
	if resp.Outstanding > 0 {
		h.openLease(now, slot, b, resp.Outstanding, time.Duration(resp.OutstandingForMS)*time.Millisecond)
	}
	b.available = max(resp.Available, 0)
	b.clampAvailable()
}
