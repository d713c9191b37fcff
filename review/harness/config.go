package main

import "fmt"

// route is a route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout, target             float64
	priority, attempts          int
	public                      bool
}

// tenant is a tenant of the operator's configuration.
type tenant struct {
	name  string
	keys  []string
	rate  float64
	burst float64
}

const host = "nony93.example"

// putConfig writes a version of the operator's configuration and returns when the store has acknowledged it.
func (m *mesh) putConfig(version int, services []string, routes []route, tenants []tenant) {
	var s, r, t []any
	for _, name := range services {
		s = append(s, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": coldPerSecond,
		})
	}
	for _, x := range routes {
		r = append(r, map[string]any{
			"name": x.name, "prefix": x.prefix, "kind": x.kind, "timeout_s": x.timeout, "target_latency_s": x.target, "priority": x.priority,
			"service": x.service, "max_attempts": x.attempts, "public": x.public,
		})
	}
	for _, x := range tenants {
		t = append(t, map[string]any{"name": x.name, "api_keys": x.keys, "priority": 1, "rate_per_s": x.rate, "burst": x.burst})
	}
	config := map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": s,
		"limits":        map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"virtual_hosts": []any{map[string]any{"host": host, "paths": r}},
	}
	if len(t) > 0 {
		config["tenants"] = t
	}
	m.rec.add("the operator sends version %08x", version)
	m.store.put("op/config", config)
	m.rec.add("the store acknowledges version %08x", version)
}

const coldPerSecond = 13.0
