package dispatch

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

// backlogLimit returns the number of unread tokens that a target may have, given the normal limit.
func (h headroom) backlogLimit(normal float64) float64 { return normal * (1 + h.backlog) }
