package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicorydale/chicorydale/internal/dispatch"
)

// returnSpan is the time after the store's return in which entries that lapsed meanwhile may come back.
const returnSpan = 2 * time.Second

// lapsed is an entry that was removed while the store was away or shortly after its return.
type lapsed struct {
	target dispatch.Target
	until  time.Time
}

// Registry holds the targets by their keys. It is not safe for concurrent use.
type Registry struct {
	targets map[string]dispatch.Target
	lapsed  map[string]lapsed
	// away tells that the last call to the store failed; returned is the instant of the first answer after that.
	away     bool
	returned time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{targets: make(map[string]dispatch.Target), lapsed: make(map[string]lapsed)}
}

// Put enters or replaces a target.
func (r *Registry) Put(key string, target dispatch.Target) {
	r.targets[key] = target
	delete(r.lapsed, key)
}

// Remove takes out a target. It is kept for a moment if the store was away just before, unless it was leaving.
func (r *Registry) Remove(now time.Time, key string) {
	target, found := r.targets[key]
	if !found {
		return
	}
	delete(r.targets, key)
	if !target.Leaving && !r.returned.IsZero() && now.Before(r.returned.Add(returnSpan)) {
		r.lapsed[key] = lapsed{target: target, until: r.returned.Add(returnSpan)}
	}
}

// RemoveAbsent takes out all targets but those with the keys.
func (r *Registry) RemoveAbsent(now time.Time, present map[string]bool) {
	for _, key := range slices.Sorted(maps.Keys(r.targets)) {
		if !present[key] {
			r.Remove(now, key)
		}
	}
}

// Failed notes that the store did not answer. It reports whether it answered before.
func (r *Registry) Failed() bool {
	before := !r.away
	r.away = true
	return before
}

// Answered notes that the store answered; it is called before the answer is applied. It reports whether the store was
// away.
func (r *Registry) Answered(now time.Time) bool {
	returned := r.away
	if returned {
		r.away, r.returned = false, now
	}
	return returned
}

// Expire drops the entries that did not come back, and returns their names.
func (r *Registry) Expire(now time.Time) []string {
	var gone []string
	for key, each := range r.lapsed {
		if !now.Before(each.until) {
			delete(r.lapsed, key)
			gone = append(gone, each.target.Name)
		}
	}
	slices.Sort(gone)
	return gone
}

// Lapsed returns the number of entries that may come back.
func (r *Registry) Lapsed() int { return len(r.lapsed) }

// Targets returns all targets that may be used, in the order of their names.
func (r *Registry) Targets() []dispatch.Target {
	all := make([]dispatch.Target, 0, len(r.targets)+len(r.lapsed))
	for _, target := range r.targets {
		all = append(all, target)
	}
	for _, each := range r.lapsed {
		all = append(all, each.target)
	}
	slices.SortFunc(all, func(a, b dispatch.Target) int { return cmp.Compare(a.Name, b.Name) })
	return all
}
