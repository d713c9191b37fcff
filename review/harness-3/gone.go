package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	cutTime       = 4 * time.Second
	drainBound    = 2 * time.Second
	stableWindow  = 3 * time.Second
	goneDelay     = 500 * time.Millisecond
	servesOn      = 1800 * time.Millisecond
	goneTime      = 90 * time.Second
	clientsPerSec = 25
)

// playGone cuts a node off for some seconds. Soon after the cut, the backend beside it leaves: without a notice, its entry is
// removed, and it serves on for the drain time and a little longer. It counts the requests that reach the backend later than the
// drain time after the store has acknowledged the removal, sent when the node had been without disruption for the stable window.
func playGone(rec *record, trouble bool) (bool, error) {
	m, err := newMesh(nodeProgram)
	if err != nil {
		return false, err
	}
	defer m.close()
	for _, zone := range []string{"juazeiro", "crato", "barbalha"} {
		for _, service := range []string{"vitrine", "oficina"} {
			m.newNode(zone, service)
		}
	}
	w, err := m.connect(func(*node, []byte) {})
	defer w.close()
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var arrivals []arrival
	sent := map[string]time.Time{}
	onRun := func(b *backend, id, path string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{b.id, id, at})
		rec.lineAt(at, "run       %s %s at %s", id, path, b.id)
	}
	var services, paths []any
	for _, name := range []string{"vitrine", "oficina"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 13.0,
		})
	}
	for _, r := range coldRoutes {
		paths = append(paths, map[string]any{
			"name": "r-" + r.name, "prefix": r.prefix, "kind": r.kind, "timeout_s": r.timeout, "target_latency_s": r.target, "priority": r.priority,
			"service": r.service, "max_attempts": r.attempts, "public": r.public,
		})
	}
	m.store.put("op/config", map[string]any{
		"version": "00000007", "services": services,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":       []any{map[string]any{"name": "pulo780", "api_keys": []string{coldKey}, "rate_per_s": 0, "burst": 0}},
		"virtual_hosts": []any{map[string]any{"host": coldHost, "paths": paths}},
	})
	work := func(string) time.Duration { return spread(60 * time.Millisecond) }
	lives := 0
	startAt := func(n *node) (*backend, error) {
		lives++
		return startBackend(backendOptions{
			id: fmt.Sprintf("i-%s-%d", n.name, lives), service: n.service, zone: n.zone, address: n.app, slots: 9, queue: 36,
			heartbeat: time.Duration(m.heartbeat * float64(time.Second)), work: work, onRun: onRun,
		}, m.store)
	}
	beside := map[*node]*backend{}
	defer func() {
		for _, b := range beside {
			b.stop()
		}
	}()
	for _, n := range m.nodes {
		if beside[n], err = startAt(n); err != nil {
			return false, err
		}
		if err := m.start(n); err != nil {
			return false, err
		}
		time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
	if err := m.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: transport()}
	var clients sync.WaitGroup
	var next atomic.Int64
	for _, n := range m.nodes {
		for k := range 2 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				var requests sync.WaitGroup
				for ctx.Err() == nil {
					time.Sleep(time.Duration(rand.ExpFloat64() / clientsPerSec * float64(time.Second)))
					id := fmt.Sprintf("%016x", next.Add(1))
					requests.Add(1)
					go func() {
						defer requests.Done()
						mu.Lock()
						sent[id] = time.Now()
						rec.lineAt(sent[id], "sent      %s %s to %s", id, coldRoutes[k].name, n.name)
						mu.Unlock()
						status, stamp := sendCold(client, n.outbound, id, &coldRoutes[k], coldKey)
						rec.line("answer    %s %s %s", id, status, stamp)
					}()
				}
				requests.Wait()
			}()
		}
	}
	late, events := 0, 0
	begin := time.Now()
	time.Sleep(4 * time.Second)
	for i := 0; time.Since(begin) < goneTime; i++ {
		n := m.nodes[i%len(m.nodes)]
		b := beside[n]
		if trouble {
			w.isolate(n)
			rec.line("cut       %s from the store and all other nodes", n.name)
		}
		time.Sleep(cutTime)
		healed := time.Now()
		if trouble {
			w.heal()
			rec.line("healed    %s", n.name)
		}
		time.Sleep(goneDelay)
		close(b.stopped)
		removed := m.store.remove("servers/" + b.id)
		rec.lineAt(removed, "removed   the entry of %s, which serves on", b.id)
		end := removed.Add(drainBound + servesOn)
		time.Sleep(time.Until(end))
		_ = b.server.Close()
		rec.line("ended     %s", b.id)
		bound := removed.Add(drainBound)
		if inTouch := healed.Add(stableWindow); trouble && inTouch.After(bound) {
			bound = inTouch
		}
		mu.Lock()
		count, last := 0, time.Duration(0)
		for _, a := range arrivals {
			if a.backend == b.id && sent[a.id].After(bound) {
				count++
				last = a.at.Sub(bound)
			}
		}
		mu.Unlock()
		rec.line("late      %d requests reached %s after the bound, the last one by %d ms", count, b.id, last.Milliseconds())
		events++
		if count > 0 {
			late++
		}
		if beside[n], err = startAt(n); err != nil {
			return false, err
		}
		time.Sleep(1500 * time.Millisecond)
	}
	cancel()
	clients.Wait()
	rec.line("backends that left: %d, with late requests: %d, requests run: %d", events, late, len(arrivals))
	if len(arrivals) < 5000 {
		return false, fmt.Errorf("only %d requests ran", len(arrivals))
	}
	return late > 0, nil
}
