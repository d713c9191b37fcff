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

const maxWatchWait = 30 * time.Second

// item is an entry of the store or, if Deleted is true, its removal.
type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value,omitempty"`
	Revision   uint64 `json:"revision"`
	CreatedRev uint64 `json:"created_rev,omitempty"`
	Lease      uint64 `json:"lease"`
	Deleted    bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's metadata store. Its whole history stays available. Each node reaches it at an
// address of its own (a storeLink), so that a single node can be cut off.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []item
	revision uint64
	changed  chan struct{}
}

func newStore() *store {
	return &store{items: map[string]item{}, revision: 100, changed: make(chan struct{})}
}

// put writes an entry and returns its revision.
func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := item{Key: key, Value: data, Revision: s.revision, CreatedRev: s.revision}
	if old, ok := s.items[key]; ok {
		e.CreatedRev = old.CreatedRev
	}
	s.items[key] = e
	s.append(e)
	return s.revision
}

func (s *store) remove(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
	return s.revision
}

// append adds an event to the history. s.mu is held.
func (s *store) append(e item) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeLink is the address at which one node reaches the store. While it is cut, no bytes pass: connections stay open,
// calls are not answered, and no connection is refused or reset.
type storeLink struct {
	store *store
	mu    sync.Mutex
	calls int
	cut   bool
	// healed is closed when the cut ends.
	healed chan struct{}
}

func (l *storeLink) serve(address string) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, l) }()
	return nil
}

func (l *storeLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.cut {
		return
	}
	l.cut = cut
	if cut {
		l.healed = make(chan struct{})
	} else {
		close(l.healed)
	}
}

// callCount returns the number of calls so far.
func (l *storeLink) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

// awaitHealed blocks while the link is cut and reports whether it was.
func (l *storeLink) awaitHealed(r *http.Request) bool {
	l.mu.Lock()
	cut, healed := l.cut, l.healed
	l.mu.Unlock()
	if cut {
		select {
		case <-healed:
		case <-r.Context().Done():
		}
	}
	return cut
}

func (l *storeLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	if l.awaitHealed(r) {
		// A connection on which an answer is lost returns nothing further.
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	var answer any
	switch r.URL.Path {
	case "/-/kv-range":
		answer = l.store.list(q.Get("prefix"), q.Get("after"))
	case "/-/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		answer = l.store.watch(r, q.Get("prefix"), after, min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	case "/-/kv-key":
		e, ok := l.store.get(q.Get("key"))
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer = e
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if l.awaitHealed(r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) get(key string) (map[string]any, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.items[key]
	return map[string]any{
		"key": e.Key, "value": e.Value, "revision": e.Revision, "created_rev": e.CreatedRev, "lease": e.Lease, "current_rev": s.revision,
	}, ok
}

// list returns one page of at most 500 entries.
func (s *store) list(prefix, after string) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	return map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) any {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "current_rev": revision}
		if len(events) > 0 {
			return answer
		}
		select {
		case <-changed:
		case <-timer.C:
			return answer
		case <-r.Context().Done():
			return answer
		}
	}
}
