package gateway

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/chicorydale/chicorydale/internal/boottime"
	"github.com/chicorydale/chicorydale/internal/dispatch"
	"github.com/chicorydale/chicorydale/internal/event"
	"github.com/chicorydale/chicorydale/internal/forward"
	"github.com/chicorydale/chicorydale/internal/keyed"
	"github.com/chicorydale/chicorydale/internal/registry"
)

// directory keeps the scheduler's targets in step with the records of the store.
type directory struct {
	decode    func(keyed.Record, time.Time) (dispatch.Target, error)
	logger    zerolog.Logger
	registry  *registry.Registry
	scheduler *scheduler
	client    *forward.Client
	known     map[string]dispatch.Target
}

// Reset takes the newest record of every target.
func (d *directory) Reset(now time.Time, records []keyed.Record) {
	d.answered(now)
	present := make(map[string]bool, len(records))
	for _, record := range records {
		present[record.Key] = record.Value != nil
	}
	d.registry.RemoveAbsent(now, present)
	d.take(now, records)
}

// Apply takes newer records.
func (d *directory) Apply(now time.Time, records []keyed.Record) {
	d.answered(now)
	d.take(now, records)
}

// answered notes an answer of the store.
func (d *directory) answered(now time.Time) {
	if d.registry.Answered(now) {
		event.StoreUp.Log(d.logger, "targets")
	}
}

// take enters the records and hands changed targets to the scheduler.
func (d *directory) take(now time.Time, records []keyed.Record) {
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
		d.registry.Put(record.Key, target)
	}
	d.refresh(now)
}

// refresh hands the targets to the scheduler if they have changed.
func (d *directory) refresh(now time.Time) {
	for _, name := range d.registry.Expire(now) {
		event.TargetGone.Log(d.logger, name)
	}
	targets := d.registry.Targets()
	if !d.compare(targets) {
		return
	}
	d.scheduler.do(func(core *dispatch.Dispatcher, now time.Time) { core.Locate(now, targets) })
	present := make(map[string]bool, len(targets))
	for _, target := range targets {
		present[target.Name] = true
	}
	d.client.Prune(now, present)
}

// compare logs what is new about the targets and reports whether anything is.
func (d *directory) compare(targets []dispatch.Target) bool {
	changed := len(targets) != len(d.known)
	next := make(map[string]dispatch.Target, len(targets))
	for _, target := range targets {
		before, known := d.known[target.Name]
		next[target.Name] = target
		if known && before == target {
			continue
		}
		changed = true
		switch {
		case !known:
			event.TargetAdded.Log(d.logger, target.Name, target.Zone+"/"+target.Service)
		case target.Leaving && !before.Leaving:
			event.TargetLeaving.Log(d.logger, target.Name)
		}
	}
	for name := range d.known {
		if _, still := next[name]; !still {
			event.TargetGone.Log(d.logger, name)
		}
	}
	d.known = next
	return changed
}

// CaughtUp does nothing: the age of the list of targets bounds nothing.
func (d *directory) CaughtUp(boottime.Instant) {}

// Failed notes that the store did not answer.
func (d *directory) Failed(now time.Time, err error) {
	if d.registry.Failed() {
		event.StoreDown.Log(d.logger, "targets", err, int64(0))
	}
	d.refresh(now)
}
