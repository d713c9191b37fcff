package simulation

import (
	"strconv"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/quota"
)

// fixedHolders is the strategy of package quota: each node runs a quota.Holder and a quota.Borrower.
type fixedHolders struct {
	sim            *simulator
	plans          []*quota.Plan
	planBySet      map[*config.Set]*quota.Plan
	nodeByUpstream map[string]int
	holders        []*quota.Holder
	borrowers      []*quota.Borrower
	waiting        [][]*call
	// retryScheduled says for each node whether a retry for its waiting calls is retryScheduled.
	retryScheduled []bool
	restarts       uint64
}

func newFixedHolders(sim *simulator) *fixedHolders {
	s := &fixedHolders{
		sim:            sim,
		plans:          make([]*quota.Plan, sim.cfg.Nodes),
		planBySet:      map[*config.Set]*quota.Plan{},
		nodeByUpstream: map[string]int{},
		holders:        make([]*quota.Holder, sim.cfg.Nodes),
		borrowers:      make([]*quota.Borrower, sim.cfg.Nodes),
		waiting:        make([][]*call, sim.cfg.Nodes),
		retryScheduled: make([]bool, sim.cfg.Nodes),
	}
	for n := range sim.cfg.Nodes {
		s.nodeByUpstream[sim.set.Upstreams[n].Name] = n
		s.restartNode(n)
	}
	sim.schedule(maintenanceInterval, s.maintainNodes)
	return s
}

// maintenanceInterval is the interval at which a node returns unused tokens, fails requests that timed out and requests
// handovers.
const maintenanceInterval = 100 * time.Millisecond

// waitingCallRetryInterval is the interval at which a node sends due requests while calls wait for tokens.
const waitingCallRetryInterval = 10 * time.Millisecond

func (s *fixedHolders) maintainNodes() {
	for n := range s.borrowers {
		if !s.sim.isFrozen(n) {
			s.sendDueRequests(n)
			s.requestHandovers(n)
		}
	}
	s.sim.schedule(maintenanceInterval, s.maintainNodes)
}

func (s *fixedHolders) restartNode(node int) {
	s.restarts++
	u := &s.sim.set.Upstreams[node]
	s.plans[node] = s.currentPlan()
	s.holders[node] = quota.NewHolder(s.sim.now, s.plans[node].SlotsHeldBy(u.Name), s.restarts<<40)
	s.borrowers[node] = quota.NewBorrower(u.Name, u.DataCentre, s.plans[node])
	for _, c := range s.waiting[node] {
		s.sim.recordDecision(c, false)
	}
	s.waiting[node] = nil
}

// currentPlan returns the plan of the current configuration, which all nodes share.
func (s *fixedHolders) currentPlan() *quota.Plan {
	if s.planBySet[s.sim.set] == nil {
		s.planBySet[s.sim.set] = quota.NewPlan(s.sim.set)
	}
	return s.planBySet[s.sim.set]
}

func (s *fixedHolders) adoptConfig(node int) {
	if s.sim.isFrozen(node) {
		s.sim.schedule(maintenanceInterval, func() { s.adoptConfig(node) })
		return
	}
	before, after := s.plans[node], s.currentPlan()
	if before == after {
		return
	}
	s.plans[node] = after
	s.holders[node].Reconfigure(s.sim.now, after.SlotsHeldBy(s.sim.set.Upstreams[node].Name), before.HolderOf)
	s.borrowers[node].Reconfigure(after)
}

func (s *fixedHolders) resumeNode(node int) {
	s.holders[node].HandlePause(s.sim.now)
	s.borrowers[node].HandlePause()
}

func (s *fixedHolders) requestHandovers(node int) {
	h := s.holders[node]
	process := strconv.Itoa(node) + "/" + strconv.FormatUint(s.restarts, 10)
	for _, due := range h.DueHandoverRequests(s.sim.now) {
		from := s.nodeByUpstream[due.PreviousHolder]
		request := wire.HandoverRequest{Team: due.Slot.Team, Slot: due.Slot.Index, Process: process}
		const bytes = 60 + messageOverheadBytes
		s.sim.send(node, from, bytes, func() {
			resp := s.holders[from].Handover(s.sim.now, request)
			s.sim.send(from, node, bytes, func() {
				if s.holders[node] == h {
					h.HandleHandoverResponse(s.sim.now, due.Slot, resp)
				}
			})
		})
	}
}

func (s *fixedHolders) handleCall(c *call) {
	if s.borrowers[c.node].TakeToken(s.sim.now, s.sim.cfg.Teams[c.team].Name) {
		s.sim.recordDecision(c, true)
		s.sendDueRequests(c.node)
		return
	}
	s.waiting[c.node] = append(s.waiting[c.node], c)
	s.sendDueRequests(c.node)
}

// sendDueRequests sends the borrower's due requests, decides the waiting calls, and schedules a retry if calls still
// wait.
func (s *fixedHolders) sendDueRequests(node int) {
	b := s.borrowers[node]
	s.decideWaitingCalls(node)
	for _, request := range b.DueLeaseRequests(s.sim.now) {
		s.sendLeaseRequest(node, b, request)
	}
	s.decideWaitingCalls(node)
	if b.HasWaitingCalls() && !s.retryScheduled[node] {
		s.retryScheduled[node] = true
		s.sim.schedule(waitingCallRetryInterval, func() {
			s.retryScheduled[node] = false
			s.sendDueRequests(node)
		})
	}
}

// decideWaitingCalls admits the waiting calls for which there are tokens, and refuses those that waited too long or
// cannot get one in time.
func (s *fixedHolders) decideWaitingCalls(node int) {
	b := s.borrowers[node]
	kept := s.waiting[node][:0]
	for _, c := range s.waiting[node] {
		team := s.sim.cfg.Teams[c.team].Name
		switch {
		case b.TakeTokenForWaitingCall(s.sim.now, team):
			s.sim.recordDecision(c, true)
		case s.sim.now-c.at > maxWait || b.Exhausted(team, c.at+maxWait):
			b.RemoveWaitingCall(team)
			s.sim.recordDecision(c, false)
		default:
			kept = append(kept, c)
		}
	}
	s.waiting[node] = kept
}

// maxWait is the longest time that a call waits for a token.
const maxWait = 100 * time.Millisecond

// sendLeaseRequest exchanges the messages of a lease stream. Opening a stream is not counted, because a node keeps its
// streams for longer than the pauses between its requests to the holders that it prefers.
func (s *fixedHolders) sendLeaseRequest(node int, b *quota.Borrower, request quota.OutgoingLeaseRequest) {
	holder := s.nodeByUpstream[request.Holder]
	body, _ := request.Request.AppendBinary(nil)
	s.sim.send(node, holder, len(wire.AppendFrame(nil, body)), func() {
		var req wire.LeaseRequest
		_ = req.UnmarshalBinary(body)
		resp := s.holders[holder].Lease(s.sim.now, req)
		answer, _ := resp.AppendBinary(nil)
		s.sim.send(holder, node, len(wire.AppendFrame(nil, answer)), func() {
			if s.borrowers[node] != b {
				return
			}
			var granted wire.LeaseResponse
			_ = granted.UnmarshalBinary(answer)
			b.HandleLeaseResponse(s.sim.now, request.ID, granted)
			s.sendDueRequests(node)
		})
	})
}
