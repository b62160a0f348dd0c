package entry

import "time"

// Request is one call that waits for a target.
type Request struct {
	// Customer is the number that the configuration issued to the customer.
	Customer uint32
	// Model is the model or service to call.
	Model string
	// Class is the customer's class of the request.
	Class string
	// Service is set for calls of plain services.
	Service bool
	// Bytes is the size of the request's body.
	Bytes int
	// Prompt is the number of prompt tokens, as far as it is known.
	Prompt int
	// MaxTokens bounds the number of generated tokens.
	MaxTokens int
	// Prefix is a hash of the prompt's start, zero if there is none.
	Prefix uint64
	// Deadline is the instant at which the caller gives up.
	Deadline time.Time
	// Avoid lists targets that must not get the request.
	Avoid []string
	// Apart is set for a suspect: it must not share a target with another suspect.
	Apart bool
}
