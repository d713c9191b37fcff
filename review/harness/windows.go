package main

import "time"

// mostInWindow returns the largest number of matching requests that were both sent by a client and reached a backend
// within a window that begins at from or later, and the start of that window.
func (m *mesh) mostInWindow(from time.Time, window time.Duration, matches func(arrival) bool) (int, time.Time) {
	sentAt := map[string]time.Time{}
	for _, s := range m.ledger.all() {
		sentAt[s.id] = s.at
	}
	type span struct{ sent, arrived time.Time }
	var spans []span
	for _, a := range m.arrivals.all() {
		if at, ok := sentAt[a.id]; ok && matches(a) && !at.Before(from) {
			spans = append(spans, span{at, a.at})
		}
	}
	most, start := 0, from
	for _, first := range spans {
		n := 0
		for _, s := range spans {
			if !s.sent.Before(first.sent) && s.arrived.Before(first.sent.Add(window)) {
				n++
			}
		}
		if n > most {
			most, start = n, first.sent
		}
	}
	return most, start
}
