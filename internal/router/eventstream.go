package router

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/chicorydale/chicorydale/internal/refusal"
)

// eventStream reads an answer as server-sent events. One Read returns bytes of one event at most, so that flushWriter flushes
// after each event.
type eventStream struct {
	ctx        context.Context
	answer     *answerBuffer
	firstIndex int64
	tokensRead int
	// pending is the part of the current event that has not been read yet.
	pending       bytes.Buffer
	startRendered bool
	endRendered   bool
}

// newEventStream returns a reader of the answer's events. The index of the answer's first token is firstIndex, which is
// above zero for a stream that is resumed in the middle. The context ends the wait for tokens.
func newEventStream(ctx context.Context, answer *answerBuffer, firstIndex int64) *eventStream {
	return &eventStream{ctx: ctx, answer: answer, firstIndex: firstIndex}
}

// Read implements io.Reader. It waits for the next event and returns io.EOF after the end or error event.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.pending.Len() == 0 {
		if err := s.renderNext(); err != nil {
			return 0, err
		}
	}
	return s.pending.Read(p)
}

// renderNext waits for the next event and renders it. The start event is rendered only after the first token has arrived,
// since the call can move to another target until then, which changes the resume token.
func (s *eventStream) renderNext() error {
	if s.endRendered {
		return io.EOF
	}
	if !s.startRendered {
		resumeToken, err := s.answer.awaitStart(s.ctx)
		if err != nil {
			return err
		}
		s.startRendered = true
		s.renderEvent("start", s.firstIndex, map[string]string{"token": resumeToken})
		return nil
	}
	token, ended, err := s.answer.awaitToken(s.ctx, s.tokensRead)
	index := s.firstIndex + int64(s.tokensRead)
	var refusalErr *refusal.Error
	switch {
	case errors.As(err, &refusalErr):
		s.endRendered = true
		s.renderEvent("error", index, &encodeRefusal(refusalErr).Response)
	case err != nil:
		return err
	case ended:
		s.endRendered = true
		s.renderEvent("end", index, map[string]int64{"tokens": index})
	default:
		s.tokensRead++
		s.renderEvent("token", token.Index, token)
	}
	return nil
}

// renderEvent appends one event to the pending bytes, with the index as its id.
func (s *eventStream) renderEvent(name string, index int64, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		encoded = []byte("{}")
	}
	fmt.Fprintf(&s.pending, "event: %s\nid: %d\ndata: %s\n\n", name, index, encoded)
}
