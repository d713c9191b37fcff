// Package delivery runs a non-idempotent call at most once and reports "not run" only when that is certain.
//
// The Ledger is an admission controller's record of what it accepted, the Sender decides the attempts of one
// call at its entry node, and the BarRound collects the other candidates' verdicts before a later attempt may
// run. All are state machines without clock, goroutine or socket; times are on the process's monotonic clock.
// None is safe for concurrent use; the caller holds a lock.
package delivery

import (
	"time"

	"github.com/bamboodeal/bamboodeal/decision/internal/safeguard"
)

// Defaults of Config.
const (
	DefaultRetention   = 15 * time.Minute
	DefaultMaxDeadline = 5 * time.Second
	// An accepted configuration is in force everywhere 8 s after its publication.
	DefaultAdoptionBound = 8 * time.Second
	// A node notices that it was paused when a clock gap is longer than this.
	DefaultPauseThreshold  = time.Second
	DefaultMaxRecordedBody = 4 << 10
	// At the target size an upstream gets 83 calls/s; 150,000 records cover the whole keep time of 25 minutes
	// when each of them is non-idempotent.
	DefaultMaxRecords = 150_000
	// Bodies are kept for replays only, so they may be dropped.
	DefaultMaxRecordedBytes = 16 << 20
	// This covers 440 refusals a second, five times the whole rate of an upstream.
	DefaultMaxRefusals = 400_000
)

// generations is the number of epoch generations in one retention time; two of them are accepted at a time.
const generations = 3

// Config bounds a Ledger. Zero values stand for the defaults.
type Config struct {
	// Retention is the time after the first attempt within which callers may repeat an identity.
	Retention time.Duration
	// MaxDeadline is the longest deadline of a call on any route.
	MaxDeadline time.Duration
	// AdoptionBound is the time from a version's publication until it is in force everywhere.
	AdoptionBound time.Duration
	// PauseThreshold is the longest pause that a node may not notice.
	PauseThreshold time.Duration
	// MaxRecordedBody is the largest response body in bytes that is kept for replays.
	MaxRecordedBody int
	// MaxRecords is the number of identities held at once; above it new ones are refused.
	MaxRecords int
	// MaxRecordedBytes bounds all kept response bodies together; above it only the status is kept.
	MaxRecordedBytes int
	// MaxRefusals is the number of refused calls remembered at once.
	MaxRefusals int

	// Disabled switches mechanisms off, so that tests can measure what each prevents.
	Disabled safeguard.Set
}

func (c Config) withDefaults() Config {
	setDefault(&c.Retention, DefaultRetention)
	setDefault(&c.MaxDeadline, DefaultMaxDeadline)
	setDefault(&c.AdoptionBound, DefaultAdoptionBound)
	setDefault(&c.PauseThreshold, DefaultPauseThreshold)
	setDefault(&c.MaxRecordedBody, DefaultMaxRecordedBody)
	setDefault(&c.MaxRecords, DefaultMaxRecords)
	setDefault(&c.MaxRecordedBytes, DefaultMaxRecordedBytes)
	setDefault(&c.MaxRefusals, DefaultMaxRefusals)
	return c
}

func setDefault[T time.Duration | int](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}

// generation is the time after which an epoch's generation advances.
func (c Config) generation() time.Duration { return c.Retention / generations }

// horizon is the longest time from a call's arrival at its entry node until the check of its deadline. The time
// in which the node was paused without noticing comes on top of the deadline, because the request may have waited
// in a socket.
func (c Config) horizon() time.Duration { return c.MaxDeadline + c.PauseThreshold }

// quarantine is the time after the start in which no epoch is issued. A token issued within the horizon could
// admit a call that arrived before the previous record was lost.
//
// A remaining limit: an upstream whose process starts right after the version that declares it can accept calls up
// to AdoptionBound minus this time before the last node knows it as a candidate.
func (c Config) quarantine() time.Duration { return c.horizon() }

// settle is the time for which a set must be in force without a newer one before its candidates are used. After the
// adoption bound every other node that is not cut off knows the set, or knows that it skipped one.
func (c Config) settle() time.Duration {
	if c.Disabled.Has(safeguard.SettlingDelay) {
		return 0
	}
	return c.AdoptionBound
}

// keep is how long a record is held. A call that arrives at its entry node within Retention of the first
// attempt can be accepted up to the horizon (the check after the epoch) and two generations (the age of an accepted
// epoch) later, so a shorter time would let it run twice.
func (c Config) keep() time.Duration {
	return c.Retention + 2*c.generation() + c.horizon()
}
