package engineclient

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/outside/wire"
)

// lineBytes bounds one line of an answer.
const lineBytes = 64 << 10

// stream implements outside.Stream on the body of a response.
type stream struct {
	ctx     context.Context
	cancel  context.CancelCauseFunc
	target  string
	process string
	silence time.Duration
	body    io.ReadCloser
	lines   *bufio.Scanner
	next    int64
	whole   bool
	err     error
}

// newStream returns the stream of a response, whose first token has index from.
func newStream(ctx context.Context, client *Client, response *http.Response, cancel context.CancelCauseFunc,
	from int64,
) *stream {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, lineBytes)
	return &stream{
		ctx: ctx, cancel: cancel, target: client.name, process: response.Header.Get(wire.IncarnationHeader),
		silence: client.silence, body: response.Body, lines: lines, next: from,
	}
}

// Incarnation names the engine's process that answers.
func (s *stream) Incarnation() string { return s.process }

// Next waits for the next token. It returns io.EOF only after the engine's end marker and the number of tokens that it
// gives, else a *outside.CrashedError; after an error it returns the same error again.
func (s *stream) Next() (outside.Token, error) {
	if s.err != nil {
		return outside.Token{}, s.err
	}
	event, err := s.event()
	switch {
	case err != nil:
	case event.Error != "":
		err = errors.New(event.Error)
	case event.Index != s.next:
		err = fmt.Errorf("index %d instead of %d", event.Index, s.next)
	case event.End:
		s.whole, s.err = true, io.EOF
		return outside.Token{}, io.EOF
	default:
		s.next++
		return outside.Token{Index: event.Index, Text: event.Text}, nil
	}
	s.err = &outside.CrashedError{Target: s.target, Cause: err}
	return outside.Token{}, s.err
}

// Close releases the stream; it does not cancel the call.
func (s *stream) Close() error {
	if s.whole {
		// A connection is used again only if its response was read to the end.
		_, _ = s.event()
	}
	err := s.body.Close()
	s.cancel(context.Canceled)
	return err
}

// event reads the next line that is not empty. The silence limit runs only while a line is awaited, so that a slow
// reader does not break its own stream.
func (s *stream) event() (wire.StreamLine, error) {
	timer := time.AfterFunc(s.silence, func() { s.cancel(errSilent) })
	defer timer.Stop()
	for s.lines.Scan() {
		if len(s.lines.Bytes()) == 0 {
			timer.Reset(s.silence)
			continue
		}
		var event wire.StreamLine
		err := json.Unmarshal(s.lines.Bytes(), &event)
		return event, err
	}
	if s.ctx.Err() != nil {
		return wire.StreamLine{}, context.Cause(s.ctx)
	}
	if err := s.lines.Err(); err != nil {
		return wire.StreamLine{}, err
	}
	return wire.StreamLine{}, io.ErrUnexpectedEOF
}
