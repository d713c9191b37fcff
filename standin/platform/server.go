// Package platform is a stand-in for the platform's configuration service and member list in tests and demos. It serves
// the platform's HTTP protocol from memory, enforces the platform's read limit and simulates faults.
package platform

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/valyala/fasthttp"
)

// DefaultReadsPerSecond is the platform's read limit, which all readers share.
const DefaultReadsPerSecond = 2000

// maxValueBytes is the size of the largest value that the platform stores.
const maxValueBytes = 1 << 20

// FaultKind is the kind of a simulated fault of the service.
type FaultKind string

// Kinds of faults.
const (
	// FaultNone means that the service answers normally.
	FaultNone FaultKind = ""
	// FaultDown means that the service answers 503 to each read.
	FaultDown FaultKind = "down"
	// FaultFrozen means that the service accepts requests but does not answer them. When the fault ends, it closes
	// their connections.
	FaultFrozen FaultKind = "frozen"
	// FaultStale means that the service serves an older manifest as if it were the newest.
	FaultStale FaultKind = "stale"
)

// Fault is a simulated fault of the service. The zero value is normal operation.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// StaleRevision is the revision that is served with FaultStale; 0 means the one before the newest.
	StaleRevision uint64 `json:"stale_revision,omitempty"`
	// MemberListDelayMS is the delay in milliseconds of each change of the member list that is made while the fault is
	// set. It applies with any kind of fault.
	MemberListDelayMS int64 `json:"list_lag_ms,omitempty"`
}

// Options configures a Server.
type Options struct {
	// ReadsPerSecond is the read limit, which all readers share; 0 means DefaultReadsPerSecond.
	ReadsPerSecond int
	// Now is the clock of the read limit; nil means time.Now.
	Now func() time.Time
}

// publication is one published manifest.
type publication struct {
	revision uint64
	manifest []byte
}

// Server is a stand-in for the platform. Its methods are safe for concurrent use.
type Server struct {
	readLimiter *readLimiter
	now         func() time.Time
	traffic     *trafficCounter
	closed      chan struct{}
	closeOnce   sync.Once
	listeners   []net.Listener

	mu            sync.Mutex
	publications  []publication
	values        map[string][]byte
	members       platform.MemberList
	memberUpdates uint64
	fault         Fault
	// changed is closed and replaced when a publication, the member list or the fault changes.
	changed chan struct{}
	// unfrozen is closed and replaced when FaultFrozen ends.
	unfrozen chan struct{}
}

// New returns a server without publications and with an empty member list.
func New(o Options) *Server {
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Server{
		readLimiter: newReadLimiter(o.ReadsPerSecond, time.Second),
		now:         o.Now,
		traffic:     newTrafficCounter(),
		closed:      make(chan struct{}),
		values:      map[string][]byte{},
		members:     platform.MemberList{Revision: 1, Members: []platform.Member{}},
		changed:     make(chan struct{}),
		unfrozen:    make(chan struct{}),
	}
}

// Listen serves the platform's protocol on address and, unless controlAddress is empty, the control port on
// controlAddress. It returns both listen addresses with the actual ports.
func (s *Server) Listen(address, controlAddress string) (bound, boundControl string, err error) {
	bound, err = s.listen(address, s.handleProtocol, true)
	if err != nil || controlAddress == "" {
		return bound, "", err
	}
	boundControl, err = s.listen(controlAddress, s.handleControl, false)
	return bound, boundControl, err
}

// listen serves handler on address. If counted is true, CountersByIP includes the traffic of the listener.
func (s *Server) listen(address string, handler fasthttp.RequestHandler, counted bool) (string, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	s.mu.Unlock()
	bound := ln.Addr().String()
	if counted {
		ln = s.traffic.wrapListener(ln)
	}
	server := &fasthttp.Server{
		Handler:            handler,
		Name:               "platform-standin",
		MaxRequestBodySize: 64 << 20,
		Logger:             discardLogger{},
	}
	go func() { _ = server.Serve(ln) }()
	return bound, nil
}

// Close stops listening, ends all waiting requests and closes the connections of the platform's protocol.
func (s *Server) Close() error {
	var errs []error
	s.closeOnce.Do(func() {
		close(s.closed)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, ln := range s.listeners {
			errs = append(errs, ln.Close())
		}
		s.traffic.closeConnections()
	})
	return errors.Join(errs...)
}

// CountersByIP returns the counters of each remote IP since the start of the server.
func (s *Server) CountersByIP() map[string]ClientCounters { return s.traffic.snapshot() }

// SetFault replaces the current fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Kind == FaultFrozen && f.Kind != FaultFrozen {
		close(s.unfrozen)
		s.unfrozen = make(chan struct{})
	}
	s.fault = f
	s.notifyWatches()
}

// notifyWatches wakes the waiting watch requests, which then read their document again. The caller must hold s.mu.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// discardLogger discards the log lines of fasthttp.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
