package deliverysim

import (
	"fmt"
	"math"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// IdentitiesPerRun is the number of identities that callers use in one run.
const IdentitiesPerRun = 25

// Report counts what went wrong, and what callers were told, in one or more runs.
type Report struct {
	Runs int
	// RunsWithDuplicates counts runs with a doubled identity, DuplicatedIdentities counts these identities.
	RunsWithDuplicates, DuplicatedIdentities int
	FalseNotRuns                             int
	Outcomes                                 map[wire.Outcome]int
	// FirstFailingSeed is the first seed with a double or a false "not run"; 0 when there was none.
	FirstFailingSeed uint64
}

// RunSeeds adds the seeded runs from first to last, without the given mechanisms.
func (r *Report) RunSeeds(first, last uint64, without safeguard.Set) {
	for seed := first; seed <= last; seed++ {
		r.add(seed, simulate(seed, without))
	}
}

func simulate(seed uint64, without safeguard.Set) *network {
	n := newNetwork(seed, without)
	n.disturb()
	for i := range IdentitiesPerRun {
		c := &caller{n: n, identity: fmt.Sprint(i)}
		n.time.After(n.between(0, 5*time.Second), c.attempt)
	}
	for n.time.RunNext(math.MaxInt64) {
	}
	return n
}

func (r *Report) add(seed uint64, n *network) {
	doubled, lied := 0, 0
	for _, count := range n.runs {
		if count > 1 {
			doubled++
		}
	}
	for _, told := range n.notRun {
		if n.falsified(told) {
			lied++
		}
	}
	r.Runs++
	if doubled > 0 {
		r.RunsWithDuplicates++
	}
	if doubled+lied > 0 && r.FirstFailingSeed == 0 {
		r.FirstFailingSeed = seed
	}
	r.DuplicatedIdentities += doubled
	r.FalseNotRuns += lied
	if r.Outcomes == nil {
		r.Outcomes = map[wire.Outcome]int{}
	}
	for outcome, count := range n.tally {
		r.Outcomes[outcome] += count
	}
}
