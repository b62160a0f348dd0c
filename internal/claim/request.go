package claim

import "time"

// Request describes a request with an idempotency key.
type Request struct {
	// Key is the caller's idempotency key in text form. Claimer.Claim validates it.
	Key string
	// Customer is the number of the customer.
	Customer uint32
	// BodyHash is a cryptographic hash of the request body. Only its first 16 bytes are used.
	BodyHash []byte
	// Deadline is the time at which the caller gives up.
	Deadline time.Time
}
