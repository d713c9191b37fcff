// Package quota keeps each team within its rate and burst over all nodes without shared state.
//
// A team's rate and burst are divided into slots. The configuration alone determines which node holds a slot;
// the holder leases tokens of it to the nodes that admit calls. Holder and Borrower are state machines: the
// caller passes the time and carries the messages.
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
	// minSlotBurst is the least burst, in calls, of a slot. Thinner slots strand tokens: a node that needs a few
	// calls at once would have to collect them from several holders.
	minSlotBurst = 5
	// upstreamsPerSlot bounds the number of slots of a team to a share of the fleet.
	upstreamsPerSlot = 5
)

// MaxLeaseDuration is the longest life of a lease, counted by the holder from its answer and by the borrower from
// before its request. A restarted holder waits as long before it leases again.
const MaxLeaseDuration = 4 * time.Second

// Slot names one part of a team's allowance.
type Slot struct {
	Team  string
	Index int
}

// SlotLimit is what a slot is worth.
type SlotLimit struct {
	// Rate is in calls per second, Burst in calls.
	Rate  float64
	Burst int
}

// SlotCount returns the number of slots of a team with that burst, in a fleet of that many declared upstreams and
// data centres. It does not depend on which data centres are in service, so that a slot keeps its worth while
// they leave and return.
func SlotCount(burst, upstreams, dataCentres int) int {
	most := max(upstreams/upstreamsPerSlot, dataCentres)
	return max(min(burst/minSlotBurst, most, upstreams), 1)
}

// Plan assigns the slots of all teams to holders under one configuration. It depends on the configuration only,
// never on the list of live VMs: two nodes with the same configuration name the same holders.
type Plan struct {
	set *config.Set
	// declared lists the upstreams of each data centre, serving only those of data centres in service.
	declared, serving map[string][]string
	// dataCentres are the names of all declared data centres that have upstreams, sorted.
	dataCentres []string
	holders     map[Slot]string
}

// NewPlan assigns the slots of a set.
func NewPlan(set *config.Set) *Plan {
	p := &Plan{
		set:      set,
		declared: map[string][]string{},
		serving:  map[string][]string{},
		holders:  map[Slot]string{},
	}
	for i := range set.Upstreams {
		u := &set.Upstreams[i]
		if !slices.Contains(p.dataCentres, u.DataCentre) {
			p.dataCentres = append(p.dataCentres, u.DataCentre)
		}
		p.declared[u.DataCentre] = append(p.declared[u.DataCentre], u.Name)
		if set.InService(u) {
			p.serving[u.DataCentre] = append(p.serving[u.DataCentre], u.Name)
		}
	}
	slices.Sort(p.dataCentres)
	p.assign()
	return p
}

func (p *Plan) slots(team *config.Team) int {
	return SlotCount(team.Burst, len(p.set.Upstreams), len(p.dataCentres))
}

// assign gives the slots of a team to its data centres in turn, so that the loss of one takes the same share of
// each allowance. The slots of a data centre that is out of service are assigned last, elsewhere, so that they
// move no other slot.
func (p *Plan) assign() {
	load := map[string]float64{}
	var displaced []Slot
	for i := range p.set.Teams {
		team := &p.set.Teams[i]
		order := ranked(team.Name, p.dataCentres)
		for index := range p.slots(team) {
			slot := Slot{Team: team.Name, Index: index}
			if home := p.serving[order[index%len(order)]]; len(home) > 0 {
				p.place(slot, home, load)
			} else {
				displaced = append(displaced, slot)
			}
		}
	}
	for _, slot := range displaced {
		for _, other := range ranked(slot.String(), p.dataCentres) {
			if home := p.serving[other]; len(home) > 0 {
				p.place(slot, home, load)
				break
			}
		}
	}
}

// choices is the number of upstreams among which a slot goes to the one with the least rate so far. One choice
// would give some nodes several times the mean rate and messages; many would move slots of other teams whenever
// a team changes.
const choices = 3

func (p *Plan) place(slot Slot, upstreams []string, load map[string]float64) {
	candidates := first(choices, slot.String(), upstreams)
	best := candidates[0].name
	for _, c := range candidates {
		if load[c.name] < load[best] {
			best = c.name
		}
	}
	team := p.set.Team(slot.Team)
	load[best] += team.RatePerSecond / float64(p.slots(team))
	p.holders[slot] = best
}

// String is the slot's key for hashing.
func (s Slot) String() string { return s.Team + "/" + strconv.Itoa(s.Index) }

// scored is a name with its hash for a key.
type scored struct {
	name  string
	score uint64
}

func score(key, name string) scored { return scored{name, xxhash.Sum64String(key + "/" + name)} }

// compare orders by hash, with the name as tie-break.
func (s scored) compare(o scored) int {
	return cmp.Or(cmp.Compare(s.score, o.score), strings.Compare(s.name, o.name))
}

// ranked orders names by their hash with the key.
func ranked(key string, names []string) []string {
	scores := make([]scored, len(names))
	for i, name := range names {
		scores[i] = score(key, name)
	}
	slices.SortFunc(scores, scored.compare)
	ordered := make([]string, len(names))
	for i, s := range scores {
		ordered[i] = s.name
	}
	return ordered
}

// first returns the first n names of ranked. It does not sort the rest, because a plan asks for each slot of each
// team among all upstreams of a data centre.
func first(n int, key string, names []string) []scored {
	best := make([]scored, 0, n+1)
	for _, name := range names {
		s := score(key, name)
		if len(best) == n && s.compare(best[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, s, scored.compare)
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), n)]
	}
	return best
}

// Holders returns the upstreams that hold slots of the team, each once, in slot order.
func (p *Plan) Holders(team *config.Team) []string {
	var holders []string
	for index := range p.slots(team) {
		holder := p.holders[Slot{Team: team.Name, Index: index}]
		if holder != "" && !slices.Contains(holders, holder) {
			holders = append(holders, holder)
		}
	}
	return holders
}

// HolderOf returns the upstream that holds the slot, or "" when nobody does.
func (p *Plan) HolderOf(slot Slot) string { return p.holders[slot] }

// SlotsHeldBy returns the slots that the node beside that upstream holds.
func (p *Plan) SlotsHeldBy(upstream string) map[Slot]SlotLimit {
	held := map[Slot]SlotLimit{}
	for slot, holder := range p.holders {
		if holder == upstream {
			team := p.set.Team(slot.Team)
			held[slot] = sliceOf(team, p.slots(team), slot.Index)
		}
	}
	return held
}

// sliceOf divides the burst without a remainder: the first slots have one call more.
func sliceOf(team *config.Team, slots, index int) SlotLimit {
	burst := team.Burst / slots
	if index < team.Burst%slots {
		burst++
	}
	return SlotLimit{Rate: team.RatePerSecond / float64(slots), Burst: burst}
}
