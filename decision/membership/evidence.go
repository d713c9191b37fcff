// Package membership decides what a node believes about other nodes: the platform's list is a hint, direct
// responses are evidence, and a pause of the own process makes both worthless until somebody answers again.
package membership

import (
	"math/rand/v2"
	"time"
)

// FreshnessLimit is the time without an answer of any node or the source after which a node refuses new work.
// Withdrawals must be in force within 5 s of publication, so a node that is cut off stops before that.
const FreshnessLimit = 4 * time.Second

const (
	// minBackoff and maxBackoff bound the time for which a failed address is left alone. The longest is half
	// of the 8 s in which a version must be in force, so that a partition that heals is noticed in time.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

type record struct {
	failures int
	until    time.Duration
}

// FailureDetector remembers which addresses failed to answer. It is bounded by Keep.
type FailureDetector struct {
	random  *rand.Rand
	records map[string]record
}

// NewFailureDetector returns empty evidence; random spreads the retries.
func NewFailureDetector(random *rand.Rand) *FailureDetector {
	return &FailureDetector{random: random, records: map[string]record{}}
}

// RecordAnswer clears what is held against an address.
func (e *FailureDetector) RecordAnswer(address string) { delete(e.records, address) }

// RecordFailure records that an address refused the connection or did not answer in time. It is ejected for a time that
// doubles with each failure, between half and all of the nominal value.
func (e *FailureDetector) RecordFailure(now time.Duration, address string) {
	r := e.records[address]
	r.failures++
	backoff := min(minBackoff<<min(r.failures-1, 3), maxBackoff)
	r.until = now + backoff/2 + time.Duration(e.random.Int64N(int64(backoff/2)))
	e.records[address] = r
}

// IsFailing reports whether the last requests to an address failed.
func (e *FailureDetector) IsFailing(address string) bool { return e.records[address].failures > 0 }

// NextProbe returns a dead address whose time has passed, the longest first, and ejects it for the longest time; the
// caller probes it and reports the result.
func (e *FailureDetector) NextProbe(now time.Duration) (address string, ok bool) {
	for a, r := range e.records {
		if now < r.until {
			continue
		}
		best := e.records[address]
		if !ok || r.until < best.until || (r.until == best.until && a < address) {
			address, ok = a, true
		}
	}
	if ok {
		r := e.records[address]
		r.until = now + maxBackoff
		e.records[address] = r
	}
	return address, ok
}

// InBackoff reports whether an address is left alone at the time now.
func (e *FailureDetector) InBackoff(now time.Duration, address string) bool {
	r, ok := e.records[address]
	return ok && now < r.until
}

// FailureCount returns the number of failures since the last answer.
func (e *FailureDetector) FailureCount(address string) int { return e.records[address].failures }

// Reset clears all evidence; after a pause it is out of date.
func (e *FailureDetector) Reset() { clear(e.records) }

// RetainOnly drops the evidence about addresses that are no longer known.
func (e *FailureDetector) RetainOnly(known func(address string) bool) {
	for address := range e.records {
		if !known(address) {
			delete(e.records, address)
		}
	}
}
