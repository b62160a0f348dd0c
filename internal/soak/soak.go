package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/storeserver"
	"github.com/chicorydale/chicorydale/internal/emulator/targetserver"
)

const (
	apiKey = "k1"

	bookPath, streamPath, lookPath, resumePath = "/book/", "/stream/", "/look/", "/resume/"
	// targetsPerService is the number of targets of each service, slots the number of requests that each runs at the same time.
	targetsPerService, slots = 3, 16
	streamEvents             = 10
	eventInterval            = 5 * time.Millisecond
	// callersPerRouter is the number of callers that use a router at the same time.
	callersPerRouter = 4
	// modeInterval is the time between changes of the modes of targets.
	modeInterval = 50 * time.Millisecond
)

// configuration has a route of each kind.
const configuration = `{"version":1,"routes":[
	{"name":"stream","host":"h","path_prefix":"/stream/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,"service":"model","max_attempts":1},
	{"name":"resume","host":"h","path_prefix":"/resume/","kind":"streaming","timeout_ms":3000,"target_latency_ms":500,"service":"model",
	 "max_attempts":2,"resume_streams":true},
	{"name":"book","host":"h","path_prefix":"/book/","kind":"unsafe","timeout_ms":3000,"target_latency_ms":200,"service":"shop","max_attempts":2},
	{"name":"look","host":"h","path_prefix":"/look/","kind":"safe","timeout_ms":3000,"target_latency_ms":200,"service":"shop","max_attempts":2}],
	"services":[],"limits":{"max_body_bytes":4096,"idle_timeout_ms":15000},"tenants":[{"name":"desk","api_keys":["` + apiKey + `"]}]}`

// modes are the modes that targets draw.
var modes = []targetserver.Mode{
	targetserver.Normal, targetserver.Normal, targetserver.Normal, targetserver.Refusing, targetserver.Failing, targetserver.ClosingConnection,
}

// Options are the parameters of a run.
type Options struct {
	// Binary is the router program.
	Binary  string
	Seed    uint64
	Routers int
	// Until is how long after the start of the schedule callers send requests.
	Until time.Duration
}

// Report is the outcome of a run.
type Report struct {
	Faults     []Fault
	Calls      []Call
	Violations []Violation
}

// fleet is the routers of a run with their emulated store and targets.
type fleet struct {
	options   Options
	store     *httptest.Server
	targets   []*targetserver.Server
	servers   []*httptest.Server
	routers   []*router
	startedAt time.Time

	mu    sync.Mutex
	calls []Call
}

// Run runs routers under the faults of a seed and checks the history.
func Run(ctx context.Context, options Options) (Report, error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return Report{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f := &fleet{options: options}
	defer f.stop()
	if err := f.start(ctx, dir); err != nil {
		return Report{}, err
	}
	report := Report{Faults: NewSchedule(options.Seed, options.Routers, options.Until)}
	err = f.play(ctx, report.Faults)
	report.Calls = f.calls
	report.Violations = Check(f.calls, f.runCounts(), report.Faults)
	return report, err
}

// start starts the store, the targets and the routers.
func (f *fleet) start(ctx context.Context, dir string) error {
	store := storeserver.New()
	store.Put("keyed.op", "config", []byte(configuration))
	f.store = httptest.NewServer(store)
	for i := range targetsPerService {
		f.addTarget(store, "model", i, streamEvents)
		f.addTarget(store, "shop", i, 0)
	}
	for i := range f.options.Routers {
		front, err := newProxy(ctx)
		if err != nil {
			return err
		}
		r := &router{name: fmt.Sprint("router-", i), binary: f.options.Binary, proxy: front}
		f.routers = append(f.routers, r)
		if err := r.writeSettings(dir, f.store.Listener.Addr().String()); err != nil {
			return err
		}
		if err := r.start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addTarget starts a target and registers it.
func (f *fleet) addTarget(store *storeserver.Server, service string, index, events int) {
	name := fmt.Sprintf("%s-%d", service, index)
	target := targetserver.New(name, slots, events, eventInterval)
	server := httptest.NewServer(target)
	f.targets, f.servers = append(f.targets, target), append(f.servers, server)
	store.Put("keyed.servers", name, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"a","version":"v1","slots":%d,"state":"ready",`+
		`"cold_remaining_ms":0,"sequence":1,"born":%d}`, service, server.Listener.Addr(), slots, targetserver.StartUnixMilli))
}

// stop ends all processes and servers.
func (f *fleet) stop() {
	for _, r := range f.routers {
		r.stop()
	}
	for _, server := range f.servers {
		server.CloseClientConnections()
		server.Close()
	}
	if f.store != nil {
		f.store.CloseClientConnections()
		f.store.Close()
	}
}

// play sends requests while the faults happen. It returns after the last answer.
func (f *fleet) play(ctx context.Context, faults []Fault) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.startedAt = time.Now()
	var group sync.WaitGroup
	group.Go(func() { f.drawModes(ctx) })
	var callers sync.WaitGroup
	for i, r := range f.routers {
		for number := range callersPerRouter {
			callers.Go(func() { f.call(ctx, i, r.proxy.address(), number) })
		}
	}
	errs := make([]error, len(f.routers))
	for i := range f.routers {
		callers.Go(func() { errs[i] = f.injectFaults(ctx, i, faults) })
	}
	callers.Wait()
	cancel()
	group.Wait()
	return errors.Join(errs...)
}

// injectFaults begins and ends the faults of a router in time.
func (f *fleet) injectFaults(ctx context.Context, index int, faults []Fault) error {
	for i := range faults {
		if faults[i].Router != index {
			continue
		}
		sleepUntil(ctx, f.startedAt.Add(faults[i].Begin))
		f.routers[index].begin(faults[i].Kind)
		sleepUntil(ctx, f.startedAt.Add(faults[i].End))
		if err := f.routers[index].end(ctx, faults[i].Kind); err != nil {
			return err
		}
		faults[i].End = max(faults[i].End, time.Since(f.startedAt)) // A router may take longer to start again.
	}
	return nil
}

// call sends requests of all kinds at a router, one after the other, until the end of the run.
func (f *fleet) call(ctx context.Context, index int, address string, number int) {
	random := rand.New(rand.NewPCG(f.options.Seed, uint64(2+index*callersPerRouter+number)))
	paths := []string{bookPath, streamPath, lookPath, resumePath}
	c := &caller{address: address}
	defer c.close()
	until := f.startedAt.Add(f.options.Until)
	for count := 0; time.Now().Before(until) && ctx.Err() == nil; count++ {
		sent := Call{ID: fmt.Sprintf("s%d-%d-%d", index, number, count), Path: paths[random.IntN(len(paths))], Router: index, SentAt: time.Since(f.startedAt)}
		c.send(&sent)
		sent.EndedAt = time.Since(f.startedAt)
		f.mu.Lock()
		f.calls = append(f.calls, sent)
		f.mu.Unlock()
		sleepUntil(ctx, time.Now().Add(time.Duration(random.IntN(20))*time.Millisecond))
	}
}

// drawModes changes the modes of targets until ctx ends.
func (f *fleet) drawModes(ctx context.Context) {
	random := rand.New(rand.NewPCG(f.options.Seed, 0))
	for ctx.Err() == nil {
		f.targets[random.IntN(len(f.targets))].SetMode(modes[random.IntN(len(modes))])
		sleepUntil(ctx, time.Now().Add(modeInterval))
	}
}

// runCounts returns how often each request ran at all targets together. Requests that are still running count.
func (f *fleet) runCounts() map[string]int {
	counts := make(map[string]int)
	for _, target := range f.targets {
		for _, run := range target.Runs() {
			counts[run.ID]++
		}
	}
	return counts
}

// sleepUntil waits until the given time or until ctx ends.
func sleepUntil(ctx context.Context, until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// String returns the schedule, the numbers of calls and the violations.
func (r Report) String() string {
	var text strings.Builder
	for _, fault := range r.Faults {
		fmt.Fprintln(&text, fault)
	}
	answered, refused, silent := 0, 0, 0
	for i := range r.Calls {
		switch {
		case r.Calls[i].Status == 0:
			silent++
		case saysNotRun(r.Calls[i].Status):
			refused++
		default:
			answered++
		}
	}
	fmt.Fprintf(&text, "%d calls: %d answered, %d refused as not run, %d without an answer; %d violations\n",
		len(r.Calls), answered, refused, silent, len(r.Violations))
	for _, violation := range r.Violations {
		fmt.Fprintln(&text, violation)
	}
	return text.String()
}
