// Package quota limits the calls of each team, over all nodes together, to the team's rate and burst without shared
// state.
//
// A team's rate and burst are divided into slots. The configuration alone determines which node holds a slot; the
// holder leases the slot's tokens to the nodes that admit calls. Holder and Borrower are state machines: the caller
// passes the current time and sends the messages.
package quota

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboodeal/bamboodeal/api/config"
)

const (
	// minSlotBurst is the smallest burst of a slot in calls. With smaller slots, a node that needs tokens for several
	// calls at once would have to request them from several holders.
	minSlotBurst = 5
	// upstreamsPerSlot bounds the number of slots of a team: it has at most one for every upstreamsPerSlot declared
	// upstreams, or at most one for each data centre if that is more.
	upstreamsPerSlot = 5
)

// MaxLeaseDuration is the longest duration of a lease. The holder counts it from its answer, the borrower from before
// its request. A restarted holder waits this long before it leases tokens again.
const MaxLeaseDuration = 4 * time.Second

// Slot identifies one of the parts into which a team's rate and burst are divided.
type Slot struct {
	Team  string
	Index int
}

// SlotLimit is a slot's part of the team's rate and burst.
type SlotLimit struct {
	// Rate is in calls per second.
	Rate float64
	// Burst is in calls.
	Burst int
}

// SlotCount returns the number of slots of a team with the burst, given the numbers of declared upstreams and data
// centres. It does not depend on which data centres are in service, so that the limits of the slots stay the same when
// a data centre leaves or returns.
func SlotCount(burst, upstreams, dataCentres int) int {
	most := max(upstreams/upstreamsPerSlot, dataCentres)
	return max(min(burst/minSlotBurst, most, upstreams), 1)
}

// Plan assigns the slots of all teams to holders under one configuration. It depends on the configuration only, not on
// the list of live VMs, so nodes with the same configuration compute the same holders.
type Plan struct {
	set *config.Set
	// declared lists the upstreams of each data centre, inService only those that are in service.
	declared, inService map[string][]string
	// dataCentres are the sorted names of all data centres with declared upstreams.
	dataCentres []string
	holders     map[Slot]string
}

// NewPlan assigns the slots of the teams declared in a set.
func NewPlan(set *config.Set) *Plan {
	p := &Plan{
		set:       set,
		declared:  map[string][]string{},
		inService: map[string][]string{},
		holders:   map[Slot]string{},
	}
	for i := range set.Upstreams {
		u := &set.Upstreams[i]
		if !slices.Contains(p.dataCentres, u.DataCentre) {
			p.dataCentres = append(p.dataCentres, u.DataCentre)
		}
		p.declared[u.DataCentre] = append(p.declared[u.DataCentre], u.Name)
		if set.InService(u) {
			p.inService[u.DataCentre] = append(p.inService[u.DataCentre], u.Name)
		}
	}
	slices.Sort(p.dataCentres)
	p.assign()
	return p
}

func (p *Plan) slotCount(team *config.Team) int {
	return SlotCount(team.Burst, len(p.set.Upstreams), len(p.dataCentres))
}

// assign distributes the slots of each team evenly over the data centres, so that the loss of a data centre takes
// about the same share of each team's rate. The slots of a data centre that is out of service are assigned to the
// others after all other slots, so that they do not change the holders of those. Without declared upstreams no slot has
// a holder.
func (p *Plan) assign() {
	if len(p.dataCentres) == 0 {
		return
	}
	load := map[string]float64{}
	var displaced []Slot
	for i := range p.set.Teams {
		team := &p.set.Teams[i]
		order := rankByHash(team.Name, p.dataCentres)
		for index := range p.slotCount(team) {
			slot := Slot{Team: team.Name, Index: index}
			if home := p.inService[order[index%len(order)]]; len(home) > 0 {
				p.placeSlot(slot, home, load)
			} else {
				displaced = append(displaced, slot)
			}
		}
	}
	for _, slot := range displaced {
		for _, other := range rankByHash(slot.String(), p.dataCentres) {
			if home := p.inService[other]; len(home) > 0 {
				p.placeSlot(slot, home, load)
				break
			}
		}
	}
}

// placementChoices is the number of upstreams among which a slot goes to the one with the lowest sum of slot rates so
// far. A single choice would give some nodes several times the mean rate and messages; many choices would move slots of
// other teams whenever a team changes.
const placementChoices = 3

// placeSlot assigns a slot to one of the upstreams; load is the sum of the slot rates of each upstream.
func (p *Plan) placeSlot(slot Slot, upstreams []string, load map[string]float64) {
	candidates := topByHash(placementChoices, slot.String(), upstreams)
	best := candidates[0].name
	for _, c := range candidates {
		if load[c.name] < load[best] {
			best = c.name
		}
	}
	team := p.set.Team(slot.Team)
	load[best] += team.RatePerSecond / float64(p.slotCount(team))
	p.holders[slot] = best
}

// String returns the slot's key for hashing, "TEAM/INDEX".
func (s Slot) String() string { return s.Team + "/" + strconv.Itoa(s.Index) }

// scoredName is a name with its rendezvous hash for a key.
type scoredName struct {
	name  string
	score uint64
}

func score(key, name string) scoredName {
	return scoredName{name, xxhash.Sum64String(key + "/" + name)}
}

// compare orders names by their hash, and names with equal hashes alphabetically.
func (s scoredName) compare(o scoredName) int {
	return cmp.Or(cmp.Compare(s.score, o.score), strings.Compare(s.name, o.name))
}

// rankByHash returns the names ordered by their rendezvous hash for the key.
func rankByHash(key string, names []string) []string {
	scores := make([]scoredName, len(names))
	for i, name := range names {
		scores[i] = score(key, name)
	}
	slices.SortFunc(scores, scoredName.compare)
	ordered := make([]string, len(names))
	for i, s := range scores {
		ordered[i] = s.name
	}
	return ordered
}

// topByHash returns the first n names in the order of rankByHash, without the cost of sorting all names: a plan calls
// it for each slot of each team with all upstreams of a data centre.
func topByHash(n int, key string, names []string) []scoredName {
	best := make([]scoredName, 0, n+1)
	for _, name := range names {
		s := score(key, name)
		if len(best) == n && s.compare(best[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, scoredName.compare)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	return best
}

// Holders returns the upstreams that hold slots of the team, each once, in the order of the slots.
func (p *Plan) Holders(team *config.Team) []string {
	var holders []string
	for index := range p.slotCount(team) {
		holder := p.holders[Slot{Team: team.Name, Index: index}]
		if holder != "" && !slices.Contains(holders, holder) {
			holders = append(holders, holder)
		}
	}
	return holders
}

// HolderOf returns the upstream that holds the slot, or "" if none does.
func (p *Plan) HolderOf(slot Slot) string { return p.holders[slot] }

// SlotsHeldBy returns the slots that the node beside the upstream holds, with their limits.
func (p *Plan) SlotsHeldBy(upstream string) map[Slot]SlotLimit {
	held := map[Slot]SlotLimit{}
	for slot, holder := range p.holders {
		if holder == upstream {
			team := p.set.Team(slot.Team)
			held[slot] = limitOfSlot(team, p.slotCount(team), slot.Index)
		}
	}
	return held
}

// limitOfSlot returns the limit of one of a team's slots. If the burst is not divisible by the number of slots, the
// first slots get one call more.
func limitOfSlot(team *config.Team, slots, index int) SlotLimit {
	burst := team.Burst / slots
	if index < team.Burst%slots {
		burst++
	}
	return SlotLimit{Rate: team.RatePerSecond / float64(slots), Burst: burst}
}
