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

// TestMain raises the number of checks and fixes the seed, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.checks": "1000", "rapid.seed": "1"} {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}

// referenceBucket is a plain token bucket with which a test checks that spent tokens are within rate and burst.
type referenceBucket struct {
	rate, burst, level float64
	updatedAt          time.Duration
}

func (b *referenceBucket) spend(now time.Duration) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	b.level--
	return b.level >= -1e-6
}

// openLease is a lease as its borrower sees it.
type openLease struct {
	id        uint64
	unspent   int
	tokens    int
	expiresAt time.Duration
}

// Guards against more calls than the slot's rate and burst allow when a borrower keeps its tokens and spends them at
// the worst moment, settles leases twice or late, or the holder restarts or pauses while tokens are leased.
func TestHolderNeverExceedsSlotLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := SlotLimit{
			Rate:  rapid.SampledFrom([]float64{0.5, 4, 10, 40}).Draw(r, "rate"),
			Burst: rapid.IntRange(1, 40).Draw(r, "burst"),
		}
		held := map[Slot]SlotLimit{slot: limit}
		reference := &referenceBucket{rate: limit.Rate, burst: float64(limit.Burst), level: float64(limit.Burst)}
		h := NewHolder(0, held, 0)
		now := MaxLeaseDuration + time.Duration(float64(limit.Burst)/limit.Rate*float64(time.Second))
		var leases []openLease
		var settled []wire.Settlement
		restarts := uint64(0)
		r.Repeat(map[string]func(*rapid.T){
			"wait": func(r *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int64{1, 50, 700, 1500, 3000}).Draw(r, "ms")) * time.Millisecond
			},
			"lease": func(r *rapid.T) {
				durationMS := rapid.SampledFrom([]int64{100, 800, 2500, 4000, 6000}).Draw(r, "life")
				expires := now + min(time.Duration(durationMS)*time.Millisecond, MaxLeaseDuration)
				for range rapid.IntRange(1, 8).Draw(r, "requests") {
					want := wire.TokenRequest{Team: team, Tokens: 50, LeaseDurationMS: durationMS}
					g := h.Lease(now, wire.LeaseRequest{TokenRequests: []wire.TokenRequest{want}}).Grants[0]
					leases = append(leases, openLease{id: g.Lease, unspent: g.Tokens, tokens: g.Tokens, expiresAt: expires})
				}
			},
			"spend": func(r *rapid.T) {
				// Tokens are spent rarely, so that tokens of several leases and processes are unspent at once.
				if rapid.IntRange(0, 4).Draw(r, "chance") > 0 {
					return
				}
				for i := range leases {
					l := &leases[i]
					for l.unspent > 0 && now < l.expiresAt {
						l.unspent--
						if !reference.spend(now) {
							r.Fatalf("spent beyond rate %.1f and burst %d at %v", limit.Rate, limit.Burst, now)
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
				settled = append(settled, wire.Settlement{Lease: l.id, Used: l.tokens - l.unspent})
				h.Lease(now, wire.LeaseRequest{Settlements: settled[len(settled)-1:]})
			},
			"settle again": func(*rapid.T) { h.Lease(now, wire.LeaseRequest{Settlements: settled}) },
			"restart": func(*rapid.T) {
				restarts++
				h = NewHolder(now, held, restarts<<40)
			},
			"pause": func(*rapid.T) { h.HandlePause(now) },
		})
	})
}

func testSet(burst int, upstreams int) *config.Set {
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

// Guards against slot limits whose sums differ from the team's rate and burst.
func TestSlotLimitsSumToTeamLimit(t *testing.T) {
	g := NewWithT(t)
	for _, burst := range []int{1, 7, 16, 60, 500} {
		for _, upstreams := range []int{3, 12, 47} {
			s := testSet(burst, upstreams)
			plan := NewPlan(s)
			total, rate := 0, 0.0
			for _, u := range s.Upstreams {
				for _, limit := range plan.SlotsHeldBy(u.Name) {
					total += limit.Burst
					rate += limit.Rate
				}
			}
			g.Expect(total).To(Equal(burst))
			g.Expect(rate).To(BeNumerically("~", 50, 1e-6))
		}
	}
}

var oneTokenRequest = wire.LeaseRequest{TokenRequests: []wire.TokenRequest{{Team: team, Tokens: 1, LeaseDurationMS: 100}}}

func previousHolderIsOld(Slot) string { return "old" }

// Guards against topByHash results that differ from the start of the full ranking.
func TestTopByHashMatchesFullRanking(t *testing.T) {
	g := NewWithT(t)
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, key := range []string{"x", "y", "z"} {
		for n := 1; n <= len(names)+1; n++ {
			var got []string
			for _, s := range topByHash(n, key, names) {
				got = append(got, s.name)
			}
			g.Expect(got).To(Equal(rankByHash(key, names)[:min(n, len(names))]))
		}
	}
}

// Guards against the old and the new holder of a slot leasing its tokens at the same time while nodes adopt a version
// one after another.
func TestReassignedSlotWaitsForPreviousHolder(t *testing.T) {
	g := NewWithT(t)
	held := map[Slot]SlotLimit{slot: {Rate: 10, Burst: 40}}
	h := NewHolder(0, nil, 0)
	h.Reconfigure(0, held, previousHolderIsOld)
	g.Expect(h.DueHandoverRequests(0)).To(ConsistOf(OutgoingHandoverRequest{Slot: slot, PreviousHolder: "old"}))
	h.HandleHandoverResponse(time.Second, slot, wire.HandoverResponse{})
	g.Expect(h.Lease(ReassignmentDelay, oneTokenRequest).Grants[0].Tokens).To(BeZero(), "the previous holder did not hand over")
	g.Expect(h.Lease(ReassignmentDelay+time.Second, oneTokenRequest).Grants[0].Tokens).To(Equal(1))
}

// Guards against a slot without a lease for ReassignmentDelay each time a data centre leaves or returns, and against a
// handover that gives out the leased tokens, or the whole slot, twice.
func TestHandoverTransfersRemainingTokens(t *testing.T) {
	g := NewWithT(t)
	held := map[Slot]SlotLimit{slot: {Rate: 10, Burst: 40}}
	before := NewHolder(0, held, 0)
	start := MaxLeaseDuration + 4*time.Second
	leased := before.Lease(start, wire.LeaseRequest{TokenRequests: []wire.TokenRequest{{Team: team, Tokens: 20, LeaseDurationMS: 4000}}})
	g.Expect(leased.Grants[0].Tokens).To(Equal(20))
	request := wire.HandoverRequest{Team: team, Process: "new"}
	g.Expect(before.Handover(start, request).HandedOver).To(BeFalse(), "the previous holder still holds the slot")
	before.Reconfigure(start, nil, previousHolderIsOld)
	g.Expect(before.Lease(start, oneTokenRequest).Grants[0].Tokens).To(BeZero())

	resp := before.Handover(start, request)
	g.Expect(resp).To(Equal(wire.HandoverResponse{HandedOver: true, Available: 20, Outstanding: 20, OutstandingForMS: 4001}))
	g.Expect(before.Handover(start, request)).To(Equal(resp), "a repeated request must get the same answer, because the first may have been lost")
	g.Expect(before.Handover(start, wire.HandoverRequest{Team: team, Process: "other"}).HandedOver).To(BeFalse())

	after := NewHolder(0, nil, 1<<40)
	after.Reconfigure(start, held, previousHolderIsOld)
	after.HandleHandoverResponse(start, slot, resp)
	g.Expect(leaseAll(after, start)).To(Equal(20))
	g.Expect(leaseAll(after, start+time.Second)).To(BeZero(), "all 40 tokens are leased")
}

// Guards against a borrower that spends a token after the lease has expired at the holder, or after the borrower was
// paused.
func TestBorrowedTokensExpireBeforeHolderLease(t *testing.T) {
	g := NewWithT(t)
	b := NewBorrower("vm", "a", NewPlan(testSet(60, 12)))
	sentAt := 10 * time.Second
	g.Expect(b.TakeToken(sentAt, team)).To(BeFalse())
	outgoing := b.DueLeaseRequests(sentAt)[0]
	duration := time.Duration(outgoing.Request.TokenRequests[0].LeaseDurationMS) * time.Millisecond
	grant := wire.LeaseResponse{Grants: []wire.Grant{{Lease: 1, Tokens: 2}}}
	b.HandleLeaseResponse(sentAt+duration/2, outgoing.ID, grant)
	g.Expect(b.TakeTokenForWaitingCall(sentAt+duration/2, team)).To(BeTrue())
	g.Expect(b.TakeTokenForWaitingCall(sentAt+duration, team)).To(BeFalse(), "the duration must count from the request, not from the answer")

	g.Expect(b.TakeToken(2*sentAt, team)).To(BeFalse())
	outgoing = b.DueLeaseRequests(2 * sentAt)[0]
	b.HandleLeaseResponse(2*sentAt, outgoing.ID, grant)
	b.HandlePause()
	g.Expect(b.TakeTokenForWaitingCall(2*sentAt, team)).To(BeFalse(), "tokens must be dropped at a pause")
}

// Guards against a panic in a node that receives an empty grant after a configuration took all data centres out of
// service, so that the team has no holders, and against a node that asks no holder when they return.
func TestEmptyGrantAfterHoldersAreGone(t *testing.T) {
	g := NewWithT(t)
	inService := testSet(60, 12)
	b := NewBorrower("vm", "a", NewPlan(inService))
	now := 10 * time.Second
	g.Expect(b.TakeToken(now, team)).To(BeFalse())
	outgoing := b.DueLeaseRequests(now)
	g.Expect(outgoing).To(HaveLen(1))

	objects := config.Objects{Teams: inService.Teams, Upstreams: inService.Upstreams}
	for _, dc := range inService.DataCentres {
		objects.DataCentres = append(objects.DataCentres, config.DataCentre{Name: dc.Name, State: config.DataCentreOut})
	}
	b.Reconfigure(NewPlan(config.NewSet(objects)))
	b.HandleLeaseResponse(now, outgoing[0].ID, wire.LeaseResponse{Grants: []wire.Grant{{}}})
	g.Expect(b.Exhausted(team, now+maxBackoff)).To(BeTrue(), "no holder can be asked")
	g.Expect(b.DueLeaseRequests(now)).To(BeEmpty())

	b.Reconfigure(NewPlan(inService))
	g.Expect(b.DueLeaseRequests(now)).To(HaveLen(1), "another holder must be asked at once")
}

// Guards against a panic in a node whose configuration declares a team before the first upstream.
func TestPlanWithoutUpstreamsHasNoHolders(t *testing.T) {
	g := NewWithT(t)
	plan := NewPlan(testSet(60, 0))
	g.Expect(plan.HolderOf(slot)).To(BeEmpty())
	g.Expect(plan.SlotsHeldBy("vm")).To(BeEmpty())
	b := NewBorrower("vm", "a", plan)
	g.Expect(b.TakeToken(time.Second, team)).To(BeFalse())
	g.Expect(b.DueLeaseRequests(time.Second)).To(BeEmpty())
	g.Expect(b.Exhausted(team, time.Second)).To(BeTrue())
}

func BenchmarkTakeToken(b *testing.B) {
	plan := NewPlan(testSet(1000, 47))
	br := NewBorrower("vm", "a", plan)
	h := NewHolder(-MaxLeaseDuration, map[Slot]SlotLimit{slot: {Rate: 1e9, Burst: 1 << 30}}, 0)
	now := time.Duration(1)
	for b.Loop() {
		now += 100 * time.Microsecond
		if br.TakeToken(now, team) {
			continue
		}
		for _, request := range br.DueLeaseRequests(now) {
			br.HandleLeaseResponse(now, request.ID, h.Lease(now, request.Request))
		}
		br.TakeTokenForWaitingCall(now, team)
	}
}

// leaseAll leases all available tokens of the holder for MaxLeaseDuration and returns their number.
func leaseAll(h *Holder, now time.Duration) int {
	n := 0
	for range 20 {
		want := wire.TokenRequest{Team: team, Tokens: 1000, LeaseDurationMS: MaxLeaseDuration.Milliseconds()}
		n += h.Lease(now, wire.LeaseRequest{TokenRequests: []wire.TokenRequest{want}}).Grants[0].Tokens
	}
	return n
}

// Guards against tokens that are leased again, by the same process or by the next one, while the tokens leased before
// are still unspent.
func TestUnspentTokensDelayRefill(t *testing.T) {
	g := NewWithT(t)
	held := map[Slot]SlotLimit{slot: {Rate: 40, Burst: 40}}
	h := NewHolder(0, held, 0)
	start := MaxLeaseDuration + 2*time.Second
	g.Expect(leaseAll(h, start)).To(Equal(40))
	g.Expect(leaseAll(h, start+3*time.Second)).To(BeZero())
	h = NewHolder(start+time.Second, held, 1<<40)
	g.Expect(leaseAll(h, start+3*time.Second)).To(BeZero())
	g.Expect(leaseAll(h, start+MaxLeaseDuration+3*time.Second)).To(Equal(40))
}

func BenchmarkNewPlan(b *testing.B) {
	s := testSet(2500, 470)
	for b.Loop() {
		NewPlan(s)
	}
}
