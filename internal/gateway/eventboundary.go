package gateway

import "github.com/chicorydale/chicorydale/internal/forward"

// maxEventBytes is the maximum size of an event. A stream with a larger one is broken off.
const maxEventBytes = 256 << 10

// eventBoundary follows a stream of server-sent events and tells whether its last byte is inside an event. An empty line ends an
// event; a line ends with CR, LF or both. Its zero value is the start of a stream. It is not safe for concurrent use.
type eventBoundary struct {
	// eventOpen is set after the first line of an event until its end, lineOpen inside a line.
	eventOpen, lineOpen bool
	// eventBytes is the number of bytes since the last event ended.
	eventBytes int
	// isComment is set if the last line is a comment. Comments belong to no event.
	isComment bool
	// endedEvents is the number of events that have ended.
	endedEvents int
	// afterCR is set if the last byte was a CR, so that a following LF belongs to the same end of line.
	afterCR bool
}

// add takes the next bytes of the stream. It returns an *eventTooLongError if an event is too long.
func (b *eventBoundary) add(data []byte) error {
	for _, char := range data {
		b.eventBytes++
		switch {
		case char == '\n' && b.afterCR:
			b.afterCR = false
		case char == '\n' || char == '\r':
			b.endLine()
			b.afterCR = char == '\r'
		default:
			b.isComment = b.isComment || char == ':' && !b.lineOpen
			b.lineOpen, b.afterCR = true, false
		}
	}
	if b.eventBytes > maxEventBytes {
		return &eventTooLongError{}
	}
	return nil
}

// endLine handles the end of a line.
func (b *eventBoundary) endLine() {
	switch {
	case !b.lineOpen:
		if b.eventOpen {
			b.endedEvents++
		}
		b.eventOpen, b.eventBytes = false, 0
	case !b.isComment:
		b.eventOpen = true
	}
	b.lineOpen, b.isComment = false, false
}

// inside reports whether the stream so far ends inside an event or a line.
func (b *eventBoundary) inside() bool { return b.eventOpen || b.lineOpen }

// checkEnd returns a *streamEndError if a stream with the given framing was broken off, as far as its bytes show: it ended inside an
// event, or its connection ended before the first one.
func (b *eventBoundary) checkEnd(framing forward.Framing) error {
	if b.inside() || framing == forward.FramedByConnection && b.endedEvents == 0 {
		return &streamEndError{framing: framing, insideEvent: b.inside()}
	}
	return nil
}
