// Package platform is a stand-in for the platform's configuration service and list of VMs. It serves the
// published protocol from memory, with the platform's read allowance, and can be given faults.
package platform

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/valyala/fasthttp"
)

// DefaultReadsPerSecond is the platform's read allowance over all readers.
const DefaultReadsPerSecond = 2000

// maxValueBytes is the largest value that the platform's service holds.
const maxValueBytes = 1 << 20

// FaultKind is how the service misbehaves.
type FaultKind string

// Faults of the service.
const (
	// FaultNone answers normally.
	FaultNone FaultKind = ""
	// FaultDown answers 503.
	FaultDown FaultKind = "down"
	// FaultFrozen accepts requests and never answers them; their connections close when the fault ends.
	FaultFrozen FaultKind = "frozen"
	// FaultStale serves an older publication as if it were the newest.
	FaultStale FaultKind = "stale"
)

// Fault is the present misbehaviour.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// StaleRevision is the revision served by Stale; 0 means the one before the newest.
	StaleRevision uint64 `json:"stale_revision,omitempty"`
	// MemberListDelayMS delays each later change of the member list, in milliseconds.
	MemberListDelayMS int64 `json:"list_lag_ms,omitempty"`
}

// Options configures a Server.
type Options struct {
	// ReadsPerSecond is the read allowance over all readers; 0 means DefaultReadsPerSecond.
	ReadsPerSecond int
	// Now is the clock of the read allowance; nil means time.Now.
	Now func() time.Time
}

// publication is one published manifest.
type publication struct {
	revision uint64
	manifest []byte
}

// Server is the stand-in. Its methods are safe for concurrent use.
type Server struct {
	allowance *allowance
	now       func() time.Time
	traffic   *traffic
	closed    chan struct{}
	closeOnce sync.Once
	listeners []net.Listener

	mu           sync.Mutex
	publications []publication
	values       map[string][]byte
	members      platform.MemberList
	memberEdits  uint64
	fault        Fault
	changed      chan struct{}
	thawed       chan struct{}
}

// New returns a server that has published nothing.
func New(o Options) *Server {
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Server{
		allowance: newAllowance(o.ReadsPerSecond, time.Second),
		now:       o.Now,
		traffic:   newTraffic(),
		closed:    make(chan struct{}),
		values:    map[string][]byte{},
		members:   platform.MemberList{Revision: 1, Members: []platform.Member{}},
		changed:   make(chan struct{}),
		thawed:    make(chan struct{}),
	}
}

// Listen serves the platform's protocol on address, and the control port on controlAddress unless that is
// empty. It returns the bound addresses.
func (s *Server) Listen(address, controlAddress string) (bound, boundControl string, err error) {
	bound, err = s.listen(address, s.handle, true)
	if err != nil || controlAddress == "" {
		return bound, "", err
	}
	boundControl, err = s.listen(controlAddress, s.control, false)
	return bound, boundControl, err
}

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
		ln = s.traffic.wrap(ln)
	}
	server := &fasthttp.Server{
		Handler:            handler,
		Name:               "platform-standin",
		MaxRequestBodySize: 64 << 20,
		Logger:             silent{},
	}
	go func() { _ = server.Serve(ln) }()
	return bound, nil
}

// Close stops listening and releases all waiting requests.
func (s *Server) Close() error {
	var errs []error
	s.closeOnce.Do(func() {
		close(s.closed)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, ln := range s.listeners {
			errs = append(errs, ln.Close())
		}
		s.traffic.closeAll()
	})
	return errors.Join(errs...)
}

// CountersByIP returns what each remote IP has read so far.
func (s *Server) CountersByIP() map[string]ClientCounters { return s.traffic.snapshot() }

// SetFault replaces the present fault.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.Kind == FaultFrozen && f.Kind != FaultFrozen {
		close(s.thawed)
		s.thawed = make(chan struct{})
	}
	s.fault = f
	s.wake()
}

// wake releases the waiting watches, which look again. The caller holds the mutex.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type silent struct{}

func (silent) Printf(string, ...any) {}
