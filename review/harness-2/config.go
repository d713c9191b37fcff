package main

import (
	"encoding/json"
	"fmt"
)

// route is a route of a configuration.
type route struct {
	host, name, prefix, kind, service string
	timeout, target                   float64
	priority, attempts                int
	public                            bool
}

type team struct {
	name        string
	keys        []string
	rate, burst float64
}

// encodeConfig encodes a configuration as the operator writes it.
func encodeConfig(version int, services []string, teams []team, routes []route) []byte {
	var serviceList, teamList, hosts []any
	for _, name := range services {
		serviceList = append(serviceList, map[string]any{
			"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 13.0,
		})
	}
	for _, t := range teams {
		teamList = append(teamList, map[string]any{"name": t.name, "api_keys": t.keys, "priority": 1, "rate_per_s": t.rate, "burst": t.burst})
	}
	byHost, order := map[string][]any{}, []string{}
	for _, t := range routes {
		if byHost[t.host] == nil {
			order = append(order, t.host)
		}
		byHost[t.host] = append(byHost[t.host], map[string]any{
			"name": t.name, "prefix": t.prefix, "kind": t.kind, "timeout_s": t.timeout, "target_latency_s": t.target, "priority": t.priority,
			"service": t.service, "max_attempts": t.attempts, "public": t.public,
		})
	}
	for _, host := range order {
		hosts = append(hosts, map[string]any{"host": host, "paths": byHost[host]})
	}
	config := map[string]any{
		"version": fmt.Sprintf("%08x", version), "services": serviceList, "virtual_hosts": hosts,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
	if len(teamList) > 0 {
		config["tenants"] = teamList
	}
	value, err := json.Marshal(config)
	must(err)
	return value
}
