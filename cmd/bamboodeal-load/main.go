// Command bamboodeal-load generates and replays traces and runs the demo.
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
	// errArguments marks errors in arguments and settings.
	errArguments = errors.New("arguments")
	// errUnsafe means that the report shows lost, doubled or crossed calls, false reports or leaked keys.
	errUnsafe = errors.New("calls were lost, doubled, crossed or reported falsely, or a key leaked; see \"violations\" in the report")
	// errReported means that the verdict is printed already.
	errReported = errors.New("the report shows a failure")
	// errLate means that an event did not have its effect within its bound.
	errLate = errors.New("a withdrawn key, a closed data centre or a version took effect too late; see \"not_converged\" and \"late_\" in the report")
)

// command is a subcommand with what it does.
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
	if errors.Is(err, errReported) {
		return exitFailure
	}
	fmt.Fprintln(os.Stderr, "bamboodeal-load:", err)
	for _, kind := range []error{errArguments, demo.ErrInvalidDeployment, trace.ErrInvalid, trace.ErrUnusableProfile, load.ErrInvalidOptions} {
		if errors.Is(err, kind) {
			return exitSettings
		}
	}
	return exitFailure
}

// printReport prints the report as one line of JSON, or as a summary for a reader.
func printReport(w io.Writer, asJSON bool, body any, r *load.Report) error {
	if asJSON {
		return json.NewEncoder(w).Encode(body)
	}
	out := func(name, format string, arguments ...any) {
		_, _ = fmt.Fprintf(w, "%-22s %s\n", name, fmt.Sprintf(format, arguments...))
	}
	out("calls", "%d: %d served, %d refused, %d unknown, %d failed", r.Calls, r.Served, r.Refused, r.Unknown, r.Failed)
	out("lost, doubled, crossed", "%d, %d, %d", r.Lost, r.Duplicated, r.Mismatched)
	out("key leaks", "%d", r.KeyLeaks)
	out("wrongful refusals", "%d of %d refusals for the rate", r.WrongfulRefusals, r.RateRefusals)
	out("worst-served team", "%s: %.4f", r.WorstTeam, r.WorstTeamServedRatio)
	out("latency", "p50 %.1f ms, p99 %.1f ms, max %.1f ms", r.LatencyMS.P50, r.LatencyMS.P99, r.LatencyMS.Max)
	out("added", "p50 %.2f ms, p99 %.2f ms", r.AddedLatencyP50MS, r.AddedLatencyP99MS)
	kinds := make([]string, 0, len(r.Outcomes))
	for kind, n := range r.Outcomes {
		kinds = append(kinds, fmt.Sprintf("%s: %d", kind, n))
	}
	sort.Strings(kinds)
	out("outcomes", "%v", kinds)
	return nil
}

// progress returns where progress is shown: standard error when it is a terminal or when it is asked for.
func progress(always bool) io.Writer {
	if always || isatty.IsTerminal(os.Stderr.Fd()) {
		return os.Stderr
	}
	return io.Discard
}

// conclude prints the verdict before the report, so that the report is the last line of the output.
func conclude(asJSON bool, body any, r *load.Report) error {
	failed := verdict(r)
	if failed != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-load:", failed)
	}
	if err := printReport(os.Stdout, asJSON, body, r); err != nil {
		return err
	}
	if failed != nil {
		return errReported
	}
	return nil
}

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
