package slope

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
	"github.com/chicorydale/chicorydale/internal/outside"
)

const (
	operatorKey = "slope-operator"
	model       = "writer"
	shop        = "shop"
	// readyLimit bounds the wait until all routers are ready.
	readyLimit = 60 * time.Second
	// readyPeriod is the time between looks.
	readyPeriod = 100 * time.Millisecond
	// settle is the time after which links, roles and caches are as they stay.
	settle = 4 * time.Second
	// changeSize is the number of customers that one change puts.
	changeSize = 500
)

// Size is the size of a fleet.
type Size struct {
	// Routers, Targets and Customers are numbers.
	Routers, Targets, Customers int
	// Slots is the batch size of a target.
	Slots int
	// Interval is the time between two tokens of a request.
	Interval time.Duration
}

// fleet is a running fleet.
type fleet struct {
	folder  string
	hosts   *hostserver.Server
	routers []*process
	servers []*http.Server
	log     string
	list    string
	version uint64
}

// startFleet starts outside systems and routers, publishes the customers and waits until all have them.
func startFleet(ctx context.Context, binary string, size Size) (*fleet, error) {
	folder, err := os.MkdirTemp("", "slope")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, hosts: hostserver.New(hostserver.WithLag(0))}
	if err := f.fill(ctx, binary, size); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// fill starts everything.
func (f *fleet) fill(ctx context.Context, binary string, size Size) error {
	var err error
	if f.log, err = f.serve(logserver.New()); err != nil {
		return err
	}
	if f.list, err = f.serve(f.hosts); err != nil {
		return err
	}
	for i := range size.Targets {
		address, err := f.serve(engineserver.New(size.Slots, size.Interval))
		if err != nil {
			return err
		}
		f.hosts.Put(outside.Host{
			Name: fmt.Sprintf("engine-%d", i), Role: outside.RoleEngine, Region: region(i), Zone: zone(i),
			Address: address, Model: model, Slots: size.Slots,
		})
	}
	address, err := f.serve(serviceserver.New(serviceserver.WithSlots(64)))
	if err != nil {
		return err
	}
	f.hosts.Put(outside.Host{
		Name: "shop-0", Role: outside.RoleService, Region: region(0), Zone: zone(0), Address: address, Model: shop, Slots: 64,
	})
	for i := range size.Routers {
		if err := f.startRouter(ctx, binary, i); err != nil {
			return err
		}
	}
	if err := f.awaitReady(ctx); err != nil {
		return err
	}
	return f.configure(ctx, size.Customers)
}

// zone returns the availability zone of the i-th host of a kind.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%3) }

// region returns the region of the i-th host of a kind: two of the three availability zones share one.
func region(i int) string { return fmt.Sprintf("region-%d", i%3/2) }

// serve runs a handler on loopback and returns its address.
func (f *fleet) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: startLimit}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// startRouter starts one router and lists it.
func (f *fleet) startRouter(ctx context.Context, binary string, i int) error {
	name := fmt.Sprintf("router-%d", i)
	sum := sha256.Sum256([]byte(operatorKey))
	settings := map[string]any{
		"host": name, "region": region(i), "zone": zone(i), "listen": "127.0.0.1:0", "operate": "127.0.0.1:0",
		"link": "127.0.0.1:0", "log": f.log, "hosts": f.list, "operator_hashes": []string{hex.EncodeToString(sum[:])},
	}
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(f.folder, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	started, err := startProcess(ctx, binary, path)
	if err != nil {
		return err
	}
	f.routers = append(f.routers, started)
	f.hosts.Put(outside.Host{
		Name: name, Role: outside.RoleRouter, Region: region(i), Zone: zone(i), Address: started.listen, LinkAddress: started.link,
	})
	return nil
}

// stop ends all processes and servers.
func (f *fleet) stop() {
	for _, router := range f.routers {
		_ = router.stop() // It may have ended by itself.
	}
	for _, server := range f.servers {
		_ = server.Close() // Nothing is left to answer.
	}
	_ = os.RemoveAll(f.folder) // The system removes what is left.
}

// awaitReady waits until every router takes requests.
func (f *fleet) awaitReady(ctx context.Context) error {
	return f.await(ctx, "ready routers", func(router *process) bool {
		status, _, err := f.request(ctx, http.MethodGet, "http://"+router.operate+"/ready", nil)
		return err == nil && status == http.StatusOK
	})
}

// await waits until a condition holds for every router.
func (f *fleet) await(ctx context.Context, what string, holds func(*process) bool) error {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(readyLimit))
	defer cancel()
	ticker := time.NewTicker(readyPeriod)
	defer ticker.Stop()
	for _, router := range f.routers {
		for !holds(router) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return errors.New("not in time: " + what)
			}
		}
	}
	return nil
}

// request sends one operator's request.
func (f *fleet) request(ctx context.Context, method, url string, body any) (int, []byte, error) {
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

// customerKey returns the key of a customer.
func customerKey(i int) string { return fmt.Sprintf("slope-customer-%d", i) }

// configure publishes a template, the service and the customers, and waits until all routers have them.
func (f *fleet) configure(ctx context.Context, customers int) error {
	first := config.Change{
		ID: "template",
		PutTemplates: []config.Template{{
			Name: "usual", Weight: 1, Limits: config.Limits{Waiting: 10000, Connections: 10000},
			Classes: map[string]config.Class{"quick": {PatienceMs: 1300}, "long": {PatienceMs: 30000, Long: true}},
		}},
		PutServices: []config.Service{{Name: shop, Operations: map[string]bool{"stock": true, "book": false}}},
	}
	if err := f.publish(ctx, first); err != nil {
		return err
	}
	for from := 0; from < customers; from += changeSize {
		change := config.Change{ID: fmt.Sprintf("customers-%d", from)}
		for i := from; i < min(customers, from+changeSize); i++ {
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

// publish publishes a change on the current version through the first router.
func (f *fleet) publish(ctx context.Context, change config.Change) error {
	change.Base = f.version
	status, body, err := f.request(ctx, http.MethodPost, "http://"+f.routers[0].listen+"/v1/config/changes", change)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("change %s was refused: %s", change.ID, body)
	}
	f.version++
	return nil
}

// awaitVersion waits until all routers have the newest configuration.
func (f *fleet) awaitVersion(ctx context.Context) error {
	want := fmt.Sprintf(`"config_version":%d`, f.version)
	return f.await(ctx, want, func(router *process) bool {
		_, body, err := f.request(ctx, http.MethodGet, "http://"+router.listen+"/v1/status", nil)
		return err == nil && strings.Contains(string(body), want)
	})
}

// samples reads the cost of all routers.
func (f *fleet) samples(ctx context.Context) ([]sample, error) {
	all := make([]sample, 0, len(f.routers))
	for _, router := range f.routers {
		read, err := router.sample(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, read)
	}
	return all, nil
}

// entries returns the callers' addresses of all routers.
func (f *fleet) entries() []string {
	addresses := make([]string, 0, len(f.routers))
	for _, router := range f.routers {
		addresses = append(addresses, router.listen)
	}
	return addresses
}

// appends returns the number of records in the claim streams.
func (f *fleet) appends(ctx context.Context, read outside.Log, streams []string) (uint64, error) {
	var total uint64
	for _, stream := range streams {
		page, err := read.Read(ctx, stream, 0, time.Now())
		if err != nil {
			return 0, err
		}
		total += page.EndOffset
	}
	return total, nil
}
