package dispatch

import (
	"slices"
	"time"
)

// Part is a section of a prompt that several requests may share.
type Part struct {
	// ID is a hash that identifies the content of the part.
	ID uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// Request holds the properties of a request that decisions depend on.
type Request struct {
	// Customer is the name of the customer. The empty name stands for all callers without a key.
	Customer string
	// Service is the name of the service that runs the request.
	Service string
	// Parts are the shared parts at the beginning of the prompt, in order. The last one belongs to the session.
	Parts []Part
	// PromptTokens is the number of tokens of the whole prompt, including the shared parts.
	PromptTokens int
	// MaxOutputTokens is the maximum number of tokens that the request generates.
	MaxOutputTokens int
	// Priority is the priority of the request; 0 is the highest.
	Priority int
	// Objective is the time by which the first byte of the answer should arrive. After it, the answer loses value.
	Objective time.Time
	// Deadline is the time after which the answer is useless.
	Deadline time.Time
	// ExcludedTargets are the names of the targets that the request must not be sent to, because it was sent there before.
	ExcludedTargets []string
	// Build is the version of the target's software that must run the request, because it continues a stream that a target of
	// that version began, or because no stream may begin at another one yet. It is empty if any target may run the request.
	Build string
	// Resumed is set if the caller already has a part of the answer, from an earlier request.
	Resumed bool
	// MayExceedShare is set if the request is not refused for its customer's share, because it takes up a stream that the fleet has broken off.
	MayExceedShare bool
}

// allows reports whether the request may go to a target.
func (r *Request) allows(target *Target) bool {
	return (r.Build == "" || r.Build == target.Build) && !slices.Contains(r.ExcludedTargets, target.Name)
}

// sessionPartID returns the ID of the part that belongs to the request's session, or 0 if there are no parts.
func (r *Request) sessionPartID() uint64 {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].ID
}

// homePart returns the index of the part by which all routers choose the same target while none has it: the longest one, which saves the
// most reading. Of equally long ones it is the last. It is -1 if there are no parts.
func (r *Request) homePart() int {
	longest := -1
	for i, part := range r.Parts {
		if longest < 0 || part.Tokens >= r.Parts[longest].Tokens {
			longest = i
		}
	}
	return longest
}

// homePartID returns the ID of the home part, or 0 if there are no parts.
func (r *Request) homePartID() uint64 {
	if home := r.homePart(); home >= 0 {
		return r.Parts[home].ID
	}
	return 0
}

// tokensToHomePart returns the number of tokens from the beginning of the prompt to the end of the home part.
func (r *Request) tokensToHomePart() int {
	tokens := 0
	for _, part := range r.Parts[:r.homePart()+1] {
		tokens += part.Tokens
	}
	return tokens
}
