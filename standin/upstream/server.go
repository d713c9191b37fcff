// Package upstream is a stand-in for an upstream of the mesh: it has slots, a connection limit and a cold
// start, drains, accepts cancellation and deadlines, sheds load, and records every call that it was asked.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options configures a Server.
type Options struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	// Address is where it serves calls, LocalAddress the local port of its node for onward calls.
	Address      string `json:"address"`
	LocalAddress string `json:"local_address,omitempty"`
	// ControlAddress is where a test driver reads the record and changes the behaviour; empty means nowhere.
	ControlAddress string `json:"control_address,omitempty"`
	// Slots is the number of calls it works on at once; 0 means 10.
	Slots int `json:"slots"`
	// MaxConnections is the number of connections it accepts; 0 means 110.
	MaxConnections int       `json:"connections"`
	ColdStart      ColdStart `json:"cold_start"`
	// DefaultWorkUS is the work of a call without HeaderWork, in microseconds.
	DefaultWorkUS int64 `json:"work_us,omitempty"`
	// ForbiddenKeys are secrets that must never arrive here.
	ForbiddenKeys []string `json:"keys,omitempty"`
	// Now is the clock of the record and the cold start; nil means time.Now.
	Now func() time.Time `json:"-"`
}

// Server is the stand-in. Its methods are safe for concurrent use.
type Server struct {
	options Options
	now     func() time.Time
	onward  *http.Client
	servers []*http.Server

	mu         sync.Mutex
	capacity   capacity
	behaviour  Behaviour
	records    []*CallRecord
	reported   LoadReport
	reportedAt time.Time
}

// New returns a cold upstream.
func New(o Options) *Server {
	if o.Slots == 0 {
		o.Slots = 10
	}
	if o.MaxConnections == 0 {
		o.MaxConnections = 110
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Server{
		options:  o,
		now:      o.Now,
		onward:   newOnwardClient(o.Slots),
		capacity: capacity{slots: o.Slots, cold: o.ColdStart, coldSince: o.Now()},
	}
}

// newOnwardClient returns a client without keep-alive: net/http repeats idempotent calls whose kept
// connection turns out to be closed, which would show as work done twice.
func newOnwardClient(slots int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		MaxConnsPerHost:   4 * slots,
	}}
}

// Listen serves calls on Address and control calls on ControlAddress. It returns the bound addresses.
func (s *Server) Listen() (bound, boundControl string, err error) {
	ln, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return "", "", err
	}
	limited := &limitedListener{Listener: ln, free: make(chan struct{}, s.options.MaxConnections)}
	s.serve(limited, http.HandlerFunc(s.handle))
	if s.options.ControlAddress == "" {
		return ln.Addr().String(), "", nil
	}
	control, err := net.Listen("tcp", s.options.ControlAddress)
	if err != nil {
		_ = s.Close()
		return "", "", err
	}
	s.serve(control, s.controlHandler())
	return ln.Addr().String(), control.Addr().String(), nil
}

func (s *Server) serve(ln net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(ln) }()
}

// Shutdown stops listening and waits for the calls that run.
func (s *Server) Shutdown(ctx context.Context) error {
	errs := make([]error, 0, len(s.servers))
	for _, server := range s.servers {
		errs = append(errs, server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// Close stops at once, as in a crash.
func (s *Server) Close() error {
	errs := make([]error, 0, len(s.servers))
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// SetBehaviour replaces the present behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// MakeCold makes the upstream cold again without warning.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.chill(s.now())
}

// report returns what the health and load endpoints say, which may lag or lie.
func (s *Server) report() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaviour.ReportOverride != nil {
		return *s.behaviour.ReportOverride
	}
	now := s.now()
	lag := time.Duration(s.behaviour.ReportLagMS) * time.Millisecond
	if s.reportedAt.IsZero() || now.Sub(s.reportedAt) >= lag {
		s.reported = s.capacity.report(now, s.behaviour)
		s.reportedAt = now
	}
	return s.reported
}

// limitedListener closes connections above a limit as soon as they are accepted.
type limitedListener struct {
	net.Listener
	free chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.free <- struct{}{}:
			return &limitedConn{Conn: c, free: l.free}, nil
		default:
			_ = c.Close()
		}
	}
}

type limitedConn struct {
	net.Conn
	free chan struct{}
	once sync.Once
}

func (c *limitedConn) Close() error {
	c.once.Do(func() { <-c.free })
	return c.Conn.Close()
}
