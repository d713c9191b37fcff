package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/operator"
)

// periodsPerWindow is the number of periods into which a window is divided. The counts of a window cover the current
// period, which is not over, and the 59 before it, so they cover at least 59/60 of the window.
const periodsPerWindow = 60

// Recorder counts the good calls and all calls of each objective over Windows. It is safe for concurrent use, except
// that SetObjectives must not be called concurrently with itself. It uses about 6 KiB of memory for each objective.
type Recorder struct {
	current atomic.Pointer[trackerIndex]
}

// trackerIndex is an immutable index of the trackers of the objectives in force.
type trackerIndex struct {
	all       []*tracker
	byService map[string][]*tracker
	byTeam    map[string][]*tracker
}

// tracker counts the calls of one objective.
type tracker struct {
	objective config.Objective
	mu        sync.Mutex
	windows   [len(Windows)]windowCounts
}

// windowCounts is a ring buffer with the counts of the periods of one window. The entry of a period is cleared when a
// later period uses it.
type windowCounts struct {
	periods [periodsPerWindow]periodCounts
}

// periodCounts counts the calls of one period.
type periodCounts struct {
	// number is the result of periodNumber, or 0 for an unused entry.
	number int64
	good   uint64
	total  uint64
}

// NewRecorder returns a Recorder without objectives.
func NewRecorder() *Recorder {
	r := &Recorder{}
	r.current.Store(&trackerIndex{})
	return r
}

// SetObjectives replaces the objectives. Unchanged objectives keep their counts. The counts of changed ones start at
// zero, because earlier calls were counted as good or bad by the old objective.
func (r *Recorder) SetObjectives(objectives []config.Objective) {
	kept := map[config.Objective]*tracker{}
	for _, t := range r.current.Load().all {
		kept[t.objective] = t
	}
	next := &trackerIndex{byService: map[string][]*tracker{}, byTeam: map[string][]*tracker{}}
	for _, o := range objectives {
		t := kept[o]
		if t == nil {
			t = &tracker{objective: o}
		}
		next.all = append(next.all, t)
		if o.Service != "" {
			next.byService[o.Service] = append(next.byService[o.Service], t)
		}
		if o.Team != "" {
			next.byTeam[o.Team] = append(next.byTeam[o.Team], t)
		}
	}
	r.current.Store(next)
}

// Observe counts a call that ended at now, on the process's monotonic clock, and took elapsed. ok is false if the
// mesh or the upstream failed the call. Calls that were refused through the caller's fault, for example without a key
// or above the team's rate, must not be passed to Observe. Calls may be observed slightly out of order.
func (r *Recorder) Observe(now time.Duration, service, team string, elapsed time.Duration, ok bool) {
	index := r.current.Load()
	for _, t := range index.byService[service] {
		t.observe(now, elapsed, ok)
	}
	for _, t := range index.byTeam[team] {
		t.observe(now, elapsed, ok)
	}
}

// Report returns the counts and burn rates of all objectives at now.
func (r *Recorder) Report(now time.Duration) operator.BurnReport {
	index := r.current.Load()
	report := operator.BurnReport{Objectives: make([]operator.ObjectiveReport, 0, len(index.all))}
	for _, t := range index.all {
		report.Objectives = append(report.Objectives, t.report(now))
	}
	return report
}

func (t *tracker) observe(now, elapsed time.Duration, ok bool) {
	good := ok && elapsed <= time.Duration(t.objective.LatencyMS)*time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.windows {
		t.windows[i].add(periodNumber(now, Windows[i]), good)
	}
}

func (t *tracker) report(now time.Duration) operator.ObjectiveReport {
	o := operator.ObjectiveReport{
		Name: t.objective.Name, Service: t.objective.Service, Team: t.objective.Team, Target: t.objective.Target,
		Windows: make([]operator.BurnWindow, 0, len(Windows)),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.windows {
		good, total := t.windows[i].sum(periodNumber(now, Windows[i]))
		o.Windows = append(o.Windows, operator.BurnWindow{
			WindowSeconds: int64(Windows[i] / time.Second), Good: good, Total: total,
			BurnRate: Rate(good, total, o.Target),
		})
	}
	return o
}

// periodNumber returns the number of the window's period at now, counted from 1.
func periodNumber(now, window time.Duration) int64 { return int64(now/(window/periodsPerWindow)) + 1 }

// add counts a call that ended in the period.
func (w *windowCounts) add(period int64, good bool) {
	p := &w.periods[period%periodsPerWindow]
	if p.number > period {
		// A later period already uses the entry: the call is older than the window.
		return
	}
	if p.number < period {
		*p = periodCounts{number: period}
	}
	p.total++
	if good {
		p.good++
	}
}

// sum returns the counts of the window that ends with the period.
func (w *windowCounts) sum(period int64) (good, total uint64) {
	for i := range w.periods {
		p := &w.periods[i]
		if p.number > period-periodsPerWindow {
			good += p.good
			total += p.total
		}
	}
	return good, total
}
