package main

import (
	"encoding/json"
	"maps"
	"slices"
)

// configuration returns the operator's config: the services of a small deployment, and the keys of each tenant.
func configuration(version int, tenants map[string][]string) []byte {
	return configurationWith(version, tenants, "taller-app")
}

// configurationWith returns the same, with the service to which the open route of the ink orders leads.
func configurationWith(version int, tenants map[string][]string, inkService string) []byte {
	route := func(name, prefix, kind, service string, timeout, aim, attempts int, resume bool) map[string]any {
		r := map[string]any{
			"name": name, "host": hostName, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": aim,
			"priority": 1, "service": service, "max_attempts": attempts, "allow_anonymous": false, "sticky": kind == "streaming",
			"resume_streams": resume,
		}
		if kind == "streaming" {
			r["target_gap_ms"] = 200
		}
		return r
	}
	ink := route("ink-order", "/ink/", "unsafe", inkService, 1500, 200, 1, false)
	ink["allow_anonymous"] = true
	var listed []map[string]any
	for _, name := range slices.Sorted(maps.Keys(tenants)) {
		listed = append(listed, map[string]any{"name": name, "api_keys": tenants[name]})
	}
	body, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("brief-draft", "/brief/", "streaming", "modelo-pool", 12000, 500, 1, false),
			route("colorway-names", "/names/", "streaming", "modelo-pool", 12000, 300, 2, true),
			route("burn-booking", "/booking/", "unsafe", "taller-app", 1500, 200, 1, false),
			route("stock-lookup", "/stock/", "safe", "taller-app", 1500, 200, 2, false),
			ink,
		},
		"services": []any{
			map[string]any{
				"name": "modelo-pool", "health_path": "/health", "max_connections": 230, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 32, "kv_capacity_tokens": 942185, "kv_token_bytes": 18432, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "taller-app", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "taller-b", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tokens_per_s": 860000,
		},
		"tenants": listed,
	})
	return body
}
