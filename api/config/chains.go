package config

import (
	"fmt"
	"slices"
	"strings"
)

// chains reports each cycle of depends_on once, and chains that are too deep. Depth is undefined while there is a
// cycle, so it is checked only when there is none.
func (v *validator) chains() {
	g := &dependencies{v: v, state: make([]visit, len(v.o.Services)), depth: make([]int, len(v.o.Services))}
	for i := range v.o.Services {
		g.visit(i)
	}
	if g.cyclic {
		return
	}
	// Only the heads of chains are reported, since each service below a head is part of the same chain.
	targets := map[string]bool{}
	for i := range v.o.Services {
		for _, target := range v.o.Services[i].DependsOn {
			targets[target] = true
		}
	}
	for i := range v.o.Services {
		if g.depth[i] > MaxDependencyChain && !targets[v.o.Services[i].Name] {
			at := spot{"services", i, v.o.Services[i].Name}
			v.fault(at, "depends_on", fmt.Sprintf("a chain of %d services", g.depth[i]), fmt.Sprintf(
				"shorten the chain to at most %d services", MaxDependencyChain))
		}
	}
}

type visit int

const (
	unvisited visit = iota
	onPath
	visited
)

// dependencies walks the graph of services depth first, in declared order.
type dependencies struct {
	v      *validator
	state  []visit
	depth  []int
	path   []int
	cyclic bool
}

// visit computes the depth of service i: itself and the longest chain below it.
func (g *dependencies) visit(i int) {
	switch g.state[i] {
	case visited:
		return
	case onPath:
		g.cycle(i)
		return
	}
	g.state[i] = onPath
	g.path = append(g.path, i)
	for _, target := range g.v.o.Services[i].DependsOn {
		j, ok := g.v.declared["services"][target]
		if !ok {
			continue
		}
		g.visit(j)
		g.depth[i] = max(g.depth[i], g.depth[j])
	}
	g.depth[i]++
	g.path = g.path[:len(g.path)-1]
	g.state[i] = visited
}

// cycle reports the part of the path that leads back to service i.
func (g *dependencies) cycle(i int) {
	g.cyclic = true
	loop := g.path[slices.Index(g.path, i):]
	chain := make([]string, 0, len(loop)+1)
	for _, j := range loop {
		chain = append(chain, label("services", j, g.v.o.Services[j].Name))
	}
	chain = append(chain, label("services", i, g.v.o.Services[i].Name))
	at := spot{"services", i, g.v.o.Services[i].Name}
	g.v.fault(at, "depends_on", strings.Join(chain, " -> "), "remove one of these dependencies; calls in a cycle never end")
}
