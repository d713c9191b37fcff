package membership

import "time"

// PauseThreshold is the time between two checks above which the process counts as paused. Checks are at most 250 ms
// apart, and ordinary delays by the scheduler or the garbage collector are much shorter than 1 s.
const PauseThreshold = time.Second

// PauseDetector detects that the process did not run for a while. It uses the monotonic and the wall clock, because the
// monotonic clock may stop while a VM is suspended.
type PauseDetector struct {
	checked   bool
	monotonic time.Duration
	wall      time.Time
}

// Check reports whether the process was paused since the last check.
func (p *PauseDetector) Check(monotonic time.Duration, wall time.Time) bool {
	gap := monotonic - p.monotonic
	// Round(0) removes the monotonic part of the reading, so that the difference includes the time for which a VM was
	// suspended.
	wallGap := wall.Round(0).Sub(p.wall)
	paused := p.checked && (gap > PauseThreshold || wallGap > PauseThreshold)
	p.checked, p.monotonic, p.wall = true, monotonic, wall.Round(0)
	return paused
}

// IsFresh reports whether the last answer from another node or the configuration source, at the time lastAnswer, is
// recent enough for a node to accept new calls at the time now. A lastAnswer of 0 means that there was none.
func IsFresh(now, lastAnswer time.Duration) bool {
	return lastAnswer > 0 && now-lastAnswer <= FreshnessLimit
}
