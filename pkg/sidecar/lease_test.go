package sidecar

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/decision/allowance"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
)

// admitted lets nodes ask for the team's allowance much faster than it fills and returns how many requests pass.
func (m *testMesh) admitted(team *mesh.Team, span time.Duration, nodes ...int) int64 {
	var passed atomic.Int64
	var asking sync.WaitGroup
	end := time.Now().Add(span)
	for _, node := range nodes {
		for range 8 {
			asking.Go(func() {
				for time.Now().Before(end) {
					if m.nodes[node].leases.admit(team) {
						passed.Add(1)
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
	asking.Wait()
	return passed.Load()
}

// limit sets the allowance of the mesh's team, in requests a second and requests.
func (m *testMesh) limit(rate, burst float64) *mesh.Team {
	team := m.view.Load().Config.TeamByName("red")
	team.Rate, team.Burst = rate, burst
	return team
}

// shrinkList drops the holder of a team from the list of VMs for all nodes except one that has lost the store. It returns
// the node that holds the team now and the one with the old list.
func (m *testMesh) shrinkList(team string) (holder, stale int) {
	all := m.view.Load()
	ranked := allowance.RankedHolders(team, all.VMs)
	index := map[string]int{}
	for i, vm := range all.VMs {
		index[vm] = i
	}
	holder, stale = index[ranked[1]], index[ranked[2]]
	m.loseStore(stale)
	next := *all
	next.VMs = []string{}
	for _, vm := range all.VMs {
		if vm != ranked[0] {
			next.VMs = append(next.VMs, vm)
		}
	}
	m.view.Store(&next)
	for i, n := range m.nodes {
		if i != stale {
			n.UpdateView(&next)
		}
	}
	return holder, stale
}

// The upstream of a holder leaves the list while its node and the store stay in contact. A node that has lost the store
// still asks that one, and both holders granted the whole limit.
func TestAReplacedHolderGrantsNothingToANodeWithAnOldList(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 3, nil)
	team := m.limit(100, 10)
	holder, stale := m.shrinkList(team.Name)
	const span = 3 * time.Second
	passed := m.admitted(team, span, holder, stale)
	limit := team.Rate*span.Seconds() + team.Burst
	g.Expect(float64(passed)).To(BeNumerically("<=", 1.25*limit))
	g.Expect(float64(passed)).To(BeNumerically(">=", 0.8*limit))
}

// A node with an old list learns the holder from the one that it asks, instead of living on a small share.
func TestANodeWithAnOldListIsSentToTheHolder(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 3, nil)
	team := m.limit(100, 10)
	_, stale := m.shrinkList(team.Name)
	const span = 2 * time.Second
	g.Expect(float64(m.admitted(team, span, stale))).To(BeNumerically(">=", 0.8*team.Rate*span.Seconds()))
}

// silentVM adds a VM to the list that accepts connections and answers nothing, and that holds the team.
func (m *testMesh) silentVM(team string) {
	view := *m.view.Load()
	network := view.VMs[0][:strings.LastIndex(view.VMs[0], ".")]
	for host := 100; ; host++ {
		vm := fmt.Sprintf("%s.%d", network, host)
		view.VMs = append(slices.Clone(m.view.Load().VMs), vm)
		if allowance.Holder(team, view.VMs) != vm {
			continue
		}
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", vm, m.ports[1]))
		if err != nil {
			m.t.Fatal(err)
		}
		m.t.Cleanup(func() { _ = l.Close() })
		break
	}
	m.view.Store(&view)
	for _, n := range m.nodes {
		n.UpdateView(&view)
	}
}

// A holder loses its power: requests of its teams were refused until the list dropped it, and each new question to it
// cost the requests that waited for the answer.
func TestASubstituteStandsInForASilentHolder(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 3, nil)
	team := m.limit(200, 20)
	m.silentVM(team.Name)
	// Each node learns once that the holder is silent.
	m.admitted(team, 600*time.Millisecond, 0, 1, 2)
	const span = time.Second
	passed := m.admitted(team, span, 0, 1, 2)
	g.Expect(float64(passed)).To(BeNumerically(">=", 0.45*team.Rate*span.Seconds()))
	g.Expect(float64(passed)).To(BeNumerically("<=", 0.8*team.Rate*span.Seconds()))
}

// A team sends many times its limit: each of its requests waited 200 ms for a token that others got, and its caller learnt
// late that it is refused.
func TestARequestBeyondTheLimitIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 3, nil)
	team := m.limit(60, 10)
	var mu sync.Mutex
	var waits []time.Duration
	admitted := 0
	var asking sync.WaitGroup
	const span = 2 * time.Second
	end := time.Now().Add(span)
	for _, n := range m.nodes {
		for range 40 {
			asking.Go(func() {
				for time.Now().Before(end) {
					asked := time.Now()
					ok := n.leases.admit(team)
					mu.Lock()
					if ok {
						admitted++
					} else {
						waits = append(waits, time.Since(asked))
					}
					mu.Unlock()
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	asking.Wait()
	slices.Sort(waits)
	g.Expect(waits[len(waits)/2]).To(BeNumerically("<", tokenWait/4))
	g.Expect(float64(admitted)).To(BeNumerically(">=", 0.85*team.Rate*span.Seconds()))
}
