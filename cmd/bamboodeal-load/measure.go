package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/bamboodeal/bamboodeal/experiments/load"
	"github.com/bamboodeal/bamboodeal/experiments/load/demo"
)

// watchersCommand returns the command that measures the baseline in which each node watches the platform.
func watchersCommand() command {
	deployment := ""
	c := flaggy.NewSubcommand("watchers")
	c.Description = "measure the baseline in which every node watches the source, as figures in lines of JSON"
	c.String(&deployment, "d", "deployment", "directory with declared/*.json and example-keys.json")
	return command{c, func(ctx context.Context) error {
		d, err := demo.LoadDeployment(deployment)
		if err != nil {
			return err
		}
		figures, err := demo.MeasureWatchBaseline(ctx, d)
		if err != nil {
			return err
		}
		return writeFigures(os.Stdout, figures)
	}}
}

// tablesCommand returns the command that prints figures as tables in Markdown.
func tablesCommand() command {
	file := ""
	c := flaggy.NewSubcommand("tables")
	c.Description = "print the figures of a file of JSON lines as tables in Markdown"
	c.String(&file, "f", "file", "file with the lines; standard input when absent")
	return command{c, func(context.Context) error {
		if file == "" {
			return load.WriteTables(os.Stdout, os.Stdin)
		}
		in, err := os.Open(file)
		if err != nil {
			return fmt.Errorf("%w: %w", errArguments, err)
		}
		defer func() { _ = in.Close() }()
		return load.WriteTables(os.Stdout, bufio.NewReader(in))
	}}
}

func writeFigures(w io.Writer, figures []any) error {
	encoder := json.NewEncoder(w)
	for _, figure := range figures {
		if err := encoder.Encode(figure); err != nil {
			return err
		}
	}
	return nil
}

// printFigures prints the figures and returns the verdict as an error, so that the figures of a run with failures are
// not taken for a measurement.
func printFigures(outcome *demo.Outcome) error {
	if err := writeFigures(os.Stdout, demo.Figures(outcome)); err != nil {
		return err
	}
	return verdict(outcome.Report)
}
