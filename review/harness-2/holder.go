package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

func init() { cases["two-holders"] = twoHolders }

const (
	heartbeat = 1500 * time.Millisecond
	// quotaWindow, quotaOver and quotaSlack are the bounds of the rule QUOTA.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.25
	quotaSlack  = 20
)

// beats makes the backends report to the store, which removes the entry of one that was silent for three heartbeats.
func (r *run) beats() (setCut func(zone string, cut bool), stop func()) {
	var mu sync.Mutex
	cutZone := map[string]bool{}
	done := make(chan struct{})
	for _, v := range r.vms {
		go func() {
			last, listed := time.Now(), true
			next := time.Now().Add(rand.N(heartbeat))
			for {
				select {
				case <-done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				mu.Lock()
				cut := cutZone[v.zone]
				mu.Unlock()
				if now := time.Now(); now.After(next) {
					next = next.Add(heartbeat)
					if !cut {
						last = now
						if !listed {
							listed = true
							r.store.put("servers/"+v.backend.id, v.backend.entry("ready"))
							r.logf("backend %s is registered again", v.backend.id)
						}
					}
				}
				if listed && time.Since(last) > 3*heartbeat {
					listed = false
					r.store.put("servers/"+v.backend.id, nil)
					r.logf("the entry of backend %s has lapsed", v.backend.id)
				}
			}
		}()
	}
	return func(zone string, cut bool) {
		mu.Lock()
		defer mu.Unlock()
		cutZone[zone] = cut
	}, func() { close(done) }
}

// setZoneCut cuts a zone silently from the other zones and from the store, or ends the cut.
func (r *run) setZoneCut(zone string, cut bool) {
	var group sync.WaitGroup
	for _, v := range r.vms {
		if v.zone == zone {
			group.Go(func() { v.storeLink.setCut(cut) })
		}
		for _, other := range r.vms {
			if (v.zone == zone) != (other.zone == zone) {
				group.Go(func() { v.peerLinks[other.name].setCut(cut) })
			}
		}
	}
	group.Wait()
}

// sample is a request that a backend ran.
type sample struct{ sent, arrived time.Duration }

// twoHolders cuts the larger one of two zones from the other one and from the store. Four teams send more than their limits, each at
// all machines.
func twoHolders(r *run) bool {
	rate, burst, cutTime := 100.0, 25.0, 5*time.Second
	var teams []team
	for i := range 4 {
		teams = append(teams, team{name: fmt.Sprintf("team-%d", i+1), keys: []string{fmt.Sprintf("key-%d", i+1)}, rate: rate, burst: burst})
	}
	config := encodeConfig(16, []string{"orders"}, teams, []route{
		{host: "h.example", name: "r-o", prefix: "/o/", kind: "idempotent", service: "orders", timeout: 1.2, target: 0.4, priority: 1, attempts: 2},
	})
	var specs []vmSpec
	zones := []string{"north", "north", "north", "north", "south", "south", "south"}
	for _, zone := range zones {
		specs = append(specs, vmSpec{zone, "orders", 9, 5 * time.Millisecond})
	}
	r.quiet = true
	r.startVMs(config, specs...)
	setBeats, stopBeats := r.beats()
	defer stopBeats()
	stop := make(chan struct{})
	var group sync.WaitGroup
	sentAt := sync.Map{}
	for _, v := range r.vms {
		client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}}
		for i := range teams {
			group.Go(func() {
				ticker := time.NewTicker(25 * time.Millisecond)
				defer ticker.Stop()
				for {
					select {
					case <-stop:
						return
					case <-ticker.C:
					}
					group.Go(func() {
						id := fmt.Sprintf("%s-q-%06d", teams[i].name, lastID.Add(1))
						req, _ := http.NewRequest(http.MethodGet, "http://"+v.callerAddress()+"/o/1", nil)
						req.Host = "h.example"
						req.Header.Set("Request-Id", id)
						req.Header.Set("Deadline-Ms", "2000")
						req.Header.Set("X-Api-Key", teams[i].keys[0])
						at := time.Since(r.started)
						sentAt.Store(id, at)
						resp, err := client.Do(req)
						status := 0
						if err == nil {
							status = resp.StatusCode
							_, _ = io.Copy(io.Discard, resp.Body)
							_ = resp.Body.Close()
						}
						r.logf("%s sent at %.3f to %s: status %d", id, at.Seconds(), v.name, status)
					})
				}
			})
		}
	}
	time.Sleep(6 * time.Second)
	if r.trouble {
		r.logf("zone north, 4 of 7 machines, is cut from zone south and from the store")
		r.setZoneCut("north", true)
		setBeats("north", true)
	}
	time.Sleep(cutTime)
	if r.trouble {
		r.setZoneCut("north", false)
		setBeats("north", false)
		r.logf("the cut has ended")
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	held := true
	for i := range teams {
		var samples []sample
		perSecond := map[int]int{}
		for _, v := range r.vms {
			v.backend.mu.Lock()
			for _, e := range v.backend.executions {
				if at, ok := sentAt.Load(e.id); ok && e.tenant == teams[i].name {
					samples = append(samples, sample{at.(time.Duration), e.at.Sub(r.started)})
					perSecond[int(e.at.Sub(r.started).Seconds())]++
				}
			}
			v.backend.mu.Unlock()
		}
		sort.Slice(samples, func(a, b int) bool { return samples[a].arrived < samples[b].arrived })
		limit := (rate*quotaWindow.Seconds()+burst)*(1+quotaOver) + quotaSlack
		most, mostAt, first := 0, time.Duration(0), 0
		for k, s := range samples {
			for samples[first].arrived < s.arrived-quotaWindow {
				first++
			}
			count := 0
			for _, o := range samples[first : k+1] {
				if o.sent >= s.arrived-quotaWindow {
					count++
				}
			}
			if count > most {
				most, mostAt = count, s.arrived
			}
		}
		r.logf("%s: at most %d requests in a window of 5 s, which ends at %.3f; the bound is %.0f; by second: %v", teams[i].name, most, mostAt.Seconds(), limit, perSecond)
		if float64(most) > limit {
			r.logf("QUOTA: %s got more requests than its limit allows", teams[i].name)
			held = false
		}
	}
	return held
}
