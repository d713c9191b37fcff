package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against more extra attempts than a tenth of the first ones and the floor of an idle node.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		b, now, deposits, withdrawals := NewBudget(0), time.Duration(0), 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				n := rapid.IntRange(1, 50).Draw(t, "first attempts")
				deposits += n
				for range n {
					b.Deposit()
				}
			case 1:
				if b.Withdraw(now) {
					withdrawals++
				}
			case 2:
				now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
			}
			bound := 0.1*float64(deposits) + floorCapacity + now.Seconds()/floorInterval.Seconds()
			g.Expect(float64(withdrawals)).To(BeNumerically("<=", bound+0.001))
		}
	})
}

// Guards against an idle node that can never retry, and a budget that does not come back.
func TestBudgetFloorAndRefill(t *testing.T) {
	g := NewWithT(t)
	b := NewBudget(0)
	g.Expect([]bool{b.Withdraw(0), b.Withdraw(0), b.Withdraw(0)}).To(Equal([]bool{true, true, false}))
	g.Expect(b.Withdraw(floorInterval)).To(BeTrue())
	for range 10 {
		b.Deposit()
	}
	g.Expect(b.Withdraw(floorInterval)).To(BeTrue())
	g.Expect(b.Withdraw(floorInterval)).To(BeFalse())
}

const depth = 23

// chain counts the attempts at each depth of one call whose attempts fail with probability p: half of the failures
// are certain refusals, half are lost answers.
type chain struct {
	rng      *rand.Rand
	p        float64
	attempts [depth]int
}

func (c *chain) call(level, left int) (answered bool) {
	budget := NewChainBudget(left)
	for {
		forward := budget.AllocateForwarded()
		c.attempts[level]++
		switch {
		case c.rng.Float64() < c.p/2:
			// Refused before anything ran further down.
			budget.ReclaimForwarded()
		case (level+1 == depth || c.call(level+1, forward)) && c.rng.Float64() >= c.p/2:
			return true
		}
		if !budget.Withdraw() {
			return false
		}
	}
}

// plain counts the attempts at the deepest level when each level retries once on its own.
func (c *chain) plain(level, levels int) bool {
	for range 2 {
		c.attempts[level]++
		if (level+1 == levels || c.plain(level+1, levels)) && c.rng.Float64() >= c.p {
			return true
		}
	}
	return false
}

// Guards against attempts that multiply along a chain of calls.
func TestChainOf23(t *testing.T) {
	g := NewWithT(t)
	for _, p := range []float64{0.01, 0.1, 0.5, 1} {
		worst := 0
		for seed := range uint64(500) {
			c := &chain{rng: rand.New(rand.NewPCG(seed, 5)), p: p}
			c.call(0, MaxChainRetries)
			for _, n := range c.attempts {
				worst = max(worst, n)
			}
		}
		t.Logf("p=%v: at most %d attempts at any depth", p, worst)
		g.Expect(worst).To(BeNumerically("<=", 1+MaxChainRetries))
	}
	// The baseline at half the depth, because 2^23 attempts take too long.
	c := &chain{rng: rand.New(rand.NewPCG(1, 5)), p: 1}
	c.plain(0, 12)
	t.Logf("one plain retry at each of 12 levels: %d attempts at the last", c.attempts[11])
	g.Expect(c.attempts[11]).To(Equal(1 << 12))
}
