// Command bamboodeald is the node of a mesh. It runs beside one upstream and keeps the mesh's configuration up to date.
// It receives calls, chooses an upstream for each and forwards them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bamboodeal/bamboodeal/pkg/node"
	"github.com/bamboodeal/bamboodeal/pkg/settings"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

func main() {
	var file string
	flaggy.SetName("bamboodeald")
	flaggy.SetDescription("runs beside one upstream: receives calls, chooses an upstream for each and forwards them")
	flaggy.SetVersion(version)
	flaggy.String(&file, "", "settings", "JSON file with the settings of this node")
	flaggy.Parse()
	os.Exit(run(file))
}

func run(file string) int {
	if file == "" {
		fmt.Fprintln(os.Stderr, "bamboodeald: no settings file is named; name one with --settings FILE")
		return exitSettings
	}
	s, err := settings.Load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n, err := node.New(node.Options{Settings: s})
	if err == nil {
		err = n.Run(ctx)
	}
	if err != nil && !errors.Is(err, context.Canceled) {
		fmt.Fprintln(os.Stderr, "bamboodeald:", err)
		return exitFailure
	}
	return 0
}
