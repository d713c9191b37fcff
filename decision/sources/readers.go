// Package sources selects the source from which a node reads the contents of the platform's store: the store itself or
// another node. A few nodes of each data centre, the readers, read the store or each other, and the other nodes follow
// the readers: a follower reads from a reader what that reader has read. Calls to the store are billed, and this way
// their number does not grow with the number of nodes.
//
// VMs with high-bandwidth links, called wide links here, are preferred as readers (see Member). A node knows the link
// of its own VM only and learns the others from the nodes that it exchanges messages with. The other nodes of a
// data centre therefore also read from one of its VMs, the rendezvous VM, at regular intervals. It passes this
// knowledge on.
package sources

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// membersPerReader is the number of VMs of a data centre for each reader. A reader answers each of its followers
	// about three times a second.
	membersPerReader = 24
	// rotationInterval is how often a follower changes to the next reader of its data centre. Followers tell readers
	// which VMs have wide links, so by changing they spread this knowledge until all nodes choose the same readers.
	rotationInterval = 5 * time.Second
	// maxRemoteReaders is the number of readers with wide links in other data centres that a node tries. It tries as
	// many with narrow links.
	maxRemoteReaders = 2
	// failureBackoff is how long a source that failed is not used if there is another one. For a node that goes on to give
	// no answer it doubles, at most maxBackoffDoublings times.
	failureBackoff      = time.Second
	maxBackoffDoublings = 2
)

// Member is a VM on which a node runs.
type Member struct {
	VM         string
	DataCentre string
	// WideLink is true if the VM has a wide network link: one with enough bandwidth to transfer whole values of the
	// store several times a second. Other links are called narrow.
	WideLink bool
}

// Readers returns the VMs whose nodes are readers, those of the given data centre first. The result depends only on the
// list of members, so nodes with the same list agree on the readers.
func Readers(members []Member, dataCentre string) []Member {
	byDataCentre := map[string][]Member{}
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	dataCentres := make([]string, 0, len(byDataCentre))
	for name := range byDataCentre {
		dataCentres = append(dataCentres, name)
	}
	sort.Slice(dataCentres, func(i, j int) bool {
		if own := dataCentres[i] == dataCentre; own != (dataCentres[j] == dataCentre) {
			return own
		}
		return dataCentres[i] < dataCentres[j]
	})
	var readers []Member
	for _, name := range dataCentres {
		list := byDataCentre[name]
		sort.Slice(list, func(i, j int) bool {
			if list[i].WideLink != list[j].WideLink {
				return list[i].WideLink
			}
			return hashVM(list[i].VM) < hashVM(list[j].VM)
		})
		readers = append(readers, list[:1+(len(list)-1)/membersPerReader]...)
	}
	return readers
}

func hashVM(vm string) uint64 { return xxhash.Sum64String(vm) }

// Store is the name of the store as a source. All other sources are named by their VMs.
const Store = ""

// Selector selects the source that a node reads next, and avoids sources that failed recently. It is not safe for
// concurrent use.
type Selector struct {
	ownVM      string
	dataCentre string
	budget     Budget
	// backoffUntil holds the times until which sources are avoided, silences how often in a row they gave no answer.
	backoffUntil map[string]time.Duration
	silences     map[string]int
	// searching is true since a source failed until any source answers, storeFailed if the store is one of those that
	// failed since then.
	searching, storeFailed bool
	// otherNodesUsable says whether the last call of Next could have returned another node.
	otherNodesUsable bool
	// isReader is true while this node is a reader.
	isReader bool
	// readerFailures counts the failures of other nodes as sources.
	readerFailures uint64
	// nextRendezvous is when this node next reads from the rendezvous VM (see rendezvousVM).
	nextRendezvous time.Duration
	// members are those of the last call of Next. readers and rendezvous follow from them and are kept, because finding
	// them hashes each VM of the mesh several times, and the members rarely change between two reads.
	members    []Member
	readers    []Member
	rendezvous string
}

// NewSelector returns the selector of the node on a VM in the given data centre.
func NewSelector(ownVM, dataCentre string, budget Budget) *Selector {
	return &Selector{
		ownVM: ownVM, dataCentre: dataCentre, budget: budget, backoffUntil: map[string]time.Duration{}, silences: map[string]int{},
	}
}

// Next returns the source to read from now: the store, or the VM of another node. age is the time since the store last
// confirmed what this node has. If all sources failed recently, or no more time is left for other nodes, Next returns the
// store.
func (s *Selector) Next(now time.Duration, members []Member, age time.Duration) string {
	if s.readers == nil || !slices.Equal(members, s.members) {
		s.members = slices.Clone(members)
		s.readers, s.rendezvous = Readers(members, s.dataCentre), s.rendezvousVM(members)
	}
	usable := slices.DeleteFunc(s.orderSources(now), func(name string) bool { return now < s.backoffUntil[name] })
	storeIsUsable := slices.Contains(usable, Store)
	s.otherNodesUsable = len(usable) > 1 || (len(usable) == 1 && !storeIsUsable)
	if storeIsUsable && !s.storeFailed && s.budget.needsStore(age) {
		return Store
	}
	if vm := s.rendezvous; vm != Store && !s.searching && now >= s.nextRendezvous && now >= s.backoffUntil[vm] {
		s.nextRendezvous = now + rotationInterval
		return vm
	}
	if len(usable) > 0 {
		return usable[0]
	}
	return Store
}

// Limits returns the limits of an attempt to read from the source that the last call of Next returned, or from another
// one in its place. whole is true if the node needs all entries. A source that gave no answer last time, and all sources
// while none has answered since a failure, are asked to answer at once. Only readers ask this of the store: their
// followers wait for them, and the others would need one more call.
func (s *Selector) Limits(source string, age time.Duration, whole bool) Limits {
	wait, left := ReadWait, s.budget.left(age)
	switch {
	case (s.searching || s.silences[source] > 0) && (source != Store || s.isReader):
		wait = probeWait
	case source != Store && s.isReader:
		wait = relayReadWait
	}
	switch {
	case source == Store && whole:
		return Limits{wait, wholeReadTimeout}
	case source == Store && left <= 0:
		return Limits{wait, wait + storeAnswerMargin}
	case source == Store:
		return s.budget.limitStore(Limits{wait, wait + storeAnswerMargin}, age, s.otherNodesUsable)
	case s.storeFailed || left <= 0:
		return Limits{wait, wait + AnswerMargin}
	}
	return s.budget.limitPeer(Limits{wait, wait + AnswerMargin}, age, s.searching)
}

// orderSources returns the sources of this node in the order of preference. The first reader of a data centre reads the
// store, and the other readers of the data centre follow it. If the first reader has a narrow link, the readers of its
// data centre follow one with a wide link in another data centre. Readers follow remote readers with narrow links only
// while the store does not answer, because these might follow them in turn. Two readers that follow each other notice
// it by the age of their data.
func (s *Selector) orderSources(now time.Duration) []string {
	readers := s.readers
	self, local, wide, narrow := -1, []string(nil), []string(nil), []string(nil)
	for i, r := range readers {
		switch {
		case r.VM == s.ownVM:
			self = i
		case r.DataCentre == s.dataCentre:
			local = append(local, r.VM)
		case r.WideLink:
			wide = append(wide, r.VM)
		default:
			narrow = append(narrow, r.VM)
		}
	}
	s.isReader = self >= 0
	if self < 0 {
		s.moveCurrentFirst(now, local)
	}
	s.rotateByFailures(wide)
	s.rotateByFailures(narrow)
	wide = wide[:min(len(wide), maxRemoteReaders)]
	narrow = narrow[:min(len(narrow), maxRemoteReaders)]
	store := []string{Store}
	switch {
	case self < 0:
		return slices.Concat(local, wide, narrow, store)
	case self > 0 && readers[0].WideLink:
		return slices.Concat(local[:1], store, wide, narrow)
	case readers[self].WideLink || len(wide) == 0:
		return slices.Concat(store, wide, narrow)
	}
	return slices.Concat(wide, store, narrow)
}

// rendezvousVM returns the VM from which the nodes of this data centre learn which of them have wide links, or Store if
// there is no other VM. It is the VM with the lowest hash, so that all other nodes choose the same one. Without it,
// nodes that each know only their own wide link would all consider themselves the first reader and read the store.
func (s *Selector) rendezvousVM(members []Member) string {
	best := Store
	for _, m := range members {
		if m.DataCentre == s.dataCentre && m.VM != s.ownVM && (best == Store || hashVM(m.VM) < hashVM(best)) {
			best = m.VM
		}
	}
	return best
}

// moveCurrentFirst moves the reader whose turn it is to the front. The turn depends on the own VM and on the time, so
// that the followers are divided among the readers and change them.
func (s *Selector) moveCurrentFirst(now time.Duration, names []string) {
	if len(names) > 1 {
		turn := hashVM(s.ownVM) + uint64(now/rotationInterval)
		first := int(turn % uint64(len(names)))
		names[0], names[first] = names[first], names[0]
	}
}

// rotateByFailures rotates the names so that a different one comes first after each failure. A node that has lost its
// local readers thus tries all others within a few attempts.
func (s *Selector) rotateByFailures(names []string) {
	if len(names) > 1 {
		first := int((hashVM(s.ownVM) + s.readerFailures) % uint64(len(names)))
		copy(names, slices.Concat(names[first:], names[:first]))
	}
}

// Searching reports whether a source has failed and none has answered since.
func (s *Selector) Searching() bool { return s.searching }

// IsReader reports whether this node is a reader according to the members that were passed to the last call of Next.
func (s *Selector) IsReader() bool { return s.isReader }

// RecordFailure records that a source gave no answer, so that Next avoids it for some time.
func (s *Selector) RecordFailure(now time.Duration, name string) {
	doublings := 0
	if name != Store {
		doublings = min(s.silences[name], maxBackoffDoublings)
	}
	s.silences[name]++
	s.avoid(now, name, failureBackoff<<doublings)
}

// RecordRefusal records that a source answered without being of use, for example because it has lost the store. It may
// be of use again soon, and then it has to keep its followers away from the store.
func (s *Selector) RecordRefusal(now time.Duration, name string) {
	delete(s.silences, name)
	s.avoid(now, name, failureBackoff)
}

func (s *Selector) avoid(now time.Duration, name string, backoff time.Duration) {
	s.searching = true
	s.backoffUntil[name] = now + backoff
	if name == Store {
		s.storeFailed = true
	} else {
		s.readerFailures++
	}
}

// RecordAnswer records that a source answered with recent contents.
func (s *Selector) RecordAnswer(name string) {
	s.searching, s.storeFailed = false, false
	delete(s.silences, name)
}
