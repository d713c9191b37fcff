package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/pkg/trace"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// replaySettings says where a trace is replayed.
type replaySettings struct {
	Nodes []load.Node `json:"nodes"`
	// Keys are the secrets by key id.
	Keys map[string]string `json:"keys"`
	// Teams are the allowances by name.
	Teams map[string]load.RateLimit `json:"teams"`
	// UpstreamControlAddresses are the control ports of the stand-in upstreams, whose records are read.
	UpstreamControlAddresses []string `json:"upstream_control_addresses"`
	// LimitMS bounds one attempt, RetryForMS the time from the first to the last attempt, in milliseconds.
	LimitMS    int64 `json:"limit_ms"`
	RetryForMS int64 `json:"retry_for_ms"`
}

func replayCommand() command {
	var settings, file string
	asJSON := false
	c := flaggy.NewSubcommand("replay")
	c.Description = "replay the calls of a trace against the caller ports of nodes; events are left out"
	c.String(&settings, "s", "settings", "JSON file with nodes, keys, teams and upstream_control_addresses")
	c.String(&file, "f", "trace", "file with the trace")
	c.Bool(&asJSON, "j", "json", "print the report as one line of JSON")
	return command{c, func(ctx context.Context) error { return replay(ctx, settings, file, asJSON) }}
}

func replay(ctx context.Context, settingsFile, traceFile string, asJSON bool) error {
	if settingsFile == "" || traceFile == "" {
		return fmt.Errorf("%w: give files with --settings and --trace", errArguments)
	}
	s, err := readSettings(settingsFile)
	if err != nil {
		return err
	}
	f, err := os.Open(traceFile)
	if err != nil {
		return fmt.Errorf("%w: %w", errArguments, err)
	}
	t, err := trace.Read(f)
	_ = f.Close()
	if err != nil {
		return err
	}
	r, err := load.NewReplay(load.Options{
		Trace: t, Nodes: s.Nodes, Secrets: s.Keys,
		AttemptTimeout: time.Duration(s.LimitMS) * time.Millisecond,
		RetryFor:       time.Duration(s.RetryForMS) * time.Millisecond,
	})
	if err != nil {
		return err
	}
	stop := showProgress(ctx, progress(false), r, len(t.Calls))
	results, moves, err := r.Run(ctx)
	stop()
	if err != nil {
		return err
	}
	records, err := readRecords(ctx, s.UpstreamControlAddresses)
	if err != nil {
		return err
	}
	report := load.NewReport(load.ReportInput{Results: results, Records: records, EventResults: moves, RateLimits: s.Teams})
	return conclude(asJSON, report, report)
}

func readSettings(file string) (*replaySettings, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errArguments, err)
	}
	defer func() { _ = f.Close() }()
	s := &replaySettings{}
	decoder := json.NewDecoder(f)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(s); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", errArguments, file, err)
	}
	return s, nil
}

func showProgress(ctx context.Context, w io.Writer, r *load.Replay, total int) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	ticker := time.NewTicker(time.Second)
	go func() {
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				_, _ = fmt.Fprintf(w, "\rcalls %d of %d, served %d ",
					r.Progress.Finished.Load(), total, r.Progress.Served.Load())
			}
		}
	}()
	return func() {
		cancel()
		_, _ = fmt.Fprintln(w)
	}
}

// readRecords reads what the stand-in upstreams ran.
func readRecords(ctx context.Context, addresses []string) ([]upstream.CallRecord, error) {
	var all []upstream.CallRecord
	for _, address := range addresses {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/records", http.NoBody)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errArguments, err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		var records []upstream.CallRecord
		err = json.NewDecoder(response.Body).Decode(&records)
		_ = response.Body.Close()
		if err != nil {
			return nil, fmt.Errorf("records of %s: %w", address, err)
		}
		all = append(all, records...)
	}
	return all, nil
}
