package router

import (
	"context"
	"sync"

	"github.com/chicorydale/chicorydale/internal/outside"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// answer holds the tokens of one streamed call. The run adds to it at the target's pace and the caller's connection
// reads from it at its own, so that a slow caller does not hold a slot longer than the call takes.
type answer struct {
	mu      sync.Mutex
	resume  string
	tokens  []outside.Token
	read    bool
	ended   bool
	refused *refusal.Error
	changed chan struct{}
}

// newAnswer returns an empty answer; resume is the token with which another router attaches to it.
func newAnswer(resume string) *answer {
	return &answer{resume: resume, changed: make(chan struct{})}
}

// add appends a token.
func (a *answer) add(token outside.Token) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens = append(a.tokens, token)
	a.wake()
}

// end completes the answer; refused is nil if it is whole.
func (a *answer) end(refused *refusal.Error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return
	}
	a.ended, a.refused = true, refused
	a.wake()
}

// restart drops the tokens of a failed run, so that the call can run again elsewhere. It returns false if the caller
// has seen some of them: two runs need not give the same tokens.
func (a *answer) restart(resume string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.read || a.ended {
		return false
	}
	a.resume, a.tokens = resume, nil
	return true
}

// wake tells the readers of a change; the caller holds the lock.
func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// begun waits for the first token or the end. It returns a refusal if the answer ended without a token or if the
// context ended: nothing was sent to the caller, so that the refusal can have its own status and needs no start event.
func (a *answer) begun(ctx context.Context) *refusal.Error {
	if _, err := a.opened(ctx); err != nil {
		return refusal.New(refusal.Expired, "the caller has gone").WithExecutionUnknown()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.tokens) > 0 {
		return nil
	}
	return a.refused
}

// opened waits for the first token or the end, and returns the resume token.
func (a *answer) opened(ctx context.Context) (string, error) {
	for {
		a.mu.Lock()
		resume, changed := a.resume, a.changed
		if len(a.tokens) > 0 || a.ended {
			a.read = true
			a.mu.Unlock()
			return resume, nil
		}
		a.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
}

// next waits for the token at a position. Without a token it returns the end of the answer, which is a *refusal.Error
// if the answer is not whole, or the context's error.
func (a *answer) next(ctx context.Context, position int) (token outside.Token, ended bool, err error) {
	for {
		a.mu.Lock()
		if position < len(a.tokens) {
			token = a.tokens[position]
			a.mu.Unlock()
			return token, false, nil
		}
		ended, refused, changed := a.ended, a.refused, a.changed
		a.mu.Unlock()
		if ended && refused != nil {
			return outside.Token{}, true, refused
		}
		if ended {
			return outside.Token{}, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return outside.Token{}, false, ctx.Err()
		}
	}
}
