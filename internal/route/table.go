package route

import (
	"maps"
	"strings"
)

// Table is one version of the routing configuration.
type Table struct {
	version   uint64
	routes    map[string]map[string]*Route
	services  map[string]Service
	customers map[string]*Customer
	limits    Limits
}

// NewTable returns the table of a version.
func NewTable(version uint64, routes []Route, services []Service, customers []Customer, limits Limits) *Table {
	t := &Table{
		version:   version,
		routes:    make(map[string]map[string]*Route),
		services:  make(map[string]Service, len(services)),
		customers: make(map[string]*Customer),
		limits:    limits,
	}
	for i := range routes {
		added := &routes[i]
		host := normalize(added.Host)
		if t.routes[host] == nil {
			t.routes[host] = make(map[string]*Route)
		}
		t.routes[host][added.PathPrefix] = added
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	for i := range customers {
		for _, key := range customers[i].APIKeys {
			t.customers[key] = &customers[i]
		}
	}
	return t
}

// Version returns the version of the table; later tables have greater ones.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the bounds of what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	count := 0
	for _, prefixes := range t.routes {
		count += len(prefixes)
	}
	return count
}

// Services returns all services.
func (t *Table) Services() map[string]Service { return maps.Clone(t.services) }

// Service returns the service of a name.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// CustomerByKey returns the holder of a key.
func (t *Table) CustomerByKey(key string) (*Customer, bool) {
	if key == "" {
		return nil, false
	}
	customer, found := t.customers[key]
	return customer, found
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.routes[normalize(host)]
	for len(prefixes) > 0 && path != "" {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			break
		}
		if found, ok := prefixes[path[:slash+1]]; ok {
			return found, true
		}
		path = path[:slash]
	}
	return nil, false
}

// normalize returns a host name in lower case without its port.
func normalize(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
