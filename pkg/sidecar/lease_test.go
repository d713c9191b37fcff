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

// countAdmitted makes nodes ask for tokens of the team much faster than its limit allows, for a time span, and returns
// how many requests they admitted.
func (m *testMesh) countAdmitted(team *mesh.Team, span time.Duration, nodes ...int) int64 {
	var admitted atomic.Int64
	var asking sync.WaitGroup
	end := time.Now().Add(span)
	for _, node := range nodes {
		for range 8 {
			asking.Go(func() {
				for time.Now().Before(end) {
					if m.nodes[node].teamLimiter.admit(team) {
						admitted.Add(1)
					}
					time.Sleep(2 * time.Millisecond)
				}
			})
		}
	}
	asking.Wait()
	return admitted.Load()
}

// setLimit sets the limit of the mesh's team. rate is in requests per second, burst in requests.
func (m *testMesh) setLimit(rate, burst float64) *mesh.Team {
	team := m.view.Load().Config.TeamByName("red")
	team.Rate, team.Burst = rate, burst
	return team
}

// removeHolderFromList removes the holder of a team from the list of VMs of all nodes except one that has lost contact
// with the store. It returns the indices of the node that is the holder now and of the node with the stale list.
func (m *testMesh) removeHolderFromList(team string) (holder, stale int) {
	all := m.view.Load()
	ranked := allowance.RankedHolders(team, all.VMs)
	index := map[string]int{}
	for i, vm := range all.VMs {
		index[vm] = i
	}
	holder, stale = index[ranked[1]], index[ranked[2]]
	m.disconnectStore(stale)
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

// Guards against a holder and its successor that both grant the whole limit. The upstream of the holder leaves the list
// of VMs while its node stays in contact with the store, and a node that has lost contact with the store still asks
// that holder.
func TestReplacedHolderGrantsNothingToNodeWithStaleList(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 3, nil)
	team := m.setLimit(100, 10)
	holder, stale := m.removeHolderFromList(team.Name)
	const span = 3 * time.Second
	admitted := m.countAdmitted(team, span, holder, stale)
	limit := team.Rate*span.Seconds() + team.Burst
	g.Expect(float64(admitted)).To(BeNumerically("<=", 1.25*limit))
	g.Expect(float64(admitted)).To(BeNumerically(">=", 0.8*limit))
}

// Guards against a node with a stale list of VMs that gets only its small own share of the limit: the node that it asks
// has to refer it to the holder.
func TestNodeWithStaleListIsReferredToHolder(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 3, nil)
	team := m.setLimit(100, 10)
	_, stale := m.removeHolderFromList(team.Name)
	const span = 2 * time.Second
	g.Expect(float64(m.countAdmitted(team, span, stale))).To(BeNumerically(">=", 0.8*team.Rate*span.Seconds()))
}

// addUnresponsiveHolder adds a VM with an upstream to the view that is the holder of the team. It accepts connections and
// never answers or, if refuses is true, refuses connections.
func (m *testMesh) addUnresponsiveHolder(team string, refuses bool) {
	view := *m.view.Load()
	network := view.VMs[0][:strings.LastIndex(view.VMs[0], ".")]
	for host := 100; ; host++ {
		vm := fmt.Sprintf("%s.%d", network, host)
		view.VMs = append(slices.Clone(m.view.Load().VMs), vm)
		if allowance.Holder(team, view.VMs) != vm {
			continue
		}
		view.UpstreamsByService = map[string][]*mesh.Upstream{testService: append(
			slices.Clone(m.view.Load().UpstreamsByService[testService]),
			&mesh.Upstream{ID: "holder", Service: testService, IP: vm, DataCentre: "north", Slots: 4},
		)}
		if refuses {
			break
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

// Guards against refusing all requests of a team while its holder does not answer but is still in the list of VMs, as
// after a power failure or while its process restarts, and against making requests wait for each new attempt to reach that
// holder.
func TestSubstituteGrantsForUnresponsiveHolder(t *testing.T) {
	for name, refuses := range map[string]bool{"silent": false, "refuses connections": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			m := newTestMesh(t, 3, nil)
			team := m.setLimit(200, 20)
			m.addUnresponsiveHolder(team.Name, refuses)
			// Each node finds out once that the holder is unresponsive.
			m.countAdmitted(team, 600*time.Millisecond, 0, 1, 2)
			const span = time.Second
			admitted := m.countAdmitted(team, span, 0, 1, 2)
			g.Expect(float64(admitted)).To(BeNumerically(">=", 0.45*team.Rate*span.Seconds()))
			g.Expect(float64(admitted)).To(BeNumerically("<=", 0.8*team.Rate*span.Seconds()))
		})
	}
}

// Guards against two nodes that both act as the holder of a team's limit: the data centres are cut off from each other by
// resets, so that a holder which goes on granting the whole limit on its side refuses connections like one that does not
// run.
func TestHolderBehindResetsIsNotReplaced(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	team := m.setLimit(100, 100)
	closed := freePorts(t, "127.0.0.1", 1)[0]
	for _, n := range m.nodes {
		// The nodes still reach the store and their callers.
		n.teamLimiter.peerPort = fmt.Sprint(":", closed)
	}
	time.Sleep(time.Second)
	const span = 5 * time.Second
	admitted := float64(m.countAdmitted(team, span, 0, 1))
	g.Expect(admitted).To(BeNumerically("<=", 1.25*(team.Rate*span.Seconds()+team.Burst)))
	g.Expect(admitted).To(BeNumerically(">=", team.Rate*span.Seconds()))
}

// Guards against refusing late: when a team sends many times its limit, requests must not wait 200 ms for tokens that
// go to other requests before they are refused.
func TestRequestAboveLimitIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 3, nil)
	team := m.setLimit(60, 10)
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
					ok := n.teamLimiter.admit(team)
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
	g.Expect(waits[len(waits)/2]).To(BeNumerically("<", maxTokenWait/4))
	g.Expect(float64(admitted)).To(BeNumerically(">=", 0.85*team.Rate*span.Seconds()))
}

// Guards against a withdrawn limit that stays in force for as long as the team sends more than its limit, because requests
// wait for tokens all the time.
func TestLowerLimitBindsWhileRequestsWait(t *testing.T) {
	g := NewWithT(t)
	m := newTestMesh(t, 2, nil)
	m.setLimit(400, 100)
	var admitted atomic.Int64
	var asking sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range m.nodes {
		for range 40 {
			asking.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(2 * time.Millisecond):
					}
					if n.teamLimiter.admit(m.view.Load().Config.TeamByName("red")) {
						admitted.Add(1)
					}
				}
			})
		}
	}
	defer asking.Wait()
	defer close(stop)
	time.Sleep(time.Second)
	lower := *m.view.Load()
	lower.Config = testConfig(t, nil)
	team := lower.Config.TeamByName("red")
	team.Rate, team.Burst = 40, 10
	m.view.Store(&lower)
	for _, n := range m.nodes {
		n.UpdateView(&lower)
	}
	// Tokens that were borrowed under the old limit have expired by then.
	time.Sleep(allowance.LeaseDuration + maxTokenWait)
	before := admitted.Load()
	const span = 2 * time.Second
	time.Sleep(span)
	within := float64(admitted.Load() - before)
	g.Expect(within).To(BeNumerically("<=", 1.25*(team.Rate*span.Seconds()+team.Burst)))
	g.Expect(within).To(BeNumerically(">=", 0.8*team.Rate*span.Seconds()))
}
