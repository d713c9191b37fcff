package trafficsim

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/internal/seeds"
)

// Guards against calls that are lost while a data centre is away although the version took it out before, and against
// a mesh that would not show the loss: the baseline, which follows a late list, loses calls to silent upstreams.
func TestADataCentreThatLeavesCostsNoCalls(t *testing.T) {
	g := NewWithT(t)
	for seed := range seeds.Count(t, 3) {
		lost := map[bool]int{}
		for _, baseline := range []bool{false, true} {
			m := NewWithSize(seed, 250*time.Millisecond, baseline, Size{Upstreams: 4, Slots: 6, DataCentres: 4, EntryNodes: 16})
			m.OnCall = func(_ string, _ time.Duration, served bool) {
				if served {
					lost[baseline]--
				} else {
					lost[baseline]++
				}
			}
			m.ScheduleEvacuation(Evacuation{
				DataCentre: "d1", TakenOutAt: 2 * time.Second, DownAt: 7 * time.Second, UpAt: 20 * time.Second,
				ListLag: 5 * time.Second, SilentFailure: true,
			})
			m.Offer("t", 700, 12*time.Second)
			m.Run(13 * time.Second)
		}
		g.Expect(lost[false]).To(BeZero(), "seed %d", seed)
		g.Expect(lost[true]).To(BeNumerically(">", 20), "seed %d", seed)
	}
}
