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

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/external/wire"
)

// maxLineBytes limits one line of a response.
const maxLineBytes = 64 << 10

// stream implements external.Stream for the body of a response. It is not safe for concurrent use.
type stream struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	target      string
	incarnation string
	idleTimeout time.Duration
	body        io.ReadCloser
	lines       *bufio.Scanner
	nextIndex   int64
	complete    bool
	err         error
}

// newStream returns the stream of a response. The index of the first token is from.
func newStream(ctx context.Context, client *Client, response *http.Response, cancel context.CancelCauseFunc,
	from int64,
) *stream {
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxLineBytes)
	return &stream{
		ctx: ctx, cancel: cancel, target: client.name, incarnation: response.Header.Get(wire.IncarnationHeader),
		idleTimeout: client.idleTimeout, body: response.Body, lines: lines, nextIndex: from,
	}
}

// Incarnation identifies the run of the engine's process that serves the stream, empty if the engine did not report it.
func (s *stream) Incarnation() string { return s.incarnation }

// Next waits for the next token. It returns io.EOF only after an end line whose token count matches the tokens received,
// otherwise an *external.CrashedError. After an error, it returns the same error again.
func (s *stream) Next() (external.Token, error) {
	if s.err != nil {
		return external.Token{}, s.err
	}
	line, err := s.readLine()
	switch {
	case err != nil:
	case line.Error != "":
		err = errors.New(line.Error)
	case line.Index != s.nextIndex:
		err = fmt.Errorf("index %d instead of %d", line.Index, s.nextIndex)
	case line.End:
		s.complete, s.err = true, io.EOF
		return external.Token{}, io.EOF
	default:
		s.nextIndex++
		return external.Token{Index: line.Index, Text: line.Text}, nil
	}
	s.err = &external.CrashedError{Target: s.target, Cause: err}
	return external.Token{}, s.err
}

// Close closes the response. It does not cancel the call at the engine.
func (s *stream) Close() error {
	if s.complete {
		// The connection is reused only if the response was read to the end.
		_, _ = s.readLine()
	}
	err := s.body.Close()
	s.cancel(context.Canceled)
	return err
}

// readLine reads the next line that is not empty. The idle timeout runs only while a line is awaited, so that a slow reader
// does not interrupt its own stream.
func (s *stream) readLine() (wire.StreamLine, error) {
	timer := time.AfterFunc(s.idleTimeout, func() { s.cancel(errIdleTimeout) })
	defer timer.Stop()
	for s.lines.Scan() {
		if len(s.lines.Bytes()) == 0 {
			timer.Reset(s.idleTimeout)
			continue
		}
		var line wire.StreamLine
		err := json.Unmarshal(s.lines.Bytes(), &line)
		return line, err
	}
	if s.ctx.Err() != nil {
		return wire.StreamLine{}, context.Cause(s.ctx)
	}
	if err := s.lines.Err(); err != nil {
		return wire.StreamLine{}, err
	}
	return wire.StreamLine{}, io.ErrUnexpectedEOF
}
