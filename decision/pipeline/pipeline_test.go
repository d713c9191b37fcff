package pipeline

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// sequenceModel drives a Sequence and checks it against what callers must get.
type sequenceModel struct {
	limit                       int
	sequence                    *Sequence
	exclusive, running, dropped map[uint64]bool
	// closedBy is the request whose caller wants the connection closed after it, or 0.
	closedBy          uint64
	accepted, written []uint64
	// writing is true while a response is written, announced once one has announced the close of the connection.
	writing, announced bool
}

func newSequenceModel(limit int) *sequenceModel {
	return &sequenceModel{
		limit: limit, sequence: NewSequence(limit), exclusive: map[uint64]bool{}, running: map[uint64]bool{}, dropped: map[uint64]bool{},
	}
}

func (m *sequenceModel) started(t *rapid.T, id uint64) {
	for other := range m.running {
		if m.exclusive[id] || m.exclusive[other] {
			t.Fatalf("request %d started beside %d", id, other)
		}
	}
	m.running[id] = true
}

func (m *sequenceModel) accept(t *rapid.T) {
	if !m.sequence.CanAccept() {
		return
	}
	alone, final := rapid.Bool().Draw(t, "exclusive"), rapid.IntRange(0, 9).Draw(t, "final") == 0
	id, start := m.sequence.Accept(alone, final)
	m.accepted, m.exclusive[id] = append(m.accepted, id), alone
	if final {
		m.closedBy = id
	}
	if start {
		m.started(t, id)
	}
}

// runningInOrder returns the requests that run, in the order in which they were accepted.
func (m *sequenceModel) runningInOrder() []uint64 {
	ids := make([]uint64, 0, len(m.running))
	for _, id := range m.accepted {
		if m.running[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (m *sequenceModel) endAny(t *rapid.T) {
	if ids := m.runningInOrder(); len(ids) > 0 {
		m.end(t, rapid.SampledFrom(ids).Draw(t, "ended"))
	}
}

func (m *sequenceModel) end(t *rapid.T, id uint64) {
	delete(m.running, id)
	m.sequence.End(id)
	if next, ok := m.sequence.StartWaiting(); ok {
		m.started(t, next)
	}
}

// write begins to write the next response, or ends writing the present one.
func (m *sequenceModel) write(t *rapid.T) {
	if m.writing {
		m.sequence.Written()
		m.writing = false
		return
	}
	id, last, ok := m.sequence.NextToWrite()
	if !ok {
		return
	}
	if m.announced {
		t.Fatalf("response %d follows one that announced the close of the connection", id)
	}
	m.written, m.writing, m.announced = append(m.written, id), true, last
}

func (m *sequenceModel) close(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "really") != 0 {
		return
	}
	if id, ok := m.sequence.Close(); ok {
		m.dropped[id] = true
	}
}

func (m *sequenceModel) check(t *rapid.T) {
	if m.sequence.Len() > m.limit {
		t.Fatalf("%d requests, the limit is %d", m.sequence.Len(), m.limit)
	}
	for id := range m.dropped {
		open := m.exclusive[id] && m.closedBy == id && m.sequence.Len() > 0 && !m.sequence.Closed()
		if m.running[id] || open {
			t.Fatalf("dropped request %d runs", id)
		}
	}
}

// drain ends everything that was accepted and checks that everything that was not dropped is answered in order.
func (m *sequenceModel) drain(t *rapid.T) {
	for guard := 0; m.sequence.Len() > 0; guard++ {
		if guard > 4*len(m.accepted)+4 {
			t.Fatal("requests are left that neither run nor are answered")
		}
		if m.writing {
			m.write(t)
		}
		if ids := m.runningInOrder(); len(ids) > 0 {
			m.end(t, ids[0])
		}
		m.write(t)
	}
	kept := slices.DeleteFunc(slices.Clone(m.accepted), func(id uint64) bool { return m.dropped[id] })
	if !slices.Equal(kept, m.written) {
		t.Fatalf("accepted %v without the dropped ones, wrote %v", kept, m.written)
	}
}

// Load: a caller sends requests behind one another, of both kinds, while earlier ones end in any order, responses are
// written slowly, and the connection is closed at any time. Guards against a response in the wrong place, a request that
// runs beside one that must run alone, a response that announces the close of the connection before others that are
// due, a request that never starts or is never answered, and more requests than the limit.
func TestResponsesFollowRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSequenceModel(rapid.IntRange(1, 6).Draw(t, "limit"))
		t.Repeat(map[string]func(*rapid.T){
			"accept": m.accept, "end": m.endAny, "write": m.write, "close": m.close, "": m.check,
		})
		m.drain(t)
	})
}

// Guards against a close that is announced before a response that is due, and against passing on a request behind a
// response that closes the connection.
func TestCloseIsAnnouncedByLastResponse(t *testing.T) {
	g := NewWithT(t)
	s := NewSequence(4)
	first, _ := s.Accept(false, false)
	second, start := s.Accept(false, false)
	g.Expect(start).To(BeTrue())
	third, start := s.Accept(true, false)
	g.Expect(start).To(BeFalse())
	g.Expect(s.CanAccept()).To(BeFalse())
	s.End(first)
	dropped, ok := s.Close()
	g.Expect(ok).To(BeTrue())
	g.Expect(dropped).To(Equal(third))
	id, last, ok := s.NextToWrite()
	g.Expect([]any{id, last, ok}).To(Equal([]any{first, false, true}))
	s.Written()
	_, _, ok = s.NextToWrite()
	g.Expect(ok).To(BeFalse())
	s.End(second)
	id, last, ok = s.NextToWrite()
	g.Expect([]any{id, last, ok}).To(Equal([]any{second, true, true}))
}
