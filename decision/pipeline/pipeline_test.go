package pipeline

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Load: a caller sends requests behind one another, of both kinds, while earlier ones end in any order, responses are
// written slowly, and the connection is closed at any time. Guards against a response in the wrong place, a request that
// runs beside one that must run alone, a response that announces the close of the connection before others that are
// due, a request that never starts or is never answered, and more requests than the limit.
func TestResponsesFollowRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		s := NewSequence(limit)
		exclusive, running, dropped, closedBy := map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}, uint64(0)
		var accepted, written []uint64
		writing, announced := false, false
		started := func(id uint64) {
			for other := range running {
				if exclusive[id] || exclusive[other] {
					t.Fatalf("request %d started beside %d", id, other)
				}
			}
			running[id] = true
		}
		end := func(id uint64) {
			delete(running, id)
			s.End(id)
			if next, ok := s.StartWaiting(); ok {
				started(next)
			}
		}
		write := func() {
			id, last, ok := s.NextToWrite()
			if !ok {
				return
			}
			if announced {
				t.Fatalf("response %d follows one that announced the close of the connection", id)
			}
			written, writing, announced = append(written, id), true, last
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept": func(t *rapid.T) {
				if !s.CanAccept() {
					return
				}
				alone, final := rapid.Bool().Draw(t, "exclusive"), rapid.IntRange(0, 9).Draw(t, "final") == 0
				id, start := s.Accept(alone, final)
				accepted, exclusive[id] = append(accepted, id), alone
				if final {
					closedBy = id
				}
				if start {
					started(id)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				ids := make([]uint64, 0, len(running))
				for _, id := range accepted {
					if running[id] {
						ids = append(ids, id)
					}
				}
				end(rapid.SampledFrom(ids).Draw(t, "ended"))
			},
			"write": func(*rapid.T) {
				if writing {
					s.Written()
					writing = false
				} else {
					write()
				}
			},
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "really") == 0 {
					if id, ok := s.Close(); ok {
						dropped[id] = true
					}
				}
			},
			"": func(t *rapid.T) {
				if s.Len() > limit {
					t.Fatalf("%d requests, the limit is %d", s.Len(), limit)
				}
				for id := range dropped {
					if running[id] || exclusive[id] && closedBy == id && s.Len() > 0 && !s.Closed() {
						t.Fatalf("dropped request %d runs", id)
					}
				}
			},
		})
		// Everything that was accepted ends, and everything that was not dropped is answered in order.
		for guard := 0; s.Len() > 0; guard++ {
			if guard > 4*len(accepted)+4 {
				t.Fatal("requests are left that neither run nor are answered")
			}
			if writing {
				s.Written()
				writing = false
			}
			for _, id := range accepted {
				if running[id] {
					end(id)
					break
				}
			}
			write()
		}
		kept := make([]uint64, 0, len(accepted))
		for _, id := range accepted {
			if !dropped[id] {
				kept = append(kept, id)
			}
		}
		if len(kept) != len(written) {
			t.Fatalf("accepted %v, wrote %v", kept, written)
		}
		for i := range kept {
			if kept[i] != written[i] {
				t.Fatalf("accepted %v, wrote %v", kept, written)
			}
		}
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
