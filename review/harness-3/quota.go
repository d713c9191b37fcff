package main

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	quotaRate   = 65.0
	quotaBurst  = 65.0
	quotaWindow = 5 * time.Second
	quotaOver   = 0.25
	quotaSlack  = 20.0
	// usualRate is what the tenant sends in ordinary times: its limit is 1.6 times that (quota_x).
	usualRate = quotaRate / 1.6
	// hotFactor, hotSpell and holderCut are from the site file: hot_tenant x = 8.0, for_s = 9.0; core_cut for_s = 4.0.
	hotFactor = 8.0
	hotSpell  = 6500 * time.Millisecond
	holderCut = 4 * time.Second
	// hotDelay is the time from the cut until the tenant begins to send more.
	hotDelay = 100 * time.Millisecond
	// In each round another tenant sends, as usual at first, for usualTime.
	quotaRounds = 6
	usualTime   = 7 * time.Second
)

// quotaRoutes are the four kinds of requests of the site with their shares.
var quotaRoutes = []struct {
	coldRoute
	share float64
}{
	{coldRoute{name: "catalogo", method: http.MethodGet, kind: "idempotent", service: "vitrine", prefix: "/catalogo/", timeout: 1.2, target: 0.4, deadline: 2500, priority: 2, attempts: 2, work: 120 * time.Millisecond}, 0.52},
	{coldRoute{name: "encomenda", method: http.MethodPost, kind: "non_idempotent", service: "oficina", prefix: "/encomenda/", timeout: 1.5, target: 0.5, deadline: 3000, priority: 1, attempts: 2, work: 160 * time.Millisecond}, 0.23},
	{coldRoute{name: "sinal", method: http.MethodPost, kind: "non_idempotent", service: "tesouraria", prefix: "/sinal/", timeout: 0.8, target: 0.25, deadline: 1500, priority: 0, attempts: 2, work: 84 * time.Millisecond}, 0.15},
	{coldRoute{name: "arquivo", method: http.MethodGet, kind: "idempotent", service: "acervo", prefix: "/arquivo/", timeout: 4, target: 1.2, deadline: 8000, priority: 2, attempts: 2, work: 480 * time.Millisecond}, 0.10},
}

// quotaRun is an execution of a request of the tenant.
type quotaRun struct {
	tenant   int
	sent, at time.Time
}

// playQuota cuts the machine that holds a tenant's limit off from the store and from all machines of other zones, while the tenant
// begins to send many times its usual. It counts the tenant's requests that were sent and arrived at a backend within five seconds.
func playQuota(rec *record, trouble bool) (bool, error) {
	m, err := newMesh(nodeProgram)
	if err != nil {
		return false, err
	}
	defer m.close()
	services := []string{"vitrine", "oficina", "tesouraria", "acervo"}
	for _, zone := range []string{"juazeiro", "crato", "barbalha"} {
		for _, service := range services {
			m.newNode(zone, service)
		}
	}
	// sending is the tenant that sends at the moment. leases counts by node how often it is asked for tokens of this tenant.
	var sending atomic.Int64
	var leases sync.Map
	w, err := m.connect(func(to *node, request []byte) {
		if bytes.Contains(request, []byte("/v1/lease")) && bytes.Contains(request, []byte(`"t":"`+tenantName(int(sending.Load()))+`"`)) {
			n, _ := leases.LoadOrStore(to, &atomic.Int64{})
			n.(*atomic.Int64).Add(1)
		}
	})
	defer w.close()
	if err != nil {
		return false, err
	}
	var declared, paths, tenants []any
	for _, name := range services {
		declared = append(declared, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 13.0,
		})
	}
	for _, r := range quotaRoutes {
		paths = append(paths, map[string]any{
			"name": "r-" + r.name, "prefix": r.prefix, "kind": r.kind, "timeout_s": r.timeout, "target_latency_s": r.target, "priority": r.priority,
			"service": r.service, "max_attempts": r.attempts, "public": r.public,
		})
	}
	for i := range quotaRounds {
		tenants = append(tenants, map[string]any{
			"name": tenantName(i), "api_keys": []string{tenantKey(i)}, "priority": 1, "rate_per_s": quotaRate, "burst": quotaBurst,
		})
	}
	m.store.put("op/config", map[string]any{
		"version": "00000007", "services": declared,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"tenants":       tenants,
		"virtual_hosts": []any{map[string]any{"host": coldHost, "paths": paths}},
	})
	var mu sync.Mutex
	var runs []quotaRun
	sent, ran := map[string]quotaRun{}, map[string]bool{}
	onRun := func(b *backend, id, path string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		rec.lineAt(at, "run       %s %s at %s", id, path, b.id)
		if !ran[id] {
			ran[id] = true
			run := sent[id]
			run.at = at
			runs = append(runs, run)
		}
	}
	beside := map[*node]*backend{}
	defer func() {
		for _, b := range beside {
			b.stop()
		}
	}()
	for _, n := range m.nodes {
		var work time.Duration
		for _, r := range quotaRoutes {
			if r.service == n.service {
				work = r.work
			}
		}
		beside[n], err = startBackend(backendOptions{
			id: "i-" + n.name, service: n.service, zone: n.zone, address: n.app, slots: 9, queue: 36,
			heartbeat: time.Duration(m.heartbeat * float64(time.Second)), work: func(string) time.Duration { return spread(work) }, onRun: onRun,
		}, m.store)
		if err != nil {
			return false, err
		}
		if err := m.start(n); err != nil {
			return false, err
		}
		time.Sleep(time.Duration(rand.IntN(150)) * time.Millisecond)
	}
	if err := m.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := &http.Client{Transport: transport()}
	var requests sync.WaitGroup
	var next atomic.Int64
	var hot atomic.Bool
	clientsEnded := make(chan struct{})
	go func() {
		defer close(clientsEnded)
		for due := time.Now(); ctx.Err() == nil; {
			rate := usualRate
			if hot.Load() {
				rate *= hotFactor
			}
			due = due.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
			time.Sleep(time.Until(due))
			n, pick := m.nodes[rand.IntN(len(m.nodes))], rand.Float64()
			route := &quotaRoutes[len(quotaRoutes)-1].coldRoute
			for i := range quotaRoutes {
				if pick -= quotaRoutes[i].share; pick < 0 {
					route = &quotaRoutes[i].coldRoute
					break
				}
			}
			id, tenant := fmt.Sprintf("%016x", next.Add(1)), int(sending.Load())
			requests.Add(1)
			go func() {
				defer requests.Done()
				mu.Lock()
				now := time.Now()
				sent[id] = quotaRun{tenant: tenant, sent: now}
				rec.lineAt(now, "sent      %s %s by %s to %s", id, route.name, tenantName(tenant), n.name)
				mu.Unlock()
				status, stamp := sendCold(client, n.outbound, id, route, tenantKey(tenant))
				rec.line("answer    %s %s %s", id, status, stamp)
			}()
		}
	}()
	for i := range quotaRounds {
		leases.Clear()
		sending.Store(int64(i))
		time.Sleep(usualTime)
		holder := mostAsked(&leases, m.nodes)
		if holder == nil {
			return false, fmt.Errorf("no node was asked for tokens")
		}
		if trouble {
			w.isolateNear(holder)
			beside[holder].silence(holderCut)
			rec.line("cut       %s, which holds the limit of %s, from the store and from the machines of other zones", holder.name, tenantName(i))
		}
		time.Sleep(hotDelay)
		hot.Store(true)
		rec.line("hot       %s sends %.0f times its usual", tenantName(i), hotFactor)
		time.Sleep(holderCut - hotDelay)
		w.heal()
		rec.line("healed    %s", holder.name)
		time.Sleep(hotSpell - holderCut + hotDelay)
		hot.Store(false)
		rec.line("usual     %s sends its usual", tenantName(i))
	}
	cancel()
	<-clientsEnded
	requests.Wait()
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack
	broken := 0
	for i := range quotaRounds {
		most, from := mostInWindow(runs, i)
		rec.lineAt(from, "most requests of %s in %s: %d, allowed %.1f", tenantName(i), quotaWindow, most, bound)
		if float64(most) > bound {
			broken++
		}
	}
	rec.line("tenants: %d, above their limits: %d, requests run: %d", quotaRounds, broken, len(runs))
	if len(runs) < 2000 {
		return false, fmt.Errorf("only %d requests ran", len(runs))
	}
	return broken > 0, nil
}

// mostAsked returns the node that was asked most often for tokens, which is the holder. Nodes ask their own holder without a message.
func mostAsked(leases *sync.Map, nodes []*node) *node {
	var best *node
	most := int64(0)
	for _, n := range nodes {
		if count, ok := leases.Load(n); ok && count.(*atomic.Int64).Load() > most {
			best, most = n, count.(*atomic.Int64).Load()
		}
	}
	return best
}

func tenantName(i int) string { return fmt.Sprintf("pulo78%d", i) }

func tenantKey(i int) string { return fmt.Sprintf("6wsjnbanfqasnmgkcuy%d", i) }

// mostInWindow returns the largest number of requests of a tenant that were sent and arrived within one window, and its beginning.
func mostInWindow(runs []quotaRun, tenant int) (most int, from time.Time) {
	var list []quotaRun
	for _, r := range runs {
		if r.tenant == tenant {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sent.Before(list[j].sent) })
	for i, first := range list {
		end, count := first.sent.Add(quotaWindow), 0
		for _, r := range list[i:] {
			if !r.sent.Before(end) {
				break
			}
			if !r.at.After(end) {
				count++
			}
		}
		if count > most {
			most, from = count, first.sent
		}
	}
	return most, from
}
