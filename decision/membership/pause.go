package membership

import "time"

// PauseThreshold is the gap between two checks above which the process counts as paused. Checks are at most 250 ms
// apart, and an ordinary delay of the scheduler or the garbage collector stays far below 1 s.
const PauseThreshold = time.Second

// PauseDetector detects that the process did not run for a while. Both clocks are compared, because the monotonic clock
// may stand still while a VM is suspended.
type PauseDetector struct {
	checked   bool
	monotonic time.Duration
	wall      time.Time
}

// Check reports whether the process was paused since the last check.
func (p *PauseDetector) Check(monotonic time.Duration, wall time.Time) bool {
	gap := monotonic - p.monotonic
	// The difference of wall readings without their monotonic part shows a suspended VM.
	wallGap := wall.Round(0).Sub(p.wall)
	paused := p.checked && (gap > PauseThreshold || wallGap > PauseThreshold)
	p.checked, p.monotonic, p.wall = true, monotonic, wall.Round(0)
	return paused
}

// IsFresh reports whether an answer at heard is recent enough at the time now to accept new work.
func IsFresh(now, heard time.Duration) bool { return heard > 0 && now-heard <= FreshnessLimit }
