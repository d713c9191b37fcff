package delivery

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/cespare/xxhash/v2"
)

type recordState uint8

const (
	running recordState = iota
	done
	barred
)

// record is what the ledger holds of one identity.
type record struct {
	identity string
	state    recordState
	// complete is true when result is whole and can be replayed.
	complete bool
	digest   uint64
	result   Result
	expires  time.Duration
	removed  bool
}

// recordQueue holds records in the order of their expiry, which is the order of their arrival.
type recordQueue struct {
	items []*record
	head  int
}

func (q *recordQueue) push(r *record) { q.items = append(q.items, r) }

func (q *recordQueue) front() *record {
	if q.head == len(q.items) {
		return nil
	}
	return q.items[q.head]
}

func (q *recordQueue) pop() {
	q.items[q.head] = nil
	q.head++
	if q.head*2 >= len(q.items) {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
}

func (l *Ledger) add(now time.Duration, identity string, rec *record) {
	rec.identity = identity
	rec.expires = now + l.cfg.keep()
	l.records[identity] = rec
	l.order.push(rec)
}

// remove forgets a record; its queue entry is dropped when it reaches the front.
func (l *Ledger) remove(rec *record) {
	l.bytes -= len(rec.result.Body)
	rec.result = Result{}
	rec.removed = true
	delete(l.records, rec.identity)
}

// expire drops records past the keep time. A record that is still running is held for another keep time,
// because its response has not been recorded yet.
func (l *Ledger) expire(now time.Duration) {
	for {
		rec := l.order.front()
		if rec == nil || (!rec.removed && rec.expires > now) {
			return
		}
		l.order.pop()
		switch {
		case rec.removed:
		case rec.state == running:
			rec.expires = now + l.cfg.keep()
			l.order.push(rec)
		default:
			l.remove(rec)
		}
	}
}

// keepBody copies a response body that is small enough to be replayed and marks the record as complete.
func (l *Ledger) keepBody(rec *record, res Result) []byte {
	if res.Unknown || len(res.Body) > l.cfg.MaxRecordedBody || l.bytes+len(res.Body) > l.cfg.MaxRecordedBytes {
		return nil
	}
	rec.complete = true
	l.bytes += len(res.Body)
	return append([]byte(nil), res.Body...)
}

// refusals remembers refused calls by a 64-bit hash in three buckets of one epoch generation each. An epoch
// is accepted for at most two generations, so a call that leaves the oldest bucket is refused by its epoch. A
// hash collision refuses a call that could have run, which is safe.
type refusals struct {
	span    time.Duration
	max     int
	turned  time.Duration
	size    int
	buckets [3]map[uint64]uint8
	// kinds are the kinds seen; buckets hold their indexes, because a string for each entry takes three times the
	// memory.
	kinds []wire.ErrorKind
}

func newRefusals(span time.Duration, limit int, start time.Duration) refusals {
	return refusals{span: span, max: limit, turned: start}
}

// add remembers a refusal. When the memory is full it is not remembered; then only the sender's connection,
// which delivers no message twice, keeps the call from arriving again.
func (f *refusals) add(now time.Duration, call string, kind wire.ErrorKind) {
	f.turn(now)
	if call == "" || f.size >= f.max {
		return
	}
	if f.buckets[0] == nil {
		f.buckets[0] = map[uint64]uint8{}
	}
	f.buckets[0][xxhash.Sum64String(call)] = f.index(kind)
	f.size++
}

func (f *refusals) index(kind wire.ErrorKind) uint8 {
	i := slices.Index(f.kinds, kind)
	if i < 0 {
		i = len(f.kinds)
		f.kinds = append(f.kinds, kind)
	}
	return uint8(i)
}

func (f *refusals) find(now time.Duration, call string) (wire.ErrorKind, bool) {
	f.turn(now)
	if f.size == 0 || call == "" {
		return "", false
	}
	hash := xxhash.Sum64String(call)
	for _, bucket := range f.buckets {
		if i, found := bucket[hash]; found {
			return f.kinds[i], true
		}
	}
	return "", false
}

func (f *refusals) turn(now time.Duration) {
	for i := 0; now-f.turned >= f.span; i++ {
		if i == len(f.buckets) {
			f.turned = now
			return
		}
		f.size -= len(f.buckets[2])
		f.buckets[2], f.buckets[1], f.buckets[0] = f.buckets[1], f.buckets[0], nil
		f.turned += f.span
	}
}
