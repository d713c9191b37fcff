package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	coldStart     = 3 * time.Second
	coldPerSecond = 13.0
	coldOver      = 1.5
	coldSlack     = 5.0
	coldPause     = 2500 * time.Millisecond
	coldTime      = 95 * time.Second
	coldLead      = 6 * time.Second
)

// arrival is a request that began to run at a backend.
type arrival struct {
	backend string
	id      string
	at      time.Time
}

// coldRoute is a route of the deployment with what its requests do.
type coldRoute struct {
	name, method, kind, service, prefix string
	timeout, target                     float64
	deadline                            int
	priority, attempts                  int
	public                              bool
	work                                time.Duration
}

var coldRoutes = []coldRoute{
	{name: "catalogo", method: http.MethodGet, kind: "idempotent", service: "vitrine", prefix: "/catalogo/", timeout: 1.2, target: 0.4, deadline: 2500, priority: 2, attempts: 2, work: 120 * time.Millisecond},
	{name: "encomenda", method: http.MethodPost, kind: "non_idempotent", service: "oficina", prefix: "/encomenda/", timeout: 1.5, target: 0.5, deadline: 3000, priority: 1, attempts: 2, work: 160 * time.Millisecond},
	{name: "vaga-bancada", method: http.MethodGet, kind: "idempotent", service: "oficina", prefix: "/vaga/", timeout: 0.4, target: 0.12, deadline: 400, priority: 2, attempts: 2, public: true, work: 30 * time.Millisecond},
}

const (
	coldHost = "hulo84.example"
	coldKey  = "6wsjnbanfqasnmgkcuyj"
	// callShare and callTimes say how often a run of "catalogo" calls "vaga-bancada", as the site file does.
	callShare = 0.7
	callTimes = 2
)

// playCold lets backends of "oficina" become cold again, one at a time, without a restart. It counts the requests that a cold
// backend gets in one second, of those that were sent and arrived within that second.
func playCold(rec *record, trouble bool) (bool, error) {
	m, err := newMesh(nodeProgram)
	if err != nil {
		return false, err
	}
	defer m.close()
	zones := []string{"juazeiro", "crato", "barbalha"}
	// Requests a second of all kinds that the clients of each zone send, and the shares of the two kinds played, as in the site file.
	rates, shares := []float64{50.8, 63.1, 64.4}, []float64{0.52, 0.23}

	var mu sync.Mutex
	var arrivals []arrival
	sent := map[string]time.Time{}
	recordSent := func(id string, n *node, route *coldRoute) {
		mu.Lock()
		defer mu.Unlock()
		sent[id] = time.Now()
		rec.lineAt(sent[id], "sent      %s %s %s to %s", id, route.method, route.name, n.name)
	}
	onRun := func(b *backend, id, path string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		arrivals = append(arrivals, arrival{b.id, id, at})
		rec.lineAt(at, "run       %s %s at %s, cold for %d ms", id, path, b.id, b.coldLeft().Milliseconds())
	}
	var services, paths []any
	for _, name := range []string{"vitrine", "oficina"} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false,
			"cold_start_s": coldStart.Seconds(), "cold_per_s": coldPerSecond,
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
	client := &http.Client{Transport: transport()}
	work := func(path string) time.Duration {
		for _, r := range coldRoutes {
			if strings.HasPrefix(path, r.prefix) {
				return spread(r.work)
			}
		}
		return time.Millisecond
	}
	var oficina []*backend
	byZone := map[string][]*node{}
	for _, zone := range zones {
		for _, service := range []string{"vitrine", "oficina"} {
			n := m.newNode(zone, service)
			byZone[zone] = append(byZone[zone], n)
			options := backendOptions{
				id: "i-" + service + "-" + zone, service: service, zone: zone, address: n.app, slots: 9, queue: 36,
				heartbeat: time.Duration(m.heartbeat * float64(time.Second)), work: work, onRun: onRun,
			}
			if service == "vitrine" {
				options.calls = func(parent string) bool {
					if rand.Float64() >= callShare {
						return true
					}
					for i := range callTimes {
						id := fmt.Sprintf("%s.%d", parent, i+1)
						recordSent(id, n, &coldRoutes[2])
						status, stamp := sendCold(client, n.outbound, id, &coldRoutes[2], coldKey)
						rec.line("answer    %s %s %s", id, status, stamp)
						if status != "200" {
							return false
						}
					}
					return true
				}
			}
			b, err := startBackend(options, m.store)
			if err != nil {
				return false, err
			}
			defer b.stop()
			if service == "oficina" {
				oficina = append(oficina, b)
			}
			if err := m.start(n); err != nil {
				return false, err
			}
			// The heartbeats of the backends are not in step.
			time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
		}
	}
	if err := m.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var clients sync.WaitGroup
	var next atomic.Int64
	for i, zone := range zones {
		for k, share := range shares {
			clients.Add(1)
			go func() {
				defer clients.Done()
				var requests sync.WaitGroup
				for ctx.Err() == nil {
					time.Sleep(time.Duration(rand.ExpFloat64() / rates[i] / share * float64(time.Second)))
					n := byZone[zone][rand.IntN(len(byZone[zone]))]
					id := fmt.Sprintf("%016x", next.Add(1))
					requests.Add(1)
					go func() {
						defer requests.Done()
						recordSent(id, n, &coldRoutes[k])
						status, stamp := sendCold(client, n.outbound, id, &coldRoutes[k], coldKey)
						rec.line("answer    %s %s %s", id, status, stamp)
					}()
				}
				requests.Wait()
			}()
		}
	}
	type coldPeriod struct {
		backend    string
		begin, end time.Time
	}
	var colds []coldPeriod
	begin := time.Now()
	time.Sleep(coldLead)
	for i := 0; time.Since(begin) < coldTime; i++ {
		b := oficina[i%len(oficina)]
		if trouble {
			now := time.Now()
			b.setCold(coldStart)
			rec.lineAt(now, "cold      %s becomes cold for %s", b.id, coldStart)
			colds = append(colds, coldPeriod{b.id, now, now.Add(coldStart)})
		}
		time.Sleep(coldStart + coldPause + time.Duration(rand.IntN(700))*time.Millisecond)
	}
	cancel()
	clients.Wait()
	bound := coldPerSecond*coldOver + coldSlack
	broken := 0
	for _, c := range colds {
		most := mostInOneSecond(arrivals, sent, c.backend, c.begin, c.end)
		rec.lineAt(c.begin, "most requests at %s in one second of its cold time: %d, allowed %.1f", c.backend, most, bound)
		if float64(most) > bound {
			broken++
		}
	}
	rec.line("cold times: %d, with too many requests: %d, requests run: %d", len(colds), broken, len(arrivals))
	if len(arrivals) < 5000 {
		return false, fmt.Errorf("only %d requests ran", len(arrivals))
	}
	return broken > 0, nil
}

// mostInOneSecond returns the largest number of requests that were sent and arrived at a backend within one second between two times.
func mostInOneSecond(arrivals []arrival, sent map[string]time.Time, backend string, begin, end time.Time) int {
	var list []arrival
	for _, a := range arrivals {
		if a.backend == backend && !sent[a.id].Before(begin) && a.at.Before(end) {
			list = append(list, a)
		}
	}
	most := 0
	for _, first := range list {
		from := sent[first.id]
		count := 0
		for _, a := range list {
			if !sent[a.id].Before(from) && a.at.Sub(from) <= time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// sendCold sends one request and returns its status, or the error, and the stamp of the answer.
func sendCold(client *http.Client, address, id string, route *coldRoute, key string) (status, stamp string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(route.deadline)*time.Millisecond)
	defer cancel()
	var body io.Reader
	if route.method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", 300))
	}
	req, err := http.NewRequestWithContext(ctx, route.method, "http://"+address+route.prefix+"2f", body)
	if err != nil {
		return err.Error(), ""
	}
	req.Host = coldHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.Itoa(route.deadline))
	if !route.public {
		req.Header.Set("X-Api-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return err.Error(), ""
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err.Error(), ""
	}
	return strconv.Itoa(resp.StatusCode), resp.Header.Get("Instance-Stamp")
}
