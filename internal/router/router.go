package router

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/claim"
	"github.com/chicorydale/chicorydale/internal/config"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/node"
	"github.com/chicorydale/chicorydale/internal/requestqueue"
	"github.com/chicorydale/chicorydale/internal/settings"
)

// readHeaderTimeout is the maximum time that a caller may take to send the headers of a request.
const readHeaderTimeout = 10 * time.Second

// leaveNoticeTime is how long drain waits for the ticks that tell the peers that this router is leaving.
const leaveNoticeTime = 2 * idleTickPeriod

// drainStoreTimeout is the maximum time for which drain waits until the log has stored the answers of keyed calls.
const drainStoreTimeout = 10 * time.Second

// errStopped is the error of operations that need the tick loop after it has ended.
var errStopped = errors.New("the router has stopped")

// Router is one router process. Its tick loop owns the node; other goroutines use the node only with runInLoop.
type Router struct {
	settings  settings.Settings
	adapters  Adapters
	logger    zerolog.Logger
	metrics   *metric.Set
	hub       *link.Hub
	listeners []net.Listener
	// loopActions passes actions to the tick loop, see runInLoop.
	loopActions chan func(now time.Time)
	// loopEnded is closed when the tick loop has returned.
	loopEnded chan struct{}
	draining  atomic.Bool
	// openCalls is the number of calls that drain waits for, including resumed streams.
	openCalls atomic.Int64
	// tasks are the background goroutines that Run waits for before it returns.
	tasks sync.WaitGroup

	// The fields below may be used in the tick loop only.

	node *node.Node
	// decisionWaiters holds the channels of the calls that wait for decisions of the queue, by request id.
	decisionWaiters map[uint64]chan requestqueue.Decision
	// claimWaiters holds the channels of the calls that wait for the verdict on their claim, by claim id.
	claimWaiters map[string]chan claim.Verdict
	// storedWaiters holds the channels to close when the answer of a claim is stored, by claim id.
	storedWaiters map[string]chan struct{}
	// publishWaiters holds the channels of operators' requests that wait for the result of a change, by ticket.
	publishWaiters map[uint64]chan config.Result
	// modelCalls holds the model calls that wait or run, by request id.
	modelCalls map[uint64]*modelCall
	// logReaders and loadPollers hold the cancel functions of running tasks, by log stream and by target.
	logReaders    map[string]context.CancelFunc
	loadPollers   map[string]context.CancelFunc
	lastTick      time.Time
	lastReconcile time.Time
	// tickPending is set when an action or link event has been applied since the last tick.
	tickPending bool
	// The fields below are the state that was logged last, to log changes only.
	loggedReady    bool
	loggedIsolated bool
	loggedVersion  uint64
	loggedView     membership.View
}

// New returns a router that neither listens nor runs yet.
func New(s settings.Settings, adapters Adapters, logger zerolog.Logger) *Router {
	incarnation := newIncarnation()
	metrics := metric.New()
	self := membership.Router{Name: s.Host(), Region: s.Region(), Zone: s.Zone(), State: membership.Up}
	return &Router{
		settings:    s,
		adapters:    adapters,
		logger:      logger,
		metrics:     metrics,
		hub:         link.NewHub(link.Peer{Name: s.Host(), Region: s.Region()}, incarnation, metrics),
		loopActions: make(chan func(time.Time)),
		loopEnded:   make(chan struct{}),
		node: node.New(self, incarnation, node.WithSeed(s.Seed()^incarnation),
			node.WithLogRetention(s.LogRetention()), node.WithClaimWindow(s.ClaimWindow()), node.WithCrossRegionPeriod(s.InterRegionPeriod())),
		decisionWaiters: make(map[uint64]chan requestqueue.Decision),
		claimWaiters:    make(map[string]chan claim.Verdict),
		storedWaiters:   make(map[string]chan struct{}),
		publishWaiters:  make(map[uint64]chan config.Result),
		modelCalls:      make(map[uint64]*modelCall),
		logReaders:      make(map[string]context.CancelFunc),
		loadPollers:     make(map[string]context.CancelFunc),
	}
}

// newIncarnation returns a number other than zero that identifies this run of the process. It is random, because hosts have
// no storage in which a counter would survive a restart.
func newIncarnation() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // Read never returns an error.
	return binary.BigEndian.Uint64(random[:])>>1 | 1
}

// Run serves until the context ends, then drains and returns nil. If a server fails, it returns the error without draining.
// It calls Listen unless the ports are open already, and must be called once only.
func (r *Router) Run(ctx context.Context) error {
	if r.listeners == nil {
		if _, err := r.Listen(ctx); err != nil {
			return err
		}
	}
	listeners := r.listeners
	handler, err := r.apiHandler()
	if err != nil {
		return err
	}
	servers := []*http.Server{
		{Handler: handler, ReadHeaderTimeout: readHeaderTimeout},
		{Handler: r.operateHandler(), ReadHeaderTimeout: readHeaderTimeout},
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	serveErrors := make(chan error, len(listeners))
	go func() { serveErrors <- r.hub.Serve(listeners[2]) }()
	for i, server := range servers {
		go func() { serveErrors <- server.Serve(listeners[i]) }()
	}
	go r.tickLoop(runCtx)
	r.tasks.Go(func() { r.pollHostList(runCtx) })
	event.Started.Log(r.logger, r.settings.Zone(),
		listeners[0].Addr().String(), listeners[1].Addr().String(), listeners[2].Addr().String())
	select {
	case <-ctx.Done():
		r.drain(runCtx, servers[0])
	case err = <-serveErrors:
		event.Failed.Log(r.logger, err)
	}
	for _, server := range servers {
		_ = server.Close() // All calls have ended, or the drain limit in the settings has passed.
	}
	stop()
	<-r.loopEnded
	r.hub.Close()
	r.tasks.Wait()
	event.Stopped.Log(r.logger)
	return err
}

// Addresses are the IP addresses and ports that a router listens on, named after the settings.
type Addresses struct {
	// Listen serves the HTTP interface of callers and operators.
	Listen string
	// Operate serves metrics, readiness and liveness.
	Operate string
	// Link accepts links from other routers.
	Link string
}

// Listen opens the ports and returns their addresses. A caller that needs the port numbers before Run, because the
// settings leave them to the kernel, calls it first.
func (r *Router) Listen(ctx context.Context) (Addresses, error) {
	var listenConfig net.ListenConfig
	for _, address := range []string{
		r.settings.ListenAddr().String(), r.settings.MonitoringAddr().String(), r.settings.LinkAddr().String(),
	} {
		listener, err := listenConfig.Listen(ctx, "tcp", address)
		if err != nil {
			for _, opened := range r.listeners {
				_ = opened.Close() // No connection was accepted from it.
			}
			return Addresses{}, fmt.Errorf("listen on %s: %w", address, err)
		}
		r.listeners = append(r.listeners, listener)
	}
	return Addresses{
		Listen:  r.listeners[0].Addr().String(),
		Operate: r.listeners[1].Addr().String(),
		Link:    r.listeners[2].Addr().String(),
	}, nil
}

// drain refuses new calls, tells the peers that the router is leaving, and waits until open calls have ended and their
// answers are stored, up to the limit in the settings. A limit of zero means that there is no limit.
func (r *Router) drain(ctx context.Context, server *http.Server) {
	start := time.Now()
	r.draining.Store(true)
	event.Draining.Log(r.logger, r.openCalls.Load())
	_ = r.runInLoop(ctx, func(now time.Time) { r.node.Tracker().Leave(now) })
	if limit := r.settings.DrainTimeout(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, start.Add(limit))
		defer cancel()
	}
	// The peers are told with the next tick. Without this wait, a router without open calls would stop before it.
	sleep(ctx, leaveNoticeTime)
	r.awaitOpenCalls(ctx)
	r.awaitStoredAnswers(ctx)
	if err := server.Shutdown(ctx); err != nil {
		event.DrainCut.Log(r.logger, r.openCalls.Load())
		return
	}
	event.Drained.Log(r.logger, time.Since(start).Milliseconds())
}

// awaitStoredAnswers waits until no claim is open, so that callers can ask other routers for the answers of keyed calls. It
// gives up after drainStoreTimeout, because answers cannot be stored while the log is down.
func (r *Router) awaitStoredAnswers(ctx context.Context) {
	timeoutCtx, cancel := context.WithDeadline(ctx, time.Now().Add(drainStoreTimeout))
	defer cancel()
	for {
		open := 0
		if err := r.runInLoop(timeoutCtx, func(time.Time) { open = r.node.Claimer().OpenClaimCount() }); err != nil || open == 0 {
			return
		}
		if !sleep(timeoutCtx, idleTickPeriod) {
			return
		}
	}
}

// awaitOpenCalls waits until no call is open or the context ends. It precedes the shutdown of the server, which would refuse
// the connections on which callers resume streams that still run at this router.
func (r *Router) awaitOpenCalls(ctx context.Context) {
	ticker := time.NewTicker(idleTickPeriod)
	defer ticker.Stop()
	for r.openCalls.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
