package client

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// message is one event of an event stream.
type message struct {
	name, id string
	data     []byte
}

// reader splits an event stream into messages. It holds at most one line and the data of one message, both bounded.
type reader struct {
	input *bufio.Reader
	limit int
}

// newReader returns a reader that refuses lines and data of more than limit bytes.
func newReader(input io.Reader, limit int) *reader {
	return &reader{input: bufio.NewReader(input), limit: limit}
}

// next waits for the next message. A message that the end of the input cuts off is not returned.
func (r *reader) next() (message, error) {
	var read message
	filled := false
	for {
		line, err := r.readLine()
		if err != nil {
			return message{}, err
		}
		if len(line) == 0 {
			if filled {
				return read, nil
			}
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "event":
			read.name, filled = string(value), true
		case "id":
			read.id, filled = string(value), true
		case "data":
			if read.data != nil {
				read.data = append(read.data, '\n')
			}
			read.data, filled = append(read.data, value...), true
		}
		if len(read.data) > r.limit {
			return message{}, protocol("an event has more than %d bytes", r.limit)
		}
	}
}

// readLine returns the next line without its end; a line without an end is an unexpected end of the input.
func (r *reader) readLine() ([]byte, error) {
	var line []byte
	for {
		part, err := r.input.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > r.limit+len("\r\n") {
			return nil, protocol("a line has more than %d bytes", r.limit)
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
