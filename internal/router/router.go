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
	"github.com/chicorydale/chicorydale/internal/entry"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/metric"
	"github.com/chicorydale/chicorydale/internal/node"
	"github.com/chicorydale/chicorydale/internal/settings"
)

// headerLimit bounds the time in which a caller sends the headers of a request.
const headerLimit = 10 * time.Second

// leaveNotice is the time in which a router that shuts down tells its peers.
const leaveNotice = 2 * idlePeriod

// claimsLimit bounds the wait for stored answers when the router shuts down.
const claimsLimit = 10 * time.Second

// errStopped is returned to calls that are open when the process stops.
var errStopped = errors.New("the router has stopped")

// Router is one router process.
type Router struct {
	settings  settings.Settings
	outside   Adapters
	logger    zerolog.Logger
	metrics   *metric.Set
	hub       *link.Hub
	listeners []net.Listener
	actions   chan func(now time.Time)
	stopped   chan struct{}
	draining  atomic.Bool
	open      atomic.Int64
	tasks     sync.WaitGroup

	// The fields below belong to the tick loop.
	node     *node.Node
	waiters  map[uint64]chan entry.Decision
	claims   map[string]chan claim.Verdict
	stores   map[string]chan struct{}
	tickets  map[uint64]chan config.Result
	runs     map[uint64]*run
	readers  map[string]context.CancelFunc
	pollers  map[string]context.CancelFunc
	lastTick time.Time
	lastLook time.Time
	dirty    bool
	ready    bool
	isolated bool
	version  uint64
	seen     membership.View
}

// New returns the router of the settings with the given adapters.
func New(s settings.Settings, outside Adapters, logger zerolog.Logger) *Router {
	incarnation := newIncarnation()
	metrics := metric.New()
	self := membership.Router{Name: s.Host(), Region: s.Region(), Zone: s.Zone(), State: membership.Up}
	return &Router{
		settings: s,
		outside:  outside,
		logger:   logger,
		metrics:  metrics,
		hub:      link.NewHub(link.Peer{Name: s.Host(), Region: s.Region()}, incarnation, metrics),
		actions:  make(chan func(time.Time)),
		stopped:  make(chan struct{}),
		node: node.New(self, incarnation, node.WithSeed(s.Seed()^incarnation),
			node.WithLogRetention(s.LogRetention()), node.WithClaimWindow(s.ClaimWindow()), node.WithCrossRegionPeriod(s.InterRegionPeriod())),
		waiters: make(map[uint64]chan entry.Decision),
		claims:  make(map[string]chan claim.Verdict),
		stores:  make(map[string]chan struct{}),
		tickets: make(map[uint64]chan config.Result),
		runs:    make(map[uint64]*run),
		readers: make(map[string]context.CancelFunc),
		pollers: make(map[string]context.CancelFunc),
	}
}

// newIncarnation returns a number that differs for each start of a process. Hosts keep nothing, so it comes from the
// random source and not from a counter.
func newIncarnation() uint64 {
	var random [8]byte
	_, _ = rand.Read(random[:]) // Read never returns an error.
	return binary.BigEndian.Uint64(random[:])>>1 | 1
}

// Run serves until the context ends, then drains and returns. It listens unless Listen was called before.
func (r *Router) Run(ctx context.Context) error {
	if r.listeners == nil {
		if _, err := r.Listen(ctx); err != nil {
			return err
		}
	}
	listeners := r.listeners
	api, err := r.handler()
	if err != nil {
		return err
	}
	servers := []*http.Server{
		{Handler: api, ReadHeaderTimeout: headerLimit},
		{Handler: r.operate(), ReadHeaderTimeout: headerLimit},
	}
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	failed := make(chan error, len(listeners))
	go func() { failed <- r.hub.Serve(listeners[2]) }()
	for i, server := range servers {
		go func() { failed <- server.Serve(listeners[i]) }()
	}
	go r.loop(life)
	r.tasks.Go(func() { r.followHosts(life) })
	event.Started.Log(r.logger, r.settings.Zone(),
		listeners[0].Addr().String(), listeners[1].Addr().String(), listeners[2].Addr().String())
	select {
	case <-ctx.Done():
		r.drain(life, servers[0])
	case err = <-failed:
		event.Failed.Log(r.logger, err)
	}
	for _, server := range servers {
		_ = server.Close() // All calls have ended or the drain limit has passed.
	}
	stop()
	<-r.stopped
	r.hub.Close()
	r.tasks.Wait()
	event.Stopped.Log(r.logger)
	return err
}

// Addresses are the IP addresses and ports that a router listens on.
type Addresses struct {
	// Listen is for callers and for the operators' API.
	Listen string
	// Operate is for metrics, readiness and liveness.
	Operate string
	// Link is for links from other routers.
	Link string
}

// Listen opens the ports, so that their numbers are known before Run if the kernel chooses them.
func (r *Router) Listen(ctx context.Context) (Addresses, error) {
	var config net.ListenConfig
	for _, address := range []string{
		r.settings.ListenAddr().String(), r.settings.MonitoringAddr().String(), r.settings.Link().String(),
	} {
		listener, err := config.Listen(ctx, "tcp", address)
		if err != nil {
			for _, opened := range r.listeners {
				_ = opened.Close() // It has served nothing.
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

// drain refuses new calls and waits for the open ones, up to the limit in the settings.
func (r *Router) drain(ctx context.Context, server *http.Server) {
	began := time.Now()
	r.draining.Store(true)
	event.Draining.Log(r.logger, r.open.Load())
	_ = r.do(ctx, func(now time.Time) { r.node.Tracker().Leave(now) })
	if limit := r.settings.DrainTimeout(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, began.Add(limit))
		defer cancel()
	}
	// The leaving mark goes out with the next tick; a router without open calls would end before that.
	pause(ctx, leaveNotice)
	r.awaitIdle(ctx)
	r.awaitClaims(ctx)
	if err := server.Shutdown(ctx); err != nil {
		event.DrainCut.Log(r.logger, r.open.Load())
		return
	}
	event.Drained.Log(r.logger, time.Since(began).Milliseconds())
}

// awaitClaims waits until the answers of keyed calls are stored, so that their callers can ask for them again elsewhere.
// While the log is down it gives up after claimsLimit.
func (r *Router) awaitClaims(ctx context.Context) {
	limited, cancel := context.WithDeadline(ctx, time.Now().Add(claimsLimit))
	defer cancel()
	for {
		left := 0
		if err := r.do(limited, func(time.Time) { left = r.node.Claimer().OpenClaimCount() }); err != nil || left == 0 {
			return
		}
		if !pause(limited, idlePeriod) {
			return
		}
	}
}

// awaitIdle waits until no call is open. Calls keep their connections until their last byte is written, so the server
// is only shut down after that; it would stop accepting resumptions of streams that still run here.
func (r *Router) awaitIdle(ctx context.Context) {
	check := time.NewTicker(idlePeriod)
	defer check.Stop()
	for r.open.Load() > 0 {
		select {
		case <-check.C:
		case <-ctx.Done():
			return
		}
	}
}
