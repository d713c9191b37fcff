package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"github.com/bamboodeal/bamboodeal/experiments/load/demo"
)

func demoCommand() command {
	o := demo.Options{Seed: 1, Directory: ".demo", Duration: demo.DefaultDuration, CallsPerSecond: demo.DefaultCallsPerSecond}
	o.MaxDeadline, o.IdentityRetention = demo.DefaultMaxDeadline, demo.DefaultIdentityRetention
	asJSON, asFigures := false, false
	scenario := ""
	c := flaggy.NewSubcommand("demo")
	c.Description = "start stand-ins and one node per upstream on loopback, and replay a load with events"
	c.String(&o.Deployment, "d", "deployment", "directory with declared/*.json and example-keys.json")
	c.String(&o.Binary, "b", "binary", "the node's program; bamboodeald beside this program when absent")
	c.String(&o.Directory, "w", "work-directory", "where the nodes' settings and logs go")
	c.UInt64(&o.Seed, "s", "seed", "seed of the generated load")
	c.Duration(&o.Duration, "t", "duration", "length of the load")
	c.Float64(&o.CallsPerSecond, "r", "rate", "mean calls per second")
	c.Duration(&o.MaxDeadline, "", "max-deadline", "the nodes' max_deadline_ms, as a duration")
	c.Duration(&o.IdentityRetention, "", "retention", "the nodes' identity_retention_ms, as a duration")
	c.Bool(&o.AddLatency, "l", "latency", "add the deployment's latencies between data centres and to clients")
	c.Bool(&o.AddFaults, "f", "faults", "add frozen nodes, platform faults, a cut link, a cold upstream and a second kill")
	c.String(&scenario, "", "scenario", "moves (default), quiet: no events, or over: no events, and one team sends eight times its rate")
	c.Duration(&o.IdleDuration, "", "idle", "run the nodes without calls for this time first, and measure their control traffic")
	c.Bool(&asFigures, "", "figures", "print one line of JSON for each figure of docs/MEASUREMENTS.md instead of the report")
	c.Bool(&asJSON, "j", "json", "print the report as one line of JSON")
	return command{c, func(ctx context.Context) error {
		if o.Deployment == "" {
			return fmt.Errorf("%w: give a directory with --deployment", errArguments)
		}
		if o.Binary == "" {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Binary = filepath.Join(filepath.Dir(self), "bamboodeald")
		}
		o.Progress = progressWriter(true)
		o.Scenario = demo.Scenario(scenario)
		outcome, err := demo.Run(ctx, o)
		if err != nil {
			return err
		}
		if asFigures {
			return printFigures(outcome)
		}
		return printVerdictAndReport(asJSON, outcome, outcome.Report)
	}}
}
