package capacity

import "time"

// slowPeriods learns the usual slowness of an upstream and how long periods last in which it is slower than that.
type slowPeriods struct {
	// usual follows the median of the stated slowness, which periods that take less than half of the time do not move far.
	usual float64
	// current is true in a slow period, which began at startedAt. startSeen is false if the upstream may have been slow for
	// longer, because there was no report shortly before.
	current   bool
	startedAt time.Duration
	startSeen bool
	// lengths is a ring of the lengths of the last periods that were seen from start to end. known is their number, next
	// the index of the oldest if the ring is full.
	lengths     [periodCount]time.Duration
	known, next int
}

// record adds a report. last is the one before it, if known.
func (p *slowPeriods) record(now time.Duration, slowness float64, last report, known bool) {
	gap := now - last.at
	adjacent := known && gap < maxReportAge
	if adjacent {
		step := p.usual * usualRate * gap.Seconds()
		p.usual += max(-step, min(step, slowness-p.usual))
	}
	// A period begins and ends halfway between the reports on both sides.
	change := now - gap/2
	threshold := p.usual * slowThreshold
	switch slow := slowness > threshold; {
	case slow && !p.current:
		p.current, p.startedAt, p.startSeen = true, now, false
		if adjacent {
			p.startedAt, p.startSeen = change, true
		}
	case slow && !adjacent:
		p.startedAt, p.startSeen = now, false
	case !slow && p.current:
		p.current = false
		// If the last report is no longer slow either, the usual slowness has risen and the period has not ended.
		if adjacent && p.startSeen && last.slowness > threshold {
			p.lengths[p.next] = change - p.startedAt
			p.next = (p.next + 1) % periodCount
			p.known = min(p.known+1, periodCount)
		}
	}
}

// expected returns the mean time that the work takes if it starts now in a slow period: over the known periods that
// lasted longer than the present one has, or, if it is the longest, for one that lasts as long again.
func (p *slowPeriods) expected(now time.Duration, work, slowness, usual float64) float64 {
	elapsed := now - p.startedAt
	sum, count := 0.0, 0
	for _, length := range p.lengths[:p.known] {
		if length > elapsed {
			sum += timeForWork(work, slowness, usual, length-elapsed)
			count++
		}
	}
	if count == 0 {
		return timeForWork(work, slowness, usual, elapsed)
	}
	return sum / float64(count)
}

// timeForWork returns the time that the work takes if it runs at one slowness for some time and at the usual one after it.
func timeForWork(work, slowness, usual float64, slowFor time.Duration) float64 {
	whole, slow := work*slowness, float64(slowFor)
	if whole <= slow {
		return whole
	}
	return slow + (work-slow/slowness)*usual
}
