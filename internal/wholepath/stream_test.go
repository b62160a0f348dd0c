package wholepath_test

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chicorydale/chicorydale/internal/emulator/transcript"
	"github.com/chicorydale/chicorydale/pkg/client"
)

// stream is one model call and what came of it.
type stream struct {
	prompt string
	tokens int
	// seen is the number of tokens so far, started the instant of the first one in Unix nanoseconds.
	seen    atomic.Int64
	started atomic.Int64
	text    strings.Builder
	resumes int
	token   atomic.Value
	err     error
	done    chan struct{}
}

// generate starts a model call of up to a number of tokens, and reads it in the background.
func generate(ctx context.Context, through *client.Client, class, prompt string, tokens int) *stream {
	begun := &stream{prompt: prompt, tokens: tokens, done: make(chan struct{})}
	go func() {
		defer close(begun.done)
		begun.err = begun.read(ctx, through, client.GenerateRequest{Class: class, Prompt: prompt, MaxTokens: tokens})
	}()
	return begun
}

// read reads the answer to its end and returns nil if it is whole.
func (s *stream) read(ctx context.Context, through *client.Client, call client.GenerateRequest) error {
	open, err := through.Generate(ctx, "m", call)
	if err != nil {
		return err
	}
	defer open.Close()
	for {
		token, err := open.Next()
		s.resumes = open.ResumeCount()
		if errors.Is(err, io.EOF) {
			return s.whole()
		}
		if err != nil {
			return err
		}
		if token.Index != s.seen.Load() {
			return fmt.Errorf("token %d comes after %d tokens", token.Index, s.seen.Load())
		}
		s.text.WriteString(token.Text)
		if s.seen.Add(1) == 1 {
			s.token.Store(open.ResumeToken())
			s.started.Store(time.Now().UnixNano())
		}
	}
}

// whole returns an error unless the answer is the engine's.
func (s *stream) whole() error {
	want := transcript.New(s.prompt, s.tokens)
	if s.seen.Load() != want.TokenCount() || s.text.String() != want.Text() {
		return fmt.Errorf("the answer to %q has %d tokens, want %d, or another text", s.prompt, s.seen.Load(), want.TokenCount())
	}
	return nil
}

// target returns the engine that the resume token names, empty before the first token.
func (s *stream) target() string {
	token, _ := s.token.Load().(string)
	decoded, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return ""
	}
	target, _, _ := strings.Cut(string(decoded), " ")
	return target
}

// wait waits for the end of the answer and returns its error.
func (s *stream) wait(t *testing.T) error {
	t.Helper()
	eventually(t, "the answer to "+s.prompt+" ends", s.ended)
	return s.err
}

// ended tells whether the answer has ended.
func (s *stream) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// allSeen tells whether each stream has a number of tokens.
func allSeen(streams []*stream, tokens int64) bool {
	for _, each := range streams {
		if each.seen.Load() < tokens {
			return false
		}
	}
	return true
}
