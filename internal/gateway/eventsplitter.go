package gateway

import (
	"bytes"
	"strconv"
	"strings"
)

// eventSplitter splits a stream of server-sent events into complete events. A target may fail in the middle of an event,
// and another target can only continue the stream after a complete one. It is not safe for concurrent use.
type eventSplitter struct {
	// pending holds the bytes after the last complete event.
	pending []byte
	// lastID is the ID of the last complete event that has one.
	lastID string
	// resumeAfter is the ID that the first event of the next target must follow. It is empty unless the stream was resumed
	// and that event has not arrived yet.
	resumeAfter string
}

// resume discards an incomplete event. It is called before another target continues the stream.
func (s *eventSplitter) resume() { s.pending, s.resumeAfter = nil, s.lastID }

// add takes the next bytes of the stream and returns all events that are now complete. The result is valid until the next
// call. It returns a *streamRestartedError if a target repeats an event instead of continuing the stream.
func (s *eventSplitter) add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, []byte("\n\n"))
	if crlfEnd := bytes.LastIndex(s.pending, []byte("\r\n\r\n")); crlfEnd >= 0 && crlfEnd+2 > end {
		end = crlfEnd + 2
	}
	if end < 0 {
		return nil, nil
	}
	events := s.pending[:end+2]
	ids := eventIDs(events)
	if len(ids) > 0 {
		if s.resumeAfter != "" && !idFollows(ids[0], s.resumeAfter) {
			return nil, &streamRestartedError{after: s.resumeAfter, got: ids[0]}
		}
		s.lastID, s.resumeAfter = ids[len(ids)-1], ""
	}
	s.pending = append([]byte(nil), s.pending[end+2:]...)
	return events, nil
}

// takeRest returns and removes the bytes after the last complete event: empty lines and comments, if the stream is complete.
func (s *eventSplitter) takeRest() []byte {
	rest := s.pending
	s.pending = nil
	return rest
}

// eventIDs returns the IDs of the events that have one, in order.
func eventIDs(events []byte) []string {
	var ids []string
	for line := range strings.Lines(string(events)) {
		if value, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:"); ok {
			ids = append(ids, strings.TrimSpace(value))
		}
	}
	return ids
}

// idFollows reports whether an event with the given ID can come after the event with the ID after. Numeric IDs must
// increase; other IDs must only differ.
func idFollows(id, after string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return id != after
	}
	previous, err := strconv.ParseUint(after, 10, 64)
	return err != nil || next > previous
}
