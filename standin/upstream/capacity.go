package upstream

import (
	"time"
)

// OverloadMode selects what a cold upstream does when it gets more concurrent calls than it can handle.
type OverloadMode string

// Modes of overload.
const (
	// FailOnOverload makes the upstream answer 503 to all calls for ColdStart.RecoveryMS and start cold afterwards.
	FailOnOverload OverloadMode = "fall_over"
	// SlowOnOverload makes the upstream work more slowly on the calls above its limit, as long as it has free slots.
	SlowOnOverload OverloadMode = "crawl"
)

// overloadSlowdown is the factor by which calls above the limit take longer with SlowOnOverload.
const overloadSlowdown = 10

// ColdStart describes how an upstream warms up after its start.
type ColdStart struct {
	// InitialConcurrency is the number of concurrent calls that the upstream can handle when cold; 0 means that it is
	// never cold.
	InitialConcurrency int `json:"initial_concurrency"`
	// RampMS is the duration of the warm-up in milliseconds. During this time the number of concurrent calls that the
	// upstream can handle grows linearly from InitialConcurrency to all slots.
	RampMS int64 `json:"ramp_ms"`
	// OverloadMode is what the upstream does on overload when cold; empty means FailOnOverload.
	OverloadMode OverloadMode `json:"mode,omitempty"`
	// RecoveryMS is the time in milliseconds for which the upstream answers 503 with FailOnOverload; 0 means 500.
	RecoveryMS int64 `json:"recover_ms,omitempty"`
}

// Behaviour holds the settings that a test can change while the upstream runs.
type Behaviour struct {
	// Draining makes the upstream refuse new calls with 503 and finish the running ones.
	Draining bool `json:"draining,omitempty"`
	// ShedEvery makes the upstream refuse every n-th call with 503; 0 refuses none.
	ShedEvery int `json:"shed_every,omitempty"`
	// SlowFactor multiplies the time that the upstream spends on each call; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ReportLagMS makes the health and load endpoints repeat a report until it is this many milliseconds old.
	ReportLagMS int64 `json:"report_lag_ms,omitempty"`
	// ReportOverride, if not nil, is what the health and load endpoints report instead of the actual state.
	ReportOverride *LoadReport `json:"report_lie,omitempty"`
}

// LoadReport is the JSON body of the responses of the health and load endpoints.
type LoadReport struct {
	// Inflight is the number of calls that the upstream works on, Slots the largest number of them at the same time.
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
	// State is "serving", "cold" or "draining".
	State string `json:"state"`
}

// capacity decides which calls an upstream admits. Its caller must hold the mutex of the server.
type capacity struct {
	slots     int
	coldStart ColdStart
	// coldSince is the start of the latest warm-up.
	coldSince time.Time
	// failingUntil is the end of the latest period of 503 answers with FailOnOverload.
	failingUntil time.Time
	inflight     int
	// callCount counts all calls, including the refused ones.
	callCount int
}

// makeCold starts the warm-up again at the time now.
func (c *capacity) makeCold(now time.Time) { c.coldSince = now }

// concurrencyLimit returns the number of concurrent calls that the upstream can handle at the time now.
func (c *capacity) concurrencyLimit(now time.Time) int {
	ramp := time.Duration(c.coldStart.RampMS) * time.Millisecond
	initial := c.coldStart.InitialConcurrency
	elapsed := now.Sub(c.coldSince)
	if initial == 0 || initial >= c.slots || elapsed >= ramp {
		return c.slots
	}
	return initial + int(float64(c.slots-initial)*float64(elapsed)/float64(ramp))
}

// admit decides whether the upstream admits a call and, if so, counts the call as in flight. aboveLimit is true if the
// call came when the concurrency limit was already reached. workFactor multiplies the work of an admitted call.
func (c *capacity) admit(now time.Time, b Behaviour) (admitted, aboveLimit bool, workFactor float64) {
	c.callCount++
	if b.Draining || now.Before(c.failingUntil) {
		return false, false, 0
	}
	if b.ShedEvery > 0 && c.callCount%b.ShedEvery == 0 {
		return false, false, 0
	}
	workFactor = 1
	if b.SlowFactor > 0 {
		workFactor = b.SlowFactor
	}
	limit := c.concurrencyLimit(now)
	if c.inflight < limit {
		c.inflight++
		return true, false, workFactor
	}
	if limit == c.slots {
		return false, true, 0
	}
	if c.coldStart.OverloadMode == SlowOnOverload && c.inflight < c.slots {
		c.inflight++
		return true, true, workFactor * overloadSlowdown
	}
	if c.coldStart.OverloadMode != SlowOnOverload {
		c.startFailing(now)
	}
	return false, true, 0
}

// startFailing starts the period of 503 answers with FailOnOverload. The next warm-up starts at its end.
func (c *capacity) startFailing(now time.Time) {
	recovery := time.Duration(c.coldStart.RecoveryMS) * time.Millisecond
	if recovery == 0 {
		recovery = 500 * time.Millisecond
	}
	c.failingUntil = now.Add(recovery)
	c.coldSince = c.failingUntil
}

func (c *capacity) release() { c.inflight-- }

func (c *capacity) loadReport(now time.Time, b Behaviour) LoadReport {
	state := "serving"
	switch {
	case b.Draining:
		state = "draining"
	case c.concurrencyLimit(now) < c.slots || now.Before(c.failingUntil):
		state = "cold"
	}
	return LoadReport{Inflight: c.inflight, Slots: c.slots, State: state}
}
