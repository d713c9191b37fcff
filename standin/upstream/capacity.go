package upstream

import (
	"time"
)

// OverloadMode is what a cold upstream does when it is pushed beyond what it bears.
type OverloadMode string

// Modes of overload.
const (
	// FailOnOverload answers 503 to everything for RecoverMS and is cold again afterwards.
	FailOnOverload OverloadMode = "fall_over"
	// SlowOnOverload does all work several times slower until the load is back to what it bears.
	SlowOnOverload OverloadMode = "crawl"
)

// crawlFactor is how much slower an overloaded upstream in mode Crawl works.
const crawlFactor = 10

// ColdStart is how an upstream warms up.
type ColdStart struct {
	// InitialConcurrency is the number of calls at once that it bears when cold; 0 means that it is never cold.
	InitialConcurrency int `json:"initial_concurrency"`
	// RampMS is the time in milliseconds from cold to all slots.
	RampMS int64 `json:"ramp_ms"`
	// OverloadMode is what it does when pushed further; empty means FallOver.
	OverloadMode OverloadMode `json:"mode,omitempty"`
	// RecoveryMS is how long it answers 503 in mode FallOver; 0 means 500.
	RecoveryMS int64 `json:"recover_ms,omitempty"`
}

// Behaviour is what a test can change while the upstream runs.
type Behaviour struct {
	// Draining refuses new calls with 503 and finishes those that run.
	Draining bool `json:"draining,omitempty"`
	// ShedEvery refuses every n-th call with 503; 0 refuses none.
	ShedEvery int `json:"shed_every,omitempty"`
	// SlowFactor multiplies the work of each call; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// ReportLagMS makes the health and load endpoints report what held that many milliseconds ago or longer.
	ReportLagMS int64 `json:"report_lag_ms,omitempty"`
	// ReportOverride, when set, is what the health and load endpoints report whatever the state.
	ReportOverride *LoadReport `json:"report_lie,omitempty"`
}

// LoadReport is the report of the load endpoint.
type LoadReport struct {
	Inflight int `json:"inflight"`
	Slots    int `json:"slots"`
	// State is "serving", "cold" or "draining".
	State string `json:"state"`
}

// capacity decides which calls an upstream bears. The caller holds the server's mutex.
type capacity struct {
	slots       int
	cold        ColdStart
	coldSince   time.Time
	fallenUntil time.Time
	inflight    int
	arrivals    int
}

// chill makes the upstream cold from now on.
func (c *capacity) chill(now time.Time) { c.coldSince = now }

// bears is the number of calls at once that the upstream works on properly at now.
func (c *capacity) bears(now time.Time) int {
	ramp := time.Duration(c.cold.RampMS) * time.Millisecond
	initial := c.cold.InitialConcurrency
	warming := now.Sub(c.coldSince)
	if initial == 0 || initial >= c.slots || warming >= ramp {
		return c.slots
	}
	return initial + int(float64(c.slots-initial)*float64(warming)/float64(ramp))
}

// arrive decides on a call and counts it when it is taken. The factor multiplies the call's work.
func (c *capacity) arrive(now time.Time, b Behaviour) (taken, aboveLimit bool, factor float64) {
	c.arrivals++
	if b.Draining || now.Before(c.fallenUntil) {
		return false, false, 0
	}
	if b.ShedEvery > 0 && c.arrivals%b.ShedEvery == 0 {
		return false, false, 0
	}
	factor = 1
	if b.SlowFactor > 0 {
		factor = b.SlowFactor
	}
	bears := c.bears(now)
	if c.inflight < bears {
		c.inflight++
		return true, false, factor
	}
	if bears == c.slots {
		return false, true, 0
	}
	if c.cold.OverloadMode == SlowOnOverload && c.inflight < c.slots {
		c.inflight++
		return true, true, factor * crawlFactor
	}
	if c.cold.OverloadMode != SlowOnOverload {
		c.fallOver(now)
	}
	return false, true, 0
}

func (c *capacity) fallOver(now time.Time) {
	recovery := time.Duration(c.cold.RecoveryMS) * time.Millisecond
	if recovery == 0 {
		recovery = 500 * time.Millisecond
	}
	c.fallenUntil = now.Add(recovery)
	c.coldSince = c.fallenUntil
}

func (c *capacity) depart() { c.inflight-- }

func (c *capacity) report(now time.Time, b Behaviour) LoadReport {
	state := "serving"
	switch {
	case b.Draining:
		state = "draining"
	case c.bears(now) < c.slots || now.Before(c.fallenUntil):
		state = "cold"
	}
	return LoadReport{Inflight: c.inflight, Slots: c.slots, State: state}
}
