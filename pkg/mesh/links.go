package mesh

import "github.com/cespare/xxhash/v2"

// links is the set of VMs that are known to have wide links. Nodes exchange it with the reads of the store's contents
// until they know the same.
type links map[string]bool

// digest is the same for the same set, whatever the order in which it was learnt.
func (l links) digest() uint64 {
	sum := uint64(0)
	for vm := range l {
		sum ^= xxhash.Sum64String(vm)
	}
	return sum
}

func (l links) list() []string {
	names := make([]string, 0, len(l))
	for vm := range l {
		names = append(names, vm)
	}
	return names
}

func (l links) add(names []string) {
	for _, vm := range names {
		l[vm] = true
	}
}
