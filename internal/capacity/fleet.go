package capacity

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/emulator/engineserver"
	"github.com/chicorydale/chicorydale/internal/emulator/hostserver"
	"github.com/chicorydale/chicorydale/internal/emulator/logserver"
	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
	"github.com/chicorydale/chicorydale/internal/external"
)

const (
	operatorKey = "slope-operator"
	modelName   = "writer"
	serviceName = "shop"
	// readyTimeout bounds the wait until all routers meet a condition.
	readyTimeout = 60 * time.Second
	// pollPeriod is the time between two checks of the condition.
	pollPeriod = 100 * time.Millisecond
	// settleTime is the time after which links, roles and caches have reached their steady state.
	settleTime = 4 * time.Second
	// customersPerChange is the number of customers that one configuration change adds.
	customersPerChange = 500
)

// Size is the size of a fleet and the speed of its targets.
type Size struct {
	// Routers, Targets and Customers are the numbers of each; one service replica comes on top.
	Routers, Targets, Customers int
	// Slots is the batch size of a target.
	Slots int
	// TokenInterval is the time between two output tokens of a request.
	TokenInterval time.Duration
}

// fleet is a running fleet: router processes, and the systems outside of them as servers of this process.
type fleet struct {
	dir             string
	hostServer      *hostserver.Server
	routers         []*routerProcess
	servers         []*http.Server
	logAddress      string
	hostListAddress string
	configVersion   uint64
}

// startFleet starts the emulated systems and the routers, publishes the customers and waits until all routers have them.
// The caller stops the fleet.
func startFleet(ctx context.Context, binary string, size Size) (*fleet, error) {
	dir, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, hostServer: hostserver.New(hostserver.WithLag(0))}
	if err := f.start(ctx, binary, size); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// start starts the servers and routers and publishes the configuration.
func (f *fleet) start(ctx context.Context, binary string, size Size) error {
	var err error
	if f.logAddress, err = f.startServer(logserver.New()); err != nil {
		return err
	}
	if f.hostListAddress, err = f.startServer(f.hostServer); err != nil {
		return err
	}
	for i := range size.Targets {
		address, err := f.startServer(engineserver.New(size.Slots, size.TokenInterval))
		if err != nil {
			return err
		}
		f.hostServer.Put(external.Host{
			Name: fmt.Sprintf("engine-%d", i), Role: external.RoleEngine, Region: regionName(i), Zone: zoneName(i),
			Address: address, Model: modelName, Slots: size.Slots,
		})
	}
	address, err := f.startServer(serviceserver.New(serviceserver.WithSlots(64)))
	if err != nil {
		return err
	}
	f.hostServer.Put(external.Host{
		Name: "shop-0", Role: external.RoleService, Region: regionName(0), Zone: zoneName(0), Address: address,
		Model: serviceName, Slots: 64,
	})
	for i := range size.Routers {
		if err := f.startRouter(ctx, binary, i); err != nil {
			return err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	return f.publishConfiguration(ctx, size.Customers)
}

// zoneName returns the availability zone of the i-th host of a role.
func zoneName(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// regionName returns the region of the i-th host of a role. Two of the three availability zones share a region.
func regionName(i int) string { return fmt.Sprintf("region-%d", i%3/2) }

// startServer serves a handler on a loopback address and returns that address.
func (f *fleet) startServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startTimeout}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startRouter starts the i-th router and adds it to the host list.
func (f *fleet) startRouter(ctx context.Context, binary string, i int) error {
	name := fmt.Sprintf("router-%d", i)
	sum := sha256.Sum256([]byte(operatorKey))
	settings := map[string]any{
		"host": name, "region": regionName(i), "zone": zoneName(i), "listen": "127.0.0.1:0", "operate": "127.0.0.1:0",
		"link": "127.0.0.1:0", "log": f.logAddress, "hosts": f.hostListAddress,
		"operator_hashes": []string{hex.EncodeToString(sum[:])},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	started, err := startProcess(ctx, binary, path)
	if err != nil {
		return err
	}
	f.routers = append(f.routers, started)
	f.hostServer.Put(external.Host{
		Name: name, Role: external.RoleRouter, Region: regionName(i), Zone: zoneName(i), Address: started.listenAddress,
		LinkAddress: started.linkAddress,
	})
	return nil
}

// stop ends all routers and servers and removes the fleet's directory.
func (f *fleet) stop() {
	for _, router := range f.routers {
		_ = router.stop() // The process may have ended by itself.
	}
	for _, server := range f.servers {
		_ = server.Close() // No request is in progress any more.
	}
	_ = os.RemoveAll(f.dir) // A temporary directory that is left is harmless.
}

// awaitReady waits until every router reports that it is ready for requests.
func (f *fleet) awaitReady(ctx context.Context) error {
	return f.awaitRouters(ctx, "ready for requests", func(router *routerProcess) bool {
		status, _, err := f.sendOperatorRequest(ctx, http.MethodGet, "http://"+router.operateAddress+"/ready", nil)
		return err == nil && status == http.StatusOK
	})
}

// awaitRouters waits until holds returns true for every router; condition describes it in the error.
func (f *fleet) awaitRouters(ctx context.Context, condition string, holds func(*routerProcess) bool) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readyTimeout))
	defer cancel()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for _, router := range f.routers {
		for !holds(router) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return errors.New("not all routers reported in time: " + condition)
			}
		}
	}
	return nil
}

// sendOperatorRequest sends a request with the operator's key and a JSON body, and returns the status and the body of
// the response.
func (f *fleet) sendOperatorRequest(ctx context.Context, method, url string, body any) (int, []byte, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close() //nolint:errcheck // The body is read to its end.
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, content, err
}

// customerKey returns the API key of a customer.
func customerKey(i int) string { return fmt.Sprintf("slope-customer-%d", i) }

// publishConfiguration publishes a template, the service and the customers, and waits until all routers have them.
func (f *fleet) publishConfiguration(ctx context.Context, customers int) error {
	first := config.Change{
		ID: "template",
		PutTemplates: []config.Template{{
			Name: "usual", Weight: 1, Limits: config.Limits{Waiting: 10000, Connections: 10000},
			Classes: map[string]config.Class{"quick": {PatienceMs: 1300}, "long": {PatienceMs: 30000, Long: true}},
		}},
		PutServices: []config.Service{{Name: serviceName, Operations: map[string]bool{"stock": true, "book": false}}},
	}
	if err := f.publish(ctx, first); err != nil {
		return err
	}
	for from := 0; from < customers; from += customersPerChange {
		change := config.Change{ID: fmt.Sprintf("customers-%d", from)}
		for i := from; i < min(customers, from+customersPerChange); i++ {
			sum := sha256.Sum256([]byte(customerKey(i)))
			change.PutCustomers = append(change.PutCustomers, config.Customer{
				Name: fmt.Sprintf("customer-%d", i), Template: "usual", KeyHashes: []string{hex.EncodeToString(sum[:])},
			})
		}
		if err := f.publish(ctx, change); err != nil {
			return err
		}
	}
	return f.awaitVersion(ctx)
}

// publish publishes a change to the current version through the first router.
func (f *fleet) publish(ctx context.Context, change config.Change) error {
	change.Base = f.configVersion
	status, body, err := f.sendOperatorRequest(
		ctx, http.MethodPost, "http://"+f.routers[0].listenAddress+"/v1/config/changes", change,
	)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("change %s was refused: %s", change.ID, body)
	}
	f.configVersion++
	return nil
}

// awaitVersion waits until all routers have the current configuration.
func (f *fleet) awaitVersion(ctx context.Context) error {
	want := fmt.Sprintf(`"config_version":%d`, f.configVersion)
	return f.awaitRouters(ctx, want, func(router *routerProcess) bool {
		_, body, err := f.sendOperatorRequest(ctx, http.MethodGet, "http://"+router.listenAddress+"/v1/status", nil)
		return err == nil && strings.Contains(string(body), want)
	})
}

// sampleRouters reads the resource use of all routers.
func (f *fleet) sampleRouters(ctx context.Context) ([]resourceSample, error) {
	samples := make([]resourceSample, 0, len(f.routers))
	for _, router := range f.routers {
		usage, err := router.readSample(ctx)
		if err != nil {
			return nil, err
		}
		samples = append(samples, usage)
	}
	return samples, nil
}

// listenAddresses returns the addresses at which the routers take calls.
func (f *fleet) listenAddresses() []string {
	addresses := make([]string, 0, len(f.routers))
	for _, router := range f.routers {
		addresses = append(addresses, router.listenAddress)
	}
	return addresses
}

// countRecords returns the total number of records in the given log streams.
func (f *fleet) countRecords(ctx context.Context, logService external.Log, streams []string) (uint64, error) {
	var total uint64
	for _, stream := range streams {
		page, err := logService.Read(ctx, stream, 0, time.Now())
		if err != nil {
			return 0, err
		}
		total += page.EndOffset
	}
	return total, nil
}
