package gateway

import (
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/registry"
	"github.com/chicorydale/chicorydale/internal/topiclog"
)

// targetDirectory passes the targets in the store's records on to the scheduler. It is not safe for concurrent use.
type targetDirectory struct {
	decode    func(topiclog.Record, time.Time) (dispatch.Target, error)
	logger    zerolog.Logger
	registry  *registry.Registry
	scheduler *scheduler
	origins   *streamOrigins
	client    *forward.Client
	// known holds the targets that were passed on last, by name.
	known map[string]dispatch.Target
}

// Reset takes the newest record of every target. Targets without a record are removed.
func (d *targetDirectory) Reset(now time.Time, records []topiclog.Record) {
	d.storeAnswered(now)
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = record.Value != nil
	}
	d.registry.RemoveAbsent(now, present)
	d.applyRecords(now, records, func(key string, target dispatch.Target) { d.registry.PutNewest(now, key, target) })
}

// Apply takes newer records.
func (d *targetDirectory) Apply(now time.Time, records []topiclog.Record) {
	d.storeAnswered(now)
	d.applyRecords(now, records, d.registry.Put)
}

// storeAnswered records that the store replied, and logs it if the store was down before.
func (d *targetDirectory) storeAnswered(now time.Time) {
	if d.registry.Answered(now) {
		event.StoreUp.Log(d.logger, "targets")
	}
}

// applyRecords updates the registry, with put for the records that hold a target, and passes changed targets on to the scheduler. Records that
// cannot be decoded are logged and remove their targets.
func (d *targetDirectory) applyRecords(now time.Time, records []topiclog.Record, put func(key string, target dispatch.Target)) {
	for _, record := range records {
		if record.Value == nil {
			d.registry.Remove(now, record.Key)
			continue
		}
		target, err := d.decode(record, now)
		if err != nil {
			event.RecordInvalid.Log(d.logger, "targets", record.Key, err)
			d.registry.Remove(now, record.Key)
			continue
		}
		put(record.Key, target)
	}
	d.updateTargets(now)
}

// updateTargets passes the targets on to the scheduler if they have changed, and closes idle connections to targets that
// are gone.
func (d *targetDirectory) updateTargets(now time.Time) {
	for _, name := range d.registry.Expire(now) {
		event.TargetGone.Log(d.logger, name)
	}
	targets := d.registry.Targets()
	if !d.recordTargets(targets) {
		return
	}
	d.origins.setTargets(targets)
	d.scheduler.withDispatcher(func(dispatcher *dispatch.Dispatcher, now time.Time) { dispatcher.SetTargets(now, targets) })
	present := make(map[string]bool, len(targets))
	for _, target := range targets {
		present[target.Name] = true
	}
	d.client.Prune(now, present)
}

// recordTargets replaces d.known by the given targets, and logs targets that were added, are leaving or are gone. It reports
// whether anything about the targets changed.
func (d *targetDirectory) recordTargets(targets []dispatch.Target) bool {
	changed := len(targets) != len(d.known)
	next := make(map[string]dispatch.Target, len(targets))
	for _, target := range targets {
		previous, known := d.known[target.Name]
		next[target.Name] = target
		if known && previous == target {
			continue
		}
		changed = true
		switch {
		case !known:
			event.TargetAdded.Log(d.logger, target.Name, target.Zone+"/"+target.Service, target.Build)
		case target.Leaving && !previous.Leaving:
			event.TargetLeaving.Log(d.logger, target.Name)
		}
	}
	for name := range d.known {
		if _, listed := next[name]; !listed {
			event.TargetGone.Log(d.logger, name)
		}
	}
	d.known = next
	return changed
}

// CaughtUp records the age of the list for the builds. Targets are used regardless of the age of their records.
func (d *targetDirectory) CaughtUp(asOf boottime.Instant) { d.origins.targetsListed(asOf.Time()) }

// Failed records that the store did not reply. A store that no longer has the records has replied: targets that it lacks then are gone, and
// not only absent because they could not register.
func (d *targetDirectory) Failed(now time.Time, err error) {
	var expired *topiclog.ExpiredError
	var otherEra *topiclog.EraError
	if errors.As(err, &otherEra) && otherEra.Restored() {
		d.registry.Restored(now)
	}
	if !errors.As(err, &expired) && d.registry.Failed() {
		event.StoreDown.Log(d.logger, "targets", err, int64(0))
	}
	d.updateTargets(now)
}
