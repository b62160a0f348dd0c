package e2e_test

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

// stream is a model call whose response is read in the background. The fields resumes and err are valid once done is closed.
type stream struct {
	prompt    string
	maxTokens int
	// received is the number of tokens received so far.
	received atomic.Int64
	// firstTokenAt is the time of the first token in Unix nanoseconds, zero before it.
	firstTokenAt atomic.Int64
	text         strings.Builder
	resumes      int
	resumeToken  atomic.Value
	err          error
	done         chan struct{}
}

// startStream starts a model call with at most maxTokens tokens and reads its response in the background.
func startStream(ctx context.Context, customerClient *client.Client, class, prompt string, maxTokens int) *stream {
	s := &stream{prompt: prompt, maxTokens: maxTokens, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		s.err = s.read(ctx, customerClient, client.GenerateRequest{Class: class, Prompt: prompt, MaxTokens: maxTokens})
	}()
	return s
}

// read reads the response to its end. It returns an error if the call fails or the response is incomplete or wrong.
func (s *stream) read(ctx context.Context, customerClient *client.Client, call client.GenerateRequest) error {
	events, err := customerClient.Generate(ctx, "m", call)
	if err != nil {
		return err
	}
	defer events.Close()
	for {
		token, err := events.Next()
		s.resumes = events.ResumeCount()
		if errors.Is(err, io.EOF) {
			return s.checkComplete()
		}
		if err != nil {
			return err
		}
		if token.Index != s.received.Load() {
			return fmt.Errorf("received the token with index %d after %d tokens", token.Index, s.received.Load())
		}
		s.text.WriteString(token.Text)
		if s.received.Add(1) == 1 {
			s.resumeToken.Store(events.ResumeToken())
			s.firstTokenAt.Store(time.Now().UnixNano())
		}
	}
}

// checkComplete returns an error unless the tokens are exactly those that an emulated engine generates for the prompt.
func (s *stream) checkComplete() error {
	want := transcript.New(s.prompt, s.maxTokens)
	if s.received.Load() != want.TokenCount() || s.text.String() != want.Text() {
		return fmt.Errorf("the response to %q has %d tokens, want %d, or its text differs", s.prompt, s.received.Load(), want.TokenCount())
	}
	return nil
}

// target returns the name of the engine in the resume token, or an empty string before the first token.
func (s *stream) target() string {
	token, _ := s.resumeToken.Load().(string)
	decoded, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return ""
	}
	target, _, _ := strings.Cut(string(decoded), " ")
	return target
}

// wait waits until the stream has ended and returns its error.
func (s *stream) wait(t *testing.T) error {
	t.Helper()
	eventually(t, "the response to "+s.prompt+" ends", s.hasEnded)
	return s.err
}

// hasEnded reports whether the stream has ended, successfully or not.
func (s *stream) hasEnded() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// allReceived reports whether each stream has received at least the given number of tokens.
func allReceived(streams []*stream, tokens int64) bool {
	for _, s := range streams {
		if s.received.Load() < tokens {
			return false
		}
	}
	return true
}
