package transfer

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// simulated is a link that carries what has started at its full rate, in the order of the starts.
type simulated struct {
	mbps float64
	link *Link
	// freeAt is when the link has carried all that was started. ends holds when each transfer ends.
	freeAt time.Duration
	ends   []transferEnd
	// served, refused and late count uploads; late ones end their transfer after the share of the objective.
	served, refused, late int
	longestSmallWait      time.Duration
	waiting               map[uint64]Request
}

type transferEnd struct {
	at    time.Duration
	bytes int
}

func (s *simulated) start(now time.Duration, r Request) {
	s.freeAt = max(s.freeAt, now) + time.Duration(float64(r.Bytes*8)/(s.mbps*1e6)*float64(time.Second))
	s.ends = append(s.ends, transferEnd{s.freeAt, r.Bytes})
	s.served++
	if r.MustMeetObjective && s.freeAt > r.Objective {
		s.late++
	}
}

// advance ends the transfers that are complete by now.
func (s *simulated) advance(now time.Duration) {
	sort.Slice(s.ends, func(i, j int) bool { return s.ends[i].at < s.ends[j].at })
	for len(s.ends) > 0 && s.ends[0].at <= now {
		e := s.ends[0]
		s.ends = s.ends[1:]
		for _, id := range s.link.Finish(e.bytes) {
			s.start(e.at, s.waiting[id])
			delete(s.waiting, id)
		}
		sort.Slice(s.ends, func(i, j int) bool { return s.ends[i].at < s.ends[j].at })
	}
}

// Load: uploads of about 60 KB in bursts at VMs with narrow and wide links, of which one narrow VM is the only one of
// its service in the data centre, so that its senders ask others only after it has refused. Guards against small
// requests that wait behind bodies, against bodies that are carried although they miss their objective, against a link
// that stays idle while it refuses, and against a refusal that comes late: each is known when the request is submitted.
func TestUploadsInBursts(t *testing.T) {
	for seed := range uint64(50) {
		g := NewWithT(t)
		r := rand.New(rand.NewPCG(seed, 1))
		narrow := &simulated{mbps: 16, link: NewLink(16), waiting: map[uint64]Request{}}
		wide := &simulated{mbps: 200, link: NewLink(200), waiting: map[uint64]Request{}}
		const duration, objective, deadline = 20 * time.Second, 800 * time.Millisecond, 2 * time.Second
		id, total, totalBytes := uint64(0), 0, 0
		for now := time.Duration(0); now < duration; now += time.Millisecond {
			narrow.advance(now)
			wide.advance(now)
			for _, s := range [...]*simulated{narrow, wide} {
				s.longestSmallWait = max(s.longestSmallWait, s.freeAt-now)
			}
			// 25 uploads a second, and 75 in the bursts, are half and three times as many as the narrow link carries.
			perSecond := 25.0
			if now%(5*time.Second) < time.Second {
				perSecond = 75
			}
			if r.Float64() > perSecond/1000 {
				continue
			}
			id++
			total++
			q := Request{
				ID: id, Bytes: min(360_000, int(60_000*(0.4+1.2*r.Float64()))), Priority: 1, Deadline: now + deadline, Objective: now + objective,
				MustMeetObjective: true,
			}
			totalBytes += q.Bytes
			for _, s := range [...]*simulated{narrow, wide} {
				d := s.link.Submit(now, q)
				if d.Started {
					s.start(now, q)
					break
				}
				if d.Queued {
					s.waiting[q.ID] = q
					break
				}
				s.refused++
				g.Expect(d.RetryAfter).To(BeNumerically(">", 0))
			}
		}
		narrow.advance(duration + deadline)
		wide.advance(duration + deadline)
		g.Expect(narrow.served+wide.served).To(Equal(total), "seed %d", seed)
		g.Expect(narrow.late+wide.late).To(BeZero(), "seed %d", seed)
		// The largest body takes 48 ms of the narrow link.
		g.Expect(narrow.longestSmallWait).To(BeNumerically("<=", 2*window), "seed %d", seed)
		g.Expect(narrow.served).To(BeNumerically(">", total/3), "seed %d", seed)
		g.Expect(narrow.refused).To(BeNumerically(">", 0), "seed %d", seed)
		g.Expect(narrow.link.UnderWay() + wide.link.UnderWay()).To(BeZero())
	}
}

// Guards against a body that is larger than the window and never starts, or that smaller ones pass for ever.
func TestBodyLargerThanWindowStarts(t *testing.T) {
	g := NewWithT(t)
	l := NewLink(16)
	large := Request{ID: 2, Bytes: 10 * l.windowBytes, Deadline: time.Hour, Objective: time.Hour}
	small := Request{ID: 1, Bytes: l.windowBytes / 2, Deadline: time.Hour, Objective: time.Hour}
	g.Expect(l.Submit(0, small).Started).To(BeTrue())
	g.Expect(l.Submit(0, large).Queued).To(BeTrue())
	small.ID = 3
	g.Expect(l.Submit(0, small).Queued).To(BeTrue())
	g.Expect(l.Finish(small.Bytes)).To(Equal([]uint64{2}))
	g.Expect(l.Finish(large.Bytes)).To(Equal([]uint64{3}))
	g.Expect(l.Waiting()).To(BeZero())
}

// Guards against less urgent bodies that are carried first, and against a cancelled one that keeps others waiting.
func TestUrgentBodiesComeFirst(t *testing.T) {
	g := NewWithT(t)
	l := NewLink(16)
	request := func(id uint64, priority int) Request {
		return Request{ID: id, Bytes: l.windowBytes, Priority: priority, Deadline: time.Hour, Objective: time.Hour}
	}
	g.Expect(l.Submit(0, request(1, 2)).Started).To(BeTrue())
	for id, priority := range []int{0, 0, 3, 1, 2} {
		if id >= 2 {
			g.Expect(l.Submit(0, request(uint64(id), priority)).Queued).To(BeTrue())
		}
	}
	g.Expect(l.Finish(l.windowBytes)).To(Equal([]uint64{3}))
	g.Expect(l.Cancel(4)).To(BeEmpty())
	g.Expect(l.Finish(l.windowBytes)).To(Equal([]uint64{2}))
}

// Guards against starting or holding a body that cannot arrive before its deadline.
func TestBodyBeyondDeadlineIsRefused(t *testing.T) {
	g := NewWithT(t)
	l := NewLink(16)
	g.Expect(l.Submit(0, Request{ID: 1, Bytes: 8 << 20, Deadline: time.Second, Objective: time.Second})).To(HaveField("Queued", false))
	g.Expect(l.UnderWay()).To(BeZero())
	g.Expect(l.Submit(0, Request{ID: 2, Bytes: 60_000, Deadline: time.Second, Objective: time.Second}).Started).To(BeTrue())
	late := l.Submit(0, Request{ID: 3, Bytes: 60_000, Deadline: 60 * time.Millisecond, Objective: 60 * time.Millisecond})
	g.Expect(late.Started || late.Queued).To(BeFalse())
	g.Expect(late.RetryAfter).To(BeNumerically(">", 0))
}
