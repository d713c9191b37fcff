package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// The extra attempts never exceed a tenth of the first attempts plus the floor.
func TestBudgetLimitsExtraAttempts(t *testing.T) {
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

// An idle node can retry, and a budget that is used up refills with time and with first attempts.
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

// chain counts the attempts at each depth of a chain of calls in which each attempt fails with probability p. Half of
// the failures are refusals before the call ran, the other half are lost answers.
type chain struct {
	rng      *rand.Rand
	p        float64
	attempts [depth]int
}

func (c *chain) call(level, left int) (answered bool) {
	budget := NewChainBudget(left)
	for {
		forwarded := budget.AllocateForwarded()
		c.attempts[level]++
		switch {
		case c.rng.Float64() < c.p/2:
			// The call was refused before it ran, so no deeper call was made.
			budget.ReclaimForwarded()
		case (level+1 == depth || c.call(level+1, forwarded)) && c.rng.Float64() >= c.p/2:
			return true
		}
		if !budget.Withdraw() {
			return false
		}
	}
}

// callWithoutBudget counts the attempts if each level retries once, without a shared budget.
func (c *chain) callWithoutBudget(level, levels int) bool {
	for range 2 {
		c.attempts[level]++
		if (level+1 == levels || c.callWithoutBudget(level+1, levels)) && c.rng.Float64() >= c.p {
			return true
		}
	}
	return false
}

// Attempts must not multiply along a chain of calls, here of 23.
func TestChainBudgetBoundsAttemptsAtAnyDepth(t *testing.T) {
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
	c.callWithoutBudget(0, 12)
	t.Logf("one retry at each of 12 levels without a shared budget: %d attempts at the deepest level", c.attempts[11])
	g.Expect(c.attempts[11]).To(Equal(1 << 12))
}
