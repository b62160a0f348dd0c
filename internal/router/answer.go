package router

import (
	"context"
	"sync"

	"github.com/chicorydale/chicorydale/internal/platform"
	"github.com/chicorydale/chicorydale/internal/refusal"
)

// answer holds the tokens of one streamed call. The run adds to it at the target's pace and the caller's connection
// reads from it at its own, so that a slow caller does not hold a slot longer than the call takes.
type answer struct {
	mu      sync.Mutex
	tokens  []platform.Token
	read    int
	ended   bool
	refused *refusal.Error
	changed chan struct{}
}

// newAnswer returns an empty answer.
func newAnswer() *answer {
	return &answer{changed: make(chan struct{})}
}

// add appends a token.
func (a *answer) add(token platform.Token) {
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

// wake tells the readers of a change; the caller holds the lock.
func (a *answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// started reports whether a reader has taken a token.
func (a *answer) started() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.read > 0
}

// next waits for the token at a position. Without a token it returns the end of the answer, or the context's error.
func (a *answer) next(ctx context.Context, position int) (token platform.Token, ended bool, err error) {
	for {
		a.mu.Lock()
		if position < len(a.tokens) {
			token = a.tokens[position]
			a.read = max(a.read, position+1)
			a.mu.Unlock()
			return token, false, nil
		}
		ended, refused, changed := a.ended, a.refused, a.changed
		a.mu.Unlock()
		if ended {
			if refused != nil {
				return platform.Token{}, true, refused
			}
			return platform.Token{}, true, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return platform.Token{}, false, ctx.Err()
		}
	}
}
