package requestqueue

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// poolState holds this router's calls at one pool and the changes that have not been sent to the pool's scheduler yet.
type poolState struct {
	pool membership.Pool
	// scheduler is the name of the router that schedules the pool, empty if unknown.
	scheduler string
	// synced is set once the full state has been sent to the scheduler in the current session.
	synced  bool
	waiting map[uint64]*call
	running map[uint64]*call
	// pendingAnnounce holds the IDs of waiting calls to announce. The value is true if the scheduler already has an
	// earlier announcement of the call.
	pendingAnnounce map[uint64]bool
	// pendingWithdraw holds the IDs of calls to withdraw.
	pendingWithdraw map[uint64]struct{}
	pendingEnds     []*fleetpb.Ended
	// nextProgress is the earliest time of the next progress report.
	nextProgress time.Time
}

// newPoolState returns the state of a pool without calls.
func newPoolState(pool membership.Pool) *poolState {
	return &poolState{
		pool:            pool,
		waiting:         make(map[uint64]*call),
		running:         make(map[uint64]*call),
		pendingAnnounce: make(map[uint64]bool),
		pendingWithdraw: make(map[uint64]struct{}),
	}
}

// addWaiting adds a waiting call, to be announced.
func (p *poolState) addWaiting(c *call) {
	p.waiting[c.id] = c
	p.pendingAnnounce[c.id] = false
}

// removeWaiting removes a waiting call. It is withdrawn only if the scheduler has an announcement of it.
func (p *poolState) removeWaiting(id uint64) {
	delete(p.waiting, id)
	known, pending := p.pendingAnnounce[id]
	delete(p.pendingAnnounce, id)
	if known || !pending {
		p.pendingWithdraw[id] = struct{}{}
	}
}

// markChanged marks a waiting call to be announced again.
func (p *poolState) markChanged(id uint64) {
	if _, pending := p.pendingAnnounce[id]; !pending {
		p.pendingAnnounce[id] = true
	}
}

// moveToRunning moves a call from waiting to running.
func (p *poolState) moveToRunning(c *call) {
	delete(p.waiting, c.id)
	delete(p.pendingAnnounce, c.id)
	p.running[c.id] = c
}

// isEmpty reports whether the pool has no waiting or running call.
func (p *poolState) isEmpty() bool { return len(p.waiting) == 0 && len(p.running) == 0 }

// takeMessages returns the messages that are due to the scheduler and marks them as sent: ended runs first, then the full
// state at the start of a session, or else the changes and the progress of runs.
func (p *poolState) takeMessages(now time.Time, progressInterval time.Duration) []*fleetpb.Body {
	out := p.takeFinish()
	if !p.synced {
		return append(out, p.takeSync(now, progressInterval))
	}
	pool := p.pool.String()
	if len(p.pendingWithdraw) > 0 {
		withdraw := &fleetpb.Withdraw{Pool: pool, Requests: slices.Sorted(maps.Keys(p.pendingWithdraw))}
		out = append(out, &fleetpb.Body{Kind: &fleetpb.Body_Withdraw{Withdraw: withdraw}})
		clear(p.pendingWithdraw)
	}
	if len(p.pendingAnnounce) > 0 {
		announce := &fleetpb.Announce{Pool: pool}
		for _, id := range slices.Sorted(maps.Keys(p.pendingAnnounce)) {
			announce.Demands = append(announce.Demands, p.waiting[id].demandMessage())
		}
		out = append(out, &fleetpb.Body{Kind: &fleetpb.Body_Announce{Announce: announce}})
		clear(p.pendingAnnounce)
	}
	if body := p.takeProgress(now, progressInterval); body != nil {
		out = append(out, body)
	}
	return out
}

// takeFinish returns a message with the ended runs that have not been reported yet, or nil if there are none.
func (p *poolState) takeFinish() []*fleetpb.Body {
	if len(p.pendingEnds) == 0 {
		return nil
	}
	finish := &fleetpb.Finish{Pool: p.pool.String(), Runs: p.pendingEnds}
	p.pendingEnds = nil
	return []*fleetpb.Body{{Kind: &fleetpb.Body_Finish{Finish: finish}}}
}

// takeSync returns a message with the full state, and discards the pending announcements and withdrawals, which it covers.
func (p *poolState) takeSync(now time.Time, progressInterval time.Duration) *fleetpb.Body {
	p.synced = true
	p.nextProgress = now.Add(progressInterval)
	clear(p.pendingAnnounce)
	clear(p.pendingWithdraw)
	sync := &fleetpb.Sync{Pool: p.pool.String()}
	for _, id := range slices.Sorted(maps.Keys(p.waiting)) {
		sync.Demands = append(sync.Demands, p.waiting[id].demandMessage())
	}
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		c := p.running[id]
		c.run.unreported, c.run.reportedServed = false, c.run.served
		sync.Runs = append(sync.Runs, c.runMessage())
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_Sync{Sync: sync}}
}

// takeProgress returns a progress report, or nil if none is due or no run has progress to report. It covers runs that were
// never reported and runs whose service exceeds what the scheduler has charged. Service below the estimate does not change the
// charge, and reporting it would be most of the traffic.
func (p *poolState) takeProgress(now time.Time, progressInterval time.Duration) *fleetpb.Body {
	if now.Before(p.nextProgress) {
		return nil
	}
	progress := &fleetpb.Progress{Pool: p.pool.String()}
	for _, id := range slices.Sorted(maps.Keys(p.running)) {
		run := p.running[id].run
		if !run.unreported && run.served <= max(run.reportedServed, p.running[id].estimate) {
			continue
		}
		run.unreported, run.reportedServed = false, run.served
		progress.Runs = append(progress.Runs, &fleetpb.Served{Grant: run.grantNumber, Units: run.served})
	}
	if len(progress.Runs) == 0 {
		return nil
	}
	p.nextProgress = now.Add(progressInterval)
	return &fleetpb.Body{Kind: &fleetpb.Body_Progress{Progress: progress}}
}
