// Package transfer decides when bodies of requests may be sent over the network link of a VM. It keeps the bodies that
// are under way at once so small that configuration, team limits and small requests don't wait behind them for long, and
// refuses at once what the link cannot carry in time.
package transfer

import "time"

const (
	// bodyShare is the part of the link's rate that bodies of requests get. The rest is for responses, small requests
	// and control messages.
	bodyShare = 0.6
	// window bounds the bytes under way, as the time in which the link carries them. Everything else that arrives at the
	// VM waits at most about this long behind bodies, or behind one body that is larger.
	window = 50 * time.Millisecond
	// objectiveShare is the share of the time until the latency objective that the wait and the transfer may take. The
	// upstream needs the rest.
	objectiveShare = 0.4
	// deadlineShare is the same share of the time until the deadline, for a request that may be late.
	deadlineShare = 0.5
	// maxWaiting bounds the number of waiting transfers. On a narrow link far fewer can be carried before their
	// deadlines.
	maxWaiting  = 256
	bitsPerMbit = 1e6
	bitsPerByte = 8
)

// Request is a request for the transfer of a body. Times are on the process's monotonic clock.
type Request struct {
	ID    uint64
	Bytes int
	// Priority is lower for more urgent requests.
	Priority int
	// Deadline is when the caller gives up. Objective is the time by which the response should arrive.
	Deadline  time.Duration
	Objective time.Duration
	// MustMeetObjective marks a request that is refused if it would miss its objective, because its sender can try
	// another upstream.
	MustMeetObjective bool
}

// Decision is the result of Link.Submit. If the transfer neither started nor is queued, it is refused.
type Decision struct {
	Started bool
	Queued  bool
	// RetryAfter is the time after which the link is expected to carry a refused body in time.
	RetryAfter time.Duration
}

// Link holds the transfers over the link of one VM in one direction. It is not safe for concurrent use.
type Link struct {
	bytesPerSecond float64
	windowBytes    int
	underWay       int
	waiting        []Request
}

// NewLink returns the state of a link with the given rate in Mbit/s.
func NewLink(mbps float64) *Link {
	l := &Link{bytesPerSecond: mbps * bitsPerMbit / bitsPerByte * bodyShare}
	l.windowBytes = int(l.bytesPerSecond * window.Seconds())
	return l
}

// UnderWay returns the number of bytes of the transfers that have started and not ended.
func (l *Link) UnderWay() int { return l.underWay }

// Waiting returns the number of transfers that wait.
func (l *Link) Waiting() int { return len(l.waiting) }

// timeFor returns the time in which the link carries the bytes.
func (l *Link) timeFor(bytes int) time.Duration {
	return time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second))
}

// fits reports whether a transfer may start now. One that is larger than the window starts when nothing else is under
// way.
func (l *Link) fits(bytes int) bool { return l.underWay == 0 || l.underWay+bytes <= l.windowBytes }

// Submit decides whether a transfer starts, waits or is refused.
func (l *Link) Submit(now time.Duration, r Request) Decision {
	if len(l.waiting) == 0 && l.fits(r.Bytes) && l.timeFor(r.Bytes) < r.Deadline-now {
		l.underWay += r.Bytes
		return Decision{Started: true}
	}
	ahead := l.underWay
	for i := range l.waiting {
		if l.waiting[i].Priority <= r.Priority {
			ahead += l.waiting[i].Bytes
		}
	}
	end := l.timeFor(ahead + r.Bytes)
	allowed := time.Duration(deadlineShare * float64(r.Deadline-now))
	if r.MustMeetObjective {
		allowed = min(allowed, time.Duration(objectiveShare*float64(r.Objective-now)))
	}
	if end > allowed || len(l.waiting) >= maxWaiting {
		return Decision{RetryAfter: max(0, end-allowed)}
	}
	l.waiting = append(l.waiting, r)
	return Decision{Queued: true}
}

// Finish ends a transfer that has started and returns the IDs of those that start now.
func (l *Link) Finish(bytes int) []uint64 {
	l.underWay -= bytes
	return l.dispatch()
}

// Cancel removes a waiting transfer and returns the IDs of those that start now. An unknown ID is ignored.
func (l *Link) Cancel(id uint64) []uint64 {
	for i := range l.waiting {
		if l.waiting[i].ID == id {
			l.remove(i)
			return l.dispatch()
		}
	}
	return nil
}

// dispatch starts the most urgent waiting transfers, those of the same priority in the order of their arrival. A large
// one is not passed by smaller ones, because it would never start then.
func (l *Link) dispatch() []uint64 {
	var started []uint64
	for len(l.waiting) > 0 {
		next := 0
		for i := range l.waiting {
			if l.waiting[i].Priority < l.waiting[next].Priority {
				next = i
			}
		}
		if !l.fits(l.waiting[next].Bytes) {
			return started
		}
		l.underWay += l.waiting[next].Bytes
		started = append(started, l.waiting[next].ID)
		l.remove(next)
	}
	return started
}

func (l *Link) remove(i int) { l.waiting = append(l.waiting[:i], l.waiting[i+1:]...) }
