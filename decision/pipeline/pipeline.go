// Package pipeline decides, for one connection, which requests run side by side and which response is written next.
// Callers may send further requests before the first one is answered (RFC 9112, section 9.3.2); the responses follow in
// the order of the requests.
package pipeline

// Sequence holds the requests of one connection that were read and whose responses have not been written, in the order
// in which they arrived. It is not safe for concurrent use.
type Sequence struct {
	limit   int
	entries []entry
	nextID  uint64
	closed  bool
	writing bool
}

type entry struct {
	id uint64
	// exclusive is true for a request that runs only while no other one does.
	exclusive bool
	started   bool
	ended     bool
}

// NewSequence returns an empty sequence that accepts at most limit requests at a time.
func NewSequence(limit int) *Sequence { return &Sequence{limit: limit} }

// Len returns the number of requests whose responses have not been written.
func (s *Sequence) Len() int { return len(s.entries) }

// Closed reports whether no further request is accepted.
func (s *Sequence) Closed() bool { return s.closed }

// CanAccept reports whether another request may be read. Nothing is read behind a request that has to wait, so a caller
// that sends without reading cannot fill the memory.
func (s *Sequence) CanAccept() bool {
	n := len(s.entries)
	return !s.closed && n < s.limit && (n == 0 || s.entries[n-1].started)
}

// Accept adds a request that was read and reports whether it starts now. Otherwise StartWaiting starts it later. An
// exclusive request neither starts before all earlier ones have ended, nor does a later one start before it has ended.
// final means that the caller wants the connection closed after the response.
func (s *Sequence) Accept(exclusive, final bool) (id uint64, start bool) {
	s.nextID++
	e := entry{id: s.nextID, exclusive: exclusive}
	e.started = s.canStart(&e, s.entries)
	s.entries = append(s.entries, e)
	s.closed = s.closed || final
	return e.id, e.started
}

func (s *Sequence) canStart(e *entry, earlier []entry) bool {
	for i := range earlier {
		if !earlier[i].ended && (e.exclusive || earlier[i].exclusive || !earlier[i].started) {
			return false
		}
	}
	return true
}

// End records that the response to a request is ready.
func (s *Sequence) End(id uint64) {
	for i := range s.entries {
		if s.entries[i].id == id {
			s.entries[i].ended = true
		}
	}
}

// StartWaiting starts the request that waits for earlier ones, if it need not wait any longer.
func (s *Sequence) StartWaiting() (id uint64, ok bool) {
	last := len(s.entries) - 1
	if last < 0 || s.entries[last].started || !s.canStart(&s.entries[last], s.entries[:last]) {
		return 0, false
	}
	s.entries[last].started = true
	return s.entries[last].id, true
}

// Close makes the sequence accept no further request. It returns the request that has not started and now never will.
// Its caller may send it again, because a request behind a response that closes its connection counts as not read.
func (s *Sequence) Close() (dropped uint64, ok bool) {
	s.closed = true
	last := len(s.entries) - 1
	if last < 0 || s.entries[last].started {
		return 0, false
	}
	dropped = s.entries[last].id
	s.entries = s.entries[:last]
	return dropped, true
}

// NextToWrite returns the request whose response is to be written now, if there is one. last is true if the response has
// to announce that the connection is closed: it is the last one of a closed sequence. A response before others that are
// still due must not announce that, because the callers of those would send their requests again although they run.
// Written must follow before the next call that returns a request.
func (s *Sequence) NextToWrite() (id uint64, last, ok bool) {
	if s.writing || len(s.entries) == 0 || !s.entries[0].ended {
		return 0, false, false
	}
	s.writing = true
	return s.entries[0].id, s.closed && len(s.entries) == 1, true
}

// Written records that the response that NextToWrite returned was written, or could not be written.
func (s *Sequence) Written() {
	s.writing = false
	s.entries = append(s.entries[:0], s.entries[1:]...)
}
