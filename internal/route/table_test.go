package route_test

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/route"
)

// newTestTable returns a table with nested path prefixes on two host names and a customer with two API keys.
func newTestTable() *route.Table {
	return route.NewTable(7, []route.Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "shop", Host: "A.example", PathPrefix: "/shop/"},
		{Name: "book", Host: "a.example", PathPrefix: "/shop/book/"},
		{Name: "other", Host: "b.example", PathPrefix: "/shop/"},
	}, nil, []route.Customer{{Name: "printer", APIKeys: []string{"k1", "k2"}}}, route.Limits{})
}

// TestMatchLongestPrefix guards against requests that are matched to a shorter path prefix, to another host name, or to a
// prefix that ends within a path segment.
func TestMatchLongestPrefix(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/shop/book/1", "book"},
		{"a.example", "/shop/book/", "book"},
		{"a.example", "/shop/book", "shop"},
		{"A.EXAMPLE:80", "/shop/x/y", "shop"},
		{"a.example", "/shopping", "root"},
		{"b.example", "/shop/book/1", "other"},
		{"b.example", "/shop", ""},
		{"b.example", "", ""},
		{"c.example", "/shop/", ""},
	} {
		matched, ok := newTestTable().Match(c.host, c.path)
		qt.Check(t, ok, qt.Equals, c.want != "", qt.Commentf("%s%s", c.host, c.path))
		if ok {
			qt.Check(t, matched.Name, qt.Equals, c.want, qt.Commentf("%s%s", c.host, c.path))
		}
	}
}

// TestCustomerByKey guards against attributing a request without an API key, or with an unknown one, to a customer.
func TestCustomerByKey(t *testing.T) {
	for key, want := range map[string]bool{"k1": true, "k2": true, "": false, "K1": false} {
		_, found := newTestTable().CustomerByKey(key)
		qt.Check(t, found, qt.Equals, want, qt.Commentf("key %q", key))
	}
}

// TestSelectService guards against shares that differ from the weights of the splits, against requests for a split of weight
// zero, and against a session that changes its service while the splits stay the same.
func TestSelectService(t *testing.T) {
	splitRoute := route.Route{Splits: []route.Split{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z"}}}
	counts := make(map[string]int)
	const requests = 20_000
	for key := range uint64(requests) {
		// The multiplication spreads consecutive keys over all 64 bits.
		service := splitRoute.SelectService(key * 0x9e3779b97f4a7c15)
		counts[service]++
		qt.Assert(t, splitRoute.SelectService(key*0x9e3779b97f4a7c15), qt.Equals, service)
	}
	qt.Check(t, counts["z"], qt.Equals, 0)
	qt.Check(t, counts["y"] > requests/20 && counts["y"] < requests*3/20, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestMatchAllocations guards against a lookup whose cost grows with the number of routes: a lookup among 5000 routes must not
// allocate memory.
func TestMatchAllocations(t *testing.T) {
	routes := make([]route.Route, 5000)
	for i := range routes {
		routes[i] = route.Route{Name: strconv.Itoa(i), Host: "a.example", PathPrefix: "/" + strconv.Itoa(i) + "/"}
	}
	table := route.NewTable(1, routes, nil, nil, route.Limits{})
	qt.Assert(t, table.RouteCount(), qt.Equals, len(routes))
	allocations := testing.AllocsPerRun(100, func() { table.Match("a.example", "/4999/x") })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}
