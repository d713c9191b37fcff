package trafficsim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/internal/seeds"
)

// Guards against calls that are lost when a data centre stops after a version has taken it out of service, and against
// a simulation that would not detect this: the baseline, which learns of the stop too late, must lose calls to
// upstreams that do not answer.
func TestEvacuationLosesNoCalls(t *testing.T) {
	g := NewWithT(t)
	for seed := range seeds.Count(t, 3) {
		lost := map[bool]int{}
		for _, baseline := range []bool{false, true} {
			sim := NewWithSize(seed, 250*time.Millisecond, baseline, Size{Upstreams: 4, Slots: 6, DataCentres: 4, EntryNodes: 16})
			sim.OnCall = func(_ string, _ time.Duration, served bool) {
				if served {
					lost[baseline]--
				} else {
					lost[baseline]++
				}
			}
			sim.ScheduleEvacuation(Evacuation{
				DataCentre: "d1", TakenOutAt: 2 * time.Second, DownAt: 7 * time.Second, UpAt: 20 * time.Second,
				ListLag: 5 * time.Second, SilentFailure: true,
			})
			sim.Offer("t", 700, 12*time.Second)
			sim.Run(13 * time.Second)
		}
		g.Expect(lost[false]).To(BeZero(), "seed %d", seed)
		g.Expect(lost[true]).To(BeNumerically(">", 20), "seed %d", seed)
	}
}
