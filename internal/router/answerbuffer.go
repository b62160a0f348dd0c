package router

import (
	"context"
	"sync"

	"github.com/chicorydale/chicorydale/internal/external"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// answerBuffer holds the tokens of one streamed answer. It is safe for concurrent use. Tokens are added as fast as the
// target sends them, however slowly the caller's connection reads, so that a slow caller does not occupy a slot of the
// target for longer than the call takes.
type answerBuffer struct {
	mu          sync.Mutex
	resumeToken string
	tokens      []external.Token
	// delivered is set when a reader may have passed a part of the answer to the caller.
	delivered bool
	ended     bool
	// refusalErr is why the answer is incomplete, or nil.
	refusalErr *refusal.Error
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// newAnswerBuffer returns an empty buffer. With the resume token a caller can continue the stream through any router.
func newAnswerBuffer(resumeToken string) *answerBuffer {
	return &answerBuffer{resumeToken: resumeToken, changed: make(chan struct{})}
}

// addToken appends a token and wakes the readers.
func (a *answerBuffer) addToken(token external.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = append(a.tokens, token)
	a.notifyReaders()
}

// end ends the answer, with a nil refusal if it is complete. Only the first call has an effect.
func (a *answerBuffer) end(refusalErr *refusal.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.refusalErr = true, refusalErr
	a.notifyReaders()
}

// restart removes the tokens of a failed attempt, so that another target can run the call, and sets the resume token. It
// returns false and changes nothing if the answer has ended or the caller may have received a part of it, since the tokens
// of a second attempt can differ from those of the first.
func (a *answerBuffer) restart(resumeToken string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.delivered || a.ended {
		return false
	}
	a.resumeToken, a.tokens = resumeToken, nil
	return true
}

// notifyReaders wakes all waiting readers. The caller must hold the lock.
func (a *answerBuffer) notifyReaders() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// awaitFirstToken waits for the first token or the end of the answer. It returns a refusal if the answer was refused without
// a token or the context ended. Nothing has been sent to the caller before that, so the response can carry the status of the
// refusal.
func (a *answerBuffer) awaitFirstToken(ctx context.Context) *refusal.Error {
	if _, err := a.awaitStart(ctx); err != nil {
		return refusal.New(refusal.Expired, "the caller has gone").WithExecutionUnknown()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.tokens) > 0 {
		return nil
	}
	return a.refusalErr
}

// awaitStart waits for the first token or the end of the answer and returns the resume token, which is final from then on. It
// returns the context's error if the context ends first.
func (a *answerBuffer) awaitStart(ctx context.Context) (string, error) {
	for {
		a.mu.Lock()
		resumeToken, changed := a.resumeToken, a.changed
		if len(a.tokens) > 0 || a.ended {
			a.delivered = true
			a.mu.Unlock()
			return resumeToken, nil
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// awaitToken waits for the token at a position, counted from zero in this buffer. If the answer ends before it, ended is
// true and err is the *refusal.Error of an incomplete answer, or nil. If the context ends first, err is the context's error.
func (a *answerBuffer) awaitToken(ctx context.Context, position int) (token external.Token, ended bool, err error) {
	for {
		a.mu.Lock()
		if position < len(a.tokens) {
			token = a.tokens[position]
			a.mu.Unlock()
			return token, false, nil
		}
		ended, refusalErr, changed := a.ended, a.refusalErr, a.changed
		a.mu.Unlock()
		if ended && refusalErr != nil {
			return external.Token{}, true, refusalErr
		}
		if ended {
			return external.Token{}, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return external.Token{}, false, ctx.Err()
		}
	}
}
