// Command bamboodeal-soak plays random faults against nodes on loopback and checks the guarantees of the system.
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
	exitBroken    = 1
	exitArguments = 2
	exitFailure   = 3
)

const (
	// mostVMs keeps a soak within a few hundred processes.
	mostVMs = 120
	// newSeeds is the range of fresh seeds, short enough to type.
	newSeeds = 1_000_000
	dirPerm  = 0o750
)

var errArguments = errors.New("invalid arguments")

type arguments struct {
	program, work string
	first, count  int
	minutes       float64
	vms, seconds  int
}

func main() {
	a := arguments{program: ".bin/bamboodeal-sidecar", work: ".soak", first: 1, count: 1, vms: 6, seconds: 15}
	flaggy.SetName("bamboodeal-soak")
	flaggy.SetDescription("plays random faults against nodes on loopback; writes a line of JSON for each seed and one at the end")
	flaggy.SetVersion(version)
	flaggy.String(&a.program, "", "program", "program of the node")
	flaggy.String(&a.work, "", "work-directory", "directory for settings and logs; those of a seed that kept all guarantees are removed")
	flaggy.Int(&a.first, "", "seed", "first seed")
	flaggy.Int(&a.count, "", "seeds", "number of seeds from the first on")
	flaggy.Float64(&a.minutes, "", "minutes", "play fresh seeds for so many minutes instead")
	flaggy.Int(&a.vms, "", "vms", "number of nodes, each a process")
	flaggy.Int(&a.seconds, "", "seconds", "time in which faults begin, for each seed")
	flaggy.Parse()
	if err := a.check(); err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-soak:", err)
		os.Exit(exitArguments)
	}
	broken, err := a.run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-soak:", err)
		os.Exit(exitFailure)
	}
	if broken > 0 {
		os.Exit(exitBroken)
	}
}

func (a *arguments) check() error {
	switch {
	case a.first < 0 || a.count < 1:
		return fmt.Errorf("%w: --seed and --seeds: give numbers from 0 and from 1 on", errArguments)
	case a.minutes < 0:
		return fmt.Errorf("%w: --minutes: give a positive number", errArguments)
	case a.vms < 2 || a.vms > mostVMs:
		return fmt.Errorf("%w: --vms: give a number from 2 to %d", errArguments, mostVMs)
	case a.seconds < 1:
		return fmt.Errorf("%w: --seconds: give a positive number", errArguments)
	}
	path, err := filepath.Abs(a.program)
	if err != nil {
		return err
	}
	if _, err := os.Stat(path); err != nil {
		return fmt.Errorf("%w: --program: %w; build it with scripts/soak.sh", errArguments, err)
	}
	a.program = path
	return nil
}

// run plays the seeds and returns how many broke a guarantee.
func (a *arguments) run() (broken int, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	began := time.Now()
	var played, failed []uint64
	out := json.NewEncoder(os.Stdout)
	for n := 0; ctx.Err() == nil; n++ {
		seed := uint64(a.first + n)
		if a.minutes > 0 {
			seed = rand.Uint64N(newSeeds)
		}
		if (a.minutes == 0 && n == a.count) || (a.minutes > 0 && time.Since(began).Minutes() >= a.minutes) {
			break
		}
		r, err := a.play(ctx, seed)
		if err != nil {
			return 0, fmt.Errorf("seed %d: %w", seed, err)
		}
		played = append(played, seed)
		if !r.Passed {
			failed = append(failed, seed)
		}
		if err := out.Encode(r); err != nil {
			return 0, err
		}
	}
	return len(failed), out.Encode(map[string]any{
		"seeds": len(played), "broken": failed, "vms": a.vms, "minutes": time.Since(began).Minutes(),
	})
}

func (a *arguments) play(ctx context.Context, seed uint64) (*soak.Result, error) {
	directory := filepath.Join(a.work, fmt.Sprint(seed))
	if err := os.MkdirAll(directory, dirPerm); err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	log.SetLevel(logrus.WarnLevel)
	o := soak.Options{
		NodeProgram: a.program, Directory: directory, Seed: seed, VMs: a.vms, Log: log,
		FaultDuration: time.Duration(a.seconds) * time.Second,
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
