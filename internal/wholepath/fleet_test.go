package wholepath_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/pkg/client"
)

const (
	// region and zone hold all hosts.
	region, zone = "home", "a"
	// alpha and beta are the two customers.
	alpha, beta = "alpha", "beta"
	// fleetLimit is the number of fleets at the same time, so that the processes stay few.
	fleetLimit = 2
)

// permits bounds the number of fleets at the same time.
var permits = make(chan struct{}, fleetLimit)

// fleet is a set of routers with emulated outside systems, each a process.
type fleet struct {
	t        *testing.T
	log      *process
	hosts    *process
	engines  map[string]*process
	services []*process
	routers  []*router
	limits   map[string]any
}

// newFleet starts a log service and a host list.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	permits <- struct{}{}
	t.Cleanup(func() { <-permits })
	return &fleet{
		t: t, log: emulate(t, "log", "log"), hosts: emulate(t, "hosts", "hosts", "--lag", "0s"),
		engines: make(map[string]*process),
	}
}

// addEngine starts an engine of model m.
func (f *fleet) addEngine(name string, flags ...string) {
	f.t.Helper()
	args := append([]string{"engine", "--hosts", f.hosts.address, "--region", region, "--zone", zone, "--model", "m"}, flags...)
	f.engines[name] = emulate(f.t, name, args...)
}

// addService starts a replica of the service shop.
func (f *fleet) addService(name string, flags ...string) {
	f.t.Helper()
	args := append([]string{"service", "--hosts", f.hosts.address, "--region", region, "--zone", zone, "--model", "shop"}, flags...)
	f.services = append(f.services, emulate(f.t, name, args...))
}

// list puts an entry into the host list.
func (f *fleet) list(host outside.Host) {
	f.t.Helper()
	status := exchange(http.MethodPut, f.hosts.address, "/hosts/"+host.Name, "", host, nil)
	qt.Assert(f.t, status, qt.Equals, http.StatusNoContent)
}

// settle publishes the first configuration and waits until all routers know it, each other and the targets.
func (f *fleet) settle() {
	f.t.Helper()
	for _, each := range f.routers {
		eventually(f.t, each.name+" is ready", each.ready)
	}
	var answer map[string]any
	status := exchange(http.MethodPost, f.routers[0].address, "/v1/config/changes", operatorKey, f.firstChange(), &answer)
	qt.Assert(f.t, status, qt.Equals, http.StatusOK, qt.Commentf("%v", answer))
	for _, each := range f.routers {
		eventually(f.t, each.name+" sees the whole fleet", func() bool {
			var targets []struct{ Name string }
			exchange(http.MethodGet, each.address, "/v1/targets", operatorKey, nil, &targets)
			return len(targets) == len(f.engines)+len(f.services) && each.up() == len(f.routers)-1 &&
				each.status().ConfigVersion == 1
		})
	}
}

// firstChange returns a change with two customers of one template and one service.
func (f *fleet) firstChange() map[string]any {
	customers := make([]any, 0, 2)
	for _, name := range []string{alpha, beta} {
		customers = append(customers, map[string]any{
			"name": name, "template": "small", "key_hashes": []string{keyHash(name + "-key")},
		})
	}
	template := map[string]any{
		"name": "small", "weight": 1,
		"classes": map[string]any{
			"quick": map[string]any{"patience_ms": 1300},
			"long":  map[string]any{"patience_ms": 30000, "long": true},
		},
	}
	if f.limits != nil {
		template["limits"] = f.limits
	}
	return map[string]any{
		"id": "first", "base": 0, "put_templates": []any{template}, "put_customers": customers,
		"put_services": []any{map[string]any{"name": "shop", "operations": map[string]bool{"stock": true, "book": false}}},
	}
}

// counts returns how often each key ran at all replicas of the service.
func (f *fleet) counts() map[string]int {
	f.t.Helper()
	sum := make(map[string]int)
	for _, each := range f.services {
		var bookings serviceserver.BookingList
		status := exchange(http.MethodGet, each.address, "/bookings", "", nil, &bookings)
		qt.Assert(f.t, status, qt.Equals, http.StatusOK)
		for key, count := range bookings.CountByKey {
			sum[key] += count
		}
	}
	return sum
}

// load returns the load report of a target.
func load(t *testing.T, target *process) outside.LoadReport {
	t.Helper()
	var told outside.LoadReport
	status := exchange(http.MethodGet, target.address, "/load", "", nil, &told)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	return told
}

// idle tells whether a target reports that nothing runs or waits there.
func idle(t *testing.T, target *process) bool {
	t.Helper()
	told := load(t, target)
	return told.Running+told.Queued == 0
}

// inject sets the fault of an emulated system.
func inject(t *testing.T, system *process, wanted fault.Fault) {
	t.Helper()
	status := exchange(http.MethodPost, system.address, "/faults", "", wanted, nil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

// newClient returns a client of a customer that uses routers in turn, the first one first.
func newClient(t *testing.T, customer string, routers []*router, options ...client.Option) *client.Client {
	t.Helper()
	addresses := make([]string, 0, len(routers))
	for _, each := range routers {
		addresses = append(addresses, each.address)
	}
	made, err := client.New(addresses, customer+"-key", options...)
	qt.Assert(t, err, qt.IsNil)
	return made
}

// newKey returns an idempotency key.
func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	return key.String()
}

// keyHash returns the hash of a key for the configuration.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
