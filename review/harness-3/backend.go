package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// backendOptions describe a stand-in of a backend.
type backendOptions struct {
	id, service, zone, address string
	slots, queue               int
	heartbeat                  time.Duration
	// work returns how long a request runs.
	work func(path string) time.Duration
	// calls makes the calls of a request to other services. It returns false if one failed. It may be nil.
	calls func(id string) bool
	// onRun is called when a request begins to run.
	onRun func(b *backend, id, path string, at time.Time)
}

// backend is a stand-in of a backend with its slots, queue, health check and entry in the store.
type backend struct {
	backendOptions
	store *store
	born  int64
	slot  chan struct{}
	// queued counts the requests that wait for a slot.
	queued  atomic.Int64
	runs    atomic.Int64
	server  *http.Server
	stopped chan struct{}

	mu        sync.Mutex
	sequence  int
	state     string
	coldUntil time.Time
	written   string
	// silentUntil is the time until which the machine is cut off from the store.
	silentUntil time.Time
	beatAt      time.Time
}

func startBackend(o backendOptions, s *store) (*backend, error) {
	b := &backend{
		backendOptions: o, store: s, born: time.Now().UnixMilli(), slot: make(chan struct{}, o.slots), state: "ready", stopped: make(chan struct{}),
	}
	l, err := net.Listen("tcp4", o.address)
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: http.HandlerFunc(b.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = b.server.Serve(l) }()
	b.beat()
	go func() {
		ticker := time.NewTicker(o.heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-b.stopped:
				return
			case <-ticker.C:
				b.beat()
			}
		}
	}()
	return b, nil
}

// beat writes the backend's entry. The entry changes when more than the sequence changes.
func (b *backend) beat() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.silentUntil) {
		return time.Now()
	}
	b.sequence++
	b.beatAt = time.Now()
	cold := max(0, time.Until(b.coldUntil).Seconds())
	if look := fmt.Sprint(b.state, cold); look == b.written {
		return time.Now()
	} else {
		b.written = look
	}
	return b.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": b.state,
		"cold_remaining_s": cold, "sequence": b.sequence, "born": b.born,
	})
}

// silence makes the backend write no entry for some time. The store removes its entry after three heartbeats without one.
func (b *backend) silence(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silentUntil = time.Now().Add(duration)
	if lapse := 3*b.heartbeat - time.Since(b.beatAt); lapse < duration {
		time.AfterFunc(lapse, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.written = ""
			b.store.remove("servers/" + b.id)
		})
	}
}

// setCold makes the backend cold from now on.
func (b *backend) setCold(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldUntil = time.Now().Add(duration)
}

func (b *backend) coldLeft() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return max(0, time.Until(b.coldUntil))
}

// acquire waits for a slot. It returns false if the queue is full or the request has ended.
func (b *backend) acquire(r *http.Request) bool {
	select {
	case b.slot <- struct{}{}:
		return true
	default:
	}
	if b.queued.Add(1) > int64(b.queue) {
		b.queued.Add(-1)
		return false
	}
	defer b.queued.Add(-1)
	select {
	case b.slot <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (b *backend) setLoad(w http.ResponseWriter) {
	w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", len(b.slot), b.queued.Load(), b.slots))
}

func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h["Date"] = nil
	if id := r.Header.Get("Request-Id"); id != "" {
		h.Set("Request-Id", id)
	}
	if r.URL.Path == "/health" {
		b.handleHealth(w, r)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	at := time.Now()
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	deadline := at.Add(time.Hour)
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		deadline = at.Add(time.Duration(ms) * time.Millisecond)
	}
	if !b.acquire(r) {
		h.Set("Not-Executed", "1")
		b.setLoad(w)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.onRun(b, r.Header.Get("Request-Id"), r.URL.RequestURI(), at)
	n := b.runs.Add(1)
	took := b.work(r.URL.Path)
	if b.coldLeft() > 0 {
		took *= 2
	}
	status := http.StatusOK
	if left := time.Until(deadline); took > left {
		took, status = left, http.StatusGatewayTimeout
	}
	timer := time.NewTimer(took)
	select {
	case <-timer.C:
	case <-r.Context().Done():
		timer.Stop()
		<-b.slot
		return
	}
	if status == http.StatusOK && b.calls != nil && !b.calls(r.Header.Get("Request-Id")) {
		status = http.StatusInternalServerError
	}
	<-b.slot
	h.Set("Instance-Stamp", fmt.Sprintf("%s.%d", b.id, n))
	b.setLoad(w)
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "run %d of %s\n", n, r.Header.Get("Request-Id"))
}

// handleHealth answers the health check, which waits for a slot like any other request.
func (b *backend) handleHealth(w http.ResponseWriter, r *http.Request) {
	if !b.acquire(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	<-b.slot
	w.Header().Set("Instance-Id", b.id)
	w.Header().Set("Cold-Ms", strconv.FormatInt(b.coldLeft().Milliseconds(), 10))
	b.setLoad(w)
	b.mu.Lock()
	state := b.state
	b.mu.Unlock()
	if state != "ready" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stop ends the backend at once.
func (b *backend) stop() {
	select {
	case <-b.stopped:
	default:
		close(b.stopped)
	}
	_ = b.server.Close()
}

// spread returns a random duration around a mean, between a quarter of it and four times it.
func spread(mean time.Duration) time.Duration {
	f := rand.ExpFloat64()*0.6 + 0.4
	return time.Duration(min(4, max(0.25, f)) * float64(mean))
}
