package delivery_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/deliverysim"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
	"github.com/bamboodeal/bamboodeal/decision/internal/seeds"
)

// Guards against identities that run twice and against "not run" for calls that ran.
func TestAtMostOnceAndNotRunIsTrue(t *testing.T) {
	g := NewWithT(t)
	var r deliverysim.Report
	r.RunSeeds(1, seeds.Count(t, 60), 0)
	t.Logf("%+v", r)
	g.Expect(r.DuplicatedIdentities).To(BeZero(), "identities that ran twice; first failing seed %d", r.FirstFailingSeed)
	g.Expect(r.FalseNotRuns).To(BeZero(), "calls that ran and were reported as not run; first failing seed %d", r.FirstFailingSeed)
	g.Expect(r.Outcomes[wire.OutcomeRan]).To(BeNumerically(">", r.Runs*deliverysim.IdentitiesPerRun/2), "more than half of the calls must be answered")
}

// safeguards are the cases of the tests without a safeguard.
var safeguards = []struct {
	name     string
	disabled safeguard.Set
	// frequent is true if failures without the safeguard occur within the number of seeds that CI can run.
	frequent bool
}{
	{"none", 0, false},
	{"epoch fence", safeguard.EpochFence, true},
	{"start quarantine", safeguard.StartQuarantine, false},
	{"deadline check after the epoch", safeguard.DeadlineCheck, true},
	{"bar round", safeguard.IdentityBarring, true},
	{"memory of refused calls", safeguard.RefusalRecord, true},
	{"pause check at the entry node", safeguard.PauseCheck, true},
	{"settling delay of candidates", safeguard.SettlingDelay, false},
	{"eligibility check of the controller", safeguard.EligibilityCheck, false},
	{"check for skipped sets", safeguard.SkippedVersionCheck, false},
}

// Guards against a simulation that does not notice failures: without each of the safeguards some seed must fail.
func TestEachSafeguardIsNeeded(t *testing.T) {
	g := NewWithT(t)
	const limit = 2000
	for _, s := range safeguards {
		if !s.frequent {
			continue
		}
		var r deliverysim.Report
		for seed := uint64(1); seed <= limit && r.FirstFailingSeed == 0; seed++ {
			r.RunSeeds(seed, seed, s.disabled)
		}
		t.Logf("without %s: first failing seed %d", s.name, r.FirstFailingSeed)
		g.Expect(r.FirstFailingSeed).NotTo(BeZero(), "no failure without the %s in %d seeds", s.name, limit)
	}
}

// Prints the table of docs/measurements/delivery.md.
func TestMeasureSafeguards(t *testing.T) {
	count := seeds.Count(t, 0)
	if count == 0 {
		t.Skip("set BAMBOODEAL_SEEDS to measure")
	}
	for _, s := range safeguards {
		var r deliverysim.Report
		r.RunSeeds(1, count, s.disabled)
		t.Logf("| %s | %d | %d | %d | %d | %d | %d |", s.name, r.RunsWithDuplicates, r.DuplicatedIdentities, r.FalseNotRuns,
			r.Outcomes[wire.OutcomeRan], r.Outcomes[wire.OutcomeNotRun], r.Outcomes[wire.OutcomeUnknown])
	}
}
