// Command bamboodeal-soak injects random faults into node processes on loopback and checks the guarantees of the
// system.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/mattn/go-isatty"
	"github.com/sirupsen/logrus"

	"github.com/bamboodeal/bamboodeal/experiments/soak"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	exitViolations = 1
	exitArguments  = 2
	exitFailure    = 3
)

const (
	// maxVMs keeps a soak run within a few hundred processes.
	maxVMs = 120
	// freshSeedRange is the exclusive upper bound of randomly chosen seeds; it keeps them short enough to type.
	freshSeedRange = 1_000_000
	dirPerm        = 0o750
)

var errInvalidArguments = errors.New("invalid arguments")

// arguments holds the values of the command line. With minutes above 0, random seeds are used until that time has
// passed.
type arguments struct {
	nodeProgram, workDirectory string
	kind                       string
	firstSeed, seedCount       int
	minutes                    float64
	vmCount, faultSeconds      int
}

func main() {
	a := arguments{
		nodeProgram: ".bin/bamboodeal-sidecar", workDirectory: ".soak", kind: string(soak.KindFaults),
		firstSeed: 1, seedCount: 1, vmCount: 6, faultSeconds: 15,
	}
	flaggy.SetName("bamboodeal-soak")
	flaggy.SetDescription("plays random faults against nodes on loopback; writes a line of JSON for each seed and one at the end")
	flaggy.SetVersion(version)
	flaggy.String(&a.nodeProgram, "", "program", "program of the node")
	flaggy.String(&a.workDirectory, "", "work-directory", "directory for settings and logs; those of a seed that kept all guarantees are removed")
	flaggy.String(&a.kind, "", "kind", "kind of run: faults (random faults of all kinds), planned (stops, SIGHUP and versions only, under high load) or demand (random faults under demand that swings, without teams)")
	flaggy.Int(&a.firstSeed, "", "seed", "first seed")
	flaggy.Int(&a.seedCount, "", "seeds", "number of seeds from the first on")
	flaggy.Float64(&a.minutes, "", "minutes", "play fresh seeds for so many minutes instead")
	flaggy.Int(&a.vmCount, "", "vms", "number of nodes, each a process")
	flaggy.Int(&a.faultSeconds, "", "seconds", "time in which faults begin, for each seed")
	flaggy.Parse()
	if err := a.validate(); err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-soak:", err)
		os.Exit(exitArguments)
	}
	failedCount, err := a.runSeeds()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-soak:", err)
		os.Exit(exitFailure)
	}
	if failedCount > 0 {
		os.Exit(exitViolations)
	}
}

// validate checks the arguments and makes the path of the node's program absolute.
func (a *arguments) validate() error {
	switch {
	case !slices.Contains([]soak.Kind{soak.KindFaults, soak.KindPlanned, soak.KindDemand}, soak.Kind(a.kind)):
		return fmt.Errorf("%w: --kind is unknown; give %s, %s or %s", errInvalidArguments, soak.KindFaults, soak.KindPlanned, soak.KindDemand)
	case a.firstSeed < 0 || a.seedCount < 1:
		return fmt.Errorf("%w: --seed or --seeds is too small; give a --seed of at least 0 and --seeds of at least 1", errInvalidArguments)
	case a.minutes < 0:
		return fmt.Errorf("%w: --minutes is negative; give 0 or a positive number", errInvalidArguments)
	case a.vmCount < 2 || a.vmCount > maxVMs:
		return fmt.Errorf("%w: --vms is out of range; give a number from 2 to %d", errInvalidArguments, maxVMs)
	case a.faultSeconds < 1:
		return fmt.Errorf("%w: --seconds is not positive; give a number of at least 1", errInvalidArguments)
	}
	path, err := filepath.Abs(a.nodeProgram)
	if err != nil {
		return err
	}
	if _, err := os.Stat(path); err != nil {
		return fmt.Errorf("%w: --program: cannot find the node's program: %w; build it with scripts/soak.sh", errInvalidArguments, err)
	}
	a.nodeProgram = path
	return nil
}

// runSeeds runs the soak for each seed and returns the number of seeds with a violated guarantee.
func (a *arguments) runSeeds() (failedCount int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	started := time.Now()
	var seeds, failed []uint64
	out := json.NewEncoder(os.Stdout)
	for n := 0; ctx.Err() == nil; n++ {
		seed := uint64(a.firstSeed + n)
		if a.minutes > 0 {
			seed = rand.Uint64N(freshSeedRange)
		}
		if (a.minutes == 0 && n == a.seedCount) || (a.minutes > 0 && time.Since(started).Minutes() >= a.minutes) {
			break
		}
		r, err := a.runSeed(ctx, seed)
		if err != nil {
			return 0, fmt.Errorf("seed %d: %w", seed, err)
		}
		seeds = append(seeds, seed)
		if !r.Passed {
			failed = append(failed, seed)
		}
		if err := out.Encode(r); err != nil {
			return 0, err
		}
	}
	return len(failed), out.Encode(map[string]any{
		"seeds": len(seeds), "broken": failed, "vms": a.vmCount, "minutes": time.Since(started).Minutes(),
	})
}

// runSeed runs the soak for one seed and removes its settings and logs if all guarantees held.
func (a *arguments) runSeed(ctx context.Context, seed uint64) (*soak.Result, error) {
	directory := filepath.Join(a.workDirectory, fmt.Sprint(seed))
	if err := os.MkdirAll(directory, dirPerm); err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetLevel(logrus.WarnLevel)
	o := soak.Options{
		NodeProgram: a.nodeProgram, Directory: directory, Seed: seed, Kind: soak.Kind(a.kind), VMs: a.vmCount, Log: log,
		FaultDuration: time.Duration(a.faultSeconds) * time.Second,
	}
	terminal := isatty.IsTerminal(os.Stderr.Fd())
	if terminal {
		o.Progress = func(elapsed time.Duration, served, failed int64) {
			fmt.Fprintf(os.Stderr, "\rseed %d: %3.0f s, %d served, %d not ", seed, elapsed.Seconds(), served, failed)
		}
	}
	r, err := soak.Run(ctx, o)
	if terminal {
		fmt.Fprintln(os.Stderr)
	}
	if err == nil && r.Passed {
		err = os.RemoveAll(directory)
	}
	return r, err
}
