package config

import (
	"fmt"
	"slices"
	"strings"
)

// checkDependencyChains reports each cycle of depends_on once, and each chain longer than MaxDependencyChain. The
// length of a chain is undefined in a graph with a cycle, so chains are checked only when there is no cycle.
func (v *validator) checkDependencyChains() {
	w := &dependencyWalk{validator: v, state: make([]visitState, len(v.objects.Services)), depth: make([]int, len(v.objects.Services))}
	for i := range v.objects.Services {
		w.visit(i)
	}
	if w.hasCycle {
		return
	}
	// Only the first service of a chain is reported, since the others are part of the same chain.
	targets := map[string]bool{}
	for i := range v.objects.Services {
		for _, target := range v.objects.Services[i].DependsOn {
			targets[target] = true
		}
	}
	for i := range v.objects.Services {
		if w.depth[i] > MaxDependencyChain && !targets[v.objects.Services[i].Name] {
			at := objectRef{"services", i, v.objects.Services[i].Name}
			v.addFault(at, "depends_on", fmt.Sprintf("a chain of %d services", w.depth[i]), fmt.Sprintf(
				"shorten the chain to at most %d services", MaxDependencyChain))
		}
	}
}

// visitState is the progress of the depth-first search at one service.
type visitState int

const (
	unvisited visitState = iota
	onPath
	visited
)

// dependencyWalk is a depth-first search of the dependency graph of services, in the order of declaration. The slices
// state and depth have one element per service; path holds the indexes of the services from the root to the current
// one.
type dependencyWalk struct {
	validator *validator
	state     []visitState
	depth     []int
	path      []int
	hasCycle  bool
}

// visit computes the depth of service i: the number of services in the longest chain that starts with it.
func (w *dependencyWalk) visit(i int) {
	switch w.state[i] {
	case visited:
		return
	case onPath:
		w.reportCycle(i)
		return
	}
	w.state[i] = onPath
	w.path = append(w.path, i)
	for _, target := range w.validator.objects.Services[i].DependsOn {
		j, ok := w.validator.declared["services"][target]
		if !ok {
			continue
		}
		w.visit(j)
		w.depth[i] = max(w.depth[i], w.depth[j])
	}
	w.depth[i]++
	w.path = w.path[:len(w.path)-1]
	w.state[i] = visited
}

// reportCycle reports the services of the current path that form a cycle through service i.
func (w *dependencyWalk) reportCycle(i int) {
	w.hasCycle = true
	loop := w.path[slices.Index(w.path, i):]
	chain := make([]string, 0, len(loop)+1)
	for _, j := range loop {
		chain = append(chain, objectLabel("services", j, w.validator.objects.Services[j].Name))
	}
	chain = append(chain, objectLabel("services", i, w.validator.objects.Services[i].Name))
	at := objectRef{"services", i, w.validator.objects.Services[i].Name}
	w.validator.addFault(at, "depends_on", strings.Join(chain, " -> "), "remove one of these dependencies; calls in a cycle never end")
}
