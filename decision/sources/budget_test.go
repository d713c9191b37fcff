package sources

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// condition is what a simulated disruption does to a node.
type condition string

const (
	works     condition = "works"
	cutOff    condition = "cut off"
	frozen    condition = "frozen"
	resets    condition = "resets connections"
	slow      condition = "slow"
	storeLost condition = "has lost the store"
)

const (
	simStep = 5 * time.Millisecond
	// simRetryPause and simReadInterval are the pauses of a node between two reads.
	simRetryPause   = 20 * time.Millisecond
	simReadInterval = 100 * time.Millisecond
)

// simNode is a simulated node that follows the store.
type simNode struct {
	Member
	condition
	selector    *Selector
	confirmedAt time.Duration
	source      string
	startedAt   time.Duration
	limits      Limits
	reading     bool
	nextReadAt  time.Duration
	storeReads  int
}

// simFleet is a simulated fleet whose store works and does not change, so that nodes are kept waiting the longest.
type simFleet struct {
	r       *rand.Rand
	budget  Budget
	members []Member
	nodes   map[string]*simNode
	now     time.Duration
	// answerDelay is the time that an answer takes at a slow node.
	slowDelay time.Duration
}

func newSimFleet(seed uint64, dataCentres, perDataCentre int, wide func(i int) bool, bound time.Duration) *simFleet {
	f := &simFleet{r: rand.New(rand.NewPCG(seed, 7)), budget: NewBudget(bound), nodes: map[string]*simNode{}}
	for i := range dataCentres * perDataCentre {
		m := Member{VM: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%dataCentres), WideLink: wide(i)}
		f.members = append(f.members, m)
		f.nodes[m.VM] = &simNode{Member: m, condition: works, selector: NewSelector(m.VM, m.DataCentre, f.budget), nextReadAt: time.Duration(f.r.IntN(300)) * time.Millisecond}
	}
	return f
}

// play lets time pass and returns the longest time for which what a working node had was not confirmed.
func (f *simFleet) play(span time.Duration) (oldest time.Duration) {
	for until := f.now + span; f.now < until; f.now += simStep {
		for _, m := range f.members {
			n := f.nodes[m.VM]
			if n.condition == frozen {
				continue
			}
			f.step(n)
			if n.condition == works {
				oldest = max(oldest, f.now-n.confirmedAt)
			}
		}
	}
	return oldest
}

func (f *simFleet) step(n *simNode) {
	if !n.reading {
		if f.now >= n.nextReadAt {
			age := f.now - n.confirmedAt
			n.source, n.startedAt, n.reading = n.selector.Next(f.now, f.members, age), f.now, true
			n.limits = n.selector.Limits(n.source, age, false)
			if n.source == Store {
				n.storeReads++
			}
		}
		return
	}
	answered, failed, age := f.answer(n)
	switch {
	case answered:
		n.selector.RecordAnswer(n.source)
		n.confirmedAt = max(n.confirmedAt, f.now-age)
		n.reading, n.nextReadAt = false, max(f.now, n.startedAt+simReadInterval)
	case failed || f.now-n.startedAt >= n.limits.Timeout:
		if failed && n.source != Store && f.nodes[n.source].condition != resets {
			n.selector.RecordRefusal(f.now, n.source)
		} else {
			n.selector.RecordFailure(f.now, n.source)
		}
		n.reading, n.nextReadAt = false, f.now+simRetryPause
	}
}

// answer returns whether the read of a node is answered or fails now, and the age of the answer.
func (f *simFleet) answer(n *simNode) (answered, failed bool, age time.Duration) {
	const networkDelay = 10 * time.Millisecond
	passed, delay := f.now-n.startedAt, networkDelay
	if n.source == Store {
		return n.condition != cutOff && n.condition != storeLost && passed >= n.limits.Wait+delay, false, delay
	}
	source := f.nodes[n.source]
	switch {
	case source.condition == resets || n.condition == resets:
		return false, passed >= delay, 0
	case source.condition == frozen || source.condition == cutOff || n.condition == cutOff:
		return false, false, 0
	case source.condition == slow:
		delay = f.slowDelay
	}
	age = f.now - source.confirmedAt
	if age > f.budget.MaxStoreAge() {
		return false, passed >= delay, 0
	}
	return passed >= n.limits.Wait+delay, false, age + delay
}

// storeReaders returns the nodes that read the store.
func (f *simFleet) storeReaders() (list []*simNode) {
	for _, m := range f.members {
		if n := f.nodes[m.VM]; n.storeReads > 0 {
			list = append(list, n)
		}
		f.nodes[m.VM].storeReads = 0
	}
	return list
}

// Load: readers are lost while nodes follow them, in fleets of one to four data centres. Guards against a node that reaches the
// store and other nodes but learns of a withdrawn key, a moved route, an evacuation or an upstream that left later than its
// bound, because it waits for each lost source in turn.
func TestChangeIsInForceInTimeWhateverSourcesFail(t *testing.T) {
	links := map[string]func(int) bool{
		"wide": func(int) bool { return true }, "narrow": func(int) bool { return false }, "few wide": func(i int) bool { return i%7 == 3 },
	}
	for _, bound := range []time.Duration{DefaultChangeBound, 3 * time.Second} {
		for name, wide := range links {
			for dataCentres := 1; dataCentres <= 4; dataCentres++ {
				for _, perDataCentre := range []int{4, 30} {
					for _, trouble := range []condition{cutOff, frozen, resets, slow, storeLost} {
						for _, share := range []float64{0, 0.35} {
							t.Run(fmt.Sprint(bound, " links ", name, " ", dataCentres, "x", perDataCentre, " ", trouble, " ", share), func(t *testing.T) {
								g := NewWithT(t)
								f := newSimFleet(uint64(dataCentres*perDataCentre), dataCentres, perDataCentre, wide, bound)
								f.play(6 * time.Second)
								f.storeReaders()
								f.play(2 * time.Second)
								// The readers are lost, and a share of the other nodes, at a time that differs between the cases.
								f.play(time.Duration(f.r.IntN(1000)) * time.Millisecond)
								f.slowDelay = time.Duration(200+f.r.IntN(1000)) * time.Millisecond
								lost := f.storeReaders()
								for _, m := range f.members {
									if f.r.Float64() < share {
										lost = append(lost, f.nodes[m.VM])
									}
								}
								for _, n := range lost {
									n.condition = trouble
								}
								oldest := f.play(8 * time.Second)
								t.Logf("%d of %d nodes, oldest %v", len(lost), len(f.members), oldest)
								g.Expect(oldest).To(BeNumerically("<=", bound-effectReserve))
								for _, n := range lost {
									n.condition = works
									n.confirmedAt = f.now
								}
								g.Expect(f.play(8 * time.Second)).To(BeNumerically("<=", bound-effectReserve))
							})
						}
					}
				}
			}
		}
	}
}

// Guards against followers that read the store for seconds after its return, because their readers had told them that it was
// away: such a reader is asked again after the shortest backoff each time. One that gives no answer costs an attempt each
// time, so it is asked less often, until it answers.
func TestBackoffDependsOnWhetherSourceAnswers(t *testing.T) {
	g := NewWithT(t)
	members := newMembers(4)
	s := newSelector("north-1", "north")
	s.Next(0, members, 0)
	reader := s.Next(0, members, 0)
	g.Expect(reader).NotTo(Equal(Store))
	now := time.Duration(0)
	backoff := func() time.Duration {
		s.RecordAnswer(Store)
		for from := now; ; now += 100 * time.Millisecond {
			if s.Next(now, members, 0) == reader {
				return now - from
			}
			s.nextRendezvous = now + time.Minute
		}
	}
	for range 4 {
		s.RecordRefusal(now, reader)
		g.Expect(backoff()).To(Equal(failureBackoff))
	}
	for _, expected := range []time.Duration{1, 2, 4, 4} {
		s.RecordFailure(now, reader)
		g.Expect(backoff()).To(Equal(expected * failureBackoff))
	}
	g.Expect(s.Limits(reader, 0, false).Wait).To(Equal(probeWait))
	s.RecordAnswer(reader)
	g.Expect(s.Limits(reader, 0, false)).To(Equal(Limits{ReadWait, ReadWait + AnswerMargin}))
	s.RecordFailure(now, reader)
	g.Expect(backoff()).To(Equal(failureBackoff))
}

// Guards against followers that leave a busy reader because a short wait leaves it little time, and against one that is
// given more time than is left.
func TestLimitsFollowFromTimeThatIsLeft(t *testing.T) {
	g := NewWithT(t)
	s := newSelector("north-1", "north")
	s.Next(0, newMembers(4), 0)
	for age := time.Duration(0); age < DefaultChangeBound-effectReserve-storeReserve-minAttempt; age += 50 * time.Millisecond {
		l := s.Limits("south-1", age, false)
		g.Expect(l.Timeout).To(BeNumerically("<=", DefaultChangeBound-effectReserve-storeReserve-age))
		g.Expect(l.Wait).To(SatisfyAny(Equal(probeWait), BeNumerically("<=", l.Timeout-minAnswerMargin)))
	}
	g.Expect(s.Limits("south-1", 640*time.Millisecond, false)).To(Equal(Limits{ReadWait, ReadWait + AnswerMargin}), "readers in calm")
	g.Expect(s.Limits(Store, time.Minute, false)).To(Equal(Limits{ReadWait, ReadWait + storeAnswerMargin}), "nothing is left")
	g.Expect(s.Limits(Store, 0, true).Timeout).To(Equal(wholeReadTimeout))
}
