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

// eventStream renders an answer as server-sent events. Each Read returns at most one event, so that the writer can
// flush event by event.
type eventStream struct {
	ctx      context.Context
	answer   *answer
	from     int64
	position int
	pending  bytes.Buffer
	opened   bool
	ended    bool
}

// newEventStream returns a reader of the answer's events; the first token has the index from.
func newEventStream(ctx context.Context, a *answer, from int64) *eventStream {
	return &eventStream{ctx: ctx, answer: a, from: from}
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.pending.Len() == 0 {
		if err := s.fill(); err != nil {
			return 0, err
		}
	}
	return s.pending.Read(p)
}

// fill renders the next event. The start event waits for the first token, since until then the call can still move to
// another target, which changes the resume token.
func (s *eventStream) fill() error {
	if s.ended {
		return io.EOF
	}
	if !s.opened {
		resume, err := s.answer.opened(s.ctx)
		if err != nil {
			return err
		}
		s.opened = true
		s.render("start", s.from, map[string]string{"token": resume})
		return nil
	}
	token, ended, err := s.answer.next(s.ctx, s.position)
	index := s.from + int64(s.position)
	var refused *refusal.Error
	switch {
	case errors.As(err, &refused):
		s.ended = true
		s.render("error", index, &encodeRefusal(refused).Response)
	case err != nil:
		return err
	case ended:
		s.ended = true
		s.render("end", index, map[string]int64{"tokens": index})
	default:
		s.position++
		s.render("token", token.Index, token)
	}
	return nil
}

// render writes one event.
func (s *eventStream) render(name string, index int64, data any) {
	encoded, err := json.Marshal(data)
	if err != nil {
		encoded = []byte("{}")
	}
	fmt.Fprintf(&s.pending, "event: %s\nid: %d\ndata: %s\n\n", name, index, encoded)
}
