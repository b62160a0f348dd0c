package dispatch

import "time"

// Part is a part of a prompt that several requests may share.
type Part struct {
	// ID names the content of the part.
	ID uint64
	// Tokens is the length of the part.
	Tokens int
}

// Request is what a decision needs to know of a request.
type Request struct {
	// Customer owns the request; the empty name stands for all callers without a key.
	Customer string
	// Service is the name of the service that runs the request.
	Service string
	// Parts are the shared parts at the beginning of the prompt, in order; the last one belongs to the session.
	Parts []Part
	// PromptTokens is the number of tokens of the prompt, with the shared parts.
	PromptTokens int
	// MaxOutputTokens is the greatest number of tokens that the request generates.
	MaxOutputTokens int
	// Priority is the rank of the request; 0 is the highest.
	Priority int
	// Objective is the instant until which the first byte of the answer is fully useful.
	Objective time.Time
	// Deadline is the instant after which the answer is useless.
	Deadline time.Time
	// ExcludedTargets holds the targets to which the request was sent already.
	ExcludedTargets []string
}

// session returns the part that belongs to the request's session, zero if there is none.
func (r *Request) session() uint64 {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].ID
}
