package main

import (
	"encoding/json"
	"fmt"
	"time"
)

func init() { cases["foreign-entries"] = foreignEntries }

// foreignEntries lets another writer register the addresses of one service's backends for a service that no configuration names.
func foreignEntries(r *run) bool {
	teams := []team{{name: "red", keys: []string{keptKey}, rate: 1000, burst: 1000}}
	routes := []route{
		{host: staleHost, name: "r-orders", prefix: "/orders/", kind: "idempotent", service: "orders", timeout: 1.2, target: 0.4, priority: 1, attempts: 2},
		{host: staleHost, name: "r-archive", prefix: "/archive/", kind: "idempotent", service: "archive", timeout: 1.2, target: 0.4, priority: 1, attempts: 2},
	}
	var specs []vmSpec
	for _, zone := range []string{"juazeiro", "crato", "barbalha"} {
		for _, service := range []string{"orders", "archive"} {
			specs = append(specs, vmSpec{zone, service, 9, 5 * time.Millisecond})
		}
	}
	r.startVMs(encodeConfig(16, []string{"orders", "archive"}, teams, routes), specs...)
	served := r.serveAll(10)
	require(served["orders"] == 60 && served["archive"] == 60, "not all requests were served before the disruption: %v", served)
	if r.trouble {
		for i, v := range r.vms {
			if v.backend.service != "orders" {
				continue
			}
			value, err := json.Marshal(map[string]any{
				"service": "inventory-agent", "address": v.backend.address, "zone": v.zone, "version": "v1", "slots": 9, "state": "ready",
				"cold_remaining_s": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			must(err)
			r.store.put(fmt.Sprintf("servers/agent-%d", i), value)
			r.logf("another writer has registered agent-%d of service inventory-agent at the address of backend %s", i, v.backend.id)
		}
	}
	// The time in which the nodes would find out, and the window in which machines are in touch again.
	time.Sleep(stableWindow + configApply)
	served = r.serveAll(30)
	all := served["orders"] + served["archive"]
	r.logf("served of 180 requests each: orders %d, archive %d", served["orders"], served["archive"])
	if 4*2*served["orders"] < all {
		r.logf("Starved: the requests to orders are served less than a quarter as often as all requests")
		return false
	}
	return true
}

// serveAll sends requests to each service at each machine and returns how many of each were served.
func (r *run) serveAll(times int) map[string]int {
	served := map[string]int{}
	for range times {
		for _, v := range r.vms {
			for _, service := range []string{"orders", "archive"} {
				if v.send(request{method: "GET", host: staleHost, path: "/" + service + "/1", key: keptKey}).status == 200 {
					served[service]++
				}
			}
		}
	}
	return served
}
