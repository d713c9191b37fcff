package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/bamboodeal/bamboodeal/experiments/load/demo"
)

func generateCommand() command {
	var deployment, output string
	seed, duration, rate := uint64(1), demo.DefaultDuration, float64(demo.DefaultCallsPerSecond)
	calls := 0
	c := flaggy.NewSubcommand("generate")
	c.Description = "generate a trace from a deployment and a seed"
	c.String(&deployment, "d", "deployment", "directory with declared/*.json and example-keys.json")
	c.String(&output, "o", "output", "file to write; standard output when absent")
	c.UInt64(&seed, "s", "seed", "seed of the generator")
	c.Duration(&duration, "t", "duration", "length of the trace")
	c.Float64(&rate, "r", "rate", "mean calls per second")
	c.Int(&calls, "n", "calls", "write the first calls only; 0 writes all")
	return command{c, func(context.Context) error {
		if deployment == "" {
			return fmt.Errorf("%w: give a directory with --deployment", errArguments)
		}
		d, err := demo.LoadDeployment(deployment)
		if err != nil {
			return err
		}
		t, err := demo.GenerateTrace(d, duration, rate, seed)
		if err != nil {
			return err
		}
		if calls > 0 {
			t = t.Excerpt(calls)
		}
		if output == "" {
			return t.Write(os.Stdout)
		}
		f, err := os.Create(output)
		if err != nil {
			return err
		}
		if err := t.Write(f); err != nil {
			_ = f.Close()
			return err
		}
		return f.Close()
	}}
}
