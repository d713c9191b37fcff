package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// arrival is one request that reached a backend.
type arrival struct {
	id, tenant, backend string
	at                  time.Time
	ran                 bool
}

// arrivals collects the requests that reached the backends.
type arrivals struct {
	mu   sync.Mutex
	list []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

func (a *arrivals) all() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.list...)
}

// backend stands in for the application backend beside a node. It has a number of slots and a queue, answers with the
// ID of the request, and refuses requests for another instance.
type backend struct {
	id, service, address, zone string
	slots, queue               int
	work                       time.Duration
	heartbeat                  time.Duration
	store                      *store
	arrivals                   *arrivals
	rec                        *recorder
	// crashRate is the number of requests in a second above which a cold backend crashes; 0 means never.
	crashRate int

	listener net.Listener
	server   *http.Server
	running  chan struct{}

	mu          sync.Mutex
	waiting     int
	sequence    int
	born        time.Time
	coldUntil   time.Time
	lastHealth  time.Time
	recent      []time.Time
	stopBeats   chan struct{}
	crashed     bool
	healthCalls int
}

func (b *backend) start() error {
	l, err := net.Listen("tcp4", b.address)
	if err != nil {
		return err
	}
	b.listener, b.running, b.born, b.stopBeats = l, make(chan struct{}, b.slots), time.Now(), make(chan struct{})
	b.server = &http.Server{Handler: b, IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	b.beat()
	go func() {
		tick := time.NewTicker(b.heartbeat)
		defer tick.Stop()
		for {
			select {
			case <-b.stopBeats:
				return
			case <-tick.C:
				b.beat()
			}
		}
	}()
	return nil
}

// beat writes the entry of the backend.
func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stopBeats:
		return
	default:
	}
	b.sequence++
	b.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": "ready",
		"cold_remaining_s": max(0, time.Until(b.coldUntil).Seconds()), "sequence": b.sequence, "born": b.born.UnixMilli(),
	})
}

// leaveWithoutNotice removes the entry without a report of draining. The backend goes on serving until stop. It returns
// when the store has acknowledged the removal.
func (b *backend) leaveWithoutNotice() {
	b.mu.Lock()
	close(b.stopBeats)
	b.mu.Unlock()
	b.store.remove("servers/" + b.id)
}

// stop ends the backend's process: its listener and all its connections are closed.
func (b *backend) stop() { _ = b.server.Close() }

func (b *backend) load() string {
	return fmt.Sprintf("%d,%d,%d", len(b.running), b.waiting, b.slots)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	cold := max(0, time.Until(b.coldUntil))
	w.Header().Set("Server-Load", b.load())
	w.Header().Set("Keep-Alive", "timeout=10")
	b.mu.Unlock()
	if r.URL.Path == "/health" {
		b.mu.Lock()
		b.lastHealth = time.Now()
		b.healthCalls++
		b.mu.Unlock()
		w.Header().Set("Instance-Id", b.id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x := arrival{id: id, tenant: r.Header.Get("Tenant"), backend: b.id, at: time.Now()}
	b.noteRate(x.at)
	if !b.takeSlot(r) {
		b.arrivals.add(x)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-b.running }()
	x.ran = true
	b.arrivals.add(x)
	b.rec.add("backend %s runs %s", b.id, id)
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Instance-Stamp", b.id+"."+id)
	_, _ = io.WriteString(w, "done "+id+"\n")
}

// takeSlot waits for a slot in the backend's own queue.
func (b *backend) takeSlot(r *http.Request) bool {
	select {
	case b.running <- struct{}{}:
		return true
	default:
	}
	b.mu.Lock()
	if b.waiting >= b.queue {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
	}()
	select {
	case b.running <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// noteRate counts the requests of the last second and crashes a cold backend that gets too many.
func (b *backend) noteRate(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recent = append(b.recent, at)
	for at.Sub(b.recent[0]) >= time.Second {
		b.recent = b.recent[1:]
	}
	if b.crashRate > 0 && at.Before(b.coldUntil) && len(b.recent) > b.crashRate && !b.crashed {
		b.crashed = true
		b.rec.add("backend %s crashes: %d requests in a second while it is cold", b.id, len(b.recent))
		close(b.stopBeats)
		go func() { _ = b.server.Close() }()
	}
}
