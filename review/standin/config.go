package main

import "fmt"

// The keys of the two tenants.
const (
	keyA = "asnmgkcuyj8pjbvk9m68"
	keyB = "k7b2ex5wa5xwyhks8nbk"
)

// routeOf returns a route of a config.
func routeOf(name, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	route := map[string]any{
		"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "target_latency_ms": 500,
		"priority": 1, "service": service, "max_attempts": attempts, "allow_anonymous": false, "sticky": false,
	}
	if kind == "streaming" {
		route["resume_streams"], route["target_gap_ms"], route["sticky"] = attempts > 1, 400, true
	}
	return route
}

// configOf returns a config with the routes and, for the tenant hule930, the keys given.
func configOf(version int, routes []map[string]any, keysOfA []string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "ledger", "health_path": "/health", "max_connections": 630, "protocol": "h1", "tls": false},
			{"name": "model", "health_path": "/health", "max_connections": 630, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 350000,
		},
		"tenants": []map[string]any{
			{"name": "hule930", "api_keys": keysOfA, "priority": 1},
			{"name": "rima111", "api_keys": []string{keyB}, "priority": 1},
		},
	}
}

// moreRoutes returns the routes and a number of further ones.
func moreRoutes(routes []map[string]any, count, version int) []map[string]any {
	all := append([]map[string]any(nil), routes...)
	for i := range count {
		all = append(all, routeOf(fmt.Sprintf("r-more%04d", i), fmt.Sprintf("/more%04d/", i), "safe", "ledger", 2500+version%7, 2))
	}
	return all
}
