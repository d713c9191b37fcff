// Package membership decides what a node assumes about other nodes. The platform's list of members may be out of date,
// so direct responses and failures take precedence over it. After a pause of the node's own process, neither can be
// relied on until another node answers again.
package membership

import (
	"math/rand/v2"
	"time"
)

// FreshnessLimit is the time without an answer from any node or the configuration source after which a node refuses new
// calls. A withdrawal, for example of a key, must be in force within 5 s of its publication, so a node that is cut off
// from the others has to stop before that.
const FreshnessLimit = 4 * time.Second

const (
	// minBackoff and maxBackoff bound the time for which an address that failed gets no requests. The maximum is half
	// of the 8 s within which a version must be in force, so that the end of a network partition is noticed in time.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

type failureRecord struct {
	failures     int
	backoffUntil time.Duration
}

// FailureDetector records which addresses failed to answer, and when they may be tried again. The caller bounds its
// size with RetainOnly.
type FailureDetector struct {
	random  *rand.Rand
	records map[string]failureRecord
}

// NewFailureDetector returns a detector without any recorded failures. It uses random to spread the retries over time.
func NewFailureDetector(random *rand.Rand) *FailureDetector {
	return &FailureDetector{random: random, records: map[string]failureRecord{}}
}

// RecordAnswer removes the recorded failures of an address.
func (d *FailureDetector) RecordAnswer(address string) { delete(d.records, address) }

// RecordFailure records that an address refused the connection or did not answer in time. Its backoff doubles with each
// consecutive failure; the actual time is a random value between half of it and all of it.
func (d *FailureDetector) RecordFailure(now time.Duration, address string) {
	r := d.records[address]
	r.failures++
	backoff := min(minBackoff<<min(r.failures-1, 3), maxBackoff)
	r.backoffUntil = now + backoff/2 + time.Duration(d.random.Int64N(int64(backoff/2)))
	d.records[address] = r
}

// IsFailing reports whether the last request to an address failed.
func (d *FailureDetector) IsFailing(address string) bool { return d.records[address].failures > 0 }

// NextProbe returns the failing address whose backoff ended first; ok is false if there is none whose backoff has
// ended. The caller probes the address and records the result. Until then the address is in backoff for the maximum
// time.
func (d *FailureDetector) NextProbe(now time.Duration) (address string, ok bool) {
	for a, r := range d.records {
		if now < r.backoffUntil {
			continue
		}
		best := d.records[address]
		if !ok || r.backoffUntil < best.backoffUntil || (r.backoffUntil == best.backoffUntil && a < address) {
			address, ok = a, true
		}
	}
	if ok {
		r := d.records[address]
		r.backoffUntil = now + maxBackoff
		d.records[address] = r
	}
	return address, ok
}

// InBackoff reports whether an address is to get no requests at the time now.
func (d *FailureDetector) InBackoff(now time.Duration, address string) bool {
	r, ok := d.records[address]
	return ok && now < r.backoffUntil
}

// FailureCount returns the number of failures of an address since its last answer.
func (d *FailureDetector) FailureCount(address string) int { return d.records[address].failures }

// Reset removes all recorded failures, for use after a pause of the process, when they are out of date.
func (d *FailureDetector) Reset() { clear(d.records) }

// RetainOnly removes the recorded failures of all addresses that are not known.
func (d *FailureDetector) RetainOnly(known func(address string) bool) {
	for address := range d.records {
		if !known(address) {
			delete(d.records, address)
		}
	}
}
