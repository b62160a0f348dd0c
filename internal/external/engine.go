package external

import (
	"context"
	"time"
)

// GenerateRequest holds the parameters of a model call to an engine. Its tags define the JSON form on the wire.
type GenerateRequest struct {
	// StreamID is a random ID by which the stream can be resumed or cancelled.
	StreamID string `json:"stream"`
	// Prompt is the text that the model continues.
	Prompt string `json:"prompt"`
	// MaxTokens limits the number of tokens of the response.
	MaxTokens int `json:"max_tokens"`
}

// Token is one token of a streamed response.
type Token struct {
	// Index is the position of the token in the response, from zero.
	Index int64 `json:"index"`
	// Text is the token's text, including any whitespace.
	Text string `json:"text"`
}

// LoadReport is the load of a target as reported by the target itself. Its tags define the JSON form on the wire.
type LoadReport struct {
	// MeasuredAt is the time that the figures describe, which may be well before the report is read.
	MeasuredAt time.Time `json:"at"`
	// Running is the number of requests that are being processed.
	Running int `json:"running"`
	// Queued is the number of accepted requests that wait for a slot.
	Queued int `json:"queued"`
	// Slots is the maximum number of requests that are processed at the same time.
	Slots int `json:"slots"`
	// Leaving reports whether the target is about to leave the fleet.
	Leaving bool `json:"leaving,omitempty"`
	// Incarnation identifies the run of the target's process; it changes when the target restarts.
	Incarnation string `json:"incarnation"`
}

// Stream is a streamed response. Implementations need not be safe for concurrent use.
type Stream interface {
	// Next waits for the next token. It returns io.EOF after the last token of a complete response, and a *CrashedError if
	// the stream was interrupted.
	Next() (Token, error)
	// Incarnation identifies the run of the target's process that serves the stream, so that all callers identify a crash
	// of it in the same way. It is empty if the target does not report it.
	Incarnation() string
	// Close releases the resources of the stream. It does not cancel the call at the target.
	Close() error
}

// Engine is a model engine.
type Engine interface {
	// Generate starts a model call. An *UnavailableError or *RejectedError means that it did not run; a *CrashedError means
	// that it may have run.
	Generate(ctx context.Context, request GenerateRequest) (Stream, error)
	// Resume returns the tokens of an existing stream from a token index on.
	Resume(ctx context.Context, streamID string, from int64) (Stream, error)
	// Cancel cancels the call of a stream. An unknown stream is not an error.
	Cancel(ctx context.Context, streamID string) error
	// LoadReport returns the latest load report of the engine.
	LoadReport(ctx context.Context) (LoadReport, error)
}
