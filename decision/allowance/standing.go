package allowance

import (
	"time"
)

const (
	// maxContactAgeHeartbeats is the age of a node's contact with the store, in heartbeats, from which the store may
	// remove the entry of its upstream. A heartbeat is the interval at which the upstreams report to the store. The
	// store waits for three heartbeats, the first of which may be nearly over when the contact breaks.
	maxContactAgeHeartbeats = 2.5
	// confirmationHeartbeats is how long a token request of another node confirms a holder, that is, shows that the
	// list of VMs still names it, and connectedHeartbeats how old that node's own contact with the store may be, both in
	// heartbeats. Their sum must stay below maxContactAgeHeartbeats, or nodes that are cut off together would confirm
	// each other as holders for too long.
	confirmationHeartbeats = 1.25
	connectedHeartbeats    = 1.0
	// substituteHeartbeats is how long a substitute grants substituteShare for a holder that does not answer, in
	// heartbeats. A holder that has lost its power is removed from the list of VMs by then.
	substituteHeartbeats = 2
	// substituteShare is the part of a limit that a substitute grants while the holder that does not answer may run and
	// grant the whole limit to other nodes. Most teams send less than their limit, and the burst that the holder granted
	// before counts too.
	substituteShare = 0.6
	// substituteFillTime is the time in which a substitute's bucket fills, which bounds its burst.
	substituteFillTime = 500 * time.Millisecond
	// reducedShare is the part of a limit that a holder grants when other nodes may have replaced it. The tolerance of the
	// limit also has to cover the burst that it granted before.
	reducedShare = 0.1
)

// StoreContactPolicy derives decisions about holders from the age of a node's contact with the store. HeartbeatInterval
// is the interval at which the upstreams report to the store.
type StoreContactPolicy struct{ HeartbeatInterval time.Duration }

func (p StoreContactPolicy) heartbeats(n float64) time.Duration {
	return time.Duration(n * float64(p.HeartbeatInterval))
}

// Connected reports whether a node whose last contact with the store was storeAge ago counts as connected to it. A
// request of a connected node confirms the holder.
func (p StoreContactPolicy) Connected(storeAge time.Duration) bool {
	return storeAge < p.heartbeats(connectedHeartbeats)
}

// HolderConfirmation decides whether a holder may grant the whole rate of its teams. A holder that is cut off together
// with some other nodes still serves these, while it is missing from the list of the rest, for which another holder
// grants the same rate. It is not safe for concurrent use.
type HolderConfirmation struct {
	policy StoreContactPolicy
	// confirmedAt is when a node connected to the store last requested tokens, which shows that its list names this
	// holder.
	confirmedAt time.Duration
	// lastRequests is when each VM last requested tokens.
	lastRequests map[string]time.Duration
}

// NewHolderConfirmation returns the state of a holder that has received no requests.
func NewHolderConfirmation(p StoreContactPolicy) *HolderConfirmation {
	return &HolderConfirmation{policy: p, confirmedAt: -p.heartbeats(confirmationHeartbeats), lastRequests: map[string]time.Duration{}}
}

// RecordRequest records a token request of another VM; connected says that this VM is connected to the store.
func (c *HolderConfirmation) RecordRequest(now time.Duration, vm string, connected bool) {
	c.lastRequests[vm] = now
	if connected {
		c.confirmedAt = now
	}
}

// MayGrantFullRate reports whether the holder may grant the whole rate: because its own contact with the store, of age
// storeAge, is recent enough, because a node connected to the store requested tokens recently, or because most VMs did
// while no node reaches the store.
func (c *HolderConfirmation) MayGrantFullRate(now, storeAge time.Duration, ownVM string, vms []string) bool {
	confirmationTime := c.policy.heartbeats(confirmationHeartbeats)
	if storeAge < c.policy.heartbeats(maxContactAgeHeartbeats) || now-c.confirmedAt < confirmationTime {
		return true
	}
	heardVMs := 0
	for _, vm := range vms {
		if at, ok := c.lastRequests[vm]; vm == ownVM || (ok && now-at < confirmationTime) {
			heardVMs++
		}
	}
	return 2*heardVMs > len(vms)
}

// Reduced returns the limit of a holder that may not grant the whole rate. Together with the grants of the holder that
// other nodes use, it stays within the tolerance of the team's limit.
func (l Limit) Reduced() Limit {
	return Limit{Rate: reducedShare * l.Rate, Burst: reducedShare * l.Burst}
}

// HolderSilence is what a substitute knows about a holder that it does not reach.
type HolderSilence struct {
	// Duration is the time for which the substitute has not reached the holder.
	Duration time.Duration
	// TeamLimited says that the holder had no tokens shortly before: the team then sends more than its limit, all of which
	// the holder may still be granting.
	TeamLimited bool
	// NeighbourAnswers says that another VM of the holder's data centre answers the substitute. Otherwise the data centre
	// may be cut off, and the holder may be granting the whole limit to all the nodes there.
	NeighbourAnswers bool
}

// SubstituteLimit returns the limit of a substitute for a holder. It is a small part of the team's limit if that, together
// with all that the holder may be granting on the other side of a partition, has to stay within the tolerance.
func (p StoreContactPolicy) SubstituteLimit(l Limit, s HolderSilence) Limit {
	share := substituteShare
	if s.TeamLimited || !s.NeighbourAnswers || s.Duration > p.heartbeats(substituteHeartbeats) {
		share = unreachableHolderShare
	}
	rate := share * l.Rate
	return Limit{Rate: rate, Burst: max(1, min(share*l.Burst, rate*substituteFillTime.Seconds()))}
}

// TokenRequest is a request for tokens of a team as its receiver sees it.
type TokenRequest struct {
	Team string
	// Connected says that the requesting node is connected to the store, so that its list of VMs is recent.
	Connected bool
	// UnresponsiveHolder is the VM that the requesting node does not reach, if any. It does not count as a holder for this
	// request.
	UnresponsiveHolder string
}

// Referral returns the VM to which the receiver should refer a request, or "" if the receiver, which runs on ownVM,
// should answer it. Only a receiver that is connected to the store refers the request of a node that is not: the
// upstream beside a holder can leave the list while its node still runs, and nodes with an old list would otherwise
// get the team's rate a second time from that node.
func (p StoreContactPolicy) Referral(request TokenRequest, ownVM string, vms []string, storeAge time.Duration) string {
	if request.Connected || !p.Connected(storeAge) {
		return ""
	}
	candidates := make([]string, 0, len(vms))
	for _, vm := range vms {
		if vm != request.UnresponsiveHolder {
			candidates = append(candidates, vm)
		}
	}
	if holder := Holder(request.Team, candidates); holder != ownVM {
		return holder
	}
	return ""
}
