package capacity

import "time"

const (
	// initialReports and maxReports are the numbers of reports for which a history has room at first and at most. With
	// reportSpacing, the latter cover at least 2.5 s, however often the upstream responds and its slowness changes.
	initialReports = 32
	maxReports     = 512
	// reportSpacing is the time within which the history keeps at most two reports. Service times are estimated to some
	// milliseconds at best.
	reportSpacing = 10 * time.Millisecond
)

// report is a stated slowness.
type report struct {
	at       time.Duration
	slowness float64
	// work is the work, as time at the usual speed, that the upstream did from the first report until this one.
	work float64
}

// history holds the most recent reports in a ring. Each moment counts with the slowness of the report that is nearest in
// time.
type history struct {
	ring []report
	// first is the index of the oldest report.
	first, count int
	// dropped is true once a report has been dropped, so that the time before the oldest one is no longer covered.
	dropped bool
	// longestRequest is the longest service time so far. Reports are kept for that time.
	longestRequest time.Duration
}

func (h *history) get(i int) *report { return &h.ring[(h.first+i)%len(h.ring)] }

// latest returns the last report, if there is one.
func (h *history) latest() (r report, known bool) {
	if h.count == 0 {
		return report{}, false
	}
	return *h.get(h.count - 1), true
}

// add appends a report, which is not older than the last one. The last one makes room for it if the two and the one
// before them are equal and cover the time between them in full, or if the three are close together.
func (h *history) add(now time.Duration, slowness float64) {
	if h.count >= 2 {
		before, last := h.get(h.count-2), h.get(h.count-1)
		gap := now - before.at
		equal := before.slowness == slowness && last.slowness == slowness
		if gap < reportSpacing || (equal && gap <= 2*fullReportAge) {
			h.count--
		}
	}
	r := report{at: now, slowness: slowness}
	if h.count > 0 {
		last := h.get(h.count - 1)
		half := (now - last.at) / 2
		r.work = last.work + workWithin(last.slowness, half) + workWithin(slowness, now-last.at-half)
	}
	if h.count == len(h.ring) {
		h.makeRoom(now)
	}
	h.count++
	*h.get(h.count - 1) = r
}

// makeRoom drops the oldest report of a full ring, or enlarges the ring if it is not at its maximum and the report is
// still needed for a request as long as the longest one.
func (h *history) makeRoom(now time.Duration) {
	if len(h.ring) > 0 && (len(h.ring) >= maxReports || h.get(1).at < now-h.longestRequest) {
		h.first = (h.first + 1) % len(h.ring)
		h.count--
		h.dropped = true
		return
	}
	ring := make([]report, max(initialReports, 2*len(h.ring)))
	for i := range h.count {
		ring[i] = *h.get(i)
	}
	h.ring, h.first = ring, 0
}

// workUntil returns the work from the first report until a time, which is negative for a time before that. There must be
// a report.
func (h *history) workUntil(t time.Duration) float64 {
	// The reports before index low are not later than t, those from high on are.
	low, high := 0, h.count
	for low < high {
		if middle := (low + high) / 2; h.get(middle).at <= t {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low == 0 {
		next := h.get(0)
		return next.work - workWithin(next.slowness, next.at-t)
	}
	previous := h.get(low - 1)
	if low < h.count {
		if next := h.get(low); t-previous.at > (next.at-previous.at)/2 {
			return next.work - workWithin(next.slowness, next.at-t)
		}
	}
	return previous.work + workWithin(previous.slowness, t-previous.at)
}
