package claim

import "time"

// Request is a keyed request of a caller.
type Request struct {
	// Key is the caller's idempotency key in text form.
	Key string
	// Customer is the number of the customer.
	Customer uint32
	// BodyHash is a cryptographic hash of the request body, of which the first 16 bytes count.
	BodyHash []byte
	// Deadline is the instant at which the caller gives up.
	Deadline time.Time
}
