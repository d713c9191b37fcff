// Command bamboodeal-slopes measures how the parts of a node grow with the fleet. docs/CAPACITY.md is computed from its
// output.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bamboodeal/bamboodeal/experiments/slopes"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	exitFailure   = 1
	exitArguments = 2
)

// runTimeout bounds the duration of the whole run.
const runTimeout = 8 * time.Minute

var errInvalidArguments = errors.New("invalid arguments")

// arguments holds the values of the command line.
type arguments struct {
	nodeProgram, workDirectory, outputFile string
	parts                                  []string
	maxProcesses                           int
}

func main() {
	a := arguments{nodeProgram: ".bin/bamboodeald", workDirectory: ".slopes", maxProcesses: 36}
	flaggy.SetName("bamboodeal-slopes")
	flaggy.SetDescription("measures points and slopes of state, messages and processor time; writes JSON lines")
	flaggy.SetVersion(version)
	flaggy.String(&a.nodeProgram, "", "node", "program of the node")
	flaggy.String(&a.workDirectory, "", "work-directory", "directory for settings and logs")
	flaggy.String(&a.outputFile, "", "out", "file for the JSON lines; standard output by default")
	flaggy.StringSlice(&a.parts, "", "part", "part to run: state, work, quota, single, distribution, processes; all by default")
	flaggy.Int(&a.maxProcesses, "", "most-processes", "largest fleet of real processes, at most 40")
	flaggy.Parse()
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-slopes:", err)
		if errors.Is(err, errInvalidArguments) {
			os.Exit(exitArguments)
		}
		os.Exit(exitFailure)
	}
}

func run(a arguments) error {
	selected, err := a.selectParts()
	if err != nil {
		return err
	}
	if a.nodeProgram, err = filepath.Abs(a.nodeProgram); err != nil {
		return err
	}
	if _, err = os.Stat(a.nodeProgram); err != nil {
		return fmt.Errorf("%w: --node: cannot find the node's program: %w; build it with scripts/slopes.sh", errInvalidArguments, err)
	}
	var out io.Writer = os.Stdout
	if a.outputFile != "" {
		file, err := os.Create(a.outputFile)
		if err != nil {
			return fmt.Errorf("%w: --out: cannot create the file: %w", errInvalidArguments, err)
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	return measureParts(ctx, slopes.NewRecorder(out), a, selected)
}

// partNames are the names of the parts in the order in which they run.
var partNames = []string{"state", "work", "quota", "single", "distribution", "processes"}

// selectParts checks the arguments and returns for each part whether it runs.
func (a arguments) selectParts() (map[string]bool, error) {
	selected := map[string]bool{}
	for _, name := range partNames {
		selected[name] = len(a.parts) == 0
	}
	for _, name := range a.parts {
		if _, known := selected[name]; !known {
			return nil, fmt.Errorf("%w: unknown --part %q; use one of %v", errInvalidArguments, name, partNames)
		}
		selected[name] = true
	}
	if a.maxProcesses < 1 || a.maxProcesses > slopes.MaxProcesses {
		return nil, fmt.Errorf("%w: --most-processes %d is out of range; use 1 to %d", errInvalidArguments, a.maxProcesses, slopes.MaxProcesses)
	}
	return selected, nil
}

// measureParts runs the selected parts in order. The part distribution uses the message sizes that the part single
// measured.
func measureParts(ctx context.Context, r *slopes.Recorder, a arguments, selected map[string]bool) error {
	var sizes slopes.MessageSizesByFleet
	steps := map[string]func() error{
		"state": func() error { return slopes.MeasureState(r) },
		"work":  func() error { return slopes.MeasureProcessorTime(r) },
		"quota": func() error { return slopes.MeasureQuota(r) },
		"single": func() (err error) {
			sizes, err = slopes.MeasureSingleNode(ctx, r, a.nodeProgram, a.workDirectory)
			return err
		},
		"distribution": func() error { return slopes.MeasureDistribution(r, sizes) },
		"processes": func() error {
			return slopes.MeasureProcesses(ctx, r, a.nodeProgram, a.workDirectory, processFleetSizes(a.maxProcesses))
		},
	}
	for _, name := range partNames {
		if !selected[name] {
			continue
		}
		begin := time.Now()
		if err := steps[name](); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		fmt.Fprintf(os.Stderr, "%s: %.1f s\n", name, time.Since(begin).Seconds())
	}
	return r.WriteSlopes()
}

// processFleetSizes returns the sizes of the fleets of processes up to maxProcesses nodes.
func processFleetSizes(maxProcesses int) []int {
	var sizes []int
	for _, n := range slopes.ProcessFleetSizes {
		if n <= maxProcesses {
			sizes = append(sizes, n)
		}
	}
	return sizes
}
