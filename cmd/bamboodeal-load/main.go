// Command bamboodeal-load generates and replays traces of calls, runs the demo, measures the watch baseline and prints
// figures as tables.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/mattn/go-isatty"

	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/experiments/load/demo"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

var (
	// errArguments means that an argument or the settings file is not valid.
	errArguments = errors.New("arguments")
	// errUnsafe means that the report is not safe; see load.Report.Safe.
	errUnsafe = errors.New("calls were lost, doubled, crossed or reported falsely, or a key leaked; see \"violations\" in the report")
	// errVerdictPrinted means that the report shows a failure, which has been printed already.
	errVerdictPrinted = errors.New("the report shows a failure")
	// errLate means that an event did not take effect within its bound; see load.Report.EventsInTime.
	errLate = errors.New("a withdrawn key, a closed data centre or a version took effect too late; see \"not_converged\" and \"late_\" in the report")
)

// command is a subcommand of the command line with the function that it runs.
type command struct {
	*flaggy.Subcommand
	run func(context.Context) error
}

func main() {
	flaggy.SetName("bamboodeal-load")
	flaggy.SetDescription("generates and replays traces of calls and events, and runs the demo")
	flaggy.SetVersion(version)
	commands := []command{generateCommand(), replayCommand(), demoCommand(), watchersCommand(), tablesCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.Subcommand, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.Used {
			os.Exit(execute(c))
		}
	}
	flaggy.ShowHelp("name a command: generate, replay, demo, watchers or tables")
	os.Exit(exitSettings)
}

func execute(c command) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := c.run(ctx)
	if err == nil {
		return 0
	}
	if errors.Is(err, errVerdictPrinted) {
		return exitFailure
	}
	fmt.Fprintln(os.Stderr, "bamboodeal-load:", err)
	for _, inputError := range []error{
		errArguments, demo.ErrInvalidDeployment, trace.ErrInvalid, trace.ErrUnusableProfile, load.ErrInvalidOptions,
	} {
		if errors.Is(err, inputError) {
			return exitSettings
		}
	}
	return exitFailure
}

// printReport prints body as one line of JSON if asJSON is set, or else a summary of r for a reader.
func printReport(w io.Writer, asJSON bool, body any, r *load.Report) error {
	if asJSON {
		return json.NewEncoder(w).Encode(body)
	}
	printLine := func(name, format string, arguments ...any) {
		_, _ = fmt.Fprintf(w, "%-22s %s\n", name, fmt.Sprintf(format, arguments...))
	}
	printLine("calls", "%d: %d served, %d refused, %d unknown, %d failed", r.Calls, r.Served, r.Refused, r.Unknown, r.Failed)
	printLine("lost, doubled, crossed", "%d, %d, %d", r.Lost, r.Duplicated, r.Mismatched)
	printLine("key leaks", "%d", r.KeyLeaks)
	printLine("wrongful refusals", "%d of %d refusals for the rate", r.WrongfulRefusals, r.RateRefusals)
	printLine("worst-served team", "%s: %.4f", r.WorstTeam, r.WorstTeamServedRatio)
	printLine("latency", "p50 %.1f ms, p99 %.1f ms, max %.1f ms", r.LatencyMS.P50, r.LatencyMS.P99, r.LatencyMS.Max)
	printLine("added", "p50 %.2f ms, p99 %.2f ms", r.AddedLatencyP50MS, r.AddedLatencyP99MS)
	kinds := make([]string, 0, len(r.Outcomes))
	for kind, n := range r.Outcomes {
		kinds = append(kinds, fmt.Sprintf("%s: %d", kind, n))
	}
	sort.Strings(kinds)
	printLine("outcomes", "%v", kinds)
	return nil
}

// progressWriter returns the writer for progress lines: standard error if always is set or standard error is a
// terminal, or else a writer that discards them.
func progressWriter(always bool) io.Writer {
	if always || isatty.IsTerminal(os.Stderr.Fd()) {
		return os.Stderr
	}
	return io.Discard
}

// printVerdictAndReport prints the verdict and then the report, so that the report is the last line of the output.
func printVerdictAndReport(asJSON bool, body any, r *load.Report) error {
	failed := verdict(r)
	if failed != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-load:", failed)
	}
	if err := printReport(os.Stdout, asJSON, body, r); err != nil {
		return err
	}
	if failed != nil {
		return errVerdictPrinted
	}
	return nil
}

// verdict returns an error that names the failures in the report, or nil.
func verdict(r *load.Report) error {
	var errs []error
	if !r.Safe() {
		errs = append(errs, errUnsafe)
	}
	if !r.EventsInTime() {
		errs = append(errs, errLate)
	}
	return errors.Join(errs...)
}
