package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created_rev,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. Each VM has an address of its own for it, so that its calls are known.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	// calls counts the calls of each VM. silent has the VMs whose calls are not answered.
	calls  map[string]int
	silent map[string]bool
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), calls: map[string]int{}, silent: map[string]bool{}}
}

// listenFor returns the address at which the VM reaches the store.
func (s *store) listenFor(vm string) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	must(err)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serve(vm, w, q) }))
	}()
	return l.Addr().String()
}

// setSilent makes the store answer no calls of a VM, or answer them again.
func (s *store) setSilent(vm string, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent[vm] = silent
	close(s.changed)
	s.changed = make(chan struct{})
}

// callCounts returns how often each VM has called the store.
func (s *store) callCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}

// put writes an entry; a nil value removes it. The entry counts as acknowledged when put returns.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, exists := s.items[key]; exists {
		e.Created = old.Created
	}
	if value == nil {
		e.Deleted, e.Created = true, 0
		delete(s.items, key)
	} else {
		s.items[key] = e
	}
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(vm string, w http.ResponseWriter, q *http.Request) {
	s.mu.Lock()
	s.calls[vm]++
	silent := s.silent[vm]
	s.mu.Unlock()
	if silent {
		<-q.Context().Done()
		panic(http.ErrAbortHandler)
	}
	var answer any
	switch q.URL.Path {
	case "/-/kv-range":
		answer = s.list(q.URL.Query().Get("prefix"))
	case "/-/kv-watch":
		answer = s.watch(vm, q)
	}
	if answer == nil {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(answer)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (s *store) list(prefix string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, e)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return map[string]any{"items": items, "has_more": false, "current_rev": s.revision}
}

// watch waits for events. A VM whose calls are no longer answered gets no answer.
func (s *store) watch(vm string, q *http.Request) any {
	after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	prefix := q.URL.Query().Get("prefix")
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed, silent := s.revision, s.changed, s.silent[vm]
		s.mu.Unlock()
		if silent {
			<-q.Context().Done()
			return nil
		}
		if len(events) > 0 || expired {
			return map[string]any{"events": events, "current_rev": revision}
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-q.Context().Done():
			return nil
		}
	}
}
