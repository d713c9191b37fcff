// Package sources decides from where a node learns what the platform's store publishes. A few nodes of each data centre
// read the store and the others follow them, because calls to the store are billed and do not grow with the fleet.
package sources

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// membersPerReader is the number of VMs of a data centre for each reader. A reader answers each follower about
	// three times a second.
	membersPerReader = 24
	// changeInterval is how often a follower goes on to the next reader of its data centre. What it knows of the links
	// of VMs thereby spreads over the readers, and all come to the same choice.
	changeInterval = 5 * time.Second
	// otherReaders is the number of readers in other data centres, with wide links and with narrow ones, that a node tries.
	otherReaders = 2
	// suspension is how long a source that failed is passed over while another one answers.
	suspension = time.Second
	// MaxStoreAge is how old a reader's contact to the store may be before its followers turn to another one. A change
	// that a reader misses has to reach its followers within 2 s all the same.
	MaxStoreAge = 1200 * time.Millisecond
)

// Member is a VM with a node.
type Member struct {
	VM         string
	DataCentre string
	// WideLink says that the VM's link carries whole values of the store several times a second.
	WideLink bool
}

// Readers returns the VMs that read the store or pass on what others read, those of the given data centre first. They
// follow from the list of members alone, so nodes with the same list agree.
func Readers(members []Member, dataCentre string) []Member {
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
	var readers []Member
	for _, place := range places {
		list := byPlace[place]
		sort.Slice(list, func(i, j int) bool {
			if list[i].WideLink != list[j].WideLink {
				return list[i].WideLink
			}
			return rank(list[i].VM) < rank(list[j].VM)
		})
		readers = append(readers, list[:1+(len(list)-1)/membersPerReader]...)
	}
	return readers
}

func rank(vm string) uint64 { return xxhash.Sum64String(vm) }

// Store is the name of the store among the sources.
const Store = ""

// Selector orders what a node may learn from and passes over what failed. It is not safe for concurrent use.
type Selector struct {
	own        string
	dataCentre string
	suspended  map[string]time.Duration
	// reader is true while others follow this node.
	reader bool
	// failures counts the readers that failed.
	failures uint64
	// rendezvousAt is when a reader next asks the rendezvous node.
	rendezvousAt time.Duration
}

// NewSelector returns the sources of the node of a VM.
func NewSelector(own, dataCentre string) *Selector {
	return &Selector{own: own, dataCentre: dataCentre, suspended: map[string]time.Duration{}}
}

// Next returns the source to ask now: the store for a reader, a reader for others, and the store when no reader is
// known to answer.
func (s *Selector) Next(now time.Duration, members []Member) string {
	order := s.order(now, members)
	if vm := s.rendezvous(members); vm != Store && now >= s.rendezvousAt && now >= s.suspended[vm] {
		s.rendezvousAt = now + changeInterval
		return vm
	}
	for _, name := range order {
		if now >= s.suspended[name] {
			return name
		}
	}
	return Store
}

// order lists the sources of this node. The first reader of a data centre reads the store and the further ones follow
// it. Readers with narrow links pass on what a wide one of another data centre reads. They follow another narrow one,
// which might follow them in turn, only when they have lost the store: two that follow each other notice by the age of
// what they hear.
func (s *Selector) order(now time.Duration, members []Member) []string {
	readers := Readers(members, s.dataCentre)
	self, near, wide, narrow := -1, []string(nil), []string(nil), []string(nil)
	for i, r := range readers {
		switch {
		case r.VM == s.own:
			self = i
		case r.DataCentre == s.dataCentre:
			near = append(near, r.VM)
		case r.WideLink:
			wide = append(wide, r.VM)
		default:
			narrow = append(narrow, r.VM)
		}
	}
	s.reader = self >= 0
	if self < 0 {
		s.spread(now, near)
	}
	s.rotate(wide)
	s.rotate(narrow)
	wide = wide[:min(len(wide), otherReaders)]
	narrow = narrow[:min(len(narrow), otherReaders)]
	store := []string{Store}
	switch {
	case self < 0:
		return slices.Concat(near, wide, narrow, store)
	case self > 0 && readers[0].WideLink:
		return slices.Concat(near[:1], store, wide, narrow)
	case readers[self].WideLink || len(wide) == 0:
		return slices.Concat(store, wide, narrow)
	}
	return slices.Concat(wide, store, narrow)
}

// rendezvous returns the VM where nodes of a data centre learn which of them have wide links. Readers that know only
// themselves would all read the store.
func (s *Selector) rendezvous(members []Member) string {
	best := Store
	for _, m := range members {
		if m.DataCentre == s.dataCentre && m.VM != s.own && (best == Store || rank(m.VM) < rank(best)) {
			best = m.VM
		}
	}
	return best
}

// spread moves the one that this node starts with to the front, so that the nodes share the readers.
func (s *Selector) spread(now time.Duration, names []string) {
	if len(names) > 1 {
		turn := rank(s.own) + uint64(now/changeInterval)
		first := int(turn % uint64(len(names)))
		names[0], names[first] = names[first], names[0]
	}
}

// rotate starts with another one after each failure, so that a node that has lost its own readers tries all others
// within a few attempts.
func (s *Selector) rotate(names []string) {
	if len(names) > 1 {
		first := int((rank(s.own) + s.failures) % uint64(len(names)))
		copy(names, slices.Concat(names[first:], names[:first]))
	}
}

// IsReader reports whether other nodes follow this one, by the members of the last Next.
func (s *Selector) IsReader() bool { return s.reader }

// RecordFailure passes a source over for some time.
func (s *Selector) RecordFailure(now time.Duration, name string) {
	s.suspended[name] = now + suspension
	if name != Store {
		s.failures++
	}
}
