package router

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/link"
	"github.com/chicorydale/chicorydale/internal/membership"
)

const (
	// hostListPeriod is the pause between reads of the host list.
	hostListPeriod = time.Second
	// loadPeriod is the pause between reads of a target's load report.
	loadPeriod = 500 * time.Millisecond
	// logReadWait is how long the log service may wait for new records before it answers a read with an empty page. It is a
	// third of the time after which a router without fresh configuration refuses requests.
	logReadWait = 5 * time.Second
	// deadlineSlack is how long the router waits beyond a deadline that it has given to an external system: the wait of a log
	// read or the deadline of a service call.
	deadlineSlack = 2 * time.Second
	// shortCallTimeout is the maximum duration of one read of the host list or a load report, of the cancellation of a
	// stream, and of a liveness check.
	shortCallTimeout = 2 * time.Second
	// logRetryDelay is the pause before a failed read of the log is repeated.
	logRetryDelay = 500 * time.Millisecond
)

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// reconcile matches the links, log readers and load pollers with what the node needs now, and updates the gauges. It runs in
// the tick loop.
func (r *Router) reconcile(ctx context.Context, now time.Time) {
	view := r.node.View()
	peers := make([]link.Peer, 0, len(view.Routers()))
	for _, router := range view.Routers() {
		peers = append(peers, link.Peer{Name: router.Name, Address: router.LinkAddress, Region: router.Region})
	}
	r.hub.SetPeers(r.node.WantedPeers(now), peers)
	streams := make([]string, 0, len(r.logReaders))
	for _, position := range r.node.Positions() {
		streams = append(streams, position.Stream)
	}
	r.reconcileTasks(ctx, r.logReaders, streams, r.followLogStream)
	r.reconcileTasks(ctx, r.loadPollers, r.node.PolledTargets(), r.pollLoad)
	r.updateGauges(now)
}

// reconcileTasks starts a task for each name that has none, and stops the tasks whose names are no longer listed. The map
// holds the cancel functions of the running tasks by name.
func (r *Router) reconcileTasks(
	ctx context.Context, tasks map[string]context.CancelFunc, names []string, task func(context.Context, string),
) {
	for _, name := range names {
		if _, running := tasks[name]; running {
			continue
		}
		taskCtx, cancel := context.WithCancel(ctx)
		tasks[name] = cancel
		r.tasks.Go(func() { task(taskCtx, name) })
	}
	for _, name := range slices.Collect(maps.Keys(tasks)) {
		if !slices.Contains(names, name) {
			tasks[name]()
			delete(tasks, name)
		}
	}
}

// followLogStream passes the records of a log stream to the node until the context ends or the node no longer wants the
// stream. It logs when reads begin to fail, when they succeed again, and when records expired before they were read.
func (r *Router) followLogStream(ctx context.Context, stream string) {
	failing, caughtUp := false, false
	var reportedFirstOffset uint64
	for {
		from, wanted, err := r.nextLogOffset(ctx, stream)
		if err != nil || !wanted {
			return
		}
		// Reads do not wait for new records until one has reached the end of the stream, because the node decides nothing
		// before it knows the end.
		deadline := time.Now()
		if caughtUp {
			deadline = deadline.Add(logReadWait)
		}
		readCtx, cancel := context.WithDeadline(ctx, deadline.Add(deadlineSlack))
		page, err := r.adapters.Log.Read(readCtx, stream, from, deadline)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !failing {
				event.LogDown.Log(r.logger, stream, err)
			}
			failing, caughtUp = true, false
			r.runInLoopUnlessStopped(func(now time.Time) { r.node.ReadFailed(now, stream) })
			if !sleep(ctx, logRetryDelay) {
				return
			}
			continue
		}
		if failing {
			event.LogUp.Log(r.logger, stream, page.EndOffset)
		}
		failing = false
		// Expired records at the start of the stream are not lost: a new reader starts at offset 0, and the oldest records
		// have usually expired by then.
		if from > 0 && page.FirstOffset > from && page.FirstOffset > reportedFirstOffset {
			event.LogExpired.Log(r.logger, stream, from, page.FirstOffset)
			reportedFirstOffset = page.FirstOffset
		}
		caughtUp = caughtUp || len(page.Records) == 0 || page.Records[len(page.Records)-1].Offset+1 == page.EndOffset
		r.runInLoopUnlessStopped(func(now time.Time) { r.node.Page(now, stream, page) })
	}
}

// nextLogOffset returns the offset from which the node wants to read a stream, and whether it wants the stream at all.
func (r *Router) nextLogOffset(ctx context.Context, stream string) (from uint64, wanted bool, err error) {
	err = r.runInLoop(ctx, func(time.Time) {
		for _, position := range r.node.Positions() {
			if position.Stream == stream {
				from, wanted = position.Offset, true
			}
		}
	})
	return from, wanted, err
}

// pollLoad reads the load reports of a target until the context ends and passes them to the node. Reads that fail are
// skipped.
func (r *Router) pollLoad(ctx context.Context, name string) {
	for {
		var target membership.Target
		var found bool
		if err := r.runInLoop(ctx, func(time.Time) { target, found = r.node.View().Target(name) }); err != nil {
			return
		}
		if found {
			if load, err := r.readLoad(ctx, target); err == nil {
				r.runInLoopUnlessStopped(func(now time.Time) { r.node.ObserveLoad(now, name, load) })
			}
		}
		if !sleep(ctx, loadPeriod) {
			return
		}
	}
}

// readLoad reads the newest load report of a target.
func (r *Router) readLoad(ctx context.Context, target membership.Target) (external.LoadReport, error) {
	timeoutCtx, cancel := context.WithDeadline(ctx, time.Now().Add(shortCallTimeout))
	defer cancel()
	if target.IsService {
		return r.adapters.Service(target.Name, target.Address).LoadReport(timeoutCtx)
	}
	return r.adapters.Engine(target.Name, target.Address).LoadReport(timeoutCtx)
}

// pollHostList reads the host list until the context ends and passes it to the node. It logs changes of its version, and when
// reads begin to fail and succeed again.
func (r *Router) pollHostList(ctx context.Context) {
	failing := false
	var version uint64
	for {
		timeoutCtx, cancel := context.WithDeadline(ctx, time.Now().Add(shortCallTimeout))
		list, err := r.adapters.Hosts.List(timeoutCtx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		switch {
		case err != nil && !failing:
			event.HostsDown.Log(r.logger, err)
		case err == nil && failing:
			event.HostsUp.Log(r.logger, list.Version)
		case err == nil && list.Version != version:
			event.HostsChanged.Log(r.logger, list.Version, len(list.Hosts))
		}
		failing = err != nil
		if err == nil {
			version = list.Version
			r.runInLoopUnlessStopped(func(now time.Time) { r.node.SetHostList(now, list) })
		}
		if !sleep(ctx, hostListPeriod) {
			return
		}
	}
}
