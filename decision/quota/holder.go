package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// ReassignmentDelay is the time that a slot waits before its new holder refills it when the previous holder does not
// hand it over: an accepted configuration is in force everywhere within 8 s, and until then the previous holder
// may still lease the same allowance.
const ReassignmentDelay = 8 * time.Second

// Holder leases the tokens of the slots that its node holds.
//
// Invariant, for each slot: tokens available + tokens in open leases <= burst of the slice. So the calls
// admitted in any interval t are at most rate × t + burst, whoever spends the tokens and in what order the
// messages arrive.
type Holder struct {
	buckets map[Slot]*bucket
	// byTeam lists the slots of each team that are held here, in order.
	byTeam    map[string][]Slot
	leases    map[uint64]lease
	nextLease uint64
	moves     moves
}

type lease struct {
	slot    Slot
	tokens  int
	expires time.Duration
}

// NewHolder returns a holder that has lost whatever it knew. It starts without tokens and lets one lease
// period pass before it refills, since a previous process may have leased its whole burst. firstLease must
// differ between processes, so that a settlement of an earlier process's lease is not taken for one of this.
func NewHolder(now time.Duration, held map[Slot]SlotLimit, firstLease uint64) *Holder {
	h := &Holder{buckets: map[Slot]*bucket{}, leases: map[uint64]lease{}, nextLease: firstLease, moves: newMoves()}
	for slot, s := range held {
		h.buckets[slot] = &bucket{slice: s, updated: now + MaxLeaseDuration}
	}
	h.index()
	return h
}

// Reconfigure replaces the slots. from names, for each slot, its holder under the previous configuration. A slot
// that leaves ends at once. A new one waits until the previous holder hands it over, at most ChangeDelay.
func (h *Holder) Reconfigure(now time.Duration, held map[Slot]SlotLimit, from func(Slot) string) {
	h.expire(now)
	for slot, b := range h.buckets {
		if _, kept := held[slot]; !kept {
			b.refill(now)
			h.moves.end(now, slot, b, h.expiryOf(slot))
			delete(h.buckets, slot)
		}
	}
	for slot, next := range held {
		if b := h.buckets[slot]; b != nil {
			b.refill(now)
			b.change(now, next)
			continue
		}
		h.buckets[slot] = &bucket{slice: next, updated: now + ReassignmentDelay}
		h.moves.begin(now, slot, from(slot))
	}
	h.index()
}

func (h *Holder) index() {
	h.byTeam = map[string][]Slot{}
	for _, slot := range slices.SortedFunc(maps.Keys(h.buckets), func(a, b Slot) int { return a.Index - b.Index }) {
		h.byTeam[slot.Team] = append(h.byTeam[slot.Team], slot)
	}
}

// expiryOf returns when the last open lease of the slot ends, 0 when there is none.
func (h *Holder) expiryOf(slot Slot) time.Duration {
	last := time.Duration(0)
	for _, l := range h.leases {
		if l.slot == slot {
			last = max(last, l.expires)
		}
	}
	return last
}

// HandlePause tells the holder that the process did not run for a while. It gives up its tokens and waits one lease
// period, as after a restart: another VM may have taken over its upstream meanwhile.
func (h *Holder) HandlePause(now time.Duration) {
	h.expire(now)
	for _, b := range h.buckets {
		b.available = 0
		b.updated = max(b.updated, now+MaxLeaseDuration)
	}
	h.moves = newMoves()
}

// Lease settles the leases that the request names, then grants tokens for its wants. A team that is not held
// here gets a grant of no tokens.
func (h *Holder) Lease(now time.Duration, req wire.LeaseRequest) wire.LeaseResponse {
	h.expire(now)
	for _, s := range req.Settlements {
		h.settle(now, s)
	}
	resp := wire.LeaseResponse{Grants: make([]wire.Grant, 0, len(req.TokenRequests))}
	for _, w := range req.TokenRequests {
		resp.Grants = append(resp.Grants, h.grant(now, w))
	}
	return resp
}

// grant leases from the fullest of the team's slots.
func (h *Holder) grant(now time.Duration, w wire.TokenRequest) wire.Grant {
	slot, b := h.fullest(now, w.Team)
	if b == nil || w.Tokens <= 0 {
		return wire.Grant{RetryMS: MaxLeaseDuration.Milliseconds()}
	}
	n := b.offer(w.Tokens)
	if n == 0 {
		return wire.Grant{RetryMS: b.until(now, 1).Milliseconds() + 1}
	}
	b.available -= float64(n)
	h.open(now, slot, b, n, lifeOf(w))
	g := wire.Grant{Lease: h.nextLease, Tokens: n}
	if n < w.Tokens {
		g.RetryMS = b.until(now, float64(n)/2).Milliseconds() + 1
	}
	return g
}

func (h *Holder) fullest(now time.Duration, team string) (best Slot, fullest *bucket) {
	for _, slot := range h.byTeam[team] {
		b := h.buckets[slot]
		b.refill(now)
		if fullest == nil || b.available > fullest.available {
			best, fullest = slot, b
		}
	}
	return best, fullest
}

func (h *Holder) open(now time.Duration, slot Slot, b *bucket, tokens int, life time.Duration) {
	b.outstanding += tokens
	h.nextLease++
	h.leases[h.nextLease] = lease{slot: slot, tokens: tokens, expires: now + life}
}

// settle ends an open lease once; a repeated or late settlement finds no lease and changes nothing.
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
	b.clamp()
}

// expire closes the leases whose time has passed; their tokens count as used.
func (h *Holder) expire(now time.Duration) {
	for id, l := range h.leases {
		if l.expires > now {
			continue
		}
		if b := h.buckets[l.slot]; b != nil {
			b.refill(now)
			b.outstanding -= l.tokens
		}
		delete(h.leases, id)
	}
}
