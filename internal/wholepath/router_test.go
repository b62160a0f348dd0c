package wholepath_test

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	qt "github.com/frankban/quicktest"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// operatorKey is the key of the operators' API.
const operatorKey = "operator-key"

// router is a process of the fleet.
type router struct {
	*process
	operate string
}

// status is a part of the answer of GET /v1/status.
type status struct {
	Ready         bool
	ConfigVersion int64 `json:"config_version"`
	Peers         []struct{ Host, State string }
	Roles         []string
}

// addRouters starts routers and lists them.
func (f *fleet) addRouters(names ...string) {
	f.t.Helper()
	for _, name := range names {
		f.addRouter(name)
	}
}

// addRouter starts a router and lists it.
func (f *fleet) addRouter(name string) *router {
	f.t.Helper()
	settings := map[string]any{
		"host": name, "region": region, "zone": zone, "listen": "127.0.0.1:0", "operate": "127.0.0.1:0",
		"link": "127.0.0.1:0", "log": f.log.address, "hosts": f.hosts.address, "log_level": "debug",
		"operator_hashes": []string{keyHash(operatorKey)},
	}
	text, err := json.Marshal(settings)
	qt.Assert(f.t, err, qt.IsNil)
	path := filepath.Join(f.t.TempDir(), name+".json")
	qt.Assert(f.t, os.WriteFile(path, text, 0o600), qt.IsNil)
	added := &router{process: start(f.t, name, "chicorydale", "serve", "--settings", path)}
	var started map[string]any
	eventually(f.t, name+" starts", func() bool {
		started = added.output.find("message", "started")
		return started != nil
	})
	added.address, _ = started["listen"].(string)
	added.operate, _ = started["operate"].(string)
	linked, _ := started["link"].(string)
	f.routers = append(f.routers, added)
	f.list(outside.Host{
		Name: name, Role: outside.RoleRouter, Region: region, Zone: zone, Address: added.address, LinkAddress: linked,
	})
	return added
}

// ready tells whether the router accepts requests.
func (r *router) ready() bool {
	return exchange(http.MethodGet, r.operate, "/ready", "", nil, nil) == http.StatusOK
}

// status returns what the router says of itself, the zero value if it does not answer.
func (r *router) status() status {
	var told status
	exchange(http.MethodGet, r.address, "/v1/status", operatorKey, nil, &told)
	return told
}

// up returns how many peers the router sees as up.
func (r *router) up() int {
	count := 0
	for _, peer := range r.status().Peers {
		if peer.State == "up" {
			count++
		}
	}
	return count
}

// schedules tells whether the router has the scheduler role of a pool of a model.
func (r *router) schedules(model string) bool {
	for _, role := range r.status().Roles {
		if strings.Contains(role, "/"+model+"/") {
			return true
		}
	}
	return false
}

// client returns a client of a customer that uses only this router and tries once.
func (r *router) client(customer string) *client.Client {
	r.t.Helper()
	return newClient(r.t, customer, []*router{r}, client.WithMaxAttempts(1))
}
