package deliverysim

import (
	"fmt"
	"math"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// IdentitiesPerRun is the number of identities that the callers of one run use.
const IdentitiesPerRun = 25

// Report counts the outcomes and the errors of one or more runs.
type Report struct {
	Runs int
	// RunsWithDuplicates counts the simulations in which an identity ran more than once, and DuplicatedIdentities
	// these identities.
	RunsWithDuplicates, DuplicatedIdentities int
	// FalseNotRuns counts the wrong "not run" responses.
	FalseNotRuns int
	// Outcomes counts the responses to callers.
	Outcomes map[wire.Outcome]int
	// FirstFailingSeed is the first seed with a duplicated identity or a wrong "not run", or 0.
	FirstFailingSeed uint64
}

// RunSeeds adds the runs with the seeds from first to last, without the given safeguards.
func (r *Report) RunSeeds(first, last uint64, without safeguard.Set) {
	for seed := first; seed <= last; seed++ {
		r.add(seed, simulate(seed, without))
	}
}

func simulate(seed uint64, without safeguard.Set) *network {
	n := newNetwork(seed, without)
	n.scheduleFailures()
	for i := range IdentitiesPerRun {
		c := &caller{network: n, identity: fmt.Sprint(i)}
		n.time.After(n.randomDuration(0, 5*time.Second), c.attempt)
	}
	for n.time.RunNext(math.MaxInt64) {
	}
	return n
}

func (r *Report) add(seed uint64, n *network) {
	duplicated, falseNotRuns := 0, 0
	for _, count := range n.runCounts {
		if count > 1 {
			duplicated++
		}
	}
	for _, report := range n.notRunReports {
		if n.isFalse(report) {
			falseNotRuns++
		}
	}
	r.Runs++
	if duplicated > 0 {
		r.RunsWithDuplicates++
	}
	if duplicated+falseNotRuns > 0 && r.FirstFailingSeed == 0 {
		r.FirstFailingSeed = seed
	}
	r.DuplicatedIdentities += duplicated
	r.FalseNotRuns += falseNotRuns
	if r.Outcomes == nil {
		r.Outcomes = map[wire.Outcome]int{}
	}
	for outcome, count := range n.outcomes {
		r.Outcomes[outcome] += count
	}
}
