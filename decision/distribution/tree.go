// Package distribution decides from which nodes and sources a node gets the configuration and the member list, and
// when. In each data centre, a few readers watch the source and all other nodes poll parents in a tree below them.
package distribution

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboodeal/bamboodeal/api/platform"
)

const (
	// Fanout is the largest number of nodes that have a node as their primary parent, and as their secondary parent.
	Fanout = 4
	// ReadersPerDataCentre is the number of nodes of a data centre that watch the source.
	ReadersPerDataCentre = 2
	// remoteReaderCandidates is the number of nodes of another data centre from which a reader chooses the one that it
	// polls. It bounds the number of addresses that are probed while the regions are partitioned.
	remoteReaderCandidates = 4
)

// Node identifies a node and its data centre.
type Node struct {
	VM, DataCentre string
	// Address is the node's control address, a host and port.
	Address string
	score   uint64
}

// Ranking orders the nodes of each data centre. The order of two nodes depends only on their names, so that a parent
// precedes its child whichever nodes are listed. Therefore the parents form no cycle even when nodes have different
// member lists.
type Ranking struct {
	byDataCentre map[string][]Node
	dataCentres  []string
	self         Node
	listedRank   int
}

// NewRanking ranks the listed nodes and the node self, which the list may not contain yet.
func NewRanking(self Node, members []platform.Member) *Ranking {
	r := &Ranking{byDataCentre: map[string][]Node{}}
	self.score = score(self.DataCentre, self.VM)
	r.self = self
	r.byDataCentre[self.DataCentre] = []Node{self}
	for _, m := range members {
		if m.VM == self.VM || m.ControlAddress == "" || m.ControlAddress == self.Address {
			continue
		}
		r.byDataCentre[m.DataCentre] = append(r.byDataCentre[m.DataCentre], Node{
			VM: m.VM, DataCentre: m.DataCentre, Address: m.ControlAddress, score: score(m.DataCentre, m.VM),
		})
	}
	for name, nodes := range r.byDataCentre {
		r.dataCentres = append(r.dataCentres, name)
		sort.Slice(nodes, func(i, j int) bool { return precedes(&nodes[i], &nodes[j]) })
	}
	sort.Strings(r.dataCentres)
	for i, n := range r.byDataCentre[self.DataCentre] {
		if n.VM == self.VM {
			r.listedRank = i
		}
	}
	return r
}

// score returns the rendezvous hash that orders the nodes of a data centre; the nodes with the highest scores are its
// readers.
func score(dataCentre, vm string) uint64 { return xxhash.Sum64String(dataCentre + "\x00" + vm) }

// precedes reports whether a ranks before b.
func precedes(a, b *Node) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.VM < b.VM
}

// ListedRank returns the node's rank among all listed nodes of its data centre, including failing ones.
func (r *Ranking) ListedRank() int { return r.listedRank }

// LocalNodes returns the other nodes of the node's data centre in the order of their ranks.
func (r *Ranking) LocalNodes() []Node {
	return r.nodesExceptSelf(r.self.DataCentre, len(r.byDataCentre[r.self.DataCentre]))
}

// RemoteNodes returns up to count nodes of each other data centre, chosen by rendezvous hashing with the node's own
// name, so that different nodes poll different remote nodes.
func (r *Ranking) RemoteNodes(count int) []Node {
	var chosen []Node
	for _, name := range r.dataCentres {
		if name == r.self.DataCentre {
			continue
		}
		nodes := append([]Node(nil), r.byDataCentre[name]...)
		for i := range nodes {
			nodes[i].score = score(r.self.VM, nodes[i].VM)
		}
		sort.Slice(nodes, func(i, j int) bool { return precedes(&nodes[i], &nodes[j]) })
		chosen = append(chosen, nodes[:min(count, len(nodes))]...)
	}
	return chosen
}

// IsLocal reports whether the address belongs to a listed node of the node's data centre.
func (r *Ranking) IsLocal(address string) bool {
	for _, n := range r.byDataCentre[r.self.DataCentre] {
		if n.Address == address {
			return true
		}
	}
	return false
}

// IsListed reports whether the address belongs to a listed node.
func (r *Ranking) IsListed(address string) bool {
	for _, nodes := range r.byDataCentre {
		for i := range nodes {
			if nodes[i].Address == address {
				return true
			}
		}
	}
	return false
}

func (r *Ranking) nodesExceptSelf(dataCentre string, count int) []Node {
	var nodes []Node
	for _, n := range r.byDataCentre[dataCentre] {
		if n.VM != r.self.VM && len(nodes) < count {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// PollPlan states which nodes a node polls, and whether it reads the source.
type PollPlan struct {
	// Rank is the node's rank among the nodes of its data centre that are not failing.
	Rank int
	// IsReader is true when the node watches the source.
	IsReader bool
	// PrimaryParent is the address from which the node gets contents; a reader polls it only for versions.
	// SecondaryParent is the address that announces versions as well. Either is empty when there is none.
	PrimaryParent, SecondaryParent string
	// RemoteReaders are the addresses of one reader in each other data centre. Only readers poll them.
	RemoteReaders []string
	// PrecedingNodes are the addresses of the nodes that rank before the node in its data centre and are not failing, in
	// the order of their ranks.
	PrecedingNodes []string
}

// PollPlan computes the plan without the nodes for which isFailing returns true.
func (r *Ranking) PollPlan(isFailing func(address string) bool) PollPlan {
	var p PollPlan
	for _, n := range r.byDataCentre[r.self.DataCentre] {
		if n.VM == r.self.VM {
			break
		}
		if !isFailing(n.Address) {
			p.PrecedingNodes = append(p.PrecedingNodes, n.Address)
		}
	}
	p.Rank = len(p.PrecedingNodes)
	p.IsReader = p.Rank < ReadersPerDataCentre
	if p.IsReader {
		if p.Rank > 0 {
			p.PrimaryParent = p.PrecedingNodes[0]
		}
		p.RemoteReaders = r.chooseRemoteReaders(p.Rank, isFailing)
		return p
	}
	primary := (p.Rank - ReadersPerDataCentre) / Fanout
	p.PrimaryParent = p.PrecedingNodes[primary]
	// Nodes with ranks 2k and 2k+1 are each other's substitutes: the children of the one have the other as secondary
	// parent. So each node has at most Fanout children of either kind.
	p.SecondaryParent = p.PrecedingNodes[primary^1]
	return p
}

// chooseRemoteReaders returns, for each other data centre, the node that is not failing and has the given rank there,
// so that the readers of this data centre poll different readers of the other one.
func (r *Ranking) chooseRemoteReaders(rank int, isFailing func(address string) bool) []string {
	var addresses []string
	for _, name := range r.dataCentres {
		if name == r.self.DataCentre {
			continue
		}
		var live []string
		nodes := r.byDataCentre[name]
		for _, n := range nodes[:min(remoteReaderCandidates, len(nodes))] {
			if !isFailing(n.Address) {
				live = append(live, n.Address)
			}
		}
		if len(live) > 0 {
			addresses = append(addresses, live[min(rank, len(live)-1)])
		}
	}
	return addresses
}
