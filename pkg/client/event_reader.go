package client

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// sseEvent is one server-sent event.
type sseEvent struct {
	eventType, id string
	data          []byte
}

// eventReader parses a stream of server-sent events. It buffers at most one line and the data of one event, each of at
// most maxBytes.
type eventReader struct {
	input    *bufio.Reader
	maxBytes int
}

// newEventReader returns a reader that fails on a line or on event data of more than maxBytes bytes.
func newEventReader(input io.Reader, maxBytes int) *eventReader {
	return &eventReader{input: bufio.NewReader(input), maxBytes: maxBytes}
}

// next waits for the next event. It returns io.ErrUnexpectedEOF at the end of the input; an event that is cut off by the
// end is discarded. A *ProtocolError means that a limit was exceeded.
func (r *eventReader) next() (sseEvent, error) {
	var event sseEvent
	hasFields := false
	for {
		line, err := r.readLine()
		if err != nil {
			return sseEvent{}, err
		}
		if len(line) == 0 {
			if hasFields {
				return event, nil
			}
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "event":
			event.eventType, hasFields = string(value), true
		case "id":
			event.id, hasFields = string(value), true
		case "data":
			if event.data != nil {
				event.data = append(event.data, '\n')
			}
			event.data, hasFields = append(event.data, value...), true
		}
		if len(event.data) > r.maxBytes {
			return sseEvent{}, protocolErrorf("an event exceeds %d bytes", r.maxBytes)
		}
	}
}

// readLine returns the next line without its line terminator. If the input ends, also within a line, it returns
// io.ErrUnexpectedEOF.
func (r *eventReader) readLine() ([]byte, error) {
	var line []byte
	for {
		chunk, err := r.input.ReadSlice('\n')
		line = append(line, chunk...)
		if len(line) > r.maxBytes+len("\r\n") {
			return nil, protocolErrorf("a line exceeds %d bytes", r.maxBytes)
		}
		switch {
		case err == nil:
			return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")), nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		default:
			return nil, err
		}
	}
}
