package dispatch

import (
	"maps"
	"math"
	"time"
)

const (
	// rateLimitTTL is the time after which a limit that no answer has confirmed is forgotten. Otherwise a router that gets no answers of
	// the target would never learn that the limit has ended.
	rateLimitTTL = 6 * time.Second
	// rateLimitReportPeriod is the time after which a confirmed limit is reported to the peers again.
	rateLimitReportPeriod = 2 * time.Second
	// localFraction is the fraction of a target's limit that is for the routers of its availability zone.
	localFraction = 0.9
	// slotTTL is the time for which a router may use a slot. The target gets at most so much more than its limit at once, however many routers
	// there are.
	slotTTL = 500 * time.Millisecond
	// maxSlotInterval bounds the time between two slots of a router.
	maxSlotInterval = time.Hour
	// unusedTime is the time for which the unused part of a limit is saved up. A router uses an extra slot only while half of that
	// is there.
	unusedTime = 500 * time.Millisecond
)

// rateLimit is the limit of requests per second that a target names for all routers together, and this router's part of it. The zero
// value is no limit.
type rateLimit struct {
	// perSecond is the limit, 0 if there is none.
	perSecond float64
	// confirmedAt is the time of the last answer, to this router or to a peer, that named the limit. reportedAt is the time of this router's
	// last report to the peers.
	confirmedAt, reportedAt time.Time
	// own are the times at which this router may send a request as its part of the limit, extra those at which it may send one more if
	// the routers together leave a part of the limit unused.
	own, extra sendSlots
	// heardFraction is the fraction of the limit that belongs to this router and to those that report their requests to it.
	heardFraction float64
	// unused is the number of requests that these routers together have left unused. It is negative if they sent too many.
	unused   float64
	unusedAt time.Time
}

// applies reports whether there is a limit that was confirmed recently.
func (l *rateLimit) applies(now time.Time) bool {
	return l.perSecond > 0 && now.Sub(l.confirmedAt) < rateLimitTTL
}

// allows reports whether this router may send the target a request now.
func (l *rateLimit) allows(now time.Time) bool {
	return !l.applies(now) || l.own.open(now) || l.extra.open(now) && l.unusedAtTime(now) >= max(l.unusedCapacity()/2, 1)
}

// take records a request of this router.
func (l *rateLimit) take(now time.Time) {
	if !l.applies(now) {
		return
	}
	if l.own.open(now) {
		l.own = l.own.withTaken(now)
	} else {
		l.extra = l.extra.withTaken(now)
	}
	l.takeUnused(now, 1)
}

// takeUnused records requests of any router.
func (l *rateLimit) takeUnused(now time.Time, count float64) {
	l.unused, l.unusedAt = l.unusedAtTime(now)-count, now
}

// unusedAtTime returns the number of requests that are left unused at a time.
func (l *rateLimit) unusedAtTime(now time.Time) float64 {
	return min(l.unused+l.perSecond*l.heardFraction*max(now.Sub(l.unusedAt), 0).Seconds(), l.unusedCapacity())
}

// unusedCapacity returns the number of unused requests that are saved up at most.
func (l *rateLimit) unusedCapacity() float64 { return max(l.perSecond*unusedTime.Seconds(), 1) }

// sendSlots are times at regular intervals, at each of which a router may send one request. A slot that is not used within slotTTL is
// lost, so that routers which were idle cannot all send the requests that they saved up at the same time.
type sendSlots struct {
	// interval is the time between two slots, 0 if there are none.
	interval time.Duration
	// nextAt is the time of the next slot.
	nextAt time.Time
}

// newSendSlots returns slots at a rate. The first one is at a fraction of the interval from now.
func newSendSlots(now time.Time, perSecond, fraction float64) sendSlots {
	if perSecond <= 0 {
		return sendSlots{}
	}
	interval := time.Duration(min(float64(time.Second)/perSecond, float64(maxSlotInterval)))
	interval = max(interval, time.Nanosecond) // A very high rate must not look like one of zero.
	return sendSlots{interval: interval, nextAt: now.Add(time.Duration(fraction * float64(interval)))}
}

// open reports whether there is a slot that can be used now.
func (s sendSlots) open(now time.Time) bool {
	return s.interval > 0 && !now.Before(s.withoutLost(now).nextAt)
}

// withTaken returns the slots after the use of the next one.
func (s sendSlots) withTaken(now time.Time) sendSlots {
	s = s.withoutLost(now)
	s.nextAt = s.nextAt.Add(s.interval)
	return s
}

// withoutLost returns the slots without those that were not used in time.
func (s sendSlots) withoutLost(now time.Time) sendSlots {
	if late := now.Sub(s.nextAt) - slotTTL; s.interval > 0 && late > 0 {
		s.nextAt = s.nextAt.Add((late/s.interval + 1) * s.interval)
	}
	return s
}

// RecordRateLimit records the number of requests per second that a target takes from all routers together, as its last answer says; 0
// means that it names no limit. It reports whether that differs from what was known.
func (d *Dispatcher) RecordRateLimit(now time.Time, target string, perSecond float64) bool {
	state, listed := d.targets[target]
	if !listed {
		return false
	}
	limit := &state.rateLimit
	changed := limit.perSecond != perSecond
	d.setRateLimit(now, state, perSecond)
	if changed || perSecond > 0 && now.Sub(limit.reportedAt) >= rateLimitReportPeriod {
		limit.reportedAt = now
		for _, p := range d.peers {
			p.unreportedLimits[state.nameHash] = perSecond
		}
		d.markChanged(state)
	}
	return changed
}

// setRateLimit sets or confirms the limit of a target.
func (d *Dispatcher) setRateLimit(now time.Time, state *targetState, perSecond float64) {
	limit := &state.rateLimit
	if perSecond > 0 && !limit.applies(now) {
		limit.unused, limit.unusedAt = 0, now
	}
	limit.confirmedAt = now
	if limit.perSecond != perSecond {
		limit.perSecond = perSecond
		d.divideRateLimit(now, state)
	}
}

// SetRouters sets how many routers there are in each availability zone, this one included, by the records in the store. Limits are divided
// among them whether or not this router is linked with them.
func (d *Dispatcher) SetRouters(now time.Time, byZone map[string]int) {
	d.routersByZone = byZone
	d.divideRateLimits(now)
}

// divideRateLimits divides the limits of all targets anew, because the known routers have changed.
func (d *Dispatcher) divideRateLimits(now time.Time) {
	for _, state := range d.targets {
		if state.rateLimit.perSecond > 0 {
			d.divideRateLimit(now, state)
		}
	}
}

// divideRateLimit sets this router's part of a target's limit. Most of it goes to the routers of the target's availability zone, in
// equal parts.
func (d *Dispatcher) divideRateLimit(now time.Time, state *targetState) {
	linked := d.linkedRouters()
	parts := newLimitParts(state.Zone, d.knownRouters(linked))
	limit := &state.rateLimit
	limit.heardFraction = 0
	for zone, count := range linked {
		limit.heardFraction += float64(count) * parts.of(zone)
	}
	limit.own = newSendSlots(now, limit.perSecond*parts.of(d.locality.Zone), d.random.Float64())
	limit.extra = newSendSlots(now, limit.perSecond/float64(parts.routers), d.random.Float64())
}

// limitParts says how the limit of a target is divided among the routers.
type limitParts struct {
	// targetZone is the availability zone of the target.
	targetZone string
	// routers is the number of all routers, local that of those in targetZone.
	routers, local int
}

// newLimitParts returns how the limit of a target in an availability zone is divided among routers.
func newLimitParts(targetZone string, byZone map[string]int) limitParts {
	parts := limitParts{targetZone: targetZone, local: byZone[targetZone]}
	for _, count := range byZone {
		parts.routers += count
	}
	return parts
}

// of returns the part of each router in an availability zone as a fraction of the limit.
func (p limitParts) of(zone string) float64 {
	switch {
	case p.local == 0 || p.local == p.routers:
		return 1 / float64(p.routers)
	case zone == p.targetZone:
		return localFraction / float64(p.local)
	default:
		return (1 - localFraction) / float64(p.routers-p.local)
	}
}

// linkedRouters returns the number of routers in each availability zone that this router is linked with, itself included.
func (d *Dispatcher) linkedRouters() map[string]int {
	byZone := map[string]int{d.locality.Zone: 1}
	for _, p := range d.peers {
		byZone[p.Zone]++
	}
	return byZone
}

// knownRouters returns the number of routers in each availability zone: those in the store, or the linked ones if these are more.
func (d *Dispatcher) knownRouters(linked map[string]int) map[string]int {
	known := maps.Clone(linked)
	for zone, count := range d.routersByZone {
		known[zone] = max(known[zone], count)
	}
	return known
}

// receiveRateLimit takes a peer's report on the limit of a target and on its requests there.
func (d *Dispatcher) receiveRateLimit(now time.Time, state *targetState, named *float64, started uint32) {
	if named != nil && *named >= 0 && !math.IsInf(*named, 0) {
		d.setRateLimit(now, state, *named)
	}
	if started > 0 && state.rateLimit.applies(now) {
		state.rateLimit.takeUnused(now, float64(started))
	}
}
