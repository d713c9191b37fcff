package allowance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
)

func namesOf(kind string, count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("%s%d", kind, i)
	}
	return names
}

// Guards against an index that differs from the order of RankedHolders after any series of changes: two nodes would then
// disagree on a holder, and both would grant the team's whole rate.
func TestHolderIndexAgreesWithRankedHolders(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(11, 0))
	vms, teams := namesOf("10.0.0.", 40), namesOf("team", 25)
	index := NewHolderIndex()
	for step := range 300 {
		random.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
		listed := slices.Clone(vms[:random.IntN(len(vms)+1)])
		slices.Sort(listed)
		known := teams[:random.IntN(len(teams)+1)]
		index.Update(known, listed)
		for i, team := range teams {
			want := ""
			if ranked := RankedHolders(team, listed); i < len(known) && len(ranked) > 0 {
				want = ranked[0]
			}
			g.Expect(index.Holder(team)).To(Equal(want), "step %d, team %s", step, team)
		}
	}
}

// Guards against processor time that grows with the number of teams times the number of VMs at each change of the mesh:
// while the nodes of a large fleet start one after the other, each of them sees several changes a second.
func TestChangesOfLargeFleetCostFewHashes(t *testing.T) {
	g := NewWithT(t)
	const vmCount, teamCount = 470, 190
	vms, teams := namesOf("10.0.0.", vmCount), namesOf("team", teamCount)
	index := NewHolderIndex()
	index.Update(teams, vms)
	index.hashes = 0
	index.Update(teams, vms)
	g.Expect(index.hashes).To(BeZero(), "nothing changed")
	for n := range vms {
		rest := slices.Concat(vms[:n], vms[n+1:])
		index.Update(teams, rest)
		index.Update(teams, vms)
	}
	perChange := float64(index.hashes) / (2 * vmCount)
	t.Logf("%.0f hashes for each change of %d VMs and %d teams", perChange, vmCount, teamCount)
	g.Expect(perChange).To(BeNumerically("<=", 1.1*teamCount))
}
