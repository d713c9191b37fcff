package allowance

import "time"

const (
	// LapseTime is how long a holder without contact to the store may still be the one that the others know: their
	// list drops an upstream after it was silent for three heartbeats, which is 4.5 s.
	LapseTime = 4 * time.Second
	// standingTime is how long a question of another node counts, and touchTime how old that node's own contact to the
	// store may be. Together they stay below LapseTime, or nodes that are cut off together would vouch for each other.
	standingTime = 2 * time.Second
	touchTime    = 1500 * time.Millisecond
	// reducedShare is the part of a limit that a holder grants whom the others may have replaced. The tolerance of the
	// limit also has to cover the burst that it granted before.
	reducedShare = 0.1
)

// InTouch reports whether a node whose contact to the store is of this age vouches for a holder.
func InTouch(storeAge time.Duration) bool { return storeAge < touchTime }

// Standing tells whether a holder may grant the whole rate of its teams. A holder that is cut off together with some
// other nodes goes on serving them, while the list of the rest has dropped it and another holder grants the same rate.
// It is not safe for concurrent use.
type Standing struct {
	// confirmed is when a node in contact with the store last asked this one, and so knows it as the holder.
	confirmed time.Duration
	heard     map[string]time.Duration
}

// NewStanding returns the standing of a node that has heard from no other.
func NewStanding() *Standing {
	return &Standing{confirmed: -standingTime, heard: map[string]time.Duration{}}
}

// Asked notes a question of another VM; inTouch says that it is in contact with the store.
func (s *Standing) Asked(now time.Duration, vm string, inTouch bool) {
	s.heard[vm] = now
	if inTouch {
		s.confirmed = now
	}
}

// Whole reports whether the holder may grant the whole rate: in contact with the store, known as the holder to a node
// that is, or in contact with most VMs while the store is away from all.
func (s *Standing) Whole(now, storeAge time.Duration, own string, vms []string) bool {
	if storeAge < LapseTime || now-s.confirmed < standingTime {
		return true
	}
	heard := 0
	for _, vm := range vms {
		if at, ok := s.heard[vm]; vm == own || (ok && now-at < standingTime) {
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
