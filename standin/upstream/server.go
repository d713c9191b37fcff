// Package upstream is a stand-in for an upstream of the mesh in tests and demos. It limits concurrent calls and
// connections, simulates cold starts, draining and load shedding, honours cancellation and deadlines, and records every
// call.
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
	// Address is the address on which the upstream serves calls. LocalAddress is the local port of its node, through
	// which it makes onward calls; if empty, it makes none.
	Address      string `json:"address"`
	LocalAddress string `json:"local_address,omitempty"`
	// ControlAddress is the address of the control port, on which a test driver reads the records and changes the
	// behaviour; empty means no control port.
	ControlAddress string `json:"control_address,omitempty"`
	// Slots is the largest number of calls that the upstream works on at the same time; 0 means 10.
	Slots int `json:"slots"`
	// MaxConnections is the largest number of open connections; 0 means 110. Further connections are closed at once.
	MaxConnections int       `json:"connections"`
	ColdStart      ColdStart `json:"cold_start"`
	// DefaultWorkUS is the time in microseconds that the upstream spends on a call without HeaderWork.
	DefaultWorkUS int64 `json:"work_us,omitempty"`
	// ForbiddenKeys are secret keys that the nodes must not pass on to upstreams. CallRecord.KeySeen tells which
	// requests contained one.
	ForbiddenKeys []string `json:"keys,omitempty"`
	// Now is the clock of the records, the load reports and the cold start; nil means time.Now.
	Now func() time.Time `json:"-"`
}

// Server is a stand-in for an upstream. Its methods are safe for concurrent use.
type Server struct {
	options      Options
	now          func() time.Time
	onwardClient *http.Client
	servers      []*http.Server

	mu           sync.Mutex
	capacity     capacity
	behaviour    Behaviour
	records      []*CallRecord
	lastReport   LoadReport
	lastReportAt time.Time
}

// New returns an upstream that is cold and does not listen yet.
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
		options:      o,
		now:          o.Now,
		onwardClient: newOnwardClient(o.Slots),
		capacity:     capacity{slots: o.Slots, coldStart: o.ColdStart, coldSince: o.Now()},
	}
}

// newOnwardClient returns a client for onward calls that opens a connection for each request. With keep-alive, net/http
// would retry an idempotent request on a reused connection that turns out to be closed, and the records would show that
// the call ran twice.
func newOnwardClient(slots int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		MaxConnsPerHost:   4 * slots,
	}}
}

// Listen serves calls on Options.Address and, unless Options.ControlAddress is empty, the control port on that address.
// It returns both listen addresses with the actual ports.
func (s *Server) Listen() (bound, boundControl string, err error) {
	ln, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return "", "", err
	}
	limited := &limitedListener{Listener: ln, semaphore: make(chan struct{}, s.options.MaxConnections)}
	s.serve(limited, http.HandlerFunc(s.handleCall))
	if s.options.ControlAddress == "" {
		return ln.Addr().String(), "", nil
	}
	controlListener, err := net.Listen("tcp", s.options.ControlAddress)
	if err != nil {
		_ = s.Close()
		return "", "", err
	}
	s.serve(controlListener, s.controlHandler())
	return ln.Addr().String(), controlListener.Addr().String(), nil
}

func (s *Server) serve(ln net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 60 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(ln) }()
}

// Shutdown stops listening and waits until the running calls have finished or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	errs := make([]error, 0, len(s.servers))
	for _, server := range s.servers {
		errs = append(errs, server.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// Close closes the listeners and all connections at once, as a crash would.
func (s *Server) Close() error {
	errs := make([]error, 0, len(s.servers))
	for _, server := range s.servers {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// SetBehaviour replaces the current behaviour.
func (s *Server) SetBehaviour(b Behaviour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behaviour = b
}

// MakeCold makes the upstream cold again, so that its warm-up starts anew.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.capacity.makeCold(s.now())
}

// loadReport returns the report of the health and load endpoints, which the behaviour may delay or override.
func (s *Server) loadReport() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaviour.ReportOverride != nil {
		return *s.behaviour.ReportOverride
	}
	now := s.now()
	lag := time.Duration(s.behaviour.ReportLagMS) * time.Millisecond
	if s.lastReportAt.IsZero() || now.Sub(s.lastReportAt) >= lag {
		s.lastReport = s.capacity.loadReport(now, s.behaviour)
		s.lastReportAt = now
	}
	return s.lastReport
}

// limitedListener closes connections above a limit as soon as they are accepted. The capacity of the channel semaphore
// is the limit; the channel holds one element for each open connection.
type limitedListener struct {
	net.Listener
	semaphore chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.semaphore <- struct{}{}:
			return &limitedConn{Conn: c, semaphore: l.semaphore}, nil
		default:
			_ = c.Close()
		}
	}
}

// limitedConn releases its place in the semaphore of the listener when it is closed.
type limitedConn struct {
	net.Conn
	semaphore   chan struct{}
	releaseOnce sync.Once
}

func (c *limitedConn) Close() error {
	c.releaseOnce.Do(func() { <-c.semaphore })
	return c.Conn.Close()
}
