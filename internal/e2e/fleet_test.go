package e2e_test

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/chicorydale/chicorydale/internal/emulator/fault"
	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/pkg/client"
)

const (
	// region and zone are the region and availability zone of all hosts and targets.
	region, zone = "home", "a"
	// customerAlpha and customerBeta are the customers of the initial configuration.
	customerAlpha, customerBeta = "alpha", "beta"
	// maxConcurrentFleets is the number of fleets that may run at the same time; it limits the number of processes.
	maxConcurrentFleets = 2
)

// fleetSemaphore has one element for each running fleet; newFleet blocks while it is full.
var fleetSemaphore = make(chan struct{}, maxConcurrentFleets)

// fleet is a set of routers with emulated external systems, each in a process of its own.
type fleet struct {
	t          *testing.T
	logService *process
	hostList   *process
	// engines has the engines by name.
	engines map[string]*process
	// replicas are the replicas of the service shop.
	replicas []*process
	routers  []*router
	// customerLimits are the limits in the customers' template; nil means the defaults. Set it before publishInitialConfig.
	customerLimits map[string]any
}

// newFleet starts a log service and a host list. It first waits until fewer than maxConcurrentFleets fleets are running.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	fleetSemaphore <- struct{}{}
	t.Cleanup(func() { <-fleetSemaphore })
	return &fleet{
		t: t, logService: startEmulator(t, "log", "log"), hostList: startEmulator(t, "hosts", "hosts", "--lag", "0s"),
		engines: make(map[string]*process),
	}
}

// addEngine starts an engine that serves model m, with additional emulator flags.
func (f *fleet) addEngine(name string, flags ...string) {
	f.t.Helper()
	args := append([]string{"engine", "--hosts", f.hostList.address, "--region", region, "--zone", zone, "--model", "m"}, flags...)
	f.engines[name] = startEmulator(f.t, name, args...)
}

// addReplica starts a replica of the service shop, with additional emulator flags.
func (f *fleet) addReplica(name string, flags ...string) {
	f.t.Helper()
	args := append([]string{"service", "--hosts", f.hostList.address, "--region", region, "--zone", zone, "--model", "shop"}, flags...)
	f.replicas = append(f.replicas, startEmulator(f.t, name, args...))
}

// registerHost adds or replaces the host's entry in the host list.
func (f *fleet) registerHost(host external.Host) {
	f.t.Helper()
	status := requestJSON(http.MethodPut, f.hostList.address, "/hosts/"+host.Name, "", host, nil)
	qt.Assert(f.t, status, qt.Equals, http.StatusNoContent)
}

// publishInitialConfig waits until all routers are ready, publishes the initial configuration, and waits until every router has
// it, knows all targets and sees all other routers as up.
func (f *fleet) publishInitialConfig() {
	f.t.Helper()
	for _, r := range f.routers {
		eventually(f.t, r.name+" is ready", r.isReady)
	}
	var response map[string]any
	status := requestJSON(http.MethodPost, f.routers[0].address, "/v1/config/changes", operatorKey, f.initialConfigChange(), &response)
	qt.Assert(f.t, status, qt.Equals, http.StatusOK, qt.Commentf("%v", response))
	for _, r := range f.routers {
		eventually(f.t, r.name+" knows the configuration, all routers and all targets", func() bool {
			var targets []struct{ Name string }
			requestJSON(http.MethodGet, r.address, "/v1/targets", operatorKey, nil, &targets)
			return len(targets) == len(f.engines)+len(f.replicas) && r.countUpPeers() == len(f.routers)-1 &&
				r.status().ConfigVersion == 1
		})
	}
}

// initialConfigChange returns a change that creates both customers, their template with the limits of the fleet, and one service.
func (f *fleet) initialConfigChange() map[string]any {
	customers := make([]any, 0, 2)
	for _, name := range []string{customerAlpha, customerBeta} {
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
	if f.customerLimits != nil {
		template["limits"] = f.customerLimits
	}
	return map[string]any{
		"id": "first", "base": 0, "put_templates": []any{template}, "put_customers": customers,
		"put_services": []any{map[string]any{"name": "shop", "operations": map[string]bool{"stock": true, "book": false}}},
	}
}

// runCounts returns, for each idempotency key, the total number of bookings that the replicas ran.
func (f *fleet) runCounts() map[string]int {
	f.t.Helper()
	total := make(map[string]int)
	for _, replica := range f.replicas {
		var bookings serviceserver.BookingList
		status := requestJSON(http.MethodGet, replica.address, "/bookings", "", nil, &bookings)
		qt.Assert(f.t, status, qt.Equals, http.StatusOK)
		for key, count := range bookings.CountByKey {
			total[key] += count
		}
	}
	return total
}

// fetchLoad requests the load report of a target.
func fetchLoad(t *testing.T, target *process) external.LoadReport {
	t.Helper()
	var report external.LoadReport
	status := requestJSON(http.MethodGet, target.address, "/load", "", nil, &report)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	return report
}

// isIdle reports whether a target has neither running nor queued requests.
func isIdle(t *testing.T, target *process) bool {
	t.Helper()
	report := fetchLoad(t, target)
	return report.Running+report.Queued == 0
}

// injectFault sets the fault of an emulated system; the zero Fault clears it.
func injectFault(t *testing.T, system *process, injected fault.Fault) {
	t.Helper()
	status := requestJSON(http.MethodPost, system.address, "/faults", "", injected, nil)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

// newClient returns a client of a customer that uses the routers in turn, starting with the first one.
func newClient(t *testing.T, customer string, routers []*router, options ...client.Option) *client.Client {
	t.Helper()
	addresses := make([]string, 0, len(routers))
	for _, r := range routers {
		addresses = append(addresses, r.address)
	}
	c, err := client.New(addresses, customer+"-key", options...)
	qt.Assert(t, err, qt.IsNil)
	return c
}

// newIdempotencyKey returns a new idempotency key, a version 7 UUID.
func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	return key.String()
}

// keyHash returns the hex-encoded SHA-256 hash of an API key, as the configuration and the settings have it.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
