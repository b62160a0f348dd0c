package e2e_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// operatorKey is the API key of the operators.
const operatorKey = "operator-key"

// router is a router process of the fleet.
type router struct {
	*process
	// operateAddress is the address of the listener that has the readiness endpoint.
	operateAddress string
}

// routerStatus holds the fields of the response of GET /v1/status that the tests use.
type routerStatus struct {
	Ready         bool
	ConfigVersion int64 `json:"config_version"`
	Peers         []struct{ Host, State string }
	Roles         []string
}

// addRouters starts routers and adds them to the host list.
func (f *fleet) addRouters(names ...string) {
	f.t.Helper()
	for _, name := range names {
		f.addRouter(name)
	}
}

// addRouter starts a router, waits until it listens, and adds it to the host list.
func (f *fleet) addRouter(name string) *router {
	f.t.Helper()
	settings := map[string]any{
		"host": name, "region": region, "zone": zone, "listen": "127.0.0.1:0", "operate": "127.0.0.1:0",
		"link": "127.0.0.1:0", "log": f.logService.address, "hosts": f.hostList.address, "log_level": "debug",
		"operator_hashes": []string{keyHash(operatorKey)},
	}
	text, err := json.Marshal(settings)
	qt.Assert(f.t, err, qt.IsNil)
	path := filepath.Join(f.t.TempDir(), name+".json")
	qt.Assert(f.t, os.WriteFile(path, text, 0o600), qt.IsNil)
	r := &router{process: startProcess(f.t, name, "chicorydale", "serve", "--settings", path)}
	var started map[string]any
	eventually(f.t, name+" starts", func() bool {
		started = r.output.findLine("message", "started")
		return started != nil
	})
	r.address, _ = started["listen"].(string)
	r.operateAddress, _ = started["operate"].(string)
	linkAddress, _ := started["link"].(string)
	f.routers = append(f.routers, r)
	f.registerHost(external.Host{
		Name: name, Role: external.RoleRouter, Region: region, Zone: zone, Address: r.address, LinkAddress: linkAddress,
	})
	return r
}

// isReady reports whether the readiness endpoint of the router returns OK.
func (r *router) isReady() bool {
	return requestJSON(http.MethodGet, r.operateAddress, "/ready", "", nil, nil) == http.StatusOK
}

// status requests the status of the router. It returns the zero value if the router does not respond.
func (r *router) status() routerStatus {
	var reported routerStatus
	requestJSON(http.MethodGet, r.address, "/v1/status", operatorKey, nil, &reported)
	return reported
}

// countUpPeers returns the number of peers that the router sees as up.
func (r *router) countUpPeers() int {
	count := 0
	for _, peer := range r.status().Peers {
		if peer.State == "up" {
			count++
		}
	}
	return count
}

// isScheduler reports whether the router is the scheduler of a pool of the model.
func (r *router) isScheduler(model string) bool {
	for _, role := range r.status().Roles {
		if strings.Contains(role, "/"+model+"/") {
			return true
		}
	}
	return false
}

// client returns a client of a customer that uses only this router and does not retry.
func (r *router) client(customer string) *client.Client {
	r.t.Helper()
	return newClient(r.t, customer, []*router{r}, client.WithMaxAttempts(1))
}
