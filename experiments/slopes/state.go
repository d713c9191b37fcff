package slopes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/admission"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
	"github.com/bamboodeal/bamboodeal/decision/quota"
	"github.com/bamboodeal/bamboodeal/decision/routing"
	"github.com/bamboodeal/bamboodeal/pkg/burn"
	"github.com/bamboodeal/bamboodeal/pkg/snapshot"
)

// heapOf returns the bytes of the heap that what build returns keeps alive.
func heapOf(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return max(0, float64(after.HeapAlloc)-float64(before.HeapAlloc))
}

// opened returns the set of a fleet as a node holds it, parsed from the bundle's values.
func opened(f fleet) (*config.Set, error) {
	b, err := bundle.Build(f.objects(), 1, "")
	if err != nil {
		return nil, err
	}
	return bundle.DecodeSet(b.ManifestBytes, b.Values)
}

// MeasureState records the bytes of each part of a node's state by what it grows with.
func MeasureState(r *Recorder) error {
	steps := []func(*Recorder) error{setState, snapshotState, ledgerState, trafficState, burnState, quotaState}
	for _, step := range steps {
		if err := step(r); err != nil {
			return err
		}
	}
	return nil
}

func setState(r *Recorder) error {
	vary := []struct {
		name  string
		sizes []int
		apply func(*fleet, int)
	}{
		{"upstreams", countSizes, func(f *fleet, n int) { f.upstreams = n }},
		{"teams", []int{8, 16, 32, 64}, func(f *fleet, n int) { f.teams = n }},
		{"keys", []int{500, 1000, 2000, 4000}, func(f *fleet, n int) { f.keys = n }},
	}
	for _, v := range vary {
		for _, n := range v.sizes {
			f := target()
			v.apply(&f, n)
			if err := setPoint(r, v.name, n, f); err != nil {
				return err
			}
		}
	}
	return nil
}

func setPoint(r *Recorder, by string, size int, f fleet) error {
	b, err := bundle.Build(f.objects(), 1, "")
	if err != nil {
		return err
	}
	values := 0
	for _, v := range b.Values {
		values += len(v)
	}
	heap := heapOf(func() any {
		set, openErr := bundle.DecodeSet(b.ManifestBytes, b.Values)
		err = openErr
		return set
	})
	if err != nil {
		return err
	}
	return r.addAll(float64(size), []measure{
		{"set_heap_by_" + by, "bytes", heap},
		{"set_values_by_" + by, "bytes", float64(values)},
		{"manifest_by_" + by, "bytes", float64(len(b.ManifestBytes))},
	})
}

// snapshotState is what a snapshot adds to its set: the members, which the node also keeps encoded.
func snapshotState(r *Recorder) error {
	for _, n := range countSizes {
		encoded, err := json.Marshal(platform.MemberList{Revision: 1, Members: fleet{upstreams: n}.quietMembers()})
		if err != nil {
			return err
		}
		heap := heapOf(func() any {
			list := &platform.MemberList{}
			err = json.Unmarshal(encoded, list)
			members := make(map[string]platform.Member, n)
			for _, m := range list.Members {
				members[m.Upstream] = m
			}
			return &snapshot.Snapshot{Members: members}
		})
		if err != nil {
			return err
		}
		err = r.addAll(float64(n), []measure{
			{"snapshot_members_heap", "bytes", heap}, {"list_encoded", "bytes", float64(len(encoded))},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Assumptions on non-idempotent calls: their share of the calls that a controller gets, and the size of an answer.
const (
	nonIdempotentShare = 0.05
	answerBytes        = 200
)

// keepTime is how long the ledger holds an identity: the retention of 15 min, two generations of 5 min and the
// longest deadline.
const keepTime = delivery.DefaultRetention + 2*delivery.DefaultRetention/3 + delivery.DefaultMaxDeadline

// identitiesHeld returns the identities of a controller that gets a share of non-idempotent calls.
func identitiesHeld(share float64) float64 {
	return share * targetCalls / targetNodes * keepTime.Seconds()
}

func ledgerState(r *Recorder) error {
	for _, n := range []int{5_000, 20_000, 50_000, 150_000} {
		heap := heapOf(func() any { return filledLedger(n) })
		if err := r.Add("ledger_heap_by_identities", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	return r.addAll(targetNodes, []measure{
		{"ledger_identities_at_5_percent", "identities", identitiesHeld(nonIdempotentShare)},
		{"ledger_identities_at_100_percent", "identities", identitiesHeld(1)},
	})
}

func filledLedger(n int) *delivery.Ledger {
	l := delivery.NewLedger(delivery.Config{}, 0, "epoch")
	now := delivery.DefaultMaxDeadline + time.Second
	body := make([]byte, answerBytes)
	for i := range n {
		identity := fmt.Sprintf("team-00/6f1d2c3b-8a77-4a5e-9b1c-%012d", i)
		l.Accept(now, delivery.Request{
			Call: identity, Identity: identity, Attempt: 1, Epoch: l.Epoch(now), BodyDigest: uint64(i),
		})
		l.Finish(now, identity, delivery.Result{Status: 201, ContentType: "application/json", Body: body})
	}
	return l
}

// trafficState covers the admission queue by waiting calls and the routing table by upstreams.
func trafficState(r *Recorder) error {
	for _, n := range []int{16, 64, 160} {
		heap := heapOf(func() any { return filledQueue(n) })
		if err := r.Add("admission_heap_by_waiting_calls", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	for _, n := range countSizes {
		f := target()
		f.upstreams = n
		set, err := opened(f)
		if err != nil {
			return err
		}
		heap := heapOf(func() any { return filledTable(f, set) })
		if err := r.Add("routing_heap_by_upstreams", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	return nil
}

func filledQueue(n int) *admission.Controller {
	c := admission.NewController(admission.Config{Slots: 10, InitialConcurrency: 10, MaxQueueLength: n}, 0)
	for i := range n + 10 {
		c.Submit(0, admission.Call{
			ID: fmt.Sprintf("call-%032d", i), Team: teamName(i % targetTeams), Route: serviceName(0), Weight: 1,
			Priority: config.PriorityNormal, Deadline: time.Hour,
		})
	}
	return c
}

func viewOf(f fleet, set *config.Set) *routing.View {
	members := map[string]platform.Member{}
	for _, m := range f.quietMembers() {
		members[m.Upstream] = m
	}
	return &routing.View{Set: set, Members: members}
}

func newTable() *routing.Table {
	cfg := routing.Config{Node: "vm-" + upstreamName(0), DataCentre: dataCentreName(0)}
	return routing.NewTable(cfg, rand.New(rand.NewPCG(1, 1)))
}

// filledTable has picked upstreams of every service and seen calls to every upstream.
func filledTable(f fleet, set *config.Set) *routing.Table {
	table, view := newTable(), viewOf(f, set)
	for i := range set.Services {
		table.Pick(0, view, set.Services[i].Name, nil)
	}
	for i := range set.Upstreams {
		table.RecordOutcome(0, set.Upstreams[i].Name, routing.AttemptOutcome{Kind: routing.Responded, InFlight: 1, Limit: 10})
	}
	return table
}

func burnState(r *Recorder) error {
	for _, n := range []int{8, 16, 24, 48} {
		objectives := make([]config.Objective, 0, n)
		for i := range n {
			objectives = append(objectives, config.Objective{
				Name: fmt.Sprint("objective-", i), Service: serviceName(i), Target: 0.999, LatencyMS: 100,
			})
		}
		heap := heapOf(func() any {
			recorder := burn.NewRecorder()
			recorder.SetObjectives(objectives)
			return recorder
		})
		if err := r.Add("burn_heap_by_objectives", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	return nil
}

// quotaState covers the plan by upstreams, and the busiest holder and a borrower by teams.
func quotaState(r *Recorder) error {
	for _, n := range countSizes {
		f := target()
		f.upstreams = n
		set, err := opened(f)
		if err != nil {
			return err
		}
		heap := heapOf(func() any { return quota.NewPlan(set) })
		if err := r.Add("quota_plan_heap_by_upstreams", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	for _, n := range []int{8, 16, 32, 64} {
		f := target()
		f.teams = n
		set, err := opened(f)
		if err != nil {
			return err
		}
		err = r.addAll(float64(n), []measure{
			{"quota_holder_heap_by_teams", "bytes", heapOf(func() any { return lentHolder(set) })},
			{"quota_borrower_heap_by_teams", "bytes", heapOf(func() any { return fullBorrower(set) })},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// lentHolder is the holder of most slots, with a lease of each for every other node.
func lentHolder(set *config.Set) *quota.Holder {
	holder, request := holderAndRequest(set)
	for range set.Upstreams {
		holder.Lease(time.Minute, request)
	}
	return holder
}

// holderAndRequest returns the holder of most slots and a question for a token of each of its teams.
func holderAndRequest(set *config.Set) (*quota.Holder, wire.LeaseRequest) {
	plan := quota.NewPlan(set)
	var held map[quota.Slot]quota.SlotLimit
	for i := range set.Upstreams {
		if s := plan.SlotsHeldBy(set.Upstreams[i].Name); len(s) > len(held) {
			held = s
		}
	}
	teams := map[string]bool{}
	for slot := range held {
		teams[slot.Team] = true
	}
	var request wire.LeaseRequest
	for i := range set.Teams {
		if name := set.Teams[i].Name; teams[name] {
			request.TokenRequests = append(request.TokenRequests, wire.TokenRequest{Team: name, Tokens: 1, LifetimeMS: 2000})
		}
	}
	holder := quota.NewHolder(0, held, 1)
	holder.Lease(30*time.Second, request)
	return holder, request
}

func fullBorrower(set *config.Set) *quota.Borrower {
	b := quota.NewBorrower(upstreamName(0), dataCentreName(0), quota.NewPlan(set))
	now := time.Second
	for i := range set.Teams {
		b.TakeToken(now, set.Teams[i].Name)
	}
	for _, ask := range b.DueLeaseRequests(now) {
		response := wire.LeaseResponse{}
		for i, w := range ask.Request.TokenRequests {
			response.Grants = append(response.Grants, wire.Grant{Lease: uint64(i + 1), Tokens: w.Tokens})
		}
		b.HandleLeaseResponse(now, ask.ID, response)
	}
	return b
}
