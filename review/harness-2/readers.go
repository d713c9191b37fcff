package main

import (
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost-readers"] = lostReaders }

// lostReadersTime is how long the disruption lasts.
const lostReadersTime = 5 * time.Second

// lostReaders cuts off three of twelve machines, those whose nodes read the store for their zones, and then lets the operator withdraw
// a key. All other machines reach the store and each other. With DISRUPTION=freeze, the nodes of three of thirty machines are frozen
// instead.
func lostReaders(r *run) bool {
	freeze, perZone := os.Getenv("DISRUPTION") == "freeze", 4
	if freeze {
		perZone = 10
	}
	services := []string{"orders"}
	routes := staleRoutes(0, "orders")
	both := []team{{name: "red", keys: []string{withdrawnKey, keptKey}, rate: 1000, burst: 1000}}
	one := []team{{name: "red", keys: []string{keptKey}, rate: 1000, burst: 1000}}
	var specs []vmSpec
	for _, zone := range []string{"juazeiro", "crato", "barbalha"} {
		for range perZone {
			specs = append(specs, vmSpec{zone, "orders", 2, 150 * time.Millisecond})
		}
	}
	r.startVMs(encodeConfig(16, services, both, routes), specs...)
	time.Sleep(5 * time.Second)
	before := r.store.callCounts()
	var group sync.WaitGroup
	for _, v := range r.vms {
		// A burst that the backends of one zone cannot run alone, so that the nodes have connections to those of the other zones.
		for range 25 {
			group.Go(func() { staleRequest(v, keptKey) })
		}
		group.Wait()
	}
	time.Sleep(time.Second)
	after := r.store.callCounts()
	var others []*vm
	cut := 0
	for _, v := range r.vms {
		if after[v.name] == before[v.name] {
			others = append(others, v)
			continue
		}
		cut++
		switch {
		case !r.trouble:
		case freeze:
			v.signal(syscall.SIGSTOP)
			defer time.AfterFunc(lostReadersTime, func() { v.signal(syscall.SIGCONT) }).Stop()
			r.logf("the node of %s in zone %s, which calls the store, is frozen", v.name, v.zone)
		default:
			group.Go(func() { r.setMachineCut(v, true) })
			r.logf("%s in zone %s, whose node calls the store, is cut off from the store and from all other machines", v.name, v.zone)
		}
	}
	require(cut == 3, "%d nodes call the store; expected one of each zone", cut)
	group.Wait()
	r.store.put("op/config", encodeConfig(17, services, one, routes))
	acknowledged := time.Now()
	r.logf("the store has acknowledged the version without the key %q", withdrawnKey)
	// No requests are sent until the version has to be in force.
	time.Sleep(configApply)
	var mu sync.Mutex
	held := true
	for _, v := range others {
		group.Go(func() {
			for time.Since(acknowledged) < lostReadersTime {
				a := staleRequest(v, withdrawnKey)
				if after := a.sentAt.Sub(acknowledged); after > configApply && a.status != 401 {
					r.logf("CONFIG: %s was sent to %s %.3f s after the acknowledgement and got status %d", a.id, v.name, after.Seconds(), a.status)
					mu.Lock()
					held = false
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return held
}

// setMachineCut cuts a machine silently off from the store and from all other machines, or ends the cut.
func (r *run) setMachineCut(v *vm, cut bool) {
	var group sync.WaitGroup
	group.Go(func() { v.storeLink.setCut(cut) })
	for _, other := range r.vms {
		if other != v {
			group.Go(func() { v.peerLinks[other.name].setCut(cut) })
			group.Go(func() { other.peerLinks[v.name].setCut(cut) })
		}
	}
	group.Wait()
}
