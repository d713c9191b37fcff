package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// execution is one request that a backend ran.
type execution struct {
	backend, id, method, target, tenant, callerService string
	body                                               []byte
	at                                                 time.Time
}

// backend is a stand-in of an application's backend.
type backend struct {
	r          *run
	id, zone   string
	service    string
	address    string
	slots      int
	born       int64
	work       time.Duration
	running    atomic.Int64
	mu         sync.Mutex
	executions []execution
	sequence   int
}

// rawBackend, if set, serves the connections of all backends.
var rawBackend func(conn net.Conn, b *backend)

func (b *backend) listen(ip string) {
	l, err := net.Listen("tcp4", ip+":0")
	must(err)
	b.address = l.Addr().String()
	if rawBackend != nil {
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				go rawBackend(conn, b)
			}
		}()
		return
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(b.serve)) }()
}

// entry returns the entry of the backend in the store.
func (b *backend) entry(state string) []byte {
	b.mu.Lock()
	b.sequence++
	sequence := b.sequence
	b.mu.Unlock()
	value, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
		"cold_remaining_s": 0, "sequence": sequence, "born": b.born,
	})
	must(err)
	return value
}

func (b *backend) serve(w http.ResponseWriter, q *http.Request) {
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", b.running.Load(), b.slots))
	if q.URL.Path == "/health" {
		h.Set("Instance-Id", b.id)
		return
	}
	id := q.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	if expected := q.Header.Get("Expect-Instance"); expected != "" && expected != b.id {
		h.Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	if id == "" || b.running.Load() >= int64(b.slots) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	e := execution{
		backend: b.id, id: id, method: q.Method, target: q.RequestURI, tenant: q.Header.Get("Tenant"),
		callerService: q.Header.Get("Caller-Service"), body: body, at: time.Now(),
	}
	b.mu.Lock()
	b.executions = append(b.executions, e)
	b.mu.Unlock()
	if !b.r.quiet {
		b.r.logf("backend %s runs %s: %s %s, tenant %q", b.id, id, q.Method, q.RequestURI, e.tenant)
	}
	time.Sleep(b.work)
	answer := []byte("answer to " + id + "\n")
	h.Set("Instance-Stamp", b.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// ran reports whether the backend ran the request.
func (b *backend) ran(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range b.executions {
		if b.executions[i].id == id {
			return true
		}
	}
	return false
}
