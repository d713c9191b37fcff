// Package delivery ensures that a non-idempotent call runs at most once and is reported as "not run" only when that is
// certain.
//
// Each non-idempotent call has an identity, the caller's idempotency key together with the team. An identity may run
// only at its candidates, one upstream for each data centre. The Ledger is the record that the admission controller
// of an upstream keeps of the identities it accepted, the Sender decides the attempts of one call at its entry node,
// and the BarRound collects the responses of the other candidates before a later attempt may run.
//
// All of them are state machines without a clock, goroutines or sockets; times are on the process's monotonic clock.
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
	// An accepted configuration is in force at all nodes within 8 s of its publication.
	DefaultAdoptionBound = 8 * time.Second
	// A node notices a pause of its process when its clocks advance by more than this between two checks.
	DefaultPauseThreshold  = time.Second
	DefaultMaxRecordedBody = 4 << 10
	// At the target size an upstream gets 83 calls/s; 150,000 records cover the record lifetime of 25 minutes even if
	// all calls are non-idempotent.
	DefaultMaxRecords = 150_000
	// Bodies are recorded for replays only, so a call without a recorded body is still not run twice.
	DefaultMaxRecordedBytes = 16 << 20
	// This covers 440 refusals/s, five times the whole call rate of an upstream.
	DefaultMaxRefusals = 400_000
)

// generationsPerRetention is the number of epoch generations in one retention time. A ledger accepts the current and
// the previous generation.
const generationsPerRetention = 3

// Config configures a Ledger and a CandidateHistory. Zero values stand for the defaults.
type Config struct {
	// Retention is the time from the first attempt within which callers may repeat an identity.
	Retention time.Duration
	// MaxDeadline is the longest deadline of a call on any route.
	MaxDeadline time.Duration
	// AdoptionBound is the longest time from a version's publication until it is in force at all nodes.
	AdoptionBound time.Duration
	// PauseThreshold is the longest pause of a process that its node may fail to notice.
	PauseThreshold time.Duration
	// MaxRecordedBody is the size in bytes of the largest response body that is recorded for replays.
	MaxRecordedBody int
	// MaxRecords is the largest number of identities on record; when it is reached, new ones are refused.
	MaxRecords int
	// MaxRecordedBytes bounds the total size in bytes of all recorded response bodies; bodies beyond it are not recorded.
	MaxRecordedBytes int
	// MaxRefusals is the largest number of refused calls on record.
	MaxRefusals int

	// Disabled is the set of disabled safeguards, so that tests can measure what each of them prevents.
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

// generationTime is the time after which a ledger's epoch advances to the next generation.
func (c Config) generationTime() time.Duration { return c.Retention / generationsPerRetention }

// maxAcceptDelay is the longest time from a call's arrival at its entry node until the check of its deadline. A pause
// of the node that it did not notice adds to the deadline, because the request may have waited in a socket meanwhile.
func (c Config) maxAcceptDelay() time.Duration { return c.MaxDeadline + c.PauseThreshold }

// quarantineTime is the time after the start in which no epoch is issued. An epoch issued within maxAcceptDelay of the
// start could admit a call that had arrived before the record of the previous process was lost.
//
// Known limitation: an upstream whose process starts right after the publication of the version that declares it can
// accept calls up to AdoptionBound minus quarantineTime before all nodes know it as a candidate.
func (c Config) quarantineTime() time.Duration { return c.maxAcceptDelay() }

// settleDelay is the time for which a set must be in force without a newer one before its candidates are used. After
// AdoptionBound every other node that is not cut off knows the set, or knows that it skipped one.
func (c Config) settleDelay() time.Duration {
	if c.Disabled.Has(safeguard.SettlingDelay) {
		return 0
	}
	return c.AdoptionBound
}

// recordLifetime is how long a record is kept. A call that arrives at its entry node within Retention of the first
// attempt can be accepted up to maxAcceptDelay (until the check of the deadline) and two generations (the age of an
// accepted epoch) later, so with a shorter time it could run twice.
func (c Config) recordLifetime() time.Duration {
	return c.Retention + 2*c.generationTime() + c.maxAcceptDelay()
}
