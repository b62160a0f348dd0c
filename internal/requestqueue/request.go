package requestqueue

import "time"

// Request describes a request that a caller submits.
type Request struct {
	// Customer is the number that the configuration assigned to the customer.
	Customer uint32
	// Model is the name of the model or plain service to call.
	Model string
	// Class is the name of one of the customer's request classes.
	Class string
	// IsService is set if Model names a plain service.
	IsService bool
	// BodyBytes is the size of the request body in bytes.
	BodyBytes int
	// PromptTokens is the estimated number of prompt tokens, zero if unknown.
	PromptTokens int
	// MaxTokens bounds the number of generated tokens; zero means no bound.
	MaxTokens int
	// PrefixHash is a hash of the start of the prompt, zero if there is none. Schedulers prefer one target for equal hashes.
	PrefixHash uint64
	// Deadline is the time at which the caller gives up; the zero time means never.
	Deadline time.Time
	// ExcludedTargets lists the names of targets that must not get the request.
	ExcludedTargets []string
	// Apart is set for a request that is suspected of crashing targets. It must not run on the same target as another
	// suspect.
	Apart bool
}
