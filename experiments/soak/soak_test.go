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
	testVMs    = 4
	testLength = 6 * time.Second
)

// program builds the node's program.
func program(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "bamboodeal-sidecar")
	if out, err := exec.Command("go", "build", "-o", path, "../../cmd/bamboodeal-sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// seeds returns the seeds of seeds.txt: that of the regular run and each that ever failed.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open("seeds.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var list []uint64
	for lines := bufio.NewScanner(file); lines.Scan(); {
		first, _, _ := strings.Cut(lines.Text(), " ")
		if first == "" || first == "#" {
			continue
		}
		seed, err := strconv.ParseUint(first, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, seed)
	}
	return list
}

// The guarantees hold in a short run of real processes and on each seed that ever failed.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	path := program(t)
	for _, seed := range seeds(t) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			log := logrus.New()
			log.SetLevel(logrus.WarnLevel)
			r, err := Run(context.Background(), Options{
				NodeProgram: path, Directory: t.TempDir(), Seed: seed, VMs: testVMs, FaultDuration: testLength, Log: log,
			})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Violations).To(BeEmpty(), "faults: %v", r.Faults)
			g.Expect(r.Counts["requests"]).To(BeNumerically(">", 100))
		})
	}
}

// The ledger has to see each kind of broken guarantee.
func TestTheLedgerSeesBrokenGuarantees(t *testing.T) {
	o := order{id: "a", method: "POST", path: "/write/a", team: "red", callerWorker: "alpha", services: []string{"beta"}}
	once := func(l *ledger) {
		l.ran(o, "beta", false, false, run{upstream: "u", stamp: "s", status: 200, at: time.Now()})
	}
	for guarantee, breaks := range map[string]func(l *ledger){
		"twice":   func(l *ledger) { once(l); once(l) },
		"refused": func(l *ledger) { once(l); l.answered("a", 503, "a", "", "") },
		"route":   func(l *ledger) { l.ran(o, "alpha", false, false, run{}) },
		"unasked": func(l *ledger) { l.ran(o, "beta", true, false, run{}) },
		"mixed":   func(l *ledger) { once(l); l.answered("a", 200, "a", "s", "another body") },
		"quota": func(l *ledger) {
			for range 400 {
				l.teamRuns["red"] = append(l.teamRuns["red"], time.Now())
			}
		},
		"cold": func(l *ledger) {
			for range 60 {
				l.coldRuns["u"] = append(l.coldRuns["u"], time.Now())
			}
		},
	} {
		t.Run(guarantee, func(t *testing.T) {
			g := NewWithT(t)
			l := newLedger()
			l.sent(o)
			breaks(l)
			l.close(map[string][2]float64{"red": {12, 12}}, coldRate)
			g.Expect(l.violations).To(HaveKey(guarantee))
			g.Expect(l.violations).To(HaveLen(1))
		})
	}
}
