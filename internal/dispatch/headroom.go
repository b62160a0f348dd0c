package dispatch

import "time"

// headroom is how far a target may be used beyond its normal limits. Such a request waits in the target's own queue.
type headroom struct {
	// slots is a fraction of the target's slots, backlog a fraction of the unread tokens that it is normally sent.
	slots, backlog float64
}

var (
	noHeadroom   = headroom{}
	fullHeadroom = headroom{slots: 0.125, backlog: 0.5}
)

// slotLimit returns the number of runs that a target with the given slots may have. Any headroom is at least one run.
func (h headroom) slotLimit(slots int) float64 {
	limit := float64(max(slots, 1))
	if h.slots > 0 {
		limit += max(limit*h.slots, 1)
	}
	return limit
}

const (
	// foreignFraction is the fraction of a target's slots that the routers of each other region may use while they do not hear those of the
	// target's region and know nothing of its load. More would overfill it, since these use all slots.
	foreignFraction = 0.125
	// foreignFreeFraction is the fraction of the free slots that they may use by the target's own report, which other regions see as well.
	foreignFreeFraction = 0.5
	// foreignReportTTL is the time for which such a report counts.
	foreignReportTTL = 3 * time.Second
)

// foreignSlotLimit returns the number of runs that the routers of a region may have at a target in a region that they do not hear.
func (t *targetState) foreignSlotLimit(now time.Time) float64 {
	slots := float64(max(t.Slots, 1))
	limit := max(slots*foreignFraction, 1)
	if t.otherRunsAt.IsZero() || now.Sub(t.otherRunsAt) > foreignReportTTL {
		return limit
	}
	return max(limit, (slots-max(t.otherRuns-float64(t.peerRuns), 0))*foreignFreeFraction)
}

// backlogLimit returns the number of unread tokens that a target may have, given the normal limit.
func (h headroom) backlogLimit(normal float64) float64 { return normal * (1 + h.backlog) }
