package retry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Load: all upstreams of a service reject 45% of what arrives for 8.5 s, as seen by a large and a small fleet, again and
// again. Guards against budgets that leave most of the allowed extra attempts unused, because the slack of a large fleet
// was divided once and never gained again, and against more extra attempts in a window than the bound.
func TestSlackIsGainedAgain(t *testing.T) {
	const window, ratio, boundRatio = 10 * time.Second, 0.16, 0.2
	for _, fleet := range []struct {
		nodes             int
		requestsPerSecond float64
		slack             float64
	}{{295, 1400, 630}, {12, 130, 56}} {
		t.Run(fmt.Sprint(fleet.nodes, " nodes"), func(t *testing.T) {
			g := NewWithT(t)
			r := rand.New(rand.NewPCG(uint64(fleet.nodes), 3))
			share := fleet.slack / float64(fleet.nodes)
			saved := min(2, 0.8*share)
			budgets := make([]*Budget, fleet.nodes)
			for i := range budgets {
				budgets[i] = NewProportionalBudget(0, saved/2, ratio)
				budgets[i].SetRefill(0, saved, (0.9*share-saved)/window.Seconds())
			}
			const length = 60
			var requests, extra [length]int
			rejected, retried := 0, 0
			for second := range length {
				grey := second%20 < 9
				for range int(fleet.requestsPerSecond) {
					now := time.Duration(second)*time.Second + time.Duration(r.Int64N(int64(time.Second)))
					b := budgets[r.IntN(fleet.nodes)]
					b.Deposit()
					requests[second]++
					for grey && r.Float64() < 0.45 {
						rejected++
						if !b.Withdraw(now) {
							break
						}
						retried++
						extra[second]++
					}
				}
			}
			for from := 0; from+10 <= length; from++ {
				inWindow, allowed := 0, fleet.slack
				for second := from; second < from+10; second++ {
					inWindow += extra[second]
					allowed += boundRatio * float64(requests[second])
				}
				g.Expect(float64(inWindow)).To(BeNumerically("<", allowed), "from second %d", from)
			}
			// At least half of what the bound allows in the three times of 9 s is used.
			g.Expect(float64(retried)).To(BeNumerically(">", 0.5*3*(9*boundRatio*fleet.requestsPerSecond+fleet.slack)))
			g.Expect(retried).To(BeNumerically("<", rejected))
		})
	}
}

// Guards against a budget that grows beyond its capacity while it is not used, and against one that keeps what it saved
// up when the fleet turns out to be larger.
func TestRefillIsBoundedByCapacity(t *testing.T) {
	g := NewWithT(t)
	b := NewProportionalBudget(0, 2, 0)
	b.SetRefill(0, 2, 1)
	g.Expect(b.Available(time.Hour)).To(BeTrue())
	g.Expect(b.Withdraw(time.Hour)).To(BeTrue())
	g.Expect(b.Withdraw(time.Hour)).To(BeTrue())
	g.Expect(b.Withdraw(time.Hour)).To(BeFalse())
	g.Expect(b.Withdraw(time.Hour + time.Second)).To(BeTrue())
	b.SetRefill(time.Hour+10*time.Second, 0.5, 0)
	g.Expect(b.Withdraw(2 * time.Hour)).To(BeTrue())
	g.Expect(b.Withdraw(2 * time.Hour)).To(BeFalse())
}
