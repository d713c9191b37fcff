// Package operator serves a node's operator port: status, health, readiness, metrics and burn rates.
package operator

import (
	"context"
	"net"

	"github.com/gofiber/fiber/v2"

	"github.com/bamboodeal/bamboodeal/api/operator"
)

// Options configure a Server.
type Options struct {
	// Ready reports whether the node accepts calls.
	Ready func() bool
	// Status and BurnReport return the responses of their paths, which are encoded as JSON.
	Status     func() any
	BurnReport func() operator.BurnReport
	Metrics    *Metrics
}

// Server is the HTTP server of the operator port.
type Server struct {
	o   Options
	app *fiber.App
}

// New returns a server; Serve starts it.
func New(o Options) *Server {
	s := &Server{o: o, app: fiber.New(fiber.Config{
		DisableStartupMessage: true,
		DisableDefaultDate:    true,
		GETOnly:               true,
		BodyLimit:             1 << 10,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
	})}
	s.app.Get(operator.PathHealth, func(c *fiber.Ctx) error { return c.JSON(healthResponse{Healthy: true}) })
	s.app.Get(operator.PathReady, s.ready)
	s.app.Get(operator.PathStatus, func(c *fiber.Ctx) error { return c.JSON(s.o.Status()) })
	s.app.Get(operator.PathMetrics, func(c *fiber.Ctx) error { return c.JSON(s.o.Metrics.Export()) })
	s.app.Get(operator.PathBurnReport, func(c *fiber.Ctx) error { return c.JSON(s.o.BurnReport()) })
	return s
}

type healthResponse struct {
	Healthy bool `json:"healthy"`
	Ready   bool `json:"ready"`
}

func (s *Server) ready(c *fiber.Ctx) error {
	if s.o.Ready() {
		return c.JSON(healthResponse{Healthy: true, Ready: true})
	}
	return c.Status(fiber.StatusServiceUnavailable).JSON(healthResponse{Healthy: true})
}

// Serve accepts connections from l until Shutdown is called.
func (s *Server) Serve(l net.Listener) error { return s.app.Listener(l) }

// Shutdown closes the port and waits until the open requests have ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.app.ShutdownWithContext(ctx) }
