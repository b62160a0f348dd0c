package outside

import (
	"context"
	"time"
)

// GenerateRequest is one model call to an engine.
type GenerateRequest struct {
	// StreamID is the random id under which the engine keeps the stream for resumption.
	StreamID string `json:"stream"`
	// Prompt is the text to go on from.
	Prompt string `json:"prompt"`
	// MaxTokens bounds the answer.
	MaxTokens int `json:"max_tokens"`
}

// Token is one piece of a streamed answer.
type Token struct {
	// Index counts the tokens of a stream from zero.
	Index int64 `json:"index"`
	// Text is the token's text.
	Text string `json:"text"`
}

// LoadReport is an engine's own view of its load.
type LoadReport struct {
	// MeasuredAt is the instant that the figures describe; reports lag.
	MeasuredAt time.Time `json:"at"`
	// Running is the number of requests in the batch.
	Running int `json:"running"`
	// Queued is the number of admitted requests that wait for a slot in the batch.
	Queued int `json:"queued"`
	// Slots is the size of the batch.
	Slots int `json:"slots"`
	// Leaving is set if the target is about to leave.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation changes when the target restarts.
	Incarnation string `json:"incarnation"`
}

// Stream is a streamed answer. Next returns io.EOF after the last token of a whole answer, and a *CrashedError if the
// stream broke off.
type Stream interface {
	// Next waits for the next token.
	Next() (Token, error)
	// Incarnation names the run of the target's process that answers, so that all callers name a crash alike; it is
	// empty if the target does not tell.
	Incarnation() string
	// Close releases the stream; it does not cancel the call.
	Close() error
}

// Engine is one model engine.
type Engine interface {
	// Generate starts a call. A *UnavailableError or *RejectedError means that it did not run.
	Generate(ctx context.Context, call GenerateRequest) (Stream, error)
	// Resume attaches to a stream at a token index.
	Resume(ctx context.Context, stream string, from int64) (Stream, error)
	// Cancel ends a stream.
	Cancel(ctx context.Context, stream string) error
	// LoadReport returns the engine's newest load report.
	LoadReport(ctx context.Context) (LoadReport, error)
}
