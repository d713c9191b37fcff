package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/bamboodeal/bamboodeal/standin/link"
	"github.com/bamboodeal/bamboodeal/standin/platform"
	"github.com/bamboodeal/bamboodeal/standin/upstream"
)

// shutdownTimeout is the longest time that upstreams wait for running calls when the command is stopped. It is also the
// time within which the control port of links must receive the headers of a request.
const shutdownTimeout = 10 * time.Second

// platformSettings is the settings file of the subcommand platform.
type platformSettings struct {
	Address        string `json:"address"`
	ControlAddress string `json:"control_address"`
	ReadsPerSecond int    `json:"reads_per_second"`
	// Publish lists the bundle directories to publish at the start, in this order.
	Publish []string `json:"publish"`
}

// runPlatform serves the platform until ctx ends.
func runPlatform(ctx context.Context, file string) error {
	var s platformSettings
	if err := loadSettings(file, &s); err != nil {
		return err
	}
	server := platform.New(platform.Options{ReadsPerSecond: s.ReadsPerSecond})
	for _, directory := range s.Publish {
		if _, err := server.PublishDirectory(directory); err != nil {
			return fmt.Errorf("%w: publish: %w", errInvalidSettings, err)
		}
	}
	address, control, err := server.Listen(s.Address, s.ControlAddress)
	if err != nil {
		return err
	}
	fmt.Printf("platform %s control %s\n", address, control)
	<-ctx.Done()
	return server.Close()
}

// upstreamSettings is the settings file of the subcommand upstream.
type upstreamSettings struct {
	Upstreams []upstream.Options `json:"upstreams"`
}

// runUpstream serves the upstreams until ctx ends, and then lets the running calls finish.
func runUpstream(ctx context.Context, file string) error {
	var s upstreamSettings
	if err := loadSettings(file, &s); err != nil {
		return err
	}
	servers := make([]*upstream.Server, 0, len(s.Upstreams))
	for _, options := range s.Upstreams {
		server := upstream.New(options)
		address, control, err := server.Listen()
		if err != nil {
			return err
		}
		fmt.Printf("upstream %s %s control %s\n", options.Name, address, control)
		servers = append(servers, server)
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	var errs []error
	for _, server := range servers {
		errs = append(errs, server.Shutdown(shutdownCtx))
	}
	return errors.Join(errs...)
}

// linkSettings is the settings file of the subcommand link.
type linkSettings struct {
	Links          []link.Options `json:"links"`
	ControlAddress string         `json:"control_address"`
}

// runLink runs the links until ctx ends or the control port fails.
func runLink(ctx context.Context, file string) error {
	var s linkSettings
	if err := loadSettings(file, &s); err != nil {
		return err
	}
	links := make([]*link.Link, 0, len(s.Links))
	for _, options := range s.Links {
		l, err := link.Listen(options)
		if err != nil {
			return err
		}
		fmt.Printf("link %s to %s\n", l.Address(), options.Target)
		links = append(links, l)
	}
	controlFailed := make(chan error, 1)
	if s.ControlAddress != "" {
		control := &http.Server{
			Addr:              s.ControlAddress,
			Handler:           link.ControlHandler(links),
			ReadHeaderTimeout: shutdownTimeout,
		}
		defer func() { _ = control.Close() }()
		go func() { controlFailed <- control.ListenAndServe() }()
	}
	var errs []error
	select {
	case err := <-controlFailed:
		errs = append(errs, err)
	case <-ctx.Done():
	}
	for _, l := range links {
		errs = append(errs, l.Close())
	}
	return errors.Join(errs...)
}
