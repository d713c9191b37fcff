// Command bamboodeal-slopes measures how the parts of a node grow with the fleet, for docs/CAPACITY.md.
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

// limit bounds a whole run.
const limit = 8 * time.Minute

var errArguments = errors.New("invalid arguments")

type arguments struct {
	node, work, out string
	parts           []string
	most            int
}

func main() {
	a := arguments{node: ".bin/bamboodeald", work: ".slopes", most: 36}
	flaggy.SetName("bamboodeal-slopes")
	flaggy.SetDescription("measures points and slopes of state, messages and processor time; writes JSON lines")
	flaggy.SetVersion(version)
	flaggy.String(&a.node, "", "node", "program of the node")
	flaggy.String(&a.work, "", "work-directory", "directory for settings and logs")
	flaggy.String(&a.out, "", "out", "file for the JSON lines; standard output by default")
	flaggy.StringSlice(&a.parts, "", "part", "part to run: state, work, quota, single, distribution, processes; all by default")
	flaggy.Int(&a.most, "", "most-processes", "largest fleet of real processes, at most 40")
	flaggy.Parse()
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-slopes:", err)
		if errors.Is(err, errArguments) {
			os.Exit(exitArguments)
		}
		os.Exit(exitFailure)
	}
}

func run(a arguments) error {
	chosen, err := a.chosen()
	if err != nil {
		return err
	}
	if a.node, err = filepath.Abs(a.node); err != nil {
		return err
	}
	if _, err = os.Stat(a.node); err != nil {
		return fmt.Errorf("%w: --node: %w; build it with scripts/slopes.sh", errArguments, err)
	}
	var out io.Writer = os.Stdout
	if a.out != "" {
		file, err := os.Create(a.out)
		if err != nil {
			return fmt.Errorf("%w: --out: %w", errArguments, err)
		}
		defer func() { _ = file.Close() }()
		out = file
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return measure(ctx, slopes.NewRecorder(out), a, chosen)
}

var partNames = []string{"state", "work", "quota", "single", "distribution", "processes"}

func (a arguments) chosen() (map[string]bool, error) {
	chosen := map[string]bool{}
	for _, name := range partNames {
		chosen[name] = len(a.parts) == 0
	}
	for _, name := range a.parts {
		if _, known := chosen[name]; !known {
			return nil, fmt.Errorf("%w: --part %q; use one of %v", errArguments, name, partNames)
		}
		chosen[name] = true
	}
	if a.most < 1 || a.most > slopes.MaxProcesses {
		return nil, fmt.Errorf("%w: --most-processes %d; use 1 to %d", errArguments, a.most, slopes.MaxProcesses)
	}
	return chosen, nil
}

// measure runs the chosen parts in order. The distribution's bytes use the message sizes of the part single.
func measure(ctx context.Context, r *slopes.Recorder, a arguments, chosen map[string]bool) error {
	var sizes slopes.MessageSizesByFleet
	steps := map[string]func() error{
		"state": func() error { return slopes.MeasureState(r) },
		"work":  func() error { return slopes.MeasureProcessorTime(r) },
		"quota": func() error { return slopes.MeasureQuota(r) },
		"single": func() (err error) {
			sizes, err = slopes.MeasureSingleNode(ctx, r, a.node, a.work)
			return err
		},
		"distribution": func() error { return slopes.MeasureDistribution(r, sizes) },
		"processes":    func() error { return slopes.MeasureProcesses(ctx, r, a.node, a.work, fleets(a.most)) },
	}
	for _, name := range partNames {
		if !chosen[name] {
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

// fleets are the sizes of the fleets of processes up to the largest allowed.
func fleets(most int) []int {
	var sizes []int
	for _, n := range slopes.ProcessFleetSizes {
		if n <= most {
			sizes = append(sizes, n)
		}
	}
	return sizes
}
