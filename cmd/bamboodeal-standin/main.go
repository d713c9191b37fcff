// Command bamboodeal-standin runs the stand-ins for the platform, upstreams and network links.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	// exitFailure means that the stand-in could not start or stop without an error.
	exitFailure = 1
	// exitInvalidSettings means that the command line or the settings file is invalid.
	exitInvalidSettings = 2
)

// errInvalidSettings is wrapped by errors of the command line and of the settings file.
var errInvalidSettings = errors.New("settings")

func main() {
	flaggy.SetName("bamboodeal-standin")
	flaggy.SetDescription("runs the stand-ins for the platform, upstreams and network links")
	flaggy.SetVersion(version)
	var settings string
	commands := map[*flaggy.Subcommand]func(context.Context, string) error{}
	addCommand := func(name, description string, run func(context.Context, string) error) {
		command := flaggy.NewSubcommand(name)
		command.Description = description
		command.String(&settings, "s", "settings", "JSON file with the settings")
		flaggy.AttachSubcommand(command, 1)
		commands[command] = run
	}
	addCommand("platform", "serve the platform's configuration service and list of VMs", runPlatform)
	addCommand("upstream", "serve one or more upstreams", runUpstream)
	addCommand("link", "relay TCP, count bytes, cut, freeze and delay", runLink)
	flaggy.Parse()
	for command, run := range commands {
		if command.Used {
			os.Exit(execute(run, settings))
		}
	}
	flaggy.ShowHelp("name a stand-in: platform, upstream or link")
	os.Exit(exitInvalidSettings)
}

// execute runs a stand-in until it fails or the process gets SIGINT or SIGTERM, and returns the exit code.
func execute(run func(context.Context, string) error, settings string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, settings)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "bamboodeal-standin:", err)
	if errors.Is(err, errInvalidSettings) {
		return exitInvalidSettings
	}
	return exitFailure
}

// loadSettings decodes a JSON settings file into target. Unknown fields are errors.
func loadSettings(file string, target any) error {
	if file == "" {
		return fmt.Errorf("%w: give a file with --settings", errInvalidSettings)
	}
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("%w: %w", errInvalidSettings, err)
	}
	defer func() { _ = f.Close() }()
	decoder := json.NewDecoder(f)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("%w: %s: %w", errInvalidSettings, file, err)
	}
	return nil
}
