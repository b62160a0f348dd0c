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
	// IsService is set for calls of plain services.
	IsService bool
	// BodyBytes is the size of the request's body.
	BodyBytes int
	// PromptTokens is the number of prompt tokens, as far as it is known.
	PromptTokens int
	// MaxTokens bounds the number of generated tokens.
	MaxTokens int
	// PrefixHash is a hash of the prompt's start, zero if there is none.
	PrefixHash uint64
	// Deadline is the instant at which the caller gives up.
	Deadline time.Time
	// ExcludedTargets lists targets that must not get the request.
	ExcludedTargets []string
	// Apart is set for a suspect: it must not share a target with another suspect.
	Apart bool
}
