package route_test

import (
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/route"
)

// table returns a table with nested prefixes on two hosts.
func table() *route.Table {
	return route.NewTable(7, []route.Route{
		{Name: "root", Host: "a.example", PathPrefix: "/"},
		{Name: "shop", Host: "A.example", PathPrefix: "/shop/"},
		{Name: "book", Host: "a.example", PathPrefix: "/shop/book/"},
		{Name: "other", Host: "b.example", PathPrefix: "/shop/"},
	}, nil, []route.Customer{{Name: "printer", APIKeys: []string{"k1", "k2"}}}, route.Limits{})
}

// TestMatch guards against a request that goes to the route of a shorter prefix, of another host, or of a prefix that
// ends in the middle of a path segment.
func TestMatch(t *testing.T) {
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
		found, ok := table().Match(c.host, c.path)
		qt.Check(t, ok, qt.Equals, c.want != "", qt.Commentf("%s%s", c.host, c.path))
		if ok {
			qt.Check(t, found.Name, qt.Equals, c.want, qt.Commentf("%s%s", c.host, c.path))
		}
	}
}

// TestCustomer guards against a request without a key that counts as a customer's.
func TestCustomer(t *testing.T) {
	for key, want := range map[string]bool{"k1": true, "k2": true, "": false, "K1": false} {
		_, found := table().CustomerByKey(key)
		qt.Check(t, found, qt.Equals, want, qt.Commentf("key %q", key))
	}
}

// TestSplit guards against parts that differ from the weights, a service without weight that gets requests, and a
// session that moves although the splits stay.
func TestSplit(t *testing.T) {
	split := route.Route{Splits: []route.Split{{Service: "x", Weight: 90}, {Service: "y", Weight: 10}, {Service: "z"}}}
	counts := make(map[string]int)
	const requests = 20_000
	for key := range uint64(requests) {
		service := split.SelectService(key * 0x9e3779b97f4a7c15)
		counts[service]++
		qt.Assert(t, split.SelectService(key*0x9e3779b97f4a7c15), qt.Equals, service)
	}
	qt.Check(t, counts["z"], qt.Equals, 0)
	qt.Check(t, counts["y"] > requests/20 && counts["y"] < requests*3/20, qt.IsTrue, qt.Commentf("%v", counts))
}

// TestMany guards against a look-up whose cost grows with the number of routes.
func TestMany(t *testing.T) {
	routes := make([]route.Route, 5000)
	for i := range routes {
		routes[i] = route.Route{Name: strconv.Itoa(i), Host: "a.example", PathPrefix: "/" + strconv.Itoa(i) + "/"}
	}
	many := route.NewTable(1, routes, nil, nil, route.Limits{})
	qt.Assert(t, many.RouteCount(), qt.Equals, len(routes))
	allocations := testing.AllocsPerRun(100, func() { many.Match("a.example", "/4999/x") })
	qt.Assert(t, allocations, qt.Equals, 0.0)
}
