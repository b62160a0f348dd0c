package router_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/emulator/engineserver"
	"github.com/chicorydale/chicorydale/internal/emulator/hostserver"
	"github.com/chicorydale/chicorydale/internal/emulator/logserver"
	"github.com/chicorydale/chicorydale/internal/emulator/serviceserver"
	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/router"
	"github.com/chicorydale/chicorydale/internal/settings"
)

const (
	operatorKey = "operator-key"
	customerKey = "customer-key"
	// fleetLimit bounds the wait for one condition of a whole fleet on a busy machine.
	fleetLimit = 60 * time.Second
	// checkPeriod is the time between looks at such a condition.
	checkPeriod = 20 * time.Millisecond
)

// fleet is a set of routers in one process with emulated outside systems.
type fleet struct {
	t       *testing.T
	hosts   *hostserver.Server
	log     *logserver.Server
	service *serviceserver.Server
	engines map[string]*engineserver.Server
	urls    []string
	operate []string
	stops   []func()
	logURL  string
	hostURL string
	// events is the log of all routers.
	events journal
	// wrap changes the adapters of the routers that are added after it was set.
	wrap func(router.Adapters) router.Adapters
}

// newFleet starts the outside systems: engines e1 and e2 of model m in zones a and b, and replica s1 of service shop.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t: t, hosts: hostserver.New(), log: logserver.New(), service: serviceserver.New(),
		engines: make(map[string]*engineserver.Server),
	}
	f.logURL = f.serve(f.log)
	f.hostURL = f.serve(f.hosts)
	f.addEngine("e1", "a")
	f.addEngine("e2", "b")
	f.hosts.Put(outside.Host{
		Name: "s1", Role: outside.RoleService, Region: "r", Zone: "a", Address: f.serve(f.service), Model: "shop", Slots: 4,
	})
	return f
}

// newPair returns a fleet with two ready routers in different availability zones.
func newPair(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addPair()
	return f
}

// addPair adds two routers in different availability zones and waits until they are ready.
func (f *fleet) addPair() {
	f.t.Helper()
	f.addRouter("r1", "a")
	f.addRouter("r2", "b")
	f.ready(0)
	f.ready(1)
}

// serve runs a handler on loopback and returns its address.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// addEngine starts an engine of model m.
func (f *fleet) addEngine(name, zone string) {
	engine := engineserver.New(4, 2*time.Millisecond)
	f.engines[name] = engine
	f.hosts.Put(outside.Host{
		Name: name, Role: outside.RoleEngine, Region: "r", Zone: zone, Address: f.serve(engine), Model: "m", Slots: 4,
	})
}

// addRouter starts a router.
func (f *fleet) addRouter(name, zone string) {
	f.t.Helper()
	sum := sha256.Sum256([]byte(operatorKey))
	data := fmt.Sprintf(`{"host":%q,"region":"r","zone":%q,"listen":"127.0.0.1:0","operate":"127.0.0.1:0",
		"link":"127.0.0.1:0","log":%q,"hosts":%q,"operator_hashes":[%q]}`,
		name, zone, f.logURL, f.hostURL, hex.EncodeToString(sum[:]))
	parsed, err := settings.Parse([]byte(data))
	qt.Assert(f.t, err, qt.IsNil)
	adapters := router.NewAdapters(parsed)
	if f.wrap != nil {
		adapters = f.wrap(adapters)
	}
	process := router.New(parsed, adapters, zerolog.New(&f.events).With().Str("at", name).Logger())
	addresses, err := process.Listen(f.t.Context())
	qt.Assert(f.t, err, qt.IsNil)
	f.hosts.Put(outside.Host{
		Name: name, Role: outside.RoleRouter, Region: "r", Zone: zone, Address: addresses.Listen, LinkAddress: addresses.Link,
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	halted := false
	halt := func() {
		if !halted {
			halted = true
			stop()
			qt.Check(f.t, <-done, qt.IsNil)
		}
	}
	f.t.Cleanup(halt)
	f.stops = append(f.stops, halt)
	f.urls = append(f.urls, "http://"+addresses.Listen)
	f.operate = append(f.operate, "http://"+addresses.Operate)
}

// eventually waits for a condition.
func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), fleetLimit)
	defer cancel()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			f.t.Fatalf("not in time: %s", what)
		}
	}
}

// do sends a request with a key and returns status and body.
func (f *fleet) do(method, url, key string, body any, headers map[string]string) (int, []byte) {
	f.t.Helper()
	response := f.open(method, url, key, body, headers)
	defer response.Body.Close() //nolint:errcheck // The body has been read to its end.
	content, err := io.ReadAll(response.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return response.StatusCode, content
}

// open sends a request with a key.
func (f *fleet) open(method, url, key string, body any, headers map[string]string) *http.Response {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	qt.Assert(f.t, err, qt.IsNil)
	request, err := http.NewRequestWithContext(f.t.Context(), method, url, bytes.NewReader(encoded))
	qt.Assert(f.t, err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	qt.Assert(f.t, err, qt.IsNil)
	return response
}

// ready waits until a router takes requests of the configured customer.
func (f *fleet) ready(index int) {
	f.t.Helper()
	f.eventually("router ready", func() bool {
		response, err := http.Get(f.operate[index] + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// configure publishes a template, a customer and the service through the first router, and waits until all have it.
func (f *fleet) configure() {
	f.t.Helper()
	sum := sha256.Sum256([]byte(customerKey))
	change := map[string]any{
		"id": "first", "base": 0,
		"put_templates": []any{map[string]any{
			"name": "t", "weight": 1, "classes": map[string]any{
				"quick": map[string]any{"patience_ms": 1000},
				"long":  map[string]any{"patience_ms": 30000, "long": true},
			},
		}},
		"put_customers": []any{map[string]any{
			"name": "c", "template": "t", "key_hashes": []string{hex.EncodeToString(sum[:])},
		}},
		"put_services": []any{map[string]any{
			"name": "shop", "operations": map[string]bool{"stock": true, "book": false},
		}},
	}
	status, body := f.do(http.MethodPost, f.urls[0]+"/v1/config/changes", operatorKey, change, nil)
	qt.Assert(f.t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	for _, url := range f.urls {
		f.eventually("configuration in force", func() bool {
			_, body := f.do(http.MethodGet, url+"/v1/config", operatorKey, nil, nil)
			return strings.Contains(string(body), `"version":1`)
		})
	}
}

// streamed is one server-sent event.
type streamed struct {
	name string
	data string
}

// readEvents reads an event stream to its end.
func readEvents(t *testing.T, body io.Reader) []streamed {
	t.Helper()
	var events []streamed
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			events = append(events, streamed{name: name})
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			events[len(events)-1].data = data
		}
	}
	return events
}

// wantWhole checks that events are the whole answer, from its first token on.
func wantWhole(t *testing.T, events []streamed, want transcript.Transcript) {
	t.Helper()
	qt.Assert(t, events, qt.HasLen, int(want.TokenCount())+2)
	qt.Assert(t, events[0].name, qt.Equals, "start")
	var text strings.Builder
	for i, got := range events[1 : len(events)-1] {
		var token outside.Token
		qt.Assert(t, json.Unmarshal([]byte(got.data), &token), qt.IsNil)
		qt.Assert(t, token.Index, qt.Equals, int64(i))
		text.WriteString(token.Text)
	}
	qt.Assert(t, text.String(), qt.Equals, want.Text())
	last := streamed{name: "end", data: fmt.Sprintf(`{"tokens":%d}`, want.TokenCount())}
	qt.Assert(t, events[len(events)-1], qt.Equals, last)
}

// newKey returns an idempotency key.
func newKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	return key.String()
}

// TestWholePath guards the path of each kind of call from an entry host to a target and back.
func TestWholePath(t *testing.T) {
	f := newFleet(t)
	for _, name := range []string{"r1", "r2", "r3"} {
		f.addRouter(name, map[string]string{"r1": "a", "r2": "a", "r3": "b"}[name])
	}
	for i := range f.urls {
		f.ready(i)
	}
	f.configure()
	for _, url := range f.urls {
		response := f.open(http.MethodPost, url+"/v1/models/m/generate", customerKey,
			map[string]any{"class": "long", "prompt": "draw a leaf", "max_tokens": 20}, nil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
		events := readEvents(t, response.Body)
		_ = response.Body.Close()
		wantWhole(t, events, transcript.New("draw a leaf", 20))
	}
	key := newKey(t)
	book := func(url string) map[string]any {
		status, body := f.do(http.MethodPost, url+"/v1/services/shop/book", customerKey,
			map[string]any{"arguments": map[string]string{"item": "screen"}}, map[string]string{"Idempotency-Key": key})
		qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		var answer map[string]any
		qt.Assert(t, json.Unmarshal(body, &answer), qt.IsNil)
		return answer
	}
	first := book(f.urls[0])
	qt.Assert(t, first["replayed"], qt.Equals, false)
	again := book(f.urls[2])
	qt.Assert(t, again["replayed"], qt.Equals, true)
	qt.Assert(t, again["result"], qt.DeepEquals, first["result"])
	qt.Assert(t, f.service.Bookings().CountByKey[key], qt.Equals, 1)
	status, body := f.do(http.MethodPost, f.urls[1]+"/v1/services/shop/stock", customerKey, map[string]any{}, nil)
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}
