package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

func init() { cases["stale-version"] = staleVersion }

const (
	staleHost    = "loja.example"
	withdrawnKey = "chave-retirada-0001"
	keptKey      = "chave-mantida-00002"
	// freezeTime is how long the machine stands still.
	freezeTime = 4 * time.Second
)

// staleRoutes returns two routes in use and a number of idle ones.
func staleRoutes(idle int, patterns string) []route {
	list := []route{
		{host: staleHost, name: "r-orders", prefix: "/orders/", kind: "idempotent", service: "orders", timeout: 1.2, target: 0.4, priority: 1, attempts: 2},
		{host: staleHost, name: "r-patterns", prefix: "/patterns/", kind: "non_idempotent", service: patterns, timeout: 1.2, target: 0.4, priority: 1, attempts: 2},
	}
	for i := range idle {
		list = append(list, route{
			host: staleHost, name: fmt.Sprintf("r-idle-%03d", i), prefix: fmt.Sprintf("/idle-%03d/", i), kind: "idempotent", service: "orders",
			timeout: 1.2, target: 0.4, priority: 2, attempts: 2,
		})
	}
	return list
}

// staleVersion lets the store answer no calls of one of three machines, the only one of its zone, for 5 s, in which the operator removes
// idle routes from a configuration of more than 8 KiB, and then withdraws a key and moves a route to another service. With
// PHASE=random the versions come at a random time of that. With DISRUPTION=freeze, the node of one of ten machines is frozen for 4 s
// instead.
func staleVersion(r *run) bool {
	silent := os.Getenv("DISRUPTION") != "freeze"
	services := []string{"orders", "archive"}
	both := []team{{name: "red", keys: []string{withdrawnKey, keptKey}, rate: 100, burst: 100}}
	one := []team{{name: "red", keys: []string{keptKey}, rate: 100, burst: 100}}
	first := encodeConfig(16, services, both, staleRoutes(60, "orders"))
	second := encodeConfig(19, services, both, staleRoutes(30, "orders"))
	third := encodeConfig(23, services, one, staleRoutes(30, "archive"))
	r.logf("sizes of the three versions in bytes: %d, %d, %d", len(first), len(second), len(third))
	var specs []vmSpec
	for _, zone := range []string{"north", "south"} {
		for _, service := range []string{"orders", "archive", "orders", "archive", "orders"} {
			specs = append(specs, vmSpec{zone, service, 9, 5 * time.Millisecond})
		}
	}
	if silent {
		specs = []vmSpec{specs[0], specs[1], specs[5]}
	}
	r.startVMs(first, specs...)
	for _, v := range r.vms {
		require(staleRequest(v, withdrawnKey).status == 200, "a request was not served before the disruption")
	}
	var alone *vm
	between := time.Second
	if silent {
		alone, between = r.vms[2], 400*time.Millisecond
		if r.trouble {
			r.logf("the store no longer answers %s", alone.name)
			r.store.setSilent(alone.name, true)
			r.awaitUnansweredCall(alone)
		}
	} else {
		alone = r.machineWithoutStoreCalls("south")
		if r.trouble {
			r.logf("the node of %s is frozen", alone.name)
			alone.signal(syscall.SIGSTOP)
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.store.put("op/config", second)
	r.logf("the store has acknowledged version 00000013, without 30 idle routes")
	time.Sleep(between)
	r.store.put("op/config", third)
	acknowledged := time.Now()
	r.logf("the store has acknowledged version 00000017, without the key %q and with /patterns/ at archive", withdrawnKey)
	time.Sleep(freezeTime - 1500*time.Millisecond)
	switch {
	case !r.trouble:
	case silent:
		r.store.setSilent(alone.name, false)
		r.logf("the store answers %s again", alone.name)
	default:
		alone.signal(syscall.SIGCONT)
		r.logf("the node of %s runs again", alone.name)
	}
	time.Sleep(stableWindow + configApply + 500*time.Millisecond)
	held := true
	for range 10 {
		for _, v := range r.vms {
			held = r.checkVersion(v, acknowledged) && held
		}
		time.Sleep(200 * time.Millisecond)
	}
	return held
}

// awaitUnansweredCall waits until the node calls the store again, in vain, after it has followed another node for a second. With
// PHASE=random it waits until a random time of the two seconds that this and the call take.
func (r *run) awaitUnansweredCall(v *vm) {
	if os.Getenv("PHASE") == "random" {
		time.Sleep(2*time.Second + rand.N(2100*time.Millisecond))
		return
	}
	time.Sleep(time.Second)
	calls := r.store.callCounts()[v.name]
	r.eventually("a call of the store", 3*time.Second, func() bool { return r.store.callCounts()[v.name] > calls })
	time.Sleep(100 * time.Millisecond)
}

func staleRequest(v *vm, key string) answer {
	return v.send(request{method: "GET", host: staleHost, path: "/orders/1", key: key})
}

// checkVersion checks that the node of a machine that has been in touch for long handles requests by the third version.
func (r *run) checkVersion(v *vm, acknowledged time.Time) bool {
	held := true
	since := time.Since(acknowledged).Seconds()
	if a := staleRequest(v, withdrawnKey); a.status != 401 {
		r.logf("CONFIG: %s got status %d at %s, %.1f s after the acknowledgement of the version that withdrew its key", a.id, a.status, v.name, since)
		held = false
	}
	require(staleRequest(v, keptKey).status == 200, "a request with the kept key was not served")
	a := v.send(request{method: "POST", host: staleHost, path: "/patterns/1", key: keptKey, body: []byte("pattern")})
	for _, other := range r.vms {
		if other.backend.service == "orders" && other.backend.ran(a.id) {
			r.logf("CONFIG: %s was run by the old service, %.1f s after the acknowledgement of the version that moved its route", a.id, since)
			held = false
		}
	}
	return held
}

// machineWithoutStoreCalls returns a machine of the zone whose node does not call the store, because it follows another one.
func (r *run) machineWithoutStoreCalls(zone string) *vm {
	before := r.store.callCounts()
	time.Sleep(2 * time.Second)
	after := r.store.callCounts()
	for _, v := range r.vms {
		if v.zone == zone && after[v.name] == before[v.name] {
			return v
		}
	}
	panic("all nodes of the zone call the store")
}
