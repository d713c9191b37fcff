package allowance

import (
	"slices"
	"time"
)

const (
	// lapseBeats is the silence, in heartbeats, after which the store may remove the entry of an upstream: it waits for
	// three, the first of which may be nearly over when the contact breaks.
	lapseBeats = 2.5
	// standingBeats is how long a question of another node counts, and connectedBeats how old that node's own contact to
	// the store may be, in heartbeats. Together they stay below lapseBeats, or nodes that are cut off together would
	// confirm each other as holders.
	standingBeats  = 1.25
	connectedBeats = 1.0
	// substituteBeats is how long a substitute stands in for a silent holder, in heartbeats; the list of VMs then drops one
	// that has lost its power.
	substituteBeats = 2
	// substituteShare is the part of a limit that a substitute grants while the silent holder may live and grant the whole
	// of it to others. Most teams send less, and the burst that the holder granted before counts too.
	substituteShare = 0.6
	// substituteBurst is the time in which a substitute's bucket fills.
	substituteBurst = 500 * time.Millisecond
	// reducedShare is the part of a limit that a holder grants whom the others may have replaced. The tolerance of the
	// limit also has to cover the burst that it granted before.
	reducedShare = 0.1
)

// StoreContactPolicy judges the age of a node's contact to the store. Heartbeat is the interval in which the upstreams report
// to the store.
type StoreContactPolicy struct{ Heartbeat time.Duration }

func (c StoreContactPolicy) beats(n float64) time.Duration {
	return time.Duration(n * float64(c.Heartbeat))
}

// Connected reports whether a node whose contact to the store is of this age confirms a holder.
func (c StoreContactPolicy) Connected(storeAge time.Duration) bool {
	return storeAge < c.beats(connectedBeats)
}

// HolderConfirmation tells whether a holder may grant the whole rate of its teams. A holder that is cut off together with some
// other nodes goes on serving them, while the list of the rest has dropped it and another holder grants the same rate.
// It is not safe for concurrent use.
type HolderConfirmation struct {
	contact StoreContactPolicy
	// confirmed is when a node in contact with the store last asked this one, and so knows it as the holder.
	confirmed time.Duration
	heard     map[string]time.Duration
}

// NewHolderConfirmation returns the standing of a node that has heard from no other.
func NewHolderConfirmation(c StoreContactPolicy) *HolderConfirmation {
	return &HolderConfirmation{contact: c, confirmed: -c.beats(standingBeats), heard: map[string]time.Duration{}}
}

// RecordRequest notes a question of another VM; connected says that it is in contact with the store.
func (s *HolderConfirmation) RecordRequest(now time.Duration, vm string, connected bool) {
	s.heard[vm] = now
	if connected {
		s.confirmed = now
	}
}

// MayGrantFullRate reports whether the holder may grant the whole rate: in contact with the store, known as the holder to a node
// that is, or in contact with most VMs while the store is away from all.
func (s *HolderConfirmation) MayGrantFullRate(now, storeAge time.Duration, own string, vms []string) bool {
	recent := s.contact.beats(standingBeats)
	if storeAge < s.contact.beats(lapseBeats) || now-s.confirmed < recent {
		return true
	}
	heard := 0
	for _, vm := range vms {
		if at, ok := s.heard[vm]; vm == own || (ok && now-at < recent) {
			heard++
		}
	}
	return 2*heard > len(vms)
}

// Reduced is the limit of a holder that may not grant the whole rate; together with the holder that the others know it
// stays within the tolerance of the team's limit.
func (l Limit) Reduced() Limit {
	return Limit{Rate: reducedShare * l.Rate, Burst: reducedShare * l.Burst}
}

// SubstituteLimit is the limit of a node that stands in for a holder which has been silent for some time. A team that the
// holder refused before gets little: it sends more than its limit, and the holder may go on granting all of that.
func (c StoreContactPolicy) SubstituteLimit(l Limit, silence time.Duration, limited bool) Limit {
	share := substituteShare
	if limited || silence > c.beats(substituteBeats) {
		share = separateShare
	}
	rate := share * l.Rate
	return Limit{Rate: rate, Burst: max(1, min(share*l.Burst, rate*substituteBurst.Seconds()))}
}

// TokenRequest is a question for tokens of a team as the receiver sees it.
type TokenRequest struct {
	Team string
	// Connected says that the asking node is in contact with the store, so its list of VMs is recent.
	Connected bool
	// RefusedBy are the VMs that refused the asking node's connection.
	RefusedBy []string
}

// Referral returns the VM that a question belongs to, or an empty text if the receiver, whose own VM is given, is to
// answer it. Only a receiver in contact with the store corrects a node that is not: the upstream beside a holder can
// leave the list while its node lives, and nodes with the old list would otherwise draw a second rate from it.
func (c StoreContactPolicy) Referral(q TokenRequest, own string, vms []string, storeAge time.Duration) string {
	if q.Connected || !c.Connected(storeAge) {
		return ""
	}
	left := make([]string, 0, len(vms))
	for _, vm := range vms {
		if !slices.Contains(q.RefusedBy, vm) {
			left = append(left, vm)
		}
	}
	if holder := Holder(q.Team, left); holder != own {
		return holder
	}
	return ""
}
