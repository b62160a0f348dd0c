package claim

import "github.com/google/uuid"

// hashBytes is the number of bytes of a body hash that count; 128 bits of a cryptographic hash do not collide by chance.
const hashBytes = 16

// Record is one record of a claim stream.
type Record struct {
	// Kind selects the fields that are set.
	Kind Kind
	// Key is the idempotency key.
	Key uuid.UUID
	// Claim is unique in the fleet: host, incarnation and number.
	Claim string
	// Customer is the number of the customer, for Claimed.
	Customer uint32
	// BodyHash is the beginning of a cryptographic hash of the request body, for Claimed.
	BodyHash []byte
	// Deadline is the instant after which the holder does not send, in Unix milliseconds, for Claimed.
	Deadline int64
	// Status is the status of the answer, for Done.
	Status uint32
	// Answer is the body of the answer, for Done.
	Answer []byte
}
