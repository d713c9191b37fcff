package quota

import (
	"flag"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

const team = "team"

var slot = Slot{Team: team}

// TestMain raises the number of checks and fixes the seed, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.seed": "1"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// meter is a token bucket that every spent token must fit into.
type meter struct {
	rate, burst, level float64
	at                 time.Duration
}

func (m *meter) spend(now time.Duration) bool {
	m.level = min(m.burst, m.level+m.rate*(now-m.at).Seconds())
	m.at = now
	m.level--
	return m.level >= -1e-6
}

type open struct {
	id      uint64
	left    int
	tokens  int
	expires time.Duration
}

// Guards against a slice that is exceeded by a borrower that keeps its tokens and spends them at the worst
// moment, settles twice or late, or by a holder that restarts or pauses while its tokens are out.
func TestHolderNeverExceedsItsSlice(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slice := SlotLimit{
			Rate:  rapid.SampledFrom([]float64{0.5, 4, 10, 40}).Draw(r, "rate"),
			Burst: rapid.IntRange(1, 40).Draw(r, "burst"),
		}
		slices := map[Slot]SlotLimit{slot: slice}
		m := &meter{rate: slice.Rate, burst: float64(slice.Burst), level: float64(slice.Burst)}
		h := NewHolder(0, slices, 0)
		now := MaxLeaseDuration + time.Duration(float64(slice.Burst)/slice.Rate*float64(time.Second))
		var leases []open
		var settled []wire.Settlement
		restarts := uint64(0)
		r.Repeat(map[string]func(*rapid.T){
			"wait": func(r *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int64{1, 50, 700, 1500, 3000}).Draw(r, "ms")) * time.Millisecond
			},
			"lease": func(r *rapid.T) {
				life := rapid.SampledFrom([]int64{100, 800, 2500, 4000, 6000}).Draw(r, "life")
				expires := now + min(time.Duration(life)*time.Millisecond, MaxLeaseDuration)
				for range rapid.IntRange(1, 8).Draw(r, "requests") {
					want := wire.TokenRequest{Team: team, Tokens: 50, LifetimeMS: life}
					g := h.Lease(now, wire.LeaseRequest{TokenRequests: []wire.TokenRequest{want}}).Grants[0]
					leases = append(leases, open{id: g.Lease, left: g.Tokens, tokens: g.Tokens, expires: expires})
				}
			},
			"spend": func(r *rapid.T) {
				// Rare, so that tokens of several leases and processes are out at once.
				if rapid.IntRange(0, 4).Draw(r, "chance") > 0 {
					return
				}
				for i := range leases {
					l := &leases[i]
					for l.left > 0 && now < l.expires {
						l.left--
						if !m.spend(now) {
							r.Fatalf("spent beyond rate %.1f and burst %d at %v", slice.Rate, slice.Burst, now)
						}
					}
				}
			},
			"settle": func(*rapid.T) {
				if len(leases) == 0 {
					return
				}
				l := leases[0]
				leases = leases[1:]
				settled = append(settled, wire.Settlement{Lease: l.id, Used: l.tokens - l.left})
				h.Lease(now, wire.LeaseRequest{Settlements: settled[len(settled)-1:]})
			},
			"settle again": func(*rapid.T) { h.Lease(now, wire.LeaseRequest{Settlements: settled}) },
			"restart": func(*rapid.T) {
				restarts++
				h = NewHolder(now, slices, restarts<<40)
			},
			"pause": func(*rapid.T) { h.HandlePause(now) },
		})
	})
}

func set(burst int, upstreams int) *config.Set {
	o := config.Objects{Teams: []config.Team{{Name: team, RatePerSecond: 50, Burst: burst}}}
	for _, dc := range []string{"a", "b", "c"} {
		o.DataCentres = append(o.DataCentres, config.DataCentre{Name: dc, State: config.DataCentreIn})
	}
	for i := range upstreams {
		name := string(rune('a'+i/26)) + string(rune('a'+i%26))
		o.Upstreams = append(o.Upstreams, config.Upstream{Name: name, DataCentre: o.DataCentres[i%3].Name})
	}
	return config.NewSet(o)
}

// Guards against slices that sum to more or less than the team's allowance.
func TestSlicesSumToTheAllowance(t *testing.T) {
	g := NewWithT(t)
	for _, burst := range []int{1, 7, 16, 60, 500} {
		for _, upstreams := range []int{3, 12, 47} {
			s := set(burst, upstreams)
			plan := NewPlan(s)
			total, rate := 0, 0.0
			for _, u := range s.Upstreams {
				for _, slice := range plan.SlotsHeldBy(u.Name) {
					total += slice.Burst
					rate += slice.Rate
				}
			}
			g.Expect(total).To(Equal(burst))
			g.Expect(rate).To(BeNumerically("~", 50, 1e-6))
		}
	}
}

var one = wire.LeaseRequest{TokenRequests: []wire.TokenRequest{{Team: team, Tokens: 1, LifetimeMS: 100}}}

func fromOld(Slot) string { return "old" }

// Guards against a shortened ranking that names other holders than the whole one.
func TestFirstOfARanking(t *testing.T) {
	g := NewWithT(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, key := range []string{"x", "y", "z"} {
		for n := 1; n <= len(names)+1; n++ {
			var got []string
			for _, s := range first(n, key, names) {
				got = append(got, s.name)
			}
			g.Expect(got).To(Equal(ranked(key, names)[:min(n, len(names))]))
		}
	}
}

// Guards against an old and a new holder of a slot that lease it at once while a version spreads.
func TestMovedSlotWaitsForItsPreviousHolder(t *testing.T) {
	g := NewWithT(t)
	held := map[Slot]SlotLimit{slot: {Rate: 10, Burst: 40}}
	h := NewHolder(0, nil, 0)
	h.Reconfigure(0, held, fromOld)
	g.Expect(h.DueHandoverRequests(0)).To(ConsistOf(OutgoingHandoverRequest{Slot: slot, PreviousHolder: "old"}))
	h.HandleHandoverResponse(time.Second, slot, wire.HandoverResponse{})
	g.Expect(h.Lease(ReassignmentDelay, one).Grants[0].Tokens).To(BeZero(), "the previous holder did not hand over")
	g.Expect(h.Lease(ReassignmentDelay+time.Second, one).Grants[0].Tokens).To(Equal(1))
}

// Guards against a slot that is dead for ChangeDelay at each move of a data centre, and against a handover that
// gives the leased tokens, or the whole slot, twice.
func TestHandoverMovesWhatIsLeft(t *testing.T) {
	g := NewWithT(t)
	held := map[Slot]SlotLimit{slot: {Rate: 10, Burst: 40}}
	before := NewHolder(0, held, 0)
	start := MaxLeaseDuration + 4*time.Second
	leased := before.Lease(start, wire.LeaseRequest{TokenRequests: []wire.TokenRequest{{Team: team, Tokens: 20, LifetimeMS: 4000}}})
	g.Expect(leased.Grants[0].Tokens).To(Equal(20))
	request := wire.HandoverRequest{Team: team, Process: "new"}
	g.Expect(before.Handover(start, request).HandedOver).To(BeFalse(), "it still holds the slot")
	before.Reconfigure(start, nil, fromOld)
	g.Expect(before.Lease(start, one).Grants[0].Tokens).To(BeZero())

	resp := before.Handover(start, request)
	g.Expect(resp).To(Equal(wire.HandoverResponse{HandedOver: true, Available: 20, Outstanding: 20, OutstandingForMS: 4001}))
	g.Expect(before.Handover(start, request)).To(Equal(resp), "the answer may have been lost")
	g.Expect(before.Handover(start, wire.HandoverRequest{Team: team, Process: "other"}).HandedOver).To(BeFalse())

	after := NewHolder(0, nil, 1<<40)
	after.Reconfigure(start, held, fromOld)
	after.HandleHandoverResponse(start, slot, resp)
	g.Expect(drain(after, start)).To(Equal(20))
	g.Expect(drain(after, start+time.Second)).To(BeZero(), "40 tokens are out")
}

// Guards against a borrower that spends a token after the holder counts the lease as over, or after it was
// paused.
func TestBorrowerStopsBeforeTheHolder(t *testing.T) {
	g := NewWithT(t)
	b := NewBorrower("vm", "a", NewPlan(set(60, 12)))
	sentAt := 10 * time.Second
	g.Expect(b.TakeToken(sentAt, team)).To(BeFalse())
	ask := b.DueLeaseRequests(sentAt)[0]
	life := time.Duration(ask.Request.TokenRequests[0].LifetimeMS) * time.Millisecond
	grant := wire.LeaseResponse{Grants: []wire.Grant{{Lease: 1, Tokens: 2}}}
	b.HandleLeaseResponse(sentAt+life/2, ask.ID, grant)
	g.Expect(b.TakeTokenForWaitingCall(sentAt+life/2, team)).To(BeTrue())
	g.Expect(b.TakeTokenForWaitingCall(sentAt+life, team)).To(BeFalse(), "counted from the answer instead of from the request")

	g.Expect(b.TakeToken(2*sentAt, team)).To(BeFalse())
	ask = b.DueLeaseRequests(2 * sentAt)[0]
	b.HandleLeaseResponse(2*sentAt, ask.ID, grant)
	b.HandlePause()
	g.Expect(b.TakeTokenForWaitingCall(2*sentAt, team)).To(BeFalse(), "kept tokens over a pause")
}

func BenchmarkTake(b *testing.B) {
	plan := NewPlan(set(1000, 47))
	br := NewBorrower("vm", "a", plan)
	h := NewHolder(-MaxLeaseDuration, map[Slot]SlotLimit{slot: {Rate: 1e9, Burst: 1 << 30}}, 0)
	now := time.Duration(1)
	for b.Loop() {
		now += 100 * time.Microsecond
		if br.TakeToken(now, team) {
			continue
		}
		for _, ask := range br.DueLeaseRequests(now) {
			br.HandleLeaseResponse(now, ask.ID, h.Lease(now, ask.Request))
		}
		br.TakeTokenForWaitingCall(now, team)
	}
}

// drain leases all that the holder has, for the longest life.
func drain(h *Holder, now time.Duration) int {
	n := 0
	for range 20 {
		want := wire.TokenRequest{Team: team, Tokens: 1000, LifetimeMS: MaxLeaseDuration.Milliseconds()}
		n += h.Lease(now, wire.LeaseRequest{TokenRequests: []wire.TokenRequest{want}}).Grants[0].Tokens
	}
	return n
}

// Guards against a slice that is leased again while its first tokens are still unspent, by the same process or
// by the next one.
func TestUnspentTokensHoldUpTheRefill(t *testing.T) {
	g := NewWithT(t)
	slices := map[Slot]SlotLimit{slot: {Rate: 40, Burst: 40}}
	h := NewHolder(0, slices, 0)
	start := MaxLeaseDuration + 2*time.Second
	g.Expect(drain(h, start)).To(Equal(40))
	g.Expect(drain(h, start+3*time.Second)).To(BeZero())
	h = NewHolder(start+time.Second, slices, 1<<40)
	g.Expect(drain(h, start+3*time.Second)).To(BeZero())
	g.Expect(drain(h, start+MaxLeaseDuration+3*time.Second)).To(Equal(40))
}

func BenchmarkNewPlan(b *testing.B) {
	s := set(2500, 470)
	for b.Loop() {
		NewPlan(s)
	}
}
