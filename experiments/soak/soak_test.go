package soak

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

const (
	testVMs           = 4
	testFaultDuration = 6 * time.Second
	// plannedVMs, plannedSeed and plannedDuration are those of the short planned run.
	plannedVMs      = 6
	plannedSeed     = 1
	plannedDuration = 10 * time.Second
)

// buildNode builds the node's program and returns its path.
func buildNode(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bamboodeal-sidecar")
	if out, err := exec.Command("go", "build", "-o", path, "../../cmd/bamboodeal-sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// readSeeds returns the seeds of seeds.txt: the one of the regular run and each that ever failed.
func readSeeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var seeds []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		first, _, _ := strings.Cut(lines.Text(), " ")
		if first == "" || first == "#" {
			continue
		}
		seed, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, seed)
	}
	return seeds
}

// Guards against violations of the guarantees in a short run of real processes, with each seed of seeds.txt.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	nodeProgram := buildNode(t)
	for _, seed := range readSeeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := logrus.New()
			log.SetLevel(logrus.WarnLevel)
			r, err := Run(context.Background(), Options{
				NodeProgram: nodeProgram, Directory: t.TempDir(), Seed: seed, VMs: testVMs, FaultDuration: testFaultDuration, Log: log,
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Violations).To(BeEmpty(), "faults: %v", r.Faults)
			g.Expect(r.Counts["requests"]).To(BeNumerically(">", 100))
		})
	}
}

// Guards against requests that are lost around planned work under high load, in a short run of real processes.
func TestNothingIsLostAroundPlannedWork(t *testing.T) {
	g := NewWithT(t)
	log := logrus.New()
	log.SetLevel(logrus.WarnLevel)
	r, err := Run(context.Background(), Options{
		NodeProgram: buildNode(t), Directory: t.TempDir(), Seed: plannedSeed, Kind: KindPlanned, VMs: plannedVMs,
		FaultDuration: plannedDuration, Log: log,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(r.Violations).To(BeEmpty(), "planned work: %v", r.Faults)
	g.Expect(r.Counts["requests"]).To(BeNumerically(">", 1000))
	g.Expect(r.Counts["repeats"]).To(BeNumerically(">", 0), "no attempt timed out and was repeated")
}

// Guards against a ledger that misses a violation: each kind of violation has to be reported, and no other one with it.
func TestLedgerReportsBrokenGuarantees(t *testing.T) {
	spec := requestSpec{id: "a", method: "POST", path: "/write/a", team: "red", callerWorker: "alpha", services: []string{"beta"}}
	execute := func(l *ledger) {
		l.recordExecution(spec, "beta", false, false, execution{upstream: "u", stamp: "s", status: 200, at: time.Now()})
	}
	for guarantee, violate := range map[string]func(l *ledger){
		"twice":   func(l *ledger) { execute(l); execute(l) },
		"refused": func(l *ledger) { execute(l); l.checkResponse("a", 503, "a", "", "") },
		"route":   func(l *ledger) { l.recordExecution(spec, "alpha", false, false, execution{}) },
		"unasked": func(l *ledger) { l.recordExecution(spec, "beta", true, false, execution{}) },
		"mixed":   func(l *ledger) { execute(l); l.checkResponse("a", 200, "a", "s", "another body") },
		"quota": func(l *ledger) {
			for range 400 {
				l.executionTimesByTeam["red"] = append(l.executionTimesByTeam["red"], time.Now())
			}
		},
		"cold": func(l *ledger) {
			for range 60 {
				l.coldExecutionTimesByUpstream["u"] = append(l.coldExecutionTimesByUpstream["u"], time.Now())
			}
		},
	} {
		t.Run(guarantee, func(t *testing.T) {
			g := NewWithT(t)
			l := newLedger()
			l.recordRequest(spec)
			violate(l)
			l.checkRateBounds(map[string][2]float64{"red": {12, 12}}, coldRequestsPerSecond)
			g.Expect(l.violations).To(HaveKey(guarantee))
			g.Expect(l.violations).To(HaveLen(1))
		})
	}
}
