package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

const (
	// goneRetention is how long a removal is remembered: copies of the store are some seconds old.
	goneRetention = time.Minute
	// doubtPeriod is how long after the store came back from an older copy the record of a target that was gone before does not make it usable.
	// The record of a target that does not write again expires earlier.
	doubtPeriod = 5 * time.Second
)

// retentionPeriod is how long after the end of an outage of the store removed targets stay usable, so that they can register
// again.
const retentionPeriod = 2 * time.Second

// retainedTarget is a target whose record was removed shortly after an outage of the store. It stays usable until the time in
// until.
type retainedTarget struct {
	target dispatch.Target
	until  time.Time
}

// goneTarget is a start of a target that was removed.
type goneTarget struct {
	startUnixMilli int64
	at             time.Time
}

// Registry holds targets by the keys of their records. It is not safe for concurrent use.
type Registry struct {
	targets  map[string]dispatch.Target
	retained map[string]retainedTarget
	// storeDown is set if the last request to the store failed. storeUpAt is when the store first responded after the last outage,
	// zero if there was none.
	storeDown bool
	storeUpAt time.Time
	// gone holds the starts of targets that were removed lately. doubtful holds those of them that the store's older copy lists, until
	// doubtUntil.
	gone       map[string]goneTarget
	doubtful   map[string]dispatch.Target
	doubtUntil time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		targets: make(map[string]dispatch.Target), retained: make(map[string]retainedTarget), gone: make(map[string]goneTarget),
		doubtful: make(map[string]dispatch.Target),
	}
}

// Put adds or replaces the target of a key, from a record that was written since the last one.
func (r *Registry) Put(key string, target dispatch.Target) {
	r.targets[key] = target
	delete(r.retained, key)
	delete(r.gone, key)
	delete(r.doubtful, key)
}

// PutNewest adds or replaces the target of a key, from the newest record of the key. A target that was gone before the store came back from an
// older copy is usable when it is listed still at the end of doubtPeriod.
func (r *Registry) PutNewest(now time.Time, key string, target dispatch.Target) {
	if found, isGone := r.gone[key]; isGone && now.Before(r.doubtUntil) && target.StartUnixMilli != 0 &&
		found.startUnixMilli == target.StartUnixMilli {
		r.doubtful[key] = target
		return
	}
	r.Put(key, target)
}

// Restored records that the store came back from an older copy.
func (r *Registry) Restored(now time.Time) { r.doubtUntil = now.Add(doubtPeriod) }

// Remove removes the target of a key, if there is one. If an outage of the store ended less than retentionPeriod ago, the target
// stays usable until the end of that period, unless it was leaving.
func (r *Registry) Remove(now time.Time, key string) {
	delete(r.doubtful, key)
	target, present := r.targets[key]
	if !present {
		return
	}
	delete(r.targets, key)
	r.gone[key] = goneTarget{startUnixMilli: target.StartUnixMilli, at: now}
	if !target.Leaving && !r.storeUpAt.IsZero() && now.Before(r.storeUpAt.Add(retentionPeriod)) {
		r.retained[key] = retainedTarget{target: target, until: r.storeUpAt.Add(retentionPeriod)}
	}
}

// RemoveAbsent calls Remove for each target whose key is not in present or has the value false.
func (r *Registry) RemoveAbsent(now time.Time, present map[string]bool) {
	maps.DeleteFunc(r.doubtful, func(key string, _ dispatch.Target) bool { return !present[key] })
	for _, key := range slices.Sorted(maps.Keys(r.targets)) {
		if !present[key] {
			r.Remove(now, key)
		}
	}
}

// Failed records that a request to the store failed. It reports whether this begins an outage.
func (r *Registry) Failed() bool {
	wasUp := !r.storeDown
	r.storeDown = true
	return wasUp
}

// Answered records that the store responded, and reports whether this ends an outage. It must be called before the records of the
// response are applied, so that targets that they remove are retained.
func (r *Registry) Answered(now time.Time) bool {
	wasDown := r.storeDown
	if wasDown {
		r.storeDown, r.storeUpAt = false, now
	}
	return wasDown
}

// Expire drops the retained targets that did not register again in time, and returns their names in order.
func (r *Registry) Expire(now time.Time) []string {
	var expired []string
	for key, entry := range r.retained {
		if !now.Before(entry.until) {
			delete(r.retained, key)
			expired = append(expired, entry.target.Name)
		}
	}
	slices.Sort(expired)
	r.settleDoubts(now)
	return expired
}

// settleDoubts makes the doubtful targets usable when doubtPeriod is over, and forgets old removals.
func (r *Registry) settleDoubts(now time.Time) {
	maps.DeleteFunc(r.gone, func(_ string, removed goneTarget) bool { return now.Sub(removed.at) >= goneRetention })
	if now.Before(r.doubtUntil) {
		return
	}
	for key, target := range r.doubtful {
		r.Put(key, target)
	}
}

// Retained returns the number of removed targets that are still usable.
func (r *Registry) Retained() int { return len(r.retained) }

// Targets returns all usable targets, including retained ones, sorted by name.
func (r *Registry) Targets() []dispatch.Target {
	all := make([]dispatch.Target, 0, len(r.targets)+len(r.retained))
	for _, target := range r.targets {
		all = append(all, target)
	}
	for _, entry := range r.retained {
		all = append(all, entry.target)
	}
	slices.SortFunc(all, func(a, b dispatch.Target) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
