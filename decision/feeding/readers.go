// Package feeding decides from where a node learns what the platform's store publishes. A few nodes of each data centre
// read the store and the others follow them, because calls to the store are billed and do not grow with the fleet.
package feeding

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// membersPerReader is the number of VMs of a data centre for each reader. A reader answers each follower about
	// three times a second.
	membersPerReader = 16
	// suspension is how long a source that failed is passed over while another one answers.
	suspension = time.Second
	// StaleAge is how old a reader's contact to the store may be before its followers turn to another one. A change
	// that a reader misses has to reach its followers within 2 s all the same.
	StaleAge = 1200 * time.Millisecond
)

// Member is a VM with a node.
type Member struct {
	VM         string
	DataCentre string
}

// Readers returns the VMs that read the store, those of the given data centre first. They follow from the list of
// members alone, so nodes with the same list agree.
func Readers(members []Member, dataCentre string) []string {
	byPlace := map[string][]Member{}
	for _, m := range members {
		byPlace[m.DataCentre] = append(byPlace[m.DataCentre], m)
	}
	places := make([]string, 0, len(byPlace))
	for place := range byPlace {
		places = append(places, place)
	}
	sort.Slice(places, func(i, j int) bool {
		if own := places[i] == dataCentre; own != (places[j] == dataCentre) {
			return own
		}
		return places[i] < places[j]
	})
	var readers []string
	for _, place := range places {
		list := byPlace[place]
		sort.Slice(list, func(i, j int) bool { return rank(list[i].VM) < rank(list[j].VM) })
		for _, m := range list[:1+(len(list)-1)/membersPerReader] {
			readers = append(readers, m.VM)
		}
	}
	return readers
}

func rank(vm string) uint64 { return xxhash.Sum64String(vm) }

// Store is the name of the store among the sources.
const Store = ""

// Sources orders what a node may learn from and passes over what failed. It is not safe for concurrent use.
type Sources struct {
	own        string
	dataCentre string
	// narrow nodes do not read the store: its answers hold whole values, which a follower gets as small patches.
	narrow    bool
	suspended map[string]time.Duration
}

// NewSources returns the sources of the node of a VM; narrow says that its link is.
func NewSources(own, dataCentre string, narrow bool) *Sources {
	return &Sources{own: own, dataCentre: dataCentre, narrow: narrow, suspended: map[string]time.Duration{}}
}

// Next returns the source to ask now: the store for a reader, else a reader, and the store when no reader is known to
// answer. turn spreads the followers over the readers of a data centre.
func (s *Sources) Next(now time.Duration, members []Member) string {
	readers := Readers(members, s.dataCentre)
	order := make([]string, 0, len(readers)+1)
	reads := false
	for _, vm := range readers {
		if vm == s.own {
			reads = !s.narrow
			continue
		}
		order = append(order, vm)
	}
	s.spread(order, members)
	if reads {
		order = append([]string{Store}, order...)
	} else {
		order = append(order, Store)
	}
	for _, name := range order {
		if now >= s.suspended[name] {
			return name
		}
	}
	return Store
}

// spread moves the reader that this node starts with to the front, within the readers of its own data centre.
func (s *Sources) spread(order []string, members []Member) {
	places := map[string]string{}
	for _, m := range members {
		places[m.VM] = m.DataCentre
	}
	own := 0
	for own < len(order) && places[order[own]] == s.dataCentre {
		own++
	}
	if own < 2 {
		return
	}
	first := int(rank(s.own) % uint64(own))
	order[0], order[first] = order[first], order[0]
}

// Failed passes a source over for some time.
func (s *Sources) Failed(now time.Duration, name string) { s.suspended[name] = now + suspension }
