package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeEvent is an item as it was written or, if Deleted is true, its removal.
type storeEvent struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	items    map[string]storeEvent
	events   []storeEvent
	revision uint64
	changed  chan struct{}
	server   *http.Server
	address  string
}

func newStore() *store {
	return &store{items: map[string]storeEvent{}, revision: 100, changed: make(chan struct{})}
}

func (s *store) serve(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/kv-key", s.handleKey)
	mux.HandleFunc("/-/kv-range", s.handleRange)
	mux.HandleFunc("/-/kv-watch", s.handleWatch)
	s.address, s.server = address, &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// put writes an item and returns the time of its acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(storeEvent{Key: key, Value: data})
}

// remove removes an item and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time { return s.write(storeEvent{Key: key, Deleted: true}) }

func (s *store) write(e storeEvent) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.items[e.Key]
	if e.Deleted && !known {
		return time.Now()
	}
	s.revision++
	e.Revision, e.CreatedRev = s.revision, s.revision
	if known {
		e.CreatedRev = old.CreatedRev
	}
	if e.Deleted {
		e.CreatedRev = 0
		delete(s.items, e.Key)
	} else {
		s.items[e.Key] = e
	}
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func answerJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	current := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answerJSON(w, map[string]any{
		"key": item.Key, "value": item.Value, "revision": item.Revision, "created_rev": item.CreatedRev, "lease": 0, "current_rev": current,
	})
}

const pageItems = 500

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := make([]storeEvent, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	current := s.revision
	s.mu.Unlock()
	answerJSON(w, map[string]any{"items": items, "has_more": more, "current_rev": current})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	prefix := q.Get("prefix")
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []storeEvent{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			answerJSON(w, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}
