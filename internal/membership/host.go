package membership

import (
	"slices"
	"time"
)

const (
	// direct is the time for which a host's own word outweighs news of another incarnation of it.
	direct = 5 * time.Second
	// maxRetired bounds the former incarnations that are remembered of a host.
	maxRetired = 8
)

// host is what a router knows of one listed host's incarnation. A leaving mark is permanent for its incarnation.
type host struct {
	// incarnation is empty until one was seen.
	incarnation string
	leaving     bool
	// seen is the last instant at which the host's own word came in: a message or a load report.
	seen time.Time
	// reported is the instant that the newest load report describes.
	reported time.Time
	// noted is the last instant at which a peer told of the host.
	noted time.Time
	// retired are former incarnations, oldest first; the word of others about them is ignored.
	retired []string
}

// hear takes the host's own word about its incarnation, which outweighs what others said. It tells whether others are
// to be told.
func (h *host) hear(now time.Time, incarnation string, leaving bool) (news bool) {
	h.seen = now
	h.retired = slices.DeleteFunc(h.retired, func(former string) bool { return former == incarnation })
	return h.observe(incarnation, leaving)
}

// observe takes an incarnation and its leaving mark; an empty incarnation is the present one. It tells whether others
// are to be told: of a new mark, or that a marked incarnation is gone.
func (h *host) observe(incarnation string, leaving bool) (news bool) {
	if incarnation != "" && slices.Contains(h.retired, incarnation) {
		return false
	}
	if h.incarnation != "" && incarnation != "" && incarnation != h.incarnation {
		h.retired = append(h.retired, h.incarnation)
		h.retired = h.retired[max(0, len(h.retired)-maxRetired):]
		news = h.leaving
		h.incarnation, h.leaving = incarnation, false
	}
	if h.incarnation == "" {
		h.incarnation = incarnation
	}
	if leaving && !h.leaving {
		h.leaving, news = true, true
	}
	return news
}

// list takes the mark of the host list. Without a known incarnation the newest list decides.
func (h *host) list(leaving bool) (news bool) {
	if !leaving && h.incarnation == "" {
		h.leaving = false
	}
	return h.observe("", leaving)
}
