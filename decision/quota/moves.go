package quota

import (
	"slices"
	"strings"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// handoverRetry is the interval at which a new holder asks the previous one again.
const handoverRetry = 200 * time.Millisecond

// moves are the slots that changed hands with a configuration: those that ended here, and those that began here
// and still wait for their previous holder.
type moves struct {
	ended map[Slot]*ended
	begun map[Slot]*begun
}

// ended is what a holder keeps of a slot that is no longer its own.
type ended struct {
	available   float64
	outstanding int
	// expires is when the last lease of the slot ends.
	expires time.Duration
	// takenBy is the process that took the slot over.
	takenBy string
	// until is when the record is too old to be handed over: the next holder has stopped waiting by then.
	until time.Duration
}

type begun struct {
	from  string
	until time.Duration
	askAt time.Duration
}

func newMoves() moves { return moves{ended: map[Slot]*ended{}, begun: map[Slot]*begun{}} }

func (m *moves) end(now time.Duration, slot Slot, b *bucket, expires time.Duration) {
	delete(m.begun, slot)
	m.ended[slot] = &ended{
		available:   b.available,
		outstanding: b.outstanding,
		expires:     expires,
		until:       now + ReassignmentDelay,
	}
}

func (m *moves) begin(now time.Duration, slot Slot, from string) {
	delete(m.ended, slot)
	if from != "" {
		m.begun[slot] = &begun{from: from, until: now + ReassignmentDelay, askAt: now}
	}
}

// OutgoingHandoverRequest is a request that the caller must carry to the node beside From.
type OutgoingHandoverRequest struct {
	Slot           Slot
	PreviousHolder string
}

// DueHandoverRequests returns the requests to send now to the previous holders of slots that this node has taken over.
// The caller hands each answer to Took; no answer is asked for again.
func (h *Holder) DueHandoverRequests(now time.Duration) []OutgoingHandoverRequest {
	var asks []OutgoingHandoverRequest
	for slot, m := range h.moves.begun {
		if now >= m.until {
			delete(h.moves.begun, slot)
			continue
		}
		if now >= m.askAt {
			m.askAt = now + handoverRetry
			asks = append(asks, OutgoingHandoverRequest{Slot: slot, PreviousHolder: m.from})
		}
	}
	slices.SortFunc(asks, func(a, b OutgoingHandoverRequest) int { return strings.Compare(a.Slot.String(), b.Slot.String()) })
	return asks
}

// Handover answers a new holder's request. The slot is given to the first process that asks after it has ended
// here; a repeated request of the same process gets the same answer. Anyone else must wait ChangeDelay, because
// the process that took it may still lease.
func (h *Holder) Handover(now time.Duration, req wire.HandoverRequest) wire.HandoverResponse {
	e := h.moves.ended[Slot{Team: req.Team, Index: req.Slot}]
	if e == nil || now >= e.until || (e.takenBy != "" && e.takenBy != req.Process) {
		return wire.HandoverResponse{}
	}
	e.takenBy = req.Process
	return wire.HandoverResponse{
		HandedOver:       true,
		Available:        e.available,
		Outstanding:      e.outstanding,
		OutstandingForMS: max(e.expires-now, 0).Milliseconds() + 1,
	}
}

// HandleHandoverResponse takes the answer of a previous holder: the slot is leased from now on, less the leases that are still out.
func (h *Holder) HandleHandoverResponse(now time.Duration, slot Slot, resp wire.HandoverResponse) {
	b := h.buckets[slot]
	if b == nil || h.moves.begun[slot] == nil || !resp.HandedOver {
		return
	}
	delete(h.moves.begun, slot)
	b.updated = now
	if resp.Outstanding > 0 {
		h.open(now, slot, b, resp.Outstanding, time.Duration(resp.OutstandingForMS)*time.Millisecond)
	}
	b.available = max(resp.Available, 0)
	b.clamp()
}
