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

// replaySettings is the settings file of the command replay.
type replaySettings struct {
	Nodes []load.Node `json:"nodes"`
	// Secrets holds the secrets of the keys by key ID.
	Secrets map[string]string `json:"keys"`
	// RateLimits holds the rate limits of the teams by team name.
	RateLimits map[string]load.RateLimit `json:"teams"`
	// UpstreamControlAddresses holds the addresses of the control ports from which the records of the stand-in
	// upstreams are read.
	UpstreamControlAddresses []string `json:"upstream_control_addresses"`
	// AttemptTimeoutMS bounds each attempt and RetryForMS the time from the first to the last attempt, in
	// milliseconds. 0 means the defaults of load.Options.
	AttemptTimeoutMS int64 `json:"limit_ms"`
	RetryForMS       int64 `json:"retry_for_ms"`
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
		Trace: t, Nodes: s.Nodes, Secrets: s.Secrets,
		AttemptTimeout: time.Duration(s.AttemptTimeoutMS) * time.Millisecond,
		RetryFor:       time.Duration(s.RetryForMS) * time.Millisecond,
	})
	if err != nil {
		return err
	}
	stop := startProgressDisplay(ctx, progressWriter(false), r, len(t.Calls))
	results, eventResults, err := r.Run(ctx)
	stop()
	if err != nil {
		return err
	}
	records, err := readRecords(ctx, s.UpstreamControlAddresses)
	if err != nil {
		return err
	}
	report := load.NewReport(load.ReportInput{
		Results: results, Records: records, EventResults: eventResults, RateLimits: s.RateLimits,
	})
	return printVerdictAndReport(asJSON, report, report)
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

// startProgressDisplay writes the progress of a replay to w each second until stop is called.
func startProgressDisplay(ctx context.Context, w io.Writer, r *load.Replay, total int) (stop func()) {
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

// readRecords reads the records of calls from the control ports of the stand-in upstreams.
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
			return nil, fmt.Errorf("cannot decode the records of %s: %w", address, err)
		}
		all = append(all, records...)
	}
	return all, nil
}
