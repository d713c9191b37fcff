package mesh

import "github.com/cespare/xxhash/v2"

// wideLinkSet is the set of VMs that are known to have wide links (links with a high bandwidth, see sources.Member).
// Nodes exchange their sets when they read from each other, until all have the same.
type wideLinkSet map[string]bool

// digest returns a hash of the set that does not depend on the order of its members.
func (l wideLinkSet) digest() uint64 {
	sum := uint64(0)
	for vm := range l {
		sum ^= xxhash.Sum64String(vm)
	}
	return sum
}

func (l wideLinkSet) vms() []string {
	names := make([]string, 0, len(l))
	for vm := range l {
		names = append(names, vm)
	}
	return names
}

func (l wideLinkSet) add(names []string) {
	for _, vm := range names {
		l[vm] = true
	}
}
