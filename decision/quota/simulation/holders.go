package simulation

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/quota"
)

// fixedHolders drives quota.Holder and quota.Borrower on every node.
type fixedHolders struct {
	w         *world
	plans     []*quota.Plan
	planned   map[*config.Set]*quota.Plan
	index     map[string]int
	holders   []*quota.Holder
	borrowers []*quota.Borrower
	waiting   [][]*call
	// scheduled says for each node whether it will look again soon because calls wait.
	scheduled []bool
	restarts  uint64
}

func newFixedHolders(w *world) *fixedHolders {
	s := &fixedHolders{
		w:         w,
		plans:     make([]*quota.Plan, w.cfg.Nodes),
		planned:   map[*config.Set]*quota.Plan{},
		index:     map[string]int{},
		holders:   make([]*quota.Holder, w.cfg.Nodes),
		borrowers: make([]*quota.Borrower, w.cfg.Nodes),
		waiting:   make([][]*call, w.cfg.Nodes),
		scheduled: make([]bool, w.cfg.Nodes),
	}
	for n := range w.cfg.Nodes {
		s.index[w.set.Upstreams[n].Name] = n
		s.restart(n)
	}
	w.after(stepInterval, s.step)
	return s
}

// stepInterval is the interval at which a node looks for leases to return and requests to give up.
const stepInterval = 100 * time.Millisecond

// waitingInterval is the interval at which a node asks again while calls wait.
const waitingInterval = 10 * time.Millisecond

func (s *fixedHolders) step() {
	for n := range s.borrowers {
		if !s.w.isFrozen(n) {
			s.pump(n)
			s.handOver(n)
		}
	}
	s.w.after(stepInterval, s.step)
}

func (s *fixedHolders) restart(node int) {
	s.restarts++
	u := &s.w.set.Upstreams[node]
	s.plans[node] = s.plan()
	s.holders[node] = quota.NewHolder(s.w.now, s.plans[node].SlotsHeldBy(u.Name), s.restarts<<40)
	s.borrowers[node] = quota.NewBorrower(u.Name, u.DataCentre, s.plans[node])
	for _, c := range s.waiting[node] {
		s.w.finish(c, false)
	}
	s.waiting[node] = nil
}

// plan is the plan of the current configuration, shared by all nodes.
func (s *fixedHolders) plan() *quota.Plan {
	if s.planned[s.w.set] == nil {
		s.planned[s.w.set] = quota.NewPlan(s.w.set)
	}
	return s.planned[s.w.set]
}

func (s *fixedHolders) adopt(node int) {
	if s.w.isFrozen(node) {
		s.w.after(stepInterval, func() { s.adopt(node) })
		return
	}
	before, after := s.plans[node], s.plan()
	if before == after {
		return
	}
	s.plans[node] = after
	s.holders[node].Reconfigure(s.w.now, after.SlotsHeldBy(s.w.set.Upstreams[node].Name), before.HolderOf)
	s.borrowers[node].Reconfigure(after)
}

func (s *fixedHolders) wake(node int) {
	s.holders[node].HandlePause(s.w.now)
	s.borrowers[node].HandlePause()
}

func (s *fixedHolders) handOver(node int) {
	h := s.holders[node]
	process := strconv.Itoa(node) + "/" + strconv.FormatUint(s.restarts, 10)
	for _, ask := range h.DueHandoverRequests(s.w.now) {
		from := s.index[ask.PreviousHolder]
		request := wire.HandoverRequest{Team: ask.Slot.Team, Slot: ask.Slot.Index, Process: process}
		const bytes = 60
		s.w.send(node, from, bytes, func() {
			resp := s.holders[from].Handover(s.w.now, request)
			s.w.send(from, node, bytes, func() {
				if s.holders[node] == h {
					h.HandleHandoverResponse(s.w.now, ask.Slot, resp)
				}
			})
		})
	}
}

func (s *fixedHolders) call(c *call) {
	if s.borrowers[c.node].TakeToken(s.w.now, s.w.cfg.Teams[c.team].Name) {
		s.w.finish(c, true)
		s.pump(c.node)
		return
	}
	s.waiting[c.node] = append(s.waiting[c.node], c)
	s.pump(c.node)
}

// pump sends what the borrower wants, then settles the calls that wait for tokens.
func (s *fixedHolders) pump(node int) {
	b := s.borrowers[node]
	s.settleWaiting(node)
	for _, ask := range b.DueLeaseRequests(s.w.now) {
		s.carry(node, b, ask)
	}
	s.settleWaiting(node)
	if b.HasWaitingCalls() && !s.scheduled[node] {
		s.scheduled[node] = true
		s.w.after(waitingInterval, func() {
			s.scheduled[node] = false
			s.pump(node)
		})
	}
}

func (s *fixedHolders) settleWaiting(node int) {
	b := s.borrowers[node]
	kept := s.waiting[node][:0]
	for _, c := range s.waiting[node] {
		team := s.w.cfg.Teams[c.team].Name
		switch {
		case b.TakeTokenForWaitingCall(s.w.now, team):
			s.w.finish(c, true)
		case s.w.now-c.at > maxWait || b.Exhausted(team, c.at+maxWait):
			b.RemoveWaitingCall(team)
			s.w.finish(c, false)
		default:
			kept = append(kept, c)
		}
	}
	s.waiting[node] = kept
}

// maxWait is the longest time that a call waits for tokens.
const maxWait = 100 * time.Millisecond

func (s *fixedHolders) carry(node int, b *quota.Borrower, ask quota.OutgoingLeaseRequest) {
	holder := s.index[ask.Holder]
	body, _ := json.Marshal(ask.Request)
	s.w.send(node, holder, len(body), func() {
		var req wire.LeaseRequest
		_ = json.Unmarshal(body, &req)
		resp := s.holders[holder].Lease(s.w.now, req)
		answer, _ := json.Marshal(resp)
		s.w.send(holder, node, len(answer), func() {
			if s.borrowers[node] != b {
				return
			}
			b.HandleLeaseResponse(s.w.now, ask.ID, resp)
			s.pump(node)
		})
	})
}
