// Package distribution decides from whom a node gets the configuration and the member list, and when.
package distribution

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/bamboodeal/bamboodeal/api/platform"
)

const (
	// Fanout is the number of children of a node by primary parent, and by secondary parent.
	Fanout = 4
	// ReadersPerDataCentre is the number of nodes of a data centre that watch the source.
	ReadersPerDataCentre = 2
	// crossCandidates is the number of nodes in another data centre among which a reader chooses its link. It
	// bounds the addresses that are probed while the regions are partitioned.
	crossCandidates = 4
)

// Node is a node as the tree sees it.
type Node struct {
	VM, DataCentre string
	// Address is the node's control address.
	Address string
	score   uint64
}

// Ranking orders the nodes of each data centre. The order of two nodes depends on nothing but their names, so a
// parent precedes its child in every view of the list, and no two views together form a cycle.
type Ranking struct {
	byDataCentre map[string][]Node
	names        []string
	own          Node
	position     int
}

// NewRanking ranks the list's nodes and the node self, which the list may not contain yet.
func NewRanking(self Node, members []platform.Member) *Ranking {
	r := &Ranking{byDataCentre: map[string][]Node{}}
	self.score = score(self.DataCentre, self.VM)
	r.own = self
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
		r.names = append(r.names, name)
		sort.Slice(nodes, func(i, j int) bool { return precedes(&nodes[i], &nodes[j]) })
	}
	sort.Strings(r.names)
	for i, n := range r.byDataCentre[self.DataCentre] {
		if n.VM == self.VM {
			r.position = i
		}
	}
	return r
}

// score is the rendezvous weight of a node for the roots of its data centre's tree.
func score(dataCentre, vm string) uint64 { return xxhash.Sum64String(dataCentre + "\x00" + vm) }

func precedes(a, b *Node) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.VM < b.VM
}

// ListedRank returns the node's rank by the list alone, whatever is known about the nodes before it.
func (r *Ranking) ListedRank() int { return r.position }

// LocalNodes returns the nodes of the own data centre in rank order, without the node itself.
func (r *Ranking) LocalNodes() []Node {
	return r.others(r.own.DataCentre, len(r.byDataCentre[r.own.DataCentre]))
}

// RemoteNodes returns up to count nodes of each other data centre, chosen by rendezvous hashing with the node's own
// name, so that the questions of many nodes are spread.
func (r *Ranking) RemoteNodes(count int) []Node {
	var chosen []Node
	for _, name := range r.names {
		if name == r.own.DataCentre {
			continue
		}
		nodes := append([]Node(nil), r.byDataCentre[name]...)
		for i := range nodes {
			nodes[i].score = score(r.own.VM, nodes[i].VM)
		}
		sort.Slice(nodes, func(i, j int) bool { return precedes(&nodes[i], &nodes[j]) })
		chosen = append(chosen, nodes[:min(count, len(nodes))]...)
	}
	return chosen
}

// IsLocal reports whether the address belongs to a listed node of the own data centre.
func (r *Ranking) IsLocal(address string) bool {
	for _, n := range r.byDataCentre[r.own.DataCentre] {
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

func (r *Ranking) others(dataCentre string, count int) []Node {
	var nodes []Node
	for _, n := range r.byDataCentre[dataCentre] {
		if n.VM != r.own.VM && len(nodes) < count {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// PollPlan says whom a node polls.
type PollPlan struct {
	// Rank is the node's rank among the nodes of its data centre that are not known to be dead.
	Rank int
	// IsReader is true when the node watches the source.
	IsReader bool
	// PrimaryParent delivers contents, SecondaryParent announces versions; they are empty at the root.
	PrimaryParent, SecondaryParent string
	// RemoteReaders are readers of other data centres, one for each; only readers have them.
	RemoteReaders []string
	// PrecedingNodes are the addresses of all live nodes that precede the node, the nearest ranks last.
	PrecedingNodes []string
}

// PollPlan computes the plan with the nodes left out that dead reports.
func (r *Ranking) PollPlan(dead func(address string) bool) PollPlan {
	var p PollPlan
	for _, n := range r.byDataCentre[r.own.DataCentre] {
		if n.VM == r.own.VM {
			break
		}
		if !dead(n.Address) {
			p.PrecedingNodes = append(p.PrecedingNodes, n.Address)
		}
	}
	p.Rank = len(p.PrecedingNodes)
	p.IsReader = p.Rank < ReadersPerDataCentre
	if p.IsReader {
		if p.Rank > 0 {
			p.PrimaryParent = p.PrecedingNodes[0]
		}
		p.RemoteReaders = r.cross(p.Rank, dead)
		return p
	}
	primary := (p.Rank - ReadersPerDataCentre) / Fanout
	p.PrimaryParent = p.PrecedingNodes[primary]
	// The neighbour of the primary has the primary's children as its secondary ones, so each node has at
	// most Fanout of either kind.
	p.SecondaryParent = p.PrecedingNodes[primary^1]
	return p
}

// cross chooses the live node with the own rank in each other data centre, so that the links of the readers are
// spread over both readers there.
func (r *Ranking) cross(rank int, dead func(address string) bool) []string {
	var addresses []string
	for _, name := range r.names {
		if name == r.own.DataCentre {
			continue
		}
		var live []string
		nodes := r.byDataCentre[name]
		for _, n := range nodes[:min(crossCandidates, len(nodes))] {
			if !dead(n.Address) {
				live = append(live, n.Address)
			}
		}
		if len(live) > 0 {
			addresses = append(addresses, live[min(rank, len(live)-1)])
		}
	}
	return addresses
}
