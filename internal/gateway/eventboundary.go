package gateway

// eventBoundary follows a stream of server-sent events and tells whether its last byte is inside an event. An empty line ends an
// event; a line ends with CR, LF or both. Its zero value is the start of a stream. It is not safe for concurrent use.
type eventBoundary struct {
	// eventOpen is set after the first line of an event until its end, lineOpen inside a line.
	eventOpen, lineOpen bool
	// isComment is set if the last line is a comment. Comments belong to no event.
	isComment bool
	// afterCR is set if the last byte was a CR, so that a following LF belongs to the same end of line.
	afterCR bool
}

// add takes the next bytes of the stream.
func (b *eventBoundary) add(data []byte) {
	for _, char := range data {
		switch {
		case char == '\n' && b.afterCR:
			b.afterCR = false
		case char == '\n' || char == '\r':
			b.endLine()
			b.afterCR = char == '\r'
		default:
			b.isComment = char == ':' && !b.lineOpen || b.isComment && b.lineOpen
			b.lineOpen, b.afterCR = true, false
		}
	}
}

// endLine handles the end of a line.
func (b *eventBoundary) endLine() {
	switch {
	case !b.lineOpen:
		b.eventOpen = false
	case !b.isComment:
		b.eventOpen = true
	}
	b.lineOpen = false
}

// inside reports whether the stream so far ends inside an event or a line.
func (b *eventBoundary) inside() bool { return b.eventOpen || b.lineOpen }
