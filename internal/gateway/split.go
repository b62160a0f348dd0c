package gateway

import (
	"bytes"
	"strconv"
	"strings"
)

// eventSplitter cuts a stream of events into whole events. A target may stop in the middle of one, and only whole ones
// may be passed on if another target goes on with the stream.
type eventSplitter struct {
	pending []byte
	// last is the id of the last whole event.
	last string
	// after is the id of the last event before another target went on with the stream, until its first event was seen.
	after string
}

// resume notes that another target goes on with the stream.
func (s *eventSplitter) resume() { s.pending, s.after = nil, s.last }

// add takes bytes of the stream and returns all whole events that were not returned before. The result is valid until
// the next call. The error is a *restartedError if the target that was to go on with the stream began it anew.
func (s *eventSplitter) add(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, []byte("\n\n"))
	if windows := bytes.LastIndex(s.pending, []byte("\r\n\r\n")); windows >= 0 && windows+2 > end {
		end = windows + 2
	}
	if end < 0 {
		return nil, nil
	}
	whole := s.pending[:end+2]
	ids := idsOf(whole)
	if len(ids) > 0 {
		if s.after != "" && !follows(ids[0], s.after) {
			return nil, &restartedError{after: s.after, id: ids[0]}
		}
		s.last, s.after = ids[len(ids)-1], ""
	}
	s.pending = append([]byte(nil), s.pending[end+2:]...)
	return whole, nil
}

// rest returns the bytes behind the last whole event, which belong to a stream that is complete.
func (s *eventSplitter) rest() []byte {
	rest := s.pending
	s.pending = nil
	return rest
}

// idsOf returns the ids of the events that have one.
func idsOf(events []byte) []string {
	var ids []string
	for line := range strings.Lines(string(events)) {
		if value, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "id:"); ok {
			ids = append(ids, strings.TrimSpace(value))
		}
	}
	return ids
}

// follows tells whether an event can come after another one, by their ids. Ids that are no numbers are not compared.
func follows(id, after string) bool {
	next, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return id != after
	}
	before, err := strconv.ParseUint(after, 10, 64)
	return err != nil || next > before
}
