package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// ReassignmentDelay is the time for which a new holder leases no tokens of a slot that the previous holder does not
// hand over. An accepted configuration is in force at all nodes within 8 s; until then the previous holder may still
// lease tokens of the slot.
const ReassignmentDelay = 8 * time.Second

// Holder leases the tokens of the slots that its node holds. It is not safe for concurrent use.
//
// Invariant, for each slot: available tokens + tokens in open leases <= burst of the slot. So at most
// rate × t + burst calls are admitted in any interval t, whichever nodes spend the tokens and in whatever order the
// messages arrive.
type Holder struct {
	buckets map[Slot]*bucket
	// byTeam lists the slots held here of each team, ordered by index.
	byTeam    map[string][]Slot
	leases    map[uint64]lease
	lastLease uint64
	handovers handoverState
}

// lease is an open lease of tokens of a slot.
type lease struct {
	slot      Slot
	tokens    int
	expiresAt time.Duration
}

// NewHolder returns the holder of a process that has just started. It has no tokens and starts to refill after
// MaxLeaseDuration, because the previous process of the node may have leased the whole burst. firstLease must differ
// between processes, so that a settlement of a previous process's lease is not taken for one of this process.
func NewHolder(now time.Duration, held map[Slot]SlotLimit, firstLease uint64) *Holder {
	h := &Holder{
		buckets: map[Slot]*bucket{}, leases: map[uint64]lease{}, lastLease: firstLease, handovers: newHandoverState(),
	}
	for slot, s := range held {
		h.buckets[slot] = &bucket{limit: s, refilledTo: now + MaxLeaseDuration}
	}
	h.indexByTeam()
	return h
}

// Reconfigure replaces the slots. The function previousHolder returns the holder of a slot under the previous
// configuration, or "". Tokens of slots that are no longer held are not leased any more; those of new slots are leased
// when the previous holder has handed the slot over, or after ReassignmentDelay.
func (h *Holder) Reconfigure(now time.Duration, held map[Slot]SlotLimit, previousHolder func(Slot) string) {
	h.expireLeases(now)
	for slot, b := range h.buckets {
		if _, kept := held[slot]; !kept {
			b.refill(now)
			h.handovers.release(now, slot, b, h.lastExpiry(slot))
			delete(h.buckets, slot)
		}
	}
	for slot, next := range held {
		if b := h.buckets[slot]; b != nil {
			b.refill(now)
			b.setLimit(now, next)
			continue
		}
		h.buckets[slot] = &bucket{limit: next, refilledTo: now + ReassignmentDelay}
		h.handovers.await(now, slot, previousHolder(slot))
	}
	h.indexByTeam()
}

// indexByTeam rebuilds byTeam.
func (h *Holder) indexByTeam() {
	h.byTeam = map[string][]Slot{}
	for _, slot := range slices.SortedFunc(maps.Keys(h.buckets), func(a, b Slot) int { return a.Index - b.Index }) {
		h.byTeam[slot.Team] = append(h.byTeam[slot.Team], slot)
	}
}

// lastExpiry returns when the last open lease of the slot expires, or 0 if there is none.
func (h *Holder) lastExpiry(slot Slot) time.Duration {
	last := time.Duration(0)
	for _, l := range h.leases {
		if l.slot == slot {
			last = max(last, l.expiresAt)
		}
	}
	return last
}

// HandlePause drops all available tokens and waits MaxLeaseDuration before it refills, as after a restart. The caller
// calls it when the process was paused, because another VM may run the upstream since.
func (h *Holder) HandlePause(now time.Duration) {
	h.expireLeases(now)
	for _, b := range h.buckets {
		b.available = 0
		b.refilledTo = max(b.refilledTo, now+MaxLeaseDuration)
	}
	h.handovers = newHandoverState()
}

// Lease applies the settlements of the request, then answers its token requests in their order. For a team of which
// no slot is held here it grants no tokens.
func (h *Holder) Lease(now time.Duration, req wire.LeaseRequest) wire.LeaseResponse {
	h.expireLeases(now)
	for _, s := range req.Settlements {
		h.settle(now, s)
	}
	resp := wire.LeaseResponse{Grants: make([]wire.Grant, 0, len(req.TokenRequests))}
	for _, requested := range req.TokenRequests {
		resp.Grants = append(resp.Grants, h.grant(now, requested))
	}
	return resp
}

// grant leases tokens of the team's slot with the most available tokens.
func (h *Holder) grant(now time.Duration, requested wire.TokenRequest) wire.Grant {
	slot, b := h.fullestSlot(now, requested.Team)
	if b == nil || requested.Tokens <= 0 {
		return wire.Grant{RetryMS: MaxLeaseDuration.Milliseconds()}
	}
	n := b.tokensToGrant(requested.Tokens)
	if n == 0 {
		return wire.Grant{RetryMS: b.timeUntil(now, 1).Milliseconds() + 1}
	}
	b.available -= float64(n)
	h.openLease(now, slot, b, n, leaseDuration(requested))
	g := wire.Grant{Lease: h.lastLease, Tokens: n}
	if n < requested.Tokens {
		g.RetryMS = b.timeUntil(now, float64(n)/2).Milliseconds() + 1
	}
	return g
}

// fullestSlot returns the team's slot with the most available tokens; its bucket is nil if no slot is held here.
func (h *Holder) fullestSlot(now time.Duration, team string) (best Slot, fullest *bucket) {
	for _, slot := range h.byTeam[team] {
		b := h.buckets[slot]
		b.refill(now)
		if fullest == nil || b.available > fullest.available {
			best, fullest = slot, b
		}
	}
	return best, fullest
}

// openLease records a lease under the next number, lastLease.
func (h *Holder) openLease(now time.Duration, slot Slot, b *bucket, tokens int, duration time.Duration) {
	b.outstanding += tokens
	h.lastLease++
	h.leases[h.lastLease] = lease{slot: slot, tokens: tokens, expiresAt: now + duration}
}

// settle closes an open lease and returns its unused tokens. A repeated or late settlement finds no open lease and is
// ignored.
func (h *Holder) settle(now time.Duration, s wire.Settlement) {
	l, open := h.leases[s.Lease]
	if !open {
		return
	}
	delete(h.leases, s.Lease)
	b := h.buckets[l.slot]
	if b == nil {
		return
	}
	b.refill(now)
	b.outstanding -= l.tokens
	unused := l.tokens - min(max(s.Used, 0), l.tokens)
	b.available += float64(unused)
	b.clampAvailable()
}

// expireLeases closes the expired leases; their tokens count as used.
func (h *Holder) expireLeases(now time.Duration) {
	for id, l := range h.leases {
		if l.expiresAt > now {
			continue
		}
		if b := h.buckets[l.slot]; b != nil {
			b.refill(now)
			b.outstanding -= l.tokens
		}
		delete(h.leases, id)
	}
}
