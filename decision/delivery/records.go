package delivery

import (
	"slices"
	"time"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/cespare/xxhash/v2"
)

type recordState uint8

const (
	stateRunning recordState = iota
	stateDone
	stateBarred
)

// record is the ledger's record of one identity.
type record struct {
	identity string
	state    recordState
	// replayable is true if result is complete, including its body.
	replayable bool
	digest     uint64
	result     Result
	expiresAt  time.Duration
	removed    bool
}

// recordQueue is a FIFO queue of records. They expire in the order in which they were added.
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

func (l *Ledger) addRecord(now time.Duration, identity string, rec *record) {
	rec.identity = identity
	rec.expiresAt = now + l.cfg.recordLifetime()
	l.records[identity] = rec
	l.expiryQueue.push(rec)
}

// removeRecord removes a record; its entry in expiryQueue is removed when it reaches the front.
func (l *Ledger) removeRecord(rec *record) {
	l.recordedBytes -= len(rec.result.Body)
	rec.result = Result{}
	rec.removed = true
	delete(l.records, rec.identity)
}

// expireRecords removes the expired records. The record of a call that still runs is kept for another record lifetime,
// because its response has not been recorded yet.
func (l *Ledger) expireRecords(now time.Duration) {
	for {
		rec := l.expiryQueue.front()
		if rec == nil || (!rec.removed && rec.expiresAt > now) {
			return
		}
		l.expiryQueue.pop()
		switch {
		case rec.removed:
		case rec.state == stateRunning:
			rec.expiresAt = now + l.cfg.recordLifetime()
			l.expiryQueue.push(rec)
		default:
			l.removeRecord(rec)
		}
	}
}

// copyBodyForReplay returns a copy of the response body and marks the record as replayable, or returns nil if the
// result is unknown or the body exceeds a limit.
func (l *Ledger) copyBodyForReplay(rec *record, res Result) []byte {
	if res.Unknown || len(res.Body) > l.cfg.MaxRecordedBody || l.recordedBytes+len(res.Body) > l.cfg.MaxRecordedBytes {
		return nil
	}
	rec.replayable = true
	l.recordedBytes += len(res.Body)
	return append([]byte(nil), res.Body...)
}

// refusalMemory records refused calls by a 64-bit hash in three buckets, each of which covers one epoch generation.
// An epoch is accepted for at most two generations, so a call whose entry has been dropped with the oldest bucket is
// refused by its epoch. A hash collision refuses a call that could have run, which is safe.
type refusalMemory struct {
	bucketTime time.Duration
	max        int
	rotatedAt  time.Duration
	size       int
	buckets    [3]map[uint64]uint8
	// kinds are the distinct kinds of refusals; the buckets hold indexes into them, because a string in each entry
	// would take three times the memory.
	kinds []wire.ErrorKind
}

func newRefusalMemory(span time.Duration, limit int, start time.Duration) refusalMemory {
	return refusalMemory{bucketTime: span, max: limit, rotatedAt: start}
}

// add records a refusal, unless the memory is full. An unrecorded call is kept from arriving again only by the sender's
// connection, which delivers no message twice.
func (f *refusalMemory) add(now time.Duration, call string, kind wire.ErrorKind) {
	f.rotate(now)
	if call == "" || f.size >= f.max {
		return
	}
	if f.buckets[0] == nil {
		f.buckets[0] = map[uint64]uint8{}
	}
	f.buckets[0][xxhash.Sum64String(call)] = f.kindIndex(kind)
	f.size++
}

func (f *refusalMemory) kindIndex(kind wire.ErrorKind) uint8 {
	i := slices.Index(f.kinds, kind)
	if i < 0 {
		i = len(f.kinds)
		f.kinds = append(f.kinds, kind)
	}
	return uint8(i)
}

func (f *refusalMemory) find(now time.Duration, call string) (wire.ErrorKind, bool) {
	f.rotate(now)
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

// rotate drops the oldest bucket and starts an empty one for each bucketTime that has passed since the last rotation.
// After all buckets have been dropped, the time until the next rotation counts from now.
func (f *refusalMemory) rotate(now time.Duration) {
	for i := 0; now-f.rotatedAt >= f.bucketTime; i++ {
		if i == len(f.buckets) {
			f.rotatedAt = now
			return
		}
		f.size -= len(f.buckets[2])
		f.buckets[2], f.buckets[1], f.buckets[0] = f.buckets[1], f.buckets[0], nil
		f.rotatedAt += f.bucketTime
	}
}
