package delivery_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/internal/deliverysim"
	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
	"github.com/bamboodeal/bamboodeal/decision/internal/seeds"
)

// Guards against a second run of an identity and against a "not run" for a call that ran.
func TestAtMostOnceAndTrueNotRun(t *testing.T) {
	g := NewWithT(t)
	var r deliverysim.Report
	r.RunSeeds(1, seeds.Count(t, 60), 0)
	t.Logf("%+v", r)
	g.Expect(r.DuplicatedIdentities).To(BeZero(), "identities that ran twice; first bad seed %d", r.FirstFailingSeed)
	g.Expect(r.FalseNotRuns).To(BeZero(), "false not run; first bad seed %d", r.FirstFailingSeed)
	g.Expect(r.Outcomes[wire.OutcomeRan]).To(BeNumerically(">", r.Runs*deliverysim.IdentitiesPerRun/2), "the runs must serve calls")
}

var mechanisms = []struct {
	name    string
	without safeguard.Set
	// frequent is true when the doubles it prevents are seen within a number of seeds that suits CI.
	frequent bool
}{
	{"none", 0, false},
	{"epoch fence", safeguard.EpochFence, true},
	{"start quarantine", safeguard.StartQuarantine, false},
	{"deadline check after the epoch", safeguard.DeadlineCheck, true},
	{"bar round", safeguard.IdentityBarring, true},
	{"memory of refused calls", safeguard.RefusalRecord, true},
	{"pause check at the entry node", safeguard.PauseCheck, true},
	{"settling of candidates", safeguard.SettlingDelay, false},
	{"eligibility of the controller", safeguard.EligibilityCheck, false},
	{"check for skipped sets", safeguard.SkippedVersionCheck, false},
}

// Guards against a proof that would also pass without the mechanism.
func TestEachMechanismIsNeeded(t *testing.T) {
	g := NewWithT(t)
	const limit = 2000
	for _, m := range mechanisms {
		if !m.frequent {
			continue
		}
		var r deliverysim.Report
		for seed := uint64(1); seed <= limit && r.FirstFailingSeed == 0; seed++ {
			r.RunSeeds(seed, seed, m.without)
		}
		t.Logf("without %s: first bad seed %d", m.name, r.FirstFailingSeed)
		g.Expect(r.FirstFailingSeed).NotTo(BeZero(), "nothing went wrong without the %s in %d seeds", m.name, limit)
	}
}

// Prints the table of docs/measurements/delivery.md.
func TestMeasureMechanisms(t *testing.T) {
	count := seeds.Count(t, 0)
	if count == 0 {
		t.Skip("set BAMBOODEAL_SEEDS to measure")
	}
	for _, m := range mechanisms {
		var r deliverysim.Report
		r.RunSeeds(1, count, m.without)
		t.Logf("| %s | %d | %d | %d | %d | %d | %d |", m.name, r.RunsWithDuplicates, r.DuplicatedIdentities, r.FalseNotRuns,
			r.Outcomes[wire.OutcomeRan], r.Outcomes[wire.OutcomeNotRun], r.Outcomes[wire.OutcomeUnknown])
	}
}
