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
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/router"
	"github.com/chicorydale/chicorydale/internal/settings"
)

const (
	operatorKey = "operator-key"
	customerKey = "customer-key"
	// conditionTimeout is the maximum time for which a test waits for a condition of the fleet; it allows for a busy machine.
	conditionTimeout = 60 * time.Second
	// conditionPollPeriod is the time between two evaluations of such a condition.
	conditionPollPeriod = 20 * time.Millisecond
)

// fleet is a set of routers in the test's process, with emulated external systems. The slices have one element per router,
// in the order in which the routers were added.
type fleet struct {
	t               *testing.T
	hosts           *hostserver.Server
	log             *logserver.Server
	service         *serviceserver.Server
	engines         map[string]*engineserver.Server
	apiURLs         []string
	operateURLs     []string
	stops           []func()
	logAddress      string
	hostListAddress string
	// logs receives the log lines of all routers.
	logs logCapture
	// wrapAdapters, if set, replaces the adapters of each router that is added.
	wrapAdapters func(router.Adapters) router.Adapters
}

// newFleet starts the external systems: the log, the host list, engines e1 and e2 of model m in availability zones a and b,
// and replica s1 of service shop. It adds no routers.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{
		t: t, hosts: hostserver.New(), log: logserver.New(), service: serviceserver.New(),
		engines: make(map[string]*engineserver.Server),
	}
	f.logAddress = f.serve(f.log)
	f.hostListAddress = f.serve(f.hosts)
	f.addEngine("e1", "a")
	f.addEngine("e2", "b")
	f.hosts.Put(external.Host{
		Name: "s1", Role: external.RoleService, Region: "r", Zone: "a", Address: f.serve(f.service), Model: "shop", Slots: 4,
	})
	return f
}

// newFleetOfTwoRouters returns a fleet with two ready routers in different availability zones.
func newFleetOfTwoRouters(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t)
	f.addTwoRouters()
	return f
}

// addTwoRouters adds two routers in different availability zones and waits until they are ready.
func (f *fleet) addTwoRouters() {
	f.t.Helper()
	f.addRouter("r1", "a")
	f.addRouter("r2", "b")
	f.waitReady(0)
	f.waitReady(1)
}

// serve runs an HTTP server on the loopback interface until the test ends and returns its IP address and port.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// addEngine starts an engine of model m with 4 slots and lists it.
func (f *fleet) addEngine(name, zone string) {
	engine := engineserver.New(4, 2*time.Millisecond)
	f.engines[name] = engine
	f.hosts.Put(external.Host{
		Name: name, Role: external.RoleEngine, Region: "r", Zone: zone, Address: f.serve(engine), Model: "m", Slots: 4,
	})
}

// addRouter starts a router, which is shut down at the end of the test, and lists it.
func (f *fleet) addRouter(name, zone string) {
	f.t.Helper()
	hash := sha256.Sum256([]byte(operatorKey))
	data := fmt.Sprintf(`{"host":%q,"region":"r","zone":%q,"listen":"127.0.0.1:0","operate":"127.0.0.1:0",
		"link":"127.0.0.1:0","log":%q,"hosts":%q,"operator_hashes":[%q]}`,
		name, zone, f.logAddress, f.hostListAddress, hex.EncodeToString(hash[:]))
	routerSettings, err := settings.Parse([]byte(data))
	qt.Assert(f.t, err, qt.IsNil)
	adapters := router.NewAdapters(routerSettings)
	if f.wrapAdapters != nil {
		adapters = f.wrapAdapters(adapters)
	}
	process := router.New(routerSettings, adapters, zerolog.New(&f.logs).With().Str("at", name).Logger())
	addresses, err := process.Listen(f.t.Context())
	qt.Assert(f.t, err, qt.IsNil)
	f.hosts.Put(external.Host{
		Name: name, Role: external.RoleRouter, Region: "r", Zone: zone, Address: addresses.Listen, LinkAddress: addresses.Link,
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- process.Run(ctx) }()
	stopped := false
	shutDown := func() {
		if !stopped {
			stopped = true
			stop()
			qt.Check(f.t, <-done, qt.IsNil)
		}
	}
	f.t.Cleanup(shutDown)
	f.stops = append(f.stops, shutDown)
	f.apiURLs = append(f.apiURLs, "http://"+addresses.Listen)
	f.operateURLs = append(f.operateURLs, "http://"+addresses.Operate)
}

// eventually waits until a condition holds and fails the test after conditionTimeout.
func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), conditionTimeout)
	defer cancel()
	ticker := time.NewTicker(conditionPollPeriod)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			f.t.Fatalf("condition not met within %v: %s", conditionTimeout, description)
		}
	}
}

// request sends a JSON request with a bearer key and returns the status and body of the response.
func (f *fleet) request(method, url, key string, body any, headers map[string]string) (int, []byte) {
	f.t.Helper()
	response := f.sendRequest(method, url, key, body, headers)
	defer response.Body.Close() //nolint:errcheck // The body has been read to its end.
	content, err := io.ReadAll(response.Body)
	qt.Assert(f.t, err, qt.IsNil)
	return response.StatusCode, content
}

// sendRequest sends a JSON request with a bearer key and returns the response, whose body the test must close.
func (f *fleet) sendRequest(method, url, key string, body any, headers map[string]string) *http.Response {
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

// waitReady waits until a router reports that it is ready.
func (f *fleet) waitReady(index int) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("router %d ready", index), func() bool {
		response, err := http.Get(f.operateURLs[index] + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// configure publishes a template, a customer and the service shop through the first router, and waits until the
// configuration is in force at all routers.
func (f *fleet) configure() {
	f.t.Helper()
	hash := sha256.Sum256([]byte(customerKey))
	change := map[string]any{
		"id": "first", "base": 0,
		"put_templates": []any{map[string]any{
			"name": "t", "weight": 1, "classes": map[string]any{
				"quick": map[string]any{"patience_ms": 1000},
				"long":  map[string]any{"patience_ms": 30000, "long": true},
			},
		}},
		"put_customers": []any{map[string]any{
			"name": "c", "template": "t", "key_hashes": []string{hex.EncodeToString(hash[:])},
		}},
		"put_services": []any{map[string]any{
			"name": "shop", "operations": map[string]bool{"stock": true, "book": false},
		}},
	}
	status, body := f.request(http.MethodPost, f.apiURLs[0]+"/v1/config/changes", operatorKey, change, nil)
	qt.Assert(f.t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	for _, url := range f.apiURLs {
		f.eventually("configuration in force at "+url, func() bool {
			_, body := f.request(http.MethodGet, url+"/v1/config", operatorKey, nil, nil)
			return strings.Contains(string(body), `"version":1`)
		})
	}
}

// sseEvent is one server-sent event.
type sseEvent struct {
	name string
	data string
}

// readEvents reads an event stream to its end.
func readEvents(t *testing.T, body io.Reader) []sseEvent {
	t.Helper()
	var events []sseEvent
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			events = append(events, sseEvent{name: name})
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			events[len(events)-1].data = data
		}
	}
	return events
}

// checkCompleteAnswer checks that events contain the complete answer, from its first token on.
func checkCompleteAnswer(t *testing.T, events []sseEvent, want transcript.Transcript) {
	t.Helper()
	qt.Assert(t, events, qt.HasLen, int(want.TokenCount())+2)
	qt.Assert(t, events[0].name, qt.Equals, "start")
	var text strings.Builder
	for i, got := range events[1 : len(events)-1] {
		var token external.Token
		qt.Assert(t, json.Unmarshal([]byte(got.data), &token), qt.IsNil)
		qt.Assert(t, token.Index, qt.Equals, int64(i))
		text.WriteString(token.Text)
	}
	qt.Assert(t, text.String(), qt.Equals, want.Text())
	last := sseEvent{name: "end", data: fmt.Sprintf(`{"tokens":%d}`, want.TokenCount())}
	qt.Assert(t, events[len(events)-1], qt.Equals, last)
}

// newIdempotencyKey returns a new key for the header Idempotency-Key.
func newIdempotencyKey(t *testing.T) string {
	t.Helper()
	key, err := uuid.NewV7()
	qt.Assert(t, err, qt.IsNil)
	return key.String()
}

// TestCallsThroughEveryRouter guards against a kind of call that fails or returns a wrong answer at some router of a fleet,
// and against a booking that runs twice if it is repeated through another router.
func TestCallsThroughEveryRouter(t *testing.T) {
	f := newFleet(t)
	for _, name := range []string{"r1", "r2", "r3"} {
		f.addRouter(name, map[string]string{"r1": "a", "r2": "a", "r3": "b"}[name])
	}
	for i := range f.apiURLs {
		f.waitReady(i)
	}
	f.configure()
	for _, url := range f.apiURLs {
		response := f.sendRequest(http.MethodPost, url+"/v1/models/m/generate", customerKey,
			map[string]any{"class": "long", "prompt": "draw a leaf", "max_tokens": 20}, nil)
		qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
		events := readEvents(t, response.Body)
		_ = response.Body.Close()
		checkCompleteAnswer(t, events, transcript.New("draw a leaf", 20))
	}
	key := newIdempotencyKey(t)
	book := func(url string) map[string]any {
		status, body := f.request(http.MethodPost, url+"/v1/services/shop/book", customerKey,
			map[string]any{"arguments": map[string]string{"item": "screen"}}, map[string]string{"Idempotency-Key": key})
		qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		var answer map[string]any
		qt.Assert(t, json.Unmarshal(body, &answer), qt.IsNil)
		return answer
	}
	first := book(f.apiURLs[0])
	qt.Assert(t, first["replayed"], qt.Equals, false)
	again := book(f.apiURLs[2])
	qt.Assert(t, again["replayed"], qt.Equals, true)
	qt.Assert(t, again["result"], qt.DeepEquals, first["result"])
	qt.Assert(t, f.service.Bookings().CountByKey[key], qt.Equals, 1)
	status, body := f.request(http.MethodPost, f.apiURLs[1]+"/v1/services/shop/stock", customerKey, map[string]any{}, nil)
	qt.Assert(t, status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
}
