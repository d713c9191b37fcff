package burn

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/operator"
)

// slots is the number of periods that a window is divided into. A window covers the current period and the 59
// before it, so it is short by at most a 60th.
const slots = 60

// Recorder counts good calls and all calls of each objective over Windows. Traffic goroutines call Observe, the
// control goroutine SetObjectives, the operator port Report. Memory is about 6 KiB for each objective.
type Recorder struct {
	current atomic.Pointer[trackers]
}

// trackers is an immutable index of the objectives in force.
type trackers struct {
	all       []*tracker
	byService map[string][]*tracker
	byTeam    map[string][]*tracker
}

// tracker counts the calls of one objective.
type tracker struct {
	objective config.Objective
	mu        sync.Mutex
	windows   [len(Windows)]ring
}

// ring counts the calls of one window. A slot belongs to one period and is cleared when a later one needs it.
type ring struct {
	slots [slots]slot
}

type slot struct {
	// period is the number of the period plus one, so that zero means unused.
	period int64
	good   uint64
	total  uint64
}

// NewRecorder returns a recorder without objectives.
func NewRecorder() *Recorder {
	r := &Recorder{}
	r.current.Store(&trackers{})
	return r
}

// SetObjectives replaces the objectives, as each new version does. Objectives that did not change keep their
// counts; changed ones start anew, because their old calls were judged by another bound.
func (r *Recorder) SetObjectives(objectives []config.Objective) {
	kept := map[config.Objective]*tracker{}
	for _, t := range r.current.Load().all {
		kept[t.objective] = t
	}
	next := &trackers{byService: map[string][]*tracker{}, byTeam: map[string][]*tracker{}}
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

// Observe counts a call that ended at now, on the process's monotonic clock, after elapsed. Ok is false when the
// mesh or the upstream failed the call; calls that were refused for the caller's own fault (no key, above its rate)
// are not to be observed. Times may come slightly out of order.
func (r *Recorder) Observe(now time.Duration, service, team string, elapsed time.Duration, ok bool) {
	current := r.current.Load()
	for _, t := range current.byService[service] {
		t.observe(now, elapsed, ok)
	}
	for _, t := range current.byTeam[team] {
		t.observe(now, elapsed, ok)
	}
}

// Report returns the counts and burn rates of all objectives at now.
func (r *Recorder) Report(now time.Duration) operator.BurnReport {
	current := r.current.Load()
	report := operator.BurnReport{Objectives: make([]operator.ObjectiveReport, 0, len(current.all))}
	for _, t := range current.all {
		report.Objectives = append(report.Objectives, t.report(now))
	}
	return report
}

func (t *tracker) observe(now, elapsed time.Duration, ok bool) {
	good := ok && elapsed <= time.Duration(t.objective.LatencyMS)*time.Millisecond
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.windows {
		t.windows[i].add(period(now, Windows[i]), good)
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
		good, total := t.windows[i].sum(period(now, Windows[i]))
		o.Windows = append(o.Windows, operator.BurnWindow{
			WindowSeconds: int64(Windows[i] / time.Second), Good: good, Total: total,
			BurnRate: Rate(good, total, o.Target),
		})
	}
	return o
}

func period(now, window time.Duration) int64 { return int64(now/(window/slots)) + 1 }

func (r *ring) add(period int64, good bool) {
	s := &r.slots[period%slots]
	if s.period > period {
		// The slot already serves a later round: the call is older than the window.
		return
	}
	if s.period < period {
		*s = slot{period: period}
	}
	s.total++
	if good {
		s.good++
	}
}

func (r *ring) sum(period int64) (good, total uint64) {
	for i := range r.slots {
		s := &r.slots[i]
		if s.period > period-slots {
			good += s.good
			total += s.total
		}
	}
	return good, total
}
