package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var priorities = []config.Priority{config.PriorityInteractive, config.PriorityNormal, config.PriorityBackground}

// In any order of events, no more calls run than there are slots, no call starts after its deadline, and each waiting
// call is started or refused exactly once.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		cfg := Config{Slots: rapid.IntRange(1, 5).Draw(t, "slots"), InitialConcurrency: 1, RampTime: time.Second, MaxQueueLength: 5}
		c, now, n := NewController(cfg, 0), time.Duration(0), 0
		waiting, running := map[string]time.Duration{}, map[string]bool{}
		apply := func(actions []Action) {
			for _, a := range actions {
				deadline, known := waiting[a.ID]
				g.Expect(known).To(BeTrue(), "got an action for call %s, which is not waiting", a.ID)
				delete(waiting, a.ID)
				if a.Start {
					g.Expect(now).To(BeNumerically("<", deadline))
					running[a.ID] = true
				} else {
					g.Expect(a.Kind).NotTo(BeEmpty())
				}
			}
		}
		anyOf := func(ids []string) string { return rapid.SampledFrom(ids).Draw(t, "call") }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				n++
				call := Call{
					ID: fmt.Sprint(n), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
					Priority: rapid.SampledFrom(priorities).Draw(t, "priority"),
					Deadline: now + time.Duration(rapid.IntRange(0, 300).Draw(t, "ms"))*time.Millisecond,
				}
				d := c.Submit(now, call)
				switch d.Verdict {
				case Admitted:
					running[call.ID] = true
				case Queued:
					waiting[call.ID] = call.Deadline
				}
				apply(d.Actions)
			},
			"finish": func(t *rapid.T) {
				if ids := keys(running); len(ids) > 0 {
					id := anyOf(ids)
					delete(running, id)
					r := Result{Latency: time.Duration(rapid.IntRange(1, 100).Draw(t, "ms")) * time.Millisecond}
					r.Kind = ResultKind(rapid.IntRange(0, int(Cancelled)).Draw(t, "result"))
					apply(c.FinishCall(now, id, r))
				}
			},
			"abandon": func(*rapid.T) {
				if ids := keys(waiting); len(ids) > 0 {
					id := anyOf(ids)
					delete(waiting, id)
					g.Expect(c.CancelWaiting(now, id)).To(BeTrue())
				}
			},
			"leave": func(t *rapid.T) { apply(c.SetLeaving(rapid.Bool().Draw(t, "leaving"))) },
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
				apply(c.Tick(now))
			},
			"hint": func(t *rapid.T) { c.ApplyHint(now, CapacityHint{Healthy: rapid.Bool().Draw(t, "healthy")}) },
			"": func(*rapid.T) {
				load := c.Load(now)
				g.Expect([]int{load.InFlight, load.Queued}).To(Equal([]int{len(running), len(waiting)}))
				g.Expect(len(running)).To(BeNumerically("<=", cfg.Slots))
				g.Expect(len(waiting)).To(BeNumerically("<=", cfg.MaxQueueLength))
			},
		})
	})
}

func keys[V any](m map[string]V) []string {
	var ids []string
	for i := range 1000 {
		if _, found := m[fmt.Sprint(i)]; found {
			ids = append(ids, fmt.Sprint(i))
		}
	}
	return ids
}

// The calls of a full queue are served in the order of their priority classes, and within a class in proportion to the
// weights of the teams.
func TestQueueServesByPriorityAndWeight(t *testing.T) {
	g := NewWithT(t)
	c := NewController(Config{Slots: 1, InitialConcurrency: 1, MaxQueueLength: 1000}, 0)
	c.Submit(0, Call{ID: "first", Deadline: time.Hour})
	for i := range 100 {
		for team, weight := range map[string]int{"light": 1, "heavy": 3} {
			for _, p := range priorities {
				c.Submit(0, Call{ID: fmt.Sprint(p, "/", team, i), Team: team, Weight: weight, Priority: p, Deadline: time.Hour})
			}
		}
	}
	id, heavy := "first", 0
	for i := range 600 {
		actions := c.FinishCall(0, id, Result{Kind: Cancelled})
		g.Expect(actions).To(HaveLen(1))
		id = actions[0].ID
		g.Expect(id).To(HavePrefix(string(priorities[i/200])))
		if i < 40 && id[:len("interactive/heavy")] == "interactive/heavy" {
			heavy++
		}
	}
	g.Expect(heavy).To(Equal(30), "three quarters of 40 calls, by weight")
}

// Neither a team with many waiting calls nor background calls may keep others out of a full queue.
func TestFullQueueDropsBackgroundCallsThenLongestFlow(t *testing.T) {
	g := NewWithT(t)
	c := NewController(Config{Slots: 1, InitialConcurrency: 1, MaxQueueLength: 4}, 0)
	arrive := func(id string, p config.Priority) Decision {
		return c.Submit(0, Call{ID: id, Team: id[:1], Priority: p, Deadline: time.Second})
	}
	arrive("a0", config.PriorityNormal)
	for _, id := range []string{"a1", "a2", "a3"} {
		g.Expect(arrive(id, config.PriorityNormal).Verdict).To(Equal(Queued))
	}
	arrive("c1", config.PriorityBackground)
	dropped := func(id string) []Action { return []Action{{ID: id, Kind: wire.KindOverloaded}} }
	g.Expect(arrive("b1", config.PriorityNormal).Actions).To(Equal(dropped("c1")), "background calls are dropped first")
	g.Expect(arrive("b2", config.PriorityNormal).Actions).To(Equal(dropped("a3")), "then the last call of the longest flow")
	g.Expect(arrive("a4", config.PriorityNormal)).To(Equal(Decision{Verdict: Refused, Kind: wire.KindOverloaded}))
	g.Expect(arrive("c2", config.PriorityBackground).Verdict).To(Equal(Refused))
}

// A call that is not expected to end before its deadline is refused immediately instead of waiting without success.
func TestCallThatCannotEndInTimeIsRefused(t *testing.T) {
	g := NewWithT(t)
	c := NewController(Config{Slots: 1, InitialConcurrency: 1}, 0)
	c.Submit(0, Call{ID: "a", Deadline: time.Hour})
	c.FinishCall(0, "a", Result{Latency: 100 * time.Millisecond})
	for i := range 5 {
		c.Submit(0, Call{ID: fmt.Sprint(i), Team: "t", Deadline: time.Hour})
	}
	late := Call{ID: "late", Team: "t", Deadline: 500 * time.Millisecond}
	g.Expect(c.Submit(0, late)).To(Equal(Decision{Verdict: Refused, Kind: wire.KindOverloaded}))
	late.Team = "other"
	g.Expect(c.Submit(0, late).Verdict).To(Equal(Queued), "a team with fewer waiting calls waits less")
	g.Expect(c.Submit(0, Call{ID: "0", Deadline: time.Hour}).Kind).To(Equal(wire.KindDuplicateRequest))
}

// While the upstream is leaving, calls are refused with a kind that the sender does not mistake for overload.
func TestLeavingControllerRefusesCalls(t *testing.T) {
	g := NewWithT(t)
	c := NewController(Config{Slots: 1, InitialConcurrency: 1}, 0)
	c.Submit(0, Call{ID: "runs", Deadline: time.Hour})
	c.Submit(0, Call{ID: "waits", Deadline: time.Hour})
	g.Expect(c.SetLeaving(true)).To(Equal([]Action{{ID: "waits", Kind: wire.KindLeaving}}))
	g.Expect(c.Submit(0, Call{ID: "new", Deadline: time.Hour}).Kind).To(Equal(wire.KindLeaving))
	g.Expect(c.Load(0)).To(Equal(Load{InFlight: 1, Limit: 1, State: wire.StateLeaving}))
}

// Running calls still count, and only once, after the configuration changes or the controller is reset to cold.
func TestConfigureAndResetToColdKeepRunningCalls(t *testing.T) {
	g := NewWithT(t)
	c := NewController(Config{Slots: 4, InitialConcurrency: 4}, 0)
	for i := range 6 {
		c.Submit(0, Call{ID: fmt.Sprint(i), Deadline: time.Hour})
	}
	g.Expect(c.Configure(0, Config{Slots: 2, InitialConcurrency: 1})).To(BeEmpty())
	g.Expect(c.FinishCall(0, "0", Result{Kind: Cancelled})).To(BeEmpty(), "three calls still run and the limit is two")
	g.Expect(c.Configure(0, Config{Slots: 8, InitialConcurrency: 1, RampTime: time.Second})).To(BeEmpty())
	g.Expect(c.Load(0)).To(Equal(Load{InFlight: 3, Limit: 2, Queued: 2, State: wire.StateCold}))
	c.SetLeaving(true)
	c.ResetToCold(0)
	g.Expect(c.Load(0)).To(Equal(Load{InFlight: 3, Limit: 1, State: wire.StateCold}))
}

// Each call may allocate at most once, also with a long queue, so that the garbage collector has little to do.
func TestAllocationsPerCall(t *testing.T) {
	g := NewWithT(t)
	step := busyController(1000)
	g.Expect(testing.AllocsPerRun(1000, step)).To(BeNumerically("<=", 1))
}

// busyController returns a function that finishes one call and submits another, while the given number of calls waits.
func busyController(waiting int) func() {
	c := NewController(Config{Slots: 10, InitialConcurrency: 10, MaxQueueLength: 2 * waiting}, 0)
	ids := make([]string, 1<<14)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	now, next := time.Duration(0), 0
	var running []string
	arrive := func() {
		id := ids[next%len(ids)]
		d := c.Submit(now, Call{ID: id, Team: ids[next%8], Priority: priorities[next%3], Deadline: now + 100*time.Hour})
		if d.Verdict == Admitted {
			running = append(running, id)
		}
		next++
	}
	for range waiting + 10 {
		arrive()
	}
	return func() {
		now += 2 * time.Millisecond
		for _, a := range c.FinishCall(now, running[0], Result{Latency: 20 * time.Millisecond}) {
			running = append(running[:0], append(running[1:], a.ID)...)
		}
		arrive()
	}
}

func BenchmarkSubmitAndFinishCall(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint("waiting", waiting), func(b *testing.B) {
			step := busyController(waiting)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
