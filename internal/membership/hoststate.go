package membership

import (
	"slices"
	"time"
)

const (
	// selfReportPrecedence is the time for which a host's own report overrides marks of peers about another incarnation.
	selfReportPrecedence = 5 * time.Second
	// maxFormerIncarnations bounds the number of former incarnations that are kept for each host.
	maxFormerIncarnations = 8
)

// hostState is what this router knows of the current incarnation of a router or target. A leaving mark of an incarnation is
// never cleared, except by the host list while no incarnation is known.
type hostState struct {
	// incarnation identifies the start of the host's process, empty if unknown.
	incarnation string
	leaving     bool
	// lastSelfReport is the time at which the host itself last reported its incarnation: a new session, a heartbeat or a
	// load report.
	lastSelfReport time.Time
	// lastLoadReport is the time at which the newest load report was measured, not that of its arrival.
	lastLoadReport time.Time
	// lastMarkReceived is the time at which a peer last sent a mark of the host.
	lastMarkReceived time.Time
	// formerIncarnations lists replaced incarnations, oldest first. Marks of peers about them are ignored.
	formerIncarnations []string
}

// applySelfReport applies a report of the host itself, which overrides what peers said: the incarnation is accepted even if it
// was taken for a former one. The result is that of applyMark.
func (h *hostState) applySelfReport(now time.Time, incarnation string, leaving bool) (propagate bool) {
	h.lastSelfReport = now
	h.formerIncarnations = slices.DeleteFunc(h.formerIncarnations, func(former string) bool { return former == incarnation })
	return h.applyMark(incarnation, leaving)
}

// applyMark applies an incarnation and its leaving mark. An empty incarnation means the current one; former incarnations are
// ignored. It reports whether peers must be told, because the leaving mark is new or because an incarnation with the mark was
// replaced.
func (h *hostState) applyMark(incarnation string, leaving bool) (propagate bool) {
	if incarnation != "" && slices.Contains(h.formerIncarnations, incarnation) {
		return false
	}
	if h.incarnation != "" && incarnation != "" && incarnation != h.incarnation {
		h.formerIncarnations = append(h.formerIncarnations, h.incarnation)
		h.formerIncarnations = h.formerIncarnations[max(0, len(h.formerIncarnations)-maxFormerIncarnations):]
		propagate = h.leaving
		h.incarnation, h.leaving = incarnation, false
	}
	if h.incarnation == "" {
		h.incarnation = incarnation
	}
	if leaving && !h.leaving {
		h.leaving, propagate = true, true
	}
	return propagate
}

// applyListMark applies the leaving mark of a host list, which applies to the current incarnation. While no incarnation is known,
// a newer list can also clear the mark. The result is that of applyMark.
func (h *hostState) applyListMark(leaving bool) (propagate bool) {
	if !leaving && h.incarnation == "" {
		h.leaving = false
	}
	return h.applyMark("", leaving)
}
