// Command bamboodeal-sidecar is the node of a mesh on the users' platform. It runs beside one upstream and learns the
// configuration and the other upstreams from the platform's store. It receives requests, chooses an upstream for each
// and forwards them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"github.com/bamboodeal/bamboodeal/pkg/clock"
	"github.com/bamboodeal/bamboodeal/pkg/logging"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/settings"
	"github.com/bamboodeal/bamboodeal/pkg/sidecar"
	"github.com/bamboodeal/bamboodeal/platform"
)

// version is set by the linker.
var version = "dev"

// Exit codes.
const (
	exitFailure  = 1
	exitSettings = 2
)

// wideLinkMbps is the bandwidth from which the network link of a VM counts as wide. Nodes on such VMs read the store in
// preference to nodes with narrower links: reading full configurations of a large fleet several times a second takes
// about 10 Mbit/s.
const wideLinkMbps = 40

const (
	// gcPercent saves memory at the cost of processor time: the live heap of a node is a few megabytes, and where
	// memory is expensive its peak costs about ten times as much as all processor time.
	gcPercent = 20
	// memoryLimitPercent is the part of the VM's memory, in percent, that is set as the soft memory limit of the Go
	// runtime.
	memoryLimitPercent = 60
)

func main() {
	file := os.Getenv(platform.SettingsVariable)
	flaggy.SetName("bamboodeal-sidecar")
	flaggy.SetDescription("runs beside one upstream on the users' platform: receives requests, chooses an upstream for each and forwards them")
	flaggy.SetVersion(version)
	flaggy.String(&file, "", "settings", "JSON file with the settings of this node; default: $"+platform.SettingsVariable)
	flaggy.Parse()
	os.Exit(run(file))
}

func run(file string) int {
	// SIGHUP must not end the process while the settings are not watched yet or no longer.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	output := logging.NewAsyncWriter(os.Stdout)
	defer output.Close()
	log, err := logging.New(output, "info", nil)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-sidecar:", err)
		return exitFailure
	}
	s, err := platform.LoadSettings(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bamboodeal-sidecar:", err)
		return exitSettings
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(s.Node.MemoryLimit * memoryLimitPercent / 100)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := runNode(ctx, file, s, log); err != nil && !errors.Is(err, context.Canceled) {
		log.WithError(err).Error("the node failed")
		return exitFailure
	}
	return 0
}

// runNode runs the node until ctx ends. A second goroutine follows the store until the node has stopped.
func runNode(ctx context.Context, file string, s *platform.Settings, log *logrus.Logger) error {
	log.WithFields(logrus.Fields{"vm": s.Node.VM, "service": s.Node.Service, "version": version}).Info("starting")
	c := clock.System()
	var node *sidecar.Node
	store := platform.NewStoreClient(s.StoreAddress, log)
	syncer := mesh.NewSyncer(mesh.SyncerOptions{
		VM: mesh.HostIP(s.Node.PeerAddress), DataCentre: s.Node.DataCentre, UpstreamAddress: s.Node.UpstreamAddress,
		HeartbeatInterval: s.Node.HeartbeatInterval, ChangeBound: s.Node.ChangeBound, WideLink: s.Node.LinkMbps >= wideLinkMbps,
		Store: store, Decode: store.DecodeEntry, Clock: c, Log: log,
		PeerSource: func(vm string) mesh.Source { return node.PeerSource(vm) },
		OnView:     func(v *mesh.View) { node.UpdateView(v) },
		OnCold:     func(remaining time.Duration) { node.ReportCold(remaining) },
	})
	node, err := sidecar.New(sidecar.Options{
		Settings: s.Node, Headers: platform.Headers, Clock: c, Log: log, View: syncer.View, ParseLoad: platform.ParseReport,
		StoreAge: syncer.StoreAge, StoreStatus: syncer.StoreStatus, StoreChanges: syncer.ServeRead,
	})
	if err != nil {
		return err
	}
	controlContext, stopControl := context.WithCancel(context.Background())
	var group conc.WaitGroup
	group.Go(func() { syncer.Run(controlContext) })
	group.Go(func() {
		settings.Watch(controlContext, file, func() {
			if _, err := platform.LoadSettings(file); err != nil {
				log.WithError(err).Error("refused the changed settings; the previous ones stay in force")
				return
			}
			log.Info("the changed settings are valid; they take effect at the next start")
		}, log)
	})
	err = node.Run(ctx)
	stopControl()
	group.Wait()
	return err
}
