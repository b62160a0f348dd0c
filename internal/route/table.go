package route

import (
	"maps"
	"strings"
)

// Table is one version of the routing configuration. It is immutable and safe for concurrent use.
type Table struct {
	version uint64
	// routes holds the routes by normalized host name and path prefix.
	routes map[string]map[string]*Route
	// services holds the services by name.
	services map[string]Service
	// customers holds the customers by API key.
	customers map[string]*Customer
	limits    Limits
}

// NewTable returns a table with the given contents. It keeps pointers into routes and customers, which must not be changed
// afterwards.
func NewTable(version uint64, routes []Route, services []Service, customers []Customer, limits Limits) *Table {
	t := &Table{
		version:   version,
		routes:    make(map[string]map[string]*Route),
		services:  make(map[string]Service, len(services)),
		customers: make(map[string]*Customer),
		limits:    limits,
	}
	for i := range routes {
		route := &routes[i]
		host := normalizeHost(route.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][route.PathPrefix] = route
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	for i := range customers {
		for _, apiKey := range customers[i].APIKeys {
			t.customers[apiKey] = &customers[i]
		}
	}
	return t
}

// Version returns the version of the configuration. Newer tables have higher versions.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the fleet-wide limits.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, byPrefix := range t.routes {
		count += len(byPrefix)
	}
	return count
}

// Services returns a copy of the services by name.
func (t *Table) Services() map[string]Service { return maps.Clone(t.services) }

// Service returns the service with the given name and whether it exists.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// CustomerByKey returns the customer that owns an API key and whether there is one. An empty key belongs to no customer.
func (t *Table) CustomerByKey(apiKey string) (*Customer, bool) {
	if apiKey == "" {
		return nil, false
	}
	customer, found := t.customers[apiKey]
	return customer, found
}

// Match returns the route of a host name whose path prefix is the longest one that matches the path, and whether there is
// one. The port of the host name is ignored. Prefixes match whole path segments only, and
// a path without the final slash of a prefix does not match it.
func (t *Table) Match(host, path string) (*Route, bool) {
	byPrefix := t.routes[normalizeHost(host)]
	for len(byPrefix) > 0 && path != "" {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			break
		}
		if route, found := byPrefix[path[:slash+1]]; found {
			return route, true
		}
		path = path[:slash]
	}
	return nil, false
}

// normalizeHost returns a host name in lower case without its port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
