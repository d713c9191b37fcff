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

// retainedHeapBytes returns the bytes of heap memory that the value returned by build keeps in use.
func retainedHeapBytes(build func() any) float64 {
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

// decodedSet returns the configuration set of a fleet as a node holds it, decoded from a bundle.
func decodedSet(f fleetSpec) (*config.Set, error) {
	b, err := bundle.Build(f.objects(), 1, "")
	if err != nil {
		return nil, err
	}
	return bundle.DecodeSet(b.ManifestBytes, b.Values)
}

// MeasureState records the bytes of each part of a node's state at several sizes of the quantity that it grows with.
func MeasureState(r *Recorder) error {
	steps := []func(*Recorder) error{
		measureSet, measureSnapshotMembers, measureLedger, measureQueueAndRouting, measureBurnRecorder, measureQuotaHeap,
	}
	for _, step := range steps {
		if err := step(r); err != nil {
			return err
		}
	}
	return nil
}

// measureSet records the size of the configuration set by upstreams, by teams and by keys.
func measureSet(r *Recorder) error {
	dimensions := []struct {
		name  string
		sizes []int
		apply func(*fleetSpec, int)
	}{
		{"upstreams", fleetSizes, func(f *fleetSpec, n int) { f.upstreams = n }},
		{"teams", []int{8, 16, 32, 64}, func(f *fleetSpec, n int) { f.teams = n }},
		{"keys", []int{500, 1000, 2000, 4000}, func(f *fleetSpec, n int) { f.keys = n }},
	}
	for _, dimension := range dimensions {
		for _, n := range dimension.sizes {
			f := targetFleet()
			dimension.apply(&f, n)
			if err := recordSetSize(r, dimension.name, n, f); err != nil {
				return err
			}
		}
	}
	return nil
}

// recordSetSize records the heap bytes of a configuration set and the bytes of its encoded values and manifest.
func recordSetSize(r *Recorder, quantity string, size int, f fleetSpec) error {
	b, err := bundle.Build(f.objects(), 1, "")
	if err != nil {
		return err
	}
	values := 0
	for _, v := range b.Values {
		values += len(v)
	}
	heap := retainedHeapBytes(func() any {
		set, openErr := bundle.DecodeSet(b.ManifestBytes, b.Values)
		err = openErr
		return set
	})
	if err != nil {
		return err
	}
	return r.addAll(float64(size), []measurement{
		{"set_heap_by_" + quantity, "bytes", heap},
		{"set_values_by_" + quantity, "bytes", float64(values)},
		{"manifest_by_" + quantity, "bytes", float64(len(b.ManifestBytes))},
	})
}

// measureSnapshotMembers records what the member list adds to a snapshot, and the bytes of the encoded list, which the
// node also keeps.
func measureSnapshotMembers(r *Recorder) error {
	for _, n := range fleetSizes {
		encoded, err := json.Marshal(platform.MemberList{Revision: 1, Members: fleetSpec{upstreams: n}.membersWithoutControlAddress()})
		if err != nil {
			return err
		}
		heap := retainedHeapBytes(func() any {
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
		err = r.addAll(float64(n), []measurement{
			{"snapshot_members_heap", "bytes", heap}, {"list_encoded", "bytes", float64(len(encoded))},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Assumptions on non-idempotent calls: their share of the calls of a controller, and the bytes of a response body.
const (
	nonIdempotentShare = 0.05
	responseBodyBytes  = 200
)

// identityLifetime is how long the delivery ledger keeps an identity: the retention of 15 min, two generations of 5 min
// and the maximum deadline.
const identityLifetime = delivery.DefaultRetention + 2*delivery.DefaultRetention/3 + delivery.DefaultMaxDeadline

// identitiesHeld returns the number of identities that a controller keeps if the given share of its calls is not
// idempotent.
func identitiesHeld(share float64) float64 {
	return share * targetCalls / targetNodes * identityLifetime.Seconds()
}

// measureLedger records the heap bytes of the delivery ledger by identities, and the number of identities at the target
// size.
func measureLedger(r *Recorder) error {
	for _, n := range []int{5_000, 20_000, 50_000, 150_000} {
		heap := retainedHeapBytes(func() any { return filledLedger(n) })
		if err := r.Add("ledger_heap_by_identities", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	return r.addAll(targetNodes, []measurement{
		{"ledger_identities_at_5_percent", "identities", identitiesHeld(nonIdempotentShare)},
		{"ledger_identities_at_100_percent", "identities", identitiesHeld(1)},
	})
}

// filledLedger returns a ledger with n finished requests.
func filledLedger(n int) *delivery.Ledger {
	l := delivery.NewLedger(delivery.Config{}, 0, "epoch")
	now := delivery.DefaultMaxDeadline + time.Second
	body := make([]byte, responseBodyBytes)
	for i := range n {
		identity := fmt.Sprintf("team-00/6f1d2c3b-8a77-4a5e-9b1c-%012d", i)
		l.Accept(now, delivery.Request{
			Call: identity, Identity: identity, Attempt: 1, Epoch: l.Epoch(now), BodyDigest: uint64(i),
		})
		l.Finish(now, identity, delivery.Result{Status: 201, ContentType: "application/json", Body: body})
	}
	return l
}

// measureQueueAndRouting records the heap bytes of the admission queue by waiting calls and of the routing table by
// upstreams.
func measureQueueAndRouting(r *Recorder) error {
	for _, n := range []int{16, 64, 160} {
		heap := retainedHeapBytes(func() any { return filledQueue(n) })
		if err := r.Add("admission_heap_by_waiting_calls", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	for _, n := range fleetSizes {
		f := targetFleet()
		f.upstreams = n
		set, err := decodedSet(f)
		if err != nil {
			return err
		}
		heap := retainedHeapBytes(func() any { return filledRoutingTable(f, set) })
		if err := r.Add("routing_heap_by_upstreams", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	return nil
}

// filledQueue returns a controller whose slots are taken and in whose queue n calls wait.
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

// routingView returns the routing view of a fleet.
func routingView(f fleetSpec, set *config.Set) *routing.View {
	members := map[string]platform.Member{}
	for _, m := range f.membersWithoutControlAddress() {
		members[m.Upstream] = m
	}
	return &routing.View{Set: set, Members: members}
}

// newRoutingTable returns an empty routing table of the node beside upstream 0.
func newRoutingTable() *routing.Table {
	cfg := routing.Config{Node: "vm-" + upstreamName(0), DataCentre: dataCentreName(0)}
	return routing.NewTable(cfg, rand.New(rand.NewPCG(1, 1)))
}

// filledRoutingTable returns a table that has picked an upstream of every service and recorded a call to every
// upstream.
func filledRoutingTable(f fleetSpec, set *config.Set) *routing.Table {
	table, view := newRoutingTable(), routingView(f, set)
	for i := range set.Services {
		table.Pick(0, view, set.Services[i].Name, nil)
	}
	for i := range set.Upstreams {
		table.RecordOutcome(0, set.Upstreams[i].Name, routing.AttemptOutcome{Kind: routing.Responded, InFlight: 1, Limit: 10})
	}
	return table
}

// measureBurnRecorder records the heap bytes of the recorder of error-budget burn rates by objectives.
func measureBurnRecorder(r *Recorder) error {
	for _, n := range []int{8, 16, 24, 48} {
		objectives := make([]config.Objective, 0, n)
		for i := range n {
			objectives = append(objectives, config.Objective{
				Name: fmt.Sprint("objective-", i), Service: serviceName(i), Target: 0.999, LatencyMS: 100,
			})
		}
		heap := retainedHeapBytes(func() any {
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

// measureQuotaHeap records the heap bytes of the quota plan by upstreams, and of the busiest holder and of a borrower
// by teams.
func measureQuotaHeap(r *Recorder) error {
	for _, n := range fleetSizes {
		f := targetFleet()
		f.upstreams = n
		set, err := decodedSet(f)
		if err != nil {
			return err
		}
		heap := retainedHeapBytes(func() any { return quota.NewPlan(set) })
		if err := r.Add("quota_plan_heap_by_upstreams", "bytes", float64(n), heap); err != nil {
			return err
		}
	}
	for _, n := range []int{8, 16, 32, 64} {
		f := targetFleet()
		f.teams = n
		set, err := decodedSet(f)
		if err != nil {
			return err
		}
		err = r.addAll(float64(n), []measurement{
			{"quota_holder_heap_by_teams", "bytes", retainedHeapBytes(func() any { return holderWithLeases(set) })},
			{"quota_borrower_heap_by_teams", "bytes", retainedHeapBytes(func() any { return borrowerWithTokens(set) })},
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// holderWithLeases returns the holder of most slots after it granted as many leases as there are upstreams.
func holderWithLeases(set *config.Set) *quota.Holder {
	holder, request := busiestHolder(set)
	for range set.Upstreams {
		holder.Lease(time.Minute, request)
	}
	return holder
}

// busiestHolder returns the holder of most slots and a lease request for one token of each of its teams.
func busiestHolder(set *config.Set) (*quota.Holder, wire.LeaseRequest) {
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
			request.TokenRequests = append(request.TokenRequests, wire.TokenRequest{Team: name, Tokens: 1, LeaseDurationMS: 2000})
		}
	}
	holder := quota.NewHolder(0, held, 1)
	holder.Lease(30*time.Second, request)
	return holder, request
}

// borrowerWithTokens returns a borrower that holds leased tokens of every team.
func borrowerWithTokens(set *config.Set) *quota.Borrower {
	b := quota.NewBorrower(upstreamName(0), dataCentreName(0), quota.NewPlan(set))
	now := time.Second
	for i := range set.Teams {
		b.TakeToken(now, set.Teams[i].Name)
	}
	for _, due := range b.DueLeaseRequests(now) {
		response := wire.LeaseResponse{}
		for i, tokenRequest := range due.Request.TokenRequests {
			response.Grants = append(response.Grants, wire.Grant{Lease: uint64(i + 1), Tokens: tokenRequest.Tokens})
		}
		b.HandleLeaseResponse(now, due.ID, response)
	}
	return b
}
