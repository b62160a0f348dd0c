package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/fleetpb"
	"github.com/chicorydale/chicorydale/internal/membership"
)

// lane is this router's side of one pool: its requests there and what the pool's scheduler has not been told yet.
type lane struct {
	pool      membership.Pool
	scheduler string
	// synced is set if the scheduler was sent the full state in this session.
	synced  bool
	waiting map[uint64]*call
	running map[uint64]*call
	// announced holds the waiting calls to announce; true means that the scheduler knows an older form.
	announced map[uint64]bool
	withdrawn map[uint64]struct{}
	ended     []*fleetpb.Ended
	progress  time.Time
}

// newLane returns an empty lane.
func newLane(pool membership.Pool) *lane {
	return &lane{
		pool:      pool,
		waiting:   make(map[uint64]*call),
		running:   make(map[uint64]*call),
		announced: make(map[uint64]bool),
		withdrawn: make(map[uint64]struct{}),
	}
}

// wait adds a waiting call.
func (l *lane) wait(c *call) {
	l.waiting[c.id] = c
	l.announced[c.id] = false
}

// leave removes a waiting call.
func (l *lane) leave(id uint64) {
	delete(l.waiting, id)
	known, pending := l.announced[id]
	delete(l.announced, id)
	if known || !pending {
		l.withdrawn[id] = struct{}{}
	}
}

// change makes a waiting call be announced again.
func (l *lane) change(id uint64) {
	if _, pending := l.announced[id]; !pending {
		l.announced[id] = true
	}
}

// start moves a call from waiting to running.
func (l *lane) start(c *call) {
	delete(l.waiting, c.id)
	delete(l.announced, c.id)
	l.running[c.id] = c
}

// empty reports whether the lane holds nothing.
func (l *lane) empty() bool { return len(l.waiting) == 0 && len(l.running) == 0 }

// messages returns what the scheduler has to be told: ends of runs, then everything in a new session, else the changes.
func (l *lane) messages(now time.Time, every time.Duration) []*fleetpb.Body {
	out := l.finish()
	if !l.synced {
		return append(out, l.sync(now, every))
	}
	pool := l.pool.String()
	if len(l.withdrawn) > 0 {
		withdraw := &fleetpb.Withdraw{Pool: pool, Requests: slices.Sorted(maps.Keys(l.withdrawn))}
		out = append(out, &fleetpb.Body{Kind: &fleetpb.Body_Withdraw{Withdraw: withdraw}})
		clear(l.withdrawn)
	}
	if len(l.announced) > 0 {
		announce := &fleetpb.Announce{Pool: pool}
		for _, id := range slices.Sorted(maps.Keys(l.announced)) {
			announce.Demands = append(announce.Demands, l.waiting[id].demand())
		}
		out = append(out, &fleetpb.Body{Kind: &fleetpb.Body_Announce{Announce: announce}})
		clear(l.announced)
	}
	if body := l.report(now, every); body != nil {
		out = append(out, body)
	}
	return out
}

// finish returns the ends of runs that the scheduler was not told yet.
func (l *lane) finish() []*fleetpb.Body {
	if len(l.ended) == 0 {
		return nil
	}
	finish := &fleetpb.Finish{Pool: l.pool.String(), Runs: l.ended}
	l.ended = nil
	return []*fleetpb.Body{{Kind: &fleetpb.Body_Finish{Finish: finish}}}
}

// sync returns the full state and forgets the changes that it includes.
func (l *lane) sync(now time.Time, every time.Duration) *fleetpb.Body {
	l.synced = true
	l.progress = now.Add(every)
	clear(l.announced)
	clear(l.withdrawn)
	sync := &fleetpb.Sync{Pool: l.pool.String()}
	for _, id := range slices.Sorted(maps.Keys(l.waiting)) {
		sync.Demands = append(sync.Demands, l.waiting[id].demand())
	}
	for _, id := range slices.Sorted(maps.Keys(l.running)) {
		c := l.running[id]
		c.run.fresh, c.run.reported = false, c.run.units
		sync.Runs = append(sync.Runs, c.message())
	}
	return &fleetpb.Body{Kind: &fleetpb.Body_Sync{Sync: sync}}
}

// report returns the progress of new runs, and of those that went on beyond what the scheduler has charged; nil if it is
// not due or there is none. Progress below the estimate changes no charge, and would be most of the traffic.
func (l *lane) report(now time.Time, every time.Duration) *fleetpb.Body {
	if now.Before(l.progress) {
		return nil
	}
	progress := &fleetpb.Progress{Pool: l.pool.String()}
	for _, id := range slices.Sorted(maps.Keys(l.running)) {
		run := l.running[id].run
		if !run.fresh && run.units <= max(run.reported, l.running[id].estimate) {
			continue
		}
		run.fresh, run.reported = false, run.units
		progress.Runs = append(progress.Runs, &fleetpb.Served{Grant: run.grant, Units: run.units})
	}
	if len(progress.Runs) == 0 {
		return nil
	}
	l.progress = now.Add(every)
	return &fleetpb.Body{Kind: &fleetpb.Body_Progress{Progress: progress}}
}
