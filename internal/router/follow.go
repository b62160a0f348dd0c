package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/membership"
	"github.com/chicorydale/chicorydale/internal/outside"
)

const (
	// hostsPeriod is the time between reads of the host list.
	hostsPeriod = time.Second
	// loadPeriod is the time between reads of a target's load report.
	loadPeriod = 500 * time.Millisecond
	// readWait is how long a read of the log waits for new records. It is a third of the time after which a router
	// without fresh configuration refuses requests.
	readWait = 5 * time.Second
	// readSlack is the time beyond readWait after which a read has failed.
	readSlack = 2 * time.Second
	// outsideLimit bounds one read of the host list or of a load report.
	outsideLimit = 2 * time.Second
	// failurePause is the time between attempts while an outside system fails.
	failurePause = 500 * time.Millisecond
)

// pause waits, or returns false if the context ends first.
func pause(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// look adjusts links, log readers and load pollers to what the node needs now.
func (r *Router) look(ctx context.Context, now time.Time) {
	view := r.node.View()
	known := make([]link.Peer, 0, len(view.Routers()))
	for _, router := range view.Routers() {
		known = append(known, link.Peer{Name: router.Name, Address: router.LinkAddress, Region: router.Region})
	}
	r.hub.SetPeers(r.node.WantedPeers(now), known)
	streams := make([]string, 0, len(r.readers))
	for _, position := range r.node.Positions() {
		streams = append(streams, position.Stream)
	}
	r.adjust(ctx, r.readers, streams, r.followStream)
	r.adjust(ctx, r.pollers, r.node.PolledTargets(), r.followLoad)
	r.observe(now)
}

// adjust starts a task for each new name and stops those that are not listed any more.
func (r *Router) adjust(
	ctx context.Context, tasks map[string]context.CancelFunc, names []string, task func(context.Context, string),
) {
	for _, name := range names {
		if _, running := tasks[name]; running {
			continue
		}
		life, cancel := context.WithCancel(ctx)
		tasks[name] = cancel
		r.tasks.Go(func() { task(life, name) })
	}
	for _, name := range slices.Collect(maps.Keys(tasks)) {
		if !slices.Contains(names, name) {
			tasks[name]()
			delete(tasks, name)
		}
	}
}

// followStream reads a log stream and hands its records to the node.
func (r *Router) followStream(ctx context.Context, stream string) {
	down, caughtUp := false, false
	var lost uint64
	for {
		from, wanted, err := r.position(ctx, stream)
		if err != nil || !wanted {
			return
		}
		// Until the end was seen once, reads do not wait: the cores decide nothing before they know the end.
		deadline := time.Now()
		if caughtUp {
			deadline = deadline.Add(readWait)
		}
		limited, cancel := context.WithDeadline(ctx, deadline.Add(readSlack))
		page, err := r.outside.Log.Read(limited, stream, from, deadline)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !down {
				event.LogDown.Log(r.logger, stream, err)
			}
			down, caughtUp = true, false
			r.post(func(now time.Time) { r.node.ReadFailed(now, stream) })
			if !pause(ctx, failurePause) {
				return
			}
			continue
		}
		if down {
			event.LogUp.Log(r.logger, stream, page.EndOffset)
		}
		down = false
		// A new reader starts at offset 0, where old records have usually expired.
		if from > 0 && page.FirstOffset > from && page.FirstOffset > lost {
			event.LogExpired.Log(r.logger, stream, from, page.FirstOffset)
			lost = page.FirstOffset
		}
		caughtUp = caughtUp || len(page.Records) == 0 || page.Records[len(page.Records)-1].Offset+1 == page.EndOffset
		r.post(func(now time.Time) { r.node.Page(now, stream, page) })
	}
}

// position returns the offset that the node wants of a stream next, if it wants the stream.
func (r *Router) position(ctx context.Context, stream string) (from uint64, wanted bool, err error) {
	err = r.do(ctx, func(time.Time) {
		for _, position := range r.node.Positions() {
			if position.Stream == stream {
				from, wanted = position.Offset, true
			}
		}
	})
	return from, wanted, err
}

// followLoad reads the load reports of a target.
func (r *Router) followLoad(ctx context.Context, name string) {
	for {
		var target membership.Target
		var found bool
		if err := r.do(ctx, func(time.Time) { target, found = r.node.View().Target(name) }); err != nil {
			return
		}
		if found {
			if load, err := r.load(ctx, target); err == nil {
				r.post(func(now time.Time) { r.node.ObserveLoad(now, name, load) })
			}
		}
		if !pause(ctx, loadPeriod) {
			return
		}
	}
}

// load reads one load report.
func (r *Router) load(ctx context.Context, target membership.Target) (outside.LoadReport, error) {
	limited, cancel := context.WithDeadline(ctx, time.Now().Add(outsideLimit))
	defer cancel()
	if target.IsService {
		return r.outside.Service(target.Name, target.Address).LoadReport(limited)
	}
	return r.outside.Engine(target.Name, target.Address).LoadReport(limited)
}

// followHosts reads the host list.
func (r *Router) followHosts(ctx context.Context) {
	down := false
	var version uint64
	for {
		limited, cancel := context.WithDeadline(ctx, time.Now().Add(outsideLimit))
		list, err := r.outside.Hosts.List(limited)
		cancel()
		if ctx.Err() != nil {
			return
		}
		switch {
		case err != nil && !down:
			event.HostsDown.Log(r.logger, err)
		case err == nil && down:
			event.HostsUp.Log(r.logger, list.Version)
		case err == nil && list.Version != version:
			event.HostsChanged.Log(r.logger, list.Version, len(list.Hosts))
		}
		down = err != nil
		if err == nil {
			version = list.Version
			r.post(func(now time.Time) { r.node.SetHostList(now, list) })
		}
		if !pause(ctx, hostsPeriod) {
			return
		}
	}
}
